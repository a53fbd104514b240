package daemon

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"slices"
	"strings"

	"woodrouter/agent"
	"woodrouter/internal/console"
	"woodrouter/internal/fleet/placer"
	"woodrouter/promise"
	"woodrouter/shard"
)

// newPlacer returns the agent's part in zone failover, which decides where each zone's calls go
// (docs/failover.md). It is off unless WOODROUTER_FAILOVER names its file.
func newPlacer(cfg Config, file placer.Config, replicated *promises, observations *agent.Observations, log *slog.Logger) (*placer.Placer, error) {
	var control placer.Control
	if replicated != nil {
		control = &controlGroup{promises: replicated}
	}
	p, err := placer.New(file, cfg.Name, cmp.Or(file.Zone, cfg.info.MyZone), observations, control, log)
	if err != nil {
		return nil, fmt.Errorf("failover: %s: %w", cfg.Failover, err)
	}
	return p, nil
}

// controlGroup is the ring's group with the smallest id. Every agent determines the same group, and it does
// not change when other groups are added or removed.
type controlGroup struct{ promises *promises }

func (c *controlGroup) id() string {
	id := ""
	for _, g := range c.promises.ring().Groups {
		if id == "" || g.ID < id {
			id = g.ID
		}
	}
	return id
}

// IsMember reports whether this agent's member, which is in a single group, is in the control group.
func (c *controlGroup) IsMember() bool {
	g, _ := c.promises.ring().Group(c.id())
	return slices.ContainsFunc(g.Members, func(m shard.Member) bool { return m.ID == c.promises.member() })
}

// IsLeader reports whether this agent's member leads the control group.
func (c *controlGroup) IsLeader() bool {
	n := c.promises.node.Load()
	return n != nil && n.Leading() && c.IsMember()
}

func (c *controlGroup) Plan(ctx context.Context, minEpoch uint64) (uint64, []byte, error) {
	r, err := c.promises.store.Group(c.id()).Plan(ctx, minEpoch)
	return r.Epoch, r.Plan, err
}

func (c *controlGroup) LeaderPlan(ctx context.Context) (uint64, []byte, error) {
	r, err := c.promises.store.Group(c.id()).LeaderPlan(ctx)
	return r.Epoch, r.Plan, err
}

func (c *controlGroup) Propose(ctx context.Context, epoch uint64, plan []byte) (bool, error) {
	r, err := c.promises.store.Group(c.id()).Propose(ctx, promise.Entry{Op: promise.OpPlan, Epoch: epoch, Plan: json.RawMessage(plan)})
	return r.First, err
}

// zoneRouter returns a router that takes a call's route from fileRouter and, with zone failover, narrows it
// to the pools of the zone that the call goes to. fileRouter may be nil.
func (d *Daemon) zoneRouter(fileRouter agent.Router) agent.Router {
	if d.placer == nil {
		return fileRouter
	}
	pools := map[string][]int{}
	for _, c := range d.cfg.info.Policy().Classes {
		pools[c.Name] = c.Pools
	}
	return func(c agent.Call) agent.Route {
		var r agent.Route
		if fileRouter != nil {
			r = fileRouter(c)
		}
		return d.placer.RestrictToZone(r, pools[c.Class], c.Class, c.ID)
	}
}

// setUpSentHook returns the function that counts set-ups by class and zone once they are completely written;
// nil without zone failover.
func (d *Daemon) setUpSentHook() func(class, zone string) {
	if d.placer == nil {
		return nil
	}
	return d.placer.CountSetUp
}

// zonesAnswer describes the plan in force, the agents alive by zone, and the set-ups sent by class.
func (d *Daemon) zonesAnswer() string {
	if d.placer == nil {
		return console.Failure + " zones are not followed"
	}
	plan := d.placer.Plan()
	var b strings.Builder
	fmt.Fprintf(&b, "epoch %d by %s\n", plan.Epoch, cmp.Or(plan.By, "nobody"))
	for _, z := range slices.Sorted(maps.Keys(plan.Zones)) {
		placement := plan.Zones[z]
		fmt.Fprintf(&b, "zone %s: %s shares %v caps %v lost %v\n", z, placement.Mode, placement.Shares, placement.Caps, plan.States[z].Lost)
	}
	for _, t := range plan.Trades {
		fmt.Fprintf(&b, "traded in %s for %s %s: %g a second\n", t.Zone, t.For, t.Class, t.PerSecond)
	}
	alive := d.placer.AliveByZone()
	for _, z := range slices.Sorted(maps.Keys(alive)) {
		fmt.Fprintf(&b, "alive in %s: %s\n", z, strings.Join(alive[z], " "))
	}
	home, away := d.placer.SetUpCounts()
	for _, class := range slices.Sorted(maps.Keys(d.core.Tallies())) {
		fmt.Fprintf(&b, "set-ups of %s: %d home %d away\n", class, home[class], away[class])
	}
	return b.String() + console.End
}

// writeZoneStats writes the lines of STATS about zone failover.
func (d *Daemon) writeZoneStats(line func(kind string, n int64, name string)) {
	line("g", int64(d.placer.Plan().Epoch), "zone_epoch")
	home, away := d.placer.SetUpCounts()
	for _, class := range slices.Sorted(maps.Keys(d.core.Tallies())) {
		line("c", home[class], "zone_home."+class)
		line("c", away[class], "zone_away."+class)
	}
	traded := map[string]float64{"budget": 0, "capacity": 0}
	for _, t := range d.placer.Plan().Trades {
		traded[t.For] += t.PerSecond
	}
	for _, reason := range slices.Sorted(maps.Keys(traded)) {
		line("g", int64(traded[reason]*1000), "zone_traded_mps."+reason) // thousandths of a call per second
	}
	line("c", d.placer.KeptHome(), "zone_kept_home")
	n := 0
	for _, names := range d.placer.AliveByZone() {
		n += len(names)
	}
	sent, bytes, bad := d.placer.GossipTraffic()
	line("g", int64(n), "members_alive")
	line("c", sent, "gossip_sent")
	line("c", bytes, "gossip_bytes")
	line("c", bad, "gossip_bad")
}
