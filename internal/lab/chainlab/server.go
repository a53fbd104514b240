package chainlab

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woodrouter/isup"
)

// stateInterval is the time between a server's reports of its group's state, as of setup servers.
// muteStateInterval applies to servers that answer no calls, so that no agent takes their connection for
// a dead one.
const (
	stateInterval     = time.Second
	muteStateInterval = 50 * time.Millisecond
)

// idleReport is every server's load report: no calls wait and no line is in use, so agents never hold a
// call back because of it.
const idleReport = "x0:1000000;x1:1000000;latency_ms:0"

// setUpFigures are the figures in every set-up.
const setUpFigures = "width:1;via:-1"

// messageConn is a connection on which several goroutines can send messages.
type messageConn struct {
	net.Conn
	mu  sync.Mutex
	buf []byte
}

func (c *messageConn) send(m isup.Message) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	b, err := m.Append(c.buf[:0])
	if err != nil {
		return err
	}
	c.buf = b
	_, err = c.Write(b)
	return err
}

// readAll reads messages and passes them to handle until the connection ends.
func (c *messageConn) readAll(handle func(isup.Message)) {
	for in := bufio.NewReaderSize(c, 4<<10); ; {
		m, err := isup.Read(in)
		if err != nil {
			return
		}
		handle(m)
	}
}

// chainServer is an emulated setup server without work of its own. The last server of a chain answers a
// set-up at once. Every other server first places the call at the next server, and its answer tells the
// depth that the call reached and the time that it spent at and below this server.
type chainServer struct {
	listener net.Listener
	next     string // address to which calls continue; "": calls are answered here
	mute     bool   // set-ups are accepted but not answered

	openConns    atomic.Int64 // number of open connections
	setUps       atomic.Int64
	answeredHere atomic.Int64 // set-ups answered here, not further down the chain
	duplicates   atomic.Int64 // set-ups of a call that is already present
	refused      atomic.Int64 // calls that were refused further down the chain

	mu       sync.Mutex
	calls    map[isup.CallID]*serverCall
	conns    map[*messageConn]bool
	nextConn *messageConn
	// hopTimes holds the nanoseconds from placing a call to its answer, without the time at and below the
	// next server; nil while nothing is recorded.
	hopTimes *hdrhistogram.Histogram
	closed   chan struct{}
}

// serverCall is a call at a server, from its set-up to its release.
type serverCall struct {
	from       *messageConn
	receivedAt time.Time
	placedAt   time.Time
	answered   bool
}

// newChainServer starts a server that listens at addr.
func newChainServer(addr, next string, mute bool) (*chainServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	server := &chainServer{listener: ln, next: next, mute: mute, calls: map[isup.CallID]*serverCall{}, conns: map[*messageConn]bool{}, closed: make(chan struct{})}
	go server.accept()
	go server.reportState()
	return server, nil
}

func (s *chainServer) addr() string { return s.listener.Addr().String() }

func (s *chainServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // the connection ended before it was accepted
			continue
		}
		mc := &messageConn{Conn: conn}
		s.mu.Lock()
		s.conns[mc] = true
		s.mu.Unlock()
		s.openConns.Add(1)
		mc.send(stateMessage())
		go func() {
			mc.readAll(func(m isup.Message) { s.handle(mc, m) })
			mc.Close()
			s.mu.Lock()
			delete(s.conns, mc)
			s.mu.Unlock()
			s.openConns.Add(-1)
		}()
	}
}

func stateMessage() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, idleReport)
}

// reportState sends the group's state on every connection at regular intervals.
func (s *chainServer) reportState() {
	every := stateInterval
	if s.mute {
		every = muteStateInterval
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-s.closed:
			return
		case <-tick.C:
		}
		s.mu.Lock()
		var to []*messageConn
		for mc := range s.conns {
			to = append(to, mc)
		}
		s.mu.Unlock()
		for _, mc := range to {
			mc.send(stateMessage())
		}
	}
}

// handle handles a message from the agent or relay before this server, or from the previous server of a
// direct chain.
func (s *chainServer) handle(in *messageConn, m isup.Message) {
	switch m.Type {
	case isup.SetUp:
		s.setUp(in, m)
	case isup.Release:
		in.send(isup.Message{Type: isup.Released, Call: m.Call})
		s.mu.Lock()
		call := s.calls[m.Call]
		delete(s.calls, m.Call)
		out := s.nextConn
		s.mu.Unlock()
		if call != nil && out != nil {
			out.send(isup.Message{Type: isup.Release, Call: m.Call}.WithCause(isup.Normal))
		}
	case isup.Test:
		in.send(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, idleReport))
	}
}

