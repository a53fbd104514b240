package rollout

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"
)

// text4k is a text of 4 KiB.
var text4k = bytes.Repeat([]byte("0123456789abcde\n"), 256)

// settledLog returns a state in which all documents are at StageEverywhere. One in ten applies to a1, each of
// the others to a different agent.
func settledLog(b *testing.B, documents int) *testLog {
	l := &testLog{t: b, State: New()}
	for i := range documents {
		n := Name{fmt.Sprint("kind", i), Scope{LevelAgent, fmt.Sprint("other", i)}}
		if i%10 == 0 {
			n.Scope = []Scope{{Level: LevelAll}, {LevelZone, "z1"}, {LevelService, "s"}}[i/10%3]
		}
		l.putEverywhere(n, string(text4k))
	}
	return l
}

// BenchmarkFor looks up the documents of one agent among many.
func BenchmarkFor(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		l := settledLog(b, n)
		b.Run(fmt.Sprint("documents=", n), func(b *testing.B) {
			b.ReportMetric(float64(len(l.DocumentsFor(a1))), "mine")
			b.ReportAllocs()
			for b.Loop() {
				l.DocumentsFor(a1)
			}
		})
	}
}

// testReports returns reports of agents in services of 30 agents each.
func testReports(agents int) []Report {
	out := make([]Report, agents)
	for i := range out {
		out[i] = Report{Agent: Agent{fmt.Sprint("agent", i), fmt.Sprint("s", i/30), fmt.Sprint("z", i%4), "r"}, Life: 1, Seq: 1,
			Seen: map[string]uint64{"routes@all": 1}, InForce: map[string]uint64{"routes": 1}, Calls: 1000, AtUs: 1e9}
	}
	return out
}

// BenchmarkDecide decides without an open revision, with a waiting one and with one at its first stage.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 100, 730, 1460} {
		reports := testReports(n)
		idle := &testLog{t: b, State: New()}
		idle.putEverywhere(routes, "x")
		first := &testLog{t: b, State: New()}
		first.putEverywhere(routes, "x")
		first.put(routes, "y")
		for _, e := range NewStageController(Defaults).Decide(first.State, reports, 1e9) {
			first.mustApply(e)
		}
		waiting := &testLog{t: b, State: New()}
		waiting.put(routes, "x")
		for _, c := range []struct {
			name string
			l    *testLog
		}{{"idle", idle}, {"start", waiting}, {"first", first}} {
			b.Run(fmt.Sprint("agents=", n, "/", c.name), func(b *testing.B) {
				w := NewStageController(Defaults)
				b.ReportAllocs()
				for b.Loop() {
					w.Decide(c.l.State, reports, 1e9)
				}
			})
		}
	}
}

// BenchmarkHear stores a report in a table of 1460 agents.
func BenchmarkHear(b *testing.B) {
	reports := testReports(1460)
	t := NewReportTable()
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		r := reports[i%len(reports)]
		r.Seq = uint64(i)
		t.Update(r, int64(i))
	}
}

// BenchmarkTake receives a reply with three documents, one of them new.
func BenchmarkTake(b *testing.B) {
	h := NewDocumentSet(a1)
	docs := []Document{testDocument(routes, 1, string(text4k)), testDocument(byZone, 2, string(text4k)), {}}
	b.ReportAllocs()
	for n := uint64(2); b.Loop(); n++ {
		docs[2] = testDocument(Name{"spread", Scope{Level: LevelAll}}, n+1, string(text4k))
		if _, err := h.Receive(WatchReply{Version: n + 1, Docs: docs}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkBytes reports sizes: of a snapshot with documents of 4 KiB, of an agent's stored set of four
// documents, of a watch request, and of replies without, with one and with four documents. The gob sizes are
// those of a second message, because net/rpc sends the types only once per connection.
func BenchmarkBytes(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		l := settledLog(b, n)
		b.Run(fmt.Sprint("snapshot/documents=", n), func(b *testing.B) {
			for b.Loop() {
				l.Image().Bytes()
			}
			b.ReportMetric(float64(len(l.Image().Bytes())), "bytes")
		})
	}
	h := NewDocumentSet(a1)
	var docs []Document
	for i := range 4 {
		docs = append(docs, testDocument(Name{fmt.Sprint("kind", i), Scope{Level: LevelAll}}, uint64(i+1), string(text4k)))
	}
	if _, err := h.Receive(WatchReply{Version: 4, Docs: docs}); err != nil {
		b.Fatal(err)
	}
	for _, d := range docs {
		h.Accept(d)
	}
	b.Run("held/documents=4", func(b *testing.B) {
		for b.Loop() {
			h.Bytes()
		}
		b.ReportMetric(float64(len(h.Bytes())), "bytes")
	})
	seen, _ := h.Report()
	report := Report{Agent: a1, Life: time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC).UnixMicro(), Seq: 1000, Seen: seen,
		InForce: map[string]uint64{"kind0": 1, "kind1": 2, "kind2": 3, "kind3": 4}, Calls: 100000, Failed: 1000}
	for name, message := range map[string]any{
		"args":       WatchArgs{Report: report, Have: h.KnownRevisions(), Version: 4, PatienceMs: 2000},
		"empty":      WatchReply{Machine: "c1", Version: 4},
		"one4k":      WatchReply{Machine: "c1", Version: 5, Docs: docs[:1]},
		"whole4x4k":  WatchReply{Machine: "c1", Version: 5, Whole: true, Docs: docs},
		"firststage": WatchReply{Machine: "c1", Version: 5, AgainMs: 250},
	} {
		b.Run("gob/"+name, func(b *testing.B) {
			var out bytes.Buffer
			enc := gob.NewEncoder(&out)
			if err := enc.Encode(message); err != nil {
				b.Fatal(err)
			}
			types := out.Len()
			for b.Loop() {
				out.Reset()
				if err := enc.Encode(message); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(out.Len()), "bytes")
			b.ReportMetric(float64(types), "firstbytes")
		})
	}
}
