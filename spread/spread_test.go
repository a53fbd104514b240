package spread

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

// TestRightsNeverDoubled guards against two processes using the same right to a cold server's budget.
// Messages are lost, late and duplicated, senders are split over two stewards and stall, periods change, and
// stewards restart without memory under a new life. Stewards are local or remote; with remote ones, some
// senders own a smaller part because their settings differ, and each sender learns of the cold server at its
// own time. All senders together may send no more than the budget and what may have been saved up at the
// start.
func TestRightsNeverDoubled(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const perSecond, span, step = 8.0, 40 * time.Second, 50 * ms
		count := rapid.IntRange(2, 12).Draw(t, "senders")
		loss := rapid.IntRange(0, 60).Draw(t, "loss")
		maxDelay := time.Duration(rapid.IntRange(1, 2500).Draw(t, "slowest")) * ms
		switches := rapid.IntRange(0, 40).Draw(t, "flips")    // changes of steward by a sender, in a thousand steps
		churn := rapid.IntRange(0, 20).Draw(t, "churn")       // changes of a period, in a thousand steps
		restarts := rapid.IntRange(0, 10).Draw(t, "restarts") // restarts of a steward, in a thousand steps
		remote := rapid.Bool().Draw(t, "remote")
		reload := remote && rapid.Bool().Draw(t, "senders differ")
		maxNewsDelay := rapid.IntRange(1, 5000).Draw(t, "news") // until a sender learns of the cold server, in ms
		periods := []time.Duration{100 * ms, 500 * ms, 2 * time.Second}
		rnd := rapid.Custom(func(t *rapid.T) int { return rapid.IntRange(0, 1<<30).Draw(t, "x") })
		seed := uint64(rnd.Draw(t, "seed"))
		draw := func(k int) int { seed = seed*6364136223846793005 + 1442695040888963407; return int(seed>>33) % k }
		type message struct {
			at   Time
			to   int // index of a sender; -1 and -2 are the stewards
			sum  Summary
			view View
		}
		var inFlight []message
		send := func(now Time, m message) {
			for range 1 + draw(2) { // duplicates some messages
				if draw(100) >= loss {
					m.at = now + time.Duration(draw(int(maxDelay)))
					inFlight = append(inFlight, m)
				}
			}
		}
		senders := make([]*State, count)
		offset, stalled, stewardOf, coldKnownAt := make([]Time, count+2), make([]Time, count), make([]int, count), make([]Time, count)
		for i := range senders {
			cfg := Config{Name: fmt.Sprint("a", i), Life: 1, Rank: i, Senders: count}
			if remote {
				cfg.Stewards, coldKnownAt[i] = []string{"w1", "w2"}, time.Duration(draw(maxNewsDelay))*ms
			}
			if reload && i%2 == 1 {
				cfg.Senders = 2 * count
			}
			senders[i] = New(cfg)
			senders[i].UpdateServer("s", true)
		}
		for i := range offset {
			offset[i] = time.Duration(draw(1e9)) * 1000
		}
		stewards, lives := make([]*Steward, 2), []int64{0, 0}
		startSteward := func(w int, now Time) {
			lives[w]++
			cfg := Config{Name: fmt.Sprint("w", w+1), Life: lives[w], Senders: count}
			if stewards[w] = NewRemoteSteward(cfg); !remote {
				stewards[w] = NewSteward(cfg)
				stewards[w].SetColdRate(now+offset[count+w], "s", perSecond)
			}
		}
		startSteward(0, 0)
		startSteward(1, 0)
		sent := 0
		for now := Time(0); now < span; now += step {
			slices.SortStableFunc(inFlight, func(a, b message) int { return int(a.at - b.at) })
			for len(inFlight) > 0 && inFlight[0].at <= now {
				m := inFlight[0]
				inFlight = inFlight[1:]
				if m.to >= 0 {
					senders[m.to].HandleView(now+offset[m.to], m.view)
					continue
				}
				w := -1 - m.to
				if v, ok := stewards[w].HandleSummary(now+offset[count+w], m.sum); ok {
					var to int
					fmt.Sscanf(m.sum.From.Name, "a%d", &to)
					send(now, message{to: to, view: v})
				}
			}
			for w := range stewards {
				if draw(1000) < restarts {
					startSteward(w, now)
				}
			}
			for i := range count + len(stewards) {
				switch p := periods[draw(len(periods))]; {
				case draw(1000) >= churn:
				case i < count:
					senders[i].SetPeriod(p)
				default:
					stewards[i-count].SetPeriod(p)
				}
			}
			for i, sender := range senders {
				if draw(400) == 0 {
					stalled[i] = now + time.Duration(draw(5000))*ms
				}
				if now < stalled[i] {
					continue
				}
				if draw(1000) < switches {
					stewardOf[i] = 1 - stewardOf[i]
				}
				at := now + offset[i]
				if int(now/step)%10 == i%10 {
					sender.demand.average, sender.demand.updatedAt, sender.demand.started = 5, at, true
					send(now, message{to: -1 - stewardOf[i], sum: sender.BuildSummary(at, fmt.Sprint("w", stewardOf[i]+1))})
				}
				if now >= coldKnownAt[i] && sender.MaySendCold(at, "s", at, perSecond, time.Second) {
					sender.RecordSent(at, "s", true)
					sent++
				}
			}
		}
		allowed := perSecond*span.Seconds() + float64(count) + 2*max(1, perSecond/2)
		if float64(sent) > allowed {
			t.Fatalf("%d set-ups to a cold server in %v, %.0f allowed", sent, span, allowed)
		}
	})
}

