package circuit

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// inFlightMessage is a message on its way; messages of one direction stay in order.
type inFlightMessage struct {
	cic  uint16
	msg  Message
	call string
}

// model has two ends of a group and the messages in flight between them.
type model struct {
	ends     [2]*Group
	inFlight [2][]inFlightMessage // inFlight[i]: from end i to the other
	started  [2]int               // calls begun by each end
	maxCalls int                  // calls that each end may begin
	retries  map[string]int
}

func (w *model) clone() *model {
	c := &model{retries: maps.Clone(w.retries), started: w.started, maxCalls: w.maxCalls}
	for i, g := range w.ends {
		n := &Group{Own: g.Own, Far: g.Far, circuits: map[uint16]*Circuit{}, cics: g.cics}
		for k, v := range g.circuits {
			cp := *v
			n.circuits[k] = &cp
		}
		c.ends[i] = n
		c.inFlight[i] = slices.Clone(w.inFlight[i])
	}
	return c
}

func (w *model) key() string {
	var b strings.Builder
	for i, g := range w.ends {
		for _, cic := range g.cics {
			circuit := g.circuits[cic]
			fmt.Fprintf(&b, "%d:%d=%v/%s ", i, cic, circuit.State, circuit.Call)
		}
		fmt.Fprintf(&b, "|%v|%d ", w.inFlight[i], w.started[i])
	}
	return b.String()
}

// seize lets end i start a call on a free circuit other than those in avoid.
func (w *model) seize(i int, call string, avoid ...uint16) {
	if cic, ok := w.ends[i].Seize(call, 0, avoid...); ok {
		w.inFlight[i] = append(w.inFlight[i], inFlightMessage{cic, IAM, call})
	}
}

// deliver delivers the oldest message from end i to the other end.
func (w *model) deliver(t *testing.T, i int) {
	m := w.inFlight[i][0]
	w.inFlight[i] = w.inFlight[i][1:]
	out, err := w.ends[1-i].Receive(m.cic, m.msg, m.call, 0)
	if err != nil {
		t.Fatalf("%v: %v", w.key(), err)
	}
	if out.Retry != "" {
		if w.retries[out.Retry]++; w.retries[out.Retry] <= 3 {
			w.seize(1-i, out.Retry, m.cic)
		}
	}
}

// check verifies the invariants of every state: no end has a call on two circuits, and if no message is in
// flight, each circuit is idle at both ends or carries one call, outgoing at one end and incoming at the
// other.
func (w *model) check(t *testing.T) {
	for i, g := range w.ends {
		seen := map[string]bool{}
		for _, circuit := range g.circuits {
			if circuit.Call != "" && seen[circuit.Call] {
				t.Fatalf("end %d has %s on two circuits: %v", i, circuit.Call, w.key())
			}
			seen[circuit.Call] = true
		}
	}
	if len(w.inFlight[0])+len(w.inFlight[1]) > 0 {
		return
	}
	for _, cic := range w.ends[0].cics {
		a, b := w.ends[0].circuits[cic], w.ends[1].circuits[cic]
		pair := a.State == Outgoing && b.State == Incoming || a.State == Incoming && b.State == Outgoing
		if !(a.State == Idle && b.State == Idle) && !(pair && a.Call == b.Call) {
			t.Fatalf("CIC %d: the ends disagree: %v", cic, w.key())
		}
	}
}

// TestModel explores all interleavings of two ends that each begin as many calls as there are circuits, on
// groups of 2 to 4 circuits: crossing seizures, glare and its retries.
func TestModel(t *testing.T) {
	for n := 2; n <= 4; n++ {
		var cics []uint16
		for c := range n {
			cics = append(cics, uint16(c+1))
		}
		a, _ := NewGroup(20, 10, cics)
		b, _ := NewGroup(10, 20, cics)
		seen := map[string]bool{}
		var walk func(w *model)
		walk = func(w *model) {
			if k := w.key(); seen[k] {
				return
			} else {
				seen[k] = true
			}
			w.check(t)
			for i := range 2 {
				if w.started[i] < w.maxCalls {
					next := w.clone()
					next.started[i]++
					next.seize(i, fmt.Sprintf("%c%d", 'a'+i, next.started[i]))
					walk(next)
				}
				if len(w.inFlight[i]) > 0 {
					next := w.clone()
					next.deliver(t, i)
					walk(next)
				}
			}
		}
		walk(&model{ends: [2]*Group{a, b}, maxCalls: n, retries: map[string]int{}})
		t.Logf("%d circuits: %d states", n, len(seen))
	}
}
