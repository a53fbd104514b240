package standin

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// AgentStub stands in for the agent behind a front. The test decides what happens to each call.
type AgentStub struct {
	Offered         chan agent.Call  // calls that Offer accepted
	Withdrawn       chan string      // IDs of calls whose callers withdrew them
	UnknownReleases chan string      // IDs of released calls that the front did not know
	Busy            bool             // Offer refuses every call
	Decide          func(agent.Call) // called before Offer returns; nil: the test decides later
}

// NewAgentStub returns a stub that accepts every call.
func NewAgentStub() *AgentStub {
	return &AgentStub{Offered: make(chan agent.Call, 100), Withdrawn: make(chan string, 100),
		UnknownReleases: make(chan string, 100)}
}

// Offer accepts a call unless the stub is busy.
func (c *AgentStub) Offer(_ agent.Front, call agent.Call) bool {
	if c.Busy {
		return false
	}
	if c.Decide != nil {
		c.Decide(call)
	}
	c.Offered <- call
	return true
}

// Withdraw records that a call's caller withdrew it.
func (c *AgentStub) Withdraw(_ agent.Front, id string) { c.Withdrawn <- id }

// ReleaseUnknown records a release of a call that the front did not know.
func (c *AgentStub) ReleaseUnknown(id string) { c.UnknownReleases <- id }

// Next returns the next value from a channel. It fails the test if none comes within WaitTimeout.
func Next[T any](t testing.TB, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(WaitTimeout):
		require.FailNow(t, "nothing came")
	}
	return v
}

// Serve runs a front on a free port until the test ends, and returns its address.
func Serve(t testing.TB, f interface {
	Serve(net.Listener) error
	Close()
}) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go f.Serve(ln)
	t.Cleanup(func() { ln.Close(); f.Close() })
	return ln.Addr().String()
}
