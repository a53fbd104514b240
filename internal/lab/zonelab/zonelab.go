// Package zonelab measures zone failover at sizes that processes do not fit: a seeded model of a
// fleet in virtual time, in which agents decide by package failover, in common or each alone, on
// what they themselves saw; and the cost of membership, on real members in one process. It is
// the laboratory behind `woodlab zones`; the daemon does not use it.
package zonelab

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"woodrouter/failover"
)

// Fleet is a modelled fleet: zones of two regions, agents and servers evenly spread.
type Fleet struct {
	Agents  int
	Zones   int     // even; the first half lies in region r1
	Servers int     // of each zone
	Load    float64 // of the fleet's capacity, in (0, 1)
	Seed    uint64
	Common  bool // one decision for all; false: each agent alone
}

// Fault is what happens to zone z1.
type Fault struct {
	Name string
	// Down tells whether the zone's servers are dead at a time, in seconds from the start.
	Down   func(at float64) bool
	EndsAt float64 // when it is over for good
}

// Faults are those measured.
var Faults = []Fault{
	{"calm", func(float64) bool { return false }, 0},
	{"zone lost for 20 s", func(at float64) bool { return at >= 30 && at < 50 }, 50},
	{"zone flaps, 4 s down, 6 s up, five times", func(at float64) bool { return at >= 30 && at < 80 && math.Mod(at-30, 10) < 4 }, 74},
}

// Result is what a run showed.
type Result struct {
	Calls         int
	Lost          int     // sent to a dead server
	KeptHome      int     // of those from zones whose servers live, the ones that stayed there
	FromLiveZones int     // calls from zones whose servers live
	FailOver      float64 // seconds from the fault to the first second in which under 5 % of z1's calls were lost
	FailBack      float64 // seconds from its end to the first with over 95 % of z1's calls at home
	ModeChanges   int     // changes of the home placement's mode, over all agents, per agent
	MaxOverload   float64 // most that a zone was asked beyond its capacity in a second, as a share of it
}

// The model's figures. A server takes rate calls a second; a dead one is noticed after timeout.
const (
	stepSeconds        = 0.1 // seconds
	serverRate         = 50.0
	timeoutSeconds     = 0.5
	runSeconds         = 150.0
	propagationSeconds = 0.3 // seconds until a decision is in force at all agents, commit and gossip together
	decisionSeconds    = 1.0 // seconds between looks
)

// agent is one modelled call agent.
type agentModel struct {
	zone           int
	plan           failover.Plan
	nextPlan       failover.Plan // decided in common, in force from nextAt on
	nextPlanAt     float64
	failures       [][]int     // by zone and server: attempts in a row that met a dead one
	lastFailureAt  [][]float64 // when last
	offered        int
	attempts       []int            // that ended since the last look, by zone
	failedAttempts []int            // of these, met a dead server
	pending        []pendingFailure // attempts under way to dead servers
}

// pendingFailure is an attempt that will be seen to have failed.
type pendingFailure struct {
	failsAt      float64
	zone, server int
}

// simulation is one run of the model.
type simulation struct {
	Fleet
	fault    Fault
	topology failover.Topology
	settings failover.Settings
	rng      *rand.Rand
	arrivals distuv.Poisson
	agents   []*agentModel
	common   failover.Plan
	now      float64
	result   Result
	current  secondCounts
}

// secondCounts counts one second.
type secondCounts struct {
	z1, z1Lost, z1Home int
	byZone             []int
}

