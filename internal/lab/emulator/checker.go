package emulator

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/isup"
)

// Slack is the time that the checker allows for a message's way through a busy machine, in addition to the
// 50 ms that the rules allow.
const Slack = 100 * time.Millisecond

// Checker checks the messages that servers and callers send and receive, and records broken rules: a second
// copy of a call, a set-up to a server whose drain was announced, a set-up too soon after the release of the
// last one, too many attempts, an overloaded cold server, a set-up that no caller sent, and an answer that is
// missing, late, repeated or that no server gave.
type Checker struct {
	world *World

	mu            sync.Mutex
	calls         map[isup.CallID]*callRecord
	broken        map[string][]string             // by rule: details of its first cases
	answers       map[isup.CallID]map[string]bool // descriptions that servers answered with
	counts        map[string]int                  // by rule: how often it was broken
	processDelays [4]time.Duration                // longest scheduling delay in each of the last seconds
	done          chan struct{}
}

// measureDelay measures this process's scheduling delay. Hundreds of agents share the machine with it, and
// a message that it reads late may have been sent in time.
func (c *Checker) measureDelay() {
	const step = 5 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-c.done:
			return
		case <-tick.C:
		}
		now := time.Now()
		c.mu.Lock()
		i := now.Unix() % int64(len(c.processDelays))
		if now.Unix() != last.Unix() {
			c.processDelays[i] = 0
		}
		c.processDelays[i] = max(c.processDelays[i], now.Sub(last)-step)
		c.mu.Unlock()
		last = now
	}
}

// maxProcessDelay is the longest scheduling delay of this process with which the order of messages proves
// anything. Beyond it the machine was overloaded, and the agents were delayed as well.
const maxProcessDelay = 150 * time.Millisecond

// MaxDelay returns the longest scheduling delay of this process in the last seconds.
func (c *Checker) MaxDelay() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Max(c.processDelays[:])
}

// Starved reports whether the machine was so busy in the last seconds that a missing answer proves no agent's
// fault.
func (c *Checker) Starved() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starved()
}

func (c *Checker) starved() bool { return slices.Max(c.processDelays[:]) > maxProcessDelay }

// slack returns Slack plus the longest recent scheduling delay of this process.
func (c *Checker) slack() time.Duration { return Slack + slices.Max(c.processDelays[:]) }

// callRecord is what the checker knows of a call's attempts.
type callRecord struct {
	attempts      int
	pendingAt     *Server // the server that has a set-up without an answer; nil: none
	agent         int
	givenUpAt     time.Time // when the last attempt ended without its server's answer; zero: it did not
	givenUpServer *Server   // its server
}

// linkHeld reports whether an agent's release of a set-up may still be on its way to the server, as the link
// holds data back or did recently. The agent has sent it and can't know more.
func linkHeld(s *Server, agent int) bool { return s != nil && s.links[agent].HeldWithin(2*time.Second) }

func newChecker(w *World) *Checker {
	k := &Checker{world: w, calls: map[isup.CallID]*callRecord{}, broken: map[string][]string{},
		answers: map[isup.CallID]map[string]bool{}, counts: map[string]int{}, done: make(chan struct{})}
	go k.measureDelay()
	return k
}

// AddCall adds a call that a caller is about to send.
func (c *Checker) AddCall(id isup.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.calls[id] = &callRecord{}
}

// removeCall removes a call for which no more messages can arrive.
func (c *Checker) removeCall(id isup.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.calls, id)
	delete(c.answers, id)
}

// recordBroken records a case of a broken rule.
func (c *Checker) recordBroken(rule, format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.recordBrokenLocked(rule, format, args...)
}

// recordBrokenLocked is recordBroken with c.mu held. It keeps the details of each rule's first five cases.
func (c *Checker) recordBrokenLocked(rule, format string, args ...any) {
	if c.counts[rule]++; len(c.broken[rule]) < 5 {
		c.broken[rule] = append(c.broken[rule], fmt.Sprintf(format, args...))
	}
}

