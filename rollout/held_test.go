package rollout

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"strings"
	"testing"
)

var a1 = Agent{Name: "a1", Service: "s", Zone: "z1", Region: "r"}

// testDocument returns a revision with a correct checksum. An empty text makes it a removal.
func testDocument(n Name, revision uint64, text string) Document {
	return Document{Name: n, Revision: revision, Text: []byte(text), Sum: Sum([]byte(text)), Removed: text == ""}
}

// TestDocumentSet runs scripts on an agent's set and checks which document is in force and what is reported.
// In a script, "wide" and "near" select routes@all and routes@zone/z1, N:TEXT receives revision N (an empty
// text is a removal), and "ok" and "no" accept and refuse it. "old" remembers the last received document;
// "late" accepts and "undo" refuses the remembered one. After each step the set is encoded and decoded, as at
// a restart.
func TestDocumentSet(t *testing.T) {
	cases := []struct {
		name, script, wantForce, seen, refused string
	}{
		{"nothing received", "", "-", "map[]", ""},
		{"received, not yet accepted", "wide 1:x", "-", "map[]", ""},
		{"accepted", "wide 1:x ok", "1 x", "map[routes@all:1]", ""},
		{"latest refused: the previous one stays", "wide 1:x ok wide 2:y no", "1 x", "map[routes@all:1]", "routes@all 2 no"},
		{"accepted after a refused one", "wide 1:x ok wide 2:y no wide 3:z ok", "3 z", "map[routes@all:3]", ""},
		{"the narrower scope is in force", "near 1:x ok wide 2:y ok", "1 x", "map[routes@all:2 routes@zone/z1:1]", ""},
		{"narrower scope refused: the wider one is in force", "wide 1:x ok near 2:y no", "1 x", "map[routes@all:1]", "routes@zone/z1 2 no"},
		{"narrower scope removed: the wider one is in force", "wide 1:x ok near 2:y ok near 3: ok", "1 x", "map[routes@all:1 routes@zone/z1:3]", ""},
		{"all removed: the agent's own file is in force", "wide 1:x ok wide 2: ok", "-", "map[routes@all:2]", ""},
		{"older revisions are ignored", "wide 3:x ok wide 2:y", "3 x", "map[routes@all:3]", ""},
		{"accepted, later refused by a new program version", "wide 1:x ok no", "-", "map[]", "routes@all 1 no"},
		{"an older revision is accepted after a newer one", "wide 1:x old wide 2:y ok wide 3:z late", "2 y", "map[routes@all:2]", ""},
		{"the revision in force is refused by a new program version", "wide 1:x old ok wide 2:y undo", "-", "map[]", ""},
		{"the previous revision is accepted late", "wide 1:x old wide 2:y late", "1 x", "map[routes@all:1]", ""},
	}
	for _, c := range cases {
		h := NewDocumentSet(a1)
		name := routes
		var last, old Document
		for _, word := range strings.Fields(c.script) {
			switch word {
			case "wide", "near":
				name = map[string]Name{"wide": routes, "near": byZone}[word]
			case "ok":
				h.Accept(last)
			case "no":
				h.Refuse(last, "no")
			case "old":
				old = last
			case "undo":
				h.Refuse(old, "no")
			case "late":
				h.Accept(old)
			default:
				var revision uint64
				number, text, _ := strings.Cut(word, ":")
				fmt.Sscan(number, &revision)
				if newDocs, err := h.Receive(WatchReply{Version: revision, Docs: []Document{testDocument(name, revision, text)}}); err != nil {
					t.Fatalf("%s: %v", c.name, err)
				} else if len(newDocs) > 0 {
					last = newDocs[0]
				}
			}
			decoded, err := DecodeDocumentSet(a1, h.Bytes())
			if err != nil || !bytes.Equal(decoded.Bytes(), h.Bytes()) {
				t.Fatalf("%s: after %s: %v", c.name, word, err)
			}
			h = decoded
		}
		force := "-"
		if d, ok := h.Effective("routes"); ok {
			force = fmt.Sprint(d.Revision, " ", string(d.Text))
		}
		seen, refusals := h.Report()
		var refused []string
		for _, r := range refusals {
			refused = append(refused, fmt.Sprint(r.Name, " ", r.Revision, " ", r.Why))
		}
		if got := strings.Join(refused, ", "); force != c.wantForce || fmt.Sprint(seen) != c.seen || got != c.refused {
			t.Errorf("%s: in force %s, seen %v, refused %s; want %s, %s, %s", c.name, force, seen, got, c.wantForce, c.seen, c.refused)
		}
	}
	h := NewDocumentSet(a1)
	if _, err := h.Receive(WatchReply{Version: 7, Docs: []Document{testDocument(routes, 5, "x"), testDocument(byZone, 4, "y")}}); err != nil {
		t.Fatal(err)
	}
	h.Accept(testDocument(routes, 5, "x"))
	h.Accept(testDocument(routes, 9, "z")) // never received
	h.Refuse(testDocument(byZone, 3, "y"), "an older revision")
	if p := h.Pending(); len(p) != 1 || p[0].Revision != 4 || h.Version() != 7 || !h.IsBehind(WatchReply{Version: 6}) || h.IsBehind(WatchReply{Version: 7}) ||
		!maps.Equal(h.KnownRevisions(), map[string]uint64{"routes@all": 5, "routes@zone/z1": 4}) {
		t.Errorf("pending %v, version %d, have %v", p, h.Version(), h.KnownRevisions())
	}
	h.Refuse(testDocument(byZone, 4, "y"), strings.Repeat("é", MaxWhyBytes))
	for words, want := range map[string]string{"line 1:\nEOT\x00": "line 1: EOT ", "\xff\xfe": "?", strings.Repeat("\xff", 2*MaxWhyBytes): "?"} {
		if got := singleLine(words, MaxWhyBytes); got != want {
			t.Errorf("%.20q: %.20q", words, got)
		}
	}
	if _, refused := h.Report(); len(refused) != 1 || refused[0].Why != strings.Repeat("é", MaxWhyBytes/2) {
		t.Errorf("refused %v", refused)
	}
}

