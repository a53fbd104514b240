// Package spread distributes the load of many senders over a few servers, where each sender sees only a small
// part of that load. It has no clock and performs no I/O: times are passed in, measured by each process on
// its own monotonic clock, and messages are plain values. It gives package policy a priority among servers
// and a limit on what may be sent to them; policy decides which server a call goes to.
//
// There are two modes on the same state. Alone, a sender knows its rank, the number of senders, what it sent
// itself and what servers report. In common, senders send summaries of what they sent and observed to a
// steward, and the steward answers with the share of the joint load that each server should get. Rights to a
// cold server's budget are lent for a limited time and are never used twice (lease.go). A sender that
// receives no view for some time goes on alone.
//
// The sources and alternatives considered are in docs/spread.md.
package spread

import (
	"math"
	"math/rand/v2"
	"time"
)

// Time is a moment on the monotonic clock of the sender's host.
type Time = time.Duration

// Config is the configuration of a sender or a steward.
type Config struct {
	Name    string // name of this sender, unique among the senders; empty if senders do not communicate
	Life    int64  // identifies one run of the process; later runs have larger values
	Rank    int    // rank of this sender among all senders, from 0
	Senders int
	Period  time.Duration // time between two summaries; 0 means DefaultPeriod. Senders may have different periods
	Seed    uint64        // seeds, together with the rank, the initial order of servers, so that senders start apart

	// Stewards names the processes that may be steward if these are not the senders themselves, such as
	// control machines. If empty, the live senders are the candidates. All senders of a service must have the
	// same list.
	Stewards []string
	// Service is the hash key that distributes the stewards of different services over the same machines. It
	// is used only if Stewards is set. If empty, the key of senders that are stewards themselves is used.
	Service string
}

// DefaultPeriod is the time between two summaries if the configuration sets none.
const DefaultPeriod = 500 * time.Millisecond

func (c Config) period() time.Duration {
	if c.Period <= 0 {
		return DefaultPeriod
	}
	return c.Period
}

// SetPeriod changes the period. Rights that are already lent stay lent for the time they were lent for.
func (s *State) SetPeriod(d time.Duration) { s.cfg.Period = d }

// SetPeriod changes the steward's period.
func (w *Steward) SetPeriod(d time.Duration) { w.cfg.Period = d }

// Validity times, in periods.
const (
	viewTTLPeriods   = 4 // a view is followed for this long if no newer one arrives
	loanPeriods      = 4 // a right is lent for this long
	grantPeriods     = 2 // a grant can be used for this long
	senderTTLPeriods = 4 // a sender is not counted if its last summary is older than this
)

// serverState is what one sender keeps about a server.
type serverState struct {
	sent, done, stood uint64  // set-ups of this sender since its start: sent, ended, and ended with a call that stood
	ownEstimate       float64 // set-ups a second that this sender estimates the server can take beyond its load
	queried           bool    // Priority was called for it since the last set-up
	rankKnown         bool    // rank is valid for the current list of live senders
	rank              int
	pass              float64 // stride-scheduling position: divided by the weight, the time until the server's next turn
	share             float64 // set-ups a second it should get from all senders, from the view; 0 if none given
	report            Seen    // the server's own figures, as last received by this sender
	reportAt          Time
	jointColdRate     float64   // set-ups a second that all senders together may send it while it is cold
	coldRight         coldRight // this sender's own part of the cold budget
	grants            []grant
	coldQueriedAt     Time // latest MaySendCold call for it; these calls are made only while a server is cold
	wasCold           bool
	up                bool
	noConnection      bool // this sender has neither a connection to it nor a slot for one
	due               Due
	lastSentAt        Time // latest set-up of this sender; negative if there was none
}

// ServerRef caches a State's entry for one server.
type ServerRef struct{ server *serverState }

// State is the state of one sender. It is not safe for concurrent use.
type State struct {
	cfg           Config
	servers       map[string]*serverState
	demand        rate // rate of first attempts of calls
	view          *View
	hasShares     bool // the latest view with shares is still in use
	sharesAt      Time // when the latest view with shares arrived
	lastViewAt    Time // when the latest view of any kind arrived
	lentUntil     Time // this sender's rights are lent until then; negative if they never were
	lentTo        string
	seq           uint64
	rng           *rand.Rand
	alive         []string
	queried       []*serverState // servers for which Priority was called since the last set-up
	stewardChoice stewardChoice

	recentSummaries [8]sentSummary // ring buffer of the latest summaries, indexed by sequence number
}

// New returns the state of a sender.
func New(cfg Config) *State {
	return &State{cfg: cfg, servers: map[string]*serverState{}, demand: rate{timeConstant: demandWindow},
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Rank))), lentUntil: -1}
}

