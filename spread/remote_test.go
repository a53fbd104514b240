package spread

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const period = DefaultPeriod

// sendSummary sends a steward a sender's counts; named is the number of senders in that sender's settings.
func sendSummary(w *Steward, now Time, name string, named int, counts ...Count) View {
	v, ok := w.HandleSummary(now, Summary{From: Stamp{name, 1, uint64(now/ms) + 1}, Senders: named, Demand: 1, Counts: counts})
	if !ok {
		panic("the summary was ignored")
	}
	return v
}

// TestRemoteStewardAggregatesReports guards against a remote steward trusting a single sender. Five senders
// report the same counts for five periods, then other ones; the cases name what the steward must conclude
// about the server.
func TestRemoteStewardAggregatesReports(t *testing.T) {
	up, no, cold := []Count{{Server: "s"}}, []Count{}, func(x float64) []Count { return []Count{{Server: "s", Cold: x}} }
	down := []Count{{Server: "s", Sent: 2, Done: 1, Down: true}}
	var silent []Count
	for _, tc := range []struct {
		name   string
		rounds [][5][]Count
		up     bool
		cold   float64
		out    float64
	}{
		{"a stale list keeps no dead server", [][5][]Count{{up, up, up, up, up}, {up, no, no, no, no}}, false, 0, 0},
		{"a stale list drops no live server", [][5][]Count{{no, up, up, up, up}}, true, 0, 0},
		{"half of the active senders is not enough", [][5][]Count{{up, up, no, no, silent}}, false, 0, 0},
		{"silent senders do not count", [][5][]Count{{up, up, up, up, up}, {up, no, no, silent, silent}}, false, 0, 0},
		{"unanswered set-ups do not keep a server listed", [][5][]Count{{up, up, up, up, up}, {up, up, down, down, down}}, false, 0, 3},
		{"a server on most lists is up", [][5][]Count{{up, up, up, down, down}}, true, 0, 2},
		{"one sender reports it cold", [][5][]Count{{up, up, cold(4), up, up}}, true, 4, 0},
		{"the smallest cold rate counts", [][5][]Count{{cold(8), up, cold(4), cold(9), up}}, true, 4, 0},
		{"a cold rate that grows", [][5][]Count{{cold(4), cold(8), up, up, up}, {cold(6), cold(8), up, up, up}}, true, 6, 0},
		{"cold reports that end", [][5][]Count{{cold(8), up, cold(4), up, up}, {up, up, up, up, up}}, true, 0, 0},
		{"the cold report of a silent sender", [][5][]Count{{cold(4), cold(8), up, up, up}, {silent, cold(8), up, up, up}}, true, 8, 0},
		{"nobody names it", [][5][]Count{{up, up, up, up, up}, {no, no, no, no, no}}, false, 0, 0},
	} {
		w, now, last := NewRemoteSteward(Config{Name: "w", Life: 1}), Time(0), View{}
		for _, reports := range tc.rounds {
			for range 5 {
				now += period
				for i, counts := range reports {
					if counts != nil {
						last = sendSummary(w, now+Time(i), fmt.Sprint("a", i), 5, counts...)
					}
				}
			}
		}
		last = sendSummary(w, now+period/2, "a1", 5, tc.rounds[len(tc.rounds)-1][1]...) // after the next evaluation
		status := w.Status(now)
		assert.Equal(t, tc.up, len(last.Dues) == 1, tc.name)
		assert.Equal(t, tc.up, status.Servers == 1, tc.name)
		if server := w.servers["s"]; server != nil {
			assert.Equal(t, tc.cold, server.coldRate, tc.name)
			assert.Equal(t, tc.out, server.outstanding, tc.name)
		} else {
			assert.Equal(t, "nobody names it", tc.name)
		}
	}
	w := NewRemoteSteward(Config{Name: "w", Life: 1})
	sendSummary(w, 0, "a", 1, Count{Server: "s", Cold: 8})
	sendSummary(w, ms, "b", 2, Count{Server: "s", Cold: 4})
	assert.EqualValues(t, 4, w.servers["s"].coldRate, "a smaller rate takes effect at once")
}

