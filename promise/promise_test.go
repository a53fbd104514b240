package promise

import (
	"bytes"
	"errors"
	"fmt"
	"testing"
)

// encodeClaim returns a claim of call c1 as a log entry.
func encodeClaim(token string, ring uint64) []byte {
	return Encode(Entry{Op: OpClaim, Call: "c1", Token: token, Ring: ring, ComeBackUs: 7, AtUs: 5})
}

// TestApply checks the effect of sequences of entries. Most cases guard against a second set-up for a call,
// which would follow if two agents could claim it or if its resolution could change.
func TestApply(t *testing.T) {
	served := Entry{Op: OpResolve, Call: "c1", Answer: AnswerServed, Server: "s1", AtUs: 10}
	cases := []struct {
		name    string
		entries [][]byte
		check   func(*State) bool
		refused int
	}{
		{"the first resolution is final", [][]byte{Encode(served),
			Encode(Entry{Op: OpResolve, Call: "c1", Answer: AnswerFailed, AtUs: 11})},
			func(s *State) bool { r, _ := s.Resolution("c1"); return r.Answer == AnswerServed && r.Index == 1 }, 0},
		{"drain then undrain", [][]byte{Encode(Entry{Op: OpDrain, Server: "s1"}), Encode(Entry{Op: OpDrain, Server: "s2"}),
			Encode(Entry{Op: OpUndrain, Server: "s1"})},
			func(s *State) bool { return !s.Drained("s1") && s.Drained("s2") }, 0},
		{"expire removes old records", [][]byte{Encode(served), Encode(Entry{Op: OpExpire, BeforeUs: 11})},
			func(s *State) bool { return s.Calls() == 0 }, 0},
		{"versions and circuits", [][]byte{Encode(Entry{Op: OpVersion, Kind: "routes", Version: "ab"}),
			Encode(Entry{Op: OpCircuit, CIC: 7, State: "busy"})},
			func(s *State) bool { return s.Version("routes") == "ab" && s.Circuit(7) == "busy" }, 0},
		{"a repeated claim with the same token has no effect", [][]byte{encodeClaim("a", 0), encodeClaim("a", 0)},
			func(s *State) bool { c, ok := s.Claimed("c1"); return ok && c.Token == "a" && s.Calls() == 0 }, 0},
		{"a second claimant closes the call for both agents", [][]byte{encodeClaim("a", 0), encodeClaim("b", 0),
			Encode(Entry{Op: OpResolve, Call: "c1", Token: "a", Answer: AnswerServed, Server: "s1", AtUs: 12})},
			func(s *State) bool {
				r, _ := s.Resolution("c1")
				return r.Answer == AnswerRefused && r.ComeBackUs == 7 && r.Index == 2 && s.Claims() == 0
			}, 0},
		{"a resolution with a different token than the claim is refused", [][]byte{encodeClaim("a", 0),
			Encode(Entry{Op: OpResolve, Call: "c1", Token: "b", Answer: AnswerFailed})},
			func(s *State) bool { return s.Claims() == 1 && s.Calls() == 0 }, 1},
		{"a resolved call can not be claimed; its end is recorded", [][]byte{Encode(served), encodeClaim("b", 0), Encode(Entry{Op: OpEnd, Call: "c1"})},
			func(s *State) bool { r, _ := s.Resolution("c1"); return s.Claims() == 0 && r.Over && r.Server == "s1" }, 0},
		{"a fence refuses older rings and never falls", [][]byte{Encode(Entry{Op: OpFence, Ring: 3}),
			Encode(Entry{Op: OpFence, Ring: 2}), encodeClaim("a", 2), encodeClaim("b", 3)},
			func(s *State) bool { c, _ := s.Claimed("c1"); return s.Fence() == 3 && c.Token == "b" }, 0},
		{"expire removes claims but keeps newer records of the same second", [][]byte{encodeClaim("a", 0),
			Encode(Entry{Op: OpResolve, Call: "c2", Answer: AnswerFailed, AtUs: 900_000}), Encode(Entry{Op: OpExpire, BeforeUs: 500_000}),
			Encode(Entry{Op: OpExpire, BeforeUs: 900_000})},
			func(s *State) bool { return s.Claims() == 0 && s.Calls() == 1 }, 0},
		{"of two plans for one epoch the first is applied", [][]byte{Encode(Entry{Op: OpPlan, Epoch: 1, Plan: []byte(`{"a":1}`)}),
			Encode(Entry{Op: OpPlan, Epoch: 1, Plan: []byte(`{"b":1}`)}), Encode(Entry{Op: OpPlan, Epoch: 3, Plan: []byte(`{"c":1}`)}), Encode(Entry{Op: OpPlan, Epoch: 2})},
			func(s *State) bool { n, p := s.Plan(); return n == 1 && string(p) == `{"a":1}` }, 1},
		{"malformed entries change nothing", [][]byte{[]byte("{"), Encode(Entry{Op: "x"}),
			Encode(Entry{Op: OpResolve, Call: "c", Answer: AnswerServed}), Encode(Entry{Op: OpCircuit, CIC: 1 << 14})},
			func(s *State) bool { return s.Calls() == 0 && s.Applied() == 4 }, 4},
	}
	for _, c := range cases {
		s, refused := New(), 0
		for i, e := range c.entries {
			if _, err := s.Apply(uint64(i+1), e); errors.Is(err, ErrEntry) {
				refused++
			}
		}
		if !c.check(s) || refused != c.refused {
			t.Errorf("%s: state %+v, %d refused", c.name, s, refused)
		}
	}
}

