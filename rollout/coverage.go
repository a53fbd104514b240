package rollout

import (
	"cmp"
	"slices"
)

// Coverage says where the latest revision of a document is in force, according to the agents' last reports.
type Coverage struct {
	Name     Name   `json:"name"`
	Revision uint64 `json:"revision"` // the latest, possibly waiting; 0: no such document
	Stage    Stage  `json:"stage"`
	// Agents counts the agents of the scope with a report of any age. InForce counts those that have accepted
	// the revision and use it; a removal, or a text hidden by a narrower document, only has to be accepted.
	Agents  int `json:"agents"`
	InForce int `json:"in_force"`
	// Zones has the same counts by zone. Agents without a zone are listed under "".
	Zones   map[string]ZoneCoverage `json:"zones,omitempty"`
	Refused []AgentRefusal          `json:"refused,omitempty"` // refusals of this revision, sorted by agent
	// Behind lists the reachable agents that should have the revision but have neither accepted nor refused
	// it. OutOfReach lists the agents without a recent report, including first-stage agents that never
	// reported. Both are sorted.
	Behind     []string `json:"behind,omitempty"`
	OutOfReach []string `json:"out_of_reach,omitempty"`
}

// ZoneCoverage is the part of a Coverage for one zone.
type ZoneCoverage struct {
	InForce int `json:"in_force"`
	Agents  int `json:"agents"`
}

// AgentRefusal is a refusal with the agent that sent it.
type AgentRefusal struct {
	Agent string `json:"agent"`
	Refusal
}

// ComputeCoverage returns the coverage of a document's latest revision, given the last report of each agent
// in any order. An agent counts as reachable if its report is at most freshUs microseconds old, by the clock
// of the reports' AtUs. The cost is proportional to the number of agents.
func ComputeCoverage(s *State, n Name, reports []Report, nowUs, freshUs int64) Coverage {
	latest, _ := s.Latest(n)
	coverage := Coverage{Name: n, Revision: latest.Revision, Stage: latest.Stage, Zones: map[string]ZoneCoverage{}}
	if coverage.Revision == 0 {
		return coverage
	}
	key := n.String()
	reported := map[string]bool{}
	for i := range reports {
		r := &reports[i]
		if !n.Scope.Contains(r.Agent) {
			continue
		}
		reported[r.Agent.Name] = true
		zone := coverage.Zones[r.Agent.Zone]
		zone.Agents++
		coverage.Agents++
		why, refused := findRefusal(r, n, coverage.Revision)
		if refused {
			coverage.Refused = append(coverage.Refused, AgentRefusal{r.Agent.Name, Refusal{n, coverage.Revision, why}})
		}
		inForce := r.Seen[key] == coverage.Revision && (latest.Removed || r.InForce[n.Kind] == coverage.Revision || s.isShadowed(r.Agent, n))
		due := s.docs[n].revisionFor(r.Agent)
		switch {
		case inForce:
			zone.InForce++
			coverage.InForce++
		case nowUs-r.AtUs <= freshUs && !refused && due != nil && due.Revision == coverage.Revision:
			coverage.Behind = append(coverage.Behind, r.Agent.Name)
		}
		if nowUs-r.AtUs > freshUs {
			coverage.OutOfReach = append(coverage.OutOfReach, r.Agent.Name)
		}
		coverage.Zones[r.Agent.Zone] = zone
	}
	if latest.Stage == StageFirst {
		for _, a := range latest.First {
			if !reported[a] {
				coverage.OutOfReach = append(coverage.OutOfReach, a)
			}
		}
	}
	slices.Sort(coverage.Behind)
	slices.Sort(coverage.OutOfReach)
	slices.SortFunc(coverage.Refused, func(a, b AgentRefusal) int { return cmp.Compare(a.Agent, b.Agent) })
	return coverage
}

// isShadowed reports whether an agent has a document of the same kind with a narrower scope and a text.
func (s *State) isShadowed(a Agent, n Name) bool {
	scopes := a.scopes()
	level := slices.Index(Levels, n.Scope.Level)
	for _, scope := range scopes[level+1:] {
		if d := s.docs[Name{n.Kind, scope}]; d != nil {
			if r := d.revisionFor(a); r != nil && !r.Removed {
				return true
			}
		}
	}
	return false
}
