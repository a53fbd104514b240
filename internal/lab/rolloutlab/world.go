// Package rolloutlab is the laboratory of the distribution of configuration: control machines and
// call agents as processes of the program, hundreds of further agents that are nothing but a
// watcher with a recording loader, a fault proxy on every link between them, authors who change
// documents, and a checker of what every author was told and every agent had in force. Tests and
// cmd/woodlab use it. Loopback only.
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

// Config is what a world is started with.
type Config struct {
	Bin, Dir     string
	Hollow       int // agents that are a watcher and a recording loader
	Real         int // agents that are processes with callers
	Seed         uint64
	Delay        time.Duration // between the regions, each way
	SpreadPeriod time.Duration // period by which the real agents spread their load by way of the machines; 0: they don't
}

// The fleet's shape: five zones in two regions, 27 services; three control machines that vote and
// one that does not.
var (
	zones    = []string{"z1", "z2", "z3", "z4", "z5"}
	regionOf = map[string]string{"z1": "west", "z2": "west", "z3": "west", "z4": "east", "z5": "east",
		"c1": "west", "c2": "west", "c3": "east", "c4": "east"}
	machineZones = map[string]string{"c1": "z1", "c2": "z2", "c3": "z4", "c4": "z5"}
	machineNames = []string{"c1", "c2", "c3", "c4"}
	voters       = []string{"c1", "c2", "c3"}
)

const services = 27

// Real agents are in two zones, one in each region: documents of the others are for hollow agents.
var realZones = []string{"z1", "z4"}

// Fleet is machines and agents, and the links between them.
type Fleet struct {
	Config
	History *History

	machines     map[string]*machine
	raftLinks    faultnet.Mesh                        // between machines: the log
	reportLinks  faultnet.Mesh                        // between machines: reports
	agentLinks   map[string]map[string]*faultnet.Link // from a zone's agents to a machine
	hollowAgents []*hollowAgent
	cluster      *cluster.Cluster
	callers      *emulator.Callers
	client       *control.Client
	stop         context.CancelFunc
	work         sync.WaitGroup
	textCount    atomic.Int64 // written so far, by all authors

	mu              sync.Mutex
	cuts            []func(a, b string) bool
	dropped         map[*faultnet.Link]bool
	leader          string            // as the machines said last
	latestRevisions map[string]uint64 // latest revision of each document, as the leader said last
	historyReadAt   map[string]string // machine and document -> what its history was read at
}

// machine is a control machine.
type machine struct {
	*faultnet.Proc
	id, raft, client, console string
	live                      bool // it runs and is not stalled
}

// Start starts the machines, waits until they have a leader, and starts the agents.
func Start(ctx context.Context, p Config) (*Fleet, error) {
	w := &Fleet{Config: p, machines: map[string]*machine{}, agentLinks: map[string]map[string]*faultnet.Link{},
		dropped: map[*faultnet.Link]bool{}, latestRevisions: map[string]uint64{}, historyReadAt: map[string]string{}}
	var agents []rollout.Agent
	for i := range p.Hollow {
		z := zones[i%len(zones)]
		a := rollout.Agent{Name: fmt.Sprintf("h%d", i), Service: fmt.Sprintf("svc%02d", (i/len(zones))%services+1), Zone: z, Region: regionOf[z]}
		agents = append(agents, a)
		w.hollowAgents = append(w.hollowAgents, &hollowAgent{Agent: a, world: w, dir: filepath.Join(p.Dir, a.Name)})
	}
	for i := range p.Real {
		agents = append(agents, realAgent(i))
	}
	w.History = NewHistory(agents)
	run, cancel := context.WithCancel(ctx)
	w.stop = cancel
	if err := w.start(ctx, run); err != nil {
		logs := w.Logs()
		w.Close()
		return nil, fmt.Errorf("%w\n%s", err, logs)
	}
	return w, nil
}

func realAgent(i int) rollout.Agent {
	z := realZones[i%len(realZones)]
	return rollout.Agent{Name: fmt.Sprintf("a%d", i), Service: "lessons", Zone: z, Region: regionOf[z]}
}

// startTimeout bounds the start of a world on a busy machine.
const startTimeout = 90 * time.Second

func (w *Fleet) start(ctx, run context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := w.startMachines(); err != nil {
		return err
	}
	clients := map[string]string{}
	for id, m := range w.machines {
		clients[id] = m.client
	}
	w.client = control.NewClient(clients)
	for _, id := range machineNames {
		w.work.Go(func() { w.pollMachine(run, id) })
	}
	first, done := context.WithTimeout(ctx, lab.StepTimeout)
	defer done()
	if _, err := w.AwaitLeader(first); err != nil {
		return err
	}
	if w.Real > 0 {
		if err := w.startRealAgents(ctx, run); err != nil {
			return err
		}
	}
	err := forEach(w.hollowAgents, func(a *hollowAgent) error { return a.start() })
	w.updateReachable()
	return err
}

