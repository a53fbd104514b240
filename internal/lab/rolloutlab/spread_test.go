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

// spreadStatus returns the steward to which an agent reports its load, the age of the agent's view, and
// whether the agent follows the view.
func (f *Fleet) spreadStatus(i int) (steward string, old time.Duration, follows bool) {
	answer := f.cluster.ConsoleCommand(i, "SPREAD")
	m := stewardLine.FindStringSubmatch(answer)
	if m == nil {
		return "", forever, false
	}
	old, err := time.ParseDuration(m[2])
	if err != nil {
		old = forever
	}
	return m[1], old, strings.HasPrefix(answer, "in common true, by control machines")
}

// awaitSpread waits until every agent has a fresh view from a machine that is not lost and, with follow,
// follows it. It returns the first agent's machine.
func (f *Fleet) awaitSpread(ctx context.Context, t *testing.T, what string, follow bool, lost ...string) (steward string) {
	began := time.Now()
	for {
		ok, states := true, ""
		for i := range f.Real {
			at, old, follows := f.spreadStatus(i)
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
		require.NoError(t, ctx.Err(), "%s:%s\n%s", what, states, f.cluster.Logs(0))
	}
}

// TestSpread checks that agents spread their load through the control machines while the steward's machine is
// killed, its successor suspended and the next one cut off. Each time another machine must take over, and
// when all are back every agent must follow a view. No call is lost and no protocol rule is broken. It guards
// against a steward that is not replaced after its machine fails.
func TestSpread(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	f, err := Start(ctx, Config{Bin: bin, Dir: t.TempDir(), Real: 4, Seed: 9, Delay: 10 * time.Millisecond, SpreadPeriod: 200 * time.Millisecond})
	require.NoError(t, err)
	defer f.Close()
	first := f.awaitSpread(ctx, t, "all follow", true)
	f.machines[first].Kill()
	f.setLive(first, false)
	second := f.awaitSpread(ctx, t, first+" killed", false, first)
	f.machines[second].Suspend()
	f.setLive(second, false)
	third := f.awaitSpread(ctx, t, second+" stopped", false, first, second)
	f.Cut(func(a, b string) bool { return a == third })
	f.awaitSpread(ctx, t, third+" cut off", false, first, second, third)
	require.NoError(t, f.launch(f.machines[first]))
	f.machines[second].Resume()
	f.setLive(first, true)
	f.setLive(second, true)
	f.Heal()
	f.awaitSpread(ctx, t, "all back", true)
	f.stop()
	f.callers.Wait()
	sum, _ := f.callers.Tally()
	assert.Zero(t, sum.Lost)
	assert.NoError(t, f.cluster.World.Check.Err())
	assert.Greater(t, sum.Share(), 0.5, "%+v", sum)
	t.Logf("%+v", sum)
}
