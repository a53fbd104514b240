package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// report returns a report with one figure set.
func report(set func(*Report)) Report {
	r := EmptyReport()
	set(&r)
	return r
}

// deliverReport hands a server's report over in the end of a call that this gateway does not know.
func (b *harness) deliverReport(server string, r Report) {
	b.handle(Ended{ID: "elsewhere", Server: server, Result: OK, Report: r})
}

// TestOptimumAndRescaleB checks Berger's optimum and DESIGN's rule for b.
func TestOptimumAndRescaleB(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity = 20
	beta := giveUpRateShare / (1.5 * 20)
	rho := 1 + beta - math.Sqrt(beta*(1+beta))
	for _, tc := range []struct {
		name   string
		old, u float64
		want   float64
	}{
		{"under the optimum", 0, rho / 2, 0},
		{"at the optimum", 0, rho, 0},
		{"full", 0, 1, 1 - rho},
		{"twice the load", 0, 2, 1 - rho/2},
		{"rescaled by the old b", 0.5, 1, 1 - rho/2},
		{"no load", 0.7, 0, 0},
		{"capped", 0.9, 100, maxB},
	} {
		s.b, s.meanB, s.bUpdatedAt = tc.old, tc.old, b.now
		b.c.rescaleB(s, tc.u)
		if math.Abs(s.b-tc.want) > 1e-9 {
			t.Errorf("%s: b = %v, want %v", tc.name, s.b, tc.want)
		}
	}
}

// TestReportKinds checks the reading of each kind of report, and of none.
func TestReportKinds(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*Report)
		want func(b float64) bool
	}{
		{"util over 1", func(r *Report) { r.Utilisation = 1.5 }, func(b float64) bool { return b > 0.3 && b < 0.5 }},
		{"util low", func(r *Report) { r.Utilisation = 0.4 }, func(b float64) bool { return b == 0 }},
		{"queue long", func(r *Report) { r.QueueLength = 400 }, func(b float64) bool { return b > 0 && b < 0.5 }},
		{"queue short", func(r *Report) { r.QueueLength = 2 }, func(b float64) bool { return b == 0 }},
		{"rate under the flow", func(r *Report) { r.AcceptRate, r.FreeLines, r.TotalLines = 2, 0, 100 },
			func(b float64) bool { return b > 0.5 }},
		{"rate over the flow", func(r *Report) { r.AcceptRate, r.FreeLines, r.TotalLines = 50, 100, 200 },
			func(b float64) bool { return b == 0 }},
		{"wait long", func(r *Report) { r.WaitSeconds = 0.8 }, func(b float64) bool { return b > 0.1 && b < 0.5 }},
		{"wait none", func(r *Report) { r.WaitSeconds = 0 }, func(b float64) bool { return b == 0 }},
		{"held back", func(r *Report) { r.RefuseShare = 0.25 }, func(b float64) bool { return b == 0.25 }},
		{"none", func(*Report) {}, func(b float64) bool { return b == 0 }},
		{"NaN", func(r *Report) { r.Utilisation = math.NaN() }, func(b float64) bool { return b == 0 }},
		{"infinite", func(r *Report) { r.QueueLength = math.Inf(1) }, func(b float64) bool { return b == 0 }},
		{"negative", func(r *Report) { r.Utilisation, r.RefuseShare = -3, -0.5 }, func(b float64) bool { return b == 0 }},
	} {
		b := newHarness(t, testSettings(), upServers(1)...)
		b.advance(500 * ms)
		b.deliverReport("10.0.0.0:1", report(tc.set))
		if got := b.c.servers[0].b; !tc.want(got) {
			t.Errorf("%s: b = %v", tc.name, got)
		}
	}
}

// TestZeroWaitOpensServer: a capacity that was measured while a server ran slow must not keep it
// shut when its reports tell that nothing waits there any more.
func TestZeroWaitOpensServer(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity, s.flow, s.busyLines, s.totalLines = 5, 20, 100, 1000
	b.c.setB(s, 0.5)
	b.deliverReport(s.ID, report(func(r *Report) { r.WaitSeconds = 0 }))
	if s.b != 0 {
		t.Errorf("b = %v at a server that is idle", s.b)
	}
}

