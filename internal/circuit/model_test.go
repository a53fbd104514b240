package circuit

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
)

// wire is one message in flight, in order on its direction.
type wire struct {
	cic  uint16
	msg  Message
	call string
}

// world is two ends of a group and what is in flight between them.
type world struct {
	ends    [2]*Group
	flight  [2][]wire // flight[i]: from end i to the other
	started [2]int    // calls each end began
	most    int       // calls each end may begin
	retries map[string]int
}

func (w *world) clone() *world {
	c := &world{retries: maps.Clone(w.retries), started: w.started, most: w.most}
	for i, g := range w.ends {
		n := &Group{Own: g.Own, Far: g.Far, circuits: map[uint16]*Circuit{}, cics: g.cics}
		for k, v := range g.circuits {
			cp := *v
			n.circuits[k] = &cp
		}
		c.ends[i] = n
		c.flight[i] = slices.Clone(w.flight[i])
	}
	return c
}

func (w *world) key() string {
	var b strings.Builder
	for i, g := range w.ends {
		for _, c := range g.cics {
			k := g.circuits[c]
			fmt.Fprintf(&b, "%d:%d=%v/%s ", i, c, k.State, k.Call)
		}
		fmt.Fprintf(&b, "|%v|%d ", w.flight[i], w.started[i])
	}
	return b.String()
}

// seize has end i try a call on a free circuit, avoiding one that glared.
func (w *world) seize(i int, call string, avoid ...uint16) {
	if cic, ok := w.ends[i].Seize(call, 0, avoid...); ok {
		w.flight[i] = append(w.flight[i], wire{cic, IAM, call})
	}
}

// deliver hands the oldest message from end i to the other end.
func (w *world) deliver(t *testing.T, i int) {
	m := w.flight[i][0]
	w.flight[i] = w.flight[i][1:]
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

// check holds in every state: no end has one call on two circuits, and once nothing is in
// flight each circuit is idle at both ends or carries one call, outgoing at one end and
// incoming at the other.
func (w *world) check(t *testing.T) {
	for i, g := range w.ends {
		seen := map[string]bool{}
		for _, k := range g.circuits {
			if k.Call != "" && seen[k.Call] {
				t.Fatalf("end %d holds %s twice: %v", i, k.Call, w.key())
			}
			seen[k.Call] = true
		}
	}
	if len(w.flight[0])+len(w.flight[1]) > 0 {
		return
	}
	for _, c := range w.ends[0].cics {
		a, b := w.ends[0].circuits[c], w.ends[1].circuits[c]
		pair := a.State == Outgoing && b.State == Incoming || a.State == Incoming && b.State == Outgoing
		if !(a.State == Idle && b.State == Idle) && !(pair && a.Call == b.Call) {
			t.Fatalf("CIC %d settled apart: %v", c, w.key())
		}
	}
}

// TestModel explores every interleaving of two ends that each begin as many calls as there
// are circuits, on a group of 2 to 4: seizures crossing on the wire, glare and its retries.
func TestModel(t *testing.T) {
	for n := 2; n <= 4; n++ {
		var cics []uint16
		for c := range n {
			cics = append(cics, uint16(c+1))
		}
		a, _ := NewGroup(20, 10, cics)
		b, _ := NewGroup(10, 20, cics)
		seen := map[string]bool{}
		var walk func(w *world)
		walk = func(w *world) {
			if k := w.key(); seen[k] {
				return
			} else {
				seen[k] = true
			}
			w.check(t)
			for i := range 2 {
				if w.started[i] < w.most {
					next := w.clone()
					next.started[i]++
					next.seize(i, fmt.Sprintf("%c%d", 'a'+i, next.started[i]))
					walk(next)
				}
				if len(w.flight[i]) > 0 {
					next := w.clone()
					next.deliver(t, i)
					walk(next)
				}
			}
		}
		walk(&world{ends: [2]*Group{a, b}, most: n, retries: map[string]int{}})
		t.Logf("%d circuits: %d states", n, len(seen))
	}
}
