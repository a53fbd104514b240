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
