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

// Slack is what the checker allows for the way of a message through a busy machine beside the
// 50 ms of the rules.
const Slack = 100 * time.Millisecond

// Checker reads the wire and notes broken rules: a second copy, a set-up after a drain was told,
// one within the wait for a release, too many attempts, a cold server pushed over, a set-up
// that no caller sent, an answer that is missing, late, double or of nobody's making.
type Checker struct {
	world *World

	mu            sync.Mutex
	calls         map[isup.CallID]*callRecord
	broken        map[string][]string
	answers       map[isup.CallID]map[string]bool // what servers answered
	counts        map[string]int
	processDelays [4]time.Duration // how late this process was, at the most, in each of the last seconds
	done          chan struct{}
}

// measureDelay measures how late this process runs: hundreds of agents share the machine with it, and a
// message that it reads late was sent in time.
func (k *Checker) measureDelay() {
	const step = 5 * time.Millisecond
	tick := time.NewTicker(step)
	defer tick.Stop()
	for last := time.Now(); ; {
		select {
		case <-k.done:
			return
		case <-tick.C:
		}
		now := time.Now()
		k.mu.Lock()
		i := now.Unix() % int64(len(k.processDelays))
		if now.Unix() != last.Unix() {
			k.processDelays[i] = 0
		}
		k.processDelays[i] = max(k.processDelays[i], now.Sub(last)-step)
		k.mu.Unlock()
		last = now
	}
}

// maxProcessDelay is how late this process may run for what it sees to prove anything about who was first:
// later, the machine had too little time for all, and the agents were late as well.
const maxProcessDelay = 150 * time.Millisecond

// Starved tells whether the machine was too busy lately for a missing answer to be an agent's fault.
func (k *Checker) Starved() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.starved()
}

func (k *Checker) starved() bool { return slices.Max(k.processDelays[:]) > maxProcessDelay }

// slack is Slack and how late this process was lately.
func (k *Checker) slack() time.Duration { return Slack + slices.Max(k.processDelays[:]) }

// callRecord is the attempts of one call.
type callRecord struct {
	attempts      int
	pendingAt     *Server // that an attempt is out at; nil: none
	agent         int
	givenUpAt     time.Time // when an attempt ended badly last,
	givenUpServer *Server   // and where
}

// linkHeld tells whether a give-up to a server may be on its way still: the link has held it back, or
// did lately. The agent has written it, and knows no more.
func linkHeld(s *Server, agent int) bool { return s != nil && s.links[agent].HeldWithin(2*time.Second) }

func newChecker(w *World) *Checker {
	k := &Checker{world: w, calls: map[isup.CallID]*callRecord{}, broken: map[string][]string{},
		answers: map[isup.CallID]map[string]bool{}, counts: map[string]int{}, done: make(chan struct{})}
	go k.measureDelay()
	return k
}

// addCall enters a call that a caller is about to send.
func (k *Checker) addCall(id isup.CallID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.calls[id] = &callRecord{}
}

// removeCall drops a call of which nothing more can come.
func (k *Checker) removeCall(id isup.CallID) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.calls, id)
	delete(k.answers, id)
}

func (k *Checker) recordBroken(rule, format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.recordBrokenLocked(rule, format, args...)
}

func (k *Checker) recordBrokenLocked(rule, format string, args ...any) {
	if k.counts[rule]++; len(k.broken[rule]) < 5 {
		k.broken[rule] = append(k.broken[rule], fmt.Sprintf(format, args...))
	}
}

// Err names what was broken; nil for nothing.
func (k *Checker) Err() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	var all []string
	for _, rule := range slices.Sorted(maps.Keys(k.counts)) {
		all = append(all, fmt.Sprintf("%s: %d times: %s", rule, k.counts[rule], strings.Join(k.broken[rule], "; ")))
	}
	if all == nil {
		return nil
	}
	return fmt.Errorf("rules broken: %s", strings.Join(all, " | "))
}

// Broken counts the broken rules by name.
func (k *Checker) Broken() map[string]int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return maps.Clone(k.counts)
}

// checkSetUp checks a set-up as it comes whole. The server's lock is held.
func (k *Checker) checkSetUp(s *Server, agent int, m isup.Message, now time.Time) {
	d := k.world.Deployment
	k.mu.Lock()
	defer k.mu.Unlock()
	t := k.calls[m.Call]
	if t == nil {
		k.recordBrokenLocked("set-up that no caller sent", "%v at %s by agent %d", m.Call, s.ID, agent)
		return
	}
	if t.pendingAt != nil && !linkHeld(t.pendingAt, t.agent) && !k.starved() {
		k.recordBrokenLocked("second copy", "%v at %s by agent %d, out at %s by agent %d", m.Call, s.ID, agent, t.pendingAt.ID, t.agent)
	}
	if gap := now.Sub(t.givenUpAt); !t.givenUpAt.IsZero() && gap < d.ClearWait-k.slack() && !linkHeld(t.givenUpServer, t.agent) {
		k.recordBrokenLocked("release not awaited", "%v at %s by agent %d %v after a bad end", m.Call, s.ID, agent, gap)
	}
	if t.attempts++; t.attempts > d.MaxAttempts {
		k.recordBrokenLocked("too many attempts", "%v: %d", m.Call, t.attempts)
	}
	if at, ok := s.drainAnnounced(agent, now); ok && !linkHeld(s, agent) && now.Sub(at) > d.DrainGrace+50*time.Millisecond+k.slack() {
		k.recordBrokenLocked("drain not kept", "%v at %s by agent %d, %v after it was told", m.Call, s.ID, agent, now.Sub(at))
	}
	t.pendingAt, t.agent = s, agent
}

// attemptEnded notes the end of an attempt that its server is about to write.
func (k *Checker) attemptEnded(s *Server, agent int, id isup.CallID) {
	k.closeAttempt(s, agent, id, time.Time{})
}

// attemptGivenUp notes a set-up that was given up, or broke on its way.
func (k *Checker) attemptGivenUp(s *Server, agent int, id isup.CallID) {
	k.closeAttempt(s, agent, id, time.Now())
}

func (k *Checker) closeAttempt(s *Server, agent int, id isup.CallID, givenUpAt time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if t := k.calls[id]; t != nil && t.pendingAt == s && t.agent == agent {
		t.pendingAt, t.givenUpAt, t.givenUpServer = nil, givenUpAt, s
	}
}

// attemptStood notes an answer that a server is about to give.
func (k *Checker) attemptStood(s *Server, agent int, id isup.CallID, description string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.answers[id] == nil {
		k.answers[id] = map[string]bool{}
	}
	k.answers[id][description] = true
	if t := k.calls[id]; t != nil && t.pendingAt == s && t.agent == agent {
		t.pendingAt, t.givenUpAt = nil, time.Time{}
	}
}

// checkAnswer checks what a caller was told: room is the description of a call that stands.
func (k *Checker) checkAnswer(id isup.CallID, description string, late time.Duration, repeated bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case repeated:
		k.recordBrokenLocked("answered twice", "%v", id)
	case late > 0 && !k.starved():
		k.recordBrokenLocked("answered late", "%v: %v after its deadline", id, late)
	case description != "" && !k.answers[id][description]:
		k.recordBrokenLocked("served with what no server made", "%v: %q", id, description)
	}
}
