package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// callGroup is the traffic of one class and tenant at this sender. First tries and redials are
// separate groups.
type callGroup struct {
	class       *Class
	tenant      int // index of its tenant; one past the last: no tenant
	redial      bool
	recentCalls float64 // calls that arrived, decaying with arrivalTimeConstant
	worth       float64 // of one call, lowered for traffic beyond the tenant's allowance
}

// call is a call that waits, has an unanswered attempt or stands. Its next attempt does not count against
// the retry budget if the latest one was a trial or failed for a reason other than a queue.
type call struct {
	id, number          string
	group               *callGroup
	pool                int
	arrivedAt, deadline Time
	attempts            int
	lastServer          *server // server of the latest attempt
	sentAt              Time
	unanswered          bool // the latest attempt has no answer yet
	cancelled           bool // the latest attempt was cancelled
	stands              bool
	freeRetry           bool          // the next attempt does not count against the retry budget
	closed              bool          // has its final answer or needs none
	retryAt             Time          // no further attempt before this time
	draw                float64       // random number in [0, 1) that decides against b at every server
	maxAttempts         int           // by the settings and the call's route
	retryDelay          time.Duration // by the rules and the call's route
	pools               []int         // pools of the call's route; nil: all pools of its class
}

// busyNumber says until when no call is sent to a number whose lines were all busy.
type busyNumber struct {
	gap   time.Duration
	until Time
}

func (c *Controller) handleArrival(e Arrival) {
	i, ok := c.classIndex[e.Class]
	if _, known := c.calls[e.ID]; !ok || known {
		return
	}
	t, ok := c.tenantIndex[e.Tenant]
	if !ok {
		t = len(c.settings.Tenants)
	}
	i = 2 * (i*(len(c.settings.Tenants)+1) + t)
	if e.Redial {
		i++
	}
	g := &c.groups[i]
	cl := &call{id: e.ID, group: g, pool: e.Pool, number: e.Number, arrivedAt: c.now,
		deadline: c.now + max(e.TimeLeft, 0), draw: c.rng.Float64(), pools: e.Pools,
		maxAttempts: min(cmp.Or(e.MaxAttempts, c.settings.Limits.MaxAttempts), c.settings.Limits.MaxAttempts),
		retryDelay:  max(e.RetryDelay, c.settings.Rules.RetryDelay)}
	c.calls[e.ID] = cl
	c.held = append(c.held, cl)
	c.spread.RecordDemand(c.now)
	c.updateWorths(g)
}

func (c *Controller) handleStanding(e Standing) {
	cl := c.calls[e.ID]
	if cl == nil || !cl.unanswered || e.Attempt != cl.attempts-1 || cl.lastServer.ID != e.Server {
		return
	}
	cl.stands, cl.closed = true, true
	c.ownShare.RecordStood(c.now)
	c.recordAnswer(cl, e.Delay)
	delete(c.busyNumbers, cl.number)
}

func (c *Controller) handleEnded(e Ended) {
	s := c.byID[e.Server]
	if s != nil && e.Result != NoLines { // reports with NoLines all show a full server: a biased sample
		c.readReport(s, e.Report)
	}
	cl := c.calls[e.ID]
	if cl == nil || e.Attempt != cl.attempts-1 || cl.lastServer.ID != e.Server || !(cl.unanswered || cl.stands) {
		return
	}
	s = cl.lastServer
	if cl.unanswered {
		switch e.Result {
		case OK, Busy:
			c.recordAnswer(cl, e.Delay)
		case Faulted, Full, NoLines:
			c.endAttempt(cl)
			s.answeredAt = c.now
		default:
			c.endAttempt(cl)
			if e.Result == Unreachable || e.Result == TimedOut && s.answeredAt < cl.sentAt {
				c.markSuspect(s, 0)
			}
		}
	} else if e.Result == OK { // the release of a call also shows that the server is alive
		s.releasedAt = c.now
	}
	switch e.Result {
	case Busy:
		c.markNumberBusy(cl)
	case NoLines:
		// The refusal cost the server little. The window is limited to this sender's share of the lines
		// that become free within a delay.
		gap := c.lineInterval(s)
		cl.freeRetry, s.outOfLines, s.nextLineAt = true, true, c.now+c.jitter(0.5, gap)
		s.window = min(s.window, max(float64(s.meanDelay)/float64(gap), 1))
	case Full: // after a queue even a trial's next attempt counts against the retry budget
		cl.freeRetry = false
		c.handleFull(s, e.Wait)
	case TimedOut, Cut, Cancelled:
		cl.retryAt = c.now + cl.retryDelay
	default:
		cl.freeRetry = true
	}
	if cl.closed || e.Complete {
		cl.closed = true
		delete(c.calls, cl.id)
		return
	}
	if e.Result == Busy || !c.mayRetry(cl) {
		c.rejectCall(cl)
		return
	}
	c.held = append(c.held, cl)
}

func (c *Controller) handleDeparted(e Departed) {
	if cl := c.calls[e.ID]; cl != nil {
		cl.closed = true
		c.removeCall(cl)
	}
}

func (c *Controller) removeCall(cl *call) {
	c.held = withoutCall(c.held, cl)
	if !cl.unanswered && !cl.stands {
		delete(c.calls, cl.id)
	}
}

func withoutCall(calls []*call, cl *call) []*call {
	return slices.DeleteFunc(calls, func(o *call) bool { return o == cl })
}

// markNumberBusy holds off calls to a number whose lines are all busy, as they would fail at any server.
// A call is refused needlessly if a line becomes free within the gap.
func (c *Controller) markNumberBusy(cl *call) {
	if cl.number == "" {
		return
	}
	gap := min(max(2*c.busyNumbers[cl.number].gap, c.shortestAim/busyGapDivisor), c.shortestAim)
	c.busyNumbers[cl.number] = busyNumber{gap, c.now + gap}
	maps.DeleteFunc(c.busyNumbers, func(_ string, e busyNumber) bool { return c.now > e.until+c.shortestAim })
}
