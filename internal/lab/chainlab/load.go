package chainlab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woodrouter/isup"
)

// load is calls that come whether or not the chain keeps up.
type load struct {
	rate         float64       // calls a second, Poisson
	warmUp       time.Duration // not counted
	span         time.Duration
	maxCalls     int // most calls; 0: as many as come
	keepStanding bool
	seed         uint64
}

// result is what came of a load's calls. Latencies count from the moment at which a call was due,
// so that a caller or chain that falls behind does not hide its own delay.
type result struct {
	asked, answered, refused, lost int // of the counted calls
	answeredTwice, wrongDepth      int // answers of a call that has one; of a wrong depth
	sent                           int // calls sent, those of the warm-up too
	latency, lateness              *hdrhistogram.Histogram
	hops                           *hdrhistogram.Histogram
	took                           time.Duration // of the counted span
	work                           work          // of all agents in it
}

// answerMost is how long the last calls of a load are waited for; left is what calls are told.
const (
	drainTimeout = 3 * time.Second
	timeLeftMs   = "9000"
)

// spinTime is how long before a call is due its goroutine stops sleeping and looks at the clock: sleeps
// end late by some 50 µs.
const spinTime = 80 * time.Microsecond

// lastCallID are never used twice in a process: agents remember them.
var lastCallID atomic.Uint64

// placedCall is one call of the table.
type placedCall struct {
	due, sent time.Time
	counted   bool
	over      bool
}

// callerConn is one connection with its calls.
type callerConn struct {
	conn         *messageConn
	depth        int
	keepStanding bool // calls that stand are kept; else each is released at once

	mu      sync.Mutex
	calls   map[isup.CallID]*placedCall
	pending int
	drained chan struct{} // closed when nothing is open, once it is set
	result  *result
	readers sync.WaitGroup
}

func dialCallers(addr string, depth int, keep bool) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &callerConn{conn: &messageConn{Conn: conn}, depth: depth, keepStanding: keep, calls: map[isup.CallID]*placedCall{},
		result: &result{latency: newHistogram(), lateness: newHistogram(), hops: newHistogram()}}
	c.readers.Go(func() { c.conn.readAll(c.handle) })
	return c, nil
}

// runLoad has calls come to a chain and tells what came of them.
func (c *chain) runLoad(ctx context.Context, l load) (result, error) {
	caller, err := dialCallers(c.entryAddr, len(c.servers), l.keepStanding)
	if err != nil {
		return result{}, err
	}
	defer func() { caller.conn.Close(); caller.readers.Wait() }()
	var before work
	count := func() {
		for _, p := range c.servers {
			p.recordHops(true)
		}
		before, err = c.totalWork()
	}
	caller.placeCalls(ctx, l, count)
	if err != nil {
		return result{}, err
	}
	after, err := c.totalWork()
	if err != nil {
		return result{}, err
	}
	caller.awaitAnswers()
	caller.mu.Lock()
	defer caller.mu.Unlock()
	for _, p := range c.servers {
		if h := p.recordHops(false); h != nil {
			caller.result.hops.Merge(h)
		}
	}
	caller.result.work = after.addScaled(before, -1)
	caller.result.lost = caller.result.asked - caller.result.answered - caller.result.refused
	return *caller.result, ctx.Err()
}

// placeCalls sends calls when they are due; count is called as the warm-up ends.
func (c *callerConn) placeCalls(ctx context.Context, l load, count func()) {
	runtime.LockOSThread() // sleeps by the system: the runtime's timers are late by up to 1 ms
	defer runtime.UnlockOSThread()
	rng := rand.New(rand.NewPCG(l.seed, 41))
	began := time.Now()
	due, counting := began, false
	for n := 0; l.maxCalls == 0 || n < l.maxCalls; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		if due.Sub(began) > l.warmUp+l.span || ctx.Err() != nil {
			break
		}
		if !counting && due.Sub(began) >= l.warmUp {
			sleepUntil(began.Add(l.warmUp))
			count()
			counting = true
		}
		sleepUntil(due)
		c.place(due, counting)
	}
	if l.maxCalls == 0 && ctx.Err() == nil {
		sleepUntil(began.Add(l.warmUp + l.span))
	}
	c.mu.Lock()
	c.result.took = time.Since(began) - l.warmUp
	c.mu.Unlock()
}

func sleepUntil(t time.Time) {
	if d := time.Until(t) - spinTime; d > 0 {
		ts := syscall.NsecToTimespec(int64(d))
		syscall.Nanosleep(&ts, nil) // cut short by a signal: the clock is looked at all the same
	}
	for time.Until(t) > 0 {
	}
}

func (c *callerConn) place(due time.Time, counted bool) {
	id := isup.CallID(lastCallID.Add(1))
	m := setUpMessage(id, class, timeLeftMs, id.String(), "offer")
	placed := &placedCall{due: due, counted: counted, sent: time.Now()}
	c.mu.Lock()
	c.calls[id] = placed
	c.pending++
	c.result.sent++
	if counted {
		c.result.asked++
		c.result.lateness.RecordValue(int64(placed.sent.Sub(due)))
	}
	c.mu.Unlock()
	c.conn.send(m) // one that is gone shows in the calls that are lost
}

func (c *callerConn) handle(m isup.Message) {
	now := time.Now()
	if m.Type != isup.Answer && m.Type != isup.Release {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	placed := c.calls[m.Call]
	if placed == nil {
		return
	}
	if placed.over {
		if m.Type == isup.Answer {
			c.result.answeredTwice++
		}
		return
	}
	placed.over = true
	if c.pending--; c.pending == 0 && c.drained != nil {
		close(c.drained)
		c.drained = nil
	}
	if m.Type == isup.Release {
		if placed.counted {
			c.result.refused++
		}
		return
	}
	depth, below, err := parseAnswer(m)
	if err != nil || depth != c.depth {
		c.result.wrongDepth++
	}
	if placed.counted {
		c.result.answered++
		c.result.latency.RecordValue(int64(now.Sub(placed.due)))
		c.result.hops.RecordValue(int64(now.Sub(placed.sent) - below))
	}
	if !c.keepStanding {
		c.conn.send(isup.Message{Type: isup.Release, Call: m.Call}.WithCause(isup.Normal))
	}
}

// awaitAnswers waits until every call has its answer, for a while.
func (c *callerConn) awaitAnswers() {
	c.mu.Lock()
	none := make(chan struct{})
	if c.pending == 0 {
		close(none)
	} else {
		c.drained = none
	}
	c.mu.Unlock()
	select {
	case <-none:
	case <-time.After(drainTimeout):
	}
}

// check is what no chain may do, at any load.
func (r result) check() error {
	if r.answeredTwice > 0 || r.wrongDepth > 0 {
		return fmt.Errorf("%d calls: %d answered twice, %d of a wrong depth", r.sent, r.answeredTwice, r.wrongDepth)
	}
	return nil
}

func formatMicros(ns int64) string { return strconv.FormatFloat(float64(ns)/1e3, 'f', 0, 64) }
