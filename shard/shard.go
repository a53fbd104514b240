// Package shard assigns calls to consensus groups and call agents to these groups. A group keeps the promises
// of its calls. The package uses no clock and no I/O. A large fleet is divided into many groups, each with
// its own log, so that an agent's log traffic depends on the size of its group and not on that of the fleet
// (docs/replication.md).
//
// The group of a call is found by rendezvous hashing (Thaler and Ravishankar, "Using name-based mappings to
// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998): it is the group with the highest hash
// of group id and call id. Every agent computes the same group from the list of groups alone, and adding or
// removing a group moves only the calls of that group.
package shard

import (
	"errors"
	"fmt"
	"hash/fnv"
	"slices"
)

// Member is an agent that can be a member of a group.
type Member struct {
	ID   string `yaml:"id"`
	Zone string `yaml:"zone"`
	// Raft and Client are the addresses (host:port) for log replication and for client requests.
	Raft   string `yaml:"raft"`
	Client string `yaml:"client"`
}

// Group is one consensus group. It has 3 or 5 members, in different zones if there are enough zones.
type Group struct {
	ID      string   `yaml:"id"`
	Members []Member `yaml:"members"`
}

// Ring is the list of groups that share the calls. A ring of a higher version replaces one of a lower
// version.
type Ring struct {
	Version uint64  `yaml:"version"`
	Groups  []Group `yaml:"groups"`
}

// Owner returns the index of the group that keeps a call's promises, or -1 if the ring has no groups.
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

// rendezvousWeight returns the hash of a group and a call. FNV-1a alone spreads the last bytes badly over the
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

// Group returns the group with the given id.
func (r Ring) Group(id string) (Group, bool) {
	i := slices.IndexFunc(r.Groups, func(g Group) bool { return g.ID == id })
	if i < 0 {
		return Group{}, false
	}
	return r.Groups[i], true
}

// ClaimStep names a group at which a call has to be claimed and the version of the ring to claim it under.
type ClaimStep struct {
	Group string
	Ring  uint64
}

// ClaimSteps returns the groups at which an agent claims and resolves a call, in order. While a new ring is
// being introduced, some agents know only the old ring, some both, and later some only the new one; agents of
// the first and the last kind never run at the same time. As long as previous is given, the call is therefore
// claimed at its old owner first and then at its new one. Agents with the old ring and agents with both meet
// at the old owner; agents with both and agents with the new ring meet at the new owner. The result of one
// step is carried over to the next, and the result of the last step counts (internal/fleet/promisestore).
func ClaimSteps(current Ring, previous *Ring, call string) []ClaimStep {
	newOwner := current.Owner(call)
	if newOwner < 0 {
		return nil
	}
	last := ClaimStep{current.Groups[newOwner].ID, current.Version}
	if previous == nil {
		return []ClaimStep{last}
	}
	oldOwner := previous.Owner(call)
	if oldOwner < 0 || previous.Groups[oldOwner].ID == last.Group {
		return []ClaimStep{last}
	}
	return []ClaimStep{{previous.Groups[oldOwner].ID, current.Version}, last}
}

// The errors of Check and CheckZones. ErrZoneMajority is only a warning: the loss of one zone would cost a
// group its majority, which is unavoidable with fewer than three zones. Groups have an odd number of members
// because one more member would raise the majority without tolerating one more failure.
var (
	ErrSize         = errors.New("a group has 3 or 5 members")
	ErrDuplicate    = errors.New("in two places")
	ErrEmpty        = errors.New("empty")
	ErrZoneMajority = errors.New("one zone holds a majority of the group")
)

// Check returns one error for each invalid field of a ring.
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

// CheckZones returns a warning for each group in which one zone holds a majority. It returns none if the ring
// has members in fewer than three zones.
func (r Ring) CheckZones() (warnings []error) {
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
		if zone, members := largestZone(g.Members); members > len(g.Members)/2 {
			warnings = append(warnings, fmt.Errorf("field groups[%d]: zone %q has %d of %d members: %w", i, zone, members, len(g.Members), ErrZoneMajority))
		}
	}
	return warnings
}

// largestZone returns the zone with the most members and their number.
func largestZone(members []Member) (zone string, most int) {
	count := map[string]int{}
	for _, m := range members {
		count[m.Zone]++
		if count[m.Zone] > most || count[m.Zone] == most && m.Zone < zone {
			zone, most = m.Zone, count[m.Zone]
		}
	}
	return zone, most
}
