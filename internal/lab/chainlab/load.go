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
	rate float64       // calls a second, Poisson
	warm time.Duration // not counted
	span time.Duration
	most int // most calls; 0: as many as come
	keep bool
	seed uint64
}

// result is what came of a load's calls. Latencies count from the moment at which a call was due,
// so that a caller or chain that falls behind does not hide its own delay.
type result struct {
	asked, answered, refused, lost int // of the counted calls
	twice, wrong                   int // answers of a call that has one; of a wrong depth
	all                            int // calls sent, those of the warm-up too
	latency, late                  *hdrhistogram.Histogram
	hops                           *hdrhistogram.Histogram
	took                           time.Duration // of the counted span
	work                           work          // of all agents in it
}

// answerMost is how long the last calls of a load are waited for; left is what calls are told.
const (
	answerMost = 3 * time.Second
	left       = "9000"
)

// spin is how long before a call is due its goroutine stops sleeping and looks at the clock: sleeps
// end late by some 50 µs.
const spin = 80 * time.Microsecond

// ids are never used twice in a process: agents remember them.
var ids atomic.Uint64

// call is one call of the table.
type call struct {
	due, sent time.Time
	counted   bool
	over      bool
}

// callers is one connection with its calls.
type callers struct {
	wire  *wire
	depth int
	keep  bool // calls that stand are kept; else each is released at once

	mu      sync.Mutex
	calls   map[isup.CallID]*call
	open    int
	none    chan struct{} // closed when nothing is open, once it is set
	res     *result
	readers sync.WaitGroup
}

func dial(addr string, depth int, keep bool) (*callers, error) {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	c := &callers{wire: &wire{Conn: conn}, depth: depth, keep: keep, calls: map[isup.CallID]*call{},
		res: &result{latency: newHistogram(), late: newHistogram(), hops: newHistogram()}}
	c.readers.Go(func() { c.wire.each(c.hear) })
	return c, nil
}

// play has calls come to a chain and tells what came of them.
func (c *chain) play(ctx context.Context, l load) (result, error) {
	k, err := dial(c.entry, len(c.peers), l.keep)
	if err != nil {
		return result{}, err
	}
	defer func() { k.wire.Close(); k.readers.Wait() }()
	var before work
	count := func() {
		for _, p := range c.peers {
			p.record(true)
		}
		before, err = c.work()
	}
	k.send(ctx, l, count)
	if err != nil {
		return result{}, err
	}
	after, err := c.work()
	if err != nil {
		return result{}, err
	}
	k.drain()
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, p := range c.peers {
		if h := p.record(false); h != nil {
			k.res.hops.Merge(h)
		}
	}
	k.res.work = after.plus(before, -1)
	k.res.lost = k.res.asked - k.res.answered - k.res.refused
	return *k.res, ctx.Err()
}

// send sends calls when they are due; count is called as the warm-up ends.
func (c *callers) send(ctx context.Context, l load, count func()) {
	runtime.LockOSThread() // sleeps by the system: the runtime's timers are late by up to 1 ms
	defer runtime.UnlockOSThread()
	rng := rand.New(rand.NewPCG(l.seed, 41))
	began := time.Now()
	due, counting := began, false
	for n := 0; l.most == 0 || n < l.most; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / l.rate * float64(time.Second)))
		if due.Sub(began) > l.warm+l.span || ctx.Err() != nil {
			break
		}
		if !counting && due.Sub(began) >= l.warm {
			sleepUntil(began.Add(l.warm))
			count()
			counting = true
		}
		sleepUntil(due)
		c.place(due, counting)
	}
	if l.most == 0 && ctx.Err() == nil {
		sleepUntil(began.Add(l.warm + l.span))
	}
	c.mu.Lock()
	c.res.took = time.Since(began) - l.warm
	c.mu.Unlock()
}

func sleepUntil(t time.Time) {
	if d := time.Until(t) - spin; d > 0 {
		ts := syscall.NsecToTimespec(int64(d))
		syscall.Nanosleep(&ts, nil) // cut short by a signal: the clock is looked at all the same
	}
	for time.Until(t) > 0 {
	}
}

func (c *callers) place(due time.Time, counted bool) {
	id := isup.CallID(ids.Add(1))
	m := setUpMessage(id, class, left, id.String(), "offer")
	k := &call{due: due, counted: counted, sent: time.Now()}
	c.mu.Lock()
	c.calls[id] = k
	c.open++
	c.res.all++
	if counted {
		c.res.asked++
		c.res.late.RecordValue(int64(k.sent.Sub(due)))
	}
	c.mu.Unlock()
	c.wire.say(m) // one that is gone shows in the calls that are lost
}

func (c *callers) hear(m isup.Message) {
	now := time.Now()
	if m.Type != isup.Answer && m.Type != isup.Release {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.calls[m.Call]
	if k == nil {
		return
	}
	if k.over {
		if m.Type == isup.Answer {
			c.res.twice++
		}
		return
	}
	k.over = true
	if c.open--; c.open == 0 && c.none != nil {
		close(c.none)
		c.none = nil
	}
	if m.Type == isup.Release {
		if k.counted {
			c.res.refused++
		}
		return
	}
	depth, below, err := readAnswer(m)
	if err != nil || depth != c.depth {
		c.res.wrong++
	}
	if k.counted {
		c.res.answered++
		c.res.latency.RecordValue(int64(now.Sub(k.due)))
		c.res.hops.RecordValue(int64(now.Sub(k.sent) - below))
	}
	if !c.keep {
		c.wire.say(isup.Message{Type: isup.Release, Call: m.Call}.WithCause(isup.Normal))
	}
}

// drain waits until every call has its answer, for a while.
func (c *callers) drain() {
	c.mu.Lock()
	none := make(chan struct{})
	if c.open == 0 {
		close(none)
	} else {
		c.none = none
	}
	c.mu.Unlock()
	select {
	case <-none:
	case <-time.After(answerMost):
	}
}

// err is what no chain may do, at any load.
func (r result) err() error {
	if r.twice > 0 || r.wrong > 0 {
		return fmt.Errorf("%d calls: %d answered twice, %d of a wrong depth", r.all, r.twice, r.wrong)
	}
	return nil
}

func us(ns int64) string { return strconv.FormatFloat(float64(ns)/1e3, 'f', 0, 64) }
