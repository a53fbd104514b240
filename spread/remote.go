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

// distant is what a remote steward keeps beside.
type distant struct {
	heardAt    Time // the latest summary
	crowded    bool // somebody joined those heard, or left them, since the latest look
	crowd      int  // counts such looks
	enough     bool // half of the senders or more are heard
	fewAt      Time // when fewer were last
	quiet      bool // it tells no shares
	quietAt    Time // when it last told none: no server counts as idle from before
	heardNow   int  // senders, as of the latest look
	ownersTold int  // the largest number of senders told
	namedTold  int  // and the middle one
	numbers    []int
	coldWords  int // positive words of cold servers, over all senders
}

// sight is what senders tell of a server, as a remote steward counts it.
type sight struct {
	ups    int // senders that list it
	told   int // that name it at all
	least  float64
	scores []uint64 // of those heard, falling, as of
	ranked int      // this crowd
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

// Standing is what a steward's console tells of a service.
type Standing struct {
	Senders int     // heard lately
	Named   int     // there are so many by the settings of most
	Servers int     // in its views
	Cold    int     // of these
	Lent    int     // senders whose rights can be granted now
	Demand  float64 // first tries a second, of those heard lately
	Hold    float64 // share of the calls that all servers together can't take
	Unsure  bool    // it tells no shares: it hears too few, or has not learned the servers' rates yet
}

// Standing words the steward's state.
func (w *Steward) Standing(now Time) Standing {
	st := Standing{Named: w.named(), Lent: w.lenders(now), Hold: w.hold, Unsure: w.quiet}
	for _, n := range w.senders {
		if now-n.heard <= heardPeriods*max(n.latest.Period, w.cfg.period()) {
			st.Senders++
			st.Demand += n.latest.Demand
		}
	}
	for _, j := range w.order {
		if j.up {
			st.Servers++
			if j.coldRate > 0 {
				st.Cold++
			}
		}
	}
	return st
}

// Senders is how many senders were heard lately, as of the latest summary.
func (w *Steward) Senders() int { return len(w.senders) }

// forgetAfter is how long a steward that hears nobody is worth keeping: what it has learned of servers
// has faded by then, and a short cut costs it nothing.
const forgetAfter = rateSlow

// Idle tells whether nobody was heard for half a minute and no right is lent: it may be forgotten.
func (w *Steward) Idle(now Time) bool {
	return now-w.heardAt >= forgetAfter && (len(w.loans) == 0 || w.loans[len(w.loans)-1] < now)
}

// word counts what a sender says of a server now, in the place of what it said before.
func (w *Steward) word(was, is kept) {
	if !w.remote {
		return
	}
	w.say(was, -1)
	w.say(is, 1)
	if j := is.j; j != nil && is.cold > 0 && (j.coldRate <= 0 || is.cold < j.coldRate) {
		j.coldRate = is.cold // the smaller word holds at once, a larger one from the next look on
	}
}

func (w *Steward) say(k kept, by int) {
	if k.j == nil {
		return
	}
	k.j.told += by
	if k.up {
		k.j.ups += by
	}
	if k.cold > 0 {
		w.coldWords += by
	}
}

// see takes what senders say together of lists, of cold servers and of their own number.
func (w *Steward) see(now Time) {
	w.heardNow, w.ownersTold, w.numbers = 0, 0, w.numbers[:0]
	for _, n := range w.senders {
		w.ownersTold = max(w.ownersTold, n.latest.Senders) // the rights of one not heard may be out, too
		if n.silent {
			continue
		}
		w.heardNow++
		if n.latest.Senders > 0 {
			w.numbers = append(w.numbers, n.latest.Senders)
		}
		for i := range n.kept {
			if k := &n.kept[i]; w.coldWords > 0 && k.cold > 0 && k.j != nil {
				k.j.least = cmp.Or(min(k.j.least, k.cold), k.cold)
			}
		}
	}
	slices.Sort(w.numbers)
	w.namedTold = w.heardNow
	if n := len(w.numbers); n > 0 {
		w.namedTold = w.numbers[n/2]
	}
	if w.crowded {
		w.crowded = false
		w.crowd++
	}
	for i := 0; i < len(w.order); {
		j := w.order[i]
		if j.told == 0 {
			w.remove(j)
			continue
		}
		i++
		up := 2*j.ups > w.heardNow
		if up && !j.up { // nobody was to send it anything before
			j.first = now
		}
		if j.up = up; !up {
			j.tokens.begun = false
		}
		j.chill(j.least)
		j.least = 0
	}
	was := w.enough
	if w.enough = 2*w.heardNow >= w.namedTold; !w.enough || !was {
		w.fewAt = now
	}
}

// owners is how many parts the rights to a cold server have.
func (w *Steward) owners() int {
	if w.remote {
		return w.ownersTold
	}
	return w.cfg.Senders
}

// named is how many senders there are by the settings of most.
func (w *Steward) named() int {
	if w.remote {
		return w.namedTold
	}
	return w.cfg.Senders
}

// unsure tells whether what it would say of shares is worth less than what senders know.
func (w *Steward) unsure(now Time) bool {
	if !w.enough {
		return true
	}
	if now-w.fewAt >= 2*rateFast+2*w.cfg.period() { // rates that can be learned are learned by now
		return false
	}
	return slices.ContainsFunc(w.order, func(j *joint) bool { return j.up && j.rate == 0 })
}

// duty tells whether a sender is the one whose next call an idle server gets, by rendezvous hashing over
// those heard as of the latest look, and one more with each period.
func (w *Steward) duty(j *joint, name string, idle time.Duration) bool {
	if idle < idleMost || j.coldRate > 0 || w.quiet {
		return false
	}
	before := int((idle - idleMost) / w.cfg.period()) // those before it may have no call just now
	if before >= w.heardNow {
		return true
	}
	if j.ranked != w.crowd {
		j.ranked, j.scores = w.crowd, j.scores[:0]
		for n, s := range w.senders {
			if !s.silent {
				j.scores = append(j.scores, score(j.id, n))
			}
		}
		w.walked += len(w.senders)
		slices.SortFunc(j.scores, func(a, b uint64) int { return cmp.Compare(b, a) })
	}
	return before >= len(j.scores) || score(j.id, name) >= j.scores[before]
}
