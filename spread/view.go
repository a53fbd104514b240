package spread

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Seen is a server's own figures as one sender has them; Util and Wait are negative where it tells none.
type Seen struct {
	Lines float64 `json:"t,omitempty"` // all of them; 0: not known
	Util  float64 `json:"u"`
	Wait  float64 `json:"q"` // seconds
}

// Count is what a sender sent to one server since the sender's start, and what became of it. The
// counts only grow, so a summary that is lost, doubled or late costs nothing.
type Count struct {
	Server string `json:"s"`
	Sent   uint64 `json:"n"`
	Done   uint64 `json:"d"`
	Stood  uint64 `json:"k"`
	Seen
	Age time.Duration `json:"a,omitempty"` // of the figures

	// For a steward that has no sight of its own (NewRemoteSteward); told where Config.Stewards is set.
	Cold float64 `json:"w,omitempty"` // set-ups a second that all senders together may send it, by this sender's sight; 0: it is warm
	Down bool    `json:"x,omitempty"` // it is on this sender's list no more, and has set-ups unanswered
}

// Stamp names one message of a process.
type Stamp struct {
	Name string `json:"n"`
	Life int64  `json:"l"`
	Seq  uint64 `json:"q"`
}

// Summary is what a sender tells the steward, every period.
type Summary struct {
	From   Stamp         `json:"f"`
	Echo   Stamp         `json:"e"` // the latest view it has; its rights are lent by this view's clock
	Lends  bool          `json:"l"` // its rights to cold servers, until lendPeriods after the view it echoes
	Demand float64       `json:"d"` // first tries a second
	Counts []Count       `json:"c"`
	Period time.Duration `json:"p,omitempty"` // the sender's; 0: not told, as by older versions
	// Senders is how many there are by the sender's settings; 0: not told, as where Config.Stewards is empty.
	Senders int `json:"n,omitempty"`
}

// Due is what the steward tells of one server.
type Due struct {
	Server string        `json:"s"`
	Share  float64       `json:"x"`           // set-ups a second that it is to get from all
	Rate   float64       `json:"r,omitempty"` // that it can take
	Out    float64       `json:"o,omitempty"` // unanswered, of all senders
	Idle   time.Duration `json:"i,omitempty"` // since anybody sent it one
	Grant  int           `json:"g,omitempty"` // set-ups that the hearer may send it while it is cold
	Duty   bool          `json:"y,omitempty"` // it is idle, and the hearer's next call is to go there; a remote steward alone says so
}

// View is what the steward tells one sender in answer to a summary.
type View struct {
	From    Stamp         `json:"f"`
	Echo    Stamp         `json:"e"`           // the summary that it answers: grants hold from when that was sent
	Senders int           `json:"n"`           // heard lately
	Demand  float64       `json:"d"`           // of all of them
	Hold    float64       `json:"h,omitempty"` // share of the calls that all servers together can't take
	Dues    []Due         `json:"v"`
	Period  time.Duration `json:"p,omitempty"` // the steward's; 0: not told
}

// StewardAt names who of those alive is to be told, by rendezvous hashing (Thaler and
// Ravishankar 1998): place 0 is the first, and the next follow where it is silent.
func StewardAt(alive []string, rank int) string { return Rendezvous(alive, stewardKey, rank) }

// stewardKey orders senders that are steward themselves.
const stewardKey = "steward"

// Rendezvous is the name at a place of the order that a key gives to names.
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

// SetAlive tells which senders are thought alive, this one among them.
func (s *State) SetAlive(names []string) {
	if slices.Equal(names, s.alive) {
		return
	}
	s.alive = names
	for _, server := range s.servers {
		server.rankKnown = false
	}
}

// rankFor is this sender's place in the order that a server's id gives to all of them.
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

// CurrentSteward is whom this sender tells now: the first in order or, where its views have not come
// for some periods, the next.
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

// usesRemoteSteward tells whether stewards are no senders.
func (s *State) usesRemoteSteward() bool { return len(s.cfg.Stewards) > 0 }

// stewardChoice is which of Config.Stewards a sender tells. Nobody takes a dead machine off that list, as the
// membership takes a dead sender off those alive. So a sender stays with the next one for as long as that
// answers, and turns to the first again with one summary now and then; by its first answer it comes back.
// All senders are back within that time. While they are not, two stewards hear some of them each, and
// one that hears less than half tells nothing.
type stewardChoice struct {
	started      bool
	rank         int
	since        Time // it turned to whom it tells
	triedFirstAt Time // it last tried the first
}

const (
	stewardTimeoutPeriods = 3 // a steward whose views have not come for so long is passed over for the next
	stewardRetryPeriods   = 8 // and tried again so long after
)

// chooseRemoteSteward is Steward where Config.Stewards names them.
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

// BuildSummary words what this sender knows, for the steward that it names.
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

// HandleView takes a view, and tells whether it is news: one that is older than another heard before,
// or answers an earlier life of this sender, is passed over.
func (s *State) HandleView(now Time, view View) bool {
	if view.Echo.Name != s.cfg.Name || view.Echo.Life != s.cfg.Life {
		return false
	}
	if s.view != nil && view.From.Name == s.view.From.Name && view.From.Life == s.view.From.Life && view.From.Seq <= s.view.From.Seq {
		return false
	}
	s.view, s.lastViewAt = &view, now
	// A distant steward that is unsure tells no shares, and what was told before holds on.
	hasShares := !s.usesRemoteSteward() || slices.ContainsFunc(view.Dues, func(d Due) bool { return d.Share > 0 })
	if hasShares {
		s.hasShares, s.sharesAt = true, now
	}
	answered := s.recentSummaries[view.Echo.Seq%uint64(len(s.recentSummaries))]
	if choice := &s.stewardChoice; choice.rank > 0 && answered.seq == view.Echo.Seq && answered.sentAt >= choice.since && view.From.Name == s.remoteStewardAt(0) {
		choice.rank, choice.since = 0, now // the first is there again
	}
	inView := map[string]bool{}
	for _, due := range view.Dues {
		if s.usesRemoteSteward() && s.servers[due.Server] == nil {
			continue // it is on no list of this sender's, and none is made of a view
		}
		inView[due.Server] = true
		server := s.getOrCreate(due.Server)
		if hasShares {
			server.share, server.due = max(due.Share, 1e-6), due
			server.due.Duty = due.Duty && answered.seq == view.Echo.Seq && server.lastSentAt < answered.sentAt // it has not done it since
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

// maxIdle is how long a healthy server may get nothing before one sender's next call is
// called for, and each next sender in order after a period more.
const maxIdle = time.Second

// isOnDuty tells whether this sender is the one whose next call an idle server gets.
func (s *State) isOnDuty(now Time, id string, server *serverState) bool {
	if s.usesRemoteSteward() { // who is alive only the steward knows
		return server.due.Duty && !server.isCold(now) && server.sent == server.done
	}
	if server.isCold(now) || server.due.Idle == 0 || len(s.alive) == 0 {
		return false
	}
	idle := server.due.Idle + now - s.sharesAt
	if idle < maxIdle {
		return false
	}
	// Those before it may have no call just now; and once is enough.
	return s.rankFor(id, server) <= int((idle-maxIdle)/s.cfg.period()) && server.sent == server.done
}

// The bounds of a message.
const (
	maxServers   = 4096
	maxNameBytes = 256
	maxNumber    = 1e9
	maxPeriod    = time.Minute
	maxSenders   = 1 << 16
)

// Valid names the first field of a summary that can't be used.
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

// Valid names the first field of a view that can't be used.
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
