package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/isup"
)

// lastCall numbers the calls of all gateways; every set-up has a new id.
var lastCall atomic.Uint64

func newCallID() isup.CallID {
	return isup.CallID(0x7f3a_0000_0000_0000 | lastCall.Add(1))
}

// gateway is a booking gateway: a caller on a machine of its own, which sets calls up over one connection at a time
// and reads what comes on it.
type gateway struct {
	name   string
	ip     net.IP // source address
	agent  string // address of the call agent
	record *recorder

	class, tenant string
	wait          time.Duration // how long it waits for an answer
	firstChoice   func(i int) int

	mu        sync.Mutex
	conn      net.Conn
	passed    bool      // the agent has passed a test on this connection
	since     time.Time // when the connection became usable
	lines     []span    // when it had a usable connection
	sent      map[isup.CallID]time.Time
	answered  map[isup.CallID]time.Time
	endedAt   map[isup.CallID]time.Time
	foreign   map[isup.CallID]time.Time // releases of calls that it never placed
	refused   int
	placing   bool
	stopping  bool
	goroutine sync.WaitGroup
}

// span is a time in which a gateway had one usable connection.
type span struct{ from, to time.Time }

func newGateway(name, ip, agent string, record *recorder) *gateway {
	return &gateway{name: name, ip: net.ParseIP(ip), agent: agent, record: record, placing: true, wait: 3 * time.Second,
		sent: map[isup.CallID]time.Time{}, answered: map[isup.CallID]time.Time{},
		endedAt: map[isup.CallID]time.Time{}, foreign: map[isup.CallID]time.Time{}, firstChoice: func(i int) int { return i % 2 }}
}

// run keeps a connection open and places a call each interval, until stop.
func (g *gateway) run(interval time.Duration) {
	g.goroutine.Go(func() {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for i := 0; ; i++ {
			<-ticker.C
			g.mu.Lock()
			conn, passed, placing, stopping := g.conn, g.passed, g.placing, g.stopping
			g.mu.Unlock()
			switch {
			case stopping:
				return
			case conn == nil:
				g.connect()
			case passed && placing:
				g.place(conn, i)
			}
		}
	})
}

// setPlacing says whether new calls are placed.
func (g *gateway) setPlacing(on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.placing = on
}

func (g *gateway) stop() {
	g.mu.Lock()
	g.stopping = true
	conn := g.conn
	g.mu.Unlock()
	g.goroutine.Wait()
	if conn != nil {
		conn.Close()
	}
}

// connect opens a connection and tests the agent on it, as the front does before it takes an agent in.
func (g *gateway) connect() {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: g.ip}, Timeout: time.Second}
	conn, err := d.Dial("tcp", g.agent)
	if err != nil {
		return
	}
	g.mu.Lock()
	g.conn, g.passed = conn, false
	g.mu.Unlock()
	g.record.add("gateway %s: connected from %v", g.name, conn.LocalAddr())
	go g.read(conn)
	g.write(conn, isup.Message{Type: isup.Test, Call: newCallID()}.WithCause(0))
}

func (g *gateway) write(conn net.Conn, m isup.Message) bool {
	b, err := m.Append(nil)
	if err != nil {
		return false
	}
	_, err = conn.Write(b)
	return err == nil
}

// place sends a set-up.
func (g *gateway) place(conn net.Conn, i int) {
	id := newCallID()
	g.mu.Lock()
	g.sent[id] = time.Now()
	g.mu.Unlock()
	m := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, g.class).WithMillis(isup.TimeLeft, g.wait).
		WithText(isup.Tenant, g.tenant).WithText(isup.Number, fmt.Sprintf("%016x", uint64(id)*2654435761)).
		WithText(isup.Figures, fmt.Sprintf("dest:%d;width:1;via:-1", g.firstChoice(i))).WithText(isup.Description, "offer of "+g.name)
	if g.write(conn, m) {
		g.record.add("gateway %s: set-up %v sent", g.name, id)
	}
}

func (g *gateway) read(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		m, err := isup.Read(in)
		if err != nil {
			g.record.add("gateway %s: connection ended: %v", g.name, err)
			break
		}
		g.handle(conn, m)
	}
	conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conn == conn {
		if g.passed {
			g.lines = append(g.lines, span{g.since, time.Now()})
		}
		g.conn, g.passed = nil, false
	}
}

func (g *gateway) handle(conn net.Conn, m isup.Message) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch m.Type {
	case isup.TestResult:
		if cause, err := m.Cause(); err == nil && cause == isup.Passed && g.conn == conn {
			g.passed, g.since = true, g.record.add("gateway %s: the agent takes calls", g.name)
		} else { // asked again on a new connection
			conn.Close()
		}
	case isup.Answer:
		g.answered[m.Call] = g.record.add("gateway %s: answer for %v", g.name, m.Call)
	case isup.Release:
		cause, _ := m.Cause()
		_, mine := g.sent[m.Call]
		_, answered := g.answered[m.Call]
		switch {
		case !mine:
			g.foreign[m.Call] = g.record.add("gateway %s: release of %v, which is no call of this gateway, cause %d", g.name, m.Call, cause)
		case answered:
			if _, before := g.endedAt[m.Call]; !before {
				g.endedAt[m.Call] = g.record.add("gateway %s: release of %v, which stood, cause %d", g.name, m.Call, cause)
			}
			g.write(conn, isup.Message{Type: isup.Released, Call: m.Call})
		default:
			g.refused++
			g.record.add("gateway %s: %v turned away, cause %d", g.name, m.Call, cause)
		}
	}
}

// connectedDuring reports whether one usable connection was open through the whole time.
func (g *gateway) connectedDuring(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	lines := g.lines
	if g.passed {
		lines = append(lines[:len(lines):len(lines)], span{g.since, time.Now()})
	}
	for _, l := range lines {
		if !l.from.After(from) && !l.to.Before(to) {
			return true
		}
	}
	return false
}
