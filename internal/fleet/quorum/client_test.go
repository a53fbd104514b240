package quorum

import (
	"context"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoService is an RPC service that returns its argument.
type echoService struct{}

func (echoService) Say(n int, r *int) error { *r = n; return nil }

// TestReconnectAfterMemberClosed checks that a call on a connection that the member has closed in
// the meantime is made on a new one, and is not reported as possibly committed: nothing of it was sent.
func TestReconnectAfterMemberClosed(t *testing.T) {
	srv := rpc.NewServer()
	require.NoError(t, srv.RegisterName("Echo", echoService{}))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	ending := make(chan struct{})
	go func() {
		for conn, err := ln.Accept(); err == nil; conn, err = ln.Accept() {
			go srv.ServeConn(conn)
			<-ending
			conn.Close()
		}
	}()
	c := NewClient(map[string]string{"m": ln.Addr().String()})
	defer c.Close()
	var r int
	require.NoError(t, c.Call(context.Background(), "m", "Echo.Say", 1, &r))
	conn := c.members["m"].conn
	ending <- struct{}{}
	for conn.Call("Echo.Say", 0, &r) != rpc.ErrShutdown { // until the client has noticed the close
	}
	require.NoError(t, c.Call(context.Background(), "m", "Echo.Say", 2, &r))
	require.Equal(t, 2, r)
	require.NotSame(t, conn, c.members["m"].conn)
	close(ending)
}

// TestUnknownOutcomeForgetsLeader checks that a leader that left a proposal's outcome unknown
// (stalled, or deposed) is not asked first again, so that the client finds the next leader.
func TestUnknownOutcomeForgetsLeader(t *testing.T) {
	c := NewClient(map[string]string{"a": "127.0.0.1:1", "b": "127.0.0.1:1"})
	c.SetLeader("a")
	var asked []string
	ask := func(id string) (Answer, error) {
		asked = append(asked, id)
		if id == "a" {
			return Answer{Outcome: Unknown}, nil
		}
		return Answer{Outcome: Committed}, nil
	}
	require.ErrorIs(t, c.AskLeader(context.Background(), ask, nil), ErrUnknownOutcome)
	require.Equal(t, []string{"a"}, asked)
	err := c.AskLeader(context.Background(), ask, nil)
	if asked[1] == "a" { // without a known leader, members are asked in turn
		err = c.AskLeader(context.Background(), ask, nil)
	}
	require.NoError(t, err)
	require.Equal(t, "b", asked[len(asked)-1])
}

// delayingCodec holds the first answer back and writes it just before the second one.
type delayingCodec struct {
	io.ReadWriteCloser
	decoder     *gob.Decoder
	encoder     *gob.Encoder
	firstHeader *rpc.Response
	firstBody   any
}

func (c *delayingCodec) ReadRequestHeader(r *rpc.Request) error { return c.decoder.Decode(r) }
func (c *delayingCodec) ReadRequestBody(body any) error         { return c.decoder.Decode(body) }
func (c *delayingCodec) WriteResponse(r *rpc.Response, body any) error {
	if c.firstHeader == nil {
		first := *r
		c.firstHeader, c.firstBody = &first, body
		return nil
	}
	return errors.Join(c.encoder.Encode(c.firstHeader), c.encoder.Encode(c.firstBody),
		c.encoder.Encode(r), c.encoder.Encode(body))
}

// TestLateAnswer checks that an answer that comes after its call has timed out does not overwrite
// the reply value, which may hold another member's answer by then.
func TestLateAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	srv := rpc.NewServer()
	require.NoError(t, srv.RegisterName("Echo", echoService{}))
	go func() {
		if conn, err := ln.Accept(); err == nil {
			srv.ServeCodec(&delayingCodec{ReadWriteCloser: conn,
				decoder: gob.NewDecoder(conn), encoder: gob.NewEncoder(conn)})
		}
	}()
	c := NewClient(map[string]string{"a": ln.Addr().String()})
	defer c.Close()
	var reply, later int
	c.CallTimeout = 50 * time.Millisecond
	require.ErrorIs(t, c.Call(t.Context(), "a", "Echo.Say", 1, &reply), context.DeadlineExceeded)
	reply = 2 // another member's answer
	c.CallTimeout = 10 * time.Second
	require.NoError(t, c.Call(t.Context(), "a", "Echo.Say", 3, &later))
	require.Equal(t, 3, later)
	require.Equal(t, 2, reply)
}
