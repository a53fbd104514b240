package soaklab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/lab"
	"woodrouter/internal/lab/emulator"
)

// The platform's SIGKILL comes this long after SIGTERM at the earliest: the longest deadline, counted as
// maxKillDeadline at most, and killGrace.
const (
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
)

// fault is a kind of fault. inject begins it and returns what was done; what goes on after that runs in the
// trial's underWay.
type fault struct {
	name   string
	inject func(t *trial, rng *rand.Rand) string
}

// RemoveStalled is the name of the fault of an incident: a server is removed while set-ups wait on a connection that
// its agents have replaced.
const RemoveStalled = "remove stalled"

// Partition is the name of the fault of a server that is cut off from all agents, while its process goes on.
const Partition = "partition"

// Flood is the name of the fault of bad clients that send at full speed.
const Flood = "flood"

var faults = []fault{
	{"stops", (*trial).stopSeries},
	{"stops", (*trial).stopSeries},
	{"stop while servers hang", (*trial).stopWhileHung},
	{"kill", (*trial).killAgent},
	{"hang", (*trial).hangServer},
	{"vanish", (*trial).vanishServer},
	{"crash", (*trial).crashServer},
	{"replace", (*trial).replaceServer},
	{"replace", (*trial).replaceServer},
	{"remove", (*trial).removeServer},
	{RemoveStalled, (*trial).removeStalledServer},
	{"discovery silent", (*trial).silenceDiscovery},
	{"discovery down", (*trial).stopDiscovery},
	{"reloads", (*trial).reload},
	{"cut", (*trial).cutLinks},
	{"cut", (*trial).cutLinks},
	{Partition, (*trial).partitionServer},
	{"reset", (*trial).resetLinks},
	{"spoilt answers", (*trial).spoilAnswers},
	{"late greetings", (*trial).greetLate},
	{"slow", (*trial).slowServer},
	{"pieces", (*trial).splitLinks},
	{"burst", (*trial).burst},
	{Flood, (*trial).floodAgent},
}

// injectFaults begins faults of the trial's kinds, out of a list, at drawn times until ctx ends.
func (t *trial) injectFaults(ctx context.Context, list []fault, draws *rand.Rand, gap time.Duration) {
	kinds := slices.Clone(list)
	if t.Faults != nil {
		kinds = slices.DeleteFunc(kinds, func(f fault) bool { return !slices.Contains(t.Faults, f.name) })
	}
	lab.Sleep(ctx, time.Second)
	for ctx.Err() == nil && len(kinds) > 0 {
		f := kinds[draws.IntN(len(kinds))]
		rng := rand.New(rand.NewPCG(draws.Uint64(), 1))
		if what := f.inject(t, rng); what != "" {
			t.mu.Lock()
			t.faults = append(t.faults, fmt.Sprintf("%.3f %s %s", time.Since(t.recorder.began).Seconds(), f.name, what))
			t.mu.Unlock()
		}
		lab.Sleep(ctx, time.Duration(draws.ExpFloat64()*float64(gap)))
	}
}

// between draws a duration between two.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Int64N(int64(most-least)))
}

// killAfter returns how long after SIGTERM the platform kills a process.
func (t *trial) killAfter() time.Duration {
	longest := time.Duration(0)
	for _, c := range t.Deployment.Classes {
		longest = max(longest, c.Deadline)
	}
	return min(longest, maxKillDeadline) + killGrace
}

// takeAgent returns an agent that is not being stopped or started, and marks it; -1 if there is none.
func (t *trial) takeAgent(rng *rand.Rand) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, agent := range rng.Perm(t.Agents) {
		if !t.stopping[agent] {
			t.stopping[agent] = true
			return agent
		}
	}
	return -1
}

// takeServer returns a listed server without a fault, and marks it; nil if too few would be left.
func (t *trial) takeServer(rng *rand.Rand) *emulator.Server {
	listed := t.cluster.World.Listed()
	t.mu.Lock()
	defer t.mu.Unlock()
	var free []*emulator.Server
	for _, s := range listed {
		if !t.faulty[s] && s.Up() {
			free = append(free, s)
		}
	}
	if len(free) < 2 {
		return nil
	}
	s := free[rng.IntN(len(free))]
	t.faulty[s] = true
	return s
}

func (t *trial) releaseServer(s *emulator.Server) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.faulty, s)
}

// serverFault takes a server and has play inject a fault into it. fatal says that its calls may be lost.
func (t *trial) serverFault(rng *rand.Rand, fatal bool, play func(s *emulator.Server)) string {
	s := t.takeServer(rng)
	if s == nil {
		return ""
	}
	t.underWay.Go(func() {
		t.disturbWhile(s, fatal, func() { play(s) })
		t.releaseServer(s)
	})
	return s.ID
}

