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

// FaultNames are the faults that a run can play.
func FaultNames() (out []string) {
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// sampleAgents is a part of the agents, at least one.
func (p *activeRun) sampleAgents(part float64) []int {
	return p.rng.Perm(p.Agents)[:max(1, int(part*float64(p.Agents)+0.5))]
}

// burst has half as many calls again come for a while.
func (p *activeRun) burst(ctx context.Context) error {
	p.callers.Scale(max(p.BurstFactor, 1.5))
	pause(ctx, p.FaultSpan/3)
	p.callers.Scale(1)
	return nil
}

// loseLinks loses one link in ten between agents and servers, one way or both, for 3 s; then they
// are reset and work again.
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

// stallAgents stops one agent in twenty for 1 to 5 s.
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

// restartAgents kills a tenth in the middle of work; they start again one after another.
func (p *activeRun) restartAgents(ctx context.Context) error {
	if len(p.running.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	startSlots := make(chan bool, 4) // starts at once
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

// partitionGossip puts four in ten agents on a side of their own for 5 s.
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

// slowServer has one server in the middle of the sizes work four times slower.
func (p *activeRun) slowServer(ctx context.Context) error {
	servers := p.running.World.Listed()
	s := servers[p.rng.IntN(len(servers))]
	s.SlowDown(4)
	pause(ctx, p.FaultSpan*2/3)
	s.SlowDown(1)
	return nil
}

// silenceServer has a server fall silent, and come back cold.
func (p *activeRun) silenceServer(ctx context.Context) error {
	servers := p.running.World.Listed()
	s := servers[p.rng.IntN(len(servers))]
	s.GoSilent()
	pause(ctx, p.FaultSpan/2)
	return p.running.World.Restart(s)
}

// replaceServers puts new, cold processors in the place of six in ten servers within 7 s.
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
