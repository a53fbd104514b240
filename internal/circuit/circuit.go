// Package circuit models the circuits of a trunk group between two exchanges: the state of each circuit (by
// its CIC) under ISDN User Part signalling, the glare rule that both ends apply independently, and the audit
// that finds circuits left busy. It has no clock and no I/O: each event comes with its time, and the messages
// to send are returned.
//
// Source: ITU-T Q.764 (ISUP signalling procedures): 2.9.1.4 for dual seizure (glare), 2.10
// for circuit reset (RSC, GRS) and 2.8 for blocking (BLO, CGB, CGU); the release sequence
// REL then RLC of 2.3.
package circuit

import (
	"fmt"
	"time"
)

// State is the state of a circuit, as seen at this end.
type State int

// The states of a circuit.
const (
	Idle      State = iota
	Outgoing        // this end sent an IAM; no answer yet
	Incoming        // the far end sent an IAM; this end has not answered yet
	Busy            // it carries a call (ACM or ANM was sent or received)
	Releasing       // this end sent REL and waits for RLC
	Resetting       // this end sent RSC (or a GRS) and waits for RLC
	Blocked         // blocked by the far end (BLO or CGB) and not in use
)

var stateNames = [...]string{"idle", "outgoing", "incoming", "busy", "releasing", "resetting", "blocked"}

func (s State) String() string { return enumName(stateNames[:], int(s), "state") }

// enumName returns the nth name, or kind(n) if there is none.
func enumName(names []string, n int, kind string) string {
	if n < 0 || n >= len(names) {
		return fmt.Sprintf("%s(%d)", kind, n)
	}
	return names[n]
}

// Message is an ISUP message type that matters to a circuit's state.
type Message int

// The messages that change a circuit's state.
const (
	IAM Message = iota // initial address: seizes the circuit
	ACM                // address complete
	ANM                // answer
	REL                // release
	RLC                // release complete
	RSC                // reset circuit
	BLO                // blocking (CGB acts as BLO on each circuit of the group)
	UBL                // unblocking (CGU likewise)
)

var messageNames = [...]string{"IAM", "ACM", "ANM", "REL", "RLC", "RSC", "BLO", "UBL"}

func (m Message) String() string { return enumName(messageNames[:], int(m), "message") }

// Circuit is one circuit of a group.
type Circuit struct {
	CIC   uint16
	State State
	Since time.Duration // when it entered its state, by the clock of the package's user
	Call  string        // id of the call it carries; "" if idle
	// Blocked is not part of State, because a blocked circuit that carries a call stays busy until the call
	// ends (Q.764 2.8.2) and only then is out of use.
	Blocked bool
}

// Controls returns whether this end controls a circuit under the glare rule of Q.764 2.9.1.4: the exchange
// with the higher signalling point code controls the even-numbered CICs, the other one the odd ones. Both
// ends get consistent results from the same two codes.
func Controls(cic uint16, own, far uint32) bool {
	return (own > far) == (cic%2 == 0)
}

// Glare is the outcome of a dual seizure at this end.
type Glare int

// The outcomes of a dual seizure.
const (
	NoGlare Glare = iota
	KeepOwn       // this end controls the circuit: its call continues, the far end's IAM is ignored
	BackOff       // the far end controls it: its IAM is accepted, and this end's call must be retried on another circuit
)
