package rolloutlab

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"woodrouter/rollout"
)

// PropagationLimit is the operators' rule: a change that stands is in force, or refused, at every agent
// within reach this long after its author was told; at one out of reach this long after its return.
const PropagationLimit = 9 * time.Second

// Outcome is what an author was told of a put.
type Outcome string

// The outcomes. Of an unknown one the put may stand or not.
const (
	Committed Outcome = "stood"
	Conflict  Outcome = "conflict"
	Refused   Outcome = "refused"
	NoQuorum  Outcome = "not taken" // no quorum
	Unknown   Outcome = "unknown"
)

// Put is one try of an author to change a document. Times are since the history's start.
type Put struct {
	Name                 string
	Base                 uint64
	Author               string
	Text                 string // of no other put, but for one that restores a former text
	Remove               bool
	Restore              uint64 // the former revision whose text it takes again
	CalledAt, AnsweredAt time.Duration
	Outcome              Outcome
	Revision             uint64 // of one that stood
}

// Observation is what an agent has at a moment.
type Observation struct {
	Agent    string
	Kind     string
	Name     string // the document in force, or refused; "": the agent's own file
	Revision uint64
	Sum      uint64 // xxhash64 of its text; 0: not seen
	Refused  bool
	At       time.Duration
}

// absence is a time in which an agent was out of reach, by the laboratory's own doing.
type absence struct{ from, to time.Duration }

// forever is the end of an absence that lasts.
const forever = time.Duration(1<<63 - 1)

// History is what happened in a run: the puts with what their authors were told, the log's
// revisions as the control machines have them, and what every agent had when.
type History struct {
	mu                  sync.Mutex
	startedAt           time.Time
	endedAt             time.Duration
	agents              map[string]rollout.Agent
	puts                []Put
	log                 map[uint64]rollout.Revision
	halted              map[uint64]bool
	contents            map[uint64]content           // what each number was seen to stand for
	observations        map[string][]Observation     // by agent, in order
	absences            map[string][]absence         // by agent, in order
	violations          []string                     // found as it came in
	highestInForce      map[string]map[string]uint64 // agent, document: the highest in force so far
	highestAcknowledged map[string]map[string]uint64 // agent, document: the highest acknowledged so far
	documents           map[string]rollout.Name      // documents of which a put stood, or may have
}

type content struct {
	name    string
	sum     uint64
	removed bool
}

// NewHistory begins a history of these agents.
func NewHistory(agents []rollout.Agent) *History {
	h := &History{startedAt: time.Now(), agents: map[string]rollout.Agent{}, log: map[uint64]rollout.Revision{}, halted: map[uint64]bool{},
		contents: map[uint64]content{}, observations: map[string][]Observation{}, absences: map[string][]absence{}, highestInForce: map[string]map[string]uint64{},
		documents: map[string]rollout.Name{}, highestAcknowledged: map[string]map[string]uint64{}}
	for _, a := range agents {
		h.agents[a.Name] = a
		h.highestInForce[a.Name], h.highestAcknowledged[a.Name] = map[string]uint64{}, map[string]uint64{}
	}
	return h
}

// Now is the history's clock.
func (h *History) Now() time.Duration { return time.Since(h.startedAt) }

// RecordPut enters a put whose author was told.
func (h *History) RecordPut(p Put) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.puts = append(h.puts, p)
	if n, err := rollout.ParseName(p.Name); err == nil && (p.Outcome == Committed || p.Outcome == Unknown) {
		h.documents[p.Name] = n
	}
	if p.Outcome == Committed {
		h.recordContent(p.Revision, content{p.Name, textSum(p.Text, p.Remove), p.Remove}, "its author "+p.Author)
	}
}

// RecordRevisions enters revisions as a control machine has them.
func (h *History) RecordRevisions(machine string, revs []rollout.Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, r := range revs {
		h.recordContent(r.Revision, content{r.Name.String(), textSum(string(r.Text), r.Removed), r.Removed}, machine)
		if r.Stage == rollout.StageHalted {
			h.halted[r.Revision] = true
		}
		if was, ok := h.log[r.Revision]; ok && (was.Base != r.Base || was.Author != r.Author) {
			h.addViolation("revision %d: base %d by %s, and at %s base %d by %s", r.Revision, was.Base, was.Author, machine, r.Base, r.Author)
		}
		if was, ok := h.log[r.Revision]; !ok || stageOrder(r.Stage) >= stageOrder(was.Stage) { // a machine may lag
			h.log[r.Revision] = r
		}
	}
}

