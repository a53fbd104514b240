package soaklab

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"woodrouter/isup"
)

// The time limits of the rules; each is 50 ms longer on sockets, and longer still on a busy machine.
const (
	answerSlack    = 500 * time.Millisecond // a final answer counts this long after its time
	endWithin      = time.Second            // from the release of a call to its caller's reading of it
	lostEndWithin  = 8 * time.Second        // the same if no release could be sent
	crossingWithin = 50 * time.Millisecond  // a set-up may cross the end of its connection by this much
	readyWithin    = 10 * time.Second       // from the start of a process until it is ready
)

// life is one run of an agent's process.
type life struct {
	started, ready  time.Time
	terminated      time.Time // SIGTERM
	killed          time.Time // SIGKILL
	ended           time.Time
	killedOutright  bool // SIGKILL without SIGTERM before
	endedBySelf     bool // before SIGKILL
	endedUnprompted bool // without any signal
	overMemory      string
}

// answer is a final answer that a caller read.
type answer struct {
	at          time.Time
	served      bool
	description string
}

// record is what callers and setup servers saw of one try of a call.
type record struct {
	id        isup.CallID
	agent     int
	life      int // index of the agent's process
	class     string
	sentAt    time.Time     // when its last byte was written; zero: it was not
	left      time.Duration // the time that the caller gave it
	abandoned time.Time     // the caller gave up, or left, before an answer
	answers   []answer
	connEnded time.Time // when its connection ended
	connError string

	endNotOwed   bool        // its client may not be connected when the call ends
	released     time.Time   // the caller released the call that stood
	releaseTaken bool        // the caller's connection stayed open after that
	endsRead     []time.Time // releases that a caller read

	standings map[string]*standing // by server
}

// standing is a call that stands at a server, by the server's records.
type standing struct {
	description string      // of the server's answer
	stoodAt     time.Time   // it was about to be answered
	endedAt     time.Time   // it ended, or was released by the agent
	agentEnded  bool        // the agent released it
	endsWritten []time.Time // the server wrote its release
}

// at returns what the server recorded whose answer the caller read; nil if no server made it.
func (c *record) at(description string) (server string, s *standing) {
	for server, s := range c.standings {
		if s.description == description {
			return server, s
		}
	}
	return "", nil
}

// Violation is a broken rule.
type Violation struct {
	Rule, Detail string
}

func (v Violation) String() string { return v.Rule + ": " + v.Detail }

// recorder collects the records of a trial. It is the emulator's Observer.
type recorder struct {
	began time.Time

	mu       sync.Mutex
	records  map[isup.CallID]*record
	lives    [][]*life // by agent
	slack    time.Duration
	problems []Violation // found while the trial was played

	disturbances []*disturbance // in the order of their beginnings
	settledAt    time.Time      // callers listen until then

	departed map[isup.CallID]time.Time // calls whose client left before the agent could read them, and when
	sentOn   []isup.CallID             // those of them that reached a server later
}

func newRecorder(agents int) *recorder {
	return &recorder{began: time.Now(), records: map[isup.CallID]*record{}, departed: map[isup.CallID]time.Time{}, lives: make([][]*life, agents)}
}

// with runs do with the record of a call, if there is one.
func (r *recorder) with(id isup.CallID, do func(*record)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c := r.records[id]; c != nil {
		do(c)
	}
}

// SetUpReceived implements emulator.Observer.
func (r *recorder) SetUpReceived(id isup.CallID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if left, departed := r.departed[id]; departed && time.Since(left) > crossingWithin {
		r.sentOn = append(r.sentOn, id)
	}
}

// CallStood implements emulator.Observer.
func (r *recorder) CallStood(id isup.CallID, _ int, server, description string) {
	r.with(id, func(c *record) {
		if c.standings == nil {
			c.standings = map[string]*standing{}
		}
		c.standings[server] = &standing{description: description, stoodAt: time.Now()}
	})
}

// withStanding runs do with what is recorded of a call at a server where it stands.
func (r *recorder) withStanding(id isup.CallID, server string, do func(*standing)) {
	r.with(id, func(c *record) {
		if s := c.standings[server]; s != nil {
			do(s)
		}
	})
}

// CallEnded implements emulator.Observer.
func (r *recorder) CallEnded(id isup.CallID, server string) {
	r.withStanding(id, server, func(s *standing) { s.endedAt = time.Now() })
}

// CallReleased implements emulator.Observer.
func (r *recorder) CallReleased(id isup.CallID, server string) {
	r.withStanding(id, server, func(s *standing) { s.endedAt, s.agentEnded = time.Now(), true })
}

