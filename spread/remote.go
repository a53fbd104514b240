package spread

import (
	"cmp"
	"slices"
	"time"
)

// A steward that is no sender, as on a control machine, has no list of servers, no sight of which are
// cold and no settings that say how many senders there are. It takes all three from the summaries of
// those it heard lately, none of which may be believed alone:
//
//   - A server is in the views where more than half of them list it. One frozen list neither keeps a dead
//     server in them nor drops a live one; and a sender makes no entry of its own of a server that a view
//     names and its list does not, or the steward's word would come back to it as the senders'.
//   - A server's cold budget is the smallest that any of them tells: news of a restart that has reached
//     one of them holds at once. One that is wrong costs a warm server its share for as long as it goes
//     on saying so; a sender's word ends by its own clock, at the end of the warming that it knows of.
//   - The parts that rights have are those of the largest number of senders told. While settings change,
//     some own one part in the former number and some in the new; what is lent counts as the smaller of
//     the two, so that grants never sum up to more than was lent. Whether enough senders are heard goes by
//     the middle one of the numbers: a single wrong one must not silence the steward.
//
// It says nothing of shares, of what to hold back and of idle servers while it is unsure: while fewer than
// half of the senders are heard (it would level a part of the demand over a part of the queues), and, for as
// long as rates take to be learned, while it has not learned what a server in its views can take. Senders
// then go on by what the steward before it told, for as long as that holds, and after it by what each of
// them knows, which is more than lines alone would tell. So a restart without memory turns nobody. Rights
// are lent and granted meanwhile: they are counted, not guessed.

// remoteState is what a remote steward keeps beside.
type remoteState struct {
	lastHeardAt      Time // the latest summary
	sendersChanged   bool // somebody joined those heard, or left them, since the latest look
	senderGeneration int  // counts such looks
	enoughHeard      bool // half of the senders or more are heard
	tooFewAt         Time // when fewer were last
	withholdsShares  bool // it tells no shares
	withheldAt       Time // when it last told none: no server counts as idle from before
	heardCount       int  // senders, as of the latest look
	largestSenders   int  // the largest number of senders told
	medianSenders    int  // and the middle one
	reportedSenders  []int
	coldReports      int // positive words of cold servers, over all senders
}

// serverReports is what senders tell of a server, as a remote steward counts it.
type serverReports struct {
	upReports        int // senders that list it
	reports          int // that name it at all
	minColdRate      float64
	scores           []uint64 // of those heard, falling, as of
	scoresGeneration int      // this crowd
}

// NewRemoteSteward returns a steward without a sight of its own: which servers are up, which of them are
// cold and how many senders there are come from the summaries that it hears. Of cfg it takes Name, Life and
// Period. One value serves one service. Each value needs a Life above those of all before it under its
// name, in the same process too: loans are counted by the numbers of its views.
func NewRemoteSteward(cfg Config) *Steward {
	w := NewSteward(Config{Name: cfg.Name, Life: cfg.Life, Period: cfg.Period})
	w.remote = true
	return w
}

// Status is what a steward's console tells of a service.
type Status struct {
	Senders    int     // heard lately
	Configured int     // there are so many by the settings of most
	Servers    int     // in its views
	Cold       int     // of these
	Lent       int     // senders whose rights can be granted now
	Demand     float64 // first tries a second, of those heard lately
	Hold       float64 // share of the calls that all servers together can't take
	Unsure     bool    // it tells no shares: it hears too few, or has not learned the servers' rates yet
}

// Status words the steward's state.
func (w *Steward) Status(now Time) Status {
	status := Status{Configured: w.configuredSenders(), Lent: w.lenders(now), Hold: w.hold, Unsure: w.withholdsShares}
	for _, sender := range w.senders {
		if now-sender.heardAt <= senderTTLPeriods*max(sender.latest.Period, w.cfg.period()) {
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

// Senders is how many senders were heard lately, as of the latest summary.
func (w *Steward) Senders() int { return len(w.senders) }

// forgetAfter is how long a steward that hears nobody is worth keeping: what it has learned of servers
// has faded by then, and a short cut costs it nothing.
const forgetAfter = slowRateWindow

// Idle tells whether nobody was heard for half a minute and no right is lent: it may be forgotten.
func (w *Steward) Idle(now Time) bool {
	return now-w.lastHeardAt >= forgetAfter && (len(w.loanEnds) == 0 || w.loanEnds[len(w.loanEnds)-1] < now)
}

// updateReports counts what a sender says of a server now, in the place of what it said before.
func (w *Steward) updateReports(previous, current countRecord) {
	if !w.remote {
		return
	}
	w.addReport(previous, -1)
	w.addReport(current, 1)
	if server := current.server; server != nil && current.coldRate > 0 && (server.coldRate <= 0 || current.coldRate < server.coldRate) {
		server.coldRate = current.coldRate // the smaller word holds at once, a larger one from the next look on
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

// aggregateReports takes what senders say together of lists, of cold servers and of their own number.
func (w *Steward) aggregateReports(now Time) {
	w.heardCount, w.largestSenders, w.reportedSenders = 0, 0, w.reportedSenders[:0]
	for _, sender := range w.senders {
		w.largestSenders = max(w.largestSenders, sender.latest.Senders) // the rights of one not heard may be out, too
		if sender.silent {
			continue
		}
		w.heardCount++
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
	w.medianSenders = w.heardCount
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
		up := 2*server.upReports > w.heardCount
		if up && !server.up { // nobody was to send it anything before
			server.upSince = now
		}
		if server.up = up; !up {
			server.lentTokens.started = false
		}
		server.setColdRate(server.minColdRate)
		server.minColdRate = 0
	}
	wasEnough := w.enoughHeard
	if w.enoughHeard = 2*w.heardCount >= w.medianSenders; !w.enoughHeard || !wasEnough {
		w.tooFewAt = now
	}
}

// rightParts is how many parts the rights to a cold server have.
func (w *Steward) rightParts() int {
	if w.remote {
		return w.largestSenders
	}
	return w.cfg.Senders
}

// configuredSenders is how many senders there are by the settings of most.
func (w *Steward) configuredSenders() int {
	if w.remote {
		return w.medianSenders
	}
	return w.cfg.Senders
}

// lacksData tells whether what it would say of shares is worth less than what senders know.
func (w *Steward) lacksData(now Time) bool {
	if !w.enoughHeard {
		return true
	}
	if now-w.tooFewAt >= 2*fastRateWindow+2*w.cfg.period() { // rates that can be learned are learned by now
		return false
	}
	return slices.ContainsFunc(w.sorted, func(server *jointServer) bool { return server.up && server.capacity == 0 })
}

// isOnDuty tells whether a sender is the one whose next call an idle server gets, by rendezvous hashing over
// those heard as of the latest look, and one more with each period.
func (w *Steward) isOnDuty(server *jointServer, name string, idle time.Duration) bool {
	if idle < maxIdle || server.coldRate > 0 || w.withholdsShares {
		return false
	}
	earlier := int((idle - maxIdle) / w.cfg.period()) // those before it may have no call just now
	if earlier >= w.heardCount {
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
