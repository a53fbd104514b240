// Package isupfront takes calls from callers on binary signalling. It is thin: it turns
// messages into calls of package agent and outcomes into messages.
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

// Front serves callers; Serve and Close are its desk's.
type Front struct {
	*connmgr.Manager
	ready func() bool
}

// New returns a front that hands calls to core; ready answers tests.
func New(cfg connmgr.Config, core connmgr.Core, ready func() bool) *Front {
	f := &Front{ready: ready}
	f.Manager = connmgr.New(cfg, core, f, f.readMessages)
	return f
}

// encode words a message; what can't be worded closes nothing and says nothing.
func (f *Front) encode(m isup.Message) []byte {
	b, err := m.Append(nil)
	if err != nil {
		f.Log.Error("message not sent", "call", m.Call, "error", err)
	}
	return b
}

func newMessage(t isup.Type, id string) isup.Message {
	n, _ := isup.ParseCallID(id) // the id came in by this front
	return isup.Message{Type: t, Call: n}
}

func (f *Front) encoder(m isup.Message) func(any) []byte {
	return func(any) []byte { return f.encode(m) }
}

// Answered passes the setup server's description on, unchanged.
func (f *Front) Answered(c agent.Call, description []byte) {
	f.SendAnswer(c.ID, f.encoder(newMessage(isup.Answer, c.ID).With(isup.Description, description)))
}

// Refused passes a refusal on, with when to return.
func (f *Front) Refused(c agent.Call, retryAfter time.Duration) {
	m := newMessage(isup.Release, c.ID).WithCause(isup.Congestion)
	if retryAfter > 0 {
		m = m.WithMillis(isup.RetryAfter, retryAfter)
	}
	f.SendFinal(c.ID, f.encoder(m))
}

// Failed passes a failure on.
func (f *Front) Failed(c agent.Call, _ error) {
	f.SendFinal(c.ID, f.encoder(newMessage(isup.Release, c.ID).WithCause(isup.Unavailable)))
}

// Rejected ends the connection that used an id of another front's call, as any answer
// would seem to be of that call; other rejections are failures.
func (f *Front) Rejected(c agent.Call, err error) {
	if errors.Is(err, agent.ErrDuplicate) {
		f.FailCall(c.ID, err)
		return
	}
	f.Log.Warn("call rejected", "call", c.ID, "class", fmt.Sprintf("%.40s", c.Class), "error", err)
	f.Failed(c, err)
}

// Ended passes the end of a call that stood on.
func (f *Front) Ended(c agent.Call, err error) { f.SendEnd(c.ID, f.endMessage(c.ID, err)) }

// UnknownEnded passes the end of a call from before a restart on.
func (f *Front) UnknownEnded(id string, err error) {
	f.Manager.SendUnknownEnd(id, f.endMessage(id, err))
}

func (f *Front) endMessage(id string, err error) []byte {
	cause := isup.Normal
	if err != nil {
		cause = isup.TempFailure
	}
	return f.encode(newMessage(isup.Release, id).WithCause(cause))
}

// readMessages reads one connection. Idle ones end, but for those with a set-up open.
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
	}
}

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
		if known, _, _ := f.Withdraw(m.Call.String()); !known {
			f.ReleaseUnknown(m.Call.String())
		}
	case isup.Test:
		cause := isup.NotPassed
		if f.ready() {
			cause = isup.Passed
		}
		p.Send(connmgr.Message{Data: f.encode(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(cause))})
	case isup.Progress, isup.Released:
	default:
		return errors.New("unexpected type")
	}
	return nil
}

// maxTimeLeft bounds a caller's patience: more is no figure that anyone means.
const maxTimeLeft = 10 * time.Minute

// parseCall reads a set-up. Of the figures the first choice and the width matter here.
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
	var bad error
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
			bad = errors.Join(bad, fmt.Errorf("figure %s: %.40q", name, value))
		} else {
			*target = x
		}
	})
	return c, errors.Join(err, bad)
}
