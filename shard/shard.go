// Package shard says which group of call agents keeps a call's promises, and which agents
// make up each group. It decides only: no clock, no I/O. Past one consensus group the fleet
// is cut into many, each with its own log, so that an agent's share of log traffic stays that
// of its group whatever the size of the fleet (docs/replication.md).
//
// A call's group is found by rendezvous hashing (Thaler and Ravishankar, "Using name-based
// mappings to increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998): the group
// whose hash with the call id is highest. Every agent finds the same one from the list of
// groups alone, and a group added or taken away moves only the calls it gains or had.
package shard

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
)

// Member is an agent that may keep promises.
type Member struct {
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
	// Raft and Client are where the others reach it: the log's traffic, and calls (host:port).
	Raft   string `yaml:"raft"`
	Client string `yaml:"client"`
}

// Group is one consensus group: its members, 3 to 5 of them, in different zones where there
// are enough.
type Group struct {
	ID      string   `yaml:"id"`
	Members []Member `yaml:"members"`
}

// Ring is the groups that share the calls, and its version. A higher version replaces a lower.
type Ring struct {
	Version uint64  `yaml:"version"`
	Groups  []Group `yaml:"groups"`
}

// Owner is the index of the group that keeps a call's promises; -1 for a ring without groups.
func (r Ring) Owner(call string) int {
	best, top := -1, uint64(0)
	for i, g := range r.Groups {
		w := rendezvousWeight(g.ID, call)
		if best < 0 || w > top || w == top && g.ID < r.Groups[best].ID {
			best, top = i, w
		}
	}
	return best
}

// rendezvousWeight is a group's hash with a call. FNV-1a alone spreads the last bytes badly over the
// high bits, so splitmix64's finalizer (Steele, Lea and Flood, OOPSLA 2014) mixes them.
func rendezvousWeight(group, call string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(group))
	h.Write([]byte{0})
	h.Write([]byte(call))
	x := h.Sum64()
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// Group returns a group by its id.
func (r Ring) Group(id string) (Group, bool) {
	i := slices.IndexFunc(r.Groups, func(g Group) bool { return g.ID == id })
	if i < 0 {
		return Group{}, false
	}
	return r.Groups[i], true
}

// ClaimStep is where a call's claim must be made: at a group, under a ring's version.
type ClaimStep struct {
	Group string
	Ring  uint64
}

// ClaimSteps is where an agent claims and resolves a call, in order. While a ring replaces another,
// agents that know only the old one, both, or only the new one are at work, any two of them
// next to each other in that row. So the old owner comes first and the new one after it, as
// long as previous is given: agents of the old ring and of both meet at the old owner, those
// of both and of the new ring at the new one. What stands at a step is carried to the next,
// and the last step has the last word (internal/fleet/keeper).
func ClaimSteps(now Ring, previous *Ring, call string) []ClaimStep {
	i := now.Owner(call)
	if i < 0 {
		return nil
	}
	last := ClaimStep{now.Groups[i].ID, now.Version}
	if previous == nil {
		return []ClaimStep{last}
	}
	j := previous.Owner(call)
	if j < 0 || previous.Groups[j].ID == last.Group {
		return []ClaimStep{last}
	}
	return []ClaimStep{{previous.Groups[j].ID, now.Version}, last}
}

// The rules a ring keeps. A finding of rule "spread" is a warning: one zone's loss would take
// a group's majority, which can't be helped with fewer than three zones.
var (
	ErrSize         = errors.New("a group has 3 or 5 members") // odd: an even one more only adds a vote to wait for
	ErrDuplicate    = errors.New("in two places")
	ErrEmpty        = errors.New("empty")
	ErrZoneMajority = errors.New("one zone holds a majority of the group")
)

// Check names each field of a ring that breaks a rule, and which; nil for a lawful ring.
func (r Ring) Check() (refused []error) {
	bad := func(err error, format string, args ...any) {
		refused = append(refused, fmt.Errorf("field %s: %w", fmt.Sprintf(format, args...), err))
	}
	if len(r.Groups) == 0 {
		bad(ErrEmpty, "groups")
	}
	groups, members := map[string]bool{}, map[string]bool{}
	for i, g := range r.Groups {
		switch {
		case g.ID == "":
			bad(ErrEmpty, "groups[%d].id", i)
		case groups[g.ID]:
			bad(fmt.Errorf("%q %w", g.ID, ErrDuplicate), "groups[%d].id", i)
		}
		groups[g.ID] = true
		if n := len(g.Members); n != 3 && n != 5 {
			bad(fmt.Errorf("%d members; %w", n, ErrSize), "groups[%d].members", i)
		}
		for j, m := range g.Members {
			switch {
			case m.ID == "" || m.Raft == "" || m.Client == "":
				bad(fmt.Errorf("id, raft or client %w", ErrEmpty), "groups[%d].members[%d]", i, j)
			case members[m.ID]:
				bad(fmt.Errorf("%q %w", m.ID, ErrDuplicate), "groups[%d].members[%d].id", i, j)
			}
			members[m.ID] = true
		}
	}
	return refused
}

// CheckZones names each group of which one zone holds a majority, though the ring's members lie
// in three zones or more.
func (r Ring) CheckZones() (found []error) {
	zones := map[string]bool{}
	for _, g := range r.Groups {
		for _, m := range g.Members {
			zones[m.Zone] = true
		}
	}
	if len(zones) < 3 {
		return nil
	}
	for i, g := range r.Groups {
		if zone, n := largestZone(g.Members); n > len(g.Members)/2 {
			found = append(found, fmt.Errorf("field groups[%d]: zone %q has %d of %d members: %w", i, zone, n, len(g.Members), ErrZoneMajority))
		}
	}
	return found
}

// largestZone is the zone with the most members, and how many.
func largestZone(members []Member) (zone string, most int) {
	n := map[string]int{}
	for _, m := range members {
		n[m.Zone]++
		if n[m.Zone] > most || n[m.Zone] == most && m.Zone < zone {
			zone, most = m.Zone, n[m.Zone]
		}
	}
	return zone, most
}
