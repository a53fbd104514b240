package circuit

import "time"

// AuditRules bound the busy-circuit audit.
type AuditRules struct {
	// ReleaseWait is how long a release may take before its silence is a fault: 300 ms on this
	// platform. A circuit whose REL went out less than this long ago is never touched.
	ReleaseWait time.Duration
	// StaleAfter is how long a circuit may be seized, incoming or outgoing, with no call that this
	// end knows of, before it is taken for one a crash left behind.
	StaleAfter time.Duration
	// MaxResets is how many circuits one audit may reset: a reset is a message to the far end, and
	// a group left busy by a crash is freed over several rounds, not in one burst.
	MaxResets int
}

// Live tells whether a call is known to this end (in flight or standing).
type Live func(call string) bool

// Audit returns the circuits to reset now, in the group's order of selection. A circuit is
// reset when:
//   - it is seized or busy, no live call holds it, and it has been so for Stale at least; or
//   - its REL has waited for RLC for more than ReleaseWait and Stale together (the RLC was lost).
//
// It is never reset while a live call holds it, nor while its release is merely slow (within
// ReleaseWait), nor while a reset is already out for it.
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
