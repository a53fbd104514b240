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

// TestFleet is the short form of `woodlab fleet`: agents as processes, spreading alone and in common,
// while links are lost, agents are stalled and killed, the gossip is partitioned, and most servers are
// replaced under load. It guards against breaking a rule that the checker verifies on the wire, such as
// the cold budget summed over all processes, and against calls at healthy agents that get no answer.
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
