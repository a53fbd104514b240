package trunk

import (
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/policy"
	"woodrouter/subset"
)

var errPlace = errors.New("all connections to setup servers are in use")

// yieldMost bounds how long a dial waits until the connection whose place it takes has ended. That
// one is idle, and so is its actor.
const yieldMost = 100 * time.Millisecond

// places is the pool's table of who may have a connection (package subset). The actors reach it past
// their mailboxes: who takes a place has it at once, and whoever had it sees that at the last
// moment before it sends anything.
type places struct {
	mu     sync.Mutex
	table  *subset.Table
	actors map[string]*trunk
	linked int             // servers with a connection
	away   map[string]bool // those that were told of as without a place
	whole  bool            // the list fitted when last looked at
	tell   func(ids []string, placed bool)
	log    *slog.Logger
	serves atomic.Bool
}

func newPlaces(cfg Config) *places {
	p := &places{table: subset.New(cfg.Name, cfg.Part, cfg.Linger), actors: map[string]*trunk{}, away: map[string]bool{}, whole: true,
		tell: cfg.Placed, log: cfg.Log}
	p.serves.Store(true)
	return p
}

// listed notes what the list says of a server.
func (p *places) listed(t *trunk, id string, up bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.actors[id] = t
	p.table.Update(id, up)
}

// forget drops a server whose actor has ended.
func (p *places) forget(t *trunk, id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actors[id] != t {
		return
	}
	p.link(t, false)
	p.table.Remove(id)
	delete(p.actors, id)
	delete(p.away, id)
}

// settle finds the standing set anew, and has those connect that came into it, but for those in named.
func (p *places) settle(named map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.resettle(named)
}

func (p *places) resettle(named map[string]bool) {
	for _, id := range p.table.UpdatePreferred() {
		if t := p.actors[id]; !named[id] {
			t.post(t.connectSoon)
		}
	}
	if fits := p.table.Fits(); fits != p.whole {
		p.whole = fits
		listed, most, _ := p.table.Stats()
		if fits {
			p.log.Info("connections to all setup servers again", "listed", listed, "most", most)
		} else {
			p.log.Info("more setup servers than connections: connecting to a subset", "listed", listed, "most", most)
		}
	}
	ids := make([]string, 0, len(p.actors))
	for id := range p.actors {
		ids = append(ids, id)
	}
	p.changed(ids...)
	p.look()
}

// look sets whether calls can be served. Where all have a place, a call finds out.
func (p *places) look() { p.serves.Store(p.table.Fits() || p.linked > 0) }

// changed tells of servers that have lost their place or come by one, where not all have one.
func (p *places) changed(ids ...string) {
	if p.tell == nil {
		return
	}
	var lost, got []string
	for _, id := range ids {
		away := !p.table.Fits() && !p.table.HasSlot(id)
		switch {
		case away && !p.away[id]:
			lost, p.away[id] = append(lost, id), true
		case !away && p.away[id]:
			got = append(got, id)
			delete(p.away, id)
		}
	}
	if len(lost) > 0 {
		p.tell(lost, false)
	}
	if len(got) > 0 {
		p.tell(got, true)
	}
}

// take gives a server a place, pinned until its actor's event is over. had: it had one. freed is
// closed once the connection whose place it is has ended; nil: there is none.
func (p *places) take(t *trunk, need subset.Purpose) (freed <-chan struct{}, had, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := t.name
	if p.actors[id] != t {
		return nil, true, p.table.Fits()
	}
	had = p.table.HasSlot(id)
	from, ok := p.table.Acquire(time.Now(), id, need)
	if from != "" {
		v := p.actors[from]
		freed = v.reading
		v.post(v.yield)
		p.changed(from)
	}
	if ok && !had {
		p.changed(id)
	}
	return freed, had, ok
}

// keep pins a server's place until its actor's event is over; false: it has none any more.
func (p *places) keep(t *trunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.actors[t.name] != t || !p.table.HasSlot(t.name) {
		return p.table.Fits()
	}
	p.table.Acquire(time.Now(), t.name, subset.ForCall)
	return true
}

func (p *places) has(t *trunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.actors[t.name] == t && p.table.HasSlot(t.name)
}

// apart tells whether a server has no place as not every one may have one.
func (p *places) apart(t *trunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.actors[t.name] == t && !p.table.Fits() && !p.table.HasSlot(t.name)
}

