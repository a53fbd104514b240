package control

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/rpc"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// wait bounds what a test waits for.
const wait = 20 * time.Second

// machines are a group of control machines on loopback, three of them voters, c4 none.
type machines struct {
	t       *testing.T
	configs map[string]Config
	nodes   map[string]*Node
	client  *Client
}

func free(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func start(t *testing.T) *machines {
	g := &machines{t: t, configs: map[string]Config{}, nodes: map[string]*Node{}}
	no, ids := false, []string{"c1", "c2", "c3", "c4"}
	peers, boot := map[string]string{}, []quorum.Peer{}
	for _, id := range ids {
		peers[id] = free(t)
		boot = append(boot, quorum.Peer{ID: id, Raft: free(t)})
	}
	boot[3].Voter = &no
	for i, id := range ids {
		cfg := Config{Config: quorum.Config{ID: id, Raft: boot[i].Raft, Client: peers[id], Data: filepath.Join(t.TempDir(), id),
			Bootstrap: boot, Timing: quorum.TimingConfig{Heartbeat: "150ms", Election: "150ms", Commit: "10ms", Lease: "100ms"}},
			Rollout: RolloutConfig{Console: free(t), Peers: peers, Dwell: "50ms"}}
		require.NoError(t, cfg.Valid())
		g.configs[id] = cfg
		g.open(id)
	}
	g.client = NewClient(peers)
	t.Cleanup(func() {
		g.client.Close()
		for _, id := range slices.Collect(maps.Keys(g.nodes)) {
			g.close(id)
		}
	})
	return g
}

func (g *machines) open(id string) {
	n, err := Open(g.configs[id], slog.New(slog.DiscardHandler))
	require.NoError(g.t, err)
	require.NoError(g.t, n.Serve())
	g.nodes[id] = n
}

func (g *machines) close(id string) {
	g.nodes[id].Close()
	delete(g.nodes, id)
}

// leader is the machine that leads, once there is one.
func (g *machines) leader() (id string) {
	require.Eventually(g.t, func() bool {
		for id = range g.nodes {
			if g.nodes[id].Leading() {
				return true
			}
		}
		return false
	}, wait, 10*time.Millisecond)
	return id
}

func name(t *testing.T, text string) rollout.Name {
	n, err := rollout.ParseName(text)
	require.NoError(t, err)
	return n
}

// put has a change taken, however long an election takes.
func (g *machines) put(e rollout.Entry) (uint64, error) {
	e.Op, e.Author = rollout.OpPut, "ann"
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var number uint64
	err := quorum.Patiently(ctx, func() (err error) {
		number, err = g.client.Put(ctx, e)
		return err
	})
	return number, err
}

// agent watches one machine, as call agents do.
type agent struct {
	t    *testing.T
	conn *rpc.Client
	args rollout.WatchArgs
}

func (g *machines) agent(id, name string) *agent {
	conn, err := rpc.Dial("tcp", g.configs[id].Client)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { conn.Close() })
	return &agent{g.t, conn, rollout.WatchArgs{Have: map[string]uint64{}, PatienceMs: 2000,
		Report: rollout.Report{Agent: rollout.Agent{Name: name, Service: "lessons", Zone: "z1", Region: "r1"}, Life: 1}}}
}

func (a *agent) ask() *rpc.Call {
	a.args.Report.Seq++
	args := a.args
	args.Have = maps.Clone(a.args.Have)
	return a.conn.Go("Rollout.Watch", args, &rollout.WatchReply{}, make(chan *rpc.Call, 1))
}

func (a *agent) answer(call *rpc.Call) rollout.WatchReply {
	select {
	case <-call.Done:
	case <-time.After(wait):
		require.FailNow(a.t, "no answer")
	}
	require.NoError(a.t, call.Error)
	r := *call.Reply.(*rollout.WatchReply)
	a.args.Version = max(a.args.Version, r.Version)
	for _, d := range r.Docs {
		a.args.Have[d.Name.String()] = d.Revision
	}
	return r
}

func (a *agent) watch() rollout.WatchReply { return a.answer(a.ask()) }

// until watches until an answer is as wished.
func (a *agent) until(what string, ok func(rollout.WatchReply) bool) rollout.WatchReply {
	for began := time.Now(); time.Since(began) < wait; {
		if r := a.watch(); ok(r) {
			return r
		}
	}
	require.FailNow(a.t, what)
	return rollout.WatchReply{}
}

func has(text string) func(rollout.WatchReply) bool {
	return func(r rollout.WatchReply) bool {
		return slices.ContainsFunc(r.Docs, func(d rollout.Document) bool { return string(d.Text) == text })
	}
}

// TestPutAndWatch: a change taken at the leader comes to watchers of every machine, the one
// without a vote among them; a second put against the same revision is refused, and whoever
// comes late gets the whole set.
func TestPutAndWatch(t *testing.T) {
	g := start(t)
	agents := map[string]*agent{}
	for i, id := range []string{"c1", "c2", "c3", "c4"} {
		agents[id] = g.agent(id, fmt.Sprintf("a%d", i+1))
		agents[id].until("up to date", func(r rollout.WatchReply) bool { return !r.Lagging })
	}
	routes := name(t, "routes@all")
	first, err := g.put(rollout.Entry{Name: routes, Text: []byte("routes: 1")})
	require.NoError(t, err)
	require.Positive(t, first)
	for id, a := range agents {
		r := a.until(id, has("routes: 1"))
		require.Equal(t, first, r.Docs[0].Revision, id)
	}
	_, err = g.put(rollout.Entry{Name: routes, Base: first - 1, Text: []byte("routes: 2")})
	require.ErrorIs(t, err, rollout.ErrConflict)
	require.ErrorContains(t, err, "ann")
	for _, e := range []rollout.Entry{{Name: routes, Base: first, Text: []byte("routes: [")}, {Name: routes, Base: first, Text: make([]byte, rollout.MaxText+1)},
		{Name: rollout.Name{Kind: "a@b"}, Text: []byte("a: 1")}} {
		_, err = g.put(e)
		require.ErrorIs(t, err, rollout.ErrEntry)
	}
	late := g.agent("c4", "late").until("late", has("routes: 1"))
	require.True(t, late.Whole)
	second, err := g.put(rollout.Entry{Name: routes, Base: first, Text: []byte("routes: 2")})
	require.NoError(t, err)
	require.Greater(t, second, first)
	r := agents["c4"].until("second", has("routes: 2"))
	require.False(t, r.Whole)
	require.Len(t, r.Docs, 1)
}
