// Package scalelab measures what control costs a large fleet (docs/CAPACITY.md). It runs hollow agents, which
// are the real client code of each part of control without callers, many to a process, against the real
// control processes. Legend says how each figure is measured. The package is used by `woodlab scale` and in
// tests, not by the daemon, and uses loopback addresses only.
package scalelab

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"woodrouter/spread"
)

// The parts of control.
const (
	Discovery = "discovery" // watch of the list of setup servers (internal/servers/bulletin)
	Members   = "members"   // membership alone (internal/fleet/members)
	Spread    = "spread"    // common spreading of load, with its own membership (internal/fleet/spreader)
	Zones     = "zones"     // zone failover, with its own membership (internal/fleet/placer)
	Config    = "config"    // rollout of configuration (internal/fleet/watcher)
)

// Parts are all parts of control. Spread and zones each have their own membership, as in the daemon. The
// daemon has no further membership, so Members is measured only on its own.
var Parts = []string{Discovery, Members, Spread, Zones, Config}

// The groups of agents that share memberships, spread and zones.
const (
	ByFleet   = "fleet"   // all agents
	ByService = "service" // the agents of one service
)

// The places of the stewards of spread.
const (
	AtAgents   = "agents"   // one of the senders, by gossip (mode common in the spreader's file)
	AtMachines = "machines" // the control machines, by service (mode control)
)

// Bounds of a run on one computer.
const (
	MaxProcesses = 300
	MaxMemory    = 11 << 30 // bytes, for all processes of a run
)

// Plan describes one run: the agents, and the parts of control that they run.
type Plan struct {
	Agents, Services int
	Parts            []string
	By               string
	Skew             bool             // one service has a third of all agents
	Stewards         string           // AtAgents or AtMachines; empty: AtAgents
	Delay            [2]time.Duration // least and greatest latency between regions, each way; zero: none
	Servers          int              // number of setup servers in the list
	PerProcess       int
	Span, Warm       time.Duration
	Pace             time.Duration // between two agents' starts in a process; a fleet starts gradually
	JoinMost         time.Duration // bounds the wait until all agents know each other
	DeathMost        time.Duration // bounds the wait until all agents know of a crashed agent; 0: no wait
	Seed             uint64
}

// ErrPlan is the error of a plan that is invalid or exceeds the bounds.
var ErrPlan = errors.New("scale: plan")

// Check returns an ErrPlan if the plan is invalid or exceeds the bounds.
func (p Plan) Check() error {
	for _, part := range p.Parts {
		if !slices.Contains(Parts, part) {
			return fmt.Errorf("%w: part %q is none of %v", ErrPlan, part, Parts)
		}
	}
	switch {
	case len(p.Parts) == 0:
		return fmt.Errorf("%w: no part", ErrPlan)
	case p.Agents < 4 || p.Agents > 5000:
		return fmt.Errorf("%w: %d agents; must be 4 to 5000", ErrPlan, p.Agents)
	case p.Services < 1 || p.Services*3 > p.Agents && p.By == ByService:
		return fmt.Errorf("%w: %d services of %d agents; by service each needs at least three agents", ErrPlan, p.Services, p.Agents)
	case p.By != ByFleet && p.By != ByService:
		return fmt.Errorf("%w: by %q is neither %s nor %s", ErrPlan, p.By, ByFleet, ByService)
	case p.Stewards != AtAgents && p.Stewards != AtMachines && p.Stewards != "":
		return fmt.Errorf("%w: stewards at %q, neither %s nor %s", ErrPlan, p.Stewards, AtAgents, AtMachines)
	case p.atMachines() && (!p.has(Spread) || !p.has(Config) || p.By != ByService):
		return fmt.Errorf("%w: stewards at machines need spread and config, by service", ErrPlan)
	case p.PerProcess < 1 || p.Span <= 0 || p.Servers < 1:
		return fmt.Errorf("%w: per process, span and servers must be positive", ErrPlan)
	}
	if n := len(p.processes(p.identities())) + controlMachineCount + 2; n > MaxProcesses {
		return fmt.Errorf("%w: %d processes; at most %d", ErrPlan, n, MaxProcesses)
	}
	if need := int64(p.Agents)*maxAgentMemory + int64(len(p.processes(p.identities())))*maxProcessMemory; need > MaxMemory {
		return fmt.Errorf("%w: %d MB may be needed; at most %d", ErrPlan, need>>20, MaxMemory>>20)
	}
	return nil
}

