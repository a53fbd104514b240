package policy

import (
	"time"

	"woodrouter/spread"
)

// watch looks after every server's signs: age of its oldest set-up, age of its report.
func (c *Controller) watch() {
	if c.now == c.woke { // what came meanwhile is read first
		return
	}
	c.openAt = 0
	for _, s := range c.each() {
		if len(s.waiting) > 0 && !s.suspect &&
			float64(min(c.age(s), c.now-s.answered)) > suspectAge*float64(c.aim) && !c.serves(s) {
			c.doubt(s, 0)
		}
		if c.set.Limits.AllowCancel && (s.suspect || len(s.waiting) > 0) {
			c.callOff(s)
		}
		if s.b > 0 && c.now >= s.reported+max(reportMaxAge, reportGaps*s.period) {
			c.setB(s, s.b/2)
			s.reported = c.now
		}
		if c.set.Limits.AllowProbes && c.set.Reports == WhenProbed && s.State == Up &&
			c.now >= s.probeAt && c.coldRoom(s) {
			s.probeAt = c.now + c.part(0.5, max(probeMost, spread.SenderInterval(c.set.Senders, probeJoint)))
			c.spread.SpendCold(c.now, s.ID)
			c.do(Probe{s.ID})
		}
	}
}

// serves tells whether a server visibly takes calls, whoever sends them. It guards against
// shutting it on the evidence of one lost call; it is late by a count or two.
func (c *Controller) serves(s *server) bool {
	return len(s.waiting) < proof && s.queue == 0 && s.flow > 0 && s.inst >= serveFlow*s.flow &&
		s.inst < c.capacity(s) && c.now < s.roseAt+serveSpan
}

func (c *Controller) age(s *server) time.Duration {
	for _, cl := range s.waiting {
		if cl.sentAt >= s.overtaken {
			return c.now - cl.sentAt
		}
	}
	return 0
}

// doubt makes a server suspect: it gets spaced trials until one is answered.
func (c *Controller) doubt(s *server, gap time.Duration) {
	if !s.suspect {
		s.suspect, s.since = true, c.now
	}
	s.trialAt = max(s.trialAt, c.now+gap+c.part(0, c.trials(s)))
}

func (c *Controller) trust(s *server, silent time.Duration) {
	s.suspect = false
	s.room = 1
	if d := c.now - s.since; d > logSpan {
		c.logf("server %s is trusted again after %v", s.ID, d)
	}
	if float64(min(silent, c.now-s.since)) > silentAge*float64(c.aim) {
		c.chill(s, c.now, time.Duration(silentPart*float64(c.set.Rules.WarmUp)))
	}
}

// trials is the time between this sender's trials of a suspect server: all senders'
// together can't keep it full, and grow with the calls that it is seen to take.
func (c *Controller) trials(s *server) time.Duration {
	return spread.SenderInterval(c.set.Senders, max(trialShare*c.capacity(s), trialFlow*min(s.inst, s.flow)))
}
