package policy

import (
	"slices"
	"time"

	"woodrouter/spread"
)

type server struct {
	Server
	b              float64
	meanB          float64       // mean of b over flowSpan: what the load was measured under
	bUpdatedAt     Time          // of meanB
	reportedAt     Time          // when the latest report came
	reportInterval time.Duration // between reports, as they reach this sender
	reportsWait    bool          // its reports tell of the wait
	load           float64       // utilisation as reported, over flowSpan; None: not reported
	loadReadAt     Time
	queueWait      time.Duration // wait that the latest late answer or queue told of
	queueSeenAt    Time
	lastReport     Report
	fullAt         Time
	closedUntil    Time // heard full

	capacity       float64 // set-ups a second that it can take
	capacityReadAt Time
	flow           float64 // calls a second that come to stand there, from all senders, over flowSpan
	latestFlow     float64 // and since the last count
	busyLines      float64 // calls in progress at linesAt
	linesReadAt    Time
	totalLines     float64 // its lines
	outOfLines     bool    // it had none for a set-up since
	nextLineAt     Time    // while they are short: no set-up before this
	allowance      spread.Allowance
	linesRoseAt    Time // when its calls in progress last grew

	unanswered  []*call // its unanswered set-ups, oldest first
	window      float64
	windowCutAt Time          // when a late answer last took of it
	baseDelay   time.Duration // delay of an answer that meets no queue
	meanDelay   time.Duration // of answers lately
	answeredAt  Time          // its latest answer to a set-up
	releasedAt  Time          // the latest release of a call there

	lastAnsweredSentAt  Time // when the latest answered set-up went out
	suspect             bool
	suspectSince        Time // suspect since
	nextTrialAt         Time // no trial before this
	coldFrom, coldUntil Time // its warming
	nextProbeAt         Time
	seat                spread.ServerRef
}

func (c *Controller) handleServerList(e ServerList) {
	listed := map[string]bool{}
	for _, n := range e.Servers {
		listed[n.ID] = true
		s := c.byID[n.ID]
		if s == nil {
			s = &server{load: NotReported, window: 1, reportedAt: c.now, bUpdatedAt: c.now, loadReadAt: c.now,
				answeredAt: c.now, nextProbeAt: c.now + c.jitter(0, minProbeInterval)}
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
			c.startWarmUp(s, n.ReadyAt, c.settings.Rules.WarmUp)
		}
	}
	for _, s := range c.servers {
		if e.Whole && !listed[s.ID] && s.State != Gone {
			s.State = Gone
			c.spread.UpdateServer(s.ID, false)
			c.logf("server %s has left the list", s.ID)
		}
	}
	c.evictGoneServers()
}

// evictGoneServers drops servers that are gone, oldest first, where ids never come again. A few stay:
// what they carried is the guide for a new one.
func (c *Controller) evictGoneServers() {
	gone := func(s *server) bool { return s.State == Gone && len(s.unanswered) == 0 }
	n := -maxGoneServers
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
