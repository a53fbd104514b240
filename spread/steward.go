package spread

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The steward's figures.
const (
	rateSlow   = 30 * time.Second       // memory of a server's capacity: its error is load that lies unevenly
	rateFast   = 2 * time.Second        // and what shows that it has changed,
	rateApart  = 0.4                    // by so much of it,
	rateSeen   = 20                     // seen over so many set-ups
	queueSeen  = 5                      // or that it has slowed down, by a queue of so many
	heardLeast = 0.85                   // of the senders: of fewer, what a server does for them tells nothing of what it can do
	horizon    = 3                      // periods in which queues are to be level
	plainWait  = 250 * time.Millisecond // of a set-up that meets no queue: so many unanswered are none
	holdWait   = 600 * time.Millisecond // a wait that does no harm: calls are held back beyond it
	busyWait   = 0.3                    // seconds: a server with such a wait works as fast as it can
	busyUtil   = 0.97
	freshSeen  = 2 * time.Second // figures older than this tell nothing
	leastUtil  = 0.15            // below, a server's use tells little of what it can take
)

// Steward puts the summaries of senders together. It is not safe for concurrent use, and keeps
// nothing that a new one does not learn within some periods. What it does for one summary grows with
// the servers; it goes through the senders at a look alone, four times a period at most.
type Steward struct {
	cfg     Config
	remote  bool // it has no sight of its own (remote.go)
	seq     uint64
	senders map[string]*sender
	servers map[string]*joint
	order   []*joint // the same, by id
	hold    float64
	demand  float64 // of all senders, kept as they tell
	loans   []Time  // until when the rights of each who lends are lent, in order
	looked  Time
	begun   bool
	sent    []Time // when the latest views went out, for loans; the last is of number seq
	walked  int    // senders gone through, since the start
	chilled []chilled
	distant // what only a remote one has
}

// sender is what the steward holds of one.
type sender struct {
	latest Summary // without its counts
	heard  Time
	lent   Time   // its rights are lent until then
	kept   []kept // of its counts, by server
	silent bool   // it was not heard for long; only its loan is left
}

// kept is a sender's latest word of a server, and the joint whose sums it is in; nil: in none.
type kept struct {
	id         string
	j          *joint
	sent, done uint64
	cold       float64
	up         bool
}

// joint is a server as all senders together see it.
type joint struct {
	id       string
	out      float64 // unanswered now
	done     rate
	fast     rate
	rate     float64 // set-ups a second that it can take; 0: not known
	lines    float64
	util     float64
	used     bool // it tells of its use
	wait     float64
	seenAt   Time
	lastSent Time
	first    Time // since when it is in views
	share    float64
	tokens   bucket // of lent rights, in set-ups
	coldRate float64
	up       bool // it is in views
	gone     bool // the steward has dropped it
	sight         // what only a remote steward has
}

// chilled is a cold server and its place among a view's dues.
type chilled struct {
	j   *joint
	due int
}

// NewSteward returns one that has heard nobody.
func NewSteward(cfg Config) *Steward {
	return &Steward{cfg: cfg, senders: map[string]*sender{}, servers: map[string]*joint{}}
}

// Cold tells what all senders together may send to a cold server, a second, by the steward's own
// reckoning; 0 ends it.
func (w *Steward) Cold(now Time, id string, perSecond float64) { w.joint(now, id).chill(perSecond) }

func (j *joint) chill(perSecond float64) {
	j.coldRate = perSecond
	if perSecond <= 0 {
		j.tokens.begun = false
	}
}

// Listed tells which servers are up.
func (w *Steward) Listed(now Time, id string, up bool) {
	if !up {
		w.remove(w.servers[id])
		return
	}
	w.joint(now, id).up = true
}

// place is where a server is, or would be, in the order.
func (w *Steward) place(id string) int {
	at, _ := slices.BinarySearchFunc(w.order, id, func(j *joint, id string) int { return cmp.Compare(j.id, id) })
	return at
}

func (w *Steward) remove(j *joint) {
	if j == nil {
		return
	}
	j.gone = true
	at := w.place(j.id)
	w.order = slices.Delete(w.order, at, at+1)
	delete(w.servers, j.id)
}

func (w *Steward) joint(now Time, id string) *joint {
	j := w.servers[id]
	if j == nil {
		j = &joint{id: id, done: rate{span: rateSlow}, fast: rate{span: rateFast}, first: now, lastSent: now, up: !w.remote}
		w.servers[id] = j
		w.order = slices.Insert(w.order, w.place(id), j)
	}
	return j
}

