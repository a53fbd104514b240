package callrpc

import (
	"context"
	"fmt"
	"net/http"
	"net/rpc"
	"sync"
	"time"

	"github.com/coder/websocket"

	"woodrouter/internal/front/callproto"
)

// Options configure a connection.
type Options struct {
	Token string // sent as a bearer token, if any
}

// Client sets up calls at one agent. It is safe for concurrent use.
type Client struct {
	rpc *rpc.Client

	mu    sync.Mutex
	calls map[string]*Standing
}

// Standing is a call that stands.
type Standing struct {
	ID          string
	Description []byte
	client      *Client
	ended       chan End
}

// Dial connects to an agent, such as ws://127.0.0.1:8090/calls.
func Dial(ctx context.Context, url string, o Options) (*Client, error) {
	opts := &websocket.DialOptions{Subprotocols: []string{callproto.Subprotocol}, HTTPHeader: http.Header{}}
	if o.Token != "" {
		opts.HTTPHeader.Set("Authorization", "Bearer "+o.Token)
	}
	conn, _, err := websocket.Dial(ctx, url, opts)
	if err != nil {
		return nil, fmt.Errorf("callrpc: %w", err)
	}
	c := &Client{calls: map[string]*Standing{}}
	c.rpc = rpc.NewClientWithCodec(NewCodec(conn, c.handleEnd))
	return c, nil
}

// Close closes the connection. Standing calls continue, but their ends are not reported to this client.
func (c *Client) Close() error { return c.rpc.Close() }

// SetUp sets up a call. If the call names no deadline, the context's is used. Cancelling the context gives up
// the set-up; if the call came to stand nevertheless, it is released. An *Error is the agent's answer.
func (c *Client) SetUp(ctx context.Context, call Call) (*Standing, error) {
	if at, ok := ctx.Deadline(); ok && call.DeadlineMs == 0 {
		call.DeadlineMs = max(time.Until(at).Milliseconds(), 1)
	}
	s := &Standing{ID: call.ID, client: c, ended: make(chan End, 1)}
	if !c.register(s) {
		return nil, &Error{Code: CodeDuplicate, Message: "a call of this id is open here"}
	}
	var result callproto.Standing
	done := c.rpc.Go(callproto.SetUp, call, &result, make(chan *rpc.Call, 1)).Done
	select {
	case r := <-done:
		if r.Error != nil {
			c.unregister(s)
			return nil, agentError(r.Error)
		}
		s.Description = result.Description
		return s, nil
	case <-ctx.Done():
		// The agent handles a cancel as a release if its answer is already on the way.
		c.unregister(s)
		c.rpc.Go(callproto.Cancel, callproto.Name{ID: call.ID}, nil, make(chan *rpc.Call, 1))
		return nil, ctx.Err()
	}
}

// Ended delivers once how the call ended, unless the call was released by this client.
func (s *Standing) Ended() <-chan End { return s.ended }

// Release ends the call.
func (s *Standing) Release(ctx context.Context) error {
	s.client.unregister(s)
	done := s.client.rpc.Go(callproto.Release, callproto.Name{ID: s.ID}, nil, make(chan *rpc.Call, 1)).Done
	select {
	case r := <-done:
		return agentError(r.Error)
	case <-ctx.Done():
		return ctx.Err()
	}
}

// agentError converts an error of net/rpc to the agent's *Error if it is one.
func agentError(err error) error {
	if e, ok := AsError(err); ok {
		return e
	}
	return err
}

// register records a call before it is sent, as its end may arrive directly after its answer.
func (c *Client) register(s *Standing) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[s.ID] != nil {
		return false
	}
	c.calls[s.ID] = s
	return true
}

// unregister removes a call, unless its id already belongs to a newer one.
func (c *Client) unregister(s *Standing) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[s.ID] == s {
		delete(c.calls, s.ID)
	}
}

// handleEnd delivers the end of a call to its Standing.
func (c *Client) handleEnd(e End) {
	c.mu.Lock()
	s := c.calls[e.ID]
	delete(c.calls, e.ID)
	c.mu.Unlock()
	if s != nil {
		s.ended <- e
	}
}
