package connmgr

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// TestRetire checks that a connection is closed for good as soon as nothing is open on it, that one with an open set-up stays
// until the answer is queued, however long that takes, and that set-ups are refused there only where the retirement says so.
// A set-up that was accepted after the close could not be answered there.
func TestRetire(t *testing.T) {
	for _, tc := range []struct {
		name           string
		retirement     func(now time.Time) Retirement
		refused, fails int
	}{
		{"may stay until it pauses", func(time.Time) Retirement { return Retirement{} }, 0, 0},
		{"refuses set-ups later", func(now time.Time) Retirement { return Retirement{RefuseFrom: now.Add(time.Hour)} }, 0, 0},
		{"refuses set-ups", func(now time.Time) Retirement { return Retirement{RefuseFrom: now} }, 1, 0},
		{"fails open set-ups", func(now time.Time) Retirement { return Retirement{RefuseFrom: now, FailAt: now.Add(5 * time.Second)} }, 1, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			retirement := tc.retirement(time.Now())
			front := &countingFront{}
			m := New(Config{}, nullCore{}, front, nil)
			front.m = m
			pausing, busy, kept := addPeer(t, m), addPeer(t, m), addPeer(t, m)
			require.NoError(t, m.Offer(busy, agent.Call{ID: "1"}, nil))
			m.Retire(func(p *Peer, _ bool) *Retirement {
				if p == kept {
					return nil
				}
				return &retirement
			})
			assert.ErrorIs(t, m.Offer(pausing, agent.Call{ID: "2"}, nil), ErrClosing, tc.name)
			require.NoError(t, m.Offer(busy, agent.Call{ID: "3"}, nil))
			require.NoError(t, m.Offer(kept, agent.Call{ID: "4"}, nil))
			assert.Equal(t, tc.refused, front.refused, tc.name)
			m.SendFinal("3", noData)
			time.Sleep(time.Minute)
			m.mu.Lock()
			assert.Equal(t, tc.fails, front.failed, tc.name)
			assert.Equal(t, tc.fails == 0, registered(m, busy), tc.name)
			m.mu.Unlock()
			m.SendFinal("1", noData)
			time.Sleep(retireInterval)
			synctest.Wait()
			assert.ErrorIs(t, m.Offer(busy, agent.Call{ID: "5"}, nil), ErrClosing, tc.name)
			require.NoError(t, m.Offer(kept, agent.Call{ID: "6"}, nil), tc.name)
		})
	}
}

// countingFront counts the refusals and failures of the manager, which it ends as a front does. Its other methods are not
// called.
type countingFront struct {
	agent.Front
	m               *Manager
	refused, failed int
}

func (f *countingFront) Refused(c agent.Call, _ time.Duration) {
	f.refused++
	f.m.SendFinal(c.ID, noData)
}

func (f *countingFront) Failed(c agent.Call, _ error) {
	f.failed++
	f.m.SendFinal(c.ID, noData)
}

// TestRetireTwice guards the limits of a connection through changes in a row: an earlier limit holds, and one whose reason has
// gone does not.
func TestRetireTwice(t *testing.T) {
	early, late := time.Now(), time.Now().Add(time.Hour)
	limited := func(from time.Time) Retirement { return Retirement{RefuseFrom: from, FailAt: from.Add(time.Second)} }
	for _, tc := range []struct{ first, second, want Retirement }{
		{limited(early), limited(late), limited(early)},
		{limited(late), limited(early), limited(early)},
		{limited(early), Retirement{}, Retirement{}},
		{Retirement{}, limited(late), limited(late)},
	} {
		assert.Equal(t, tc.want, *tc.second.keepEarlier(&tc.first))
	}
}

// TestRetireSurplus checks which connections are above the limit: those with the fewest calls, and of these the longest unused.
func TestRetireSurplus(t *testing.T) {
	m := New(Config{MaxPeers: 2}, nullCore{}, nil, nil)
	used, unused, busy := addPeer(t, m), addPeer(t, m), addPeer(t, m)
	unused.lastUsed.Store(0)
	require.NoError(t, m.Offer(busy, agent.Call{ID: "1"}, nil))
	surplus := map[*Peer]bool{}
	m.Retire(func(p *Peer, above bool) *Retirement {
		surplus[p] = above
		return nil
	})
	assert.Equal(t, map[*Peer]bool{used: false, unused: true, busy: false}, surplus)
}
