package policy

import (
	"cmp"
	"time"
)

// startWarmUp starts a server's warm-up, during which a budget limits its set-ups.
func (c *Controller) startWarmUp(s *server, from Time, length time.Duration) {
	s.coldFrom, s.coldUntil = from, max(s.coldUntil, from+length)
	if s.cold(c.now) {
		s.suspect, s.window = false, 1
		c.spread.StartWarmUp(s.ID)
		c.logf("server %s is cold for %v", s.ID, s.coldUntil-c.now)
	}
}

func (s *server) cold(now Time) bool { return now < s.coldUntil }

// coldBudgetAllows reports whether this sender's share of a cold server's budget allows one more set-up.
// The budget grows with the least capacity that the server has by now. Unused rights expire so soon
// that the rights saved up and those that accrue within LoadWindow together stay within the budget.
func (c *Controller) coldBudgetAllows(s *server) bool {
	if !s.cold(c.now) || c.settings.Rules.WarmUp <= 0 {
		return true
	}
	r := c.settings.Rules
	age := min(max(float64(c.now-s.coldFrom)/float64(r.WarmUp), 0), 1)
	warm := cmp.Or(c.estimateCapacity(s), c.settings.allowance()/float64(len(c.servers)))
	joint := coldBudgetShare * r.CollapseLoad * (r.ColdShare + (1-r.ColdShare)*age) * warm
	return c.spread.MaySendCold(c.now, s.ID, s.coldFrom, joint,
		time.Duration((1/coldBudgetShare-1)*float64(r.LoadWindow)))
}
