package policy

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// group is the traffic of one class and tenant at this sender, redials apart.
type group struct {
	class  *Class
	tenant int // the place of its tenant; past the last: none
	again  bool
	calls  float64 // that came, over rateSpan
	worth  float64 // of a call, with what lies beyond the allowance taken off
}

type call struct {
	id, number   string
	group        *group
	pool         int
	at, deadline Time
	attempts     int
	last         *server // the server of the latest attempt
	sentAt       Time
	out          bool // an attempt is unanswered
	off          bool // and called off
	stands       bool
	free         bool // its latest attempt ended without a queue being the cause: the next is off the budget
	closed       bool // has its final answer, or needs none
	clearAt      Time // no further attempt before this
	draw         float64
	most         int           // attempts, by the settings and its route
	spacing      time.Duration // after a give-up, by the rules and its route
	pools        []int         // of its route; nil: any its class may use
}

// engaged tells until when a busy number is not tried again.
type engaged struct {
	gap  time.Duration
	till Time
}

func (c *Controller) arrive(e Arrival) {
	i, ok := c.classes[e.Class]
	if _, known := c.calls[e.ID]; !ok || known {
		return
	}
	t, ok := c.tenants[e.Tenant]
	if !ok {
		t = len(c.set.Tenants)
	}
	i = 2 * (i*(len(c.set.Tenants)+1) + t)
	if e.Redial {
		i++
	}
	g := &c.groups[i]
	cl := &call{id: e.ID, group: g, pool: e.Pool, number: e.Number, at: c.now,
		deadline: c.now + max(e.TimeLeft, 0), draw: c.rng.Float64(), pools: e.Pools,
		most:    min(cmp.Or(e.MaxAttempts, c.set.Limits.MaxAttempts), c.set.Limits.MaxAttempts),
		spacing: max(e.RetryDelay, c.set.Rules.RetryDelay)}
	c.calls[e.ID] = cl
	c.held = append(c.held, cl)
	c.spread.RecordDemand(c.now)
	c.weigh(g)
}

func (c *Controller) stand(e Standing) {
	cl := c.calls[e.ID]
	if cl == nil || !cl.out || e.Attempt != cl.attempts-1 || cl.last.ID != e.Server {
		return
	}
	cl.stands, cl.closed = true, true
	c.own.RecordStood(c.now)
	c.answer(cl, e.Delay)
	delete(c.busy, cl.number)
}

func (c *Controller) end(e Ended) {
	s := c.byID[e.Server]
	if s != nil && e.Result != NoLines { // that one comes when all lines are busy: no fair sample
		c.read(s, e.Report)
	}
	cl := c.calls[e.ID]
	if cl == nil || e.Attempt != cl.attempts-1 || cl.last.ID != e.Server || !(cl.out || cl.stands) {
		return
	}
	s = cl.last
	if cl.out {
		switch e.Result {
		case OK, Busy:
			c.answer(cl, e.Delay)
		case Faulted, Full, NoLines:
			c.settle(cl)
			s.answered = c.now
		default:
			c.settle(cl)
			if e.Result == Unreachable || e.Result == TimedOut && s.answered < cl.sentAt {
				c.doubt(s, 0)
			}
		}
	} else if e.Result == OK { // a released call, too, shows that the server lives
		s.heard = c.now
	}
	switch e.Result {
	case Busy:
		c.occupied(cl)
	case NoLines: // cost little; no more out than this sender's part of the lines that come free
		gap := c.lineGap(s)
		cl.free, s.noLines, s.lineAt = true, true, c.now+c.part(0.5, gap)
		s.room = min(s.room, max(float64(s.delay)/float64(gap), 1))
	case Full: // a trial, too, that found a queue spends the budget if it goes on
		cl.free = false
		c.full(s, e.Wait)
	case TimedOut, Cut, Cancelled:
		cl.clearAt = c.now + cl.spacing
	default:
		cl.free = true
	}
	if cl.closed || e.Complete {
		cl.closed = true
		delete(c.calls, cl.id)
		return
	}
	if e.Result == Busy || !c.again(cl) {
		c.finish(cl)
		return
	}
	c.held = append(c.held, cl)
}

func (c *Controller) depart(e Departed) {
	if cl := c.calls[e.ID]; cl != nil {
		cl.closed = true
		c.drop(cl)
	}
}

func (c *Controller) drop(cl *call) {
	c.held = without(c.held, cl)
	if !cl.out && !cl.stands {
		delete(c.calls, cl.id)
	}
}

func without(calls []*call, cl *call) []*call {
	return slices.DeleteFunc(calls, func(o *call) bool { return o == cl })
}

// occupied spaces the calls to a number whose lines are all busy, as each would end the
// same way at any server; it hurts where a line comes free within the gap.
func (c *Controller) occupied(cl *call) {
	if cl.number == "" {
		return
	}
	gap := min(max(2*c.busy[cl.number].gap, c.aim/busyPart), c.aim)
	c.busy[cl.number] = engaged{gap, c.now + gap}
	maps.DeleteFunc(c.busy, func(_ string, e engaged) bool { return c.now > e.till+c.aim })
}
