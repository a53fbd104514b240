package spread

import "time"

// NewRemoteSteward returns a steward without a sight of its own, as on a control machine: which servers
// are up, which of them are cold and how many senders there are come from the summaries that it hears.
// Of cfg it takes Name, Life and Period. One value serves one service. Each value needs a Life above
// those of all before it under its name, in this process too: loans are counted by the numbers of its views.
func NewRemoteSteward(cfg Config) *Steward {
	w := NewSteward(cfg)
	w.remote = true
	return w
}

// Standing is what a steward's console tells of a service. Demand is in calls a second.
type Standing struct {
	Senders int     // heard lately
	Named   int     // by the senders' settings
	Servers int     // in its views
	Cold    int     // of these
	Lent    int     // senders whose rights can be granted now
	Demand  float64 // of all that were heard lately
	Hold    float64 // share of the calls that all servers together can't take
}

// Standing words the steward's state.
func (w *Steward) Standing(now Time) Standing {
	st := Standing{Senders: len(w.senders), Named: w.cfg.Senders, Servers: len(w.servers), Hold: w.hold}
	for _, n := range w.senders {
		st.Demand += n.latest.Demand
	}
	return st
}

// Senders is how many senders were heard lately.
func (w *Steward) Senders() int { return len(w.senders) }

// forgetAfter is how long a steward that hears nobody is worth keeping: what it has learned of
// servers has faded by then.
const forgetAfter = rateSlow

// Idle tells whether nobody was heard for forgetAfter and no right is lent: it may be forgotten.
func (w *Steward) Idle(now Time) bool {
	for _, n := range w.senders {
		if now-n.heard < forgetAfter || now <= n.lent {
			return false
		}
	}
	return now-w.looked >= max(forgetAfter, time.Duration(0))
}
