package fleetlab

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// TestFleet is the short form of `woodlab fleet`: agents as processes, alone and in common, with
// links lost, agents stalled and killed, the gossip cut, and most servers replaced in the middle
// of work. The checker reads every rule off the wire, the cold budget summed over all processes;
// every call that a well agent took has its answer.
func TestFleet(t *testing.T) {
	for _, mode := range []string{"alone", "common"} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Minute)
			defer cancel()
			r := Scenario{Bin: bin, Dir: t.TempDir(), Seed: 5, Agents: 12, Servers: 5, Load: 0.6, Choice: -1, FaultSpan: 3 * time.Second, Policy: PolicyAgent,
				Faults: []string{"links lost", "agents stalled", "a tenth restarted", "gossip cut", "six in ten replaced"}}
			require.NoError(t, r.SetMode(mode))
			report, err := r.Run(ctx)
			require.NoError(t, err)
			require.NoError(t, report.Err)
			assert.Greater(t, report.Outcome.Share(), 0.6)
			assert.Equal(t, mode == "common", len(report.SpreadStatus) > 0 && report.SpreadStatus[:2] == "in", report.SpreadStatus)
			report.Print(testWriter{t}, mode, true)
		})
	}
}

type testWriter struct{ t *testing.T }

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Logf("%s", b)
	return len(b), nil
}
