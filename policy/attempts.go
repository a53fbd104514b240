package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// holdDeadline is when a waiting call is given up: it could no longer stand in time.
func (c *Controller) holdDeadline(cl *call) Time {
	t := cl.arrivedAt + time.Duration(holdShareOfAim*float64(cl.group.class.Aim))
	if cl.attempts > 0 {
		t = cl.arrivedAt + cl.group.class.Aim
	}
	return min(t, cl.deadline-2*c.settings.Tick)
}

func (c *Controller) mayRetry(cl *call) bool {
	if cl.attempts >= cl.maxAttempts || c.retryBudget < 1 && !cl.freeRetry {
		return false
	}
	return max(cl.retryAt, c.now)+c.shortestAim/8 < c.holdDeadline(cl)
}

func (c *Controller) lossTimeout(s *server) time.Duration {
	return time.Duration(max(lostAfterTargets*float64(c.targetDelay(s)), lostAfterDelays*float64(s.meanDelay)))
}

// cancelLost cancels set-ups taken for lost while another attempt could stand in time. It
// guards against lost set-ups, lost answers and dead servers. In a jam it must stay
// its hand, for what is given up may still be worked on and feeds it.
func (c *Controller) cancelLost(s *server) {
	dead := s.suspect && s.flow < 1 && c.anyTrustedOpen()
	for _, cl := range s.unanswered {
		over := cl.sentAt < s.lastAnsweredSentAt
		after, next := c.lossTimeout(s), c.targetDelay(s)
		if over { // no queue holds it back, nor will one hold the next
			after, next = max(time.Duration(overtakenShareOfAim*float64(c.shortestAim)),
				lostAfterDelays*s.meanDelay), 2*s.meanDelay
		}
		if !cl.cancelled && c.now-cl.sentAt > after && (over || c.visiblyServing(s) || dead) &&
			c.now+cl.retryDelay+next <= cl.arrivedAt+cl.group.class.Aim && c.retryBudget >= 1 {
			cl.cancelled = true
			c.emit(Cancel{cl.id, cl.attempts - 1})
		}
	}
}

// anyTrustedOpen tells whether any trusted server is open. None comes to be so in the course of a watch.
func (c *Controller) anyTrustedOpen() bool {
	for ; c.nextOpenIndex < len(c.servers); c.nextOpenIndex++ {
		c.serverVisits++
		if o := c.servers[c.nextOpenIndex]; !o.suspect && c.open(o) {
			return true
		}
	}
	return false
}

// dispatch sends the waiting calls that find room, the most worth first.
func (c *Controller) dispatch() {
	slices.SortStableFunc(c.held, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.group.worth, a.group.worth), cmp.Compare(a.arrivedAt, b.arrivedAt))
	})
	for _, cl := range slices.Clone(c.held) {
		if c.now < cl.retryAt {
			continue
		}
		to, stay := c.chooseServer(cl)
		switch {
		case c.now >= c.holdDeadline(cl) || c.now < c.busyNumbers[cl.number].until || to == nil && !stay:
			c.rejectCall(cl)
		case to != nil:
			c.send(cl, to)
		}
	}
}

// send is the only place where an attempt starts, and keeps the rules for all of them.
func (c *Controller) send(cl *call, s *server) {
	if cl.closed || cl.unanswered || c.now < cl.retryAt || c.now >= cl.deadline || s.State != Up ||
		cl.attempts >= cl.maxAttempts || !c.coldBudgetAllows(s) {
		return
	}
	if cl.attempts == 0 {
		c.retryBudget = min(c.retryBudget+retriesPerCall, maxSavedRetries)
	} else if !cl.freeRetry {
		c.retryBudget--
	}
	if cl.freeRetry = s.suspect; s.suspect { // a trial
		s.nextTrialAt = c.now + max(c.shortestAim, c.trialInterval(s))
	}
	cl.attempts++
	cl.lastServer, cl.sentAt, cl.unanswered, cl.cancelled = s, c.now, true, false
	if s.unanswered = append(s.unanswered, cl); c.lineState(s).NearlyFull(c.now, c.reportPace) {
		s.nextLineAt = c.now + c.jitter(0.5, c.lineInterval(s))
	}
	s.allowance.Spend()
	c.spread.RecordSent(c.now, s.ID, s.Pool != cl.pool)
	c.held = withoutCall(c.held, cl)
	c.emit(Send{cl.id, s.ID, cl.deadline})
}

// rejectCall is the only place where a call is given up: at once, with advice when to return.
func (c *Controller) rejectCall(cl *call) {
	if cl.closed || cl.unanswered {
		return
	}
	cl.closed = true
	c.removeCall(cl)
	if c.now >= cl.deadline {
		c.emit(Fail{cl.id})
		return
	}
	c.emit(Refuse{cl.id, c.jitter(0.5, c.settings.Limits.MaxRetryAfter/2)})
}

// recordAnswer takes a set-up's answer as the freshest sign of its server's state.
func (c *Controller) recordAnswer(cl *call, d time.Duration) {
	s := cl.lastServer
	if d <= 0 || d > c.now-cl.sentAt {
		d = c.now - cl.sentAt
	}
	c.endAttempt(cl)
	silent := c.now - max(s.answeredAt, s.releasedAt)
	if s.answeredAt = c.now; s.suspect {
		c.clearSuspect(s, silent)
	}
	if cl.sentAt < s.lastAnsweredSentAt && d > c.targetDelay(s) { // it alone was late: no sign of a queue
		return
	}
	s.lastAnsweredSentAt = max(s.lastAnsweredSentAt, cl.sentAt)
	if s.baseDelay == 0 || d < s.baseDelay {
		s.baseDelay = d
	}
	s.baseDelay += s.baseDelay / 200
	s.meanDelay += (d - s.meanDelay) / 4
	t := c.targetDelay(s)
	c.recordQueue(s, d-s.baseDelay)
	// With a queue a server serves what it can: its flow is its capacity.
	if d > t && s.flow > 0 && !s.cold(c.now) && (s.capacity == 0 || c.settings.Reports == WhenProbed) {
		s.capacity, c.totalsValid = smooth(s.capacity, min(s.latestFlow, max(s.capacity, s.flow)), 0.3), false
	}
	c.updateB(s)
	s.allowance.Refund(d <= t, s.capacity*c.shortestAim.Seconds()/float64(c.settings.Senders))
	switch {
	case d > t:
		if c.now >= s.windowCutAt+d { // the answers of one stall count once
			s.window, s.windowCutAt = max(s.window*max(float64(t)/float64(d), minWindowFactor), 1), c.now
		}
	case float64(len(s.unanswered)+1) >= math.Floor(s.window):
		s.window = min(s.window+windowGain/s.window, maxWindow)
	}
}

func (c *Controller) endAttempt(cl *call) {
	cl.unanswered = false
	cl.lastServer.unanswered = withoutCall(cl.lastServer.unanswered, cl)
	c.spread.RecordEnd(cl.lastServer.ID, cl.stands)
}
