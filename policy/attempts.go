package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// latest is when a waiting call is given up: it could no longer stand in time.
func (c *Controller) latest(cl *call) Time {
	t := cl.at + time.Duration(holdShare*float64(cl.group.class.Aim))
	if cl.attempts > 0 {
		t = cl.at + cl.group.class.Aim
	}
	return min(t, cl.deadline-2*c.set.Tick)
}

func (c *Controller) again(cl *call) bool {
	if cl.attempts >= cl.most || c.retries < 1 && !cl.free {
		return false
	}
	return max(cl.clearAt, c.now)+c.aim/8 < c.latest(cl)
}

func (c *Controller) lost(s *server) time.Duration {
	return time.Duration(max(lostTargets*float64(c.target(s)), lostDelays*float64(s.delay)))
}

// callOff cancels set-ups taken for lost while another attempt could stand in time. It
// guards against lost set-ups, lost answers and dead servers. In a jam it must stay
// its hand, for what is given up may still be worked on and feeds it.
func (c *Controller) callOff(s *server) {
	dead := s.suspect && s.flow < 1 && c.elsewhere()
	for _, cl := range s.waiting {
		over := cl.sentAt < s.overtaken
		after, next := c.lost(s), c.target(s)
		if over { // no queue holds it back, nor will one hold the next
			after, next = max(time.Duration(overPart*float64(c.aim)), lostDelays*s.delay), 2*s.delay
		}
		if !cl.off && c.now-cl.sentAt > after && (over || c.serves(s) || dead) &&
			c.now+cl.spacing+next <= cl.at+cl.group.class.Aim && c.retries >= 1 {
			cl.off = true
			c.do(Cancel{cl.id, cl.attempts - 1})
		}
	}
}

// elsewhere tells whether any trusted server is open. None comes to be so in the course of a watch.
func (c *Controller) elsewhere() bool {
	for ; c.openAt < len(c.servers); c.openAt++ {
		c.looks++
		if o := c.servers[c.openAt]; !o.suspect && c.open(o) {
			return true
		}
	}
	return false
}

// dispatch sends the waiting calls that find room, the most worth first.
func (c *Controller) dispatch() {
	slices.SortStableFunc(c.held, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.group.worth, a.group.worth), cmp.Compare(a.at, b.at))
	})
	for _, cl := range slices.Clone(c.held) {
		if c.now < cl.clearAt {
			continue
		}
		to, stay := c.route(cl)
		switch {
		case c.now >= c.latest(cl) || c.now < c.busy[cl.number].till || to == nil && !stay:
			c.finish(cl)
		case to != nil:
			c.send(cl, to)
		}
	}
}

// send is the only place where an attempt starts, and keeps the rules for all of them.
func (c *Controller) send(cl *call, s *server) {
	if cl.closed || cl.out || c.now < cl.clearAt || c.now >= cl.deadline || s.State != Up ||
		cl.attempts >= cl.most || !c.coldRoom(s) {
		return
	}
	if cl.attempts == 0 {
		c.retries = min(c.retries+retryShare, retryMost)
	} else if !cl.free {
		c.retries--
	}
	if cl.free = s.suspect; s.suspect { // a trial
		s.trialAt = c.now + max(c.aim, c.trials(s))
	}
	cl.attempts++
	cl.last, cl.sentAt, cl.out, cl.off = s, c.now, true, false
	if s.waiting = append(s.waiting, cl); c.linesOf(s).NearlyFull(c.now, c.pace) {
		s.lineAt = c.now + c.part(0.5, c.lineGap(s))
	}
	s.allowed.Spend()
	c.spread.RecordSent(c.now, s.ID, s.Pool != cl.pool)
	c.held = without(c.held, cl)
	c.do(Send{cl.id, s.ID, cl.deadline})
}

// finish is the only place where a call is given up: at once, with advice when to return.
func (c *Controller) finish(cl *call) {
	if cl.closed || cl.out {
		return
	}
	cl.closed = true
	c.drop(cl)
	if c.now >= cl.deadline {
		c.do(Fail{cl.id})
		return
	}
	c.do(Refuse{cl.id, c.part(0.5, c.set.Limits.MaxRetryAfter/2)})
}

// answer takes a set-up's answer as the freshest sign of its server's state.
func (c *Controller) answer(cl *call, d time.Duration) {
	s := cl.last
	if d <= 0 || d > c.now-cl.sentAt {
		d = c.now - cl.sentAt
	}
	c.settle(cl)
	silent := c.now - max(s.answered, s.heard)
	if s.answered = c.now; s.suspect {
		c.trust(s, silent)
	}
	if cl.sentAt < s.overtaken && d > c.target(s) { // it alone was late: no sign of a queue
		return
	}
	s.overtaken = max(s.overtaken, cl.sentAt)
	if s.base == 0 || d < s.base {
		s.base = d
	}
	s.base += s.base / 200
	s.delay += (d - s.delay) / 4
	t := c.target(s)
	c.queued(s, d-s.base)
	// With a queue a server serves what it can: its flow is its capacity.
	if d > t && s.flow > 0 && !s.cold(c.now) && (s.mu == 0 || c.set.Reports == WhenProbed) {
		s.mu, c.summed = blend(s.mu, min(s.inst, max(s.mu, s.flow)), 0.3), false
	}
	c.throttle(s)
	s.allowed.Refund(d <= t, s.mu*c.aim.Seconds()/float64(c.set.Senders))
	switch {
	case d > t:
		if c.now >= s.cutAt+d { // the answers of one stall count once
			s.room, s.cutAt = max(s.room*max(float64(t)/float64(d), cutRoom), 1), c.now
		}
	case float64(len(s.waiting)+1) >= math.Floor(s.room):
		s.room = min(s.room+growRoom/s.room, mostRoom)
	}
}

func (c *Controller) settle(cl *call) {
	cl.out = false
	cl.last.waiting = without(cl.last.waiting, cl)
	c.spread.RecordEnd(cl.last.ID, cl.stands)
}
