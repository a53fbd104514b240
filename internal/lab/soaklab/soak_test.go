package soaklab

import (
	"context"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// TestSoak is the short form of `woodlab soak`: a few seeds of it, with every deployment.
func TestSoak(t *testing.T) {
	for seed := range uint64(5) {
		playSeed(t, seed+1)
	}
}

func playSeed(t *testing.T, seed uint64) {
	t.Run("", func(t *testing.T) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		report, err := Run(ctx, Config{Bin: bin, Dir: t.TempDir(), Seed: seed})
		require.NoError(t, err)
		assert.Greater(t, report.Served, 50)
		for _, v := range report.Violations {
			t.Errorf("seed %d, %s: %v", seed, report.Deployment, v)
		}
		if t.Failed() {
			t.Log(strings.Join(report.Faults, "\n"))
		}
	})
}
