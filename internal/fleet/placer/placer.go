// Package placer makes a call agent follow the common decision on where the calls of each zone go; the agent
// that leads the control group also makes that decision. The package only connects the parts: package
// failover decides, package members knows which agents are alive and what each observes, the replicated log
// of the promises holds the plan, and package policy chooses the server within the pools that a call may use.
package placer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/failover"
	"woodrouter/internal/fleet/members"
)

// Control is the control group as seen from this agent: the group of the promises that stores the plan. Its
// methods may block.
type Control interface {
	// IsMember reports whether this agent is a member of the group. Members receive the summaries.
	IsMember() bool
	// IsLeader reports whether this agent leads the group, as far as it knows.
	IsLeader() bool
	// Plan returns the plan of any member that has one with an epoch of at least minEpoch.
	Plan(ctx context.Context, minEpoch uint64) (epoch uint64, plan []byte, err error)
	// LeaderPlan returns the plan of the leader, or an error if no leader can be reached.
	LeaderPlan(ctx context.Context) (epoch uint64, plan []byte, err error)
	// Propose appends a plan to the log. accepted is false if the log already has another plan for that
	// epoch.
	Propose(ctx context.Context, epoch uint64, plan []byte) (accepted bool, err error)
}

// Placer follows the plan for one agent.
type Placer struct {
	live         atomic.Pointer[liveConfig]
	changed      chan struct{} // holds one item after live was replaced
	self         members.Member
	observations *agent.Observations
	control      Control          // nil in mode local
	members      *members.Members // nil in mode local
	log          *slog.Logger
	life         int64  // when the process started, Unix µs
	seq          uint64 // of the latest summary

	plan           atomic.Pointer[failover.Plan]
	zones          atomic.Pointer[map[string]agent.ZoneObservation] // the latest observations, by zone
	controlHeardAt atomic.Int64                                     // last answer of the leader, Unix µs
	silenceLogged  bool                                             // the group's silence has been logged

	mu       sync.Mutex
	setUps   map[setUpKey]int64 // set-ups written in full
	keptHome atomic.Int64       // calls kept in the home zone, as no live server is seen in the planned zone
}

// setUpKey is the key by which set-ups are counted.
type setUpKey struct{ Class, Zone string }

// New returns the placer of an agent in a zone. In mode common it also opens the membership.
func New(cfg Config, name, zone string, observations *agent.Observations, control Control, log *slog.Logger) (*Placer, error) {
	parsed, err := cfg.parse()
	if err != nil {
		return nil, err
	}
	p := &Placer{changed: make(chan struct{}, 1), observations: observations, log: log, life: time.Now().UnixMicro(), setUps: map[setUpKey]int64{},
		self: members.Member{Name: name, Zone: zone, Region: cfg.Topology.Region(zone)}}
	p.live.Store(&liveConfig{cfg.Topology, parsed})
	zonesFromList := cfg.Mode == "local" && len(cfg.Topology.Zones) == 0
	switch {
	case zonesFromList && zone == "":
		log.Info("zones: this agent has no zone in the platform's settings; its calls are not restricted to a zone")
	case zonesFromList:
		p.self.Region = impliedRegion
	case p.self.Region == "":
		return nil, fmt.Errorf("field zone: %q is none of the topology's", zone)
	}
	p.plan.Store(&failover.Plan{})
	p.zones.Store(&map[string]agent.ZoneObservation{})
	if cfg.Mode != "common" {
		return p, nil
	}
	if control == nil {
		return nil, errors.New("field mode: common needs the promises' groups (WOODROUTER_PROMISES)")
	}
	p.self.InControlGroup = control.IsMember()
	if err := members.CheckMetadata(p.self); err != nil {
		return nil, err
	}
	p.control = control
	p.members, err = members.Open(*cfg.Members, p.self, log)
	return p, err
}

// liveConfig is the part of the configuration that may change while the agent runs.
type liveConfig struct {
	topology failover.Topology
	parsedConfig
}