// stageOrder is how far a stage is on a revision's way.
func stageOrder(s rollout.Stage) int {
	return slices.Index([]rollout.Stage{rollout.StageWaiting, rollout.StageFirst, rollout.StageEverywhere, rollout.StageSuperseded, rollout.StageHalted}, s)
}

// RecordObservation enters what an agent has from now on.
func (h *History) RecordObservation(s Observation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Name != "" && s.Revision > 0 && !s.Refused {
		if s.Sum != 0 {
			h.recordContent(s.Revision, content{s.Name, s.Sum, false}, s.Agent)
		}
		if had := h.highestInForce[s.Agent][s.Name]; s.Revision < had {
			h.addViolation("%s has %s %d in force at %v, after %d", s.Agent, s.Name, s.Revision, s.At, had)
		} else {
			h.highestInForce[s.Agent][s.Name] = s.Revision
		}
	}
	if n := len(h.observations[s.Agent]); n > 0 {
		if last := h.observations[s.Agent][n-1]; last.Kind == s.Kind && last.Name == s.Name && last.Revision == s.Revision && last.Refused == s.Refused && last.Sum == s.Sum {
			return
		}
	}
	h.observations[s.Agent] = append(h.observations[s.Agent], s)
}

// RecordAcknowledged enters what an agent tells as accepted and kept: of a document never less than before.
func (h *History) RecordAcknowledged(agent string, seen map[string]uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for name, had := range h.highestAcknowledged[agent] {
		if seen[name] < had {
			h.addViolation("%s acknowledges %s %d, and had acknowledged %d", agent, name, seen[name], had)
		}
	}
	for name, n := range seen {
		h.highestAcknowledged[agent][name] = max(h.highestAcknowledged[agent][name], n)
	}
}

// SetUnreachable tells that an agent is out of reach from now on, or within reach again.
func (h *History) SetUnreachable(agent string, on bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all, now := h.absences[agent], time.Since(h.startedAt)
	out := len(all) > 0 && all[len(all)-1].to == forever
	switch {
	case on && !out:
		h.absences[agent] = append(all, absence{now, forever})
	case !on && out:
		all[len(all)-1].to = now
	}
}

// Reachable tells whether an agent is within reach.
func (h *History) Reachable(agent string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.absences[agent]
	return len(all) == 0 || all[len(all)-1].to != forever
}

// End stops the history's clock: what was due later is not asked.
func (h *History) End() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endedAt = time.Since(h.startedAt)
}

func textSum(s string, removed bool) uint64 {
	if removed {
		return 0
	}
	return xxhash.Sum64String(s)
}

func (h *History) addViolation(format string, args ...any) {
	h.violations = append(h.violations, fmt.Sprintf(format, args...))
}

// recordContent notes what a number stands for: by whomever it is told, it is one text.
func (h *History) recordContent(revision uint64, t content, by string) {
	was, ok := h.contents[revision]
	if ok && was != t {
		h.addViolation("revision %d is %s with sum %x, and by %s %s with sum %x", revision, was.name, was.sum, by, t.name, t.sum)
	}
	if !ok {
		h.contents[revision] = t
	}
}

// Violations is all rules that the run broke.
func (h *History) Violations() (out []string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	out = slices.Clone(h.violations)
	note := func(all []string) { out = append(out, all...) }
	note(h.checkCompareAndSet())
	note(h.checkLog())
	note(h.checkOrder())
	note(h.checkFallbacks())
	note(h.checkPropagation())
	return out
}

// revisionsOf are the log's revisions of a document by number.
func (h *History) revisionsOf(name string) (out []rollout.Revision) {
	for _, n := range slices.Sorted(maps.Keys(h.log)) {
		if h.log[n].Name.String() == name {
			out = append(out, h.log[n])
		}
	}
	return out
}

