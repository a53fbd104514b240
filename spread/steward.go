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
	flowSpan   = 2 * time.Second        // memory of what comes to a server
	horizon    = 3                      // periods in which queues are to be level
	plainWait  = 250 * time.Millisecond // of a set-up that meets no queue: so many unanswered are none
	holdWait   = 600 * time.Millisecond // a wait that does no harm: calls are held back beyond it
	busyWait   = 0.3                    // seconds: a server with such a wait works as fast as it can
	busyUtil   = 0.97
	freshSeen  = 2 * time.Second // figures older than this tell nothing
	leastUtil  = 0.15            // below, a server's use tells little of what it can take
)

// Steward puts the summaries of senders together. It is not safe for concurrent use, and keeps
// nothing that a new one does not learn within some periods.
type Steward struct {
	cfg     Config
	remote  bool // it has no sight of its own (remote.go)
	seq     uint64
	senders map[string]*sender
	servers map[string]*joint
	hold    float64
	looked  Time
	begun   bool
	sent    map[uint64]Time // views that went out, by number, for loans
}

// sender is what the steward holds of one.
type sender struct {
	latest Summary
	heard  Time
	lent   Time // its rights are lent until then
	counts map[string]Count
}

// joint is a server as all senders together see it.
type joint struct {
	out       float64 // unanswered now
	sentAll   uint64  // grown since this steward began
	doneAll   uint64
	stoodAll  uint64
	flow      rate
	done      rate
	fast      rate
	rate      float64 // set-ups a second that it can take; 0: not known
	weighed   Time
	lines     float64
	util      float64
	used      bool // it tells of its use
	wait      float64
	seenAt    Time
	lastSent  Time
	first     Time
	share     float64
	tokens    bucket // of lent rights, in set-ups
	coldRate  float64
	coldUntil Time
	up        bool
}

// NewSteward returns one that has heard nobody.
func NewSteward(cfg Config) *Steward {
	return &Steward{cfg: cfg, senders: map[string]*sender{}, servers: map[string]*joint{}, sent: map[uint64]Time{}}
}

// Cold tells what all senders together may send to a cold server, a second, by the steward's own
// reckoning; 0 ends it.
func (w *Steward) Cold(now Time, id string, perSecond float64) {
	j := w.joint(now, id)
	j.coldRate = perSecond
	if perSecond <= 0 {
		j.tokens.begun = false
	}
}

// Listed tells which servers are up.
func (w *Steward) Listed(now Time, id string, up bool) {
	if !up {
		delete(w.servers, id)
		return
	}
	w.joint(now, id).up = true
}

func (w *Steward) joint(now Time, id string) *joint {
	j := w.servers[id]
	if j == nil {
		j = &joint{flow: rate{span: flowSpan}, done: rate{span: rateSlow}, fast: rate{span: rateFast}, first: now, lastSent: now, up: true}
		w.servers[id] = j
	}
	return j
}

// Hear takes a summary and answers it. ok is false for one that is older than one heard before.
func (w *Steward) Hear(now Time, s Summary) (View, bool) {
	old := w.senders[s.From.Name]
	if old != nil && (s.From.Life < old.latest.From.Life || s.From.Life == old.latest.From.Life && s.From.Seq <= old.latest.From.Seq) {
		return View{}, false
	}
	n := &sender{latest: s, heard: now, counts: map[string]Count{}}
	if old != nil {
		n.lent = old.lent
		if old.latest.From.Life != s.From.Life { // the set-ups of its former life are over
			w.drop(old)
			old = nil
		}
	}
	w.senders[s.From.Name] = n
	for _, c := range s.Counts {
		w.count(now, n, old, c)
	}
	if old != nil { // servers that it no longer names
		for id, c := range old.counts {
			if _, ok := n.counts[id]; !ok && w.servers[id] != nil {
				w.servers[id].out -= float64(c.Sent - c.Done)
			}
		}
	}
	w.borrow(now, n, s)
	w.look(now)
	return w.view(now, s), true
}

// count adds what a sender sent since its summary before.
func (w *Steward) count(now Time, n, old *sender, c Count) {
	j := w.servers[c.Server]
	if j == nil { // not on the steward's list, or no more
		return
	}
	var was Count
	if old != nil {
		was = old.counts[c.Server]
	}
	if c.Sent < was.Sent || c.Done < was.Done || c.Done > c.Sent { // no count of a sender's goes back
		n.counts[c.Server] = was
		return
	}
	n.counts[c.Server] = c
	sent, done := float64(c.Sent-was.Sent), float64(c.Done-was.Done)
	if old == nil { // what it sent before this steward heard of it came over a time not known
		sent, done = 0, 0
		j.out += float64(c.Sent - c.Done)
	} else {
		j.out += sent - done
	}
	if sent > 0 {
		j.lastSent = now
		j.flow.add(now, sent)
	}
	j.done.add(now, done)
	j.fast.add(now, done)
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
}

