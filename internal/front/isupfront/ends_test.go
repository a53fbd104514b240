package isupfront

import (
	"testing"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// TestEndNotSentToIdleConnection guards against the end of a call going to a connection that nobody reads, while
// another one of its caller is in use.
func TestEndNotSentToIdleConnection(t *testing.T) {
	f, core, addr := startFront(t, connmgr.Config{})
	for range 10 {
		standin.NewCaller(t, addr)
	}
	leaving, staying := standin.NewCaller(t, addr), standin.NewCaller(t, addr)
	stand := func(c *standin.Caller, id isup.CallID) agent.Call {
		c.SetUp(id, "voice", 3*time.Second, 2)
		call := standin.Next(t, core.Offered)
		f.Answered(call, nil)
		c.Await(t, isup.Answer, id)
		return call
	}
	stand(staying, 1)
	ended := stand(leaving, 2)
	leaving.SetUp(3, "voice", 3*time.Second, 2)
	standin.Next(t, core.Offered)
	leaving.Close()
	standin.Next(t, core.Withdrawn) // the front has seen the close
	f.Ended(ended, nil)
	staying.Await(t, isup.Release, 2)
	f.UnknownEnded("0000000000000007", nil)
	staying.Await(t, isup.Release, 7)
}

// TestEndNotTakenByBadClients guards against ends that go to clients of the same host which never had a call that stood:
// they place calls that are rejected, release invented ones, or test without end, and they are the latest used.
func TestEndNotTakenByBadClients(t *testing.T) {
	for _, tc := range []struct {
		name string
		send func(c *standin.Caller, id isup.CallID)
	}{
		{"releases of unknown calls", func(c *standin.Caller, id isup.CallID) {
			c.Send(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))
		}},
		{"rejected set-ups", func(c *standin.Caller, id isup.CallID) {
			c.SetUp(id, "no such class", time.Second, 2)
			c.Await(t, isup.Release, id)
		}},
	} {
		for _, listens := range []bool{false, true} { // the caller has had a call there, or it merely listens
			t.Run(tc.name, func(t *testing.T) {
				f, core, addr := startFront(t, connmgr.Config{})
				core.Decide = func(c agent.Call) {
					if c.Class != "voice" {
						f.Rejected(c, agent.ErrUnknownClass)
					}
				}
				stand := func(c *standin.Caller, id isup.CallID) agent.Call {
					c.SetUp(id, "voice", 3*time.Second, 2)
					call := standin.Next(t, core.Offered)
					f.Answered(call, nil)
					c.Await(t, isup.Answer, id)
					return call
				}
				staying, leaving := standin.NewCaller(t, addr), standin.NewCaller(t, addr)
				if !listens {
					stand(staying, 1)
				}
				ended := stand(leaving, 2)
				leaving.SetUp(3, "voice", 3*time.Second, 2)
				standin.Next(t, core.Offered)
				leaving.Close()
				standin.Next(t, core.Withdrawn) // the front has seen the close
				for i := range 12 {
					bad := standin.NewCaller(t, addr)
					tc.send(bad, isup.CallID(100+i))
					bad.Send(isup.Message{Type: isup.Test, Call: 9}.WithCause(isup.NotPassed))
					bad.Await(t, isup.TestResult, 9)
				}
				f.Ended(ended, nil)
				staying.Await(t, isup.Release, 2)
			})
		}
	}
}
