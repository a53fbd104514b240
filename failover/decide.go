package failover

import (
	"cmp"
	"maps"
	"math"
	"reflect"
	"slices"
)

// Mode words where a zone's calls go.
type Mode string

// The modes, from the calmest on.
const (
	ModeLocal    Mode = "local"    // all at home
	ModeSpill    Mode = "spill"    // what home can't carry goes to zones of the region
	ModeEvacuate Mode = "evacuate" // home is lost: all of it goes to zones of the region
	ModeRegion   Mode = "region"   // the region's zones can't carry its load: some leaves the region
)

// Share is a part of a zone's calls, in (0, 1], that goes to another zone.
type Share struct {
	Zone string  `json:"zone"`
	Part float64 `json:"part"`
}

// Placement is where a zone's calls go: the shares, and the rest at home.
type Placement struct {
	Mode   Mode    `json:"mode"`
	Shares []Share `json:"shares,omitempty"` // nearest first
	// Caps bound the part of a class's calls that may leave the zone, where its budget is less
	// than what the shares would send.
	Caps map[string]float64 `json:"caps,omitempty"`
}

// awayShare is the part of the zone's calls that leaves it, before caps.
func (p Placement) awayShare() (sum float64) {
	for _, s := range p.Shares {
		sum += s.Part
	}
	return min(sum, 1)
}

// State is what a plan remembers of a zone from one decision to the next.
type State struct {
	Lost bool `json:"lost,omitempty"` // until it has been healthy for the dwell
	// HealthyUs is since when it is seen healthy; 0 while it is not.
	HealthyUs int64 `json:"healthy_us,omitempty"`
	// BackUs is when it was last taken back; its capacity ramps up from there. 0: never lost.
	BackUs int64 `json:"back_us,omitempty"`
}

// Trade is service given up for something else, in calls a second that stay where they will
// mostly be turned away.
type Trade struct {
	Zone      string  `json:"zone"`
	For       string  `json:"for"` // "budget" (with Class), or "capacity": no zone has room
	Class     string  `json:"class,omitempty"`
	PerSecond float64 `json:"per_second"`
}

// Plan is one decision, in force for all agents from its epoch on.
type Plan struct {
	Epoch  uint64               `json:"epoch"`
	AtUs   int64                `json:"at_us"` // on the decider's clock
	By     string               `json:"by"`    // the decider
	Zones  map[string]Placement `json:"zones"`
	States map[string]State     `json:"states"`
	Trades []Trade              `json:"trades,omitempty"`
}

// Decide gives the plan that follows prev; changed is false where prev stays in force. Equal
// arguments give equal plans, whoever decides.
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
		if was, ok := prev.Zones[zone]; ok && s.similar(was, p) {
			next.Zones[zone] = was
		}
	}
	next.Trades = d.trades(next.Zones)
	if reflect.DeepEqual(next.Zones, prev.Zones) && maps.Equal(next.States, prev.States) {
		return prev, false // trades alone drift with the load: the figures tell them, no epoch
	}
	next.Epoch, next.AtUs, next.By = prev.Epoch+1, nowUs, by
	return next, true
}

// decision is one run of Decide.
type decision struct {
	topology     Topology
	settings     Settings
	view         View
	nowUs        int64
	states       map[string]State
	freeCapacity map[string]float64 // calls a second that a zone still takes
	unplaced     map[string]float64 // calls a second of a zone that found no room
}

// nextState follows a zone's health. Without news of it the state stays: silence of its viewers
// is no proof against a zone.
func (d *decision) nextState(zone string, was State) State {
	h, seen := d.view.bestHealth(zone)
	if !seen {
		return was
	}
	if h.Up < d.settings.LostAt || h.Failing > 1-d.settings.LostAt {
		return State{Lost: true, BackUs: was.BackUs}
	}
	if was.HealthyUs == 0 {
		was.HealthyUs = d.nowUs
	}
	if was.Lost && d.nowUs-was.HealthyUs >= d.settings.DwellUs {
		was.Lost, was.BackUs = false, d.nowUs
	}
	return was
}

// usableCapacity is the calls a second that a zone may be planned to take, with the margin left free.
// An unknown capacity is no bound, unless tries there meet "full": then what it takes now is.
func (d *decision) usableCapacity(zone string) float64 {
	if d.states[zone].Lost {
		return 0
	}
	h, _ := d.view.bestHealth(zone)
	room := math.Inf(1)
	if h.Capacity > 0 {
		room = h.Capacity * (1 - d.settings.Margin)
	}
	if h.Full > d.settings.FullAt {
		room = min(room, d.view.totalLoad(zone)*(1-h.Full))
	}
	if back := d.states[zone].BackUs; back > 0 && d.settings.RampUs > 0 && !math.IsInf(room, 1) {
		warm := float64(d.nowUs-back) / float64(d.settings.RampUs)
		room *= min(1, d.settings.RampFrom+(1-d.settings.RampFrom)*warm)
	}
	return room
}

