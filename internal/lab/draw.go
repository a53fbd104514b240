// Package lab is the common part of the laboratory, which checks and measures the program with many
// processes on loopback. It starts call agents with a fault proxy on every link between them, has the
// setup server and the caller that fault schedules use, and draws faults from a seed. The packages below
// it use it for promises, zones, rollout and large fleets; cmd/woodlab runs them. The daemon does not
// use it.
package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"woodrouter/internal/fleet/replica"
)

// ScheduleTimeout bounds the faults of a schedule, and ReadBackTimeout the reading of all promises after it.
const (
	ScheduleTimeout = 3 * time.Minute
	ReadBackTimeout = time.Minute
)

// DrawFaults returns which of n faults each step of a schedule plays, drawn from the seed. A schedule of
// at least n steps plays each fault once, in order, before it draws.
func DrawFaults(seed uint64, steps, n int) (out []int) {
	rng := rand.New(rand.NewPCG(seed, 1))
	for i := range steps {
		f := rng.IntN(n)
		if steps >= n && i < n {
			f = i
		}
		out = append(out, f)
	}
	return out
}

// StepTimeout bounds one step of a schedule. On a busy machine a step takes a few seconds.
const StepTimeout = 45 * time.Second

// RunStep plays one step with StepTimeout as its limit. After a timeout, the error of play says what it
// waited for.
func RunStep(ctx context.Context, play func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	return play(ctx)
}

// AwaitProgress waits up to StepTimeout until count has risen by n. Its error gives the rise so far and
// the result of states.
func AwaitProgress(ctx context.Context, count func() int, n int, what string, states func() string) error {
	return RunStep(ctx, func(ctx context.Context) error {
		first := count()
		for count() < first+n {
			if ctx.Err() != nil {
				return fmt.Errorf("waited for %d %s, got %d: %w: %s", n, what, count()-first, ctx.Err(), states())
			}
			Sleep(ctx, 10*time.Millisecond)
		}
		return nil
	})
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ReservePort reserves a free port of a host (see faultnet.NewHost) by a listener, which it adds to held.
// A member keeps its address across restarts, so it can't listen on port 0. No other run uses the host, so
// no proxy or connection of another run can take the port between the closing of the listener and the
// member's start.
func ReservePort(host string, held *[]net.Listener) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	*held = append(*held, ln)
	return ln.Addr().String(), nil
}

// AgentSettings are the platform's settings for a fleet under fault schedules.
const AgentSettings = `{"nInstances":6,"rank":0,"resolution":1000,
	"profiles":[{"name":"voice","goalTime":2000000,"deadline":3000000,"worth":1}],
	"stats":{"fields":["spare","total","latency_ms"],"how":"piggyback"},
	"limits":{"maxAttempts":3,"maxRetryAfter":2000000,"retryAfter":true,"cancel":true,"connectTimeout":500000},
	"guarantees":{"answerSlack":20000,"drainGrace":2000000,"cold":14000000,"coldFrom":0.29,"fallMultiple":3,"tipAfter":1000000},
	"domain":{"classHold":[8000000],"clearWait":300000,"repeat":800000,"poolsByClass":[[0]]}}`

// LongDeadlineSettings are AgentSettings with callers that wait for 9 s, an aim of 5 s and up to 5 attempts.
const LongDeadlineSettings = `{"nInstances":6,"rank":0,"resolution":1000,
	"profiles":[{"name":"voice","goalTime":5000000,"deadline":9000000,"worth":1}],
	"stats":{"fields":["spare","total","latency_ms"],"how":"piggyback"},
	"limits":{"maxAttempts":5,"maxRetryAfter":2000000,"retryAfter":true,"cancel":true,"connectTimeout":500000},
	"guarantees":{"answerSlack":20000,"drainGrace":2000000,"cold":14000000,"coldFrom":0.29,"fallMultiple":3,"tipAfter":1000000},
	"domain":{"classHold":[8000000],"clearWait":300000,"repeat":800000,"poolsByClass":[[0]]}}`

// SlowTiming has timeouts long enough that a group keeps its leader through the pauses of a busy machine.
var SlowTiming = replica.TimingConfig{Heartbeat: "1s", Election: "1s", Lease: "800ms"}
