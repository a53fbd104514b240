package main

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"woodrouter/isup"
)

// setUpSeen is a set-up that has arrived whole at a setup server.
type setUpSeen struct {
	server string
	id     isup.CallID
	at     time.Time
}

// callEnd is the end of a call that stood.
type callEnd struct {
	server string
	id     isup.CallID
	at     time.Time // when the call ended
	sentAt time.Time // when the release was first written; zero: it could not be sent
	cut    bool      // the call agent released it
}

// serverCall is a set-up that is worked on, or the call that stands after it.
type serverCall struct {
	conn   *serverConn
	stands bool
	timer  *time.Timer
}

// serverConn is a connection from a call agent.
type serverConn struct {
	net.Conn
	write sync.Mutex
	lost  bool // what is sent on it is lost
}

// mute has all that is sent from now on be lost.
func (c *serverConn) mute() {
	c.write.Lock()
	defer c.write.Unlock()
	c.lost = true
}

// muted reports whether what is sent is lost.
func (c *serverConn) muted() bool {
	c.write.Lock()
	defer c.write.Unlock()
	return c.lost
}

func (c *serverConn) send(m isup.Message) error {
	b, err := m.Append(nil)
	if err != nil {
		return err
	}
	c.write.Lock()
	defer c.write.Unlock()
	if c.lost {
		return nil
	}
	c.SetWriteDeadline(time.Now().Add(time.Second))
	_, err = c.Write(b)
	return err
}

// setupServer is a stand-in for a setup server: it answers each set-up after a short time, and ends the call after its
// hold. What concerns a call goes to the connection of its set-up, else to any open one; its release also goes to the
// next connection that is opened.
type setupServer struct {
	w       *world
	name    string
	addr    string
	answer  time.Duration
	hold    func(class string) time.Duration
	figures string // of its processor, in the answer to a test: those that the settings name

	mu      sync.Mutex
	ln      net.Listener
	stopped bool
	conns   []*serverConn
	calls   map[isup.CallID]*serverCall
	repeat  []isup.Message // releases for the next connection
	setUps  []setUpSeen
	ends    []callEnd

	ranUnanswered []isup.CallID                                      // set-ups that ran and whose connection was reset before the answer
	onSetUp       func(id isup.CallID, c *serverConn) (handled bool) // called with mu held
}

// newServer starts a setup server on a listener, or on a free address if it is nil.
func (w *world) newServer(name string, ln net.Listener, hold func(class string) time.Duration) (*setupServer, error) {
	if ln == nil {
		var err error
		if ln, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
			return nil, err
		}
	}
	s := &setupServer{w: w, name: name, addr: ln.Addr().String(), answer: 30 * time.Millisecond, hold: hold, figures: ";latency_ms:1", ln: ln,
		calls: map[isup.CallID]*serverCall{}}
	w.note(name, "listens on %s", s.addr)
	w.atEnd(s.stop)
	go s.sendStates()
	return s, nil
}

// serve accepts connections for the server that current returns, until the listener is closed. A new server may take
// the place of an old one at its address.
func serve(ln net.Listener, current func() *setupServer) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		current().accept(conn)
	}
}

func (s *setupServer) accept(conn net.Conn) {
	c := &serverConn{Conn: conn}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		reset(conn)
		return
	}
	s.conns = append(s.conns, c)
	s.w.note(s.name, "connection from %s", conn.RemoteAddr())
	c.send(s.state())
	for _, m := range s.repeat {
		if c.send(m) == nil {
			s.w.note(s.name, "release of %v sent on the new connection", m.Call)
			s.released(m.Call)
		}
	}
	s.repeat = nil
	go s.read(c)
}

func (s *setupServer) state() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, s.report())
}

func (s *setupServer) report() string {
	standing := 0
	for _, c := range s.calls {
		if c.stands {
			standing++
		}
	}
	return fmt.Sprintf("x0:%d;x1:1000", 1000-standing)
}

// sendStates sends the group's state on all open connections each second.
func (s *setupServer) sendStates() {
	for range time.Tick(time.Second) {
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		for _, c := range s.conns {
			c.send(s.state())
		}
		s.mu.Unlock()
	}
}

func (s *setupServer) read(c *serverConn) {
	in := bufio.NewReader(c)
	for {
		m, err := isup.Read(in)
		if err != nil {
			s.closed(c, err)
			return
		}
		s.handle(c, m)
	}
}

// closed handles the end of a connection: the set-ups open on it are given up.
func (s *setupServer) closed(c *serverConn, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !slices.Contains(s.conns, c) {
		return
	}
	s.w.note(s.name, "connection ended: %v", err)
	s.dropLocked(c)
	c.Close()
}