// checkCompareAndSet: of two puts with one base at most one stands, and between a revision and the one
// it was written against there is no other.
func (h *History) checkCompareAndSet() (out []string) {
	type base struct {
		name string
		base uint64
	}
	stood := map[base]Put{}
	for _, p := range h.puts {
		if p.Outcome != Committed {
			continue
		}
		k := base{p.Name, p.Base}
		if o, ok := stood[k]; ok && o.Revision != p.Revision {
			out = append(out, fmt.Sprintf("%s: two puts on base %d stand: %d by %s, %d by %s", p.Name, p.Base, o.Revision, o.Author, p.Revision, p.Author))
		}
		stood[k] = p
		for _, r := range h.revisionsOf(p.Name) {
			// A halt restores the former text beside one that waits, which stays what authors see.
			beside := r.Author == rollout.AuthorRollout && r.Base < p.Base
			if r.Revision > p.Base && r.Revision < p.Revision && !beside {
				out = append(out, fmt.Sprintf("%s: %d by %s on base %d stands, though %d came between", p.Name, p.Revision, p.Author, p.Base, r.Revision))
			}
		}
	}
	return out
}

// checkLog: a put that was told to stand is in the log with its text and author, one that was told
// not to stand is not, and no revision comes from nobody.
func (h *History) checkLog() (out []string) {
	by := map[uint64][]rollout.Revision{} // sum of the text
	for _, r := range h.log {
		if !r.Removed && r.Restores == 0 {
			by[textSum(string(r.Text), false)] = append(by[textSum(string(r.Text), false)], r)
		}
	}
	written := map[uint64]bool{}
	for _, p := range h.puts {
		s := textSum(p.Text, p.Remove)
		written[s] = true
		r, ok := h.log[p.Revision]
		switch {
		case p.Outcome == Committed && !ok:
			out = append(out, fmt.Sprintf("%s: %d by %s was told to stand, and is in no machine's log", p.Name, p.Revision, p.Author))
		case p.Outcome == Committed && (r.Name.String() != p.Name || r.Author != p.Author || textSum(string(r.Text), r.Removed) != s || r.Base != p.Base):
			out = append(out, fmt.Sprintf("%s: %d by %s on base %d is another in the log: %s by %s on base %d", p.Name, p.Revision, p.Author, p.Base, r.Name, r.Author, r.Base))
		case p.Outcome != Committed && p.Outcome != Unknown && !p.Remove && p.Restore == 0 && len(by[s]) > 0:
			out = append(out, fmt.Sprintf("%s: by %s on base %d was told %s, and stands as %d", p.Name, p.Author, p.Base, p.Outcome, by[s][0].Revision))
		}
	}
	for s, all := range by {
		if !written[s] {
			out = append(out, fmt.Sprintf("%s: nobody wrote %d (author %q)", all[0].Name, all[0].Revision, all[0].Author))
		}
		if len(all) > 1 {
			out = append(out, fmt.Sprintf("%s: one put stands twice, as %d and %d", all[0].Name, all[0].Revision, all[1].Revision))
		}
	}
	return out
}

// checkFallbacks: an agent goes from a document to a wider one, or to its own file, only where the
// document was removed.
func (h *History) checkFallbacks() (out []string) {
	removed := map[string]uint64{} // the highest removal of each document
	for _, r := range h.log {
		if r.Removed {
			removed[r.Name.String()] = max(removed[r.Name.String()], r.Revision)
		}
	}
	for _, agent := range slices.Sorted(maps.Keys(h.observations)) {
		force := map[string]Observation{}
		for _, s := range h.observations[agent] {
			if s.Refused {
				continue
			}
			was := force[s.Kind]
			force[s.Kind] = s
			if was.Name == "" || was.Name == s.Name || removed[was.Name] > was.Revision {
				continue
			}
			a, errA := rollout.ParseName(s.Name)
			b, errB := rollout.ParseName(was.Name)
			if errA == nil && errB == nil && narrower(a, b) {
				continue
			}
			out = append(out, fmt.Sprintf("%s has %s %d in force at %v, after %s %d, which nobody removed", agent, cmp.Or(s.Name, "its own file"), s.Revision, s.At, was.Name, was.Revision))
		}
	}
	return out
}

