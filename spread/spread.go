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
	viewPeriods  = 4 // a view is followed for so long without a newer one
	lendPeriods  = 4 // a right is lent for so long
	grantPeriods = 2 // and used by whoever it was granted to within so long
	heardPeriods = 4 // a sender that was not heard for so long is not counted
)

// server is what one sender keeps of a server.
type server struct {
	sent, done, stood uint64  // set-ups of this sender, since its start
	own               float64 // what the sender alone thinks that it can take
	asked             bool    // for its order, since the last set-up
	placed            bool    // place is known among those alive now
	place             int
	turn              float64 // set-ups of this sender until its turn, by its part of them
	share             float64 // of the joint load, by the view; 0: none given
	seen              Seen    // figures of the server's own, as this sender has them
	seenAt            Time
	joint             float64 // what all senders may send it while it is cold, a second
	right             right   // of a cold budget, alone
	grants            []grant
	coldAt            Time // its budget was last asked for; it is while a server is cold
	chilled           bool
	up                bool
	away              bool // it has no connection, nor the right to one
	due               Due
	sentAt            Time // the latest set-up of this sender; below 0: none yet
}

// Seat keeps where a server's part of a State is, once found.
type Seat struct{ v *server }

// State is one sender's part. It is not safe for concurrent use.
type State struct {
	cfg     Config
	servers map[string]*server
	demand  rate // set-ups of first tries
	view    *View
	told    bool // a view told shares, and is followed
	viewAt  Time // when the latest that did came
	heardAt Time // when the latest view of any kind came
	lent    Time // its rights are lent until then; below 0: they never were
	lentTo  string
	seq     uint64
	rng     *rand.Rand
	alive   []string
	asked   []*server // those asked for their order since the last set-up
	turn    turn

	summaries [8]sentAt // the latest, by number
}

// New returns the state of a sender.
func New(cfg Config) *State {
	return &State{cfg: cfg, servers: map[string]*server{}, demand: rate{span: demandSpan},
		rng: rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Rank))), lent: -1}
}

// demandSpan is the memory of a sender's own demand; it sees a call a second or so.
const demandSpan = 4 * time.Second

func (s *State) get(id string) *server {
	v := s.servers[id]
	if v == nil {
		v = &server{turn: s.apart(), up: true, sentAt: -1}
		s.servers[id] = v
	}
	return v
}

// apart is where a server's turn begins: an even draw (the stationary one) gives each the first call of
// as many senders as its part of the load, so that senders begin apart, and none turn to a new
// server all at once.
func (s *State) apart() float64 { return s.rng.Float64() }

// Listed tells which servers are up; others are forgotten.
func (s *State) Listed(id string, up bool) {
	if !up && s.servers[id] == nil && !s.distant() {
		return // a distant steward must not hear of it as listed once this sender has a word of it
	}
	v := s.get(id)
	if up && !v.up {
		v.turn = s.apart()
	}
	v.up = up
}

// coldMost is how long after its budget was last asked for a server still counts as cold.
const coldMost = time.Second

func (v *server) cold(now Time) bool { return v.chilled && now-v.coldAt < coldMost }

// Chill begins a server's cold budget.
func (s *State) Chill(id string) {
	v := s.get(id)
	v.right, v.grants, v.turn = right{}, nil, s.apart()
}

// Forget drops a server that is gone.
func (s *State) Forget(id string) { delete(s.servers, id) }

// Offered counts a first try that came to this sender.
func (s *State) Offered(now Time) { s.demand.add(now, 1) }

// Sent counts a set-up that went out. inOrder: it was chosen by Order among the servers that were
// asked for since the last one; time, as turns count it, goes on to the turn of the one chosen. One
// that was not (a call's first choice) puts the server's next turn off.
func (s *State) Sent(now Time, id string, inOrder bool) {
	v := s.get(id)
	passed := max(v.turn, 0) / max(v.weight(), 1e-9)
	for _, o := range s.asked {
		if inOrder {
			o.turn = max(o.turn-passed*o.weight(), 0) // whose turn was passed over is next, and owed no more
		}
		o.asked = false
	}
	s.asked = s.asked[:0]
	v.turn++
	v.sent++
	v.sentAt, v.due.Duty = now, false
	if v.cold(now) {
		s.spend(now, v)
	}
}

