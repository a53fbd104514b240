package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"woodrouter/isup"
)

// Times of a setup server.
const (
	setUpTime  = 10 * time.Millisecond // from a set-up to its answer, unless set otherwise
	stateEvery = time.Second           // between two unasked states of the group
	repeatFor  = 8 * time.Second       // a release is repeated on the next connection within this time
	totalLines = 400
)

// setupServer is a sound setup server as one call agent reaches it. Its processor is idle, so that it answers
// every set-up at once.
type setupServer struct {
	name   string
	zone   string
	figure string // what it reports of its processor when it is tested
	group  int
	hold   time.Duration // length of a call
	delay  time.Duration // from a set-up to its answer
	record *recorder

	mu        sync.Mutex
	off       chan struct{} // the machine is cut off until it is closed; nil: it is not
	hole      *blackHole    // stands in for the listener meanwhile
	ln        net.Listener
	addr      string
	conns     map[*serverConn]bool
	calls     map[isup.CallID]*serverCall
	unsent    []ended // releases that no connection was open for
	lately    []ended // releases that were sent, for the next connection
	setUps    []arrival
	stood     map[isup.CallID]time.Time // calls that were answered
	over      map[isup.CallID]time.Time // when a call that stood ended or was released by the agent
	openedAt  time.Time                 // when the first connection was opened, since the end of a cut if there was one
	released  map[isup.CallID]ended     // the first time that the end of a call was written
	connCount int
}

// arrival is a set-up that has come whole.
type arrival struct {
	id isup.CallID
	at time.Time
}

// ended is a call that has ended, and when its release was written.
type ended struct {
	id isup.CallID
	at time.Time
}

type serverConn struct {
	net.Conn
	no   int
	held [][]byte // what was written while the machine was cut off
}

type serverCall struct {
	conn   *serverConn
	stands bool
}

func newSetupServer(name string, group int, hold time.Duration, record *recorder) (*setupServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &setupServer{name: name, zone: "campus", figure: "latency_ms:0.1", group: group, hold: hold, delay: setUpTime, record: record, ln: ln, addr: ln.Addr().String(),
		conns: map[*serverConn]bool{}, calls: map[isup.CallID]*serverCall{}, stood: map[isup.CallID]time.Time{},
		over: map[isup.CallID]time.Time{}, released: map[isup.CallID]ended{}}
	go s.accept(ln)
	return s, nil
}

// stop ends the server's process: its connections are reset, and its calls are cut.
func (s *setupServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ln.Close()
	for c := range s.conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			tcp.SetLinger(0)
		}
		c.Close()
	}
	clear(s.calls)
}

func (s *setupServer) accept(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.connCount++
		c := &serverConn{Conn: conn, no: s.connCount}
		if at := s.record.add("server %s: connection %d opened", s.name, c.no); s.openedAt.IsZero() {
			s.openedAt = at
		}
		s.send(c, s.state())
		s.conns[c] = true
		again := s.unsent
		for _, e := range s.lately {
			if time.Since(e.at) < repeatFor {
				again = append(again, e)
			}
		}
		s.unsent, s.lately = nil, nil
		for _, e := range again {
			s.writeEnd(c, e.id, false)
		}
		s.mu.Unlock()
		go s.sendStates(c)
		go s.read(c)
	}
}

func (s *setupServer) state() isup.Message {
	report := fmt.Sprintf("spare:%d;total:%d", totalLines-len(s.calls), totalLines)
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, report)
}

func (s *setupServer) sendStates(c *serverConn) {
	for {
		time.Sleep(stateEvery)
		s.mu.Lock()
		open := s.conns[c]
		if open {
			s.send(c, s.state())
		}
		s.mu.Unlock()
		if !open {
			return
		}
	}
}

// send writes a message and reports whether the connection took it.
func (s *setupServer) send(c *serverConn, m isup.Message) bool {
	b, err := m.Append(nil)
	if err != nil {
		return false
	}
	if s.off != nil {
		c.held = append(c.held, b)
		return true
	}
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = c.Write(b)
	return err == nil
}

