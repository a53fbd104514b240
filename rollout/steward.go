package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are how careful a first stage is.
type Settings struct {
	PerService int           // agents of each service in a first stage, 1 to 64
	Dwell      time.Duration // how long an agent must stand with a revision, 0 to 1 min
	Patience   time.Duration // how long an agent that is not heard holds a stage up, above 0, at most Fresh
	Fresh      time.Duration // how old a report may be to count for an agent in reach, at most 1 min
	Worse      float64       // by how much the share of failed calls may be worse, above 0, at most 1
	LeastCalls uint64        // ended on each side before shares are compared, at least 1
}

// Defaults are the settings where none are given.
var Defaults = Settings{PerService: 2, Dwell: time.Second, Patience: 3 * time.Second, Fresh: 5 * time.Second, Worse: 0.05, LeastCalls: 50}

// Check names every field that can't be used, by its name in an operators' file.
func (s Settings) Check() (out []error) {
	bad := func(ok bool, format string, args ...any) {
		if !ok {
			out = append(out, fmt.Errorf(format, args...))
		}
	}
	bad(s.PerService >= 1 && s.PerService <= 64, "per_service: %d outside 1 to 64", s.PerService)
	bad(s.Dwell >= 0 && s.Dwell <= time.Minute, "dwell: %v outside 0s to 1m", s.Dwell)
	bad(s.Patience > 0 && s.Patience <= s.Fresh, "patience: %v is not above 0s and at most fresh, %v", s.Patience, s.Fresh)
	bad(s.Fresh > 0 && s.Fresh <= time.Minute, "fresh: %v is not above 0s and at most 1m", s.Fresh)
	bad(s.Worse > 0 && s.Worse <= 1, "worse: %v is not above 0 and at most 1", s.Worse)
	bad(s.LeastCalls >= 1, "least_calls: 0, at least 1")
	return out
}

// StageController is the leader's decision about stages. What it remembers are the counters of calls
// when a stage began and when its agents took the revision; a new leader's steward takes what
// it finds as the beginning, and the stage lasts a Dwell longer. It is not safe for use by
// several goroutines at once.
type StageController struct {
	settings     Settings
	firstAskedUs int64 // first asked; 0: never
	stages       map[Name]*firstStage
}

// firstStage is what a steward remembers of a first stage.
type firstStage struct {
	revision      uint64
	atStart       map[string]callCounters // of every agent, when the stage began
	atFirstAccept map[string]callCounters // and when the first agent took it; nil: none has
	agents        map[string]*stageAgent
	selections    int // how often this steward has chosen agents
}

type callCounters struct {
	life          int64
	calls, failed uint64
}

// stageAgent is an agent of a first stage.
type stageAgent struct {
	firstSeenUs   int64 // looked at first
	acceptedLives int   // that accepted the revision
	acceptedUs    int64 // the last of them, heard
	atAccept      callCounters
}

// NewStageController returns a steward that was not asked yet. One for a process's life will do, as will
// one for each time it leads.
func NewStageController(s Settings) *StageController {
	return &StageController{settings: s, stages: map[Name]*firstStage{}}
}

// Decide returns what the leader proposes next, given the last report of each agent in any order
// and the time by the clock of their AtUs. It is asked again when what it returned has been
// applied or has failed, when reports change, and at least twice in a Dwell while State.Open has
// any; what is proposed twice does nothing the second time. The cost grows with the agents only
// while something is open.
//
// A waiting revision starts at agents chosen by pick. With nobody heard in its scope it starts
// at none, and goes everywhere with the next decision; a steward asked for the first time waits
// a Patience before it believes that, as its machine's table may be new.
//
// A revision goes everywhere when each agent of its first stage that is within reach has stood:
// it accepted, and was heard again in the same life a Dwell or more later. An agent that was
// not heard for a Patience doesn't hold it up, nor does one that is heard but has not stood
// within two, as long as one has. If all are silent, others are chosen beside them (who may have
// the revision stays in its stage, as its number must not fall); with no others it waits.
//
// It is halted when an agent of its first stage refuses it; when the share of failed calls of
// those that took it, since then, is worse by more than Worse than both their own before the
// stage (over their life until then) and that of the other agents of their services over the
// same time, with LeastCalls or more ended on each of the three sides (with fewer it passes, so
// also in a service of one agent); when all agents of a second choice fell silent too and some of
// all those had accepted; or when agents restart after they accepted so that none has stood
// within two Patiences.
func (w *StageController) Decide(s *State, reports []Report, nowUs int64) (out []Entry) {
	if w.firstAskedUs == 0 {
		w.firstAskedUs = nowUs
	}
	if len(s.open) == 0 {
		clear(w.stages)
		return nil
	}
	for n := range w.stages {
		if !s.open[s.docs[n]] {
			delete(w.stages, n)
		}
	}
	d := decision{controller: w, nowUs: nowUs, reports: reports, byName: make(map[string]*Report, len(reports))}
	for i := range reports {
		d.byName[reports[i].Agent.Name] = &reports[i]
	}
	open := make([]*doc, 0, len(s.open))
	for doc := range s.open {
		open = append(open, doc)
	}
	slices.SortFunc(open, compareKeys)
	for _, doc := range open {
		e := Entry{AtUs: nowUs}
		if doc.first == nil {
			d.startStage(doc, &e)
		} else {
			d.reviewStage(doc, &e)
		}
		if e.Op != "" {
			out = append(out, e)
		}
	}
	return out
}

