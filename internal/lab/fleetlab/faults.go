package fleetlab

import (
	"context"
	"sync"
	"time"

	"woodrouter/internal/lab/emulator"
)

type fault struct {
	name   string
	inject func(p *activeRun, ctx context.Context) error
}

var faults = []fault{
	{"burst", (*activeRun).burst},
	{"links lost", (*activeRun).loseLinks},
	{"agents stalled", (*activeRun).stallAgents},
	{"a tenth restarted", (*activeRun).restartAgents},
	{"gossip cut", (*activeRun).partitionGossip},
	{"one server slow", (*activeRun).slowServer},
	{"a server vanishes", (*activeRun).silenceServer},
	{"six in ten replaced", (*activeRun).replaceServers},
}

// FaultNames returns the names of all faults that a run can inject.
func FaultNames() (out []string) {
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// sampleAgents draws the given share of the agents, at least one.
func (p *activeRun) sampleAgents(part float64) []int {
	return p.rng.Perm(p.Agents)[:max(1, int(part*float64(p.Agents)+0.5))]
}

// burst raises the load to BurstFactor, at least 1.5, for a third of the fault span.
func (p *activeRun) burst(ctx context.Context) error {
	p.callers.Scale(max(p.BurstFactor, 1.5))
	pause(ctx, p.FaultSpan/3)
	p.callers.Scale(1)
	return nil
}

// loseLinks cuts one in ten links between agents and servers for 3 s, in one direction or both, then
// resets their connections and restores them.
func (p *activeRun) loseLinks(ctx context.Context) error {
	servers := p.running.World.Listed()
	type cutLink struct {
		server *emulator.Server
		agent  int
	}
	var cut []cutLink
	for _, s := range servers {
		for _, a := range p.sampleAgents(0.1) {
			way := p.rng.IntN(3)
			s.Link(a).Cut(way != 1, way != 2)
			cut = append(cut, cutLink{s, a})
		}
	}
	pause(ctx, 3*time.Second)
	for _, link := range cut {
		link.server.Link(link.agent).Cut(false, false)
		link.server.Link(link.agent).Reset()
	}
	return nil
}

// stallAgents suspends one agent in twenty for 1 to 5 s.
func (p *activeRun) stallAgents(ctx context.Context) error {
	if len(p.running.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	for _, a := range p.sampleAgents(0.05) {
		d := time.Second + time.Duration(p.rng.Int64N(int64(4*time.Second)))
		work.Go(func() {
			p.callers.MarkFaulty(a, true)
			p.callers.Divert(a, true)
			p.running.Procs[a].Suspend()
			pause(ctx, d)
			p.running.Procs[a].Resume()
			pause(ctx, time.Second)
			p.callers.Divert(a, false)
			p.callers.MarkFaulty(a, false)
		})
	}
	work.Wait()
	return nil
}

// restartAgents kills a tenth of the agents under load and restarts them, four at a time.
func (p *activeRun) restartAgents(ctx context.Context) error {
	if len(p.running.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	startSlots := make(chan bool, 4) // concurrent starts
	for _, a := range p.sampleAgents(0.1) {
		work.Add(1)
		go func() {
			defer work.Done()
			p.callers.MarkFaulty(a, true)
			p.callers.Divert(a, true)
			p.running.Procs[a].Kill()
			startSlots <- true
			defer func() { <-startSlots }()
			if p.running.StartAgent(a) == nil && p.running.AwaitReady(ctx, a) == nil {
				p.callers.Divert(a, false)
				p.callers.MarkFaulty(a, false)
			}
		}()
	}
	work.Wait()
	return nil
}

// partitionGossip separates four in ten agents from the others in the gossip for 5 s.
func (p *activeRun) partitionGossip(ctx context.Context) error {
	if p.running.GossipHub == nil {
		return nil
	}
	side := p.sampleAgents(0.4)
	p.running.GossipHub.Partition(side...)
	pause(ctx, 5*time.Second)
	p.running.GossipHub.Partition()
	return nil
}

// slowServer makes a random server work four times slower for two thirds of the fault span.
func (p *activeRun) slowServer(ctx context.Context) error {
	servers := p.running.World.Listed()
	s := servers[p.rng.IntN(len(servers))]
	s.SlowDown(4)
	pause(ctx, p.FaultSpan*2/3)
	s.SlowDown(1)
	return nil
}

// silenceServer makes a random server stop responding and brings it back cold after half the fault span.
func (p *activeRun) silenceServer(ctx context.Context) error {
	servers := p.running.World.Listed()
	s := servers[p.rng.IntN(len(servers))]
	s.GoSilent()
	pause(ctx, p.FaultSpan/2)
	return p.running.World.Restart(s)
}

// replaceServers replaces six in ten servers by new, cold ones within 7 s.
func (p *activeRun) replaceServers(ctx context.Context) error {
	servers := p.running.World.Listed()
	p.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	n := max(1, len(servers)*6/10)
	var work sync.WaitGroup
	errs := make(chan error, n)
	for _, s := range servers[:n] {
		work.Go(func() {
			_, err := p.running.World.Replace(ctx, s, 4*time.Second)
			errs <- err
		})
		pause(ctx, 7*time.Second/time.Duration(n))
	}
	work.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}
