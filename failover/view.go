package failover

import (
	"cmp"
	"slices"
)

// Summary is one agent's observations, which it sends to the other agents about once per second.
type Summary struct {
	Agent string `json:"a"`
	Zone  string `json:"z"`
	// Life and Seq order the summaries of an agent: Seq increases within a life.
	Life int64  `json:"i"` // start time of the agent's process, in microseconds on its clock
	Seq  uint64 `json:"q"`
	// AtUs is the time of receipt on the receiver's clock, as the agents' clocks need not agree.
	AtUs int64 `json:"-"`
	// Offered is the number of calls per second that the agent gets from callers, by class.
	Offered map[string]float64 `json:"o,omitempty"`
	// Seen has the agent's observations of the setup servers, by the servers' zone.
	Seen map[string]Sight `json:"s,omitempty"`
}

// After reports whether a summary is newer than another one of the same agent.
func (s Summary) After(o Summary) bool {
	return cmp.Or(cmp.Compare(s.Life, o.Life), cmp.Compare(s.Seq, o.Seq)) > 0
}

// Sight is one agent's observation of the setup servers of one zone.
type Sight struct {
	Listed   int     `json:"l"`           // servers on the list, without draining ones
	Up       int     `json:"u"`           // those of Listed that are reachable and answer
	Capacity float64 `json:"c,omitempty"` // calls per second that they can take from all agents; 0: unknown
	Tries    float64 `json:"n,omitempty"` // this agent's finished attempts there, per second
	Dead     float64 `json:"d,omitempty"` // those of Tries that reached no live server (connection refused, cut or timed out), per second
	Full     float64 `json:"f,omitempty"` // those of Tries that were answered "full", per second
	WaitMs   float64 `json:"w,omitempty"` // typical time until an answer, in milliseconds
}

// Health is the state of a zone as observed by the agents of one zone.
type Health struct {
	Up       float64 // share of its servers that are up, median over the agents; 0 if none is listed
	Capacity float64 // calls per second, median over the agents; 0: unknown
	Full     float64 // share of all attempts there that were answered "full"
	// Failing is the share of the agents with attempts there for which most of them reached no live server.
	// It shows the loss of a zone before a single agent has tried enough of its servers, and one agent with a
	// broken connection does not outweigh the others.
	Failing float64
	Seen    bool // at least one agent reported on the zone
}

// View combines the observations of all agents.
type View struct {
	Load   map[string]map[string]float64 // calls per second, by the agents' zone and the class
	Health map[string]map[string]Health  // by the zone of the observing agents, then the observed zone
	Agents map[string]int                // number of agents with a current summary, by zone
}

// Aggregate combines summaries into a View and ignores those received more than freshUs before nowUs. The
// health of a zone is the median over its observers, so that a single agent with a broken connection or wrong
// figures has no effect.
func Aggregate(all []Summary, nowUs, freshUs int64) View {
	view := View{Load: map[string]map[string]float64{}, Health: map[string]map[string]Health{}, Agents: map[string]int{}}
	type key struct{ by, of string }
	sights := map[key][]Sight{}
	for _, s := range all {
		if nowUs-s.AtUs > freshUs {
			continue
		}
		view.Agents[s.Zone]++
		if view.Load[s.Zone] == nil {
			view.Load[s.Zone] = map[string]float64{}
		}
		for class, n := range s.Offered {
			view.Load[s.Zone][class] += max(n, 0)
		}
		for zone, sight := range s.Seen {
			sights[key{s.Zone, zone}] = append(sights[key{s.Zone, zone}], sight)
		}
	}
	for k, list := range sights {
		if view.Health[k.by] == nil {
			view.Health[k.by] = map[string]Health{}
		}
		view.Health[k.by][k.of] = aggregateHealth(list)
	}
	return view
}

// aggregateHealth combines the observations that the agents of one zone have of another zone or of their own.
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

// median returns the lower median of a list, or 0 for an empty one. It sorts the list.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// totalLoad returns the calls per second of a zone over all classes.
func (v View) totalLoad(zone string) (sum float64) {
	for _, n := range v.Load[zone] {
		sum += n
	}
	return sum
}

// healthSeenBy returns the health of one zone (of) as observed by the agents of another or the same zone (by).
// It returns false if none of them reports on it.
func (v View) healthSeenBy(by, of string) (Health, bool) {
	h, ok := v.Health[by][of]
	return h, ok && h.Seen
}

// bestHealth returns the health of a zone as observed by its own agents. If none of them reports, it returns
// the best health that another zone observes: a zone without live agents may still have working servers.
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