// reaches tells whether agents of a zone reach another's servers. A zone whose agents say
// nothing of the other is taken to reach what is healthy.
func (d *decision) reaches(from, to string) bool {
	if d.states[to].Lost {
		return false
	}
	if h, ok := d.view.healthSeenBy(from, to); ok {
		return h.Up >= d.settings.LostAt && h.Failing <= 1-d.settings.LostAt
	}
	return true
}

// zonePair is room that one zone has for another's calls.
type zonePair struct {
	from, to       string
	cost           float64
	regionsCrossed int
}

// placeAll fills each zone with its own calls, then moves what is left over, nearest first over
// all zones alike: within regions, and across only what the regions could not take.
func (d *decision) placeAll() map[string]Placement {
	zones := map[string]Placement{}
	left, kept := map[string]float64{}, map[string]float64{}
	sent := map[string][]Share{}
	for _, z := range d.topology.Zones {
		load := d.demand(z.Name)
		if d.reaches(z.Name, z.Name) {
			kept[z.Name] = min(load, d.freeCapacity[z.Name])
		}
		left[z.Name] = load - kept[z.Name]
		d.freeCapacity[z.Name] -= kept[z.Name]
	}
	for _, m := range d.zonePairs() {
		n := min(left[m.from], d.freeCapacity[m.to])
		if n <= 0 {
			continue
		}
		d.freeCapacity[m.to] -= n
		left[m.from] -= n
		sent[m.from] = append(sent[m.from], Share{m.to, n / d.demand(m.from)})
	}
	d.unplaced = left
	for _, z := range d.topology.Zones {
		zones[z.Name] = d.placement(z.Name, kept[z.Name], sent[z.Name])
	}
	return zones
}

// minDemandPerS is the load of a zone that has none: it is placed, so that a next call has a way.
const minDemandPerS = 1e-6

func (d *decision) demand(zone string) float64 { return max(d.view.totalLoad(zone), minDemandPerS) }

// zonePairs are the pairs of zones in the order in which room is given: near ones before far ones,
// so that no zone's calls go past another's on the way out.
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

// placement words what became of a zone's calls. What found no room stays at home, where the
// module turns away what can't be carried; with home lost it goes to the nearest zone that can
// be reached, for the module there.
func (d *decision) placement(zone string, kept float64, sent []Share) Placement {
	home := d.reaches(zone, zone)
	p := Placement{Mode: ModeLocal, Shares: sent}
	if !home {
		p.Shares = d.sendRemainder(zone, sent)
	}
	switch {
	case slices.ContainsFunc(p.Shares, func(s Share) bool { return d.topology.regionsCrossed(zone, s.Zone) > 0 }):
		p.Mode = ModeRegion
	case len(p.Shares) > 0 && !home:
		p.Mode = ModeEvacuate
	case len(p.Shares) > 0:
		p.Mode = ModeSpill
	}
	for class, most := range d.settings.Budget {
		if most < p.awayShare() {
			if p.Caps == nil {
				p.Caps = map[string]float64{}
			}
			p.Caps[class] = most
		}
	}
	return p
}

// sendRemainder has the rest of a lost zone's calls go to its nearest reachable zone too.
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
	return sent // nothing can be reached: home it is, and the module refuses
}

// similar tells whether a placement is near enough to the former one to leave that in force.
// Another mode or zone never is: a share that ends must end.
func (s Settings) similar(was, now Placement) bool {
	if was.Mode != now.Mode || len(was.Shares) != len(now.Shares) || !maps.Equal(was.Caps, now.Caps) {
		return false
	}
	for i := range was.Shares {
		if was.Shares[i].Zone != now.Shares[i].Zone || math.Abs(was.Shares[i].Part-now.Shares[i].Part) >= s.Step {
			return false
		}
	}
	return true
}

// trades says plainly what is given up: calls that the budget keeps in a zone which can't
// carry them, and calls that no zone has room for.
func (d *decision) trades(zones map[string]Placement) (out []Trade) {
	for _, z := range d.topology.Zones {
		p := zones[z.Name]
		for _, class := range slices.Sorted(maps.Keys(p.Caps)) {
			if n := d.view.Load[z.Name][class] * (p.awayShare() - p.Caps[class]); n > 0 {
				out = append(out, Trade{Zone: z.Name, For: "budget", Class: class, PerSecond: round(n)})
			}
		}
		if d.view.totalLoad(z.Name) > 0 && d.unplaced[z.Name] > 1e-9 {
			out = append(out, Trade{Zone: z.Name, For: "capacity", PerSecond: round(d.unplaced[z.Name])})
		}
	}
	return out
}

// round keeps a figure readable; trades are told, not computed with.
func round(n float64) float64 { return math.Round(n*1000) / 1000 }
