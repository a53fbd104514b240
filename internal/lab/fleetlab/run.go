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

// Run is one run: equal runs draw equal loads and faults.
type Run struct {
	Bin, Dir string
	Seed     uint64
	Agents   int
	Servers  int
	Load     float64 // of what the servers can take together
	Choice   float64 // how unevenly calls name a first choice; negative: they name none
	Window   time.Duration
	Calm     time.Duration // before the first fault, and the span of each fault with what follows it
	Faults   []string      // by name, in order; nil: all
	Burst    float64       // load in the burst, as a multiple
	Policy   string        // Agent, or a reference
	Env      func(c *cluster.Cluster, agent int) ([]string, error)
	Gossip   bool // agents talk: the gossip can be cut
}

// Agent is the program itself; the references stand in reference.go.
const Agent = "agent"

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

// Frame is what one window showed.
type Frame struct {
	At         time.Duration
	Fault      string  // that began in it, or the window before
	Offered    float64 // set-ups that came to servers, a second
	Dispersion float64 // of set-ups over servers by capacity: 1 is an independent random draw
	Peak       float64 // the largest server's load over its share
	Idle       float64 // server-seconds without a set-up for over idleMost while healthy
	Full       float64 // share of set-ups turned away
	Attempts   float64 // set-ups for each try of a caller
	Handshakes int
	Probes     int
	Open       int // connections
	Lost       int
	Share      float64 // of the worth asked for, served
	P99        time.Duration
}

// Report is what a run showed.
type Report struct {
	Run
	Frames []Frame
	Sum    emulator.Outcome
	Broken map[string]int
	Err    error // rules broken
	Said   string
}

// idleMost is how long a healthy server may get no set-up before that counts.
const idleMost = 2 * time.Second

// Play starts the fleet, plays the faults with callers at work, and reports.
func (r Run) Play(ctx context.Context) (Report, error) {
	r.Window = cmp.Or(r.Window, 5*time.Second)
	r.Calm = cmp.Or(r.Calm, 15*time.Second)
	if r.Faults == nil {
		r.Faults = Names()
	}
	out := Report{Run: r}
	d := Deployment(r.Servers)
	agents := r.Agents
	c := &cluster.Cluster{}
	var err error
	if r.Policy == Agent || r.Policy == "" {
		c, err = cluster.Start(ctx, cluster.Config{Bin: r.Bin, Dir: r.Dir, Deployment: d, Agents: agents, Servers: r.Servers, Seed: r.Seed, Env: r.Env, WithGossip: r.Gossip})
	} else {
		c, err = startReference(r, d)
	}
	if err != nil {
		return out, err
	}
	defer c.Close()
	if r.Gossip {
		if err := settled(ctx, c); err != nil {
			return out, err
		}
	}
	p := &player{Run: r, c: c, rng: rand.New(rand.NewPCG(r.Seed, 31)), began: time.Now()}
	loadCtx, stop := context.WithCancel(ctx)
	defer stop()
	p.calls = c.StartCallers(loadCtx, emulator.Load{Rates: emulator.UnevenRates(agents, r.Load*d.Total(r.Servers), r.Seed), Seed: r.Seed, ChoiceVariation: r.Choice, ChoicePeriod: 12 * time.Second})
	frames := make(chan []Frame)
	seen, done := context.WithCancel(ctx)
	go func() { frames <- p.watch(seen) }()
	err = p.faults(ctx)
	done()
	out.Frames = <-frames
	p.calls.Wait()
	out.Sum, _ = p.calls.Tally()
	out.Broken, out.Err = c.World.Check.Broken(), c.World.Check.Err()
	if len(c.Procs) > 0 {
		out.Said = c.ConsoleCommand(0, "SPREAD")
	}
	return out, err
}

// settleMost bounds how long agents may take to find one another.
const settleMost = 90 * time.Second

var heardLine = regexp.MustCompile(`(\d+) agents heard`)

// settled waits until an agent hears of nearly all that load is spread in common.
func settled(ctx context.Context, c *cluster.Cluster) error {
	ctx, cancel := context.WithTimeout(ctx, settleMost)
	defer cancel()
	for {
		said := c.ConsoleCommand(c.Agents-1, "SPREAD")
		if m := heardLine.FindStringSubmatch(said); m != nil {
			if n, _ := strconv.Atoi(m[1]); n >= c.Agents*95/100 {
				return nil
			}
		}
		if pause(ctx, 200*time.Millisecond); ctx.Err() != nil {
			return fmt.Errorf("fleet: agents have not found one another in %v: %s", settleMost, said)
		}
	}
}

