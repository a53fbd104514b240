package scalelab

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/failover"
	"woodrouter/internal/fleet/members"
	"woodrouter/internal/fleet/placer"
	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/fleet/spreader"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/internal/lab"
	"woodrouter/internal/servers/bulletin"
	"woodrouter/internal/settings"
	"woodrouter/policy"
	"woodrouter/promise"
	"woodrouter/spread"
)

// The ports on each agent's own address.
const (
	membersPort = 5072 + iota
	spreadPort
	zonesPort
	raftPort
	clientPort
)

// HelperConfig is what a helper process is told at its start.
type HelperConfig struct {
	Plan
	Places []Identity
	Hosts  []string          // of the agents
	Role   string            // of this process
	Mine   []int             // its agents
	List   string            // address of the list of setup servers
	Known  json.RawMessage   // what is told of them where nobody watches the list
	Via    map[string]string // an address -> the proxy that leads there from the other region
	Dir    string
	// Machines keep the configuration, as agents of a region reach them.
	Machines map[string][]watcher.Machine
}

func (d *HelperConfig) addr(i, port int) string { return fmt.Sprintf("%s:%d", d.Hosts[i], port) }

// membership is an agent's file of membership on a port. The seeds are the group's first two
// agents and its first of the other region: one of each region is the least.
func (d *HelperConfig) membership(i, port int) *members.Config {
	c := &members.Config{Bind: d.addr(i, port), Far: d.Delay[1] > 0, Links: d.links(i)}
	group := peers(d.Places, d.Places[i].Group)
	seeds := slices.Clone(group[:min(2, len(group))])
	if far := slices.IndexFunc(group, func(j int) bool { return d.Places[j].Region != d.Places[group[0]].Region }); far >= 0 {
		seeds = append(seeds, group[far])
	}
	for _, j := range seeds {
		if j != i {
			c.Seeds = append(c.Seeds, d.addr(j, port))
		}
	}
	return c
}

// links are the proxies to the other region. One map serves all agents of a region in a process.
func (d *HelperConfig) links(i int) map[string]string {
	if len(d.Via) == 0 {
		return nil
	}
	linksCache.Lock()
	defer linksCache.Unlock()
	region := d.Places[i].Region
	if linksCache.of == nil || linksCache.deal != d {
		linksCache.deal, linksCache.of = d, map[string]map[string]string{}
	}
	if m := linksCache.of[region]; m != nil {
		return m
	}
	m := map[string]string{}
	for j, to := range d.Places {
		if to.Region == region {
			continue
		}
		for port := membersPort; port <= clientPort; port++ {
			if via := d.Via[d.addr(j, port)]; via != "" {
				m[d.addr(j, port)] = via
			}
		}
	}
	linksCache.of[region] = m
	return m
}

var linksCache struct {
	sync.Mutex
	deal *HelperConfig
	of   map[string]map[string]string
}

// milestone is the latest of something that only rises, and when it came.
type milestone struct {
	value int64
	at    time.Time
}

// hollowAgent is one agent without callers.
type hollowAgent struct {
	Identity
	index        int
	helperConfig *HelperConfig
	log          *slog.Logger

	cancel       context.CancelFunc
	work         sync.WaitGroup
	core         *agent.Agent
	list         *members.Members
	spread       *spreader.Spreader
	placer       *placer.Placer
	node         *replica.Node
	controlGroup *controlGroup
	config       *configClient

	mu         sync.Mutex
	milestones map[string]milestone
	senders    atomic.Int64 // that the steward's latest view counts
	views      atomic.Int64
	follows    atomic.Bool
	feedTurns  int // of the calls made up
	openServer string
}

func newHollowAgent(d *HelperConfig, i int, log *slog.Logger) *hollowAgent {
	return &hollowAgent{Identity: d.Places[i], index: i, helperConfig: d, log: log, milestones: map[string]milestone{}}
}

// advance counts something that came.
func (h *hollowAgent) advance(what string, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.milestones[what]
	if n == 0 {
		n = m.value + 1
	}
	if n > m.value {
		h.milestones[what] = milestone{n, time.Now()}
	}
}

func (h *hollowAgent) reached(what string) milestone {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.milestones[what]
}

// The daemon's watch of the list (internal/daemon).
const (
	listPatience = time.Second
	listGrace    = 750 * time.Millisecond
	listRetry    = 100 * time.Millisecond
)

