package rollout

import (
	"cmp"
	"slices"
)

// Coverage is where the latest revision of a document is in force, by what agents last said.
type Coverage struct {
	Name     Name   `json:"name"`
	Revision uint64 `json:"revision"` // the latest, a waiting one counted; 0: no such document
	Stage    Stage  `json:"stage"`
	// Agents are those in the scope that were heard, however long ago; InForce those of them
	// that have the revision: they accepted it and, unless it is removed or a narrower
	// document holds there, serve by it.
	Agents  int `json:"agents"`
	InForce int `json:"in_force"`
	// Zones are the same by zone; agents without one are under "".
	Zones   map[string]ZoneCoverage `json:"zones,omitempty"`
	Refused []AgentRefusal          `json:"refused,omitempty"` // of this revision, by agent
	// Behind are the agents in reach that should have it now and neither have nor refuse it,
	// OutOfReach those not heard lately, with those of its first stage never heard; by name.
	Behind     []string `json:"behind,omitempty"`
	OutOfReach []string `json:"out_of_reach,omitempty"`
}

// ZoneCoverage is a zone's part of a coverage.
type ZoneCoverage struct {
	InForce int `json:"in_force"`
	Agents  int `json:"agents"`
}

// AgentRefusal is an agent's refusal.
type AgentRefusal struct {
	Agent string `json:"agent"`
	Refusal
}

// ComputeCoverage tells where the latest revision of a document is in force, from the last report of each
// agent in any order. An agent is in reach whose report is at most freshUs microseconds old, by
// the clock of the reports' AtUs. The cost grows with the agents.
func ComputeCoverage(s *State, n Name, reports []Report, nowUs, freshUs int64) Coverage {
	latest, _ := s.Latest(n)
	c := Coverage{Name: n, Revision: latest.Revision, Stage: latest.Stage, Zones: map[string]ZoneCoverage{}}
	if c.Revision == 0 {
		return c
	}
	key := n.String()
	heard := map[string]bool{}
	for i := range reports {
		r := &reports[i]
		if !n.Scope.Contains(r.Agent) {
			continue
		}
		heard[r.Agent.Name] = true
		z := c.Zones[r.Agent.Zone]
		z.Agents++
		c.Agents++
		why, refused := findRefusal(r, n, c.Revision)
		if refused {
			c.Refused = append(c.Refused, AgentRefusal{r.Agent.Name, Refusal{n, c.Revision, why}})
		}
		has := r.Seen[key] == c.Revision && (latest.Removed || r.InForce[n.Kind] == c.Revision || s.isShadowed(r.Agent, n))
		d := s.docs[n].revisionFor(r.Agent)
		switch {
		case has:
			z.InForce++
			c.InForce++
		case nowUs-r.AtUs <= freshUs && !refused && d != nil && d.Revision == c.Revision:
			c.Behind = append(c.Behind, r.Agent.Name)
		}
		if nowUs-r.AtUs > freshUs {
			c.OutOfReach = append(c.OutOfReach, r.Agent.Name)
		}
		c.Zones[r.Agent.Zone] = z
	}
	if latest.Stage == StageFirst {
		for _, a := range latest.First {
			if !heard[a] {
				c.OutOfReach = append(c.OutOfReach, a)
			}
		}
	}
	slices.Sort(c.Behind)
	slices.Sort(c.OutOfReach)
	slices.SortFunc(c.Refused, func(a, b AgentRefusal) int { return cmp.Compare(a.Agent, b.Agent) })
	return c
}

// isShadowed tells whether an agent has a narrower document of the kind, with a text.
func (s *State) isShadowed(a Agent, n Name) bool {
	scopes := a.scopes()
	at := slices.Index(Levels, n.Scope.Level)
	for _, scope := range scopes[at+1:] {
		if d := s.docs[Name{n.Kind, scope}]; d != nil {
			if r := d.revisionFor(a); r != nil && !r.Removed {
				return true
			}
		}
	}
	return false
}
