package spread

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"
)

// sizes are the numbers of servers or senders that the benchmarks use.
var sizes = []int{10, 27, 100, 300, 730, 1460}

func serverNames(prefix string, n int) (out []string) {
	for i := range n {
		out = append(out, fmt.Sprintf("%s%d.example:5060", prefix, i))
	}
	return out
}

// populatedState returns the state of a sender that has sent set-ups to n servers and has their figures.
func populatedState(name string, n int) *State {
	s := New(Config{Name: name, Life: 1, Senders: 240})
	s.SetAlive(serverNames("agent", 240))
	for i, id := range serverNames("server", n) {
		s.UpdateServer(id, true)
		v := s.getOrCreate(id) // numbers with as many digits as after a day of operation
		v.sent, v.done, v.stood = uint64(20_000+i), uint64(19_998+i), uint64(19_000+i)
		s.RecordReport(time.Hour-437_123_456, id, Seen{Lines: 400, Util: 1 / (1.7 + float64(i%7)), Wait: 1 / (31 + float64(i%11))})
	}
	return s
}

func encodedBytes(b *testing.B, v any) float64 {
	data, err := json.Marshal(v)
	if err != nil {
		b.Fatal(err)
	}
	return float64(len(data))
}

// populatedSteward returns a steward that knows n servers and has handled one summary of each sender, and
// these summaries.
func populatedSteward(n, senders int) (*Steward, []Summary) {
	w := NewSteward(Config{Name: "agent0.example:5060", Life: 1, Senders: senders})
	for _, id := range serverNames("server", n) {
		w.UpdateServer(time.Hour, id, true)
	}
	var all []Summary
	for _, name := range serverNames("agent", senders) {
		all = append(all, populatedState(name, n).BuildSummary(time.Hour, "agent0.example:5060"))
	}
	for _, s := range all {
		w.HandleSummary(time.Hour, s)
	}
	return w, all
}

// BenchmarkSummary builds a summary about n servers.
func BenchmarkSummary(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := populatedState("agent1.example:5060", n)
			b.ReportAllocs()
			for b.Loop() {
				s.BuildSummary(time.Hour, "agent0.example:5060")
			}
			b.ReportMetric(encodedBytes(b, s.BuildSummary(time.Hour, "agent0.example:5060")), "bytes/message")
		})
	}
}

// BenchmarkHearSized handles one summary at the steward, including the view that answers it: with 24 senders
// and a growing number of servers, and with 27 servers and a growing number of senders.
func BenchmarkHearSized(b *testing.B) {
	run := func(name string, n, senders int) {
		b.Run(name, func(b *testing.B) {
			w, all := populatedSteward(n, senders)
			now, seq := time.Hour, uint64(1)
			var v View
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				s := all[i%senders]
				if i%senders == 0 { // all senders have reported once in this period
					now, seq = now+500*time.Millisecond, seq+1
				}
				s.From.Seq, s.Demand = seq, 1.0/3
				for j := range s.Counts {
					s.Counts[j].Sent += uint64(j % 3)
					s.Counts[j].Done = s.Counts[j].Sent
				}
				v, _ = w.HandleSummary(now, s)
			}
			b.ReportMetric(encodedBytes(b, v), "bytes/message")
		})
	}
	for _, n := range sizes {
		run(fmt.Sprintf("servers=%d", n), n, 24)
	}
	for _, n := range sizes {
		run(fmt.Sprintf("senders=%d", n), 27, n)
	}
}

// BenchmarkHearService handles one summary of a service with as many senders as servers, at a steward in a
// sender's process (near) and at a remote one (remote).
func BenchmarkHearService(b *testing.B) {
	for _, kind := range []string{"near", "remote"} {
		for _, n := range []int{10, 27, 100, 243} {
			b.Run(fmt.Sprintf("%s/size=%d", kind, n), func(b *testing.B) {
				w, all := populatedSteward(n, n)
				if kind == "remote" {
					w = NewRemoteSteward(Config{Name: "c1", Life: 1})
				}
				handle := func(i int) (v View) { // each sender sends one summary a period
					now, s := time.Hour+time.Duration(i+n)*period/time.Duration(n), &all[i%n]
					s.From.Seq, s.Demand = uint64(i/n+2), 64
					if kind == "remote" {
						s.Senders = n
					}
					for j := range s.Counts {
						s.Counts[j].Sent += uint64(j % 3)
						s.Counts[j].Done = s.Counts[j].Sent
						s.Counts[j].Age = time.Second
					}
					v, _ = w.HandleSummary(now, *s)
					return v
				}
				for i := range 30 * n { // until all capacities are learned
					handle(i)
				}
				var v View
				b.ReportAllocs()
				b.ResetTimer()
				for i := range b.N {
					v = handle(i + 30*n)
				}
				if len(v.Dues) != n {
					b.Fatalf("%d servers", len(v.Dues))
				}
				b.ReportMetric(encodedBytes(b, v), "bytes/view")
				b.ReportMetric(encodedBytes(b, all[0]), "bytes/summary")
			})
		}
	}
}

// BenchmarkFollow handles a view of n servers at a sender.
func BenchmarkFollow(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("servers=%d", n), func(b *testing.B) {
			s := populatedState("agent1.example:5060", n)
			w, _ := populatedSteward(n, 2)
			s.BuildSummary(time.Hour, "agent0.example:5060") // its first summary was already handled
			v, ok := w.HandleSummary(time.Hour, s.BuildSummary(time.Hour, "agent0.example:5060"))
			if !ok {
				b.Fatal("the summary was ignored")
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				v.From.Seq = uint64(1000 + i)
				s.HandleView(time.Hour, v)
			}
		})
	}
}

// BenchmarkStewardAt selects the steward among n senders, as each sender does for each summary.
func BenchmarkStewardAt(b *testing.B) {
	for _, n := range sizes {
		b.Run(fmt.Sprintf("senders=%d", n), func(b *testing.B) {
			alive := serverNames("agent", n)
			b.ReportAllocs()
			for b.Loop() {
				StewardAt(alive, 0)
			}
		})
	}
}