func (t *trial) stopSeries(rng *rand.Rand) (what string) {
	for range 1 + rng.IntN(3) {
		agent := t.takeAgent(rng)
		if agent < 0 {
			break
		}
		what += fmt.Sprintf("a%d ", agent)
		wait, seed := between(rng, 0, 800*time.Millisecond), rng.Uint64()
		t.underWay.Go(func() {
			time.Sleep(wait)
			t.stopAgent(agent, rand.New(rand.NewPCG(seed, 2)))
		})
	}
	return what
}

// stopWhileHung stops an agent and has servers hang through the whole of its shutdown.
func (t *trial) stopWhileHung(rng *rand.Rand) string {
	agent := t.takeAgent(rng)
	if agent < 0 {
		return ""
	}
	what := fmt.Sprintf("a%d", agent)
	for range 1 + rng.IntN(3) {
		d := t.killAfter() + between(rng, 0, time.Second)
		what += " " + t.serverFault(rng, false, func(s *emulator.Server) { s.Hang(d); time.Sleep(d) })
	}
	wait := between(rng, 0, 300*time.Millisecond)
	t.underWay.Go(func() {
		time.Sleep(wait)
		t.stopAgent(agent, rng)
	})
	return what
}

// stopAgent ends an agent's process as the platform does and starts it again.
func (t *trial) stopAgent(agent int, rng *rand.Rand) {
	t.mu.Lock()
	t.stops++
	l := t.currentLife[agent]
	t.mu.Unlock()
	proc, callers := t.cluster.Procs[agent], t.callers[agent]
	t.checkProcess(agent)
	done := proc.Done()
	t.recorder.updateLife(l, func(l *life) { l.terminated = time.Now() })
	callers.stopping.Store(true)
	proc.Term()
	kill := time.NewTimer(t.killAfter())
	defer kill.Stop()
	time.AfterFunc(between(rng, 200*time.Millisecond, 400*time.Millisecond), func() { callers.accepting.Store(false) })
	select {
	case <-done:
		t.recorder.updateLife(l, func(l *life) { l.ended, l.endedBySelf = time.Now(), true })
	case <-kill.C:
		t.recorder.updateLife(l, func(l *life) { l.killed = time.Now() })
		proc.Kill()
		t.recorder.updateLife(l, func(l *life) { l.ended = time.Now() })
	}
	callers.accepting.Store(false)
	callers.stopping.Store(false)
	t.startAgent(agent)
}

