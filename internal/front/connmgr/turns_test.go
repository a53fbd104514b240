package connmgr

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// TestTurnOrder guards callers against busy connections: each waits for one message of every other connection, a
// connection on which a call was served only for those of its kind and a share of the others.
func TestTurnOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		turns := NewTurns(1)
		turns.acquire(unproven)
		order := ""
		wait := func(name string, p priority) {
			go func() {
				turns.acquire(p)
				order += name
				turns.release()
			}()
			synctest.Wait()
		}
		for range 3 {
			wait("u", unproven)
		}
		for range maxServedInRow + 2 {
			wait("s", served)
		}
		turns.release()
		synctest.Wait()
		assert.Equal(t, "ssssssssussuu", order)
		turns.acquire(unproven) // it is free again
		turns.release()
	})
}

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
