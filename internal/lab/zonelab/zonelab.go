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
	Down func(at float64) bool
	Ends float64 // when it is over for good
}

// Faults are those measured.
var Faults = []Fault{
	{"calm", func(float64) bool { return false }, 0},
	{"zone lost for 20 s", func(at float64) bool { return at >= 30 && at < 50 }, 50},
	{"zone flaps, 4 s down, 6 s up, five times", func(at float64) bool { return at >= 30 && at < 80 && math.Mod(at-30, 10) < 4 }, 74},
}

// Result is what a run showed.
type Result struct {
	Calls    int
	Lost     int     // sent to a dead server
	Home     int     // of those from zones whose servers live, the ones that stayed there
	Live     int     // calls from zones whose servers live
	FailOver float64 // seconds from the fault to the first second in which under 5 % of z1's calls were lost
	FailBack float64 // seconds from its end to the first with over 95 % of z1's calls at home
	Swings   int     // changes of the home placement's mode, over all agents, per agent
	Over     float64 // most that a zone was asked beyond its capacity in a second, as a share of it
}

// The model's figures. A server takes rate calls a second; a dead one is noticed after timeout.
const (
	step    = 0.1 // seconds
	rate    = 50.0
	timeout = 0.5
	length  = 150.0
	spread  = 0.3 // seconds until a decision is in force at all agents, commit and gossip together
	every   = 1.0 // seconds between looks
)

// agent is one modelled call agent.
type agentModel struct {
	zone    int
	plan    failover.Plan
	next    failover.Plan // decided in common, in force from nextAt on
	nextAt  float64
	bad     [][]int     // by zone and server: attempts in a row that met a dead one
	badAt   [][]float64 // when last
	offered int
	tries   []int  // that ended since the last look, by zone
	dead    []int  // of these, met a dead server
	due     []miss // attempts under way to dead servers
}

// miss is an attempt that will be seen to have failed.
type miss struct {
	at           float64
	zone, server int
}

// run is one run of the model.
type run struct {
	Fleet
	f        Fault
	top      failover.Topology
	set      failover.Settings
	rng      *rand.Rand
	arrivals distuv.Poisson
	agents   []*agentModel
	common   failover.Plan
	at       float64
	res      Result
	second   window
}

// window counts one second.
type window struct {
	z1, z1Lost, z1Home int
	into               []int
}

// Run plays a fault against a fleet, in virtual time.
func (f Fleet) Run(fault Fault) Result {
	r := &run{Fleet: f, f: fault, set: failover.Defaults, rng: rand.New(rand.NewPCG(f.Seed, 1))}
	for z := range f.Zones {
		region := "r1"
		if z >= f.Zones/2 {
			region = "r2"
		}
		r.top.Zones = append(r.top.Zones, failover.Zone{Name: name(z), Region: region})
	}
	perAgent := f.Load * rate * float64(f.Servers*f.Zones) / float64(f.Agents)
	r.arrivals = distuv.Poisson{Lambda: perAgent * step, Src: r.rng}
	for i := range f.Agents {
		a := &agentModel{zone: i % f.Zones, tries: make([]int, f.Zones), dead: make([]int, f.Zones)}
		for range f.Zones {
			a.bad, a.badAt = append(a.bad, make([]int, f.Servers)), append(a.badAt, make([]float64, f.Servers))
		}
		r.agents = append(r.agents, a)
	}
	r.second.into = make([]int, f.Zones)
	r.play()
	r.res.Swings /= max(f.Agents, 1)
	return r.res
}

func name(z int) string { return fmt.Sprint("z", z+1) }

func (r *run) play() {
	steps := int(length / step)
	perSecond, perLook := int(math.Round(1/step)), int(math.Round(every/step))
	for i := range steps {
		r.at = float64(i) * step
		for j, a := range r.agents {
			r.serve(a)
			if (i+j)%perLook == 0 && !r.Common { // agents' looks are not in step
				r.alone(a)
			}
			if a.nextAt > 0 && r.at >= a.nextAt {
				r.adopt(a, a.next)
				a.nextAt = 0
			}
		}
		if r.Common && i%perLook == 0 {
			r.together()
		}
		if i%perSecond == perSecond-1 {
			r.count()
		}
	}
}

// serve plays an agent's calls of one step.
func (r *run) serve(a *agentModel) {
	keep := a.due[:0]
	for _, m := range a.due {
		if m.at > r.at {
			keep = append(keep, m)
			continue
		}
		a.tries[m.zone]++
		a.dead[m.zone]++
		a.bad[m.zone][m.server]++
		a.badAt[m.zone][m.server] = r.at
	}
	a.due = keep
	for range int(r.arrivals.Rand()) {
		a.offered++
		r.call(a)
	}
}

