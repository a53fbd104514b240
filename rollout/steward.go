package rollout

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Settings are the parameters of a first stage.
type Settings struct {
	PerService int           // agents of each service in a first stage, 1 to 64
	Dwell      time.Duration // how long an agent must run with a revision without a restart, 0 to 1 min
	Patience   time.Duration // how long an agent without reports delays a stage, above 0, at most Fresh
	Fresh      time.Duration // how old the last report of a reachable agent can be, at most 1 min
	Worse      float64       // by how much the share of failed calls may rise, above 0, at most 1
	LeastCalls uint64        // ended calls needed on each side of a comparison, at least 1
}

// Defaults are used when no settings are given.
var Defaults = Settings{PerService: 2, Dwell: time.Second, Patience: 3 * time.Second, Fresh: 5 * time.Second, Worse: 0.05, LeastCalls: 50}

// Check returns one error for each invalid field, with the field's name in the operators' file.
func (s Settings) Check() (errs []error) {
	check := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	check(s.PerService >= 1 && s.PerService <= 64, "per_service: %d outside 1 to 64", s.PerService)
	check(s.Dwell >= 0 && s.Dwell <= time.Minute, "dwell: %v outside 0s to 1m", s.Dwell)
	check(s.Patience > 0 && s.Patience <= s.Fresh, "patience: %v is not above 0s and at most fresh, %v", s.Patience, s.Fresh)
	check(s.Fresh > 0 && s.Fresh <= time.Minute, "fresh: %v is not above 0s and at most 1m", s.Fresh)
	check(s.Worse > 0 && s.Worse <= 1, "worse: %v is not above 0 and at most 1", s.Worse)
	check(s.LeastCalls >= 1, "least_calls: 0, at least 1")
	return errs
}

// StageController makes the leader's decisions about stages. It remembers the call counters at the start of a
// stage and at the time its agents accepted the revision. After a change of leader the new controller uses
// the counters that it finds, so the stage lasts a Dwell longer. It is not safe for concurrent use.
type StageController struct {
	settings     Settings
	firstAskedUs int64 // time of the first Decide; 0: none yet
	stages       map[Name]*firstStage
}

// firstStage is what a StageController remembers of a revision's first stage.
type firstStage struct {
	revision      uint64
	atStart       map[string]callCounters // counters of every agent when the stage began
	atFirstAccept map[string]callCounters // and when the first agent had accepted it; nil: none has
	agents        map[string]*stageAgent
	selections    int // how often this controller has selected agents
}

// callCounters are an agent's call counters within one life.
type callCounters struct {
	life          int64
	calls, failed uint64
}

// stageAgent is what a StageController remembers of an agent of a first stage.
type stageAgent struct {
	firstSeenUs   int64        // time of the first look at the agent
	acceptedLives int          // number of lives in which it accepted the revision
	acceptedUs    int64        // when the report of the last acceptance was received
	atAccept      callCounters // counters in that report
}

// NewStageController returns a new controller. A process can use a single one or a new one each time it
// becomes leader.
func NewStageController(s Settings) *StageController {
	return &StageController{settings: s, stages: map[Name]*firstStage{}}
}

