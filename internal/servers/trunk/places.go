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

var errNoSlot = errors.New("all connections to setup servers are in use")

// defaultYieldTimeout bounds how long a dial waits until the connection whose place it takes has ended. That
// one is idle, and so is its actor.
const defaultYieldTimeout = 100 * time.Millisecond

// slots is the pool's table of who may have a connection (package subset). The actors reach it past
// their mailboxes: who takes a place has it at once, and whoever had it sees that at the last
// moment before it sends anything.
type slots struct {
	mu            sync.Mutex
	table         *subset.Table
	actors        map[string]*serverActor
	linkedServers int             // servers with a connection
	withoutSlot   map[string]bool // those that were told of as without a place
	fits          bool            // the list fitted when last looked at
	notify        func(ids []string, hasSlot bool)
	log           *slog.Logger
	serves        atomic.Bool
}

func newSlots(cfg Config) *slots {
	s := &slots{table: subset.New(cfg.Name, cfg.MaxConns, cfg.Linger), actors: map[string]*serverActor{}, withoutSlot: map[string]bool{}, fits: true,
		notify: cfg.OnSlotsChanged, log: cfg.Log}
	s.serves.Store(true)
	return s
}

// setListed notes what the list says of a server.
func (s *slots) setListed(actor *serverActor, id string, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actors[id] = actor
	s.table.Update(id, up)
}

// remove drops a server whose actor has ended.
func (s *slots) remove(actor *serverActor, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.actors[id] != actor {
		return
	}
	s.countLink(actor, false)
	s.table.Remove(id)
	delete(s.actors, id)
	delete(s.withoutSlot, id)
}

// rebalance finds the standing set anew, and has those connect that came into it, but for those in named.
func (s *slots) rebalance(except map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebalanceLocked(except)
}

func (s *slots) rebalanceLocked(except map[string]bool) {
	for _, id := range s.table.UpdatePreferred() {
		if actor := s.actors[id]; !except[id] {
			actor.post(actor.connectSoon)
		}
	}
	if fits := s.table.Fits(); fits != s.fits {
		s.fits = fits
		listed, limit, _ := s.table.Stats()
		if fits {
			s.log.Info("connections to all setup servers again", "listed", listed, "most", limit)
		} else {
			s.log.Info("more setup servers than connections: connecting to a subset", "listed", listed, "most", limit)
		}
	}
	ids := make([]string, 0, len(s.actors))
	for id := range s.actors {
		ids = append(ids, id)
	}
	s.notifyChanges(ids...)
	s.updateServes()
}

// updateServes sets whether calls can be served. Where all have a place, a call finds out.
func (s *slots) updateServes() { s.serves.Store(s.table.Fits() || s.linkedServers > 0) }

// notifyChanges tells of servers that have lost their place or come by one, where not all have one.
func (s *slots) notifyChanges(ids ...string) {
	if s.notify == nil {
		return
	}
	var lost, got []string
	for _, id := range ids {
		noSlot := !s.table.Fits() && !s.table.HasSlot(id)
		switch {
		case noSlot && !s.withoutSlot[id]:
			lost, s.withoutSlot[id] = append(lost, id), true
		case !noSlot && s.withoutSlot[id]:
			got = append(got, id)
			delete(s.withoutSlot, id)
		}
	}
	if len(lost) > 0 {
		s.notify(lost, false)
	}
	if len(got) > 0 {
		s.notify(got, true)
	}
}

// acquire gives a server a place, pinned until its actor's event is over. had: it had one. freed is
// closed once the connection whose place it is has ended; nil: there is none.
func (s *slots) acquire(actor *serverActor, purpose subset.Purpose) (freed <-chan struct{}, had, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := actor.serverID
	if s.actors[id] != actor {
		return nil, true, s.table.Fits()
	}
	had = s.table.HasSlot(id)
	evicted, ok := s.table.Acquire(time.Now(), id, purpose)
	if evicted != "" {
		victim := s.actors[evicted]
		freed = victim.readDone
		victim.post(victim.yieldSlot)
		s.notifyChanges(evicted)
	}
	if ok && !had {
		s.notifyChanges(id)
	}
	return freed, had, ok
}

// pin pins a server's place until its actor's event is over; false: it has none any more.
func (s *slots) pin(actor *serverActor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.actors[actor.serverID] != actor || !s.table.HasSlot(actor.serverID) {
		return s.table.Fits()
	}
	s.table.Acquire(time.Now(), actor.serverID, subset.ForCall)
	return true
}

func (s *slots) has(actor *serverActor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.actors[actor.serverID] == actor && s.table.HasSlot(actor.serverID)
}

// excluded tells whether a server has no place as not every one may have one.
func (s *slots) excluded(actor *serverActor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.actors[actor.serverID] == actor && !s.table.Fits() && !s.table.HasSlot(actor.serverID)
}

// preferred tells whether a server is to have a connection though no call is for it.
func (s *slots) preferred(actor *serverActor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.actors[actor.serverID] == actor && s.table.IsPreferred(actor.serverID)
}