func (s *setupServer) read(c *serverConn) {
	in := bufio.NewReader(c)
	for {
		m, err := isup.Read(in)
		s.awaitLink()
		if err != nil {
			break
		}
		s.handle(c, m)
	}
	c.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
	s.record.add("server %s: connection %d ended", s.name, c.no)
	for id, call := range s.calls {
		if call.conn == c && !call.stands { // given up with its connection
			delete(s.calls, id)
			s.record.add("server %s: set-up %v given up with its connection", s.name, id)
		}
	}
}

func (s *setupServer) handle(c *serverConn, m isup.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case isup.SetUp:
		at := s.record.add("server %s: set-up %v on connection %d", s.name, m.Call, c.no)
		s.setUps = append(s.setUps, arrival{m.Call, at})
		call := &serverCall{conn: c}
		s.calls[m.Call] = call
		time.AfterFunc(s.delay, func() { s.answer(m.Call, call) })
	case isup.Release:
		call := s.calls[m.Call]
		if call == nil {
			return
		}
		delete(s.calls, m.Call)
		if call.stands {
			s.over[m.Call] = s.record.add("server %s: call %v released by the agent", s.name, m.Call)
		} else {
			s.record.add("server %s: set-up %v given up by the agent", s.name, m.Call)
		}
		s.send(c, isup.Message{Type: isup.Released, Call: m.Call})
	case isup.Test:
		reply := isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed)
		if cause, err := m.Cause(); err == nil && cause == isup.Passed {
			reply = reply.WithText(isup.Report, fmt.Sprintf("spare:%d;total:%d;%s", totalLines-len(s.calls), totalLines, s.figure))
		}
		s.send(c, reply)
	}
}

// answer makes a call stand and plans its end.
func (s *setupServer) answer(id isup.CallID, call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[id] != call {
		return
	}
	call.stands = true
	s.stood[id] = s.record.add("server %s: call %v stands", s.name, id)
	s.send(call.conn, isup.Message{Type: isup.Answer, Call: id}.WithText(isup.Description, fmt.Sprintf("room of %v at %s", id, s.name)))
	time.AfterFunc(s.hold, func() { s.end(id, call) })
}

// awaitLink waits while the machine is cut off: nothing reaches it.
func (s *setupServer) awaitLink() {
	s.mu.Lock()
	off := s.off
	s.mu.Unlock()
	if off != nil {
		<-off
	}
}

// cutOff cuts the machine off: open connections stay open and silent, new ones never come up. Its process goes on.
func (s *setupServer) cutOff() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.add("server %s: cut off", s.name)
	s.off = make(chan struct{})
	s.ln.Close()
	hole, err := newBlackHole(s.addr)
	s.hole = hole
	return err
}

// restore ends the cut. What was written meanwhile arrives where the connection is still open.
func (s *setupServer) restore() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hole.close()
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.record.add("server %s: reached again", s.name)
	for c := range s.conns {
		for _, b := range c.held {
			c.SetWriteDeadline(time.Now().Add(time.Second))
			c.Write(b)
		}
		c.held = nil
	}
	s.ln, s.openedAt = ln, time.Time{}
	close(s.off)
	s.off = nil
	go s.accept(ln)
	return nil
}

// end ends a call at its time. The release goes on the connection of its set-up, else on any open one, else on the
// next, and it is repeated on the next one that is opened.
func (s *setupServer) end(id isup.CallID, call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls[id] != call {
		return
	}
	delete(s.calls, id)
	s.over[id] = time.Now()
	if s.conns[call.conn] && s.writeEnd(call.conn, id, true) {
		return
	}
	for c := range s.conns {
		if s.writeEnd(c, id, true) {
			return
		}
	}
	s.record.add("server %s: call %v has ended; no connection is open", s.name, id)
	s.unsent = append(s.unsent, ended{id, time.Now()})
}

// writeEnd writes the release of a call that is over.
func (s *setupServer) writeEnd(c *serverConn, id isup.CallID, repeat bool) bool {
	if !s.send(c, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal)) {
		return false
	}
	at := s.record.add("server %s: release of %v on connection %d", s.name, id, c.no)
	if _, before := s.released[id]; !before {
		s.released[id] = ended{id, at}
	}
	if repeat {
		s.lately = append(s.lately, ended{id, at})
	}
	return true
}