// TestInvalidReplies checks that a reply with one invalid document is refused as a whole and changes nothing.
// Taking a part of it could give an agent a text that the control group never committed.
func TestInvalidReplies(t *testing.T) {
	modified := func(d Document, change func(*Document)) Document { change(&d); return d }
	good := testDocument(routes, 2, "x")
	cases := []struct {
		name string
		docs []Document
	}{
		{"field sum", []Document{modified(good, func(d *Document) { d.Sum++ })}},
		{"not a document of agent a1", []Document{testDocument(Name{"routes", Scope{LevelZone, "z2"}}, 2, "x")}},
		{"not a document of agent a1", []Document{testDocument(Name{"", Scope{Level: LevelAll}}, 2, "x")}},
		{"field text: 262145 bytes", []Document{testDocument(routes, 2, strings.Repeat("x", MaxTextBytes+1))}},
		{"outside 1 to 9", []Document{testDocument(routes, 10, "x")}},
		{"outside 1 to 9", []Document{testDocument(routes, 0, "x")}},
		{"differs from the text received under this number", []Document{testDocument(routes, 1, "y")}},
		{"differs from the text received under this number", []Document{testDocument(routes, 1, "")}},
		{"number already used for routes@all", []Document{testDocument(byZone, 1, "x")}},
		{"number already used for routes@all", []Document{good, testDocument(byZone, 2, "x")}},
		{"listed twice in one reply", []Document{testDocument(routes, 3, "x"), good}},
		{"of a removed document", []Document{modified(good, func(d *Document) { d.Removed = true })}},
	}
	for _, c := range cases {
		h := NewDocumentSet(a1)
		if _, err := h.Receive(WatchReply{Version: 1, Docs: []Document{testDocument(routes, 1, "x")}}); err != nil {
			t.Fatal(err)
		}
		before := h.Bytes()
		newDocs, err := h.Receive(WatchReply{Version: 9, Docs: append([]Document{testDocument(Name{"spread", Scope{Level: LevelAll}}, 8, "z")}, c.docs...)})
		if !errors.Is(err, ErrInvalidReply) || !strings.Contains(err.Error(), c.name) || newDocs != nil || !bytes.Equal(before, h.Bytes()) {
			t.Errorf("%s: %v, %v", c.name, newDocs, err)
		}
	}
}

// TestCorruptDocumentSet checks that a stored set is refused, with the byte offset, after any truncation or
// flipped bit, as a crash or a failing disk can cause, and that the set of another agent or zone is refused.
func TestCorruptDocumentSet(t *testing.T) {
	h := NewDocumentSet(a1)
	for i, text := range []string{"x", "y"} {
		if _, err := h.Receive(WatchReply{Version: 9, Docs: []Document{testDocument(routes, uint64(i+1), text)}}); err != nil {
			t.Fatal(err)
		}
		if i == 0 {
			h.Accept(testDocument(routes, 1, "x"))
		}
	}
	h.Refuse(testDocument(routes, 2, "y"), "line 1: no")
	data := h.Bytes()
	for i := range data {
		for bit := range 8 {
			flipped := bytes.Clone(data)
			flipped[i] ^= 1 << bit
			if _, err := DecodeDocumentSet(a1, flipped); !errors.Is(err, ErrDocumentSet) || !strings.Contains(err.Error(), "byte ") {
				t.Fatalf("bit %d of byte %d: %v", bit, i, err)
			}
		}
		if _, err := DecodeDocumentSet(a1, data[:i]); !errors.Is(err, ErrDocumentSet) || !strings.Contains(err.Error(), "byte ") {
			t.Fatalf("cut at byte %d: %v", i, err)
		}
	}
	moved := a1
	moved.Zone = "z2"
	for name, c := range map[string]struct {
		a    Agent
		data []byte
	}{
		"another agent's": {Agent{Name: "a2"}, data}, "of a zone left": {moved, data}, "longer": {a1, append(bytes.Clone(data), 0)},
		"a snapshot": {a1, New().Image().Bytes()}, "junk": {a1, []byte("\x00\xff\x00\xff\x00\xff\x00\xff\x00\xff\x00\xff\x00\xff\x00\xff\x00")},
	} {
		if _, err := DecodeDocumentSet(c.a, c.data); !errors.Is(err, ErrDocumentSet) || !strings.Contains(err.Error(), "byte ") {
			t.Errorf("%s: %v", name, err)
		}
	}
	doc := `{"name":{"kind":"routes","scope":{"level":"all"}},"revision":1,"sum":17241709254077376921}`
	for _, docs := range []string{"null", `{"told":` + doc + `,"taken":true,"refused":true}`, `{"told":` + doc + `},{"told":` + doc + `}`, `{"told":{}}`} {
		img := `{"agent":{"name":"a1","service":"s","zone":"z1","region":"r"},"version":1,"docs":[` + docs + `]}`
		if _, err := DecodeDocumentSet(a1, encodeFrame(documentSetMagic, []byte(img))); !errors.Is(err, ErrDocumentSet) || !strings.Contains(err.Error(), "docs[") {
			t.Errorf("%s: %v", docs, err)
		}
	}
}
