package spread

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Constants of the steward's estimates.
const (
	slowRateWindow          = 30 * time.Second       // averaging time of a server's capacity; its errors unbalance the load
	fastRateWindow          = 2 * time.Second        // averaging time of the rate that detects a changed capacity
	capacityChangeThreshold = 0.4                    // relative change of the capacity that is detected
	minFastSetups           = 20                     // set-ups within fastRateWindow needed to detect a change
	minSlowdownQueue        = 5                      // queued set-ups that show that a busy server has slowed down
	minActiveShare          = 0.85                   // share of the senders; with fewer active, completed set-ups don't show a server's capacity
	horizonPeriods          = 3                      // periods within which all queues should become equally long
	normalAnswerTime        = 250 * time.Millisecond // answer time without a queue; set-ups sent within it don't count as queued
	harmlessWait            = 600 * time.Millisecond // wait that does no harm; calls are held back only beyond it
	busyWaitSeconds         = 0.3                    // a server with a longer wait works at full capacity
	busyUtilization         = 0.97
	maxReportAge            = 2 * time.Second // older reports of a server's load are ignored
	minUtilization          = 0.15            // below it, utilization is too imprecise to estimate capacity
)

// Steward combines the summaries of all senders. It is not safe for concurrent use and keeps no state that a
// new one doesn't learn within a few periods. Its work for one summary grows with the number of servers; it
// visits all senders only in evaluate, at most four times a period, and in isOnDuty, once for each idle
// server after the set of senders has changed.
type Steward struct {
	cfg            Config
	remote         bool // it learns servers and senders from summaries alone (remote.go)
	seq            uint64
	senders        map[string]*senderRecord
	servers        map[string]*jointServer
	sorted         []*jointServer // the same servers, sorted by id
	hold           float64
	demand         float64 // first attempts a second of all senders, updated with each summary
	loanEnds       []Time  // ends of the loans of all lending senders, sorted
	evaluatedAt    Time
	evaluated      bool
	viewTimes      []Time // when the latest views were sent, to date loans; the last entry is for view number seq
	sendersVisited int    // senders visited since the start; the tests bound it
	coldDues       []coldDue
	remoteState    // state of a remote steward
}

// senderRecord is what the steward keeps about one sender.
type senderRecord struct {
	latest        Summary // the latest summary, without its counts
	lastSummaryAt Time
	lentUntil     Time          // its rights are lent to this steward until then
	counts        []countRecord // its latest counts, sorted by server
	silent        bool          // no summary for long; the record is kept only for the loan
}

// countRecord is a sender's latest count for a server, and the server whose sums include it; nil if none
// does.
type countRecord struct {
	id         string
	server     *jointServer
	sent, done uint64
	coldRate   float64
	up         bool
}

// jointServer is a server as seen by all senders together.
type jointServer struct {
	id            string
	outstanding   float64 // unanswered set-ups of all senders
	doneSlow      rate
	doneFast      rate
	capacity      float64 // set-ups a second that it can take; 0 if not known
	lines         float64
	util          float64
	reportsUtil   bool // it reports its utilization
	wait          float64
	reportAt      Time
	lastSentAt    Time
	upSince       Time // when it was added to the views
	share         float64
	lentTokens    bucket // lent rights to its cold budget, in set-ups
	coldRate      float64
	up            bool // it is included in views
	removed       bool // the steward has removed it
	serverReports      // reports about it, counted by a remote steward
}

// coldDue is a cold server and the index of its entry in a view's Dues.
type coldDue struct {
	server *jointServer
	index  int
}

// NewSteward returns a steward that has not received any summary.
func NewSteward(cfg Config) *Steward {
	return &Steward{cfg: cfg, senders: map[string]*senderRecord{}, servers: map[string]*jointServer{}}
}

// SetColdRate sets the set-ups a second that all senders together may send to a cold server, as known to the
// steward's own process; 0 marks the server as warm.
func (w *Steward) SetColdRate(now Time, id string, perSecond float64) {
	w.getOrCreate(now, id).setColdRate(perSecond)
}

func (j *jointServer) setColdRate(perSecond float64) {
	j.coldRate = perSecond
	if perSecond <= 0 {
		j.lentTokens.started = false
	}
}

