package faultnet

import (
	"net"
	"os"
	"sync"
	"time"
)

// WrappedLink is the link between two processes where one end of it is in this process: what crosses
// the connections wrapped by it is delayed, held back while the link is cut, or reset. Unlike
// Link it needs no listener and no further descriptors, so that hundreds of processes with
// dozens of peers each fit. A cut link loses nothing for good: TCP sends again what did not
// arrive, so the bytes of either direction come once it is whole, unless it is reset first.
type WrappedLink struct {
	mu       sync.Mutex
	holdIn   bool // what comes to this process is held
	holdOut  bool // what leaves it is held
	delay    time.Duration
	changed  chan struct{} // closed at each change
	healedAt time.Time     // since when nothing is held
	conns    map[*wrappedConn]bool
}

// NewWrappedLink returns a link that passes everything at once.
func NewWrappedLink() *WrappedLink {
	return &WrappedLink{changed: make(chan struct{}), conns: map[*wrappedConn]bool{}}
}

// Cut holds back what comes in, what goes out, or both; false and false make the link whole.
func (g *WrappedLink) Cut(in, out bool) { g.change(func() { g.holdIn, g.holdOut = in, out }) }

// Delay has everything take this much longer, each way.
func (g *WrappedLink) Delay(d time.Duration) { g.change(func() { g.delay = d }) }

func (g *WrappedLink) change(do func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	wasCut := g.holdIn || g.holdOut
	do()
	if wasCut && !g.holdIn && !g.holdOut {
		g.healedAt = time.Now()
	}
	close(g.changed)
	g.changed = make(chan struct{})
}

// Reset ends the connections across the link with a TCP reset; new ones may follow.
func (g *WrappedLink) Reset() {
	g.mu.Lock()
	conns := g.conns
	g.conns = map[*wrappedConn]bool{}
	g.mu.Unlock()
	for c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
}

// HeldWithin tells whether something is held back, or was within the last d: what came then may have
// been sent long before.
func (g *WrappedLink) HeldWithin(d time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.holdIn || g.holdOut || !g.healedAt.IsZero() && time.Since(g.healedAt) < d
}

// Wrap leads a connection through the link. Its reader must be one goroutine; any may write.
func (g *WrappedLink) Wrap(c net.Conn) net.Conn {
	w := &wrappedConn{Conn: c, link: g, done: make(chan struct{})}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.conns[w] = true
	return w
}

// wrappedConn is a connection that crosses a Gate.
type wrappedConn struct {
	net.Conn
	link *WrappedLink
	once sync.Once
	done chan struct{}

	mu       sync.Mutex
	queue    []delayedWrite // written, and not let out yet, in order
	flushing bool           // a goroutine lets them out
}

type delayedWrite struct {
	data      []byte
	writtenAt time.Time // may leave then
}

// Close ends the connection; what is held on it is lost.
func (c *wrappedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	c.link.mu.Lock()
	delete(c.link.conns, c)
	c.link.mu.Unlock()
	return c.Conn.Close()
}

// Read returns what came once the link lets it through.
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

// Write sends at once on a whole link without delay. Otherwise it keeps a copy, which leaves in
// its order; the error of a copy that could not leave shows at the next read.
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

// flush lets the queue out until it is empty.
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
		if _, err := c.Conn.Write(p.data); err != nil {
			c.Close()
			return
		}
	}
}

// waitForLink waits until the link is whole in a direction and its delay since has passed.
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
