package cluster

import (
	"context"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
	"woodrouter/internal/lab/emulator"
)

var bin string

func TestMain(m *testing.M) { os.Exit(lab.BuildAndRun(m, &bin)) }

// TestDeployments injects the same faults in four deployments that differ in all their settings: a server
// drains and its replacement starts cold, another goes silent, and an agent is stopped with SIGTERM under
// load and started again. It guards against agents that break one of the checker's rules or leave a call
// without an answer under some combination of settings, and against losing half of the worth.
func TestDeployments(t *testing.T) {
	for _, d := range []emulator.Deployment{emulator.Campus(), emulator.Offices(), emulator.Islands(), emulator.Plain()} {
		t.Run(d.Name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
			defer cancel()
			c, err := Start(ctx, Config{Bin: bin, Dir: t.TempDir(), Deployment: d, Agents: 4, Servers: 3, Seed: 7})
			require.NoError(t, err)
			defer c.Close()
			calls := c.StartCallers(ctx, emulator.Load{Rates: emulator.UnevenRates(4, 0.6*d.Total(3), 7), Seed: 7, ChoiceVariation: 0.4, ChoicePeriod: 5 * time.Second})
			playFaults(ctx, t, c, calls)
			calls.Wait()
			sum, _ := calls.Tally()
			require.NoError(t, c.World.Check.Err())
			require.Greater(t, sum.Share(), 0.5, "%+v", sum)
			t.Logf("%+v", sum)
			if t.Failed() {
				t.Log(c.Logs(0, 1, 2, 3))
			}
		})
	}
}

// playFaults injects the faults of TestDeployments, one after another.
func playFaults(ctx context.Context, t *testing.T, c *Cluster, calls *emulator.Callers) {
	lab.Sleep(ctx, 2*time.Second)
	servers := c.World.Listed()
	_, err := c.World.Replace(ctx, servers[0], 3*time.Second) // it drains, and a cold server replaces it
	require.NoError(t, err)
	servers[1].GoSilent()
	lab.Sleep(ctx, 2*time.Second)
	require.NoError(t, c.World.Restart(servers[1]))
	c.Procs[1].Term() // it must answer the calls it has accepted, and new ones still arrive
	asked := time.Now()
	lab.Sleep(ctx, 300*time.Millisecond)
	calls.Divert(1, true)
	// The platform sends no callers that long after an agent began to stop. If a busy machine delayed this
	// test, the agent need not answer those that came too late.
	if time.Since(asked) > 600*time.Millisecond {
		calls.MarkFaulty(1, true)
	}
	<-c.Procs[1].Done()
	calls.MarkFaulty(1, true)
	require.NoError(t, c.StartAgent(1))
	require.NoError(t, c.AwaitReady(ctx, 1))
	calls.MarkFaulty(1, false)
	calls.Divert(1, false)
	lab.Sleep(ctx, 3*time.Second)
}

// TestColdFleet guards against a fleet that overloads a cold server although each agent keeps to its own part
// of the server's budget. Thirty agents are idle for a while, so that none has used its part, and then all
// get a burst of calls at the same time. The unused parts together must stay within one window's budget. One
// agent in three is killed and started again before that.
func TestColdFleet(t *testing.T) {
	const agents = 30
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	d := emulator.Campus()
	d.FallMultiple, d.Cold = 1.1, time.Minute
	c, err := Start(ctx, Config{Bin: bin, Dir: t.TempDir(), Deployment: d, Agents: agents, Servers: 3, Seed: 7})
	require.NoError(t, err)
	defer c.Close()
	calls := c.StartCallers(ctx, emulator.Load{Rates: emulator.UnevenRates(agents, 4*d.Total(3), 7), Seed: 7, ChoiceVariation: 0.4, ChoicePeriod: 5 * time.Second})
	calls.Scale(0.2)
	lab.Sleep(ctx, 5*time.Second) // the agents learn the servers' capacity under load
	calls.Scale(0.02)
	_, err = c.World.Replace(ctx, c.World.Listed()[0], 3*time.Second)
	require.NoError(t, err)
	for i := 0; i < agents; i += 3 {
		calls.MarkFaulty(i, true)
		c.Procs[i].Kill()
		require.NoError(t, c.StartAgent(i))
	}
	for i := 0; i < agents; i += 3 {
		require.NoError(t, c.AwaitReady(ctx, i))
		calls.MarkFaulty(i, false)
	}
	lab.Sleep(ctx, 3*time.Second) // about the time in which each agent gets its part once
	calls.Scale(1)
	lab.Sleep(ctx, 2*time.Second)
	calls.Scale(0.02)
	calls.Wait()
	require.NoError(t, c.World.Check.Err())
}
