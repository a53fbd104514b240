package spread

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Seen holds a server's own figures as received by one sender. Util and Wait are negative if the server does
// not report them.
type Seen struct {
	Lines float64 `json:"t,omitempty"` // number of all its lines; 0 if not known
	Util  float64 `json:"u"`
	Wait  float64 `json:"q"` // wait at its processor, in seconds
}

// Count is what a sender sent to one server since the sender's start, and the outcome. The counters only
// grow, so a lost, duplicated or late summary does no harm.
type Count struct {
	Server string `json:"s"`
	Sent   uint64 `json:"n"`
	Done   uint64 `json:"d"`
	Stood  uint64 `json:"k"`
	Seen
	Age time.Duration `json:"a,omitempty"` // age of the figures in Seen

	// These are for a steward that learns servers from summaries alone (NewRemoteSteward). They are set if
	// Config.Stewards is set.
	Cold float64 `json:"w,omitempty"` // set-ups a second that all senders may send it, as known here; 0 if warm
	Down bool    `json:"x,omitempty"` // it is no longer on this sender's list but has unanswered set-ups
}

// Stamp identifies one message of a process.
type Stamp struct {
	Name string `json:"n"`
	Life int64  `json:"l"`
	Seq  uint64 `json:"q"`
}

// Summary is a sender's message to the steward, sent every period.
type Summary struct {
	From   Stamp         `json:"f"`
	Echo   Stamp         `json:"e"` // the sender's latest view; loans are dated by when the steward sent it
	Lends  bool          `json:"l"` // its rights to cold servers are lent until loanPeriods after the echoed view
	Demand float64       `json:"d"` // first attempts of calls a second
	Counts []Count       `json:"c"`
	Period time.Duration `json:"p,omitempty"` // the sender's period; 0 if not given, as by older versions
	// Senders is the number of senders in the sender's settings; 0 if not given, as when Config.Stewards is
	// empty.
	Senders int `json:"n,omitempty"`
}

// Due is what the steward says about one server.
type Due struct {
	Server string        `json:"s"`
	Share  float64       `json:"x"`           // set-ups a second that it should get from all senders together
	Rate   float64       `json:"r,omitempty"` // set-ups a second that it can take; 0 if not known
	Out    float64       `json:"o,omitempty"` // unanswered set-ups of all senders
	Idle   time.Duration `json:"i,omitempty"` // time since any sender sent it a set-up
	Grant  int           `json:"g,omitempty"` // set-ups that the receiver may send it while it is cold
	Duty   bool          `json:"y,omitempty"` // it is idle and gets the receiver's next call; set by remote stewards only
}

// View is the steward's answer to a sender's summary.
type View struct {
	From    Stamp         `json:"f"`
	Echo    Stamp         `json:"e"`           // the answered summary; grants are valid from when that was sent
	Senders int           `json:"n"`           // number of senders recorded by the steward
	Demand  float64       `json:"d"`           // first attempts of calls a second, of all senders
	Hold    float64       `json:"h,omitempty"` // share of the calls that all servers together can't take
	Dues    []Due         `json:"v"`
	Period  time.Duration `json:"p,omitempty"` // the steward's period; 0 if not given
}

// StewardAt returns the steward among live senders, by rendezvous hashing (Thaler and Ravishankar 1998). Rank
// 0 is the first choice; the next ranks follow if it does not answer.
func StewardAt(alive []string, rank int) string { return Rendezvous(alive, stewardKey, rank) }

// stewardKey is the hash key for senders that are stewards themselves.
const stewardKey = "steward"

