package spread

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The steward's figures.
const (
	slowRateWindow          = 30 * time.Second       // memory of a server's capacity: its error is load that lies unevenly
	fastRateWindow          = 2 * time.Second        // and what shows that it has changed,
	capacityChangeThreshold = 0.4                    // by so much of it,
	minFastSetups           = 20                     // seen over so many set-ups
	minSlowdownQueue        = 5                      // or that it has slowed down, by a queue of so many
	minHeardShare           = 0.85                   // of the senders: of fewer, what a server does for them tells nothing of what it can do
	horizonPeriods          = 3                      // periods in which queues are to be level
	normalAnswerTime        = 250 * time.Millisecond // of a set-up that meets no queue: so many unanswered are none
	harmlessWait            = 600 * time.Millisecond // a wait that does no harm: calls are held back beyond it
	busyWaitSeconds         = 0.3                    // seconds: a server with such a wait works as fast as it can
	busyUtilization         = 0.97
	maxReportAge            = 2 * time.Second // figures older than this tell nothing
	minUtilization          = 0.15            // below, a server's use tells little of what it can take
)

// Steward puts the summaries of senders together. It is not safe for concurrent use, and keeps
// nothing that a new one does not learn within some periods. What it does for one summary grows with
// the servers; it goes through the senders at a look alone, four times a period at most.
type Steward struct {
	cfg            Config
	remote         bool // it has no sight of its own (remote.go)
	seq            uint64
	senders        map[string]*senderRecord
	servers        map[string]*jointServer
	sorted         []*jointServer // the same, by id
	hold           float64
	demand         float64 // of all senders, kept as they tell
	loanEnds       []Time  // until when the rights of each who lends are lent, in order
	evaluatedAt    Time
	evaluated      bool
	viewTimes      []Time // when the latest views went out, for loans; the last is of number seq
	sendersVisited int    // senders gone through, since the start
	coldDues       []coldDue
	remoteState    // what only a remote one has
}

// senderRecord is what the steward holds of one.
type senderRecord struct {
	latest    Summary // without its counts
	heardAt   Time
	lentUntil Time          // its rights are lent until then
	counts    []countRecord // of its counts, by server
	silent    bool          // it was not heard for long; only its loan is left
}

// countRecord is a sender's latest word of a server, and the joint whose sums it is in; nil: in none.
type countRecord struct {
	id         string
	server     *jointServer
	sent, done uint64
	coldRate   float64
	up         bool
}

// jointServer is a server as all senders together see it.
type jointServer struct {
	id            string
	outstanding   float64 // unanswered now
	doneSlow      rate
	doneFast      rate
	capacity      float64 // set-ups a second that it can take; 0: not known
	lines         float64
	util          float64
	reportsUtil   bool // it tells of its use
	wait          float64
	reportAt      Time
	lastSentAt    Time
	upSince       Time // since when it is in views
	share         float64
	lentTokens    bucket // of lent rights, in set-ups
	coldRate      float64
	up            bool // it is in views
	removed       bool // the steward has dropped it
	serverReports      // what only a remote steward has
}

// coldDue is a cold server and its place among a view's dues.
type coldDue struct {
	server *jointServer
	index  int
}

// NewSteward returns one that has heard nobody.
func NewSteward(cfg Config) *Steward {
	return &Steward{cfg: cfg, senders: map[string]*senderRecord{}, servers: map[string]*jointServer{}}
}

// SetColdRate tells what all senders together may send to a cold server, a second, by the steward's own
// reckoning; 0 ends it.
func (w *Steward) SetColdRate(now Time, id string, perSecond float64) {
	w.getOrCreate(now, id).setColdRate(perSecond)
}

func (j *jointServer) setColdRate(perSecond float64) {
	j.coldRate = perSecond
	if perSecond <= 0 {
		j.lentTokens.started = false
	}
}

// UpdateServer tells which servers are up.
func (w *Steward) UpdateServer(now Time, id string, up bool) {
	if !up {
		w.remove(w.servers[id])
		return
	}
	w.getOrCreate(now, id).up = true
}

// position is where a server is, or would be, in the order.
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