// TestFullCountsOncePerInterval: one 'full' a server in 200 ms moves b, and the server is avoided.
func TestFullCountsOncePerInterval(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(2)...)
	s := b.c.servers[0]
	s.capacity = 20
	b.c.handleFull(s, 0)
	once := s.b
	b.now += 50 * ms
	b.c.now = b.now
	b.c.handleFull(s, 0)
	if s.b != once || once <= 0 {
		t.Errorf("b = %v after one full, %v after a second within 200 ms", once, s.b)
	}
	for _, a := range actionsOf[Send](b.call("a")) {
		if a.Server == s.ID {
			t.Error("a call went to a server just heard full")
		}
	}
	b.now += 200 * ms
	b.c.now = b.now
	b.c.handleFull(s, 0)
	if s.b <= once {
		t.Errorf("b = %v after a full 250 ms later", s.b)
	}
}

// TestBHalvesWithoutReports: b halves after a second without reports, or after three of the intervals
// at which reports reach this sender where those are longer.
func TestBHalvesWithoutReports(t *testing.T) {
	for _, tc := range []struct{ every, lasts time.Duration }{
		{200 * ms, 950 * ms},
		{3 * time.Second, 7500 * ms},
	} {
		b := newHarness(t, testSettings(), upServers(1)...)
		s := b.c.servers[0]
		for i := range 40 {
			b.advance(tc.every)
			b.deliverReport(s.ID, report(func(r *Report) { r.RefuseShare = 0.8 - float64(i%2)/100 }))
		}
		b.deliverReport(s.ID, report(func(r *Report) { r.RefuseShare = 0.8 }))
		b.advance(tc.lasts)
		if s.b < 0.79 {
			t.Errorf("reports every %v: b = %v after %v without one", tc.every, s.b, tc.lasts)
		}
		b.advance(tc.lasts / 2)
		if s.b != 0.4 {
			t.Errorf("reports every %v: b = %v after %v without one", tc.every, s.b, tc.lasts*3/2)
		}
	}
}

// TestBSettlesOnLateReports feeds late, repeated and noisy reports of a steady overload:
// b must settle near what the formula asks, without swinging open or shut.
func TestBSettlesOnLateReports(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity = 20
	const load, late = 1.6, 40 // offered over capacity; steps of 10 ms by which reports are late
	var past []float64
	least, most := 1.0, 0.0
	for i := range 3000 {
		b.now += 10 * ms
		past = append(past, s.b)
		if i%5 == 0 && i > late { // each figure is told several times before the next
			at := (i - late) / 30 * 30
			noise := 1 + 0.05*math.Sin(float64(at))
			b.deliverReport(s.ID, report(func(r *Report) { r.Utilisation = load * (1 - past[at]) * noise }))
		}
		if i > 1500 {
			least, most = min(least, s.b), max(most, s.b)
		}
	}
	want := 1 - b.c.optimalUtilisation(s)/load
	if least < want-0.12 || most > want+0.12 {
		t.Errorf("b goes from %.2f to %.2f at a steady load that asks for %.2f", least, most, want)
	}
}

// TestQueueReportedInStall: a queue read during a stall moves b by a step, not to its cap, and
// the empty queue after it does not throw it open in the negative.
func TestQueueReportedInStall(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity = 20
	for i := range 5 {
		b.now += 100 * ms
		b.deliverReport(s.ID, report(func(r *Report) { r.QueueLength = float64(30 + i) }))
	}
	if s.b > 0.3 {
		t.Errorf("b leapt to %v in half a second of stall", s.b)
	}
	b.now += 300 * ms
	b.deliverReport(s.ID, report(func(r *Report) { r.QueueLength = 4 }))
	if s.b < 0 || s.b > 0.3 {
		t.Errorf("b = %v after the stall", s.b)
	}
}

// TestChooseServer: first choice, else the allowed server with the fewest unanswered set-ups.
func TestChooseServer(t *testing.T) {
	set := testSettings()
	set.Classes = append(set.Classes, Class{Name: "only", Aim: time.Second, Deadline: 9 * time.Second,
		Hold: time.Second, Worth: 1, Pools: []int{2}})
	b := newHarness(t, set, upServers(3)...)
	to := func(a []Action) string {
		if s := actionsOf[Send](a); len(s) == 1 {
			return s[0].Server
		}
		return "nowhere"
	}
	if got := to(b.handle(Arrival{ID: "1", Class: "look", TimeLeft: time.Second, Pool: 1})); got != "10.0.0.1:1" {
		t.Errorf("first choice 1 went to %s", got)
	}
	if got := to(b.handle(Arrival{ID: "2", Class: "look", TimeLeft: time.Second, Pool: 1})); got != "10.0.0.0:1" {
		t.Errorf("with server 1 in use, the companion was %s", got)
	}
	if got := to(b.handle(Arrival{ID: "3", Class: "only", TimeLeft: time.Second, Pool: 1})); got != "10.0.0.2:1" {
		t.Errorf("a class allowed at server 2 only went to %s", got)
	}
}

