package emulator

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestDivert: callers of agents that they are sent away from find one that they may go to, however
// many agents there are and whichever of them is left; where none is, they stay.
func TestDivert(t *testing.T) {
	for n := 1; n <= 32; n++ {
		c := &Callers{}
		for i := range n {
			c.lines = append(c.lines, &line{agent: i})
			c.Divert(i, true)
		}
		for left, l := range c.lines {
			c.Divert(left, false)
			for _, from := range c.lines {
				require.Same(t, l, c.to(from), "%d agents, from %d", n, from.agent)
			}
			c.Divert(left, true)
			require.Same(t, l, c.to(l), "%d agents, none left", n)
		}
	}
}
