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

// TestMain also runs the bare relay, which a testbed starts as a process of this test binary.
func TestMain(m *testing.M) {
	if i := slices.Index(os.Args, "relay"); i > 0 && i+2 < len(os.Args) {
		fmt.Fprintln(os.Stderr, Relay(context.Background(), os.Args[i+1], os.Args[i+2]))
		os.Exit(1)
	}
	os.Exit(lab.BuildAndRun(m, &bin))
}

// TestChain sends 60 calls through a chain of three agents, through three relays in their place, and
// through the same servers without either. It guards against lost, duplicated and misrouted calls: every
// call must be answered once, at the full depth, after one set-up at each server. It checks counts, not
// times.
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
			for _, process := range c.processes {
				spent, err := processorTime(process.PID())
				assert.NoError(t, err)
				did, err := readWork(process.PID())
				assert.NoError(t, err)
				assert.InDelta(t, spent.Seconds(), did.processor.Seconds(), 0.1, "processor time from stat and from schedstat")
				assert.True(t, did.writes >= 2*calls && did.reads > 0 && did.wakeUps > 0, "%+v: a set-up and an answer are written for each call", did)
				rss, err := residentBytes(process.PID())
				assert.NoError(t, err)
				fds, err := countDescriptors(process.PID())
				assert.NoError(t, err)
				assert.True(t, spent >= 0 && rss > 1<<20 && fds > 3, "%v, %d bytes, %d descriptors", spent, rss, fds)
				if t.Failed() {
					t.Log(process.Log())
				}
			}
		})
	}
}

// TestLists limits an agent to 64 descriptors. With 8 servers it must keep a connection to each and
// answer 21 callers (a third of the limit) twice. With 100 servers it must connect to a subset, become
// ready, and answer as many callers. A call whose first choice has no connection must be answered by that
// server, or by another one if standing calls occupy all places for connections; none may be refused.
func TestLists(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	bed, err := newTestbed(bin, t.TempDir())
	require.NoError(t, err)
	defer bed.close()
	var servers []*chainServer
	for range 100 {
		server, err := bed.startServer("")
		require.NoError(t, err)
		defer server.close()
		servers = append(servers, server)
	}
	m := Lists{SettleTimeout: 10 * time.Second, QuietSpan: 100 * time.Millisecond, CallTimeout: 5 * time.Second}
	few, err := m.run(ctx, bed, servers[:8], 64)
	require.NoError(t, err)
	assert.Equal(t, 8, few.connected)
	assert.Equal(t, 21, few.callers)
	assert.Equal(t, outcomes{answered: 21}, few.first)
	assert.Equal(t, outcomes{answered: 21}, few.second)
	assert.Zero(t, few.demand.asked, "each has a connection")
	m.SettleTimeout = time.Second // it can't connect to all of them
	many, err := m.run(ctx, bed, servers, 64)
	require.NoError(t, err)
	assert.LessOrEqual(t, max(many.connected, many.connectedAfter), 14, "connections beyond its part of the descriptors")
	assert.LessOrEqual(t, max(many.descriptors, many.descriptorsAfter), 64)
	assert.NotZero(t, many.readyAfter)
	assert.Equal(t, outcomes{answered: 21}, many.first)
	assert.Equal(t, outcomes{answered: 21}, many.second)
	assert.NotZero(t, many.demand.answeredThere)
	assert.LessOrEqual(t, many.demand.elsewhere, many.demand.asked-many.demand.answeredThere)
	assert.Equal(t, []int{16, 0}, []int{many.standing.asked, many.standing.refused})
	assert.NotZero(t, many.standing.elsewhere, "more standing calls than the fourteen places for connections")
	assert.Equal(t, " 0 0 0 0 0", many.logCounts, "counts of log lines about missing descriptors or refused callers")
	t.Logf("%+v\n%+v", few, many)
}

// TestReports runs every measurement with short spans. Each must finish and report on every chain; the
// measured values are not checked.
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
	assert.Regexp(t, `20: +\d+ KB, \d+ descriptors; 0 calls refused, \d+ set-ups`, out.String(), "waiting calls, most of them at the agent")
	t.Log(out.String())
}
