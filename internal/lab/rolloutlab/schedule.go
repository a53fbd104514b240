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
	f, err := Start(ctx, Config{Bin: bin, Dir: dir, Hollow: s.Hollow, Real: s.Real, Seed: s.Seed, Delay: s.Delay})
	if err != nil {
		return r, err
	}
	defer f.Close()
	run := &scenario{Fleet: f, Schedule: s, rng: rng, ann: f.newAuthor("ann"), bob: f.newAuthor("bob"), report: &r}
	if err := run.injectAll(ctx); err != nil {
		return r, fmt.Errorf("%w (after %v)\n%s", err, r.Faults, f.Logs())
	}
	run.finish()
	r.Elapsed = time.Since(began)
	if r.Err() != nil {
		return r, fmt.Errorf("members' logs:\n%s", f.Logs())
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

func (s *scenario) injectAll(ctx context.Context) error {
	order, err := s.chooseFaults()
	if err != nil {
		return err
	}
	if _, err := s.ann.change(ctx, Put{Name: routesForAll}); err != nil {
		return err
	}
	if err := s.AwaitSettled(ctx); err != nil {
		return err
	}
	for i, f := range order {
		if err := s.injectAndSettle(ctx, i, f); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

// injectAndSettle plays one fault with authors at work beside it, heals all, and waits until all stands.
func (s *scenario) injectAndSettle(ctx context.Context, i int, f fault) error {
	began, at, stop, done := time.Now(), s.History.Now(), make(chan struct{}), make(chan struct{})
	rng := rand.New(rand.NewPCG(s.Schedule.Seed, uint64(1000+i)))
	go func() {
		defer close(done)
		s.changeInBackground(ctx, rng, i, stop)
	}()
	faultCtx, cancel := context.WithTimeout(ctx, lab.StepTimeout+s.RegionCut)
	err := f.inject(s, faultCtx)
	cancel()
	close(stop)
	<-done
	s.Heal()
	if err = errors.Join(err, s.AwaitSettled(ctx)); err == nil {
		s.report.Faults, s.report.FaultStarts, s.report.FaultDurations = append(s.report.Faults, f.name), append(s.report.FaultStarts, at), append(s.report.FaultDurations, time.Since(began))
	}
	return err
}

// finish closes the history and checks it.
func (s *scenario) finish() {
	s.History.End()
	s.report.Puts, s.report.Propagations, s.report.Violations = s.History.OutcomeCounts(), s.History.Propagations(), s.History.Violations()
	if s.callers != nil {
		s.callers.Wait()
		s.report.Calls, _ = s.callers.Tally()
		s.report.RuleErr = s.cluster.World.Check.Err()
	}
}

// changeForAll is a change for all agents that must come to stand.
func (s *scenario) changeForAll(ctx context.Context) error {
	_, err := s.ann.change(ctx, Put{Name: routesForAll})
	return err
}

// stallLeader stops the leader (SIGSTOP) with a put under way, has the others elect and take
// changes, and lets it go on: it thinks that it leads.
func (s *scenario) stallLeader(ctx context.Context) error {
	leader, err := s.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	base, putDone := s.latestRevision(routesForAll), make(chan struct{})
	go func() {
		defer close(putDone)
		s.bob.put(ctx, Put{Name: routesForAll, Base: base, Text: s.bob.nextText()})
	}()
	lab.Sleep(ctx, time.Duration(s.rng.IntN(40))*time.Millisecond)
	s.machines[leader].Suspend()
	s.setLive(leader, false)
	defer func() {
		s.machines[leader].Resume()
		s.setLive(leader, true)
	}()
	if _, err := s.AwaitLeader(ctx, leader); err != nil {
		return err
	}
	<-putDone
	return s.changeForAll(ctx)
}

// kill ends a machine; start starts it again.
func (s *scenario) kill(id string) {
	s.setLive(id, false)
	s.machines[id].Kill()
}

func (s *scenario) startMachine(id string) error {
	err := s.machines[id].Proc.Start()
	s.setLive(id, err == nil)
	return err
}

// killMachine kills a machine, the leader as often as any, and starts it again.
func (s *scenario) killMachine(ctx context.Context) error {
	id := machineNames[s.rng.IntN(len(machineNames))]
	if leader, err := s.AwaitLeader(ctx); err == nil && s.rng.IntN(2) == 0 {
		id = leader
	}
	s.kill(id)
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	return s.startMachine(id)
}

// restoreOldDisk brings a machine back with a copy of its disk from before some changes. The others hold
// all that was committed then, so nothing may be lost; its agents know more than it does.
func (s *scenario) restoreOldDisk(ctx context.Context) error {
	id := machineNames[s.rng.IntN(len(machineNames))]
	s.kill(id)
	data, copied := s.machines[id].Data, s.machines[id].Data+".old"
	if err := os.RemoveAll(copied); err != nil {
		return err
	}
	if err := os.CopyFS(copied, os.DirFS(data)); err != nil {
		return err
	}
	if err := s.startMachine(id); err != nil {
		return err
	}
	for range 3 {
		if err := s.changeForAll(ctx); err != nil {
			return err
		}
	}
	if err := s.AwaitSettled(ctx, routesForAll); err != nil {
		return err
	}
	if err := s.awaitApplied(ctx); err != nil {
		return err
	}
	s.kill(id)
	if err := s.awaitApplied(ctx); err != nil { // what came since is at the others too
		return err
	}
	if err := os.RemoveAll(data); err != nil {
		return err
	}
	if err := os.Rename(copied, data); err != nil {
		return err
	}
	if err := s.startMachine(id); err != nil {
		return err
	}
	return s.changeForAll(ctx)
}

// awaitApplied waits until all voters that run have applied what the leader has.
func (s *scenario) awaitApplied(ctx context.Context) error {
	leader, err := s.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	atLeader, err := s.overview(ctx, leader)
	if err != nil {
		return err
	}
	for _, id := range voters {
		for s.machines[id].Running() {
			if v, err := s.overview(ctx, id); err == nil && v.Applied >= atLeader.Applied {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s did not come level with %s: %w: %s", id, leader, ctx.Err(), s.describeMachines())
			}
			lab.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// restartTenth kills a tenth of the agents, real ones among them, with a change under way.
func (s *scenario) restartTenth(ctx context.Context) error {
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	lab.Sleep(ctx, time.Duration(s.rng.IntN(1500))*time.Millisecond)
	var picked []*hollowAgent
	for _, i := range s.rng.Perm(len(s.hollowAgents))[:(len(s.hollowAgents)+9)/10] {
		picked = append(picked, s.hollowAgents[i])
	}
	s.stopAgents(picked)
	for _, i := range s.rng.Perm(s.Fleet.Real)[:(s.Fleet.Real+9)/10] {
		if err := s.restartAgent(ctx, i); err != nil {
			return err
		}
	}
	return s.startAgents(picked)
}

// stopAgents has agents stop, up has them start at once.
func (f *Fleet) stopAgents(all []*hollowAgent) {
	for _, a := range all {
		a.cancel()
	}
	f.updateReachable()
	for _, a := range all {
		a.wait()
	}
}

func (f *Fleet) startAgents(all []*hollowAgent) error {
	err := forEach(all, func(a *hollowAgent) error { return a.start() })
	f.updateReachable()
	return err
}

// isolateMachine cuts a machine off from the others, but not from its agents: it lags, and they must
// hear of a change all the same.
func (s *scenario) isolateMachine(ctx context.Context) error {
	id := machineNames[s.rng.IntN(len(machineNames))]
	s.Cut(func(a, b string) bool { return a == id && s.machines[b] != nil })
	if _, err := s.AwaitLeader(ctx, id); err != nil {
		return err
	}
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	return s.AwaitSettled(ctx, routesForAll) // while it is cut off
}

// maxReturnBytes bounds what an agent that comes back may have sent and fetched until it has a change:
// the texts are below a kilobyte together, so most of it is the wire's own types and its reports.
const maxReturnBytes = 64 << 10

// restartZone has all of a zone's hollow agents go, changes what they had, and has them back at once.
func (s *scenario) restartZone(ctx context.Context) error {
	zone := zones[s.rng.IntN(len(zones))]
	var picked []*hollowAgent
	for _, a := range s.hollowAgents {
		if a.Zone == zone {
			picked = append(picked, a)
		}
	}
	s.stopAgents(picked)
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	r := ZoneReturn{Agents: len(picked), Conns: map[string]int64{}, Bytes: map[string]int64{}}
	for id, l := range s.agentLinks[zone] {
		r.Conns[id], r.Bytes[id] = l.Traffic()
	}
	began := time.Now()
	if err := s.startAgents(picked); err != nil {
		return err
	}
	if err := s.AwaitSettled(ctx, routesForAll); err != nil {
		return err
	}
	r.Elapsed = time.Since(began)
	conns, most, bytes := int64(0), int64(0), int64(0)
	for id, l := range s.agentLinks[zone] {
		n, b := l.Traffic()
		r.Conns[id], r.Bytes[id] = n-r.Conns[id], b-r.Bytes[id]
		conns, most, bytes = conns+r.Conns[id], max(most, r.Conns[id]), bytes+r.Bytes[id]
	}
	s.report.Returns = append(s.report.Returns, r)
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
func (s *scenario) cutRegions(ctx context.Context) error {
	s.Cut(inDifferentRegions)
	if _, err := s.AwaitLeader(ctx, "c3"); err != nil {
		return err
	}
	west, east := s.newAuthorVia("west", "c1", "c2"), s.newAuthorVia("east", "c3", "c4")
	defer west.client.Close()
	defer east.client.Close()
	if _, err := west.change(ctx, Put{Name: routesForAll}); err != nil {
		return err
	}
	if p := east.put(ctx, Put{Name: routesForAll, Base: s.latestRevision(routesForAll), Text: east.nextText()}); p.Outcome == Committed {
		return fmt.Errorf("a put stands on the side of the minority: %+v", p)
	}
	if err := s.AwaitSettled(ctx, routesForAll); err != nil { // those within reach
		return err
	}
	lab.Sleep(ctx, s.RegionCut)
	_, err := west.change(ctx, Put{Name: routesForAll})
	return err
}

// changeInBurst is ten changes within a second on one document by two authors who look at what is latest.
func (s *scenario) changeInBurst(ctx context.Context) error {
	var both sync.WaitGroup
	for _, a := range []*author{s.ann, s.bob} {
		both.Go(func() {
			for range 5 {
				began := time.Now()
				if leader, err := s.AwaitLeader(ctx); err == nil {
					s.readDocuments(ctx, leader)
				}
				a.put(ctx, Put{Name: routesForAll, Base: s.latestRevision(routesForAll), Text: a.nextText()})
				lab.Sleep(ctx, 200*time.Millisecond-time.Since(began))
			}
		})
	}
	both.Wait()
	return nil
}

// refusedBySome is a document that one hollow agent in eight does not take. Where one of them is
// in the first stage it is halted, otherwise they stay with the former text.
func (s *scenario) refusedBySome(ctx context.Context) error {
	_, err := s.ann.change(ctx, Put{Name: routesForAll, Text: markRefuseSome})
	return errors.Join(err, s.AwaitSettled(ctx, routesForAll), s.changeForAll(ctx))
}

// failFirstStage is a text that no hollow agent takes, or that makes calls fail, with the next change
// waiting behind it: the former text comes back, and the next goes its own way.
func (s *scenario) failFirstStage(ctx context.Context) error {
	mark := markRefuseAll
	if s.rng.IntN(2) == 0 {
		mark = markFailCalls
	}
	bad, err := s.ann.change(ctx, Put{Name: routesForAll, Text: mark})
	if err != nil {
		return err
	}
	for !s.History.HasBegun(bad.Revision) { // what still waits would be superseded by the next, and never fail
		if ctx.Err() != nil {
			return fmt.Errorf("%d does not begin: %w: %s", bad.Revision, ctx.Err(), s.describeMachines())
		}
		if leader, err := s.AwaitLeader(ctx); err == nil {
			s.readDocuments(ctx, leader)
		}
	}
	s.bob.put(ctx, Put{Name: routesForAll, Base: bad.Revision, Text: s.bob.nextText()})
	if err := s.AwaitSettled(ctx, routesForAll); err != nil {
		return err
	}
	if !s.History.WasHalted(bad.Revision) {
		return fmt.Errorf("%d (%s) was not halted", bad.Revision, mark)
	}
	return nil
}

// breakDisks has agents whose disks take nothing: a change is in force there all the same, and is
// on their disks once they take it again.
func (s *scenario) breakDisks(ctx context.Context) error {
	var picked []*hollowAgent
	for _, i := range s.rng.Perm(len(s.hollowAgents))[:max(len(s.hollowAgents)/20, 1)] {
		picked = append(picked, s.hollowAgents[i])
	}
	for _, a := range picked {
		if err := a.breakDisk(); err != nil {
			return err
		}
	}
	err := errors.Join(s.changeForAll(ctx), s.AwaitSettled(ctx, routesForAll))
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
	s.stopAgents(picked)
	return s.startAgents(picked) // from their disks
}

// sendJunk sends what nobody would send to a machine's ports.
func (s *scenario) sendJunk(ctx context.Context) error {
	m := s.machines[machineNames[s.rng.IntN(len(machineNames))]]
	for _, addr := range []string{m.raft, m.client, m.console} {
		for range 40 {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return fmt.Errorf("%s takes no connections: %w", m.id, err)
			}
			junk := make([]byte, 1+s.rng.IntN(2000))
			for i := range junk {
				junk[i] = byte(s.rng.Uint32())
			}
			conn.Write(junk) // it may be ended before all is out
			conn.Close()
		}
	}
	if !m.Running() {
		return fmt.Errorf("%s ended by junk", m.id)
	}
	return s.changeForAll(ctx)
}

// changeNarrowDocument puts a document for one zone over that for all, changes both, and removes it: the zone
// goes back to the latest for all. A former text comes again, too.
func (s *scenario) changeNarrowDocument(ctx context.Context) error {
	const name = "routes@zone/z2"
	first, err := s.ann.change(ctx, Put{Name: name})
	if err != nil {
		return err
	}
	if err := s.AwaitSettled(ctx, routesForAll, name); err != nil {
		return err
	}
	if _, err := s.bob.change(ctx, Put{Name: name}); err != nil {
		return err
	}
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	if err := s.AwaitSettled(ctx, routesForAll, name); err != nil {
		return err
	}
	s.bob.put(ctx, Put{Name: name, Base: s.latestRevision(name), Restore: first.Revision, Text: first.Text})
	if err := s.AwaitSettled(ctx, routesForAll, name); err != nil {
		return err
	}
	_, err = s.ann.change(ctx, Put{Name: name, Remove: true})
	return err
}
