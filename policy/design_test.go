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

// deliverReport delivers a server's report with the end of a call that this gateway does not know.
func (b *harness) deliverReport(server string, r Report) {
	b.handle(Ended{ID: "elsewhere", Server: server, Result: OK, Report: r})
}

// TestOptimumAndRescaleB checks Berger's optimum and the formula of the DESIGN page for b.
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

// TestReportKinds checks what each kind of report, and an empty or invalid one, makes of b.
func TestReportKinds(t *testing.T) {
	for _, tc := range []struct {
		name string
		set  func(*Report)
		want func(b float64) bool
	}{
		{"util over 1", func(r *Report) { r.Utilisation = 1.5 },
			func(b float64) bool { return b > 0.3 && b < 0.5 }},
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
		{"negative", func(r *Report) { r.Utilisation, r.RefuseShare = -3, -0.5 },
			func(b float64) bool { return b == 0 }},
	} {
		b := newHarness(t, testSettings(), upServers(1)...)
		b.advance(500 * ms)
		b.deliverReport("10.0.0.0:1", report(tc.set))
		if got := b.c.servers[0].b; !tc.want(got) {
			t.Errorf("%s: b = %v", tc.name, got)
		}
	}
}

// TestZeroWaitOpensServer guards against a server that stays blocked: a capacity measured while it ran
// slow must not count once its reports show that nothing waits there.
func TestZeroWaitOpensServer(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity, s.flow, s.busyLines, s.totalLines = 5, 20, 100, 1000
	b.c.setB(s, 0.5)
	b.deliverReport(s.ID, report(func(r *Report) { r.WaitSeconds = 0 }))
	if s.b != 0 {
		t.Errorf("b = %v at an idle server", s.b)
	}
}

// TestFullCountsOncePerInterval checks that a server's full answers raise b once in 200 ms, and that
// calls avoid the server meanwhile.
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
			t.Error("call sent to a server that has just answered full")
		}
	}
	b.now += 200 * ms
	b.c.now = b.now
	b.c.handleFull(s, 0)
	if s.b <= once {
		t.Errorf("b = %v after another full 250 ms later", s.b)
	}
}

// TestBHalvesWithoutReports checks that b halves after a second without reports, or after three report
// intervals if that is longer.
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

// TestBSettlesOnLateReports feeds late, repeated and noisy reports of a steady overload. b must settle
// near the value of the formula and must not oscillate between open and closed.
func TestBSettlesOnLateReports(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity = 20
	const load, late = 1.6, 40 // offered load over capacity; delay of reports in steps of 10 ms
	var past []float64
	least, most := 1.0, 0.0
	for i := range 3000 {
		b.now += 10 * ms
		past = append(past, s.b)
		if i%5 == 0 && i > late { // each figure is reported several times before the next
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
		t.Errorf("b ranges from %.2f to %.2f at a steady load, want about %.2f", least, most, want)
	}
}

// TestQueueReportedInStall checks that a queue reported during a stall raises b by a step and not to
// its bound, and that the short queue after it does not make b negative.
func TestQueueReportedInStall(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	s := b.c.servers[0]
	s.capacity = 20
	for i := range 5 {
		b.now += 100 * ms
		b.deliverReport(s.ID, report(func(r *Report) { r.QueueLength = float64(30 + i) }))
	}
	if s.b > 0.3 {
		t.Errorf("b rose to %v in half a second of stall", s.b)
	}
	b.now += 300 * ms
	b.deliverReport(s.ID, report(func(r *Report) { r.QueueLength = 4 }))
	if s.b < 0 || s.b > 0.3 {
		t.Errorf("b = %v after the stall", s.b)
	}
}

// TestChooseServer checks that a call goes to its first choice, else to the allowed server with the
// fewest unanswered set-ups.
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
	if got := to(b.handle(Arrival{ID: "1", Class: "look", TimeLeft: time.Second,
		Pool: 1})); got != "10.0.0.1:1" {
		t.Errorf("first choice 1 went to %s", got)
	}
	if got := to(b.handle(Arrival{ID: "2", Class: "look", TimeLeft: time.Second,
		Pool: 1})); got != "10.0.0.0:1" {
		t.Errorf("with server 1 in use, sent to %s", got)
	}
	if got := to(b.handle(Arrival{ID: "3", Class: "only", TimeLeft: time.Second,
		Pool: 1})); got != "10.0.0.2:1" {
		t.Errorf("class that only server 2 may take sent to %s", got)
	}
}

