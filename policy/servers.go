package policy

import (
	"slices"
	"time"

	"woodrouter/spread"
)

type server struct {
	Server
	b        float64
	meanB    float64       // mean of b over flowSpan: what the load was measured under
	updated  Time          // of meanB
	reported Time          // when the latest report came
	period   time.Duration // between reports, as they reach this sender
	waits    bool          // its reports tell of the wait
	load     float64       // utilisation as reported, over flowSpan; None: not reported
	loadAt   Time
	queue    time.Duration // wait that the latest late answer or queue told of
	queueAt  Time
	last     Report
	fullAt   Time
	shutTill Time // heard full

	mu      float64 // set-ups a second that it can take
	muAt    Time
	flow    float64 // calls a second that come to stand there, from all senders, over flowSpan
	inst    float64 // and since the last count
	lines   float64 // calls in progress at linesAt
	linesAt Time
	total   float64 // its lines
	noLines bool    // it had none for a set-up since
	lineAt  Time    // while they are short: no set-up before this
	allowed spread.Allowance
	roseAt  Time // when its calls in progress last grew

	waiting  []*call // its unanswered set-ups, oldest first
	room     float64
	cutAt    Time          // when a late answer last took of it
	base     time.Duration // delay of an answer that meets no queue
	delay    time.Duration // of answers lately
	answered Time          // its latest answer to a set-up
	heard    Time          // the latest release of a call there

	overtaken          Time // when the latest answered set-up went out
	suspect            bool
	since              Time // suspect since
	trialAt            Time // no trial before this
	coldFrom, coldTill Time // its warming
	probeAt            Time
	seat               spread.ServerRef
}

func (c *Controller) list(e ServerList) {
	listed := map[string]bool{}
	for _, n := range e.Servers {
		listed[n.ID] = true
		s := c.byID[n.ID]
		if s == nil {
			s = &server{load: NotReported, room: 1, reported: c.now, updated: c.now, loadAt: c.now, answered: c.now,
				probeAt: c.now + c.part(0, probeMost)}
			c.byID[n.ID] = s
			c.servers = append(c.servers, s)
		}
		restarted := n.ReadyAt > s.ReadyAt
		if s.State != n.State {
			c.logf("server %s is listed as %s", n.ID, [...]string{"up", "draining", "gone"}[n.State])
		}
		s.Server = n
		c.spread.UpdateServer(n.ID, n.State == Up)
		if restarted {
			c.chill(s, n.ReadyAt, c.set.Rules.WarmUp)
		}
	}
	for _, s := range c.servers {
		if e.Whole && !listed[s.ID] && s.State != Gone {
			s.State = Gone
			c.spread.UpdateServer(s.ID, false)
			c.logf("server %s has left the list", s.ID)
		}
	}
	c.forget()
}

// forget drops servers that are gone, oldest first, where ids never come again. A few stay:
// what they carried is the guide for a new one.
func (c *Controller) forget() {
	gone := func(s *server) bool { return s.State == Gone && len(s.waiting) == 0 }
	n := -goneMost
	for _, s := range c.servers {
		if gone(s) {
			n++
		}
	}
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		if n <= 0 || !gone(s) {
			return false
		}
		n--
		delete(c.byID, s.ID)
		c.spread.RemoveServer(s.ID)
		return true
	})
}

// CountServers tells how many servers are listed, and how many of these get no calls but trials.
func (c *Controller) CountServers() (listed, avoided int) {
	for _, s := range c.servers {
		if s.State != Gone {
			listed++
		}
		if s.State == Draining || s.State == Up && s.suspect {
			avoided++
		}
	}
	return listed, avoided
}
