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

// stateEvery is how often a peer tells the state of its group, as setup servers do; muteEvery how
// often one that answers nothing does, so that no agent takes its connection for a dead one.
const (
	stateInterval     = time.Second
	muteStateInterval = 50 * time.Millisecond
)

// idleReport is what a peer says of itself: nothing waits and no line is in use, so no agent ever
// holds a call back for it.
const idleReport = "x0:1000000;x1:1000000;latency_ms:0"

// setUpFigures go with every set-up that is placed.
const setUpFigures = "width:1;via:-1"

// messageConn is a connection that several goroutines write on.
type messageConn struct {
	net.Conn
	mu  sync.Mutex
	buf []byte
}

func (w *messageConn) send(m isup.Message) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, err := m.Append(w.buf[:0])
	if err != nil {
		return err
	}
	w.buf = b
	_, err = w.Write(b)
	return err
}

// readAll reads a connection until it ends.
func (w *messageConn) readAll(hear func(isup.Message)) {
	for in := bufio.NewReaderSize(w, 4<<10); ; {
		m, err := isup.Read(in)
		if err != nil {
			return
		}
		hear(m)
	}
}

// chainServer is a setup server without work of its own. The last of a chain answers a set-up at once;
// each before it places the call through the next one first, and its answer says how deep the
// call went below it and how long it was there.
type chainServer struct {
	listener net.Listener
	next     string // where calls go on; "": they are answered here
	mute     bool   // set-ups are taken and not answered

	openConns    atomic.Int64 // connections now
	setUps       atomic.Int64
	answeredHere atomic.Int64 // set-ups that were answered here
	duplicates   atomic.Int64 // set-ups of a call that is here already
	refused      atomic.Int64 // by the next agent

	mu       sync.Mutex
	calls    map[isup.CallID]*serverCall
	conns    map[*messageConn]bool
	nextConn *messageConn
	hopTimes *hdrhistogram.Histogram // ns from placing a call to its answer, without the time below; nil: not now
	closed   chan struct{}
}

// serverCall is a call at a peer, from its set-up to its release.
type serverCall struct {
	from       *messageConn
	receivedAt time.Time
	placedAt   time.Time
	answered   bool
}

// newChainServer listens at addr.
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

func (p *chainServer) addr() string { return p.listener.Addr().String() }

func (p *chainServer) accept() {
	for {
		conn, err := p.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a connection that was gone in the queue
			continue
		}
		w := &messageConn{Conn: conn}
		p.mu.Lock()
		p.conns[w] = true
		p.mu.Unlock()
		p.openConns.Add(1)
		w.send(stateMessage())
		go func() {
			w.readAll(func(m isup.Message) { p.handle(w, m) })
			w.Close()
			p.mu.Lock()
			delete(p.conns, w)
			p.mu.Unlock()
			p.openConns.Add(-1)
		}()
	}
}

func stateMessage() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, idleReport)
}

// reportState says the group's state on every connection, now and then.
func (p *chainServer) reportState() {
	every := stateInterval
	if p.mute {
		every = muteStateInterval
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-p.closed:
			return
		case <-tick.C:
		}
		p.mu.Lock()
		var to []*messageConn
		for w := range p.conns {
			to = append(to, w)
		}
		p.mu.Unlock()
		for _, w := range to {
			w.send(stateMessage())
		}
	}
}

// handle handles what the agent before the peer says, or in a chain without agents the peer before it.
func (p *chainServer) handle(in *messageConn, m isup.Message) {
	switch m.Type {
	case isup.SetUp:
		p.setUp(in, m)
	case isup.Release:
		in.send(isup.Message{Type: isup.Released, Call: m.Call})
		p.mu.Lock()
		call := p.calls[m.Call]
		delete(p.calls, m.Call)
		out := p.nextConn
		p.mu.Unlock()
		if call != nil && out != nil {
			out.send(isup.Message{Type: isup.Release, Call: m.Call}.WithCause(isup.Normal))
		}
	case isup.Test:
		in.send(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, idleReport))
	}
}

