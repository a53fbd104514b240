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

// standingPart is the part of the places, one in so many, that the standing set has.
const standingPart = 2

// Need tells what a server's place is asked for.
type Need int

// The needs. A call, or a release that is owed, takes the place of whoever is idle longest. So does
// a server of the standing set, but for one that was not reached lately: it takes what is free.
const (
	Ready Need = iota
	Call
)

// Use is what a server's place is used for.
type Use struct {
	Pinned bool // it may not be taken: something is out, stands, waits or is owed there
	Failed bool // its latest connection did not come up
}

type server struct {
	id       string
	score    uint64
	up       bool
	standing bool
	placed   bool
	use      Use
	since    time.Time // not pinned since
	beside   int       // connections beyond its first
}

// Table is the places of one agent. It is not safe for concurrent use.
type Table struct {
	name    string
	places  int
	most    int           // connections to all servers
	quiet   time.Duration // a place not pinned for so long may be taken
	servers map[string]*server
	held    int
	beside  int
}

// New returns the table of the agent of this name: with so many connections at most, of which an
// eighth is left for those beside a first one, and servers idle for so long making room for others.
// most 0: there is no bound.
func New(name string, most int, quiet time.Duration) *Table {
	return &Table{name: name, most: most, places: max(most-most/besidePart, min(most, 1)), quiet: quiet, servers: map[string]*server{}}
}

// besidePart is the part of the connections, one in so many, that those beside a first one may have
// where the list does not fit.
const besidePart = 8

// Listed notes a server of the list and whether it is up.
func (t *Table) Listed(id string, up bool) {
	s := t.servers[id]
	if s == nil {
		s = &server{id: id, score: xxhash.Sum64String(t.name + "\x00" + id)}
		t.servers[id] = s
	}
	s.up = up
}

// Forget drops a server, and its place with it.
func (t *Table) Forget(id string) {
	if s := t.servers[id]; s != nil {
		t.leave(s)
		t.beside -= s.beside
		delete(t.servers, id)
	}
}

// Settle finds the standing set after news of the list, or of a server that was not reached, and
// tells who has come into it. One that was not reached stays in it, and the next in order stands in.
func (t *Table) Settle() (gained []string) {
	up := make([]*server, 0, len(t.servers))
	for _, s := range t.servers {
		if s.up {
			up = append(up, s)
		}
	}
	slices.SortFunc(up, func(a, b *server) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	n := len(up)
	if !t.Fits() {
		n = max(t.places/standingPart, 1)
	}
	was := map[*server]bool{}
	for _, s := range t.servers {
		was[s], s.standing = s.standing, false
	}
	for _, s := range up {
		if n == 0 {
			break
		}
		if s.standing = true; !was[s] {
			gained = append(gained, s.id)
		}
		if !s.use.Failed || t.Fits() {
			n--
		}
	}
	return gained
}

// Fits tells whether each server may have a place.
func (t *Table) Fits() bool { return t.most <= 0 || len(t.servers) <= t.places }

// Figures are how many servers are listed and how many places there are, and are held.
func (t *Table) Figures() (listed, places, held int) { return len(t.servers), t.places, t.held }

// Has tells whether a server has a place.
func (t *Table) Has(id string) bool {
	s := t.servers[id]
	return s != nil && s.placed
}

// Standing tells whether a server is of the standing set.
func (t *Table) Standing(id string) bool {
	s := t.servers[id]
	return s != nil && s.standing
}

// Take gives a server a place, pinned until it tells otherwise, unless none is to be had: a free one,
// or that of the one idle longest, which is told (from). A server that has one keeps it.
func (t *Table) Take(now time.Time, id string, need Need) (from string, ok bool) {
	s := t.servers[id]
	if s == nil || need == Ready && !s.standing && !t.Fits() {
		return "", false
	}
	if !s.placed && !t.Fits() && t.held >= t.places {
		if need == Ready && s.use.Failed {
			return "", false
		}
		idle := t.idlest(now)
		if idle == nil {
			return "", false
		}
		t.leave(idle)
		from = idle.id
	}
	if !s.placed {
		s.placed = true
		t.held++
	}
	s.use.Pinned = true
	return from, true
}

// idlest is whose place may be taken first: one that was not reached, else the one not in use for
// the longest. The standing set keeps its places but for those that were not reached.
func (t *Table) idlest(now time.Time) (least *server) {
	for _, s := range t.servers {
		switch {
		case !s.placed, s.use.Pinned:
		case !s.use.Failed && (s.standing || now.Sub(s.since) < t.quiet):
		case least == nil, s.before(least):
			least = s
		}
	}
	return least
}

func (s *server) before(o *server) bool {
	if s.use.Failed != o.use.Failed {
		return s.use.Failed
	}
	return cmp.Or(s.since.Compare(o.since), cmp.Compare(s.id, o.id)) < 0
}

// Used tells what a server's place is used for from now on. Where it has none, nothing changes.
func (t *Table) Used(now time.Time, id string, use Use) {
	if s := t.servers[id]; s != nil {
		s.use, s.since = use, now
	}
}

// Leave gives a server's place back.
func (t *Table) Leave(id string) {
	if s := t.servers[id]; s != nil {
		t.leave(s)
	}
}

func (t *Table) leave(s *server) {
	if s.placed {
		s.placed, s.use.Pinned = false, false
		t.held--
	}
}

// Another tells whether a connection beside a server's first may be opened, and counts it.
func (t *Table) Another(id string) bool {
	s := t.servers[id]
	if s == nil || t.most > 0 && t.beside >= t.most-min(len(t.servers), t.places) {
		return false
	}
	s.beside++
	t.beside++
	return true
}

// Beside tells how many connections a server has beyond its first.
func (t *Table) Beside(id string, n int) {
	if s := t.servers[id]; s != nil {
		t.beside += n - s.beside
		s.beside = n
	}
}
