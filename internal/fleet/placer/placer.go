// Package placer has a call agent follow, and where it leads the control group make, the one
// decision of where each zone's calls go. It is the thin part: package failover decides,
// package members tells who is alive and what all see, the replicated log of the promises
// holds the plan, and package policy picks the server among the pools a call may use.
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

// Control is the control group as this agent reaches it: the group of the promises that keeps
// the plan. Its methods may wait.
type Control interface {
	// IsMember tells whether this agent is a member of the group: summaries are told to those.
	IsMember() bool
	// IsLeader tells whether this agent's member leads the group, as far as it knows.
	IsLeader() bool
	// Plan is the plan of any member that has one of an epoch from least on.
	Plan(ctx context.Context, least uint64) (epoch uint64, plan []byte, err error)
	// LeaderPlan is the leader's; an error where no leader is within reach.
	LeaderPlan(ctx context.Context) (epoch uint64, plan []byte, err error)
	// Propose puts a plan in the log; took is false where another of its epoch stands.
	Propose(ctx context.Context, epoch uint64, plan []byte) (took bool, err error)
}

// Placer follows the plan for one agent.
type Placer struct {
	live         atomic.Pointer[liveConfig]
	changed      chan struct{} // live was replaced
	self         members.Member
	observations *agent.Observations
	control      Control          // nil: local mode
	members      *members.Members // nil: local mode
	log          *slog.Logger
	life         int64
	seq          uint64

	plan           atomic.Pointer[failover.Plan]
	zones          atomic.Pointer[map[string]agent.ZoneObservation] // the latest, by zone
	controlHeardAt atomic.Int64                                     // when the control group was last heard, Unix µs
	silenceLogged  bool                                             // that it is not heard was told

	mu       sync.Mutex
	setUps   map[setUpKey]int64 // set-ups written whole
	keptHome atomic.Int64       // calls kept home as the zone they were to go to is dead by own sight
}

// setUpKey is what set-ups are counted by.
type setUpKey struct{ Class, Zone string }

// New returns the placer of an agent in a zone. In common mode it takes part in the membership
// from here on.
func New(cfg Config, name, zone string, sights *agent.Observations, control Control, log *slog.Logger) (*Placer, error) {
	fig, err := cfg.parse()
	if err != nil {
		return nil, err
	}
	p := &Placer{changed: make(chan struct{}, 1), observations: sights, log: log, life: time.Now().UnixMicro(), setUps: map[setUpKey]int64{},
		self: members.Member{Name: name, Zone: zone, Region: cfg.Topology.Region(zone)}}
	p.live.Store(&liveConfig{cfg.Topology, fig})
	listed := cfg.Mode == "local" && len(cfg.Topology.Zones) == 0
	switch {
	case listed && zone == "":
		log.Info("zones: the platform names none for this agent; calls go where the module sends them")
	case listed:
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

// liveConfig is what may change while the agent runs.
type liveConfig struct {
	topology failover.Topology
	parsedConfig
}

// CheckConfig tells whether Change can take a file.
func (p *Placer) CheckConfig(cfg Config) error {
	region := cfg.Topology.Region(p.self.Zone)
	switch {
	case len(cfg.Topology.Zones) == 0:
	case region == "" && p.self.Zone != "":
		return fmt.Errorf("field topology.zones: this agent's zone %q is none of them", p.self.Zone)
	case p.members != nil && region != p.self.Region: // the others know it by that
		return fmt.Errorf("field topology.zones: zone %q is of region %q until this agent's next start, not %q", p.self.Zone, p.self.Region, region)
	}
	return cfg.Valid()
}

// Reconfigure has the placer go on by another file's topology, settings and times. The rest of it
// holds from the agent's next start. A file that can't be used changes nothing.
func (p *Placer) Reconfigure(cfg Config) error {
	if err := p.CheckConfig(cfg); err != nil {
		return err
	}
	fig, err := cfg.parse()
	if err != nil {
		return err
	}
	p.live.Store(&liveConfig{cfg.Topology, fig})
	select {
	case p.changed <- struct{}{}:
	default: // Run is to look anyway
	}
	return nil
}

// Run follows and decides until the context ends, then leaves the membership.
func (p *Placer) Run(ctx context.Context) {
	tick := time.NewTicker(p.live.Load().every)
	defer tick.Stop()
	var news <-chan struct{}
	if p.members != nil {
		var staying sync.WaitGroup
		defer staying.Wait()
		defer p.members.Leave()
		news = p.members.EpochRaised()
		staying.Go(func() { p.members.StayJoined(ctx) })
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
		case <-news:
			p.follow(ctx) // a new epoch is not to wait for the tick
			select {
			case <-ctx.Done():
				return
			case <-tick.C:
			}
		}
	}
}

// shareObservations takes what this agent saw since the last look, tells the others, and looks itself at
// servers that no call of its goes to.
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
	look := p.seq
	go p.probeServers(ctx, zones, look)
}

