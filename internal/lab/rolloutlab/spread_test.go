package rolloutlab

import (
	"context"
	"fmt"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
)

var (
	stewardLine = regexp.MustCompile(`steward (\w+), view ([0-9.a-zµ]+) old, (\d+) agents heard`)
	freshView   = time.Second
)

// told is whom an agent tells of its load, how old its view is, and whether it follows one.
func (w *World) told(i int) (steward string, old time.Duration, follows bool) {
	said := w.crew.ConsoleCommand(i, "SPREAD")
	m := stewardLine.FindStringSubmatch(said)
	if m == nil {
		return "", never, false
	}
	old, err := time.ParseDuration(m[2])
	if err != nil {
		old = never
	}
	return m[1], old, strings.HasPrefix(said, "in common true, by control machines")
}

// spreads waits until every agent has a fresh view of a machine that is not one of those lost and,
// if so asked, follows it, and names the machine of the first agent.
func (w *World) spreads(ctx context.Context, t *testing.T, what string, follow bool, lost ...string) (steward string) {
	began := time.Now()
	for {
		ok, states := true, ""
		for i := range w.Real {
			at, old, follows := w.told(i)
			states += fmt.Sprintf(" a%d: %s, %v old, follows %v;", i, at, old, follows)
			ok = ok && at != "" && old < freshView && (follows || !follow)
			for _, id := range lost {
				ok = ok && at != id
			}
			if i == 0 {
				steward = at
			}
		}
		if ok {
			t.Logf("%s: after %v:%s", what, time.Since(began).Round(time.Millisecond), states)
			return steward
		}
		lab.Sleep(ctx, 50*time.Millisecond)
		require.NoError(t, ctx.Err(), "%s:%s\n%s", what, states, w.crew.Logs(0))
	}
}

// TestSpread: agents spread their load by way of the control machines while the steward's machine
// is killed, its successor stopped, and the next one cut off; each time the next machine takes
// over, and with all back all follow. No call is lost and no rule is broken.
func TestSpread(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	w, err := Start(ctx, Plan{Bin: bin, Dir: t.TempDir(), Real: 4, Seed: 9, Delay: 10 * time.Millisecond, Spread: 200 * time.Millisecond})
	require.NoError(t, err)
	defer w.Close()
	first := w.spreads(ctx, t, "all follow", true)
	w.machines[first].Kill()
	w.alive(first, false)
	second := w.spreads(ctx, t, first+" killed", false, first)
	w.machines[second].Suspend()
	w.alive(second, false)
	third := w.spreads(ctx, t, second+" stopped", false, first, second)
	w.Cut(func(a, b string) bool { return a == third })
	w.spreads(ctx, t, third+" cut off", false, first, second, third)
	require.NoError(t, w.launch(w.machines[first]))
	w.machines[second].Resume()
	w.alive(first, true)
	w.alive(second, true)
	w.Heal()
	w.spreads(ctx, t, "all back", true)
	w.stop()
	w.calls.Wait()
	sum, _ := w.calls.Tally()
	assert.Zero(t, sum.Lost)
	assert.NoError(t, w.crew.World.Check.Err())
	assert.Greater(t, sum.Share(), 0.5, "%+v", sum)
	t.Logf("%+v", sum)
}
