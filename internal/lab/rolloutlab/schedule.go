package rolloutlab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/lab"
	"woodrouter/internal/lab/emulator"
)

// Schedule is a run of faults against the distribution of configuration. Equal schedules draw
// equal faults, machines, agents and changes.
type Schedule struct {
	Seed      uint64
	Hollow    int
	Real      int
	Steps     int           // faults, lab.Drawn from the seed
	Delay     time.Duration // between regions, each way; 0: drawn from 30 to 150 ms
	RegionCut time.Duration // how long a cut between the regions lasts
	Only      []string      // faults by name, in this order, instead of drawn ones
}

// Report is what a schedule showed.
type Report struct {
	Schedule
	Faults         []string
	FaultStarts    []time.Duration // each fault, by the history's clock,
	FaultDurations []time.Duration // and how long until all stood again
	Puts           map[Outcome]int
	Propagations   []Propagation
	Returns        []ZoneReturn
	Calls          emulator.Outcome
	Violations     []string
	RuleErr        error // that the real agents broke, on the wire
	Elapsed        time.Duration
}

// ZoneReturn is what it cost the machines that a zone's agents came back at once.
type ZoneReturn struct {
	Agents  int
	Elapsed time.Duration
	Conns   map[string]int64
	Bytes   map[string]int64
}

// Err names what the run broke; nil for none.
func (r Report) Err() error {
	all := []error{r.RuleErr}
	if len(r.Violations) > 0 {
		all = append(all, fmt.Errorf("%d checks broken: %s", len(r.Violations), strings.Join(r.Violations[:min(len(r.Violations), 8)], "\n  ")))
	}
	if !slices.ContainsFunc(r.Propagations, func(s Propagation) bool { return len(s.Delays) > 0 }) {
		all = append(all, errors.New("no change was followed at any agent within reach: nothing was checked"))
	}
	if r.Calls.Lost > 0 {
		all = append(all, fmt.Errorf("%d calls of the real agents lost", r.Calls.Lost))
	}
	return errors.Join(all...)
}

// slowChange is a change that took longer than this, though within the rule.
const slowChange = 4 * time.Second

// SlowChanges words the changes that took long, with the fault that was played when each was told.
func (r Report) SlowChanges() (out []string) {
	for _, s := range r.Propagations {
		if n := len(s.Delays); n > 0 && s.Delays[n-1] > slowChange {
			during := "calm"
			for i, at := range r.FaultStarts {
				if at <= s.AnsweredAt {
					during = r.Faults[i]
				}
			}
			out = append(out, fmt.Sprintf("%s %d by %s, told at %v, took %v (%s)", s.Name, s.Revision, s.Author,
				s.AnsweredAt.Round(time.Millisecond), s.Delays[n-1].Round(time.Millisecond), during))
		}
	}
	return out
}

// scenario is what a fault may touch.
type scenario struct {
	*Fleet
	Schedule
	rng      *rand.Rand
	ann, bob *author
	report   *Report
}

type fault struct {
	name   string
	inject func(*scenario, context.Context) error
}

var faults = []fault{
	{"leader stalled in a commit", (*scenario).stallLeader},
	{"machine killed", (*scenario).killMachine},
	{"machine back with an old disk", (*scenario).restoreOldDisk},
	{"a tenth of the agents restarted", (*scenario).restartTenth},
	{"watched machine cut off", (*scenario).isolateMachine},
	{"zone gone and back", (*scenario).restartZone},
	{"regions cut", (*scenario).cutRegions},
	{"ten changes in a second", (*scenario).changeInBurst},
	{"refused by some", (*scenario).refusedBySome},
	{"first stage fails, next waits", (*scenario).failFirstStage},
	{"agent's disk unusable", (*scenario).breakDisks},
	{"junk to a machine", (*scenario).sendJunk},
	{"narrow document comes and goes", (*scenario).changeNarrowDocument},
}

