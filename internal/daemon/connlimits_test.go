package daemon

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"woodrouter/subset"
)

// TestConnLimits checks that the shares of callers, setup servers and everything else add up to no more than
// the machine's descriptors, that callers get at least the platform's third, and that a list of 60 servers
// fits.
func TestConnLimits(t *testing.T) {
	for _, api := range []bool{false, true} {
		for sockets := 64; sockets <= 8192; sockets++ {
			p := newConnLimits(sockets, api)
			assert.LessOrEqual(t, p.callerTotal()+p.servers+9, sockets, "%d: nine descriptors are in use besides those of servers and callers", sockets)
			assert.GreaterOrEqual(t, p.callers, sockets/3)
			if sockets >= 256 {
				assert.Equal(t, sockets/4, p.extraServers, "a quarter")
				table := subset.New("a", p.servers, 0)
				for i := range 60 {
					table.Update(string(rune('A'+i)), true)
				}
				assert.True(t, table.Fits(), "%d: 60 servers", sockets)
			}
		}
	}
}
