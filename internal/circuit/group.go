package circuit

import (
	"fmt"
	"slices"
	"time"
)

// Group has the circuits of one trunk group at one end, and the signalling point codes of both ends, which
// decide glare.
type Group struct {
	Own, Far uint32
	circuits map[uint16]*Circuit
	cics     []uint16 // in the order of selection
}

// NewGroup returns a group of idle circuits. The CICs must be distinct.
func NewGroup(own, far uint32, cics []uint16) (*Group, error) {
	if own == far {
		return nil, fmt.Errorf("circuit: both ends have point code %d: glare could not be settled", own)
	}
	g := &Group{Own: own, Far: far, circuits: map[uint16]*Circuit{}}
	for _, cic := range cics {
		if g.circuits[cic] != nil {
			return nil, fmt.Errorf("circuit: CIC %d twice in the group", cic)
		}
		g.circuits[cic] = &Circuit{CIC: cic}
		g.cics = append(g.cics, cic)
	}
	// The circuits that this end controls come first, in ascending order, then the far end's in descending
	// order, so that both ends select the same circuit only when few are left (Q.764 2.9.1.3, second method).
	slices.SortFunc(g.cics, func(a, b uint16) int {
		ca, cb := Controls(a, own, far), Controls(b, own, far)
		switch {
		case ca && !cb:
			return -1
		case cb && !ca:
			return 1
		case ca:
			return int(a) - int(b)
		}
		return int(b) - int(a)
	})
	return g, nil
}

// Circuit returns a circuit; nil if the CIC is not in the group.
func (g *Group) Circuit(cic uint16) *Circuit { return g.circuits[cic] }

// Seize selects an idle circuit for an outgoing call and marks it outgoing. It skips the circuits in avoid,
// on which the call has already lost a dual seizure. ok is false if no circuit is free.
func (g *Group) Seize(call string, now time.Duration, avoid ...uint16) (cic uint16, ok bool) {
	for _, candidate := range g.cics {
		circuit := g.circuits[candidate]
		if circuit.State == Idle && !circuit.Blocked && !slices.Contains(avoid, candidate) {
			g.setState(circuit, Outgoing, now, call)
			return candidate, true
		}
	}
	return 0, false
}

func (g *Group) setState(circuit *Circuit, s State, now time.Duration, call string) {
	circuit.State, circuit.Since, circuit.Call = s, now, call
}

// Outcome is what this end must do after a message or action.
type Outcome struct {
	Send  []Message // to the far end
	Glare Glare     // how a dual seizure was decided
	Retry string    // this end's call that lost a dual seizure and must be retried on another circuit
	Ended string    // the call that has ended
}

// Receive handles a message from the far end on a circuit. A message that the circuit's state does not allow
// returns an error that names both, and the state does not change. REL and RSC are allowed in any state
// (Q.764 2.10.1: an unexpected message is answered by a reset).
func (g *Group) Receive(cic uint16, m Message, call string, now time.Duration) (Outcome, error) {
	circuit := g.circuits[cic]
	if circuit == nil {
		return Outcome{}, fmt.Errorf("circuit: CIC %d is not in the group", cic)
	}
	switch m {
	case IAM:
		return g.receiveIAM(circuit, call, now)
	case ACM, ANM:
		if circuit.State != Outgoing && circuit.State != Busy {
			return Outcome{}, unexpected(circuit, m)
		}
		g.setState(circuit, Busy, now, circuit.Call)
		return Outcome{}, nil
	case REL:
		ended := circuit.Call
		g.setState(circuit, Idle, now, "")
		return Outcome{Send: []Message{RLC}, Ended: ended}, nil
	case RLC:
		if circuit.State != Releasing && circuit.State != Resetting {
			return Outcome{}, unexpected(circuit, m)
		}
		g.setState(circuit, Idle, now, "")
		return Outcome{}, nil
	case RSC:
		ended := circuit.Call
		g.setState(circuit, Idle, now, "")
		circuit.Blocked = false // a reset also removes blocking (Q.764 2.10.3.1)
		return Outcome{Send: []Message{RLC}, Ended: ended}, nil
	case BLO:
		circuit.Blocked = true
		return Outcome{}, nil
	case UBL:
		circuit.Blocked = false
		return Outcome{}, nil
	}
	return Outcome{}, fmt.Errorf("circuit: CIC %d: message %v is not one of this model's", cic, m)
}