// demandWindow is the averaging time of a sender's demand. A sender may see only about one call a second.
const demandWindow = 4 * time.Second

func (s *State) getOrCreate(id string) *serverState {
	server := s.servers[id]
	if server == nil {
		server = &serverState{pass: s.initialPass(), up: true, lastSentAt: -1}
		s.servers[id] = server
	}
	return server
}

// initialPass draws a server's initial position. The draw is uniform, which is the stationary distribution:
// each server then gets the first call of as many senders as matches its share of the load, and senders don't
// all move to a new server at the same time.
func (s *State) initialPass() float64 { return s.rng.Float64() }

// UpdateServer adds a server or updates whether it is up.
func (s *State) UpdateServer(id string, up bool) {
	// With a remote steward, a server that is down gets an entry as well: otherwise RecordReport would create
	// one that is up, and the steward would count the server as listed by this sender.
	if !up && s.servers[id] == nil && !s.usesRemoteSteward() {
		return
	}
	server := s.getOrCreate(id)
	if up && !server.up {
		server.pass = s.initialPass()
	}
	server.up = up
}

// coldTTL is how long after the latest MaySendCold call a server still counts as cold.
const coldTTL = time.Second

func (s *serverState) isCold(now Time) bool { return s.wasCold && now-s.coldQueriedAt < coldTTL }

// StartWarmUp resets a server's cold budget at the start of its warm-up.
func (s *State) StartWarmUp(id string) {
	server := s.getOrCreate(id)
	server.coldRight, server.grants, server.pass = coldRight{}, nil, s.initialPass()
}

// RemoveServer drops a server.
func (s *State) RemoveServer(id string) { delete(s.servers, id) }

// RecordDemand counts the first attempt of a call that arrived at this sender.
func (s *State) RecordDemand(now Time) { s.demand.add(now, 1) }

// RecordSent counts a set-up that was sent. inOrder says that it was chosen by Priority among the servers
// queried since the last set-up; the positions of all queried servers then advance to the turn of the chosen
// one. A set-up that was not chosen this way (a call's first choice) only delays the server's next turn.
func (s *State) RecordSent(now Time, id string, inOrder bool) {
	server := s.getOrCreate(id)
	passed := max(server.pass, 0) / max(server.weight(), 1e-9)
	for _, other := range s.queried {
		if inOrder {
			other.pass = max(other.pass-passed*other.weight(), 0) // a skipped server is next, without further credit
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

// RecordReport stores the server's own figures as received by this sender.
func (s *State) RecordReport(now Time, id string, report Seen) {
	server := s.getOrCreate(id)
	if report.Util < 0 && report.Wait < 0 { // no figures of its processor
		server.report.Lines = report.Lines
		return
	}
	server.report, server.reportAt = report, now
}

// weight is the server's share from the view or, if there is none, this sender's own estimate.
func (s *serverState) weight() float64 {
	if s.share > 0 {
		return s.share
	}
	return max(s.ownEstimate, 1e-3)
}

// FollowsView reports whether this sender has a view with shares that has not expired.
func (s *State) FollowsView(now Time) bool {
	return s.hasShares && now-s.sharesAt < viewTTLPeriods*s.cfg.period()
}

// Priority returns a server's priority among servers that package policy considers equal; the largest goes
// first. The server whose turn comes soonest at its weight is next (stride scheduling, Waldspurger and Weihl
// 1995), so that this sender's set-ups are evenly spaced, however few they are. ownEstimate is the set-ups a
// second that this sender estimates the server can take beyond its load. The caller keeps one ref for each
// server until it removes the server; it saves a map look-up.
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
	if len(server.grants) > 0 && server.isCold(now) { // a granted set-up expires if it is not used soon
		return 1
	}
	return -server.pass / server.weight()
}

// noConnectionPriority is below the priority of every server that has a connection.
const noConnectionPriority = -1e9

// SetConnected records whether servers have a connection or a slot for one. Servers with one come before
// those without.
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

// rate is an exponentially decaying average of an event rate.
type rate struct {
	timeConstant time.Duration
	average      float64 // events a second at updatedAt
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

// perSecond returns the rate in events a second. Until several time constants have passed, it is divided by
// the filled part of the averaging window.
func (r *rate) perSecond(now Time) float64 {
	if !r.started {
		return 0
	}
	average := r.average * math.Exp(-float64(now-r.updatedAt)/float64(r.timeConstant))
	filled := 1 - math.Exp(-float64(max(now-r.startedAt, r.timeConstant/8))/float64(r.timeConstant))
	return average / filled
}

// UpServers returns the servers that are up, with the set-ups a second that all senders together may send to
// each cold one; 0 for a warm one. A steward in the same process takes it as input.
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
