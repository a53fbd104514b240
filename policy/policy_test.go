package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode/utf8"
)

const ms = time.Millisecond

// testSettings returns plausible settings that belong to no deployment.
func testSettings() Settings {
	return Settings{
		Rank: 1, Senders: 4,
		Classes: []Class{
			{Name: "look", Aim: 1500 * ms, Deadline: 9 * time.Second, Hold: 8 * time.Second, Worth: 1},
			{Name: "hold", Aim: 2000 * ms, Deadline: 9 * time.Second, Hold: 12 * time.Second, Worth: 3},
		},
		Reports: WithAnswers,
		Limits:  Limits{MaxAttempts: 4, MaxRetryAfter: 2 * time.Second, AllowCancel: true},
		Rules: Rules{RetryDelay: 300 * ms, WarmUp: 15 * time.Second, LoadWindow: 2 * time.Second,
			ColdShare: 0.3, CollapseLoad: 2},
		RepeatInterval: 400 * ms, BatchInterval: 5 * ms,
	}
}

// harness drives one controller and keeps its latest actions.
type harness struct {
	t   *testing.T
	c   *Controller
	now Time
	out []Action // actions of the latest event
}

// newHarness returns a harness whose controller has received the server list.
func newHarness(t *testing.T, set Settings, servers ...Server) *harness {
	t.Helper()
	return newSeededHarness(t, set, 7, servers...)
}

// newSeededHarness is newHarness with the seed of the controller's random numbers.
func newSeededHarness(t *testing.T, set Settings, seed uint64, servers ...Server) *harness {
	t.Helper()
	c, err := New(set, seed)
	if err != nil {
		t.Fatal(err)
	}
	b := &harness{t: t, c: c, now: time.Hour}
	if servers != nil {
		b.handle(ServerList{Whole: true, Servers: servers})
	}
	return b
}

// handle passes an event to the controller at the current time.
func (b *harness) handle(ev Event) []Action {
	b.out = append([]Action(nil), b.c.Handle(b.now, ev)...)
	return b.out
}

// advance lets time pass in steps of 10 ms, with a tick at each.
func (b *harness) advance(d time.Duration) []Action {
	var all []Action
	for end := b.now + d; b.now < end; {
		b.now = min(b.now+10*ms, end)
		all = append(all, b.handle(Tick{})...)
	}
	return all
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](actions []Action) []A {
	var found []A
	for _, a := range actions {
		if a, ok := a.(A); ok {
			found = append(found, a)
		}
	}
	return found
}

// call passes a call of class "look", with server 0 as first choice, to the controller.
func (b *harness) call(id string) []Action {
	return b.handle(Arrival{ID: id, Class: "look", TimeLeft: 3 * time.Second, Pool: 0})
}

// upServers returns a list of n servers that are up.
func upServers(n int) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprintf("10.0.0.%d:1", i), Pool: i})
	}
	return list
}

// TestLineWidth holds the package's code to lines of at most 110 characters.
func TestLineWidth(t *testing.T) {
	files, err := filepath.Glob("*.go")
	if err != nil {
		t.Fatal(err)
	}
	lines := 0
	for _, name := range files {
		if strings.HasSuffix(name, "_test.go") {
			continue
		}
		text, err := os.ReadFile(name)
		if err != nil {
			t.Fatal(err)
		}
		n := 0
		for line := range strings.Lines(string(text)) {
			n++
			if width := utf8.RuneCountInString(strings.TrimSuffix(line, "\n")); width > 110 {
				t.Errorf("%s:%d: %d characters", name, n, width)
			}
		}
		lines += n
	}
	if lines == 0 {
		t.Error("no code was checked")
	}
}

