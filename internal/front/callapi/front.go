// Package callapi is the front for the call-control API, JSON-RPC 2.0 over WebSocket. It passes calls to the
// same core as the front for binary signalling, so the same rules apply.
package callapi

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/front/callproto"
	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/front/ws"
)

// Front serves clients of the API; Serve, SetLimits and Close come from its Manager.
type Front struct {
	*connmgr.Manager

	mu       sync.Mutex // guards the fields below; connmgr's lock may be held when it is taken, not the reverse
	options  options
	admitted map[*connmgr.Peer]*http.Request // the clients that were upgraded, as ws.Endpoint.Admits takes them
}

// options apply to connections that are accepted from now on.
type options struct {
	endpoint        ws.Endpoint
	maxMessageBytes int
}

// New returns a front that passes calls to core.
func New(cfg connmgr.Config, core connmgr.Core) *Front {
	f := &Front{admitted: map[*connmgr.Peer]*http.Request{}}
	f.Configure(ws.Endpoint{}, 0)
	cfg.CloseMessage = ws.AppendClose(nil, ws.StatusGoingAway, "the agent stops or its settings change")
	f.Manager = connmgr.New(cfg, core, f, f.serveConn)
	return f
}

// Configure sets which requests are upgraded, and the maximum size of a message in bytes; 0: 64 KiB.
func (f *Front) Configure(e ws.Endpoint, maxMessageBytes int) {
	e.Subprotocol = callproto.Subprotocol
	f.mu.Lock()
	defer f.mu.Unlock()
	f.options = options{e, cmp.Or(maxMessageBytes, 64<<10)}
}

// upgrade handles the upgrade request of a connection and records its client. It returns the options that apply to the
// connection.
func (f *Front) upgrade(p *connmgr.Peer, head []byte, err error) (options, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	response, client, err := f.options.endpoint.Upgrade(head, err)
	if err == nil {
		f.admitted[p] = client
	}
	return f.options, response, err
}

// forget removes a connection that has ended.
func (f *Front) forget(p *connmgr.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.admitted, p)
}

// session is one client's connection, with the ids of the requests that wait for their answers.
type session struct {
	peer    *connmgr.Peer
	mu      sync.Mutex
	pending map[string]bool
}

// addPending records a request id, and returns false if the id is in use.
func (s *session) addPending(id json.RawMessage) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pending[string(id)] {
		return false
	}
	s.pending[string(id)] = true
	return true
}

// removePending frees a request id.
func (s *session) removePending(id json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pending, string(id))
}

func (s *session) send(text []byte) { s.peer.Send(connmgr.Message{Data: frame(text)}) }

func frame(text []byte) []byte { return ws.AppendFrame(nil, ws.Text, text) }

// pendingRequest is what the manager's table stores of a call's request.
type pendingRequest struct {
	session *session
	id      json.RawMessage
}

// replyWith returns the encoder of the answer to a call's request. The manager calls it once.
func replyWith(text func(id json.RawMessage) []byte) func(any) []byte {
	return func(tag any) []byte {
		request := tag.(pendingRequest)
		request.session.removePending(request.id)
		return frame(text(request.id))
	}
}

// replyError returns the encoder of an error as the answer to a call's request.
func replyError(e *callproto.Error) func(any) []byte {
	return replyWith(func(id json.RawMessage) []byte { return encodeError(id, e) })
}

// Answered sends the set-up's result.
func (f *Front) Answered(c agent.Call, description []byte) {
	f.SendAnswer(c.ID, replyWith(func(id json.RawMessage) []byte {
		return encodeResult(id, callproto.Standing{ID: c.ID, Description: description})
	}))
}

// Refused sends a refusal, with the time after which to retry.
func (f *Front) Refused(c agent.Call, retryAfter time.Duration) {
	f.SendFinal(c.ID, replyError(&callproto.Error{Code: callproto.CodeRefused, Message: "refused: trying again is harmless", Data: &callproto.ErrorData{ID: c.ID, RetryAfterMs: retryAfter.Milliseconds()}}))
}

// Failed sends a failure, with the stage that the call reached.
func (f *Front) Failed(c agent.Call, err error) {
	e := &callproto.Error{Code: callproto.CodeFailed, Message: "failed: " + err.Error(), Data: &callproto.ErrorData{ID: c.ID,
		RetryAfterMs: f.RetryAfter.Milliseconds()}}
	if errors.Is(err, agent.ErrOverdue) {
		e.Code = callproto.CodeOverdue
	}
	var fail *agent.Failure
	if errors.As(err, &fail) {
		e.Data.Stage = fail.Stage.String()
	}
	f.SendFinal(c.ID, replyError(e))
}

// Rejected sends why a call was not accepted.
func (f *Front) Rejected(c agent.Call, err error) {
	code := callproto.CodeUnknownClass
	switch {
	case errors.Is(err, agent.ErrDuplicate):
		code = callproto.CodeDuplicate
	case errors.Is(err, agent.ErrUnusableCall):
		code = callproto.CodeParams
	}
	f.CountRejected(c)
	f.SendFinal(c.ID, replyError(&callproto.Error{Code: code, Message: err.Error(), Data: &callproto.ErrorData{ID: c.ID}}))
}

// Ended notifies the client of the end of a call that stood.
func (f *Front) Ended(c agent.Call, err error) {
	cause := "completed"
	if err != nil {
		cause = "cut"
	}
	f.SendEnd(c.ID, frame(encodeEnded(callproto.End{ID: c.ID, Cause: cause})))
}