// UpdateServer adds a server that is up and removes one that is not.
func (w *Steward) UpdateServer(now Time, id string, up bool) {
	if !up {
		w.remove(w.servers[id])
		return
	}
	w.getOrCreate(now, id).up = true
}

// position returns the index of a server in the sorted list, or where it would be inserted.
func (w *Steward) position(id string) int {
	index, _ := slices.BinarySearchFunc(w.sorted, id, func(j *jointServer, id string) int { return cmp.Compare(j.id, id) })
	return index
}

func (w *Steward) remove(server *jointServer) {
	if server == nil {
		return
	}
	server.removed = true
	index := w.position(server.id)
	w.sorted = slices.Delete(w.sorted, index, index+1)
	delete(w.servers, server.id)
}

func (w *Steward) getOrCreate(now Time, id string) *jointServer {
	server := w.servers[id]
	if server == nil {
		server = &jointServer{id: id, doneSlow: rate{timeConstant: slowRateWindow}, doneFast: rate{timeConstant: fastRateWindow}, upSince: now, lastSentAt: now, up: !w.remote}
		w.servers[id] = server
		w.sorted = slices.Insert(w.sorted, w.position(id), server)
	}
	return server
}

// HandleSummary processes a summary and returns the view that answers it. ok is false if the summary is older
// than one received before.
func (w *Steward) HandleSummary(now Time, summary Summary) (View, bool) {
	sender := w.senders[summary.From.Name]
	switch {
	case sender == nil:
		sender = &senderRecord{silent: true}
		w.senders[summary.From.Name] = sender
	case summary.From.Life < sender.latest.From.Life || summary.From.Life == sender.latest.From.Life && summary.From.Seq <= sender.latest.From.Seq:
		return View{}, false
	case summary.From.Life != sender.latest.From.Life: // the set-ups of its previous run are over
		w.removeCounts(sender)
		if w.remote { // the new run uses its right itself
			w.setLoanEnd(sender, 0)
		}
	}
	w.largestSenders = max(w.largestSenders, summary.Senders)
	w.lastSummaryAt, w.sendersChanged = now, w.sendersChanged || sender.silent
	w.demand += summary.Demand - sender.latest.Demand
	counts := summary.Counts
	sender.latest, sender.lastSummaryAt, sender.silent = summary, now, false
	sender.latest.Counts = nil
	w.applyCounts(now, sender, counts)
	w.acceptLoan(now, sender, summary)
	w.evaluate(now)
	return w.buildView(now, summary), true
}

// applyCounts processes a sender's counts, which a summary normally has sorted by server id.
func (w *Steward) applyCounts(now Time, sender *senderRecord, counts []Count) {
	byID := func(a, b Count) int { return cmp.Compare(a.Server, b.Server) }
	if !slices.IsSortedFunc(counts, byID) {
		counts = slices.Clone(counts)
		slices.SortStableFunc(counts, byID)
	}
	next := sender.counts[:0] // reuses the array: each element is read before it is overwritten
	if !slices.EqualFunc(sender.counts, counts, func(k countRecord, c Count) bool { return k.id == c.Server }) {
		next = make([]countRecord, 0, len(counts))
	}
	i, previous := 0, ""
	for _, c := range counts {
		if c.Server == previous { // a duplicate within one summary
			continue
		}
		previous = c.Server
		for ; i < len(sender.counts) && sender.counts[i].id < c.Server; i++ {
			w.removeCount(sender.counts[i])
		}
		record := countRecord{}
		if i < len(sender.counts) && sender.counts[i].id == c.Server {
			record = sender.counts[i]
			i++
		}
		next = append(next, w.applyCount(now, record, c))
	}
	for ; i < len(sender.counts); i++ { // servers that the sender no longer names
		w.removeCount(sender.counts[i])
	}
	sender.counts = next
}