// TestSnapshot checks that a restored state equals the original, and that a snapshot that is truncated,
// corrupt or of another kind is refused.
func TestSnapshot(t *testing.T) {
	s := New()
	s.Apply(1, Encode(Entry{Op: OpResolve, Call: "c1", Answer: AnswerRefused, ComeBackUs: 500000, AtUs: 3}))
	s.Apply(2, Encode(Entry{Op: OpDrain, Server: "s1"}))
	s.Apply(3, Encode(Entry{Op: OpFence, Ring: 1}))
	s.Apply(4, Encode(Entry{Op: OpClaim, Call: "c2", Token: "a", Ring: 1, AtUs: 4}))
	s.Apply(5, Encode(Entry{Op: OpPlan, Epoch: 1, Plan: []byte(`{"zones":{}}`)}))
	snap := s.Snapshot()
	r, err := Restore(snap)
	if err != nil || !bytes.Equal(r.Snapshot(), snap) || r.Applied() != 5 || r.expire(5) != 2 || !bytes.Equal(s.Image().Bytes(), snap) {
		t.Fatalf("restored %+v, %v", r, err)
	}
	flipped := bytes.Clone(snap)
	flipped[len(snapshotMagic)+3] ^= 1
	for name, bad := range map[string][]byte{"foreign": []byte("hello"), "cut": snap[:len(snap)-6], "flipped": flipped} {
		if _, err := Restore(bad); !errors.Is(err, ErrSnapshot) {
			t.Errorf("%s: %v, want ErrSnapshot", name, err)
		}
	}
}

// BenchmarkExpire removes the oldest ten seconds of half a million records.
func BenchmarkExpire(b *testing.B) {
	s := New()
	for i := range 500_000 {
		s.recordResolution(fmt.Sprint("c", i), Resolution{Answer: AnswerFailed, AtUs: int64(i) * 1200})
	}
	b.ResetTimer()
	for i := range b.N {
		s.expire(10 * secondUs)
		b.StopTimer()
		for j := range 8333 {
			s.recordResolution(fmt.Sprint("c", i, "-", j), Resolution{AtUs: int64(j) * 1200})
		}
		b.StartTimer()
	}
}
