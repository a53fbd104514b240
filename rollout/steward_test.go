package rollout

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// fleet simulates agents, a control machine's table and its controller in steps of 100 ms.
type fleet struct {
	testLog
	nowUs      int64
	agents     []*fakeAgent
	table      *ReportTable
	controller *StageController
	// outcome returns what happens when an agent loads a text: "" success, "refuse", "fail" half of its
	// calls fail, "crash" permanently, "loop" restart every 500 ms, "hang" neither accept nor refuse.
	outcome     func(a *fakeAgent, text string) string
	eachStep    func(f *fleet) // called at each step
	dropReports bool           // reports do not reach the table

	restarts int
}

// fakeAgent is a simulated agent.
type fakeAgent struct {
	Agent
	documents     *DocumentSet
	life          int64
	seq           uint64
	calls, failed uint64
	failing, down bool
	restartAtUs   int64 // time of the next restart; 0: none
	restartLoop   bool  // restart again every 500 ms
}

// stepUs is the length of a simulation step in microseconds.
const stepUs = 100_000

// newFleet returns a fleet with the given number of agents in each service. All agents have the text "old".
func newFleet(t *testing.T, services ...int) *fleet {
	f := &fleet{testLog: testLog{t: t, State: New()}, nowUs: 1e9, table: NewReportTable(), controller: NewStageController(Defaults),
		outcome: func(*fakeAgent, string) string { return "" }, eachStep: func(*fleet) {}}
	for s, n := range services {
		for i := range n {
			a := Agent{Name: fmt.Sprintf("s%d-%d", s, i), Service: fmt.Sprint("s", s), Zone: fmt.Sprint("z", i%2)}
			f.agents = append(f.agents, &fakeAgent{Agent: a, documents: NewDocumentSet(a), life: f.nowUs, calls: 200})
		}
	}
	f.putEverywhere(routes, "old")
	f.run(500 * time.Millisecond)
	f.starts = 0
	return f
}

// run simulates a span of time.
func (f *fleet) run(span time.Duration) {
	for end := f.nowUs + span.Microseconds(); f.nowUs < end; {
		f.nowUs += stepUs
		f.eachStep(f)
		for _, agent := range f.agents {
			if !agent.down {
				if r := agent.tick(f); !f.dropReports {
					f.table.Update(r, f.nowUs)
				}
			}
		}
		for _, e := range f.controller.Decide(f.State, f.table.Reports(), f.nowUs) {
			if _, err := f.tryApply(e); err != nil {
				f.t.Fatalf("%+v: %v", e, err)
			}
		}
	}
}

// tick lets an agent receive its documents, handle ten calls and report.
func (a *fakeAgent) tick(f *fleet) Report {
	if a.restartAtUs > 0 && f.nowUs >= a.restartAtUs {
		a.restart(f)
	}
	newDocs, err := a.documents.Receive(WatchReply{Version: f.Applied(), Whole: true, Docs: f.DocumentsFor(a.Agent)})
	if err != nil {
		f.t.Fatalf("%s: %v", a.Name, err)
	}
	for _, d := range newDocs {
		outcome := f.outcome(a, string(d.Text))
		if outcome == "refuse" {
			a.documents.Refuse(d, "line 1: no")
		}
		if outcome == "refuse" || outcome == "hang" {
			continue
		}
		a.documents.Accept(d)
		a.failing = outcome == "fail"
		if a.restartLoop || outcome == "loop" {
			a.restartLoop, a.restartAtUs = outcome == "loop", f.nowUs+5*stepUs
		}
		a.down = outcome == "crash"
	}
	a.calls += 10
	if a.failing {
		a.failed += 5
	}
	a.seq++
	r := Report{Agent: a.Agent, Life: a.life, Seq: a.seq, Calls: a.calls, Failed: a.failed, InForce: map[string]uint64{}}
	r.Seen, r.Refused = a.documents.Report()
	if d, ok := a.documents.Effective("routes"); ok {
		r.InForce["routes"] = d.Revision
	}
	return r
}