// TestInvalidSettings checks that New rejects invalid settings.
func TestInvalidSettings(t *testing.T) {
	for name, spoil := range map[string]func(*Settings){
		"no classes":     func(s *Settings) { s.Classes = nil },
		"no senders":     func(s *Settings) { s.Senders = 0 },
		"rank too high":  func(s *Settings) { s.Rank = 4 },
		"rank below 0":   func(s *Settings) { s.Rank = -1 },
		"no attempts":    func(s *Settings) { s.Limits.MaxAttempts = 0 },
		"negative time":  func(s *Settings) { s.RepeatInterval = -1 },
		"negative hold":  func(s *Settings) { s.Classes[0].Hold = -1 },
		"no aim":         func(s *Settings) { s.Classes[1].Aim = 0 },
		"worth NaN":      func(s *Settings) { s.Classes[1].Worth = math.NaN() },
		"cold share NaN": func(s *Settings) { s.Rules.ColdShare = math.NaN() },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
	if _, err := New(testSettings(), 1); err != nil {
		t.Error(err)
	}
}

// TestRulesHoldOnRandomEvents drives controllers through rare but legal orders of events and checks
// the rules at every action.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	for seed := range uint64(16) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { checkRandomRun(t, seed) })
	}
}

// trackedCall is what the test knows of a call, to check the actions for it.
type trackedCall struct {
	deadline   Time
	attempts   int
	unanswered bool
	stands     bool
	closed     bool
	retryAt    Time
	server     string
	until      Time
	cancelled  bool // an attempt is cancelled and has not ended
}