func (s *chainServer) setUp(in *messageConn, m isup.Message) {
	call := &serverCall{from: in, receivedAt: time.Now()}
	s.setUps.Add(1)
	s.mu.Lock()
	if s.calls[m.Call] != nil {
		s.duplicates.Add(1)
	}
	s.calls[m.Call] = call
	call.answered = s.next == ""
	s.mu.Unlock()
	if s.mute {
		return
	}
	if s.next == "" {
		s.answeredHere.Add(1)
		in.send(answerMessage(m.Call, 1, call.receivedAt))
		return
	}
	out, err := s.connectNext()
	if err == nil {
		s.mu.Lock()
		call.placedAt = time.Now()
		s.mu.Unlock()
		err = out.send(setUpMessage(m.Call, m.Text(isup.Class), m.Text(isup.TimeLeft), m.Text(isup.Number), m.Text(isup.Description)))
	}
	if err != nil {
		s.refuse(in, m.Call)
	}
}

// setUpMessage returns a set-up.
func setUpMessage(id isup.CallID, class, left, number, description string) isup.Message {
	return isup.Message{Type: isup.SetUp, Call: id, Values: []isup.Value{{Code: isup.Class, Data: []byte(class)},
		{Code: isup.TimeLeft, Data: []byte(left)}, {Code: isup.Number, Data: []byte(number)},
		{Code: isup.Figures, Data: []byte(setUpFigures)}, {Code: isup.Description, Data: []byte(description)}}}
}

// answerMessage returns an answer that carries the call's depth and the time since the server received it.
func answerMessage(id isup.CallID, depth int, came time.Time) isup.Message {
	return isup.Message{Type: isup.Answer, Call: id}.WithText(isup.Description, fmt.Sprintf("%d;%d", depth, time.Since(came)))
}

// parseAnswer returns the depth that a call reached, and the time that it spent at and below the server
// that answered.
func parseAnswer(m isup.Message) (depth int, below time.Duration, err error) {
	d, ns, ok := strings.Cut(m.Text(isup.Description), ";")
	n, err := strconv.ParseInt(ns, 10, 64)
	if err == nil {
		depth, err = strconv.Atoi(d)
	}
	if err != nil || !ok {
		return 0, 0, fmt.Errorf("malformed description in the answer to call %v: %q", m.Call, m.Text(isup.Description))
	}
	return depth, time.Duration(n), nil
}

// connectNext returns the connection to the next hop, and opens it at the first call.
func (s *chainServer) connectNext() (*messageConn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.nextConn != nil {
		return s.nextConn, nil
	}
	conn, err := net.DialTimeout("tcp", s.next, time.Second)
	if err != nil {
		return nil, err
	}
	mc := &messageConn{Conn: conn}
	s.nextConn = mc
	go func() {
		mc.readAll(s.handleNext)
		mc.Close()
		s.mu.Lock()
		if s.nextConn == mc {
			s.nextConn = nil
		}
		s.mu.Unlock()
	}()
	return mc, nil
}

// handleNext handles a message from the next hop.
func (s *chainServer) handleNext(m isup.Message) {
	now := time.Now()
	if m.Type != isup.Answer && m.Type != isup.Release {
		return
	}
	depth, below, parseErr := 0, time.Duration(0), error(nil)
	if m.Type == isup.Answer {
		depth, below, parseErr = parseAnswer(m)
	}
	s.mu.Lock()
	call := s.calls[m.Call]
	known := call != nil && !call.answered
	if known && m.Type == isup.Answer && parseErr == nil {
		call.answered = true
		if s.hopTimes != nil {
			s.hopTimes.RecordValue(int64(now.Sub(call.placedAt) - below))
		}
	}
	s.mu.Unlock()
	switch {
	case !known:
	case m.Type == isup.Answer && parseErr == nil:
		call.from.send(answerMessage(m.Call, depth+1, call.receivedAt))
	default:
		s.refused.Add(1)
		s.refuse(call.from, m.Call)
	}
}

func (s *chainServer) refuse(in *messageConn, id isup.CallID) {
	s.mu.Lock()
	delete(s.calls, id)
	s.mu.Unlock()
	in.send(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.TempFailure))
}

// recordHops starts or stops recording hop times, and returns those recorded before.
func (s *chainServer) recordHops(on bool) *hdrhistogram.Histogram {
	s.mu.Lock()
	defer s.mu.Unlock()
	was := s.hopTimes
	s.hopTimes = nil
	if on {
		s.hopTimes = newHistogram()
	}
	return was
}

func (s *chainServer) close() {
	close(s.closed)
	s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for mc := range s.conns {
		mc.Close()
	}
	if s.nextConn != nil {
		s.nextConn.Close()
	}
}

// newHistogram returns a histogram of nanoseconds, from 1 µs to 20 s, with three significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1e3, 20e9, 3) }
