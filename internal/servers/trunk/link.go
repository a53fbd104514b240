package trunk

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// link is one connection to the server.
type link struct {
	conn            net.Conn
	readDone        chan struct{} // closed once nothing more is read of it
	lastReceived    time.Time     // latest message
	received        bool          // a server tells of its group first; one that hangs is connected to by its kernel alone
	unanswered      int           // set-ups unanswered on it
	unansweredSince time.Time     // when they began to be any
	retired         bool          // another has taken its place; it ends with its last set-up
	retiredAt       time.Time     // when it was retired
	falseAlarm      bool          // it has spoken since
	lastGroupState  time.Time     // when its server last told the group's state on it
	firstCheck      time.Time     // when it was looked at first
	nextCheck       time.Time     // when it will be next; zero: no look is due
	checkTimer      *time.Timer   // of that
}

// stalled tells whether set-ups have waited on a connection for so long without a word on it.
func (l *link) stalled(timeout time.Duration) bool {
	return l.unanswered > 0 && time.Since(l.lastReceived) >= timeout && time.Since(l.unansweredSince) >= timeout
}

// countedConn is a connection that is counted off when it is closed.
type countedConn struct {
	net.Conn
	count *atomic.Int64
	once  sync.Once
}

func (c *countedConn) Close() error {
	c.once.Do(func() { c.count.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite ends what goes out and leaves what comes in.
func (c *countedConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// maxRetiredLinks bounds the connections to a server: with the one in use and the one on its way
// there are four at most.
const maxRetiredLinks = 2

// linger closes a retired connection a while after its last answer: to a server that sees the
// end before it knows that its answer has arrived, the set-up is given up, and it cuts the call.
func (sa *serverActor) linger(l *link) {
	time.AfterFunc(sa.cfg.Linger, func() {
		if !sa.mailbox.Post(func() { sa.discard(l) }) { // the actor has stopped meanwhile
			l.conn.Close()
		}
	})
}

// discard closes a connection, and counts a retired one off.
func (sa *serverActor) discard(l *link) {
	if l.retired {
		l.retired = false
		sa.retiredLinks--
	}
	if l.checkTimer != nil {
		l.checkTimer.Stop()
	}
	l.conn.Close()
}

// setUpDone counts a set-up off its connection.
func (sa *serverActor) setUpDone(l *link) {
	if l.unanswered--; l.unanswered == 0 && l.retired {
		sa.linger(l)
	}
}

// stallDelayFactor is how many times its usual delay an answer may take before its connection is
// doubted: a server under load is slow on every connection.
const stallDelayFactor = 4

// maxStallTimeout bounds the doubt: the ends of calls come by a connection too, and those that it
// swallowed are said on the next. They are owed to the callers within 1 s, however slow the
// answers are.
const maxStallTimeout = 600 * time.Millisecond

// maxQueuedTimeout bounds the silence that a stated queue explains. The ends of calls that a
// silent connection swallowed are owed within 1 s of the server's release; one that waits
// at the processor is not yet released.
const maxQueuedTimeout = 1200 * time.Millisecond

// stallTimeout is how long a set-up may wait without a word on its connection. A server that said
// lately that its processor keeps messages waiting is slow on every connection: a second
// one would cost a handshake of each of the many senders and show nothing new.
func (sa *serverActor) stallTimeout() time.Duration {
	timeout := min(max(sa.cfg.StallTimeout, stallDelayFactor*sa.answerDelay), max(sa.cfg.StallTimeout, maxStallTimeout))
	if sa.statedWait > 0 && time.Since(sa.statedWaitAt) < timeout+sa.statedWait {
		timeout = max(timeout, min(sa.statedWait+timeout, maxQueuedTimeout))
	}
	return sa.cfg.adaptive.timeout(timeout)
}

// closeStalledLinks ends the retired connections on which nothing was heard since: the server has
// shown that it keeps no set-up waiting for so long, so what is out on them is lost.
func (sa *serverActor) closeStalledLinks() {
	for _, a := range sa.open {
		if l := a.link; l.retired && l.lastReceived.Before(l.retiredAt) {
			sa.cfg.adaptive.recordStall()
			sa.linkLost(l, errStalled)
			sa.closeStalledLinks() // what was open has changed
			return
		}
	}
}

// checkLink looks whether the connection in use still serves. A server speaks first on a new
// one, at once. Later, an answer may be lost with all that would follow it on its connection,
// a machine that vanished leaves its connections open, and a quiet one has nothing to say: a
// second connection tells these apart, and takes over.
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
	case !l.received || sa.retiredLinks >= maxRetiredLinks || time.Since(sa.lastExtraDial) < sa.cfg.RedialInterval:
	case l.stalled(sa.stallTimeout()), len(sa.open) > 0 && silent >= sa.cfg.SilenceTimeout:
		sa.log.Info("setup server silent: trying a new connection", "for", silent, "out", l.unanswered)
		sa.lastExtraDial = time.Now()
		sa.dial()
	}
	sa.scheduleCheck(l)
}

// scheduleCheck has the connection looked at when a look may next show something, which is soon while a set-up
// is out on it. Nothing out, nothing standing: nothing to look for, until a set-up is written. An agent
// has many servers, and looks at them all would be most of what it does between calls. Wherever one
// is due, looks are a quarter of Stall apart, counted from the first.
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
	case len(sa.open) == 0:
		return
	}
	step, since := max(sa.cfg.StallTimeout/4, 1), now.Sub(l.firstCheck)
	dueAfter := max(l.lastReceived.Add(wait).Sub(l.firstCheck), since)
	if dueAfter = (dueAfter + step - 1) / step * step; dueAfter == since {
		dueAfter += step
	}
	due := l.firstCheck.Add(dueAfter)
	if !l.nextCheck.IsZero() && !l.nextCheck.After(due) {
		return
	}
	l.nextCheck = due
	if l.checkTimer == nil {
		l.checkTimer = time.AfterFunc(dueAfter-since, func() { sa.post(func() { sa.checkLink(l) }) })
		return
	}
	l.checkTimer.Reset(dueAfter - since)
}