// restart starts a new life of the agent with its stored documents.
func (a *fakeAgent) restart(f *fleet) {
	held, err := DecodeDocumentSet(a.Agent, a.documents.Bytes())
	if err != nil {
		f.t.Fatalf("%s: %v", a.Name, err)
	}
	a.documents, a.life, a.seq, a.calls, a.failed, a.restartAtUs = held, f.nowUs, 0, 0, 0, 0
	if a.restartLoop {
		a.restartAtUs = f.nowUs + 5*stepUs
	}
	f.restarts++
}

// first returns the agents of the open first stage.
func (f *fleet) first() (out []*fakeAgent) {
	for _, a := range f.agents {
		if f.InFirstStage(a.Agent) {
			out = append(out, a)
		}
	}
	return out
}

// agentNamed returns the agent with a name.
func (f *fleet) agentNamed(name string) *fakeAgent {
	return f.agents[slices.IndexFunc(f.agents, func(a *fakeAgent) bool { return a.Name == name })]
}

// texts returns the texts in force with the number of agents: "new:8 old:2".
func (f *fleet) texts() string {
	n := map[string]int{}
	for _, a := range f.agents {
		if d, ok := a.documents.Effective("routes"); ok && !a.down {
			n[string(d.Text)]++
		}
	}
	return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(n), "map["), "]")
}

// TestStageController checks the outcome of rollouts in which agents refuse the revision, fail calls, crash,
// restart or stop reporting.
func TestStageController(t *testing.T) {
	whenNew := func(how string, bad func(a *fakeAgent) bool) func(*fakeAgent, string) string {
		return func(a *fakeAgent, text string) string {
			if strings.HasPrefix(text, "new") && bad(a) {
				return how
			}
			return ""
		}
	}
	all := func(*fakeAgent) bool { return true }
	once := func(do func(f *fleet)) func(*fleet) {
		return func(f *fleet) {
			if len(f.first()) > 0 && do != nil {
				do(f)
				do = nil
			}
		}
	}
	put := func(text string) func(f *fleet) { return func(f *fleet) { f.put(routes, text) } }
	cases := []struct {
		name     string
		services []int
		takes    func(*fakeAgent, string) string
		during   func(*fleet)
		span     time.Duration
		texts    string // fleet.texts after that time
		starts   int
		why      string // part of a halt's reason
	}{
		{"no faults", []int{5, 5}, nil, nil, 1500 * time.Millisecond, "new:10", 1, ""},
		{"services of one, two and three", []int{1, 2, 3}, nil, nil, 1500 * time.Millisecond, "new:6", 1, ""},
		{"refused: halted", []int{5, 5}, whenNew("refuse", all), nil, time.Second, "old:10", 1, "line 1: no"},
		{"refused by one agent: halted", []int{5, 5}, whenNew("refuse", func(a *fakeAgent) bool { return a.Service == "s1" }), nil, time.Second, "old:10", 1, "agent s1-"},
		{"more calls fail: halted", []int{5, 5}, whenNew("fail", all), nil, 2 * time.Second, "old:10", 1, "calls failed since it took it; all of the first stage"},
		{"all agents fail the same share of calls: not halted", []int{5, 5}, nil, once(func(f *fleet) {
			for _, a := range f.agents {
				a.failing = true
			}
			f.outcome = whenNew("fail", all)
		}), 2 * time.Second, "new:10", 1, ""},
		{"a service with one agent has no others to compare with", []int{1}, whenNew("fail", all), nil, 2 * time.Second, "new:1", 1, ""},
		{"halted while the next waits: the next one starts", []int{5, 5}, func(a *fakeAgent, text string) string {
			if text == "new" {
				return "refuse"
			}
			return ""
		}, once(put("mended")), 3 * time.Second, "mended:10", 2, "line 1: no"},
		{"halted while the next waits, which is refused too", []int{5, 5}, whenNew("refuse", all), once(put("new2")), 3 * time.Second, "old:10", 2, "line 1: no"},
		{"one first-stage agent restarts", []int{5, 5}, nil, once(func(f *fleet) { f.first()[0].restartAtUs = f.nowUs + 5*stepUs }), 2 * time.Second, "new:10", 1, ""},
		{"all first-stage agents restart, one after another", []int{5, 5}, nil, once(func(f *fleet) {
			for i, a := range f.first() {
				a.restartAtUs = f.nowUs + int64(i+1)*5*stepUs
			}
		}), 3500 * time.Millisecond, "new:10", 1, ""},
		{"one first-stage agent stops reporting", []int{5, 5}, nil, once(func(f *fleet) { f.first()[0].down = true }), 4500 * time.Millisecond, "new:9", 1, ""},
		{"all first-stage agents stop reporting: others are added", []int{5, 5}, nil, once(func(f *fleet) {
			for _, a := range f.first() {
				a.down = true
			}
		}), 5500 * time.Millisecond, "new:6", 2, ""},
		{"agents crash with it: halted after the second selection", []int{9}, whenNew("crash", all), nil, 9 * time.Second, "old:5", 2, "was not heard since"},
		{"agents restart repeatedly with it: halted", []int{9}, whenNew("loop", all), nil, 8 * time.Second, "old:9", 1, "restarts after it accepted"},
		{"the leader changes meanwhile", []int{5, 5}, nil, once(func(f *fleet) { f.controller = NewStageController(Defaults) }), 2500 * time.Millisecond, "new:10", 1, ""},
	}
	for _, c := range cases {
		f := newFleet(t, c.services...)
		if c.takes != nil {
			f.outcome = c.takes
		}
		if c.during != nil {
			f.eachStep = c.during
		}
		f.put(routes, "new")
		f.run(c.span)
		if got := f.texts(); got != c.texts || f.starts != c.starts || len(f.Open()) > 0 {
			t.Errorf("%s: %s after %v, %d starts, open %v; want %s, %d starts", c.name, got, c.span, f.starts, f.Open(), c.texts, c.starts)
		}
		why := ""
		for _, r := range f.History(routes) {
			if r.Stage == StageHalted {
				why = r.Why
			}
		}
		if strings.Contains(c.name, "restart") && f.restarts == 0 {
			t.Errorf("%s: no agent restarted", c.name)
		}
		if (why == "") != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%s: halted %q, want %q", c.name, why, c.why)
		}
	}
}

