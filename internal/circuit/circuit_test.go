package circuit

import (
	"slices"
	"testing"
	"time"
)

const ms = time.Millisecond

// TestControls checks that both ends agree on which of them controls a CIC, and that each controls half.
func TestControls(t *testing.T) {
	for cic := range uint16(64) {
		a, b := Controls(cic, 10, 20), Controls(cic, 20, 10)
		if a == b {
			t.Fatalf("CIC %d: both ends say %v", cic, a)
		}
		if want := cic%2 == 0; b != want {
			t.Fatalf("CIC %d: the higher code controls even CICs", cic)
		}
	}
}

// TestGlare makes two ends seize the same circuit at the same time, repeatedly. One must keep its call; the
// other must accept the far end's call, and its retry must avoid that circuit.
func TestGlare(t *testing.T) {
	high, _ := NewGroup(20, 10, []uint16{1, 2})
	low, _ := NewGroup(10, 20, []uint16{1, 2})
	for round := range 3 {
		cic := uint16(2 - round%2) // even: the higher end controls it
		high.Circuit(cic).State, low.Circuit(cic).State = Outgoing, Outgoing
		high.Circuit(cic).Call, low.Circuit(cic).Call = "h", "l"
		oh, _ := high.Receive(cic, IAM, "l", 0)
		ol, _ := low.Receive(cic, IAM, "h", 0)
		winner, loser := oh, ol
		if cic%2 == 1 {
			winner, loser = ol, oh
		}
		if winner.Glare != KeepOwn || loser.Glare != BackOff || loser.Retry == "" {
			t.Fatalf("round %d CIC %d: winner %+v, loser %+v", round, cic, winner, loser)
		}
		g := map[bool]*Group{true: high, false: low}[cic%2 == 1]
		if next, ok := g.Seize(loser.Retry, 0, cic); ok && next == cic {
			t.Fatalf("round %d: the retry seized the same circuit again", round)
		}
		for _, c := range []uint16{1, 2} {
			high.Circuit(c).State, low.Circuit(c).State = Idle, Idle
		}
	}
}

// TestSeizeOrder checks that an end first seizes the circuits that it controls, then the far end's.
func TestSeizeOrder(t *testing.T) {
	g, _ := NewGroup(20, 10, []uint16{1, 2, 3, 4})
	var order []uint16
	for range 4 {
		c, _ := g.Seize("x", 0)
		order = append(order, c)
	}
	if !slices.Equal(order, []uint16{2, 4, 3, 1}) {
		t.Errorf("order %v", order)
	}
	if _, ok := g.Seize("y", 0); ok {
		t.Error("seized a fifth of four")
	}
}

// TestAudit checks that circuits left busy by a crash are reset, and those with a live call or with a release
// within ReleaseWait are not.
func TestAudit(t *testing.T) {
	rules := AuditRules{ReleaseWait: 300 * ms, StaleAfter: 500 * ms, MaxResets: 8}
	for _, tc := range []struct {
		name  string
		state State
		age   time.Duration
		live  bool
		reset bool
	}{
		{"busy, no call, stale", Busy, 600 * ms, false, true},
		{"busy, no call, fresh", Busy, 400 * ms, false, false},
		{"busy with a live call", Busy, time.Hour, true, false},
		{"incoming with a live call", Incoming, time.Hour, true, false},
		{"release slow within the wait", Releasing, 299 * ms, false, false},
		{"release at the wait", Releasing, 300 * ms, false, false},
		{"RLC lost", Releasing, 801 * ms, false, true},
		{"idle", Idle, time.Hour, false, false},
		{"reset out", Resetting, time.Hour, false, false},
	} {
		g, _ := NewGroup(20, 10, []uint16{7})
		circuit := g.Circuit(7)
		circuit.State, circuit.Since, circuit.Call = tc.state, 0, "c"
		got := g.Audit(tc.age, rules, func(string) bool { return tc.live })
		if (len(got) == 1) != tc.reset {
			t.Errorf("%s: reset %v, want %v", tc.name, got, tc.reset)
		}
	}
}

// TestUnexpectedMessages checks that a message that the state does not allow returns an error and changes
// nothing, and that RSC is answered in any state.
func TestUnexpectedMessages(t *testing.T) {
	g, _ := NewGroup(20, 10, []uint16{5})
	if _, err := g.Receive(5, ANM, "", 0); err == nil || g.Circuit(5).State != Idle {
		t.Errorf("ANM on an idle circuit: %v, %v", err, g.Circuit(5).State)
	}
	if _, err := g.Receive(9, IAM, "x", 0); err == nil {
		t.Error("IAM on a CIC not in the group")
	}
	if out, _ := g.Receive(5, RSC, "", 0); !slices.Equal(out.Send, []Message{RLC}) {
		t.Errorf("RSC is answered by RLC in any state: %+v", out)
	}
}

// TestGroupMessages checks that a group reset ends the calls of all CICs it names and is acknowledged, that a
// blocked busy circuit stays busy but is not seized again, and that a message with a CIC outside the group
// changes nothing.
func TestGroupMessages(t *testing.T) {
	g, _ := NewGroup(20, 10, []uint16{1, 2, 3})
	g.Seize("a", 0)
	out, err := g.ReceiveGroup(CGB, []uint16{1, 2, 3}, 0)
	if err != nil || out.Ack != CGBA || g.Circuit(2).State != Outgoing {
		t.Fatalf("CGB: %+v %v, CIC 2 %v", out, err, g.Circuit(2).State)
	}
	if _, ok := g.Seize("b", 0); ok {
		t.Error("seized a blocked circuit")
	}
	if _, err := g.ReceiveGroup(GRS, []uint16{1, 9}, 0); err == nil || g.Circuit(2).Call != "a" {
		t.Error("a GRS naming CIC 9 changed the group")
	}
	out, _ = g.ReceiveGroup(GRS, []uint16{1, 2, 3}, 0)
	if out.Ack != GRA || !slices.Equal(out.Ended, []string{"a"}) || g.Circuit(2).State != Idle || g.Circuit(2).Blocked {
		t.Errorf("GRS: %+v, CIC 2 %+v", out, g.Circuit(2))
	}
	g.Reset(3, 0)
	if g.ReceiveGroup(GRA, []uint16{3}, 0); g.Circuit(3).State != Idle {
		t.Errorf("GRA left CIC 3 %v", g.Circuit(3).State)
	}
}
