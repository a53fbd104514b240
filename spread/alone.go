package spread

import (
	"math"
	"time"
)

// What a sender alone can tell of all of them. Servers tell every sender how many of their lines
// are busy, at a steady pace; from that each knows what comes to stand everywhere, though not what
// was turned away. It knows its own calls. The share of the first that its own make is its part
// of what all may do together: the parts of all senders add up to one, whoever is busy and whoever
// is idle, as equal parts for all would not.

// Lines is what a server told of its lines, and the flow it shows.
type Lines struct {
	Total, Busy float64
	Flow        float64 // calls a second that come to stand there, of all senders
	Hold        float64 // seconds that a call holds a line
	At          Time    // when it told
	Out         bool    // it turned a set-up away for want of a line since
}

// marginSpread is how many standard deviations of what all senders may send unseen, from one
// telling to the next, are kept free: one set-up in forty then finds no line.
const marginSpread = 2

// free is how many of so many lines are free so long after a telling: those told, less what the flow
// has grown by since.
func free(total, busy, flow, hold float64, since time.Duration) float64 {
	grown := 0.0
	if hold > 0 {
		grown = max(flow-busy/hold, 0) * since.Seconds()
	}
	return total - busy - grown
}

// margin is what all senders may take of the free lines before the next telling.
func margin(flow float64, pace Pace) float64 {
	return 1 + marginSpread*math.Sqrt(max(flow, 0)*pace.Every().Seconds())
}

// Short tells whether so few lines are free that a set-up may well find none.
func (l Lines) Short(now Time, pace Pace) bool {
	return l.Out || l.Total > 0 && free(l.Total, l.Busy, l.Flow, l.Hold, now-l.At) < margin(l.Flow, pace)
}

// SpareLines is the calls a second that lines can take beyond the flow, so long after they were told.
// It takes the figures of Lines one by one: it is asked for every server in each choice, and the
// copies of a struct cost more than the sum.
func SpareLines(total, busy, flow, hold float64, since time.Duration, pace Pace) float64 {
	if total <= 0 || hold <= 0 {
		return math.Inf(1)
	}
	return max((free(total, busy, flow, hold, since)-margin(flow, pace))/hold, 0)
}

// Gap is the time in which a line comes free for each of so many senders; 0: not known.
func (l Lines) Gap(senders int) time.Duration {
	if l.Total <= 0 || l.Hold <= 0 {
		return 0
	}
	return time.Duration(float64(senders)*l.Hold/l.Total*float64(time.Second)) + 1
}

// Fleet sums what is known of all servers, so that a guess at one of them costs no walk over the others.
type Fleet struct {
	Flow                float64 // calls a second that come to stand, of all senders
	rates, lines, known float64 // of the servers whose capacity was measured
}

// Add counts a server: the set-ups a second that it can take (0: not measured), its lines (0: not
// known) and its flow.
func (f *Fleet) Add(rate, lines, flow float64) {
	f.Flow += flow
	if rate > 0 {
		f.rates, f.lines, f.known = f.rates+rate, f.lines+lines, f.known+1
	}
}

// Guess is the set-ups a second that a server of so many lines (0: not known) can take: by its
// lines as the others by theirs, or as the mean of the others; 0 where nothing was measured.
func (f Fleet) Guess(lines float64) float64 {
	if f.lines > 0 && lines > 0 {
		return f.rates * lines / f.lines
	}
	return f.rates / max(f.known, 1)
}

// Gap is the time between one sender's actions when all of so many take perSecond together; 0 where
// they take none.
func Gap(senders int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(senders) / perSecond * float64(time.Second))
}

// Pace is the time from one telling to the next, as learned; 0: not known yet.
type Pace time.Duration

// paceMost is the longest gap that is a pace; a longer one is of a server that was away.
const paceMost = 5 * time.Second

// Every is the time from one telling to the next; a second, as deployments tell it, until known.
func (p Pace) Every() time.Duration {
	if p == 0 {
		return time.Second
	}
	return time.Duration(p)
}

// Told notes a gap between two tellings.
func (p *Pace) Told(gap time.Duration) {
	switch {
	case gap <= 0 || gap > paceMost:
	case *p == 0:
		*p = Pace(gap)
	default:
		*p += (Pace(gap) - *p) / 16
	}
}

// Part learns which part of the joint flow is this sender's own.
type Part struct{ own rate }

// partSpan is the memory of a sender's own flow, which may be a call a second.
const partSpan = 15 * time.Second

// leastPart is the least part of an even one that a sender takes for its own: one that has no
// call for a while must not be shut out.
const leastPart = 0.25

// Stood counts one call of this sender's that came to stand.
func (p *Part) Stood(now Time) {
	p.own.span = partSpan
	p.own.add(now, 1)
}

// PerSecond is the calls of this sender's that come to stand in a second.
func (p *Part) PerSecond(now Time) float64 { return p.own.per(now) }

// Of is this sender's part of a joint flow, in calls a second, of so many senders.
func (p *Part) Of(now Time, joint float64, senders int) float64 {
	return min(max(p.PerSecond(now)/max(joint, 1), leastPart/float64(max(senders, 1))), 1)
}

// seesQueue is how many calls in an aim a sender must have at each server to see a queue there by
// its own answers, and to follow it.
const seesQueue = 3

// Allowed is the part of each server's rate that a sender may choose: all of it where it has so
// many calls that it sees the queues itself, its part of the joint flow where it does not.
func (p *Part) Allowed(now Time, joint float64, senders int, aim time.Duration, servers int) float64 {
	if p.PerSecond(now)*aim.Seconds() >= seesQueue*float64(servers) {
		return 1
	}
	return p.Of(now, joint, senders)
}

// Allowance is the set-ups that one sender may send to one server of its own choice: its part of
// what the server was seen to take, and a little more, so that the flow can grow. What all
// senders send together is then bounded by what the server takes, although none of them sees the
// others: without it, each learns by a late answer of its own that a server is swamped.
type Allowance struct {
	left  float64
	at    Time
	begun bool
}

// The bounds of an allowance, in set-ups: what may be saved up, and how far calls that the server
// gets anyway, as their first choice, may run it down.
const (
	allowSaved = 2
	allowDebt  = -2
)

// Grow is how much more than a server was seen to take its flow may become, so that it can grow.
const Grow = 1.2

// Left is what is left now, filled at this sender's part of the server's rate. It begins with the
// fraction of first, so that senders that count theirs by rank begin apart.
func (a *Allowance) Left(now Time, part, perSecond, first float64) float64 {
	if !a.begun {
		a.begun, a.left, a.at = true, allowSaved*(first-math.Floor(first)), now
	}
	a.left = min(a.left+Grow*part*perSecond*(now-a.at).Seconds(), allowSaved)
	a.at = now
	return a.left
}

// Back gives a set-up back that was answered in time: a server that is quick takes more, whatever
// it was seen to take before, as at the first calls of a morning. room is each sender's part of
// what the server takes in an aim: what all senders get back at once can't swamp it.
func (a *Allowance) Back(inTime bool, room float64) {
	if inTime {
		a.left = min(a.left+min(room, 1), allowSaved)
	}
}

// Spend takes one set-up off.
func (a *Allowance) Spend() { a.left = max(a.left-1, allowDebt) }
