package policy

import (
	"time"

	"woodrouter/spread"
)

// checkServers checks every server: it makes servers with overdue answers suspect, cancels lost
// set-ups, halves b where reports are overdue, and sends probes.
func (c *Controller) checkServers() {
	if c.now == c.resumedAt { // events that arrived during the stall are read before servers are judged
		return
	}
	c.nextOpenIndex = 0
	for _, s := range c.visitServers() {
		if len(s.unanswered) > 0 && !s.suspect &&
			float64(min(c.oldestUnanswered(s), c.now-s.answeredAt)) > suspectAfterAims*float64(c.shortestAim) &&
			!c.visiblyServing(s) {
			c.markSuspect(s, 0)
		}
		if c.settings.Limits.AllowCancel && (s.suspect || len(s.unanswered) > 0) {
			c.cancelLost(s)
		}
		if s.b > 0 && c.now >= s.reportedAt+max(reportMaxAge, reportMaxIntervals*s.reportInterval) {
			c.setB(s, s.b/2)
			s.reportedAt = c.now
		}
		if c.settings.Limits.AllowProbes && c.settings.Reports == WhenProbed && s.State == Up &&
			c.now >= s.nextProbeAt && c.coldBudgetAllows(s) {
			s.nextProbeAt = c.now + c.jitter(0.5,
				max(minProbeInterval, spread.SenderInterval(c.settings.Senders, jointProbesPerSecond)))
			c.spread.SpendCold(c.now, s.ID)
			c.emit(Probe{s.ID})
		}
	}
}

// visiblyServing reports whether a server's reports show that it takes calls from any sender, so that
// a few lost set-ups do not make it suspect. It lags by one or two reports.
func (c *Controller) visiblyServing(s *server) bool {
	return len(s.unanswered) < lossEvidence && s.queueWait == 0 && s.flow > 0 &&
		s.latestFlow >= servingFlowShare*s.flow && s.latestFlow < c.estimateCapacity(s) &&
		c.now < s.linesRoseAt+servingMaxAge
}

// oldestUnanswered returns the age of the oldest unanswered set-up. Set-ups that a later one has
// overtaken do not count.
func (c *Controller) oldestUnanswered(s *server) time.Duration {
	for _, cl := range s.unanswered {
		if cl.sentAt >= s.lastAnsweredSentAt {
			return c.now - cl.sentAt
		}
	}
	return 0
}

// markSuspect makes a server suspect: it gets only spaced trials until one is answered.
func (c *Controller) markSuspect(s *server, gap time.Duration) {
	if !s.suspect {
		s.suspect, s.suspectSince = true, c.now
	}
	s.nextTrialAt = max(s.nextTrialAt, c.now+gap+c.jitter(0, c.trialInterval(s)))
}

// clearSuspect trusts a server again. After a long silence it may have restarted, and is treated as
// cold for a part of the warm-up.
func (c *Controller) clearSuspect(s *server, silent time.Duration) {
	s.suspect = false
	s.window = 1
	if d := c.now - s.suspectSince; d > minLoggedSuspicion {
		c.logf("server %s is trusted again after %v", s.ID, d)
	}
	if float64(min(silent, c.now-s.suspectSince)) > restartAfterAims*float64(c.shortestAim) {
		c.startWarmUp(s, c.now, time.Duration(restartWarmUpShare*float64(c.settings.Rules.WarmUp)))
	}
}

// trialInterval returns the time between this sender's trials of a suspect server. The trials of
// all senders together cannot keep the server full, and become more frequent with the flow that it
// is seen to serve.
func (c *Controller) trialInterval(s *server) time.Duration {
	return spread.SenderInterval(c.settings.Senders,
		max(trialCapacityShare*c.estimateCapacity(s), trialFlowShare*min(s.latestFlow, s.flow)))
}
