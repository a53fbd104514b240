package callrpc

import (
	"context"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/coder/websocket"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/callapi"
	"woodrouter/internal/desk"
	"woodrouter/internal/standin"
	"woodrouter/internal/ws"
)

// core decides by the call's class, as a setup server would by its state.
type core struct {
	front     agent.Front
	offered   chan agent.Call
	withdrawn chan string
}

func (c *core) Offer(_ agent.Front, call agent.Call) bool {
	switch call.Class {
	case "stands":
		c.front.Answered(call, []byte("there"))
	case "ends":
		c.front.Answered(call, nil)
		c.front.Ended(call, nil)
	case "refused":
		c.front.Refused(call, 1500*time.Millisecond)
	}
	c.offered <- call
	return true
}
func (c *core) Withdraw(_ agent.Front, id string) { c.withdrawn <- id }

func next[T any](t *testing.T, from chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(standin.Patience):
		require.FailNow(t, "nothing came")
	}
	return v
}

func start(t *testing.T) (*core, string, context.Context) {
	c := &core{offered: make(chan agent.Call, 100), withdrawn: make(chan string, 100)}
	f := callapi.New(desk.Config{}, c)
	f.Configure(ws.Endpoint{Path: "/calls"}, 0)
	c.front = f
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go f.Serve(ln)
	t.Cleanup(func() { ln.Close(); f.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), standin.Patience)
	t.Cleanup(cancel)
	return c, "ws://" + ln.Addr().String() + "/calls", ctx
}

func dial(t *testing.T) (*core, *Client, context.Context) {
	core, url, ctx := start(t)
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
	assert.Positive(t, time.Until(next(t, core.offered).Deadline), "the deadline is the context's")
	_, err = c.SetUp(ctx, Call{ID: id, Class: "stands", DeadlineMs: 5})
	e, ok := AsError(err)
	require.True(t, ok)
	assert.Equal(t, CodeDuplicate, e.Code)
	require.NoError(t, call.Release(ctx))
	assert.Equal(t, id, next(t, core.withdrawn))
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

// TestContext: cancelling a context gives the set-up up, and the id is free again.
func TestContext(t *testing.T) {
	core, c, ctx := dial(t)
	short, cancel := context.WithCancel(ctx)
	go func() {
		next(t, core.offered)
		cancel()
	}()
	_, err := c.SetUp(short, Call{ID: id, Class: "silent", DeadlineMs: 5000})
	require.ErrorIs(t, err, context.Canceled)
	assert.Equal(t, id, next(t, core.withdrawn))
	_, err = c.SetUp(ctx, Call{ID: id, Class: "stands", DeadlineMs: 5})
	require.NoError(t, err)
}

// TestConnectionEnds: what is open ends with an error that is not the agent's.
func TestConnectionEnds(t *testing.T) {
	core, c, ctx := dial(t)
	go func() {
		next(t, core.offered)
		c.Close()
	}()
	_, err := c.SetUp(ctx, Call{ID: id, Class: "silent", DeadlineMs: 5000})
	require.Error(t, err)
	_, ok := AsError(err)
	assert.False(t, ok)
}

// TestCodec plugs the API into a plain rpc.Client.
func TestCodec(t *testing.T) {
	_, url, ctx := start(t)
	conn, _, err := websocket.Dial(ctx, url, nil)
	require.NoError(t, err)
	ended := make(chan End, 1)
	client := rpc.NewClientWithCodec(NewCodec(conn, func(e End) { ended <- e }))
	defer client.Close()
	var standing struct{ ID string }
	require.NoError(t, client.Call("call.setUp", Call{ID: id, Class: "ends", DeadlineMs: 5}, &standing))
	assert.Equal(t, id, standing.ID)
	assert.Equal(t, "completed", next(t, ended).Cause)
	e, ok := AsError(client.Call("call.hold", nil, nil))
	require.True(t, ok)
	assert.Equal(t, -32601, e.Code)
}
