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
	maxViewAge  = time.Second
)

// spreadStatus is whom an agent tells of its load, how old its view is, and whether it follows one.
func (w *Fleet) spreadStatus(i int) (steward string, old time.Duration, follows bool) {
	said := w.cluster.ConsoleCommand(i, "SPREAD")
	m := stewardLine.FindStringSubmatch(said)
	if m == nil {
		return "", forever, false
	}
	old, err := time.ParseDuration(m[2])
	if err != nil {
		old = forever
	}
	return m[1], old, strings.HasPrefix(said, "in common true, by control machines")
}

// awaitSpread waits until every agent has a fresh view of a machine that is not one of those lost and,
// if so asked, follows it, and names the machine of the first agent.
func (w *Fleet) awaitSpread(ctx context.Context, t *testing.T, what string, follow bool, lost ...string) (steward string) {
	began := time.Now()
	for {
		ok, states := true, ""
		for i := range w.Real {
			at, old, follows := w.spreadStatus(i)
			states += fmt.Sprintf(" a%d: %s, %v old, follows %v;", i, at, old, follows)
			ok = ok && at != "" && old < maxViewAge && (follows || !follow)
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
		require.NoError(t, ctx.Err(), "%s:%s\n%s", what, states, w.cluster.Logs(0))
	}
}

// TestSpread: agents spread their load by way of the control machines while the steward's machine
// is killed, its successor stopped, and the next one cut off; each time the next machine takes
// over, and with all back all follow. No call is lost and no rule is broken.
func TestSpread(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	w, err := Start(ctx, Config{Bin: bin, Dir: t.TempDir(), Real: 4, Seed: 9, Delay: 10 * time.Millisecond, SpreadPeriod: 200 * time.Millisecond})
	require.NoError(t, err)
	defer w.Close()
	first := w.awaitSpread(ctx, t, "all follow", true)
	w.machines[first].Kill()
	w.setLive(first, false)
	second := w.awaitSpread(ctx, t, first+" killed", false, first)
	w.machines[second].Suspend()
	w.setLive(second, false)
	third := w.awaitSpread(ctx, t, second+" stopped", false, first, second)
	w.Cut(func(a, b string) bool { return a == third })
	w.awaitSpread(ctx, t, third+" cut off", false, first, second, third)
	require.NoError(t, w.launch(w.machines[first]))
	w.machines[second].Resume()
	w.setLive(first, true)
	w.setLive(second, true)
	w.Heal()
	w.awaitSpread(ctx, t, "all back", true)
	w.stop()
	w.callers.Wait()
	sum, _ := w.callers.Tally()
	assert.Zero(t, sum.Lost)
	assert.NoError(t, w.cluster.World.Check.Err())
	assert.Greater(t, sum.Share(), 0.5, "%+v", sum)
	t.Logf("%+v", sum)
}