// Decide returns the entries that the leader should propose next, given the last report of each agent in any
// order and the current time by the clock of the reports' AtUs. The leader calls it again when a returned
// entry has been applied or has failed, when reports change, and at least twice per Dwell while State.Open
// has any revisions. Proposing an entry twice has no further effect. The cost is proportional to the number
// of agents while a revision is open, and constant otherwise.
//
// A waiting revision starts at the agents that pickAgents selects. If no agent of its scope is reachable, it
// starts without agents and goes to all agents with the next decision. A new controller waits a Patience
// before it concludes that none is reachable, because its machine may not have received reports yet.
//
// A revision goes to all agents when each reachable agent of its first stage has stood, that is, has accepted
// the revision and reported again in the same life at least a Dwell later. Provided that at least one agent
// has stood, the stage does not wait for agents without a report for a Patience, nor for agents that report
// but have not stood after two Patiences. If no agent of the stage has reported for a Patience, further
// agents are added. The silent ones stay in the stage because they may have the revision, and an agent's
// revision number must not decrease. If there are no further agents, the stage waits.
//
// A revision is halted in any of these cases:
//   - an agent of its first stage refuses it;
//   - since they accepted it, the agents' share of failed calls exceeds two other shares by more than Worse:
//     their own before the stage (over the life in progress at its start), and that of the other agents of
//     their services in the meantime. Each of the three needs at least LeastCalls ended calls, otherwise the
//     check passes; thus it always passes in a service with a single agent;
//   - all agents of the stage stopped reporting, also those of a second selection, and some of them had
//     accepted;
//   - agents restart after they accepted it, so that none has stood within two Patiences.
func (c *StageController) Decide(s *State, reports []Report, nowUs int64) (out []Entry) {
	if c.firstAskedUs == 0 {
		c.firstAskedUs = nowUs
	}
	if len(s.open) == 0 {
		clear(c.stages)
		return nil
	}
	for n := range c.stages {
		if !s.open[s.docs[n]] {
			delete(c.stages, n)
		}
	}
	d := decision{controller: c, nowUs: nowUs, reports: reports, byName: make(map[string]*Report, len(reports))}
	for i := range reports {
		d.byName[reports[i].Agent.Name] = &reports[i]
	}
	open := make([]*doc, 0, len(s.open))
	for doc := range s.open {
		open = append(open, doc)
	}
	slices.SortFunc(open, compareKeys)
	for _, doc := range open {
		entry := Entry{AtUs: nowUs}
		if doc.first == nil {
			d.startStage(doc, &entry)
		} else {
			d.reviewStage(doc, &entry)
		}
		if entry.Op != "" {
			out = append(out, entry)
		}
	}
	return out
}

// decision holds the inputs of one call of Decide.
type decision struct {
	controller *StageController
	nowUs      int64
	reports    []Report
	byName     map[string]*Report
}

// heardWithin reports whether a report was received within a time span before now.
func (d *decision) heardWithin(r *Report, span time.Duration) bool {
	return r != nil && d.nowUs-r.AtUs <= span.Microseconds()
}

// warmingUp reports whether the controller is so new that reports of reachable agents may still be missing.
func (d *decision) warmingUp() bool {
	return d.nowUs-d.controller.firstAskedUs < d.controller.settings.Patience.Microseconds()
}

// silent reports whether an agent has not reported for a Patience while it was in a first stage.
func (d *decision) silent(r *Report, agent *stageAgent) bool {
	lastHeardUs := agent.firstSeenUs
	if r != nil {
		lastHeardUs = max(lastHeardUs, r.AtUs)
	}
	return d.nowUs-lastHeardUs > d.controller.settings.Patience.Microseconds()
}

// startStage proposes the start of a waiting revision's first stage.
func (d *decision) startStage(doc *doc, entry *Entry) {
	first := d.pickAgents(doc, doc.waiting.Revision, nil)
	if len(first) == 0 && d.warmingUp() {
		return
	}
	if stage := d.controller.stages[doc.name]; stage == nil || stage.revision != doc.waiting.Revision {
		d.recordStart(doc.name, doc.waiting.Revision).selections = 1
	}
	entry.Op, entry.Revision, entry.First = OpStart, doc.waiting.Revision, first
}

// recordStart stores the counters of all agents at the start of a first stage.
func (d *decision) recordStart(n Name, revision uint64) *firstStage {
	stage := &firstStage{revision: revision, atStart: d.counters(), agents: map[string]*stageAgent{}}
	d.controller.stages[n] = stage
	return stage
}

// counters returns the current call counters by agent.
func (d *decision) counters() map[string]callCounters {
	out := make(map[string]callCounters, len(d.reports))
	for _, r := range d.reports {
		out[r.Agent.Name] = callCounters{r.Life, r.Calls, r.Failed}
	}
	return out
}