// TestLeastWorthFirst: the mean share refused is b, spent on the class of least worth.
func TestLeastWorthFirst(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	refused, of := map[string]int{}, map[string]int{}
	for i := range 4000 {
		b.now += 10 * ms
		class := []string{"look", "look", "look", "hold"}[i%4]
		s.b, s.bUpdatedAt, s.reportedAt = 0.3, b.now, b.now
		id := fmt.Sprint(i)
		out := b.handle(Arrival{ID: id, Class: class, TimeLeft: time.Second, Pool: 0})
		of[class]++
		refused[class] += len(actionsOf[Refuse](out))
		for _, a := range actionsOf[Send](out) {
			b.now += ms
			b.handle(Standing{ID: id, Server: a.Server})
		}
	}
	if refused["hold"] > 0 {
		t.Errorf("%d calls of most worth refused while others stood", refused["hold"])
	}
	if share := float64(refused["look"]) / 4000; math.Abs(share-0.3) > 0.03 {
		t.Errorf("%.2f of the calls refused at b = 0.3", share)
	}
}

// TestBusyNumber: calls to a number whose lines are all busy are spaced, and no
// server is blamed for it.
func TestBusyNumber(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	b.handle(Arrival{ID: "1", Class: "look", TimeLeft: 3 * time.Second, Number: "hot"})
	b.now += 30 * ms
	if out := b.handle(Ended{ID: "1", Server: "10.0.0.0:1", Result: Busy, Report: EmptyReport()}); len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("a call to a busy number was not answered at once: %v", out)
	}
	if out := b.handle(Arrival{ID: "2", Class: "look", TimeLeft: 3 * time.Second, Number: "hot"}); len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("the next call to it was not refused: %v", out)
	}
	if out := b.handle(Arrival{ID: "3", Class: "look", TimeLeft: 3 * time.Second, Number: "other"}); len(actionsOf[Send](out)) != 1 {
		t.Errorf("a call to another number was held up: %v", out)
	}
}

// TestNoLines: a server without a free line is passed over without touching b or trust.
func TestNoLines(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(2)...)
	b.c.retryBudget = 1
	b.call("1")
	b.now += 30 * ms
	out := b.handle(Ended{ID: "1", Server: "10.0.0.0:1", Result: NoLines, Report: EmptyReport()})
	if s := actionsOf[Send](out); len(s) != 1 || s[0].Server != "10.0.0.1:1" {
		t.Errorf("the call did not go elsewhere at once: %v", out)
	}
	s := b.c.servers[0]
	if s.b != 0 || s.suspect {
		t.Errorf("b = %v, suspect %v", s.b, s.suspect)
	}
	if s.window > 1 || b.c.open(s) {
		t.Errorf("room %v, open %v just after the last line went", s.window, b.c.open(s))
	}
}

// TestFullServerReopensAsLinesFree: with many lines and short calls a full server has room again within
// milliseconds. Shut for 200 ms and held to one set-up out, it stood idle.
func TestFullServerReopensAsLinesFree(t *testing.T) {
	set := testSettings()
	set.Classes[0].Hold = 100 * ms
	b := newHarness(t, set, upServers(1)...)
	s := b.c.servers[0]
	s.totalLines, s.window, s.meanDelay, b.c.meanHoldSeconds = 400, 20, 12*ms, 0.1
	b.call("1")
	b.now += 10 * ms
	if sent := actionsOf[Send](b.handle(Ended{ID: "1", Server: s.ID, Result: NoLines, Report: EmptyReport()})); len(sent) > 0 {
		t.Error("sent again before a line can have come free")
	}
	if sent := actionsOf[Send](b.advance(30 * ms)); len(sent) != 1 || s.window < 10 || s.window >= 20 {
		t.Errorf("sent %v, room %v when a line comes free each ms for this sender", sent, s.window)
	}
}

