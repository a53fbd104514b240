package daemon

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"woodrouter/subset"
)

// TestConnLimits: what callers, setup servers and all others may hold is no more than there is, callers
// have more than the platform's third, and each of today's lists fits as it did.
func TestConnLimits(t *testing.T) {
	for _, api := range []bool{false, true} {
		for sockets := 64; sockets <= 8192; sockets++ {
			p := newConnLimits(sockets, api)
			assert.LessOrEqual(t, p.callerTotal()+p.servers+9, sockets, "%d: nine were measured beside servers and callers", sockets)
			assert.GreaterOrEqual(t, p.callers, sockets/3)
			if sockets >= 256 {
				assert.Equal(t, sockets/4, p.extraServers, "as before")
				table := subset.New("a", p.servers, 0)
				for i := range 60 {
					table.Update(string(rune('A'+i)), true)
				}
				assert.True(t, table.Fits(), "%d: 60 servers", sockets)
			}
		}
	}
}