// TestViewAddsNoServers guards against a steward counting its own information as reports of the senders: a
// view must not add servers to a sender's list, and a sender must not list a server that it knows only as
// draining.
func TestViewAddsNoServers(t *testing.T) {
	s := New(Config{Name: "a", Life: 1, Senders: 2, Stewards: []string{"w"}})
	s.UpdateServer("up", true)
	s.UpdateServer("draining", false)
	s.RecordReport(0, "draining", Seen{Lines: 5, Util: 0.5})
	sum := s.BuildSummary(0, "w")
	require.True(t, s.HandleView(0, View{From: Stamp{"w", 1, 1}, Echo: sum.From, Dues: []Due{{Server: "dead", Share: 3}, {Server: "up", Share: 1}}}))
	sum = s.BuildSummary(period, "w")
	require.Len(t, sum.Counts, 1)
	assert.Equal(t, "up", sum.Counts[0].Server)
	assert.Equal(t, 2, sum.Senders)
	s.RecordSent(period, "up", false)
	s.UpdateServer("up", false)
	assert.True(t, s.BuildSummary(2*period, "w").Counts[0].Down)
}

// TestRemoteStewardWithholdsShares checks that a steward sends no shares while fewer than half of the senders
// are active, nor after a restart until the servers' capacities are learned or enough time to learn them has
// passed. A sender follows the previous shares for as long as they are valid. A single wrong number of
// senders does not silence the steward, but makes lent rights smaller.
func TestRemoteStewardWithholdsShares(t *testing.T) {
	counts := func(i int) []Count {
		return []Count{{Server: "s", Sent: uint64(10 * i), Done: uint64(10 * i), Seen: Seen{Util: 0.5}}, {Server: "t", Seen: Seen{Util: -1, Wait: -1}}}
	}
	for _, tc := range []struct {
		name        string
		active      int
		named       [8]int
		allReport   bool // both servers complete set-ups
		after       time.Duration
		rightParts  int
		sendsShares bool
	}{
		{"too few active senders", 3, [8]int{8, 8, 8, 8, 8, 8, 8, 8}, true, 20 * time.Second, 8, false},
		{"nothing learned", 8, [8]int{8, 8, 8, 8, 8, 8, 8, 8}, false, 4 * time.Second, 8, false},
		{"nothing to be learned", 8, [8]int{8, 8, 8, 8, 8, 8, 8, 8}, false, 6 * time.Second, 8, true},
		{"learned", 8, [8]int{8, 8, 8, 8, 8, 8, 8, 8}, true, 2 * time.Second, 8, true},
		{"one wrong number", 8, [8]int{8, 8, 8, 60000, 8, 8, 8, 8}, true, 2 * time.Second, 60000, true},
		{"settings that change", 8, [8]int{8, 16, 8, 16, 8, 8, 16, 8}, true, 2 * time.Second, 16, true},
	} {
		w, v := NewRemoteSteward(Config{Name: "w", Life: 1}), View{}
		for i := 0; Time(i)*period <= tc.after; i++ {
			for a := range tc.active {
				c := counts(i)
				if tc.allReport {
					c[1] = c[0]
					c[1].Server = "t"
				}
				v = sendSummary(w, Time(i)*period+Time(a), fmt.Sprint("a", a), tc.named[a], c...)
			}
		}
		assert.Equal(t, tc.sendsShares, v.Dues[0].Share > 0, "%s: %+v", tc.name, v)
		assert.Equal(t, !tc.sendsShares, w.Status(tc.after).Unsure, tc.name)
		assert.Equal(t, tc.rightParts, w.rightParts(), tc.name)
	}

	s := New(Config{Name: "a", Life: 1, Senders: 8, Stewards: []string{"w"}})
	s.UpdateServer("s", true)
	handle := func(now Time, life int64, share float64) {
		s.HandleView(now, View{From: Stamp{"w", life, 1}, Echo: s.BuildSummary(now, "w").From, Dues: []Due{{Server: "s", Share: share}}})
		s.ExpireView(now)
	}
	handle(0, 1, 5)
	handle(period, 2, 0)
	assert.True(t, s.FollowsView(period))
	assert.EqualValues(t, 5, s.servers["s"].share, "the shares of the previous life stay valid")
	assert.True(t, s.BuildSummary(period, "w").Lends, "rights are lent to the new life meanwhile")
	next := s.BuildSummary(2*period, "w2")
	s.HandleView(2*period, View{From: Stamp{"w2", 1, 1}, Echo: next.From})
	assert.False(t, s.BuildSummary(2*period, "w2").Lends, "rights are lent to another steward only after they come back")
	handle(4*period, 3, 0)
	assert.False(t, s.FollowsView(4*period))
	assert.Zero(t, s.servers["s"].share)
	assert.NotNil(t, s.view)
}

