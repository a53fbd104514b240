package trunk

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/policy"
)

// link is one connection to the server.
type link struct {
	conn         net.Conn
	openedAt     time.Time
	readDone     chan struct{} // closed once reading has ended
	lastReceived time.Time     // time of the latest message
	// received is set once a message has come. A server sends its group state first; for a hung server only
	// its kernel accepts the connection.
	received        bool
	unanswered      int         // number of set-ups sent on it and not yet answered
	unansweredSince time.Time   // since when there have been unanswered set-ups
	retired         bool        // replaced by another connection; closed after its last set-up
	retiredAt       time.Time   // when it was replaced
	closing         bool        // its sending side is closed
	falseAlarm      bool        // a message has come since it was replaced
	lastGroupState  time.Time   // when the server last sent its group state
	firstCheck      time.Time   // time of the first check
	nextCheck       time.Time   // time of the next check; zero: none is scheduled
	checkTimer      *time.Timer // fires at nextCheck
	writtenReleases []release   // releases that the server has not certainly received
}

// stalled reports whether the connection has had unanswered set-ups, and no message, for at least timeout.
func (l *link) stalled(timeout time.Duration) bool {
	return l.unanswered > 0 && time.Since(l.lastReceived) >= timeout && time.Since(l.unansweredSince) >= timeout
}

