package spread

import (
	"cmp"
	"math"
	"time"
)

// Rights to a cold server's budget. All senders together may send it so much; each owns one part
// in Senders by right, whoever else is alive, so that no partition can double it. A sender lends
// its right to the steward for a time, and uses nothing of it meanwhile; the steward grants what
// was lent to those with calls. Clocks are never compared, only their rates are taken for equal:
//
//   - A summary echoes the latest view that its sender has, so it was sent after that view was.
//     The sender keeps its hands off its right for lendPeriods from the summary on; the steward
//     counts the right as lent for lendPeriods from the view on, which ends sooner. The periods are
//     those of the sender, which the summary tells: a sender's period may change, and others may
//     have another.
//   - A grant answers a summary, so it was made after the summary was sent. Whoever gets it may
//     use it for grantPeriods from that summary on; the steward takes it for out for grantPeriods
//     from the grant on, which ends later. The periods are those of the steward, which the view
//     tells, or the hearer's own where they are shorter.
//
// What is lost on the way is lost until its time has passed, and never used twice.

// bucket is a right that fills with time.
type bucket struct {
	tokens float64
	at     Time
	begun  bool
}

// fill adds what has come at perSecond, up to most.
func (b *bucket) fill(now Time, perSecond, first, most float64) {
	if !b.begun {
		b.begun, b.tokens, b.at = true, first, now
	}
	b.tokens = min(b.tokens+perSecond*(now-b.at).Seconds(), most)
	b.at = now
}

// right is a sender's own part of a cold server's budget: whole set-ups that come one by one at an
// even pace, each to be used within a time or not at all.
type right struct {
	credit float64
	at     Time
	begun  bool
}

// fill adds what has come at perSecond since the last look, beginning at a phase of the pace. What
// has been whole for longer than lasts lapses. A sender keeps its phase whether it uses what comes
// or not, so that what all of them hold at any moment is what came to all of them lately, however
// idle they were: else each of hundreds would have one set-up saved up, and a burst use them at once.
func (r *right) fill(now Time, perSecond, phase float64, lasts time.Duration) {
	if !r.begun {
		r.begun, r.credit, r.at = true, phase-math.Floor(phase), now
	}
	r.credit += perSecond * (now - r.at).Seconds()
	r.at = now
	if over := r.credit - 1 - perSecond*lasts.Seconds(); over > 0 {
		r.credit -= math.Ceil(over)
	}
}

// grant is so many set-ups that a sender may send to a cold server until a time.
type grant struct {
	n     int
	until Time
}

// sentAt remembers when the latest summaries went out, as grants hold from then.
type sentAt struct {
	seq uint64
	at  Time
}

// lend tells whether this summary lends the sender's rights, and notes until when they are lent.
// Rights lent to another steward come back first.
func (s *State) lend(now Time, steward string) bool {
	if s.lentTo != steward && s.lentOut(now) {
		return false
	}
	s.lent, s.lentTo = max(s.lent, now+lendFor(s.cfg.period())), steward
	return true
}

// lentOut tells whether the sender's rights are with a steward.
func (s *State) lentOut(now Time) bool {
	return s.lent >= 0 && now < s.lent
}

// remember notes when a summary went out.
func (s *State) remember(now Time, seq uint64) {
	s.summaries[seq%uint64(len(s.summaries))] = sentAt{seq, now}
}

// grant takes a grant that answers a summary, of a steward with a period (0: not told); one that
// answers a summary too old is void.
func (s *State) grant(now Time, v *server, n int, echo uint64, period time.Duration) {
	at := s.summaries[echo%uint64(len(s.summaries))]
	until := at.at + grantPeriods*min(s.cfg.period(), cmp.Or(period, s.cfg.period()))
	if at.seq != echo || now >= until {
		return
	}
	v.grants = append(v.grants, grant{n, until})
}

// ColdRoom tells whether one more set-up may go to a cold server now. perSecond is what all
// senders together may send it, from is when its warming began, on the clock that all share, and
// lasts is how long a set-up that one of them may send stays with it.
func (s *State) ColdRoom(now Time, id string, from Time, perSecond float64, lasts time.Duration) bool {
	v := s.get(id)
	v.chilled, v.coldAt, v.joint = true, now, perSecond
	s.expire(now, v)
	if len(v.grants) > 0 {
		return true
	}
	if s.lentOut(now) {
		v.right.begun = false // what was saved is lent, too
		return false
	}
	own := perSecond / float64(max(s.cfg.Senders, 1))
	// Senders' turns lie evenly by their ranks, from the start of the warming on: whoever hears of it
	// late, or has forgotten in a restart what it sent, comes in where its turns would be by now.
	phase := float64(s.cfg.Rank)/float64(max(s.cfg.Senders, 1)) + own*max(now-from, 0).Seconds()
	if s.lent >= 0 { // it comes back from a loan: nothing was saved meanwhile
		phase = 0
	}
	v.right.fill(now, own, phase, lasts)
	return v.right.credit >= 1
}

func (s *State) expire(now Time, v *server) {
	for len(v.grants) > 0 && (now >= v.grants[0].until || v.grants[0].n <= 0) {
		v.grants = v.grants[1:]
	}
}

// spend takes one set-up off a grant, or else off the sender's own right.
func (s *State) spend(now Time, v *server) {
	s.expire(now, v)
	if len(v.grants) > 0 {
		v.grants[0].n--
		return
	}
	v.right.credit--
}

// Spend counts a set-up or a probe to a cold server that was not chosen among others.
func (s *State) Spend(now Time, id string) { s.spend(now, s.get(id)) }

// lendFor is how long a right is lent, from the view that its summary echoes.
func lendFor(period time.Duration) time.Duration { return lendPeriods * period }
