package policy

import (
	"math"
	"time"

	"woodrouter/spread"
)

// handleReport handles a report that came without an answer to a set-up. Of an unsolicited report
// only the lines are read.
func (c *Controller) handleReport(e ReportReceived) {
	s := c.byID[e.Server]
	if s == nil {
		return
	}
	if !e.Solicited {
		c.readLines(s, e.Report)
		return
	}
	if e.Result != OK { // a server that fails a probe may be overloaded: probe it less often
		s.nextProbeAt = max(s.nextProbeAt, c.now+failedProbeBackoff)
		return
	}
	c.readReport(s, e.Report)
}

// usable reports whether a report contains the figure x.
func usable(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// readLines reads a report of the calls in progress. Their growth, and the number that must have ended
// meanwhile, give the flow from all senders.
func (c *Controller) readLines(s *server, r Report) {
	if !usable(r.FreeLines) || !usable(r.TotalLines) || r.TotalLines <= 0 {
		return
	}
	busy := max(r.TotalLines-r.FreeLines, 0)
	seconds := (c.now - s.linesReadAt).Seconds()
	if s.linesReadAt != 0 && seconds < 0.4 {
		return
	}
	if s.linesReadAt != 0 {
		c.reportPace.Observe(c.now - s.linesReadAt)
	}
	if hold := c.meanHoldSeconds; hold > 0 {
		if s.linesReadAt == 0 || s.busyLines == 0 && s.flow == 0 {
			s.flow, s.latestFlow = busy/hold, busy/hold
		} else {
			s.latestFlow = max((busy-s.busyLines)/seconds+(busy+s.busyLines)/2/hold, 0)
			s.flow += decayWeight(c.now-s.linesReadAt, loadTimeConstant) * (s.latestFlow - s.flow)
		}
	}
	if s.reportsWait && !s.cold(c.now) { // without a queue its flow is a lower bound of its capacity
		if served := min(s.flow, s.latestFlow); s.queueWait == 0 {
			s.capacity = max(s.capacity, served)
		} else if s.linesReadAt != 0 {
			s.capacity = smooth(s.capacity, s.latestFlow, decayWeight(c.now-s.linesReadAt, capacityTimeConstant))
		}
	}
	if busy > s.busyLines {
		s.linesRoseAt = c.now
	}
	s.busyLines, s.linesReadAt, s.totalLines, s.outOfLines, c.totalsValid =
		busy, c.now, r.TotalLines, false, false
	s.reportedAt = c.now
	c.updateB(s)
}

// readReport derives a utilisation from a new report and updates b with it.
func (c *Controller) readReport(s *server, r Report) {
	c.readLines(s, r)
	figures := r
	figures.FreeLines, figures.TotalLines = NotReported, NotReported
	if figures == EmptyReport() || figures == s.lastReport {
		return
	}
	gap := c.now - s.loadReadAt
	c.spread.RecordReport(c.now, s.ID,
		spread.Seen{Lines: s.totalLines, Util: r.Utilisation, Wait: r.WaitSeconds})
	s.lastReport, s.reportedAt, s.loadReadAt, c.totalsValid = figures, c.now, c.now, false
	s.reportInterval = time.Duration(smooth(float64(s.reportInterval), float64(gap), 0.125))
	switch {
	case s.cold(c.now): // says little about the capacity of the warm server
	case usable(r.AcceptRate) && r.AcceptRate > 0:
		s.capacity, s.capacityReadAt = smooth(s.capacity, r.AcceptRate,
			decayWeight(c.now-s.capacityReadAt, capacityTimeConstant)), c.now
	case usable(r.Utilisation) && r.Utilisation > 0.3 && s.flow > 0:
		s.capacity, s.capacityReadAt = smooth(s.capacity, s.flow/min(r.Utilisation, 1),
			decayWeight(c.now-s.capacityReadAt, capacityTimeConstant)/2), c.now
	}
	if usable(r.RefuseShare) {
		c.setB(s, r.RefuseShare)
		return
	}
	utilisation := max(r.Utilisation, NotReported)
	if usable(r.QueueLength) {
		utilisation = max(utilisation, r.QueueLength/(1+r.QueueLength))
		if mu := c.estimateCapacity(s); mu > 0 {
			c.recordQueue(s, min(c.shortestAim/2, time.Duration(r.QueueLength/mu*float64(time.Second))))
		}
	}
	if usable(r.WaitSeconds) { // relative to the time that an idle server takes for a set-up
		wait := time.Duration(r.WaitSeconds * float64(time.Second))
		utilisation = max(utilisation, float64(wait)/float64(wait+max(s.baseDelay, c.settings.BatchInterval)))
		c.recordQueue(s, wait)
		s.reportsWait = true
	}
	if utilisation > 0 && s.load > 0 {
		utilisation = s.load + decayWeight(gap, loadTimeConstant)*(utilisation-s.load)
	}
	if usable(utilisation) {
		s.load = utilisation
	}
	c.updateB(s)
}

// recordQueue records a wait at a server, less the extra delay that the target delay allows.
func (c *Controller) recordQueue(s *server, wait time.Duration) {
	s.queueWait, s.queueSeenAt = max(wait-c.targetDelay(s)+s.baseDelay, 0), c.now
}

// smooth moves old towards x by the weight w. If old is 0, not known yet, it returns x.
func smooth(old, x, w float64) float64 {
	if old == 0 {
		return x
	}
	return old + w*(x-old)
}

// estimateCapacity returns the set-ups a second that a warm server can take: measured, else estimated
// from its lines.
func (c *Controller) estimateCapacity(s *server) float64 {
	if s.capacity > 0 {
		return s.capacity
	}
	return c.fleetTotals().EstimateRate(s.totalLines)
}

// fleetTotals returns the sums of capacity, lines and flow over all servers. It computes them once
// in an event, and again after a figure has changed.
func (c *Controller) fleetTotals() *spread.ServerTotals {
	if !c.totalsValid {
		c.totals, c.totalsValid = spread.ServerTotals{}, true
		for _, s := range c.visitServers() {
			c.totals.Add(s.capacity, s.totalLines, s.flow)
		}
	}
	return &c.totals
}
