package connmgr

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// refusingFront counts the calls that the manager refuses. Its other methods are not called.
type refusingFront struct {
	agent.Front
	refused int
}

func (f *refusingFront) Refused(agent.Call, time.Duration) { f.refused++ }

// TestPeerCallsLimited guards the share of other callers against one whose calls use up the number that may stand.
func TestPeerCallsLimited(t *testing.T) {
	front := &refusingFront{}
	m := New(Config{MaxPeerCalls: 2}, nullCore{}, front, nil)
	busy, other := addPeer(t, m), addPeer(t, m)
	for _, id := range []string{"1", "2", "3"} {
		require.NoError(t, m.Offer(busy, agent.Call{ID: id}, nil))
	}
	require.NoError(t, m.Offer(other, agent.Call{ID: "4"}, nil))
	assert.Equal(t, 1, front.refused)
}
