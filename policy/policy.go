// Package policy makes the decisions of one edge gateway that sets calls up at
// shared core servers. Its types, events and actions stand in api.go; every
// decision, table and tuned value stands in this file.
//
// A Controller belongs to one gateway. Map of the file: constants, each with its
// reason; state; events, one method each; throttle, Berger's b for one server;
// reading reports; route, with room and whom to refuse; attempts; guards: suspects
// and trials, cold starts, probes.
package policy

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"woodrouter/spread"
)

const (
	bCap         = 0.95                   // DESIGN: b's cap
	fullHold     = 200 * time.Millisecond // DESIGN: one 'full' a server counts in this time
	reportMaxAge = time.Second            // DESIGN: b halves after this long without a report,
	reportGaps   = 3                      // or so many of the intervals at which reports reach this sender

	badShare = 0.1 // of Berger's give-up rate 1/aim is real, as waits are kept far below the aim

	targetShare = 0.6  // of the repeat gap: answers later than this shrink a server's room
	targetOfAim = 0.2  // of the shortest aim, where set-ups are never repeated
	mostRoom    = 32.0 // keeps an idle server's room from growing without end
	cutRoom     = 0.6  // most that one late answer takes away
	growRoom    = 0.3  // gain of one answer in time while the room is in use

	proof     = 3               // set-ups without an answer: no chance
	serveFlow = 0.6             // of its flow lately, and
	serveSpan = 3 * time.Second // calls in progress that grew so lately: a server serves the others

	suspectAge = 0.5  // of the shortest aim: so long unanswered, a server is suspect
	silentAge  = 3.0  // aims: after so long without an answer a server comes back as cold,
	silentPart = 0.25 // but only for this part of the warming, in which the list would tell of a restart

	againWorth = 0.5 // of a first try: what a redial counts for
	holdShare  = 0.6 // of the aim: how long a call may wait at the gateway for room

	retryShare = 0.25 // further attempts earned by each first attempt,
	retryMost  = 4.0  // and saved up at most
	busyPart   = 8    // first gap between tries of a busy number, as a part of the aim; it doubles up to the aim

	trialShare  = 0.05 // of a server's capacity, or
	trialFlow   = 0.25 // of the flow it shows: what all senders' trials together may take
	lostTargets = 2    // a set-up unanswered for so many targets
	lostDelays  = 3    // and for so many delays is taken for lost,
	overPart    = 0.15 // or for this part of the shortest aim when a later one was answered before it

	goneMost = 8               // servers that are gone are remembered
	logSpan  = 5 * time.Second // a server that was suspect for longer is told of when it is trusted again

	coldUse = 0.4 // of the fall multiple: what all senders spend of a cold server's budget

	rateSpan = 15 * time.Second // memory of the arrivals
	flowSpan = 3 * time.Second  // memory of a server's load, and of the b it was measured under
	muSpan   = 4 * time.Second  // memory of a server's capacity

	drainSpan = 2 * time.Second // a queue is to be worked off in this time, and word of it fades in it

	waitTick   = 20 * time.Millisecond  // look again this soon while a call waits
	busyTick   = 50 * time.Millisecond  // and otherwise
	stallGap   = 500 * time.Millisecond // no event for so long: the gateway itself stood still
	probeJoint = 20.0                   // probes a second that a server gets from all senders,
	probeMost  = 2 * time.Second        // but no more than one in this time from one of them,
	probeLeast = 8 * time.Second        // nor in this time after one that failed
)

// group is the traffic of one class and tenant at this sender, redials apart.
type group struct {
	class  *Class
	tenant int // the place of its tenant; past the last: none
	again  bool
	calls  float64 // that came, over rateSpan
	worth  float64 // of a call, with what lies beyond the allowance taken off
}

type call struct {
	id, number   string
	group        *group
	pool         int
	at, deadline Time
	attempts     int
	last         *server // the server of the latest attempt
	sentAt       Time
	out          bool // an attempt is unanswered
	off          bool // and called off
	stands       bool
	free         bool // its latest attempt ended without a queue being the cause: the next is off the budget
	closed       bool // has its final answer, or needs none
	clearAt      Time // no further attempt before this
	draw         float64
	most         int           // attempts, by the settings and its route
	spacing      time.Duration // after a give-up, by the rules and its route
	pools        []int         // of its route; nil: any its class may use
}

