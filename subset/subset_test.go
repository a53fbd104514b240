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

const quiet = time.Second

func (t *Table) standing() (ids []string) {
	for id, s := range t.servers {
		if s.standing {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// missing counts those of some servers that are not among others; reached: that were reached lately.
func (t *Table) missing(from, of []string, reached bool) (n int) {
	for _, id := range of {
		s := t.servers[id]
		if !slices.Contains(from, id) && !(reached && s != nil && s.use.Failed) {
			n++
		}
	}
	return n
}

// TestBounds: whatever comes, no more servers have a place than there are places, none in use and
// none of the standing set that was reached loses its own, a call is turned away only where no place
// is to be had, connections beside first ones leave room for those, and a change of the list moves
// one reached server into the standing set and one out of it.
func TestBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		most := rapid.IntRange(1, 40).Draw(t, "most")
		table, now := New("a", most, quiet), time.Unix(0, 0)
		ids := rapid.SampledFrom([]string{"s0", "s1", "s2", "s3", "s4", "s5", "s6", "s7", "s8", "s9", "sa", "sb", "sc", "sd", "se", "sf", "sg", "sh", "si", "sj"})
		whole := true // it fitted before
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
			id, before := ids.Draw(t, "id"), table.standing()
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0, 1:
				table.Listed(id, rapid.IntRange(0, 4).Draw(t, "up") > 0)
			case 2:
				table.Forget(id)
			case 3:
				table.Used(now, id, Use{Pinned: rapid.Bool().Draw(t, "pinned"), Failed: rapid.IntRange(0, 4).Draw(t, "failed") == 0})
			case 4:
				need := rapid.SampledFrom([]Need{Ready, Call}).Draw(t, "need")
				was := map[string]server{}
				for _, s := range table.servers {
					was[s.id] = *s
				}
				from, ok := table.Take(now, id, need)
				if v := was[from]; from != "" {
					require.True(t, ok && !table.Has(from) && !v.use.Pinned && (v.use.Failed || !v.standing && now.Sub(v.since) >= quiet), "%+v", v)
				}
				require.True(t, !ok || table.Has(id))
				if s := table.servers[id]; s != nil && !ok && need == Call {
					require.Nil(t, table.idlest(now), "somebody is idle")
					require.GreaterOrEqual(t, table.held, table.places)
				}
			case 5:
				table.Leave(id)
			case 6:
				if table.Another(id) {
					require.LessOrEqual(t, table.beside+min(len(table.servers), table.places), most)
				}
				table.Beside(id, rapid.IntRange(0, 2).Draw(t, "beside"))
			}
			gained := table.Settle()
			after := table.standing()
			require.Equal(t, len(gained), table.missing(before, after, false))
			if !whole && !table.Fits() {
				require.LessOrEqual(t, max(table.missing(before, after, true), table.missing(after, before, true)), 1, "%v to %v", before, after)
			}
			whole = table.Fits()
			held := 0
			for _, s := range table.servers {
				if s.placed {
					held++
				}
			}
			require.Equal(t, held, table.held)
			require.LessOrEqual(t, held, table.places)
			if whole {
				for _, s := range table.servers {
					require.Equal(t, s.up, s.standing)
					_, ok := table.Take(now, s.id, Ready)
					require.True(t, ok, "where the list fits nobody is turned away")
					table.Used(now, s.id, Use{})
				}
			}
		}
	})
}

// TestBalance: the standing sets of a fleet lie evenly over the servers, within what independent draws
// give (five standard deviations), and an agent more moves nothing at the others.
func TestBalance(t *testing.T) {
	for _, size := range []struct{ agents, servers, most int }{{730, 730, 96}, {270, 730, 228}, {60, 300, 96}} {
		degree := map[string]int{}
		k := 0
		for a := range size.agents {
			table := New(fmt.Sprint("agent-", a), size.most, quiet)
			for s := range size.servers {
				table.Listed(fmt.Sprint("s-", s), true)
			}
			k = len(table.Settle())
			for _, id := range table.standing() {
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

// TestOrder: a call takes the place of a server that was not reached, else of the one idle longest;
// never that of one in use or idle for less than the quiet time.
func TestOrder(t *testing.T) {
	table, now := New("a", 5, quiet), time.Unix(100, 0) // five places, two of them standing
	for i := range 10 {
		table.Listed(fmt.Sprint("s", i), true)
	}
	standing := table.Settle()
	require.Len(t, standing, 2)
	var others []string
	for i := range 10 {
		if id := fmt.Sprint("s", i); !slices.Contains(standing, id) {
			others = append(others, id)
		}
	}
	for _, id := range append(slices.Clone(standing), others[:3]...) {
		_, ok := table.Take(now, id, Call)
		require.True(t, ok)
	}
	take := func(id string) string {
		from, ok := table.Take(now, id, Call)
		require.Equal(t, from != "", ok)
		return from
	}
	assert.Empty(t, take(others[3]), "all are in use")
	for i, id := range others[:3] {
		table.Used(now.Add(time.Duration(-i)*time.Millisecond), id, Use{})
	}
	table.Used(now.Add(-time.Hour), standing[0], Use{})
	assert.Empty(t, take(others[3]), "idle just now, or standing")
	now = now.Add(quiet)
	assert.Equal(t, others[2], take(others[3]))
	table.Used(now, standing[1], Use{Failed: true})
	assert.Equal(t, standing[1], take(others[4]))
	assert.Len(t, table.Settle(), 1, "the next in order stands in")
	assert.True(t, table.Standing(standing[1]), "and it stays in it")
}