// EndWritten implements emulator.Observer.
func (r *recorder) EndWritten(id isup.CallID, server string) {
	r.withStanding(id, server, func(s *standing) { s.endsWritten = append(s.endsWritten, time.Now()) })
}

// addLife records that a process of an agent is started.
func (r *recorder) addLife(agent int) *life {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := &life{started: time.Now()}
	r.lives[agent] = append(r.lives[agent], l)
	return l
}

// updateLife runs do on a life.
func (r *recorder) updateLife(l *life, do func(*life)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	do(l)
}

// report records a violation found while the trial was played.
func (r *recorder) report(rule, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, Violation{rule, fmt.Sprintf(format, args...)})
}

// violations checks all records and returns the broken rules, in the order of the calls' ids. slack is what the
// machine's scheduling delays may add to each time limit.
func (r *recorder) violations(slack time.Duration) []Violation {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slack = slack + 50*time.Millisecond
	out := slices.Clone(r.problems)
	if len(r.sentOn) > 0 {
		out = append(out, Violation{"sent on after its client had left", fmt.Sprint(r.sentOn)})
	}
	for agent, lives := range r.lives {
		for i, l := range lives {
			out = append(out, r.checkLife(fmt.Sprintf("a%d, start %d", agent, i+1), l)...)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(r.records)) {
		c := r.records[id]
		for _, v := range slices.Concat(r.checkAnswers(c), r.checkEnd(c), r.checkStandings(c)) {
			v.Detail = r.describe(c) + ": " + v.Detail
			out = append(out, v)
		}
	}
	return out
}

// checkLife checks that a process was ready in time, kept to its memory and did not crash.
func (r *recorder) checkLife(name string, l *life) (out []Violation) {
	if l.endedUnprompted {
		out = append(out, Violation{"crash", name + " ended without a signal"})
	}
	if l.overMemory != "" {
		out = append(out, Violation{"limit", name + ": " + l.overMemory})
	}
	if took := l.ready.Sub(l.started); !l.ready.IsZero() && took > readyWithin+r.slack {
		out = append(out, Violation{"not ready in time", fmt.Sprintf("%s: %v", name, took)})
	}
	return out
}

// checkAnswers checks that a try got one final answer, in time, of an offer that a server made.
func (r *recorder) checkAnswers(c *record) []Violation {
	if c.sentAt.IsZero() { // it was never taken
		return nil
	}
	if len(c.answers) == 0 {
		return r.checkUnanswered(c)
	}
	first := c.answers[0]
	switch late := first.at.Sub(c.sentAt.Add(c.left)); {
	case len(c.answers) > 1:
		return []Violation{{"answered twice", fmt.Sprintf("%d answers", len(c.answers))}}
	case late > answerSlack+r.slack:
		return []Violation{{"answered late", late.String()}}
	}
	if _, s := c.at(first.description); first.served && s == nil {
		return []Violation{{"served with what no server made", first.description}}
	}
	return nil
}

// checkUnanswered checks a try without an answer. None is owed to a caller that has left, and by a process that was
// killed outright; and a set-up that crossed the end of its connection is sent again.
func (r *recorder) checkUnanswered(c *record) []Violation {
	l := r.lives[c.agent][c.life]
	deadline := c.sentAt.Add(c.left + answerSlack + r.slack)
	switch {
	case !c.abandoned.IsZero():
	case l.killedOutright && !l.killed.After(deadline):
	case c.connEnded.IsZero():
		return []Violation{{"lost", "no answer"}}
	case c.connEnded.Sub(c.sentAt) <= crossingWithin+r.slack && !l.killedWith(c.connEnded):
	case l.killedWith(c.connEnded):
		return []Violation{{"lost", fmt.Sprintf("open at SIGKILL, %v after SIGTERM; the connection ended with %s", l.killed.Sub(l.terminated), c.connError)}}
	default:
		return []Violation{{"lost", fmt.Sprintf("its connection ended after %v with %s", c.connEnded.Sub(c.sentAt), c.connError)}}
	}
	return nil
}

// killTolerance is how long after SIGKILL the end of a connection is attributed to it.
const killTolerance = 20 * time.Millisecond

// killedWith reports whether a connection that ended at a time was ended by SIGKILL.
func (l *life) killedWith(at time.Time) bool {
	return !l.killed.IsZero() && !l.endedBySelf && at.After(l.killed.Add(-killTolerance))
}

// checkEnd checks that the end of a call that stood was reported to a caller in time.
func (r *recorder) checkEnd(c *record) []Violation {
	served := slices.IndexFunc(c.answers, func(a answer) bool { return a.served })
	if served < 0 || c.endNotOwed || !c.released.IsZero() || !c.abandoned.IsZero() {
		return nil
	}
	server, s := c.at(c.answers[served].description)
	if s == nil || s.endedAt.IsZero() {
		return nil
	}
	if due := s.endedAt.Add(connectedWithin + r.slack); r.connectionOwed(c.agent, server, s, due) {
		return []Violation{{"no connection for an end", fmt.Sprintf("ended at %s at %s, its release not written by %s", server, r.seconds(s.endedAt), r.seconds(due))}}
	}
	since := c.answers[served].at
	if s.endedAt.After(since) {
		since = s.endedAt
	}
	owed, ok := r.endOwed(c, s, since)
	if !ok || owed.After(r.settledAt) || slices.ContainsFunc(c.endsRead, func(at time.Time) bool { return !at.After(owed) }) {
		return nil
	}
	return []Violation{{"end not reported", fmt.Sprintf("ended at %s at %s, by the agent: %t, its release written %s, read %s, owed by %s", server, r.seconds(s.endedAt), s.agentEnded, r.seconds(s.endsWritten...), r.seconds(c.endsRead...), r.seconds(owed))}}
}

// connectedWithin is how long after the end of a call a server that was not disturbed must have had a connection for its
// release, settledFor how long before the end nothing may have disturbed it, and runningFor how long the agent's process
// must have been ready.
const (
	connectedWithin = 1500 * time.Millisecond
	settledFor      = 4 * time.Second
	runningFor      = time.Second
)

// connectionOwed reports whether a server had no connection from an agent for the release of a call that ended by itself,
// although neither was disturbed.
func (r *recorder) connectionOwed(agent int, server string, s *standing, due time.Time) bool {
	from := s.endedAt.Add(-settledFor)
	if s.agentEnded || due.After(r.settledAt) || !r.livedThrough(agent, s.endedAt.Add(-runningFor), due) {
		return false
	}
	if slices.ContainsFunc(s.endsWritten, func(at time.Time) bool { return !at.After(due) }) {
		return false
	}
	return !slices.ContainsFunc(r.disturbances, func(d *disturbance) bool {
		return d.server == server && (d.agent == allAgents || d.agent == agent) && !d.from.After(due) && (d.to.IsZero() || !d.to.Before(from))
	})
}

// endOwed returns by when the caller of a call that has ended must have read its release. ok is false if no process
// lived long enough to report it.
func (r *recorder) endOwed(c *record, s *standing, since time.Time) (owed time.Time, ok bool) {
	heard := slices.Clone(s.endsWritten)
	if s.agentEnded {
		heard = append(heard, s.endedAt)
	}
	for _, at := range heard {
		if at.Before(since) {
			at = since
		}
		if by := at.Add(endWithin + r.slack); r.livedThrough(c.agent, at, by) && (!ok || by.Before(owed)) {
			owed, ok = by, true
		}
	}
	if ok {
		return owed, true
	}
	owed = since.Add(lostEndWithin + r.slack)
	return owed, r.lives[c.agent][c.life].livedThrough(c.sentAt, owed)
}

// livedThrough reports whether one process of an agent took callers from one time to another.
func (r *recorder) livedThrough(agent int, from, to time.Time) bool {
	return slices.ContainsFunc(r.lives[agent], func(l *life) bool { return l.livedThrough(from, to) })
}

func (l *life) livedThrough(from, to time.Time) bool {
	stopped := l.ended
	if !l.terminated.IsZero() {
		stopped = l.terminated
	}
	return !l.ready.IsZero() && l.ready.Before(from) && (stopped.IsZero() || stopped.After(to))
}

// seconds gives times as seconds since the trial began.
func (r *recorder) seconds(times ...time.Time) string {
	out := ""
	for _, t := range times {
		if !t.IsZero() {
			out += fmt.Sprintf("%.3f ", t.Sub(r.began).Seconds())
		}
	}
	if out == "" {
		return "-"
	}
	return out[:len(out)-1]
}

// describe gives what is known of a try.
func (r *recorder) describe(c *record) string {
	answered := "-"
	for _, a := range c.answers {
		answered += fmt.Sprintf(" %s served %t", r.seconds(a.at), a.served)
	}
	return fmt.Sprintf("call %v, class %s, a%d start %d, sent %s for %v, answered %s", c.id, c.class, c.agent, c.life+1, r.seconds(c.sentAt), c.left, answered)
}
