package failover

import (
	"cmp"
	"slices"
)

// Summary is what one agent sees, as it tells the others about once a second.
type Summary struct {
	Agent string `json:"a"`
	Zone  string `json:"z"`
	// Life and Seq tell a later summary of an agent from an earlier one: Seq rises within a life.
	Life int64  `json:"i"` // when its process started, in microseconds of its clock
	Seq  uint64 `json:"q"`
	// AtUs is when it was heard, on the hearer's clock: agents' clocks need not agree.
	AtUs int64 `json:"-"`
	// Offered is the calls a second that callers hand it, by class.
	Offered map[string]float64 `json:"o,omitempty"`
	// Seen is what it sees of the setup servers, by their zone.
	Seen map[string]Sight `json:"s,omitempty"`
}

// After tells whether a summary is later than another of the same agent.
func (s Summary) After(o Summary) bool {
	return cmp.Or(cmp.Compare(s.Life, o.Life), cmp.Compare(s.Seq, o.Seq)) > 0
}

// Sight is what an agent sees of one zone's setup servers.
type Sight struct {
	Listed   int     `json:"l"`           // on the list, draining ones not counted
	Up       int     `json:"u"`           // of these, the ones that can be reached and answer
	Capacity float64 `json:"c,omitempty"` // calls a second that they take from all agents; 0: not known
	Tries    float64 `json:"n,omitempty"` // set-ups of this agent that ended there, a second
	Dead     float64 `json:"d,omitempty"` // of these, met nothing alive: refused, cut or timed out
	Full     float64 `json:"f,omitempty"` // of these, answered "full"
	WaitMs   float64 `json:"w,omitempty"` // usual wait for an answer
}

// Health is a zone as the agents of one zone see it.
type Health struct {
	Up       float64 // share of its servers seen up, the median agent's; 0 where none is listed
	Capacity float64 // calls a second, the median agent's; 0: not known
	Full     float64 // share of all tries there that met "full"
	// Failing is the share of the agents with tries there, of which most met nothing alive. It
	// shows a zone's loss before any one agent has met enough of its servers; an agent that
	// alone is deaf does not move it past the others.
	Failing float64
	Seen    bool // somebody sees it
}

// View is what all agents see together.
type View struct {
	Load   map[string]map[string]float64 // calls a second by callers' zone and class
	Health map[string]map[string]Health  // by the seeing agents' zone, then the zone seen
	Agents map[string]int                // that tell of themselves, by zone
}

// Aggregate puts summaries together. A zone's health is the median of its viewers: one agent that
// is deaf, or wrong, moves nothing. Summaries older than freshUs before nowUs do not count.
func Aggregate(all []Summary, nowUs, freshUs int64) View {
	v := View{Load: map[string]map[string]float64{}, Health: map[string]map[string]Health{}, Agents: map[string]int{}}
	type key struct{ by, of string }
	sights := map[key][]Sight{}
	for _, s := range all {
		if nowUs-s.AtUs > freshUs {
			continue
		}
		v.Agents[s.Zone]++
		if v.Load[s.Zone] == nil {
			v.Load[s.Zone] = map[string]float64{}
		}
		for class, n := range s.Offered {
			v.Load[s.Zone][class] += max(n, 0)
		}
		for zone, sight := range s.Seen {
			sights[key{s.Zone, zone}] = append(sights[key{s.Zone, zone}], sight)
		}
	}
	for k, list := range sights {
		if v.Health[k.by] == nil {
			v.Health[k.by] = map[string]Health{}
		}
		v.Health[k.by][k.of] = aggregateHealth(list)
	}
	return v
}

func aggregateHealth(list []Sight) Health {
	var up, capacity []float64
	tries, full, trying, failing := 0.0, 0.0, 0, 0
	for _, s := range list {
		if s.Tries > 0 {
			trying++
		}
		if s.Dead > s.Tries/2 {
			failing++
		}
		share := 0.0
		if s.Listed > 0 {
			share = float64(s.Up) / float64(s.Listed)
		}
		up = append(up, share)
		if s.Capacity > 0 {
			capacity = append(capacity, s.Capacity)
		}
		tries += s.Tries
		full += s.Full
	}
	h := Health{Up: median(up), Capacity: median(capacity), Seen: true}
	if tries > 0 {
		h.Full = full / tries
	}
	if trying > 0 {
		h.Failing = float64(failing) / float64(trying)
	}
	return h
}

// median is the lower middle of a list; 0 for none.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// totalLoad is a zone's calls a second, all classes.
func (v View) totalLoad(zone string) (sum float64) {
	for _, n := range v.Load[zone] {
		sum += n
	}
	return sum
}

// healthSeenBy is how agents of one zone see another; ok tells whether any does.
func (v View) healthSeenBy(by, of string) (Health, bool) {
	h, ok := v.Health[by][of]
	return h, ok && h.Seen
}

// bestHealth is a zone's health as its own agents see it, or, where none of them tells, as the zone
// that sees it best: a zone without live agents may still have servers for others' calls.
func (v View) bestHealth(zone string) (Health, bool) {
	if h, ok := v.healthSeenBy(zone, zone); ok {
		return h, true
	}
	var top Health
	for by := range v.Health {
		if h, ok := v.healthSeenBy(by, zone); ok && (!top.Seen || h.Up > top.Up || h.Up == top.Up && h.Capacity > top.Capacity) {
			top = h
		}
	}
	return top, top.Seen
}
