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

// load is an open-loop load: calls are placed when they are due, whether or not the chain keeps up.
type load struct {
	rate         float64       // calls per second, with Poisson arrivals
	warmUp       time.Duration // not measured
	span         time.Duration
	maxCalls     int // 0: no limit
	keepStanding bool
	seed         uint64
}

// result is the result of a load. Latencies are measured from the moment at which a call was due, so that
// a caller or chain that falls behind can't hide its own delay.
type result struct {
	asked, answered, refused, lost int // measured calls, without those of the warm-up
	answeredTwice, wrongDepth      int // repeated answers to a call; answers with a wrong depth
	sent                           int // all calls sent, with those of the warm-up
	latency, lateness              *hdrhistogram.Histogram
	hops                           *hdrhistogram.Histogram
	took                           time.Duration // duration of the measured span
	work                           work          // work of all agents in that span
}

// drainTimeout bounds the wait for the answers to the last calls of a load. timeLeftMs is the time left
// in every set-up, in milliseconds.
const (
	drainTimeout = 3 * time.Second
	timeLeftMs   = "9000"
)

// spinTime is how long before a call is due its goroutine stops sleeping and polls the clock: sleeps end
// about 50 µs late.
const spinTime = 80 * time.Microsecond

// lastCallID numbers the calls. A process never uses an id twice, because agents remember ids.
var lastCallID atomic.Uint64

// placedCall is a call that has been sent.
type placedCall struct {
	due, sent time.Time
	counted   bool
	over      bool
}

// callerConn is a caller's connection with its calls.
type callerConn struct {
	conn         *messageConn
	depth        int
	keepStanding bool // calls are left standing; otherwise each is released once it is answered

	mu      sync.Mutex
	calls   map[isup.CallID]*placedCall
	pending int
	drained chan struct{} // if not nil: closed when no call is pending
	result  *result
	readers sync.WaitGroup
}

func dialCallers(addr string, depth int, keepStanding bool) (*callerConn, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &callerConn{conn: &messageConn{Conn: conn}, depth: depth, keepStanding: keepStanding, calls: map[isup.CallID]*placedCall{},
		result: &result{latency: newHistogram(), lateness: newHistogram(), hops: newHistogram()}}
	c.readers.Go(func() { c.conn.readAll(c.handle) })
	return c, nil
}

// runLoad places a load's calls at a chain and returns the result.
func (c *chain) runLoad(ctx context.Context, l load) (result, error) {
	caller, err := dialCallers(c.entryAddr, len(c.servers), l.keepStanding)
	if err != nil {
		return result{}, err
	}
	defer func() { caller.conn.Close(); caller.readers.Wait() }()
	var before work
	count := func() {
		for _, server := range c.servers {
			server.recordHops(true)
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
	for _, server := range c.servers {
		if h := server.recordHops(false); h != nil {
			caller.result.hops.Merge(h)
		}
	}
	caller.result.work = after.addScaled(before, -1)
	caller.result.lost = caller.result.asked - caller.result.answered - caller.result.refused
	return *caller.result, ctx.Err()
}

// placeCalls sends each call when it is due, and calls count when the warm-up ends.
func (c *callerConn) placeCalls(ctx context.Context, l load, count func()) {
	runtime.LockOSThread() // for nanosleep: the runtime's timers are up to 1 ms late
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
		syscall.Nanosleep(&ts, nil) // a signal may end it early: the loop below polls the clock in any case
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
	c.conn.send(m) // on an error the call counts as lost
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

// awaitAnswers waits until every call has ended its set-up, at most for drainTimeout.
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

// check returns an error if a call was answered twice or at a wrong depth, which may not happen at any
// load.
func (r result) check() error {
	if r.answeredTwice > 0 || r.wrongDepth > 0 {
		return fmt.Errorf("%d calls: %d answered twice, %d of a wrong depth", r.sent, r.answeredTwice, r.wrongDepth)
	}
	return nil
}

func formatMicros(ns int64) string { return strconv.FormatFloat(float64(ns)/1e3, 'f', 0, 64) }