// startAgent starts an agent again and lets callers come once it is ready.
func (t *trial) startAgent(agent int) {
	l := t.recorder.addLife(agent)
	callers := t.callers[agent]
	t.setStarting(agent, true)
	if err := t.cluster.StartAgent(agent); err != nil {
		t.recorder.report("start", "a%d: %v", agent, err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*readyWithin)
	defer cancel()
	if err := t.cluster.AwaitReady(ctx, agent); err != nil {
		t.recorder.report("start", "a%d: %v", agent, err)
		return
	}
	t.recorder.updateLife(l, func(l *life) { l.ready = time.Now() })
	t.setStarting(agent, false)
	t.mu.Lock()
	t.currentLife[agent] = l
	t.stopping[agent] = false
	t.mu.Unlock()
	callers.lifeIndex.Add(1)
	callers.accepting.Store(true)
}

func (t *trial) setStarting(agent int, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.starting[agent] = on
}

func (t *trial) killAgent(rng *rand.Rand) string {
	agent := t.takeAgent(rng)
	if agent < 0 {
		return ""
	}
	t.mu.Lock()
	l := t.currentLife[agent]
	t.mu.Unlock()
	t.checkProcess(agent)
	t.callers[agent].accepting.Store(false)
	t.recorder.updateLife(l, func(l *life) { l.killed, l.killedOutright = time.Now(), true })
	t.underWay.Go(func() {
		t.cluster.Procs[agent].Kill()
		t.recorder.updateLife(l, func(l *life) { l.ended = time.Now() })
		t.startAgent(agent)
	})
	return fmt.Sprintf("a%d", agent)
}

func (t *trial) hangServer(rng *rand.Rand) string {
	d := between(rng, 300*time.Millisecond, 5*time.Second)
	return t.serverFault(rng, false, func(s *emulator.Server) { s.Hang(d); time.Sleep(d) })
}

func (t *trial) vanishServer(rng *rand.Rand) string {
	d := between(rng, 500*time.Millisecond, 4*time.Second)
	return t.serverFault(rng, true, func(s *emulator.Server) {
		if err := s.Vanish(); err != nil {
			t.recorder.report("laboratory", "%s: %v", s.ID, err)
		}
		time.Sleep(d)
		t.restartServer(s)
	})
}

func (t *trial) crashServer(rng *rand.Rand) string {
	d := between(rng, 50*time.Millisecond, 2*time.Second)
	return t.serverFault(rng, true, func(s *emulator.Server) {
		s.Crash()
		time.Sleep(d)
		t.restartServer(s)
	})
}

func (t *trial) restartServer(s *emulator.Server) {
	if err := t.cluster.World.Restart(s); err != nil {
		t.recorder.report("laboratory", "%s: %v", s.ID, err)
	}
}

// replaceServer drains a server and replaces it. While it drains it is not disturbed.
func (t *trial) replaceServer(rng *rand.Rand) string {
	drain := between(rng, 200*time.Millisecond, 3*time.Second)
	s := t.takeServer(rng)
	if s == nil {
		return ""
	}
	t.underWay.Go(func() {
		ended := make(chan struct{})
		stops := time.AfterFunc(drain, func() { t.disturbWhile(s, true, func() { <-ended }) })
		if _, err := t.cluster.World.Replace(context.Background(), s, drain); err != nil {
			t.recorder.report("laboratory", "%s: %v", s.ID, err)
		}
		close(ended)
		stops.Stop()
		t.releaseServer(s)
	})
	return s.ID
}

// removeServer takes a server off the list while its process goes on, at times with stalled connections.
func (t *trial) removeServer(rng *rand.Rand) string {
	lives, stall := between(rng, 300*time.Millisecond, 4*time.Second), between(rng, 0, time.Second)
	return t.serverFault(rng, true, func(s *emulator.Server) {
		s.SlowDown(4)
		s.Stall(stall)
		time.Sleep(stall * 3 / 4)
		if _, err := t.cluster.World.Start(s); err != nil {
			t.recorder.report("laboratory", "%s: %v", s.ID, err)
		}
		t.cluster.World.Remove(s, lives)
		time.Sleep(lives)
	})
}

// The course of RemoveStalled: the processor stalls for longer than agents wait before they open a second connection,
// and works again soon after the server's removal.
const (
	removalStall   = 900 * time.Millisecond
	removedAfter   = 650 * time.Millisecond
	removedProcess = 3 * time.Second // how long the process goes on
)

func (t *trial) removeStalledServer(rng *rand.Rand) string {
	return t.serverFault(rng, true, func(s *emulator.Server) {
		s.Stall(removalStall)
		time.Sleep(removedAfter)
		if _, err := t.cluster.World.Start(s); err != nil {
			t.recorder.report("laboratory", "%s: %v", s.ID, err)
		}
		t.cluster.World.Remove(s, removedProcess)
	})
}

// takeDiscovery reports whether the bulletin has no fault yet, and marks it.
func (t *trial) takeDiscovery() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	free := !t.discovery
	t.discovery = true
	return free
}

// discoveryFault has an outage of the bulletin, with a drain shortly before or after its end.
func (t *trial) discoveryFault(rng *rand.Rand, begin func(), end func() error) string {
	if !t.takeDiscovery() {
		return ""
	}
	d := between(rng, time.Second, 7*time.Second)
	drain := d + between(rng, -time.Second, 300*time.Millisecond)
	begin()
	t.underWay.Go(func() {
		time.AfterFunc(max(drain, 0), func() { t.replaceServer(rng) })
		time.Sleep(d)
		if err := end(); err != nil {
			t.recorder.report("laboratory", "bulletin: %v", err)
		}
		time.Sleep(time.Second) // the replacement above has begun
		t.mu.Lock()
		t.discovery = false
		t.mu.Unlock()
	})
	return d.Round(time.Millisecond).String()
}

func (t *trial) silenceDiscovery(rng *rand.Rand) string {
	w := t.cluster.World
	return t.discoveryFault(rng, func() { w.SilenceBulletin(true) }, func() error { w.SilenceBulletin(false); return nil })
}

func (t *trial) stopDiscovery(rng *rand.Rand) string {
	w := t.cluster.World
	return t.discoveryFault(rng, w.StopBulletin, w.RestartBulletin)
}

// reload gives all agents new configurations in quick succession. Each moves the bulletin, and one of them may be
// unusable.
func (t *trial) reload(rng *rand.Rand) string {
	if !t.takeDiscovery() {
		return ""
	}
	times := 2 + rng.IntN(3)
	t.underWay.Go(func() {
		for i := range times {
			stopFormer, err := t.cluster.World.MoveBulletin()
			if err != nil {
				t.recorder.report("laboratory", "bulletin: %v", err)
				break
			}
			t.reloadAll(i+1 < times && rng.IntN(3) == 0)
			time.Sleep(between(rng, 10*time.Millisecond, 150*time.Millisecond))
			stopFormer()
		}
		t.mu.Lock()
		t.discovery = false
		t.mu.Unlock()
	})
	return fmt.Sprint(times)
}

