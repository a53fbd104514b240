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

// ZoneSchedule is a run of faults against agents that decide in common where each zone's calls
// go: four zones of two regions, a setup server in each, a proxy on every link. Equal schedules
// draw equal faults.
type ZoneSchedule struct {
	Seed   uint64
	Agents int // in groups of three, in the zones in turn
	Steps  int
}

// ZoneReport is what a schedule showed.
type ZoneReport struct {
	ZoneSchedule
	Faults []string
	Moved  []time.Duration // from a zone's loss to the epoch that moves its calls, at all live agents
	Back   []time.Duration // from its return to all zones local again, at all of them
	Calls  int             // that callers asked for
	Stood  int
	Two    []string // calls that were sent to two zones
	Strays []string // with all healthy and in one epoch: calls that did not stand, or not at home
	Took   time.Duration
}

// Err names what the run broke; nil for none.
func (r ZoneReport) Err() error {
	var all []error
	if len(r.Two) > 0 {
		all = append(all, fmt.Errorf("%d calls were sent to two zones: %v", len(r.Two), r.Two[:min(len(r.Two), 5)]))
	}
	if len(r.Strays) > 0 {
		all = append(all, fmt.Errorf("%d strays in calm: %v", len(r.Strays), r.Strays[:min(len(r.Strays), 5)]))
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

// county is the agents, the zones' setup servers, and the links between them.
type county struct {
	*lab.Fleet
	offices map[string]*lab.SetupServer
	links   map[string]map[string]*faultnet.Link // by agent, then server's zone
	rng     *rand.Rand
	report  *ZoneReport

	mu   sync.Mutex
	next isup.CallID
}

var zoneFaults = []struct {
	name string
	play func(*county, context.Context) error
}{
	{"zone lost and back", (*county).lose},
	{"zone lost as the decider is killed", (*county).loseWithDecider},
	{"zone cut off", (*county).cutOff},
	{"zone flaps", (*county).flaps},
	{"agent killed", (*county).killAgent},
	{"100 ms between regions", (*county).slow},
	{"gossip deaf one way", (*county).deaf},
}

// Play starts the agents under dir and plays the schedule with callers at work; after each fault
// all must be local again in one epoch, with every call at home.
func (s ZoneSchedule) Play(ctx context.Context, bin, dir string) (ZoneReport, error) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(ctx, lab.ScheduleTimeout)
	defer cancel()
	r := ZoneReport{ZoneSchedule: s}
	c := &county{offices: map[string]*lab.SetupServer{}, links: map[string]map[string]*faultnet.Link{}, rng: rand.New(rand.NewPCG(s.Seed, 2)), report: &r}
	for _, z := range zoneNames {
		c.offices[z] = lab.NewSetupServer(s.Seed)
		c.offices[z].Steady = true
	}
	defer c.close()
	var err error
	if c.Fleet, err = lab.StartFleet(bin, dir, s.Agents, s.Seed, c.site()); err != nil {
		return r, err
	}
	if err := c.play(ctx, s); err != nil {
		return r, fmt.Errorf("%w (after %v)\n%s", err, r.Faults, c.Logs())
	}
	r.Two, r.Took = c.two(), time.Since(began)
	return r, nil
}

func (c *county) site() lab.FleetConfig {
	share := func(v float64) *float64 { return &v }
	var zones []failover.Zone
	for _, z := range zoneNames {
		zones = append(zones, failover.Zone{Name: z, Region: zoneRegion(z)})
	}
	return lab.FleetConfig{Zones: len(zoneNames), NoCalls: true, Settings: json.RawMessage(strings.Replace(lab.AgentSettings, "[[0]]", "[[0,1,2,3]]", 1)),
		Timing: replica.TimingConfig{Heartbeat: "1s", Election: "1s", Lease: "800ms"}, AgentBulletin: c.known,
		Failover: &placer.Config{Mode: "common", Every: "300ms", Fresh: "2s", Topology: failover.Topology{Zones: zones},
			Settings: placer.SettingsConfig{Dwell: "1500ms", Ramp: "1s", RampFrom: share(0.9)}}}
}

// known is the list of setup servers for one agent, each behind a link of that agent's own.
func (c *county) known(agent string) (string, any, error) {
	c.links[agent] = map[string]*faultnet.Link{}
	var list []map[string]any
	for i, z := range zoneNames {
		addr, err := c.offices[z].ListenFor(agent)
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

func (c *county) close() {
	if c.Fleet != nil {
		c.Fleet.Close()
	}
	for _, tos := range c.links {
		for _, l := range tos {
			l.Close()
		}
	}
	for _, o := range c.offices {
		o.Close()
	}
}

func (c *county) play(ctx context.Context, s ZoneSchedule) error {
	if err := c.calm(ctx); err != nil {
		return err
	}
	for _, i := range lab.DrawFaults(s.Seed, s.Steps, len(zoneFaults)) {
		f := zoneFaults[i]
		stop, done := make(chan struct{}), make(chan struct{})
		go func() { c.callers(stop); close(done) }()
		err := lab.RunStep(ctx, func(ctx context.Context) error { return f.play(c, ctx) })
		healed := time.Now()
		if err == nil {
			err = c.local(ctx)
		}
		close(stop)
		<-done
		if err == nil {
			c.report.Back = append(c.report.Back, time.Since(healed))
			err = c.calm(ctx)
		}
		if err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		c.report.Faults = append(c.report.Faults, f.name)
	}
	return nil
}

// callers keep every agent that runs busy with calls, some a second each, until stop.
func (c *county) callers(stop <-chan struct{}) {
	var work sync.WaitGroup
	for _, name := range c.Names() {
		work.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(50 * time.Millisecond):
					c.call(name)
				}
			}
		})
	}
	work.Wait()
}