// TestLeastWorthFirst checks that the mean share refused is b, and that it falls on the class of least
// worth.
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
		t.Errorf("%d calls of most worth refused while others were sent", refused["hold"])
	}
	if share := float64(refused["look"]) / 4000; math.Abs(share-0.3) > 0.03 {
		t.Errorf("%.2f of the calls refused at b = 0.3", share)
	}
}

// TestBusyNumber checks that calls to a number whose lines are all busy are held off, and that no
// server is blamed for them.
func TestBusyNumber(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(1)...)
	b.handle(Arrival{ID: "1", Class: "look", TimeLeft: 3 * time.Second, Number: "hot"})
	b.now += 30 * ms
	if out := b.handle(Ended{ID: "1", Server: "10.0.0.0:1", Result: Busy,
		Report: EmptyReport()}); len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("call to a busy number not refused at once: %v", out)
	}
	if out := b.handle(Arrival{ID: "2", Class: "look", TimeLeft: 3 * time.Second,
		Number: "hot"}); len(actionsOf[Refuse](out)) != 1 {
		t.Errorf("next call to the busy number not refused: %v", out)
	}
	if out := b.handle(Arrival{ID: "3", Class: "look", TimeLeft: 3 * time.Second,
		Number: "other"}); len(actionsOf[Send](out)) != 1 {
		t.Errorf("call to another number not sent: %v", out)
	}
}

// TestNoLines checks that a call passes over a server without a free line, and that this neither
// raises b nor makes the server suspect.
func TestNoLines(t *testing.T) {
	b := newHarness(t, testSettings(), upServers(2)...)
	b.c.retryBudget = 1
	b.call("1")
	b.now += 30 * ms
	out := b.handle(Ended{ID: "1", Server: "10.0.0.0:1", Result: NoLines, Report: EmptyReport()})
	if s := actionsOf[Send](out); len(s) != 1 || s[0].Server != "10.0.0.1:1" {
		t.Errorf("call not sent to the other server at once: %v", out)
	}
	s := b.c.servers[0]
	if s.b != 0 || s.suspect {
		t.Errorf("b = %v, suspect %v", s.b, s.suspect)
	}
	if s.window > 1 || b.c.open(s) {
		t.Errorf("window %v, open %v just after the last line was taken", s.window, b.c.open(s))
	}
}

// TestFullServerReopensAsLinesFree guards against an idle server: with many lines and short calls a
// full server has free lines again within milliseconds, but was closed for 200 ms and limited to a
// window of one.
func TestFullServerReopensAsLinesFree(t *testing.T) {
	set := testSettings()
	set.Classes[0].Hold = 100 * ms
	b := newHarness(t, set, upServers(1)...)
	s := b.c.servers[0]
	s.totalLines, s.window, s.meanDelay, b.c.meanHoldSeconds = 400, 20, 12*ms, 0.1
	b.call("1")
	b.now += 10 * ms
	if sent := actionsOf[Send](b.handle(Ended{ID: "1", Server: s.ID, Result: NoLines,
		Report: EmptyReport()})); len(sent) > 0 {
		t.Error("sent again before a line can be free")
	}
	if sent := actionsOf[Send](b.advance(30 * ms)); len(sent) != 1 || s.window < 10 || s.window >= 20 {
		t.Errorf("sent %v, window %v when a line becomes free each ms for this sender", sent, s.window)
	}
}