// serveConn upgrades one connection and reads its messages.
func (f *Front) serveConn(p *connmgr.Peer) error {
	if err := p.AwaitMessage(); err != nil {
		return err
	}
	head, err := ws.ReadHead(p.In)
	p.MessageRead()
	opts, response, err := f.upgrade(p, head, err)
	p.Send(connmgr.Message{Data: response})
	if err != nil {
		return err
	}
	defer f.forget(p)
	p.MessageHandled()
	f.MarkReady(p)
	f.MarkStanding(p) // a client that has made the handshake places calls
	err = f.readAll(&session{peer: p, pending: map[string]bool{}}, opts.maxMessageBytes)
	var closed *ws.CloseError
	if errors.As(err, &closed) {
		p.Send(connmgr.Message{Data: ws.AppendClose(nil, closed.Code, closed.Reason)})
		if closed.Peer {
			return nil
		}
	}
	return err
}

// readAll reads messages until the connection ends. A silent client is pinged, and its connection is closed
// if it does not answer, as a client that has vanished does not close it; but not before its set-ups have their answers.
func (f *Front) readAll(s *session, maxMessageBytes int) error {
	in, pinged := ws.Reader{In: s.peer.In, MaxMessageBytes: maxMessageBytes, Hold: s.hold}, false
	for {
		switch err := s.peer.AwaitMessage(); {
		case errors.Is(err, connmgr.ErrIdle) && (!pinged || s.peer.Busy()):
			pinged = true
			s.peer.Send(connmgr.Message{Data: ws.AppendFrame(nil, ws.Ping, nil)})
			continue
		case err != nil:
			return err
		}
		pinged = false
		op, data, ok, err := in.Next()
		s.peer.MessageRead()
		switch {
		case err != nil:
			return err
		case !ok || op == ws.Pong:
			s.peer.CountIdleMessage(len(data))
		case op == ws.Ping:
			s.peer.CountIdleMessage(len(data))
			s.peer.Send(connmgr.Message{Data: ws.AppendFrame(nil, ws.Pong, data)})
		case op == ws.Binary:
			return &ws.CloseError{Code: ws.StatusUnsupported, Reason: "text messages only"}
		default:
			if err := f.handle(s, data); err != nil {
				return err
			}
			s.peer.HoldBytes(0)
		}
		if !in.Unfinished() {
			s.peer.MessageHandled()
		}
	}
}

// hold records the size of an unfinished message.
func (s *session) hold(bytes int) error {
	if err := s.peer.HoldBytes(bytes); err != nil {
		return &ws.CloseError{Code: ws.StatusTryLater, Reason: err.Error()}
	}
	return nil
}

// handle answers one message. An invalid request gets an error, and the connection and its calls continue. It fails if the
// connection is being closed and the message was a set-up.
func (f *Front) handle(s *session, text []byte) error {
	r, rpcErr := parseRequest(text)
	if rpcErr == nil && len(r.ID) > 0 && !s.addPending(r.ID) {
		r.ID, rpcErr = nil, &callproto.Error{Code: callproto.CodeInvalid, Message: fmt.Sprintf("request id %s is in use", r.ID)}
	}
	if rpcErr != nil {
		s.peer.CountIdleMessage(len(text))
		f.Log.Warn("bad request", "method", r.Method, "error", rpcErr)
		s.send(encodeError(r.ID, rpcErr))
		return nil
	}
	result, err := f.dispatch(s, r)
	switch {
	case errors.Is(err, connmgr.ErrClosing):
		return err
	case result == nil && err == nil: // answered later
		return nil
	case len(r.ID) == 0: // a notification
		s.peer.CountIdleMessage(len(text))
		return nil
	}
	s.removePending(r.ID)
	if errors.As(err, &rpcErr) {
		s.peer.CountIdleMessage(len(text))
		s.send(encodeError(r.ID, rpcErr))
		return nil
	}
	s.send(encodeResult(r.ID, result))
	return nil
}

// dispatch runs a request's method. Its error is a *callproto.Error or connmgr.ErrClosing. Without a result and an error, the
// request is answered later.
func (f *Front) dispatch(s *session, r request) (result any, err error) {
	switch r.Method {
	case callproto.SetUp:
		return nil, f.setUp(s, r)
	case callproto.Cancel, callproto.Release:
		return f.withdraw(r)
	}
	return nil, &callproto.Error{Code: callproto.CodeNoMethod, Message: "no method " + r.Method}
}

// setUp passes a call to the core; the outcome answers the request later.
func (f *Front) setUp(s *session, r request) error {
	if len(r.ID) == 0 {
		f.Log.Warn("set-up without a request id ignored: its outcome could not be reported")
		return nil
	}
	c, rpcErr := parseCall(r.Params, time.Now())
	if rpcErr != nil {
		return rpcErr
	}
	err := f.Offer(s.peer, c, pendingRequest{s, r.ID})
	if errors.Is(err, agent.ErrDuplicate) {
		return &callproto.Error{Code: callproto.CodeDuplicate, Message: err.Error(), Data: &callproto.ErrorData{ID: c.ID}}
	}
	return err
}

// withdraw handles both cancel and release, as an answer may cross either of them. If the set-up's own
// request has no answer yet, it is answered too.
func (f *Front) withdraw(r request) (any, error) {
	var p callproto.Name
	if rpcErr := parseParams(r.Params, &p); rpcErr != nil {
		return nil, rpcErr
	}
	cancelled := replyError(&callproto.Error{Code: callproto.CodeCancelled, Message: "given up by the caller", Data: &callproto.ErrorData{ID: p.ID}})
	if known, _ := f.Withdraw(p.ID, cancelled); !known {
		return nil, &callproto.Error{Code: callproto.CodeUnknownCall, Message: "no such call", Data: &callproto.ErrorData{ID: p.ID}}
	}
	return struct{}{}, nil
}
