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
	Seed   uint64
	Hollow int
	Real   int
	Steps  int           // faults, lab.Drawn from the seed
	Delay  time.Duration // between regions, each way; 0: drawn from 30 to 150 ms
	Hour   time.Duration // how long a cut between the regions lasts
	Only   []string      // faults by name, in this order, instead of drawn ones
}

// Report is what a schedule showed.
type Report struct {
	Schedule
	Faults  []string
	Begun   []time.Duration // each fault, by the history's clock,
	Times   []time.Duration // and how long until all stood again
	Puts    map[Outcome]int
	Spreads []Spread
	Returns []Return
	Calls   emulator.Outcome
	Broken  []string
	Rules   error // that the real agents broke, on the wire
	Took    time.Duration
}

// Return is what it cost the machines that a zone's agents came back at once.
type Return struct {
	Agents int
	Took   time.Duration
	Conns  map[string]int64
	Bytes  map[string]int64
}

// Err names what the run broke; nil for none.
func (r Report) Err() error {
	all := []error{r.Rules}
	if len(r.Broken) > 0 {
		all = append(all, fmt.Errorf("%d checks broken: %s", len(r.Broken), strings.Join(r.Broken[:min(len(r.Broken), 8)], "\n  ")))
	}
	if !slices.ContainsFunc(r.Spreads, func(s Spread) bool { return len(s.Agents) > 0 }) {
		all = append(all, errors.New("no change was followed at any agent within reach: nothing was checked"))
	}
	if r.Calls.Lost > 0 {
		all = append(all, fmt.Errorf("%d calls of the real agents lost", r.Calls.Lost))
	}
	return errors.Join(all...)
}

// slow is a change that took longer than this, though within the rule.
const slow = 4 * time.Second

// Slow words the changes that took long, with the fault that was played when each was told.
func (r Report) Slow() (out []string) {
	for _, s := range r.Spreads {
		if n := len(s.Agents); n > 0 && s.Agents[n-1] > slow {
			during := "calm"
			for i, at := range r.Begun {
				if at <= s.Told {
					during = r.Faults[i]
				}
			}
			out = append(out, fmt.Sprintf("%s %d by %s, told at %v, took %v (%s)", s.Name, s.Revision, s.Author,
				s.Told.Round(time.Millisecond), s.Agents[n-1].Round(time.Millisecond), during))
		}
	}
	return out
}

// scene is what a fault may touch.
type scene struct {
	*World
	Schedule
	rng      *rand.Rand
	ann, bob *author
	report   *Report
}

type fault struct {
	name string
	play func(*scene, context.Context) error
}

var faults = []fault{
	{"leader stalled in a commit", (*scene).stallLeader},
	{"machine killed", (*scene).killMachine},
	{"machine back with an old disk", (*scene).oldDisk},
	{"a tenth of the agents restarted", (*scene).restartTenth},
	{"watched machine cut off", (*scene).cutMachine},
	{"zone gone and back", (*scene).zoneBack},
	{"regions cut", (*scene).cutRegions},
	{"ten changes in a second", (*scene).burst},
	{"refused by some", (*scene).refusedBySome},
	{"first stage fails, next waits", (*scene).firstFails},
	{"agent's disk unusable", (*scene).diskFull},
	{"junk to a machine", (*scene).junk},
	{"narrow document comes and goes", (*scene).narrow},
}