// CheckConfig returns an error if Reconfigure cannot use a file.
func (p *Placer) CheckConfig(cfg Config) error {
	region := cfg.Topology.Region(p.self.Zone)
	switch {
	case len(cfg.Topology.Zones) == 0:
	case region == "" && p.self.Zone != "":
		return fmt.Errorf("field topology.zones: this agent's zone %q is none of them", p.self.Zone)
	case p.members != nil && region != p.self.Region: // the others know the region from its metadata
		return fmt.Errorf("field topology.zones: zone %q is of region %q until this agent's next start, not %q", p.self.Zone, p.self.Region, region)
	}
	return cfg.Valid()
}

// Reconfigure replaces topology, settings and durations with those of another file. Its other fields take
// effect at the agent's next start. An invalid file changes nothing.
func (p *Placer) Reconfigure(cfg Config) error {
	if err := p.CheckConfig(cfg); err != nil {
		return err
	}
	parsed, err := cfg.parse()
	if err != nil {
		return err
	}
	p.live.Store(&liveConfig{cfg.Topology, parsed})
	select {
	case p.changed <- struct{}{}:
	default: // Run has been notified already
	}
	return nil
}

// Run follows the plan, and decides if this agent leads, until the context ends. It then leaves the
// membership.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(p.live.Load().every)
	defer tick.Stop()
	var epochRaised <-chan struct{}
	if p.members != nil {
		var joined sync.WaitGroup
		defer joined.Wait()
		defer p.members.Leave()
		epochRaised = p.members.EpochRaised()
		joined.Go(func() { p.members.StayJoined(ctx) })
	}
	for {
		p.shareObservations(ctx)
		if p.control != nil {
			p.follow(ctx)
		}
		p.decide(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-p.changed:
			tick.Reset(p.live.Load().every)
		case <-epochRaised:
			p.follow(ctx) // a new epoch must not wait for the tick
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}
}

// shareObservations takes the observations since the last call and sends them to the control group. It then
// probes servers to which no call of this agent goes; in mode local it decides instead.
func (p *Placer) shareObservations(ctx context.Context) {
	zones, offered := p.observations.Take()
	p.zones.Store(&zones)
	p.seq++
	s := failover.Summary{Agent: p.self.Name, Zone: p.self.Zone, Life: p.life, Seq: p.seq, AtUs: time.Now().UnixMicro(),
		Offered: offered, Seen: map[string]failover.Sight{}}
	for name, z := range zones {
		s.Seen[name] = failover.Sight{Listed: z.Listed, Up: z.Up, Capacity: z.Capacity, Tries: z.Attempts, Full: z.Full, Dead: z.Unreachable, WaitMs: float64(z.Wait.Milliseconds())}
	}
	if p.members == nil {
		p.decideLocally(s)
		return
	}
	p.members.SendSummary(s)
	round := p.seq
	go p.probeServers(ctx, zones, round)
}

// decideLocally makes the next plan from this agent's observations alone.
func (p *Placer) decideLocally(s failover.Summary) {
	if p.self.Zone == "" {
		return
	}
	config := p.live.Load()
	v := failover.Aggregate([]failover.Summary{s}, s.AtUs, config.fresh.Microseconds())
	if next, changed := failover.Decide(*p.plan.Load(), p.topology(config, s), config.settings, v, s.AtUs, p.self.Name); changed {
		p.apply(next)
	}
}

// impliedRegion is the region of all zones if the file has no topology.
const impliedRegion = "here"

// topology returns the topology of the file, or else one of the zones in the list of setup servers.
func (p *Placer) topology(config *liveConfig, s failover.Summary) failover.Topology {
	if len(config.topology.Zones) > 0 {
		return config.topology
	}
	var t failover.Topology
	names := slices.Collect(maps.Keys(s.Seen))
	if !slices.Contains(names, p.self.Zone) {
		names = append(names, p.self.Zone)
	}
	for _, z := range slices.Sorted(slices.Values(names)) {
		t.Zones = append(t.Zones, failover.Zone{Name: z, Region: impliedRegion})
	}
	return t
}

