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
	conn    net.Conn
	read    chan struct{} // closed once nothing more is read of it
	heard   time.Time     // latest message
	spoke   bool          // a server tells of its group first; one that hangs is connected to by its kernel alone
	out     int           // set-ups unanswered on it
	since   time.Time     // when they began to be any
	retired bool          // another has taken its place; it ends with its last set-up
	left    time.Time     // when it was retired
	late    bool          // it has spoken since
	stated  time.Time     // when its server last told the group's state on it
	first   time.Time     // when it was looked at first
	look    time.Time     // when it will be next; zero: no look is due
	timer   *time.Timer   // of that
}

// stalled tells whether set-ups have waited on a connection for so long without a word on it.
func (l *link) stalled(span time.Duration) bool {
	return l.out > 0 && time.Since(l.heard) >= span && time.Since(l.since) >= span
}

// counted is a connection that is counted off when it is closed.
type counted struct {
	net.Conn
	of   *atomic.Int64
	once sync.Once
}

func (c *counted) Close() error {
	c.once.Do(func() { c.of.Add(-1) })
	return c.Conn.Close()
}

// CloseWrite ends what goes out and leaves what comes in.
func (c *counted) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return errors.ErrUnsupported
}

// mostRetired bounds the connections to a server: with the one in use and the one on its way
// there are four at most.
const mostRetired = 2

// linger closes a retired connection a while after its last answer: to a server that sees the
// end before it knows that its answer has arrived, the set-up is given up, and it cuts the call.
func (t *trunk) linger(l *link) {
	time.AfterFunc(t.cfg.Linger, func() {
		if !t.box.Post(func() { t.discard(l) }) { // the actor has stopped meanwhile
			l.conn.Close()
		}
	})
}

// discard closes a connection, and counts a retired one off.
func (t *trunk) discard(l *link) {
	if l.retired {
		l.retired = false
		t.retired--
	}
	if l.timer != nil {
		l.timer.Stop()
	}
	l.conn.Close()
}

// settled counts a set-up off its connection.
func (t *trunk) settled(l *link) {
	if l.out--; l.out == 0 && l.retired {
		t.linger(l)
	}
}

// stallDelays is how many times its usual delay an answer may take before its connection is
// doubted: a server under load is slow on every connection.
const stallDelays = 4

// stallMost bounds the doubt: the ends of calls come by a connection too, and those that it
// swallowed are said on the next. They are owed to the callers within 1 s, however slow the
// answers are.
const stallMost = 600 * time.Millisecond

// queuedMost bounds the silence that a stated queue explains. The ends of calls that a
// silent connection swallowed are owed within 1 s of the server's release; one that waits
// at the processor is not yet released.
const queuedMost = 1200 * time.Millisecond

// stall is how long a set-up may wait without a word on its connection. A server that said
// lately that its processor keeps messages waiting is slow on every connection: a second
// one would cost a handshake of each of the many senders and show nothing new.
func (t *trunk) stall() time.Duration {
	span := min(max(t.cfg.Stall, stallDelays*t.delay), max(t.cfg.Stall, stallMost))
	if t.queued > 0 && time.Since(t.queuedAt) < span+t.queued {
		span = max(span, min(t.queued+span, queuedMost))
	}
	return t.cfg.doubts.after(span)
}

// overtaken ends the retired connections on which nothing was heard since: the server has
// shown that it keeps no set-up waiting for so long, so what is out on them is lost.
func (t *trunk) overtaken() {
	for _, a := range t.open {
		if l := a.link; l.retired && l.heard.Before(l.left) {
			t.cfg.doubts.right()
			t.lost(l, errStalled)
			t.overtaken() // what was open has changed
			return
		}
	}
}

// listen looks whether the connection in use still serves. A server speaks first on a new
// one, at once. Later, an answer may be lost with all that would follow it on its connection,
// a machine that vanished leaves its connections open, and a quiet one has nothing to say: a
// second connection tells these apart, and takes over.
func (t *trunk) listen(l *link) {
	if t.link != l {
		return
	}
	l.look = time.Time{}
	silent := time.Since(l.heard)
	switch {
	case !l.spoke && silent >= t.cfg.Speak:
		t.lost(l, errMute)
		t.unreached(errMute)
		return
	case !l.spoke || t.retired >= mostRetired || time.Since(t.tried) < t.cfg.Redial:
	case l.stalled(t.stall()), len(t.open) > 0 && silent >= t.cfg.Silence:
		t.log.Info("setup server silent: trying a new connection", "for", silent, "out", l.out)
		t.tried = time.Now()
		t.dial()
	}
	t.watch(l)
}

// watch has the connection looked at when a look may next show something, which is soon while a set-up
// is out on it. Nothing out, nothing standing: nothing to look for, until a set-up is written. An agent
// has many servers, and looks at them all would be most of what it does between calls. Wherever one
// is due, looks are a quarter of Stall apart, counted from the first.
func (t *trunk) watch(l *link) {
	now := time.Now()
	if l.first.IsZero() {
		l.first = now
	}
	wait := t.cfg.Silence
	switch {
	case l.out > 0:
		wait = 0
	case !l.spoke && len(t.open) > 0:
		wait = min(t.cfg.Speak, wait)
	case !l.spoke:
		wait = t.cfg.Speak
	case len(t.open) == 0:
		return
	}
	step, since := max(t.cfg.Stall/4, 1), now.Sub(l.first)
	at := max(l.heard.Add(wait).Sub(l.first), since)
	if at = (at + step - 1) / step * step; at == since {
		at += step
	}
	due := l.first.Add(at)
	if !l.look.IsZero() && !l.look.After(due) {
		return
	}
	l.look = due
	if l.timer == nil {
		l.timer = time.AfterFunc(at-since, func() { t.post(func() { t.listen(l) }) })
		return
	}
	l.timer.Reset(at - since)
}