func (s *setupServer) dropLocked(c *serverConn) {
	s.conns = slices.DeleteFunc(s.conns, func(o *serverConn) bool { return o == c })
	for id, call := range s.calls {
		if call.conn == c && !call.stands {
			call.timer.Stop()
			delete(s.calls, id)
			s.w.note(s.name, "set-up %v given up with its connection", id)
		}
	}
}

func (s *setupServer) handle(c *serverConn, m isup.Message) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Type {
	case isup.SetUp:
		s.setUps = append(s.setUps, setUpSeen{s.name, m.Call, time.Now()})
		s.w.note(s.name, "set-up %v of class %s, waits %s ms", m.Call, m.Text(isup.Class), m.Text(isup.TimeLeft))
		if s.onSetUp != nil && s.onSetUp(m.Call, c) {
			return
		}
		call := &serverCall{conn: c}
		s.calls[m.Call] = call
		hold := s.hold(m.Text(isup.Class))
		call.timer = time.AfterFunc(s.answer, func() { s.stand(m.Call, call, hold) })
	case isup.Release:
		call := s.calls[m.Call]
		s.w.note(s.name, "release of %v received (known: %v)", m.Call, call != nil)
		c.send(isup.Message{Type: isup.Released, Call: m.Call})
		if call == nil {
			return
		}
		call.timer.Stop()
		delete(s.calls, m.Call)
		if call.stands {
			s.ends = append(s.ends, callEnd{server: s.name, id: m.Call, at: time.Now(), cut: true})
		}
	case isup.Test:
		result := isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed)
		if cause, err := m.Cause(); err == nil && cause == isup.Passed {
			result = result.WithText(isup.Report, s.report()+s.figures)
		}
		c.send(result)
	}
}

// stand answers a set-up: its call stands, and ends by itself after its hold.
func (s *setupServer) stand(id isup.CallID, call *serverCall, hold time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.calls[id] != call {
		return
	}
	call.stands = true
	err := call.conn.send(isup.Message{Type: isup.Answer, Call: id}.WithText(isup.Description, "answer "+s.name+" "+id.String()))
	s.w.note(s.name, "answered %v (%v)", id, err)
	call.timer = time.AfterFunc(hold, func() { s.end(id, call) })
}

// end ends a call that has come to its end.
func (s *setupServer) end(id isup.CallID, call *serverCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped || s.calls[id] != call {
		return
	}
	delete(s.calls, id)
	release := isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal)
	s.ends = append(s.ends, callEnd{server: s.name, id: id, at: time.Now()})
	on := call.conn
	if !slices.Contains(s.conns, on) {
		on = nil
		if len(s.conns) > 0 {
			on = s.conns[len(s.conns)-1]
		}
	}
	switch {
	case on != nil && on.muted():
		s.w.note(s.name, "call %v has ended: its release is lost", id)
	case on != nil && on.send(release) == nil:
		s.w.note(s.name, "call %v has ended: released", id)
		s.released(id)
	default:
		s.w.note(s.name, "call %v has ended: no connection is open to release it on", id)
	}
	s.repeat = append(s.repeat, release)
}

// released records when the release of a call was first sent.
func (s *setupServer) released(id isup.CallID) {
	for i := range s.ends {
		if s.ends[i].id == id && s.ends[i].sentAt.IsZero() {
			s.ends[i].sentAt = time.Now()
		}
	}
}

// closeIdle closes the connections on which no set-up is open, in order.
func (s *setupServer) closeIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Clone(s.conns) {
		open := 0
		for _, call := range s.calls {
			if call.conn == c && !call.stands {
				open++
			}
		}
		if open == 0 {
			s.w.note(s.name, "closes an idle connection")
			s.dropLocked(c)
			c.Close()
		}
	}
}

// stop ends the server's process: its connections are reset, and its calls are cut without a word. The listener
// stays, for a server that takes its place.
func (s *setupServer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	s.stopped = true
	for id, call := range s.calls {
		call.timer.Stop()
		if call.stands {
			s.ends = append(s.ends, callEnd{server: s.name, id: id, at: time.Now()})
			s.w.note(s.name, "call %v is cut: the process ends", id)
		}
	}
	s.calls = map[isup.CallID]*serverCall{}
	for _, c := range s.conns {
		reset(c.Conn)
	}
	s.conns = nil
	s.w.note(s.name, "process ended")
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.Close()
}

func (s *setupServer) seen() []setUpSeen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.setUps)
}

func (s *setupServer) endsSeen() []callEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.ends)
}

// standing returns the ids of the calls that stand.
func (s *setupServer) standing() (ids []isup.CallID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, c := range s.calls {
		if c.stands {
			ids = append(ids, id)
		}
	}
	return ids
}