// checkOrder: of two puts of a document that stand the one called after the other was told has the
// higher number, and a conflict has somebody else's change to show for it.
func (h *History) checkOrder() (out []string) {
	for i, p := range h.puts {
		for _, o := range h.puts[:i] {
			a, b := o, p
			if a.AnsweredAt > b.CalledAt {
				a, b = b, a
			}
			if a.Name == b.Name && a.Outcome == Committed && b.Outcome == Committed && a.AnsweredAt < b.CalledAt && a.Revision >= b.Revision {
				out = append(out, fmt.Sprintf("%s: %d was told before %d was called", a.Name, a.Revision, b.Revision))
			}
		}
		if p.Outcome == Conflict && !h.mayHaveConflicted(p) {
			out = append(out, fmt.Sprintf("%s: by %s on base %d was told of a conflict with nobody", p.Name, p.Author, p.Base))
		}
	}
	return out
}

// mayHaveConflicted tells whether a document's latest revision may have been another than a put's base
// while the put was under way.
func (h *History) mayHaveConflicted(p Put) bool {
	called := map[uint64]time.Duration{}
	for _, o := range h.puts {
		if o.Outcome == Committed {
			called[o.Revision] = o.CalledAt
		}
	}
	known := p.Base == 0
	for _, r := range h.revisionsOf(p.Name) {
		known = known || r.Revision == p.Base
		if at, ok := called[r.Revision]; r.Revision > p.Base && (!ok || at <= p.AnsweredAt) {
			return true
		}
	}
	return !known // a base that never was
}

// requiredChanges are the changes that the agents must have: the puts that stand, under the number that
// they began with, and the texts that a halt restored.
func (h *History) requiredChanges() (out []Put) {
	again := map[uint64]uint64{} // began under another number
	for _, r := range h.log {
		was, ok := h.log[r.Restores]
		if ok && r.Author != rollout.AuthorRollout && r.Base == was.Base {
			again[r.Restores] = r.Revision
		}
		if r.Author == rollout.AuthorRollout {
			at := time.UnixMicro(r.AtUs).Sub(h.startedAt)
			out = append(out, Put{Name: r.Name.String(), Base: r.Base, Author: r.Author, Text: string(r.Text), Remove: r.Removed, CalledAt: at, AnsweredAt: at, Revision: r.Revision})
		}
	}
	for _, p := range h.puts {
		if n, ok := again[p.Revision]; ok && p.Outcome == Committed {
			p.Revision = n
		}
		if p.Outcome == Committed && !h.halted[p.Revision] {
			out = append(out, p)
		}
	}
	return out
}

// checkPropagation: what stands is at every agent within reach in time.
func (h *History) checkPropagation() (out []string) {
	for _, p := range h.requiredChanges() {
		for _, name := range slices.Sorted(maps.Keys(h.agents)) {
			due, asked := h.dueAt(h.agents[name], p)
			if !asked || due > h.endedAt && h.endedAt > 0 {
				continue
			}
			if at, ok := h.firstHad(h.agents[name], p, true); !ok || at > due {
				how := "never"
				if ok {
					how = "after " + (at - p.AnsweredAt).Round(time.Millisecond).String()
				}
				out = append(out, fmt.Sprintf("%s: %d (told at %v) was due at %s by %v and came %s; away %v", p.Name, p.Revision,
					p.AnsweredAt.Round(time.Millisecond), name, due.Round(time.Millisecond), how, h.absences[name]))
			}
		}
	}
	return out
}

// dueAt is when an agent must have a put that stands; false: never, or not to be seen there.
func (h *History) dueAt(a rollout.Agent, p Put) (time.Duration, bool) {
	n, err := rollout.ParseName(p.Name)
	if err != nil || !n.Scope.Contains(a) || h.shadowed(a, n, p.AnsweredAt) {
		return 0, false
	}
	due := p.AnsweredAt + PropagationLimit
	for _, out := range h.absences[a.Name] {
		switch {
		case out.to < p.AnsweredAt || out.from > due:
		case out.to == forever:
			return 0, false
		default:
			due = max(due, out.to+PropagationLimit)
		}
	}
	return due, true
}

// shadowed tells whether a narrower document of the kind may have held at an agent since.
func (h *History) shadowed(a rollout.Agent, n rollout.Name, since time.Duration) bool {
	for name, o := range h.documents {
		if o.Kind == n.Kind && narrower(o, n) && o.Scope.Contains(a) && !h.removedBefore(name, a, since) {
			return true
		}
	}
	return false
}