// Err returns an error that lists the broken rules, or nil.
func (c *Checker) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(c.counts)) {
		all = append(all, fmt.Sprintf("%s: %d times: %s", rule, c.counts[rule], strings.Join(c.broken[rule], "; ")))
	}
	if all == nil {
		return nil
	}
	return fmt.Errorf("rules broken: %s", strings.Join(all, " | "))
}

// Broken returns how often each rule was broken, by the rule's name.
func (c *Checker) Broken() map[string]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.counts)
}

// checkSetUp checks a set-up that a server received. The server's lock is held.
func (c *Checker) checkSetUp(s *Server, agent int, m isup.Message, now time.Time) {
	d := c.world.Deployment
	c.mu.Lock()
	defer c.mu.Unlock()
	t := c.calls[m.Call]
	if t == nil {
		c.recordBrokenLocked("set-up that no caller sent", "%v at %s by agent %d", m.Call, s.ID, agent)
		return
	}
	if t.pendingAt != nil && !linkHeld(t.pendingAt, t.agent) && !linkHeld(s, agent) && !c.starved() {
		c.recordBrokenLocked("second copy", "%v at %s by agent %d, out at %s by agent %d", m.Call, s.ID, agent, t.pendingAt.ID, t.agent)
	}
	if gap := now.Sub(t.givenUpAt); !t.givenUpAt.IsZero() && gap < d.ClearWait-c.slack() && !linkHeld(t.givenUpServer, t.agent) {
		c.recordBrokenLocked("release not awaited", "%v at %s by agent %d %v after a bad end", m.Call, s.ID, agent, gap)
	}
	if t.attempts++; t.attempts > d.MaxAttempts {
		c.recordBrokenLocked("too many attempts", "%v: %d", m.Call, t.attempts)
	}
	if at, ok := s.drainAnnounced(agent, now); ok && !linkHeld(s, agent) && now.Sub(at) > d.DrainGrace+50*time.Millisecond+c.slack() {
		c.recordBrokenLocked("drain not kept", "%v at %s by agent %d, %v after it was told", m.Call, s.ID, agent, now.Sub(at))
	}
	t.pendingAt, t.agent = s, agent
}

// attemptEnded records that a server ends an attempt: it refuses the set-up or goes silent.
func (c *Checker) attemptEnded(s *Server, agent int, id isup.CallID) {
	c.closeAttempt(s, agent, id, time.Time{})
}

// attemptGivenUp records a set-up that its agent gave up, or that ended with its connection.
func (c *Checker) attemptGivenUp(s *Server, agent int, id isup.CallID) {
	c.closeAttempt(s, agent, id, time.Now())
}

// closeAttempt ends an attempt. givenUpAt is when it was given up; zero: it was not.
func (c *Checker) closeAttempt(s *Server, agent int, id isup.CallID, givenUpAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.calls[id]; t != nil && t.pendingAt == s && t.agent == agent {
		t.pendingAt, t.givenUpAt, t.givenUpServer = nil, givenUpAt, s
	}
}

// attemptStood records an answer that a server is about to give.
func (c *Checker) attemptStood(s *Server, agent int, id isup.CallID, description string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answers[id] == nil {
		c.answers[id] = map[string]bool{}
	}
	c.answers[id][description] = true
	if t := c.calls[id]; t != nil && t.pendingAt == s && t.agent == agent {
		t.pendingAt, t.givenUpAt = nil, time.Time{}
	}
}

// checkAnswer checks an answer that a caller received. description is that of the call, late is how
// much later than answerGrace after its deadline it came, and repeated says that there was an answer before.
func (c *Checker) checkAnswer(id isup.CallID, description string, late time.Duration, repeated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case repeated:
		c.recordBrokenLocked("answered twice", "%v", id)
	case late > 0 && !c.starved():
		c.recordBrokenLocked("answered late", "%v: %v after its deadline", id, late)
	case description != "" && !c.answers[id][description]:
		c.recordBrokenLocked("served with what no server made", "%v: %q", id, description)
	}
}
