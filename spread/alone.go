package spread

import (
	"math"
	"time"
)

// Estimates that a sender makes without communication. Servers regularly report to every sender how many of
// their lines are busy. From that each sender knows the rate of calls that come to stand over all senders,
// though not the calls that were refused. It also knows its own calls. Its own calls divided by all calls is
// its part of what all senders together may do. These parts add up to one, whichever senders are busy or
// idle; equal parts would waste those of idle senders.

// Lines is a server's latest report of its lines, with estimates derived from such reports.
type Lines struct {
	Total, Busy float64
	Flow        float64 // calls a second of all senders that come to stand on this server
	Hold        float64 // mean time in seconds that a call holds a line
	ReportedAt  Time    // time of the report
	Exhausted   bool    // the server has since refused a set-up because no line was free
}

// reserveDeviations is how many standard deviations of the set-ups sent by all senders between two reports
// are kept free. With 2, about one set-up in forty finds no free line.
const reserveDeviations = 2

// freeLines estimates the free lines a time after a report: the lines free at the report, less the growth
// since, which follows from the flow.
func freeLines(total, busy, flow, hold float64, since time.Duration) float64 {
	grown := 0.0
	if hold > 0 {
		grown = max(flow-busy/hold, 0) * since.Seconds()
	}
	return total - busy - grown
}

// reservedLines is how many free lines all senders may take before the next report.
func reservedLines(flow float64, interval ReportInterval) float64 {
	return 1 + reserveDeviations*math.Sqrt(max(flow, 0)*interval.Duration().Seconds())
}

// NearlyFull reports whether so few lines are free that a set-up is likely to find none.
func (l Lines) NearlyFull(now Time, interval ReportInterval) bool {
	return l.Exhausted || l.Total > 0 && freeLines(l.Total, l.Busy, l.Flow, l.Hold, now-l.ReportedAt) < reservedLines(l.Flow, interval)
}

// SpareRate returns the calls a second that a server's lines can take beyond the current flow, a time after
// the report. It takes the fields of Lines one by one because it is called for every server in each choice,
// where copying the struct costs more than the calculation.
func SpareRate(total, busy, flow, hold float64, since time.Duration, interval ReportInterval) float64 {
	if total <= 0 || hold <= 0 {
		return math.Inf(1)
	}
	return max((freeLines(total, busy, flow, hold, since)-reservedLines(flow, interval))/hold, 0)
}

// FreeInterval returns the average time in which one line becomes free for each of the senders; 0 if not
// known.
func (l Lines) FreeInterval(senders int) time.Duration {
	if l.Total <= 0 || l.Hold <= 0 {
		return 0
	}
	return time.Duration(float64(senders)*l.Hold/l.Total*float64(time.Second)) + 1
}

// ServerTotals sums figures over all servers, so that an estimate for one server needs no loop over the
// others.
type ServerTotals struct {
	Flow                       float64 // calls a second of all senders that come to stand
	rateSum, lineSum, measured float64 // of the measured servers: set-ups a second, lines, number
}

// Add adds a server: the set-ups a second that it can take (0: not measured), its lines (0: not known) and
// its flow in calls a second.
func (t *ServerTotals) Add(rate, lines, flow float64) {
	t.Flow += flow
	if rate > 0 {
		t.rateSum, t.lineSum, t.measured = t.rateSum+rate, t.lineSum+lines, t.measured+1
	}
}

// EstimateRate estimates the set-ups a second that a server with this many lines (0: not known) can take, in
// proportion to its lines or, if they are not known, as the mean of the measured servers. It returns 0 if
// nothing was measured.
func (t ServerTotals) EstimateRate(lines float64) float64 {
	if t.lineSum > 0 && lines > 0 {
		return t.rateSum * lines / t.lineSum
	}
	return t.rateSum / max(t.measured, 1)
}

// SenderInterval returns the time between two actions of one sender if all senders together perform perSecond
// actions a second; 0 if they perform none.
func SenderInterval(senders int, perSecond float64) time.Duration {
	if perSecond <= 0 {
		return 0
	}
	return time.Duration(float64(senders) / perSecond * float64(time.Second))
}