// checkRandomRun drives a controller through 40 s of random events and checks each action.
func checkRandomRun(t *testing.T, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 99))
	set := testSettings()
	set.Senders = 1 + rng.IntN(8)
	set.Rank = 0
	if seed%3 == 0 {
		set.Reports, set.Limits.AllowProbes = WhenProbed, true
	}
	if seed%4 == 1 {
		set.RepeatInterval = 0
	}
	b := newHarness(t, set, upServers(3)...)
	calls := map[string]*trackedCall{}
	var order []string
	state := map[string]State{}
	readyAt := map[string]Time{}
	coldSends := map[string][]Time{}
	timers := []Time{}
	warm := 20.0 // above the rate that any report of this test contains
	check := func(actions []Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case Send:
				w := calls[a.ID]
				switch {
				case w == nil || w.closed || w.unanswered || w.stands:
					t.Fatalf("%v: send of %s, which is closed or has an unanswered attempt", b.now, a.ID)
				case b.now < w.retryAt:
					t.Fatalf("%v: %s sent %v before its retry time", b.now, a.ID, w.retryAt-b.now)
				case state[a.Server] != Up:
					t.Fatalf("%v: send to %s, which is %v", b.now, a.Server, state[a.Server])
				case a.Deadline > w.deadline || a.Deadline <= b.now:
					t.Fatalf("%v: attempt until %v of a call until %v", b.now, a.Deadline, w.deadline)
				case w.attempts >= set.Limits.MaxAttempts:
					t.Fatalf("%v: attempt %d of %s", b.now, w.attempts, a.ID)
				}
				w.attempts++
				w.unanswered, w.server, w.until = true, a.Server, a.Deadline
				if r, ok := readyAt[a.Server]; ok && b.now-r < set.Rules.WarmUp {
					recent := 0
					coldSends[a.Server] = append(coldSends[a.Server], b.now)
					for _, at := range coldSends[a.Server] {
						if b.now-at < set.Rules.LoadWindow {
							recent++
						}
					}
					own := set.Rules.CollapseLoad * warm * set.Rules.LoadWindow.Seconds() / float64(set.Senders)
					if float64(recent) > max(1, own) {
						t.Fatalf("%v: %d sends to cold %s in one window", b.now, recent, a.Server)
					}
				}
			case Cancel:
				w := calls[a.ID]
				if w == nil || a.Attempt >= w.attempts {
					t.Fatalf("%v: %s has no attempt %d to cancel", b.now, a.ID, a.Attempt)
				}
				w.cancelled = w.unanswered && a.Attempt == w.attempts-1
			case Refuse:
				w := calls[a.ID]
				if w == nil || w.closed || w.unanswered || b.now > w.deadline || a.RetryAfter > set.Limits.MaxRetryAfter {
					t.Fatalf("%v: illegal refusal of %s", b.now, a.ID)
				}
				w.closed = true
			case Fail:
				w := calls[a.ID]
				if w == nil || w.closed || w.unanswered || b.now > w.deadline+20*ms {
					t.Fatalf("%v: illegal failure of %s", b.now, a.ID)
				}
				w.closed = true
			case Wake:
				timers = append(timers, b.now+a.After)
			}
		}
	}
	report := func() Report {
		r := EmptyReport()
		switch rng.IntN(6) {
		case 0:
			r.Utilisation = rng.Float64() * 1.2
		case 1:
			r.QueueLength = rng.Float64() * 30
		case 2:
			r.AcceptRate = rng.Float64() * warm
		case 3:
			r.Utilisation, r.AcceptRate = math.NaN(), math.Inf(1)
		case 4:
			r.RefuseShare = rng.Float64()
		}
		r.TotalLines, r.FreeLines = 400, float64(350+rng.IntN(3))
		return r
	}
	end := b.now + 40*time.Second
	next := 0
	for b.now < end {
		b.now += 5 * ms
		live := order[:0]
		for _, id := range order {
			w := calls[id]
			if !w.closed || w.unanswered || w.stands {
				live = append(live, id)
			}
			if w.unanswered && (b.now >= w.until || w.cancelled) {
				res := TimedOut
				if w.cancelled {
					res = Cancelled
				}
				w.unanswered, w.cancelled, w.retryAt = false, false, b.now+set.Rules.RetryDelay
				check(b.handle(Ended{ID: id, Attempt: w.attempts - 1, Server: w.server, Result: res,
					Report: EmptyReport()}))
			}
		}
		order = live
		kept := timers[:0]
		due := false
		for _, at := range timers {
			if at <= b.now {
				due = true
			} else {
				kept = append(kept, at)
			}
		}
		timers = kept
		if due {
			check(b.handle(Tick{}))
		}
		switch k := rng.IntN(60); {
		case k < 10 && next < 3000:
			id := fmt.Sprint("c", next)
			next++
			w := &trackedCall{deadline: b.now + time.Duration(rng.IntN(3000)+20)*ms}
			calls[id] = w
			order = append(order, id)
			check(b.handle(Arrival{ID: id, Class: []string{"look", "hold"}[rng.IntN(2)], TimeLeft: w.deadline - b.now,
				Pool: rng.IntN(4)}))
		case k < 16:
			for range 3 {
				if len(order) == 0 {
					break
				}
				id := order[rng.IntN(len(order))]
				w := calls[id]
				if w.stands && rng.IntN(3) == 0 {
					w.stands = false
					check(b.handle(Ended{ID: id, Attempt: w.attempts - 1, Server: w.server, Result: OK, Complete: true,
						Report: report()}))
				}
				if !w.unanswered {
					continue
				}
				if rng.IntN(3) > 0 {
					w.unanswered, w.stands, w.closed = false, true, true
					check(b.handle(Standing{ID: id, Attempt: w.attempts - 1, Server: w.server}))
					continue
				}
				res := []Result{Faulted, Full, TimedOut, Unreachable, Cut, NotSent}[rng.IntN(6)]
				w.unanswered = false
				if res == TimedOut || res == Cut {
					w.retryAt = b.now + set.Rules.RetryDelay
				}
				check(b.handle(Ended{ID: id, Attempt: w.attempts - 1, Server: w.server, Result: res, Report: report()}))
			}
		case k == 16 && len(order) > 0:
			id := order[rng.IntN(len(order))]
			if w := calls[id]; !w.closed {
				w.closed = true
				check(b.handle(Departed{ID: id}))
			}
		case k == 17:
			check(b.handle(Ended{ID: "unknown", Server: "nowhere", Report: report()}))
			check(b.handle(Standing{ID: "c0", Attempt: 9, Server: "10.0.0.1:1"}))
		case k == 18 && rng.IntN(8) == 0:
			s := upServers(3)[rng.IntN(3)]
			s.State = State(rng.IntN(3))
			if s.State == Up && state[s.ID] != Up {
				s.ReadyAt = b.now - 100*ms
				readyAt[s.ID] = s.ReadyAt
				coldSends[s.ID] = nil
			}
			s.ReadyAt = readyAt[s.ID]
			state[s.ID] = s.State
			check(b.handle(ServerList{Servers: []Server{s}}))
		case k == 19:
			check(b.handle(ReportReceived{Server: "10.0.0.0:1", Solicited: rng.IntN(2) == 0, Report: report()}))
		}
		for _, id := range order {
			if w := calls[id]; !w.closed && !w.unanswered && b.now > w.deadline {
				t.Fatalf("%v: %s has no final answer at its deadline %v", b.now, id, w.deadline)
			}
		}
	}
	if next < 100 {
		t.Fatalf("only %d calls", next)
	}
}
