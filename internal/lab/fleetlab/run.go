// Package fleetlab tests large fleets: hundreds of call agents as processes of the program, emulated
// setup servers, callers with uneven load, and faults drawn from a seed. It reports how evenly the load
// was spread and what the faults cost. For comparison it runs reference policies with the same seeds:
// a random choice by capacity, the server with the fewest pending calls as each agent sees it, and one
// dispatcher that knows every queue. cmd/woodlab and tests use it.
package fleetlab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"regexp"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"woodrouter/internal/lab/cluster"
	"woodrouter/internal/lab/emulator"
)

// Scenario configures a run. Equal scenarios draw equal loads and faults.
type Scenario struct {
	Bin, Dir    string
	Seed        uint64
	Agents      int
	Servers     int
	Load        float64 // as a share of the servers' total capacity
	Choice      float64 // coefficient of variation of calls' first choices; negative: calls name none
	Window      time.Duration
	FaultSpan   time.Duration // time before the first fault, and the time of each fault with its recovery
	Faults      []string      // names, in the order to inject; nil: all
	BurstFactor float64       // load in the burst, as a multiple of the usual load
	Policy      string        // PolicyAgent or a reference policy; "": PolicyAgent
	Env         func(c *cluster.Cluster, agent int) ([]string, error)
	Gossip      bool // agents gossip, so the gossip can be partitioned
}

// PolicyAgent runs the program itself; the reference policies are in reference.go.
const PolicyAgent = "agent"

// Deployment returns the fleet's deployment: one campus of servers whose capacities differ by a factor of
// about four.
func Deployment(servers int) emulator.Deployment {
	d := emulator.Campus()
	d.Name, d.ReportFields, d.Cold, d.Repeat = "fleet", []string{"util", "queue"}, 8*time.Second, 0
	d.Capacity = nil
	rng := rand.New(rand.NewPCG(99, 1))
	for i := range servers {
		d.Capacity = append(d.Capacity, []float64{8, 12, 16, 24, 32}[i%5]*(0.9+0.2*rng.Float64()))
	}
	d.Classes = []emulator.Class{{Name: "call", Share: 1, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25, TryShare: 0.35}}
	d.Tenants, d.Hold, d.HandshakePrice, d.ProbePrice = nil, 4*time.Second, 0.02, 0.004
	d.Keepalive, d.Lines = 0, 0
	return d
}

// WindowStats are the statistics of one time window.
type WindowStats struct {
	At             time.Duration
	Fault          string  // the fault under way as the window ended
	SetUpRate      float64 // set-ups per second that reached servers
	Dispersion     float64 // of set-ups over servers, relative to capacity; 1: as in independent random draws
	PeakLoad       float64 // largest ratio of a server's set-ups to its share by capacity
	IdleSeconds    float64 // server-seconds in which a healthy server had no set-up for longer than maxIdle
	FullShare      float64 // share of set-ups that servers turned away
	AttemptsPerTry float64 // set-ups per try of a caller
	Handshakes     int
	Probes         int
	Connections    int // open connections at the window's end
	Lost           int
	WorthShare     float64 // share of the offered worth that was served
	P99            time.Duration
}

// Report is the result of a run.
type Report struct {
	Scenario
	Windows      []WindowStats
	Outcome      emulator.Outcome
	BrokenRules  map[string]int
	Err          error // the broken rules, or nil
	SpreadStatus string
}

// maxIdle is the time without a set-up after which a healthy server counts as idle.
const maxIdle = 2 * time.Second

// Run starts the fleet, injects the faults while callers place calls, and returns the report.
func (r Scenario) Run(ctx context.Context) (Report, error) {
	r.Window = cmp.Or(r.Window, 5*time.Second)
	r.FaultSpan = cmp.Or(r.FaultSpan, 15*time.Second)
	if r.Faults == nil {
		r.Faults = FaultNames()
	}
	report := Report{Scenario: r}
	deployment := Deployment(r.Servers)
	agents := r.Agents
	fleet := &cluster.Cluster{}
	var err error
	if r.Policy == PolicyAgent || r.Policy == "" {
		fleet, err = cluster.Start(ctx, cluster.Config{Bin: r.Bin, Dir: r.Dir, Deployment: deployment, Agents: agents, Servers: r.Servers, Seed: r.Seed, Env: r.Env, WithGossip: r.Gossip})
	} else {
		fleet, err = startReference(r, deployment)
	}
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	if r.Gossip {
		if err := awaitGossip(ctx, fleet); err != nil {
			return report, err
		}
	}
	run := &activeRun{Scenario: r, fleet: fleet, rng: rand.New(rand.NewPCG(r.Seed, 31)), startedAt: time.Now()}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	run.callers = fleet.StartCallers(loadCtx, emulator.Load{Rates: emulator.UnevenRates(agents, r.Load*deployment.Total(r.Servers), r.Seed), Seed: r.Seed, ChoiceVariation: r.Choice, ChoicePeriod: 12 * time.Second})
	windows := make(chan []WindowStats)
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() { windows <- run.recordWindows(watchCtx) }()
	err = run.injectFaults(ctx)
	stopWatching()
	report.Windows = <-windows
	run.callers.Wait()
	report.Outcome, _ = run.callers.Tally()
	report.BrokenRules, report.Err = fleet.World.Check.Broken(), fleet.World.Check.Err()
	if len(fleet.Procs) > 0 {
		report.SpreadStatus = fleet.ConsoleCommand(0, "SPREAD")
	}
	return report, err
}

// maxSettleTime bounds how long the agents may take to find each other.
const maxSettleTime = 90 * time.Second

var agentsHeard = regexp.MustCompile(`(\d+) agents heard`)