// TestNoReports checks that without any reports a revision goes to all agents at once, but that a new
// controller first waits a Patience: otherwise a new leader, whose table is still empty, would skip the first
// stage.
func TestNoReports(t *testing.T) {
	f := newFleet(t, 3)
	f.dropReports, f.controller = true, NewStageController(Defaults)
	f.table.Expire(f.nowUs + 1)
	f.put(routes, "new")
	if f.run(Defaults.Patience); f.texts() != "old:3" || f.starts != 0 {
		t.Errorf("%s, %d starts within a Patience", f.texts(), f.starts)
	}
	if f.run(3 * stepUs * time.Microsecond); f.texts() != "new:3" {
		t.Errorf("%s after a Patience", f.texts())
	}
	f.put(routes, "newer")
	if f.run(3 * stepUs * time.Microsecond); f.texts() != "newer:3" || f.starts != 2 {
		t.Errorf("%s, %d starts", f.texts(), f.starts)
	}
}

// TestConcurrentPuts checks that ten changes within a second need only two first stages, because a waiting
// revision is superseded by the next one, and that of two puts with the same base one is refused and names
// the other's author.
func TestConcurrentPuts(t *testing.T) {
	f := newFleet(t, 5, 5)
	began := f.nowUs
	conflicts, n := 0, 0
	f.eachStep = func(f *fleet) {
		if n++; n > 10 {
			return
		}
		head, _ := f.Latest(routes)
		f.mustApply(Entry{Op: OpPut, Name: routes, Base: head.Revision, Text: fmt.Append(nil, "new", n), Author: "anna"})
		_, err := f.tryApply(Entry{Op: OpPut, Name: routes, Base: head.Revision, Text: []byte("other"), Author: "bert"})
		if want := fmt.Sprintf("routes@all is at %d by anna, not at %d", f.Applied()-1, head.Revision); errors.Is(err, ErrConflict) && strings.Contains(err.Error(), want) {
			conflicts++
		}
	}
	for len(f.Open()) > 0 || n < 10 {
		if f.run(stepUs * time.Microsecond); f.nowUs-began > 5e6 {
			t.Fatal("a revision is still open after 5 s")
		}
	}
	f.run(2 * stepUs * time.Microsecond)
	if f.texts() != "new10:10" || f.starts != 2 || conflicts != 10 {
		t.Errorf("%s, %d starts, %d conflicts", f.texts(), f.starts, conflicts)
	}
}

