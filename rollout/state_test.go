package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

var (
	routes = Name{Kind: "routes", Scope: Scope{Level: LevelAll}}
	byZone = Name{Kind: "routes", Scope: Scope{Level: LevelZone, Of: "z1"}}
)

// testLog applies entries to a State at consecutive indexes, starting at 1, and counts the starts.
type testLog struct {
	t interface {
		Helper()
		Fatalf(string, ...any)
	}
	*State
	starts int
}

// tryApply applies an entry at the next index.
func (l *testLog) tryApply(e Entry) (Result, error) {
	if e.Op == OpStart {
		l.starts++
	}
	return l.Apply(l.Applied()+1, Encode(e))
}

// mustApply is like tryApply but fails the test if the entry is refused or has no effect. It returns the
// revision.
func (l *testLog) mustApply(e Entry) uint64 {
	l.t.Helper()
	r, err := l.tryApply(e)
	if err != nil || e.Op != OpPut && !r.Changed {
		l.t.Fatalf("%+v: %+v, %v", e, r, err)
	}
	return r.Revision
}

// put adds a revision on top of the latest one and returns its number.
func (l *testLog) put(n Name, text string) uint64 {
	l.t.Helper()
	head, _ := l.Latest(n)
	return l.mustApply(Entry{Op: OpPut, Name: n, Base: head.Revision, Text: []byte(text), Author: "anna"})
}

// putEverywhere puts a text and brings it to all agents.
func (l *testLog) putEverywhere(n Name, text string) uint64 {
	l.t.Helper()
	r := l.mustApply(Entry{Op: OpStart, Revision: l.put(n, text)})
	return l.mustApply(Entry{Op: OpAdvance, Revision: r})
}

// describeHistory describes the stored revisions of a document, newest first.
func (l *testLog) describeHistory(n Name) string {
	var out []string
	for _, r := range l.History(n) {
		w := fmt.Sprintf("%d %s %q", r.Revision, r.Stage, r.Text)
		if r.Removed {
			w += " removed"
		}
		if r.Restores > 0 {
			w += fmt.Sprint(" of ", r.Restores)
		}
		out = append(out, w)
	}
	return strings.Join(out, ", ")
}