// TestSilentServer: a server that stops answering is found by the age of its set-ups
// and gets single trials; when it answers it is taken up again by steps.
func TestSilentServer(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(2)...)
	s := b.c.servers[0]
	b.call("1")
	b.advance(time.Second)
	if !s.suspect {
		t.Fatal("not suspect after a second without an answer")
	}
	sends := 0
	for i := range 200 {
		b.now += 20 * ms
		id := fmt.Sprint("c", i)
		for _, a := range actionsOf[Send](b.call(id)) {
			if a.Server == s.ID {
				sends++
			} else {
				b.handle(Standing{ID: a.ID, Server: a.Server})
			}
		}
	}
	if sends < 1 || sends > 5 {
		t.Errorf("%d set-ups to a silent server in 4 s", sends)
	}
	b.handle(Standing{ID: "1", Server: s.ID})
	if s.suspect || s.window > 1.5 {
		t.Errorf("suspect %v, room %v after an answer", s.suspect, s.window)
	}
}

// TestCountServers: those on the list are counted, and of these the ones that get no calls.
func TestCountServers(t *testing.T) {
	servers := upServers(4)
	servers[1].State, servers[2].State = Draining, Gone
	b := newHarness(t, testSettings(), servers...)
	b.c.servers[3].suspect = true
	if listed, avoided := b.c.CountServers(); listed != 3 || avoided != 2 {
		t.Errorf("%d listed, %d avoided; want 3 and 2", listed, avoided)
	}
}

// TestOvertakenSetUpIsCancelled: a set-up that a later one has overtaken is called off in time for
// another attempt, and its server stays trusted.
func TestOvertakenSetUpIsCancelled(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.baseDelay, s.window = 50*ms, 4
	b.c.retryBudget = 3
	b.call("lost")
	b.now += 20 * ms
	b.call("2")
	b.now += 50 * ms
	b.handle(Standing{ID: "2", Server: s.ID})
	out := b.advance(700 * ms)
	if off := actionsOf[Cancel](out); len(off) != 1 || off[0].ID != "lost" {
		t.Fatalf("called off: %v", off)
	}
	b.handle(Ended{ID: "lost", Server: s.ID, Result: Cancelled, Report: EmptyReport()})
	if again := actionsOf[Send](b.advance(290 * ms)); len(again) != 0 {
		t.Errorf("sent again before the release was awaited: %v", again)
	}
	if again := actionsOf[Send](b.advance(50 * ms)); len(again) != 1 {
		t.Errorf("not sent again: %v", again)
	}
	if s.suspect {
		t.Error("one lost set-up among answers made the server suspect")
	}
}

// TestLateAnswerAloneIsNoQueue: an answer that comes after that of a later set-up was held up alone. It tells
// of no queue, and while it is missing there is time for another attempt within the aim.
func TestLateAnswerAloneIsNoQueue(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.baseDelay, s.meanDelay, s.window = 50*ms, 50*ms, 4
	b.c.retryBudget = 3
	b.call("late")
	b.now += 20 * ms
	b.call("2")
	b.now += 50 * ms
	b.handle(Standing{ID: "2", Server: s.ID})
	if off := actionsOf[Cancel](b.advance(300 * ms)); len(off) != 1 || off[0].ID != "late" {
		t.Errorf("called off within a quarter of the aim: %v", off)
	}
	b.now += 600 * ms
	b.handle(Standing{ID: "late", Server: s.ID}) // it crosses the cancel
	if s.window < 4 || s.queueWait > 0 || s.meanDelay > 60*ms {
		t.Errorf("one answer alone late: room %v, queue %v, delay %v", s.window, s.queueWait, s.meanDelay)
	}
}

// TestJamIsNotARestart: a release from a server that answers no set-ups shows that it
// lives, so that its next answer does not put it under a cold budget.
func TestJamIsNotARestart(t *testing.T) {
	for _, released := range []bool{true, false} {
		b := newHarness(t, testSettings(), upServers(1)...)
		s := b.c.servers[0]
		b.call("old")
		b.now += 50 * ms
		b.handle(Standing{ID: "old", Server: s.ID})
		b.call("1")
		b.advance(5500 * ms)
		if released {
			b.handle(Ended{ID: "old", Server: s.ID, Result: OK, Complete: true, Report: EmptyReport()})
		}
		b.handle(Standing{ID: "1", Server: s.ID})
		if s.cold(b.now) == released {
			t.Errorf("released %v: cold %v", released, s.cold(b.now))
		}
	}
}