// TestSilentServer checks that a server that stops answering is detected by the age of its set-ups and
// gets single trials, and that its window grows from 1 when it answers again.
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
		t.Errorf("suspect %v, window %v after an answer", s.suspect, s.window)
	}
}

// TestCountServers checks the numbers of listed servers and of those among them that get no calls.
func TestCountServers(t *testing.T) {
	servers := upServers(4)
	servers[1].State, servers[2].State = Draining, Gone
	b := newHarness(t, testSettings(), servers...)
	b.c.servers[3].suspect = true
	if listed, avoided := b.c.CountServers(); listed != 3 || avoided != 2 {
		t.Errorf("%d listed, %d avoided; want 3 and 2", listed, avoided)
	}
}

// TestOvertakenSetUpIsCancelled checks that a set-up is cancelled in time for another attempt when a
// later one was answered first, and that its server stays trusted.
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
		t.Fatalf("cancelled: %v", off)
	}
	b.handle(Ended{ID: "lost", Server: s.ID, Result: Cancelled, Report: EmptyReport()})
	if again := actionsOf[Send](b.advance(290 * ms)); len(again) != 0 {
		t.Errorf("sent again before the retry delay: %v", again)
	}
	if again := actionsOf[Send](b.advance(50 * ms)); len(again) != 1 {
		t.Errorf("not sent again: %v", again)
	}
	if s.suspect {
		t.Error("one lost set-up among answers made the server suspect")
	}
}

// TestLateAnswerAloneIsNoQueue checks that an answer that comes after that of a later set-up does not
// count as a sign of a queue, and that its set-up is cancelled in time for another attempt within the
// aim.
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
		t.Errorf("cancelled within a quarter of the aim: %v", off)
	}
	b.now += 600 * ms
	b.handle(Standing{ID: "late", Server: s.ID}) // it crosses the cancellation
	if s.window < 4 || s.queueWait > 0 || s.meanDelay > 60*ms {
		t.Errorf("after one late answer: window %v, queue %v, delay %v", s.window, s.queueWait, s.meanDelay)
	}
}

// TestJamIsNotARestart guards against treating an overloaded server as restarted: the release of a
// call shows that it is alive although it answers no set-ups, so that its next answer must not start a
// warm-up.
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

// TestColdBudget checks that a cold server never gets more than this sender's share of its budget in
// any window, whatever the demand.
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
		t.Errorf("only %d set-ups in a whole warm-up", len(sends))
	}
	for i, at := range sends {
		n := 0
		for _, other := range sends[i:] {
			if other-at < set.Rules.LoadWindow {
				n++
			}
		}
		age := float64(at-start) / float64(set.Rules.WarmUp)
		part := set.Rules.ColdShare + (1-set.Rules.ColdShare)*min(1, age+0.2)
		budget := set.Rules.CollapseLoad * part * 20 * set.Rules.LoadWindow.Seconds() / float64(set.Senders)
		if float64(n) > max(1, budget) {
			t.Errorf("%d set-ups in the window from %v, budget %.1f", n, at-start, budget)
		}
	}
}

// TestContradictoryReports checks that a report or an answer from a server listed as gone or draining
// does not open it, and that a list that cancels the drain does.
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
		t.Errorf("with the drain cancelled: %v", out)
	}
}

// TestClockStep checks that after a clock step of many seconds overdue calls get their final answer
// with the next event, and that nothing is sent for them.
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

// TestRetryBudget checks that a budget bounds further attempts: if every set-up is refused as full,
// there are hardly more attempts than calls.
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

// TestAllServersCold guards against a site that refuses everything: if all servers are cold and none
// has a measured capacity, as after a restart during a release or with one server that has just
// started, the tenants' allowances give the planned load.
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
			t.Errorf("%s: %d set-ups to the only server in 5 s of its warm-up", tc.name, sent)
		}
	}
}