// TestIdleServerDuty checks that an idle server gets the next call of one sender, and of one more with each
// period. Time in which the steward received no summaries does not count, and a sender that has sent the
// server a set-up since its summary is not asked again.
func TestIdleServerDuty(t *testing.T) {
	w := NewRemoteSteward(Config{Name: "w", Life: 1})
	now, count := Time(0), Count{Server: "s", Seen: Seen{Util: -1, Wait: -1}}
	round := func() (duties int) {
		now += period
		for a := range 20 {
			for _, d := range sendSummary(w, now+Time(a), fmt.Sprint("a", a), 20, count).Dues {
				if d.Duty {
					duties++
				}
			}
		}
		return duties
	}
	var got []int
	for range 16 {
		got = append(got, round())
	}
	assert.Equal(t, []int{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 2, 3, 4}, got)
	now += time.Minute // the steward is unreachable meanwhile
	assert.Zero(t, round())
	w.servers["s"].capacity = 9
	assert.Zero(t, round())
	count.Cold = 3
	now += 2 * period
	assert.Zero(t, round(), "a cold server gets calls by rights only")
	count.Cold = 0
	round()
	assert.NotZero(t, round(), "after all senders report it warm")
	for range 4 {
		now += period
		for a := range 20 {
			v := sendSummary(w, now+Time(a), fmt.Sprint("a", a), 20, Count{Server: "s"}, Count{Server: "new", Down: a > 0})
			assert.Len(t, v.Dues, 1)
		}
	}
	w.servers["new"].capacity = 9
	for a := range 40 { // now listed by all senders, after two seconds on one list
		now += period / 20
		for _, d := range sendSummary(w, now, fmt.Sprint("a", a%20), 20, Count{Server: "s"}, Count{Server: "new"}).Dues {
			assert.True(t, d.Server == "s" || d.Idle < 2*period && !d.Duty, "%+v", d)
		}
	}

	s := New(Config{Name: "a", Life: 1, Senders: 8, Stewards: []string{"w"}})
	s.UpdateServer("s", true)
	asked := s.BuildSummary(0, "w").From
	v := View{From: Stamp{"w", 1, 1}, Echo: asked, Dues: []Due{{Server: "s", Share: 1, Duty: true, Idle: time.Second}}}
	s.HandleView(ms, v)
	require.True(t, math.IsInf(s.Priority(ms, "s", new(ServerRef), 1), 1))
	s.RecordSent(ms, "s", true)
	s.RecordEnd("s", true)
	assert.False(t, math.IsInf(s.Priority(2*ms, "s", new(ServerRef), 1), 1), "once")
	v.From.Seq++
	s.HandleView(3*ms, v)
	assert.False(t, math.IsInf(s.Priority(3*ms, "s", new(ServerRef), 1), 1), "the view answers a summary sent before the call")
}

