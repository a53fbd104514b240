package policy

import (
	"testing"
	"time"
)

// TestRouteLimits checks that a call's route narrows the settings: its pools, its attempts, and the
// time between a given-up attempt and the next.
func TestRouteLimits(t *testing.T) {
	for _, tc := range []struct {
		name     string
		arrival  Arrival
		end      Result
		wantPool int           // of the first attempt
		again    bool          // whether a second attempt is sent
		notSoon  time.Duration // the second attempt must not be sent before this time
	}{
		{"the settings", Arrival{}, Faulted, -1, true, 0},
		{"its pools only", Arrival{Pools: []int{2}}, Faulted, 2, true, 0},
		{"one attempt", Arrival{MaxAttempts: 1}, Faulted, -1, false, 0},
		{"more than the settings is the settings", Arrival{MaxAttempts: 9}, Faulted, -1, true, 0},
		{"its spacing after a time-out", Arrival{RetryDelay: 700 * ms}, TimedOut, -1, true, 700 * ms},
		{"never below the rules' wait", Arrival{RetryDelay: 100 * ms}, TimedOut, -1, true, 300 * ms},
	} {
		b := newHarness(t, testSettings(), upServers(3)...)
		for i := range 8 { // first attempts fill the retry budget
			id := string(rune('a' + i))
			for _, s := range actionsOf[Send](b.handle(Arrival{ID: id, Class: "look", TimeLeft: 3 * time.Second})) {
				b.handle(Ended{ID: id, Server: s.Server, Result: OK, Delay: 5 * ms, Complete: true,
					Report: EmptyReport()})
			}
		}
		a := tc.arrival
		a.ID, a.Class, a.TimeLeft, a.Pool = "x", "look", 3*time.Second, 0
		sent := actionsOf[Send](append(b.handle(a), b.advance(20*ms)...))
		if len(sent) == 0 {
			t.Fatalf("%s: no attempt", tc.name)
		}
		first := sent[len(sent)-1]
		if first.ID != "x" || tc.wantPool >= 0 && first.Server != upServers(3)[tc.wantPool].ID {
			t.Fatalf("%s: first attempt %+v", tc.name, first)
		}
		got := b.handle(Ended{ID: "x", Attempt: 0, Server: first.Server, Result: tc.end, Report: EmptyReport()})
		var at time.Duration
		for ; at < 2*time.Second; at += 10 * ms {
			if again := actionsOf[Send](got); len(again) > 0 && again[0].ID == "x" {
				break
			}
			got = b.advance(10 * ms)
		}
		if got := at < 2*time.Second; got != tc.again || tc.again && at < tc.notSoon-10*ms {
			t.Errorf("%s: second attempt after %v, want %v (not before %v)", tc.name, at, tc.again, tc.notSoon)
		}
	}
}
