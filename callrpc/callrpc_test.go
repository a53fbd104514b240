package callrpc

import (
	"context"
	"net/rpc"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/front/callapi"
	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/front/ws"
	"woodrouter/internal/standin"
)

// startServer serves the API with a core that decides by the call's class.
func startServer(t *testing.T) (*standin.AgentStub, string, context.Context) {
	c := standin.NewAgentStub()
	f := callapi.New(connmgr.Config{}, c)
	f.Configure(ws.Endpoint{Path: "/calls"}, 0)
	c.Decide = func(call agent.Call) {
		switch call.Class {
		case "stands":
			f.Answered(call, []byte("there"))
		case "ends":
			f.Answered(call, nil)
			f.Ended(call, nil)
		case "refused":
			f.Refused(call, 1500*time.Millisecond)
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), standin.WaitTimeout)
	t.Cleanup(cancel)
	return c, "ws://" + standin.Serve(t, f) + "/calls", ctx
}

func dial(t *testing.T) (*standin.AgentStub, *Client, context.Context) {
	core, url, ctx := startServer(t)
	c, err := Dial(ctx, url, Options{Token: "t"})
	require.NoError(t, err)
	t.Cleanup(func() { c.Close() })
	return core, c, ctx
}

const id = "7f3a9c21e0b4d655"

func TestSetUp(t *testing.T) {
	core, c, ctx := dial(t)
	call, err := c.SetUp(ctx, Call{ID: id, Class: "stands"})
	require.NoError(t, err)
	assert.Equal(t, "there", string(call.Description))
	assert.Positive(t, time.Until(standin.Next(t, core.Offered).Deadline), "the deadline is the context's")
	_, err = c.SetUp(ctx, Call{ID: id, Class: "stands", DeadlineMs: 5})
	e, ok := AsError(err)
	require.True(t, ok)
	assert.Equal(t, CodeDuplicate, e.Code)
	require.NoError(t, call.Release(ctx))
	assert.Equal(t, id, standin.Next(t, core.Withdrawn))
	e, ok = AsError(call.Release(ctx))
	require.True(t, ok)
	assert.Equal(t, CodeUnknownCall, e.Code)

	_, err = c.SetUp(ctx, Call{ID: id, Class: "refused", DeadlineMs: 5})
	e, ok = AsError(err)
	require.True(t, ok, "%v", err)
	assert.Equal(t, []any{CodeRefused, int64(1500)}, []any{e.Code, e.Data.RetryAfterMs})

	call, err = c.SetUp(ctx, Call{ID: id, Class: "ends", DeadlineMs: 5})
	require.NoError(t, err)
	assert.Equal(t, End{ID: id, Cause: "completed"}, <-call.Ended())
}

// TestContext checks that cancelling a context gives up the set-up and frees the call's id.
func TestContext(t *testing.T) {
	core, c, ctx := dial(t)
	short, cancel := context.WithCancel(ctx)
	go func() {
		standin.Next(t, core.Offered)
		cancel()
	}()
	_, err := c.SetUp(short, Call{ID: id, Class: "silent", DeadlineMs: 5000})
	require.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, id, standin.Next(t, core.Withdrawn))
	_, err = c.SetUp(ctx, Call{ID: id, Class: "stands", DeadlineMs: 5})
	require.NoError(t, err)
}

// TestConnectionEnds checks that an open set-up fails with an error that is not an agent's *Error when the
// connection ends.
func TestConnectionEnds(t *testing.T) {
	core, c, ctx := dial(t)
	go func() {
		standin.Next(t, core.Offered)
		c.Close()
	}()
	_, err := c.SetUp(ctx, Call{ID: id, Class: "silent", DeadlineMs: 5000})
	require.Error(t, err)
	_, ok := AsError(err)
	assert.False(t, ok)
}

// TestCodec uses the codec with a plain rpc.Client.
func TestCodec(t *testing.T) {
	_, url, ctx := startServer(t)
	conn, _, err := websocket.Dial(ctx, url, nil)
	require.NoError(t, err)
	ended := make(chan End, 1)
	client := rpc.NewClientWithCodec(NewCodec(conn, func(e End) { ended <- e }))
	defer client.Close()
	var standing struct{ ID string }
	require.NoError(t, client.Call("call.setUp", Call{ID: id, Class: "ends", DeadlineMs: 5}, &standing))
	assert.Equal(t, id, standing.ID)
	assert.Equal(t, "completed", standin.Next(t, ended).Cause)
	e, ok := AsError(client.Call("call.hold", nil, nil))
	require.True(t, ok)
	assert.Equal(t, -32601, e.Code)
}
