package policy

import "math"

// blocks draws against b, whose mean is kept but spent on the calls of least worth.
func (c *Controller) blocks(s *server, cl *call) bool {
	var below, same, all float64
	for i := range c.groups {
		g := &c.groups[i]
		all += g.calls
		switch {
		case g.worth < cl.group.worth*0.99:
			below += g.calls
		case g.worth <= cl.group.worth*1.01:
			same += g.calls
		}
	}
	return cl.draw*max(same, 1e-9) < s.b*all-below
}

// weigh counts a call and sets the worth of each group. A tenant's share of the calls
// here is its share of the joint flow; what lies beyond its allowance, by more than
// the chance of so few calls, is worth little. A redial is refused before a first try:
// who dials again and heeds nothing gets no second ticket.
func (c *Controller) weigh(now *group) {
	tenants := make([]float64, len(c.set.Tenants)+1)
	keep := 1 - fading(c.now-c.weighed, rateSpan)
	c.weighed = c.now
	var all, hold float64
	for i := range c.groups {
		g := &c.groups[i]
		if g.calls *= keep; g == now {
			g.calls++
		}
		all += g.calls
		hold += g.calls * g.class.Hold.Seconds()
		if !g.again {
			tenants[g.tenant] += g.calls
		}
	}
	c.hold = hold / all
	for i := range c.groups {
		g, in := &c.groups[i], 1.0
		if g.tenant < len(c.set.Tenants) && tenants[g.tenant] > 0 {
			n := tenants[g.tenant]
			if a, r := c.set.Tenants[g.tenant].Allowance, c.joint().Flow*n/all; a > 0 && r > a*(1+1/math.Sqrt(n)) {
				in = a / r
			}
		}
		if g.again {
			in *= againWorth
		}
		g.worth = g.class.Worth * (in + (1-in)*c.set.OverAllowanceWorth)
	}
}
