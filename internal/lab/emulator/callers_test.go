package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDivert: callers diverted from their agent reach the only agent left, for any number of agents and
// whichever is left. A search in fixed steps could miss it. If no agent is left, callers stay at their own.
func TestDivert(t *testing.T) {
	for n := 1; n <= 32; n++ {
		c := &Callers{}
		for i := range n {
			c.conns = append(c.conns, &callerConn{agent: i})
			c.Divert(i, true)
		}
		for left, l := range c.conns {
			c.Divert(left, false)
			for _, from := range c.conns {
				require.Same(t, l, c.connFor(from), "%d agents, from %d", n, from.agent)
			}
			c.Divert(left, true)
			require.Same(t, l, c.connFor(l), "%d agents, none left", n)
		}
	}
}
