package control

import (
	"context"
	"fmt"
	"log/slog"
	"maps"
	"net/rpc"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// waitLimit limits each wait of a test.
const waitLimit = 20 * time.Second

// testGroup is a group of control machines on loopback: the voters c1, c2 and c3, and c4 without a vote.
type testGroup struct {
	t       *testing.T
	configs map[string]Config
	nodes   map[string]*Node
	client  *Client
}

// host is a loopback address that only this process uses, so that a free port stays free, also while a
// machine is closed. On 127.0.0.1 the other end of any connection could take the port in the meantime.
var (
	host = sync.OnceValues(faultnet.NewHost)
	port atomic.Int64
)

// freeAddress returns an unused address of host.
func freeAddress(t *testing.T) string {
	ip, err := host()
	require.NoError(t, err)
	return fmt.Sprintf("%s:%d", ip, 7000+port.Add(1))
}

// startGroup starts the four machines; they are closed when the test ends.
func startGroup(t *testing.T) *testGroup {
	g := &testGroup{t: t, configs: map[string]Config{}, nodes: map[string]*Node{}}
	noVote, ids := false, []string{"c1", "c2", "c3", "c4"}
	peers, bootstrap := map[string]string{}, []quorum.Peer{}
	for _, id := range ids {
		peers[id] = freeAddress(t)
		bootstrap = append(bootstrap, quorum.Peer{ID: id, Raft: freeAddress(t)})
	}
	bootstrap[3].Voter = &noVote
	for i, id := range ids {
		cfg := Config{
			Config: quorum.Config{ID: id, Raft: bootstrap[i].Raft, Client: peers[id],
				Data: filepath.Join(t.TempDir(), id), Bootstrap: bootstrap, Snapshot: quorum.SnapshotConfig{Entries: 2},
				Timing: quorum.TimingConfig{Heartbeat: "150ms", Election: "150ms", Commit: "10ms", Lease: "100ms"}},
			Rollout: RolloutConfig{Console: freeAddress(t), Peers: peers, Dwell: "50ms", Patience: "1s"}}
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

func (g *testGroup) open(id string) {
	n, err := Open(g.configs[id], slog.New(slog.DiscardHandler))
	require.NoError(g.t, err)
	require.NoError(g.t, n.Serve())
	g.nodes[id] = n
}

func (g *testGroup) close(id string) {
	g.nodes[id].Close()
	delete(g.nodes, id)
}

// leader waits until a machine leads, and returns its id.
func (g *testGroup) leader() (id string) {
	require.Eventually(g.t, func() bool {
		for id = range g.nodes {
			if g.nodes[id].Leading() {
				return true
			}
		}
		return false
	}, waitLimit, 10*time.Millisecond)
	return id
}

func parseName(t *testing.T, text string) rollout.Name {
	n, err := rollout.ParseName(text)
	require.NoError(t, err)
	return n
}

// put changes a document, and retries during elections.
func (g *testGroup) put(e rollout.Entry) (uint64, error) {
	e.Op, e.Author = rollout.OpPut, "ann"
	ctx, cancel := context.WithTimeout(context.Background(), waitLimit)
	defer cancel()
	var number uint64
	err := quorum.Retry(ctx, func() (err error) {
		number, err = g.client.Put(ctx, e)
		return err
	})
	return number, err
}

// testAgent watches one machine, as call agents do.
type testAgent struct {
	t    *testing.T
	conn *rpc.Client
	args rollout.WatchArgs

	mu        sync.Mutex
	lastReply rollout.WatchReply
	texts     map[string]string // by name
}

func (g *testGroup) agent(id, name string) *testAgent {
	conn, err := rpc.Dial("tcp", g.configs[id].Client)
	require.NoError(g.t, err)
	g.t.Cleanup(func() { conn.Close() })
	return &testAgent{t: g.t, conn: conn, texts: map[string]string{},
		args: rollout.WatchArgs{Have: map[string]uint64{}, PatienceMs: 500, Report: rollout.Report{
			Agent: rollout.Agent{Name: name, Service: "lessons", Zone: "z1", Region: "r1"}, Life: 1}}}
}

// watch sends one watch and applies the answer. It fails the test if a document's revision does not rise.
func (a *testAgent) watch() (rollout.WatchReply, error) {
	a.args.Report.Seq++
	args := a.args
	args.Have = maps.Clone(a.args.Have)
	args.Report.Seen = args.Have
	if a.lastReply.AgainMs > 0 {
		args.PatienceMs = a.lastReply.AgainMs
	}
	var r rollout.WatchReply
	if err := a.conn.Call("Rollout.Watch", args, &r); err != nil {
		return r, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastReply = r
	a.args.Version = max(a.args.Version, r.Version)
	for _, d := range r.Docs {
		key := d.Name.String()
		if d.Revision <= a.args.Have[key] {
			a.t.Errorf("%s: %s went from %d to %d", a.args.Report.Agent.Name, key, a.args.Have[key], d.Revision)
		}
		a.args.Have[key], a.texts[key] = d.Revision, string(d.Text)
	}
	return r, nil
}

// run watches in the background until the connection ends.
func (a *testAgent) run() *testAgent {
	go func() {
		for {
			if _, err := a.watch(); err != nil {
				return
			}
		}
	}()
	return a
}

// until waits until the agent's state satisfies ok.
func (a *testAgent) until(what string, ok func() bool) {
	require.Eventually(a.t, func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return ok()
	}, waitLimit, 10*time.Millisecond, "%s: %s", a.args.Report.Agent.Name, what)
}

// has waits until the agent has this text of a document.
func (a *testAgent) has(name, text string) {
	a.until(text, func() bool { return a.texts[name] == text })
}

// TestPutAndWatch checks that a change reaches the watchers of every machine, including the non-voter's,
// that a second put based on the same revision is refused, as are invalid ones, and that an agent that
// comes later gets all documents.
func TestPutAndWatch(t *testing.T) {
	g := startGroup(t)
	agents := []*testAgent{}
	for i, id := range []string{"c1", "c2", "c3", "c4"} {
		a := g.agent(id, fmt.Sprintf("a%d", i+1)).run()
		a.until("up to date", func() bool { return a.lastReply.Machine != "" && !a.lastReply.Lagging })
		agents = append(agents, a)
	}
	routes := parseName(t, "routes@all")
	first, err := g.put(rollout.Entry{Name: routes, Text: []byte("routes: 1")})
	require.NoError(t, err)
	for _, a := range agents {
		a.has("routes@all", "routes: 1")
		a.until("its number", func() bool { return a.args.Have["routes@all"] == first })
	}
	_, err = g.put(rollout.Entry{Name: routes, Base: first - 1, Text: []byte("routes: 2")})
	require.ErrorIs(t, err, rollout.ErrConflict)
	require.ErrorContains(t, err, "ann")
	for _, e := range []rollout.Entry{{Name: routes, Base: first, Text: []byte("routes: [")},
		{Name: routes, Base: first, Text: make([]byte, rollout.MaxTextBytes+1)},
		{Name: rollout.Name{Kind: "a@b"}, Text: []byte("a: 1")}} {
		_, err = g.put(e)
		require.ErrorIs(t, err, rollout.ErrEntry)
	}
	r, err := g.agent("c4", "late").watch()
	require.NoError(t, err)
	require.True(t, r.Whole)
	require.Len(t, r.Docs, 1)
	second, err := g.put(rollout.Entry{Name: routes, Base: first, Text: []byte("routes: 2")})
	require.NoError(t, err)
	require.Greater(t, second, first)
	for _, a := range agents {
		a.has("routes@all", "routes: 2")
		a.until("not whole", func() bool { return !a.lastReply.Whole })
	}
}
