package daemon

import (
	"fmt"
	"log/slog"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/fleet/spreader"
	"woodrouter/internal/standin"
	"woodrouter/isup"
	"woodrouter/policy"
	"woodrouter/rollout"
)

// scriptedControl is a control machine whose answer to each watch is given by the test.
type scriptedControl struct{ watches chan pendingWatch }

type pendingWatch struct {
	rollout.WatchArgs
	reply chan rollout.WatchReply
}

func (m scriptedControl) Watch(a rollout.WatchArgs, r *rollout.WatchReply) error {
	w := pendingWatch{a, make(chan rollout.WatchReply, 1)}
	m.watches <- w
	*r = <-w.reply
	return nil
}

// newScriptedControl starts a scripted control machine and writes the agent's rollout file that names it. It
// returns the paths of the file and of the agent's data directory.
func newScriptedControl(t *testing.T) (m scriptedControl, file, data string) {
	m.watches = make(chan pendingWatch, 64)
	server := rpc.NewServer()
	require.NoError(t, server.RegisterName("Rollout", m))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go server.Accept(ln)
	dir := t.TempDir()
	file, data = filepath.Join(dir, "rollout.yaml"), filepath.Join(dir, "data")
	require.NoError(t, os.WriteFile(file, fmt.Appendf(nil, "data: %s\npatience: 30s\ngrace: 5s\nmachines: [{id: c1, client: '%s'}]\n", data, ln.Addr()), 0o600))
	return m, file, data
}

func (m scriptedControl) next(t *testing.T) pendingWatch {
	t.Helper()
	select {
	case w := <-m.watches:
		return w
	case <-time.After(standin.WaitTimeout):
		t.Fatal("the control machine got no watch")
	}
	panic("unreached")
}

func documentReply(kind string, number uint64, text string) rollout.WatchReply {
	return rollout.WatchReply{Machine: "c1", Version: number, Docs: []rollout.Document{{Name: rollout.Name{Kind: kind, Scope: rollout.Scope{Level: rollout.LevelAll}},
		Revision: number, Text: []byte(text), Sum: rollout.Sum([]byte(text)), Removed: text == ""}}}
}

func routesText(pool int) string {
	return fmt.Sprintf("version: 1\ndefaults: {attempt_timeout: 4s, attempts: 2, retry_spacing: 300ms, deadline_share: 1}\n"+
		"routes:\n  - {name: all, match: {class: voice}, servers: [%d]}\n", pool)
}

