package policy

import (
	"slices"
	"time"

	"woodrouter/spread"
)

// server is what the controller knows of a listed server.
type server struct {
	Server
	b              float64
	meanB          float64       // mean of b over loadTimeConstant: the b under which the load was measured
	bUpdatedAt     Time          // when b was set and meanB updated
	reportedAt     Time          // time of the latest report, or since then of the latest halving of b
	reportInterval time.Duration // mean time between reports that reach this sender
	reportsWait    bool          // its reports contain the processor's wait
	load           float64       // reported utilisation, smoothed over loadTimeConstant; NotReported: none yet
	loadReadAt     Time
	queueWait      time.Duration // wait shown by the latest late answer or reported queue
	queueSeenAt    Time
	lastReport     Report
	fullAt         Time
	closedUntil    Time // no set-up before this time, as it answered that it is full

	capacity       float64 // measured set-ups a second that it can take; 0: not measured
	capacityReadAt Time
	flow           float64 // new calls a second there from all senders, smoothed over loadTimeConstant
	latestFlow     float64 // the same between the last two reports of its lines
	busyLines      float64 // calls in progress at linesReadAt
	linesReadAt    Time
	totalLines     float64 // all its lines
	outOfLines     bool    // it refused a set-up for want of a line since linesReadAt
	nextLineAt     Time    // while few lines are free: no set-up before this time
	allowance      spread.Allowance
	linesRoseAt    Time // when its number of calls in progress last grew

	unanswered  []*call // unanswered set-ups, oldest first
	window      float64
	windowCutAt Time          // when a late answer last shrank the window
	baseDelay   time.Duration // delay of an answer that met no queue
	meanDelay   time.Duration // smoothed delay of its answers
	answeredAt  Time          // time of its latest answer to a set-up
	releasedAt  Time          // time of the latest release of a call there

	lastAnsweredSentAt  Time // when the latest of the answered set-ups was sent
	suspect             bool
	suspectSince        Time
	nextTrialAt         Time // no trial before this time
	coldFrom, coldUntil Time // its warm-up
	nextProbeAt         Time
	seat                spread.ServerRef
}

func (c *Controller) handleServerList(e ServerList) {
	listed := map[string]bool{}
	for _, entry := range e.Servers {
		listed[entry.ID] = true
		s := c.byID[entry.ID]
		if s == nil {
			s = &server{load: NotReported, window: 1, reportedAt: c.now, bUpdatedAt: c.now, loadReadAt: c.now,
				answeredAt: c.now, nextProbeAt: c.now + c.jitter(0, minProbeInterval)}
			c.byID[entry.ID] = s
			c.servers = append(c.servers, s)
		}
		restarted := entry.ReadyAt > s.ReadyAt
		if s.State != entry.State {
			c.logf("server %s is listed as %s", entry.ID, [...]string{"up", "draining", "gone"}[entry.State])
		}
		s.Server = entry
		c.spread.UpdateServer(entry.ID, entry.State == Up)
		if restarted {
			c.startWarmUp(s, entry.ReadyAt, c.settings.Rules.WarmUp)
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

// evictGoneServers removes servers that are gone, oldest first, because their ids may never return.
// maxGoneServers of them stay: their measured capacities serve as the estimate for new servers.
func (c *Controller) evictGoneServers() {
	gone := func(s *server) bool { return s.State == Gone && len(s.unanswered) == 0 }
	surplus := -maxGoneServers
	for _, s := range c.servers {
		if gone(s) {
			surplus++
		}
	}
	c.servers = slices.DeleteFunc(c.servers, func(s *server) bool {
		if surplus <= 0 || !gone(s) {
			return false
		}
		surplus--
		delete(c.byID, s.ID)
		c.spread.RemoveServer(s.ID)
		return true
	})
}

// CountServers returns how many servers are listed, and how many of these get no calls
// except trials.
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
