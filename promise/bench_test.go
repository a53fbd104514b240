package promise

import (
	"fmt"
	"runtime"
	"testing"
)

// claimAndResolve returns the log entries of a call's claim and resolution.
func claimAndResolve(i int) (claim, resolve []byte) {
	call, token := fmt.Sprintf("%016x", i), fmt.Sprintf("agent%d/1/%d", i%300, i)
	at := int64(i) * 1000
	return Encode(Entry{Op: OpClaim, Call: call, AtUs: at, Token: token, Ring: 1}),
		Encode(Entry{Op: OpResolve, Call: call, AtUs: at, Token: token, Answer: AnswerServed, Server: "server12.example:5060",
			Description: make([]byte, 200)})
}

// BenchmarkCall applies a call's claim and resolution to a state that already holds the given number of
// calls.
func BenchmarkCall(b *testing.B) {
	for _, held := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			s, index := New(), uint64(0)
			apply := func(data []byte) {
				index++
				if _, err := s.Apply(index, data); err != nil {
					b.Fatal(err)
				}
			}
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			for i := range held {
				claim, resolve := claimAndResolve(i)
				apply(claim)
				apply(resolve)
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			var claims, resolves [][]byte
			for i := range 1024 {
				claim, resolve := claimAndResolve(held + i)
				claims, resolves = append(claims, claim), append(resolves, resolve)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				apply(claims[i%1024])
				apply(resolves[i%1024])
				if i%1024 == 1023 { // restore the number of held calls
					b.StopTimer()
					for j := range 1024 {
						s.removeCall(fmt.Sprintf("%016x", held+j))
					}
					b.StartTimer()
				}
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(held), "heap-bytes/call")
			b.ReportMetric(float64(len(claims[0])+len(resolves[0])), "log-bytes/call")
			runtime.KeepAlive(s)
		})
	}
}

// removeCall removes a call, so that a benchmark can repeat it.
func (s *State) removeCall(call string) {
	delete(s.claims, call)
	delete(s.calls, call)
}
