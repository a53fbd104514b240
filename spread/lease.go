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
	tokens    float64
	updatedAt Time
	started   bool
}

// refill adds what has come at perSecond, up to most.
func (b *bucket) refill(now Time, perSecond, initial, limit float64) {
	if !b.started {
		b.started, b.tokens, b.updatedAt = true, initial, now
	}
	b.tokens = min(b.tokens+perSecond*(now-b.updatedAt).Seconds(), limit)
	b.updatedAt = now
}

// coldRight is a sender's own part of a cold server's budget: whole set-ups that come one by one at an
// even pace, each to be used within a time or not at all.
type coldRight struct {
	credit    float64
	updatedAt Time
	started   bool
}

// refill adds what has come at perSecond since the last look, beginning at a phase of the pace. What
// has been whole for longer than lasts lapses. A sender keeps its phase whether it uses what comes
// or not, so that what all of them hold at any moment is what came to all of them lately, however
// idle they were: else each of hundreds would have one set-up saved up, and a burst use them at once.
func (r *coldRight) refill(now Time, perSecond, phase float64, lifetime time.Duration) {
	if !r.started {
		r.started, r.credit, r.updatedAt = true, phase-math.Floor(phase), now
	}
	r.credit += perSecond * (now - r.updatedAt).Seconds()
	r.updatedAt = now
	if excess := r.credit - 1 - perSecond*lifetime.Seconds(); excess > 0 {
		r.credit -= math.Ceil(excess)
	}
}

// grant is so many set-ups that a sender may send to a cold server until a time.
type grant struct {
	remaining int
	until     Time
}

// sentSummary remembers when the latest summaries went out, as grants hold from then.
type sentSummary struct {
	seq    uint64
	sentAt Time
}

// lendRights tells whether this summary lends the sender's rights, and notes until when they are lent.
// Rights lent to another steward come back first.
func (s *State) lendRights(now Time, steward string) bool {
	if s.lentTo != steward && s.rightsLent(now) {
		return false
	}
	s.lentUntil, s.lentTo = max(s.lentUntil, now+loanDuration(s.cfg.period())), steward
	return true
}

// rightsLent tells whether the sender's rights are with a steward.
func (s *State) rightsLent(now Time) bool {
	return s.lentUntil >= 0 && now < s.lentUntil
}

// recordSummary notes when a summary went out.
func (s *State) recordSummary(now Time, seq uint64) {
	s.recentSummaries[seq%uint64(len(s.recentSummaries))] = sentSummary{seq, now}
}

// addGrant takes a grant that answers a summary, of a steward with a period (0: not told); one that
// answers a summary too old is void.
func (s *State) addGrant(now Time, server *serverState, count int, echoSeq uint64, period time.Duration) {
	answered := s.recentSummaries[echoSeq%uint64(len(s.recentSummaries))]
	until := answered.sentAt + grantPeriods*min(s.cfg.period(), cmp.Or(period, s.cfg.period()))
	if answered.seq != echoSeq || now >= until {
		return
	}
	server.grants = append(server.grants, grant{count, until})
}

// MaySendCold tells whether one more set-up may go to a cold server now. perSecond is what all
// senders together may send it, from is when its warming began, on the clock that all share, and
// lasts is how long a set-up that one of them may send stays with it.
func (s *State) MaySendCold(now Time, id string, warmUpStart Time, perSecond float64, lifetime time.Duration) bool {
	server := s.getOrCreate(id)
	server.wasCold, server.coldQueriedAt, server.jointColdRate = true, now, perSecond
	s.expireGrants(now, server)
	if len(server.grants) > 0 {
		return true
	}
	if s.rightsLent(now) {
		server.coldRight.started = false // what was saved is lent, too
		return false
	}
	ownRate := perSecond / float64(max(s.cfg.Senders, 1))
	// Senders' turns lie evenly by their ranks, from the start of the warming on: whoever hears of it
	// late, or has forgotten in a restart what it sent, comes in where its turns would be by now.
	phase := float64(s.cfg.Rank)/float64(max(s.cfg.Senders, 1)) + ownRate*max(now-warmUpStart, 0).Seconds()
	if s.lentUntil >= 0 { // it comes back from a loan: nothing was saved meanwhile
		phase = 0
	}
	server.coldRight.refill(now, ownRate, phase, lifetime)
	return server.coldRight.credit >= 1
}

func (s *State) expireGrants(now Time, server *serverState) {
	for len(server.grants) > 0 && (now >= server.grants[0].until || server.grants[0].remaining <= 0) {
		server.grants = server.grants[1:]
	}
}

// spendCold takes one set-up off a grant, or else off the sender's own right.
func (s *State) spendCold(now Time, server *serverState) {
	s.expireGrants(now, server)
	if len(server.grants) > 0 {
		server.grants[0].remaining--
		return
	}
	server.coldRight.credit--
}

// SpendCold counts a set-up or a probe to a cold server that was not chosen among others.
func (s *State) SpendCold(now Time, id string) { s.spendCold(now, s.getOrCreate(id)) }

// loanDuration is how long a right is lent, from the view that its summary echoes.
func loanDuration(period time.Duration) time.Duration { return loanPeriods * period }