// HandleSummary takes a summary and answers it. ok is false for one that is older than one heard before.
func (w *Steward) HandleSummary(now Time, summary Summary) (View, bool) {
	sender := w.senders[summary.From.Name]
	switch {
	case sender == nil:
		sender = &senderRecord{silent: true}
		w.senders[summary.From.Name] = sender
	case summary.From.Life < sender.latest.From.Life || summary.From.Life == sender.latest.From.Life && summary.From.Seq <= sender.latest.From.Seq:
		return View{}, false
	case summary.From.Life != sender.latest.From.Life: // the set-ups of its former life are over
		w.removeCounts(sender)
		if w.remote { // and its new one uses its right itself
			w.setLoanEnd(sender, 0)
		}
	}
	w.largestSenders = max(w.largestSenders, summary.Senders)
	w.lastHeardAt, w.sendersChanged = now, w.sendersChanged || sender.silent
	w.demand += summary.Demand - sender.latest.Demand
	counts := summary.Counts
	sender.latest, sender.heardAt, sender.silent = summary, now, false
	sender.latest.Counts = nil
	w.applyCounts(now, sender, counts)
	w.acceptLoan(now, sender, summary)
	w.evaluate(now)
	return w.buildView(now, summary), true
}

// applyCounts takes a sender's counts, which its summary has in the order of the servers' ids.
func (w *Steward) applyCounts(now Time, sender *senderRecord, counts []Count) {
	byID := func(a, b Count) int { return cmp.Compare(a.Server, b.Server) }
	if !slices.IsSortedFunc(counts, byID) {
		counts = slices.Clone(counts)
		slices.SortStableFunc(counts, byID)
	}
	next := sender.counts[:0] // each is read before it is written
	if !slices.EqualFunc(sender.counts, counts, func(k countRecord, c Count) bool { return k.id == c.Server }) {
		next = make([]countRecord, 0, len(counts))
	}
	i, previous := 0, ""
	for _, c := range counts {
		if c.Server == previous { // twice in one summary
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
	for ; i < len(sender.counts); i++ { // servers that it no longer names
		w.removeCount(sender.counts[i])
	}
	sender.counts = next
}

// applyCount adds what a sender sent to a server since its summary before, and returns its word.
func (w *Steward) applyCount(now Time, previous countRecord, count Count) countRecord {
	server := previous.server
	if server == nil || server.removed {
		// Its first word to this joint: what it sent before came over a time not known. So did what it
		// sent to a server that left the steward's list and came back.
		previous = countRecord{}
		if server = w.serverFor(now, count); server == nil || count.Done > count.Sent {
			return countRecord{id: count.Server}
		}
	}
	first := previous.server == nil
	if count.Sent < previous.sent || count.Done < previous.done || count.Done > count.Sent { // no count of a sender's goes back
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

// serverFor is the joint of a server that a sender names for the first time; nil: on no list.
func (w *Steward) serverFor(now Time, count Count) *jointServer {
	if w.remote {
		return w.getOrCreate(now, count.Server)
	}
	return w.servers[count.Server]
}

// removeCount takes a sender's word of a server off the sums.
func (w *Steward) removeCount(record countRecord) {
	if record.server != nil {
		record.server.outstanding -= float64(record.sent - record.done)
		w.updateReports(record, countRecord{id: record.id})
	}
}

// removeCounts takes what a sender had out off the sums: it has died, or was not heard for long.
func (w *Steward) removeCounts(sender *senderRecord) {
	for _, record := range sender.counts {
		w.removeCount(record)
	}
	sender.counts = nil
}

// evaluate works the shares out anew, a few times in a period at most.
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
	for len(w.viewTimes) > 0 && now > w.viewTimes[0]+loanDuration(longest) { // no loan by an older view holds any more
		w.viewTimes = w.viewTimes[1:]
	}
	demand, all := 0.0, 0.0
	for name, sender := range w.senders {
		if now-sender.heardAt > senderTTLPeriods*max(sender.latest.Period, w.cfg.period()) {
			w.sendersChanged = w.sendersChanged || !sender.silent
			sender.silent = true
			w.removeCounts(sender)
			if now > sender.lentUntil { // its loan has come to its end, too
				w.setLoanEnd(sender, 0)
				delete(w.senders, name)
				continue
			}
		} else {
			demand += sender.latest.Demand
		}
		all += sender.latest.Demand
	}
	w.demand = all // what was kept is off by what sums of floats lose
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

// excessShare is the share of the demand that servers together can't take, with what waits worked off in
// the horizon but for a wait that does no harm.
func (w *Steward) excessShare(demand float64) float64 {
	horizon, capacity := (horizonPeriods * w.cfg.period()).Seconds(), 0.0
	for _, server := range w.sorted {
		if !server.up {
			continue
		}
		if server.capacity == 0 { // not known: nothing is held back for its sake
			return 0
		}
		capacity += max(server.capacity-max(server.outstanding-server.capacity*harmlessWait.Seconds(), 0)/horizon, 0)
	}
	if demand <= capacity || demand <= 0 {
		return 0
	}
	return 1 - capacity/demand
}

// estimateCapacity learns what a server can take: what it does while it is busy all the time, and otherwise
// what it does for each part of its time. The slow figure is kept until the fast one lies apart.
func (w *Steward) estimateCapacity(now Time, server *jointServer) {
	if float64(len(w.senders)) < minHeardShare*float64(w.configuredSenders()) {
		return // what servers do for those that are not heard would look like less that they can do
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

// levelShares shares the demand out so that every server's queue, in time, is the same at the horizon:
// water is poured into vessels that stand as high as their queues (the sizes are their rates).
func (w *Steward) levelShares(now Time, demand float64) {
	horizon := (horizonPeriods * w.cfg.period()).Seconds()
	type candidate struct {
		server     *jointServer
		rate, base float64 // the wait that its queue makes beyond what it works off in t
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
		// A server that has not shown what it can take stands for as much as the others of its size.
		rate := cmp.Or(server.capacity, known.EstimateRate(server.lines), max(server.lines, 1))
		if server.coldRate > 0 {
			rate = min(rate, server.coldRate)
		}
		queue := max(server.outstanding-rate*normalAnswerTime.Seconds(), 0)
		candidates = append(candidates, candidate{server, rate, queue/rate - horizon})
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.base, b.base) })
	// The level L at which sum of rate*(L-top) over the vessels below it is the demand in t.
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

// acceptLoan takes the rights that a summary lends, by the clock of the view that it echoes.
func (w *Steward) acceptLoan(now Time, sender *senderRecord, summary Summary) {
	if w.remote && summary.Senders == 0 { // its part is not known
		return
	}
	viewsAgo := w.seq - summary.Echo.Seq // views ago
	if summary.Lends && summary.Echo.Seq <= w.seq && viewsAgo < uint64(len(w.viewTimes)) && summary.Echo.Name == w.cfg.Name && summary.Echo.Life == w.cfg.Life {
		viewTime := w.viewTimes[uint64(len(w.viewTimes))-1-viewsAgo]
		w.setLoanEnd(sender, max(sender.lentUntil, viewTime+loanDuration(cmp.Or(summary.Period, w.cfg.period()))))
	}
}

// setLoanEnd notes until when a sender's rights are lent; 0: not at all.
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

// lenders is how many senders' rights are lent here for as long as a grant made now may be used.
func (w *Steward) lenders(now Time) int {
	at, _ := slices.BinarySearch(w.loanEnds, now+grantPeriods*w.cfg.period())
	return len(w.loanEnds) - at
}

// lentShare is the share of all rights that is lent here for as long as a grant made now may be used.
func (w *Steward) lentShare(now Time) float64 {
	return min(float64(w.lenders(now))/float64(max(w.rightParts(), 1)), 1)
}

// buildView words the answer to a summary, with what its sender may send to cold servers.
func (w *Steward) buildView(now Time, summary Summary) View {
	w.seq++
	w.viewTimes = append(w.viewTimes, now)
	view := View{From: Stamp{w.cfg.Name, w.cfg.Life, w.seq}, Echo: summary.From, Senders: len(w.senders), Hold: w.hold, Period: w.cfg.period(),
		Demand: max(w.demand, 0), Dues: make([]Due, 0, len(w.sorted))}
	lentShare := w.lentShare(now)
	expectedCalls := summary.Demand * cmp.Or(summary.Period, w.cfg.period()).Seconds() // calls that it will have before the next view
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
		// Where it wants less than all could be granted, another server comes first each time.
		cold := w.coldDues[(uint64(i)+w.seq)%uint64(len(w.coldDues))]
		// No more than a period's rights are saved up: a burst of old ones would push it over.
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

// SetServers brings what the steward's own process has of the servers: those that are up, with what all
// senders together may send to a cold one, a second (0: it is warm). Others are forgotten.
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
