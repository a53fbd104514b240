// Package circuit models the circuits of a trunk group between two exchanges: the state of
// each circuit (by its CIC) under ISDN User Part signalling, the glare rule both ends apply
// without talking, and the audit that finds circuits left busy. It has no clock and no I/O:
// time comes in with each event, and what is to be sent goes out as actions.
//
// Source: ITU-T Q.764 (ISUP signalling procedures): 2.9.1.4 for dual seizure (glare), 2.10
// for circuit reset (RSC, GRS) and 2.8 for blocking (BLO, CGB, CGU); the release sequence
// REL then RLC of 2.3.
package circuit

import (
	"fmt"
	"time"
)

// State is where one circuit stands, as this end sees it.
type State int

// The states of a circuit.
const (
	Idle      State = iota
	Outgoing        // this end sent an IAM; no answer yet
	Incoming        // the far end's IAM came; this end has not answered yet
	Busy            // a call is up on it (ACM or ANM seen, either way)
	Releasing       // this end sent REL; it waits for RLC
	Resetting       // this end sent RSC (or was in a GRS); it waits for RLC
	Blocked         // blocked by the far end (BLO or CGB) and not in use
)

var stateNames = [...]string{"idle", "outgoing", "incoming", "busy", "releasing", "resetting", "blocked"}

func (s State) String() string { return enumName(stateNames[:], int(s), "state") }

// enumName is a value's name from its table, or kind(n) for one outside it.
func enumName(names []string, n int, kind string) string {
	if n < 0 || n >= len(names) {
		return fmt.Sprintf("%s(%d)", kind, n)
	}
	return names[n]
}

// Message is an ISUP message type, as far as a circuit's state is concerned.
type Message int

// The messages that change a circuit's state.
const (
	IAM Message = iota // initial address: a seizure
	ACM                // address complete
	ANM                // answer
	REL                // release
	RLC                // release complete
	RSC                // reset circuit
	BLO                // blocking (CGB for a group acts on each circuit as BLO)
	UBL                // unblocking (CGU likewise)
)

var messageNames = [...]string{"IAM", "ACM", "ANM", "REL", "RLC", "RSC", "BLO", "UBL"}

func (m Message) String() string { return enumName(messageNames[:], int(m), "message") }

// Circuit is one circuit of a group.
type Circuit struct {
	CIC   uint16
	State State
	Since time.Duration // when it entered its state, on the caller's clock
	Call  string        // the call it carries; "" when idle
	// Blocked is kept apart from State: a blocked circuit that carries a call stays busy
	// until the call ends (Q.764 2.8.2), and only then is it out of use.
	Blocked bool
}

// Controls tells whether this end controls a circuit under the glare rule of Q.764 2.9.1.4:
// the exchange with the higher signalling point code controls the even-numbered CICs, the
// other the odd ones. Both ends reach the same answer from the same two codes.
func Controls(cic uint16, own, far uint32) bool {
	return (own > far) == (cic%2 == 0)
}

// Glare is the outcome of a dual seizure at this end.
type Glare int

// The outcomes of a dual seizure.
const (
	NoGlare Glare = iota
	KeepOwn       // this end controls the circuit: its call goes on, the far end's IAM is ignored
	BackOff       // the far end controls it: this end's call is to be tried again on another circuit, and the far end's IAM is taken
)
