// Package promiselab tests and measures replicated promises. It starts group members and agents as
// processes of the program on loopback, injects faults drawn from a seed, checks the clients' histories
// for linearizability, and measures latencies. Tests and cmd/woodlab use it; the daemon does not.
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

// Group is a replication group on loopback. Each member is a process of the program, with a fault proxy
// on every directed link between members. The fault tests and the operators' long runs
// (docs/replication.md) use it.
type Group struct {
	Dir             string
	SnapshotEntries uint64 // log entries between snapshots
	Procs           map[string]*faultnet.Proc
	Mesh            faultnet.Mesh
	raftAddrs       map[string]string // by process name: the member's own Raft address, without a proxy
	clientAddrs     map[string]string // by process name
	configs         map[string]replica.Config
}

// StartGroup starts n members named n1..nN from bin under dir, bootstrapped together. entries is the
// number of log entries between snapshots; a small number makes a test go through several snapshots.
func StartGroup(bin, dir string, n int, seed, entries uint64) (*Group, error) {
	g := &Group{Dir: dir, SnapshotEntries: entries, Procs: map[string]*faultnet.Proc{}, raftAddrs: map[string]string{},
		clientAddrs: map[string]string{}, configs: map[string]replica.Config{}}
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
		raftAddr, err := lab.ReservePort(host, &held)
		if err != nil {
			release()
			return nil, err
		}
		clientAddr, err := lab.ReservePort(host, &held)
		if err != nil {
			release()
			return nil, err
		}
		g.raftAddrs[id], g.clientAddrs[id] = raftAddr, clientAddr
		boot = append(boot, replica.Peer{ID: id, Raft: raftAddr})
	}
	g.Mesh, err = faultnet.NewMesh(g.raftAddrs, seed)
	release() // from here on the members listen on these ports
	if err != nil {
		return nil, err
	}
	for id := range g.raftAddrs {
		if err := g.startMember(bin, id, id, boot); err != nil {
			g.Close()
			return nil, err
		}
	}
	return g, nil
}

// startMember writes a member's configuration and starts it. name identifies the process and its links;
// id is its id in the group, which changes when a member with a wiped disk is replaced.
func (g *Group) startMember(bin, name, id string, boot []replica.Peer) error {
	links := map[string]string{}
	for to, l := range g.Mesh[name] {
		links[g.raftAddrs[to]] = l.Addr()
	}
	config := replica.Config{ID: id, Raft: g.raftAddrs[name], Client: g.clientAddrs[name], Data: filepath.Join(g.Dir, id),
		Bootstrap: boot, Links: links, Snapshot: replica.SnapshotConfig{Entries: g.SnapshotEntries}}
	data, err := yaml.Marshal(config)
	if err != nil {
		return err
	}
	path := filepath.Join(g.Dir, id+".yaml")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	g.configs[name] = config
	proc := &faultnet.Proc{Name: name, Bin: bin, Args: []string{"replica", path}, Data: config.Data}
	g.Procs[name] = proc
	return proc.Start()
}

// Replace wipes a member's disk and starts it under a new id, without bootstrap, so that it can't vote
// twice in a term it has forgotten. The leader removes the old id and adds the new one.
func (g *Group) Replace(ctx context.Context, name, newID string) error {
	old := g.configs[name]
	g.Procs[name].Kill()
	if err := g.Procs[name].WipeData(); err != nil {
		return err
	}
	if _, err := g.AwaitLeader(ctx); err != nil { // the member may have been the leader
		return err
	}
	admin := g.Client()
	defer admin.Close()
	if err := replica.Retry(ctx, func() error { return admin.Remove(ctx, old.ID) }); err != nil {
		return fmt.Errorf("remove %s: %w", old.ID, err)
	}
	if err := g.startMember(g.Procs[name].Bin, name, newID, nil); err != nil {
		return err
	}
	return replica.Retry(ctx, func() error { return admin.Join(ctx, newID, g.raftAddrs[name]) })
}

// Client returns a client that knows every member.
func (g *Group) Client() *replica.Client { return replica.NewClient(g.clientAddrs) }

// ClientOf returns a client that knows one member only, like a caller on that member's side of a
// partition.
func (g *Group) ClientOf(name string) *replica.Client {
	return replica.NewClient(map[string]string{name: g.clientAddrs[name]})
}

// statusTimeout bounds a status query: a stalled member does not answer.
const statusTimeout = 2 * time.Second

// Status returns one member's view of the group.
func (g *Group) Status(name string) (replica.StatusReply, error) {
	c := g.ClientOf(name)
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), statusTimeout)
	defer cancel()
	return c.Status(ctx, name)
}

// AwaitLeader waits until the running members agree on a leader and returns its process name.
func (g *Group) AwaitLeader(ctx context.Context) (string, error) {
	for {
		if name, ok := g.agreedLeader(); ok {
			return name, nil
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no leader agreed: %w: %s", ctx.Err(), g.describeMembers())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (g *Group) agreedLeader() (string, bool) {
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

// describeMembers returns the status of every member, for the error of a step that timed out.
func (g *Group) describeMembers() string {
	var out []string
	for _, name := range g.Names() {
		s, err := g.Status(name)
		out = append(out, fmt.Sprintf("%s runs %v, %+v %v", name, g.Procs[name].Running(), s, err))
	}
	return strings.Join(out, "; ")
}

// AwaitApplied waits until a member has applied at least index.
func (g *Group) AwaitApplied(ctx context.Context, name string, index uint64) error {
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

// Names returns the members' process names, sorted.
func (g *Group) Names() []string {
	out := make([]string, 0, len(g.Procs))
	for n := range g.Procs {
		out = append(out, n)
	}
	slices.Sort(out)
	return out
}

// Logs returns every member's log, for a failed test.
func (g *Group) Logs() string {
	out := ""
	for _, n := range g.Names() {
		out += g.Procs[n].Log()
	}
	return out
}

// Close kills every member and closes the links.
func (g *Group) Close() {
	for _, p := range g.Procs {
		p.Kill()
	}
	g.Mesh.Close()
}
