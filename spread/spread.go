// Package spread decides how the load of many senders is spread over few servers although each
// sender sees little of it. It has no clock and no I/O: times are data, measured by each process
// on its own monotonic clock, and messages are values. It gives package policy an order among
// servers and room at them; which server a call goes to stays policy's decision.
//
// It has two modes on one state. Alone, a sender knows its rank, how many senders there are, what
// it sent, and what servers tell. In common, senders tell a steward what each sent and saw, and
// the steward tells them how much of the joint load each server is to get; rights to a cold
// server's budget are lent for a time, and never used twice (lease.go). A sender that hears
// nothing for a while goes on alone.
//
// The sources weighed stand in docs/spread.md.
package spread

import (
	"math"
	"math/rand/v2"
	"time"
)

// Time is a moment on the clock of the sender's host. It never runs backwards.
type Time = time.Duration

// Config is what a sender knows at its start.
type Config struct {
	Name    string // its name among the senders; "" where they don't talk
	Life    int64  // of this process: later lives have larger ones
	Rank    int    // its place among the senders, from 0
	Senders int
	Period  time.Duration // between two summaries; 0: DefaultPeriod. Senders may have different ones
	Seed    uint64        // with the rank, draws where its order begins, so that senders begin apart

	// Stewards are the names of those who may be steward where these are not the senders themselves, as
	// control machines are; empty: the senders alive. All senders of a service name the same.
	Stewards []string
	// Service is the key by which the stewards of different services lie apart on the same machines. It
	// counts only beside Stewards; empty: the key of senders that are steward themselves.
	Service string
}

// DefaultPeriod is the time between two summaries where the configuration names none.
const DefaultPeriod = 500 * time.Millisecond

func (c Config) period() time.Duration {
	if c.Period <= 0 {
		return DefaultPeriod
	}
	return c.Period
}

// SetPeriod changes the period from now on. Rights that are lent stay lent for as long as they
// were lent for.
func (s *State) SetPeriod(d time.Duration) { s.cfg.Period = d }

// SetPeriod changes the steward's period from now on.
func (w *Steward) SetPeriod(d time.Duration) { w.cfg.Period = d }

// How long things hold, in periods.
const (
	viewTTLPeriods   = 4 // a view is followed for so long without a newer one
	loanPeriods      = 4 // a right is lent for so long
	grantPeriods     = 2 // and used by whoever it was granted to within so long
	senderTTLPeriods = 4 // a sender that was not heard for so long is not counted
)

// serverState is what one sender keeps of a server.
type serverState struct {
	sent, done, stood uint64  // set-ups of this sender, since its start
	ownEstimate       float64 // what the sender alone thinks that it can take
	queried           bool    // for its order, since the last set-up
	rankKnown         bool    // place is known among those alive now
	rank              int
	pass              float64 // set-ups of this sender until its turn, by its part of them
	share             float64 // of the joint load, by the view; 0: none given
	report            Seen    // figures of the server's own, as this sender has them
	reportAt          Time
	jointColdRate     float64   // what all senders may send it while it is cold, a second
	coldRight         coldRight // of a cold budget, alone
	grants            []grant
	coldQueriedAt     Time // its budget was last asked for; it is while a server is cold
	wasCold           bool
	up                bool
	noConnection      bool // it has no connection, nor the right to one
	due               Due
	lastSentAt        Time // the latest set-up of this sender; below 0: none yet
}

// ServerRef keeps where a server's part of a State is, once found.
type ServerRef struct{ server *serverState }

// State is one sender's part. It is not safe for concurrent use.
type State struct {
	cfg           Config
	servers       map[string]*serverState
	demand        rate // set-ups of first tries
	view          *View
	hasShares     bool // a view told shares, and is followed
	sharesAt      Time // when the latest that did came
	lastViewAt    Time // when the latest view of any kind came
	lentUntil     Time // its rights are lent until then; below 0: they never were
	lentTo        string
	seq           uint64
	rng           *rand.Rand
	alive         []string
	queried       []*serverState // those asked for their order since the last set-up
	stewardChoice stewardChoice

	recentSummaries [8]sentSummary // the latest, by number
}

// New returns the state of a sender.
func New(cfg Config) *State {
	return &State{cfg: cfg, servers: map[string]*serverState{}, demand: rate{timeConstant: demandWindow},
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Rank))), lentUntil: -1}
}

// demandWindow is the memory of a sender's own demand; it sees a call a second or so.
const demandWindow = 4 * time.Second

func (s *State) getOrCreate(id string) *serverState {
	server := s.servers[id]
	if server == nil {
		server = &serverState{pass: s.initialPass(), up: true, lastSentAt: -1}
		s.servers[id] = server
	}
	return server
}

// initialPass is where a server's turn begins: an even draw (the stationary one) gives each the first call of
// as many senders as its part of the load, so that senders begin apart, and none turn to a new
// server all at once.
func (s *State) initialPass() float64 { return s.rng.Float64() }

// UpdateServer tells which servers are up; others are forgotten.
func (s *State) UpdateServer(id string, up bool) {
	if !up && s.servers[id] == nil && !s.usesRemoteSteward() {
		return // a distant steward must not hear of it as listed once this sender has a word of it
	}
	server := s.getOrCreate(id)
	if up && !server.up {
		server.pass = s.initialPass()
	}
	server.up = up
}

// coldTTL is how long after its budget was last asked for a server still counts as cold.
const coldTTL = time.Second

func (s *serverState) isCold(now Time) bool { return s.wasCold && now-s.coldQueriedAt < coldTTL }