// Run plays a fault against a fleet, in virtual time.
func (f Fleet) Run(fault Fault) Result {
	r := &simulation{Fleet: f, fault: fault, settings: failover.Defaults, rng: rand.New(rand.NewPCG(f.Seed, 1))}
	for z := range f.Zones {
		region := "r1"
		if z >= f.Zones/2 {
			region = "r2"
		}
		r.topology.Zones = append(r.topology.Zones, failover.Zone{Name: zoneName(z), Region: region})
	}
	perAgent := f.Load * serverRate * float64(f.Servers*f.Zones) / float64(f.Agents)
	r.arrivals = distuv.Poisson{Lambda: perAgent * stepSeconds, Src: r.rng}
	for i := range f.Agents {
		agent := &agentModel{zone: i % f.Zones, attempts: make([]int, f.Zones), failedAttempts: make([]int, f.Zones)}
		for range f.Zones {
			agent.failures, agent.lastFailureAt = append(agent.failures, make([]int, f.Servers)), append(agent.lastFailureAt, make([]float64, f.Servers))
		}
		r.agents = append(r.agents, agent)
	}
	r.current.byZone = make([]int, f.Zones)
	r.simulate()
	r.result.ModeChanges /= max(f.Agents, 1)
	return r.result
}

func zoneName(z int) string { return fmt.Sprint("z", z+1) }

func (r *simulation) simulate() {
	steps := int(runSeconds / stepSeconds)
	perSecond, perLook := int(math.Round(1/stepSeconds)), int(math.Round(decisionSeconds/stepSeconds))
	for i := range steps {
		r.now = float64(i) * stepSeconds
		for j, a := range r.agents {
			r.step(a)
			if (i+j)%perLook == 0 && !r.Common { // agents' looks are not in step
				r.decideAlone(a)
			}
			if a.nextPlanAt > 0 && r.now >= a.nextPlanAt {
				r.adopt(a, a.nextPlan)
				a.nextPlanAt = 0
			}
		}
		if r.Common && i%perLook == 0 {
			r.decideInCommon()
		}
		if i%perSecond == perSecond-1 {
			r.closeSecond()
		}
	}
}

// step plays an agent's calls of one step.
func (r *simulation) step(a *agentModel) {
	keep := a.pending[:0]
	for _, m := range a.pending {
		if m.failsAt > r.now {
			keep = append(keep, m)
			continue
		}
		a.attempts[m.zone]++
		a.failedAttempts[m.zone]++
		a.failures[m.zone][m.server]++
		a.lastFailureAt[m.zone][m.server] = r.now
	}
	a.pending = keep
	for range int(r.arrivals.Rand()) {
		a.offered++
		r.placeCall(a)
	}
}

func (r *simulation) placeCall(a *agentModel) {
	home := zoneName(a.zone)
	to := a.plan.ChooseZone(home, "call", fmt.Sprintf("%016x", r.rng.Uint64()))
	z := 0
	fmt.Sscanf(to, "z%d", &z)
	z--
	server := r.pickServer(a, z)
	r.result.Calls++
	r.current.byZone[z]++
	dead := z == 0 && r.fault.Down(r.now)
	if a.zone != 0 || !r.fault.Down(r.now) {
		r.result.FromLiveZones++
		if z == a.zone {
			r.result.KeptHome++
		}
	}
	if a.zone == 0 {
		r.current.z1++
		if z == 0 && !dead {
			r.current.z1Home++
		}
	}
	if dead {
		r.result.Lost++
		if a.zone == 0 {
			r.current.z1Lost++
		}
		a.pending = append(a.pending, pendingFailure{r.now + timeoutSeconds, z, server})
		return
	}
	a.attempts[z]++
	a.failures[z][server] = 0
}

// pickServer is a server of a zone that the agent does not hold for dead, or any where it holds all.
func (r *simulation) pickServer(a *agentModel, z int) int {
	from := r.rng.IntN(r.Servers)
	for i := range r.Servers {
		if s := (from + i) % r.Servers; !r.believedDown(a, z, s) {
			return s
		}
	}
	return from
}

// believedDown is agent.Sights' rule: two in a row, for 10 s.
func (r *simulation) believedDown(a *agentModel, z, s int) bool {
	return a.failures[z][s] >= 2 && r.now-a.lastFailureAt[z][s] < 10
}