// TestLevelSharesEvensOutQueues checks that shares even out the queues in proportion to the servers' rates,
// and that a server without a queue is never left out.
func TestLevelSharesEvensOutQueues(t *testing.T) {
	for _, tc := range []struct {
		name        string
		rate, out   []float64
		demand      float64
		want        []float64
		least, most float64
	}{
		{"by rate", []float64{10, 20, 30}, []float64{0, 0, 0}, 30, []float64{5, 10, 15}, 0, 0},
		{"a server with a queue gets less", []float64{10, 10}, []float64{22.5, 2.5}, 12, []float64{0, 12}, 0, 0},
		{"overload is divided by rate", []float64{10, 20}, []float64{0, 0}, 60, []float64{20, 40}, 0, 0},
	} {
		w := NewSteward(Config{Senders: 3})
		var got []float64
		for i, r := range tc.rate {
			j := w.getOrCreate(0, fmt.Sprint(i))
			j.capacity, j.outstanding = r, tc.out[i]
		}
		w.levelShares(0, tc.demand)
		for i := range tc.rate {
			got = append(got, math.Round(w.servers[fmt.Sprint(i)].share*10)/10)
		}
		assert.Equal(t, tc.want, got, tc.name)
	}
}

// TestSetupsFollowWeights guards against many senders choosing the same server at the same time. One sender's
// set-ups must follow the weights, and the first few set-ups of each of many senders must be distributed more
// evenly than independent random draws.
func TestSetupsFollowWeights(t *testing.T) {
	weights := map[string]float64{}
	totalWeight := 0.0
	for i := range 24 {
		weights[fmt.Sprint("s", i)] = float64(1 + i%4)
		totalWeight += float64(1 + i%4)
	}
	allSent := map[string]int{}
	for rank := range 300 {
		s := New(Config{Rank: rank, Senders: 300, Seed: 1})
		for range 7 {
			allSent[sendInPriorityOrder(s, weights)]++
		}
	}
	chi := 0.0
	for id, w := range weights {
		expected := 300 * 7 * w / totalWeight
		chi += (float64(allSent[id]) - expected) * (float64(allSent[id]) - expected) / expected
	}
	assert.Less(t, chi/23, 1.0, "%v", allSent)
	s, sentByOne := New(Config{Senders: 300}), map[string]int{}
	for range 600 {
		sentByOne[sendInPriorityOrder(s, weights)]++
	}
	for id, w := range weights {
		assert.InDelta(t, 600*w/totalWeight, sentByOne[id], 2, id)
	}
}

func sendInPriorityOrder(s *State, weights map[string]float64) (best string) {
	var ids []string
	most := math.Inf(-1)
	for id := range weights {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		if o := s.Priority(0, id, new(ServerRef), weights[id]); o > most {
			best, most = id, o
		}
	}
	s.RecordSent(0, best, true)
	return best
}