// TestStages checks the stages of revisions and the document that agents get at each stage.
func TestStages(t *testing.T) {
	start := func(r uint64, first ...string) Entry { return Entry{Op: OpStart, Revision: r, First: first} }
	advance := func(r uint64) Entry { return Entry{Op: OpAdvance, Revision: r} }
	halt := func(r uint64) Entry { return Entry{Op: OpHalt, Revision: r, Why: "a1: no"} }
	put := func(base uint64, text string) Entry {
		return Entry{Op: OpPut, Name: routes, Base: base, Text: []byte(text), Author: "anna"}
	}
	cases := []struct {
		name    string
		entries []Entry
		want    string
		a1, b1  string // the documents of a first-stage agent and of another agent
	}{
		{"waits", []Entry{put(0, "x")}, `1 waiting "x"`, "", ""},
		{"first stage", []Entry{put(0, "x"), start(1, "a1")}, `1 first "x"`, "1 x", ""},
		{"everywhere", []Entry{put(0, "x"), start(1, "a1"), advance(1)}, `1 everywhere "x"`, "1 x", "1 x"},
		{"only the newest waits behind a first stage", []Entry{put(0, "x"), start(1, "a1"), put(1, "y"), put(3, "z"), start(4, "a1")},
			`4 waiting "z", 3 superseded "y", 1 first "x"`, "1 x", ""},
		{"halted without a previous text: removed", []Entry{put(0, "x"), start(1, "a1"), halt(1)}, `3 everywhere "" removed, 1 halted "x"`, "3 -", "3 -"},
		{"halted: the previous text returns under a new number", []Entry{put(0, "x"), start(1, "a1"), advance(1), put(1, "y"), start(4, "a1"), halt(4)},
			`6 everywhere "x" of 1, 4 halted "y", 1 superseded "x"`, "6 x", "6 x"},
		{"halted while the next waits: the next one stays and starts under a higher number",
			[]Entry{put(0, "x"), start(1, "a1"), put(1, "y"), halt(1), start(3, "b1")},
			`5 first "y" of 3, 4 everywhere "" removed, 3 superseded "y", 1 halted "x"`, "4 -", "5 y"},
		{"late proposals have no effect", []Entry{put(0, "x"), advance(1), halt(1), start(1, "a1"), advance(1), advance(1), halt(1), start(1, "b1")},
			`1 everywhere "x"`, "1 x", "1 x"},
		{"a second start adds agents", []Entry{put(0, "x"), start(1, "a1"), start(1, "b1")}, `1 first "x"`, "1 x", "1 x"},
		{"removed in stages, then restored", []Entry{put(0, "x"), start(1), advance(1), {Op: OpPut, Name: routes, Base: 1, Remove: true, Author: "b"},
			start(4, "a1"), advance(4), {Op: OpPut, Name: routes, Base: 4, Restore: 1, Author: "b"}, start(7, "b1")},
			`7 first "x" of 1, 4 everywhere "" removed, 1 superseded "x"`, "4 -", "7 x"},
	}
	for _, c := range cases {
		l := &testLog{t: t, State: New()}
		for _, e := range c.entries {
			if _, err := l.tryApply(e); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		if got := l.describeHistory(routes); got != c.want {
			t.Errorf("%s:\n got %s\nwant %s", c.name, got, c.want)
		}
		for agent, want := range map[string]string{"a1": c.a1, "b1": c.b1} {
			got := ""
			for _, d := range l.DocumentsFor(Agent{Name: agent}) {
				if got = fmt.Sprint(d.Revision, " ", string(d.Text)); d.Removed {
					got = fmt.Sprint(d.Revision, " -")
				}
			}
			if got != want {
				t.Errorf("%s: %s has %q, want %q", c.name, agent, got, want)
			}
		}
	}
}

// TestRefusedEntries checks that invalid entries are refused with the reason and change nothing but the
// applied index. Otherwise replicas of different versions could diverge.
func TestRefusedEntries(t *testing.T) {
	put := Entry{Op: OpPut, Name: byZone, Base: 0, Text: []byte("x"), Author: "anna"}
	modified := func(change func(*Entry)) []byte {
		e := put
		change(&e)
		return Encode(e)
	}
	cases := []struct {
		data []byte
		err  error
		text string
	}{
		{[]byte("\x00\xff"), ErrEntry, "byte 1"},
		{[]byte(`{"op":"put","base":"x"}`), ErrEntry, "field base"},
		{[]byte(`null`), ErrEntry, "field op"},
		{[]byte(`{"op":"put"`), ErrEntry, "byte 11"},
		{append(Encode(put), '!'), ErrEntry, "byte"},
		{Encode(Entry{Op: "merge"}), ErrEntry, `field op: "merge"`},
		{Encode(Entry{Op: OpStart}), ErrEntry, "field revision"},
		{Encode(Entry{Op: OpStart, Revision: 1, First: []string{"a b"}}), ErrEntry, "field first"},
		{Encode(Entry{Op: OpStart, Revision: 1, First: make([]string, MaxFirstAgents+1)}), ErrEntry, "4097 agents"},
		{Encode(Entry{Op: OpHalt, Revision: 1, Why: strings.Repeat("x", MaxHaltWhyBytes+1)}), ErrEntry, "field why: 657 bytes, most 656"},
		{modified(func(e *Entry) { e.Text = make([]byte, MaxTextBytes+1) }), ErrEntry, "field text: 262145 bytes, most 262144"},
		{modified(func(e *Entry) { e.Author = "" }), ErrEntry, "field author"},
		{modified(func(e *Entry) { e.Name.Scope.Level = "planet" }), ErrEntry, "field name"},
		{modified(func(e *Entry) { e.Name.Scope = Scope{LevelAll, "z1"} }), ErrEntry, "field name"},
		{modified(func(e *Entry) { e.Remove = true }), ErrEntry, "field remove"},
		{modified(func(e *Entry) { e.Remove, e.Text = true, nil }), ErrEntry, "routes@zone/z1 has no text to remove"},
		{modified(func(e *Entry) { e.Restore = 1 }), ErrEntry, "field restore"},
		{modified(func(e *Entry) { e.Name, e.Base, e.Text, e.Restore = routes, 1, nil, 7 }), ErrEntry, "revision 7 of routes@all is not kept"},
		{modified(func(e *Entry) { e.Base = 9 }), ErrConflict, "routes@zone/z1 is at 0 (there is none), not at 9"},
		{modified(func(e *Entry) { e.Name = routes }), ErrConflict, "routes@all is at 1 by anna, not at 0"},
	}
	l := &testLog{t: t, State: New()}
	l.put(routes, "x")
	docs := l.Image().image.Docs
	for _, c := range cases {
		r, err := l.Apply(l.Applied()+1, c.data)
		if !errors.Is(err, c.err) || !strings.Contains(fmt.Sprint(err), c.text) || r != (Result{}) {
			t.Errorf("%.80q: %v, %v; want %q", c.data, r, err, c.text)
		}
	}
	if _, err := l.Apply(l.Applied(), Encode(put)); !errors.Is(err, ErrEntry) {
		t.Error("an index is applied twice:", err)
	}
	if got := fmt.Sprint(l.Image().image.Docs); got != fmt.Sprint(docs) {
		t.Errorf("a refused entry changed the state: %s", got)
	}
}

// TestBounds checks the limits of stored revisions, text bytes and documents: without them the state, and
// every snapshot of it, would grow with each change.
func TestBounds(t *testing.T) {
	l := &testLog{t: t, State: New()}
	for range 3 * MaxFormerRevisions {
		l.putEverywhere(routes, "x")
	}
	if got := len(l.History(routes)); got != MaxFormerRevisions+1 {
		t.Errorf("%d revisions stored, want %d and the one in force", got, MaxFormerRevisions)
	}
	// Two thirds of MaxTotalBytes are texts of former revisions. They are dropped, oldest first; the current
	// ones stay.
	l = &testLog{t: t, State: New()}
	text := strings.Repeat("x", MaxTextBytes)
	names := make([]Name, MaxTotalBytes/MaxTextBytes)
	for i := range names {
		names[i] = Name{"routes", Scope{LevelAgent, fmt.Sprint("a", i)}}
	}
	for range 3 {
		for _, n := range names[:len(names)/3] {
			l.putEverywhere(n, text)
		}
	}
	if l.totalBytes > MaxTotalBytes {
		t.Errorf("%d bytes stored", l.totalBytes)
	}
	for _, n := range names[len(names)/3:] {
		l.putEverywhere(n, text)
	}
	for _, n := range names {
		if h := l.History(n); len(h) != 1 || h[0].Stage != StageEverywhere || len(h[0].Text) != MaxTextBytes {
			t.Fatalf("%v: %d revisions", n, len(h))
		}
	}
	if _, err := l.tryApply(Entry{Op: OpPut, Name: routes, Text: []byte("y"), Author: "b"}); !errors.Is(err, ErrEntry) ||
		!strings.Contains(err.Error(), fmt.Sprintf("field text: %d bytes of texts in force or on their way, most %d", MaxTotalBytes+1, MaxTotalBytes)) {
		t.Error(err)
	}
	l = &testLog{t: t, State: New()}
	for i := range MaxDocuments {
		l.put(Name{"routes", Scope{LevelAgent, fmt.Sprint("a", i)}}, "")
	}
	if _, err := l.tryApply(Entry{Op: OpPut, Name: routes, Author: "b"}); err == nil || !strings.Contains(err.Error(), "field name: 1025 documents, most 1024") {
		t.Error(err)
	}
}

// TestNumbersNeverFall applies random entries, with restores from snapshots in between. It checks that the
// revision number that an agent gets for a document never decreases, also after it leaves a first stage (the
// agent would ignore a lower number), that a number never has two texts or names, and that a restored replica
// stays equal to the other one.
func TestNumbersNeverFall(t *testing.T) {
	agents := []Agent{{"a1", "s", "z1", "r"}, {"a2", "s", "z1", "r"}, {"b1", "t", "z2", "r"}, {"b2", "t", "z2", "q"}}
	names := []Name{routes, byZone, {"routes", Scope{LevelAgent, "b1"}}, {"spread", Scope{LevelService, "s"}}}
	rapid.Check(t, func(t *rapid.T) {
		state, other := New(), New()
		numbers := map[string]uint64{}
		texts := map[uint64]string{}
		image, imageBytes := state.Image(), state.Image().Bytes()
		for range rapid.IntRange(1, 60).Draw(t, "entries") {
			name := rapid.SampledFrom(names).Draw(t, "name")
			head, _ := state.Latest(name)
			e := Entry{Op: rapid.SampledFrom([]Op{OpPut, OpStart, OpAdvance, OpHalt}).Draw(t, "op"), Name: name,
				Base: head.Revision, Author: "anna", Revision: head.Revision, Why: "no"}
			for _, a := range agents {
				if rapid.Bool().Draw(t, "in") {
					e.First = append(e.First, a.Name)
				}
			}
			if open := state.Open(); len(open) > 0 && rapid.Bool().Draw(t, "open") {
				e.Revision = rapid.SampledFrom(open).Draw(t, "revision").Revision
			}
			switch rapid.IntRange(0, 5).Draw(t, "how") {
			case 0:
				e.Remove = true
			case 1:
				if h := state.History(name); len(h) > 0 {
					e.Restore = rapid.SampledFrom(h).Draw(t, "restore").Revision
				}
			case 2:
				e.Base = rapid.Uint64Range(0, 9).Draw(t, "base")
			default:
				e.Text = []byte(rapid.StringN(1, 2, 2).Draw(t, "text"))
			}
			index := state.Applied() + rapid.Uint64Range(1, 3).Draw(t, "gap")
			r1, err1 := state.Apply(index, Encode(e))
			r2, err2 := other.Apply(index, Encode(e))
			if r1 != r2 || fmt.Sprint(err1) != fmt.Sprint(err2) || !bytes.Equal(state.Image().Bytes(), other.Image().Bytes()) {
				t.Fatalf("two replicas differ at %d: %v %v, %v %v", index, r1, err1, r2, err2)
			}
			if rapid.IntRange(0, 3).Draw(t, "restart") == 0 {
				if !bytes.Equal(image.Bytes(), imageBytes) {
					t.Fatal("an image changed with its state")
				}
				image, imageBytes = state.Image(), state.Image().Bytes()
				var err error
				if other, err = Restore(other.Image().Bytes()); err != nil {
					t.Fatal(err)
				}
			}
			for _, a := range agents {
				last := ""
				for _, d := range state.DocumentsFor(a) {
					id := a.Name + " " + d.Name.String()
					if d.Revision < numbers[id] || d.Name.String() <= last || !d.Name.Scope.Contains(a) {
						t.Fatalf("%s gets %d after %d (after %s)", id, d.Revision, numbers[id], last)
					}
					numbers[id], last = d.Revision, d.Name.String()
					text := fmt.Sprint(d.Name, string(d.Text), d.Removed, d.Sum == Sum(d.Text))
					if was, ok := texts[d.Revision]; ok && was != text {
						t.Fatalf("%d has two texts: %s, %s", d.Revision, was, text)
					}
					texts[d.Revision] = text
				}
			}
			for id, n := range numbers {
				if n > state.Applied() {
					t.Fatalf("%s at %d, applied %d", id, n, state.Applied())
				}
			}
		}
	})
}

// TestSnapshotRefused checks that truncated, corrupt and inconsistent snapshots are refused, and that an
// Image does not change with its State.
func TestSnapshotRefused(t *testing.T) {
	l := &testLog{t: t, State: New()}
	l.putEverywhere(routes, "x")
	l.mustApply(Entry{Op: OpStart, Revision: l.put(routes, "y")})
	for range 6 {
		// Gives the list of former revisions spare capacity, so that an append would change a shared list.
		l.put(routes, "waits")
	}
	whole := l.Image()
	data := whole.Bytes()
	l.mustApply(Entry{Op: OpHalt, Revision: 4}) // must not change the image
	if !bytes.Equal(whole.Bytes(), data) {
		t.Error("an image changed with its state")
	}
	for i := range data {
		flipped := bytes.Clone(data)
		flipped[i] ^= 0x20
		for _, corrupt := range [][]byte{data[:i], flipped} {
			if _, err := Restore(corrupt); !errors.Is(err, ErrSnapshot) || !strings.Contains(err.Error(), "byte ") {
				t.Fatalf("at byte %d: %v", i, err)
			}
		}
	}
	for _, img := range []string{`{"docs":[{}]}`, `{"applied":"x"}`, `{"applied":1,"docs":[{"now":{"name":{"kind":"a","scope":{"level":"all"}},"revision":2}}]}`} {
		if _, err := Restore(encodeFrame(snapshotMagic, []byte(img))); !errors.Is(err, ErrSnapshot) {
			t.Errorf("%s: %v", img, err)
		}
	}
}
