package replica_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"woodrouter/internal/replica"
	"woodrouter/promise"
)

// BenchmarkPropose is the commit latency of one promise through three member processes on
// loopback, each behind its links' proxy: p50 and p99 in microseconds, as metrics.
//
//	go test -run - -bench Propose ./internal/replica
func BenchmarkPropose(b *testing.B) {
	for _, delay := range []time.Duration{0, 20 * time.Millisecond} {
		b.Run(fmt.Sprintf("3-members-delay-%v", delay), func(b *testing.B) {
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			g, err := replica.StartGroup(bin, b.TempDir(), 3, 1)
			if err != nil {
				b.Fatal(err)
			}
			defer g.Close()
			if _, err := g.Leader(ctx); err != nil {
				b.Fatal(err)
			}
			for _, from := range g.Names() {
				for _, to := range g.Names() {
					if from < to {
						g.Mesh.Delay(from, to, delay, 0)
					}
				}
			}
			c := g.Client()
			defer c.Close()
			took := make([]time.Duration, 0, b.N)
			b.ResetTimer()
			for i := range b.N {
				t0 := time.Now()
				if _, err := c.Propose(ctx, promise.Entry{Op: promise.OpResolve, Call: fmt.Sprint("b", i),
					Answer: promise.AnswerFailed}); err != nil {
					b.Fatal(err)
				}
				took = append(took, time.Since(t0))
			}
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds()), "p99-us")
		})
	}
}
