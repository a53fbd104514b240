package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"woodrouter/spread"
)

// allows reports whether a server is up and in a pool that the call may use.
func (c *Controller) allows(cl *call, s *server) bool {
	return s.State == Up && (cl.group.class.Pools == nil || slices.Contains(cl.group.class.Pools, s.Pool)) &&
		(cl.pools == nil || slices.Contains(cl.pools, s.Pool))
}

// chooseServer returns the server for a call's next attempt, or nil. stay is true if some server may
// take the call, now or soon.
func (c *Controller) chooseServer(cl *call) (to *server, stay bool) {
	var best *server
	var bestPriority float64
	allowed := c.ownShare.Allowed(c.now, c.fleetTotals().Flow, c.settings.Senders, c.shortestAim, len(c.servers))
	for _, s := range c.visitServers() {
		if !c.allows(cl, s) || s.b > 0 && c.blocks(s, cl) {
			continue
		}
		stay = true
		available := s.allowance.Available(c.now, allowed, s.capacity, float64(c.settings.Rank+s.Pool)*0.618)
		if !c.open(s) || s == cl.lastServer && best != nil || s.Pool != cl.pool && s.capacity > 0 && available < 1 {
			continue
		}
		if s.Pool == cl.pool && s != cl.lastServer {
			return s, true
		}
		priority := c.spread.Priority(c.now, s.ID, &s.seat, c.spareCapacity(s))
		if best == nil || best == cl.lastServer || len(s.unanswered) < len(best.unanswered) ||
			len(s.unanswered) == len(best.unanswered) && priority > bestPriority {
			best, bestPriority = s, priority
		}
	}
	return best, stay
}

// spareCapacity returns the set-ups a second that a server's processor and lines can take beyond its flow.
// It breaks ties between servers: in list order all senders would turn to the same server at once.
func (c *Controller) spareCapacity(s *server) float64 {
	mu, flow, processor := c.estimateCapacity(s), max(s.flow, s.latestFlow), math.Inf(1)
	if mu != 0 { // 0: not known yet, so that only its lines count
		processor = spread.GrowthFactor*mu - flow
	}
	lines := spread.SpareRate(s.totalLines, s.busyLines, flow, c.meanHoldSeconds, c.now-s.linesReadAt,
		c.reportPace)
	return max(min(processor, lines, 1e6), mu/50, 0.01)
}

// lineState converts a server's report of its lines for package spread.
func (c *Controller) lineState(s *server) spread.Lines {
	return spread.Lines{Total: s.totalLines, Busy: s.busyLines, Flow: max(s.flow, s.latestFlow),
		Hold: c.meanHoldSeconds, ReportedAt: s.linesReadAt, Exhausted: s.outOfLines}
}

// lineInterval returns the mean time in which a line of a full server becomes free for this sender.
func (c *Controller) lineInterval(s *server) time.Duration {
	return cmp.Or(c.lineState(s).FreeInterval(c.settings.Senders), fullInterval)
}

// targetDelay returns the delay above which an answer shows a queue.
func (c *Controller) targetDelay(s *server) time.Duration {
	if c.settings.RepeatInterval > 0 {
		return s.baseDelay + time.Duration(targetShareOfRepeat*float64(c.settings.RepeatInterval))
	}
	return s.baseDelay + time.Duration(targetShareOfAim*float64(c.shortestAim))
}

// open reports whether a server may get one more set-up now.
func (c *Controller) open(s *server) bool {
	if s.State != Up || c.now < s.closedUntil || !c.coldBudgetAllows(s) ||
		c.now < s.nextLineAt && c.lineState(s).NearlyFull(c.now, c.reportPace) {
		return false
	}
	if s.suspect {
		return c.now >= s.nextTrialAt && (len(s.unanswered) == 0 || c.oldestUnanswered(s) > c.lossTimeout(s))
	}
	if c.oldestUnanswered(s) > c.targetDelay(s) {
		return false
	}
	return float64(len(s.unanswered)) < math.Floor(s.window)
}
