package circuit

import "time"

// AuditRules are the limits of the busy-circuit audit.
type AuditRules struct {
	// ReleaseWait is how long the answer to a REL may take: 300 ms on this platform. A circuit whose REL was
	// sent less than this long ago is never reset.
	ReleaseWait time.Duration
	// StaleAfter is how long a circuit may be in use without a call that is known at this end, before it is
	// assumed to be left over from a crash.
	StaleAfter time.Duration
	// MaxResets limits the circuits that one audit resets; 0: no limit. Each reset is a message to the far
	// end, so a group left busy by a crash is freed over several audits and not in one burst.
	MaxResets int
}

// Live returns whether a call is known at this end, open or standing.
type Live func(call string) bool

// Audit returns the circuits to reset now, in the group's order of selection. A circuit is reset if
//   - it is seized or busy without a live call, for at least the longer of StaleAfter and ReleaseWait, or
//   - its REL has waited for RLC for more than ReleaseWait and StaleAfter together (the RLC was lost).
//
// It is never reset while a live call uses it, while its release takes no longer than ReleaseWait, or while a
// reset of it is in progress.
func (g *Group) Audit(now time.Duration, r AuditRules, live Live) []uint16 {
	var out []uint16
	for _, cic := range g.cics {
		if r.MaxResets > 0 && len(out) >= r.MaxResets {
			break
		}
		circuit := g.circuits[cic]
		age := now - circuit.Since
		switch circuit.State {
		case Outgoing, Incoming, Busy:
			if !live(circuit.Call) && age >= max(r.StaleAfter, r.ReleaseWait) {
				out = append(out, cic)
			}
		case Releasing:
			if age > r.ReleaseWait+r.StaleAfter {
				out = append(out, cic)
			}
		}
	}
	return out
}
