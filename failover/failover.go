// Package failover decides which zone's setup servers handle each zone's calls. Calls stay in their own
// zone while it can carry them with a safety margin. The excess goes to the nearest healthy zones, all calls
// leave a zone that is lost, and calls leave their region only when its zones can't carry the load.
//
// Decide is a pure function of the agents' observations, the topology, the settings and the previous plan;
// it uses no clock and no I/O. The leader of the control group calls it and writes the result to the
// replicated log as one entry, so that all agents follow the same plan (docs/failover.md).
//
// The package chooses zones only. Package policy chooses the server within a zone, retries calls and
// refuses them.
package failover

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
)

// Zone is a failure domain: its setup servers can fail together.
type Zone struct {
	Name   string `yaml:"name" json:"name"`
	Region string `yaml:"region" json:"region"`
}

// Distance is the cost of sending calls between two zones, the same in both directions. The unit is free, for
// example a round-trip time in milliseconds or a price, because costs are only compared with each other.
type Distance struct {
	Between [2]string `yaml:"between"`
	Cost    float64   `yaml:"cost"`
}

// Topology lists the zones with their regions and the distances between them.
type Topology struct {
	Zones     []Zone     `yaml:"zones"`
	Distances []Distance `yaml:"distances"` // unlisted pairs cost 1 within a region, 10 across regions
}

// Settings are the parameters that operators can change; Defaults has the values of deploy/failover.yaml.
type Settings struct {
	Margin float64 // share of a zone's capacity that plans leave unused, in [0, 0.9]
	// LostAt is the threshold below which a zone counts as lost. It applies to the share of its servers that
	// are up and to the share of agents, of those with recent attempts there, whose attempts mostly reach a
	// live server.
	LostAt   float64
	FullAt   float64 // a zone is full when more than this share of attempts is answered "full"
	DwellUs  int64   // how long a lost zone must be healthy before it gets calls again, in microseconds
	RampUs   int64   // time over which its usable capacity then rises from RampFrom to 1, in microseconds
	RampFrom float64 // share of its capacity that a recovered zone starts with, in [0.01, 1]
	Step     float64 // smallest change of a share that leads to a new plan
	// Budget is the largest share of a class's calls that may leave their zone. Classes without an entry have
	// no limit. Calls held back by it may be refused; the plan's Trades report how many.
	Budget map[string]float64
}

// Defaults are suitable for a fleet on a single campus.
var Defaults = Settings{Margin: 0.1, LostAt: 0.5, FullAt: 0.5, DwellUs: 10_000_000, RampUs: 14_000_000,
	RampFrom: 0.25, Step: 0.05}

// Check returns one error for each invalid field.
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

// Check returns one error for each invalid field.
func (s Settings) Check() (refused []error) {
	validateRange := func(name string, v, low, high float64) {
		if !(v >= low && v <= high) {
			refused = append(refused, fmt.Errorf("field %s: %v is not within %v and %v", name, v, low, high))
		}
	}
	validateRange("margin", s.Margin, 0, 0.9)
	validateRange("lost_at", s.LostAt, 0, 1)
	validateRange("full_at", s.FullAt, 0, 1)
	validateRange("ramp_from", s.RampFrom, 0.01, 1)
	validateRange("step", s.Step, 0, 0.5)
	validateRange("dwell", float64(s.DwellUs), 0, 3600e6)
	validateRange("ramp", float64(s.RampUs), 0, 3600e6)
	for _, class := range slices.Sorted(maps.Keys(s.Budget)) {
		validateRange("budget."+class, s.Budget[class], 0, 1)
	}
	return refused
}

// Region returns the region of a zone, or "" if the zone is not in the topology.
func (t Topology) Region(zone string) string {
	for _, z := range t.Zones {
		if z.Name == zone {
			return z.Region
		}
	}
	return ""
}

// cost returns the cost of sending calls between two zones.
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

// Nearest returns the other zones, those of the same region first, each group sorted by cost and then name.
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

// regionsCrossed returns 0 for two zones of the same region and 1 otherwise.
func (t Topology) regionsCrossed(a, b string) int {
	if t.Region(a) == t.Region(b) {
		return 0
	}
	return 1
}