// TestRemoteStewardChoice checks that services are distributed over the machines and that all senders of a
// service agree on the steward. If the first machine does not answer, they stay with the next and try the
// first periodically.
func TestRemoteStewardChoice(t *testing.T) {
	machines, held := []string{"c1", "c2", "c3", "c4"}, map[string]int{}
	for i := range 27 {
		cfg := Config{Name: "a", Stewards: machines, Service: fmt.Sprintf("svc%02d", i)}
		first := New(cfg).CurrentSteward(time.Hour)
		cfg.Name = "b"
		assert.Equal(t, first, New(cfg).CurrentSteward(time.Minute))
		held[first]++
	}
	assert.Len(t, held, 4, "%v", held)
	local := New(Config{Name: "a", Service: "svc00"})
	local.SetAlive(machines)
	assert.Equal(t, StewardAt(machines, 0), local.CurrentSteward(0), "Service is used only with Stewards")

	s := New(Config{Name: "a", Life: 1, Stewards: machines, Service: "svc00"})
	first, second := s.remoteStewardAt(0), s.remoteStewardAt(1)
	var chosen []int // 0 is the first machine, 1 the next
	seq := uint64(0)
	for i := range 40 {
		now := time.Hour + Time(i)*period
		s.ExpireView(now)
		to := s.CurrentSteward(now)
		require.Contains(t, []string{first, second}, to)
		require.Equal(t, to, s.CurrentSteward(now))
		chosen = append(chosen, map[string]int{first: 0, second: 1}[to])
		sum := s.BuildSummary(now, to)
		if to == first && i >= 5 && i < 25 { // the first machine is down
			continue
		}
		seq++
		s.HandleView(now+ms, View{From: Stamp{to, 1, seq}, Echo: sum.From, Dues: []Due{{Server: "s", Share: 1}}})
		require.True(t, i < 8 || s.FollowsView(now+ms), i)
	}
	assert.Equal(t, []int{0, 0, 0, 0, 0, 0, 0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 0, 1, 1, 1, 1, 1, 1, 1, 0, 1, 1, 1, 1, 1, 1, 1, 0, 0, 0, 0, 0, 0, 0, 0}, chosen)
}

// TestStewardIdle checks that a steward can be dropped only after no summary arrived for long and no right is
// lent.
func TestStewardIdle(t *testing.T) {
	s := New(Config{Name: "a", Life: 1, Senders: 1, Period: maxPeriod, Stewards: []string{"w"}})
	w := NewRemoteSteward(Config{Name: "w", Life: 1})
	for _, now := range []Time{0, ms} {
		v, ok := w.HandleSummary(now, s.BuildSummary(now, "w"))
		require.True(t, ok)
		s.HandleView(now, v)
	}
	assert.Equal(t, 1, w.Senders())
	assert.Equal(t, Status{Senders: 1, Configured: 1, Lent: 1, Unsure: false}, w.Status(ms))
	require.Zero(t, NewRemoteSteward(Config{}).Status(0))
	assert.False(t, w.Idle(maxPeriod), "a right is lent for four minutes")
	assert.True(t, w.Idle(4*maxPeriod+forgetAfter))
	_, ok := w.HandleSummary(2*ms, Summary{From: Stamp{"a", 2, 1}, Senders: 1})
	require.True(t, ok)
	assert.Zero(t, w.Status(2*ms).Lent, "a new life of the sender uses its right itself")

	// A sender changes from a long period to a short one, so it soon counts as silent while its right is
	// still lent for long. Its reports about lists no longer count.
	w = NewRemoteSteward(Config{Name: "w", Life: 1})
	v := sendSummary(w, 0, "a", 2)
	for seq, long := range []time.Duration{maxPeriod, 0} {
		_, ok = w.HandleSummary(ms, Summary{From: Stamp{"a", 1, uint64(2 + seq)}, Echo: v.From, Lends: true, Senders: 2, Period: long})
		require.True(t, ok)
	}
	assert.Len(t, sendSummary(w, 3*time.Second, "b", 2, Count{Server: "s"}).Dues, 1)
	assert.Equal(t, Status{Senders: 1, Configured: 2, Lent: 1, Servers: 1, Demand: 1, Unsure: true}, w.Status(3*time.Second))

	w = NewRemoteSteward(Config{Name: "w", Life: 2})
	sendSummary(w, 3*ms, "b", 2)
	sendSummary(w, 3*ms, "c", 2)
	_, ok = w.HandleSummary(4*ms, s.BuildSummary(4*ms, "w"))
	require.True(t, ok)
	assert.Zero(t, w.Status(4*ms).Lent, "a loan dated by a view of the previous life does not count")
}

