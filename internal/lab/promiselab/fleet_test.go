package promiselab

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/internal/lab"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// TestAgentSchedule injects each fault once, in an order drawn from a seed, into six agents while
// callers place calls. The operators' long run is `woodlab promises agents`.
func TestAgentSchedule(t *testing.T) {
	r, err := AgentSchedule{Seed: 5, Agents: 6, Steps: len(agentFaults), Callers: 4}.Run(context.Background(), bin, t.TempDir())
	require.NoError(t, err)
	require.NoError(t, r.Err())
	t.Logf("%v: %d asked, %d served, %d turned away, %d unheard, %d calls", r.Took, r.Asked, r.Served, r.Refused, r.Unanswered, r.ServedCalls)
}

// TestAgents runs six call agents in two groups of three against one setup server. It guards against
// losing an agent's promises with its machine and disk, sending a call again that a dead agent had
// already sent, forgetting a drain at a restart, and an agent that hangs when it is cut off from the
// others: it must refuse at once while they continue to serve.
func TestAgents(t *testing.T) {
	server := standin.NewServer(t, "")
	bulletin := standin.NewBulletin(t, standin.Endpoint("s0", server.Addr, 0, "up"))
	f, err := lab.StartFleet(bin, t.TempDir(), 6, 7, lab.FleetConfig{Settings: json.RawMessage(lab.LongDeadlineSettings), Timing: lab.SlowTiming,
		Bulletin: func(string) (string, any) { return bulletin.Addr, bulletin.EventsAfter(0) }})
	require.NoError(t, err)
	defer f.Close()
	defer func() {
		if t.Failed() {
			t.Log(f.Logs())
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Minute)
	defer cancel()
	for name := range f.Agents {
		require.NoError(t, f.AwaitLeaders(ctx, name))
	}
	go func() { // answers calls below 1000 at once and others never
		for g := range server.Received {
			if g.Type == isup.SetUp && g.Call < 1000 {
				g.Answer(fmt.Sprint("room of ", g.Call))
			}
		}
	}()
	ask := func(agent string, id isup.CallID) isup.Message {
		c := standin.NewCaller(t, f.Agents[agent].Listen)
		c.SetUp(id, "voice", 9*time.Second, 0)
		m, err := c.Next()
		require.NoError(t, err, "%s, call %v", agent, id)
		require.Equal(t, id, m.Call)
		return m
	}
	served := func(agent string, id isup.CallID) {
		m := ask(agent, id)
		d := m.Text(isup.Description)
		require.Equal(t, isup.Answer, m.Type, "%s, call %v", agent, id)
		require.Equal(t, fmt.Sprint("room of ", id), d)
		require.Equal(t, 1, server.Count(isup.SetUp, id))
	}
	refused := func(agent string, id isup.CallID, sent int) {
		m := ask(agent, id)
		away, err := m.Millis(isup.RetryAfter)
		require.Equal(t, isup.Release, m.Type, "%s, call %v", agent, id)
		require.True(t, err == nil && away > 0, "%s, call %v: retry after %v", agent, id, away)
		require.Equal(t, sent, server.Count(isup.SetUp, id))
	}

	for id := isup.CallID(1); id <= 20; id++ {
		served("a1", id)
	}
	require.NoError(t, f.KillAndWipe("a1"))
	for i := 2; i <= 6; i++ {
		require.NoError(t, f.AwaitLeaders(ctx, fmt.Sprint("a", i)))
	}
	for id := isup.CallID(1); id <= 20; id++ { // other agents give the same answer and send no second copy
		served(fmt.Sprint("a", 2+int(id%5)), id)
	}

	for id := isup.CallID(21); id <= 30; id++ { // until a4 knows the server, it sends it one call at a time
		served("a4", id)
	}
	dying := standin.NewCaller(t, f.Agents["a4"].Listen)
	open, sent := []isup.CallID{1001, 1002, 1003}, map[isup.CallID]int{}
	for _, id := range open {
		dying.SetUp(id, "voice", 9*time.Second, 0)
	}
	for _, id := range open {
		require.Eventually(t, func() bool { return server.Count(isup.SetUp, id) > 0 }, standin.WaitTimeout, time.Millisecond)
	}
	f.Agents["a4"].Kill()
	for _, id := range open { // sent with unknown outcome: must be refused and never sent again
		sent[id] = server.Count(isup.SetUp, id)
	}
	require.NoError(t, f.AwaitLeaders(ctx, "a2"))
	for _, id := range open {
		refused("a2", id, sent[id])
		refused("a3", id, sent[id])
	}
	require.NoError(t, f.Start("a4"))
	require.NoError(t, f.Start("a1"))
	require.NoError(t, f.AwaitConsole(ctx, "a1", "READY", "SUCCESS"))
	served("a1", 5) // without its disk, a1 reads its own promise as a client of the groups

	f.Agents["a1"].Kill() // a1 joins its group again under a new id, so the group survives another loss
	require.NoError(t, f.ReplaceLost(ctx, "a1"))
	f.Agents["a2"].Kill()
	require.NoError(t, f.AwaitLeaders(ctx, "a3"))
	served("a3", 4)
	served("a3", 40)
	require.NoError(t, f.Start("a2"))

	require.NoError(t, f.AwaitConsole(ctx, "a5", "DRAIN", "SUCCESS"))
	f.Agents["a5"].Kill()
	require.NoError(t, f.Start("a5"))
	require.NoError(t, f.AwaitConsole(ctx, "a5", "READY", "FAILURE"))
	require.NoError(t, f.AwaitConsole(ctx, "a5", "UNDRAIN", "SUCCESS"))
	require.NoError(t, f.AwaitConsole(ctx, "a5", "READY", "SUCCESS"))

	f.Partition("a6")
	began := time.Now()
	refused("a6", 900, 0)
	require.Less(t, time.Since(began), 5*time.Second) // "at once", with room for a slow machine
	require.Contains(t, f.ConsoleCommand("a6", "DRAIN"), "nothing changed here")
	require.NoError(t, f.AwaitLeaders(ctx, "a2"))
	served("a2", 901)
	f.Partition()
	require.NoError(t, f.AwaitLeaders(ctx, "a6"))
	served("a6", 902)
}
