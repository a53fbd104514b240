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
	ReportedAt  Time    // when it told
	Exhausted   bool    // it turned a set-up away for want of a line since
}

// reserveDeviations is how many standard deviations of what all senders may send unseen, from one
// telling to the next, are kept free: one set-up in forty then finds no line.
const reserveDeviations = 2

// freeLines is how many of so many lines are free so long after a telling: those told, less what the flow
// has grown by since.
func freeLines(total, busy, flow, hold float64, since time.Duration) float64 {
	grown := 0.0
	if hold > 0 {
		grown = max(flow-busy/hold, 0) * since.Seconds()
	}
	return total - busy - grown
}

// reservedLines is what all senders may take of the free lines before the next telling.
func reservedLines(flow float64, interval ReportInterval) float64 {
	return 1 + reserveDeviations*math.Sqrt(max(flow, 0)*interval.Duration().Seconds())
}

// NearlyFull tells whether so few lines are free that a set-up may well find none.
func (l Lines) NearlyFull(now Time, interval ReportInterval) bool {
	return l.Exhausted || l.Total > 0 && freeLines(l.Total, l.Busy, l.Flow, l.Hold, now-l.ReportedAt) < reservedLines(l.Flow, interval)
}

// SpareRate is the calls a second that lines can take beyond the flow, so long after they were told.
// It takes the figures of Lines one by one: it is asked for every server in each choice, and the
// copies of a struct cost more than the sum.
func SpareRate(total, busy, flow, hold float64, since time.Duration, interval ReportInterval) float64 {
	if total <= 0 || hold <= 0 {
		return math.Inf(1)
	}
	return max((freeLines(total, busy, flow, hold, since)-reservedLines(flow, interval))/hold, 0)
}

// FreeInterval is the time in which a line comes free for each of so many senders; 0: not known.
func (l Lines) FreeInterval(senders int) time.Duration {
	if l.Total <= 0 || l.Hold <= 0 {
		return 0
	}
	return time.Duration(float64(senders)*l.Hold/l.Total*float64(time.Second)) + 1
}

// ServerTotals sums what is known of all servers, so that a guess at one of them costs no walk over the others.
type ServerTotals struct {
	Flow                       float64 // calls a second that come to stand, of all senders
	rateSum, lineSum, measured float64 // of the servers whose capacity was measured
}

// Add counts a server: the set-ups a second that it can take (0: not measured), its lines (0: not
// known) and its flow.
func (f *ServerTotals) Add(rate, lines, flow float64) {
	f.Flow += flow
	if rate > 0 {
		f.rateSum, f.lineSum, f.measured = f.rateSum+rate, f.lineSum+lines, f.measured+1
	}
}

// EstimateRate is the set-ups a second that a server of so many lines (0: not known) can take: by its
// lines as the others by theirs, or as the mean of the others; 0 where nothing was measured.
func (f ServerTotals) EstimateRate(lines float64) float64 {
	if f.lineSum > 0 && lines > 0 {
		return f.rateSum * lines / f.lineSum
	}
	return f.rateSum / max(f.measured, 1)
}

// SenderInterval is the time between one sender's actions when all of so many take perSecond together; 0 where
// they take none.
func SenderInterval(senders int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(senders) / perSecond * float64(time.Second))
}

// ReportInterval is the time from one telling to the next, as learned; 0: not known yet.
type ReportInterval time.Duration

// maxReportInterval is the longest gap that is a pace; a longer one is of a server that was away.
const maxReportInterval = 5 * time.Second

// Duration is the time from one telling to the next; a second, as deployments tell it, until known.
func (p ReportInterval) Duration() time.Duration {
	if p == 0 {
		return time.Second
	}
	return time.Duration(p)
}

// Observe notes a gap between two tellings.
func (p *ReportInterval) Observe(gap time.Duration) {
	switch {
	case gap <= 0 || gap > maxReportInterval:
	case *p == 0:
		*p = ReportInterval(gap)
	default:
		*p += (ReportInterval(gap) - *p) / 16
	}
}

// FlowShare learns which part of the joint flow is this sender's own.
type FlowShare struct{ own rate }

// flowShareWindow is the memory of a sender's own flow, which may be a call a second.
const flowShareWindow = 15 * time.Second

// minFlowShare is the least part of an even one that a sender takes for its own: one that has no
// call for a while must not be shut out.
const minFlowShare = 0.25

// RecordStood counts one call of this sender's that came to stand.
func (p *FlowShare) RecordStood(now Time) {
	p.own.timeConstant = flowShareWindow
	p.own.add(now, 1)
}

// PerSecond is the calls of this sender's that come to stand in a second.
func (p *FlowShare) PerSecond(now Time) float64 { return p.own.perSecond(now) }

// Of is this sender's part of a joint flow, in calls a second, of so many senders.
func (p *FlowShare) Of(now Time, joint float64, senders int) float64 {
	return min(max(p.PerSecond(now)/max(joint, 1), minFlowShare/float64(max(senders, 1))), 1)
}

// minCallsToSeeQueue is how many calls in an aim a sender must have at each server to see a queue there by
// its own answers, and to follow it.
const minCallsToSeeQueue = 3

// Allowed is the part of each server's rate that a sender may choose: all of it where it has so
// many calls that it sees the queues itself, its part of the joint flow where it does not.
func (p *FlowShare) Allowed(now Time, joint float64, senders int, aim time.Duration, servers int) float64 {
	if p.PerSecond(now)*aim.Seconds() >= minCallsToSeeQueue*float64(servers) {
		return 1
	}
	return p.Of(now, joint, senders)
}

// Allowance is the set-ups that one sender may send to one server of its own choice: its part of
// what the server was seen to take, and a little more, so that the flow can grow. What all
// senders send together is then bounded by what the server takes, although none of them sees the
// others: without it, each learns by a late answer of its own that a server is swamped.
type Allowance struct {
	available float64
	updatedAt Time
	started   bool
}

// The bounds of an allowance, in set-ups: what may be saved up, and how far calls that the server
// gets anyway, as their first choice, may run it down.
const (
	maxAllowance = 2
	minAllowance = -2
)

// GrowthFactor is how much more than a server was seen to take its flow may become, so that it can grow.
const GrowthFactor = 1.2

// Available is what is left now, filled at this sender's part of the server's rate. It begins with the
// fraction of first, so that senders that count theirs by rank begin apart.
func (a *Allowance) Available(now Time, part, perSecond, phase float64) float64 {
	if !a.started {
		a.started, a.available, a.updatedAt = true, maxAllowance*(phase-math.Floor(phase)), now
	}
	a.available = min(a.available+GrowthFactor*part*perSecond*(now-a.updatedAt).Seconds(), maxAllowance)
	a.updatedAt = now
	return a.available
}

// Refund gives a set-up back that was answered in time: a server that is quick takes more, whatever
// it was seen to take before, as at the first calls of a morning. room is each sender's part of
// what the server takes in an aim: what all senders get back at once can't swamp it.
func (a *Allowance) Refund(inTime bool, room float64) {
	if inTime {
		a.available = min(a.available+min(room, 1), maxAllowance)
	}
}

// Spend takes one set-up off.
func (a *Allowance) Spend() { a.available = max(a.available-1, minAllowance) }
