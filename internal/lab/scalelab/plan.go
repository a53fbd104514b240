// Package scalelab measures what control costs a fleet at size (docs/CAPACITY.md): hollow agents,
// the real client code of each part of control without callers, many to a process, against the
// real control processes. What is counted where stands beside each figure (sample.go). It runs
// behind `woodlab scale` and in tests; the daemon does not use it. Loopback only.
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
	Discovery = "discovery" // the watch of the list of setup servers (internal/servers/bulletin)
	Members   = "members"   // a bare membership (internal/fleet/members)
	Spread    = "spread"    // load spread in common, on a membership of its own (internal/fleet/spreader)
	Zones     = "zones"     // zone failover, on a membership of its own (internal/fleet/placer)
	Config    = "config"    // the rollout of configuration (internal/fleet/watcher)
)

// Parts are all of them. Spread and zones each have their own membership, as in the daemon: beside
// them a bare one is no part of an agent, and measured alone only.
var Parts = []string{Discovery, Members, Spread, Zones, Config}

// The agents among which membership, spread and zones talk.
const (
	ByFleet   = "fleet"   // all of them
	ByService = "service" // those of one service
)

// Where the stewards of spread are.
const (
	AtAgents   = "agents"   // one of the senders, by gossip (mode common of the spreader's file)
	AtMachines = "machines" // on the control machines, by service (mode control)
)

// Bounds of a run on this machine.
const (
	MaxProcesses = 300
	MaxMemory    = 11 << 30 // bytes, of all processes of a run
)

// Plan is one run: what agents there are, and what of control they do.
type Plan struct {
	Agents, Services int
	Parts            []string
	By               string
	Skew             bool             // one service has a third of all agents
	Stewards         string           // where the stewards of spread are
	Delay            [2]time.Duration // least and most delay between regions, each way; zero: none
	Servers          int              // setup servers that are listed
	PerProcess       int
	Span, Warm       time.Duration
	Pace             time.Duration // between the starts of two agents of a helper process: a fleet starts by and by
	JoinMost         time.Duration // bounds the wait until all know all
	DeathMost        time.Duration // bounds the wait until all know of a death; 0: none is waited for
	Seed             uint64
}

// ErrPlan is a plan that can't be played, or not on this machine.
var ErrPlan = errors.New("scale: plan")

// Check refuses what can't be played.
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
		return fmt.Errorf("%w: %d agents; 4 to 5000", ErrPlan, p.Agents)
	case p.Services < 1 || p.Services*3 > p.Agents && p.By == ByService:
		return fmt.Errorf("%w: %d services of %d agents; three agents each are the least by service", ErrPlan, p.Services, p.Agents)
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

// What an agent and an empty process may take, for the refusal of plans that don't fit: twice the
// most that was seen of an agent (spread and zones at 400 of one membership). A run ends where its
// processes pass MostMemory all the same.
const (
	maxAgentMemory   = 10 << 20
	maxProcessMemory = 40 << 20
)

// controlMachineCount are what keeps the configuration.
const controlMachineCount = 4

func (p Plan) has(part string) bool { return slices.Contains(p.Parts, part) }

// atMachines tells whether the stewards of spread are on the control machines.
func (p Plan) atMachines() bool { return p.Stewards == AtMachines }

// gossips tells whether agents talk among themselves, or of themselves to those of their service.
func (p Plan) gossips() bool { return p.has(Members) || p.has(Spread) || p.has(Zones) }

// Identity is who a hollow agent is.
type Identity struct {
	Name, Service, Zone, Region string
	Group                       int // whom it talks with
}

// zones of two regions.
var zoneNames = []string{"z1", "z2", "z3", "z4", "z5"}

func regionOf(zone string) string {
	if zone < "z4" {
		return "r1"
	}
	return "r2"
}

// identities are the agents and, last, a spare that joins later. The agents of a service lie in the
// zones in turn.
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

// peers are the agents of a group, without the spare.
func peers(places []Identity, group int) (out []int) {
	for i, a := range places[:len(places)-1] {
		if a.Group == group {
			out = append(out, i)
		}
	}
	return out
}

// deciders is how many agents of a group may decide where calls go: its control group.
const deciders = 3

// Roles of the agents that are measured in a process of their own.
const (
	roleSteward  = "steward"  // told by all of its group (spread)
	roleDecider  = "decider"  // of its group's control group (zones)
	roleOrdinary = "ordinary" // none of these, for what sharing a process saves
	roleEmpty    = "empty"    // a process without agents
)

// process is one helper process and the agents in it.
type process struct {
	Role   string // "": many agents
	Agents []int
}

// processes shares the agents out. Those of the first group on whom others lean have one of
// their own, so that what they cost is known; so has one that is like all others. The rest are dealt
// out in turn: the first of each group, its seeds and deciders, cost several times what others do,
// and a process has one core.
func (p Plan) processes(places []Identity) []process {
	alone := map[int]string{}
	first := peers(places, 0)
	if p.has(Spread) && !p.atMachines() {
		var names []string
		for _, i := range first {
			names = append(names, places[i].Name)
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
	for i := range places[:p.Agents] {
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
	out[len(out)-1].Agents = append(slices.Clone(out[len(out)-1].Agents), p.Agents) // the spare waits there
	return out
}