// Upper estimates of memory in bytes, with which Check refuses plans that don't fit. That of an agent is
// twice what one takes with spread and zones in a membership of 400. A run that exceeds MaxMemory
// nevertheless is ended.
const (
	maxAgentMemory   = 10 << 20
	maxProcessMemory = 40 << 20
)

// controlMachineCount is the number of control machines.
const controlMachineCount = 4

// has tells whether the plan has a part.
func (p Plan) has(part string) bool { return slices.Contains(p.Parts, part) }

// atMachines tells whether the stewards of spread are on the control machines.
func (p Plan) atMachines() bool { return p.Stewards == AtMachines }

// gossips tells whether agents exchange messages with other agents, or report to the steward of their
// service.
func (p Plan) gossips() bool { return p.has(Members) || p.has(Spread) || p.has(Zones) }

// Identity is the name, place and group of a hollow agent.
type Identity struct {
	Name, Service, Zone, Region string
	Group                       int // the agents that share memberships, spread and zones with it
}

// zoneNames are the zones of the two regions.
var zoneNames = []string{"z1", "z2", "z3", "z4", "z5"}

// regionOf returns the region of a zone: r1 for z1 to z3, r2 for z4 and z5.
func regionOf(zone string) string {
	if zone < "z4" {
		return "r1"
	}
	return "r2"
}

// identities returns the agents and, last, a spare that joins later. The agents of a service are placed in
// the zones in rotation.
func (p Plan) identities() (out []Identity) {
	of := map[int]int{}
	for i := range p.Agents + 1 {
		service := i % p.Services
		switch {
		case i == p.Agents:
			service = 0
		case p.Skew && i < p.Agents/3:
			service = 0
		case p.Skew && p.Services > 1:
			service = 1 + i%(p.Services-1)
		}
		zone := zoneNames[of[service]%len(zoneNames)]
		of[service]++
		a := Identity{Name: fmt.Sprintf("a%d", i), Service: fmt.Sprintf("s%d", service), Zone: zone, Region: regionOf(zone)}
		if p.By == ByService {
			a.Group = service
		}
		out = append(out, a)
	}
	return out
}

// peers returns the agents of a group, without the spare.
func peers(agents []Identity, group int) (out []int) {
	for i, a := range agents[:len(agents)-1] {
		if a.Group == group {
			out = append(out, i)
		}
	}
	return out
}

// deciders is the number of agents in a group's control group, which decides where calls go.
const deciders = 3

// Roles of helper processes that are measured alone.
const (
	roleSteward  = "steward"  // agent to which its whole group reports (spread)
	roleDecider  = "decider"  // agent in its group's control group (zones)
	roleOrdinary = "ordinary" // agent without a role, to show what sharing a process saves
	roleEmpty    = "empty"    // process without agents
)

// process is the assignment of agents to a helper process.
type process struct {
	Role   string // "": shared by many agents
	Agents []int
}

// processes assigns the agents to helper processes. The steward and the deciders of the first group have
// their own processes, so that their cost can be measured; so has one ordinary agent. The others are assigned
// in rotation, because the first agents of each group, its seeds and deciders, cost several times as much as
// others and a process has only one core.
func (p Plan) processes(agents []Identity) []process {
	alone := map[int]string{}
	first := peers(agents, 0)
	if p.has(Spread) && !p.atMachines() {
		var names []string
		for _, i := range first {
			names = append(names, agents[i].Name)
		}
		to := spread.StewardAt(names, 0)
		alone[first[slices.Index(names, to)]] = roleSteward
	}
	if p.has(Zones) {
		for _, i := range first[:min(deciders, len(first))] {
			alone[i] = roleDecider
		}
	}
	for last := p.Agents - 1; last >= 0; last-- {
		if alone[last] == "" {
			alone[last] = roleOrdinary
			break
		}
	}
	out := []process{{Role: roleEmpty}}
	var many []int
	for i := range agents[:p.Agents] {
		if alone[i] == "" {
			many = append(many, i)
			continue
		}
		out = append(out, process{alone[i], []int{i}})
	}
	shared := make([]process, (len(many)+p.PerProcess-1)/p.PerProcess)
	for i, a := range many {
		at := &shared[i%len(shared)]
		at.Agents = append(at.Agents, a)
	}
	out = append(out, shared...)
	// The last process has the spare, which is started later.
	out[len(out)-1].Agents = append(slices.Clone(out[len(out)-1].Agents), p.Agents)
	return out
}