// call sets one call up and returns its id and whether it stood.
func (c *county) call(agent string) (isup.CallID, bool) {
	c.mu.Lock()
	c.next++
	id := c.next
	c.mu.Unlock()
	h := lab.SetUpCall(c.Agents[agent].Listen, id)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.report.Calls++
	if h.Served != "" {
		c.report.Stood++
	}
	return id, h.Served != ""
}

// calm has each agent set calls up with all healthy and local: all must stand, at home.
func (c *county) calm(ctx context.Context) error {
	if err := c.local(ctx); err != nil {
		return err
	}
	for _, name := range c.Names() {
		home := c.Agents[name].Member.Zone
		for range 3 {
			id, stood := c.call(name)
			if zones := c.zonesOf(id); !stood || len(zones) != 1 || zones[0] != home {
				c.report.Strays = append(c.report.Strays, fmt.Sprintf("call %v of %s (%s): stood %v, sent to %v", id, name, home, stood, zones))
			}
		}
	}
	return nil
}

// zonesOf are the zones whose server got a call's set-up.
func (c *county) zonesOf(id isup.CallID) (out []string) {
	for _, z := range zoneNames {
		if c.offices[z].Received(id) {
			out = append(out, z)
		}
	}
	return out
}

func (c *county) two() (out []string) {
	for id := isup.CallID(1); id <= c.next; id++ {
		if zones := c.zonesOf(id); len(zones) > 1 {
			out = append(out, fmt.Sprintf("%v to %v", id, zones))
		}
	}
	return out
}

// settleMost bounds how long the agents may take to one epoch: the bound of docs/failover.md.
const settleMost = 20 * time.Second

// local waits until all agents have one epoch with every zone local and alive.
func (c *county) local(ctx context.Context) error {
	return c.until(ctx, c.Names(), func(said string) bool {
		return strings.Count(said, ": local ") == len(zoneNames) && strings.Count(said, "alive in") == len(zoneNames)
	})
}

// moved waits until these agents have one epoch in which a zone's calls go elsewhere.
func (c *county) moved(ctx context.Context, zone string, agents []string) error {
	began := time.Now()
	err := c.until(ctx, agents, func(said string) bool {
		return strings.Contains(said, "zone "+zone+": ") && !strings.Contains(said, "zone "+zone+": local ")
	})
	if err == nil {
		c.report.Moved = append(c.report.Moved, time.Since(began))
	}
	return err
}

