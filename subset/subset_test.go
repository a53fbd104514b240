package subset

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const minIdle = time.Second

func (t *Table) preferredIDs() (ids []string) {
	for id, s := range t.servers {
		if s.preferred {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// missing counts the wanted servers that are not present; with onlyReachable, unreachable ones don't count.
func (t *Table) missing(present, wanted []string, onlyReachable bool) (n int) {
	for _, id := range wanted {
		s := t.servers[id]
		if !slices.Contains(present, id) && !(onlyReachable && s != nil && s.use.Failed) {
			n++
		}
	}
	return n
}

// TestTableInvariants runs random events and checks the bounds of the package: slots are never exceeded, no
// server in use and no reachable server of the preferred set loses its slot, a call is refused only if no
// slot is available, additional connections leave room for first ones, and a change of the list moves at most
// one reachable server into the preferred set and one out of it.
func TestTableInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConnections := rapid.IntRange(1, 40).Draw(t, "most")
		table, now := New("a", maxConnections, minIdle), time.Unix(0, 0)
		ids := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "sa", "sb", "sc", "sd", "se", "sf", "sg", "sh", "si", "sj"})
		fitted := true // the list fitted before the event
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			id, before := ids.Draw(t, "id"), table.preferredIDs()
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				table.Update(id, rapid.IntRange(0, 4).Draw(t, "up") > 0)
			case 2:
				table.Remove(id)
			case 3:
				table.SetUse(now, id, Use{Pinned: rapid.Bool().Draw(t, "pinned"), Failed: rapid.IntRange(0, 4).Draw(t, "failed") == 0})
			case 4:
				purpose := rapid.SampledFrom([]Purpose{Standby, ForCall}).Draw(t, "need")
				previous := map[string]server{}
				for _, s := range table.servers {
					previous[s.id] = *s
				}
				evicted, ok := table.Acquire(now, id, purpose)
				if v := previous[evicted]; evicted != "" {
					require.True(t, ok && !table.HasSlot(evicted) && !v.use.Pinned && (v.use.Failed || !v.preferred && now.Sub(v.lastUsedAt) >= minIdle), "%+v", v)
				}
				require.True(t, !ok || table.HasSlot(id))
				if s := table.servers[id]; s != nil && !ok && purpose == ForCall {
					require.Nil(t, table.victim(now), "an idle server could be evicted")
					require.GreaterOrEqual(t, table.held, table.slots)
				}
			case 5:
				table.Release(id)
			case 6:
				if table.AddExtra(id) {
					require.LessOrEqual(t, table.extra+min(len(table.servers), table.slots), maxConnections)
				}
				table.SetExtra(id, rapid.IntRange(0, 2).Draw(t, "beside"))
			}
			gained := table.UpdatePreferred()
			after := table.preferredIDs()
			require.Equal(t, len(gained), table.missing(before, after, false))
			if !fitted && !table.Fits() {
				require.LessOrEqual(t, max(table.missing(before, after, true), table.missing(after, before, true)), 1, "%v to %v", before, after)
			}
			fitted = table.Fits()
			held := 0
			for _, s := range table.servers {
				if s.hasSlot {
					held++
				}
			}
			require.Equal(t, held, table.held)
			require.LessOrEqual(t, held, table.slots)
			if fitted {
				for _, s := range table.servers {
					require.Equal(t, s.up, s.preferred)
					_, ok := table.Acquire(now, s.id, Standby)
					require.True(t, ok, "if the list fits, every server gets a slot")
					table.SetUse(now, s.id, Use{})
				}
			}
		}
	})
}

// TestPreferredSetsAreBalanced guards against a hash that overloads some servers: over a fleet, each server
// must be in as many preferred sets as independent random choices give, within five standard deviations.
func TestPreferredSetsAreBalanced(t *testing.T) {
	for _, size := range []struct{ agents, servers, most int }{{730, 730, 96}, {270, 730, 228}, {60, 300, 96}} {
		degree := map[string]int{}
		k := 0
		for a := range size.agents {
			table := New(fmt.Sprint("agent-", a), size.most, minIdle)
			for s := range size.servers {
				table.Update(fmt.Sprint("s-", s), true)
			}
			k = len(table.UpdatePreferred())
			for _, id := range table.preferredIDs() {
				degree[id]++
			}
		}
		p := float64(k) / float64(size.servers)
		mean := p * float64(size.agents)
		off := 5 * math.Sqrt(mean*(1-p))
		for s := range size.servers {
			assert.InDelta(t, mean, degree[fmt.Sprint("s-", s)], off, "%+v", size)
		}
	}
}

// TestEvictionOrder checks that a call evicts an unreachable server first, otherwise the one idle for
// longest, and never one in use or idle for less than the minimum.
func TestEvictionOrder(t *testing.T) {
	table, now := New("a", 5, minIdle), time.Unix(100, 0) // five slots, two of them for the preferred set
	for i := range 10 {
		table.Update(fmt.Sprint("s", i), true)
	}
	preferred := table.UpdatePreferred()
	require.Len(t, preferred, 2)
	var others []string
	for i := range 10 {
		if id := fmt.Sprint("s", i); !slices.Contains(preferred, id) {
			others = append(others, id)
		}
	}
	for _, id := range append(slices.Clone(preferred), others[:3]...) {
		_, ok := table.Acquire(now, id, ForCall)
		require.True(t, ok)
	}
	take := func(id string) string {
		evicted, ok := table.Acquire(now, id, ForCall)
		require.Equal(t, evicted != "", ok)
		return evicted
	}
	assert.Empty(t, take(others[3]), "all are in use")
	for i, id := range others[:3] {
		table.SetUse(now.Add(time.Duration(-i)*time.Millisecond), id, Use{})
	}
	table.SetUse(now.Add(-time.Hour), preferred[0], Use{})
	assert.Empty(t, take(others[3]), "idle for too short a time, or preferred")
	now = now.Add(minIdle)
	assert.Equal(t, others[2], take(others[3]))
	table.SetUse(now, preferred[1], Use{Failed: true})
	assert.Equal(t, preferred[1], take(others[4]))
	assert.Len(t, table.UpdatePreferred(), 1, "the next in order joins the set")
	assert.True(t, table.IsPreferred(preferred[1]), "the unreachable server stays in the set")
}
