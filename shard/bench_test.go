package shard

import (
	"fmt"
	"testing"
)

// BenchmarkOwner looks up the group of a call in a ring of n agents.
func BenchmarkOwner(b *testing.B) {
	for _, n := range []int{10, 27, 100, 300, 730, 1460} {
		b.Run(fmt.Sprintf("agents=%d", n), func(b *testing.B) {
			r, _, err := BuildRing(testAgents(n, 5), 3)
			if err != nil {
				b.Fatal(err)
			}
			all := testCallIDs(512)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.Owner(all[i%len(all)])
			}
		})
	}
}
