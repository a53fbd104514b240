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
	stateEvery = time.Second
	muteEvery  = 50 * time.Millisecond
)

// lines is what a peer says of itself: nothing waits and no line is in use, so no agent ever
// holds a call back for it.
const lines = "x0:1000000;x1:1000000;latency_ms:0"

// figures go with every set-up that is placed.
const figures = "width:1;via:-1"

// wire is a connection that several goroutines write on.
type wire struct {
	net.Conn
	mu  sync.Mutex
	buf []byte
}

func (w *wire) say(m isup.Message) error {
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

// each reads a connection until it ends.
func (w *wire) each(hear func(isup.Message)) {
	for in := bufio.NewReaderSize(w, 4<<10); ; {
		m, err := isup.Read(in)
		if err != nil {
			return
		}
		hear(m)
	}
}

// peer is a setup server without work of its own. The last of a chain answers a set-up at once;
// each before it places the call through the next one first, and its answer says how deep the
// call went below it and how long it was there.
type peer struct {
	ln   net.Listener
	next string // where calls go on; "": they are answered here
	mute bool   // set-ups are taken and not answered

	open    atomic.Int64 // connections now
	setUps  atomic.Int64
	last    atomic.Int64 // set-ups that were answered here
	twice   atomic.Int64 // set-ups of a call that is here already
	refused atomic.Int64 // by the next agent

	mu    sync.Mutex
	calls map[isup.CallID]*leg
	conns map[*wire]bool
	out   *wire
	hops  *hdrhistogram.Histogram // ns from placing a call to its answer, without the time below; nil: not now
	shut  chan struct{}
}

// leg is a call at a peer, from its set-up to its release.
type leg struct {
	in       *wire
	came     time.Time
	placed   time.Time
	answered bool
}

// newPeer listens at addr.
func newPeer(addr, next string, mute bool) (*peer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &peer{ln: ln, next: next, mute: mute, calls: map[isup.CallID]*leg{}, conns: map[*wire]bool{}, shut: make(chan struct{})}
	go p.accept()
	go p.tell()
	return p, nil
}

func (p *peer) addr() string { return p.ln.Addr().String() }

func (p *peer) accept() {
	for {
		conn, err := p.ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // a connection that was gone in the queue
			continue
		}
		w := &wire{Conn: conn}
		p.mu.Lock()
		p.conns[w] = true
		p.mu.Unlock()
		p.open.Add(1)
		w.say(state())
		go func() {
			w.each(func(m isup.Message) { p.take(w, m) })
			w.Close()
			p.mu.Lock()
			delete(p.conns, w)
			p.mu.Unlock()
			p.open.Add(-1)
		}()
	}
}

func state() isup.Message {
	return isup.Message{Type: isup.GroupState}.WithText(isup.Report, lines)
}

// tell says the group's state on every connection, now and then.
func (p *peer) tell() {
	every := stateEvery
	if p.mute {
		every = muteEvery
	}
	tick := time.NewTicker(every)
	defer tick.Stop()
	for {
		select {
		case <-p.shut:
			return
		case <-tick.C:
		}
		p.mu.Lock()
		var to []*wire
		for w := range p.conns {
			to = append(to, w)
		}
		p.mu.Unlock()
		for _, w := range to {
			w.say(state())
		}
	}
}

// take handles what the agent before the peer says, or in a chain without agents the peer before it.
func (p *peer) take(in *wire, m isup.Message) {
	switch m.Type {
	case isup.SetUp:
		p.setUp(in, m)
	case isup.Release:
		in.say(isup.Message{Type: isup.Released, Call: m.Call})
		p.mu.Lock()
		l := p.calls[m.Call]
		delete(p.calls, m.Call)
		out := p.out
		p.mu.Unlock()
		if l != nil && out != nil {
			out.say(isup.Message{Type: isup.Release, Call: m.Call}.WithCause(isup.Normal))
		}
	case isup.Test:
		in.say(isup.Message{Type: isup.TestResult, Call: m.Call}.WithCause(isup.Passed).WithText(isup.Report, lines))
	}
}

