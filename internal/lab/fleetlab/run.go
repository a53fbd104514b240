// Package fleetlab plays a fleet at size: hundreds of call agents as processes of the program
// against emulated setup servers, with callers whose load is uneven and faults between them from
// a seed. It reports how evenly the load was spread and what the faults cost, and plays simple
// references on the same seeds: a random draw by capacity, the least busy by each agent's own
// sight, and one dispatcher that sees everything. cmd/woodlab and tests use it.
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

// Scenario is one run: equal runs draw equal loads and faults.
type Scenario struct {
	Bin, Dir    string
	Seed        uint64
	Agents      int
	Servers     int
	Load        float64 // of what the servers can take together
	Choice      float64 // how unevenly calls name a first choice; negative: they name none
	Window      time.Duration
	FaultSpan   time.Duration // before the first fault, and the span of each fault with what follows it
	Faults      []string      // by name, in order; nil: all
	BurstFactor float64       // load in the burst, as a multiple
	Policy      string        // Agent, or a reference
	Env         func(c *cluster.Cluster, agent int) ([]string, error)
	Gossip      bool // agents talk: the gossip can be cut
}

// PolicyAgent is the program itself; the references stand in reference.go.
const PolicyAgent = "agent"

// Deployment is the fleet's: one campus of servers that differ in capacity by four to one.
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

// WindowStats is what one window showed.
type WindowStats struct {
	At             time.Duration
	Fault          string  // that began in it, or the window before
	SetUpRate      float64 // set-ups that came to servers, a second
	Dispersion     float64 // of set-ups over servers by capacity: 1 is an independent random draw
	PeakLoad       float64 // the largest server's load over its share
	IdleSeconds    float64 // server-seconds without a set-up for over idleMost while healthy
	FullShare      float64 // share of set-ups turned away
	AttemptsPerTry float64 // set-ups for each try of a caller
	Handshakes     int
	Probes         int
	Connections    int // connections
	Lost           int
	WorthShare     float64 // of the worth asked for, served
	P99            time.Duration
}

// Report is what a run showed.
type Report struct {
	Scenario
	Windows      []WindowStats
	Outcome      emulator.Outcome
	BrokenRules  map[string]int
	Err          error // rules broken
	SpreadStatus string
}

// maxIdle is how long a healthy server may get no set-up before that counts.
const maxIdle = 2 * time.Second

// Run starts the fleet, plays the faults with callers at work, and reports.
func (r Scenario) Run(ctx context.Context) (Report, error) {
	r.Window = cmp.Or(r.Window, 5*time.Second)
	r.FaultSpan = cmp.Or(r.FaultSpan, 15*time.Second)
	if r.Faults == nil {
		r.Faults = FaultNames()
	}
	report := Report{Scenario: r}
	deployment := Deployment(r.Servers)
	agents := r.Agents
	running := &cluster.Cluster{}
	var err error
	if r.Policy == PolicyAgent || r.Policy == "" {
		running, err = cluster.Start(ctx, cluster.Config{Bin: r.Bin, Dir: r.Dir, Deployment: deployment, Agents: agents, Servers: r.Servers, Seed: r.Seed, Env: r.Env, WithGossip: r.Gossip})
	} else {
		running, err = startReference(r, deployment)
	}
	if err != nil {
		return report, err
	}
	defer running.Close()
	if r.Gossip {
		if err := awaitGossip(ctx, running); err != nil {
			return report, err
		}
	}
	run := &activeRun{Scenario: r, running: running, rng: rand.New(rand.NewPCG(r.Seed, 31)), startedAt: time.Now()}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	run.callers = running.StartCallers(loadCtx, emulator.Load{Rates: emulator.UnevenRates(agents, r.Load*deployment.Total(r.Servers), r.Seed), Seed: r.Seed, ChoiceVariation: r.Choice, ChoicePeriod: 12 * time.Second})
	windows := make(chan []WindowStats)
	watchCtx, stopWatching := context.WithCancel(ctx)
	go func() { windows <- run.recordWindows(watchCtx) }()
	err = run.injectFaults(ctx)
	stopWatching()
	report.Windows = <-windows
	run.callers.Wait()
	report.Outcome, _ = run.callers.Tally()
	report.BrokenRules, report.Err = running.World.Check.Broken(), running.World.Check.Err()
	if len(running.Procs) > 0 {
		report.SpreadStatus = running.ConsoleCommand(0, "SPREAD")
	}
	return report, err
}

// maxSettleTime bounds how long agents may take to find one another.
const maxSettleTime = 90 * time.Second

var agentsHeard = regexp.MustCompile(`(\d+) agents heard`)

