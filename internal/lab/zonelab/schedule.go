package zonelab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"regexp"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/failover"
	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/placer"
	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/lab"
	"woodrouter/isup"
)

// ZoneSchedule describes a run of faults against agents that decide in common where each zone's calls
// go. There are four zones in two regions, a setup server in each zone, and a proxy on every link. Equal
// schedules draw equal faults.
type ZoneSchedule struct {
	Seed   uint64
	Agents int // in groups of three; distributed over the zones in turn
	Steps  int
}

// ZoneReport is the result of a ZoneSchedule.
type ZoneReport struct {
	ZoneSchedule
	Faults         []string
	MoveTimes      []time.Duration // from a zone's loss until all live agents have the epoch that moves its calls
	RecoveryTimes  []time.Duration // from a fault's end until all agents have every zone local again
	Calls          int             // set-ups by callers
	Stood          int
	SentToTwoZones []string // calls sent to two zones
	Misplaced      []string // calls that failed or left their home zone while all zones were healthy and local
	Took           time.Duration
}

// Err returns the guarantees that the run broke, or nil.
func (r ZoneReport) Err() error {
	var all []error
	if len(r.SentToTwoZones) > 0 {
		all = append(all, fmt.Errorf("%d calls were sent to two zones: %v", len(r.SentToTwoZones), r.SentToTwoZones[:min(len(r.SentToTwoZones), 5)]))
	}
	if len(r.Misplaced) > 0 {
		all = append(all, fmt.Errorf("%d calls did not stand in their home zone while all zones were healthy: %v", len(r.Misplaced), r.Misplaced[:min(len(r.Misplaced), 5)]))
	}
	return errors.Join(all...)
}

var zoneNames = []string{"z1", "z2", "z3", "z4"}

func zoneRegion(zone string) string {
	if zone == "z1" || zone == "z2" {
		return "r1"
	}
	return "r2"
}

// zoneRun is the state of a running ZoneSchedule: the agents, the zones' setup servers, and the links
// between them.
type zoneRun struct {
	*lab.Fleet
	servers map[string]*lab.SetupServer
	links   map[string]map[string]*faultnet.Link // by agent, then by the server's zone
	rng     *rand.Rand
	report  *ZoneReport

	mu       sync.Mutex
	lastCall isup.CallID
}

var zoneFaults = []struct {
	name   string
	inject func(*zoneRun, context.Context) error
}{
	{"zone lost and back", (*zoneRun).loseZone},
	{"zone lost as the decider is killed", (*zoneRun).loseZoneAndDecider},
	{"zone cut off", (*zoneRun).isolateZone},
	{"zone flaps", (*zoneRun).flapZone},
	{"agent killed", (*zoneRun).killAgent},
	{"100 ms between regions", (*zoneRun).delayRegions},
	{"gossip deaf one way", (*zoneRun).cutGossipOneWay},
}

// Run starts the agents under dir and injects the schedule's faults while callers place calls. After each
// fault, all agents must reach one epoch in which every zone is local, and every call must stay in its
// home zone.
func (s ZoneSchedule) Run(ctx context.Context, bin, dir string) (ZoneReport, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lab.ScheduleTimeout)
	defer cancel()
	report := ZoneReport{ZoneSchedule: s}
	run := &zoneRun{servers: map[string]*lab.SetupServer{}, links: map[string]map[string]*faultnet.Link{}, rng: rand.New(rand.NewPCG(s.Seed, 2)), report: &report}
	for _, z := range zoneNames {
		run.servers[z] = lab.NewSetupServer(s.Seed)
		run.servers[z].Steady = true
	}
	defer run.close()
	var err error
	if run.Fleet, err = lab.StartFleet(bin, dir, s.Agents, s.Seed, run.fleetConfig()); err != nil {
		return report, err
	}
	if err := run.run(ctx, s); err != nil {
		return report, fmt.Errorf("%w (after %v)\n%s", err, report.Faults, run.Logs())
	}
	report.SentToTwoZones, report.Took = run.callsInTwoZones(), time.Since(began)
	return report, nil
}

func (c *zoneRun) fleetConfig() lab.FleetConfig {
	share := func(v float64) *float64 { return &v }
	var zones []failover.Zone
	for _, z := range zoneNames {
		zones = append(zones, failover.Zone{Name: z, Region: zoneRegion(z)})
	}
	return lab.FleetConfig{Zones: len(zoneNames), NoCalls: true, Settings: json.RawMessage(strings.Replace(lab.AgentSettings, "[[0]]", "[[0,1,2,3]]", 1)),
		Timing: replica.TimingConfig{Heartbeat: "1s", Election: "1s", Lease: "800ms"}, AgentBulletin: c.serverList,
		Failover: &placer.Config{Mode: "common", Every: "300ms", Fresh: "2s", Topology: failover.Topology{Zones: zones},
			Settings: placer.SettingsConfig{Dwell: "1500ms", Ramp: "1s", RampFrom: share(0.9)}}}
}

