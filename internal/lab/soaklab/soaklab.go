// Package soaklab plays short, dense trials: a handful of call agents as processes of the program, emulated setup
// servers and a bulletin, and faults drawn from a seed that overlap: shutdowns in series, servers that hang, vanish
// or are replaced, an unreachable bulletin, new configurations, cut and reset links, spoilt answers and callers that
// misbehave. Callers go on sending on open connections until SIGKILL, which comes as early as the platform allows.
// The rules are checked from the records of callers and servers. cmd/woodlab and tests use it.
package soaklab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/internal/lab"
	"woodrouter/internal/lab/cluster"
	"woodrouter/internal/lab/emulator"
)

// Config configures a trial. All else is drawn from the seed.
type Config struct {
	Bin, Dir string
	Seed     uint64
	Span     time.Duration // how long callers place calls and faults begin; 0: defaultSpan
	Faults   []string      // names of the kinds of faults; nil: all
}

// Report is the result of a trial.
type Report struct {
	Seed       uint64
	Deployment string
	Agents     int
	Servers    int
	Crowd      bool
	Faults     []string // in the order of their beginnings, with their times
	Tries      int
	Served     int
	Stops      int // SIGTERM
	Violations []Violation
	MaxDelay   time.Duration // longest scheduling delay of this process
	Log        string        // logs of all agents
}

const (
	defaultSpan    = 10 * time.Second
	clientsPerHost = 6
	loadShare      = 0.45 // of the servers' total rate
	crowdFactor    = 3    // calls in a crowd, as a multiple
	crowdConns     = 100  // idle connections of a crowd at each agent
	maxSettle      = 10 * time.Second
	longHold       = 3 * time.Second        // mean length of calls in some trials
	faultGap       = 350 * time.Millisecond // mean time between the beginnings of faults
	reviewFaultGap = 1500 * time.Millisecond
)

// trial is a trial that is being played.
type trial struct {
	Config
	Deployment emulator.Deployment
	Agents     int
	Servers    int
	Crowd      bool

	cluster   *cluster.Cluster
	recorder  *recorder
	rng       *rand.Rand
	callers   []*callers
	lastID    atomic.Uint64
	rateScale atomic.Int64
	repeats   []chan struct{}
	loadEnded chan struct{}
	settled   chan struct{}
	underWay  sync.WaitGroup // faults
	flooding  atomic.Bool    // bad clients flood an agent

	mu          sync.Mutex
	faults      []string
	stopping    map[int]bool              // agents whose process is being stopped or started
	starting    map[int]bool              // agents whose process is not ready yet
	faulty      map[*emulator.Server]bool // servers with a fault
	discovery   bool                      // the bulletin has a fault
	stops       int
	maxDelay    time.Duration
	currentLife []*life
}

// shortCalls returns a deployment whose callers wait for half a second at most, so that SIGKILL comes 1.2 s after
// SIGTERM.
func shortCalls() emulator.Deployment {
	d := emulator.Plain()
	d.Name, d.Classes = "short", []emulator.Class{{Name: "now", Share: 1, Aim: 200 * time.Millisecond, Deadline: 500 * time.Millisecond, Worth: 1, LateShare: 0.5}}
	d.MaxAttempts, d.MaxRetryAfter, d.Cancel, d.ClearWait, d.DrainGrace = 3, time.Second, true, 100*time.Millisecond, 500*time.Millisecond
	return d
}

// deployments are those that trials take turns with.
func deployments() []emulator.Deployment {
	return []emulator.Deployment{emulator.Campus(), shortCalls(), emulator.Offices(), emulator.Plain(), emulator.Islands()}
}

func newTrial(cfg Config) *trial {
	rng := rand.New(rand.NewPCG(cfg.Seed, 0x736f616b))
	all := deployments()
	d := all[cfg.Seed%uint64(len(all))]
	d.Hold, d.BulletinDelay, d.BulletinSpread = 700*time.Millisecond, 20*time.Millisecond, 60*time.Millisecond
	d.Cold, d.DropBelow = 4*time.Second, 15*time.Millisecond
	if rng.IntN(3) == 0 {
		d.Hold = longHold
	}
	if rng.IntN(3) == 0 {
		d.Keepalive = 400 * time.Millisecond
	}
	if rng.IntN(3) == 0 {
		d.ConnectTimeout = 1500 * time.Millisecond // connections come up late, at the second try of the handshake
	}
	if cfg.Span == 0 {
		cfg.Span = defaultSpan
	}
	t := &trial{Config: cfg, Deployment: d, Agents: 3 + rng.IntN(3), Servers: 3 + rng.IntN(3), Crowd: rng.IntN(4) == 0, rng: rng,
		loadEnded: make(chan struct{}), settled: make(chan struct{}), stopping: map[int]bool{}, starting: map[int]bool{}, faulty: map[*emulator.Server]bool{}}
	t.recorder = newRecorder(t.Agents)
	t.currentLife = make([]*life, t.Agents)
	for range t.Agents {
		t.repeats = append(t.repeats, make(chan struct{}, 100))
	}
	return t
}

