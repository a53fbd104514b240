package failover

import (
	"encoding/json"
	"fmt"
	"testing"
)

// testSummaries returns the summaries of n agents in five zones, each with observations of all five.
func testSummaries(n int) (Topology, []Summary) {
	t := Topology{Zones: []Zone{{"z0", "a"}, {"z1", "a"}, {"z2", "b"}, {"z3", "b"}, {"z4", "b"}}}
	var all []Summary
	for i := range n {
		s := Summary{Agent: fmt.Sprintf("agent%d.example:5060", i), Zone: fmt.Sprint("z", i%5), Life: 1, Seq: 1,
			Offered: map[string]float64{"voice": 1.25 + float64(i%3), "group": 0.5, "emergency": 0.125}, Seen: map[string]Sight{}}
		for j := range 5 {
			s.Seen[fmt.Sprint("z", j)] = Sight{Listed: 146, Up: 140 - i%3, Capacity: 400 + float64(i%5), Tries: 1.5, Dead: 0.25, Full: 0.25, WaitMs: 12.5}
		}
		all = append(all, s)
	}
	return t, all
}

// BenchmarkDecide aggregates the summaries of n agents and decides for five zones.
func BenchmarkDecide(b *testing.B) {
	for _, n := range []int{10, 27, 100, 300, 730, 1460} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			t, all := testSummaries(n)
			var p Plan
			b.ReportAllocs()
			for b.Loop() {
				p, _ = Decide(p, t, Defaults, Aggregate(all, 0, secondUs), secondUs, "d")
			}
			s, _ := json.Marshal(all[0])
			plan, _ := json.Marshal(p)
			b.ReportMetric(float64(len(s)), "bytes/summary")
			b.ReportMetric(float64(len(plan)), "bytes/plan")
		})
	}
}