// Hear takes a summary and answers it. ok is false for one that is older than one heard before.
func (w *Steward) Hear(now Time, s Summary) (View, bool) {
	n := w.senders[s.From.Name]
	switch {
	case n == nil:
		n = &sender{silent: true}
		w.senders[s.From.Name] = n
	case s.From.Life < n.latest.From.Life || s.From.Life == n.latest.From.Life && s.From.Seq <= n.latest.From.Seq:
		return View{}, false
	case s.From.Life != n.latest.From.Life: // the set-ups of its former life are over
		w.drop(n)
		if w.remote { // and its new one uses its right itself
			w.lend(n, 0)
		}
	}
	w.ownersTold = max(w.ownersTold, s.Senders)
	w.heardAt, w.crowded = now, w.crowded || n.silent
	w.demand += s.Demand - n.latest.Demand
	counts := s.Counts
	n.latest, n.heard, n.silent = s, now, false
	n.latest.Counts = nil
	w.counts(now, n, counts)
	w.borrow(now, n, s)
	w.look(now)
	return w.view(now, s), true
}

// counts takes a sender's counts, which its summary has in the order of the servers' ids.
func (w *Steward) counts(now Time, n *sender, counts []Count) {
	byID := func(a, b Count) int { return cmp.Compare(a.Server, b.Server) }
	if !slices.IsSortedFunc(counts, byID) {
		counts = slices.Clone(counts)
		slices.SortStableFunc(counts, byID)
	}
	next := n.kept[:0] // each is read before it is written
	if !slices.EqualFunc(n.kept, counts, func(k kept, c Count) bool { return k.id == c.Server }) {
		next = make([]kept, 0, len(counts))
	}
	i, before := 0, ""
	for _, c := range counts {
		if c.Server == before { // twice in one summary
			continue
		}
		before = c.Server
		for ; i < len(n.kept) && n.kept[i].id < c.Server; i++ {
			w.uncount(n.kept[i])
		}
		was := kept{}
		if i < len(n.kept) && n.kept[i].id == c.Server {
			was = n.kept[i]
			i++
		}
		next = append(next, w.count(now, was, c))
	}
	for ; i < len(n.kept); i++ { // servers that it no longer names
		w.uncount(n.kept[i])
	}
	n.kept = next
}

// count adds what a sender sent to a server since its summary before, and returns its word.
func (w *Steward) count(now Time, was kept, c Count) kept {
	j := was.j
	if j == nil || j.gone {
		// Its first word to this joint: what it sent before came over a time not known. So did what it
		// sent to a server that left the steward's list and came back.
		was = kept{}
		if j = w.serving(now, c); j == nil || c.Done > c.Sent {
			return kept{id: c.Server}
		}
	}
	first := was.j == nil
	if c.Sent < was.sent || c.Done < was.done || c.Done > c.Sent { // no count of a sender's goes back
		return was
	}
	sent, done := float64(c.Sent-was.sent), float64(c.Done-was.done)
	j.out += sent - done
	if first {
		sent, done = 0, 0
	}
	if sent > 0 {
		j.lastSent = now
	}
	if done > 0 || !j.done.begun || !j.fast.begun {
		j.done.add(now, done)
		j.fast.add(now, done)
	}
	if c.Lines > 0 {
		j.lines = c.Lines
	}
	if c.Age < freshSeen && now-c.Age > j.seenAt && (c.Util >= 0 || c.Wait >= 0) {
		j.seenAt = now - c.Age
		j.wait = max(c.Wait, 0)
		if c.Util >= 0 {
			j.used = true
			j.util += 0.1 * (c.Util - j.util)
		}
	}
	is := kept{id: j.id, j: j, sent: c.Sent, done: c.Done, cold: c.Cold, up: !c.Down}
	w.word(was, is)
	return is
}

// serving is the joint of a server that a sender names for the first time; nil: on no list.
func (w *Steward) serving(now Time, c Count) *joint {
	if w.remote {
		return w.joint(now, c.Server)
	}
	return w.servers[c.Server]
}

// uncount takes a sender's word of a server off the sums.
func (w *Steward) uncount(k kept) {
	if k.j != nil {
		k.j.out -= float64(k.sent - k.done)
		w.word(k, kept{id: k.id})
	}
}

