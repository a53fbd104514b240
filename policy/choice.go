package policy

import (
	"cmp"
	"math"
	"slices"
	"time"

	"woodrouter/spread"
)

func (c *Controller) allows(cl *call, s *server) bool {
	return s.State == Up && (cl.group.class.Pools == nil || slices.Contains(cl.group.class.Pools, s.Pool)) &&
		(cl.pools == nil || slices.Contains(cl.pools, s.Pool))
}

// route picks a call's server; stay: none has room now but one may soon.
func (c *Controller) route(cl *call) (to *server, stay bool) {
	var best *server
	var most float64
	part := c.own.Allowed(c.now, c.joint().Flow, c.set.Senders, c.aim, len(c.servers))
	for _, s := range c.each() {
		if !c.allows(cl, s) || s.b > 0 && c.blocks(s, cl) {
			continue
		}
		stay = true
		left := s.allowed.Available(c.now, part, s.mu, float64(c.set.Rank+s.Pool)*0.618)
		if !c.open(s) || s == cl.last && best != nil || s.Pool != cl.pool && s.mu > 0 && left < 1 {
			continue
		}
		if s.Pool == cl.pool && s != cl.last {
			return s, true
		}
		o := c.spread.Priority(c.now, s.ID, &s.seat, c.spare(s))
		if best == nil || best == cl.last || len(s.waiting) < len(best.waiting) ||
			len(s.waiting) == len(best.waiting) && o > most {
			best, most = s, o
		}
	}
	return best, stay
}

// spare is what a server's processor and lines can take beyond its flow. Ties between companions
// are drawn by it: in the order of the list all senders would turn to one server at once.
func (c *Controller) spare(s *server) float64 {
	mu, flow, room := c.capacity(s), max(s.flow, s.inst), math.Inf(1)
	if mu != 0 { // 0: not known yet; its lines tell
		room = spread.GrowthFactor*mu - flow
	}
	lines := spread.SpareRate(s.total, s.lines, flow, c.hold, c.now-s.linesAt, c.pace)
	return max(min(room, lines, 1e6), mu/50, 0.01)
}

// linesOf words what a server tells of its lines for package spread.
func (c *Controller) linesOf(s *server) spread.Lines {
	return spread.Lines{Total: s.total, Busy: s.lines, Flow: max(s.flow, s.inst), Hold: c.hold,
		ReportedAt: s.linesAt, Exhausted: s.noLines}
}

// lineGap is the time in which one line of a full server comes free for this sender.
func (c *Controller) lineGap(s *server) time.Duration {
	return cmp.Or(c.linesOf(s).FreeInterval(c.set.Senders), fullHold)
}

// target is the delay above which an answer tells of a queue.
func (c *Controller) target(s *server) time.Duration {
	if c.set.Repeat > 0 {
		return s.base + time.Duration(targetShare*float64(c.set.Repeat))
	}
	return s.base + time.Duration(targetOfAim*float64(c.aim))
}

// open tells whether a server has room for one more set-up.
func (c *Controller) open(s *server) bool {
	if s.State != Up || c.now < s.shutTill || !c.coldRoom(s) ||
		c.now < s.lineAt && c.linesOf(s).NearlyFull(c.now, c.pace) {
		return false
	}
	if s.suspect {
		return c.now >= s.trialAt && (len(s.waiting) == 0 || c.age(s) > c.lost(s))
	}
	if c.age(s) > c.target(s) {
		return false
	}
	return float64(len(s.waiting)) < math.Floor(s.room)
}
