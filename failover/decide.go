package failover

import (
	"cmp"
	"maps"
	"math"
	"reflect"
	"slices"
)

// Mode summarizes where a zone's calls go.
type Mode string

// The modes, in order of increasing severity.
const (
	ModeLocal    Mode = "local"    // all calls stay in their own zone
	ModeSpill    Mode = "spill"    // the excess over the zone's capacity goes to other zones of its region
	ModeEvacuate Mode = "evacuate" // the zone is lost; all its calls go to other zones of its region
	ModeRegion   Mode = "region"   // the region can't carry its load; some calls leave it
)

// Share is the part of a zone's calls, in (0, 1], that goes to another zone.
type Share struct {
	Zone string  `json:"zone"`
	Part float64 `json:"part"`
}

// Placement says where a zone's calls go: the listed shares to other zones, the rest to its own servers.
type Placement struct {
	Mode   Mode    `json:"mode"`
	Shares []Share `json:"shares,omitempty"` // nearest first
	// Caps limit the part of a class's calls that may leave the zone. Only classes whose budget is below the
	// sum of the shares are listed.
	Caps map[string]float64 `json:"caps,omitempty"`
}

// awayShare returns the part of the zone's calls that leaves it, before Caps apply.
func (p Placement) awayShare() (sum float64) {
	for _, s := range p.Shares {
		sum += s.Part
	}
	return min(sum, 1)
}

// State is the health history of a zone that one decision passes on to the next.
type State struct {
	Lost bool `json:"lost,omitempty"` // stays set until the zone has been healthy for Settings.DwellUs
	// HealthyUs is the time since which the zone has been healthy; 0 while it is not.
	HealthyUs int64 `json:"healthy_us,omitempty"`
	// BackUs is when the zone last recovered, from which time its capacity ramps up; 0: it was never lost.
	BackUs int64 `json:"back_us,omitempty"`
}

// Trade reports calls that a plan leaves in a zone which can't carry them, so that most of them will be
// refused.
type Trade struct {
	Zone      string  `json:"zone"`
	For       string  `json:"for"` // reason: "budget" (of Class) or "capacity" (no zone has any left)
	Class     string  `json:"class,omitempty"`
	PerSecond float64 `json:"per_second"` // calls per second
}

// Plan is the result of one decision. All agents follow the plan with the highest epoch.
type Plan struct {
	Epoch  uint64               `json:"epoch"`
	AtUs   int64                `json:"at_us"` // time of the decision, on the decider's clock
	By     string               `json:"by"`    // name of the decider
	Zones  map[string]Placement `json:"zones"`
	States map[string]State     `json:"states"`
	Trades []Trade              `json:"trades,omitempty"`
}

// Decide returns the plan that follows prev, or prev itself and changed = false if nothing has to change.
// Equal arguments give equal plans, whichever machine decides.
func Decide(prev Plan, t Topology, s Settings, v View, nowUs int64, by string) (next Plan, changed bool) {
	d := decision{topology: t, settings: s, view: v, nowUs: nowUs, states: map[string]State{}, freeCapacity: map[string]float64{}}
	for _, z := range t.Zones {
		d.states[z.Name] = d.nextState(z.Name, prev.States[z.Name])
	}
	for _, z := range t.Zones {
		d.freeCapacity[z.Name] = d.usableCapacity(z.Name)
	}
	next = Plan{Epoch: prev.Epoch, AtUs: prev.AtUs, By: prev.By, States: d.states, Zones: d.placeAll()}
	for zone, p := range next.Zones {
		if previous, ok := prev.Zones[zone]; ok && s.similar(previous, p) {
			next.Zones[zone] = previous
		}
	}
	next.Trades = d.trades(next.Zones)
	if reflect.DeepEqual(next.Zones, prev.Zones) && maps.Equal(next.States, prev.States) {
		return prev, false // Trades vary with the load; a change of them alone needs no new epoch
	}
	next.Epoch, next.AtUs, next.By = prev.Epoch+1, nowUs, by
	return next, true
}

