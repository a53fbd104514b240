package policy

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// holdDeadline returns the time at which a waiting call is refused, because it could no longer
// stand in time.
func (c *Controller) holdDeadline(cl *call) Time {
	t := cl.arrivedAt + time.Duration(holdShareOfAim*float64(cl.group.class.Aim))
	if cl.attempts > 0 {
		t = cl.arrivedAt + cl.group.class.Aim
	}
	return min(t, cl.deadline-2*c.settings.BatchInterval)
}

// mayRetry reports whether a call may get a further attempt that could still stand in time.
func (c *Controller) mayRetry(cl *call) bool {
	if cl.attempts >= cl.maxAttempts || c.retryBudget < 1 && !cl.freeRetry {
		return false
	}
	return max(cl.retryAt, c.now)+c.shortestAim/8 < c.holdDeadline(cl)
}

// lossTimeout returns the time after which an unanswered set-up counts as lost.
func (c *Controller) lossTimeout(s *server) time.Duration {
	return time.Duration(max(lostAfterTargets*float64(c.targetDelay(s)), lostAfterDelays*float64(s.meanDelay)))
}

// cancelLost cancels set-ups that count as lost while another attempt could still stand in time. It
// guards against lost set-ups, lost answers and dead servers. It cancels nothing at an overloaded server:
// the server may still work on a cancelled set-up, and the next attempt would add to the overload.
func (c *Controller) cancelLost(s *server) {
	dead := s.suspect && s.flow < 1 && c.anyTrustedOpen()
	for _, cl := range s.unanswered {
		overtaken := cl.sentAt < s.lastAnsweredSentAt
		timeout, nextDelay := c.lossTimeout(s), c.targetDelay(s)
		if overtaken { // a later set-up was answered first: no queue delays this one or the next
			timeout, nextDelay = max(time.Duration(overtakenShareOfAim*float64(c.shortestAim)),
				lostAfterDelays*s.meanDelay), 2*s.meanDelay
		}
		if !cl.cancelled && c.now-cl.sentAt > timeout && (overtaken || c.visiblyServing(s) || dead) &&
			c.now+cl.retryDelay+nextDelay <= cl.arrivedAt+cl.group.class.Aim && c.retryBudget >= 1 {
			cl.cancelled = true
			c.emit(Cancel{cl.id, cl.attempts - 1})
		}
	}
}

// anyTrustedOpen reports whether any trusted server is open. The scan resumes at nextOpenIndex, as no server
// becomes trusted or open while checkServers runs.
func (c *Controller) anyTrustedOpen() bool {
	for ; c.nextOpenIndex < len(c.servers); c.nextOpenIndex++ {
		c.serverVisits++
		if o := c.servers[c.nextOpenIndex]; !o.suspect && c.open(o) {
			return true
		}
	}
	return false
}

// dispatch sends the waiting calls for which a server is open, those of most worth first, and refuses
// those that have waited too long.
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

// send starts an attempt. All attempts start here, so that the rules for attempts are checked in one place.
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
	if cl.freeRetry = s.suspect; s.suspect { // this attempt is a trial
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

// rejectCall refuses a call at once and says when to try again, or fails it after its deadline. All
// refusals and failures are issued here.
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

// recordAnswer updates the state of a server from the answer to a set-up, the newest evidence of its load.
func (c *Controller) recordAnswer(cl *call, delay time.Duration) {
	s := cl.lastServer
	if delay <= 0 || delay > c.now-cl.sentAt {
		delay = c.now - cl.sentAt
	}
	c.endAttempt(cl)
	silent := c.now - max(s.answeredAt, s.releasedAt)
	if s.answeredAt = c.now; s.suspect {
		c.clearSuspect(s, silent)
	}
	if cl.sentAt < s.lastAnsweredSentAt && delay > c.targetDelay(s) {
		// A later set-up was answered first: this delay alone is no sign of a queue.
		return
	}
	s.lastAnsweredSentAt = max(s.lastAnsweredSentAt, cl.sentAt)
	if s.baseDelay == 0 || delay < s.baseDelay {
		s.baseDelay = delay
	}
	s.baseDelay += s.baseDelay / 200
	s.meanDelay += (delay - s.meanDelay) / 4
	target := c.targetDelay(s)
	c.recordQueue(s, delay-s.baseDelay)
	// A server with a queue works at its capacity, so that its flow measures the capacity.
	if delay > target && s.flow > 0 && !s.cold(c.now) && (s.capacity == 0 || c.settings.Reports == WhenProbed) {
		s.capacity, c.totalsValid = smooth(s.capacity, min(s.latestFlow, max(s.capacity, s.flow)), 0.3), false
	}
	c.updateB(s)
	s.allowance.Refund(delay <= target, s.capacity*c.shortestAim.Seconds()/float64(c.settings.Senders))
	switch {
	case delay > target:
		if c.now >= s.windowCutAt+delay { // late answers of the same stall shrink the window only once
			s.window, s.windowCutAt = max(s.window*max(float64(target)/float64(delay), minWindowFactor), 1), c.now
		}
	case float64(len(s.unanswered)+1) >= math.Floor(s.window):
		s.window = min(s.window+windowGain/s.window, maxWindow)
	}
}

// endAttempt takes the latest attempt out of its server's unanswered set-ups.
func (c *Controller) endAttempt(cl *call) {
	cl.unanswered = false
	cl.lastServer.unanswered = withoutCall(cl.lastServer.unanswered, cl)
	c.spread.RecordEnd(cl.lastServer.ID, cl.stands)
}