// TestStaleViewsAndSilentSteward checks that a sender follows fresh views and ignores an older one. If no
// view arrives for some periods, it goes on alone and sends its summaries to the next steward.
func TestStaleViewsAndSilentSteward(t *testing.T) {
	s := New(Config{Name: "a", Life: 7, Senders: 2})
	s.SetAlive([]string{"a", "b", "c"})
	s.UpdateServer("s", true)
	w := NewSteward(Config{Name: "w", Life: 1, Senders: 2})
	w.UpdateServer(0, "s", true)
	for i := range 4 {
		v, ok := w.HandleSummary(Time(i)*500*ms, s.BuildSummary(Time(i)*500*ms, "w"))
		require.True(t, ok)
		s.HandleView(Time(i)*500*ms, v)
	}
	assert.True(t, s.FollowsView(1500*ms))
	stale := *s.view
	stale.From.Seq--
	stale.Senders = 99
	s.HandleView(1600*ms, stale)
	assert.NotEqual(t, 99, s.view.Senders)
	first := s.CurrentSteward(1600 * ms)
	assert.NotEqual(t, first, s.CurrentSteward(4*time.Second), "the next steward if the first does not answer")
	s.ExpireView(5 * time.Second)
	assert.False(t, s.FollowsView(5*time.Second))
}

// BenchmarkOrder measures one choice among 24 servers.
func BenchmarkOrder(b *testing.B) {
	s := New(Config{Rank: 3, Senders: 300})
	var ids []string
	for i := range 24 {
		ids = append(ids, fmt.Sprint("s", i))
	}
	seats := make([]ServerRef, len(ids))
	b.ReportAllocs()
	for b.Loop() {
		for i, id := range ids {
			s.Priority(0, id, &seats[i], float64(i+1))
		}
		s.RecordSent(0, ids[0], true)
	}
}

// TestExcessShare checks that calls are held back only if the servers together can't take the demand or have
// harmful queues, and not at all if the capacity of a server is unknown.
func TestExcessShare(t *testing.T) {
	for _, tc := range []struct {
		rate, out, demand, want float64
	}{{10, 0, 9, 0}, {10, 6, 10, 0}, {10, 0, 20, 0.5}, {10, 21, 10, 1}, {0, 50, 10, 0}} {
		w := NewSteward(Config{Senders: 3})
		j := w.getOrCreate(0, "s")
		j.capacity, j.outstanding = tc.rate, tc.out
		assert.InDelta(t, tc.want, w.excessShare(tc.demand), 1e-9, "%+v", tc)
	}
}

// TestOutstandingOverAllSenders checks that unanswered set-ups add up over senders when summaries are lost,
// late or duplicated. The set-ups of a sender that dies or restarts are subtracted.
func TestOutstandingOverAllSenders(t *testing.T) {
	w := NewSteward(Config{Name: "w", Life: 1, Senders: 2})
	w.UpdateServer(0, "s", true)
	send := func(now Time, name string, life int64, seq, sent, done uint64) bool {
		_, ok := w.HandleSummary(now, Summary{From: Stamp{name, life, seq}, Counts: []Count{{Server: "s", Sent: sent, Done: done}}})
		return ok
	}
	outstanding := func() float64 { return w.servers["s"].outstanding }
	require.True(t, send(0, "a", 1, 1, 5, 2))
	require.True(t, send(0, "b", 1, 1, 4, 4))
	assert.EqualValues(t, 3, outstanding())
	require.True(t, send(100*ms, "a", 1, 3, 9, 7)) // the second summary is missing
	assert.False(t, send(200*ms, "a", 1, 2, 6, 3), "the second summary arrives late")
	assert.False(t, send(200*ms, "a", 1, 3, 9, 7), "the third summary arrives twice")
	assert.EqualValues(t, 2, outstanding())
	require.True(t, send(300*ms, "a", 1, 4, 1, 0)) // a counter that decreases is ignored
	assert.EqualValues(t, 2, outstanding())
	require.True(t, send(400*ms, "a", 2, 1, 1, 0))
	assert.EqualValues(t, 1, outstanding(), "only the set-ups of the new life count")
	require.True(t, send(5*time.Second, "b", 1, 2, 5, 4))
	assert.EqualValues(t, 1, outstanding(), "sender a has expired")
}

