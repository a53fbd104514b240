package fleetlab

import (
	"context"
	"sync"
	"time"

	"woodrouter/internal/lab/emulator"
)

type fault struct {
	name string
	play func(p *player, ctx context.Context) error
}

var faults = []fault{
	{"burst", (*player).burst},
	{"links lost", (*player).links},
	{"agents stalled", (*player).stall},
	{"a tenth restarted", (*player).restart},
	{"gossip cut", (*player).cutGossip},
	{"one server slow", (*player).slow},
	{"a server vanishes", (*player).vanish},
	{"six in ten replaced", (*player).replace},
}

// Names are the faults that a run can play.
func Names() (out []string) {
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// some is a part of the agents, at least one.
func (p *player) some(part float64) []int {
	return p.rng.Perm(p.Agents)[:max(1, int(part*float64(p.Agents)+0.5))]
}

// burst has half as many calls again come for a while.
func (p *player) burst(ctx context.Context) error {
	p.calls.Scale(max(p.Burst, 1.5))
	pause(ctx, p.Calm/3)
	p.calls.Scale(1)
	return nil
}

// links loses one link in ten between agents and servers, one way or both, for 3 s; then they
// are reset and work again.
func (p *player) links(ctx context.Context) error {
	servers := p.c.World.Listed()
	type pair struct {
		s     *emulator.Server
		agent int
	}
	var cut []pair
	for _, s := range servers {
		for _, a := range p.some(0.1) {
			way := p.rng.IntN(3)
			s.Link(a).Cut(way != 1, way != 2)
			cut = append(cut, pair{s, a})
		}
	}
	pause(ctx, 3*time.Second)
	for _, x := range cut {
		x.s.Link(x.agent).Cut(false, false)
		x.s.Link(x.agent).Reset()
	}
	return nil
}

// stall stops one agent in twenty for 1 to 5 s.
func (p *player) stall(ctx context.Context) error {
	if len(p.c.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	for _, a := range p.some(0.05) {
		d := time.Second + time.Duration(p.rng.Int64N(int64(4*time.Second)))
		work.Go(func() {
			p.calls.MarkFaulty(a, true)
			p.calls.Divert(a, true)
			p.c.Procs[a].Suspend()
			pause(ctx, d)
			p.c.Procs[a].Resume()
			pause(ctx, time.Second)
			p.calls.Divert(a, false)
			p.calls.MarkFaulty(a, false)
		})
	}
	work.Wait()
	return nil
}

// restart kills a tenth in the middle of work; they start again one after another.
func (p *player) restart(ctx context.Context) error {
	if len(p.c.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	gate := make(chan bool, 4) // starts at once
	for _, a := range p.some(0.1) {
		work.Add(1)
		go func() {
			defer work.Done()
			p.calls.MarkFaulty(a, true)
			p.calls.Divert(a, true)
			p.c.Procs[a].Kill()
			gate <- true
			defer func() { <-gate }()
			if p.c.StartAgent(a) == nil && p.c.AwaitReady(ctx, a) == nil {
				p.calls.Divert(a, false)
				p.calls.MarkFaulty(a, false)
			}
		}()
	}
	work.Wait()
	return nil
}

// cutGossip puts four in ten agents on a side of their own for 5 s.
func (p *player) cutGossip(ctx context.Context) error {
	if p.c.GossipHub == nil {
		return nil
	}
	side := p.some(0.4)
	p.c.GossipHub.Partition(side...)
	pause(ctx, 5*time.Second)
	p.c.GossipHub.Partition()
	return nil
}

// slow has one server in the middle of the sizes work four times slower.
func (p *player) slow(ctx context.Context) error {
	servers := p.c.World.Listed()
	s := servers[p.rng.IntN(len(servers))]
	s.SlowDown(4)
	pause(ctx, p.Calm*2/3)
	s.SlowDown(1)
	return nil
}

// vanish has a server fall silent, and come back cold.
func (p *player) vanish(ctx context.Context) error {
	servers := p.c.World.Listed()
	s := servers[p.rng.IntN(len(servers))]
	s.GoSilent()
	pause(ctx, p.Calm/2)
	return p.c.World.Restart(s)
}

// replace puts new, cold processors in the place of six in ten servers within 7 s.
func (p *player) replace(ctx context.Context) error {
	servers := p.c.World.Listed()
	p.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	n := max(1, len(servers)*6/10)
	var work sync.WaitGroup
	errs := make(chan error, n)
	for _, s := range servers[:n] {
		work.Go(func() {
			_, err := p.c.World.Replace(ctx, s, 4*time.Second)
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