// TestFirstCountAddsNoRate guards against a rate that is estimated too high. The set-ups that a sender sent
// before its first count for a server were sent over an unknown time, both if the list arrives late and if
// the server leaves the list and comes back.
func TestFirstCountAddsNoRate(t *testing.T) {
	w := NewSteward(Config{Name: "w", Life: 1, Senders: 30})
	for i := range 8 {
		now := Time(i) * period
		switch i {
		case 2, 5:
			w.SetServers(now, map[string]float64{"s": 0})
		case 4:
			w.SetServers(now, nil)
		}
		for a := range 30 {
			sendSummary(w, now+Time(a), fmt.Sprint("a", a), 30, Count{Server: "s", Sent: 1000, Done: 999, Seen: Seen{Util: 0.5}})
		}
	}
	assert.Zero(t, w.servers["s"].capacity, "nothing was sent all this time")
	assert.EqualValues(t, 30, w.servers["s"].outstanding)
}

// TestSummaryBounds checks that summaries with impossible values are refused with the name of the field.
func TestSummaryBounds(t *testing.T) {
	for want, s := range map[string]Summary{
		"field n": {Senders: -1}, "field n: 65537": {Senders: 65537},
		"field c[0].w: -1": {Counts: []Count{{Server: "s", Cold: -1}}}, "field c[0].w: NaN": {Counts: []Count{{Server: "s", Cold: math.NaN()}}},
		"field c[0].w: 1e+10": {Counts: []Count{{Server: "s", Cold: 1e10}}},
	} {
		s.From = Stamp{"a", 1, 1}
		assert.ErrorContains(t, s.Valid(), want)
	}
	assert.NoError(t, Summary{From: Stamp{"a", 1, 1}, Senders: 65536, Counts: []Count{{Server: "s", Cold: 5, Down: true}}}.Valid())
}

// TestWorkPerSummaryIsBounded checks that the number of senders a steward visits for each summary does not
// grow with their number.
func TestWorkPerSummaryIsBounded(t *testing.T) {
	for _, n := range []int{27, 243} {
		w := NewRemoteSteward(Config{Name: "w", Life: 1})
		for i := range 40 * n {
			now := Time(i) * period / Time(n)
			sendSummary(w, now, fmt.Sprint("a", i%n), n, Count{Server: "s", Sent: uint64(i / n), Done: uint64(i / n)}, Count{Server: "idle"})
		}
		assert.Less(t, float64(w.sendersVisited)/float64(40*n), 6.0, "%d senders", n)
	}
}

// TestStewardMatchesReference checks that the steward's running sums match its senders, and that its views in
// simulated runs with fixed seeds match the reference values taken at commit 162554c, where each view added
// up all senders.
func TestStewardMatchesReference(t *testing.T) {
	for seed, want := range []map[string]float64{
		{"demand": 189263.625, "grant": 96, "hold": 0, "idle": 77.1999999999981, "out": 1.381454e+06, "rate": 1.2076190580001658e+07, "senders": 79757, "share": 889492.1298728046},
		{"demand": 96453.75, "grant": 93, "hold": 0, "idle": 46.549999999999855, "out": 176157, "rate": 801416.8307097264, "senders": 40036, "share": 225922.80912621415},
		{"demand": 67923.625, "grant": 90, "hold": 0, "idle": 60.399999999999444, "out": 186554, "rate": 1.098431602580805e+06, "senders": 27656, "share": 208224.53457274562},
		{"demand": 180832.125, "grant": 93, "hold": 0, "idle": 92.14999999999752, "out": 1.232305e+06, "rate": 1.0855995560438689e+07, "senders": 73401, "share": 862273.7085373894},
		{"demand": 67284.625, "grant": 99, "hold": 11.360252817690418, "idle": 53.54999999999962, "out": 128843, "rate": 457214.4155484845, "senders": 27642, "share": 154827.11444911998},
	} {
		got := simulateTraffic(uint64(seed), func(w *Steward, now Time) {
			demand, lent := 0.0, 0
			for _, n := range w.senders {
				demand += n.latest.Demand
				if n.lentUntil >= now+grantPeriods*w.cfg.period() {
					lent++
				}
			}
			require.InDelta(t, demand, w.demand, 1e-9)
			require.Equal(t, lent, w.lenders(now))
		})
		for what, x := range want {
			assert.InEpsilon(t, x+1, got[what]+1, 1e-6, "seed %d: %s %v", seed, what, got)
		}
	}
}