// awaitGossip waits until an agent hears of nearly all that load is spread in common.
func awaitGossip(ctx context.Context, running *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	for {
		status := running.ConsoleCommand(running.Agents-1, "SPREAD")
		if m := agentsHeard.FindStringSubmatch(status); m != nil {
			if n, _ := strconv.Atoi(m[1]); n >= running.Agents*95/100 {
				return nil
			}
		}
		if pause(ctx, 200*time.Millisecond); ctx.Err() != nil {
			return fmt.Errorf("fleet: agents have not found one another in %v: %s", maxSettleTime, status)
		}
	}
}

// activeRun is a run under way.
type activeRun struct {
	Scenario
	running      *cluster.Cluster
	callers      *emulator.Callers
	rng          *rand.Rand
	startedAt    time.Time
	currentFault atomic.Value // string: the one under way
}

// counters is the counters at a moment.
type counters struct {
	servers map[*emulator.Server]emulator.Counts
	sum     emulator.Outcome
}

func (p *activeRun) readCounters() counters {
	s := counters{servers: map[*emulator.Server]emulator.Counts{}}
	for _, v := range p.running.World.All() {
		s.servers[v] = v.Counts()
	}
	return s
}

// recordWindows makes a frame of each window until ctx ends.
func (p *activeRun) recordWindows(ctx context.Context) (windows []WindowStats) {
	before := p.readCounters()
	before.sum, _ = p.callers.Tally()
	idle := 0.0
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	ends := time.Now().Add(p.Window)
	for {
		select {
		case <-ctx.Done():
			return windows
		case now := <-tick.C:
			for _, s := range p.running.World.Listed() {
				if n := s.Counts(); s.Healthy(3*time.Second) && !n.LastSetUp.IsZero() && now.Sub(n.LastSetUp) > maxIdle || s.Healthy(3*time.Second) && n.LastSetUp.IsZero() && now.Sub(p.startedAt) > maxIdle {
					idle += 0.1
				}
			}
			if now.Before(ends) {
				continue
			}
			ends = ends.Add(p.Window)
			after := p.readCounters()
			var waits []time.Duration
			after.sum, waits = p.callers.Tally()
			window := p.windowStats(before, after, waits)
			window.At, window.IdleSeconds = now.Sub(p.startedAt).Round(100*time.Millisecond), idle
			windows = append(windows, window)
			before, idle = after, 0
		}
	}
}

func (p *activeRun) windowStats(before, after counters, waits []time.Duration) WindowStats {
	window := WindowStats{}
	window.Fault, _ = p.currentFault.Load().(string)
	var setUps, capacity, full float64
	for s, now := range after.servers {
		was := before.servers[s]
		setUps += float64(now.SetUps - was.SetUps)
		full += float64(now.TurnedAway - was.TurnedAway)
		capacity += now.Capacity - was.Capacity
		window.Handshakes += now.Handshakes - was.Handshakes
		window.Probes += now.Probes - was.Probes
		window.Connections += s.Connections()
	}
	chi, servers := 0.0, 0
	for s, now := range after.servers {
		was := before.servers[s]
		part := (now.Capacity - was.Capacity) / max(capacity, 1e-9)
		if part <= 0 {
			continue
		}
		got, due := float64(now.SetUps-was.SetUps), setUps*part
		chi += (got - due) * (got - due) / max(due, 1e-9)
		servers++
		if due >= 5 {
			window.PeakLoad = max(window.PeakLoad, got/due)
		}
	}
	window.SetUpRate = setUps / p.Window.Seconds()
	window.Dispersion = chi / float64(max(servers-1, 1))
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

// injectFaults plays the calm and then each fault with a calm behind it.
func (p *activeRun) injectFaults(ctx context.Context) error {
	pause(ctx, p.FaultSpan)
	for _, name := range p.Faults {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return fmt.Errorf("fleet: no fault %q: one of %v", name, FaultNames())
		}
		p.currentFault.Store(name)
		until := time.Now().Add(p.FaultSpan)
		if err := faults[i].inject(p, ctx); err != nil {
			return fmt.Errorf("fleet: %s: %w", name, err)
		}
		pause(ctx, time.Until(until))
		p.currentFault.Store("")
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

// Worst is the largest figure of the frames picked.
func (r Report) Worst(pick func(WindowStats) bool, of func(WindowStats) float64) (most float64) {
	for _, f := range r.Windows {
		if pick(f) {
			most = max(most, of(f))
		}
	}
	return most
}

// Mean is the mean figure of the frames picked.
func (r Report) Mean(pick func(WindowStats) bool, of func(WindowStats) float64) float64 {
	sum, n := 0.0, 0
	for _, f := range r.Windows {
		if pick(f) {
			sum, n = sum+of(f), n+1
		}
	}
	return sum / float64(max(n, 1))
}
