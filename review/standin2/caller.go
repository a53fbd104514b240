package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"woodrouter/isup"
)

// placedCall is a call that a caller placed.
type placedCall struct {
	sentAt, answeredAt, refusedAt, endedAt time.Time
	connLost                               bool // its connection ended before its answer
}

// caller is a stand-in for a gateway that places calls. It keeps one connection, and opens another when that ends.
type caller struct {
	w      *world
	name   string
	from   string // its own loopback address
	target string

	mu      sync.Mutex
	conn    net.Conn
	calls   map[isup.CallID]*placedCall
	foreign map[isup.CallID]time.Time // releases of calls that this caller never placed
	closed  bool
}

func (w *world) newCaller(name, from, target string) *caller {
	c := &caller{w: w, name: name, from: from, target: target, calls: map[isup.CallID]*placedCall{}, foreign: map[isup.CallID]time.Time{}}
	w.atEnd(c.close)
	return c
}

func (c *caller) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	if c.conn != nil {
		c.conn.Close()
	}
}

// connect opens the connection, if none is up.
func (c *caller) connect() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn != nil || c.closed {
		return nil
	}
	d := net.Dialer{Timeout: time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(c.from)}}
	conn, err := d.Dial("tcp", c.target)
	if err != nil {
		return err
	}
	c.conn = conn
	c.w.note(c.name, "connected from %s", conn.LocalAddr())
	go c.read(conn)
	return nil
}

// place sends a set-up. The caller's time starts with it.
func (c *caller) place(class, tenant string, dest int, waits time.Duration) (isup.CallID, error) {
	if err := c.connect(); err != nil {
		return 0, err
	}
	id := c.w.newID()
	m := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, class).WithMillis(isup.TimeLeft, waits).
		WithText(isup.Tenant, tenant).WithText(isup.Number, fmt.Sprintf("%016x", uint64(id)^0x5555)).
		WithText(isup.Figures, fmt.Sprintf("dest:%d;width:1;via:-1", dest)).WithText(isup.Description, "offer "+id.String())
	b, err := m.Append(nil)
	if err != nil {
		return 0, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return 0, net.ErrClosed
	}
	c.calls[id] = &placedCall{sentAt: time.Now()}
	c.w.note(c.name, "set-up %v of class %s, first choice %d", id, class, dest)
	_, err = c.conn.Write(b)
	return id, err
}

// placeAll places calls at even intervals, with the destinations in turn, until stop is closed.
func (c *caller) placeAll(interval time.Duration, class func(n int) string, tenant string, dests int, waits time.Duration, stop <-chan struct{}) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
			c.place(class(n), tenant, n%dests, waits)
		}
	}
}

func (c *caller) read(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		m, err := isup.Read(in)
		if err != nil {
			c.lost(conn, err)
			return
		}
		c.handle(conn, m)
	}
}

func (c *caller) lost(conn net.Conn, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.Close()
	if c.conn != conn {
		return
	}
	c.conn = nil
	if c.closed {
		return
	}
	c.w.note(c.name, "connection ended: %v", err)
	for _, p := range c.calls {
		if p.answeredAt.IsZero() && p.refusedAt.IsZero() {
			p.connLost = true
		}
	}
}

func (c *caller) handle(conn net.Conn, m isup.Message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.calls[m.Call]
	switch {
	case m.Type == isup.Answer && p != nil:
		p.answeredAt = time.Now()
		c.w.note(c.name, "call %v stands: %s", m.Call, m.Text(isup.Description))
	case m.Type == isup.Release:
		cause, _ := m.Cause()
		if p != nil {
			b, _ := isup.Message{Type: isup.Released, Call: m.Call}.Append(nil)
			conn.Write(b)
		}
		switch {
		case p == nil:
			c.foreign[m.Call] = time.Now()
			c.w.note(c.name, "release of %v, cause %d: this caller has no such call", m.Call, cause)
		case p.answeredAt.IsZero():
			p.refusedAt = time.Now()
			c.w.note(c.name, "call %v refused or failed, cause %d", m.Call, cause)
		case p.endedAt.IsZero():
			p.endedAt = time.Now()
			c.w.note(c.name, "call %v is over, cause %d", m.Call, cause)
		}
	}
}

// foreignReleases returns how many releases came of calls that this caller never placed.
func (c *caller) foreignReleases() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.foreign)
}

// call returns what became of a call; ok is false if this caller did not place it.
func (c *caller) call(id isup.CallID) (p placedCall, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.calls[id] == nil {
		return placedCall{}, false
	}
	return *c.calls[id], true
}

// snapshot returns all calls.
func (c *caller) snapshot() map[isup.CallID]placedCall {
	c.mu.Lock()
	defer c.mu.Unlock()
	all := map[isup.CallID]placedCall{}
	for id, p := range c.calls {
		all[id] = *p
	}
	return all
}