// applyCount adds a sender's set-ups to a server since its previous summary and returns the new record.
func (w *Steward) applyCount(now Time, previous countRecord, count Count) countRecord {
	server := previous.server
	if server == nil || server.removed {
		// This is the sender's first count for this entry, so the time in which its earlier set-ups were sent
		// is unknown. The same holds for a server that left the steward's list and came back.
		previous = countRecord{}
		if server = w.serverFor(now, count); server == nil || count.Done > count.Sent {
			return countRecord{id: count.Server}
		}
	}
	first := previous.server == nil
	if count.Sent < previous.sent || count.Done < previous.done || count.Done > count.Sent { // a sender's counts never decrease
		return previous
	}
	sent, done := float64(count.Sent-previous.sent), float64(count.Done-previous.done)
	server.outstanding += sent - done
	if first {
		sent, done = 0, 0
	}
	if sent > 0 {
		server.lastSentAt = now
	}
	if done > 0 || !server.doneSlow.started || !server.doneFast.started {
		server.doneSlow.add(now, done)
		server.doneFast.add(now, done)
	}
	if count.Lines > 0 {
		server.lines = count.Lines
	}
	if count.Age < maxReportAge && now-count.Age > server.reportAt && (count.Util >= 0 || count.Wait >= 0) {
		server.reportAt = now - count.Age
		server.wait = max(count.Wait, 0)
		if count.Util >= 0 {
			server.reportsUtil = true
			server.util += 0.1 * (count.Util - server.util)
		}
	}
	current := countRecord{id: server.id, server: server, sent: count.Sent, done: count.Done, coldRate: count.Cold, up: !count.Down}
	w.updateReports(previous, current)
	return current
}

// serverFor returns the entry of a server that a sender names for the first time; nil if it is not listed.
func (w *Steward) serverFor(now Time, count Count) *jointServer {
	if w.remote {
		return w.getOrCreate(now, count.Server)
	}
	return w.servers[count.Server]
}

// removeCount subtracts a sender's count from the sums of its server.
func (w *Steward) removeCount(record countRecord) {
	if record.server != nil {
		record.server.outstanding -= float64(record.sent - record.done)
		w.updateReports(record, countRecord{id: record.id})
	}
}

// removeCounts subtracts all counts of a sender that restarted or became silent.
func (w *Steward) removeCounts(sender *senderRecord) {
	for _, record := range sender.counts {
		w.removeCount(record)
	}
	sender.counts = nil
}

// evaluate recalculates the shares, at most four times a period.
func (w *Steward) evaluate(now Time) {
	if w.evaluated && now-w.evaluatedAt < w.cfg.period()/4 {
		return
	}
	w.evaluated, w.evaluatedAt = true, now
	w.sendersVisited += len(w.senders)
	longest := w.cfg.period()
	for _, sender := range w.senders {
		longest = max(longest, sender.latest.Period)
	}
	for len(w.viewTimes) > 0 && now > w.viewTimes[0]+loanDuration(longest) { // any loan dated by an older view has ended
		w.viewTimes = w.viewTimes[1:]
	}
	demand, all := 0.0, 0.0
	for name, sender := range w.senders {
		if now-sender.lastSummaryAt > senderTTLPeriods*max(sender.latest.Period, w.cfg.period()) {
			w.sendersChanged = w.sendersChanged || !sender.silent
			sender.silent = true
			w.removeCounts(sender)
			if now > sender.lentUntil { // its loan has ended as well
				w.setLoanEnd(sender, 0)
				delete(w.senders, name)
				continue
			}
		} else {
			demand += sender.latest.Demand
		}
		all += sender.latest.Demand
	}
	w.demand = all // corrects the rounding errors of the running sum
	if w.remote {
		w.aggregateReports(now)
	}
	for _, server := range w.sorted {
		w.estimateCapacity(now, server)
	}
	w.levelShares(now, demand)
	w.hold = w.excessShare(demand)
	if w.withholdsShares = w.remote && w.lacksData(now); w.withholdsShares {
		w.hold, w.withheldAt = 0, now
		for _, server := range w.sorted {
			server.share = 0
		}
	}
}

