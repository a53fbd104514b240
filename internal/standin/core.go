package standin

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// AgentStub takes the place of the agent behind a front: the test decides.
type AgentStub struct {
	Offered         chan agent.Call
	Withdrawn       chan string
	UnknownReleases chan string
	Busy            bool
	Decide          func(agent.Call) // before the offer returns; nil: later, by the test
}

// NewAgentStub returns a core that takes every call.
func NewAgentStub() *AgentStub {
	return &AgentStub{Offered: make(chan agent.Call, 100), Withdrawn: make(chan string, 100),
		UnknownReleases: make(chan string, 100)}
}

// Offer takes a call unless the core is busy.
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

// Withdraw notes a call that its caller left.
func (c *AgentStub) Withdraw(_ agent.Front, id string) { c.Withdrawn <- id }

// ReleaseUnknown notes a release of a call that the front did not know.
func (c *AgentStub) ReleaseUnknown(id string) { c.UnknownReleases <- id }

// Next returns what comes next on a channel.
func Next[T any](t testing.TB, from <-chan T) (v T) {
	t.Helper()
	select {
	case v = <-from:
	case <-time.After(WaitTimeout):
		require.FailNow(t, "nothing came")
	}
	return v
}

// Serve runs a front on a free port and returns its address.
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