// decideLocally decides on this agent's view alone.
func (p *Placer) decideLocally(s failover.Summary) {
	if p.self.Zone == "" {
		return
	}
	now := p.live.Load()
	v := failover.Aggregate([]failover.Summary{s}, s.AtUs, now.fresh.Microseconds())
	if next, changed := failover.Decide(*p.plan.Load(), p.topology(now, s), now.settings, v, s.AtUs, p.self.Name); changed {
		p.apply(next)
	}
}

// impliedRegion is the region of all zones where the topology is the list's.
const impliedRegion = "here"

// topology is the file's, or the zones that the list of setup servers names.
func (p *Placer) topology(now *liveConfig, s failover.Summary) failover.Topology {
	if len(now.topology.Zones) > 0 {
		return now.topology
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

// decide makes the next plan where this agent's member leads the control group. A leader that
// was cut off proposes in vain; of two that think they lead, the log takes one for an epoch.
func (p *Placer) decide(ctx context.Context) {
	if p.control == nil || !p.control.IsLeader() {
		return
	}
	now, by := time.Now().UnixMicro(), p.live.Load()
	v := failover.Aggregate(p.members.Summaries(), now, by.fresh.Microseconds())
	next, changed := failover.Decide(*p.plan.Load(), by.topology, by.settings, v, now, p.self.Name)
	if !changed {
		return
	}
	text, err := json.Marshal(next)
	if err != nil {
		p.log.Error("plan not worded", "epoch", next.Epoch, "error", err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, 2*by.every)
	defer cancel()
	switch took, err := p.control.Propose(ctx, next.Epoch, text); {
	case err != nil:
		p.log.Warn("plan not decided", "epoch", next.Epoch, "error", err)
	case !took:
		if epoch, text, err := p.control.Plan(ctx, next.Epoch); err == nil { // another decided this epoch
			p.adopt(epoch, text)
		}
	default:
		p.apply(next)
		p.members.AnnounceEpoch(next.Epoch)
	}
}

// follow takes the newest plan of the control group where gossip tells of one, and asks the
// leader unasked once in a while, as gossip may be cut where the group is not. Where no leader
// is within reach the last plan stays: a minority decides nothing, and claims nobody's calls.
func (p *Placer) follow(ctx context.Context) {
	have, heard := p.plan.Load().Epoch, p.members.Epoch()
	now := p.live.Load()
	ctx, cancel := context.WithTimeout(ctx, now.every)
	defer cancel()
	if heard > have {
		if epoch, text, err := p.control.Plan(ctx, heard); err == nil {
			p.adopt(epoch, text)
			return
		}
	}
	if time.Since(time.UnixMicro(p.controlHeardAt.Load())) < now.fresh {
		return
	}
	epoch, text, err := p.control.LeaderPlan(ctx)
	if err != nil {
		if have > 0 && !p.silenceLogged {
			p.silenceLogged = true
			p.log.Warn("zones: the control group is not heard; its last plan stays", "epoch", have, "error", err)
		}
		return
	}
	p.controlHeardAt.Store(time.Now().UnixMicro())
	p.silenceLogged = false
	p.adopt(epoch, text)
}

// adopt takes a plan of the log if it is newer than the one in force.
func (p *Placer) adopt(epoch uint64, text []byte) {
	if epoch <= p.plan.Load().Epoch {
		return
	}
	var next failover.Plan
	if err := json.Unmarshal(text, &next); err != nil || next.Epoch != epoch {
		p.log.Error("zones: plan passed over", "epoch", epoch, "says", next.Epoch, "error", err)
		return
	}
	p.apply(next)
	p.members.AnnounceEpoch(epoch) // who hears it from nobody else hears it from here
}

// apply puts a plan in force for the calls that come from now on.
func (p *Placer) apply(next failover.Plan) {
	was := p.plan.Swap(&next)
	home, before := next.Zones[p.self.Zone], was.Zones[p.self.Zone]
	p.log.Info("zones: new epoch", "epoch", next.Epoch, "by", next.By, "home", p.self.Zone, "mode", home.Mode,
		"was", before.Mode, "shares", fmt.Sprint(home.Shares), "took", time.Since(time.UnixMicro(next.AtUs)).Round(time.Millisecond))
	for _, t := range next.Trades {
		p.log.Warn("zones: service traded", "epoch", next.Epoch, "zone", t.Zone, "for", t.For, "class", t.Class, "per_second", t.PerSecond)
	}
}

// ChooseZone is where a call's set-ups may go, and the pools there. A zone whose servers are all dead
// by this agent's own sight, while home has live ones, is not waited for: home it is, until
// the next epoch says better.
func (p *Placer) ChooseZone(class, call string) (zone string, pools []int) {
	seen := *p.zones.Load()
	zone = p.plan.Load().ChooseZone(p.self.Zone, class, call)
	if z := seen[zone]; zone != p.self.Zone && z.Up == 0 && seen[p.self.Zone].Up > 0 {
		p.keptHome.Add(1)
		zone = p.self.Zone
	}
	return zone, seen[zone].Pools
}

// RestrictToZone has a call's route hold to its zone. A zone without a pool that the call may use is
// passed over for the nearest that has one; where none has, the route stays as it is, for the
// module to find no server.
func (p *Placer) RestrictToZone(r agent.Route, classPools []int, class, call string) agent.Route {
	if p.self.Zone == "" {
		return r
	}
	zone, pools := p.ChooseZone(class, call)
	may := func(pool int) bool {
		return (r.Pools == nil || slices.Contains(r.Pools, pool)) && (classPools == nil || slices.Contains(classPools, pool))
	}
	for _, z := range append([]string{zone}, p.live.Load().topology.Nearest(zone)...) {
		if z != zone {
			pools = (*p.zones.Load())[z].Pools
		}
		var narrowed []int
		for _, pool := range pools {
			if may(pool) {
				narrowed = append(narrowed, pool)
			}
		}
		if narrowed != nil {
			r.Pools = narrowed
			return r
		}
	}
	return r
}

// CountSetUp counts a set-up that was written whole to a server of a zone.
func (p *Placer) CountSetUp(class, zone string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setUps[setUpKey{class, zone}]++
}

// SetUpCounts is the set-ups written whole by class: to servers of this agent's zone, and to those
// of others.
func (p *Placer) SetUpCounts() (home, away map[string]int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	home, away = map[string]int64{}, map[string]int64{}
	for r, n := range p.setUps {
		if r.Zone == p.self.Zone {
			home[r.Class] += n
		} else {
			away[r.Class] += n
		}
	}
	return home, away
}

// Plan is the plan in force. It is not to be changed.
func (p *Placer) Plan() failover.Plan { return *p.plan.Load() }

// AliveByZone are the agents thought alive, by zone; nil in local mode.
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

// GossipTraffic is the membership's cost so far: datagrams and streams begun, bytes in datagrams, and
// messages that could not be read. Zeros in local mode.
func (p *Placer) GossipTraffic() (sent, bytes, bad int64) {
	if p.members == nil {
		return 0, 0, 0
	}
	return p.members.Traffic()
}

// KeptHome counts calls kept home as the zone planned for them is dead by this agent's sight.
func (p *Placer) KeptHome() int64 { return p.keptHome.Load() }

// checkMost bounds the servers one look dials, checkIdle those at home while no call goes there; checkTime a dial and the server's first word.
const (
	maxProbes     = 16
	maxIdleProbes = 2
	probeTimeout  = 300 * time.Millisecond
)

// probeServers dials servers that calls tell nothing of: those seen down, all of zones that are lost,
// those of zones in which no agent is alive, and a few at home while no call goes there. A server is alive where it speaks: it tells of
// its group first on every connection.
func (p *Placer) probeServers(ctx context.Context, zones map[string]agent.ZoneObservation, look uint64) {
	addresses := p.observations.Down()
	alive, plan := p.AliveByZone(), p.Plan()
	for _, name := range slices.Sorted(maps.Keys(zones)) {
		if len(alive[name]) == 0 || plan.States[name].Lost {
			addresses = append(addresses, zones[name].Addresses...)
		}
	}
	if home := zones[p.self.Zone]; home.Attempts == 0 {
		addresses = append(addresses, rotatingSubset(home.Addresses, maxIdleProbes, look)...)
	}
	slices.Sort(addresses)
	addresses = rotatingSubset(slices.Compact(addresses), maxProbes, look)
	var work sync.WaitGroup
	for _, a := range addresses {
		work.Go(func() { p.observations.RecordCheck(a, answersProbe(ctx, a)) })
	}
	work.Wait()
}

// rotatingSubset are at most n of a list, others at each look.
func rotatingSubset(list []string, n int, look uint64) []string {
	if len(list) <= n {
		return list
	}
	from := int(look) * n % len(list)
	return slices.Concat(list[from:], list[:from])[:n]
}

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