func narrower(a, b rollout.Name) bool {
	return slices.Index(rollout.Levels, a.Scope.Level) > slices.Index(rollout.Levels, b.Scope.Level)
}

// removedBefore tells whether a document's last revision is a removal that an agent had done with by
// then.
func (h *History) removedBefore(name string, a rollout.Agent, by time.Duration) bool {
	var last Put
	for _, p := range h.puts {
		if p.Name == name && p.Outcome == Committed && p.Revision > last.Revision {
			last = p
		}
	}
	at, ok := h.firstHad(a, last, false)
	return last.Remove && ok && at <= by
}

// firstHad is when an agent first had a put, or a later change of its document: in force, or (with
// refusals) refused. A removal is done where another document is in force instead.
func (h *History) firstHad(a rollout.Agent, p Put, refusals bool) (time.Duration, bool) {
	kind, _, _ := strings.Cut(p.Name, "@")
	held := false // the document was in force at the agent last
	for _, s := range h.observations[a.Name] {
		if s.Kind != kind && s.Name != p.Name {
			continue
		}
		if s.Refused {
			if refusals && (s.Name == p.Name && s.Revision >= p.Revision || s.Sum != 0 && h.isTextSince(p, s.Sum)) {
				return s.At, true
			}
			continue
		}
		if s.Name == p.Name && s.Revision >= p.Revision {
			return s.At, true
		}
		if p.Remove && s.At >= p.CalledAt && s.Name != p.Name {
			return s.At, true
		}
		held = s.Name == p.Name
	}
	return p.AnsweredAt, p.Remove && !held
}

// isTextSince tells whether a text is that of a put's revision or of a later one.
func (h *History) isTextSince(p Put, sum uint64) bool {
	for n, t := range h.contents {
		if t.name == p.Name && t.sum == sum && n >= p.Revision {
			return true
		}
	}
	return false
}

// Propagation is how long one change took: from the put's answer to each agent within reach.
type Propagation struct {
	Put
	Delays     []time.Duration // sorted
	NotDue     int
	NotInForce int // refused there, or superseded before
}

// Propagations are the changes that went everywhere, with what each took.
func (h *History) Propagations() (out []Propagation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.requiredChanges() {
		if p.Author == rollout.AuthorRollout {
			continue
		}
		s := Propagation{Put: p}
		for _, a := range h.agents {
			due, asked := h.dueAt(a, p)
			if !asked || due != p.AnsweredAt+PropagationLimit {
				s.NotDue++
				continue
			}
			if at, ok := h.firstHad(a, p, false); ok {
				s.Delays = append(s.Delays, max(at-p.AnsweredAt, 0))
			} else {
				s.NotInForce++
			}
		}
		slices.Sort(s.Delays)
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Propagation) int { return cmp.Compare(a.CalledAt, b.CalledAt) })
	return out
}

// OutcomeCounts are the puts by outcome.
func (h *History) OutcomeCounts() map[Outcome]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[Outcome]int{}
	for _, p := range h.puts {
		out[p.Outcome]++
	}
	return out
}

// Latest is a document's newest revision that is for all agents of its scope; ok is false while
// one is on its way or nothing is known.
func (h *History) Latest(name string) (rollout.Revision, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	all := h.revisionsOf(name)
	if len(all) == 0 {
		return rollout.Revision{}, false
	}
	last := all[len(all)-1]
	return last, last.Stage == rollout.StageEverywhere
}

// HasRevision tells whether an agent has a standing revision, in force or refused.
func (h *History) HasRevision(agent string, r rollout.Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	a, n := h.agents[agent], r.Name
	p := Put{Name: n.String(), Revision: r.Revision, Remove: r.Removed, Text: string(r.Text)}
	if !n.Scope.Contains(a) || h.shadowed(a, n, forever) {
		return true
	}
	_, ok := h.firstHad(a, p, true)
	return ok
}

// HasBegun tells whether a revision has come to its first stage.
func (h *History) HasBegun(revision uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r, ok := h.log[revision]
	return ok && r.Stage != rollout.StageWaiting
}

// WasHalted tells whether a revision was given up.
func (h *History) WasHalted(revision uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.halted[revision]
}
