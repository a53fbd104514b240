// Package promiselab is the laboratory of replicated promises: it starts members and agents as
// processes of the program, puts faults between them from a seed, checks what clients saw for
// linearizability, and measures. It runs in tests and behind cmd/woodlab; the daemon does not
// use it. Loopback only.
package promiselab

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/lab"
)

// Group is a group of members, each its own process of the program, with a fault proxy on
// every directed link between them: the harness of the fault tests and of the operators'
// long runs (docs/replication.md). Loopback only.
type Group struct {
	Dir     string
	Entries uint64 // entries from snapshot to snapshot
	Procs   map[string]*faultnet.Proc
	Mesh    faultnet.Mesh
	raft    map[string]string // id -> real log address
	client  map[string]string // id -> client address
	configs map[string]replica.Config
}

// StartGroup starts n members named n1..nN from bin under dir, bootstrapped together. entries
// is how many entries lie between snapshots; few, so that a test passes several.
func StartGroup(bin, dir string, n int, seed, entries uint64) (*Group, error) {
	g := &Group{Dir: dir, Entries: entries, Procs: map[string]*faultnet.Proc{}, raft: map[string]string{},
		client: map[string]string{}, configs: map[string]replica.Config{}}
	var boot []replica.Peer
	host, err := faultnet.NewHost()
	if err != nil {
		return nil, err
	}
	var held []net.Listener
	release := func() {
		for _, ln := range held {
			ln.Close()
		}
	}
	for i := 1; i <= n; i++ {
		id := fmt.Sprintf("n%d", i)
		r, err := lab.ReservePort(host, &held)
		if err != nil {
			release()
			return nil, err
		}
		c, err := lab.ReservePort(host, &held)
		if err != nil {
			release()
			return nil, err
		}
		g.raft[id], g.client[id] = r, c
		boot = append(boot, replica.Peer{ID: id, Raft: r})
	}
	g.Mesh, err = faultnet.NewMesh(g.raft, seed)
	release() // the members take their ports from here
	if err != nil {
		return nil, err
	}
	for id := range g.raft {
		if err := g.add(bin, id, id, boot); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// add writes a member's file and starts it; name is the process (and its links), id its
// id in the group, which a member with a wiped disk takes anew.
func (g *Group) add(bin, name, id string, boot []replica.Peer) error {
	links := map[string]string{}
	for to, l := range g.Mesh[name] {
		links[g.raft[to]] = l.Addr()
	}
	c := replica.Config{ID: id, Raft: g.raft[name], Client: g.client[name], Data: filepath.Join(g.Dir, id),
		Bootstrap: boot, Links: links, Snapshot: replica.SnapshotConfig{Entries: g.Entries}}
	data, err := yaml.Marshal(c)
	if err != nil {
		return err
	}
	path := filepath.Join(g.Dir, id+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	g.configs[name] = c
	p := &faultnet.Proc{Name: name, Bin: bin, Args: []string{"replica", path}, Data: c.Data}
	g.Procs[name] = p
	return p.Start()
}

// Replace gives a member whose disk was wiped a new id, with no bootstrap, so that it can't
// vote twice in a term it forgot; the leader removes the old id and adds the new one.
func (g *Group) Replace(ctx context.Context, name, newID string) error {
	old := g.configs[name]
	g.Procs[name].Kill()
	if err := g.Procs[name].WipeData(); err != nil {
		return err
	}
	if _, err := g.Leader(ctx); err != nil { // the member may have led: wait for the next
		return err
	}
	admin := g.Client()
	defer admin.Close()
	if err := replica.Retry(ctx, func() error { return admin.Remove(ctx, old.ID) }); err != nil {
		return fmt.Errorf("remove %s: %w", old.ID, err)
	}
	if err := g.add(g.Procs[name].Bin, name, newID, nil); err != nil {
		return err
	}
	return replica.Retry(ctx, func() error { return admin.Join(ctx, newID, g.raft[name]) })
}

// Client reaches the group through every member.
func (g *Group) Client() *replica.Client { return replica.NewClient(g.client) }

// ClientOf reaches the group through one member only, as a caller on its side of a cut.
func (g *Group) ClientOf(name string) *replica.Client {
	return replica.NewClient(map[string]string{name: g.client[name]})
}

// statusMost bounds a look at one member: a stalled one says nothing.
const statusMost = 2 * time.Second

// Status asks one member for its view.
func (g *Group) Status(name string) (replica.StatusReply, error) {
	c := g.ClientOf(name)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), statusMost)
	defer cancel()
	return c.Status(ctx, name)
}

// Leader waits until the running members agree on one leader, and names its process.
func (g *Group) Leader(ctx context.Context) (string, error) {
	for {
		if name, ok := g.agreed(); ok {
			return name, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no leader agreed: %w: %s", ctx.Err(), g.states())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (g *Group) agreed() (string, bool) {
	leaders := map[string]bool{}
	leader := ""
	for name, p := range g.Procs {
		if !p.Running() {
			continue
		}
		s, err := g.Status(name)
		if err != nil || s.Leader == "" {
			return "", false
		}
		leaders[s.Leader] = true
		if s.State == "Leader" {
			leader = name
		}
	}
	return leader, len(leaders) == 1 && leader != ""
}

// states is what each member's process says of itself, for a step that did not end.
func (g *Group) states() string {
	var out []string
	for _, name := range g.Names() {
		s, err := g.Status(name)
		out = append(out, fmt.Sprintf("%s runs %v, %+v %v", name, g.Procs[name].Running(), s, err))
	}
	return strings.Join(out, "; ")
}

// CaughtUp waits until a member has applied at least index.
func (g *Group) CaughtUp(ctx context.Context, name string, index uint64) error {
	for {
		if s, err := g.Status(name); err == nil && s.Applied >= index {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s not caught up to %d: %w", name, index, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Names are the members' process names, in order.
func (g *Group) Names() []string {
	out := make([]string, 0, len(g.Procs))
	for n := range g.Procs {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Logs is every member's log, for a failed test.
func (g *Group) Logs() string {
	out := ""
	for _, n := range g.Names() {
		out += g.Procs[n].Log()
	}
	return out
}

// Close kills every member and ends the links.
func (g *Group) Close() {
	for _, p := range g.Procs {
		p.Kill()
	}
	g.Mesh.Close()
}
