package spread

import (
	"cmp"
	"slices"
	"time"
)

// A remote steward is not a sender itself; it runs, for example, on a control machine. It has no list of
// servers, does not know which are cold, and has no setting for the number of senders. It takes all three
// from the summaries of active senders, which are those whose last summary is recent, and trusts none of them
// alone:
//
//   - A server is included in views if more than half of the active senders list it. A single stale list thus
//     neither keeps a dead server in the views nor drops a live one. A sender does not add a server only
//     because a view names it; otherwise the steward would count its own information as reports of senders.
//   - A server's cold budget is the smallest that any active sender reports, so news of a restart takes
//     effect as soon as it has reached one sender. A wrong report costs a warm server its share for as long
//     as it is repeated; a report ends by the sender's own clock, at the end of the warm-up that it knows of.
//   - Rights are divided by the largest number of senders that is reported. While settings change, some
//     senders own one part in the old number and some in the new. What is lent counts as the smaller of the
//     two, so that grants never add up to more than was lent. The median of the numbers decides whether
//     enough senders are active, because a single wrong number must not silence the steward.
//
// A remote steward sends no shares, no hold share and no duty for idle servers while it lacks data. That is
// so while fewer than half of the senders are active, because it would then level part of the demand over
// part of the queues. It is also so while it does not know the capacity of a server in its views, for as long
// as learning one takes. Senders then continue with the shares of the previous steward while those are valid,
// and afterwards with what each of them knows, which is more than shares by lines alone would give. So a
// restart without memory redirects no sender. Rights are still lent and granted meanwhile, because they are
// counted, not estimated.

// remoteState is the additional state of a remote steward.
type remoteState struct {
	lastSummaryAt    Time // when the latest summary arrived
	sendersChanged   bool // a sender joined or left since the latest evaluation
	senderGeneration int  // number of evaluations that found such a change
	enoughActive     bool // at least half of the senders are active
	tooFewAt         Time // when fewer than half were last active
	withholdsShares  bool // it sends no shares
	withheldAt       Time // when it last sent none; idle times are counted from then at the earliest
	activeSenders    int  // active senders, as of the latest evaluation
	largestSenders   int  // largest number of senders in any summary
	medianSenders    int  // median of these numbers
	reportedSenders  []int
	coldReports      int // reports of cold servers, over all senders
}

// serverReports counts what senders report about a server, for a remote steward.
type serverReports struct {
	upReports        int // senders that list it as up
	reports          int // senders that name it at all
	minColdRate      float64
	scores           []uint64 // hash scores of the active senders, descending
	scoresGeneration int      // senderGeneration for which the scores were calculated
}

// NewRemoteSteward returns a steward that learns from summaries which servers are up, which of them are cold,
// and how many senders there are. It uses Name, Life and Period of cfg. One value serves one service. Each
// value needs a larger Life than all before it under the same name, also within one process, because loans
// are dated by view numbers.
func NewRemoteSteward(cfg Config) *Steward {
	w := NewSteward(Config{Name: cfg.Name, Life: cfg.Life, Period: cfg.Period})
	w.remote = true
	return w
}

// Status is what a steward's console shows about a service.
type Status struct {
	Senders    int     // active senders
	Configured int     // median of the numbers of senders in their settings
	Servers    int     // servers included in its views
	Cold       int     // those of the servers that are cold
	Lent       int     // senders whose lent rights can be granted now
	Demand     float64 // first attempts of calls a second, of the active senders
	Hold       float64 // share of the calls that all servers together can't take
	Unsure     bool    // it sends no shares: too few senders are active, or it has not learned the servers' capacities yet
}

// Status returns the steward's status.
func (w *Steward) Status(now Time) Status {
	status := Status{Configured: w.configuredSenders(), Lent: w.lenders(now), Hold: w.hold, Unsure: w.withholdsShares}
	for _, sender := range w.senders {
		if now-sender.lastSummaryAt <= senderTTLPeriods*max(sender.latest.Period, w.cfg.period()) {
			status.Senders++
			status.Demand += sender.latest.Demand
		}
	}
	for _, server := range w.sorted {
		if server.up {
			status.Servers++
			if server.coldRate > 0 {
				status.Cold++
			}
		}
	}
	return status
}

// Senders returns how many senders are recorded: the active ones, and silent ones whose rights are still lent.
func (w *Steward) Senders() int { return len(w.senders) }

// forgetAfter is how long a steward without summaries is kept. By then its averages have decayed, while a
// shorter interruption loses nothing.
const forgetAfter = slowRateWindow

