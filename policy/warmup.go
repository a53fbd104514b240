package policy

import (
	"cmp"
	"time"
)

// chill starts a server's cold budget.
func (c *Controller) chill(s *server, from Time, long time.Duration) {
	s.coldFrom, s.coldTill = from, max(s.coldTill, from+long)
	if s.cold(c.now) {
		s.suspect, s.room = false, 1
		c.spread.StartWarmUp(s.ID)
		c.logf("server %s is cold for %v", s.ID, s.coldTill-c.now)
	}
}

func (s *server) cold(now Time) bool { return now < s.coldTill }

// coldRoom tells whether this sender's part of a cold server's budget allows one more. It grows with the
// least capacity by now, and lapses unused when all that is held and what comes in a window are the budget.
func (c *Controller) coldRoom(s *server) bool {
	if !s.cold(c.now) || c.set.Rules.WarmUp <= 0 {
		return true
	}
	r := c.set.Rules
	age := min(max(float64(c.now-s.coldFrom)/float64(r.WarmUp), 0), 1)
	warm := cmp.Or(c.capacity(s), c.set.allowance()/float64(len(c.servers)))
	joint := coldUse * r.CollapseLoad * (r.ColdShare + (1-r.ColdShare)*age) * warm
	return c.spread.MaySendCold(c.now, s.ID, s.coldFrom, joint, time.Duration((1/coldUse-1)*float64(r.LoadSpan)))
}