// start starts the parts of the plan. What was started before an error is ended by stop.
func (h *hollowAgent) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	d := h.helperConfig
	spreading, spreadAs := h.spreadConfigs()
	if d.has(Discovery) || d.has(Spread) || d.has(Zones) {
		if err := h.startCore(spreadAs); err != nil {
			return err
		}
	}
	if d.has(Discovery) {
		f := &bulletin.Follower{Core: h, Log: h.log, PollWait: listPatience, Grace: listGrace, RetryDelay: listRetry,
			Source: &net.TCPAddr{IP: net.ParseIP(d.Hosts[h.index])}}
		f.SetAddress(d.List)
		h.work.Go(func() { f.Run(ctx) })
	} else if h.core != nil {
		var b bulletin.Batch
		if err := json.Unmarshal(d.Known, &b); err != nil {
			return err
		}
		if err := (&bulletin.Follower{Core: h, Log: h.log}).Apply(b); err != nil {
			return err
		}
	}
	var err error
	if d.has(Members) {
		if h.list, err = members.Open(*d.membership(h.index, membersPort), members.Member{Name: h.Name, Zone: h.Zone, Region: h.Region}, h.log); err != nil {
			return err
		}
		h.work.Go(func() {
			h.list.StayJoined(ctx)
			h.list.Shutdown()
		})
	}
	if d.has(Spread) {
		if h.spread, err = spreader.Open(spreading, spreadAs, fedCore{h}, h.log); err != nil {
			return err
		}
		h.work.Go(func() { h.spread.Run(ctx) })
	}
	if d.has(Zones) {
		if err := h.startZones(ctx); err != nil {
			return err
		}
	}
	if d.has(Config) {
		if h.config, err = newConfigClient(h); err != nil {
			return err
		}
		h.work.Go(func() { h.config.run(ctx) })
	}
	return nil
}

// spreadConfigs is the agent's file on spreading load, and what its module is told of it. By control
// machines the senders of a service are as many as its agents; among agents this is left untold, as
// in the runs before there were machines.
func (h *hollowAgent) spreadConfigs() (spreader.Config, spread.Config) {
	d := h.helperConfig
	if !d.atMachines() {
		file := spreader.Config{Mode: "common", Members: d.membership(h.index, spreadPort)}
		return file, file.SpreadConfig(h.Name, h.life())
	}
	file := spreader.Config{Mode: "control", Service: h.Service, Machines: d.Machines[h.Region], Source: &net.TCPAddr{IP: net.ParseIP(d.Hosts[h.index])}}
	as := file.SpreadConfig(h.Name, h.life())
	group := peers(d.Places, h.Group)
	as.Rank, as.Senders = max(slices.Index(group, h.index), 0), len(group)
	return file, as
}

// stop ends the agent well; a death is its process's SIGKILL.
func (h *hollowAgent) stop() {
	h.cancel()
	h.work.Wait()
	if h.core != nil {
		h.core.Stop()
	}
	if h.controlGroup != nil {
		h.controlGroup.close()
	}
}

// processStart tells this process's life from others.
var processStart = time.Now()

func (h *hollowAgent) life() time.Time { return processStart }

// startCore starts the agent's own core and module, with setup servers of which nothing is heard.
func (h *hollowAgent) startCore(spreading spread.Config) error {
	info, err := settings.Parse([]byte(lab.AgentSettings))
	if err != nil {
		return err
	}
	set := info.Policy()
	if h.helperConfig.has(Spread) {
		set.Spread = spreading
		if h.helperConfig.atMachines() {
			set.Rank, set.Senders = spreading.Rank, spreading.Senders
		}
	}
	if h.core, err = agent.New(agent.Config{ObserveServers: h.helperConfig.has(Zones), Settings: set, Seed: uint64(h.index), Log: h.log}); err != nil {
		return err
	}
	h.core.SetBackend(noBackend{})
	go h.core.Run()
	return nil
}

// noBackend is a backend: no set-up is ever handed to it.
type noBackend struct{}

func (noBackend) Servers([]agent.Server, bool)              {}
func (noBackend) SetUp(agent.Attempt)                       {}
func (noBackend) GiveUp(string, string, int, policy.Result) {}
func (noBackend) ReleaseUnknown(string)                     {}
func (noBackend) Probe(string)                              {}

