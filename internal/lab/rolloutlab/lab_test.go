package rolloutlab

import (
	"context"
	"errors"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"woodrouter/internal/lab"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// TestSchedule plays the hard cases once each, those of the machines and those of the agents and
// documents in a world of their own: four control machines, two agents with callers and twenty
// without. The operators' long run is `woodlab rollout schedules`.
func TestSchedule(t *testing.T) {
	runs := map[string][]string{
		"machines": {"leader stalled in a commit", "machine killed", "machine back with an old disk", "watched machine cut off", "regions cut"},
		"documents": {"a tenth of the agents restarted", "zone gone and back", "ten changes in a second", "refused by some",
			"first stage fails, next waits", "agent's disk unusable", "junk to a machine", "narrow document comes and goes"},
	}
	var both sync.WaitGroup
	for name, only := range runs {
		dir := t.TempDir()
		both.Go(func() { // both at once also where there is one processor: they wait most of the time
			r, err := Schedule{Seed: 3, Hollow: 20, Real: 2, Only: only, Delay: 30 * time.Millisecond, RegionCut: 2 * time.Second}.Run(context.Background(), bin, dir)
			assert.NoError(t, errors.Join(r.Err(), err), name)
			for i, f := range r.Faults {
				t.Logf("%s: %v", f, r.FaultDurations[i])
			}
			t.Logf("%s: %v: puts %v, %d changes everywhere, calls %+v", name, r.Elapsed, r.Puts, len(r.Propagations), r.Calls)
		})
	}
	both.Wait()
}
