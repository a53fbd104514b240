package soaklab

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"woodrouter/internal/lab/emulator"
)

// releasedWithin is how long a call may go on standing at a server that can be reached after its caller has released
// it or was told that it does not stand there. reachedWithin is how long after a disturbance a server must have been
// reached again.
const (
	releasedWithin = time.Second
	reachedWithin  = 3 * time.Second
)

// disturbance is a time in which agents may not reach a server, or its calls may end without a word.
type disturbance struct {
	server   string
	agent    int // allAgents: all of them
	from, to time.Time
	fatal    bool // the server's calls may be lost
}

const allAgents = -1

// disturb records a disturbance of a server that begins now, and returns the function that ends it.
func (r *recorder) disturb(server string, agent int, fatal bool) (end func()) {
	d := &disturbance{server: server, agent: agent, from: time.Now(), fatal: fatal}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbances = append(r.disturbances, d)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		d.to = time.Now()
	}
}

// checkStandings checks that no call stands at a server for which its agent has ended it.
func (r *recorder) checkStandings(c *record) (out []Violation) {
	for _, server := range slices.Sorted(maps.Keys(c.standings)) {
		s := c.standings[server]
		over := c.overAt(s)
		if over.IsZero() {
			continue
		}
		due, ok := r.releaseDue(c, server, over)
		if ok && (s.endedAt.IsZero() || s.endedAt.After(due)) {
			out = append(out, Violation{"left standing", fmt.Sprintf("stood at %s at %s, was over at %s, to be released by %s, ended there at %s",
				server, r.seconds(s.stoodAt), r.seconds(over), r.seconds(due), r.seconds(s.endedAt))})
		}
	}
	return out
}

// overAt returns when a call that stands at a server was over for its caller: released, abandoned, answered otherwise,
// or reported as ended. Zero: it was not.
func (c *record) overAt(s *standing) time.Time {
	var over time.Time
	switch {
	case len(c.answers) > 0 && c.answers[0].description == s.description && !c.released.IsZero():
		if c.releaseTaken {
			over = c.released
		}
	case len(c.answers) > 0 && c.answers[0].description == s.description && len(c.endsRead) > 0:
		over = c.endsRead[0]
	case len(c.answers) > 0 && c.answers[0].description != s.description:
		over = c.answers[0].at
	case len(c.answers) == 0 && !c.abandoned.IsZero():
		over = c.abandoned
	}
	if !over.IsZero() && over.Before(s.stoodAt) {
		over = s.stoodAt
	}
	return over
}

// releaseDue returns by when the release of a call must have reached its server. ok is false if the server may have
// lost the call, or the agent's process or the trial ended before.
func (r *recorder) releaseDue(c *record, server string, over time.Time) (due time.Time, ok bool) {
	due = over.Add(releasedWithin + r.slack)
	for _, d := range r.disturbances {
		if d.server != server || d.agent != allAgents && d.agent != c.agent || d.from.After(due) {
			continue
		}
		if again := d.to.Add(reachedWithin + releasedWithin + r.slack); d.to.IsZero() || again.After(over) {
			if d.fatal || d.to.IsZero() {
				return due, false
			}
			due = latest(due, again)
		}
	}
	return due, due.Before(r.settledAt) && r.lives[c.agent][c.life].livedThrough(c.sentAt, due)
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// disturbWhile records a disturbance of a server for all agents while play injects a fault into it.
func (t *trial) disturbWhile(s *emulator.Server, fatal bool, play func()) {
	end := t.recorder.disturb(s.ID, allAgents, fatal)
	defer end()
	play()
}
