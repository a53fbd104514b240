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
	for _, fault := range faults {
		out = append(out, fault.name)
	}
	return out
}

// sampleAgents draws the given share of the agents, at least one.
func (r *activeRun) sampleAgents(part float64) []int {
	return r.rng.Perm(r.Agents)[:max(1, int(part*float64(r.Agents)+0.5))]
}

// burst raises the load to BurstFactor, at least 1.5, for a third of the fault span.
func (r *activeRun) burst(ctx context.Context) error {
	r.callers.Scale(max(r.BurstFactor, 1.5))
	pause(ctx, r.FaultSpan/3)
	r.callers.Scale(1)
	return nil
}

// loseLinks cuts one in ten links between agents and servers for 3 s, in one direction or both, then
// resets their connections and restores them.
func (r *activeRun) loseLinks(ctx context.Context) error {
	servers := r.fleet.World.Listed()
	type cutLink struct {
		server *emulator.Server
		agent  int
	}
	var cut []cutLink
	for _, server := range servers {
		for _, a := range r.sampleAgents(0.1) {
			direction := r.rng.IntN(3)
			server.Link(a).Cut(direction != 1, direction != 2)
			cut = append(cut, cutLink{server, a})
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
func (r *activeRun) stallAgents(ctx context.Context) error {
	if len(r.fleet.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	for _, a := range r.sampleAgents(0.05) {
		duration := time.Second + time.Duration(r.rng.Int64N(int64(4*time.Second)))
		work.Go(func() {
			r.callers.MarkFaulty(a, true)
			r.callers.Divert(a, true)
			r.fleet.Procs[a].Suspend()
			pause(ctx, duration)
			r.fleet.Procs[a].Resume()
			pause(ctx, time.Second)
			r.callers.Divert(a, false)
			r.callers.MarkFaulty(a, false)
		})
	}
	work.Wait()
	return nil
}

// restartAgents kills a tenth of the agents under load and restarts them, four at a time.
func (r *activeRun) restartAgents(ctx context.Context) error {
	if len(r.fleet.Procs) == 0 {
		return nil
	}
	var work sync.WaitGroup
	startSlots := make(chan bool, 4) // concurrent starts
	for _, a := range r.sampleAgents(0.1) {
		work.Add(1)
		go func() {
			defer work.Done()
			r.callers.MarkFaulty(a, true)
			r.callers.Divert(a, true)
			r.fleet.Procs[a].Kill()
			startSlots <- true
			defer func() { <-startSlots }()
			if r.fleet.StartAgent(a) == nil && r.fleet.AwaitReady(ctx, a) == nil {
				r.callers.Divert(a, false)
				r.callers.MarkFaulty(a, false)
			}
		}()
	}
	work.Wait()
	return nil
}

// partitionGossip separates four in ten agents from the others in the gossip for 5 s.
func (r *activeRun) partitionGossip(ctx context.Context) error {
	if r.fleet.GossipHub == nil {
		return nil
	}
	side := r.sampleAgents(0.4)
	r.fleet.GossipHub.Partition(side...)
	pause(ctx, 5*time.Second)
	r.fleet.GossipHub.Partition()
	return nil
}

// slowServer makes a random server work four times slower for two thirds of the fault span.
func (r *activeRun) slowServer(ctx context.Context) error {
	servers := r.fleet.World.Listed()
	server := servers[r.rng.IntN(len(servers))]
	server.SlowDown(4)
	pause(ctx, r.FaultSpan*2/3)
	server.SlowDown(1)
	return nil
}

// silenceServer makes a random server stop responding and brings it back cold after half the fault span.
func (r *activeRun) silenceServer(ctx context.Context) error {
	servers := r.fleet.World.Listed()
	server := servers[r.rng.IntN(len(servers))]
	server.GoSilent()
	pause(ctx, r.FaultSpan/2)
	return r.fleet.World.Restart(server)
}

// replaceServers replaces six in ten servers by new, cold ones within 7 s.
func (r *activeRun) replaceServers(ctx context.Context) error {
	servers := r.fleet.World.Listed()
	r.rng.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	n := max(1, len(servers)*6/10)
	var work sync.WaitGroup
	errs := make(chan error, n)
	for _, server := range servers[:n] {
		work.Go(func() {
			_, err := r.fleet.World.Replace(ctx, server, 4*time.Second)
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