// decision is one run of Decide.
type decision struct {
	controller *StageController
	nowUs      int64
	reports    []Report
	byName     map[string]*Report
}

func (d *decision) heardWithin(r *Report, span time.Duration) bool {
	return r != nil && d.nowUs-r.AtUs <= span.Microseconds()
}

// warmingUp tells whether the steward was asked so lately that who was not heard may yet be.
func (d *decision) warmingUp() bool {
	return d.nowUs-d.controller.firstAskedUs < d.controller.settings.Patience.Microseconds()
}

// silent tells whether an agent of a first stage was not heard for a Patience while it was in it.
func (d *decision) silent(r *Report, m *stageAgent) bool {
	heard := m.firstSeenUs
	if r != nil {
		heard = max(heard, r.AtUs)
	}
	return d.nowUs-heard > d.controller.settings.Patience.Microseconds()
}

// startStage begins a waiting revision's first stage.
func (d *decision) startStage(doc *doc, e *Entry) {
	first := d.pickAgents(doc, doc.waiting.Revision, nil)
	if len(first) == 0 && d.warmingUp() {
		return
	}
	if t := d.controller.stages[doc.name]; t == nil || t.revision != doc.waiting.Revision {
		d.recordStart(doc.name, doc.waiting.Revision).selections = 1
	}
	e.Op, e.Revision, e.First = OpStart, doc.waiting.Revision, first
}

// recordStart remembers the counters of all agents at the beginning of a first stage.
func (d *decision) recordStart(n Name, revision uint64) *firstStage {
	t := &firstStage{revision: revision, atStart: d.counters(), agents: map[string]*stageAgent{}}
	d.controller.stages[n] = t
	return t
}

func (d *decision) counters() map[string]callCounters {
	out := make(map[string]callCounters, len(d.reports))
	for _, r := range d.reports {
		out[r.Agent.Name] = callCounters{r.Life, r.Calls, r.Failed}
	}
	return out
}

// pickAgents chooses agents of a scope for a first stage, beside those that are in it: of each service
// PerService of those in reach, or half of them, rounded up, where they are no more than that. It
// ranks them by rendezvous hashing of agent and number, so that it is not always the same ones.
func (d *decision) pickAgents(doc *doc, number uint64, in []string) (out []string) {
	type candidate struct {
		name  string
		score uint64
	}
	services := map[string][]candidate{}
	for i := range d.reports {
		r := &d.reports[i]
		_, already := slices.BinarySearch(in, r.Agent.Name)
		if !already && doc.name.Scope.Contains(r.Agent) && isNamePart(r.Agent.Name) && d.heardWithin(r, d.controller.settings.Fresh) {
			score := xxhash.Sum64String(fmt.Sprint(r.Agent.Name, "\x00", number))
			services[r.Agent.Service] = append(services[r.Agent.Service], candidate{r.Agent.Name, score})
		}
	}
	for _, of := range services {
		slices.SortFunc(of, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
		n := d.controller.settings.PerService
		if len(of) <= n {
			n = (len(of) + 1) / 2
		}
		for _, c := range of[:n] {
			out = append(out, c.name)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), MaxFirstAgents)]
}

// reviewStage decides about a revision at its first stage.
func (d *decision) reviewStage(doc *doc, e *Entry) {
	f, s := doc.first, d.controller.settings
	t := d.controller.stages[doc.name]
	if t == nil || t.revision != f.Revision && t.revision != f.Restores {
		t = d.recordStart(doc.name, f.Revision) // another leader started it
		t.selections = 1
	}
	t.revision = f.Revision
	e.Revision = f.Revision
	var stood, pending, expired int
	var again, gone string // agents that restarted, or fell silent, after they accepted
	for _, name := range f.First {
		r := d.byName[name]
		if r != nil && !doc.name.Scope.Contains(r.Agent) {
			continue // it has moved: not its document any more
		}
		if why, no := findRefusal(r, doc.name, f.Revision); no {
			d.halt(e, "agent %s: %s", name, why)
			return
		}
		m := t.observe(d, name, r, doc.key)
		switch {
		case d.silent(r, m):
			if m.acceptedLives > 0 {
				gone = name
			}
		case m.stood(r, s.Dwell):
			stood++
		default:
			pending++
			if d.nowUs-m.firstSeenUs > 2*s.Patience.Microseconds() {
				expired++
			}
			if m.acceptedLives > 1 {
				again = name
			}
		}
	}
	switch {
	case len(f.First) == 0:
		if !d.addAgents(doc, t, e) && !d.warmingUp() {
			e.Op = OpAdvance
		}
	case stood > 0 && d.haltIfWorse(f, t, e):
	case stood > 0 && pending == expired:
		e.Op = OpAdvance
	case stood > 0:
	case pending == 0 && t.selections > 1 && gone != "":
		d.halt(e, "agent %s: accepted it and was not heard since, nor were the others of a second choice", gone)
	case pending == 0:
		d.addAgents(doc, t, e)
	case pending == expired && again != "":
		d.halt(e, "agent %s: restarts after it accepted; no agent stood with it for %v", again, s.Dwell)
	}
}

