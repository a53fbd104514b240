// Package rolloutlab is the laboratory for the distribution of configuration. It runs control machines and
// call agents as processes of the program, hundreds of hollow agents (a watcher with a recording loader), a
// fault proxy on every link between them, and authors who change documents. A checker compares what every
// author was answered with what every agent had in force. Tests and cmd/woodlab use it. It uses loopback
// addresses only.
package rolloutlab

import (
	"context"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/control"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/internal/lab"
	"woodrouter/internal/lab/cluster"
	"woodrouter/internal/lab/emulator"
	"woodrouter/rollout"
)

// Config is the configuration of a fleet.
type Config struct {
	Bin, Dir     string
	Hollow       int // number of agents that are a watcher with a recording loader
	Real         int // number of agents that are processes with callers
	Seed         uint64
	Delay        time.Duration // latency between the regions, each way
	SpreadPeriod time.Duration // period of the real agents' spreading through the machines; 0: none
}

// The fleet has five zones in two regions, 27 services, three control machines that vote and one that does
// not.
var (
	zones    = []string{"z1", "z2", "z3", "z4", "z5"}
	regionOf = map[string]string{"z1": "west", "z2": "west", "z3": "west", "z4": "east", "z5": "east",
		"c1": "west", "c2": "west", "c3": "east", "c4": "east"}
	machineZones = map[string]string{"c1": "z1", "c2": "z2", "c3": "z4", "c4": "z5"}
	machineNames = []string{"c1", "c2", "c3", "c4"}
	voters       = []string{"c1", "c2", "c3"}
)

const services = 27

// realZones are the zones of the real agents, one in each region. Documents for other zones reach hollow
// agents only.
var realZones = []string{"z1", "z4"}

// Fleet is a set of control machines and agents with the links between them.
type Fleet struct {
	Config
	History *History

	machines     map[string]*machine
	raftLinks    faultnet.Mesh                        // between machines, for the Raft log
	reportLinks  faultnet.Mesh                        // between machines, for agents' reports
	agentLinks   map[string]map[string]*faultnet.Link // from a zone's agents to a machine
	hollowAgents []*hollowAgent
	cluster      *cluster.Cluster
	callers      *emulator.Callers
	client       *control.Client
	stop         context.CancelFunc
	work         sync.WaitGroup
	textCount    atomic.Int64 // texts written so far by all authors

	mu              sync.Mutex
	cuts            []func(a, b string) bool
	dropped         map[*faultnet.Link]bool
	leader          string            // as the machines last reported
	latestRevisions map[string]uint64 // latest revision of each document, as the leader last reported
	historyReadAt   map[string]string // machine and document -> revision and stage when its history was read
}

// machine is a control machine with the addresses it listens on.
type machine struct {
	*faultnet.Proc
	id, raft, client, console string
	live                      bool // the process runs and is not suspended
}

// Start starts the machines, waits until they have a leader, and starts the agents.
func Start(ctx context.Context, p Config) (*Fleet, error) {
	f := &Fleet{Config: p, machines: map[string]*machine{}, agentLinks: map[string]map[string]*faultnet.Link{},
		dropped: map[*faultnet.Link]bool{}, latestRevisions: map[string]uint64{}, historyReadAt: map[string]string{}}
	var agents []rollout.Agent
	for i := range p.Hollow {
		z := zones[i%len(zones)]
		a := rollout.Agent{Name: fmt.Sprintf("h%d", i), Service: fmt.Sprintf("svc%02d", (i/len(zones))%services+1), Zone: z, Region: regionOf[z]}
		agents = append(agents, a)
		f.hollowAgents = append(f.hollowAgents, &hollowAgent{Agent: a, fleet: f, dir: filepath.Join(p.Dir, a.Name)})
	}
	for i := range p.Real {
		agents = append(agents, realAgent(i))
	}
	f.History = NewHistory(agents)
	run, cancel := context.WithCancel(ctx)
	f.stop = cancel
	if err := f.start(ctx, run); err != nil {
		logs := f.Logs()
		f.Close()
		return nil, fmt.Errorf("%w\n%s", err, logs)
	}
	return f, nil
}

