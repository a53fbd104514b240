package policy

import (
	"math"
	"time"
)

// optimalUtilisation returns Berger's rho for a server: the utilisation at which it serves the most
// calls in time.
func (c *Controller) optimalUtilisation(s *server) float64 {
	beta := giveUpRateShare / max(c.shortestAim.Seconds()*c.estimateCapacity(s), 1)
	return 1 + beta - math.Sqrt(beta*(1+beta))
}

// setB sets b within its bounds and updates its mean.
func (c *Controller) setB(s *server, b float64) {
	s.meanB += decayWeight(c.now-s.bUpdatedAt, loadTimeConstant) * (s.b - s.meanB)
	s.b, s.bUpdatedAt = min(max(b, 0), maxB), c.now
}

// decayWeight returns the weight of the last d in exponential smoothing with the time constant span.
func decayWeight(d, span time.Duration) float64 { return 1 - math.Exp(-float64(d)/float64(span)) }

// rescaleB sets b by the formula of the DESIGN page, so that the utilisation falls to the optimum, less
// what is needed to work off the server's backlog within queueDrainTime. The utilisation that it takes
// was measured under the mean of b.
func (c *Controller) rescaleB(s *server, utilisation float64) {
	c.setB(s, s.b)
	if utilisation <= 0 {
		c.setB(s, 0)
		return
	}
	free := max(1-float64(c.backlog(s))/float64(queueDrainTime), 1-maxB)
	c.setB(s, 1-c.optimalUtilisation(s)*free*(1-s.meanB)/utilisation)
}

// backlog returns the estimated wait at a server: the last observed wait, which decays, or the age of the
// oldest unanswered set-up if that is longer.
func (c *Controller) backlog(s *server) time.Duration {
	wait := time.Duration(float64(s.queueWait) * (1 - decayWeight(c.now-s.queueSeenAt, queueDrainTime)))
	if c.visiblyServing(s) {
		return wait
	}
	return max(wait, c.oldestUnanswered(s)-s.baseDelay, 0)
}

// updateB sets b from the reported utilisation. Unless the server reports its wait, the flow of all
// senders' calls over its capacity, or the share of its lines that are busy, counts if it is higher.
func (c *Controller) updateB(s *server) {
	utilisation := s.load
	if s.flow > 0 && !s.reportsWait {
		if mu := c.estimateCapacity(s); mu > 0 {
			utilisation = max(utilisation, s.flow/mu)
		}
		utilisation = max(utilisation, s.busyLines/s.totalLines)
	}
	if utilisation >= 0 {
		c.rescaleB(s, utilisation)
	}
}

// handleFull treats a "processor full" answer as a utilisation of 1, once in fullInterval.
func (c *Controller) handleFull(s *server, wait time.Duration) {
	s.closedUntil = max(s.closedUntil, c.now+max(fullInterval, min(wait, c.shortestAim)))
	if s.fullAt != 0 && c.now < s.fullAt+fullInterval {
		return
	}
	s.fullAt, s.reportedAt = c.now, c.now
	c.recordQueue(s, max(wait, c.shortestAim))
	c.rescaleB(s, 1)
	c.markSuspect(s, c.shortestAim/2)
}