// engaged tells until when a busy number is not tried again.
type engaged struct {
	gap  time.Duration
	till Time
}

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

// Controller decides for one gateway. It is not safe for concurrent use.
type Controller struct {
	set              Settings
	rng              *rand.Rand
	now              Time
	servers          []*server
	byID             map[string]*server
	calls            map[string]*call
	held             []*call
	busy             map[string]engaged // numbers whose lines were all busy lately
	groups           []group
	classes, tenants map[string]int
	retries          float64
	weighed          Time
	hold             float64 // mean length of the calls that come here, in seconds
	wakeAt           Time
	woke             Time          // when this gateway last came back from a stand-still
	aim              time.Duration // the shortest aim
	acts             []Action
	pace             spread.ReportInterval // at which servers tell of their lines
	own              spread.FlowShare      // of all calls
	spread           *spread.State
	fleet            spread.ServerTotals // sums over the servers,
	summed           bool                // as they are now
	openAt           int                 // in a watch: no server before this place is trusted and open
	looks            int                 // at servers, for the test that counts them
}

// New returns the controller of one gateway, or tells why the settings can't be used.
func New(set Settings, seed uint64) (*Controller, error) {
	switch {
	case len(set.Classes) == 0:
		return nil, errors.New("policy: no classes")
	case set.Senders < 1:
		return nil, fmt.Errorf("policy: %d senders", set.Senders)
	case set.Rank < 0 || set.Rank >= set.Senders:
		return nil, fmt.Errorf("policy: rank %d is outside 0 to %d", set.Rank, set.Senders-1)
	case set.Limits.MaxAttempts < 1:
		return nil, fmt.Errorf("policy: %d attempts allowed", set.Limits.MaxAttempts)
	}
	r := set.Rules
	times := []time.Duration{set.Repeat, set.Tick, set.Limits.MaxRetryAfter, r.RetryDelay, r.WarmUp, r.LoadSpan}
	for _, d := range times {
		if d < 0 {
			return nil, fmt.Errorf("policy: negative time %v", d)
		}
	}
	if !(r.ColdShare >= 0 && r.ColdShare <= 1) || !(r.CollapseLoad >= 0) || math.IsInf(r.CollapseLoad, 0) {
		return nil, fmt.Errorf("policy: cold start from %v, fall multiple %v", r.ColdShare, r.CollapseLoad)
	}
	set.Spread.Rank, set.Spread.Senders, set.Spread.Seed = set.Rank, set.Senders, seed
	c := &Controller{spread: spread.New(set.Spread),
		set: set, rng: rand.New(rand.NewPCG(seed, uint64(set.Rank))),
		byID: map[string]*server{}, calls: map[string]*call{}, busy: map[string]engaged{},
		classes: map[string]int{}, tenants: map[string]int{},
		aim: set.Classes[0].Aim, hold: set.Classes[0].Hold.Seconds(),
	}
	for i, cl := range set.Classes {
		if cl.Aim <= 0 || cl.Deadline <= 0 || cl.Hold < 0 || !(cl.Worth >= 0) {
			return nil, fmt.Errorf("policy: class %q: aim %v, deadline %v, hold %v, worth %v",
				cl.Name, cl.Aim, cl.Deadline, cl.Hold, cl.Worth)
		}
		c.classes[cl.Name] = i
		c.aim = min(c.aim, cl.Aim)
		for t := range len(set.Tenants) + 1 {
			g := group{class: &c.set.Classes[i], tenant: t, worth: cl.Worth}
			c.groups = append(c.groups, g, g)
			c.groups[len(c.groups)-1].again = true
		}
	}
	for i, t := range set.Tenants {
		c.tenants[t.Name] = i
	}
	return c, nil
}

// Handle takes one event and returns what to do, in order, valid until the next call.
func (c *Controller) Handle(now Time, ev Event) []Action {
	c.acts, c.summed = c.acts[:0], false
	if now-c.now > stallGap {
		c.woke = now
	}
	c.now = max(c.now, now)
	switch e := ev.(type) {
	case Arrival:
		c.arrive(e)
	case Standing:
		c.stand(e)
	case Ended:
		c.end(e)
	case Departed:
		c.depart(e)
	case ServerList:
		c.list(e)
	case ReportReceived:
		if c.probed(e); !e.Solicited { // told of every server each second: nothing to decide at once
			return c.acts
		}
	case Tick:
		if c.now < c.wakeAt { // an old timer: each would set one of its own
			return c.acts
		}
	}
	c.watch()
	c.dispatch()
	c.rest()
	return c.acts
}

