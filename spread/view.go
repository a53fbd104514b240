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
func StewardAt(alive []string, place int) string { return Rendezvous(alive, stewardKey, place) }

// stewardKey orders senders that are steward themselves.
const stewardKey = "steward"

// Rendezvous is the name at a place of the order that a key gives to names.
func Rendezvous(names []string, key string, place int) string {
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
	return all[place%len(all)].name
}

// Alive tells which senders are thought alive, this one among them.
func (s *State) Alive(names []string) {
	if slices.Equal(names, s.alive) {
		return
	}
	s.alive = names
	for _, v := range s.servers {
		v.placed = false
	}
}

// place is this sender's place in the order that a server's id gives to all of them.
func (s *State) place(id string, v *server) int {
	if !v.placed {
		mine := score(id, s.cfg.Name)
		v.placed, v.place = true, 0
		for _, n := range s.alive {
			if x := score(id, n); x > mine || x == mine && n < s.cfg.Name {
				v.place++
			}
		}
	}
	return v.place
}

func score(key, name string) uint64 {
	var room [2 * mostName]byte
	return xxhash.Sum64(append(append(append(room[:0], key...), 0), name...))
}

// Steward is whom this sender tells now: the first in order or, where its views have not come
// for some periods, the next.
func (s *State) Steward(now Time) string {
	if s.distant() {
		return s.stewardOf(now)
	}
	place := 0
	if late := now - s.viewAt; s.seq > 2 {
		place = int(late / (silentPeriods * s.cfg.period()))
	}
	return StewardAt(s.alive, place)
}

// distant tells whether stewards are no senders.
func (s *State) distant() bool { return len(s.cfg.Stewards) > 0 }

// turn is which of Config.Stewards a sender tells. Nobody takes a dead machine off that list, as the
// membership takes a dead sender off those alive. So a sender stays with the next one for as long as that
// answers, and turns to the first again with one summary now and then; by its first answer it comes back.
// All senders are back within that time. While they are not, two stewards hear some of them each, and
// one that hears less than half tells nothing.
type turn struct {
	begun bool
	place int
	at    Time // it turned to whom it tells
	tried Time // it last tried the first
}

const (
	silentPeriods = 3 // a steward whose views have not come for so long is passed over for the next
	tryPeriods    = 8 // and tried again so long after
)

// stewardOf is Steward where Config.Stewards names them.
func (s *State) stewardOf(now Time) string {
	t := &s.turn
	switch {
	case !t.begun:
		*t = turn{begun: true, at: now}
	case now-max(s.heardAt, t.at) >= silentPeriods*s.cfg.period():
		t.place = (t.place + 1) % len(s.cfg.Stewards)
		t.at, t.tried = now, now
	case t.place > 0 && (now-t.tried >= tryPeriods*s.cfg.period() || now == t.tried && now > t.at):
		t.tried = now
		return s.stewardAt(0)
	}
	return s.stewardAt(t.place)
}

func (s *State) stewardAt(place int) string {
	return Rendezvous(s.cfg.Stewards, cmp.Or(s.cfg.Service, stewardKey), place)
}

// Summary words what this sender knows, for the steward that it names.
func (s *State) Summary(now Time, steward string) Summary {
	s.seq++
	out := Summary{From: Stamp{s.cfg.Name, s.cfg.Life, s.seq}, Demand: s.demand.per(now), Period: s.cfg.period()}
	if s.view != nil && s.view.From.Name == steward {
		out.Echo = s.view.From
		out.Lends = s.lend(now, steward)
	}
	for id, v := range s.servers {
		if v.up || v.sent > v.done {
			c := Count{Server: id, Sent: v.sent, Done: v.done, Stood: v.stood, Seen: v.seen, Age: now - v.seenAt}
			if s.distant() {
				if c.Down = !v.up; v.up && v.cold(now) {
					c.Cold = v.joint
				}
			}
			out.Counts = append(out.Counts, c)
		}
	}
	if s.distant() {
		out.Senders = max(s.cfg.Senders, 1)
	}
	slices.SortFunc(out.Counts, func(a, b Count) int { return cmp.Compare(a.Server, b.Server) })
	s.remember(now, s.seq)
	return out
}