func (p *chainServer) setUp(in *messageConn, m isup.Message) {
	call := &serverCall{from: in, receivedAt: time.Now()}
	p.setUps.Add(1)
	p.mu.Lock()
	if p.calls[m.Call] != nil {
		p.duplicates.Add(1)
	}
	p.calls[m.Call] = call
	call.answered = p.next == ""
	p.mu.Unlock()
	if p.mute {
		return
	}
	if p.next == "" {
		p.answeredHere.Add(1)
		in.send(answerMessage(m.Call, 1, call.receivedAt))
		return
	}
	out, err := p.connectNext()
	if err == nil {
		p.mu.Lock()
		call.placedAt = time.Now()
		p.mu.Unlock()
		err = out.send(setUpMessage(m.Call, m.Text(isup.Class), m.Text(isup.TimeLeft), m.Text(isup.Number), m.Text(isup.Description)))
	}
	if err != nil {
		p.refuse(in, m.Call)
	}
}

// setUpMessage words a set-up.
func setUpMessage(id isup.CallID, class, left, number, description string) isup.Message {
	return isup.Message{Type: isup.SetUp, Call: id, Values: []isup.Value{{Code: isup.Class, Data: []byte(class)},
		{Code: isup.TimeLeft, Data: []byte(left)}, {Code: isup.Number, Data: []byte(number)},
		{Code: isup.Figures, Data: []byte(setUpFigures)}, {Code: isup.Description, Data: []byte(description)}}}
}

// answerMessage words an answer: the call went so deep, and was here since came.
func answerMessage(id isup.CallID, depth int, came time.Time) isup.Message {
	return isup.Message{Type: isup.Answer, Call: id}.WithText(isup.Description, fmt.Sprintf("%d;%d", depth, time.Since(came)))
}

// parseAnswer reads how deep a call went, and how long it was below the one hop that told of it.
func parseAnswer(m isup.Message) (depth int, below time.Duration, err error) {
	d, ns, ok := strings.Cut(m.Text(isup.Description), ";")
	n, err := strconv.ParseInt(ns, 10, 64)
	if err == nil {
		depth, err = strconv.Atoi(d)
	}
	if err != nil || !ok {
		return 0, 0, fmt.Errorf("answer of call %v says %q", m.Call, m.Text(isup.Description))
	}
	return depth, time.Duration(n), nil
}

// connectNext is the connection to what comes next, opened by the first call.
func (p *chainServer) connectNext() (*messageConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.nextConn != nil {
		return p.nextConn, nil
	}
	conn, err := net.DialTimeout("tcp", p.next, time.Second)
	if err != nil {
		return nil, err
	}
	w := &messageConn{Conn: conn}
	p.nextConn = w
	go func() {
		w.readAll(p.handleNext)
		w.Close()
		p.mu.Lock()
		if p.nextConn == w {
			p.nextConn = nil
		}
		p.mu.Unlock()
	}()
	return w, nil
}

// handleNext handles what comes back of calls that were placed.
func (p *chainServer) handleNext(m isup.Message) {
	now := time.Now()
	if m.Type != isup.Answer && m.Type != isup.Release {
		return
	}
	depth, below, parseErr := 0, time.Duration(0), error(nil)
	if m.Type == isup.Answer {
		depth, below, parseErr = parseAnswer(m)
	}
	p.mu.Lock()
	call := p.calls[m.Call]
	known := call != nil && !call.answered
	if known && m.Type == isup.Answer && parseErr == nil {
		call.answered = true
		if p.hopTimes != nil {
			p.hopTimes.RecordValue(int64(now.Sub(call.placedAt) - below))
		}
	}
	p.mu.Unlock()
	switch {
	case !known:
	case m.Type == isup.Answer && parseErr == nil:
		call.from.send(answerMessage(m.Call, depth+1, call.receivedAt))
	default:
		p.refused.Add(1)
		p.refuse(call.from, m.Call)
	}
}

func (p *chainServer) refuse(in *messageConn, id isup.CallID) {
	p.mu.Lock()
	delete(p.calls, id)
	p.mu.Unlock()
	in.send(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.TempFailure))
}

// recordHops begins to note hops, or ends it and returns those noted.
func (p *chainServer) recordHops(on bool) *hdrhistogram.Histogram {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.hopTimes
	p.hopTimes = nil
	if on {
		p.hopTimes = newHistogram()
	}
	return was
}

func (p *chainServer) close() {
	close(p.closed)
	p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := range p.conns {
		w.Close()
	}
	if p.nextConn != nil {
		p.nextConn.Close()
	}
}

// newHistogram counts nanoseconds, 1 µs to 20 s, to three figures.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1e3, 20e9, 3) }