// reloadAll writes all agents' configurations and sends SIGHUP. An unusable file must change nothing, so the right
// one follows it.
func (t *trial) reloadAll(unusableFirst bool) {
	for agent := range t.Agents {
		t.mu.Lock()
		starting := t.starting[agent]
		t.mu.Unlock()
		if starting {
			continue // SIGHUP ends a process that has not asked for it yet
		}
		if unusableFirst {
			os.WriteFile(t.cluster.ConfigPath(agent), []byte(`{"name":`), 0o600)
			t.cluster.Procs[agent].HangUp()
			time.Sleep(5 * time.Millisecond)
		}
		if err := t.cluster.WriteConfig(agent); err != nil {
			t.recorder.report("laboratory", "a%d: %v", agent, err)
		}
		t.cluster.Procs[agent].HangUp()
	}
}

// cutLinks cuts an agent off some setup servers, in one direction or both.
func (t *trial) cutLinks(rng *rand.Rand) string {
	agent, d := rng.IntN(t.Agents), between(rng, 200*time.Millisecond, 3*time.Second)
	in, out := rng.IntN(3) > 0, rng.IntN(3) > 0
	var links []*faultnet.WrappedLink
	var ends []func()
	for _, s := range t.cluster.World.Listed() {
		if l := s.Link(agent); rng.IntN(2) == 0 {
			links = append(links, l)
			ends = append(ends, t.recorder.disturb(s.ID, agent, false))
			l.Cut(in, out || !in)
		}
	}
	reset := rng.IntN(2) == 0
	t.underWay.Go(func() {
		time.Sleep(d)
		for _, l := range links {
			if reset {
				l.Reset()
			}
			l.Cut(false, false)
		}
		for _, end := range ends {
			end()
		}
	})
	return fmt.Sprintf("a%d from %d servers for %v, reset %t", agent, len(links), d.Round(time.Millisecond), reset)
}

// partitionServer cuts a server off from all agents for longer than a silent process is taken for alive.
func (t *trial) partitionServer(rng *rand.Rand) string {
	d, reset := between(rng, time.Second, 8*time.Second), rng.IntN(2) == 0
	return t.serverFault(rng, false, func(s *emulator.Server) {
		for agent := range t.Agents {
			s.Link(agent).Cut(true, true)
		}
		time.Sleep(d)
		for agent := range t.Agents {
			if reset {
				s.Link(agent).Reset()
			}
			s.Link(agent).Cut(false, false)
		}
	})
}

func (t *trial) resetLinks(rng *rand.Rand) string {
	agent := rng.IntN(t.Agents)
	for _, s := range t.cluster.World.Listed() {
		s.Link(agent).Reset()
		t.recorder.disturb(s.ID, agent, false)()
	}
	return fmt.Sprintf("a%d", agent)
}

// serverFaultFor sets a fault of a server for a while.
func (t *trial) serverFaultFor(rng *rand.Rand, begin, end func(s *emulator.Server)) string {
	d := between(rng, 500*time.Millisecond, 3*time.Second)
	return t.serverFault(rng, false, func(s *emulator.Server) {
		begin(s)
		time.Sleep(d)
		end(s)
	})
}

func (t *trial) spoilAnswers(rng *rand.Rand) string {
	return t.serverFaultFor(rng, func(s *emulator.Server) { s.SpoilAnswers(0.3) }, func(s *emulator.Server) { s.SpoilAnswers(0) })
}

func (t *trial) greetLate(rng *rand.Rand) string {
	delay := between(rng, 100*time.Millisecond, time.Second)
	return t.serverFaultFor(rng, func(s *emulator.Server) {
		s.GreetLate(delay)
		for agent := range t.Agents {
			s.Link(agent).Reset()
		}
	}, func(s *emulator.Server) { s.GreetLate(0) })
}

func (t *trial) slowServer(rng *rand.Rand) string {
	return t.serverFaultFor(rng, func(s *emulator.Server) { s.SlowDown(4) }, func(s *emulator.Server) { s.SlowDown(1) })
}

func (t *trial) splitLinks(rng *rand.Rand) string {
	split := func(on bool) func(*emulator.Server) {
		return func(s *emulator.Server) {
			for agent := range t.Agents {
				s.Link(agent).Split(on)
			}
		}
	}
	return t.serverFaultFor(rng, split(true), split(false))
}

// burst has callers place several times as many calls for a while, if the trial has a crowd.
func (t *trial) burst(rng *rand.Rand) string {
	if !t.Crowd {
		return ""
	}
	d := between(rng, 500*time.Millisecond, 2*time.Second)
	t.rateScale.Store(crowdFactor)
	t.underWay.Go(func() {
		time.Sleep(d)
		t.rateScale.Store(1)
	})
	return d.Round(time.Millisecond).String()
}