// decide makes the next plan if this agent leads the control group. The proposal of a leader that is
// partitioned from the group fails. If two agents consider themselves leader, the log accepts one plan for an
// epoch.
func (p *Placer) decide(ctx context.Context) {
	if p.control == nil || !p.control.IsLeader() {
		return
	}
	now, config := time.Now().UnixMicro(), p.live.Load()
	v := failover.Aggregate(p.members.Summaries(), now, config.fresh.Microseconds())
	next, changed := failover.Decide(*p.plan.Load(), config.topology, config.settings, v, now, p.self.Name)
	if !changed {
		return
	}
	text, err := json.Marshal(next)
	if err != nil {
		p.log.Error("zones: plan not encoded", "epoch", next.Epoch, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*config.every)
	defer cancel()
	switch accepted, err := p.control.Propose(ctx, next.Epoch, text); {
	case err != nil:
		p.log.Warn("zones: plan not accepted by the control group", "epoch", next.Epoch, "error", err)
	case !accepted:
		if epoch, text, err := p.control.Plan(ctx, next.Epoch); err == nil { // another leader decided this epoch
			p.adopt(epoch, text)
		}
	default:
		p.apply(next)
		p.members.AnnounceEpoch(next.Epoch)
	}
}

// follow adopts the newest plan of the control group when gossip announces one. Now and then it also asks the
// leader, because gossip may be cut off where the group is not. If no leader can be reached, the last plan
// stays in force: a minority decides nothing, and takes over nobody's calls.
func (p *Placer) follow(ctx context.Context) {
	current, announced := p.plan.Load().Epoch, p.members.Epoch()
	config := p.live.Load()
	ctx, cancel := context.WithTimeout(ctx, config.every)
	defer cancel()
	if announced > current {
		if epoch, text, err := p.control.Plan(ctx, announced); err == nil {
			p.adopt(epoch, text)
			return
		}
	}
	if time.Since(time.UnixMicro(p.controlHeardAt.Load())) < config.fresh {
		return
	}
	epoch, text, err := p.control.LeaderPlan(ctx)
	if err != nil {
		if current > 0 && !p.silenceLogged {
			p.silenceLogged = true
			p.log.Warn("zones: the control group does not answer; the last plan stays in force", "epoch", current, "error", err)
		}
		return
	}
	p.controlHeardAt.Store(time.Now().UnixMicro())
	p.silenceLogged = false
	p.adopt(epoch, text)
}

// adopt puts a plan of the log in force if it is newer than the current one.
func (p *Placer) adopt(epoch uint64, text []byte) {
	if epoch <= p.plan.Load().Epoch {
		return
	}
	var next failover.Plan
	if err := json.Unmarshal(text, &next); err != nil || next.Epoch != epoch {
		p.log.Error("zones: invalid plan ignored", "epoch", epoch, "says", next.Epoch, "error", err)
		return
	}
	p.apply(next)
	p.members.AnnounceEpoch(epoch) // agents that receive the epoch from nobody else receive it from this one
}

// apply puts a plan in force for new calls.
func (p *Placer) apply(next failover.Plan) {
	previous := p.plan.Swap(&next)
	home, before := next.Zones[p.self.Zone], previous.Zones[p.self.Zone]
	p.log.Info("zones: new epoch", "epoch", next.Epoch, "by", next.By, "home", p.self.Zone, "mode", home.Mode,
		"was", before.Mode, "shares", fmt.Sprint(home.Shares), "took", time.Since(time.UnixMicro(next.AtUs)).Round(time.Millisecond))
	for _, t := range next.Trades {
		p.log.Warn("zones: service traded", "epoch", next.Epoch, "zone", t.Zone, "for", t.For, "class", t.Class, "per_second", t.PerSecond)
	}
}

// ChooseZone returns the zone to which the set-ups of a call may go, and the pools there. If this agent sees
// no live server in the planned zone but has some in its home zone, the call stays in the home zone until a
// later epoch places it elsewhere.
func (p *Placer) ChooseZone(class, call string) (zone string, pools []int) {
	seen := *p.zones.Load()
	zone = p.plan.Load().ChooseZone(p.self.Zone, class, call)
	if z := seen[zone]; zone != p.self.Zone && z.Up == 0 && seen[p.self.Zone].Up > 0 {
		p.keptHome.Add(1)
		zone = p.self.Zone
	}
	return zone, seen[zone].Pools
}

// RestrictToZone restricts a call's route to the pools of its zone. If that zone has no pool that the call
// may use, the nearest zone that has one is taken. If none has, the route stays as it is, and package
// policy finds no server.
func (p *Placer) RestrictToZone(r agent.Route, classPools []int, class, call string) agent.Route {
	if p.self.Zone == "" {
		return r
	}
	zone, pools := p.ChooseZone(class, call)
	allowed := func(pool int) bool {
		return (r.Pools == nil || slices.Contains(r.Pools, pool)) && (classPools == nil || slices.Contains(classPools, pool))
	}
	for _, z := range append([]string{zone}, p.live.Load().topology.Nearest(zone)...) {
		if z != zone {
			pools = (*p.zones.Load())[z].Pools
		}
		var restricted []int
		for _, pool := range pools {
			if allowed(pool) {
				restricted = append(restricted, pool)
			}
		}
		if restricted != nil {
			r.Pools = restricted
			return r
		}
	}
	return r
}

// CountSetUp counts a set-up that was written in full to a server of a zone.
func (p *Placer) CountSetUp(class, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setUps[setUpKey{class, zone}]++
}

// SetUpCounts returns the set-ups written in full, by class: to servers of this agent's zone, and to those of
// other zones.
func (p *Placer) SetUpCounts() (home, away map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	home, away = map[string]int64{}, map[string]int64{}
	for key, n := range p.setUps {
		if key.Zone == p.self.Zone {
			home[key.Class] += n
		} else {
			away[key.Class] += n
		}
	}
	return home, away
}

// Plan returns the plan in force. The caller must not change it.
func (p *Placer) Plan() failover.Plan { return *p.plan.Load() }

// AliveByZone returns the names of the agents considered alive, by zone; nil in mode local.
func (p *Placer) AliveByZone() map[string][]string {
	if p.members == nil {
		return nil
	}
	out := map[string][]string{}
	for _, m := range p.members.Alive() {
		out[m.Zone] = append(out[m.Zone], m.Name)
	}
	for _, names := range out {
		slices.Sort(names)
	}
	return out
}

// GossipTraffic returns the cost of the membership so far: datagrams sent plus streams opened, bytes sent in
// datagrams, and messages that could not be decoded. All are 0 in mode local.
func (p *Placer) GossipTraffic() (sent, bytes, bad int64) {
	if p.members == nil {
		return 0, 0, 0
	}
	return p.members.Traffic()
}

// KeptHome returns the number of calls kept in the home zone because this agent sees no live server in the
// planned zone.
func (p *Placer) KeptHome() int64 { return p.keptHome.Load() }

// Bounds of one round of probes.
const (
	maxProbes     = 16                     // servers in one round
	maxIdleProbes = 2                      // servers of the home zone among them, while no call goes there
	probeTimeout  = 300 * time.Millisecond // for dialing, and again for the first byte from the server
)

// probeServers probes servers about which this agent's calls reveal nothing: those seen down, all of zones
// that are lost or in which no agent is alive, and a few of the home zone while no call goes there. A server
// is alive if it sends a byte: it sends the state of its group first on every connection.
func (p *Placer) probeServers(ctx context.Context, zones map[string]agent.ZoneObservation, round uint64) {
	addresses := p.observations.Down()
	alive, plan := p.AliveByZone(), p.Plan()
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if len(alive[name]) == 0 || plan.States[name].Lost {
			addresses = append(addresses, zones[name].Addresses...)
		}
	}
	if home := zones[p.self.Zone]; home.Attempts == 0 {
		addresses = append(addresses, rotatingSubset(home.Addresses, maxIdleProbes, round)...)
	}
	slices.Sort(addresses)
	addresses = rotatingSubset(slices.Compact(addresses), maxProbes, round)
	var work sync.WaitGroup
	for _, a := range addresses {
		work.Go(func() { p.observations.RecordCheck(a, answersProbe(ctx, a)) })
	}
	work.Wait()
}

// rotatingSubset returns at most n elements of a list, other ones in each round.
func rotatingSubset(list []string, n int, round uint64) []string {
	if len(list) <= n {
		return list
	}
	from := int(round) * n % len(list)
	return slices.Concat(list[from:], list[:from])[:n]
}

// answersProbe reports whether a server accepts a connection and sends something on it, each within
// probeTimeout.
func answersProbe(ctx context.Context, address string) bool {
	d := net.Dialer{Timeout: probeTimeout}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(probeTimeout))
	n, err := conn.Read(make([]byte, 1))
	return n == 1 && err == nil
}