// wanted tells whether a server is to have a connection though no call is for it.
func (p *places) wanted(t *trunk) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.actors[t.name] == t && p.table.IsPreferred(t.name)
}

// opened notes the connection that a server's place holds now.
func (p *places) opened(t *trunk, l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.reading = l.read
}

// another tells whether a connection beside a server's first may be opened. most bounds all
// connections where the list fits, as it did before there were places.
func (p *places) another(t *trunk, now, most int64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if most > 0 && now > most && p.table.Fits() {
		return false
	}
	return p.actors[t.name] != t || p.table.AddExtra(t.name)
}

func (p *places) link(t *trunk, up bool) {
	if up != t.counted {
		t.counted = up
		if up {
			p.linked++
		} else {
			p.linked--
		}
		p.look()
	}
}

// used takes what a server's place is used for after an event of its actor.
func (p *places) used(t *trunk, u usage) {
	p.mu.Lock()
	defer p.mu.Unlock()
	id := t.name
	if p.actors[id] != t {
		return
	}
	p.table.SetUse(time.Now(), id, u.Use)
	p.table.SetExtra(id, u.beside)
	p.link(t, u.linked)
	if !u.linked && !u.Pinned && (u.Failed || !p.table.IsPreferred(id)) {
		p.table.Release(id)
		p.changed(id)
	}
	if u.Failed != t.failed {
		if t.failed = u.Failed; !p.table.Fits() {
			p.resettle(nil)
		}
	}
}

// usage is what an actor tells of its place.
type usage struct {
	subset.Use
	linked bool
	beside int // connections beyond the first
}

// account tells the table what the event that is over has changed.
func (t *trunk) account() {
	u := usage{Use: subset.Use{Pinned: len(t.open)+len(t.unsaid)+len(t.waiting) > 0 || t.dialing || t.retired > 0, Failed: t.failures > 0},
		linked: t.link != nil, beside: t.retired}
	if t.dialing && t.link != nil {
		u.beside++
	}
	if u != t.told || t.touched {
		t.told, t.touched = u, false
		t.places.used(t, u)
	}
}

// placed has this server come by a place, or keep it; false: none is to be had.
func (t *trunk) placed(need subset.Purpose) bool {
	t.touched = true
	freed, had, ok := t.places.take(t, need)
	if ok && !had {
		t.freed = freed
		if l := t.link; l != nil { // its place was another's meanwhile
			t.lost(l, errPlace)
		}
	}
	return ok
}

// keeps tells whether this server still has its place, at the last moment before something is
// written: what is written on a connection that is about to end may be lost with it.
func (t *trunk) keeps() bool {
	t.touched = true
	return t.places.keep(t)
}

// yield ends the connection whose place another server has taken.
func (t *trunk) yield() {
	if t.link != nil && !t.places.has(t) {
		t.lost(t.link, errPlace)
	}
}

// room tells whether a connection may be opened, and counts it.
func (t *trunk) room() bool {
	if t.link != nil { // a second connection is a luxury where descriptors are short
		if n := t.conns.Add(1); t.places.another(t, n, int64(t.cfg.MaxConns)) {
			return true
		}
		t.conns.Add(-1)
		return false
	}
	need := subset.Standby
	if len(t.waiting)+len(t.unsaid)+len(t.open) > 0 {
		need = subset.ForCall
	}
	if !t.placed(need) {
		if need == subset.ForCall || t.places.wanted(t) {
			t.rest()
		}
		return false
	}
	t.conns.Add(1)
	return true
}

// rest has a connection that found no place tried again later.
func (t *trunk) rest() {
	if !t.resting {
		t.resting = true
		time.AfterFunc(t.cfg.Redial/2+t.cfg.draw(t.cfg.Redial), func() {
			t.post(func() { t.resting = false; t.connectAgain() })
		})
	}
}

// crowded ends the set-ups of a dial whose place did not come free.
func (t *trunk) crowded() {
	t.refuseWaiting(agent.Unwritten, policy.NotSent, errPlace)
	if len(t.unsaid)+len(t.open) > 0 || t.places.wanted(t) {
		t.rest()
	}
}

// vacated waits until the connection has ended whose place is taken.
func vacated(done, freed <-chan struct{}, most time.Duration) error {
	if freed == nil {
		return nil
	}
	late := time.NewTimer(most)
	defer late.Stop()
	select {
	case <-freed:
		return nil
	case <-late.C:
	case <-done:
	}
	return errPlace
}
