package chainlab

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
)

var bin string

// TestMain also is the bare relay that a rig starts.
func TestMain(m *testing.M) {
	if i := slices.Index(os.Args, "relay"); i > 0 && i+2 < len(os.Args) {
		fmt.Fprintln(os.Stderr, Relay(context.Background(), os.Args[i+1], os.Args[i+2]))
		os.Exit(1)
	}
	os.Exit(lab.BuildAndRun(m, &bin))
}

// TestChain: tens of calls through a chain of three agents, through three relays in their place, and
// through the same chain without either. Every call is answered once, at the full depth, after one set-up at each server. Counts
// only: how long it takes is not looked at.
func TestChain(t *testing.T) {
	const calls = 60
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bed, err := newTestbed(bin, t.TempDir())
	require.NoError(t, err)
	defer bed.close()
	for v, between := range map[variant]int{withAgents: 3, withRelays: 3, direct: 0} {
		t.Run(v.String(), func(t *testing.T) {
			c, err := bed.startChain(ctx, 3, v)
			require.NoError(t, err)
			defer c.close()
			require.Len(t, c.processes, between)
			got, err := c.runLoad(ctx, load{rate: 200, span: time.Minute, maxCalls: calls, seed: 1})
			require.NoError(t, err)
			require.NoError(t, got.check())
			assert.Equal(t, []int{calls, calls, 0, 0}, []int{got.asked, got.answered, got.refused, got.lost})
			assert.EqualValues(t, calls, got.latency.TotalCount())
			assert.EqualValues(t, 3*calls, got.hops.TotalCount(), "each hop of each call")
			for k, server := range c.servers {
				assert.EqualValues(t, calls, server.setUps.Load(), "set-ups at server %d", k)
				assert.Zero(t, server.duplicates.Load()+server.refused.Load(), "server %d", k)
				last := int64(0)
				if k == 2 {
					last = calls
				}
				assert.Equal(t, last, server.answeredHere.Load(), "answered by server %d itself", k)
			}
			for _, a := range c.processes {
				spent, err := processorTime(a.PID())
				assert.NoError(t, err)
				did, err := readWork(a.PID())
				assert.NoError(t, err)
				assert.InDelta(t, spent.Seconds(), did.processor.Seconds(), 0.1, "two accounts of one thing")
				assert.True(t, did.writes >= 2*calls && did.reads > 0 && did.wakeUps > 0, "%+v: a set-up and an answer are written for each call", did)
				rss, err := residentBytes(a.PID())
				assert.NoError(t, err)
				fds, err := countDescriptors(a.PID())
				assert.NoError(t, err)
				assert.True(t, spent >= 0 && rss > 1<<20 && fds > 3, "%v, %d bytes, %d descriptors", spent, rss, fds)
				if t.Failed() {
					t.Log(a.Log())
				}
			}
		})
	}
}

// TestLists: an agent that the system holds to 64 descriptors keeps a connection to each of 8
// servers and answers a third of the limit of callers, twice; of 100 servers it connects to a subset,
// is ready, and answers as many callers. A call whose first choice has no connection is answered there,
// and where calls hold all places by another server: none is refused.
func TestLists(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bed, err := newTestbed(bin, t.TempDir())
	require.NoError(t, err)
	defer bed.close()
	var servers []*chainServer
	for range 100 {
		p, err := bed.startServer("")
		require.NoError(t, err)
		defer p.close()
		servers = append(servers, p)
	}
	m := Lists{SettleTimeout: 10 * time.Second, QuietSpan: 100 * time.Millisecond, CallTimeout: 5 * time.Second}
	few, err := m.run(ctx, bed, servers[:8], 64)
	require.NoError(t, err)
	assert.Equal(t, 8, few.connected)
	assert.Equal(t, 21, few.callers)
	assert.Equal(t, outcomes{answered: 21}, few.first)
	assert.Equal(t, outcomes{answered: 21}, few.second)
	assert.Zero(t, few.demand.asked, "each has a connection")
	m.SettleTimeout = time.Second // it can't have them all
	many, err := m.run(ctx, bed, servers, 64)
	require.NoError(t, err)
	assert.LessOrEqual(t, max(many.connected, many.connectedAfter), 14, "its part of the descriptors")
	assert.LessOrEqual(t, max(many.descriptors, many.descriptorsAfter), 64)
	assert.NotZero(t, many.readyAfter)
	assert.Equal(t, outcomes{answered: 21}, many.first)
	assert.Equal(t, outcomes{answered: 21}, many.second)
	assert.NotZero(t, many.demand.answeredThere)
	assert.LessOrEqual(t, many.demand.elsewhere, many.demand.asked-many.demand.answeredThere)
	assert.Equal(t, []int{16, 0}, []int{many.standing.asked, many.standing.refused})
	assert.NotZero(t, many.standing.elsewhere, "there are fourteen places, and calls stand at them")
	assert.Equal(t, " 0 0 0 0 0", many.logCounts, "none was out of descriptors, none turned away")
	t.Logf("%+v\n%+v", few, many)
}

// TestReports: the measurements' own commands run to their end on a short day, and tell of every
// chain. What they measure is not looked at.
func TestReports(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	var out strings.Builder
	require.NoError(t, Path{Bin: bin, Former: bin, Dir: t.TempDir(), Lengths: []int{1, 2}, Rate: 100, Rounds: 2, Span: 300 * time.Millisecond}.Run(ctx, &out))
	require.NoError(t, Ramp{Bin: bin, Dir: t.TempDir(), Lengths: []int{1}, Base: 64, First: 100, Factor: 2, Steps: 2, Span: 300 * time.Millisecond}.Run(ctx, &out))
	require.NoError(t, Memory{Bin: bin, Dir: t.TempDir(), Step: 100, Samples: 2, Repeats: 1, MemoryMB: 64, CallRate: 1000}.Run(ctx, &out))
	for _, want := range []string{"chain of 1\n", "chain of 2\n", "by relays", "ours, former", "highest rate that held", "calls that stand", "calls that wait for their answer", "idle connections of callers"} {
		assert.Contains(t, out.String(), want)
	}
	assert.Regexp(t, `100: +\d+ KB, \d+ descriptors; 0 calls refused, 100 set-ups`, out.String(), "calls that stand")
	assert.Regexp(t, `20: +\d+ KB, \d+ descriptors; 0 calls refused, \d+ set-ups`, out.String(), "calls that wait, most of them at the agent")
	t.Log(out.String())
}
