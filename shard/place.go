package shard

import (
	"cmp"
	"fmt"
	"slices"
)

// BuildRing makes groups of size members out of agents, each across as many zones as it can, and
// tells which agents are left over. The fullest zones are drawn from first, so that no zone's
// agents are left together at the end; ties go by name, so that the same agents give the same
// groups whatever their order.
func BuildRing(agents []Member, size int) (Ring, []Member, error) {
	if size != 3 && size != 5 {
		return Ring{}, nil, fmt.Errorf("size %d: %w", size, ErrSize)
	}
	zones := byZone(agents)
	r := Ring{Version: 1}
	for left := len(agents); left >= size; left -= size {
		g := Group{ID: fmt.Sprintf("g%d", len(r.Groups)+1)}
		for len(g.Members) < size {
			g.Members = append(g.Members, takeMember(zones, g.Members))
		}
		r.Groups = append(r.Groups, g)
	}
	return r, remaining(zones), nil
}

func byZone(agents []Member) map[string][]Member {
	zones := map[string][]Member{}
	for _, m := range agents {
		zones[m.Zone] = append(zones[m.Zone], m)
	}
	for _, ms := range zones {
		slices.SortFunc(ms, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	}
	return zones
}

// takeMember takes the next member from the zone that the group has least of; among these from the
// one with the most agents left.
func takeMember(zones map[string][]Member, group []Member) Member {
	have := map[string]int{}
	for _, m := range group {
		have[m.Zone]++
	}
	best := ""
	for z, ms := range zones {
		if len(ms) == 0 {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(have[z], have[best]), cmp.Compare(len(zones[best]), len(ms)), cmp.Compare(z, best)) < 0 {
			best = z
		}
	}
	m := zones[best][0]
	zones[best] = zones[best][1:]
	return m
}

func remaining(zones map[string][]Member) (left []Member) {
	for _, ms := range zones {
		left = append(left, ms...)
	}
	slices.SortFunc(left, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return left
}

// MembershipChange is one membership change of one group, through the library's own (raft's AddVoter
// and RemoveServer). Changes are carried out in order, each only once the one before it is
// committed.
type MembershipChange struct {
	Group  string
	Remove string // a member's id; "": none
	Add    Member // its ID is "" for none
}

// ReplaceLost tells how to replace agents that are gone (machine and disk) by spare ones, one change
// at a time. A spare is taken from the zone the group has least of. The lost member is removed
// first and the spare added after it: an added voter that must still catch up would raise the
// majority while one of it is dead. A group that lost its majority can't be mended so and is
// named in stuck: its remaining members hold what it promised, and an operator decides.
func ReplaceLost(r Ring, gone map[string]bool, spares []Member) (next Ring, steps []MembershipChange, stuck []string) {
	zones := byZone(spares)
	free := len(spares)
	next = Ring{Version: r.Version, Groups: make([]Group, len(r.Groups))}
	for i, g := range r.Groups {
		next.Groups[i] = Group{ID: g.ID, Members: slices.Clone(g.Members)}
		lost := 0
		for _, m := range g.Members {
			if gone[m.ID] {
				lost++
			}
		}
		if lost > (len(g.Members)-1)/2 {
			stuck = append(stuck, g.ID)
			continue
		}
		for _, m := range g.Members {
			if !gone[m.ID] || free == 0 {
				continue
			}
			free--
			kept := slices.DeleteFunc(next.Groups[i].Members, func(k Member) bool { return k.ID == m.ID })
			add := takeMember(zones, kept)
			next.Groups[i].Members = append(kept, add)
			steps = append(steps, MembershipChange{Group: g.ID, Remove: m.ID}, MembershipChange{Group: g.ID, Add: add})
		}
	}
	return next, steps, stuck
}

// MovedShare is the share of calls, of those given, whose group differs between two rings.
func MovedShare(a, b Ring, calls []string) float64 {
	n := 0
	for _, c := range calls {
		i, j := a.Owner(c), b.Owner(c)
		if i < 0 || j < 0 || a.Groups[i].ID != b.Groups[j].ID {
			n++
		}
	}
	return float64(n) / float64(max(len(calls), 1))
}