// each is the servers, for a walk over all of them.
func (c *Controller) each() []*server { c.looks += len(c.servers); return c.servers }

func (c *Controller) do(a Action) { c.acts = append(c.acts, a) }

func (c *Controller) logf(format string, args ...any) { c.do(Log{fmt.Sprintf(format, args...)}) }

func (c *Controller) arrive(e Arrival) {
	i, ok := c.classes[e.Class]
	if _, known := c.calls[e.ID]; !ok || known {
		return
	}
	t, ok := c.tenants[e.Tenant]
	if !ok {
		t = len(c.set.Tenants)
	}
	i = 2 * (i*(len(c.set.Tenants)+1) + t)
	if e.Redial {
		i++
	}
	g := &c.groups[i]
	cl := &call{id: e.ID, group: g, pool: e.Pool, number: e.Number, at: c.now,
		deadline: c.now + max(e.TimeLeft, 0), draw: c.rng.Float64(), pools: e.Pools,
		most:    min(cmp.Or(e.MaxAttempts, c.set.Limits.MaxAttempts), c.set.Limits.MaxAttempts),
		spacing: max(e.RetryDelay, c.set.Rules.RetryDelay)}
	c.calls[e.ID] = cl
	c.held = append(c.held, cl)
	c.spread.RecordDemand(c.now)
	c.weigh(g)
}

func (c *Controller) stand(e Standing) {
	cl := c.calls[e.ID]
	if cl == nil || !cl.out || e.Attempt != cl.attempts-1 || cl.last.ID != e.Server {
		return
	}
	cl.stands, cl.closed = true, true
	c.own.RecordStood(c.now)
	c.answer(cl, e.Delay)
	delete(c.busy, cl.number)
}

func (c *Controller) end(e Ended) {
	s := c.byID[e.Server]
	if s != nil && e.Result != NoLines { // that one comes when all lines are busy: no fair sample
		c.read(s, e.Report)
	}
	cl := c.calls[e.ID]
	if cl == nil || e.Attempt != cl.attempts-1 || cl.last.ID != e.Server || !(cl.out || cl.stands) {
		return
	}
	s = cl.last
	if cl.out {
		switch e.Result {
		case OK, Busy:
			c.answer(cl, e.Delay)
		case Faulted, Full, NoLines:
			c.settle(cl)
			s.answered = c.now
		default:
			c.settle(cl)
			if e.Result == Unreachable || e.Result == TimedOut && s.answered < cl.sentAt {
				c.doubt(s, 0)
			}
		}
	} else if e.Result == OK { // a released call, too, shows that the server lives
		s.heard = c.now
	}
	switch e.Result {
	case Busy:
		c.occupied(cl)
	case NoLines: // cost little; no more out than this sender's part of the lines that come free
		gap := c.lineGap(s)
		cl.free, s.noLines, s.lineAt = true, true, c.now+c.part(0.5, gap)
		s.room = min(s.room, max(float64(s.delay)/float64(gap), 1))
	case Full: // a trial, too, that found a queue spends the budget if it goes on
		cl.free = false
		c.full(s, e.Wait)
	case TimedOut, Cut, Cancelled:
		cl.clearAt = c.now + cl.spacing
	default:
		cl.free = true
	}
	if cl.closed || e.Complete {
		cl.closed = true
		delete(c.calls, cl.id)
		return
	}
	if e.Result == Busy || !c.again(cl) {
		c.finish(cl)
		return
	}
	c.held = append(c.held, cl)
}

func (c *Controller) depart(e Departed) {
	if cl := c.calls[e.ID]; cl != nil {
		cl.closed = true
		c.drop(cl)
	}
}