// Run plays a trial and returns its report. The error says that the trial could not be played.
func Run(ctx context.Context, cfg Config) (Report, error) {
	t := newTrial(cfg)
	report := Report{Seed: cfg.Seed, Deployment: t.Deployment.Name, Agents: t.Agents, Servers: t.Servers, Crowd: t.Crowd}
	for agent := range t.Agents {
		t.currentLife[agent] = t.recorder.addLife(agent)
	}
	var err error
	t.cluster, err = cluster.Start(ctx, cluster.Config{Bin: cfg.Bin, Dir: cfg.Dir, Deployment: t.Deployment, Agents: t.Agents, Servers: t.Servers, Seed: cfg.Seed,
		Env: func(_ *cluster.Cluster, agent int) ([]string, error) {
			return []string{"WOODROUTER_STATE=" + t.statePath(agent)}, nil
		}})
	if err != nil {
		return report, err
	}
	defer t.cluster.Close()
	t.cluster.World.Observer = t.recorder
	for _, l := range t.currentLife {
		t.recorder.updateLife(l, func(l *life) { l.ready = time.Now() })
	}
	t.recorder.began = time.Now()
	t.play(ctx)
	for agent := range t.Agents {
		t.checkProcess(agent)
	}
	report.Violations = t.recorder.violations(t.maxDelay)
	if err := t.cluster.World.Check.Err(); err != nil {
		report.Violations = append(report.Violations, Violation{"servers' records", err.Error()})
	}
	report.Faults, report.Stops, report.MaxDelay = t.faults, t.stops, t.maxDelay
	for agent := range t.Agents {
		report.Log += t.cluster.Logs(agent)
	}
	for _, c := range t.recorder.records {
		if !c.sentAt.IsZero() {
			report.Tries++
		}
		if len(c.answers) > 0 && c.answers[0].served {
			report.Served++
		}
	}
	return report, ctx.Err()
}

// play has callers place calls while faults are injected, then waits until all calls have ended.
func (t *trial) play(ctx context.Context) {
	t.rateScale.Store(1)
	loadCtx, endLoad := context.WithTimeout(ctx, t.Span)
	defer endLoad()
	go t.watchDelay()
	var load sync.WaitGroup
	rate := loadShare * t.Deployment.Total(t.Servers) / float64(t.Agents)
	for agent := range t.Agents {
		c := &callers{trial: t, agent: agent}
		c.accepting.Store(true)
		t.callers = append(t.callers, c)
	}
	for agent, c := range t.callers {
		load.Go(func() {
			c.run(loadCtx, clientsPerHost, func() float64 { return rate * float64(t.rateScale.Load()) })
		})
		load.Go(func() { c.badCaller(loadCtx, rand.New(rand.NewPCG(t.Seed, uint64(9000+agent)))) })
		if t.Crowd {
			load.Go(func() { c.crowd(loadCtx, crowdConns) })
		}
	}
	load.Go(func() {
		t.injectFaults(loadCtx, reviewFaults, rand.New(rand.NewPCG(t.Seed, 0x726576)), reviewFaultGap)
	})
	load.Go(func() {
		t.injectFaults(loadCtx, apiFaults, rand.New(rand.NewPCG(t.Seed, 0x617069)), apiFaultGap)
	})
	t.injectFaults(loadCtx, faults, t.rng, faultGap)
	<-loadCtx.Done()
	close(t.loadEnded)
	t.underWay.Wait()
	lab.Sleep(ctx, t.settleTime())
	t.recorder.settledAt = time.Now()
	close(t.settled)
	load.Wait()
}

// settleTime is how long after the last fault and the last call everything owed must have come.
func (t *trial) settleTime() time.Duration {
	longest := time.Duration(0)
	for _, c := range t.Deployment.Classes {
		longest = max(longest, time.Duration(max(c.TryShare, 0.1)*float64(c.Deadline)))
	}
	return min(longest+lostEndWithin/2, maxSettle)
}

// watchDelay records the longest scheduling delay of this process until the trial is over.
func (t *trial) watchDelay() {
	for {
		select {
		case <-t.settled:
			return
		case <-time.After(time.Second / 2):
			d := t.cluster.World.Check.MaxDelay()
			t.mu.Lock()
			t.maxDelay = max(t.maxDelay, d)
			t.mu.Unlock()
		}
	}
}

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// checkProcess records whether a process that got no signal is running and keeps to its limits.
func (t *trial) checkProcess(agent int) {
	t.mu.Lock()
	l := t.currentLife[agent]
	t.mu.Unlock()
	pid := t.cluster.Procs[agent].PID()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if pid == 0 || err != nil {
		t.recorder.updateLife(l, func(l *life) { l.endedUnprompted = true })
		return
	}
	if m := peakMemory.FindStringSubmatch(string(text)); m != nil {
		if kb, _ := strconv.Atoi(m[1]); kb > cluster.MemoryMB<<10 {
			t.recorder.updateLife(l, func(l *life) { l.overMemory = strings.TrimSpace(m[0]) })
		}
	}
	if fds, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid)); err == nil && len(fds) > cluster.Descriptors {
		t.recorder.updateLife(l, func(l *life) { l.overMemory = fmt.Sprintf("%d descriptors", len(fds)) })
	}
}
