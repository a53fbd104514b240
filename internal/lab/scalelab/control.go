package scalelab

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/control"
	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/rollout"
)

// The control machines, placed as deploy/control.yaml has it.
var machines = []watcher.Machine{{ID: "c1", Region: "r1", Zone: "z1"}, {ID: "c2", Region: "r1", Zone: "z2"},
	{ID: "c3", Region: "r2", Zone: "z4"}, {ID: "c4", Region: "r2", Zone: "z5"}}

const nonVoter = "c4" // has the log, and no vote

// The ports on each machine's own address.
const (
	machineRaftPort    = 7601
	machineClientPort  = 7501
	machineConsolePort = 7602
)

// controlCluster are the machines that keep the configuration, each its own process of the program.
type controlCluster struct {
	procs        map[string]*faultnet.Proc
	client       *control.Client
	lastRevision uint64 // the latest revision of the document that is waited for
}

// startControlCluster starts them, with a proxy on every way between the regions, and tells in the deal
// where agents of each region reach them.
func startControlCluster(r *Run, delay func() time.Duration) (*controlCluster, error) {
	c := &controlCluster{procs: map[string]*faultnet.Proc{}}
	at := func(i, port int) string { return net.JoinHostPort(r.octet.Host(3+i), strconv.Itoa(port)) }
	// far is an address as it is reached from the other region.
	far := func(addr string) (string, error) {
		if r.Delay[1] == 0 {
			return addr, nil
		}
		l, err := faultnet.NewLink(addr, r.Seed)
		if err != nil {
			return "", err
		}
		l.Set(faultnet.Pass, delay(), 0)
		r.links = append(r.links, l)
		return l.Addr(), nil
	}
	direct := map[string]string{}
	r.helperConfig.Machines = map[string][]watcher.Machine{}
	farRaft, farClient := map[string]string{}, map[string]string{}
	var boot []quorum.Peer
	for i, m := range machines {
		var err error
		if farRaft[m.ID], err = far(at(i, machineRaftPort)); err != nil {
			return c, err
		}
		if farClient[m.ID], err = far(at(i, machineClientPort)); err != nil {
			return c, err
		}
		direct[m.ID] = at(i, machineClientPort)
		votes := m.ID != nonVoter
		boot = append(boot, quorum.Peer{ID: m.ID, Raft: at(i, machineRaftPort), Voter: &votes})
		for _, region := range []string{"r1", "r2"} {
			seen := m
			if seen.Client = direct[m.ID]; region != m.Region {
				seen.Client = farClient[m.ID]
			}
			r.helperConfig.Machines[region] = append(r.helperConfig.Machines[region], seen)
		}
	}
	for i, m := range machines {
		f := control.Config{Rollout: control.RolloutConfig{Console: at(i, machineConsolePort), Peers: map[string]string{}}}
		f.ID, f.Raft, f.Client, f.Data, f.Bootstrap, f.Links = m.ID, at(i, machineRaftPort), at(i, machineClientPort), filepath.Join(r.Dir, m.ID), boot, map[string]string{}
		f.Timing = quorum.TimingConfig{Heartbeat: "1s", Election: "1s", Commit: "20ms", Lease: "500ms"}
		for j, o := range machines {
			f.Rollout.Peers[o.ID] = direct[o.ID]
			if o.Region != m.Region {
				f.Rollout.Peers[o.ID] = farClient[o.ID]
				f.Links[at(j, machineRaftPort)] = farRaft[o.ID]
			}
		}
		text, err := yaml.Marshal(f)
		if err != nil {
			return c, err
		}
		path := filepath.Join(r.Dir, m.ID+".yaml")
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return c, err
		}
		c.procs[m.ID] = &faultnet.Proc{Name: m.ID, Bin: r.Bin, Args: []string{"replica", path}, Data: f.Data}
		if err := c.procs[m.ID].Start(); err != nil {
			return c, err
		}
	}
	c.client = control.NewClient(direct)
	return c, nil
}

func (c *controlCluster) close() {
	for _, p := range c.procs {
		p.Kill()
	}
	if c.client != nil {
		c.client.Close()
	}
}

