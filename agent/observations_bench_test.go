package agent

import (
	"fmt"
	"testing"
	"time"

	"woodrouter/policy"
)

// BenchmarkObservations measures the cost of observing n servers in five zones: recording a whole list,
// taking the observations, and recording the result of one check.
func BenchmarkObservations(b *testing.B) {
	for _, n := range []int{10, 27, 100, 300, 730, 1460} {
		var list []Server
		for i := range n {
			id := fmt.Sprintf("server%d", i)
			list = append(list, Server{Server: policy.Server{ID: id, Pool: i}, Zone: fmt.Sprint("z", i%5), Address: id + ".example:5060"})
		}
		v := newObservations(policy.Settings{Classes: []policy.Class{{Hold: time.Second}}})
		v.recordList(list, true)
		for name, do := range map[string]func(){
			"list":    func() { v.recordList(list, true) },
			"take":    func() { v.Take() },
			"checked": func() { v.RecordCheck(list[n/2].Address, true) },
		} {
			b.Run(fmt.Sprintf("%s/servers=%d", name, n), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					do()
				}
			})
		}
	}
}