// Ended counts the end of a set-up: the call stands, or it was refused, lost or given up.
func (s *State) Ended(id string, stands bool) {
	v := s.servers[id]
	if v == nil || v.done >= v.sent {
		return
	}
	v.done++
	if stands {
		v.stood++
	}
}

// Saw takes what this sender has of a server's own figures.
func (s *State) Saw(now Time, id string, seen Seen) {
	v := s.get(id)
	if seen.Util < 0 && seen.Wait < 0 { // no word of its processor
		v.seen.Lines = seen.Lines
		return
	}
	v.seen, v.seenAt = seen, now
}

// weight is a server's part of the joint load; where no view tells, the sender's own figure.
func (v *server) weight() float64 {
	if v.share > 0 {
		return v.share
	}
	return max(v.own, 1e-3)
}

// Follows tells whether this sender follows a view that is fresh.
func (s *State) Follows(now Time) bool {
	return s.told && now-s.viewAt < viewPeriods*s.cfg.period()
}

// Order is a server's place among others that are equal to the module: the largest goes first.
// The next is whose turn comes soonest at its weight (stride scheduling, Waldspurger and Weihl
// 1995), so that this sender's set-ups lie evenly, however few they are.
// own is what this sender alone thinks that the server can take beyond its load. The seat is the
// caller's, one for each server until that is forgotten, and saves a look-up.
func (s *State) Order(now Time, id string, seat *Seat, own float64) float64 {
	if seat.v == nil {
		seat.v = s.get(id)
	}
	v := seat.v
	if v.own = own; !v.asked {
		v.asked = true
		s.asked = append(s.asked, v)
	}
	if v.away {
		return awayOrder - v.turn/v.weight()
	}
	if s.Follows(now) && s.onDuty(now, id, v) {
		return math.Inf(1)
	}
	if len(v.grants) > 0 && v.cold(now) { // a granted right is used or lost
		return 1
	}
	return -v.turn / v.weight()
}

// awayOrder is below the place of every server that has a connection.
const awayOrder = -1e9

// Placed tells of servers that have lost the right to a connection, or come by it: among equals those
// that have it go first.
func (s *State) Placed(ids []string, placed bool) {
	for _, id := range ids {
		if v := s.servers[id]; v != nil {
			v.away = !placed
		}
	}
}

// Look drops a view that is too old to follow.
func (s *State) Look(now Time) {
	if s.view != nil && now-s.heardAt >= viewPeriods*s.cfg.period() {
		s.view = nil
	}
	if s.told && !s.Follows(now) {
		s.told = false
		for _, v := range s.servers {
			v.share, v.due = 0, Due{}
		}
	}
}

// rate is a flow, with a memory that fades.
type rate struct {
	span  time.Duration
	x     float64 // events a second
	at    Time
	begun bool
	first Time
}

func (r *rate) add(now Time, n float64) {
	if !r.begun {
		r.begun, r.first, r.at = true, now, now
	}
	keep := math.Exp(-float64(now-r.at) / float64(r.span))
	r.x, r.at = r.x*keep+n/r.span.Seconds(), now
}

// per is the events a second; a young one is scaled by the part of its memory that is filled.
func (r *rate) per(now Time) float64 {
	if !r.begun {
		return 0
	}
	x := r.x * math.Exp(-float64(now-r.at)/float64(r.span))
	filled := 1 - math.Exp(-float64(max(now-r.first, r.span/8))/float64(r.span))
	return x / filled
}

// Known is what a steward needs of its own process's view: which servers are up, and what all
// senders together may send to those that are cold, a second.
func (s *State) Known(now Time) (up map[string]float64) {
	up = map[string]float64{}
	for id, v := range s.servers {
		if v.up {
			up[id] = 0
			if v.cold(now) {
				up[id] = v.joint
			}
		}
	}
	return up
}
