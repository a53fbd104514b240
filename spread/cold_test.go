package spread

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestColdBudgetOfAll guards against hundreds of senders overloading a cold server together, each within its
// own small part. Over any window of the configured length, their set-ups must stay within the server's
// budget plus the random excess that operators accept. Demand differs between senders and comes in bursts
// after idle periods, senders learn of the warm-up at different times, and some restart during it without a
// record of what they sent.
func TestColdBudgetOfAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const use, step = 0.4, 20 * ms
		n := rapid.SampledFrom([]int{1, 7, 20, 30, 300}).Draw(t, "senders")
		budget := float64(rapid.IntRange(2, 120).Draw(t, "budget"))
		window := time.Duration(rapid.IntRange(10, 100).Draw(t, "window")) * step
		seed := uint64(rapid.IntRange(0, 1<<30).Draw(t, "seed"))
		draw := func() float64 {
			seed = seed*6364136223846793005 + 1442695040888963407
			return float64(seed>>11) / (1 << 53)
		}
		idle := time.Duration(rapid.IntRange(0, 10).Draw(t, "idle")) * time.Second
		flood := 1 + time.Duration(rapid.IntRange(0, 3000).Draw(t, "flood"))*ms
		restarts := rapid.IntRange(0, 5).Draw(t, "restarts in a thousand")
		late := time.Duration(rapid.IntRange(0, 2000).Draw(t, "late"))
		uneven := rapid.SampledFrom([]float64{1, 10, 100}).Draw(t, "calls are rare by")
		perSecond := use * budget / window.Seconds()
		lasts := time.Duration((1/use - 1) * float64(window))

		senders, knownAt, demand := make([]*State, n), make([]Time, n), make([]float64, n)
		startSender := func(i int, life uint64) {
			senders[i] = New(Config{Rank: i, Senders: n, Seed: life})
			senders[i].StartWarmUp("s")
		}
		const start = Time(1000 * time.Second) // on the clock that all senders share
		for i := range senders {
			startSender(i, 1)
			knownAt[i] = start + time.Duration(draw()*float64(late*ms))
			demand[i] = math.Exp(4*draw()) / uneven // calls in a step; a few senders have many times the mean
		}
		var sent []Time
		for now := start; now < start+30*time.Second; now += step {
			isIdle := (now-start)%(idle+flood) < idle
			for i, s := range senders {
				if int(draw()*1000*50) < restarts {
					startSender(i, uint64(now))
				}
				calls := 0
				if !isIdle && draw() < demand[i] {
					calls = 1 + int(demand[i])
				}
				for range calls {
					if now >= knownAt[i] && s.MaySendCold(now, "s", start, perSecond, lasts) {
						s.SpendCold(now, "s")
						sent = append(sent, now)
					}
				}
			}
		}
		allowed := budget + 2*math.Sqrt(budget) + 2
		for first, last := 0, 0; last < len(sent); last++ {
			for sent[last]-sent[first] >= window {
				first++
			}
			if got := last - first + 1; float64(got) > allowed {
				t.Fatalf("%d senders: %d set-ups in %v from %v, %.0f allowed", n, got, window, sent[first]-start, allowed)
			}
		}
		expected := perSecond * (30 * time.Second).Seconds()
		if idle == 0 && late == 0 && restarts == 0 && slices.Min(demand) >= 1 && float64(len(sent)) < expected-1-perSecond*step.Seconds() {
			t.Fatalf("%d set-ups in 30 s of continuous calls, %.0f expected", len(sent), expected)
		}
	})
}