// Idle reports whether no summary arrived within forgetAfter and no right is lent, so that the steward can be
// dropped.
func (w *Steward) Idle(now Time) bool {
	return now-w.lastSummaryAt >= forgetAfter && (len(w.loanEnds) == 0 || w.loanEnds[len(w.loanEnds)-1] < now)
}

// updateReports replaces a sender's previous report about a server with its current one.
func (w *Steward) updateReports(previous, current countRecord) {
	if !w.remote {
		return
	}
	w.addReport(previous, -1)
	w.addReport(current, 1)
	if server := current.server; server != nil && current.coldRate > 0 && (server.coldRate <= 0 || current.coldRate < server.coldRate) {
		server.coldRate = current.coldRate // a smaller rate takes effect at once, a larger one at the next evaluation
	}
}

func (w *Steward) addReport(record countRecord, delta int) {
	if record.server == nil {
		return
	}
	record.server.reports += delta
	if record.up {
		record.server.upReports += delta
	}
	if record.coldRate > 0 {
		w.coldReports += delta
	}
}

// aggregateReports evaluates what the senders report about servers, cold servers and the number of senders.
func (w *Steward) aggregateReports(now Time) {
	w.activeSenders, w.largestSenders, w.reportedSenders = 0, 0, w.reportedSenders[:0]
	for _, sender := range w.senders {
		w.largestSenders = max(w.largestSenders, sender.latest.Senders) // the rights of a silent sender may still be lent
		if sender.silent {
			continue
		}
		w.activeSenders++
		if sender.latest.Senders > 0 {
			w.reportedSenders = append(w.reportedSenders, sender.latest.Senders)
		}
		for i := range sender.counts {
			if record := &sender.counts[i]; w.coldReports > 0 && record.coldRate > 0 && record.server != nil {
				record.server.minColdRate = cmp.Or(min(record.server.minColdRate, record.coldRate), record.coldRate)
			}
		}
	}
	slices.Sort(w.reportedSenders)
	w.medianSenders = w.activeSenders
	if count := len(w.reportedSenders); count > 0 {
		w.medianSenders = w.reportedSenders[count/2]
	}
	if w.sendersChanged {
		w.sendersChanged = false
		w.senderGeneration++
	}
	for i := 0; i < len(w.sorted); {
		server := w.sorted[i]
		if server.reports == 0 {
			w.remove(server)
			continue
		}
		i++
		up := 2*server.upReports > w.activeSenders
		if up && !server.up { // no sender had to send it anything before
			server.upSince = now
		}
		if server.up = up; !up {
			server.lentTokens.started = false
		}
		server.setColdRate(server.minColdRate)
		server.minColdRate = 0
	}
	wasEnough := w.enoughActive
	if w.enoughActive = 2*w.activeSenders >= w.medianSenders; !w.enoughActive || !wasEnough {
		w.tooFewAt = now
	}
}

// rightParts returns the number of parts that the right to a cold server's budget is divided into.
func (w *Steward) rightParts() int {
	if w.remote {
		return w.largestSenders
	}
	return w.cfg.Senders
}

// configuredSenders returns the number of senders by the settings; for a remote steward, the median of them.
func (w *Steward) configuredSenders() int {
	if w.remote {
		return w.medianSenders
	}
	return w.cfg.Senders
}

// lacksData reports whether shares from this steward would be worse than the senders' own estimates.
func (w *Steward) lacksData(now Time) bool {
	if !w.enoughActive {
		return true
	}
	if now-w.tooFewAt >= 2*fastRateWindow+2*w.cfg.period() { // capacities that can be learned have been learned by now
		return false
	}
	return slices.ContainsFunc(w.sorted, func(server *jointServer) bool { return server.up && server.capacity == 0 })
}

// isOnDuty reports whether a sender must send its next call to an idle server. Rendezvous hashing over the
// senders active at the latest evaluation selects one sender, and one more with each period.
func (w *Steward) isOnDuty(server *jointServer, name string, idle time.Duration) bool {
	if idle < maxIdle || server.coldRate > 0 || w.withholdsShares {
		return false
	}
	earlier := int((idle - maxIdle) / w.cfg.period()) // the senders selected first may have no call at present
	if earlier >= w.activeSenders {
		return true
	}
	if server.scoresGeneration != w.senderGeneration {
		server.scoresGeneration, server.scores = w.senderGeneration, server.scores[:0]
		for other, sender := range w.senders {
			if !sender.silent {
				server.scores = append(server.scores, score(server.id, other))
			}
		}
		w.sendersVisited += len(w.senders)
		slices.SortFunc(server.scores, func(a, b uint64) int { return cmp.Compare(b, a) })
	}
	return earlier >= len(server.scores) || score(server.id, name) >= server.scores[earlier]
}
