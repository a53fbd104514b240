package promise

import (
	"bytes"
	"errors"
	"testing"
)

func TestApply(t *testing.T) {
	served := Entry{Op: OpResolve, Call: "c1", Answer: AnswerServed, Server: "s1", AtUs: 10}
	cases := []struct {
		name    string
		entries [][]byte
		check   func(*State) bool
		refused int
	}{
		{"first resolution stands", [][]byte{Encode(served),
			Encode(Entry{Op: OpResolve, Call: "c1", Answer: AnswerFailed, AtUs: 11})},
			func(s *State) bool { r, _ := s.Resolution("c1"); return r.Answer == AnswerServed && r.Index == 1 }, 0},
		{"drain then undrain", [][]byte{Encode(Entry{Op: OpDrain, Server: "s1"}), Encode(Entry{Op: OpDrain, Server: "s2"}),
			Encode(Entry{Op: OpUndrain, Server: "s1"})},
			func(s *State) bool { return !s.Drained("s1") && s.Drained("s2") }, 0},
		{"expire forgets the old", [][]byte{Encode(served), Encode(Entry{Op: OpExpire, BeforeUs: 11})},
			func(s *State) bool { return s.Calls() == 0 }, 0},
		{"versions and circuits", [][]byte{Encode(Entry{Op: OpVersion, Kind: "routes", Version: "ab"}),
			Encode(Entry{Op: OpCircuit, CIC: 7, State: "busy"})},
			func(s *State) bool { return s.Version("routes") == "ab" && s.Circuit(7) == "busy" }, 0},
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

func TestSnapshot(t *testing.T) {
	s := New()
	s.Apply(1, Encode(Entry{Op: OpResolve, Call: "c1", Answer: AnswerRefused, ComeBackUs: 500000, AtUs: 3}))
	s.Apply(2, Encode(Entry{Op: OpDrain, Server: "s1"}))
	snap := s.Snapshot()
	r, err := Restore(snap)
	if err != nil || !bytes.Equal(r.Snapshot(), snap) || r.Applied() != 2 {
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