// FaultNames are the faults that a schedule may play.
func FaultNames() (out []string) {
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// Run starts a world under dir and plays the schedule; after each fault every agent must have
// what stands. An error is one of the run itself, with the machines' logs.
func (s Schedule) Run(ctx context.Context, bin, dir string) (r Report, err error) {
	began := time.Now()
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	if drawn := time.Duration(30+rng.IntN(121)) * time.Millisecond; s.Delay == 0 {
		s.Delay = drawn
	}
	r.Schedule = s
	w, err := Start(ctx, Config{Bin: bin, Dir: dir, Hollow: s.Hollow, Real: s.Real, Seed: s.Seed, Delay: s.Delay})
	if err != nil {
		return r, err
	}
	defer w.Close()
	c := &scenario{Fleet: w, Schedule: s, rng: rng, ann: w.newAuthor("ann"), bob: w.newAuthor("bob"), report: &r}
	if err := c.injectAll(ctx); err != nil {
		return r, fmt.Errorf("%w (after %v)\n%s", err, r.Faults, w.Logs())
	}
	c.finish()
	r.Elapsed = time.Since(began)
	if r.Err() != nil {
		return r, fmt.Errorf("members' logs:\n%s", w.Logs())
	}
	return r, nil
}

// chooseFaults is the faults to play.
func (s Schedule) chooseFaults() (out []fault, err error) {
	for _, name := range s.Only {
		i := slices.IndexFunc(faults, func(f fault) bool { return f.name == name })
		if i < 0 {
			return nil, fmt.Errorf("no fault is named %q; there are %s", name, strings.Join(FaultNames(), ", "))
		}
		out = append(out, faults[i])
	}
	if s.Only == nil {
		for _, i := range lab.DrawFaults(s.Seed, s.Steps, len(faults)) {
			out = append(out, faults[i])
		}
	}
	return out, nil
}

func (c *scenario) injectAll(ctx context.Context) error {
	order, err := c.chooseFaults()
	if err != nil {
		return err
	}
	if _, err := c.ann.change(ctx, Put{Name: routesForAll}); err != nil {
		return err
	}
	if err := c.AwaitSettled(ctx); err != nil {
		return err
	}
	for i, f := range order {
		if err := c.injectAndSettle(ctx, i, f); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

// injectAndSettle plays one fault with authors at work beside it, heals all, and waits until all stands.
func (c *scenario) injectAndSettle(ctx context.Context, i int, f fault) error {
	began, at, stop, done := time.Now(), c.History.Now(), make(chan struct{}), make(chan struct{})
	rng := rand.New(rand.NewPCG(c.Schedule.Seed, uint64(1000+i)))
	go func() {
		defer close(done)
		c.changeInBackground(ctx, rng, i, stop)
	}()
	most, cancel := context.WithTimeout(ctx, lab.StepTimeout+c.RegionCut)
	err := f.inject(c, most)
	cancel()
	close(stop)
	<-done
	c.Heal()
	if err = errors.Join(err, c.AwaitSettled(ctx)); err == nil {
		c.report.Faults, c.report.FaultStarts, c.report.FaultDurations = append(c.report.Faults, f.name), append(c.report.FaultStarts, at), append(c.report.FaultDurations, time.Since(began))
	}
	return err
}

// finish closes the history and checks it.
func (c *scenario) finish() {
	c.History.End()
	c.report.Puts, c.report.Propagations, c.report.Violations = c.History.OutcomeCounts(), c.History.Propagations(), c.History.Violations()
	if c.callers != nil {
		c.callers.Wait()
		c.report.Calls, _ = c.callers.Tally()
		c.report.RuleErr = c.cluster.World.Check.Err()
	}
}

// changeForAll is a change for all agents that must come to stand.
func (c *scenario) changeForAll(ctx context.Context) error {
	_, err := c.ann.change(ctx, Put{Name: routesForAll})
	return err
}

// stallLeader stops the leader (SIGSTOP) with a put under way, has the others elect and take
// changes, and lets it go on: it thinks that it leads.
func (c *scenario) stallLeader(ctx context.Context) error {
	leader, err := c.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	base, under := c.latestRevision(routesForAll), make(chan struct{})
	go func() {
		defer close(under)
		c.bob.put(ctx, Put{Name: routesForAll, Base: base, Text: c.bob.nextText()})
	}()
	lab.Sleep(ctx, time.Duration(c.rng.IntN(40))*time.Millisecond)
	c.machines[leader].Suspend()
	c.setLive(leader, false)
	defer func() {
		c.machines[leader].Resume()
		c.setLive(leader, true)
	}()
	if _, err := c.AwaitLeader(ctx, leader); err != nil {
		return err
	}
	<-under
	return c.changeForAll(ctx)
}

// kill ends a machine; start starts it again.
func (c *scenario) kill(id string) {
	c.setLive(id, false)
	c.machines[id].Kill()
}

func (c *scenario) startMachine(id string) error {
	err := c.machines[id].Proc.Start()
	c.setLive(id, err == nil)
	return err
}

// killMachine kills a machine, the leader as often as any, and starts it again.
func (c *scenario) killMachine(ctx context.Context) error {
	id := machineNames[c.rng.IntN(len(machineNames))]
	if leader, err := c.AwaitLeader(ctx); err == nil && c.rng.IntN(2) == 0 {
		id = leader
	}
	c.kill(id)
	if err := c.changeForAll(ctx); err != nil {
		return err
	}
	return c.startMachine(id)
}

// restoreOldDisk brings a machine back with a copy of its disk from before some changes. The others hold
// all that was committed then, so nothing may be lost; its agents know more than it does.
func (c *scenario) restoreOldDisk(ctx context.Context) error {
	id := machineNames[c.rng.IntN(len(machineNames))]
	c.kill(id)
	data, copied := c.machines[id].Data, c.machines[id].Data+".old"
	if err := os.RemoveAll(copied); err != nil {
		return err
	}
	if err := os.CopyFS(copied, os.DirFS(data)); err != nil {
		return err
	}
	if err := c.startMachine(id); err != nil {
		return err
	}
	for range 3 {
		if err := c.changeForAll(ctx); err != nil {
			return err
		}
	}
	if err := c.AwaitSettled(ctx, routesForAll); err != nil {
		return err
	}
	if err := c.awaitApplied(ctx); err != nil {
		return err
	}
	c.kill(id)
	if err := c.awaitApplied(ctx); err != nil { // what came since is at the others too
		return err
	}
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.Rename(copied, data); err != nil {
		return err
	}
	if err := c.startMachine(id); err != nil {
		return err
	}
	return c.changeForAll(ctx)
}

// awaitApplied waits until all voters that run have applied what the leader has.
func (c *scenario) awaitApplied(ctx context.Context) error {
	leader, err := c.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	s, err := c.overview(ctx, leader)
	if err != nil {
		return err
	}
	for _, id := range voters {
		for c.machines[id].Running() {
			if v, err := c.overview(ctx, id); err == nil && v.Applied >= s.Applied {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not come level with %s: %w: %s", id, leader, ctx.Err(), c.describeMachines())
			}
			lab.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// restartTenth kills a tenth of the agents, real ones among them, with a change under way.
func (c *scenario) restartTenth(ctx context.Context) error {
	if err := c.changeForAll(ctx); err != nil {
		return err
	}
	lab.Sleep(ctx, time.Duration(c.rng.IntN(1500))*time.Millisecond)
	var picked []*hollowAgent
	for _, i := range c.rng.Perm(len(c.hollowAgents))[:(len(c.hollowAgents)+9)/10] {
		picked = append(picked, c.hollowAgents[i])
	}
	c.stopAgents(picked)
	for _, i := range c.rng.Perm(c.Fleet.Real)[:(c.Fleet.Real+9)/10] {
		if err := c.restartAgent(ctx, i); err != nil {
			return err
		}
	}
	return c.startAgents(picked)
}

// stopAgents has agents stop, up has them start at once.
func (w *Fleet) stopAgents(all []*hollowAgent) {
	for _, a := range all {
		a.cancel()
	}
	w.updateReachable()
	for _, a := range all {
		a.wait()
	}
}

func (w *Fleet) startAgents(all []*hollowAgent) error {
	err := forEach(all, func(a *hollowAgent) error { return a.start() })
	w.updateReachable()
	return err
}

// isolateMachine cuts a machine off from the others, but not from its agents: it lags, and they must
// hear of a change all the same.
func (c *scenario) isolateMachine(ctx context.Context) error {
	id := machineNames[c.rng.IntN(len(machineNames))]
	c.Cut(func(a, b string) bool { return a == id && c.machines[b] != nil })
	if _, err := c.AwaitLeader(ctx, id); err != nil {
		return err
	}
	if err := c.changeForAll(ctx); err != nil {
		return err
	}
	return c.AwaitSettled(ctx, routesForAll) // while it is cut off
}

// maxReturnBytes bounds what an agent that comes back may have sent and fetched until it has a change:
// the texts are below a kilobyte together, so most of it is the wire's own types and its reports.
const maxReturnBytes = 64 << 10

// restartZone has all of a zone's hollow agents go, changes what they had, and has them back at once.
func (c *scenario) restartZone(ctx context.Context) error {
	zone := zones[c.rng.IntN(len(zones))]
	var picked []*hollowAgent
	for _, a := range c.hollowAgents {
		if a.Zone == zone {
			picked = append(picked, a)
		}
	}
	c.stopAgents(picked)
	if err := c.changeForAll(ctx); err != nil {
		return err
	}
	r := ZoneReturn{Agents: len(picked), Conns: map[string]int64{}, Bytes: map[string]int64{}}
	for id, l := range c.agentLinks[zone] {
		r.Conns[id], r.Bytes[id] = l.Traffic()
	}
	began := time.Now()
	if err := c.startAgents(picked); err != nil {
		return err
	}
	if err := c.AwaitSettled(ctx, routesForAll); err != nil {
		return err
	}
	r.Elapsed = time.Since(began)
	conns, most, bytes := int64(0), int64(0), int64(0)
	for id, l := range c.agentLinks[zone] {
		n, b := l.Traffic()
		r.Conns[id], r.Bytes[id] = n-r.Conns[id], b-r.Bytes[id]
		conns, most, bytes = conns+r.Conns[id], max(most, r.Conns[id]), bytes+r.Bytes[id]
	}
	c.report.Returns = append(c.report.Returns, r)
	if conns > int64(4*len(picked)+8) {
		return fmt.Errorf("%d agents of %s made %d connections: %v", len(picked), zone, conns, r.Conns)
	}
	if bytes > int64(len(picked))*maxReturnBytes {
		return fmt.Errorf("%d agents of %s moved %d bytes: %v", len(picked), zone, bytes, r.Bytes)
	}
	if len(picked) >= 40 && most > conns*3/4 {
		return fmt.Errorf("of %d connections %d went to one machine: %v", conns, most, r.Conns)
	}
	return nil
}

// cutRegions cuts the regions apart for an hour, as it were: the side with a majority takes
// changes and its agents have them, the other takes none, and its agents serve on.
func (c *scenario) cutRegions(ctx context.Context) error {
	c.Cut(inDifferentRegions)
	if _, err := c.AwaitLeader(ctx, "c3"); err != nil {
		return err
	}
	west, east := c.newAuthorVia("west", "c1", "c2"), c.newAuthorVia("east", "c3", "c4")
	defer west.client.Close()
	defer east.client.Close()
	if _, err := west.change(ctx, Put{Name: routesForAll}); err != nil {
		return err
	}
	if p := east.put(ctx, Put{Name: routesForAll, Base: c.latestRevision(routesForAll), Text: east.nextText()}); p.Outcome == Committed {
		return fmt.Errorf("a put stands on the side of the minority: %+v", p)
	}
	if err := c.AwaitSettled(ctx, routesForAll); err != nil { // those within reach
		return err
	}
	lab.Sleep(ctx, c.RegionCut)
	_, err := west.change(ctx, Put{Name: routesForAll})
	return err
}

// changeInBurst is ten changes within a second on one document by two authors who look at what is latest.
func (c *scenario) changeInBurst(ctx context.Context) error {
	var both sync.WaitGroup
	for _, a := range []*author{c.ann, c.bob} {
		both.Go(func() {
			for range 5 {
				began := time.Now()
				if leader, err := c.AwaitLeader(ctx); err == nil {
					c.readDocuments(ctx, leader)
				}
				a.put(ctx, Put{Name: routesForAll, Base: c.latestRevision(routesForAll), Text: a.nextText()})
				lab.Sleep(ctx, 200*time.Millisecond-time.Since(began))
			}
		})
	}
	both.Wait()
	return nil
}

// refusedBySome is a document that one hollow agent in eight does not take. Where one of them is
// in the first stage it is halted, otherwise they stay with the former text.
func (c *scenario) refusedBySome(ctx context.Context) error {
	_, err := c.ann.change(ctx, Put{Name: routesForAll, Text: markRefuseSome})
	return errors.Join(err, c.AwaitSettled(ctx, routesForAll), c.changeForAll(ctx))
}

// failFirstStage is a text that no hollow agent takes, or that makes calls fail, with the next change
// waiting behind it: the former text comes back, and the next goes its own way.
func (c *scenario) failFirstStage(ctx context.Context) error {
	mark := markRefuseAll
	if c.rng.IntN(2) == 0 {
		mark = markFailCalls
	}
	bad, err := c.ann.change(ctx, Put{Name: routesForAll, Text: mark})
	if err != nil {
		return err
	}
	for !c.History.HasBegun(bad.Revision) { // what still waits would be superseded by the next, and never fail
		if ctx.Err() != nil {
			return fmt.Errorf("%d does not begin: %w: %s", bad.Revision, ctx.Err(), c.describeMachines())
		}
		if leader, err := c.AwaitLeader(ctx); err == nil {
			c.readDocuments(ctx, leader)
		}
	}
	c.bob.put(ctx, Put{Name: routesForAll, Base: bad.Revision, Text: c.bob.nextText()})
	if err := c.AwaitSettled(ctx, routesForAll); err != nil {
		return err
	}
	if !c.History.WasHalted(bad.Revision) {
		return fmt.Errorf("%d (%s) was not halted", bad.Revision, mark)
	}
	return nil
}

// breakDisks has agents whose disks take nothing: a change is in force there all the same, and is
// on their disks once they take it again.
func (c *scenario) breakDisks(ctx context.Context) error {
	var picked []*hollowAgent
	for _, i := range c.rng.Perm(len(c.hollowAgents))[:max(len(c.hollowAgents)/20, 1)] {
		picked = append(picked, c.hollowAgents[i])
	}
	for _, a := range picked {
		if err := a.breakDisk(); err != nil {
			return err
		}
	}
	err := errors.Join(c.changeForAll(ctx), c.AwaitSettled(ctx, routesForAll))
	for _, a := range picked {
		err = errors.Join(err, a.restoreDisk())
	}
	for _, a := range picked {
		for err == nil && !a.saved() {
			if lab.Sleep(ctx, 50*time.Millisecond); ctx.Err() != nil {
				err = fmt.Errorf("%s has not saved since its disk is back: %s", a.Name, a.watcher.Status())
			}
		}
	}
	if err != nil {
		return err
	}
	c.stopAgents(picked)
	return c.startAgents(picked) // from their disks
}

// sendJunk sends what nobody would send to a machine's ports.
func (c *scenario) sendJunk(ctx context.Context) error {
	m := c.machines[machineNames[c.rng.IntN(len(machineNames))]]
	for _, addr := range []string{m.raft, m.client, m.console} {
		for range 40 {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return fmt.Errorf("%s takes no connections: %w", m.id, err)
			}
			junk := make([]byte, 1+c.rng.IntN(2000))
			for i := range junk {
				junk[i] = byte(c.rng.Uint32())
			}
			conn.Write(junk) // it may be ended before all is out
			conn.Close()
		}
	}
	if !m.Running() {
		return fmt.Errorf("%s ended by junk", m.id)
	}
	return c.changeForAll(ctx)
}

// changeNarrowDocument puts a document for one zone over that for all, changes both, and removes it: the zone
// goes back to the latest for all. A former text comes again, too.
func (c *scenario) changeNarrowDocument(ctx context.Context) error {
	const name = "routes@zone/z2"
	first, err := c.ann.change(ctx, Put{Name: name})
	if err != nil {
		return err
	}
	if err := c.AwaitSettled(ctx, routesForAll, name); err != nil {
		return err
	}
	if _, err := c.bob.change(ctx, Put{Name: name}); err != nil {
		return err
	}
	if err := c.changeForAll(ctx); err != nil {
		return err
	}
	if err := c.AwaitSettled(ctx, routesForAll, name); err != nil {
		return err
	}
	c.bob.put(ctx, Put{Name: name, Base: c.latestRevision(name), Restore: first.Revision, Text: first.Text})
	if err := c.AwaitSettled(ctx, routesForAll, name); err != nil {
		return err
	}
	_, err = c.ann.change(ctx, Put{Name: name, Remove: true})
	return err
}