// BenchmarkHear measures a steward's work on one summary, with 300 senders and 24 servers.
func BenchmarkHear(b *testing.B) {
	w := NewSteward(Config{Name: "w", Life: 1, Senders: 300})
	var counts []Count
	for i := range 24 {
		id := fmt.Sprint("s", i)
		w.UpdateServer(0, id, true)
		counts = append(counts, Count{Server: id, Seen: Seen{Lines: 100, Util: 0.7}})
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		for c := range counts {
			counts[c].Sent, counts[c].Done = uint64(i/300), uint64(i/300)
		}
		w.HandleSummary(Time(i)*time.Millisecond, Summary{From: Stamp{fmt.Sprint("a", i%300), 1, uint64(i + 1)}, Demand: 1, Counts: slices.Clone(counts)})
	}
}

// TestAllowanceAndFlowShare checks that a sender's choices follow its part of what a server takes. Answers in
// time refund the allowance, so that an idle server is never closed to a sender; late answers don't.
func TestAllowanceAndFlowShare(t *testing.T) {
	var slow, quick Allowance
	sent := map[*Allowance]int{}
	for i := range 200 { // 10 s with a call every 50 ms and a part of 1/10 of 20 set-ups a second
		now := Time(i) * 50 * ms
		for _, a := range []*Allowance{&slow, &quick} {
			if a.Available(now, 0.1, 20, 0) >= 1 {
				a.Spend()
				a.Refund(a == &quick, 1)
				sent[a]++
			}
		}
	}
	assert.InDelta(t, 10*0.1*20*GrowthFactor, sent[&slow], 2)
	assert.Greater(t, sent[&quick], 180)
	var p FlowShare
	assert.InDelta(t, 0.25/300, p.Of(0, 100, 300), 1e-9, "a sender without calls is not shut out")
	for i := range 300 {
		p.RecordStood(Time(i) * 100 * ms)
	}
	assert.InDelta(t, 0.1, p.Of(30*time.Second, 100, 300), 0.01)
}

// TestFreeLines checks when a server counts as nearly full for all senders together, and the interval between
// free lines.
func TestFreeLines(t *testing.T) {
	l := Lines{Total: 100, Busy: 60, Flow: 6, Hold: 10, ReportedAt: 0}
	assert.False(t, l.NearlyFull(time.Second, ReportInterval(time.Second)))
	l.Busy = 97
	assert.True(t, l.NearlyFull(time.Second, ReportInterval(time.Second)), "all senders may send 1 + 2*sqrt(6) between two reports")
	l.Busy, l.Exhausted = 10, true
	assert.True(t, l.NearlyFull(0, 0), "the server has refused a set-up")
	assert.InDelta(t, float64(30*time.Second), float64(l.FreeInterval(300)), 1e6)
	assert.True(t, math.IsInf(SpareRate(0, 0, 0, 0, 0, 0), 1))
}

// TestLoansAndGrantsWithDifferentPeriods guards against a right that is used twice because sender and steward
// have different or changing periods: a loan lasts by the sender's period, and a grant no longer than its
// steward counts on.
func TestLoansAndGrantsWithDifferentPeriods(t *testing.T) {
	const short, long = 100 * ms, 2 * time.Second
	lendOnce := func(sender, steward time.Duration) (*State, *Steward) { // lends at 10 ms, dated by the view sent at 0
		s := New(Config{Name: "a", Life: 1, Senders: 1, Period: sender})
		w := NewSteward(Config{Name: "w", Life: 1, Senders: 1, Period: steward})
		s.UpdateServer("s", true)
		w.SetColdRate(0, "s", 8)
		for _, now := range []Time{0, 10 * ms} {
			v, ok := w.HandleSummary(now, s.BuildSummary(now, "w"))
			require.True(t, ok)
			s.HandleView(now, v)
		}
		return s, w
	}
	s, w := lendOnce(short, long)
	assert.Zero(t, w.lentShare(10*ms), "the loan ends before a grant of it would")
	assert.False(t, s.rightsLent(500*ms))
	s, w = lendOnce(long, short)
	assert.EqualValues(t, 1, w.lentShare(10*ms))
	s.recordSummary(20*ms, 9)
	s.addGrant(20*ms, s.getOrCreate("s"), 1, 9, short)
	assert.Equal(t, 220*ms, s.getOrCreate("s").grants[0].until, "a grant lasts by the steward's period")
	s.SetPeriod(short)
	assert.True(t, s.rightsLent(7*time.Second), "a loan keeps its duration when the period changes")
}