// simulateTraffic runs 40 s of traffic and returns sums over the steward's views. Senders join, leave and
// restart, summaries and views are lost, rights are lent, and one server is cold for a while.
func simulateTraffic(seed uint64, each func(w *Steward, now Time)) map[string]float64 {
	rng, sum := rand.New(rand.NewPCG(seed, 7)), map[string]float64{}
	senders, servers := 5+rng.IntN(40), 2+rng.IntN(8)
	w := NewSteward(Config{Name: "w", Life: 1, Senders: senders})
	type peer struct {
		from   Stamp
		echo   Stamp
		counts []Count
		away   Time
		period time.Duration
	}
	peers, up := make([]peer, senders), map[string]float64{}
	for i := range servers {
		up[fmt.Sprint("s", i)] = 0
	}
	begin := func(i int, life int64) {
		peers[i] = peer{from: Stamp{fmt.Sprint("a", i), life, 0}, period: []time.Duration{period, 2 * period}[rng.IntN(2)]}
		for k := range servers {
			peers[i].counts = append(peers[i].counts, Count{Server: fmt.Sprint("s", k), Seen: Seen{Lines: float64(50 + 50*k), Util: 0.4, Wait: -1}})
		}
	}
	for i := range peers {
		begin(i, 1)
	}
	for now := Time(0); now < 40*time.Second; now += period / 10 {
		up["s0"] = 0
		if now > 10*time.Second && now < 25*time.Second {
			up["s0"] = 12
		}
		w.SetServers(now, up)
		for i := range peers {
			p := &peers[i]
			if rng.IntN(2000) == 0 {
				p.away = now + time.Duration(rng.IntN(6000))*ms
			}
			if rng.IntN(4000) == 0 {
				begin(i, p.from.Life+1)
			}
			if now < p.away || rng.IntN(int(10*p.period/period)) > 0 {
				continue
			}
			for k := range p.counts {
				c := &p.counts[k]
				c.Sent += uint64(rng.IntN(3 + k))
				c.Done += uint64(rng.IntN(int(c.Sent-c.Done) + 1))
				c.Util, c.Age = 0.4+rng.Float64()/2, time.Duration(rng.IntN(3000))*ms
			}
			p.from.Seq++
			s := Summary{From: p.from, Echo: p.echo, Lends: rng.IntN(4) > 0, Demand: float64(rng.IntN(40)) / 8, Period: p.period}
			s.Counts = append(s.Counts, p.counts...)
			if rng.IntN(10) == 0 { // the summary is lost
				continue
			}
			v, ok := w.HandleSummary(now, s)
			if !ok {
				panic("the summary was ignored")
			}
			if each != nil {
				each(w, now)
			}
			if rng.IntN(10) > 0 {
				p.echo = v.From
			}
			sum["senders"] += float64(v.Senders)
			sum["demand"] += v.Demand
			sum["hold"] += v.Hold
			for k, d := range v.Dues {
				sum["share"] += d.Share * float64(k+1)
				sum["rate"] += d.Rate * float64(k+1)
				sum["out"] += d.Out
				sum["idle"] += d.Idle.Seconds()
				sum["grant"] += float64(d.Grant)
			}
		}
	}
	return sum
}