// pickAgents selects agents of a document's scope for a first stage, in addition to those already in it. It
// takes PerService reachable agents of each service, or half of them, rounded up, if there are no more than
// PerService. Agents are ranked by a hash of name and revision number, so that different revisions start at
// different agents.
func (d *decision) pickAgents(doc *doc, number uint64, current []string) (out []string) {
	type candidate struct {
		name  string
		score uint64
	}
	services := map[string][]candidate{}
	for i := range d.reports {
		r := &d.reports[i]
		_, already := slices.BinarySearch(current, r.Agent.Name)
		if !already && doc.name.Scope.Contains(r.Agent) && isNamePart(r.Agent.Name) && d.heardWithin(r, d.controller.settings.Fresh) {
			score := xxhash.Sum64String(fmt.Sprint(r.Agent.Name, "\x00", number))
			services[r.Agent.Service] = append(services[r.Agent.Service], candidate{r.Agent.Name, score})
		}
	}
	for _, candidates := range services {
		slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name)) })
		n := d.controller.settings.PerService
		if len(candidates) <= n {
			n = (len(candidates) + 1) / 2
		}
		for _, c := range candidates[:n] {
			out = append(out, c.name)
		}
	}
	slices.Sort(out)
	return out[:min(len(out), MaxFirstAgents)]
}

// reviewStage decides whether a revision at its first stage advances, is halted or waits.
func (d *decision) reviewStage(doc *doc, entry *Entry) {
	revision, settings := doc.first, d.controller.settings
	stage := d.controller.stages[doc.name]
	if stage == nil || stage.revision != revision.Revision && stage.revision != revision.Restores {
		stage = d.recordStart(doc.name, revision.Revision) // started by another leader
		stage.selections = 1
	}
	stage.revision = revision.Revision
	entry.Revision = revision.Revision
	var stood, pending, expired int
	var restarted, lostAgent string // names of agents that restarted, or stopped reporting, after they accepted
	for _, name := range revision.First {
		report := d.byName[name]
		if report != nil && !doc.name.Scope.Contains(report.Agent) {
			continue // the agent has left the scope
		}
		if why, refused := findRefusal(report, doc.name, revision.Revision); refused {
			d.halt(entry, "agent %s: %s", name, why)
			return
		}
		agent := stage.observe(d, name, report, doc.key)
		switch {
		case d.silent(report, agent):
			if agent.acceptedLives > 0 {
				lostAgent = name
			}
		case agent.stood(report, settings.Dwell):
			stood++
		default:
			pending++
			if d.nowUs-agent.firstSeenUs > 2*settings.Patience.Microseconds() {
				expired++
			}
			if agent.acceptedLives > 1 {
				restarted = name
			}
		}
	}
	switch {
	case len(revision.First) == 0:
		if !d.addAgents(doc, stage, entry) && !d.warmingUp() {
			entry.Op = OpAdvance
		}
	case stood > 0 && d.haltIfWorse(revision, stage, entry):
	case stood > 0 && pending == expired:
		entry.Op = OpAdvance
	case stood > 0:
	case pending == 0 && stage.selections > 1 && lostAgent != "":
		d.halt(entry, "agent %s: accepted it and was not heard since, nor were the others of a second choice", lostAgent)
	case pending == 0:
		d.addAgents(doc, stage, entry)
	case pending == expired && restarted != "":
		d.halt(entry, "agent %s: restarts after it accepted; no agent stood with it for %v", restarted, settings.Dwell)
	}
}

// addAgents proposes further agents for a first stage. It returns false if no other agent is reachable.
func (d *decision) addAgents(doc *doc, stage *firstStage, entry *Entry) bool {
	entry.First = d.pickAgents(doc, doc.first.Revision, doc.first.First)
	if len(entry.First) == 0 {
		return false
	}
	entry.Op = OpStart
	stage.selections++
	return true
}

// halt proposes a halt with the given reason.
func (d *decision) halt(entry *Entry, format string, args ...any) {
	entry.Op, entry.Why = OpHalt, singleLine(fmt.Sprintf(format, args...), MaxHaltWhyBytes)
}