// TestRefusedEverywhere checks that an agent that refuses a revision after its first stage keeps the last
// known good one, and that the coverage names the agent, its reason and its zone.
func TestRefusedEverywhere(t *testing.T) {
	f := newFleet(t, 6)
	f.put(routes, "new")
	f.run(stepUs * time.Microsecond)
	first := f.first()
	var refuser *fakeAgent
	for _, a := range f.agents {
		if !slices.Contains(first, a) {
			refuser = a
		}
	}
	f.outcome = func(a *fakeAgent, text string) string {
		if a == refuser {
			return "refuse"
		}
		return ""
	}
	cover := func() Coverage {
		return ComputeCoverage(f.State, routes, f.table.Reports(), f.nowUs, Defaults.Fresh.Microseconds())
	}
	var behind []string
	for _, a := range first {
		behind = append(behind, a.Name)
	}
	if c := cover(); c.Stage != StageFirst || c.Agents != 6 || c.InForce != 0 || !slices.Equal(c.Behind, behind) {
		t.Errorf("at its first stage, before agents accepted it: %+v, first %v", c, behind)
	}
	f.run(2 * time.Second)
	if f.texts() != "new:5 old:1" {
		t.Error(f.texts())
	}
	c := cover()
	if c.Stage != StageEverywhere || c.Agents != 6 || c.InForce != 5 || len(c.Behind)+len(c.OutOfReach) > 0 || len(c.Refused) != 1 ||
		c.Refused[0].Agent != refuser.Name || c.Refused[0].Why != "line 1: no" || c.Refused[0].Revision != c.Revision {
		t.Errorf("%+v", c)
	}
	for zone, got := range c.Zones {
		want := ZoneCoverage{3, 3}
		if zone == refuser.Zone {
			want.InForce = 2
		}
		if got != want {
			t.Errorf("zone %s: %+v", zone, got)
		}
	}
	// A narrower document hides it in one zone; there it counts as in force if it was accepted.
	f.outcome = func(*fakeAgent, string) string { return "" }
	f.putEverywhere(byZone, "zonal")
	f.putEverywhere(routes, "newer")
	stopped := f.agents[0]
	stopped.down = true
	f.run(Defaults.Fresh + 2*stepUs*time.Microsecond)
	if f.texts() != "newer:2 zonal:3" {
		t.Error(f.texts())
	}
	if c := cover(); c.InForce != 5 || c.Agents != 6 || !slices.Equal(c.OutOfReach, []string{stopped.Name}) || len(c.Refused)+len(c.Behind) > 0 {
		t.Errorf("%+v", c)
	}
	if c := ComputeCoverage(f.State, Name{"spread", Scope{Level: LevelAll}}, f.table.Reports(), f.nowUs, 1); c.Revision != 0 || c.Agents != 0 {
		t.Errorf("coverage of a missing document: %+v", c)
	}
}

// TestWorseThanBefore checks that a revision is halted when its agents fail half of their calls with it, but
// not when they failed as many before.
func TestWorseThanBefore(t *testing.T) {
	for before, want := range map[uint64]string{0: "old:10", 125: "new:10"} {
		probe := newFleet(t, 5, 5)
		probe.put(routes, "new")
		probe.run(stepUs * time.Microsecond)
		f := newFleet(t, 5, 5) // runs identically, so the same agents are selected
		for _, a := range probe.first() {
			f.agentNamed(a.Name).failed = before // of 250 calls
		}
		f.outcome = func(a *fakeAgent, _ string) string {
			if a.failed > 0 || before == 0 && slices.ContainsFunc(f.first(), func(o *fakeAgent) bool { return o == a }) {
				return "fail"
			}
			return ""
		}
		f.put(routes, "new")
		if f.run(2 * time.Second); f.texts() != want {
			t.Errorf("%d failed of 250 before: %s, want %s", before, f.texts(), want)
		}
	}
}

