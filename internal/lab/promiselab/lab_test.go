package promiselab

import (
	"context"
	"os"
	"testing"

	"woodrouter/internal/lab"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// TestFaults injects every fault once into a group of three members under load from clients. It guards
// against lost promises, calls claimed by two tokens, and histories that are not linearizable. The
// operators' long run is `woodlab promises schedules`.
func TestFaults(t *testing.T) {
	r, err := Schedule{Seed: 7, Members: 3, Clients: 3}.Run(context.Background(), bin, t.TempDir())
	if err == nil {
		err = r.Err()
	}
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%v: %d operations, %d promised, %d refused", r.Took, r.Operations, r.Promised, r.Refused)
}