func (c *Controller) drop(cl *call) {
	c.held = without(c.held, cl)
	if !cl.out && !cl.stands {
		delete(c.calls, cl.id)
	}
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

func (c *Controller) probed(e ReportReceived) {
	s := c.byID[e.Server]
	if s == nil {
		return
	}
	if !e.Solicited {
		c.count(s, e.Report)
		return
	}
	if e.Result != OK { // a pressed server is spared the work
		s.probeAt = max(s.probeAt, c.now+probeLeast)
		return
	}
	c.read(s, e.Report)
}

// optimum is Berger's rho for a server: the utilisation that serves most calls in time.
func (c *Controller) optimum(s *server) float64 {
	beta := badShare / max(c.aim.Seconds()*c.capacity(s), 1)
	return 1 + beta - math.Sqrt(beta*(1+beta))
}

func (c *Controller) setB(s *server, b float64) {
	s.meanB += fading(c.now-s.updated, flowSpan) * (s.b - s.meanB)
	s.b, s.updated = min(max(b, 0), bCap), c.now
}

// fading is the weight of what happened in the last d for a memory of span.
func fading(d, span time.Duration) float64 { return 1 - math.Exp(-float64(d)/float64(span)) }

// rescale applies DESIGN's rule; what waits already is to be worked off in drainSpan.
func (c *Controller) rescale(s *server, u float64) {
	c.setB(s, s.b)
	if u <= 0 {
		c.setB(s, 0)
		return
	}
	free := max(1-float64(c.backlog(s))/float64(drainSpan), 1-bCap)
	c.setB(s, 1-c.optimum(s)*free*(1-s.meanB)/u)
}

// backlog is the wait at a server: the last that was seen fades, the oldest set-up grows.
func (c *Controller) backlog(s *server) time.Duration {
	q := time.Duration(float64(s.queue) * (1 - fading(c.now-s.queueAt, drainSpan)))
	if c.serves(s) {
		return q
	}
	return max(q, c.age(s)-s.base, 0)
}

// throttle sets b from the flow of all senders' calls over capacity, or as reported.
func (c *Controller) throttle(s *server) {
	u := s.load
	if s.flow > 0 && !s.waits {
		if mu := c.capacity(s); mu > 0 {
			u = max(u, s.flow/mu)
		}
		u = max(u, s.lines/s.total)
	}
	if u >= 0 {
		c.rescale(s, u)
	}
}

// full takes a 'processor full' as u = 1, once in fullHold.
func (c *Controller) full(s *server, wait time.Duration) {
	s.shutTill = max(s.shutTill, c.now+max(fullHold, min(wait, c.aim)))
	if s.fullAt != 0 && c.now < s.fullAt+fullHold {
		return
	}
	s.fullAt, s.reported = c.now, c.now
	c.queued(s, max(wait, c.aim))
	c.rescale(s, 1)
	c.doubt(s, c.aim/2)
}

func usable(x float64) bool { return x >= 0 && !math.IsInf(x, 0) }

// count reads the calls in progress: growth and ends tell the flow from all senders.
func (c *Controller) count(s *server, r Report) {
	if !usable(r.FreeLines) || !usable(r.TotalLines) || r.TotalLines <= 0 {
		return
	}
	n := max(r.TotalLines-r.FreeLines, 0)
	dt := (c.now - s.linesAt).Seconds()
	if s.linesAt != 0 && dt < 0.4 {
		return
	}
	if s.linesAt != 0 {
		c.pace.Observe(c.now - s.linesAt)
	}
	if hold := c.hold; hold > 0 {
		if s.linesAt == 0 || s.lines == 0 && s.flow == 0 {
			s.flow, s.inst = n/hold, n/hold
		} else {
			s.inst = max((n-s.lines)/dt+(n+s.lines)/2/hold, 0)
			s.flow += fading(c.now-s.linesAt, flowSpan) * (s.inst - s.flow)
		}
	}
	if s.waits && !s.cold(c.now) { // what a server does without a queue it can do
		if can := min(s.flow, s.inst); s.queue == 0 {
			s.mu = max(s.mu, can)
		} else if s.linesAt != 0 {
			s.mu = blend(s.mu, s.inst, fading(c.now-s.linesAt, muSpan))
		}
	}
	if n > s.lines {
		s.roseAt = c.now
	}
	s.lines, s.linesAt, s.total, s.noLines, c.summed = n, c.now, r.TotalLines, false, false
	s.reported = c.now
	c.throttle(s)
}

// read turns a refreshed report into one utilisation and lets it set b.
func (c *Controller) read(s *server, r Report) {
	c.count(s, r)
	now := r
	now.FreeLines, now.TotalLines = NotReported, NotReported
	if now == EmptyReport() || now == s.last {
		return
	}
	gap := c.now - s.loadAt
	c.spread.RecordReport(c.now, s.ID, spread.Seen{Lines: s.total, Util: r.Utilisation, Wait: r.WaitSeconds})
	s.last, s.reported, s.loadAt, c.summed = now, c.now, c.now, false
	s.period = time.Duration(blend(float64(s.period), float64(gap), 0.125))
	switch {
	case s.cold(c.now): // tells little of the warm server
	case usable(r.AcceptRate) && r.AcceptRate > 0:
		s.mu, s.muAt = blend(s.mu, r.AcceptRate, fading(c.now-s.muAt, muSpan)), c.now
	case usable(r.Utilisation) && r.Utilisation > 0.3 && s.flow > 0:
		s.mu, s.muAt = blend(s.mu, s.flow/min(r.Utilisation, 1), fading(c.now-s.muAt, muSpan)/2), c.now
	}
	if usable(r.RefuseShare) {
		c.setB(s, r.RefuseShare)
		return
	}
	u := max(r.Utilisation, NotReported)
	if usable(r.QueueLength) {
		u = max(u, r.QueueLength/(1+r.QueueLength))
		if mu := c.capacity(s); mu > 0 {
			c.queued(s, min(c.aim/2, time.Duration(r.QueueLength/mu*float64(time.Second))))
		}
	}
	if usable(r.WaitSeconds) { // counted in set-ups of the length that an idle server takes
		wait := time.Duration(r.WaitSeconds * float64(time.Second))
		u = max(u, float64(wait)/float64(wait+max(s.base, c.set.Tick)))
		c.queued(s, wait)
		s.waits = true
	}
	if u > 0 && s.load > 0 {
		u = s.load + fading(gap, flowSpan)*(u-s.load)
	}
	if usable(u) {
		s.load = u
	}
	c.throttle(s)
}

func (c *Controller) queued(s *server, wait time.Duration) {
	s.queue, s.queueAt = max(wait-c.target(s)+s.base, 0), c.now
}

func blend(old, x, w float64) float64 {
	if old == 0 {
		return x
	}
	return old + w*(x-old)
}

// capacity is what a server takes a second when warm: measured, else by its lines.
func (c *Controller) capacity(s *server) float64 {
	if s.mu > 0 {
		return s.mu
	}
	return c.joint().EstimateRate(s.total)
}

// joint is what all servers are known to take, and the flow there, of all senders. It is summed
// once in an event, and again where a figure changed in it.
func (c *Controller) joint() *spread.ServerTotals {
	if !c.summed {
		c.fleet, c.summed = spread.ServerTotals{}, true
		for _, s := range c.each() {
			c.fleet.Add(s.mu, s.total, s.flow)
		}
	}
	return &c.fleet
}

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

// latest is when a waiting call is given up: it could no longer stand in time.
func (c *Controller) latest(cl *call) Time {
	t := cl.at + time.Duration(holdShare*float64(cl.group.class.Aim))
	if cl.attempts > 0 {
		t = cl.at + cl.group.class.Aim
	}
	return min(t, cl.deadline-2*c.set.Tick)
}

func (c *Controller) again(cl *call) bool {
	if cl.attempts >= cl.most || c.retries < 1 && !cl.free {
		return false
	}
	return max(cl.clearAt, c.now)+c.aim/8 < c.latest(cl)
}

func (c *Controller) lost(s *server) time.Duration {
	return time.Duration(max(lostTargets*float64(c.target(s)), lostDelays*float64(s.delay)))
}

// callOff cancels set-ups taken for lost while another attempt could stand in time. It
// guards against lost set-ups, lost answers and dead servers. In a jam it must stay
// its hand, for what is given up may still be worked on and feeds it.
func (c *Controller) callOff(s *server) {
	dead := s.suspect && s.flow < 1 && c.elsewhere()
	for _, cl := range s.waiting {
		over := cl.sentAt < s.overtaken
		after, next := c.lost(s), c.target(s)
		if over { // no queue holds it back, nor will one hold the next
			after, next = max(time.Duration(overPart*float64(c.aim)), lostDelays*s.delay), 2*s.delay
		}
		if !cl.off && c.now-cl.sentAt > after && (over || c.serves(s) || dead) &&
			c.now+cl.spacing+next <= cl.at+cl.group.class.Aim && c.retries >= 1 {
			cl.off = true
			c.do(Cancel{cl.id, cl.attempts - 1})
		}
	}
}

// elsewhere tells whether any trusted server is open. None comes to be so in the course of a watch.
func (c *Controller) elsewhere() bool {
	for ; c.openAt < len(c.servers); c.openAt++ {
		c.looks++
		if o := c.servers[c.openAt]; !o.suspect && c.open(o) {
			return true
		}
	}
	return false
}

// dispatch sends the waiting calls that find room, the most worth first.
func (c *Controller) dispatch() {
	slices.SortStableFunc(c.held, func(a, b *call) int {
		return cmp.Or(cmp.Compare(b.group.worth, a.group.worth), cmp.Compare(a.at, b.at))
	})
	for _, cl := range slices.Clone(c.held) {
		if c.now < cl.clearAt {
			continue
		}
		to, stay := c.route(cl)
		switch {
		case c.now >= c.latest(cl) || c.now < c.busy[cl.number].till || to == nil && !stay:
			c.finish(cl)
		case to != nil:
			c.send(cl, to)
		}
	}
}

// send is the only place where an attempt starts, and keeps the rules for all of them.
func (c *Controller) send(cl *call, s *server) {
	if cl.closed || cl.out || c.now < cl.clearAt || c.now >= cl.deadline || s.State != Up ||
		cl.attempts >= cl.most || !c.coldRoom(s) {
		return
	}
	if cl.attempts == 0 {
		c.retries = min(c.retries+retryShare, retryMost)
	} else if !cl.free {
		c.retries--
	}
	if cl.free = s.suspect; s.suspect { // a trial
		s.trialAt = c.now + max(c.aim, c.trials(s))
	}
	cl.attempts++
	cl.last, cl.sentAt, cl.out, cl.off = s, c.now, true, false
	if s.waiting = append(s.waiting, cl); c.linesOf(s).NearlyFull(c.now, c.pace) {
		s.lineAt = c.now + c.part(0.5, c.lineGap(s))
	}
	s.allowed.Spend()
	c.spread.RecordSent(c.now, s.ID, s.Pool != cl.pool)
	c.held = without(c.held, cl)
	c.do(Send{cl.id, s.ID, cl.deadline})
}

// finish is the only place where a call is given up: at once, with advice when to return.
func (c *Controller) finish(cl *call) {
	if cl.closed || cl.out {
		return
	}
	cl.closed = true
	c.drop(cl)
	if c.now >= cl.deadline {
		c.do(Fail{cl.id})
		return
	}
	c.do(Refuse{cl.id, c.part(0.5, c.set.Limits.MaxRetryAfter/2)})
}

// answer takes a set-up's answer as the freshest sign of its server's state.
func (c *Controller) answer(cl *call, d time.Duration) {
	s := cl.last
	if d <= 0 || d > c.now-cl.sentAt {
		d = c.now - cl.sentAt
	}
	c.settle(cl)
	silent := c.now - max(s.answered, s.heard)
	if s.answered = c.now; s.suspect {
		c.trust(s, silent)
	}
	if cl.sentAt < s.overtaken && d > c.target(s) { // it alone was late: no sign of a queue
		return
	}
	s.overtaken = max(s.overtaken, cl.sentAt)
	if s.base == 0 || d < s.base {
		s.base = d
	}
	s.base += s.base / 200
	s.delay += (d - s.delay) / 4
	t := c.target(s)
	c.queued(s, d-s.base)
	// With a queue a server serves what it can: its flow is its capacity.
	if d > t && s.flow > 0 && !s.cold(c.now) && (s.mu == 0 || c.set.Reports == WhenProbed) {
		s.mu, c.summed = blend(s.mu, min(s.inst, max(s.mu, s.flow)), 0.3), false
	}
	c.throttle(s)
	s.allowed.Refund(d <= t, s.mu*c.aim.Seconds()/float64(c.set.Senders))
	switch {
	case d > t:
		if c.now >= s.cutAt+d { // the answers of one stall count once
			s.room, s.cutAt = max(s.room*max(float64(t)/float64(d), cutRoom), 1), c.now
		}
	case float64(len(s.waiting)+1) >= math.Floor(s.room):
		s.room = min(s.room+growRoom/s.room, mostRoom)
	}
}

func (c *Controller) settle(cl *call) {
	cl.out = false
	cl.last.waiting = without(cl.last.waiting, cl)
	c.spread.RecordEnd(cl.last.ID, cl.stands)
}

func without(calls []*call, cl *call) []*call {
	return slices.DeleteFunc(calls, func(o *call) bool { return o == cl })
}

// watch looks after every server's signs: age of its oldest set-up, age of its report.
func (c *Controller) watch() {
	if c.now == c.woke { // what came meanwhile is read first
		return
	}
	c.openAt = 0
	for _, s := range c.each() {
		if len(s.waiting) > 0 && !s.suspect &&
			float64(min(c.age(s), c.now-s.answered)) > suspectAge*float64(c.aim) && !c.serves(s) {
			c.doubt(s, 0)
		}
		if c.set.Limits.AllowCancel && (s.suspect || len(s.waiting) > 0) {
			c.callOff(s)
		}
		if s.b > 0 && c.now >= s.reported+max(reportMaxAge, reportGaps*s.period) {
			c.setB(s, s.b/2)
			s.reported = c.now
		}
		if c.set.Limits.AllowProbes && c.set.Reports == WhenProbed && s.State == Up &&
			c.now >= s.probeAt && c.coldRoom(s) {
			s.probeAt = c.now + c.part(0.5, max(probeMost, spread.SenderInterval(c.set.Senders, probeJoint)))
			c.spread.SpendCold(c.now, s.ID)
			c.do(Probe{s.ID})
		}
	}
}

// serves tells whether a server visibly takes calls, whoever sends them. It guards against
// shutting it on the evidence of one lost call; it is late by a count or two.
func (c *Controller) serves(s *server) bool {
	return len(s.waiting) < proof && s.queue == 0 && s.flow > 0 && s.inst >= serveFlow*s.flow &&
		s.inst < c.capacity(s) && c.now < s.roseAt+serveSpan
}

func (c *Controller) age(s *server) time.Duration {
	for _, cl := range s.waiting {
		if cl.sentAt >= s.overtaken {
			return c.now - cl.sentAt
		}
	}
	return 0
}

// occupied spaces the calls to a number whose lines are all busy, as each would end the
// same way at any server; it hurts where a line comes free within the gap.
func (c *Controller) occupied(cl *call) {
	if cl.number == "" {
		return
	}
	gap := min(max(2*c.busy[cl.number].gap, c.aim/busyPart), c.aim)
	c.busy[cl.number] = engaged{gap, c.now + gap}
	maps.DeleteFunc(c.busy, func(_ string, e engaged) bool { return c.now > e.till+c.aim })
}

// doubt makes a server suspect: it gets spaced trials until one is answered.
func (c *Controller) doubt(s *server, gap time.Duration) {
	if !s.suspect {
		s.suspect, s.since = true, c.now
	}
	s.trialAt = max(s.trialAt, c.now+gap+c.part(0, c.trials(s)))
}

func (c *Controller) trust(s *server, silent time.Duration) {
	s.suspect = false
	s.room = 1
	if d := c.now - s.since; d > logSpan {
		c.logf("server %s is trusted again after %v", s.ID, d)
	}
	if float64(min(silent, c.now-s.since)) > silentAge*float64(c.aim) {
		c.chill(s, c.now, time.Duration(silentPart*float64(c.set.Rules.WarmUp)))
	}
}

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

// trials is the time between this sender's trials of a suspect server: all senders'
// together can't keep it full, and grow with the calls that it is seen to take.
func (c *Controller) trials(s *server) time.Duration {
	return spread.SenderInterval(c.set.Senders, max(trialShare*c.capacity(s), trialFlow*min(s.inst, s.flow)))
}

func (c *Controller) part(from float64, d time.Duration) time.Duration {
	return time.Duration((from + c.rng.Float64()) * float64(d))
}

// rest asks to be woken when there is something to look at.
func (c *Controller) rest() {
	gap := busyTick
	for _, cl := range c.held {
		gap = max(min(gap, waitTick, c.latest(cl)-c.now), c.set.Tick, time.Millisecond)
	}
	if c.wakeAt <= c.now || c.now+gap < c.wakeAt {
		c.wakeAt = c.now + gap
		c.do(Wake{gap})
	}
}