// TestSlowAgent checks that an agent that reports but does not load the revision delays it for two Patiences
// and no longer.
func TestSlowAgent(t *testing.T) {
	f := newFleet(t, 5, 5)
	f.put(routes, "new")
	f.run(stepUs * time.Microsecond)
	slow := f.first()[0]
	f.outcome = func(a *fakeAgent, _ string) string {
		if a == slow {
			return "hang"
		}
		return ""
	}
	if f.run(2 * Defaults.Patience); len(f.Open()) != 1 || f.texts() != "new:3 old:7" {
		t.Errorf("%s, %d open after two Patiences", f.texts(), len(f.Open()))
	}
	if f.run(3 * stepUs * time.Microsecond); len(f.Open()) != 0 || f.texts() != "new:9 old:1" {
		t.Errorf("%s, %d open after that", f.texts(), len(f.Open()))
	}
}

// TestConverges applies random puts, restarts, outages and changes of leader. It checks that 9 s after the
// last event no revision is open, all agents have the same text, and no text that all agents refuse has
// passed its first stage.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := newFleet(t, 2, 4, 5)
		f.outcome = func(a *fakeAgent, text string) string {
			if strings.HasPrefix(text, "bad") {
				return "refuse"
			}
			return ""
		}
		for range rapid.IntRange(1, 25).Draw(rt, "events") {
			a := rapid.SampledFrom(f.agents).Draw(rt, "agent")
			switch rapid.IntRange(0, 6).Draw(rt, "event") {
			case 0, 1:
				f.put(routes, fmt.Sprint(rapid.SampledFrom([]string{"bad", "new"}).Draw(rt, "text"), f.Applied()))
			case 2:
				a.restartAtUs = f.nowUs + 1
			case 3:
				a.down = true
			case 4:
				a.down = false
			case 5:
				f.controller = NewStageController(Defaults)
			}
			f.run(time.Duration(rapid.IntRange(0, 15).Draw(rt, "steps")) * stepUs * time.Microsecond)
		}
		f.run(9 * time.Second)
		for _, a := range f.agents {
			a.down = false
		}
		f.run(2 * stepUs * time.Microsecond)
		if texts := f.texts(); len(f.Open()) > 0 || strings.Contains(texts, " ") || strings.Contains(texts, "bad") {
			rt.Fatalf("%s, open %+v", texts, f.Open())
		}
		for _, r := range f.History(routes) {
			if r.Stage == StageEverywhere && strings.HasPrefix(string(r.Text), "bad") {
				rt.Fatalf("%d is everywhere: %s", r.Revision, r.Text)
			}
		}
	})
}

// TestPickAgents checks the number of selected agents per service, and that different revisions start at
// different agents.
func TestPickAgents(t *testing.T) {
	f := newFleet(t, 1, 2, 3, 30)
	used := map[string]bool{}
	for range 20 {
		f.put(routes, "new")
		f.run(stepUs * time.Microsecond)
		counts := map[string]int{}
		for _, a := range f.first() {
			counts[a.Service]++
			used[a.Name] = true
		}
		if got := fmt.Sprint(counts); got != "map[s0:1 s1:1 s2:2 s3:2]" {
			t.Fatal(got)
		}
		f.run(2 * time.Second)
	}
	if len(used) < 20 {
		t.Errorf("20 first stages used %d of 36 agents", len(used))
	}
}

// TestSettings checks that each invalid setting gives an error that starts with its name in the operators'
// file.
func TestSettings(t *testing.T) {
	if errs := Defaults.Check(); len(errs) > 0 {
		t.Error(errs)
	}
	errs := Settings{Worse: 2, Dwell: -1, Patience: 1}.Check()
	for i, field := range []string{"per_service:", "dwell:", "patience:", "fresh:", "worse:", "least_calls:"} {
		if len(errs) != 6 || !strings.HasPrefix(errs[i].Error(), field) {
			t.Fatal(errs)
		}
	}
}