// forEach does something for all, some at once.
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

func (w *Fleet) startMachines() error {
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
		w.machines[id] = &machine{id: id, raft: at[0], client: at[1], console: at[2], live: true}
		raft[id], client[id] = at[0], at[1]
	}
	if w.raftLinks, err = faultnet.NewMesh(raft, w.Seed); err == nil {
		w.reportLinks, err = faultnet.NewMesh(client, w.Seed+100)
	}
	for i, z := range zones {
		w.agentLinks[z] = map[string]*faultnet.Link{}
		for j, id := range machineNames {
			if err == nil {
				w.agentLinks[z][id], err = faultnet.NewLink(client[id], w.Seed+uint64(200+10*i+j))
			}
		}
	}
	release() // the machines take their ports from here
	if err != nil {
		return err
	}
	w.updateLinks()
	for _, m := range w.machines {
		if err := w.launch(m); err != nil {
			return err
		}
	}
	return nil
}

// slowTiming are timers with which a busy machine's pauses don't cost the group its leader, as lab.Calm.
var slowTiming = map[string]string{"heartbeat": lab.SlowTiming.Heartbeat, "election": lab.SlowTiming.Election, "lease": lab.SlowTiming.Lease}

// launch writes a machine's file and starts it.
func (w *Fleet) launch(m *machine) error {
	links, peers := map[string]string{}, map[string]string{}
	var boot []map[string]any
	for _, id := range machineNames {
		o := w.machines[id]
		boot = append(boot, map[string]any{"id": id, "raft": o.raft, "voter": slices.Contains(voters, id)})
		peers[id] = o.client
		if id != m.id {
			links[o.raft], peers[id] = w.raftLinks[m.id][id].Addr(), w.reportLinks[m.id][id].Addr()
		}
	}
	text, err := yaml.Marshal(map[string]any{"id": m.id, "raft": m.raft, "client": m.client, "data": filepath.Join(w.Dir, m.id),
		"bootstrap": boot, "links": links, "snapshot": map[string]any{"entries": 64}, "timing": slowTiming,
		"rollout": map[string]any{"console": m.console, "peers": peers}})
	if err != nil {
		return err
	}
	path := filepath.Join(w.Dir, m.id+".yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	if m.Proc == nil {
		m.Proc = &faultnet.Proc{Name: m.id, Bin: w.Bin, Args: []string{"replica", path}, Data: filepath.Join(w.Dir, m.id)}
	}
	return m.Proc.Start()
}

// machinesFor is the machines as the agents of a zone reach them.
func (w *Fleet) machinesFor(zone string) (out []watcher.Machine) {
	for _, id := range machineNames {
		out = append(out, watcher.Machine{ID: id, Client: w.agentLinks[zone][id].Addr(), Region: regionOf[id], Zone: machineZones[id]})
	}
	return out
}

// startRealAgents starts the real agents with callers at work, and watches what they have in force.
func (w *Fleet) startRealAgents(ctx, run context.Context) (err error) {
	d := emulator.Campus()
	dir := filepath.Join(w.Dir, "crew")
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	w.cluster, err = cluster.Start(ctx, cluster.Config{Bin: w.Bin, Dir: dir, Deployment: d, Agents: w.Real, Servers: 3, Seed: w.Seed, Env: w.writeAgentFiles})
	if err != nil {
		return err
	}
	w.callers = w.cluster.StartCallers(run, emulator.Load{Rates: emulator.UnevenRates(w.Real, 0.5*d.Total(3), w.Seed), Seed: w.Seed, ChoiceVariation: 0.3, ChoicePeriod: 5 * time.Second})
	for i := range w.Real {
		w.work.Go(func() { w.pollAgent(run, i) })
	}
	return nil
}

// writeAgentFiles writes a real agent's file of the rollout.
func (w *Fleet) writeAgentFiles(c *cluster.Cluster, i int) ([]string, error) {
	a := realAgent(i)
	text, err := yaml.Marshal(map[string]any{"service": a.Service, "zone": a.Zone, "region": a.Region,
		"data": filepath.Join(c.Dir, a.Name+".rollout"), "machines": w.machinesFor(a.Zone)})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(c.Dir, a.Name+"-rollout.yaml")
	if err := os.WriteFile(path, text, 0o600); err != nil || w.SpreadPeriod == 0 {
		return []string{"WOODROUTER_ROLLOUT=" + path}, err
	}
	if text, err = yaml.Marshal(map[string]any{"mode": "control", "service": a.Service, "period": w.SpreadPeriod.String(), "machines": w.machinesFor(a.Zone)}); err != nil {
		return nil, err
	}
	spread := filepath.Join(c.Dir, a.Name+"-spread.yaml")
	return []string{"WOODROUTER_ROLLOUT=" + path, "WOODROUTER_SPREAD=" + spread}, os.WriteFile(spread, text, 0o600)
}