// TestDistributedConfig checks that a distributed revision takes effect for the next call while an open call
// keeps its route. It has precedence over the agent's own file, which SIGHUP then only checks. A text that
// the loader refuses is reported with its line and field. A restart without an answer from control uses the
// last acknowledged revision. Once the document is removed, the agent's own file is in force.
func TestDistributedConfig(t *testing.T) {
	servers := []*standin.Server{standin.NewServer(t, ""), standin.NewServer(t, "")}
	cfg := testConfig(t, standin.NewBulletin(t, standin.Endpoint("s0", servers[0].Addr, 0, "up"), standin.Endpoint("s1", servers[1].Addr, 1, "up")))
	address, fds := inheritedSockets(t, 2)
	m, file, _ := newScriptedControl(t)
	cfg.Callers, cfg.Rollout, cfg.Routes = fds[0], file, filepath.Join(t.TempDir(), "routes.yaml")
	require.NoError(t, os.WriteFile(cfg.Routes, []byte(routesText(0)), 0o600))
	d, stop, done := startDaemon(t, cfg)
	call := isup.CallID(0x10)
	goesTo := func(pool int, why string) {
		t.Helper()
		call += 0x10
		c := standin.NewCaller(t, address)
		defer c.Close()
		c.SetUp(call, "voice", 5*time.Second, 0)
		g := servers[pool].Await(t, isup.SetUp)
		assert.Equal(t, call, g.Call, why)
		g.Answer("room")
		c.Await(t, isup.Answer, call)
	}
	goesTo(0, "own file")
	w := m.next(t)
	assert.Equal(t, "n0", w.Report.Agent.Name)
	open := standin.NewCaller(t, address)
	open.SetUp(0x10, "voice", 8*time.Second, 1)
	g := servers[0].Await(t, isup.SetUp)
	w.reply <- documentReply(kindRoutes, 3, routesText(1))
	w = m.next(t)
	assert.EqualValues(t, 3, w.Report.InForce[kindRoutes])
	assert.EqualValues(t, 3, w.Report.Seen["routes@all"])
	goesTo(1, "distributed")
	g.Answer("room")
	open.Await(t, isup.Answer, 0x10)
	w.reply <- documentReply(kindRoutes, 4, routesText(0)+"  - {name: other, match: {class: voice, prefix: '1'}, attempts: many}\n")
	w = m.next(t)
	require.Len(t, w.Report.Refused, 1)
	assert.Contains(t, w.Report.Refused[0].Why, "routes:5:")
	assert.Contains(t, w.Report.Refused[0].Why, "attempts")
	w.reply <- documentReply(kindFailover, 5, "every: 1s\n")
	w = m.next(t)
	require.Len(t, w.Report.Refused, 2)
	assert.Contains(t, w.Report.Refused[0].Why, "started without WOODROUTER_FAILOVER")
	goesTo(1, "the former revision stays in force")
	d.Reload()
	goesTo(1, "SIGHUP")
	assert.EqualValues(t, 1, d.reloads.applied.Load())
	answer := askConsole(d.cfg.Console, "ROLLOUT")
	assert.Contains(t, answer, "routes: revision 3 of routes@all in force")
	assert.Contains(t, answer, "own file of routes: "+cfg.Routes+" not in force")
	assert.Contains(t, askConsole(d.cfg.Console, "STATS"), "svc.rollout_revision.routes:3|g")
	require.NoError(t, os.WriteFile(cfg.Routes, []byte("version: 2\n"), 0o600))
	d.Reload()
	assert.EqualValues(t, 1, d.reloads.refused.Load(), "the own file is still checked")
	require.NoError(t, os.WriteFile(cfg.Routes, []byte(routesText(0)), 0o600))

	stop()
	require.NoError(t, <-done)
	cfg.Callers = fds[1]
	again, _, _ := startDaemon(t, cfg)
	goesTo(1, "after a restart, before any machine has answered")
	for former := w.Report.Life; w.Report.Life == former; {
		w = m.next(t)
	}
	assert.EqualValues(t, 3, w.Report.Seen["routes@all"], "the revision never decreases")
	w.reply <- documentReply(kindRoutes, 9, "")
	w = m.next(t)
	assert.Zero(t, w.Report.InForce[kindRoutes])
	goesTo(0, "removed: the own file is in force")
	calls, failed := again.distribution.Calls()
	assert.Equal(t, [2]uint64{2, 0}, [2]uint64{calls, failed})
}

// TestRolloutFileRefusedAtStart checks that a rollout file with an invalid address ends the program.
func TestRolloutFileRefusedAtStart(t *testing.T) {
	cfg := testConfig(t, standin.NewBulletin(t))
	cfg.Rollout = filepath.Join(t.TempDir(), "rollout.yaml")
	require.NoError(t, os.WriteFile(cfg.Rollout, []byte("data: /d\nmachines: [{id: c1, client: nowhere}]\n"), 0o600))
	_, err := New(cfg, slog.New(slog.DiscardHandler))
	assert.ErrorContains(t, err, "rollout.yaml: field machines[0].client")
}

// TestSpreadConfig checks that the steward at an agent has the policy's number of senders. Otherwise it would
// grant rights to a cold server as if all were lent.
func TestSpreadConfig(t *testing.T) {
	file, err := spreader.LoadConfig("../../deploy/spread-control.yaml")
	require.NoError(t, err)
	c := spreadConfig(file, "a7", policy.Settings{Rank: 7, Senders: 27})
	require.Equal(t, []any{"a7", 7, 27, "lessons", []string{"c1", "c2", "c3", "c4"}, 500 * time.Millisecond},
		[]any{c.Name, c.Rank, c.Senders, c.Service, c.Stewards, c.Period})
}