// decision holds the inputs and intermediate results of one call of Decide.
type decision struct {
	topology     Topology
	settings     Settings
	view         View
	nowUs        int64
	states       map[string]State
	freeCapacity map[string]float64 // by zone: calls per second that it can still take
	unplaced     map[string]float64 // by zone: calls per second for which no zone has capacity
}

// nextState returns a zone's state after the current observations. Without any, the state stays as it was:
// missing reports do not prove that a zone has failed.
func (d *decision) nextState(zone string, state State) State {
	h, seen := d.view.bestHealth(zone)
	if !seen {
		return state
	}
	if h.Up < d.settings.LostAt || h.Failing > 1-d.settings.LostAt {
		return State{Lost: true, BackUs: state.BackUs}
	}
	if state.HealthyUs == 0 {
		state.HealthyUs = d.nowUs
	}
	if state.Lost && d.nowUs-state.HealthyUs >= d.settings.DwellUs {
		state.Lost, state.BackUs = false, d.nowUs
	}
	return state
}

// usableCapacity returns the calls per second that a plan may send to a zone, without the margin. A zone of
// unknown capacity has no limit unless its servers answer "full"; then the limit is the load it carries now.
func (d *decision) usableCapacity(zone string) float64 {
	if d.states[zone].Lost {
		return 0
	}
	h, _ := d.view.bestHealth(zone)
	capacity := math.Inf(1)
	if h.Capacity > 0 {
		capacity = h.Capacity * (1 - d.settings.Margin)
	}
	if h.Full > d.settings.FullAt {
		capacity = min(capacity, d.view.totalLoad(zone)*(1-h.Full))
	}
	if recoveredUs := d.states[zone].BackUs; recoveredUs > 0 && d.settings.RampUs > 0 && !math.IsInf(capacity, 1) {
		rampProgress := float64(d.nowUs-recoveredUs) / float64(d.settings.RampUs)
		capacity *= min(1, d.settings.RampFrom+(1-d.settings.RampFrom)*rampProgress)
	}
	return capacity
}

// reaches reports whether the agents of one zone can reach the servers of another. Without a report from
// those agents, any zone that is not lost counts as reachable.
func (d *decision) reaches(from, to string) bool {
	if d.states[to].Lost {
		return false
	}
	if h, ok := d.view.healthSeenBy(from, to); ok {
		return h.Up >= d.settings.LostAt && h.Failing <= 1-d.settings.LostAt
	}
	return true
}

// zonePair is a possible transfer of calls from one zone to another.
type zonePair struct {
	from, to       string
	cost           float64
	regionsCrossed int
}

// placeAll first gives each zone its own calls. It then moves the excess, the cheapest pair of zones first:
// within regions, and across regions only what the regions could not take.
func (d *decision) placeAll() map[string]Placement {
	zones := map[string]Placement{}
	excess, kept := map[string]float64{}, map[string]float64{}
	sent := map[string][]Share{}
	for _, z := range d.topology.Zones {
		load := d.demand(z.Name)
		if d.reaches(z.Name, z.Name) {
			kept[z.Name] = min(load, d.freeCapacity[z.Name])
		}
		excess[z.Name] = load - kept[z.Name]
		d.freeCapacity[z.Name] -= kept[z.Name]
	}
	for _, pair := range d.zonePairs() {
		moved := min(excess[pair.from], d.freeCapacity[pair.to])
		if moved <= 0 {
			continue
		}
		d.freeCapacity[pair.to] -= moved
		excess[pair.from] -= moved
		sent[pair.from] = append(sent[pair.from], Share{pair.to, moved / d.demand(pair.from)})
	}
	d.unplaced = excess
	for _, z := range d.topology.Zones {
		zones[z.Name] = d.placement(z.Name, kept[z.Name], sent[z.Name])
	}
	return zones
}

// minDemandPerS is the load assumed for an idle zone, so that its next call has a placement too.
const minDemandPerS = 1e-6

// demand returns the calls per second of a zone, at least minDemandPerS.
func (d *decision) demand(zone string) float64 { return max(d.view.totalLoad(zone), minDemandPerS) }