// documentText is a document of a size.
func documentText(size int, mark string) []byte {
	line := []byte("# " + mark + ": a line of a file of routes, as long as they are there\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

// documents are what the fleet has: of all, of a region, of a service.
var documents = []struct {
	name string
	size int
}{{revisedKind + "@all", 4096}, {"spread@all", 400}, {"failover@region/r2", 1500}, {"spread@service/s1", 400}}

// putTimeout bounds a change's way into the log.
const putTimeout = 20 * time.Second

// put puts a document, at once or, while there is no leader yet, as soon as there is one.
func (c *controlCluster) put(ctx context.Context, name string, base uint64, body []byte) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	n, err := rollout.ParseName(name)
	if err != nil {
		return 0, err
	}
	for {
		rev, err := c.client.Put(ctx, rollout.Entry{Op: rollout.OpPut, AtUs: time.Now().UnixMicro(), Name: n, Base: base, Text: body, Author: "scale"})
		if err == nil || ctx.Err() != nil || base != 0 {
			return rev, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// putFirst puts the first documents and waits until all agents have them.
func (c *controlCluster) putFirst(ctx context.Context, r *Run, s *Result) error {
	began := time.Now()
	for _, d := range documents {
		n, err := c.put(ctx, d.name, 0, documentText(d.size, "first"))
		if err != nil {
			return fmt.Errorf("%s: %w\n%s", d.name, err, c.logs())
		}
		if strings.HasPrefix(d.name, revisedKind) {
			c.lastRevision = n
		}
	}
	s.Knew = append(s.Knew, r.waitOne(ctx, "start: the first revision, by its first stage (config)", "revision", r.wantRevision(c.lastRevision), began, eventTimeout))
	return nil
}

func (r *Run) wantRevision(n uint64) map[int]int64 {
	out := map[int]int64{}
	for g := range r.groupSizes() {
		out[g] = int64(n)
	}
	return out
}

// putChange puts another revision and waits until it is in force at all agents.
func (c *controlCluster) putChange(ctx context.Context, r *Run, s *Result) error {
	before, began := c.usage(), time.Now()
	n, err := c.put(ctx, revisedKind+"@all", c.lastRevision, documentText(4096, "changed"))
	if err != nil {
		return fmt.Errorf("a change: %w\n%s", err, c.logs())
	}
	c.lastRevision = n
	s.Notes = append(s.Notes, fmt.Sprintf("the change was committed after %.2f s", time.Since(began).Seconds()))
	s.Knew = append(s.Knew, r.waitOne(ctx, "a revision put: in force, by a first stage with a dwell of 1 s (config)", "revision", r.wantRevision(n), began, eventTimeout))
	took := time.Since(began).Seconds()
	after := c.usage()
	for _, m := range machines {
		x := after[m.ID].since(before[m.ID], took, m.ID)
		s.Notes = append(s.Notes, fmt.Sprintf("%s during the change (%.1f s): sent %.0f B/s, received %.0f B/s, %.2f %% of a core", m.ID, took, x.Sent, x.Received, 100*x.Core))
	}
	if err := c.awaitSettled(ctx, r); err != nil {
		s.Notes = append(s.Notes, err.Error())
	}
	return nil
}

// awaitSettled waits until no stage is open any more: a change behind it would wait for it.
func (c *controlCluster) awaitSettled(ctx context.Context, r *Run) error {
	end := time.Now().Add(eventTimeout / 2)
	for time.Now().Before(end) && ctx.Err() == nil {
		open := false
		for _, m := range machines {
			o, err := c.client.Overview(ctx, m.ID, revisedKind+"@all")
			if err != nil || len(o.Names) != 1 || o.Names[0].Latest.Stage != rollout.StageEverywhere {
				open = true
			}
		}
		if !open {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return fmt.Errorf("a stage was still open after %v", eventTimeout/2)
}

func (c *controlCluster) logs() (out string) {
	for _, p := range c.procs {
		out += p.Log()
	}
	return out
}

// usage is what each machine's process has taken so far.
func (c *controlCluster) usage() map[string]processUsage {
	out := map[string]processUsage{}
	for name, p := range c.procs {
		if pid := p.PID(); pid > 0 {
			out[name] = readProcessUsage(pid)
		}
	}
	return out
}