// ReportInterval is the learned time between two reports of a server; 0 means not known yet.
type ReportInterval time.Duration

// maxReportInterval is the longest gap that counts as an interval; a longer one means that the server was
// away.
const maxReportInterval = 5 * time.Second

// Duration returns the time between two reports; until it is known, one second, which is usual in
// deployments.
func (r ReportInterval) Duration() time.Duration {
	if r == 0 {
		return time.Second
	}
	return time.Duration(r)
}

// Observe updates the average with the gap between two reports.
func (r *ReportInterval) Observe(gap time.Duration) {
	switch {
	case gap <= 0 || gap > maxReportInterval:
	case *r == 0:
		*r = ReportInterval(gap)
	default:
		*r += (ReportInterval(gap) - *r) / 16
	}
}

// FlowShare estimates this sender's part of the joint flow.
type FlowShare struct{ own rate }

// flowShareWindow is the averaging time of a sender's own flow, which may be as low as one call a second.
const flowShareWindow = 15 * time.Second

// minFlowShare is the smallest part, relative to an even one, that a sender takes, so that a sender without
// calls for a while is not shut out.
const minFlowShare = 0.25

// RecordStood counts one call of this sender that came to stand.
func (f *FlowShare) RecordStood(now Time) {
	f.own.timeConstant = flowShareWindow
	f.own.add(now, 1)
}

// PerSecond returns this sender's rate of calls that come to stand.
func (f *FlowShare) PerSecond(now Time) float64 { return f.own.perSecond(now) }

// Of returns this sender's part of a joint flow, given in calls a second.
func (f *FlowShare) Of(now Time, joint float64, senders int) float64 {
	return min(max(f.PerSecond(now)/max(joint, 1), minFlowShare/float64(max(senders, 1))), 1)
}

// minCallsToSeeQueue is how many calls within an aim a sender must have for each server to detect a queue
// there from its own answers and react to it.
const minCallsToSeeQueue = 3

// Allowed returns the part of each server's rate that a sender may choose to send. It is the whole rate if
// the sender has enough calls to see the queues itself, otherwise its part of the joint flow.
func (f *FlowShare) Allowed(now Time, joint float64, senders int, aim time.Duration, servers int) float64 {
	if f.PerSecond(now)*aim.Seconds() >= minCallsToSeeQueue*float64(servers) {
		return 1
	}
	return f.Of(now, joint, senders)
}

// Allowance limits the set-ups that one sender sends to one server by its own choice: its part of what the
// server was observed to take, plus some growth. What all senders send together is then bounded by what the
// server takes, although no sender sees the others. Without this limit, each sender would learn only from a
// late answer of its own that a server is overloaded.
type Allowance struct {
	available float64
	updatedAt Time
	started   bool
}

// Bounds of an allowance, in set-ups: the most that can be saved up, and how far below zero calls can take it
// that the server gets anyway as their first choice.
const (
	maxAllowance = 2
	minAllowance = -2
)

// GrowthFactor is the ratio of the allowed rate to the observed rate, so that the flow to a server can grow.
const GrowthFactor = 1.2

// Available refills the allowance at this sender's part of the server's rate and returns what is available.
// The initial level is the fractional part of phase: senders that pass a value derived from their rank start
// at different levels.
func (a *Allowance) Available(now Time, part, perSecond, phase float64) float64 {
	if !a.started {
		a.started, a.available, a.updatedAt = true, maxAllowance*(phase-math.Floor(phase)), now
	}
	a.available = min(a.available+GrowthFactor*part*perSecond*(now-a.updatedAt).Seconds(), maxAllowance)
	a.updatedAt = now
	return a.available
}

// Refund returns one set-up if it was answered in time: a server that answers quickly takes more than was
// observed before, for example at the first calls of a morning. room is each sender's part of what the server
// takes within an aim; it limits the refund, so that the refunds of all senders can't overload the server at
// once.
func (a *Allowance) Refund(inTime bool, room float64) {
	if inTime {
		a.available = min(a.available+min(room, 1), maxAllowance)
	}
}

// Spend takes one set-up from the allowance.
func (a *Allowance) Spend() { a.available = max(a.available-1, minAllowance) }