// drop takes what a sender had out off the sums: it has died, or was not heard for long.
func (w *Steward) drop(n *sender) {
	for _, k := range n.kept {
		w.uncount(k)
	}
	n.kept = nil
}

// look works the shares out anew, a few times in a period at most.
func (w *Steward) look(now Time) {
	if w.begun && now-w.looked < w.cfg.period()/4 {
		return
	}
	w.begun, w.looked = true, now
	w.walked += len(w.senders)
	longest := w.cfg.period()
	for _, n := range w.senders {
		longest = max(longest, n.latest.Period)
	}
	for len(w.sent) > 0 && now > w.sent[0]+lendFor(longest) { // no loan by an older view holds any more
		w.sent = w.sent[1:]
	}
	demand, all := 0.0, 0.0
	for name, n := range w.senders {
		if now-n.heard > heardPeriods*max(n.latest.Period, w.cfg.period()) {
			w.crowded = w.crowded || !n.silent
			n.silent = true
			w.drop(n)
			if now > n.lent { // its loan has come to its end, too
				w.lend(n, 0)
				delete(w.senders, name)
				continue
			}
		} else {
			demand += n.latest.Demand
		}
		all += n.latest.Demand
	}
	w.demand = all // what was kept is off by what sums of floats lose
	if w.remote {
		w.see(now)
	}
	for _, j := range w.order {
		w.weigh(now, j)
	}
	w.level(now, demand)
	w.hold = w.over(demand)
	if w.quiet = w.remote && w.unsure(now); w.quiet {
		w.hold, w.quietAt = 0, now
		for _, j := range w.order {
			j.share = 0
		}
	}
}

// over is the share of the demand that servers together can't take, with what waits worked off in
// the horizon but for a wait that does no harm.
func (w *Steward) over(demand float64) float64 {
	t, room := (horizon * w.cfg.period()).Seconds(), 0.0
	for _, j := range w.order {
		if !j.up {
			continue
		}
		if j.rate == 0 { // not known: nothing is held back for its sake
			return 0
		}
		room += max(j.rate-max(j.out-j.rate*holdWait.Seconds(), 0)/t, 0)
	}
	if demand <= room || demand <= 0 {
		return 0
	}
	return 1 - room/demand
}

// weigh learns what a server can take: what it does while it is busy all the time, and otherwise
// what it does for each part of its time. The slow figure is kept until the fast one lies apart.
func (w *Steward) weigh(now Time, j *joint) {
	if float64(len(w.senders)) < heardLeast*float64(w.named()) {
		return // what servers do for those that are not heard would look like less that they can do
	}
	done, fast := j.done.per(now), j.fast.per(now)
	busy := j.util >= busyUtil || j.wait > busyWait || fast > 0 && j.out/fast > 2*busyWait
	use := 1.0
	if !busy {
		if !j.used || j.util < leastUtil || now-j.seenAt > 2*freshSeen {
			return
		}
		use = j.util
	}
	seen := fast*rateFast.Seconds() > rateSeen || busy && j.out >= queueSeen && fast < j.rate
	if x := fast / use; seen && fast > 0 && (j.rate == 0 || math.Abs(x-j.rate) > rateApart*j.rate) {
		j.rate = x
		j.done = rate{span: rateSlow}
		j.done.add(now, 0)
		return
	}
	if x := done / use; done > 0 && now-j.done.first > 2*rateFast {
		j.rate = x
	}
}

// level shares the demand out so that every server's queue, in time, is the same at the horizon:
// water is poured into vessels that stand as high as their queues (the sizes are their rates).
func (w *Steward) level(now Time, demand float64) {
	t := (horizon * w.cfg.period()).Seconds()
	type vessel struct {
		j         *joint
		rate, top float64 // the wait that its queue makes beyond what it works off in t
	}
	var known Fleet
	for _, j := range w.order {
		if j.up {
			known.Add(j.rate, j.lines, 0)
		}
	}
	var all []vessel
	for _, j := range w.order {
		if !j.up {
			continue
		}
		// A server that has not shown what it can take stands for as much as the others of its size.
		r := cmp.Or(j.rate, known.Guess(j.lines), max(j.lines, 1))
		if j.coldRate > 0 {
			r = min(r, j.coldRate)
		}
		queue := max(j.out-r*plainWait.Seconds(), 0)
		all = append(all, vessel{j, r, queue/r - t})
	}
	slices.SortFunc(all, func(a, b vessel) int { return cmp.Compare(a.top, b.top) })
	// The level L at which sum of rate*(L-top) over the vessels below it is the demand in t.
	sumRate, sumTop, level := 0.0, 0.0, 0.0
	for i, v := range all {
		sumRate, sumTop = sumRate+v.rate, sumTop+v.rate*v.top
		level = (demand*t + sumTop) / sumRate
		if i+1 == len(all) || level <= all[i+1].top {
			break
		}
	}
	for _, v := range all {
		v.j.share = max(v.rate*(level-v.top)/t, 0)
	}
}