// countedConn is a connection that decrements a counter when it is closed.
type countedConn struct {
	net.Conn
	count *atomic.Int64
	once  sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection; the receiving side stays open.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// maxRetiredLinks limits the replaced connections to a server. With the one in use and one being dialled
// there are at most four.
const maxRetiredLinks = 2

// closeTimeout is how long the close of a retired connection waits for the server to close its side.
const closeTimeout = 500 * time.Millisecond

// linger closes a retired connection some time after its last answer. A server that sees the connection end
// before it knows that its answer has arrived considers the set-up given up, and cuts the call.
func (sa *serverActor) linger(l *link) {
	sa.afterOrClose(sa.cfg.Linger, l, func() { sa.closeRetired(l) })
}

// closeRetired ends the sending side of a retired connection. The end of a call may be on its way on it, so it is read
// until the server has closed its side.
func (sa *serverActor) closeRetired(l *link) {
	if !l.retired {
		return // it has ended meanwhile
	}
	l.closing = true
	conn, ok := l.conn.(*countedConn)
	if !ok || conn.CloseWrite() != nil {
		sa.dropRetired(l)
		return
	}
	sa.afterOrClose(closeTimeout, l, func() { sa.dropRetired(l) })
}

// dropRetired closes a retired connection whose server has not closed its side. Ends of calls may have been lost on it;
// the server repeats them on the next connection that is opened.
func (sa *serverActor) dropRetired(l *link) {
	if !l.retired {
		return // it has ended meanwhile
	}
	sa.discard(l)
	sa.resendReleases(l, errNotClosed)
	if sa.standsOn(l) {
		sa.lastExtraDial = time.Now()
		sa.dial()
	}
}

// standsOn reports whether a call stands that was set up on a connection.
func (sa *serverActor) standsOn(l *link) bool {
	for _, a := range sa.open {
		if a.stands && a.link == l {
			return true
		}
	}
	return false
}

// afterOrClose runs do on the actor after a delay, or closes the connection then if the actor has stopped.
func (sa *serverActor) afterOrClose(delay time.Duration, l *link, do func()) {
	time.AfterFunc(delay, func() {
		if !sa.mailbox.Post(do) {
			l.conn.Close()
		}
	})
}

// discard closes a connection and updates the count of retired connections.
func (sa *serverActor) discard(l *link) {
	if l.retired {
		l.retired = false
		delete(sa.retiredLinks, l)
	}
	if l.checkTimer != nil {
		l.checkTimer.Stop()
	}
	l.conn.Close()
}

// setUpDone decrements the number of unanswered set-ups of a connection.
func (sa *serverActor) setUpDone(l *link) {
	if l.unanswered--; l.unanswered == 0 && l.retired {
		sa.linger(l)
	}
}

// stallDelayFactor is how many times the usual delay an answer may take before its connection is presumed
// stalled: a server under load is slow on every connection.
const stallDelayFactor = 4

// maxStallTimeout limits the timeout that slow answers cause. The ends of calls come on the same connection,
// and those lost there are repeated on the next one. They must reach the callers within 1 s, however slow the
// answers are.
const maxStallTimeout = 600 * time.Millisecond

// maxQueuedTimeout limits the silence that a stated processor wait explains. The ends of calls that are lost
// on a silent connection must reach the callers within 1 s of the server's release, and a call that waits at
// the processor is not released yet.
const maxQueuedTimeout = 1200 * time.Millisecond

// stallTimeout returns how long a set-up may wait without a message on its connection. A server that has
// recently stated that its processor keeps messages waiting is slow on every connection: a second one would
// cost a handshake from each of its many senders and show nothing new.
func (sa *serverActor) stallTimeout() time.Duration {
	timeout := min(max(sa.cfg.StallTimeout, stallDelayFactor*sa.answerDelay), max(sa.cfg.StallTimeout, maxStallTimeout))
	if sa.statedWait > 0 && time.Since(sa.statedWaitAt) < timeout+sa.statedWait {
		timeout = max(timeout, min(sa.statedWait+timeout, maxQueuedTimeout))
	}
	return sa.cfg.adaptive.timeout(timeout)
}

// closeStalledLinks closes the retired connections on which nothing was received since they were replaced.
// The server has shown that it keeps no set-up waiting that long, so the set-ups on them are lost.
func (sa *serverActor) closeStalledLinks() {
	for _, a := range sa.open {
		if l := a.link; l.retired && l.lastReceived.Before(l.retiredAt) {
			sa.cfg.adaptive.recordStall()
			sa.linkLost(l, errStalled)
			sa.closeStalledLinks() // the open attempts have changed
			return
		}
	}
}

// checkLink checks whether the connection in use still works. On a new connection the server sends a message
// first, at once. Later, an answer may be lost with all that follows it on the connection, a machine that
// vanished leaves its connections open, and an idle server has nothing to send. A second connection shows
// which of these is the case, and replaces the first.
func (sa *serverActor) checkLink(l *link) {
	if sa.link != l {
		return
	}
	l.nextCheck = time.Time{}
	silent := time.Since(l.lastReceived)
	switch {
	case !l.received && silent >= sa.cfg.FirstMessageTimeout:
		sa.linkLost(l, errNoFirstMessage)
		sa.dialFailed(errNoFirstMessage)
		return
	case !l.received || len(sa.retiredLinks) >= maxRetiredLinks || time.Since(sa.lastExtraDial) < sa.cfg.RedialInterval:
	case l.stalled(sa.stallTimeout()), sa.watchesSilence(l) && silent >= sa.cfg.SilenceTimeout:
		sa.log.Info("setup server silent: trying a new connection", "for", silent, "out", l.unanswered)
		sa.lastExtraDial = time.Now()
		sa.dial()
	}
	sa.scheduleCheck(l)
}

// formerCallsPeriod is how long after its start an agent expects ends of calls of an earlier process from servers in
// service.
const formerCallsPeriod = time.Minute

// watchesSilence reports whether a connection is replaced after Config.SilenceTimeout without a message, because the end
// of a call may be lost on it. Calls of an earlier process are not known here. A draining server may hold some, and no
// set-up shows that its connection is lost. For a server in service the same holds while it gets no set-ups, but only
// one that sends its state regularly can be told from one that has nothing to say.
func (sa *serverActor) watchesSilence(l *link) bool {
	if len(sa.open)+len(l.writtenReleases) > 0 || sa.server.State == policy.Draining {
		return true
	}
	return sa.sendsStates && time.Since(sa.cfg.started) < formerCallsPeriod
}

// scheduleCheck schedules the next check of a connection for when it may find something, which is soon while
// a set-up is unanswered. With no set-up unanswered and no silence to watch there is nothing to check until the
// next set-up: an agent has many servers, and regular checks of all would be most of its work between calls.
// Checks are a quarter of Config.StallTimeout apart, counted from the first.
func (sa *serverActor) scheduleCheck(l *link) {
	now := time.Now()
	if l.firstCheck.IsZero() {
		l.firstCheck = now
	}
	wait := sa.cfg.SilenceTimeout
	switch {
	case l.unanswered > 0:
		wait = 0
	case !l.received && len(sa.open) > 0:
		wait = min(sa.cfg.FirstMessageTimeout, wait)
	case !l.received:
		wait = sa.cfg.FirstMessageTimeout
	case !sa.watchesSilence(l):
		return
	}
	step, elapsed := max(sa.cfg.StallTimeout/4, 1), now.Sub(l.firstCheck)
	dueAfter := max(l.lastReceived.Add(wait).Sub(l.firstCheck), elapsed)
	if dueAfter = (dueAfter + step - 1) / step * step; dueAfter == elapsed {
		dueAfter += step
	}
	due := l.firstCheck.Add(dueAfter)
	if !l.nextCheck.IsZero() && !l.nextCheck.After(due) {
		return
	}
	l.nextCheck = due
	if l.checkTimer == nil {
		l.checkTimer = time.AfterFunc(dueAfter-elapsed, func() { sa.post(func() { sa.checkLink(l) }) })
		return
	}
	l.checkTimer.Reset(dueAfter - elapsed)
}
