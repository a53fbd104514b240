package shard

import (
	"errors"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

// testAgents returns n agents, distributed evenly over the given number of zones.
func testAgents(n, zones int) (out []Member) {
	for i := range n {
		out = append(out, Member{ID: fmt.Sprintf("n%03d", i), Zone: fmt.Sprint("z", i%zones), Raft: "r:1", Client: "c:1"})
	}
	return out
}

// testCallIDs returns n different call ids.
func testCallIDs(n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%016x", i+1))
	}
	return out
}

// TestBuildRing checks that any number of agents and zones gives valid groups without shared members and with
// as few left-over agents as possible, and that with three or more zones of equal size no zone holds a
// majority of a group. It also checks that ReplaceLost replaces one lost member per group as long as there
// are spares.
func TestBuildRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, zones := rapid.IntRange(3, 60).Draw(t, "agents"), rapid.IntRange(1, 6).Draw(t, "zones")
		size := rapid.SampledFrom([]int{3, 5}).Draw(t, "size")
		r, left, err := BuildRing(testAgents(n, zones), size)
		if err != nil || len(r.Groups) != n/size || len(left) != n%size {
			t.Fatalf("%d groups, %d left, %v", len(r.Groups), len(left), err)
		}
		if refused := r.Check(); n >= size && refused != nil {
			t.Fatal(refused)
		}
		if found := r.CheckZones(); zones >= 3 && n%zones == 0 && found != nil {
			t.Fatal(found)
		}
		lostIDs := map[string]bool{}
		for _, g := range r.Groups {
			lostIDs[g.Members[rapid.IntRange(0, size-1).Draw(t, "lost")].ID] = true
		}
		next, steps, stuck := ReplaceLost(r, lostIDs, left)
		if len(stuck) > 0 || len(steps) != 2*min(len(left), len(r.Groups)) || n >= size && next.Check() != nil {
			t.Fatalf("%d steps, stuck %v, %v", len(steps), stuck, next.Check())
		}
	})
}

// TestOwner checks that calls are distributed evenly over the groups and that an added group takes over only
// its own share of calls.
func TestOwner(t *testing.T) {
	small, _, _ := BuildRing(testAgents(30, 3), 3)
	big, _, _ := BuildRing(testAgents(33, 3), 3)
	all, counts := testCallIDs(20_000), map[int]int{}
	for _, c := range all {
		counts[small.Owner(c)]++
	}
	for i := range small.Groups {
		if counts[i] < 1800 || counts[i] > 2200 {
			t.Errorf("group %d has %d of 20000 calls", i, counts[i])
		}
	}
	if moved := MovedShare(small, big, all); moved < 0.08 || moved > 0.102 {
		t.Errorf("one group in 11 moved %.3f of the calls", moved)
	}
}

// TestClaimSteps checks that agents with the old ring and agents with both rings claim every call at the same
// group first. Otherwise two agents could send set-ups for one call while the ring changes.
func TestClaimSteps(t *testing.T) {
	old, _, _ := BuildRing(testAgents(9, 3), 3)
	next, _, _ := BuildRing(testAgents(12, 3), 3)
	next.Version = 2
	for _, c := range testCallIDs(500) {
		withOld, withBoth := ClaimSteps(old, nil, c), ClaimSteps(next, &old, c)
		if withBoth[0].Group != withOld[0].Group || withBoth[0].Ring != 2 {
			t.Fatalf("call %s: claimed at %v with the old ring, at %v with both", c, withOld, withBoth)
		}
	}
}

// TestCheck checks that invalid rings are refused, and that a group which lost its majority is reported as
// stuck: replacing its members could lose its promises.
func TestCheck(t *testing.T) {
	m := testAgents(6, 3)
	cases := []struct {
		name string
		ring Ring
		want error
	}{
		{"no groups", Ring{}, ErrEmpty},
		{"two members", Ring{Groups: []Group{{ID: "g", Members: m[:2]}}}, ErrSize},
		{"a member twice", Ring{Groups: []Group{{ID: "g", Members: m[:3]}, {ID: "h", Members: m[2:5]}}}, ErrDuplicate},
		{"a group twice", Ring{Groups: []Group{{ID: "g", Members: m[:3]}, {ID: "g", Members: m[3:]}}}, ErrDuplicate},
		{"no address", Ring{Groups: []Group{{ID: "g", Members: append(testAgents(2, 2), Member{ID: "x"})}}}, ErrEmpty},
	}
	for _, c := range cases {
		if err := errors.Join(c.ring.Check()...); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.name, err, c.want)
		}
	}
	if _, _, stuck := ReplaceLost(Ring{Groups: []Group{{ID: "g", Members: m[:3]}}}, map[string]bool{"n000": true, "n001": true}, m[3:]); len(stuck) != 1 {
		t.Errorf("a group without a majority is not reported as stuck: %v", stuck)
	}
}