// awaitGossip waits until the last agent hears from at least 95 % of the agents that spread in common.
func awaitGossip(ctx context.Context, fleet *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	for {
		status := fleet.ConsoleCommand(fleet.Agents-1, "SPREAD")
		if m := agentsHeard.FindStringSubmatch(status); m != nil {
			if n, _ := strconv.Atoi(m[1]); n >= fleet.Agents*95/100 {
				return nil
			}
		}
		if pause(ctx, 200*time.Millisecond); ctx.Err() != nil {
			return fmt.Errorf("fleet: agents have not found each other in %v: %s", maxSettleTime, status)
		}
	}
}

// activeRun is the state of a running scenario.
type activeRun struct {
	Scenario
	fleet        *cluster.Cluster
	callers      *emulator.Callers
	rng          *rand.Rand
	startedAt    time.Time
	currentFault atomic.Value // string: name of the fault under way, or ""
}

// counters holds the values of all counters at one moment.
type counters struct {
	servers map[*emulator.Server]emulator.Counts
	sum     emulator.Outcome
}

func (r *activeRun) readCounters() counters {
	now := counters{servers: map[*emulator.Server]emulator.Counts{}}
	for _, server := range r.fleet.World.All() {
		now.servers[server] = server.Counts()
	}
	return now
}

// recordWindows records the statistics of each window until ctx ends.
func (r *activeRun) recordWindows(ctx context.Context) (windows []WindowStats) {
	before := r.readCounters()
	before.sum, _ = r.callers.Tally()
	idle := 0.0
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	windowEnd := time.Now().Add(r.Window)
	for {
		select {
		case <-ctx.Done():
			return windows
		case now := <-tick.C:
			for _, server := range r.fleet.World.Listed() {
				if counts := server.Counts(); server.Healthy(3*time.Second) && !counts.LastSetUp.IsZero() && now.Sub(counts.LastSetUp) > maxIdle || server.Healthy(3*time.Second) && counts.LastSetUp.IsZero() && now.Sub(r.startedAt) > maxIdle {
					idle += 0.1
				}
			}
			if now.Before(windowEnd) {
				continue
			}
			windowEnd = windowEnd.Add(r.Window)
			after := r.readCounters()
			var waits []time.Duration
			after.sum, waits = r.callers.Tally()
			window := r.windowStats(before, after, waits)
			window.At, window.IdleSeconds = now.Sub(r.startedAt).Round(100*time.Millisecond), idle
			windows = append(windows, window)
			before, idle = after, 0
		}
	}
}

func (r *activeRun) windowStats(before, after counters, waits []time.Duration) WindowStats {
	window := WindowStats{}
	window.Fault, _ = r.currentFault.Load().(string)
	var setUps, capacity, full float64
	for server, now := range after.servers {
		was := before.servers[server]
		setUps += float64(now.SetUps - was.SetUps)
		full += float64(now.TurnedAway - was.TurnedAway)
		capacity += now.Capacity - was.Capacity
		window.Handshakes += now.Handshakes - was.Handshakes
		window.Probes += now.Probes - was.Probes
		window.Connections += server.Connections()
	}
	chiSquare, servers := 0.0, 0
	for server, now := range after.servers {
		was := before.servers[server]
		share := (now.Capacity - was.Capacity) / max(capacity, 1e-9)
		if share <= 0 {
			continue
		}
		got, expected := float64(now.SetUps-was.SetUps), setUps*share
		chiSquare += (got - expected) * (got - expected) / max(expected, 1e-9)
		servers++
		if expected >= 5 {
			window.PeakLoad = max(window.PeakLoad, got/expected)
		}
	}
	window.SetUpRate = setUps / r.Window.Seconds()
	window.Dispersion = chiSquare / float64(max(servers-1, 1))
	window.FullShare = full / max(setUps, 1)
	window.AttemptsPerTry = setUps / math.Max(float64(after.sum.Tries-before.sum.Tries), 1)
	window.Lost = after.sum.Lost - before.sum.Lost
	window.WorthShare = (after.sum.Worth - before.sum.Worth) / max(after.sum.Offered-before.sum.Offered, 1e-9)
	slices.Sort(waits)
	if len(waits) > 0 {
		window.P99 = waits[len(waits)*99/100].Round(time.Millisecond)
	}
	return window
}

// injectFaults waits for one fault span, then injects the faults one after another, each for one span.
func (r *activeRun) injectFaults(ctx context.Context) error {
	pause(ctx, r.FaultSpan)
	for _, name := range r.Faults {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return fmt.Errorf("fleet: unknown fault %q, known are %v", name, FaultNames())
		}
		r.currentFault.Store(name)
		until := time.Now().Add(r.FaultSpan)
		if err := faults[i].inject(r, ctx); err != nil {
			return fmt.Errorf("fleet: %s: %w", name, err)
		}
		pause(ctx, time.Until(until))
		r.currentFault.Store("")
		if ctx.Err() != nil {
			return errors.New("fleet: stopped")
		}
	}
	return nil
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Worst returns the largest value over the picked windows.
func (r Report) Worst(pick func(WindowStats) bool, of func(WindowStats) float64) (worst float64) {
	for _, window := range r.Windows {
		if pick(window) {
			worst = max(worst, of(window))
		}
	}
	return worst
}

// Mean returns the mean value over the picked windows.
func (r Report) Mean(pick func(WindowStats) bool, of func(WindowStats) float64) float64 {
	sum, n := 0.0, 0
	for _, window := range r.Windows {
		if pick(window) {
			sum, n = sum+of(window), n+1
		}
	}
	return sum / float64(max(n, 1))
}
