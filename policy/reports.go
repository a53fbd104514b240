package policy

import (
	"math"
	"time"

	"woodrouter/spread"
)

func (c *Controller) probed(e ReportReceived) {
	s := c.byID[e.Server]
	if s == nil {
		return
	}
	if !e.Solicited {
		c.count(s, e.Report)
		return
	}
	if e.Result != OK { // a pressed server is spared the work
		s.probeAt = max(s.probeAt, c.now+probeLeast)
		return
	}
	c.read(s, e.Report)
}

func usable(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// count reads the calls in progress: growth and ends tell the flow from all senders.
func (c *Controller) count(s *server, r Report) {
	if !usable(r.FreeLines) || !usable(r.TotalLines) || r.TotalLines <= 0 {
		return
	}
	n := max(r.TotalLines-r.FreeLines, 0)
	dt := (c.now - s.linesAt).Seconds()
	if s.linesAt != 0 && dt < 0.4 {
		return
	}
	if s.linesAt != 0 {
		c.pace.Observe(c.now - s.linesAt)
	}
	if hold := c.hold; hold > 0 {
		if s.linesAt == 0 || s.lines == 0 && s.flow == 0 {
			s.flow, s.inst = n/hold, n/hold
		} else {
			s.inst = max((n-s.lines)/dt+(n+s.lines)/2/hold, 0)
			s.flow += fading(c.now-s.linesAt, flowSpan) * (s.inst - s.flow)
		}
	}
	if s.waits && !s.cold(c.now) { // what a server does without a queue it can do
		if can := min(s.flow, s.inst); s.queue == 0 {
			s.mu = max(s.mu, can)
		} else if s.linesAt != 0 {
			s.mu = blend(s.mu, s.inst, fading(c.now-s.linesAt, muSpan))
		}
	}
	if n > s.lines {
		s.roseAt = c.now
	}
	s.lines, s.linesAt, s.total, s.noLines, c.summed = n, c.now, r.TotalLines, false, false
	s.reported = c.now
	c.throttle(s)
}

// read turns a refreshed report into one utilisation and lets it set b.
func (c *Controller) read(s *server, r Report) {
	c.count(s, r)
	now := r
	now.FreeLines, now.TotalLines = NotReported, NotReported
	if now == EmptyReport() || now == s.last {
		return
	}
	gap := c.now - s.loadAt
	c.spread.RecordReport(c.now, s.ID, spread.Seen{Lines: s.total, Util: r.Utilisation, Wait: r.WaitSeconds})
	s.last, s.reported, s.loadAt, c.summed = now, c.now, c.now, false
	s.period = time.Duration(blend(float64(s.period), float64(gap), 0.125))
	switch {
	case s.cold(c.now): // tells little of the warm server
	case usable(r.AcceptRate) && r.AcceptRate > 0:
		s.mu, s.muAt = blend(s.mu, r.AcceptRate, fading(c.now-s.muAt, muSpan)), c.now
	case usable(r.Utilisation) && r.Utilisation > 0.3 && s.flow > 0:
		s.mu, s.muAt = blend(s.mu, s.flow/min(r.Utilisation, 1), fading(c.now-s.muAt, muSpan)/2), c.now
	}
	if usable(r.RefuseShare) {
		c.setB(s, r.RefuseShare)
		return
	}
	u := max(r.Utilisation, NotReported)
	if usable(r.QueueLength) {
		u = max(u, r.QueueLength/(1+r.QueueLength))
		if mu := c.capacity(s); mu > 0 {
			c.queued(s, min(c.aim/2, time.Duration(r.QueueLength/mu*float64(time.Second))))
		}
	}
	if usable(r.WaitSeconds) { // counted in set-ups of the length that an idle server takes
		wait := time.Duration(r.WaitSeconds * float64(time.Second))
		u = max(u, float64(wait)/float64(wait+max(s.base, c.set.Tick)))
		c.queued(s, wait)
		s.waits = true
	}
	if u > 0 && s.load > 0 {
		u = s.load + fading(gap, flowSpan)*(u-s.load)
	}
	if usable(u) {
		s.load = u
	}
	c.throttle(s)
}

func (c *Controller) queued(s *server, wait time.Duration) {
	s.queue, s.queueAt = max(wait-c.target(s)+s.base, 0), c.now
}

func blend(old, x, w float64) float64 {
	if old == 0 {
		return x
	}
	return old + w*(x-old)
}

// capacity is what a server takes a second when warm: measured, else by its lines.
func (c *Controller) capacity(s *server) float64 {
	if s.mu > 0 {
		return s.mu
	}
	return c.joint().EstimateRate(s.total)
}

// joint is what all servers are known to take, and the flow there, of all senders. It is summed
// once in an event, and again where a figure changed in it.
func (c *Controller) joint() *spread.ServerTotals {
	if !c.summed {
		c.fleet, c.summed = spread.ServerTotals{}, true
		for _, s := range c.each() {
			c.fleet.Add(s.mu, s.total, s.flow)
		}
	}
	return &c.fleet
}
