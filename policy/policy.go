// Package policy decides for one gateway at which server each call is set up, when an attempt is
// repeated or cancelled, and which calls are refused. It has no clock and does no I/O: the gateway
// passes events to a Controller and carries out the actions that it returns.
//
// The settings, events and actions are in api.go and the tuned values in constants.go. Each job has
// a file: calls.go handles the events of calls, servers.go the server list, reports.go load reports,
// throttle.go percent blocking (b), choice.go the choice of a server, worth.go which calls are
// refused first, attempts.go sending, cancelling and answers, suspects.go servers that stop
// answering, and warmup.go servers that have just started.
package policy

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"woodrouter/spread"
)

// Controller makes the decisions of one gateway. It is not safe for concurrent use.
type Controller struct {
	settings                Settings
	rng                     *rand.Rand
	now                     Time
	servers                 []*server
	byID                    map[string]*server
	calls                   map[string]*call
	held                    []*call
	busyNumbers             map[string]busyNumber // by the called number
	groups                  []callGroup
	classIndex, tenantIndex map[string]int
	retryBudget             float64
	worthsUpdatedAt         Time
	meanHoldSeconds         float64 // mean length of the calls that arrive here
	wakeAt                  Time
	resumedAt               Time          // when this gateway last resumed after a stall
	shortestAim             time.Duration // shortest aim of all classes
	actions                 []Action
	reportPace              spread.ReportInterval // mean interval at which servers report their lines
	ownShare                spread.FlowShare      // this sender's share of all calls
	spread                  *spread.State
	totals                  spread.ServerTotals // sums over all servers
	totalsValid             bool                // totals match the servers' present state
	nextOpenIndex           int                 // in checkServers: no server before it is trusted and open
	serverVisits            int                 // how often a server was looked at; a test bounds it
}

// New returns the controller of one gateway, or an error if the settings are invalid.
func New(set Settings, seed uint64) (*Controller, error) {
	switch {
	case len(set.Classes) == 0:
		return nil, errors.New("policy: no classes")
	case set.Senders < 1:
		return nil, fmt.Errorf("policy: %d senders: at least 1 needed", set.Senders)
	case set.Rank < 0 || set.Rank >= set.Senders:
		return nil, fmt.Errorf("policy: rank %d is outside 0 to %d", set.Rank, set.Senders-1)
	case set.Limits.MaxAttempts < 1:
		return nil, fmt.Errorf("policy: maximum of %d attempts: at least 1 needed", set.Limits.MaxAttempts)
	}
	r := set.Rules
	times := []time.Duration{set.RepeatInterval, set.BatchInterval, set.Limits.MaxRetryAfter,
		r.RetryDelay, r.WarmUp, r.LoadWindow}
	for _, d := range times {
		if d < 0 {
			return nil, fmt.Errorf("policy: negative time %v", d)
		}
	}
	if !(r.ColdShare >= 0 && r.ColdShare <= 1) || !(r.CollapseLoad >= 0) || math.IsInf(r.CollapseLoad, 0) {
		return nil, fmt.Errorf("policy: invalid cold start: capacity share %v, collapse load %v",
			r.ColdShare, r.CollapseLoad)
	}
	set.Spread.Rank, set.Spread.Senders, set.Spread.Seed = set.Rank, set.Senders, seed
	c := &Controller{spread: spread.New(set.Spread),
		settings: set, rng: rand.New(rand.NewPCG(seed, uint64(set.Rank))),
		byID: map[string]*server{}, calls: map[string]*call{}, busyNumbers: map[string]busyNumber{},
		classIndex: map[string]int{}, tenantIndex: map[string]int{},
		shortestAim: set.Classes[0].Aim, meanHoldSeconds: set.Classes[0].Hold.Seconds(),
	}
	for i, cl := range set.Classes {
		if cl.Aim <= 0 || cl.Deadline <= 0 || cl.Hold < 0 || !(cl.Worth >= 0) {
			return nil, fmt.Errorf("policy: class %q is invalid: aim %v, deadline %v, hold %v, worth %v",
				cl.Name, cl.Aim, cl.Deadline, cl.Hold, cl.Worth)
		}
		c.classIndex[cl.Name] = i
		c.shortestAim = min(c.shortestAim, cl.Aim)
		for t := range len(set.Tenants) + 1 {
			g := callGroup{class: &c.settings.Classes[i], tenant: t, worth: cl.Worth}
			c.groups = append(c.groups, g, g)
			c.groups[len(c.groups)-1].redial = true
		}
	}
	for i, t := range set.Tenants {
		c.tenantIndex[t.Name] = i
	}
	return c, nil
}

// Handle processes one event and returns the actions to carry out, in order. The slice is
// valid until the next call of Handle.
func (c *Controller) Handle(now Time, ev Event) []Action {
	c.actions, c.totalsValid = c.actions[:0], false
	if now-c.now > stallThreshold {
		c.resumedAt = now
	}
	c.now = max(c.now, now)
	switch e := ev.(type) {
	case Arrival:
		c.handleArrival(e)
	case Standing:
		c.handleStanding(e)
	case Ended:
		c.handleEnded(e)
	case Departed:
		c.handleDeparted(e)
	case ServerList:
		c.handleServerList(e)
	case ReportReceived:
		if c.handleReport(e); !e.Solicited { // arrives for every server each second and needs no decision at once
			return c.actions
		}
	case Tick:
		if c.now < c.wakeAt { // an outdated timer: it would start a second chain of timers
			return c.actions
		}
	}
	c.checkServers()
	c.dispatch()
	c.scheduleWake()
	return c.actions
}

// visitServers returns all servers for a scan and counts them in serverVisits.
func (c *Controller) visitServers() []*server { c.serverVisits += len(c.servers); return c.servers }

func (c *Controller) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Controller) logf(format string, args ...any) { c.emit(Log{fmt.Sprintf(format, args...)}) }

// jitter returns d times a random factor between from and from+1.
func (c *Controller) jitter(from float64, d time.Duration) time.Duration {
	return time.Duration((from + c.rng.Float64()) * float64(d))
}

// scheduleWake requests the next Tick: sooner while calls wait.
func (c *Controller) scheduleWake() {
	gap := wakeInterval
	for _, cl := range c.held {
		gap = max(min(gap, heldWakeInterval, c.holdDeadline(cl)-c.now), c.settings.BatchInterval, time.Millisecond)
	}
	if c.wakeAt <= c.now || c.now+gap < c.wakeAt {
		c.wakeAt = c.now + gap
		c.emit(Wake{gap})
	}
}