// region tells whose side a zone's agents or a machine are on.
func inDifferentRegions(a, b string) bool { return regionOf[a] != regionOf[b] }

func (w *Fleet) isCut(a, b string) bool {
	return slices.ContainsFunc(w.cuts, func(cut func(a, b string) bool) bool { return cut(a, b) || cut(b, a) })
}

// Cut cuts the links between zones and machines that are picked, beside what is cut already.
func (w *Fleet) Cut(pick func(a, b string) bool) {
	w.mu.Lock()
	w.cuts = append(w.cuts, pick)
	w.mu.Unlock()
	w.updateLinks()
}

// Heal makes all links whole.
func (w *Fleet) Heal() {
	w.mu.Lock()
	w.cuts = nil
	w.mu.Unlock()
	w.updateLinks()
}

// updateLinks has every link as the cuts say, and tells the history who is within reach now.
func (w *Fleet) updateLinks() {
	w.mu.Lock()
	set := func(l *faultnet.Link, from, to string) {
		drop := w.isCut(from, to)
		mode, delay := faultnet.Pass, time.Duration(0)
		if inDifferentRegions(from, to) {
			delay = w.Delay
		}
		if drop {
			mode, delay = faultnet.Drop, 0
		}
		l.Set(mode, delay, 0)
		if drop != w.dropped[l] { // what was made behind a cut leads nowhere for good
			l.Reset()
			w.dropped[l] = drop
		}
	}
	for _, mesh := range []map[string]map[string]*faultnet.Link{w.raftLinks, w.reportLinks, w.agentLinks} {
		for from, tos := range mesh {
			for to, l := range tos {
				set(l, from, to)
			}
		}
	}
	w.mu.Unlock()
	w.updateReachable()
}

// setLive notes that a machine runs, or does not.
func (w *Fleet) setLive(id string, on bool) {
	w.mu.Lock()
	w.machines[id].live = on
	w.mu.Unlock()
	w.updateReachable()
}

// updateReachable tells the history which agents are within reach: those of a zone with a whole link to a
// machine that runs and is with a majority of the voters.
func (w *Fleet) updateReachable() {
	if w.History == nil {
		return
	}
	w.mu.Lock()
	with := w.withMajority()
	zone := map[string]bool{}
	for _, z := range zones {
		zone[z] = slices.ContainsFunc(with, func(id string) bool { return !w.isCut(z, id) })
	}
	w.mu.Unlock()
	for _, a := range w.hollowAgents {
		w.History.SetUnreachable(a.Name, !zone[a.Zone] || !a.running())
	}
	for i := range w.Real {
		a := realAgent(i)
		w.History.SetUnreachable(a.Name, !zone[a.Zone] || w.cluster == nil || !w.cluster.Procs[i].Running())
	}
}

// withMajority is the machines that run and reach, directly, a majority of voters that run and reach one another.
func (w *Fleet) withMajority() (out []string) {
	for _, id := range machineNames {
		if !w.machines[id].live {
			continue
		}
		n := 0
		for _, v := range voters {
			if w.machines[v].live && (v == id || !w.isCut(id, v)) {
				n++
			}
		}
		if n > len(voters)/2 {
			out = append(out, id)
		}
	}
	return out
}

// machinePollInterval is the pause between two looks at a machine.
const machinePollInterval = 150 * time.Millisecond

// pollMachine reads a machine's documents, again where something changed, until ctx ends.
func (w *Fleet) pollMachine(ctx context.Context, id string) {
	for ctx.Err() == nil {
		w.readDocuments(ctx, id)
		lab.Sleep(ctx, machinePollInterval)
	}
}

// requestTimeout bounds one question to a machine: a stalled one says nothing.
const requestTimeout = time.Second