// takeSummary is what an agent tells. In common mode agents look at servers that calls tell nothing
// of, as the placer does; alone, an agent has its own calls only.
func (r *simulation) takeSummary(i int, a *agentModel) failover.Summary {
	s := failover.Summary{Agent: fmt.Sprint(i), Zone: zoneName(a.zone), AtUs: r.nowMicros(), Offered: map[string]float64{"call": float64(a.offered) / decisionSeconds},
		Seen: map[string]failover.Sight{}}
	for z := range r.Zones {
		sight := failover.Sight{Listed: r.Servers, Capacity: 0, Tries: float64(a.attempts[z]) / decisionSeconds, Dead: float64(a.failedAttempts[z]) / decisionSeconds}
		for v := range r.Servers {
			r.probe(a, z, v)
			if !r.believedDown(a, z, v) {
				sight.Up++
			}
		}
		sight.Capacity = serverRate * float64(sight.Up)
		s.Seen[zoneName(z)] = sight
		a.attempts[z], a.failedAttempts[z] = 0, 0
	}
	a.offered = 0
	return s
}

// probe is the placer's look at servers that are down, or in a zone that is lost; alone, an
// agent does not look.
func (r *simulation) probe(a *agentModel, z, server int) {
	if !r.Common || a.failures[z][server] < 2 && !a.plan.States[zoneName(z)].Lost {
		return
	}
	if z == 0 && r.fault.Down(r.now) {
		a.failures[z][server]++
		a.lastFailureAt[z][server] = r.now
		return
	}
	a.failures[z][server] = 0
}

func (r *simulation) nowMicros() int64 { return int64(r.now*1e6) + 1 }

// decideAlone has an agent decide on what it sees itself. Its own load is a fleet's to it: it scales
// what it is offered by the agents there are.
func (r *simulation) decideAlone(a *agentModel) {
	s := r.takeSummary(0, a)
	s.Offered["call"] *= float64(r.Agents) / float64(r.Zones)
	v := failover.Aggregate([]failover.Summary{s}, r.nowMicros(), 5e6)
	if next, changed := failover.Decide(a.plan, r.topology, r.settings, v, r.nowMicros(), "self"); changed {
		r.adopt(a, next)
	}
}

func (r *simulation) decideInCommon() {
	var all []failover.Summary
	for i, a := range r.agents {
		all = append(all, r.takeSummary(i, a))
	}
	next, changed := failover.Decide(r.common, r.topology, r.settings, failover.Aggregate(all, r.nowMicros(), 5e6), r.nowMicros(), "leader")
	if !changed {
		return
	}
	r.common = next
	for _, a := range r.agents {
		a.nextPlan, a.nextPlanAt = next, r.now+propagationSeconds
	}
}

func (r *simulation) adopt(a *agentModel, p failover.Plan) {
	if was, ok := a.plan.Zones[zoneName(a.zone)]; ok && was.Mode != p.Zones[zoneName(a.zone)].Mode {
		r.result.ModeChanges++
	}
	a.plan = p
}

// closeSecond closes a second.
func (r *simulation) closeSecond() {
	w := r.current
	if r.fault.EndsAt > 0 && w.z1 > 0 {
		if r.result.FailOver == 0 && r.now > 30.5 && float64(w.z1Lost) < 0.05*float64(w.z1) {
			r.result.FailOver = r.now + stepSeconds - 30
		}
		if r.result.FailBack == 0 && r.now > r.fault.EndsAt && float64(w.z1Home) > 0.95*float64(w.z1) {
			r.result.FailBack = r.now + stepSeconds - r.fault.EndsAt
		}
	}
	for z, n := range w.byZone {
		capacity := serverRate * float64(r.Servers)
		if z == 0 && r.fault.Down(r.now) {
			continue
		}
		r.result.MaxOverload = max(r.result.MaxOverload, float64(n)/capacity-1)
	}
	r.current = secondCounts{byZone: make([]int, r.Zones)}
}