// FaultNames are the faults that a schedule may play.
func FaultNames() (out []string) {
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// Play starts a world under dir and plays the schedule; after each fault every agent must have
// what stands. An error is one of the run itself, with the machines' logs.
func (s Schedule) Play(ctx context.Context, bin, dir string) (r Report, err error) {
	began := time.Now()
	rng := rand.New(rand.NewPCG(s.Seed, 2))
	if drawn := time.Duration(30+rng.IntN(121)) * time.Millisecond; s.Delay == 0 {
		s.Delay = drawn
	}
	r.Schedule = s
	w, err := Start(ctx, Plan{Bin: bin, Dir: dir, Hollow: s.Hollow, Real: s.Real, Seed: s.Seed, Delay: s.Delay})
	if err != nil {
		return r, err
	}
	defer w.Close()
	c := &scene{World: w, Schedule: s, rng: rng, ann: w.author("ann"), bob: w.author("bob"), report: &r}
	if err := c.playAll(ctx); err != nil {
		return r, fmt.Errorf("%w (after %v)\n%s", err, r.Faults, w.Logs())
	}
	c.finish()
	r.Took = time.Since(began)
	if r.Err() != nil {
		return r, fmt.Errorf("members' logs:\n%s", w.Logs())
	}
	return r, nil
}

// order is the faults to play.
func (s Schedule) order() (out []fault, err error) {
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

func (c *scene) playAll(ctx context.Context) error {
	order, err := c.order()
	if err != nil {
		return err
	}
	if _, err := c.ann.change(ctx, Put{Name: everyone}); err != nil {
		return err
	}
	if err := c.Settled(ctx); err != nil {
		return err
	}
	for i, f := range order {
		if err := c.step(ctx, i, f); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

// step plays one fault with authors at work beside it, heals all, and waits until all stands.
func (c *scene) step(ctx context.Context, i int, f fault) error {
	began, at, stop, done := time.Now(), c.History.Now(), make(chan struct{}), make(chan struct{})
	rng := rand.New(rand.NewPCG(c.Schedule.Seed, uint64(1000+i)))
	go func() {
		defer close(done)
		c.atWork(ctx, rng, i, stop)
	}()
	most, cancel := context.WithTimeout(ctx, lab.StepTimeout+c.Hour)
	err := f.play(c, most)
	cancel()
	close(stop)
	<-done
	c.Heal()
	if err = errors.Join(err, c.Settled(ctx)); err == nil {
		c.report.Faults, c.report.Begun, c.report.Times = append(c.report.Faults, f.name), append(c.report.Begun, at), append(c.report.Times, time.Since(began))
	}
	return err
}

// finish closes the history and checks it.
func (c *scene) finish() {
	c.History.End()
	c.report.Puts, c.report.Spreads, c.report.Broken = c.History.Counts(), c.History.Spreads(), c.History.Broken()
	if c.calls != nil {
		c.calls.Wait()
		c.report.Calls, _ = c.calls.Tally()
		c.report.Rules = c.crew.World.Check.Err()
	}
}

// change is a change for all agents that must come to stand.
func (c *scene) change(ctx context.Context) error {
	_, err := c.ann.change(ctx, Put{Name: everyone})
	return err
}

// stallLeader stops the leader (SIGSTOP) with a put under way, has the others elect and take
// changes, and lets it go on: it thinks that it leads.
func (c *scene) stallLeader(ctx context.Context) error {
	leader, err := c.Leader(ctx)
	if err != nil {
		return err
	}
	base, under := c.head(everyone), make(chan struct{})
	go func() {
		defer close(under)
		c.bob.put(ctx, Put{Name: everyone, Base: base, Text: c.bob.next()})
	}()
	lab.Sleep(ctx, time.Duration(c.rng.IntN(40))*time.Millisecond)
	c.machines[leader].Suspend()
	c.alive(leader, false)
	defer func() {
		c.machines[leader].Resume()
		c.alive(leader, true)
	}()
	if _, err := c.Leader(ctx, leader); err != nil {
		return err
	}
	<-under
	return c.change(ctx)
}

// kill ends a machine; start starts it again.
func (c *scene) kill(id string) {
	c.alive(id, false)
	c.machines[id].Kill()
}

func (c *scene) start(id string) error {
	err := c.machines[id].Proc.Start()
	c.alive(id, err == nil)
	return err
}

// killMachine kills a machine, the leader as often as any, and starts it again.
func (c *scene) killMachine(ctx context.Context) error {
	id := machineNames[c.rng.IntN(len(machineNames))]
	if leader, err := c.Leader(ctx); err == nil && c.rng.IntN(2) == 0 {
		id = leader
	}
	c.kill(id)
	if err := c.change(ctx); err != nil {
		return err
	}
	return c.start(id)
}

// oldDisk brings a machine back with a copy of its disk from before some changes. The others hold
// all that was committed then, so nothing may be lost; its agents know more than it does.
func (c *scene) oldDisk(ctx context.Context) error {
	id := machineNames[c.rng.IntN(len(machineNames))]
	c.kill(id)
	data, copied := c.machines[id].Data, c.machines[id].Data+".old"
	if err := os.RemoveAll(copied); err != nil {
		return err
	}
	if err := os.CopyFS(copied, os.DirFS(data)); err != nil {
		return err
	}
	if err := c.start(id); err != nil {
		return err
	}
	for range 3 {
		if err := c.change(ctx); err != nil {
			return err
		}
	}
	if err := c.Settled(ctx, everyone); err != nil {
		return err
	}
	if err := c.level(ctx); err != nil {
		return err
	}
	c.kill(id)
	if err := c.level(ctx); err != nil { // what came since is at the others too
		return err
	}
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.Rename(copied, data); err != nil {
		return err
	}
	if err := c.start(id); err != nil {
		return err
	}
	return c.change(ctx)
}

// level waits until all voters that run have applied what the leader has.
func (c *scene) level(ctx context.Context) error {
	leader, err := c.Leader(ctx)
	if err != nil {
		return err
	}
	s, err := c.status(ctx, leader)
	if err != nil {
		return err
	}
	for _, id := range voters {
		for c.machines[id].Running() {
			if v, err := c.status(ctx, id); err == nil && v.Applied >= s.Applied {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not come level with %s: %w: %s", id, leader, ctx.Err(), c.states())
			}
			lab.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// restartTenth kills a tenth of the agents, real ones among them, with a change under way.
func (c *scene) restartTenth(ctx context.Context) error {
	if err := c.change(ctx); err != nil {
		return err
	}
	lab.Sleep(ctx, time.Duration(c.rng.IntN(1500))*time.Millisecond)
	var picked []*hollow
	for _, i := range c.rng.Perm(len(c.hollow))[:(len(c.hollow)+9)/10] {
		picked = append(picked, c.hollow[i])
	}
	c.down(picked)
	for _, i := range c.rng.Perm(c.World.Real)[:(c.World.Real+9)/10] {
		if err := c.restart(ctx, i); err != nil {
			return err
		}
	}
	return c.up(picked)
}

// down has agents stop, up has them start at once.
func (w *World) down(all []*hollow) {
	for _, a := range all {
		a.cancel()
	}
	w.reach()
	for _, a := range all {
		a.wait()
	}
}

func (w *World) up(all []*hollow) error {
	err := each(all, func(a *hollow) error { return a.start() })
	w.reach()
	return err
}

// cutMachine cuts a machine off from the others, but not from its agents: it lags, and they must
// hear of a change all the same.
func (c *scene) cutMachine(ctx context.Context) error {
	id := machineNames[c.rng.IntN(len(machineNames))]
	c.Cut(func(a, b string) bool { return a == id && c.machines[b] != nil })
	if _, err := c.Leader(ctx, id); err != nil {
		return err
	}
	if err := c.change(ctx); err != nil {
		return err
	}
	return c.Settled(ctx, everyone) // while it is cut off
}

// returnBytes bounds what an agent that comes back may have sent and fetched until it has a change:
// the texts are below a kilobyte together, so most of it is the wire's own types and its reports.
const returnBytes = 64 << 10

// zoneBack has all of a zone's hollow agents go, changes what they had, and has them back at once.
func (c *scene) zoneBack(ctx context.Context) error {
	zone := zones[c.rng.IntN(len(zones))]
	var picked []*hollow
	for _, a := range c.hollow {
		if a.Zone == zone {
			picked = append(picked, a)
		}
	}
	c.down(picked)
	if err := c.change(ctx); err != nil {
		return err
	}
	r := Return{Agents: len(picked), Conns: map[string]int64{}, Bytes: map[string]int64{}}
	for id, l := range c.links[zone] {
		r.Conns[id], r.Bytes[id] = l.Traffic()
	}
	began := time.Now()
	if err := c.up(picked); err != nil {
		return err
	}
	if err := c.Settled(ctx, everyone); err != nil {
		return err
	}
	r.Took = time.Since(began)
	conns, most, bytes := int64(0), int64(0), int64(0)
	for id, l := range c.links[zone] {
		n, b := l.Traffic()
		r.Conns[id], r.Bytes[id] = n-r.Conns[id], b-r.Bytes[id]
		conns, most, bytes = conns+r.Conns[id], max(most, r.Conns[id]), bytes+r.Bytes[id]
	}
	c.report.Returns = append(c.report.Returns, r)
	if conns > int64(4*len(picked)+8) {
		return fmt.Errorf("%d agents of %s made %d connections: %v", len(picked), zone, conns, r.Conns)
	}
	if bytes > int64(len(picked))*returnBytes {
		return fmt.Errorf("%d agents of %s moved %d bytes: %v", len(picked), zone, bytes, r.Bytes)
	}
	if len(picked) >= 40 && most > conns*3/4 {
		return fmt.Errorf("of %d connections %d went to one machine: %v", conns, most, r.Conns)
	}
	return nil
}

// cutRegions cuts the regions apart for an hour, as it were: the side with a majority takes
// changes and its agents have them, the other takes none, and its agents serve on.
func (c *scene) cutRegions(ctx context.Context) error {
	c.Cut(across)
	if _, err := c.Leader(ctx, "c3"); err != nil {
		return err
	}
	west, east := c.through("west", "c1", "c2"), c.through("east", "c3", "c4")
	defer west.client.Close()
	defer east.client.Close()
	if _, err := west.change(ctx, Put{Name: everyone}); err != nil {
		return err
	}
	if p := east.put(ctx, Put{Name: everyone, Base: c.head(everyone), Text: east.next()}); p.Outcome == Stood {
		return fmt.Errorf("a put stands on the side of the minority: %+v", p)
	}
	if err := c.Settled(ctx, everyone); err != nil { // those within reach
		return err
	}
	lab.Sleep(ctx, c.Hour)
	_, err := west.change(ctx, Put{Name: everyone})
	return err
}

// burst is ten changes within a second on one document by two authors who look at what is latest.
func (c *scene) burst(ctx context.Context) error {
	var both sync.WaitGroup
	for _, a := range []*author{c.ann, c.bob} {
		both.Go(func() {
			for range 5 {
				began := time.Now()
				if leader, err := c.Leader(ctx); err == nil {
					c.look(ctx, leader)
				}
				a.put(ctx, Put{Name: everyone, Base: c.head(everyone), Text: a.next()})
				lab.Sleep(ctx, 200*time.Millisecond-time.Since(began))
			}
		})
	}
	both.Wait()
	return nil
}

// refusedBySome is a document that one hollow agent in eight does not take. Where one of them is
// in the first stage it is halted, otherwise they stay with the former text.
func (c *scene) refusedBySome(ctx context.Context) error {
	_, err := c.ann.change(ctx, Put{Name: everyone, Text: markSome})
	return errors.Join(err, c.Settled(ctx, everyone), c.change(ctx))
}

// firstFails is a text that no hollow agent takes, or that makes calls fail, with the next change
// waiting behind it: the former text comes back, and the next goes its own way.
func (c *scene) firstFails(ctx context.Context) error {
	mark := markRefuse
	if c.rng.IntN(2) == 0 {
		mark = markSpoil
	}
	bad, err := c.ann.change(ctx, Put{Name: everyone, Text: mark})
	if err != nil {
		return err
	}
	for !c.History.Begun(bad.Revision) { // what still waits would be superseded by the next, and never fail
		if ctx.Err() != nil {
			return fmt.Errorf("%d does not begin: %w: %s", bad.Revision, ctx.Err(), c.states())
		}
		if leader, err := c.Leader(ctx); err == nil {
			c.look(ctx, leader)
		}
	}
	c.bob.put(ctx, Put{Name: everyone, Base: bad.Revision, Text: c.bob.next()})
	if err := c.Settled(ctx, everyone); err != nil {
		return err
	}
	if !c.History.Halted(bad.Revision) {
		return fmt.Errorf("%d (%s) was not halted", bad.Revision, mark)
	}
	return nil
}

// diskFull has agents whose disks take nothing: a change is in force there all the same, and is
// on their disks once they take it again.
func (c *scene) diskFull(ctx context.Context) error {
	var picked []*hollow
	for _, i := range c.rng.Perm(len(c.hollow))[:max(len(c.hollow)/20, 1)] {
		picked = append(picked, c.hollow[i])
	}
	for _, a := range picked {
		if err := a.spoilDisk(); err != nil {
			return err
		}
	}
	err := errors.Join(c.change(ctx), c.Settled(ctx, everyone))
	for _, a := range picked {
		err = errors.Join(err, a.mendDisk())
	}
	for _, a := range picked {
		for err == nil && !a.saved() {
			if lab.Sleep(ctx, 50*time.Millisecond); ctx.Err() != nil {
				err = fmt.Errorf("%s has not saved since its disk is back: %s", a.Name, a.watch.Status())
			}
		}
	}
	if err != nil {
		return err
	}
	c.down(picked)
	return c.up(picked) // from their disks
}

// junk sends what nobody would send to a machine's ports.
func (c *scene) junk(ctx context.Context) error {
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
	return c.change(ctx)
}

// narrow puts a document for one zone over that for all, changes both, and removes it: the zone
// goes back to the latest for all. A former text comes again, too.
func (c *scene) narrow(ctx context.Context) error {
	const name = "routes@zone/z2"
	first, err := c.ann.change(ctx, Put{Name: name})
	if err != nil {
		return err
	}
	if err := c.Settled(ctx, everyone, name); err != nil {
		return err
	}
	if _, err := c.bob.change(ctx, Put{Name: name}); err != nil {
		return err
	}
	if err := c.change(ctx); err != nil {
		return err
	}
	if err := c.Settled(ctx, everyone, name); err != nil {
		return err
	}
	c.bob.put(ctx, Put{Name: name, Base: c.head(name), Restore: first.Revision, Text: first.Text})
	if err := c.Settled(ctx, everyone, name); err != nil {
		return err
	}
	_, err = c.ann.change(ctx, Put{Name: name, Remove: true})
	return err
}
