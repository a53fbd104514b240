package policy

import "math"

// blocks reports whether b refuses a call at a server. The mean share refused is b, but the calls of
// least worth are refused first. All draws of a call use the same random number.
func (c *Controller) blocks(s *server, cl *call) bool {
	var below, same, all float64
	for i := range c.groups {
		g := &c.groups[i]
		all += g.recentCalls
		switch {
		case g.worth < cl.group.worth*0.99:
			below += g.recentCalls
		case g.worth <= cl.group.worth*1.01:
			same += g.recentCalls
		}
	}
	return cl.draw*max(same, 1e-9) < s.b*all-below
}

// updateWorths counts a new call and sets the worth of each group. A tenant's share of the calls at
// this sender is taken as its share of the flow of all senders. Traffic beyond its allowance is worth
// little if the excess is larger than the statistical error of so few calls. Redials are refused before
// first tries, so that callers gain nothing by redialling at once.
func (c *Controller) updateWorths(arrived *callGroup) {
	tenants := make([]float64, len(c.settings.Tenants)+1)
	keep := 1 - decayWeight(c.now-c.worthsUpdatedAt, arrivalTimeConstant)
	c.worthsUpdatedAt = c.now
	var all, hold float64
	for i := range c.groups {
		g := &c.groups[i]
		if g.recentCalls *= keep; g == arrived {
			g.recentCalls++
		}
		all += g.recentCalls
		hold += g.recentCalls * g.class.Hold.Seconds()
		if !g.redial {
			tenants[g.tenant] += g.recentCalls
		}
	}
	c.meanHoldSeconds = hold / all
	for i := range c.groups {
		g, withinShare := &c.groups[i], 1.0
		if g.tenant < len(c.settings.Tenants) && tenants[g.tenant] > 0 {
			calls := tenants[g.tenant]
			if allowance, rate := c.settings.Tenants[g.tenant].Allowance,
				c.fleetTotals().Flow*calls/all; allowance > 0 && rate > allowance*(1+1/math.Sqrt(calls)) {
				withinShare = allowance / rate
			}
		}
		if g.redial {
			withinShare *= redialWorthShare
		}
		g.worth = g.class.Worth * (withinShare + (1-withinShare)*c.settings.OverAllowanceWorth)
	}
}
