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

// fleet plays agents, a control machine's table and its steward in steps of 100 ms.
type fleet struct {
	testLog
	nowUs      int64
	agents     []*fakeAgent
	table      *ReportTable
	controller *StageController
	// outcome is what becomes of an agent that applies a text: "" well, "refuse", "fail" its
	// calls, "crash" for good, "loop" start again every 500 ms, "hang" no answer.
	outcome     func(a *fakeAgent, text string) string
	eachStep    func(f *fleet) // each step
	dropReports bool           // no report comes to the table

	restarts int
}

type fakeAgent struct {
	Agent
	documents     *DocumentSet
	life          int64
	seq           uint64
	calls, failed uint64
	failing, down bool
	restartAtUs   int64 // when it restarts next; 0: not
	restartLoop   bool  // and again 500 ms later
}

const stepUs = 100_000

// newFleet makes a fleet of services with so many agents each, of which all have the text "old".
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

func (f *fleet) run(span time.Duration) {
	for end := f.nowUs + span.Microseconds(); f.nowUs < end; {
		f.nowUs += stepUs
		f.eachStep(f)
		for _, a := range f.agents {
			if !a.down {
				if r := a.tick(f); !f.dropReports {
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

// tick has an agent take what it should have, carry ten calls, and report.
func (a *fakeAgent) tick(f *fleet) Report {
	if a.restartAtUs > 0 && f.nowUs >= a.restartAtUs {
		a.restart(f)
	}
	fresh, err := a.documents.Receive(WatchReply{Version: f.Applied(), Whole: true, Docs: f.DocumentsFor(a.Agent)})
	if err != nil {
		f.t.Fatalf("%s: %v", a.Name, err)
	}
	for _, d := range fresh {
		how := f.outcome(a, string(d.Text))
		if how == "refuse" {
			a.documents.Refuse(d, "line 1: no")
		}
		if how == "refuse" || how == "hang" {
			continue
		}
		a.documents.Accept(d)
		a.failing = how == "fail"
		if a.restartLoop || how == "loop" {
			a.restartLoop, a.restartAtUs = how == "loop", f.nowUs+5*stepUs
		}
		a.down = how == "crash"
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

// restart begins a new life, from what the disk kept.
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

func (f *fleet) agentNamed(name string) *fakeAgent {
	return f.agents[slices.IndexFunc(f.agents, func(a *fakeAgent) bool { return a.Name == name })]
}

// texts tells what agents serve by and how many each: "new 8".
func (f *fleet) texts() string {
	n := map[string]int{}
	for _, a := range f.agents {
		if d, ok := a.documents.Effective("routes"); ok && !a.down {
			n[string(d.Text)]++
		}
	}
	return strings.TrimSuffix(strings.TrimPrefix(fmt.Sprint(n), "map["), "]")
}

func TestStageController(t *testing.T) {
	is := func(how string, bad func(a *fakeAgent) bool) func(*fakeAgent, string) string {
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
		within   time.Duration
		texts    string // after that
		starts   int
		why      string // of a halt
	}{
		{"calm", []int{5, 5}, nil, nil, 1500 * time.Millisecond, "new:10", 1, ""},
		{"services of one, two and three", []int{1, 2, 3}, nil, nil, 1500 * time.Millisecond, "new:6", 1, ""},
		{"refused: halted", []int{5, 5}, is("refuse", all), nil, time.Second, "old:10", 1, "line 1: no"},
		{"refused by one agent: halted", []int{5, 5}, is("refuse", func(a *fakeAgent) bool { return a.Service == "s1" }), nil, time.Second, "old:10", 1, "agent s1-"},
		{"more calls fail: halted", []int{5, 5}, is("fail", all), nil, 2 * time.Second, "old:10", 1, "calls failed since it took it; all of the first stage"},
		{"all agents fail alike: not its fault", []int{5, 5}, nil, once(func(f *fleet) {
			for _, a := range f.agents {
				a.failing = true
			}
			f.outcome = is("fail", all)
		}), 2 * time.Second, "new:10", 1, ""},
		{"a service of one has nobody to compare with", []int{1}, is("fail", all), nil, 2 * time.Second, "new:1", 1, ""},
		{"halted while the next waits: that one goes on", []int{5, 5}, func(a *fakeAgent, text string) string {
			if text == "new" {
				return "refuse"
			}
			return ""
		}, once(put("mended")), 3 * time.Second, "mended:10", 2, "line 1: no"},
		{"halted while the next waits, which is as bad", []int{5, 5}, is("refuse", all), once(put("new2")), 3 * time.Second, "old:10", 2, "line 1: no"},
		{"one first-stage agent restarts", []int{5, 5}, nil, once(func(f *fleet) { f.first()[0].restartAtUs = f.nowUs + 5*stepUs }), 2 * time.Second, "new:10", 1, ""},
		{"all first-stage agents restart, one after another", []int{5, 5}, nil, once(func(f *fleet) {
			for i, a := range f.first() {
				a.restartAtUs = f.nowUs + int64(i+1)*5*stepUs
			}
		}), 3500 * time.Millisecond, "new:10", 1, ""},
		{"one vanishes", []int{5, 5}, nil, once(func(f *fleet) { f.first()[0].down = true }), 4500 * time.Millisecond, "new:9", 1, ""},
		{"all vanish: others are chosen", []int{5, 5}, nil, once(func(f *fleet) {
			for _, a := range f.first() {
				a.down = true
			}
		}), 5500 * time.Millisecond, "new:6", 2, ""},
		{"it kills its agents: halted at the second choice", []int{9}, is("crash", all), nil, 9 * time.Second, "old:5", 2, "was not heard since"},
		{"it has its agents restart again and again", []int{9}, is("loop", all), nil, 8 * time.Second, "old:9", 1, "restarts after it accepted"},
		{"another leads in between", []int{5, 5}, nil, once(func(f *fleet) { f.controller = NewStageController(Defaults) }), 2500 * time.Millisecond, "new:10", 1, ""},
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
		f.run(c.within)
		if got := f.texts(); got != c.texts || f.starts != c.starts || len(f.Open()) > 0 {
			t.Errorf("%s: %s after %v, %d starts, open %v; want %s, %d starts", c.name, got, c.within, f.starts, f.Open(), c.texts, c.starts)
		}
		why := ""
		for _, r := range f.History(routes) {
			if r.Stage == StageHalted {
				why = r.Why
			}
		}
		if strings.Contains(c.name, "restart") && f.restarts == 0 {
			t.Errorf("%s: none did", c.name)
		}
		if (why == "") != (c.why == "") || !strings.Contains(why, c.why) {
			t.Errorf("%s: halted %q, want %q", c.name, why, c.why)
		}
	}
}

// TestNoReports: with no report a revision goes everywhere at once, but a steward that was
// asked for the first time waits a Patience for agents that its machine has not heard yet.
func TestNoReports(t *testing.T) {
	f := newFleet(t, 3)
	f.dropReports, f.controller = true, NewStageController(Defaults)
	f.table.Expire(f.nowUs + 1)
	f.put(routes, "new")
	if f.run(Defaults.Patience); f.texts() != "old:3" || f.starts != 0 {
		t.Errorf("%s, %d starts in a Patience", f.texts(), f.starts)
	}
	if f.run(3 * stepUs * time.Microsecond); f.texts() != "new:3" {
		t.Errorf("%s after it", f.texts())
	}
	f.put(routes, "newer")
	if f.run(3 * stepUs * time.Microsecond); f.texts() != "newer:3" || f.starts != 2 {
		t.Errorf("%s, %d starts", f.texts(), f.starts)
	}
}

// TestConcurrentPuts: ten changes within a second, of two authors of whom one always looks too early,
// cost two stages; of two puts on one base one is refused, naming the other.
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
			t.Fatal("not everywhere after 5 s")
		}
	}
	f.run(2 * stepUs * time.Microsecond)
	if f.texts() != "new10:10" || f.starts != 2 || conflicts != 10 {
		t.Errorf("%s, %d starts, %d conflicts", f.texts(), f.starts, conflicts)
	}
}

// TestRefusedEverywhere: who refuses a revision that is everywhere keeps the last known good,
// and operators see who, why, and where.
func TestRefusedEverywhere(t *testing.T) {
	f := newFleet(t, 6)
	f.put(routes, "new")
	f.run(stepUs * time.Microsecond)
	first := f.first()
	var odd *fakeAgent
	for _, a := range f.agents {
		if !slices.Contains(first, a) {
			odd = a
		}
	}
	f.outcome = func(a *fakeAgent, text string) string {
		if a == odd {
			return "refuse"
		}
		return ""
	}
	cover := func() Coverage {
		return ComputeCoverage(f.State, routes, f.table.Reports(), f.nowUs, Defaults.Fresh.Microseconds())
	}
	var late []string
	for _, a := range first {
		late = append(late, a.Name)
	}
	if c := cover(); c.Stage != StageFirst || c.Agents != 6 || c.InForce != 0 || !slices.Equal(c.Behind, late) {
		t.Errorf("at its first stage, before agents took it: %+v, first %v", c, late)
	}
	f.run(2 * time.Second)
	if f.texts() != "new:5 old:1" {
		t.Error(f.texts())
	}
	c := cover()
	if c.Stage != StageEverywhere || c.Agents != 6 || c.InForce != 5 || len(c.Behind)+len(c.OutOfReach) > 0 || len(c.Refused) != 1 ||
		c.Refused[0].Agent != odd.Name || c.Refused[0].Why != "line 1: no" || c.Refused[0].Revision != c.Revision {
		t.Errorf("%+v", c)
	}
	for zone, got := range c.Zones {
		want := ZoneCoverage{3, 3}
		if zone == odd.Zone {
			want.InForce = 2
		}
		if got != want {
			t.Errorf("zone %s: %+v", zone, got)
		}
	}
	// A narrower document shadows it: what lies beneath counts where it was accepted.
	f.outcome = func(*fakeAgent, string) string { return "" }
	f.putEverywhere(byZone, "zonal")
	f.putEverywhere(routes, "newer")
	gone := f.agents[0]
	gone.down = true
	f.run(Defaults.Fresh + 2*stepUs*time.Microsecond)
	if f.texts() != "newer:2 zonal:3" {
		t.Error(f.texts())
	}
	if c := cover(); c.InForce != 5 || c.Agents != 6 || !slices.Equal(c.OutOfReach, []string{gone.Name}) || len(c.Refused)+len(c.Behind) > 0 {
		t.Errorf("%+v", c)
	}
	if c := ComputeCoverage(f.State, Name{"spread", Scope{Level: LevelAll}}, f.table.Reports(), f.nowUs, 1); c.Revision != 0 || c.Agents != 0 {
		t.Errorf("of no document: %+v", c)
	}
}

// TestWorseThanBefore: agents that fail half their calls with a revision halt it, but not where
// they did so before.
func TestWorseThanBefore(t *testing.T) {
	for before, want := range map[uint64]string{0: "old:10", 125: "new:10"} {
		probe := newFleet(t, 5, 5)
		probe.put(routes, "new")
		probe.run(stepUs * time.Microsecond)
		f := newFleet(t, 5, 5) // plays alike: the same agents are chosen
		for _, a := range probe.first() {
			f.agentNamed(a.Name).failed = before // of 250
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

// TestSlowAgent: an agent that is heard but doesn't take the revision holds it up for two Patiences.
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

// TestConverges: whatever agents did, restart, vanish, come back, refuse, and whoever led, 9 s after
// the last of it nothing is open, all have one text, and no text went everywhere that all refuse.
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

// TestPickAgents: how many of each service, and not always the same ones.
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
