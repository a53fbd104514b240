// Package callrpc is a client for woodrouter's call-control API: a codec for net/rpc, and a typed client on
// top of it that supports contexts.
package callrpc

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/rpc"
	"time"

	"github.com/coder/websocket"

	"woodrouter/internal/front/callproto"
)

// Message types of the API.
type (
	// Error is an error that the agent returned.
	Error = callproto.Error
	// Call is a call to set up.
	Call = callproto.Call
	// End says how a call that stood ended.
	End = callproto.End
)

// The error codes a set-up may end with.
const (
	CodeRefused      = callproto.CodeRefused
	CodeFailed       = callproto.CodeFailed
	CodeOverdue      = callproto.CodeOverdue
	CodeCancelled    = callproto.CodeCancelled
	CodeDuplicate    = callproto.CodeDuplicate
	CodeUnknownClass = callproto.CodeUnknownClass
	CodeUnknownCall  = callproto.CodeUnknownCall
)

// writeTimeout bounds a write to an agent that reads nothing.
const writeTimeout = 5 * time.Second

// Codec is an rpc.ClientCodec on one WebSocket. Methods have the API's names, such as "call.setUp". An
// rpc.ServerError holds the agent's error object: see AsError.
type Codec struct {
	conn  *websocket.Conn
	ended func(End)
	ctx   context.Context
	stop  context.CancelFunc

	result json.RawMessage // of the response whose header was read last
}

// NewCodec returns a codec. ended is called when a standing call ends; it runs on the reading goroutine and
// must not block.
func NewCodec(conn *websocket.Conn, ended func(End)) *Codec {
	ctx, stop := context.WithCancel(context.Background())
	return &Codec{conn: conn, ended: ended, ctx: ctx, stop: stop}
}

// WriteRequest sends one request; its id is the sequence number.
func (c *Codec) WriteRequest(r *rpc.Request, params any) error {
	text, err := json.Marshal(struct {
		Version string `json:"jsonrpc"`
		ID      uint64 `json:"id"`
		Method  string `json:"method"`
		Params  any    `json:"params"`
	}{"2.0", r.Seq, r.ServiceMethod, params})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, writeTimeout)
	defer cancel()
	return c.conn.Write(ctx, websocket.MessageText, text)
}

// incoming is a response or a notification.
type incoming struct {
	ID     *uint64         `json:"id"`
	Method string          `json:"method"`
	Params json.RawMessage `json:"params"`
	Result json.RawMessage `json:"result"`
	Error  json.RawMessage `json:"error"`
}

// ReadResponseHeader reads until the next response. Notifications before it are passed to ended; a response
// without a request id can't be matched and is ignored.
func (c *Codec) ReadResponseHeader(r *rpc.Response) error {
	for {
		_, text, err := c.conn.Read(c.ctx)
		if err != nil {
			return err
		}
		var m incoming
		if err := json.Unmarshal(text, &m); err != nil {
			return fmt.Errorf("callrpc: malformed message: %w", err)
		}
		switch {
		case m.Method == callproto.Ended:
			var e End
			if err := json.Unmarshal(m.Params, &e); err == nil && c.ended != nil {
				c.ended(e)
			}
		case m.Method == "" && m.ID != nil:
			r.Seq, r.Error, c.result = *m.ID, string(m.Error), m.Result
			return nil
		}
	}
}

// ReadResponseBody decodes the result of the response read last.
func (c *Codec) ReadResponseBody(into any) error {
	if into == nil || len(c.result) == 0 {
		return nil
	}
	return json.Unmarshal(c.result, into)
}

// Close ends the connection.
func (c *Codec) Close() error {
	defer c.stop()
	return c.conn.Close(websocket.StatusNormalClosure, "")
}

// AsError returns the agent's error object from an error of net/rpc.
func AsError(err error) (*Error, bool) {
	var already *Error
	if errors.As(err, &already) {
		return already, true
	}
	var s rpc.ServerError
	if !errors.As(err, &s) {
		return nil, false
	}
	e := &Error{}
	if json.Unmarshal([]byte(s), e) != nil || e.Code == 0 {
		return nil, false
	}
	return e, true
}