func (w *Fleet) readDocuments(ctx context.Context, id string) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	v, err := w.client.Overview(ctx, id, "")
	if err != nil {
		return err
	}
	w.mu.Lock()
	if v.State == "Leader" {
		w.leader = id
	}
	w.mu.Unlock()
	for _, n := range v.Names {
		name := n.Latest.Name.String()
		at := fmt.Sprint(n.Latest.Revision, n.Latest.Stage)
		w.mu.Lock()
		fresh := w.historyReadAt[id+name] != at
		if v.State == "Leader" {
			w.latestRevisions[name] = n.Latest.Revision
		}
		w.mu.Unlock()
		if !fresh {
			continue
		}
		one, err := w.client.Overview(ctx, id, name)
		if err != nil {
			return err
		}
		for _, o := range one.Names {
			if o.Latest.Name.String() == name {
				w.History.RecordRevisions(id, o.History)
				at = fmt.Sprint(o.Latest.Revision, o.Latest.Stage)
			}
		}
		w.mu.Lock()
		w.historyReadAt[id+name] = at
		w.mu.Unlock()
	}
	return nil
}

// AwaitLeader waits until a machine that runs says that it leads, and names it.
func (w *Fleet) AwaitLeader(ctx context.Context, but ...string) (string, error) {
	for {
		for _, id := range voters {
			w.mu.Lock()
			live := w.machines[id].live && !slices.Contains(but, id)
			w.mu.Unlock()
			if !live {
				continue
			}
			if s, err := w.overview(ctx, id); err == nil && s.State == "Leader" {
				return id, nil
			}
		}
		select {
		case <-ctx.Done():
			return "", fmt.Errorf("no leader: %w: %s", ctx.Err(), w.describeMachines())
		case <-time.After(30 * time.Millisecond):
		}
	}
}

func (w *Fleet) overview(ctx context.Context, id string) (control.OverviewReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return w.client.Overview(ctx, id, "")
}

// describeMachines is what each machine says of itself, for a step that did not end.
func (w *Fleet) describeMachines() string {
	var out []string
	for _, id := range machineNames {
		s, err := w.overview(context.Background(), id)
		out = append(out, fmt.Sprintf("%s runs %v: %s, leader %s, applied %d (%v)", id, w.machines[id].Running(), s.State, s.Leader, s.Applied, err))
	}
	return strings.Join(out, "; ")
}

// AwaitSettled waits until these documents, or all, stand everywhere and every agent within reach has
// what stands.
func (w *Fleet) AwaitSettled(ctx context.Context, names ...string) error {
	ctx, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	last := ""
	for {
		if last = w.firstUnsettled(ctx, names); last == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not settled in %v: %s; %s", settleTimeout, last, w.describeMachines())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// settleTimeout bounds what a settling is waited for; whether it came in time the history tells.
const settleTimeout = 3 * PropagationLimit

// firstUnsettled names what is not everywhere yet.
func (w *Fleet) firstUnsettled(ctx context.Context, names []string) string {
	leader, err := w.AwaitLeader(ctx)
	if err != nil {
		return err.Error()
	}
	if err := w.readDocuments(ctx, leader); err != nil {
		return err.Error()
	}
	if names == nil {
		w.mu.Lock()
		names = slices.Sorted(maps.Keys(w.latestRevisions))
		w.mu.Unlock()
	}
	for _, name := range names {
		r, ok := w.History.Latest(name)
		if !ok {
			return fmt.Sprintf("%s: %d by %s is %s", name, r.Revision, r.Author, r.Stage)
		}
		if lacking := w.agentsLacking(r); len(lacking) > 0 {
			return fmt.Sprintf("%s: %d is not at %d agents: %v", name, r.Revision, len(lacking), lacking[:min(len(lacking), 5)])
		}
	}
	return ""
}

func (w *Fleet) agentsLacking(r rollout.Revision) (out []string) {
	for _, a := range w.History.agents {
		if w.History.Reachable(a.Name) && !w.History.HasRevision(a.Name, r) {
			out = append(out, a.Name)
		}
	}
	slices.Sort(out)
	return out
}

// Logs is every machine's log, for a failed run.
func (w *Fleet) Logs() (out string) {
	for _, id := range machineNames {
		if m := w.machines[id]; m != nil && m.Proc != nil {
			out += m.Log()
		}
	}
	return out
}

// Close ends everything.
func (w *Fleet) Close() {
	w.stop()
	for _, a := range w.hollowAgents {
		a.cancel()
	}
	for _, a := range w.hollowAgents {
		a.wait()
	}
	if w.callers != nil {
		w.callers.Wait()
	}
	w.work.Wait()
	if w.cluster != nil {
		w.cluster.Close()
	}
	var down sync.WaitGroup
	for _, m := range w.machines {
		if m.Proc != nil {
			down.Go(m.Kill)
		}
	}
	down.Wait()
	if w.client != nil {
		w.client.Close()
	}
	for _, mesh := range []faultnet.Mesh{w.raftLinks, w.reportLinks, w.agentLinks} {
		for _, tos := range mesh {
			for _, l := range tos {
				if l != nil {
					l.Close()
				}
			}
		}
	}
}