// StartWarmUp begins a server's cold budget.
func (s *State) StartWarmUp(id string) {
	server := s.getOrCreate(id)
	server.coldRight, server.grants, server.pass = coldRight{}, nil, s.initialPass()
}

// RemoveServer drops a server that is gone.
func (s *State) RemoveServer(id string) { delete(s.servers, id) }

// RecordDemand counts a first try that came to this sender.
func (s *State) RecordDemand(now Time) { s.demand.add(now, 1) }

// RecordSent counts a set-up that went out. inOrder: it was chosen by Order among the servers that were
// asked for since the last one; time, as turns count it, goes on to the turn of the one chosen. One
// that was not (a call's first choice) puts the server's next turn off.
func (s *State) RecordSent(now Time, id string, inOrder bool) {
	server := s.getOrCreate(id)
	passed := max(server.pass, 0) / max(server.weight(), 1e-9)
	for _, other := range s.queried {
		if inOrder {
			other.pass = max(other.pass-passed*other.weight(), 0) // whose turn was passed over is next, and owed no more
		}
		other.queried = false
	}
	s.queried = s.queried[:0]
	server.pass++
	server.sent++
	server.lastSentAt, server.due.Duty = now, false
	if server.isCold(now) {
		s.spendCold(now, server)
	}
}

// RecordEnd counts the end of a set-up: the call stands, or it was refused, lost or given up.
func (s *State) RecordEnd(id string, stands bool) {
	server := s.servers[id]
	if server == nil || server.done >= server.sent {
		return
	}
	server.done++
	if stands {
		server.stood++
	}
}

// RecordReport takes what this sender has of a server's own figures.
func (s *State) RecordReport(now Time, id string, report Seen) {
	server := s.getOrCreate(id)
	if report.Util < 0 && report.Wait < 0 { // no word of its processor
		server.report.Lines = report.Lines
		return
	}
	server.report, server.reportAt = report, now
}

// weight is a server's part of the joint load; where no view tells, the sender's own figure.
func (s *serverState) weight() float64 {
	if s.share > 0 {
		return s.share
	}
	return max(s.ownEstimate, 1e-3)
}

// FollowsView tells whether this sender follows a view that is fresh.
func (s *State) FollowsView(now Time) bool {
	return s.hasShares && now-s.sharesAt < viewTTLPeriods*s.cfg.period()
}

// Priority is a server's place among others that are equal to the module: the largest goes first.
// The next is whose turn comes soonest at its weight (stride scheduling, Waldspurger and Weihl
// 1995), so that this sender's set-ups lie evenly, however few they are.
// own is what this sender alone thinks that the server can take beyond its load. The seat is the
// caller's, one for each server until that is forgotten, and saves a look-up.
func (s *State) Priority(now Time, id string, ref *ServerRef, ownEstimate float64) float64 {
	if ref.server == nil {
		ref.server = s.getOrCreate(id)
	}
	server := ref.server
	if server.ownEstimate = ownEstimate; !server.queried {
		server.queried = true
		s.queried = append(s.queried, server)
	}
	if server.noConnection {
		return noConnectionPriority - server.pass/server.weight()
	}
	if s.FollowsView(now) && s.isOnDuty(now, id, server) {
		return math.Inf(1)
	}
	if len(server.grants) > 0 && server.isCold(now) { // a granted right is used or lost
		return 1
	}
	return -server.pass / server.weight()
}

// noConnectionPriority is below the place of every server that has a connection.
const noConnectionPriority = -1e9

// SetConnected tells of servers that have lost the right to a connection, or come by it: among equals those
// that have it go first.
func (s *State) SetConnected(ids []string, connected bool) {
	for _, id := range ids {
		if server := s.servers[id]; server != nil {
			server.noConnection = !connected
		}
	}
}

// ExpireView drops a view that is too old to follow.
func (s *State) ExpireView(now Time) {
	if s.view != nil && now-s.lastViewAt >= viewTTLPeriods*s.cfg.period() {
		s.view = nil
	}
	if s.hasShares && !s.FollowsView(now) {
		s.hasShares = false
		for _, server := range s.servers {
			server.share, server.due = 0, Due{}
		}
	}
}

// rate is a flow, with a memory that fades.
type rate struct {
	timeConstant time.Duration
	average      float64 // events a second
	updatedAt    Time
	started      bool
	startedAt    Time
}

func (r *rate) add(now Time, count float64) {
	if !r.started {
		r.started, r.startedAt, r.updatedAt = true, now, now
	}
	decay := math.Exp(-float64(now-r.updatedAt) / float64(r.timeConstant))
	r.average, r.updatedAt = r.average*decay+count/r.timeConstant.Seconds(), now
}

// perSecond is the events a second; a young one is scaled by the part of its memory that is filled.
func (r *rate) perSecond(now Time) float64 {
	if !r.started {
		return 0
	}
	average := r.average * math.Exp(-float64(now-r.updatedAt)/float64(r.timeConstant))
	filled := 1 - math.Exp(-float64(max(now-r.startedAt, r.timeConstant/8))/float64(r.timeConstant))
	return average / filled
}

// UpServers is what a steward needs of its own process's view: which servers are up, and what all
// senders together may send to those that are cold, a second.
func (s *State) UpServers(now Time) (coldRates map[string]float64) {
	coldRates = map[string]float64{}
	for id, server := range s.servers {
		if server.up {
			coldRates[id] = 0
			if server.isCold(now) {
				coldRates[id] = server.jointColdRate
			}
		}
	}
	return coldRates
}