// zonePairs returns the pairs of zones in the order in which capacity is assigned. Near pairs come before far
// ones, so that the capacity of a zone goes to the calls of nearer zones first.
func (d *decision) zonePairs() (out []zonePair) {
	for _, a := range d.topology.Zones {
		for _, b := range d.topology.Zones {
			if a.Name != b.Name && d.reaches(a.Name, b.Name) {
				out = append(out, zonePair{a.Name, b.Name, d.topology.cost(a.Name, b.Name), d.topology.regionsCrossed(a.Name, b.Name)})
			}
		}
	}
	slices.SortFunc(out, func(a, b zonePair) int {
		return cmp.Or(cmp.Compare(a.regionsCrossed, b.regionsCrossed), cmp.Compare(a.cost, b.cost), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	return out
}

// placement builds the Placement of a zone. Calls for which no zone has capacity stay in their own zone,
// where package policy refuses the excess. If that zone is lost, they go to the nearest reachable zone and
// are refused there.
func (d *decision) placement(zone string, kept float64, sent []Share) Placement {
	homeReachable := d.reaches(zone, zone)
	p := Placement{Mode: ModeLocal, Shares: sent}
	if !homeReachable {
		p.Shares = d.sendRemainder(zone, sent)
	}
	switch {
	case slices.ContainsFunc(p.Shares, func(s Share) bool { return d.topology.regionsCrossed(zone, s.Zone) > 0 }):
		p.Mode = ModeRegion
	case len(p.Shares) > 0 && !homeReachable:
		p.Mode = ModeEvacuate
	case len(p.Shares) > 0:
		p.Mode = ModeSpill
	}
	for class, limit := range d.settings.Budget {
		if limit < p.awayShare() {
			if p.Caps == nil {
				p.Caps = map[string]float64{}
			}
			p.Caps[class] = limit
		}
	}
	return p
}

// sendRemainder adds the unplaced calls of a lost zone to the share of its nearest reachable zone.
func (d *decision) sendRemainder(zone string, sent []Share) []Share {
	rest := 1 - Placement{Shares: sent}.awayShare()
	if rest <= 1e-9 {
		return sent
	}
	for _, to := range d.topology.Nearest(zone) {
		if !d.reaches(zone, to) {
			continue
		}
		for i := range sent {
			if sent[i].Zone == to {
				sent[i].Part += rest
				return sent
			}
		}
		return append([]Share{{to, rest}}, sent...)
	}
	return sent // no zone is reachable: the calls stay in their own zone, where package policy refuses them
}

// similar reports whether a placement differs so little from the previous one that the previous one can stay.
// A different mode, zone or cap always counts as a change, so that a share that has ended is removed.
func (s Settings) similar(previous, next Placement) bool {
	if previous.Mode != next.Mode || len(previous.Shares) != len(next.Shares) || !maps.Equal(previous.Caps, next.Caps) {
		return false
	}
	for i := range previous.Shares {
		if previous.Shares[i].Zone != next.Shares[i].Zone || math.Abs(previous.Shares[i].Part-next.Shares[i].Part) >= s.Step {
			return false
		}
	}
	return true
}

// trades lists the calls that a class's budget keeps in a zone that can't carry them, and the calls for which
// no zone has capacity.
func (d *decision) trades(zones map[string]Placement) (out []Trade) {
	for _, z := range d.topology.Zones {
		p := zones[z.Name]
		for _, class := range slices.Sorted(maps.Keys(p.Caps)) {
			if heldBack := d.view.Load[z.Name][class] * (p.awayShare() - p.Caps[class]); heldBack > 0 {
				out = append(out, Trade{Zone: z.Name, For: "budget", Class: class, PerSecond: round(heldBack)})
			}
		}
		if d.view.totalLoad(z.Name) > 0 && d.unplaced[z.Name] > 1e-9 {
			out = append(out, Trade{Zone: z.Name, For: "capacity", PerSecond: round(d.unplaced[z.Name])})
		}
	}
	return out
}

// round rounds to three decimals for display. Trades are only reported, never used in calculations.
func round(n float64) float64 { return math.Round(n*1000) / 1000 }