// serverList returns one agent's list of setup servers, each behind a link of that agent's own.
func (c *zoneRun) serverList(agent string) (string, any, error) {
	c.links[agent] = map[string]*faultnet.Link{}
	var list []map[string]any
	for i, z := range zoneNames {
		addr, err := c.servers[z].ListenFor(agent)
		if err != nil {
			return "", nil, err
		}
		l, err := faultnet.NewLink(addr, uint64(i))
		if err != nil {
			return "", nil, err
		}
		c.links[agent][z] = l
		list = append(list, map[string]any{"name": "s-" + z, "address": l.Addr(), "zone": z})
	}
	return lab.NoBulletin, lab.ServerList(list...), nil
}

func (c *zoneRun) close() {
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	for _, byZone := range c.links {
		for _, l := range byZone {
			l.Close()
		}
	}
	for _, server := range c.servers {
		server.Close()
	}
}

func (c *zoneRun) run(ctx context.Context, schedule ZoneSchedule) error {
	if err := c.checkHealthy(ctx); err != nil {
		return err
	}
	for _, i := range lab.DrawFaults(schedule.Seed, schedule.Steps, len(zoneFaults)) {
		fault := zoneFaults[i]
		stop, done := make(chan struct{}), make(chan struct{})
		go func() { c.placeCalls(stop); close(done) }()
		err := lab.RunStep(ctx, func(ctx context.Context) error { return fault.inject(c, ctx) })
		healed := time.Now()
		if err == nil {
			err = c.awaitAllLocal(ctx)
		}
		close(stop)
		<-done
		if err == nil {
			c.report.RecoveryTimes = append(c.report.RecoveryTimes, time.Since(healed))
			err = c.checkHealthy(ctx)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", fault.name, err)
		}
		c.report.Faults = append(c.report.Faults, fault.name)
	}
	return nil
}

// placeCalls places up to 20 calls per second at every agent, one at a time, until stop is closed.
func (c *zoneRun) placeCalls(stop <-chan struct{}) {
	var work sync.WaitGroup
	for _, name := range c.Names() {
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					c.placeCall(name)
				}
			}
		})
	}
	work.Wait()
}

