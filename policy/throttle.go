package policy

import (
	"math"
	"time"
)

// optimum is Berger's rho for a server: the utilisation that serves most calls in time.
func (c *Controller) optimum(s *server) float64 {
	beta := badShare / max(c.aim.Seconds()*c.capacity(s), 1)
	return 1 + beta - math.Sqrt(beta*(1+beta))
}

func (c *Controller) setB(s *server, b float64) {
	s.meanB += fading(c.now-s.updated, flowSpan) * (s.b - s.meanB)
	s.b, s.updated = min(max(b, 0), bCap), c.now
}

// fading is the weight of what happened in the last d for a memory of span.
func fading(d, span time.Duration) float64 { return 1 - math.Exp(-float64(d)/float64(span)) }

// rescale applies DESIGN's rule; what waits already is to be worked off in drainSpan.
func (c *Controller) rescale(s *server, u float64) {
	c.setB(s, s.b)
	if u <= 0 {
		c.setB(s, 0)
		return
	}
	free := max(1-float64(c.backlog(s))/float64(drainSpan), 1-bCap)
	c.setB(s, 1-c.optimum(s)*free*(1-s.meanB)/u)
}

// backlog is the wait at a server: the last that was seen fades, the oldest set-up grows.
func (c *Controller) backlog(s *server) time.Duration {
	q := time.Duration(float64(s.queue) * (1 - fading(c.now-s.queueAt, drainSpan)))
	if c.serves(s) {
		return q
	}
	return max(q, c.age(s)-s.base, 0)
}

// throttle sets b from the flow of all senders' calls over capacity, or as reported.
func (c *Controller) throttle(s *server) {
	u := s.load
	if s.flow > 0 && !s.waits {
		if mu := c.capacity(s); mu > 0 {
			u = max(u, s.flow/mu)
		}
		u = max(u, s.lines/s.total)
	}
	if u >= 0 {
		c.rescale(s, u)
	}
}

// full takes a 'processor full' as u = 1, once in fullHold.
func (c *Controller) full(s *server, wait time.Duration) {
	s.shutTill = max(s.shutTill, c.now+max(fullHold, min(wait, c.aim)))
	if s.fullAt != 0 && c.now < s.fullAt+fullHold {
		return
	}
	s.fullAt, s.reported = c.now, c.now
	c.queued(s, max(wait, c.aim))
	c.rescale(s, 1)
	c.doubt(s, c.aim/2)
}
