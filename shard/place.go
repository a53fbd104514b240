package shard

import (
	"cmp"
	"fmt"
	"slices"
)

// BuildRing divides agents into groups of the given size, each spread over as many zones as possible, and
// returns the ring and the agents that are left over. It takes members from the zones with the most remaining
// agents first, so that the last groups do not have to be filled from a single zone. Ties are decided by
// name, so that the same agents give the same groups in whatever order they are listed.
func BuildRing(agents []Member, size int) (Ring, []Member, error) {
	if size != 3 && size != 5 {
		return Ring{}, nil, fmt.Errorf("size %d: %w", size, ErrSize)
	}
	zones := byZone(agents)
	r := Ring{Version: 1}
	for remainingAgents := len(agents); remainingAgents >= size; remainingAgents -= size {
		g := Group{ID: fmt.Sprintf("g%d", len(r.Groups)+1)}
		for len(g.Members) < size {
			g.Members = append(g.Members, takeMember(zones, g.Members))
		}
		r.Groups = append(r.Groups, g)
	}
	return r, remaining(zones), nil
}

// byZone returns the agents of each zone, sorted by id.
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

// takeMember removes and returns the next member for a group. It comes from the zone with the fewest members
// in the group; among these, from the zone with the most remaining agents.
func takeMember(zones map[string][]Member, group []Member) Member {
	inGroup := map[string]int{}
	for _, m := range group {
		inGroup[m.Zone]++
	}
	best := ""
	for z, ms := range zones {
		if len(ms) == 0 {
			continue
		}
		if best == "" || cmp.Or(cmp.Compare(inGroup[z], inGroup[best]), cmp.Compare(len(zones[best]), len(ms)), cmp.Compare(z, best)) < 0 {
			best = z
		}
	}
	m := zones[best][0]
	zones[best] = zones[best][1:]
	return m
}

// remaining returns the agents that are left in any zone, sorted by id.
func remaining(zones map[string][]Member) (left []Member) {
	for _, ms := range zones {
		left = append(left, ms...)
	}
	slices.SortFunc(left, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return left
}

// MembershipChange is one change of a group's membership, made with raft's AddVoter or RemoveServer. Changes
// are made in order, each after the previous one has been committed.
type MembershipChange struct {
	Group  string
	Remove string // id of the member to remove; "": none
	Add    Member // member to add; its ID is "" for none
}

// ReplaceLost returns the changes that replace lost agents (machine and disk) by spare ones, one at a time,
// and the resulting ring. A spare comes from the zone with the fewest members in the group. The lost member
// is removed before the spare is added: an added voter that is still catching up would raise the majority
// while one member is dead. A group that has lost its majority can't be changed this way and is listed in
// stuck. Its remaining members still hold its promises; an operator has to decide what to do.
func ReplaceLost(r Ring, lostIDs map[string]bool, spares []Member) (next Ring, steps []MembershipChange, stuck []string) {
	zones := byZone(spares)
	sparesLeft := len(spares)
	next = Ring{Version: r.Version, Groups: make([]Group, len(r.Groups))}
	for i, g := range r.Groups {
		next.Groups[i] = Group{ID: g.ID, Members: slices.Clone(g.Members)}
		lost := 0
		for _, m := range g.Members {
			if lostIDs[m.ID] {
				lost++
			}
		}
		if lost > (len(g.Members)-1)/2 {
			stuck = append(stuck, g.ID)
			continue
		}
		for _, m := range g.Members {
			if !lostIDs[m.ID] || sparesLeft == 0 {
				continue
			}
			sparesLeft--
			others := slices.DeleteFunc(next.Groups[i].Members, func(k Member) bool { return k.ID == m.ID })
			spare := takeMember(zones, others)
			next.Groups[i].Members = append(others, spare)
			steps = append(steps, MembershipChange{Group: g.ID, Remove: m.ID}, MembershipChange{Group: g.ID, Add: spare})
		}
	}
	return next, steps, stuck
}

// MovedShare returns the share of the given calls whose group differs between two rings.
func MovedShare(a, b Ring, calls []string) float64 {
	moved := 0
	for _, c := range calls {
		ownerA, ownerB := a.Owner(c), b.Owner(c)
		if ownerA < 0 || ownerB < 0 || a.Groups[ownerA].ID != b.Groups[ownerB].ID {
			moved++
		}
	}
	return float64(moved) / float64(max(len(calls), 1))
}
