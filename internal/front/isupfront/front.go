// Package isupfront accepts calls over binary signalling. It only converts: messages into calls of package
// agent, and outcomes into messages.
package isupfront

import (
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/front/connmgr"
	"woodrouter/isup"
)

// Front serves callers on binary signalling; Serve and Close come from its Manager.
type Front struct {
	*connmgr.Manager
	ready func() bool
}

// New returns a front that passes calls to core; ready gives the result of callers' tests.
func New(cfg connmgr.Config, core connmgr.Core, ready func() bool) *Front {
	f := &Front{ready: ready}
	cfg.NoOpMessage = f.encode(isup.Message{Type: isup.Progress})
	f.Manager = connmgr.New(cfg, core, f, f.readMessages)
	return f
}

// encode returns the encoded message; if it can't be encoded, the error is logged and nothing is sent.
func (f *Front) encode(m isup.Message) []byte {
	b, err := m.Append(nil)
	if err != nil {
		f.Log.Error("message not sent", "call", m.Call, "error", err)
	}
	return b
}

// newMessage returns a message about a call.
func newMessage(t isup.Type, id string) isup.Message {
	n, _ := isup.ParseCallID(id) // valid: the id was parsed by this front
	return isup.Message{Type: t, Call: n}
}

// encoder returns a function that encodes the message, as the Manager calls it.
func (f *Front) encoder(m isup.Message) func(any) []byte {
	return func(any) []byte { return f.encode(m) }
}

// Answered sends the setup server's description unchanged.
func (f *Front) Answered(c agent.Call, description []byte) {
	f.SendAnswer(c.ID, f.encoder(newMessage(isup.Answer, c.ID).With(isup.Description, description)))
}

// Refused sends a refusal, with the time after which to retry.
func (f *Front) Refused(c agent.Call, retryAfter time.Duration) {
	m := newMessage(isup.Release, c.ID).WithCause(isup.Congestion)
	if retryAfter > 0 {
		m = m.WithMillis(isup.RetryAfter, retryAfter)
	}
	f.SendFinal(c.ID, f.encoder(m))
}

// Failed sends a failure.
func (f *Front) Failed(c agent.Call, _ error) {
	f.SendFinal(c.ID, f.encoder(newMessage(isup.Release, c.ID).WithCause(isup.Unavailable)))
}

// Rejected closes the connection that used the id of another front's call, as any answer would seem to belong
// to that call. Other rejections are sent as failures.
func (f *Front) Rejected(c agent.Call, err error) {
	if errors.Is(err, agent.ErrDuplicate) {
		f.FailCall(c.ID, err)
		return
	}
	f.Log.Warn("call rejected", "call", c.ID, "class", fmt.Sprintf("%.40s", c.Class), "error", err)
	f.CountRejected(c)
	f.Failed(c, err)
}

// Ended reports the end of a call that stood.
func (f *Front) Ended(c agent.Call, err error) { f.SendEnd(c.ID, f.endMessage(c.ID, err)) }

// UnknownEnded reports the end of a call from before a restart.
func (f *Front) UnknownEnded(id string, err error) {
	f.Manager.SendUnknownEnd(id, f.endMessage(id, err))
}

// endMessage encodes the release that reports the end of a call that stood.
func (f *Front) endMessage(id string, err error) []byte {
	cause := isup.Normal
	if err != nil {
		cause = isup.TempFailure
	}
	return f.encode(newMessage(isup.Release, id).WithCause(cause))
}

// readMessages reads one connection until it ends. An idle connection is closed unless a set-up is open on
// it.
func (f *Front) readMessages(p *connmgr.Peer) error {
	f.MarkReady(p)
	for {
		switch err := p.AwaitMessage(); {
		case errors.Is(err, connmgr.ErrIdle):
			if p.Busy() {
				continue
			}
			return io.EOF
		case err != nil:
			return err
		}
		m, err := isup.Read(p.In)
		if err != nil {
			return err
		}
		p.MessageRead()
		if err := f.handle(p, m); err != nil {
			return fmt.Errorf("message of type %d, call %v: %w", m.Type, m.Call, err)
		}
		p.MessageHandled()
	}
}

// handle processes one message; an error ends the connection.
func (f *Front) handle(p *connmgr.Peer, m isup.Message) error {
	switch m.Type {
	case isup.SetUp:
		c, err := parseCall(m, time.Now())
		if err != nil {
			return err
		}
		return f.Offer(p, c, nil)
	case isup.Release:
		if _, err := m.Cause(); err != nil {
			return err
		}
		known, unanswered := f.Withdraw(m.Call.String(), nil)
		switch {
		case !known:
			p.CountIdleMessage(0)
			f.ReleaseUnknown(p, m.Call.String())
		case !unanswered: // the call stood
			f.MarkStanding(p)
		}
	case isup.Test:
		p.CountIdleMessage(0)
		cause := isup.NotPassed
		if f.ready() {
			cause = isup.Passed
		}
		p.Send(connmgr.Message{Data: f.encode(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(cause))})
	case isup.Released:
		p.CountIdleMessage(0)
		p.ConfirmEnd(m.Call.String())
	case isup.Progress:
		p.CountIdleMessage(0)
	default:
		return errors.New("unexpected type")
	}
	return nil
}

// maxTimeLeft bounds the time that a caller may give a call; a larger value is an error of the caller.
const maxTimeLeft = 10 * time.Minute

// parseCall reads a set-up. Of its figures only the first choice (dest) and the width are used.
func parseCall(m isup.Message, now time.Time) (agent.Call, error) {
	c := agent.Call{ID: m.Call.String(), Class: m.Text(isup.Class), Tenant: m.Text(isup.Tenant),
		Number: m.Text(isup.Number), Pool: -1}
	left, err := m.Millis(isup.TimeLeft)
	if err == nil && left > maxTimeLeft {
		err = fmt.Errorf("parameter %d: %v is out of range", isup.TimeLeft, left)
	}
	if err != nil {
		return c, err
	}
	c.Deadline = now.Add(left)
	switch mark := m.Text(isup.Retry); mark {
	case "":
	case "1":
		c.Redialled = true
	default:
		return c, fmt.Errorf("parameter %d: %.40q is not 1", isup.Retry, mark)
	}
	c.Description, _ = m.Get(isup.Description)
	var invalid error
	err = isup.EachField(m.Text(isup.Figures), func(name, value string) {
		target, minimum := &c.Pool, 0
		switch name {
		case "dest":
		case "width":
			target, minimum = &c.Width, 1
		default:
			return
		}
		if x, err := strconv.Atoi(value); err != nil || x < minimum {
			invalid = errors.Join(invalid, fmt.Errorf("figure %s: invalid value %.40q", name, value))
		} else {
			*target = x
		}
	})
	return c, errors.Join(err, invalid)
}
