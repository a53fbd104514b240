// Package subset decides which of an agent's setup servers have a place: the right to one
// connection. Where the list fits in the places, every server has one. Where it does not, half of the
// places belong to the agent's standing set, the first servers of the list by rendezvous hashing
// (Thaler and Ravishankar 1998) with the agent's name, and the rest go to whoever a call is for, in
// place of the one idle longest. It has no clock and no I/O: times are data.
//
// Bounds that hold at any time, whatever comes: no more servers have a place than there are places;
// a server that is in use keeps its place; one server more or less on the list, or reached, moves at
// most one other that is reached into the standing set and one out of it; another agent moves none.
// The ways weighed stand in docs/connections.md.
package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// preferredDivisor is the part of the places, one in so many, that the standing set has.
const preferredDivisor = 2

// Purpose tells what a server's place is asked for.
type Purpose int

// The needs. A call, or a release that is owed, takes the place of whoever is idle longest. So does
// a server of the standing set, but for one that was not reached lately: it takes what is free.
const (
	Standby Purpose = iota
	ForCall
)

// Use is what a server's place is used for.
type Use struct {
	Pinned bool // it may not be taken: something is out, stands, waits or is owed there
	Failed bool // its latest connection did not come up
}

type server struct {
	id         string
	score      uint64
	up         bool
	preferred  bool
	hasSlot    bool
	use        Use
	lastUsedAt time.Time // not pinned since
	extra      int       // connections beyond its first
}

// Table is the places of one agent. It is not safe for concurrent use.
type Table struct {
	name           string
	slots          int
	maxConnections int           // connections to all servers
	minIdle        time.Duration // a place not pinned for so long may be taken
	servers        map[string]*server
	held           int
	extra          int
}

// New returns the table of the agent of this name: with so many connections at most, of which an
// eighth is left for those beside a first one, and servers idle for so long making room for others.
// most 0: there is no bound.
func New(name string, maxConnections int, minIdle time.Duration) *Table {
	return &Table{name: name, maxConnections: maxConnections, slots: max(maxConnections-maxConnections/extraDivisor, min(maxConnections, 1)), minIdle: minIdle, servers: map[string]*server{}}
}

// extraDivisor is the part of the connections, one in so many, that those beside a first one may have
// where the list does not fit.
const extraDivisor = 8

// Update notes a server of the list and whether it is up.
func (t *Table) Update(id string, up bool) {
	s := t.servers[id]
	if s == nil {
		s = &server{id: id, score: xxhash.Sum64String(t.name + "\x00" + id)}
		t.servers[id] = s
	}
	s.up = up
}

// Remove drops a server, and its place with it.
func (t *Table) Remove(id string) {
	if s := t.servers[id]; s != nil {
		t.release(s)
		t.extra -= s.extra
		delete(t.servers, id)
	}
}

// UpdatePreferred finds the standing set after news of the list, or of a server that was not reached, and
// tells who has come into it. One that was not reached stays in it, and the next in order stands in.
func (t *Table) UpdatePreferred() (gained []string) {
	up := make([]*server, 0, len(t.servers))
	for _, s := range t.servers {
		if s.up {
			up = append(up, s)
		}
	}
	slices.SortFunc(up, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	remaining := len(up)
	if !t.Fits() {
		remaining = max(t.slots/preferredDivisor, 1)
	}
	wasPreferred := map[*server]bool{}
	for _, s := range t.servers {
		wasPreferred[s], s.preferred = s.preferred, false
	}
	for _, s := range up {
		if remaining == 0 {
			break
		}
		if s.preferred = true; !wasPreferred[s] {
			gained = append(gained, s.id)
		}
		if !s.use.Failed || t.Fits() {
			remaining--
		}
	}
	return gained
}

// Fits tells whether each server may have a place.
func (t *Table) Fits() bool { return t.maxConnections <= 0 || len(t.servers) <= t.slots }

// Stats are how many servers are listed and how many places there are, and are held.
func (t *Table) Stats() (listed, slots, held int) { return len(t.servers), t.slots, t.held }

// HasSlot tells whether a server has a place.
func (t *Table) HasSlot(id string) bool {
	s := t.servers[id]
	return s != nil && s.hasSlot
}

// IsPreferred tells whether a server is of the standing set.
func (t *Table) IsPreferred(id string) bool {
	s := t.servers[id]
	return s != nil && s.preferred
}

// Acquire gives a server a place, pinned until it tells otherwise, unless none is to be had: a free one,
// or that of the one idle longest, which is told (from). A server that has one keeps it.
func (t *Table) Acquire(now time.Time, id string, purpose Purpose) (evicted string, ok bool) {
	s := t.servers[id]
	if s == nil || purpose == Standby && !s.preferred && !t.Fits() {
		return "", false
	}
	if !s.hasSlot && !t.Fits() && t.held >= t.slots {
		if purpose == Standby && s.use.Failed {
			return "", false
		}
		victim := t.victim(now)
		if victim == nil {
			return "", false
		}
		t.release(victim)
		evicted = victim.id
	}
	if !s.hasSlot {
		s.hasSlot = true
		t.held++
	}
	s.use.Pinned = true
	return evicted, true
}

// victim is whose place may be taken first: one that was not reached, else the one not in use for
// the longest. The standing set keeps its places but for those that were not reached.
func (t *Table) victim(now time.Time) (victim *server) {
	for _, s := range t.servers {
		switch {
		case !s.hasSlot, s.use.Pinned:
		case !s.use.Failed && (s.preferred || now.Sub(s.lastUsedAt) < t.minIdle):
		case victim == nil, s.evictedBefore(victim):
			victim = s
		}
	}
	return victim
}

func (s *server) evictedBefore(other *server) bool {
	if s.use.Failed != other.use.Failed {
		return s.use.Failed
	}
	return cmp.Or(s.lastUsedAt.Compare(other.lastUsedAt), cmp.Compare(s.id, other.id)) < 0
}

// SetUse tells what a server's place is used for from now on. Where it has none, nothing changes.
func (t *Table) SetUse(now time.Time, id string, use Use) {
	if s := t.servers[id]; s != nil {
		s.use, s.lastUsedAt = use, now
	}
}

// Release gives a server's place back.
func (t *Table) Release(id string) {
	if s := t.servers[id]; s != nil {
		t.release(s)
	}
}

func (t *Table) release(s *server) {
	if s.hasSlot {
		s.hasSlot, s.use.Pinned = false, false
		t.held--
	}
}

// AddExtra tells whether a connection beside a server's first may be opened, and counts it.
func (t *Table) AddExtra(id string) bool {
	s := t.servers[id]
	if s == nil || t.maxConnections > 0 && t.extra >= t.maxConnections-min(len(t.servers), t.slots) {
		return false
	}
	s.extra++
	t.extra++
	return true
}

// SetExtra tells how many connections a server has beyond its first.
func (t *Table) SetExtra(id string, count int) {
	if s := t.servers[id]; s != nil {
		t.extra += count - s.extra
		s.extra = count
	}
}