// drop takes what a sender had out off the sums: it has died, or was not heard for long.
func (w *Steward) drop(n *sender) {
	for id, c := range n.counts {
		if j := w.servers[id]; j != nil {
			j.out -= float64(c.Sent - c.Done)
		}
	}
}

// look works the shares out anew, a few times in a period at most.
func (w *Steward) look(now Time) {
	if w.begun && now-w.looked < w.cfg.period()/4 {
		return
	}
	w.begun, w.looked = true, now
	longest := w.cfg.period()
	for _, n := range w.senders {
		longest = max(longest, n.latest.Period)
	}
	for seq, at := range w.sent { // no loan by an older view holds any more
		if now > at+lendFor(longest) {
			delete(w.sent, seq)
		}
	}
	demand := 0.0
	for name, n := range w.senders {
		if now-n.heard > heardPeriods*max(n.latest.Period, w.cfg.period()) {
			w.drop(n)
			if now > n.lent { // its loan has come to its end, too
				delete(w.senders, name)
			} else {
				n.counts = map[string]Count{}
			}
			continue
		}
		demand += n.latest.Demand
	}
	for _, j := range w.servers {
		w.weigh(now, j)
	}
	w.level(now, demand)
	w.hold = w.over(demand)
}

// over is the share of the demand that servers together can't take, with what waits worked off in
// the horizon but for a wait that does no harm.
func (w *Steward) over(demand float64) float64 {
	t, room := (horizon * w.cfg.period()).Seconds(), 0.0
	for _, j := range w.servers {
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
	if float64(len(w.senders)) < heardLeast*float64(w.cfg.Senders) {
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
	for _, j := range w.servers {
		known.Add(j.rate, j.lines, 0)
	}
	var all []vessel
	for _, j := range w.servers {
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
	at, ok := w.sent[s.Echo.Seq]
	if s.Lends && ok && s.Echo.Name == w.cfg.Name && s.Echo.Life == w.cfg.Life {
		n.lent = max(n.lent, at+lendFor(cmp.Or(s.Period, w.cfg.period())))
	}
}

// held is the share of all rights that is lent here for as long as a grant made now may be used.
func (w *Steward) held(now Time) float64 {
	held := 0
	for _, n := range w.senders {
		if n.lent >= now+grantPeriods*w.cfg.period() {
			held++
		}
	}
	return min(float64(held)/float64(max(w.cfg.Senders, 1)), 1)
}

// view words the answer to a summary, with what its sender may send to cold servers.
func (w *Steward) view(now Time, s Summary) View {
	w.seq++
	w.sent[w.seq] = now
	v := View{From: Stamp{w.cfg.Name, w.cfg.Life, w.seq}, Echo: s.From, Senders: len(w.senders), Hold: w.hold, Period: w.cfg.period()}
	for _, n := range w.senders {
		v.Demand += n.latest.Demand
	}
	held := w.held(now)
	want := s.Demand * cmp.Or(s.Period, w.cfg.period()).Seconds() // calls that it will have before the next view
	for id, j := range w.servers {
		d := Due{Server: id, Share: j.share, Rate: j.rate, Out: max(j.out, 0), Idle: now - max(j.lastSent, j.first)}
		if j.coldRate > 0 {
			// No more than a period's rights are saved up: a burst of old ones would push it over.
			per := j.coldRate * held
			j.tokens.fill(now, per, 0, max(1, per*w.cfg.period().Seconds()))
			if j.tokens.tokens >= 1 && want >= 0.25 {
				d.Grant = 1
				j.tokens.tokens--
				want--
			}
		}
		v.Dues = append(v.Dues, d)
	}
	slices.SortFunc(v.Dues, func(a, b Due) int { return cmp.Compare(a.Server, b.Server) })
	return v
}

// Know brings what the steward's own process has of the servers: those that are up, with what all
// senders together may send to a cold one, a second (0: it is warm). Others are forgotten.
func (w *Steward) Know(now Time, up map[string]float64) {
	for id := range w.servers {
		if _, ok := up[id]; !ok {
			w.Listed(now, id, false)
		}
	}
	for id, cold := range up {
		w.Listed(now, id, true)
		w.Cold(now, id, cold)
	}
}