// placeCall sets up one call at an agent and returns its id and whether it stood.
func (c *zoneRun) placeCall(agent string) (isup.CallID, bool) {
	c.mu.Lock()
	c.lastCall++
	id := c.lastCall
	c.mu.Unlock()
	result := lab.SetUpCall(c.Agents[agent].Listen, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Calls++
	if result.Served != "" {
		c.report.Stood++
	}
	return id, result.Served != ""
}

// checkHealthy waits until every zone is local, then places calls at each agent and reports those that
// did not stand in the agent's own zone.
func (c *zoneRun) checkHealthy(ctx context.Context) error {
	if err := c.awaitAllLocal(ctx); err != nil {
		return err
	}
	for _, name := range c.Names() {
		home := c.Agents[name].Member.Zone
		for range 3 {
			id, stood := c.placeCall(name)
			if zones := c.zonesReached(id); !stood || len(zones) != 1 || zones[0] != home {
				c.report.Misplaced = append(c.report.Misplaced, fmt.Sprintf("call %v of %s (%s): stood %v, sent to %v", id, name, home, stood, zones))
			}
		}
	}
	return nil
}

// zonesReached returns the zones whose server received a call's set-up.
func (c *zoneRun) zonesReached(id isup.CallID) (out []string) {
	for _, z := range zoneNames {
		if c.servers[z].Received(id) {
			out = append(out, z)
		}
	}
	return out
}

func (c *zoneRun) callsInTwoZones() (out []string) {
	for id := isup.CallID(1); id <= c.lastCall; id++ {
		if zones := c.zonesReached(id); len(zones) > 1 {
			out = append(out, fmt.Sprintf("%v to %v", id, zones))
		}
	}
	return out
}

// maxSettleTime bounds how long the agents may take to reach one epoch; docs/failover.md states it.
const maxSettleTime = 20 * time.Second

// awaitAllLocal waits until all agents have the same epoch with every zone local and alive.
func (c *zoneRun) awaitAllLocal(ctx context.Context) error {
	return c.awaitCommonEpoch(ctx, c.Names(), func(status string) bool {
		return strings.Count(status, ": local ") == len(zoneNames) && strings.Count(status, "alive in") == len(zoneNames)
	})
}

// awaitMoved waits until the given agents have the same epoch in which a zone's calls go elsewhere.
func (c *zoneRun) awaitMoved(ctx context.Context, zone string, agents []string) error {
	began := time.Now()
	err := c.awaitCommonEpoch(ctx, agents, func(status string) bool {
		return strings.Contains(status, "zone "+zone+": ") && !strings.Contains(status, "zone "+zone+": local ")
	})
	if err == nil {
		c.report.MoveTimes = append(c.report.MoveTimes, time.Since(began))
	}
	return err
}

var epochLine = regexp.MustCompile(`^epoch (\d+) by (\S+)`)

func (c *zoneRun) awaitCommonEpoch(ctx context.Context, agents []string, ok func(status string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, maxSettleTime)
	defer cancel()
	for {
		epochs, all, last := map[string]bool{}, true, ""
		for _, name := range agents {
			status := c.ConsoleCommand(name, "ZONES")
			m := epochLine.FindString(status)
			epochs[m] = true
			if m == "" || !ok(status) {
				all, last = false, name+" says "+status
			}
		}
		if all && len(epochs) == 1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not settled in %v: epochs %v, %s", maxSettleTime, epochs, cmp.Or(last, "every agent meets the condition"))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (c *zoneRun) anyZone() string { return zoneNames[c.rng.IntN(len(zoneNames))] }

func (c *zoneRun) anyAgent() string { return c.Names()[c.rng.IntN(len(c.Agents))] }

func (c *zoneRun) loseZone(ctx context.Context) error {
	z := c.anyZone()
	c.servers[z].Crash()
	if err := c.awaitMoved(ctx, z, c.Names()); err != nil {
		return err
	}
	return c.servers[z].Restart()
}

// loseZoneAndDecider kills the agent that made the last decision at the moment when a zone is lost.
func (c *zoneRun) loseZoneAndDecider(ctx context.Context) error {
	z, decider := c.anyZone(), ""
	if m := epochLine.FindStringSubmatch(c.ConsoleCommand(c.Names()[0], "ZONES")); m != nil && c.Agents[m[2]] != nil {
		decider = m[2]
	} else {
		return errors.New("no agent reports the decider of its epoch")
	}
	c.servers[z].Crash()
	c.Agents[decider].Kill()
	rest := slices.DeleteFunc(c.Names(), func(n string) bool { return n == decider })
	if err := c.awaitMoved(ctx, z, rest); err != nil {
		return err
	}
	if err := c.Start(decider); err != nil {
		return err
	}
	return c.servers[z].Restart()
}

// isolateZone partitions a zone's agents and server from all others.
func (c *zoneRun) isolateZone(ctx context.Context) error {
	z := c.anyZone()
	inside := func(name string) bool { return c.Agents[name].Member.Zone == z }
	var agents, rest []string
	for _, name := range c.Names() {
		if inside(name) {
			agents = append(agents, name)
		} else {
			rest = append(rest, name)
		}
	}
	c.Partition(agents...)
	c.eachLink(func(name, to string, l *faultnet.Link) {
		if inside(name) != (to == z) {
			l.Set(faultnet.Drop, 0, 0)
			l.Reset()
		}
	})
	err := c.awaitMoved(ctx, z, rest)
	c.Partition()
	c.eachLink(func(_, _ string, l *faultnet.Link) {
		l.Set(faultnet.Pass, 0, 0)
		l.Reset()
	})
	return err
}

func (c *zoneRun) eachLink(do func(agent, zone string, l *faultnet.Link)) {
	for agent, byZone := range c.links {
		for zone, l := range byZone {
			do(agent, zone, l)
		}
	}
}

// flapZone stops and restarts a zone's server several times, faster than the dwell time.
func (c *zoneRun) flapZone(ctx context.Context) error {
	z := c.anyZone()
	for range 4 {
		c.servers[z].Crash()
		lab.Sleep(ctx, 400*time.Millisecond)
		if err := c.servers[z].Restart(); err != nil {
			return err
		}
		lab.Sleep(ctx, 400*time.Millisecond)
	}
	return nil
}

func (c *zoneRun) killAgent(ctx context.Context) error {
	name := c.anyAgent()
	c.Agents[name].Kill()
	lab.Sleep(ctx, time.Second)
	return c.Start(name)
}

func (c *zoneRun) delayRegions(ctx context.Context) error {
	across := func(from, to string) bool { return zoneRegion(from) != zoneRegion(to) }
	c.Delay(50*time.Millisecond, across)
	lab.Sleep(ctx, 2*time.Second)
	c.Delay(0, across)
	return nil
}

// cutGossipOneWay cuts one direction of the gossip between two agents. The other agents still reach both,
// so neither may count as lost.
func (c *zoneRun) cutGossipOneWay(ctx context.Context) error {
	a := c.anyAgent()
	rest := slices.DeleteFunc(c.Names(), func(n string) bool { return n == a })
	l := c.GossipLinks[a][rest[c.rng.IntN(len(rest))]]
	l.Set(faultnet.Drop, 0, 0)
	l.Reset()
	lab.Sleep(ctx, 2*time.Second)
	l.Set(faultnet.Pass, 0, 0)
	return nil
}
