package spread

import (
	"cmp"
	"math"
	"time"
)

// Rights to a cold server's budget. All senders together may send a cold server a limited number of set-ups.
// Each sender owns an equal part of this budget, one of Config.Senders parts, whichever other senders are
// alive, so that no network partition can double it. A sender lends its right to the steward for a time and
// does not use it meanwhile; the steward grants the lent rights to senders with calls. Clocks of different
// processes are never compared; only their rates are assumed to be equal:
//
//   - A summary echoes the latest view that its sender has, so it was sent after that view. The sender does
//     not use its right for loanPeriods after sending the summary. The steward counts the right as lent for
//     loanPeriods after sending the view, which ends sooner. The periods are those of the sender, which the
//     summary contains: a sender's period may change, and others may have a different one.
//   - A grant answers a summary, so it was made after that summary was sent. The receiver may use it for
//     grantPeriods after sending that summary. The steward counts it as granted for grantPeriods after the
//     grant, which ends later. The periods are those of the steward, which the view contains, or the
//     receiver's own if they are shorter.
//
// A lost message makes the rights in it unusable until their time has passed, but they are never used twice.

// bucket is a token bucket.
type bucket struct {
	tokens    float64
	updatedAt Time
	started   bool
}

// refill adds the tokens for the time since the last call, up to a maximum.
func (b *bucket) refill(now Time, perSecond, initial, limit float64) {
	if !b.started {
		b.started, b.tokens, b.updatedAt = true, initial, now
	}
	b.tokens = min(b.tokens+perSecond*(now-b.updatedAt).Seconds(), limit)
	b.updatedAt = now
}

// coldRight is a sender's own part of a cold server's budget. It yields whole set-ups one by one at an even
// pace, and each of them expires if it is not used within a given time.
type coldRight struct {
	credit    float64
	updatedAt Time
	started   bool
}

// refill adds the credit for the time since the last call; the first call starts at a given phase of the
// pace. A whole set-up that is older than lifetime expires. A sender keeps its phase whether it uses its
// set-ups or not. So the set-ups that all senders hold at any moment are those that recently became due,
// however idle the senders were. Otherwise each of hundreds of senders could save up one set-up, and a burst
// of calls would use them all at once.
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

// grant is a number of set-ups that a sender may send to a cold server until a given time.
type grant struct {
	remaining int
	until     Time
}

// sentSummary records when a summary was sent, because grants that answer it are valid from then.
type sentSummary struct {
	seq    uint64
	sentAt Time
}

// lendRights reports whether the next summary lends the sender's rights, and records until when. Rights that
// are lent to another steward must first come back.
func (s *State) lendRights(now Time, steward string) bool {
	if s.lentTo != steward && s.rightsLent(now) {
		return false
	}
	s.lentUntil, s.lentTo = max(s.lentUntil, now+loanDuration(s.cfg.period())), steward
	return true
}

// rightsLent reports whether the sender's rights are currently lent to a steward.
func (s *State) rightsLent(now Time) bool {
	return s.lentUntil >= 0 && now < s.lentUntil
}

// recordSummary records when a summary was sent.
func (s *State) recordSummary(now Time, seq uint64) {
	s.recentSummaries[seq%uint64(len(s.recentSummaries))] = sentSummary{seq, now}
}

// addGrant adds a grant that answers the summary numbered echoSeq, from a steward with the given period (0:
// not given). A grant that answers a summary too long ago is void.
func (s *State) addGrant(now Time, server *serverState, count int, echoSeq uint64, period time.Duration) {
	answered := s.recentSummaries[echoSeq%uint64(len(s.recentSummaries))]
	until := answered.sentAt + grantPeriods*min(s.cfg.period(), cmp.Or(period, s.cfg.period()))
	if answered.seq != echoSeq || now >= until {
		return
	}
	server.grants = append(server.grants, grant{count, until})
}

// MaySendCold reports whether one more set-up may be sent to a cold server now. perSecond is the set-ups a
// second that all senders together may send it. warmUpStart is the start of its warm-up, on the clock that
// all senders share. lifetime is how long a sender's set-up stays available before it expires.
func (s *State) MaySendCold(now Time, id string, warmUpStart Time, perSecond float64, lifetime time.Duration) bool {
	server := s.getOrCreate(id)
	server.wasCold, server.coldQueriedAt, server.jointColdRate = true, now, perSecond
	s.expireGrants(now, server)
	if len(server.grants) > 0 {
		return true
	}
	if s.rightsLent(now) {
		server.coldRight.started = false // the saved-up credit is lent as well
		return false
	}
	ownRate := perSecond / float64(max(s.cfg.Senders, 1))
	// The senders' turns are evenly spaced by rank, starting at the beginning of the warm-up. A sender that
	// learns of the warm-up late, or that restarted and has lost its record of what it sent, starts at the
	// phase its turns would have by now.
	phase := float64(s.cfg.Rank)/float64(max(s.cfg.Senders, 1)) + ownRate*max(now-warmUpStart, 0).Seconds()
	if s.lentUntil >= 0 { // the right returns from a loan: nothing was saved up meanwhile
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

// spendCold takes one set-up from a grant or, without one, from the sender's own right.
func (s *State) spendCold(now Time, server *serverState) {
	s.expireGrants(now, server)
	if len(server.grants) > 0 {
		server.grants[0].remaining--
		return
	}
	server.coldRight.credit--
}

// SpendCold counts a set-up or a probe that was sent to a cold server without being chosen by Priority.
func (s *State) SpendCold(now Time, id string) { s.spendCold(now, s.getOrCreate(id)) }

// loanDuration returns how long a right is lent, counted from the view that the lending summary echoes.
func loanDuration(period time.Duration) time.Duration { return loanPeriods * period }