// realAgent returns the identity of real agent i.
func realAgent(i int) rollout.Agent {
	z := realZones[i%len(realZones)]
	return rollout.Agent{Name: fmt.Sprintf("a%d", i), Service: "lessons", Zone: z, Region: regionOf[z]}
}

// startTimeout bounds the start of a fleet on a busy machine.
const startTimeout = 90 * time.Second

// start starts machines and agents within ctx. The background work ends when run is cancelled.
func (f *Fleet) start(ctx, run context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.startMachines(); err != nil {
		return err
	}
	clients := map[string]string{}
	for id, m := range f.machines {
		clients[id] = m.client
	}
	f.client = control.NewClient(clients)
	for _, id := range machineNames {
		f.work.Go(func() { f.pollMachine(run, id) })
	}
	leaderCtx, cancelLeader := context.WithTimeout(ctx, lab.StepTimeout)
	defer cancelLeader()
	if _, err := f.AwaitLeader(leaderCtx); err != nil {
		return err
	}
	if f.Real > 0 {
		if err := f.startRealAgents(ctx, run); err != nil {
			return err
		}
	}
	err := forEach(f.hollowAgents, func(a *hollowAgent) error { return a.start() })
	f.updateReachable()
	return err
}

// forEach calls do for all elements, 16 at a time, and returns one of the errors.
func forEach[T any](all []T, do func(T) error) error {
	next, errs := make(chan T), make(chan error, len(all))
	var work sync.WaitGroup
	for range 16 {
		work.Go(func() {
			for a := range next {
				errs <- do(a)
			}
		})
	}
	for _, a := range all {
		next <- a
	}
	close(next)
	work.Wait()
	close(errs)
	for err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// startMachines reserves the machines' ports, starts the proxies between them and the agents' zones, and
// launches the machines.
func (f *Fleet) startMachines() error {
	host, err := faultnet.NewHost()
	if err != nil {
		return err
	}
	var held []net.Listener
	release := func() {
		for _, ln := range held {
			ln.Close()
		}
	}
	raft, client := map[string]string{}, map[string]string{}
	for _, id := range machineNames {
		var at [3]string
		for i := range at {
			if at[i], err = lab.ReservePort(host, &held); err != nil {
				release()
				return err
			}
		}
		f.machines[id] = &machine{id: id, raft: at[0], client: at[1], console: at[2], live: true}
		raft[id], client[id] = at[0], at[1]
	}
	if f.raftLinks, err = faultnet.NewMesh(raft, f.Seed); err == nil {
		f.reportLinks, err = faultnet.NewMesh(client, f.Seed+100)
	}
	for i, z := range zones {
		f.agentLinks[z] = map[string]*faultnet.Link{}
		for j, id := range machineNames {
			if err == nil {
				f.agentLinks[z][id], err = faultnet.NewLink(client[id], f.Seed+uint64(200+10*i+j))
			}
		}
	}
	release() // the machines bind the ports from here on
	if err != nil {
		return err
	}
	f.updateLinks()
	for _, m := range f.machines {
		if err := f.launch(m); err != nil {
			return err
		}
	}
	return nil
}

// slowTiming are the timers of lab.SlowTiming, with which pauses of a busy computer don't cost the group its
// leader.
var slowTiming = map[string]string{"heartbeat": lab.SlowTiming.Heartbeat, "election": lab.SlowTiming.Election, "lease": lab.SlowTiming.Lease}

// launch writes a machine's configuration file and starts it.
func (f *Fleet) launch(m *machine) error {
	links, peers := map[string]string{}, map[string]string{}
	var bootstrap []map[string]any
	for _, id := range machineNames {
		o := f.machines[id]
		bootstrap = append(bootstrap, map[string]any{"id": id, "raft": o.raft, "voter": slices.Contains(voters, id)})
		peers[id] = o.client
		if id != m.id {
			links[o.raft], peers[id] = f.raftLinks[m.id][id].Addr(), f.reportLinks[m.id][id].Addr()
		}
	}
	text, err := yaml.Marshal(map[string]any{"id": m.id, "raft": m.raft, "client": m.client, "data": filepath.Join(f.Dir, m.id),
		"bootstrap": bootstrap, "links": links, "snapshot": map[string]any{"entries": 64}, "timing": slowTiming,
		"rollout": map[string]any{"console": m.console, "peers": peers}})
	if err != nil {
		return err
	}
	path := filepath.Join(f.Dir, m.id+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if m.Proc == nil {
		m.Proc = &faultnet.Proc{Name: m.id, Bin: f.Bin, Args: []string{"replica", path}, Data: filepath.Join(f.Dir, m.id)}
	}
	return m.Proc.Start()
}

// machinesFor returns the machines with the addresses at which the agents of a zone reach them.
func (f *Fleet) machinesFor(zone string) (out []watcher.Machine) {
	for _, id := range machineNames {
		out = append(out, watcher.Machine{ID: id, Client: f.agentLinks[zone][id].Addr(), Region: regionOf[id], Zone: machineZones[id]})
	}
	return out
}

// startRealAgents starts the real agents with their callers, and polls what they have in force.
func (f *Fleet) startRealAgents(ctx, run context.Context) (err error) {
	deployment := emulator.Campus()
	dir := filepath.Join(f.Dir, "crew")
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	f.cluster, err = cluster.Start(ctx, cluster.Config{Bin: f.Bin, Dir: dir, Deployment: deployment, Agents: f.Real, Servers: 3, Seed: f.Seed, Env: f.writeAgentFiles})
	if err != nil {
		return err
	}
	f.callers = f.cluster.StartCallers(run, emulator.Load{Rates: emulator.UnevenRates(f.Real, 0.5*deployment.Total(3), f.Seed), Seed: f.Seed, ChoiceVariation: 0.3, ChoicePeriod: 5 * time.Second})
	for i := range f.Real {
		f.work.Go(func() { f.pollAgent(run, i) })
	}
	return nil
}

// writeAgentFiles writes a real agent's rollout file and, with a SpreadPeriod, its spread file, and returns
// the environment variables that name them.
func (f *Fleet) writeAgentFiles(c *cluster.Cluster, i int) ([]string, error) {
	a := realAgent(i)
	text, err := yaml.Marshal(map[string]any{"service": a.Service, "zone": a.Zone, "region": a.Region,
		"data": filepath.Join(c.Dir, a.Name+".rollout"), "machines": f.machinesFor(a.Zone)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, a.Name+"-rollout.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil || f.SpreadPeriod == 0 {
		return []string{"WOODROUTER_ROLLOUT=" + path}, err
	}
	if text, err = yaml.Marshal(map[string]any{"mode": "control", "service": a.Service, "period": f.SpreadPeriod.String(), "machines": f.machinesFor(a.Zone)}); err != nil {
		return nil, err
	}
	spread := filepath.Join(c.Dir, a.Name+"-spread.yaml")
	return []string{"WOODROUTER_ROLLOUT=" + path, "WOODROUTER_SPREAD=" + spread}, os.WriteFile(spread, text, 0o600)
}

// inDifferentRegions tells whether two zones or machines are in different regions.
func inDifferentRegions(a, b string) bool { return regionOf[a] != regionOf[b] }

// isCut tells whether the link between a and b is cut. The caller holds f.mu.
func (f *Fleet) isCut(a, b string) bool {
	return slices.ContainsFunc(f.cuts, func(cut func(a, b string) bool) bool { return cut(a, b) || cut(b, a) })
}

// Cut cuts the links between zones and machines for which pick is true, in addition to earlier cuts.
func (f *Fleet) Cut(pick func(a, b string) bool) {
	f.mu.Lock()
	f.cuts = append(f.cuts, pick)
	f.mu.Unlock()
	f.updateLinks()
}

// Heal ends all cuts.
func (f *Fleet) Heal() {
	f.mu.Lock()
	f.cuts = nil
	f.mu.Unlock()
	f.updateLinks()
}

// updateLinks sets every link according to the cuts, and records which agents are reachable now.
func (f *Fleet) updateLinks() {
	f.mu.Lock()
	set := func(l *faultnet.Link, from, to string) {
		drop := f.isCut(from, to)
		mode, delay := faultnet.Pass, time.Duration(0)
		if inDifferentRegions(from, to) {
			delay = f.Delay
		}
		if drop {
			mode, delay = faultnet.Drop, 0
		}
		l.Set(mode, delay, 0)
		if drop != f.dropped[l] { // connections from before the change would stay dead for good
			l.Reset()
			f.dropped[l] = drop
		}
	}
	for _, mesh := range []map[string]map[string]*faultnet.Link{f.raftLinks, f.reportLinks, f.agentLinks} {
		for from, tos := range mesh {
			for to, l := range tos {
				set(l, from, to)
			}
		}
	}
	f.mu.Unlock()
	f.updateReachable()
}

// setLive records whether a machine runs.
func (f *Fleet) setLive(id string, on bool) {
	f.mu.Lock()
	f.machines[id].live = on
	f.mu.Unlock()
	f.updateReachable()
}

// updateReachable records which agents are reachable: those that run, in a zone with an uncut link to a
// machine that runs and is connected to a majority of the voters.
func (f *Fleet) updateReachable() {
	if f.History == nil {
		return
	}
	f.mu.Lock()
	machines := f.withMajority()
	connected := map[string]bool{}
	for _, z := range zones {
		connected[z] = slices.ContainsFunc(machines, func(id string) bool { return !f.isCut(z, id) })
	}
	f.mu.Unlock()
	for _, a := range f.hollowAgents {
		f.History.SetUnreachable(a.Name, !connected[a.Zone] || !a.running())
	}
	for i := range f.Real {
		a := realAgent(i)
		f.History.SetUnreachable(a.Name, !connected[a.Zone] || f.cluster == nil || !f.cluster.Procs[i].Running())
	}
}

// withMajority returns the machines that run and have a direct link to a majority of the voters that run.
func (f *Fleet) withMajority() (out []string) {
	for _, id := range machineNames {
		if !f.machines[id].live {
			continue
		}
		n := 0
		for _, v := range voters {
			if f.machines[v].live && (v == id || !f.isCut(id, v)) {
				n++
			}
		}
		if n > len(voters)/2 {
			out = append(out, id)
		}
	}
	return out
}

// machinePollInterval is the pause between two polls of a machine.
const machinePollInterval = 150 * time.Millisecond

// pollMachine polls a machine's documents until ctx ends.
func (f *Fleet) pollMachine(ctx context.Context, id string) {
	for ctx.Err() == nil {
		f.readDocuments(ctx, id)
		lab.Sleep(ctx, machinePollInterval)
	}
}

// requestTimeout bounds one request to a machine, since a suspended one does not answer.
const requestTimeout = time.Second

// readDocuments reads the overview of a machine, and the history of each document that has changed there
// since the last read.
func (f *Fleet) readDocuments(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	v, err := f.client.Overview(ctx, id, "")
	if err != nil {
		return err
	}
	f.mu.Lock()
	if v.State == "Leader" {
		f.leader = id
	}
	f.mu.Unlock()
	for _, n := range v.Names {
		name := n.Latest.Name.String()
		at := fmt.Sprint(n.Latest.Revision, n.Latest.Stage)
		f.mu.Lock()
		fresh := f.historyReadAt[id+name] != at
		if v.State == "Leader" {
			f.latestRevisions[name] = n.Latest.Revision
		}
		f.mu.Unlock()
		if !fresh {
			continue
		}
		one, err := f.client.Overview(ctx, id, name)
		if err != nil {
			return err
		}
		for _, o := range one.Names {
			if o.Latest.Name.String() == name {
				f.History.RecordRevisions(id, o.History)
				at = fmt.Sprint(o.Latest.Revision, o.Latest.Stage)
			}
		}
		f.mu.Lock()
		f.historyReadAt[id+name] = at
		f.mu.Unlock()
	}
	return nil
}

// AwaitLeader waits until a voter that runs, and is not excepted, reports that it leads, and returns its
// name.
func (f *Fleet) AwaitLeader(ctx context.Context, except ...string) (string, error) {
	for {
		for _, id := range voters {
			f.mu.Lock()
			live := f.machines[id].live && !slices.Contains(except, id)
			f.mu.Unlock()
			if !live {
				continue
			}
			if s, err := f.overview(ctx, id); err == nil && s.State == "Leader" {
				return id, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no leader: %w: %s", ctx.Err(), f.describeMachines())
		case <-time.After(30 * time.Millisecond):
		}
	}
}

// overview returns a machine's own overview, with requestTimeout.
func (f *Fleet) overview(ctx context.Context, id string) (control.OverviewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return f.client.Overview(ctx, id, "")
}

// describeMachines returns each machine's own status, for the error of a step that did not end.
func (f *Fleet) describeMachines() string {
	var out []string
	for _, id := range machineNames {
		s, err := f.overview(context.Background(), id)
		out = append(out, fmt.Sprintf("%s runs %v: %s, leader %s, applied %d (%v)", id, f.machines[id].Running(), s.State, s.Leader, s.Applied, err))
	}
	return strings.Join(out, "; ")
}

// AwaitSettled waits until the latest revisions of these documents (none given: of all) are at the stage
// everywhere, and every reachable agent has them.
func (f *Fleet) AwaitSettled(ctx context.Context, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	last := ""
	for {
		if last = f.firstUnsettled(ctx, names); last == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not settled in %v: %s; %s", settleTimeout, last, f.describeMachines())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// settleTimeout bounds AwaitSettled. Whether a change came in time is checked by the history.
const settleTimeout = 3 * PropagationLimit

// firstUnsettled describes the first document that is not settled; "" if all are.
func (f *Fleet) firstUnsettled(ctx context.Context, names []string) string {
	leader, err := f.AwaitLeader(ctx)
	if err != nil {
		return err.Error()
	}
	if err := f.readDocuments(ctx, leader); err != nil {
		return err.Error()
	}
	if names == nil {
		f.mu.Lock()
		names = slices.Sorted(maps.Keys(f.latestRevisions))
		f.mu.Unlock()
	}
	for _, name := range names {
		r, ok := f.History.Latest(name)
		if !ok {
			return fmt.Sprintf("%s: %d by %s is %s", name, r.Revision, r.Author, r.Stage)
		}
		if lacking := f.agentsLacking(r); len(lacking) > 0 {
			return fmt.Sprintf("%s: %d has not reached %d agents: %v", name, r.Revision, len(lacking), lacking[:min(len(lacking), 5)])
		}
	}
	return ""
}

// agentsLacking returns the names of the reachable agents that must have a revision and don't have it.
func (f *Fleet) agentsLacking(r rollout.Revision) (out []string) {
	for _, a := range f.History.agents {
		if f.History.Reachable(a.Name) && !f.History.HasRevision(a.Name, r) {
			out = append(out, a.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Logs returns the logs of all machines, for a failed run.
func (f *Fleet) Logs() (out string) {
	for _, id := range machineNames {
		if m := f.machines[id]; m != nil && m.Proc != nil {
			out += m.Log()
		}
	}
	return out
}

// Close stops all agents and machines and closes all links.
func (f *Fleet) Close() {
	f.stop()
	for _, a := range f.hollowAgents {
		a.cancel()
	}
	for _, a := range f.hollowAgents {
		a.wait()
	}
	if f.callers != nil {
		f.callers.Wait()
	}
	f.work.Wait()
	if f.cluster != nil {
		f.cluster.Close()
	}
	var down sync.WaitGroup
	for _, m := range f.machines {
		if m.Proc != nil {
			down.Go(m.Kill)
		}
	}
	down.Wait()
	if f.client != nil {
		f.client.Close()
	}
	for _, mesh := range []faultnet.Mesh{f.raftLinks, f.reportLinks, f.agentLinks} {
		for _, tos := range mesh {
			for _, l := range tos {
				if l != nil {
					l.Close()
				}
			}
		}
	}
}