// receiveIAM handles the far end's IAM. On an idle circuit it is an incoming call; on a circuit that this end
// has seized it is a dual seizure, which Controls decides.
func (g *Group) receiveIAM(circuit *Circuit, call string, now time.Duration) (Outcome, error) {
	switch {
	case circuit.State == Idle && !circuit.Blocked:
		g.setState(circuit, Incoming, now, call)
		return Outcome{}, nil
	case circuit.State == Outgoing && Controls(circuit.CIC, g.Own, g.Far):
		return Outcome{Glare: KeepOwn}, nil
	case circuit.State == Outgoing:
		lost := circuit.Call
		g.setState(circuit, Incoming, now, call)
		return Outcome{Glare: BackOff, Retry: lost}, nil
	}
	return Outcome{}, unexpected(circuit, IAM)
}

func unexpected(circuit *Circuit, m Message) error {
	return fmt.Errorf("circuit: CIC %d: %v while %v", circuit.CIC, m, circuit.State)
}

// Answer marks an incoming call as answered by this end.
func (g *Group) Answer(cic uint16, now time.Duration) error {
	circuit := g.circuits[cic]
	if circuit == nil || circuit.State != Incoming {
		return fmt.Errorf("circuit: CIC %d: no incoming call to answer", cic)
	}
	g.setState(circuit, Busy, now, circuit.Call)
	return nil
}

// Release ends the call on a circuit from this end: REL must be sent, and the circuit waits for RLC.
func (g *Group) Release(cic uint16, now time.Duration) (Outcome, error) {
	circuit := g.circuits[cic]
	if circuit == nil || circuit.State == Idle || circuit.State == Releasing || circuit.State == Resetting {
		return Outcome{}, fmt.Errorf("circuit: CIC %d: nothing to release", cic)
	}
	ended := circuit.Call
	g.setState(circuit, Releasing, now, "")
	return Outcome{Send: []Message{REL}, Ended: ended}, nil
}

// Reset resets a circuit from this end: RSC must be sent, and the circuit's call, if any, ends.
func (g *Group) Reset(cic uint16, now time.Duration) (Outcome, error) {
	circuit := g.circuits[cic]
	if circuit == nil {
		return Outcome{}, fmt.Errorf("circuit: CIC %d is not in the group", cic)
	}
	ended := circuit.Call
	g.setState(circuit, Resetting, now, "")
	return Outcome{Send: []Message{RSC}, Ended: ended}, nil
}

// GroupMessage is a circuit group supervision message, which names several CICs at once.
type GroupMessage int

// The group messages and their acknowledgements (Q.764 2.8.2, 2.10.3.2).
const (
	NoAck GroupMessage = iota - 1 // nothing to acknowledge
	GRS                           // circuit group reset
	GRA                           // its acknowledgement
	CGB                           // circuit group blocking
	CGBA                          // its acknowledgement
	CGU                           // circuit group unblocking
	CGUA                          // its acknowledgement
)

var groupNames = [...]string{"GRS", "GRA", "CGB", "CGBA", "CGU", "CGUA"}

func (m GroupMessage) String() string { return enumName(groupNames[:], int(m), "group message") }

// GroupOutcome is what this end must do after a group message.
type GroupOutcome struct {
	Ack   GroupMessage // to send for CICs; NoAck: none
	CICs  []uint16     // acknowledged by Ack
	Ended []string     // calls that have ended
}

// ReceiveGroup handles a group message for several CICs. If one of them is not in the group, nothing changes
// and the error names the first such CIC. An acknowledgement ends this end's own reset or blocking, and is
// not answered.
func (g *Group) ReceiveGroup(m GroupMessage, cics []uint16, now time.Duration) (GroupOutcome, error) {
	for _, cic := range cics {
		if g.circuits[cic] == nil {
			return GroupOutcome{}, fmt.Errorf("circuit: %v names CIC %d, which is not in the group", m, cic)
		}
	}
	out := GroupOutcome{CICs: cics}
	for _, cic := range cics {
		circuit := g.circuits[cic]
		switch m {
		case GRS: // as RSC on each circuit: calls end and blocking is removed
			if circuit.Call != "" {
				out.Ended = append(out.Ended, circuit.Call)
			}
			g.setState(circuit, Idle, now, "")
			circuit.Blocked = false
			out.Ack = GRA
		case CGB:
			circuit.Blocked = true
			out.Ack = CGBA
		case CGU:
			circuit.Blocked = false
			out.Ack = CGUA
		case GRA:
			if circuit.State == Resetting {
				g.setState(circuit, Idle, now, "")
			}
			out.Ack, out.CICs = NoAck, nil
		case CGBA, CGUA:
			out.Ack, out.CICs = NoAck, nil
		default:
			return GroupOutcome{}, fmt.Errorf("circuit: group message %v is not one of this model's", m)
		}
	}
	return out, nil
}
