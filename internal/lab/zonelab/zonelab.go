// Package zonelab tests and measures zone failover. A seeded model in virtual time covers fleets too
// large for processes: its agents decide with package failover, in common or each alone, on what they
// themselves observed. The cost of membership is measured on real members in one process, and fault
// schedules run against agents as processes. It is the laboratory behind `woodlab zones`; the daemon
// does not use it.
package zonelab

import (
	"fmt"
	"math"
	"math/rand/v2"

	"gonum.org/v1/gonum/stat/distuv"

	"woodrouter/failover"
)

// Fleet is a modelled fleet of agents and servers, spread evenly over zones in two regions.
type Fleet struct {
	Agents  int
	Zones   int     // an even number; the first half lies in region r1
	Servers int     // servers per zone
	Load    float64 // as a share of the fleet's capacity, between 0 and 1
	Seed    uint64
	Common  bool // one decision for all agents; false: each agent decides alone
}

// Fault describes an outage of zone z1.
type Fault struct {
	Name string
	// Down reports whether the zone's servers are dead at a time, in seconds from the start.
	Down   func(at float64) bool
	EndsAt float64 // when the zone is up for good, in seconds from the start; 0: never down
}

// Faults are the faults that are modelled.
var Faults = []Fault{
	{"calm", func(float64) bool { return false }, 0},
	{"zone lost for 20 s", func(at float64) bool { return at >= 30 && at < 50 }, 50},
	{"zone flaps, 4 s down, 6 s up, five times", func(at float64) bool { return at >= 30 && at < 80 && math.Mod(at-30, 10) < 4 }, 74},
}

// Result is the outcome of a modelled run.
type Result struct {
	Calls         int
	Lost          int // calls sent to a dead server
	KeptHome      int // calls from zones with live servers that stayed in their zone
	FromLiveZones int // calls from zones with live servers
	// FailOver is the time in seconds from the fault to the end of the first second in which under 5 % of
	// z1's calls were lost; 0 if there was none.
	FailOver float64
	// FailBack is the time in seconds from the fault's end to the end of the first second in which over
	// 95 % of z1's calls stayed at home; 0 if there was none.
	FailBack    float64
	ModeChanges int     // changes of the home zone's placement mode, per agent
	MaxOverload float64 // largest overload of a zone in one second, as a share of its capacity
}

// Parameters of the model.
const (
	stepSeconds        = 0.1
	serverRate         = 50.0 // calls per second that a server takes
	timeoutSeconds     = 0.5  // until an attempt at a dead server fails
	runSeconds         = 150.0
	propagationSeconds = 0.3 // until a decision is in force at all agents, with commit and gossip
	decisionSeconds    = 1.0 // between an agent's summaries, and between decisions
)

// agentModel is one modelled call agent.
type agentModel struct {
	zone           int
	plan           failover.Plan
	nextPlan       failover.Plan // common decision that is in force from nextPlanAt on
	nextPlanAt     float64
	failures       [][]int     // consecutive failed attempts, by zone and server
	lastFailureAt  [][]float64 // time of the last failure, by zone and server
	offered        int
	attempts       []int            // ended since the last summary, by zone
	failedAttempts []int            // of these, at a dead server
	pending        []pendingFailure // attempts at dead servers that have not timed out yet
}

// pendingFailure is an attempt at a dead server that will time out.
type pendingFailure struct {
	failsAt      float64
	zone, server int
}

// simulation is the state of one run of the model.
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

// secondCounts counts the calls of one second.
type secondCounts struct {
	z1, z1Lost, z1Home int
	byZone             []int
}

// Run simulates a fault in the fleet, in virtual time.
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
	stepsPerSecond, stepsPerDecision := int(math.Round(1/stepSeconds)), int(math.Round(decisionSeconds/stepSeconds))
	for i := range steps {
		r.now = float64(i) * stepSeconds
		for j, a := range r.agents {
			r.step(a)
			if (i+j)%stepsPerDecision == 0 && !r.Common { // agents decide at different times
				r.decideAlone(a)
			}
			if a.nextPlanAt > 0 && r.now >= a.nextPlanAt {
				r.adopt(a, a.nextPlan)
				a.nextPlanAt = 0
			}
		}
		if r.Common && i%stepsPerDecision == 0 {
			r.decideInCommon()
		}
		if i%stepsPerSecond == stepsPerSecond-1 {
			r.closeSecond()
		}
	}
}

