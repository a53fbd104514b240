// Package subset decides which setup servers get an agent's connection slots; a slot is the right to one
// connection. If all listed servers fit in the slots, every server has one. Otherwise half of the slots
// belong to the agent's preferred set: the first servers of the list by rendezvous hashing (Thaler and
// Ravishankar 1998) with the agent's name. The other slots are assigned when a call needs one, and the server
// idle for longest is evicted. The package has no clock and performs no I/O: times are passed in.
//
// These bounds hold after any sequence of events:
//
//   - No more servers have a slot than there are slots.
//   - A server in use keeps its slot.
//   - Adding or removing one server, or one server becoming reachable or unreachable, moves at most one other
//     reachable server into the preferred set and at most one out of it.
//   - Adding or removing another agent moves none.
//
// The alternatives considered are in docs/connections.md.
package subset

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// preferredDivisor is the number of slots for each slot of the preferred set: 2 reserves half of them.
const preferredDivisor = 2

// Purpose says what a slot is requested for.
type Purpose int

// Purposes of a slot. ForCall, for a call or a release that is still to be sent, may evict the server idle
// for longest. So may Standby, for a server of the preferred set, unless that server was not reachable
// lately; then it gets only a free slot.
const (
	Standby Purpose = iota
	ForCall
)

// Use describes the current use of a server's slot.
type Use struct {
	Pinned bool // it must not be evicted: something is unanswered, stands, waits or still has to be sent there
	Failed bool // its latest connection attempt failed
}

type server struct {
	id         string
	score      uint64
	up         bool
	preferred  bool
	hasSlot    bool
	use        Use
	lastUsedAt time.Time // when its use was last set; it is idle from then unless pinned
	extra      int       // connections in addition to its first
}

// Table holds the connection slots of one agent. It is not safe for concurrent use.
type Table struct {
	name           string
	slots          int
	maxConnections int           // maximum number of connections to all servers; 0 means no limit
	minIdle        time.Duration // a slot must be unpinned for this long before it can be evicted
	servers        map[string]*server
	held           int
	extra          int
}

// New returns the table of the agent of this name, with at most maxConnections connections (0 means no
// limit). An eighth of them is reserved for additional connections to servers that have one. A server that
// was idle for minIdle can be evicted.
func New(name string, maxConnections int, minIdle time.Duration) *Table {
	return &Table{name: name, maxConnections: maxConnections, slots: max(maxConnections-maxConnections/extraDivisor, min(maxConnections, 1)), minIdle: minIdle, servers: map[string]*server{}}
}

// extraDivisor sets the connections reserved for additional connections if the list does not fit: 8 reserves
// an eighth.
const extraDivisor = 8

// Update adds a server to the list or updates whether it is up.
func (t *Table) Update(id string, up bool) {
	s := t.servers[id]
	if s == nil {
		s = &server{id: id, score: xxhash.Sum64String(t.name + "\x00" + id)}
		t.servers[id] = s
	}
	s.up = up
}

// Remove drops a server and its slot.
func (t *Table) Remove(id string) {
	if s := t.servers[id]; s != nil {
		t.release(s)
		t.extra -= s.extra
		delete(t.servers, id)
	}
}

// UpdatePreferred recalculates the preferred set after a change of the list or a failed connection, and
// returns the servers that have joined it. An unreachable server stays in the set, and the next one in order
// is added to replace it.
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

// Fits reports whether every listed server can have a slot.
func (t *Table) Fits() bool { return t.maxConnections <= 0 || len(t.servers) <= t.slots }

// Stats returns the number of listed servers, of slots, and of slots in use.
func (t *Table) Stats() (listed, slots, held int) { return len(t.servers), t.slots, t.held }

// HasSlot reports whether a server has a slot.
func (t *Table) HasSlot(id string) bool {
	s := t.servers[id]
	return s != nil && s.hasSlot
}

// IsPreferred reports whether a server is in the preferred set.
func (t *Table) IsPreferred(id string) bool {
	s := t.servers[id]
	return s != nil && s.preferred
}

// Acquire gives a server a slot, pinned until SetUse says otherwise. It uses a free slot or evicts the server
// idle for longest, which it returns as evicted. ok is false if no slot is available. A server that has a
// slot keeps it.
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

// victim returns the server to evict first: an unreachable one, otherwise the one unused for longest.
// Reachable servers of the preferred set are never evicted.
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

// SetUse records the use of a server's slot from now on.
func (t *Table) SetUse(now time.Time, id string, use Use) {
	if s := t.servers[id]; s != nil {
		s.use, s.lastUsedAt = use, now
	}
}

// Release frees a server's slot.
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

// AddExtra reports whether an additional connection to a server may be opened, and counts it if so.
func (t *Table) AddExtra(id string) bool {
	s := t.servers[id]
	if s == nil || t.maxConnections > 0 && t.extra >= t.maxConnections-min(len(t.servers), t.slots) {
		return false
	}
	s.extra++
	t.extra++
	return true
}

// SetExtra sets how many connections a server has in addition to its first.
func (t *Table) SetExtra(id string, count int) {
	if s := t.servers[id]; s != nil {
		t.extra += count - s.extra
		s.extra = count
	}
}