// borrow takes the rights that a summary lends, by the clock of the view that it echoes.
func (w *Steward) borrow(now Time, n *sender, s Summary) {
	if w.remote && s.Senders == 0 { // its part is not known
		return
	}
	back := w.seq - s.Echo.Seq // views ago
	if s.Lends && s.Echo.Seq <= w.seq && back < uint64(len(w.sent)) && s.Echo.Name == w.cfg.Name && s.Echo.Life == w.cfg.Life {
		at := w.sent[uint64(len(w.sent))-1-back]
		w.lend(n, max(n.lent, at+lendFor(cmp.Or(s.Period, w.cfg.period()))))
	}
}

// lend notes until when a sender's rights are lent; 0: not at all.
func (w *Steward) lend(n *sender, until Time) {
	if n.lent == until {
		return
	}
	if n.lent > 0 {
		at, _ := slices.BinarySearch(w.loans, n.lent)
		w.loans = slices.Delete(w.loans, at, at+1)
	}
	if n.lent = until; until > 0 {
		at, _ := slices.BinarySearch(w.loans, until)
		w.loans = slices.Insert(w.loans, at, until)
	}
}

// lenders is how many senders' rights are lent here for as long as a grant made now may be used.
func (w *Steward) lenders(now Time) int {
	at, _ := slices.BinarySearch(w.loans, now+grantPeriods*w.cfg.period())
	return len(w.loans) - at
}

// held is the share of all rights that is lent here for as long as a grant made now may be used.
func (w *Steward) held(now Time) float64 {
	return min(float64(w.lenders(now))/float64(max(w.owners(), 1)), 1)
}

// view words the answer to a summary, with what its sender may send to cold servers.
func (w *Steward) view(now Time, s Summary) View {
	w.seq++
	w.sent = append(w.sent, now)
	v := View{From: Stamp{w.cfg.Name, w.cfg.Life, w.seq}, Echo: s.From, Senders: len(w.senders), Hold: w.hold, Period: w.cfg.period(),
		Demand: max(w.demand, 0), Dues: make([]Due, 0, len(w.order))}
	held := w.held(now)
	want := s.Demand * cmp.Or(s.Period, w.cfg.period()).Seconds() // calls that it will have before the next view
	w.chilled = w.chilled[:0]
	for _, j := range w.order {
		if !j.up || len(v.Dues) == mostServers {
			continue
		}
		d := Due{Server: j.id, Share: j.share, Rate: j.rate, Out: max(j.out, 0), Idle: now - max(j.lastSent, j.first)}
		if w.remote {
			d.Idle = now - max(j.lastSent, j.first, w.quietAt)
			d.Duty = w.duty(j, s.From.Name, d.Idle)
		}
		if j.coldRate > 0 {
			w.chilled = append(w.chilled, chilled{j, len(v.Dues)})
		}
		v.Dues = append(v.Dues, d)
	}
	for i := range w.chilled {
		// Where it wants less than all could be granted, another server comes first each time.
		c := w.chilled[(uint64(i)+w.seq)%uint64(len(w.chilled))]
		// No more than a period's rights are saved up: a burst of old ones would push it over.
		per := c.j.coldRate * held
		c.j.tokens.fill(now, per, 0, max(1, per*w.cfg.period().Seconds()))
		if c.j.tokens.tokens >= 1 && want >= 0.25 {
			v.Dues[c.due].Grant = 1
			c.j.tokens.tokens--
			want--
		}
	}
	return v
}

// Know brings what the steward's own process has of the servers: those that are up, with what all
// senders together may send to a cold one, a second (0: it is warm). Others are forgotten.
func (w *Steward) Know(now Time, up map[string]float64) {
	for id, j := range w.servers {
		if _, ok := up[id]; !ok {
			w.remove(j)
		}
	}
	for id, cold := range up {
		w.Listed(now, id, true)
		w.Cold(now, id, cold)
	}
}