// addAgents adds agents to a first stage; false: nobody else is in reach.
func (d *decision) addAgents(doc *doc, t *firstStage, e *Entry) bool {
	e.First = d.pickAgents(doc, doc.first.Revision, doc.first.First)
	if len(e.First) == 0 {
		return false
	}
	e.Op = OpStart
	t.selections++
	return true
}

func (d *decision) halt(e *Entry, format string, args ...any) {
	e.Op, e.Why = OpHalt, singleLine(fmt.Sprintf(format, args...), MaxHaltWhyBytes)
}

// observe notes what an agent of a first stage says of the revision; r is nil where it was not heard.
func (t *firstStage) observe(d *decision, name string, r *Report, key string) *stageAgent {
	m := t.agents[name]
	if m == nil {
		m = &stageAgent{firstSeenUs: d.nowUs}
		t.agents[name] = m
	}
	if r != nil && r.Seen[key] >= t.revision && (m.acceptedLives == 0 || m.atAccept.life != r.Life) {
		m.acceptedLives++
		m.acceptedUs, m.atAccept = r.AtUs, callCounters{r.Life, r.Calls, r.Failed}
		if t.atFirstAccept == nil {
			t.atFirstAccept = d.counters()
		}
	}
	return m
}

// stood tells whether an agent was heard again a dwell after it accepted.
func (m *stageAgent) stood(r *Report, dwell time.Duration) bool {
	return r != nil && m.acceptedLives > 0 && m.atAccept.life == r.Life && r.AtUs-m.acceptedUs >= dwell.Microseconds()
}

// findRefusal is an agent's NACK of a revision, in words that fit a line.
func findRefusal(r *Report, n Name, revision uint64) (why string, no bool) {
	if r != nil {
		for _, no := range r.Refused {
			if no.Revision == revision && no.Name == n {
				return singleLine(no.Why, MaxWhyBytes), true
			}
		}
	}
	return "", false
}

// failureRate is how many of some calls failed.
type failureRate struct{ calls, failed uint64 }

func (s *failureRate) add(calls, failed uint64) {
	s.calls += calls
	s.failed += min(failed, calls)
}

// addSince adds what an agent's counters grew by within one life.
func (s *failureRate) addSince(was callCounters, r *Report) bool {
	if r.Life != was.life || r.Calls < was.calls || r.Failed < was.failed {
		return false
	}
	s.add(r.Calls-was.calls, r.Failed-was.failed)
	return true
}

func (s failureRate) value() float64 { return float64(s.failed) / math.Max(1, float64(s.calls)) }

func (s failureRate) String() string { return fmt.Sprintf("%d of %d", s.failed, s.calls) }

// haltIfWorse halts a revision whose agents fail more of their calls than they did, and than others.
func (d *decision) haltIfWorse(f *Revision, t *firstStage, e *Entry) bool {
	var after, before, rest, most failureRate
	services := map[string]bool{}
	name := ""
	for _, a := range f.First {
		r, m := d.byName[a], t.agents[a]
		var own failureRate
		if r == nil || m == nil || m.acceptedLives == 0 || !own.addSince(m.atAccept, r) {
			continue
		}
		after.add(own.calls, own.failed)
		before.add(t.atStart[a].calls, t.atStart[a].failed)
		services[r.Agent.Service] = true
		if name == "" || own.failed > most.failed {
			name, most = a, own
		}
	}
	for i := range d.reports {
		r := &d.reports[i]
		if _, in := slices.BinarySearch(f.First, r.Agent.Name); in || !services[r.Agent.Service] {
			continue
		}
		if was, ok := t.atFirstAccept[r.Agent.Name]; ok {
			rest.addSince(was, r)
		}
	}
	if least := d.controller.settings.LeastCalls; after.calls < least || before.calls < least || rest.calls < least ||
		after.value() <= max(before.value(), rest.value())+d.controller.settings.Worse {
		return false
	}
	d.halt(e, "agent %s: %v calls failed since it took it; all of the first stage %v, before %v, others of their services %v", name, most, after, before, rest)
	return true
}
