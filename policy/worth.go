package policy

import "math"

// blocks draws against b, whose mean is kept but spent on the calls of least worth.
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

// updateWorths counts a call and sets the worth of each group. A tenant's share of the calls
// here is its share of the joint flow; what lies beyond its allowance, by more than
// the chance of so few calls, is worth little. A redial is refused before a first try:
// who dials again and heeds nothing gets no second ticket.
func (c *Controller) updateWorths(now *callGroup) {
	tenants := make([]float64, len(c.settings.Tenants)+1)
	keep := 1 - decayWeight(c.now-c.worthsUpdatedAt, arrivalTimeConstant)
	c.worthsUpdatedAt = c.now
	var all, hold float64
	for i := range c.groups {
		g := &c.groups[i]
		if g.recentCalls *= keep; g == now {
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
		g, in := &c.groups[i], 1.0
		if g.tenant < len(c.settings.Tenants) && tenants[g.tenant] > 0 {
			n := tenants[g.tenant]
			if a, r := c.settings.Tenants[g.tenant].Allowance, c.fleetTotals().Flow*n/all; a > 0 &&
				r > a*(1+1/math.Sqrt(n)) {
				in = a / r
			}
		}
		if g.redial {
			in *= redialWorthShare
		}
		g.worth = g.class.Worth * (in + (1-in)*c.settings.OverAllowanceWorth)
	}
}