// step simulates one agent's calls during one time step.
func (r *simulation) step(a *agentModel) {
	remaining := a.pending[:0]
	for _, failure := range a.pending {
		if failure.failsAt > r.now {
			remaining = append(remaining, failure)
			continue
		}
		a.attempts[failure.zone]++
		a.failedAttempts[failure.zone]++
		a.failures[failure.zone][failure.server]++
		a.lastFailureAt[failure.zone][failure.server] = r.now
	}
	a.pending = remaining
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

// pickServer returns a server of a zone that the agent does not believe down, or any server if it
// believes all of them down.
func (r *simulation) pickServer(a *agentModel, z int) int {
	from := r.rng.IntN(r.Servers)
	for i := range r.Servers {
		if s := (from + i) % r.Servers; !r.believedDown(a, z, s) {
			return s
		}
	}
	return from
}

// believedDown applies the rule of agent.Observations: two consecutive failures mark a server down for 10 s.
func (r *simulation) believedDown(a *agentModel, z, s int) bool {
	return a.failures[z][s] >= 2 && r.now-a.lastFailureAt[z][s] < 10
}

// takeSummary returns an agent's summary and resets its counters. In common mode, agents probe servers
// about which calls reveal nothing, as the placer does; an agent that decides alone has its calls only.
func (r *simulation) takeSummary(i int, a *agentModel) failover.Summary {
	summary := failover.Summary{Agent: fmt.Sprint(i), Zone: zoneName(a.zone), AtUs: r.nowMicros(), Offered: map[string]float64{"call": float64(a.offered) / decisionSeconds},
		Seen: map[string]failover.Sight{}}
	for z := range r.Zones {
		sight := failover.Sight{Listed: r.Servers, Capacity: 0, Tries: float64(a.attempts[z]) / decisionSeconds, Dead: float64(a.failedAttempts[z]) / decisionSeconds}
		for server := range r.Servers {
			r.probe(a, z, server)
			if !r.believedDown(a, z, server) {
				sight.Up++
			}
		}
		sight.Capacity = serverRate * float64(sight.Up)
		summary.Seen[zoneName(z)] = sight
		a.attempts[z], a.failedAttempts[z] = 0, 0
	}
	a.offered = 0
	return summary
}

// probe models the placer's probes of servers that are down or in a lost zone. An agent that decides
// alone does not probe.
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

// decideAlone lets an agent decide on its own observations. It extrapolates its offered load to all
// agents of a zone.
func (r *simulation) decideAlone(a *agentModel) {
	summary := r.takeSummary(0, a)
	summary.Offered["call"] *= float64(r.Agents) / float64(r.Zones)
	aggregate := failover.Aggregate([]failover.Summary{summary}, r.nowMicros(), 5e6)
	if next, changed := failover.Decide(a.plan, r.topology, r.settings, aggregate, r.nowMicros(), "self"); changed {
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

func (r *simulation) adopt(a *agentModel, plan failover.Plan) {
	if before, ok := a.plan.Zones[zoneName(a.zone)]; ok && before.Mode != plan.Zones[zoneName(a.zone)].Mode {
		r.result.ModeChanges++
	}
	a.plan = plan
}

// closeSecond evaluates and resets the counts of the current second.
func (r *simulation) closeSecond() {
	counts := r.current
	if r.fault.EndsAt > 0 && counts.z1 > 0 {
		if r.result.FailOver == 0 && r.now > 30.5 && float64(counts.z1Lost) < 0.05*float64(counts.z1) {
			r.result.FailOver = r.now + stepSeconds - 30
		}
		if r.result.FailBack == 0 && r.now > r.fault.EndsAt && float64(counts.z1Home) > 0.95*float64(counts.z1) {
			r.result.FailBack = r.now + stepSeconds - r.fault.EndsAt
		}
	}
	for z, n := range counts.byZone {
		capacity := serverRate * float64(r.Servers)
		if z == 0 && r.fault.Down(r.now) {
			continue
		}
		r.result.MaxOverload = max(r.result.MaxOverload, float64(n)/capacity-1)
	}
	r.current = secondCounts{byZone: make([]int, r.Zones)}
}
