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
	Local    Mode = "local"    // all at home
	Spill    Mode = "spill"    // what home can't carry goes to zones of the region
	Evacuate Mode = "evacuate" // home is lost: all of it goes to zones of the region
	Region   Mode = "region"   // the region's zones can't carry its load: some leaves the region
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

// away is the part of the zone's calls that leaves it, before caps.
func (p Placement) away() (sum float64) {
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
	d := decision{t: t, s: s, v: v, nowUs: nowUs, states: map[string]State{}, room: map[string]float64{}}
	for _, z := range t.Zones {
		d.states[z.Name] = d.state(z.Name, prev.States[z.Name])
	}
	for _, z := range t.Zones {
		d.room[z.Name] = d.usable(z.Name)
	}
	next = Plan{Epoch: prev.Epoch, AtUs: prev.AtUs, By: prev.By, States: d.states, Zones: d.place()}
	for zone, p := range next.Zones {
		if was, ok := prev.Zones[zone]; ok && s.alike(was, p) {
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
	t      Topology
	s      Settings
	v      View
	nowUs  int64
	states map[string]State
	room   map[string]float64 // calls a second that a zone still takes
	short  map[string]float64 // calls a second of a zone that found no room
}

// state follows a zone's health. Without news of it the state stays: silence of its viewers
// is no proof against a zone.
func (d *decision) state(zone string, was State) State {
	h, seen := d.v.best(zone)
	if !seen {
		return was
	}
	if h.Up < d.s.LostAt || h.Failing > 1-d.s.LostAt {
		return State{Lost: true, BackUs: was.BackUs}
	}
	if was.HealthyUs == 0 {
		was.HealthyUs = d.nowUs
	}
	if was.Lost && d.nowUs-was.HealthyUs >= d.s.DwellUs {
		was.Lost, was.BackUs = false, d.nowUs
	}
	return was
}

// usable is the calls a second that a zone may be planned to take, with the margin left free.
// An unknown capacity is no bound, unless tries there meet "full": then what it takes now is.
func (d *decision) usable(zone string) float64 {
	if d.states[zone].Lost {
		return 0
	}
	h, _ := d.v.best(zone)
	room := math.Inf(1)
	if h.Capacity > 0 {
		room = h.Capacity * (1 - d.s.Margin)
	}
	if h.Full > d.s.FullAt {
		room = min(room, d.v.load(zone)*(1-h.Full))
	}
	if back := d.states[zone].BackUs; back > 0 && d.s.RampUs > 0 && !math.IsInf(room, 1) {
		warm := float64(d.nowUs-back) / float64(d.s.RampUs)
		room *= min(1, d.s.RampFrom+(1-d.s.RampFrom)*warm)
	}
	return room
}

// reaches tells whether agents of a zone reach another's servers. A zone whose agents say
// nothing of the other is taken to reach what is healthy.
func (d *decision) reaches(from, to string) bool {
	if d.states[to].Lost {
		return false
	}
	if h, ok := d.v.at(from, to); ok {
		return h.Up >= d.s.LostAt && h.Failing <= 1-d.s.LostAt
	}
	return true
}

// move is room that one zone has for another's calls.
type move struct {
	from, to string
	cost     float64
	abroad   int
}

// place fills each zone with its own calls, then moves what is left over, nearest first over
// all zones alike: within regions, and across only what the regions could not take.
func (d *decision) place() map[string]Placement {
	zones := map[string]Placement{}
	left, kept := map[string]float64{}, map[string]float64{}
	sent := map[string][]Share{}
	for _, z := range d.t.Zones {
		load := d.demand(z.Name)
		if d.reaches(z.Name, z.Name) {
			kept[z.Name] = min(load, d.room[z.Name])
		}
		left[z.Name] = load - kept[z.Name]
		d.room[z.Name] -= kept[z.Name]
	}
	for _, m := range d.moves() {
		n := min(left[m.from], d.room[m.to])
		if n <= 0 {
			continue
		}
		d.room[m.to] -= n
		left[m.from] -= n
		sent[m.from] = append(sent[m.from], Share{m.to, n / d.demand(m.from)})
	}
	d.short = left
	for _, z := range d.t.Zones {
		zones[z.Name] = d.placement(z.Name, kept[z.Name], sent[z.Name])
	}
	return zones
}

// trickle is the load of a zone that has none: it is placed, so that a next call has a way.
const trickle = 1e-6

func (d *decision) demand(zone string) float64 { return max(d.v.load(zone), trickle) }

// moves are the pairs of zones in the order in which room is given: near ones before far ones,
// so that no zone's calls go past another's on the way out.
func (d *decision) moves() (out []move) {
	for _, a := range d.t.Zones {
		for _, b := range d.t.Zones {
			if a.Name != b.Name && d.reaches(a.Name, b.Name) {
				out = append(out, move{a.Name, b.Name, d.t.far(a.Name, b.Name), d.t.abroad(a.Name, b.Name)})
			}
		}
	}
	slices.SortFunc(out, func(a, b move) int {
		return cmp.Or(cmp.Compare(a.abroad, b.abroad), cmp.Compare(a.cost, b.cost), cmp.Compare(a.from, b.from), cmp.Compare(a.to, b.to))
	})
	return out
}

// placement words what became of a zone's calls. What found no room stays at home, where the
// module turns away what can't be carried; with home lost it goes to the nearest zone that can
// be reached, for the module there.
func (d *decision) placement(zone string, kept float64, sent []Share) Placement {
	home := d.reaches(zone, zone)
	p := Placement{Mode: Local, Shares: sent}
	if !home {
		p.Shares = d.complete(zone, sent)
	}
	switch {
	case slices.ContainsFunc(p.Shares, func(s Share) bool { return d.t.abroad(zone, s.Zone) > 0 }):
		p.Mode = Region
	case len(p.Shares) > 0 && !home:
		p.Mode = Evacuate
	case len(p.Shares) > 0:
		p.Mode = Spill
	}
	for class, most := range d.s.Budget {
		if most < p.away() {
			if p.Caps == nil {
				p.Caps = map[string]float64{}
			}
			p.Caps[class] = most
		}
	}
	return p
}

// complete has the rest of a lost zone's calls go to its nearest reachable zone too.
func (d *decision) complete(zone string, sent []Share) []Share {
	rest := 1 - Placement{Shares: sent}.away()
	if rest <= 1e-9 {
		return sent
	}
	for _, to := range d.t.Nearest(zone) {
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

// alike tells whether a placement is near enough to the former one to leave that in force.
// Another mode or zone never is: a share that ends must end.
func (s Settings) alike(was, now Placement) bool {
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
	for _, z := range d.t.Zones {
		p := zones[z.Name]
		for _, class := range slices.Sorted(maps.Keys(p.Caps)) {
			if n := d.v.Load[z.Name][class] * (p.away() - p.Caps[class]); n > 0 {
				out = append(out, Trade{Zone: z.Name, For: "budget", Class: class, PerSecond: round(n)})
			}
		}
		if d.v.load(z.Name) > 0 && d.short[z.Name] > 1e-9 {
			out = append(out, Trade{Zone: z.Name, For: "capacity", PerSecond: round(d.short[z.Name])})
		}
	}
	return out
}

// round keeps a figure readable; trades are told, not computed with.
func round(n float64) float64 { return math.Round(n*1000) / 1000 }
