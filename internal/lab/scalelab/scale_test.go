package scalelab

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"woodrouter/agent"
	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/members"
	"woodrouter/internal/servers/bulletin"
	"woodrouter/internal/standin"
)

// TestMain is the helper process too: a run starts this binary as it would start woodlab.
func TestMain(m *testing.M) {
	if slices.Contains(os.Args, "hollow") {
		if err := RunHelper(os.Stdin, os.Stdout, slog.New(slog.DiscardHandler)); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// eventCounter is a core that counts events of the list.
type eventCounter struct{ n atomic.Int64 }

func (h *eventCounter) Servers([]agent.Server, bool) { h.n.Add(1) }

// TestDiscoveryMessages: of 8 agents each has one watch in flight; nothing is sent while nothing
// changes and no patience ends; each change and each end of patience is one answer and one new
// watch for each agent; a watch and an answer stay within their bytes.
func TestDiscoveryMessages(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const agents = 8
	octet, err := faultnet.ReserveOctet()
	require.NoError(t, err)
	defer octet.Release()
	list, err := NewServerList(octet.Host(1), nil)
	require.NoError(t, err)
	list.ManualExpiry = true
	list.AddEvent(true, endpoints(24, func(string) string { return "127.0.0.1:1" }))
	ctx, cancel := context.WithCancel(context.Background())
	var work sync.WaitGroup
	cores := make([]eventCounter, agents)
	for i := range cores {
		f := &bulletin.Follower{Core: &cores[i], Log: slog.New(slog.DiscardHandler), PollWait: time.Hour, Grace: time.Hour,
			RetryDelay: time.Millisecond, Source: &net.TCPAddr{IP: net.ParseIP(octet.Host(10 + i))}}
		f.SetAddress(list.Addr)
		work.Go(func() { f.Run(ctx) })
	}
	defer func() { cancel(); work.Wait(); list.Close() }()
	settled := func(asked, answered, events int) map[string]WatchStats {
		var w map[string]WatchStats
		require.Eventually(t, func() bool {
			w = list.Watches()
			ok := len(w) == agents
			for i := range cores {
				one := w[octet.Host(10+i)]
				ok = ok && one.Asked == asked && one.Answered == answered && one.InFlight == 1 && cores[i].n.Load() == int64(events)
			}
			return ok
		}, standin.WaitTimeout, time.Millisecond)
		return w
	}
	const watchMost, idleMost, changeMost, wholeMost = 96, 192, 384, 4096 // bytes
	w := settled(2, 1, 1)
	for host, one := range w {
		require.Equal(t, 1, one.MostOpen, host)
		require.LessOrEqual(t, one.In, int64(2*watchMost), host)
		require.LessOrEqual(t, one.Out, int64(wholeMost), host)
	}
	steps := []struct {
		name   string
		do     func()
		events int
		most   int64
	}{
		{"a change", func() { list.AddEvent(false, endpoints(1, func(string) string { return "127.0.0.1:2" })) }, 1, changeMost},
		{"patience ends", list.ExpireWatches, 0, idleMost},
		{"patience ends again", list.ExpireWatches, 0, idleMost},
		{"another change", func() { list.AddEvent(false, endpoints(1, func(string) string { return "127.0.0.1:3" })) }, 1, changeMost},
	}
	asked, events := 2, 1
	for _, s := range steps {
		before := w
		s.do()
		asked++
		events += s.events
		w = settled(asked, asked-1, events)
		for host, one := range w {
			require.Equal(t, 1, one.MostOpen, "%s: %s", s.name, host)
			require.LessOrEqual(t, one.In-before[host].In, int64(watchMost), "%s: %s", s.name, host)
			require.LessOrEqual(t, one.Out-before[host].Out, s.most, "%s: %s", s.name, host)
		}
	}
}

// TestMembersMessages: a membership of 8 that all know sends no more datagrams than its tickers
// give: a probe, its answer and the ways round for each probe interval, and what gossip has left.
// The bound is of counts by ticks, so that a slow machine only sends fewer.
func TestMembersMessages(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	const agents, interval = 8, 500 * time.Millisecond
	// A probe, three asked to probe in its place, and for others the same answered and relayed: 10;
	// gossip to three others at five ticks: 15.
	const most = 25
	octet, err := faultnet.ReserveOctet()
	require.NoError(t, err)
	defer octet.Release()
	var all []*members.Members
	defer func() {
		for _, m := range all {
			m.Shutdown()
		}
	}()
	seed := octet.Host(10) + ":5072"
	for i := range agents {
		m, err := members.Open(members.Config{Bind: fmt.Sprintf("%s:5072", octet.Host(10+i)), Seeds: []string{seed}},
			members.Member{Name: fmt.Sprint("a", i)}, slog.New(slog.DiscardHandler))
		require.NoError(t, err)
		all = append(all, m)
		_, err = m.Rejoin()
		require.NoError(t, err)
	}
	for _, m := range all {
		require.Eventually(t, func() bool { return m.Size() == agents }, standin.WaitTimeout, time.Millisecond)
	}
	began := time.Now()
	before := make([]int64, agents)
	for i, m := range all {
		before[i], _, _ = m.Traffic()
	}
	time.Sleep(2 * interval)
	sum := int64(0)
	for i, m := range all {
		sent, _, bad := m.Traffic()
		sum += sent - before[i]
		require.Zero(t, bad)
	}
	ticks := int64(time.Since(began)/interval) + 2
	require.LessOrEqual(t, sum, agents*most*ticks)
}

// TestRunAllButConfig: a small run of all that is here ends with figures of every agent and process, and
// everybody comes to know everything.
func TestRunAllButConfig(t *testing.T) {
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	self, err := os.Executable()
	require.NoError(t, err)
	p := Plan{Agents: 8, Services: 2, Parts: []string{Discovery, Members, Spread, Zones}, By: ByService, Servers: 10, PerProcess: 4,
		Span: time.Second, Warm: time.Second, JoinMost: 20 * time.Second, DeathMost: 20 * time.Second, Seed: 1}
	r := Run{Plan: p, Self: self, Dir: t.TempDir(), Log: testLog{t}}
	s, err := r.Execute(t.Context())
	require.NoError(t, err)
	s.Print(testLog{t})
	for _, k := range s.Knew {
		require.Equal(t, k.Of, k.Reached, "%s", k)
	}
	for _, part := range p.Parts {
		require.Positive(t, s.PartSent[part].Mean, part)
	}
	require.Positive(t, s.Core.Mean)
	require.Positive(t, s.Watches)
}

type testLog struct{ t *testing.T }

func (l testLog) Write(b []byte) (int, error) {
	l.t.Log(string(b))
	return len(b), nil
}

// TestPlanCheck: plans that can't be played here are refused.
func TestPlanCheck(t *testing.T) {
	good := Plan{Agents: 730, Services: 27, Parts: []string{Discovery}, By: ByFleet, Servers: 24, PerProcess: 50, Span: time.Second}
	require.NoError(t, good.Check())
	cases := map[string]func(p *Plan){
		"no part":       func(p *Plan) { p.Parts = nil },
		"unknown part":  func(p *Plan) { p.Parts = []string{"calls"} },
		"too few":       func(p *Plan) { p.Agents = 2 },
		"processes":     func(p *Plan) { p.PerProcess = 1 },
		"memory":        func(p *Plan) { p.Agents = 1500 },
		"services":      func(p *Plan) { p.By, p.Agents = ByService, 30 },
		"by":            func(p *Plan) { p.By = "zone" },
		"nothing spans": func(p *Plan) { p.Span = 0 },
	}
	for name, spoil := range cases {
		p := good
		spoil(&p)
		require.ErrorIs(t, p.Check(), ErrPlan, name)
	}
}

// TestFit: a line is found, its largest deviation told, and what lies past the sizes is worded so.
func TestFit(t *testing.T) {
	f := FitLine("x", []float64{100, 200, 400}, []float64{12, 18, 42}, 730, 50)
	require.InDelta(t, 0.1029, f.Slope, 1e-3)
	require.InDelta(t, 2.57, f.Residual, 0.1)
	require.False(t, f.Measured)
	require.Contains(t, f.String(), "past the largest size run (400)")
	require.Contains(t, f.String(), "OVER the budget")
	f = FitLine("x", []float64{100, 730}, []float64{10, 20}, 730, 50)
	require.True(t, f.Measured)
	require.Equal(t, 20.0, f.AtTarget)
	require.Contains(t, f.String(), "within the budget")
}

// TestProcesses: every agent is in one process, and whoever others lean on is alone in its own.
func TestProcesses(t *testing.T) {
	for _, p := range []Plan{{Agents: 200, By: ByFleet}, {Agents: 200, By: ByService}, {Agents: 730, By: ByFleet}, {Agents: 730, By: ByService}} {
		for _, skew := range []bool{false, true} {
			p.Services, p.Parts, p.Skew, p.PerProcess = 27, []string{Spread, Zones}, skew, 50
			places := p.identities()
			seen, roles := map[int]int{}, map[string]int{}
			for _, x := range p.processes(places) {
				roles[x.Role]++
				for _, i := range x.Agents {
					seen[i]++
				}
			}
			require.Len(t, seen, p.Agents+1)
			for i, n := range seen {
				require.Equal(t, 1, n, i)
			}
			require.Equal(t, 1, roles[roleEmpty])
			require.Equal(t, 1, roles[roleOrdinary])
			require.GreaterOrEqual(t, roles[roleDecider], 2) // the steward may be one of three
			for _, i := range peers(places, 0)[:deciders] {
				require.Equal(t, "r1", places[i].Region)
			}
		}
	}
}

// TestEvenProcesses: the first agents of all groups, seeds and deciders, are dealt over the processes
// evenly, and so are all agents.
func TestEvenProcesses(t *testing.T) {
	p := Plan{Agents: 730, Services: 27, Parts: []string{Spread, Zones}, By: ByService, PerProcess: 50}
	places := p.identities()
	leaned := map[int]bool{}
	for g := range p.Services {
		for _, i := range peers(places, g)[:deciders] {
			leaned[i] = true
		}
	}
	var agents, first []int
	for _, x := range p.processes(places) {
		if x.Role != "" {
			continue
		}
		n := 0
		for _, i := range x.Agents {
			if leaned[i] {
				n++
			}
		}
		agents, first = append(agents, len(x.Agents)), append(first, n)
	}
	require.LessOrEqual(t, slices.Max(agents)-slices.Min(agents), 2, agents) // the spare is one more
	require.LessOrEqual(t, slices.Max(first)-slices.Min(first), 2, first)
	require.LessOrEqual(t, slices.Max(agents), p.PerProcess+1)
}

// TestConditionsPolledTogether: what is waited for together is looked at together: what never comes holds up
// the sight of nothing else, and who lacks it is named.
func TestConditionsPolledTogether(t *testing.T) {
	places := []Identity{{Name: "a0"}, {Name: "a1"}}
	w := &helper{agents: map[int]*hollowAgent{}}
	for i := range places {
		w.agents[i] = newHollowAgent(&HelperConfig{Places: places}, i, slog.New(slog.DiscardHandler))
		w.agents[i].follows.Store(true)
	}
	w.agents[0].advance("revision", 7)
	ones := map[int]int64{0: 1}
	began := time.Now()
	a := w.awaitConditions(Request{Until: []Condition{{"revision", map[int]int64{0: 7}}, {"follows", ones}}, Most: 10 * conditionPollInterval})
	require.Len(t, a.Until, 2)
	r := Run{identities: places}
	k := r.convergence(namedCondition{"revision", Condition{"revision", map[int]int64{0: 7}}}, a.Until[:1], began)
	require.Equal(t, 1, k.Reached)
	require.Equal(t, []string{"a1: 0 of 7"}, k.Lack)
	require.Contains(t, k.String(), "a1: 0 of 7")
	k = r.convergence(namedCondition{"follows", Condition{"follows", ones}}, a.Until[1:], began)
	require.Equal(t, 2, k.Reached)
	require.Less(t, k.Seconds.Max, (10 * conditionPollInterval).Seconds())
}

// TestStewardsAtMachines: stewards on the control machines need what carries them, and no agent has the role.
func TestStewardsAtMachines(t *testing.T) {
	p := Plan{Agents: 54, Services: 2, Parts: []string{Spread, Config}, By: ByService, Stewards: AtMachines, Servers: 24, PerProcess: 50, Span: time.Second}
	require.NoError(t, p.Check())
	for _, o := range p.processes(p.identities()) {
		require.NotEqual(t, roleSteward, o.Role)
	}
	for _, bad := range []func(*Plan){
		func(p *Plan) { p.By = ByFleet },
		func(p *Plan) { p.Parts = []string{Spread} },
		func(p *Plan) { p.Parts = []string{Config} },
		func(p *Plan) { p.Stewards = "elsewhere" },
	} {
		q := p
		bad(&q)
		require.ErrorIs(t, q.Check(), ErrPlan)
	}
}