// player is a run under way.
type player struct {
	Run
	c     *cluster.Cluster
	calls *emulator.Callers
	rng   *rand.Rand
	began time.Time
	fault atomic.Value // string: the one under way
}

// snapshot is the counters at a moment.
type snapshot struct {
	servers map[*emulator.Server]emulator.Counts
	sum     emulator.Outcome
}

func (p *player) look() snapshot {
	s := snapshot{servers: map[*emulator.Server]emulator.Counts{}}
	for _, v := range p.c.World.All() {
		s.servers[v] = v.Counts()
	}
	return s
}

// watch makes a frame of each window until ctx ends.
func (p *player) watch(ctx context.Context) (frames []Frame) {
	before := p.look()
	before.sum, _ = p.calls.Tally()
	idle := 0.0
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	ends := time.Now().Add(p.Window)
	for {
		select {
		case <-ctx.Done():
			return frames
		case now := <-tick.C:
			for _, s := range p.c.World.Listed() {
				if n := s.Counts(); s.Healthy(3*time.Second) && !n.LastSetUp.IsZero() && now.Sub(n.LastSetUp) > idleMost || s.Healthy(3*time.Second) && n.LastSetUp.IsZero() && now.Sub(p.began) > idleMost {
					idle += 0.1
				}
			}
			if now.Before(ends) {
				continue
			}
			ends = ends.Add(p.Window)
			after := p.look()
			var waits []time.Duration
			after.sum, waits = p.calls.Tally()
			f := p.frame(before, after, waits)
			f.At, f.Idle = now.Sub(p.began).Round(100*time.Millisecond), idle
			frames = append(frames, f)
			before, idle = after, 0
		}
	}
}

func (p *player) frame(a, b snapshot, waits []time.Duration) Frame {
	f := Frame{}
	f.Fault, _ = p.fault.Load().(string)
	var n, capacity, full float64
	for s, now := range b.servers {
		was := a.servers[s]
		n += float64(now.SetUps - was.SetUps)
		full += float64(now.TurnedAway - was.TurnedAway)
		capacity += now.Capacity - was.Capacity
		f.Handshakes += now.Handshakes - was.Handshakes
		f.Probes += now.Probes - was.Probes
		f.Open += s.Connections()
	}
	chi, servers := 0.0, 0
	for s, now := range b.servers {
		was := a.servers[s]
		part := (now.Capacity - was.Capacity) / max(capacity, 1e-9)
		if part <= 0 {
			continue
		}
		got, due := float64(now.SetUps-was.SetUps), n*part
		chi += (got - due) * (got - due) / max(due, 1e-9)
		servers++
		if due >= 5 {
			f.Peak = max(f.Peak, got/due)
		}
	}
	f.Offered = n / p.Window.Seconds()
	f.Dispersion = chi / float64(max(servers-1, 1))
	f.Full = full / max(n, 1)
	f.Attempts = n / math.Max(float64(b.sum.Tries-a.sum.Tries), 1)
	f.Lost = b.sum.Lost - a.sum.Lost
	f.Share = (b.sum.Worth - a.sum.Worth) / max(b.sum.Offered-a.sum.Offered, 1e-9)
	slices.Sort(waits)
	if len(waits) > 0 {
		f.P99 = waits[len(waits)*99/100].Round(time.Millisecond)
	}
	return f
}

// faults plays the calm and then each fault with a calm behind it.
func (p *player) faults(ctx context.Context) error {
	pause(ctx, p.Calm)
	for _, name := range p.Faults {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return fmt.Errorf("fleet: no fault %q: one of %v", name, Names())
		}
		p.fault.Store(name)
		until := time.Now().Add(p.Calm)
		if err := faults[i].play(p, ctx); err != nil {
			return fmt.Errorf("fleet: %s: %w", name, err)
		}
		pause(ctx, time.Until(until))
		p.fault.Store("")
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
func (r Report) Worst(pick func(Frame) bool, of func(Frame) float64) (most float64) {
	for _, f := range r.Frames {
		if pick(f) {
			most = max(most, of(f))
		}
	}
	return most
}

// Mean is the mean figure of the frames picked.
func (r Report) Mean(pick func(Frame) bool, of func(Frame) float64) float64 {
	sum, n := 0.0, 0
	for _, f := range r.Frames {
		if pick(f) {
			sum, n = sum+of(f), n+1
		}
	}
	return sum / float64(max(n, 1))
}
