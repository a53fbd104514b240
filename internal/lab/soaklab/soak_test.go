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
		playSeed(t, seed+1, nil)
	}
}

// TestCallAtRemovedServerEnds guards against a call that is set up at a server after its removal, on a replaced
// connection, and whose end its caller never hears.
func TestCallAtRemovedServerEnds(t *testing.T) {
	for _, seed := range []uint64{5, 2, 3} {
		playSeed(t, seed, []string{RemoveStalled})
	}
}

// TestSettingsChanges guards the answers of the call API's clients against changes of its settings, also several in a row, and
// against clients that go on after they may no longer connect.
func TestSettingsChanges(t *testing.T) {
	for _, seed := range []uint64{1, 3, 4} {
		playSeed(t, seed, []string{SettingsChanged})
	}
}

// TestRestartBehindForgottenConnections guards the ends of calls at a server that restarts at its address while discovery is silent
// and its idle connections are forgotten, so that no reset tells of the restart.
func TestRestartBehindForgottenConnections(t *testing.T) {
	playSeed(t, 13, []string{RestartUnseen, IdleEnded})
}

func playSeed(t *testing.T, seed uint64, faults []string) {
	t.Run("", func(t *testing.T) {
		t.Parallel()
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
		defer cancel()
		report, err := Run(ctx, Config{Bin: bin, Dir: t.TempDir(), Seed: seed, Faults: faults})
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

// TestFloodsOfBadClients guards the memory limit and the callers' answers and ends against bad clients that send at full
// speed.
func TestFloodsOfBadClients(t *testing.T) {
	for _, seed := range []uint64{2, 5} {
		playSeed(t, seed, []string{Flood})
	}
}
