package faultnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// WrappedLink is a link between this process and another. It wraps this process's connections: their
// data is delayed, held back while the link is cut, or lost when the link is reset. Unlike Link it needs
// no listener and no additional descriptors, so hundreds of processes with dozens of peers each fit on
// one machine. A cut loses no data: as TCP retransmits, the bytes of both directions arrive when the
// link heals, unless it is reset first.
type WrappedLink struct {
	mu       sync.Mutex
	holdIn   bool          // data to this process is held back
	holdOut  bool          // data from this process is held back
	delay    time.Duration // added in each direction
	split    bool          // data from this process is sent in pieces
	changed  chan struct{} // closed and replaced at each change
	healedAt time.Time     // when the last cut ended
	conns    map[*wrappedConn]bool
}

// NewWrappedLink returns a link without faults.
func NewWrappedLink() *WrappedLink {
	return &WrappedLink{changed: make(chan struct{}), conns: map[*wrappedConn]bool{}}
}

// Cut holds back incoming data, outgoing data or both. Cut(false, false) heals the link.
func (l *WrappedLink) Cut(in, out bool) { l.change(func() { l.holdIn, l.holdOut = in, out }) }

// Delay sets the delay that is added in each direction.
func (l *WrappedLink) Delay(d time.Duration) { l.change(func() { l.delay = d }) }

// Split makes data from this process arrive in pieces, if the link has a delay.
func (l *WrappedLink) Split(on bool) { l.change(func() { l.split = on }) }

// Splits reports whether data from this process arrives in pieces, and so later than the link's delay.
func (l *WrappedLink) Splits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.split
}

// pieceBytes is the size of the pieces on a link that splits data, and pieceGap the time between them.
const (
	pieceBytes = 7
	pieceGap   = 2 * time.Millisecond
)

func (l *WrappedLink) change(do func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	wasCut := l.holdIn || l.holdOut
	do()
	if wasCut && !l.holdIn && !l.holdOut {
		l.healedAt = time.Now()
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// Reset closes the link's connections with a TCP reset. New ones may be opened.
func (l *WrappedLink) Reset() {
	l.mu.Lock()
	conns := l.conns
	l.conns = map[*wrappedConn]bool{}
	l.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// HeldWithin reports whether data is held back now or was within the last d. Data that arrived in that
// time may have been sent long before.
func (l *WrappedLink) HeldWithin(d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.holdIn || l.holdOut || !l.healedAt.IsZero() && time.Since(l.healedAt) < d
}

// Wrap returns c with the link's faults applied. One goroutine may read from it, any number may write.
func (l *WrappedLink) Wrap(c net.Conn) net.Conn {
	w := &wrappedConn{Conn: c, link: l, done: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[w] = true
	return w
}

// wrappedConn is a connection over a WrappedLink.
type wrappedConn struct {
	net.Conn
	link *WrappedLink
	once sync.Once
	done chan struct{} // closed by Close

	mu       sync.Mutex
	queue    []delayedWrite // writes that have not been sent yet, oldest first
	flushing bool           // a goroutine is sending the queue
}

// delayedWrite is a copy of data passed to Write, kept until the link lets it through.
type delayedWrite struct {
	data      []byte
	writtenAt time.Time // the link's delay counts from here
}

// Close closes the connection. Data that is still held back on it is lost.
// Reset closes the connection as the end of its process does.
func (c *wrappedConn) Reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

func (c *wrappedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// Read returns received data once the link lets it through.
func (c *wrappedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	if werr := c.waitForLink(func(g *WrappedLink) (bool, time.Duration) { return g.holdIn, g.delay }, time.Now()); werr != nil {
		return 0, werr
	}
	return n, err
}

// Write sends at once if the link has no fault and no delay. Otherwise it queues a copy, and copies are
// sent in order. If sending one fails, the connection is closed and the next read returns the error.
func (c *wrappedConn) Write(b []byte) (int, error) {
	c.link.mu.Lock()
	held, delay := c.link.holdOut, c.link.delay
	c.link.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !held && delay == 0 && !c.flushing {
		return c.Conn.Write(b)
	}
	c.queue = append(c.queue, delayedWrite{append([]byte(nil), b...), time.Now()})
	if !c.flushing {
		c.flushing = true
		go c.flush()
	}
	return len(b), nil
}

// flush sends the queued writes until the queue is empty.
func (c *wrappedConn) flush() {
	for {
		c.mu.Lock()
		if len(c.queue) == 0 {
			c.flushing = false
			c.mu.Unlock()
			return
		}
		p := c.queue[0]
		c.queue = c.queue[1:]
		c.mu.Unlock()
		if c.waitForLink(func(g *WrappedLink) (bool, time.Duration) { return g.holdOut, g.delay }, p.writtenAt) != nil {
			return
		}
		if err := c.writePieces(p.data); err != nil {
			c.Close()
			return
		}
	}
}

// writePieces writes data to the connection, in pieces if the link splits it.
func (c *wrappedConn) writePieces(data []byte) error {
	c.link.mu.Lock()
	split := c.link.split
	c.link.mu.Unlock()
	for split && len(data) > pieceBytes {
		if _, err := c.Conn.Write(data[:pieceBytes]); err != nil {
			return err
		}
		data = data[pieceBytes:]
		time.Sleep(pieceGap)
	}
	_, err := c.Conn.Write(data)
	return err
}

// waitForLink waits until the link is not cut in one direction and its delay has passed since the given
// time. state returns that direction's fault and the delay.
func (c *wrappedConn) waitForLink(state func(*WrappedLink) (held bool, delay time.Duration), since time.Time) error {
	for {
		c.link.mu.Lock()
		held, delay := state(c.link)
		changed := c.link.changed
		c.link.mu.Unlock()
		if !held && time.Since(since) >= delay {
			return nil
		}
		var delayPassed <-chan time.Time
		if !held {
			delayPassed = time.After(time.Until(since.Add(delay)))
		}
		select {
		case <-c.done:
			return os.ErrClosed
		case <-changed:
		case <-delayPassed:
		}
	}
}