// TestColdBudget: whatever the demand, a cold server gets no more than this sender's
// part in every window, and none at once from all senders.
func TestColdBudget(t *testing.T) {
	set := testSettings()
	b := newHarness(t, set, upServers(2)...)
	s := b.c.servers[0]
	s.capacity = 20
	b.handle(ServerList{Servers: []Server{{ID: s.ID, ReadyAt: b.now}}})
	var sends []Time
	start := b.now
	for i := 0; b.now < start+set.Rules.WarmUp-time.Second; i++ {
		b.now += 10 * ms
		for _, a := range actionsOf[Send](b.call(fmt.Sprint(i))) {
			if a.Server == s.ID {
				sends = append(sends, b.now)
			}
			b.handle(Standing{ID: a.ID, Server: a.Server})
		}
	}
	if len(sends) < 5 {
		t.Errorf("only %d set-ups in a whole warming", len(sends))
	}
	for i, at := range sends {
		n := 0
		for _, other := range sends[i:] {
			if other-at < set.Rules.LoadSpan {
				n++
			}
		}
		age := float64(at-start) / float64(set.Rules.WarmUp)
		part := set.Rules.ColdShare + (1-set.Rules.ColdShare)*min(1, age+0.2)
		budget := set.Rules.CollapseLoad * part * 20 * set.Rules.LoadSpan.Seconds() / float64(set.Senders)
		if float64(n) > max(1, budget) {
			t.Errorf("%d set-ups in the window from %v, budget %.1f", n, at-start, budget)
		}
	}
}

// TestContradictoryReports: a report or an answer from a server listed as gone changes
// nothing of that, and a list that takes a drain back opens it again.
func TestContradictoryReports(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	id := "10.0.0.0:1"
	b.handle(ServerList{Servers: []Server{{ID: id, State: Draining}}})
	b.deliverReport(id, report(func(r *Report) { r.Utilisation = 0.1 }))
	b.handle(ReportReceived{Server: id, Solicited: true, Report: EmptyReport()})
	if out := b.call("1"); len(actionsOf[Send](out)) != 0 || len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("with every server draining: %v", out)
	}
	b.handle(ServerList{Whole: true})
	if out := b.call("2"); len(actionsOf[Send](out)) != 0 || len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("with an empty list: %v", out)
	}
	b.handle(ServerList{Servers: upServers(1)})
	if out := b.call("3"); len(actionsOf[Send](out)) != 1 {
		t.Errorf("with the drain taken back: %v", out)
	}
}

// TestClockStep: after a step of many seconds calls past their time get their final
// answer in the next event, and nothing is sent for them.
func TestClockStep(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	b.c.servers[0].closedUntil = b.now + time.Second
	b.call("1")
	b.now += 20 * time.Second
	out := b.handle(Tick{})
	if len(actionsOf[Send](out)) != 0 || len(actionsOf[Refuse](out))+len(actionsOf[Fail](out)) != 1 {
		t.Errorf("after a clock step: %v", out)
	}
}

// TestRetryBudget are bounded by a budget: when every set-up is turned away as
// full, there are hardly more attempts than calls.
func TestRetryBudget(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(3)...)
	calls, attempts := 0, 0
	for b.now < time.Hour+20*time.Second {
		b.now += 20 * ms
		out := b.call(fmt.Sprint(calls))
		calls++
		for len(out) > 0 {
			var next []Action
			for _, a := range actionsOf[Send](out) {
				attempts++
				n := b.c.calls[a.ID].attempts - 1
				next = append(next, b.handle(Ended{ID: a.ID, Attempt: n, Server: a.Server, Result: Full,
					Report: EmptyReport()})...)
			}
			out = next
		}
	}
	if attempts > calls/4 {
		t.Errorf("%d attempts of %d calls at servers that are all full", attempts, calls)
	}
}

// TestAllServersCold: where no server's capacity was measured yet, as after a restart in the middle of a
// release, or at a site with one server that has just started, cold ones still get calls: the
// tenants' allowances tell what all servers together are meant to take.
func TestAllServersCold(t *testing.T) {
	for _, tc := range []struct {
		name    string
		tenants []Tenant
		least   int
	}{{"allowances", []Tenant{{Name: "t", Allowance: 40}}, 20}, {"no tenants", nil, 1}} {
		set := testSettings()
		set.Tenants, set.Senders, set.Rank = tc.tenants, 1, 0
		b := newHarness(t, set)
		b.handle(ServerList{Whole: true, Servers: []Server{{ID: "s", ReadyAt: b.now}}})
		sent := 0
		for i := range 500 {
			b.now += 10 * ms
			for _, a := range actionsOf[Send](b.call(fmt.Sprint(i))) {
				sent++
				b.handle(Standing{ID: a.ID, Server: a.Server})
			}
		}
		if sent < tc.least {
			t.Errorf("%s: %d set-ups to the only server in 5 s of its warming", tc.name, sent)
		}
	}
}