// Rendezvous returns the name at a rank of the order that rendezvous hashing with a key gives to names.
func Rendezvous(names []string, key string, rank int) string {
	if len(names) == 0 {
		return ""
	}
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, len(names))
	for i, n := range names {
		all[i] = scored{n, score(key, n)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	return all[rank%len(all)].name
}

// SetAlive sets the names of the senders considered alive, including this one.
func (s *State) SetAlive(names []string) {
	if slices.Equal(names, s.alive) {
		return
	}
	s.alive = names
	for _, server := range s.servers {
		server.rankKnown = false
	}
}

// rankFor returns this sender's rank among the live senders, in the hash order for a server's id.
func (s *State) rankFor(id string, server *serverState) int {
	if !server.rankKnown {
		mine := score(id, s.cfg.Name)
		server.rankKnown, server.rank = true, 0
		for _, name := range s.alive {
			if other := score(id, name); other > mine || other == mine && name < s.cfg.Name {
				server.rank++
			}
		}
	}
	return server.rank
}

func score(key, name string) uint64 {
	var buffer [2 * maxNameBytes]byte
	return xxhash.Sum64(append(append(append(buffer[:0], key...), 0), name...))
}

// CurrentSteward returns the steward to send the next summary to: the first in order, or a later one if no
// views have arrived for some periods.
func (s *State) CurrentSteward(now Time) string {
	if s.usesRemoteSteward() {
		return s.chooseRemoteSteward(now)
	}
	rank := 0
	if silence := now - s.sharesAt; s.seq > 2 {
		rank = int(silence / (stewardTimeoutPeriods * s.cfg.period()))
	}
	return StewardAt(s.alive, rank)
}

// usesRemoteSteward reports whether the stewards are processes other than the senders.
func (s *State) usesRemoteSteward() bool { return len(s.cfg.Stewards) > 0 }

// stewardChoice is the choice of a steward from Config.Stewards. Unlike the list of live senders, from which
// membership removes dead ones, this list keeps machines that are down. So a sender stays with the next
// steward for as long as that answers, but sends one summary to the first every stewardRetryPeriods and
// returns to it with its first answer. All senders are back within that time. Until then, two stewards each
// receive summaries from some of the senders, and one with fewer than half of them sends no shares.
type stewardChoice struct {
	started      bool
	rank         int
	since        Time // when the current steward was chosen
	triedFirstAt Time // when the first steward was last tried
}

const (
	stewardTimeoutPeriods = 3 // without a view for this long, a sender turns to the next steward
	stewardRetryPeriods   = 8 // and tries the first one again after this long
)

// chooseRemoteSteward implements CurrentSteward if Config.Stewards is set.
func (s *State) chooseRemoteSteward(now Time) string {
	choice := &s.stewardChoice
	switch {
	case !choice.started:
		*choice = stewardChoice{started: true, since: now}
	case now-max(s.lastViewAt, choice.since) >= stewardTimeoutPeriods*s.cfg.period():
		choice.rank = (choice.rank + 1) % len(s.cfg.Stewards)
		choice.since, choice.triedFirstAt = now, now
	case choice.rank > 0 && (now-choice.triedFirstAt >= stewardRetryPeriods*s.cfg.period() || now == choice.triedFirstAt && now > choice.since):
		choice.triedFirstAt = now
		return s.remoteStewardAt(0)
	}
	return s.remoteStewardAt(choice.rank)
}

func (s *State) remoteStewardAt(rank int) string {
	return Rendezvous(s.cfg.Stewards, cmp.Or(s.cfg.Service, stewardKey), rank)
}

// BuildSummary returns the next summary of what this sender knows, for the named steward.
func (s *State) BuildSummary(now Time, steward string) Summary {
	s.seq++
	summary := Summary{From: Stamp{s.cfg.Name, s.cfg.Life, s.seq}, Demand: s.demand.perSecond(now), Period: s.cfg.period()}
	if s.view != nil && s.view.From.Name == steward {
		summary.Echo = s.view.From
		summary.Lends = s.lendRights(now, steward)
	}
	for id, server := range s.servers {
		if server.up || server.sent > server.done {
			count := Count{Server: id, Sent: server.sent, Done: server.done, Stood: server.stood, Seen: server.report, Age: now - server.reportAt}
			if s.usesRemoteSteward() {
				if count.Down = !server.up; server.up && server.isCold(now) {
					count.Cold = server.jointColdRate
				}
			}
			summary.Counts = append(summary.Counts, count)
		}
	}
	if s.usesRemoteSteward() {
		summary.Senders = max(s.cfg.Senders, 1)
	}
	slices.SortFunc(summary.Counts, func(a, b Count) int { return cmp.Compare(a.Server, b.Server) })
	s.recordSummary(now, s.seq)
	return summary
}

// HandleView processes a view and reports whether it was new. A view that is older than one received before,
// or that answers an earlier run of this sender, is ignored.
func (s *State) HandleView(now Time, view View) bool {
	if view.Echo.Name != s.cfg.Name || view.Echo.Life != s.cfg.Life {
		return false
	}
	if s.view != nil && view.From.Name == s.view.From.Name && view.From.Life == s.view.From.Life && view.From.Seq <= s.view.From.Seq {
		return false
	}
	s.view, s.lastViewAt = &view, now
	// A remote steward that lacks data sends no shares; the previous shares then stay valid.
	hasShares := !s.usesRemoteSteward() || slices.ContainsFunc(view.Dues, func(d Due) bool { return d.Share > 0 })
	if hasShares {
		s.hasShares, s.sharesAt = true, now
	}
	answered := s.recentSummaries[view.Echo.Seq%uint64(len(s.recentSummaries))]
	if choice := &s.stewardChoice; choice.rank > 0 && answered.seq == view.Echo.Seq && answered.sentAt >= choice.since && view.From.Name == s.remoteStewardAt(0) {
		choice.rank, choice.since = 0, now // the first steward answers again
	}
	inView := map[string]bool{}
	for _, due := range view.Dues {
		if s.usesRemoteSteward() && s.servers[due.Server] == nil {
			continue // a view must not add servers that are not on this sender's list
		}
		inView[due.Server] = true
		server := s.getOrCreate(due.Server)
		if hasShares {
			server.share, server.due = max(due.Share, 1e-6), due
			server.due.Duty = due.Duty && answered.seq == view.Echo.Seq && server.lastSentAt < answered.sentAt // not sent since that summary
		}
		if due.Grant > 0 {
			s.addGrant(now, server, due.Grant, view.Echo.Seq, view.Period)
		}
	}
	for id, server := range s.servers {
		if hasShares && !inView[id] {
			server.share, server.due = 0, Due{}
		}
	}
	return true
}

// maxIdle is how long a healthy server may get no set-up before one sender must send its next call there.
// With each further period, the next sender in order must too.
const maxIdle = time.Second

// isOnDuty reports whether this sender must send its next call to an idle server.
func (s *State) isOnDuty(now Time, id string, server *serverState) bool {
	if s.usesRemoteSteward() { // only the steward knows which senders are alive
		return server.due.Duty && !server.isCold(now) && server.sent == server.done
	}
	if server.isCold(now) || server.due.Idle == 0 || len(s.alive) == 0 {
		return false
	}
	idle := server.due.Idle + now - s.sharesAt
	if idle < maxIdle {
		return false
	}
	// The senders ranked before this one may have no call at present. One set-up is enough.
	return s.rankFor(id, server) <= int((idle-maxIdle)/s.cfg.period()) && server.sent == server.done
}

// Bounds on the fields of a message.
const (
	maxServers   = 4096
	maxNameBytes = 256
	maxNumber    = 1e9
	maxPeriod    = time.Minute
	maxSenders   = 1 << 16
)

// Valid returns an error that names the first invalid field of a summary.
func (s Summary) Valid() error {
	if err := s.From.valid("f"); err != nil {
		return err
	}
	if err := checkNumber("d", s.Demand); err != nil {
		return err
	}
	if s.Period < 0 || s.Period > maxPeriod {
		return fmt.Errorf("field p: %v", s.Period)
	}
	if s.Senders < 0 || s.Senders > maxSenders {
		return fmt.Errorf("field n: %d senders", s.Senders)
	}
	if len(s.Counts) > maxServers {
		return fmt.Errorf("field c: %d servers", len(s.Counts))
	}
	for i, count := range s.Counts {
		prefix := fmt.Sprintf("c[%d].", i)
		switch {
		case count.Server == "" || len(count.Server) > maxNameBytes:
			return fmt.Errorf("field %ss: %.40q", prefix, count.Server)
		case count.Done > count.Sent || count.Stood > count.Done:
			return fmt.Errorf("field %sd: %d of %d done, %d stood", prefix, count.Done, count.Sent, count.Stood)
		case count.Age < 0:
			return fmt.Errorf("field %sa: %v", prefix, count.Age)
		}
		for name, value := range map[string]float64{"t": count.Lines, "u": max(count.Util, 0), "q": max(count.Wait, 0), "w": count.Cold} {
			if err := checkNumber(prefix+name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

// Valid returns an error that names the first invalid field of a view.
func (v View) Valid() error {
	if err := v.From.valid("f"); err != nil {
		return err
	}
	if !(v.Hold >= 0 && v.Hold <= 1) {
		return fmt.Errorf("field h: %v", v.Hold)
	}
	if v.Period < 0 || v.Period > maxPeriod {
		return fmt.Errorf("field p: %v", v.Period)
	}
	if len(v.Dues) > maxServers {
		return fmt.Errorf("field v: %d servers", len(v.Dues))
	}
	for i, due := range v.Dues {
		prefix := fmt.Sprintf("v[%d].", i)
		if due.Server == "" || len(due.Server) > maxNameBytes {
			return fmt.Errorf("field %ss: %.40q", prefix, due.Server)
		}
		if due.Grant < 0 || due.Idle < 0 {
			return fmt.Errorf("field %sg: %d, %v", prefix, due.Grant, due.Idle)
		}
		for name, value := range map[string]float64{"x": due.Share, "r": due.Rate, "o": due.Out} {
			if err := checkNumber(prefix+name, value); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s Stamp) valid(field string) error {
	if s.Name == "" || len(s.Name) > maxNameBytes || s.Seq == 0 {
		return fmt.Errorf("field %s: %.40q, number %d", field, s.Name, s.Seq)
	}
	return nil
}

func checkNumber(field string, value float64) error {
	if !(value >= 0 && value <= maxNumber) {
		return fmt.Errorf("field %s: %v", field, value)
	}
	return nil
}