// observe updates and returns the record of an agent of the stage; report is its last one, nil if there is
// none.
func (s *firstStage) observe(d *decision, name string, report *Report, key string) *stageAgent {
	agent := s.agents[name]
	if agent == nil {
		agent = &stageAgent{firstSeenUs: d.nowUs}
		s.agents[name] = agent
	}
	if report != nil && report.Seen[key] >= s.revision && (agent.acceptedLives == 0 || agent.atAccept.life != report.Life) {
		agent.acceptedLives++
		agent.acceptedUs, agent.atAccept = report.AtUs, callCounters{report.Life, report.Calls, report.Failed}
		if s.atFirstAccept == nil {
			s.atFirstAccept = d.counters()
		}
	}
	return agent
}

// stood reports whether an agent has reported a dwell or more after it accepted, without a restart in
// between.
func (agent *stageAgent) stood(report *Report, dwell time.Duration) bool {
	return report != nil && agent.acceptedLives > 0 && agent.atAccept.life == report.Life && report.AtUs-agent.acceptedUs >= dwell.Microseconds()
}

// findRefusal returns the reason of an agent's refusal of a revision, as a single line; false if it did not
// refuse.
func findRefusal(report *Report, n Name, revision uint64) (why string, refused bool) {
	if report != nil {
		for _, no := range report.Refused {
			if no.Revision == revision && no.Name == n {
				return singleLine(no.Why, MaxWhyBytes), true
			}
		}
	}
	return "", false
}

// failureRate counts calls and those of them that failed.
type failureRate struct{ calls, failed uint64 }

// add adds to both counts. A failed count above the number of calls is lowered to it.
func (f *failureRate) add(calls, failed uint64) {
	f.calls += calls
	f.failed += min(failed, calls)
}

// addSince adds the increase of an agent's counters. It returns false if the agent has restarted since.
func (f *failureRate) addSince(was callCounters, r *Report) bool {
	if r.Life != was.life || r.Calls < was.calls || r.Failed < was.failed {
		return false
	}
	f.add(r.Calls-was.calls, r.Failed-was.failed)
	return true
}

// value returns the share of failed calls, 0 if there were none.
func (f failureRate) value() float64 { return float64(f.failed) / math.Max(1, float64(f.calls)) }

// String returns "FAILED of CALLS".
func (f failureRate) String() string { return fmt.Sprintf("%d of %d", f.failed, f.calls) }

// haltIfWorse proposes a halt if the agents with the revision fail more of their calls than they did before
// and than other agents do, as described at Decide.
func (d *decision) haltIfWorse(revision *Revision, stage *firstStage, entry *Entry) bool {
	var after, before, others, worst failureRate
	services := map[string]bool{}
	worstName := ""
	for _, a := range revision.First {
		report, agent := d.byName[a], stage.agents[a]
		var own failureRate
		if report == nil || agent == nil || agent.acceptedLives == 0 || !own.addSince(agent.atAccept, report) {
			continue
		}
		after.add(own.calls, own.failed)
		before.add(stage.atStart[a].calls, stage.atStart[a].failed)
		services[report.Agent.Service] = true
		if worstName == "" || own.failed > worst.failed {
			worstName, worst = a, own
		}
	}
	for i := range d.reports {
		r := &d.reports[i]
		if _, in := slices.BinarySearch(revision.First, r.Agent.Name); in || !services[r.Agent.Service] {
			continue
		}
		if was, ok := stage.atFirstAccept[r.Agent.Name]; ok {
			others.addSince(was, r)
		}
	}
	if least := d.controller.settings.LeastCalls; after.calls < least || before.calls < least || others.calls < least ||
		after.value() <= max(before.value(), others.value())+d.controller.settings.Worse {
		return false
	}
	d.halt(entry, "agent %s: %v calls failed since it took it; all of the first stage %v, before %v, others of their services %v", worstName, worst, after, before, others)
	return true
}
