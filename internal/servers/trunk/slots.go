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

// defaultYieldTimeout is how long a dial waits for the evicted connection to end. That connection is idle,
// and so is its actor.
const defaultYieldTimeout = 100 * time.Millisecond

// slots is the table of which servers have a slot for a connection (package subset). Actors call it directly
// and not through their mailboxes: an actor that takes a slot has it at once, and the actor that had it
// notices at the last moment before it sends anything.
type slots struct {
	mu            sync.Mutex
	table         *subset.Table
	actors        map[string]*serverActor
	linkedServers int             // number of servers with a connection
	withoutSlot   map[string]bool // servers last reported as without a slot
	fits          bool            // every server could have a slot at the last evaluation
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

// setListed records the list entry of a server.
func (s *slots) setListed(actor *serverActor, id string, up bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.actors[id] = actor
	s.table.Update(id, up)
}

// remove removes a server whose actor has ended.
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

// rebalance recomputes the preferred set and connects the servers that came into it, but for those in except,
// which connect when their actors are updated.
func (s *slots) rebalance(except map[string]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rebalanceLocked(except)
}

// rebalanceLocked is rebalance for callers that hold the lock.
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

// updateServes records whether calls can be served. If every server can have a slot this is assumed, and a
// call shows whether its server is reachable.
func (s *slots) updateServes() { s.serves.Store(s.table.Fits() || s.linkedServers > 0) }

// notifyChanges reports the servers that have lost their slot or got one, while not every server can have
// one.
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

// acquire gives a server a slot, pinned until its actor's current event is over. had reports whether it
// already had one. freed is closed once the evicted connection has ended; it is nil if there is none.
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

// pin pins a server's slot until its actor's current event is over. It returns false if the server has lost
// its slot.
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

// preferred reports whether a server should have a connection even if no call needs it.
func (s *slots) preferred(actor *serverActor) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.actors[actor.serverID] == actor && s.table.IsPreferred(actor.serverID)
}

// setLink records the connection that now uses a server's slot.
func (s *slots) setLink(actor *serverActor, l *link) {
	s.mu.Lock()
	defer s.mu.Unlock()
	actor.readDone = l.readDone
}

// addExtra reports whether a second connection to a server may be opened. conns is the number of connections
// to all servers, the second one included. limit bounds it if every server can have a slot; 0: no limit.
func (s *slots) addExtra(actor *serverActor, conns, limit int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if limit > 0 && conns > limit && s.table.Fits() {
		return false
	}
	return s.actors[actor.serverID] != actor || s.table.AddExtra(actor.serverID)
}

// countLink updates the number of servers with a connection.
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

// setUse records what a server's slot is used for after an event of its actor.
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

// usage is what an actor reports about its slot.
type usage struct {
	subset.Use
	linked     bool
	extraConns int // connections in addition to the first
}

// reportUsage reports to the table what the current event has changed.
func (sa *serverActor) reportUsage() {
	releasing := len(sa.dueReleases.releases) > 0 && sa.dialFailures == 0
	u := usage{Use: subset.Use{Pinned: len(sa.open)+len(sa.waiting) > 0 || releasing || sa.dialing || len(sa.retiredLinks) > 0, Failed: sa.dialFailures > 0},
		linked: sa.link != nil, extraConns: len(sa.retiredLinks)}
	if sa.dialing && sa.link != nil {
		u.extraConns++
	}
	if u != sa.reportedUsage || sa.slotUsed {
		sa.reportedUsage, sa.slotUsed = u, false
		sa.slots.setUse(sa, u)
	}
}

// acquireSlot gets a slot for this server or keeps the one it has. It returns false if none is available.
func (sa *serverActor) acquireSlot(purpose subset.Purpose) bool {
	sa.slotUsed = true
	freed, had, ok := sa.slots.acquire(sa, purpose)
	if ok && !had {
		sa.slotFreed = freed
		if l := sa.link; l != nil { // another server had the slot meanwhile
			sa.linkLost(l, errNoSlot)
		}
	}
	return ok
}

// pinSlot reports whether this server still has its slot. It is called at the last moment before a write,
// because what is written on a connection that is about to end may be lost.
func (sa *serverActor) pinSlot() bool {
	sa.slotUsed = true
	return sa.slots.pin(sa)
}

// yieldSlot closes the connection if another server has taken its slot.
func (sa *serverActor) yieldSlot() {
	if sa.link != nil && !sa.slots.has(sa) {
		sa.linkLost(sa.link, errNoSlot)
	}
}

// reserveConn reports whether a connection may be opened, and counts it if so.
func (sa *serverActor) reserveConn() bool {
	if sa.link != nil { // a second connection is not essential when file descriptors are scarce
		if n := sa.connCount.Add(1); sa.slots.addExtra(sa, n, int64(sa.cfg.ExtraConnLimit)) {
			return true
		}
		sa.connCount.Add(-1)
		return false
	}
	purpose := sa.dialPurpose()
	if !sa.acquireSlot(purpose) {
		if purpose == subset.ForCall || len(sa.dueReleases.releases) > 0 || sa.slots.preferred(sa) {
			sa.retryLater()
		}
		return false
	}
	sa.connCount.Add(1)
	return true
}

// dialPurpose returns what a slot for a first connection is needed for. Releases for a server that can't be reached take
// another server's slot only now and then.
func (sa *serverActor) dialPurpose() subset.Purpose {
	switch {
	case len(sa.waiting)+len(sa.open) > 0:
		return subset.ForCall
	case len(sa.dueReleases.releases) == 0:
		return subset.Standby
	case sa.dialFailures > 0 && time.Since(sa.lastReleaseDial) < releaseRedialInterval:
		return subset.Standby
	}
	sa.lastReleaseDial = time.Now()
	return subset.ForCall
}

// retryLater schedules another dial when no slot was free.
func (sa *serverActor) retryLater() {
	if !sa.retryScheduled {
		sa.retryScheduled = true
		time.AfterFunc(sa.cfg.RedialInterval/2+sa.cfg.randomDelay(sa.cfg.RedialInterval), func() {
			sa.post(func() { sa.retryScheduled = false; sa.connect() })
		})
	}
}

// slotTimedOut fails the set-ups of a dial whose slot was not freed in time.
func (sa *serverActor) slotTimedOut() {
	sa.failWaiting(agent.Unwritten, policy.NotSent, errNoSlot)
	if len(sa.dueReleases.releases)+len(sa.open) > 0 || sa.slots.preferred(sa) {
		sa.retryLater()
	}
}

// awaitSlot waits until the evicted connection has ended.
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
