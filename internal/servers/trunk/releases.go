package trunk

import (
	"errors"
	"io"
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

// maxReleaseWrites is how often a release is written on connections on which the server has sent something. A server
// that does not acknowledge releases, and resets its idle connections, would be dialled again and again otherwise.
const maxReleaseWrites = 3

// crossingTime is how long the end of a connection may cross a message.
const crossingTime = 250 * time.Millisecond

// release is a release that the server has not certainly received.
type release struct {
	id        isup.CallID
	writes    int       // on connections on which the server has sent something
	writtenAt time.Time // when it was written last
}

// releaseQueue holds the releases for the next connection, each call once, in order.
type releaseQueue struct {
	releases []release
	limit    int
}

// add adds a release. If the queue is full the oldest one goes, whose call is the likeliest to have ended by itself.
func (q *releaseQueue) add(r release) {
	if slices.ContainsFunc(q.releases, func(other release) bool { return other.id == r.id }) {
		return
	}
	if len(q.releases) >= q.limit {
		q.releases = slices.Delete(q.releases, 0, 1)
	}
	q.releases = append(q.releases, r)
}

// takeAll empties the queue and returns what was in it.
func (q *releaseQueue) takeAll() []release {
	releases := q.releases
	q.releases = nil
	return releases
}

// addWrittenRelease records a release until the server has certainly received it.
func (l *link) addWrittenRelease(r release) {
	if len(l.writtenReleases) >= maxDueReleases {
		l.writtenReleases = slices.Delete(l.writtenReleases, 0, 1)
	}
	r.writtenAt = time.Now()
	l.writtenReleases = append(l.writtenReleases, r)
}

// confirmReleases drops the releases that count as received, given how long after its writing one does.
func (l *link) confirmReleases(after time.Duration) {
	l.writtenReleases = slices.DeleteFunc(l.writtenReleases, func(r release) bool { return l.lastReceived.Sub(r.writtenAt) >= after })
}

// acknowledgeRelease drops the release of a call that the server has acknowledged.
func (l *link) acknowledgeRelease(id isup.CallID) {
	l.writtenReleases = slices.DeleteFunc(l.writtenReleases, func(r release) bool { return r.id == id })
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

// sendRelease writes the release of a call, or keeps it for the next connection: a call that stands is not tied to a
// connection.
func (sa *serverActor) sendRelease(on *link, id isup.CallID) { sa.writeRelease(on, release{id: id}) }

func (sa *serverActor) writeRelease(on *link, r release) {
	if on == nil || !sa.pinSlot() {
		sa.dueReleases.add(r)
		sa.connect()
		return
	}
	if _, err := sa.send(on, isup.Message{Type: isup.Release, Call: r.id}.WithCause(isup.Normal)); err != nil {
		sa.dueReleases.add(r)
		sa.linkLost(on, err)
		return
	}
	on.addWrittenRelease(r)
	sa.scheduleCheck(on)
}

// sendDueReleases sends the kept releases on a new connection. It comes before any set-up, as a later attempt of the
// same call must not be released.
func (sa *serverActor) sendDueReleases() {
	for _, r := range append(sa.dueReleases.takeAll(), sa.unknownReleases.takeAll()...) {
		sa.writeRelease(sa.link, r)
	}
}

// resendReleases sends again what was written on a connection that has ended with err and may not have been received. A
// server that has closed it in order has read all but what crossed its close. A later attempt of the same call at this
// server must not be released.
func (sa *serverActor) resendReleases(ended *link, err error) {
	written := ended.writtenReleases
	ended.writtenReleases = nil
	for _, r := range written {
		received := errors.Is(err, io.EOF) && (ended.closing || time.Since(r.writtenAt) >= crossingTime)
		if ended.received {
			r.writes++
		}
		if !received && r.writes < maxReleaseWrites && sa.open[r.id] == nil {
			sa.writeRelease(sa.link, r)
		}
	}
}

// releaseUnknown releases a call that this agent does not know. Without a connection it waits for the next one.
func (sa *serverActor) releaseUnknown(id isup.CallID) {
	switch {
	case sa.link != nil:
		sa.sendRelease(sa.link, id)
	case !sa.finished.Load():
		sa.unknownReleases.add(release{id: id})
	}
}
