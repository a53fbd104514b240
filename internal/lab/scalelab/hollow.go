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

// HelperConfig is the configuration of a helper process, the first line that it reads.
type HelperConfig struct {
	Plan
	Places []Identity
	Hosts  []string          // addresses of the agents
	Role   string            // role of this process
	Mine   []int             // agents of this process
	List   string            // address of the server of the list of setup servers
	Known  json.RawMessage   // the list of setup servers, for agents that don't watch it
	Via    map[string]string // address -> proxy by which the other region reaches it
	Dir    string
	// Machines are the control machines as the agents of each region reach them.
	Machines map[string][]watcher.Machine
}

// addr returns the address of agent i with one of its ports.
func (hc *HelperConfig) addr(i, port int) string { return fmt.Sprintf("%s:%d", hc.Hosts[i], port) }

// membership returns the configuration of an agent's membership on a port. The seeds are the group's first
// two agents and its first one in the other region, since at least one seed in each region is needed.
func (hc *HelperConfig) membership(i, port int) *members.Config {
	c := &members.Config{Bind: hc.addr(i, port), Far: hc.Delay[1] > 0, Links: hc.links(i)}
	group := peers(hc.Places, hc.Places[i].Group)
	seeds := slices.Clone(group[:min(2, len(group))])
	if far := slices.IndexFunc(group, func(j int) bool { return hc.Places[j].Region != hc.Places[group[0]].Region }); far >= 0 {
		seeds = append(seeds, group[far])
	}
	for _, j := range seeds {
		if j != i {
			c.Seeds = append(c.Seeds, hc.addr(j, port))
		}
	}
	return c
}

// links returns the proxies to the other region. All agents of a region in a process share one map.
func (hc *HelperConfig) links(i int) map[string]string {
	if len(hc.Via) == 0 {
		return nil
	}
	linksCache.Lock()
	defer linksCache.Unlock()
	region := hc.Places[i].Region
	if linksCache.of == nil || linksCache.config != hc {
		linksCache.config, linksCache.of = hc, map[string]map[string]string{}
	}
	if m := linksCache.of[region]; m != nil {
		return m
	}
	m := map[string]string{}
	for j, to := range hc.Places {
		if to.Region == region {
			continue
		}
		for port := membersPort; port <= clientPort; port++ {
			if via := hc.Via[hc.addr(j, port)]; via != "" {
				m[hc.addr(j, port)] = via
			}
		}
	}
	linksCache.of[region] = m
	return m
}

// linksCache holds the maps of links by region, for one HelperConfig.
var linksCache struct {
	sync.Mutex
	config *HelperConfig
	of     map[string]map[string]string
}

// milestone is the latest of a series of rising values, and when it was reached.
type milestone struct {
	value int64
	at    time.Time
}

// hollowAgent is an agent without callers, with the parts of control that the plan names.
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
	senders    atomic.Int64 // number of senders in the steward's latest view
	views      atomic.Int64
	follows    atomic.Bool
	feedTurns  int // calls of feedCall so far
	openServer string
}

// newHollowAgent returns agent i, not started.
func newHollowAgent(config *HelperConfig, i int, log *slog.Logger) *hollowAgent {
	return &hollowAgent{Identity: config.Places[i], index: i, helperConfig: config, log: log, milestones: map[string]milestone{}}
}

// advance records that a milestone has reached n; 0 stands for one more than before.
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

// reached returns the latest value of a milestone.
func (h *hollowAgent) reached(what string) milestone {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.milestones[what]
}

// The daemon's times for the watch of the list (internal/daemon).
const (
	listPatience = time.Second
	listGrace    = 750 * time.Millisecond
	listRetry    = 100 * time.Millisecond
)