// excessShare returns the share of the demand that all servers together can't take while they also work off,
// within the horizon, their queues beyond a harmless wait.
func (w *Steward) excessShare(demand float64) float64 {
	horizon, capacity := (horizonPeriods * w.cfg.period()).Seconds(), 0.0
	for _, server := range w.sorted {
		if !server.up {
			continue
		}
		if server.capacity == 0 { // with unknown capacity nothing is held back
			return 0
		}
		capacity += max(server.capacity-max(server.outstanding-server.capacity*harmlessWait.Seconds(), 0)/horizon, 0)
	}
	if demand <= capacity || demand <= 0 {
		return 0
	}
	return 1 - capacity/demand
}

// estimateCapacity estimates the set-ups a second that a server can take. For a server at full capacity that
// is its completed set-ups a second; otherwise these are divided by its utilization. The slow average is used
// until the fast one differs too much.
func (w *Steward) estimateCapacity(now Time, server *jointServer) {
	if float64(len(w.senders)) < minActiveShare*float64(w.configuredSenders()) {
		return // set-ups of inactive senders are missing, so the capacity would be underestimated
	}
	slow, fast := server.doneSlow.perSecond(now), server.doneFast.perSecond(now)
	busy := server.util >= busyUtilization || server.wait > busyWaitSeconds || fast > 0 && server.outstanding/fast > 2*busyWaitSeconds
	utilization := 1.0
	if !busy {
		if !server.reportsUtil || server.util < minUtilization || now-server.reportAt > 2*maxReportAge {
			return
		}
		utilization = server.util
	}
	significant := fast*fastRateWindow.Seconds() > minFastSetups || busy && server.outstanding >= minSlowdownQueue && fast < server.capacity
	if estimate := fast / utilization; significant && fast > 0 && (server.capacity == 0 || math.Abs(estimate-server.capacity) > capacityChangeThreshold*server.capacity) {
		server.capacity = estimate
		server.doneSlow = rate{timeConstant: slowRateWindow}
		server.doneSlow.add(now, 0)
		return
	}
	if estimate := slow / utilization; slow > 0 && now-server.doneSlow.startedAt > 2*fastRateWindow {
		server.capacity = estimate
	}
}

// levelShares divides the demand so that the queues of all servers take the same time to work off at the
// horizon. This is water-filling: each server starts at the height of its queue, and its width is its rate.
func (w *Steward) levelShares(now Time, demand float64) {
	horizon := (horizonPeriods * w.cfg.period()).Seconds()
	type candidate struct {
		server     *jointServer
		rate, base float64 // base: the time to work off its queue at this rate, less the horizon, in seconds
	}
	var known ServerTotals
	for _, server := range w.sorted {
		if server.up {
			known.Add(server.capacity, server.lines, 0)
		}
	}
	var candidates []candidate
	for _, server := range w.sorted {
		if !server.up {
			continue
		}
		// A server of unknown capacity is assumed to take as much as the others of its size.
		rate := cmp.Or(server.capacity, known.EstimateRate(server.lines), max(server.lines, 1))
		if server.coldRate > 0 {
			rate = min(rate, server.coldRate)
		}
		queue := max(server.outstanding-rate*normalAnswerTime.Seconds(), 0)
		candidates = append(candidates, candidate{server, rate, queue/rate - horizon})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.base, b.base) })
	// Find the level at which the sum of rate*(level-base) over the servers with a base below it equals the
	// demand within the horizon.
	sumRate, sumBase, level := 0.0, 0.0, 0.0
	for i, c := range candidates {
		sumRate, sumBase = sumRate+c.rate, sumBase+c.rate*c.base
		level = (demand*horizon + sumBase) / sumRate
		if i+1 == len(candidates) || level <= candidates[i+1].base {
			break
		}
	}
	for _, c := range candidates {
		c.server.share = max(c.rate*(level-c.base)/horizon, 0)
	}
}

// acceptLoan records the rights that a summary lends, dated by the view that the summary echoes.
func (w *Steward) acceptLoan(now Time, sender *senderRecord, summary Summary) {
	if w.remote && summary.Senders == 0 { // without the number of senders, the size of its right is unknown
		return
	}
	viewsAgo := w.seq - summary.Echo.Seq // number of views sent since the echoed one
	if summary.Lends && summary.Echo.Seq <= w.seq && viewsAgo < uint64(len(w.viewTimes)) && summary.Echo.Name == w.cfg.Name && summary.Echo.Life == w.cfg.Life {
		viewTime := w.viewTimes[uint64(len(w.viewTimes))-1-viewsAgo]
		w.setLoanEnd(sender, max(sender.lentUntil, viewTime+loanDuration(cmp.Or(summary.Period, w.cfg.period()))))
	}
}