func (p *peer) setUp(in *wire, m isup.Message) {
	l := &leg{in: in, came: time.Now()}
	p.setUps.Add(1)
	p.mu.Lock()
	if p.calls[m.Call] != nil {
		p.twice.Add(1)
	}
	p.calls[m.Call] = l
	l.answered = p.next == ""
	p.mu.Unlock()
	if p.mute {
		return
	}
	if p.next == "" {
		p.last.Add(1)
		in.say(answer(m.Call, 1, l.came))
		return
	}
	out, err := p.through()
	if err == nil {
		p.mu.Lock()
		l.placed = time.Now()
		p.mu.Unlock()
		err = out.say(setUpMessage(m.Call, m.Text(isup.Class), m.Text(isup.TimeLeft), m.Text(isup.Number), m.Text(isup.Description)))
	}
	if err != nil {
		p.refuse(in, m.Call)
	}
}

// setUpMessage words a set-up.
func setUpMessage(id isup.CallID, class, left, number, description string) isup.Message {
	return isup.Message{Type: isup.SetUp, Call: id, Values: []isup.Value{{Code: isup.Class, Data: []byte(class)},
		{Code: isup.TimeLeft, Data: []byte(left)}, {Code: isup.Number, Data: []byte(number)},
		{Code: isup.Figures, Data: []byte(figures)}, {Code: isup.Description, Data: []byte(description)}}}
}

// answer words an answer: the call went so deep, and was here since came.
func answer(id isup.CallID, depth int, came time.Time) isup.Message {
	return isup.Message{Type: isup.Answer, Call: id}.WithText(isup.Description, fmt.Sprintf("%d;%d", depth, time.Since(came)))
}

// readAnswer reads how deep a call went, and how long it was below the one hop that told of it.
func readAnswer(m isup.Message) (depth int, below time.Duration, err error) {
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

// through is the connection to what comes next, opened by the first call.
func (p *peer) through() (*wire, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out != nil {
		return p.out, nil
	}
	conn, err := net.DialTimeout("tcp", p.next, time.Second)
	if err != nil {
		return nil, err
	}
	w := &wire{Conn: conn}
	p.out = w
	go func() {
		w.each(p.hear)
		w.Close()
		p.mu.Lock()
		if p.out == w {
			p.out = nil
		}
		p.mu.Unlock()
	}()
	return w, nil
}

// hear handles what comes back of calls that were placed.
func (p *peer) hear(m isup.Message) {
	now := time.Now()
	if m.Type != isup.Answer && m.Type != isup.Release {
		return
	}
	depth, below, bad := 0, time.Duration(0), error(nil)
	if m.Type == isup.Answer {
		depth, below, bad = readAnswer(m)
	}
	p.mu.Lock()
	l := p.calls[m.Call]
	known := l != nil && !l.answered
	if known && m.Type == isup.Answer && bad == nil {
		l.answered = true
		if p.hops != nil {
			p.hops.RecordValue(int64(now.Sub(l.placed) - below))
		}
	}
	p.mu.Unlock()
	switch {
	case !known:
	case m.Type == isup.Answer && bad == nil:
		l.in.say(answer(m.Call, depth+1, l.came))
	default:
		p.refused.Add(1)
		p.refuse(l.in, m.Call)
	}
}

func (p *peer) refuse(in *wire, id isup.CallID) {
	p.mu.Lock()
	delete(p.calls, id)
	p.mu.Unlock()
	in.say(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.TempFailure))
}

// record begins to note hops, or ends it and returns those noted.
func (p *peer) record(on bool) *hdrhistogram.Histogram {
	p.mu.Lock()
	defer p.mu.Unlock()
	was := p.hops
	p.hops = nil
	if on {
		p.hops = newHistogram()
	}
	return was
}

func (p *peer) close() {
	close(p.shut)
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for w := range p.conns {
		w.Close()
	}
	if p.out != nil {
		p.out.Close()
	}
}

// newHistogram counts nanoseconds, 1 µs to 20 s, to three figures.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1e3, 20e9, 3) }