func (r *run) call(a *agentModel) {
	home := name(a.zone)
	to := a.plan.ChooseZone(home, "call", fmt.Sprintf("%016x", r.rng.Uint64()))
	z := 0
	fmt.Sscanf(to, "z%d", &z)
	z--
	server := r.pick(a, z)
	r.res.Calls++
	r.second.into[z]++
	dead := z == 0 && r.f.Down(r.at)
	if a.zone != 0 || !r.f.Down(r.at) {
		r.res.Live++
		if z == a.zone {
			r.res.Home++
		}
	}
	if a.zone == 0 {
		r.second.z1++
		if z == 0 && !dead {
			r.second.z1Home++
		}
	}
	if dead {
		r.res.Lost++
		if a.zone == 0 {
			r.second.z1Lost++
		}
		a.due = append(a.due, miss{r.at + timeout, z, server})
		return
	}
	a.tries[z]++
	a.bad[z][server] = 0
}

// pick is a server of a zone that the agent does not hold for dead, or any where it holds all.
func (r *run) pick(a *agentModel, z int) int {
	from := r.rng.IntN(r.Servers)
	for i := range r.Servers {
		if s := (from + i) % r.Servers; !r.down(a, z, s) {
			return s
		}
	}
	return from
}

// down is agent.Sights' rule: two in a row, for 10 s.
func (r *run) down(a *agentModel, z, s int) bool { return a.bad[z][s] >= 2 && r.at-a.badAt[z][s] < 10 }

// summary is what an agent tells. In common mode agents look at servers that calls tell nothing
// of, as the placer does; alone, an agent has its own calls only.
func (r *run) summary(i int, a *agentModel) failover.Summary {
	s := failover.Summary{Agent: fmt.Sprint(i), Zone: name(a.zone), AtUs: r.us(), Offered: map[string]float64{"call": float64(a.offered) / every},
		Seen: map[string]failover.Sight{}}
	for z := range r.Zones {
		sight := failover.Sight{Listed: r.Servers, Capacity: 0, Tries: float64(a.tries[z]) / every, Dead: float64(a.dead[z]) / every}
		for v := range r.Servers {
			r.check(a, z, v)
			if !r.down(a, z, v) {
				sight.Up++
			}
		}
		sight.Capacity = rate * float64(sight.Up)
		s.Seen[name(z)] = sight
		a.tries[z], a.dead[z] = 0, 0
	}
	a.offered = 0
	return s
}

// check is the placer's look at servers that are down, or in a zone that is lost; alone, an
// agent does not look.
func (r *run) check(a *agentModel, z, server int) {
	if !r.Common || a.bad[z][server] < 2 && !a.plan.States[name(z)].Lost {
		return
	}
	if z == 0 && r.f.Down(r.at) {
		a.bad[z][server]++
		a.badAt[z][server] = r.at
		return
	}
	a.bad[z][server] = 0
}

func (r *run) us() int64 { return int64(r.at*1e6) + 1 }

// alone has an agent decide on what it sees itself. Its own load is a fleet's to it: it scales
// what it is offered by the agents there are.
func (r *run) alone(a *agentModel) {
	s := r.summary(0, a)
	s.Offered["call"] *= float64(r.Agents) / float64(r.Zones)
	v := failover.Aggregate([]failover.Summary{s}, r.us(), 5e6)
	if next, changed := failover.Decide(a.plan, r.top, r.set, v, r.us(), "self"); changed {
		r.adopt(a, next)
	}
}

func (r *run) together() {
	var all []failover.Summary
	for i, a := range r.agents {
		all = append(all, r.summary(i, a))
	}
	next, changed := failover.Decide(r.common, r.top, r.set, failover.Aggregate(all, r.us(), 5e6), r.us(), "leader")
	if !changed {
		return
	}
	r.common = next
	for _, a := range r.agents {
		a.next, a.nextAt = next, r.at+spread
	}
}

func (r *run) adopt(a *agentModel, p failover.Plan) {
	if was, ok := a.plan.Zones[name(a.zone)]; ok && was.Mode != p.Zones[name(a.zone)].Mode {
		r.res.Swings++
	}
	a.plan = p
}

// count closes a second.
func (r *run) count() {
	w := r.second
	if r.f.Ends > 0 && w.z1 > 0 {
		if r.res.FailOver == 0 && r.at > 30.5 && float64(w.z1Lost) < 0.05*float64(w.z1) {
			r.res.FailOver = r.at + step - 30
		}
		if r.res.FailBack == 0 && r.at > r.f.Ends && float64(w.z1Home) > 0.95*float64(w.z1) {
			r.res.FailBack = r.at + step - r.f.Ends
		}
	}
	for z, n := range w.into {
		capacity := rate * float64(r.Servers)
		if z == 0 && r.f.Down(r.at) {
			continue
		}
		r.res.Over = max(r.res.Over, float64(n)/capacity-1)
	}
	r.second = window{into: make([]int, r.Zones)}
}