var epochLine = regexp.MustCompile(`^epoch (\d+) by (\S+)`)

func (c *county) until(ctx context.Context, agents []string, ok func(said string) bool) error {
	ctx, cancel := context.WithTimeout(ctx, settleMost)
	defer cancel()
	for {
		epochs, all, last := map[string]bool{}, true, ""
		for _, name := range agents {
			said := c.ConsoleCommand(name, "ZONES")
			m := epochLine.FindString(said)
			epochs[m] = true
			if m == "" || !ok(said) {
				all, last = false, name+" says "+said
			}
		}
		if all && len(epochs) == 1 {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("not settled in %v: epochs %v, %s", settleMost, epochs, cmp.Or(last, "all else well"))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

func (c *county) anyZone() string { return zoneNames[c.rng.IntN(len(zoneNames))] }

func (c *county) anyAgent() string { return c.Names()[c.rng.IntN(len(c.Agents))] }

func (c *county) lose(ctx context.Context) error {
	z := c.anyZone()
	c.offices[z].Crash()
	if err := c.moved(ctx, z, c.Names()); err != nil {
		return err
	}
	return c.offices[z].Restart()
}

// loseWithDecider kills whoever decided last at the moment a zone is lost.
func (c *county) loseWithDecider(ctx context.Context) error {
	z, decider := c.anyZone(), ""
	if m := epochLine.FindStringSubmatch(c.ConsoleCommand(c.Names()[0], "ZONES")); m != nil && c.Agents[m[2]] != nil {
		decider = m[2]
	} else {
		return errors.New("no agent tells of a decider")
	}
	c.offices[z].Crash()
	c.Agents[decider].Kill()
	rest := slices.DeleteFunc(c.Names(), func(n string) bool { return n == decider })
	if err := c.moved(ctx, z, rest); err != nil {
		return err
	}
	if err := c.Start(decider); err != nil {
		return err
	}
	return c.offices[z].Restart()
}

// cutOff puts a zone, its agents and its server, on a side of their own.
func (c *county) cutOff(ctx context.Context) error {
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
	c.each(func(name, to string, l *faultnet.Link) {
		if inside(name) != (to == z) {
			l.Set(faultnet.Drop, 0, 0)
			l.Reset()
		}
	})
	err := c.moved(ctx, z, rest)
	c.Partition()
	c.each(func(_, _ string, l *faultnet.Link) {
		l.Set(faultnet.Pass, 0, 0)
		l.Reset()
	})
	return err
}

func (c *county) each(do func(agent, zone string, l *faultnet.Link)) {
	for agent, tos := range c.links {
		for zone, l := range tos {
			do(agent, zone, l)
		}
	}
}

// flaps has a zone's server go and come faster than the dwell.
func (c *county) flaps(ctx context.Context) error {
	z := c.anyZone()
	for range 4 {
		c.offices[z].Crash()
		lab.Sleep(ctx, 400*time.Millisecond)
		if err := c.offices[z].Restart(); err != nil {
			return err
		}
		lab.Sleep(ctx, 400*time.Millisecond)
	}
	return nil
}

func (c *county) killAgent(ctx context.Context) error {
	name := c.anyAgent()
	c.Agents[name].Kill()
	lab.Sleep(ctx, time.Second)
	return c.Start(name)
}

func (c *county) slow(ctx context.Context) error {
	across := func(from, to string) bool { return zoneRegion(from) != zoneRegion(to) }
	c.Delay(50*time.Millisecond, across)
	lab.Sleep(ctx, 2*time.Second)
	c.Delay(0, across)
	return nil
}

// deaf cuts one direction of the gossip between two agents: the others vouch for both.
func (c *county) deaf(ctx context.Context) error {
	a := c.anyAgent()
	rest := slices.DeleteFunc(c.Names(), func(n string) bool { return n == a })
	l := c.GossipLinks[a][rest[c.rng.IntN(len(rest))]]
	l.Set(faultnet.Drop, 0, 0)
	l.Reset()
	lab.Sleep(ctx, 2*time.Second)
	l.Set(faultnet.Pass, 0, 0)
	return nil
}