// setLink notes the connection that a server's place holds now.
func (s *slots) setLink(actor *serverActor, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actor.readDone = l.readDone
}

// addExtra tells whether a connection beside a server's first may be opened. most bounds all
// connections where the list fits, as it did before there were places.
func (s *slots) addExtra(actor *serverActor, now, limit int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && now > limit && s.table.Fits() {
		return false
	}
	return s.actors[actor.serverID] != actor || s.table.AddExtra(actor.serverID)
}

func (s *slots) countLink(actor *serverActor, up bool) {
	if up != actor.countedLinked {
		actor.countedLinked = up
		if up {
			s.linkedServers++
		} else {
			s.linkedServers--
		}
		s.updateServes()
	}
}

// setUse takes what a server's place is used for after an event of its actor.
func (s *slots) setUse(actor *serverActor, u usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := actor.serverID
	if s.actors[id] != actor {
		return
	}
	s.table.SetUse(time.Now(), id, u.Use)
	s.table.SetExtra(id, u.extraConns)
	s.countLink(actor, u.linked)
	if !u.linked && !u.Pinned && (u.Failed || !s.table.IsPreferred(id)) {
		s.table.Release(id)
		s.notifyChanges(id)
	}
	if u.Failed != actor.countedFailed {
		if actor.countedFailed = u.Failed; !s.table.Fits() {
			s.rebalanceLocked(nil)
		}
	}
}

// usage is what an actor tells of its place.
type usage struct {
	subset.Use
	linked     bool
	extraConns int // connections beyond the first
}

// reportUsage tells the table what the event that is over has changed.
func (sa *serverActor) reportUsage() {
	u := usage{Use: subset.Use{Pinned: len(sa.open)+len(sa.unsentReleases)+len(sa.waiting) > 0 || sa.dialing || sa.retiredLinks > 0, Failed: sa.dialFailures > 0},
		linked: sa.link != nil, extraConns: sa.retiredLinks}
	if sa.dialing && sa.link != nil {
		u.extraConns++
	}
	if u != sa.reportedUsage || sa.slotUsed {
		sa.reportedUsage, sa.slotUsed = u, false
		sa.slots.setUse(sa, u)
	}
}

// acquireSlot has this server come by a place, or keep it; false: none is to be had.
func (sa *serverActor) acquireSlot(purpose subset.Purpose) bool {
	sa.slotUsed = true
	freed, had, ok := sa.slots.acquire(sa, purpose)
	if ok && !had {
		sa.slotFreed = freed
		if l := sa.link; l != nil { // its place was another's meanwhile
			sa.linkLost(l, errNoSlot)
		}
	}
	return ok
}

// pinSlot tells whether this server still has its place, at the last moment before something is
// written: what is written on a connection that is about to end may be lost with it.
func (sa *serverActor) pinSlot() bool {
	sa.slotUsed = true
	return sa.slots.pin(sa)
}

// yieldSlot ends the connection whose place another server has taken.
func (sa *serverActor) yieldSlot() {
	if sa.link != nil && !sa.slots.has(sa) {
		sa.linkLost(sa.link, errNoSlot)
	}
}

// reserveConn tells whether a connection may be opened, and counts it.
func (sa *serverActor) reserveConn() bool {
	if sa.link != nil { // a second connection is a luxury where descriptors are short
		if n := sa.connCount.Add(1); sa.slots.addExtra(sa, n, int64(sa.cfg.ExtraConnLimit)) {
			return true
		}
		sa.connCount.Add(-1)
		return false
	}
	purpose := subset.Standby
	if len(sa.waiting)+len(sa.unsentReleases)+len(sa.open) > 0 {
		purpose = subset.ForCall
	}
	if !sa.acquireSlot(purpose) {
		if purpose == subset.ForCall || sa.slots.preferred(sa) {
			sa.retryLater()
		}
		return false
	}
	sa.connCount.Add(1)
	return true
}

// retryLater has a connection that found no place tried again later.
func (sa *serverActor) retryLater() {
	if !sa.retryScheduled {
		sa.retryScheduled = true
		time.AfterFunc(sa.cfg.RedialInterval/2+sa.cfg.randomDelay(sa.cfg.RedialInterval), func() {
			sa.post(func() { sa.retryScheduled = false; sa.reconnect() })
		})
	}
}

// slotTimedOut ends the set-ups of a dial whose place did not come free.
func (sa *serverActor) slotTimedOut() {
	sa.failWaiting(agent.Unwritten, policy.NotSent, errNoSlot)
	if len(sa.unsentReleases)+len(sa.open) > 0 || sa.slots.preferred(sa) {
		sa.retryLater()
	}
}

// awaitSlot waits until the connection has ended whose place is taken.
func awaitSlot(done, freed <-chan struct{}, limit time.Duration) error {
	if freed == nil {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-freed:
		return nil
	case <-timer.C:
	case <-done:
	}
	return errNoSlot
}
