// Package failover decides where each zone's calls go: to its own setup servers while they
// carry its load with a margin, to the nearest healthy zones for what they do not, away from a
// zone that is lost, and to another region only when the zones of its own can't carry the load.
// It is a pure function of what agents see, the topology, the settings and the decision before
// it: no clock, no I/O. Whoever holds the lead of the control group calls it, and the result is
// one entry of the replicated log, so that one decision holds for all agents (docs/failover.md).
//
// It decides zones only. Which server of an allowed zone takes a call, whether it is tried
// again and what is turned away stay with package policy.
package failover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Zone is a place whose setup servers fail together.
type Zone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
}

// Distance is what sending from one zone to another costs, either way: a round trip in
// milliseconds, say, or a price. Only the order matters.
type Distance struct {
	Between [2]string `yaml:"between"`
	Cost    float64   `yaml:"cost"`
}

// Topology is the zones, their regions and how far apart they lie.
type Topology struct {
	Zones     []Zone     `yaml:"zones"`
	Distances []Distance `yaml:"distances"` // of pairs not named: 1 within a region, 10 across
}

// Settings are the operators' figures; Defaults gives those of deploy/failover.yaml.
type Settings struct {
	Margin float64 // share of a zone's capacity that local calls leave free, in [0, 0.9]
	// LostAt: a zone is lost where under this share of its servers is seen up, or where of the
	// agents with tries there less than this share meets anything alive.
	LostAt   float64
	FullAt   float64 // a zone is full where more than this share of tries meets "full"
	DwellUs  int64   // a zone that was lost takes calls again once seen healthy for so long
	RampUs   int64   // its capacity then counts from RampFrom to whole over this
	RampFrom float64
	Step     float64 // shares that differ by less stay as they are
	// Budget is the most of a class's calls, as a share, that may cross zones; classes not
	// named have none. Service is traded for it, and the plan says how much.
	Budget map[string]float64
}

// Defaults are the settings of a fleet on one campus.
var Defaults = Settings{Margin: 0.1, LostAt: 0.5, FullAt: 0.5, DwellUs: 10_000_000, RampUs: 14_000_000,
	RampFrom: 0.25, Step: 0.05}

// Check names each field that can't be used.
func (t Topology) Check() (refused []error) {
	zones := map[string]bool{}
	for i, z := range t.Zones {
		switch {
		case z.Name == "" || z.Region == "":
			refused = append(refused, fmt.Errorf("field zones[%d]: name or region empty", i))
		case zones[z.Name]:
			refused = append(refused, fmt.Errorf("field zones[%d].name: %q twice", i, z.Name))
		}
		zones[z.Name] = true
	}
	if len(zones) == 0 {
		refused = append(refused, fmt.Errorf("field zones: empty"))
	}
	for i, d := range t.Distances {
		switch {
		case !zones[d.Between[0]] || !zones[d.Between[1]] || d.Between[0] == d.Between[1]:
			refused = append(refused, fmt.Errorf("field distances[%d].between: %v are not two zones", i, d.Between))
		case !(d.Cost > 0) || math.IsInf(d.Cost, 0):
			refused = append(refused, fmt.Errorf("field distances[%d].cost: %v is not positive", i, d.Cost))
		}
	}
	return refused
}

// Check names each field that can't be used.
func (s Settings) Check() (refused []error) {
	in := func(name string, v, low, high float64) {
		if !(v >= low && v <= high) {
			refused = append(refused, fmt.Errorf("field %s: %v is not within %v and %v", name, v, low, high))
		}
	}
	in("margin", s.Margin, 0, 0.9)
	in("lost_at", s.LostAt, 0, 1)
	in("full_at", s.FullAt, 0, 1)
	in("ramp_from", s.RampFrom, 0.01, 1)
	in("step", s.Step, 0, 0.5)
	in("dwell", float64(s.DwellUs), 0, 3600e6)
	in("ramp", float64(s.RampUs), 0, 3600e6)
	for _, class := range slices.Sorted(maps.Keys(s.Budget)) {
		in("budget."+class, s.Budget[class], 0, 1)
	}
	return refused
}

// Region is a zone's; "" for one not in the topology.
func (t Topology) Region(zone string) string {
	for _, z := range t.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// cost is the cost between two zones.
func (t Topology) cost(a, b string) float64 {
	for _, d := range t.Distances {
		if d.Between == [2]string{a, b} || d.Between == [2]string{b, a} {
			return d.Cost
		}
	}
	switch {
	case a == b:
		return 0
	case t.Region(a) == t.Region(b):
		return 1
	}
	return 10
}

// Nearest is the other zones from the nearest on, those of the same region first; ties by name.
func (t Topology) Nearest(zone string) []string {
	var out []string
	for _, z := range t.Zones {
		if z.Name != zone {
			out = append(out, z.Name)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(t.regionsCrossed(zone, a), t.regionsCrossed(zone, b)), cmp.Compare(t.cost(zone, a), t.cost(zone, b)), cmp.Compare(a, b))
	})
	return out
}

func (t Topology) regionsCrossed(a, b string) int {
	if t.Region(a) == t.Region(b) {
		return 0
	}
	return 1
}