// start starts the agent's parts. After an error, stop stops those that were started.
func (h *hollowAgent) start() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	config := h.helperConfig
	spreading, spreadAs := h.spreadConfigs()
	if config.has(Discovery) || config.has(Spread) || config.has(Zones) {
		if err := h.startCore(spreadAs); err != nil {
			return err
		}
	}
	if config.has(Discovery) {
		f := &bulletin.Follower{Core: h, Log: h.log, PollWait: listPatience, Grace: listGrace, RetryDelay: listRetry,
			Source: &net.TCPAddr{IP: net.ParseIP(config.Hosts[h.index])}}
		f.SetAddress(config.List)
		h.work.Go(func() { f.Run(ctx) })
	} else if h.core != nil {
		var b bulletin.Batch
		if err := json.Unmarshal(config.Known, &b); err != nil {
			return err
		}
		if err := (&bulletin.Follower{Core: h, Log: h.log}).Apply(b); err != nil {
			return err
		}
	}
	var err error
	if config.has(Members) {
		if h.list, err = members.Open(*config.membership(h.index, membersPort), members.Member{Name: h.Name, Zone: h.Zone, Region: h.Region}, h.log); err != nil {
			return err
		}
		h.work.Go(func() {
			h.list.StayJoined(ctx)
			h.list.Shutdown()
		})
	}
	if config.has(Spread) {
		if h.spread, err = spreader.Open(spreading, spreadAs, fedCore{h}, h.log); err != nil {
			return err
		}
		h.work.Go(func() { h.spread.Run(ctx) })
	}
	if config.has(Zones) {
		if err := h.startZones(ctx); err != nil {
			return err
		}
	}
	if config.has(Config) {
		if h.config, err = newConfigClient(h); err != nil {
			return err
		}
		h.work.Go(func() { h.config.run(ctx) })
	}
	return nil
}

// spreadConfigs returns the configuration of the agent's spreader and of its spread module. With stewards on
// the control machines, the module gets the number of agents of the service as that of the senders. With
// stewards at agents it gets none, so that figures stay comparable with earlier runs.
func (h *hollowAgent) spreadConfigs() (spreader.Config, spread.Config) {
	config := h.helperConfig
	if !config.atMachines() {
		file := spreader.Config{Mode: "common", Members: config.membership(h.index, spreadPort)}
		return file, file.SpreadConfig(h.Name, h.life())
	}
	file := spreader.Config{Mode: "control", Service: h.Service, Machines: config.Machines[h.Region], Source: &net.TCPAddr{IP: net.ParseIP(config.Hosts[h.index])}}
	spreadConfig := file.SpreadConfig(h.Name, h.life())
	group := peers(config.Places, h.Group)
	spreadConfig.Rank, spreadConfig.Senders = max(slices.Index(group, h.index), 0), len(group)
	return file, spreadConfig
}

// stop stops the agent in an orderly way. To simulate a crash, its process is ended with SIGKILL instead.
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

// processStart distinguishes the agents of this process from earlier ones of the same names.
var processStart = time.Now()

func (h *hollowAgent) life() time.Time { return processStart }

// startCore starts the agent's core and module. The setup servers are known but send no reports.
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

// noBackend is a backend that does nothing, since there are no calls.
type noBackend struct{}

func (noBackend) Servers([]agent.Server, bool)              {}
func (noBackend) SetUp(agent.Attempt)                       {}
func (noBackend) GiveUp(string, string, int, policy.Result) {}
func (noBackend) ReleaseUnknown(string)                     {}
func (noBackend) Probe(string)                              {}

// Servers counts an event of the list and passes it to the core.
func (h *hollowAgent) Servers(list []agent.Server, whole bool) {
	h.advance("event", 0)
	h.core.Servers(list, whole)
}

// fedCore is the core for the spreader, with a simulated call for every second summary.
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

// feedCall records a simulated call at every second turn: sent to the servers in rotation, and answered.
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

// startZones starts the agent's placer and, for a decider, its member of the control group.
func (h *hollowAgent) startZones(ctx context.Context) error {
	config := h.helperConfig
	control := peers(config.Places, h.Group)
	control = control[:min(deciders, len(control))]
	h.controlGroup = &controlGroup{}
	calls := map[string]string{}
	var bootstrap []replica.Peer
	for _, j := range control {
		at := config.addr(j, clientPort)
		if via := config.Via[at]; via != "" && config.Places[j].Region != h.Region {
			at = via
		}
		calls[config.Places[j].Name] = at
		bootstrap = append(bootstrap, replica.Peer{ID: config.Places[j].Name, Raft: config.addr(j, raftPort)})
	}
	h.controlGroup.client = replica.NewClient(calls)
	if slices.Contains(control, h.index) {
		var err error
		if h.node, err = replica.Open(replica.Config{ID: h.Name, Raft: config.addr(h.index, raftPort), Client: config.addr(h.index, clientPort),
			Data: filepath.Join(config.Dir, h.Name), Bootstrap: bootstrap, Timing: lab.SlowTiming}, h.log); err != nil {
			return err
		}
		h.controlGroup.node = h.node
		if h.controlGroup.listener, err = h.node.Serve(); err != nil {
			return err
		}
	}
	c := placer.Config{Zone: h.Zone, Mode: "common", Members: config.membership(h.index, zonesPort)}
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

// controlGroup is an agent's access to the control group, as internal/daemon implements it.
type controlGroup struct {
	client   *replica.Client
	node     *replica.Node // nil: this agent is not a member
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