// Servers notes an event of the list and hands it to the core.
func (h *hollowAgent) Servers(list []agent.Server, whole bool) {
	h.advance("event", 0)
	h.core.Servers(list, whole)
}

// fedCore is the core as spreading load sees it, fed with a call made up for every other summary.
type fedCore struct{ *hollowAgent }

func (s fedCore) WithSpread(do func(now policy.Time, st *spread.State)) {
	s.core.WithSpread(func(now policy.Time, st *spread.State) {
		s.feedCall(now, st)
		do(now, st)
		s.follows.Store(st.FollowsView(now))
	})
}

func (s fedCore) ApplyView(v spread.View) {
	s.senders.Store(int64(v.Senders))
	s.views.Add(1)
	s.core.ApplyView(v)
}

// feedCall has the module think that it sent a call to one of the servers, in turn, which answered.
func (h *hollowAgent) feedCall(now policy.Time, st *spread.State) {
	h.feedTurns++
	if h.feedTurns%2 == 0 {
		return
	}
	if h.openServer != "" {
		st.RecordEnd(h.openServer, true)
	}
	h.openServer = fmt.Sprintf("server-%02d", (h.index+h.feedTurns/2)%h.helperConfig.Servers)
	st.RecordDemand(now)
	st.RecordReport(now, h.openServer, spread.Seen{Lines: 900, Util: 0.6, Wait: 0.021})
	st.RecordSent(now, h.openServer, false)
}

// startZones has the agent follow zones; a decider has its part in the control group too.
func (h *hollowAgent) startZones(ctx context.Context) error {
	d := h.helperConfig
	control := peers(d.Places, h.Group)
	control = control[:min(deciders, len(control))]
	h.controlGroup = &controlGroup{}
	calls := map[string]string{}
	var boot []replica.Peer
	for _, j := range control {
		at := d.addr(j, clientPort)
		if via := d.Via[at]; via != "" && d.Places[j].Region != h.Region {
			at = via
		}
		calls[d.Places[j].Name] = at
		boot = append(boot, replica.Peer{ID: d.Places[j].Name, Raft: d.addr(j, raftPort)})
	}
	h.controlGroup.client = replica.NewClient(calls)
	if slices.Contains(control, h.index) {
		var err error
		if h.node, err = replica.Open(replica.Config{ID: h.Name, Raft: d.addr(h.index, raftPort), Client: d.addr(h.index, clientPort),
			Data: filepath.Join(d.Dir, h.Name), Bootstrap: boot, Timing: lab.SlowTiming}, h.log); err != nil {
			return err
		}
		h.controlGroup.node = h.node
		if h.controlGroup.listener, err = h.node.Serve(); err != nil {
			return err
		}
	}
	c := placer.Config{Zone: h.Zone, Mode: "common", Members: d.membership(h.index, zonesPort)}
	for _, z := range zoneNames {
		c.Topology.Zones = append(c.Topology.Zones, failover.Zone{Name: z, Region: regionOf(z)})
	}
	var err error
	if h.placer, err = placer.New(c, h.Name, h.Zone, h.core.Observations(), h.controlGroup, h.log); err != nil {
		return err
	}
	h.work.Go(func() { h.placer.Run(ctx) })
	return nil
}

// controlGroup is the control group as an agent reaches it (internal/daemon has the same over its keeper).
type controlGroup struct {
	client   *replica.Client
	node     *replica.Node // nil: this agent is not of it
	listener net.Listener
}

func (g *controlGroup) IsMember() bool { return g.node != nil }
func (g *controlGroup) IsLeader() bool { return g.node != nil && g.node.Leading() }

func (g *controlGroup) Plan(ctx context.Context, least uint64) (uint64, []byte, error) {
	r, err := g.client.Plan(ctx, least)
	return r.Epoch, r.Plan, err
}

func (g *controlGroup) LeaderPlan(ctx context.Context) (uint64, []byte, error) {
	r, err := g.client.LeaderPlan(ctx)
	return r.Epoch, r.Plan, err
}

func (g *controlGroup) Propose(ctx context.Context, epoch uint64, plan []byte) (bool, error) {
	r, err := g.client.Propose(ctx, promise.Entry{Op: promise.OpPlan, Epoch: epoch, Plan: json.RawMessage(plan)})
	return r.First, err
}

func (g *controlGroup) close() {
	g.client.Close()
	if g.node != nil {
		g.listener.Close()
		g.node.Close()
	}
}
