// Package lab is the laboratory's common part: call agents as processes of the program with a
// proxy on every link between them, the setup server and the callers that schedules of faults
// use, and the draw of faults from a seed. A package each beside it holds promises, zones and
// the fleet at size; cmd/woodlab runs them. The daemon does not use it. Loopback only.
package lab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"woodrouter/internal/fleet/replica"
)

// ScheduleMost bounds a schedule's faults; ReadMost what reading every promise back takes.
const (
	ScheduleTimeout = 3 * time.Minute
	ReadBackTimeout = time.Minute
)

// DrawFaults is which of n faults a schedule's steps play, by its seed; a run long enough has each
// once, in order, before it draws.
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

// StepTimeout bounds one step of a schedule: on a busy machine a step takes a few seconds.
const StepTimeout = 45 * time.Second

// RunStep plays one step within StepMost; what it waited for then is in its error.
func RunStep(ctx context.Context, play func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, StepTimeout)
	defer cancel()
	return play(ctx)
}

// AwaitProgress waits within StepMost until count has risen by n. An error says how far it came and
// what those it waits for say of themselves.
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

// Sleep is a fault's own length.
func Sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ReservePort holds a free port of a host (faultnet.NewHost) until release: a member's addresses
// must outlive its lives, so port 0 alone can't serve. The host is one run's own, so that between
// release and the member's start no proxy and no connection of a run beside it takes the port.
func ReservePort(host string, held *[]net.Listener) (string, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	*held = append(*held, ln)
	return ln.Addr().String(), nil
}

// AgentSettings are the platform's settings of a fleet under schedules of faults.
const AgentSettings = `{"nInstances":6,"rank":0,"resolution":1000,
	"profiles":[{"name":"voice","goalTime":2000000,"deadline":3000000,"worth":1}],
	"stats":{"fields":["spare","total","latency_ms"],"how":"piggyback"},
	"limits":{"maxAttempts":3,"maxRetryAfter":2000000,"retryAfter":true,"cancel":true,"connectTimeout":500000},
	"guarantees":{"answerSlack":20000,"drainGrace":2000000,"cold":14000000,"coldFrom":0.29,"fallMultiple":3,"tipAfter":1000000},
	"domain":{"classHold":[8000000],"clearWait":300000,"repeat":800000,"poolsByClass":[[0]]}}`

// LongDeadlineSettings are the same with callers who wait for 9 s.
const LongDeadlineSettings = `{"nInstances":6,"rank":0,"resolution":1000,
	"profiles":[{"name":"voice","goalTime":5000000,"deadline":9000000,"worth":1}],
	"stats":{"fields":["spare","total","latency_ms"],"how":"piggyback"},
	"limits":{"maxAttempts":5,"maxRetryAfter":2000000,"retryAfter":true,"cancel":true,"connectTimeout":500000},
	"guarantees":{"answerSlack":20000,"drainGrace":2000000,"cold":14000000,"coldFrom":0.29,"fallMultiple":3,"tipAfter":1000000},
	"domain":{"classHold":[8000000],"clearWait":300000,"repeat":800000,"poolsByClass":[[0]]}}`

// SlowTiming are a group's timers where a busy machine's pauses must not cost it its leader.
var SlowTiming = replica.TimingConfig{Heartbeat: "1s", Election: "1s", Lease: "800ms"}