// setLoanEnd records until when a sender's rights are lent; 0 means that they are not lent.
func (w *Steward) setLoanEnd(sender *senderRecord, until Time) {
	if sender.lentUntil == until {
		return
	}
	if sender.lentUntil > 0 {
		at, _ := slices.BinarySearch(w.loanEnds, sender.lentUntil)
		w.loanEnds = slices.Delete(w.loanEnds, at, at+1)
	}
	if sender.lentUntil = until; until > 0 {
		at, _ := slices.BinarySearch(w.loanEnds, until)
		w.loanEnds = slices.Insert(w.loanEnds, at, until)
	}
}

// lenders returns how many senders' rights are lent for at least as long as a grant made now can be used.
func (w *Steward) lenders(now Time) int {
	at, _ := slices.BinarySearch(w.loanEnds, now+grantPeriods*w.cfg.period())
	return len(w.loanEnds) - at
}

// lentShare returns the share of all rights that is lent for at least as long as a grant made now can be
// used.
func (w *Steward) lentShare(now Time) float64 {
	return min(float64(w.lenders(now))/float64(max(w.rightParts(), 1)), 1)
}

// buildView builds the answer to a summary, with the set-ups that its sender may send to cold servers.
func (w *Steward) buildView(now Time, summary Summary) View {
	w.seq++
	w.viewTimes = append(w.viewTimes, now)
	view := View{From: Stamp{w.cfg.Name, w.cfg.Life, w.seq}, Echo: summary.From, Senders: len(w.senders), Hold: w.hold, Period: w.cfg.period(),
		Demand: max(w.demand, 0), Dues: make([]Due, 0, len(w.sorted))}
	lentShare := w.lentShare(now)
	expectedCalls := summary.Demand * cmp.Or(summary.Period, w.cfg.period()).Seconds() // calls that it expects until its next view
	w.coldDues = w.coldDues[:0]
	for _, server := range w.sorted {
		if !server.up || len(view.Dues) == maxServers {
			continue
		}
		due := Due{Server: server.id, Share: server.share, Rate: server.capacity, Out: max(server.outstanding, 0), Idle: now - max(server.lastSentAt, server.upSince)}
		if w.remote {
			due.Idle = now - max(server.lastSentAt, server.upSince, w.withheldAt)
			due.Duty = w.isOnDuty(server, summary.From.Name, due.Idle)
		}
		if server.coldRate > 0 {
			w.coldDues = append(w.coldDues, coldDue{server, len(view.Dues)})
		}
		view.Dues = append(view.Dues, due)
	}
	for i := range w.coldDues {
		// Rotate the order, so that each server gets its turn if the sender expects fewer calls than could be
		// granted.
		cold := w.coldDues[(uint64(i)+w.seq)%uint64(len(w.coldDues))]
		// Save up at most the rights of one period; a burst of older ones would overload the server.
		coldRate := cold.server.coldRate * lentShare
		cold.server.lentTokens.refill(now, coldRate, 0, max(1, coldRate*w.cfg.period().Seconds()))
		if cold.server.lentTokens.tokens >= 1 && expectedCalls >= 0.25 {
			view.Dues[cold.index].Grant = 1
			cold.server.lentTokens.tokens--
			expectedCalls--
		}
	}
	return view
}

// SetServers replaces the list of servers with the ones known to the steward's own process: those that are
// up, with the set-ups a second that all senders together may send to a cold one (0: it is warm).
func (w *Steward) SetServers(now Time, coldRates map[string]float64) {
	for id, server := range w.servers {
		if _, ok := coldRates[id]; !ok {
			w.remove(server)
		}
	}
	for id, coldRate := range coldRates {
		w.UpdateServer(now, id, true)
		w.SetColdRate(now, id, coldRate)
	}
}