// Hear takes a view, and tells whether it is news: one that is older than another heard before,
// or answers an earlier life of this sender, is passed over.
func (s *State) Hear(now Time, v View) bool {
	if v.Echo.Name != s.cfg.Name || v.Echo.Life != s.cfg.Life {
		return false
	}
	if s.view != nil && v.From.Name == s.view.From.Name && v.From.Life == s.view.From.Life && v.From.Seq <= s.view.From.Seq {
		return false
	}
	s.view, s.heardAt = &v, now
	// A distant steward that is unsure tells no shares, and what was told before holds on.
	tells := !s.distant() || slices.ContainsFunc(v.Dues, func(d Due) bool { return d.Share > 0 })
	if tells {
		s.told, s.viewAt = true, now
	}
	at := s.summaries[v.Echo.Seq%uint64(len(s.summaries))]
	if t := &s.turn; t.place > 0 && at.seq == v.Echo.Seq && at.at >= t.at && v.From.Name == s.stewardAt(0) {
		t.place, t.at = 0, now // the first is there again
	}
	named := map[string]bool{}
	for _, d := range v.Dues {
		if s.distant() && s.servers[d.Server] == nil {
			continue // it is on no list of this sender's, and none is made of a view
		}
		named[d.Server] = true
		o := s.get(d.Server)
		if tells {
			o.share, o.due = max(d.Share, 1e-6), d
			o.due.Duty = d.Duty && at.seq == v.Echo.Seq && o.sentAt < at.at // it has not done it since
		}
		if d.Grant > 0 {
			s.grant(now, o, d.Grant, v.Echo.Seq, v.Period)
		}
	}
	for id, o := range s.servers {
		if tells && !named[id] {
			o.share, o.due = 0, Due{}
		}
	}
	return true
}

// idleMost is how long a healthy server may get nothing before one sender's next call is
// called for, and each next sender in order after a period more.
const idleMost = time.Second

// onDuty tells whether this sender is the one whose next call an idle server gets.
func (s *State) onDuty(now Time, id string, v *server) bool {
	if s.distant() { // who is alive only the steward knows
		return v.due.Duty && !v.cold(now) && v.sent == v.done
	}
	if v.cold(now) || v.due.Idle == 0 || len(s.alive) == 0 {
		return false
	}
	idle := v.due.Idle + now - s.viewAt
	if idle < idleMost {
		return false
	}
	// Those before it may have no call just now; and once is enough.
	return s.place(id, v) <= int((idle-idleMost)/s.cfg.period()) && v.sent == v.done
}

// The bounds of a message.
const (
	mostServers = 4096
	mostName    = 256
	mostRate    = 1e9
	mostPeriod  = time.Minute
	mostSenders = 1 << 16
)

// Valid names the first field of a summary that can't be used.
func (s Summary) Valid() error {
	if err := s.From.valid("f"); err != nil {
		return err
	}
	if err := figure("d", s.Demand); err != nil {
		return err
	}
	if s.Period < 0 || s.Period > mostPeriod {
		return fmt.Errorf("field p: %v", s.Period)
	}
	if s.Senders < 0 || s.Senders > mostSenders {
		return fmt.Errorf("field n: %d senders", s.Senders)
	}
	if len(s.Counts) > mostServers {
		return fmt.Errorf("field c: %d servers", len(s.Counts))
	}
	for i, c := range s.Counts {
		at := fmt.Sprintf("c[%d].", i)
		switch {
		case c.Server == "" || len(c.Server) > mostName:
			return fmt.Errorf("field %ss: %.40q", at, c.Server)
		case c.Done > c.Sent || c.Stood > c.Done:
			return fmt.Errorf("field %sd: %d of %d done, %d stood", at, c.Done, c.Sent, c.Stood)
		case c.Age < 0:
			return fmt.Errorf("field %sa: %v", at, c.Age)
		}
		for name, x := range map[string]float64{"t": c.Lines, "u": max(c.Util, 0), "q": max(c.Wait, 0), "w": c.Cold} {
			if err := figure(at+name, x); err != nil {
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
	if v.Period < 0 || v.Period > mostPeriod {
		return fmt.Errorf("field p: %v", v.Period)
	}
	if len(v.Dues) > mostServers {
		return fmt.Errorf("field v: %d servers", len(v.Dues))
	}
	for i, d := range v.Dues {
		at := fmt.Sprintf("v[%d].", i)
		if d.Server == "" || len(d.Server) > mostName {
			return fmt.Errorf("field %ss: %.40q", at, d.Server)
		}
		if d.Grant < 0 || d.Idle < 0 {
			return fmt.Errorf("field %sg: %d, %v", at, d.Grant, d.Idle)
		}
		for name, x := range map[string]float64{"x": d.Share, "r": d.Rate, "o": d.Out} {
			if err := figure(at+name, x); err != nil {
				return err
			}
		}
	}
	return nil
}

func (s Stamp) valid(field string) error {
	if s.Name == "" || len(s.Name) > mostName || s.Seq == 0 {
		return fmt.Errorf("field %s: %.40q, number %d", field, s.Name, s.Seq)
	}
	return nil
}

func figure(field string, x float64) error {
	if !(x >= 0 && x <= mostRate) {
		return fmt.Errorf("field %s: %v", field, x)
	}
	return nil
}
