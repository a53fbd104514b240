package trunk

import (
	"slices"
	"time"

	"woodrouter/isup"
)

// Limits of the releases that are kept for a server.
const (
	maxDueReleases     = 4096 // of attempts and calls of this agent
	maxUnknownReleases = 1024 // of calls that callers released and this agent does not know
)

// Times after which a release counts as received if the server has sent something later on the same connection. A
// server that acknowledges releases has received one for certain only once it has done so, as a network may lose
// what goes in one direction alone.
const (
	releaseDelivered   = time.Second
	releaseUnconfirmed = 5 * time.Second
)

// releaseRedialInterval is the time between dials that may take another server's slot for releases alone, while the
// server can't be reached.
const releaseRedialInterval = 4 * time.Second

// releaseQueue holds the ids of calls that are to be released on the next connection, each once, in order.
type releaseQueue struct {
	ids   []isup.CallID
	limit int
}

// add adds an id. If the queue is full the oldest id goes, whose call is the likeliest to have ended by itself.
func (q *releaseQueue) add(id isup.CallID) {
	if slices.Contains(q.ids, id) {
		return
	}
	if len(q.ids) >= q.limit {
		q.ids = slices.Delete(q.ids, 0, 1)
	}
	q.ids = append(q.ids, id)
}

// takeAll empties the queue and returns its ids.
func (q *releaseQueue) takeAll() []isup.CallID {
	ids := q.ids
	q.ids = nil
	return ids
}

// writtenRelease is a release that was written on a connection.
type writtenRelease struct {
	id isup.CallID
	at time.Time
}

// addWrittenRelease records a release until the server has certainly received it.
func (l *link) addWrittenRelease(id isup.CallID) {
	if len(l.writtenReleases) >= maxDueReleases {
		l.writtenReleases = slices.Delete(l.writtenReleases, 0, 1)
	}
	l.writtenReleases = append(l.writtenReleases, writtenRelease{id, time.Now()})
}

// confirmReleases drops the releases that count as received, given how long after its writing one does.
func (l *link) confirmReleases(after time.Duration) {
	l.writtenReleases = slices.DeleteFunc(l.writtenReleases, func(r writtenRelease) bool { return l.lastReceived.Sub(r.at) >= after })
}

// acknowledgeRelease drops the release of a call that the server has acknowledged.
func (l *link) acknowledgeRelease(id isup.CallID) {
	l.writtenReleases = slices.DeleteFunc(l.writtenReleases, func(r writtenRelease) bool { return r.id == id })
}

// releaseConfirmedAfter returns how long after its writing a release counts as received once the server sends
// something on the same connection.
func (sa *serverActor) releaseConfirmedAfter() time.Duration {
	if sa.acknowledges {
		return releaseUnconfirmed
	}
	return releaseDelivered
}

// handleReleased handles the acknowledgement of a release.
func (sa *serverActor) handleReleased(l *link, id isup.CallID) {
	sa.acknowledges = true
	l.acknowledgeRelease(id)
}

// sendRelease writes a release, or keeps it for the next connection: a call that stands is not tied to a
// connection.
func (sa *serverActor) sendRelease(on *link, id isup.CallID) {
	if on == nil || !sa.pinSlot() {
		sa.dueReleases.add(id)
		sa.connect()
		return
	}
	if _, err := sa.send(on, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal)); err != nil {
		sa.dueReleases.add(id)
		sa.linkLost(on, err)
		return
	}
	on.addWrittenRelease(id)
	sa.scheduleCheck(on)
}

// sendDueReleases sends the kept releases on a new connection. It comes before any set-up, as a later attempt of the
// same call must not be released.
func (sa *serverActor) sendDueReleases() {
	for _, id := range append(sa.dueReleases.takeAll(), sa.unknownReleases.takeAll()...) {
		sa.sendRelease(sa.link, id)
	}
}

// resendReleases sends again what was written on a connection that has ended and may not have been received. A later
// attempt of the same call at this server must not be released.
func (sa *serverActor) resendReleases(ended *link) {
	written := ended.writtenReleases
	ended.writtenReleases = nil
	for _, r := range written {
		if sa.open[r.id] == nil {
			sa.sendRelease(sa.link, r.id)
		}
	}
}

// releaseUnknown releases a call that this agent does not know. Without a connection it waits for the next one.
func (sa *serverActor) releaseUnknown(id isup.CallID) {
	switch {
	case sa.link != nil:
		sa.sendRelease(sa.link, id)
	case !sa.finished.Load():
		sa.unknownReleases.add(id)
	}
}
