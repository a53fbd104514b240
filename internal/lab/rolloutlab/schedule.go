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

// Schedule is a run of faults against the distribution of configuration. Equal schedules draw equal faults,
// machines, agents and changes.
type Schedule struct {
	Seed      uint64
	Hollow    int
	Real      int
	Steps     int           // number of faults that lab.DrawFaults draws from the seed
	Delay     time.Duration // latency between regions, each way; 0: drawn from 30 to 150 ms
	RegionCut time.Duration // how long a cut between the regions lasts
	Only      []string      // names of faults, injected in this order instead of drawn ones
}

// Report is the result of a schedule.
type Report struct {
	Schedule
	Faults         []string
	FaultStarts    []time.Duration // start of each fault, by the history's clock
	FaultDurations []time.Duration // time from each fault's start until all documents were settled
	Puts           map[Outcome]int
	Propagations   []Propagation
	Returns        []ZoneReturn
	Calls          emulator.Outcome
	Violations     []string
	RuleErr        error // rules of the protocol that the real agents broke on the wire
	Elapsed        time.Duration
}

// ZoneReturn is the load on each machine when all agents of a zone come back at once.
type ZoneReturn struct {
	Agents  int
	Elapsed time.Duration
	Conns   map[string]int64
	Bytes   map[string]int64
}

// Err returns the violations of the run; nil if there are none.
func (r Report) Err() error {
	all := []error{r.RuleErr}
	if len(r.Violations) > 0 {
		all = append(all, fmt.Errorf("%d checks broken: %s", len(r.Violations), strings.Join(r.Violations[:min(len(r.Violations), 8)], "\n  ")))
	}
	if !slices.ContainsFunc(r.Propagations, func(s Propagation) bool { return len(s.Delays) > 0 }) {
		all = append(all, errors.New("no change was observed at any reachable agent: nothing was checked"))
	}
	if r.Calls.Lost > 0 {
		all = append(all, fmt.Errorf("%d calls of the real agents lost", r.Calls.Lost))
	}
	return errors.Join(all...)
}

// slowChange is the propagation time above which a change is listed as slow, though it is within the limit.
const slowChange = 4 * time.Second

// SlowChanges describes the slow changes, each with the fault during which its author was answered.
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

// scenario is a running schedule: the fleet, the authors and the report that a fault works on.
type scenario struct {
	*Fleet
	Schedule
	rng      *rand.Rand
	ann, bob *author
	report   *Report
}

// fault is a named fault with the function that injects it.
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

// FaultNames returns the names of the faults that a schedule may inject.
func FaultNames() (out []string) {
	for _, f := range faults {
		out = append(out, f.name)
	}
	return out
}

// Run starts a fleet under dir and injects the schedule's faults. After each fault every agent must have all
// committed changes. An error is one of the run itself or comes with violations in the report; it includes
// the machines' logs.
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
		return r, fmt.Errorf("machines' logs:\n%s", f.Logs())
	}
	return r, nil
}

// chooseFaults returns the faults to inject, in order.
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

// injectAll puts a first document for all agents and then injects the faults one after another.
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

// injectAndSettle injects one fault while authors make changes in the background, heals all links, and waits
// until all documents are settled.
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

// finish ends the history, checks it and fills in the report.
func (s *scenario) finish() {
	s.History.End()
	s.report.Puts, s.report.Propagations, s.report.Violations = s.History.OutcomeCounts(), s.History.Propagations(), s.History.Violations()
	if s.callers != nil {
		s.callers.Wait()
		s.report.Calls, _ = s.callers.Tally()
		s.report.RuleErr = s.cluster.World.Check.Err()
	}
}

// changeForAll changes the document of all agents and waits until the change is committed.
func (s *scenario) changeForAll(ctx context.Context) error {
	_, err := s.ann.change(ctx, Put{Name: routesForAll})
	return err
}

// stallLeader suspends the leader (SIGSTOP) while a put is in flight, lets the others elect a leader and
// commit changes, and resumes it while it still takes itself for the leader.
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

// kill ends a machine with SIGKILL.
func (s *scenario) kill(id string) {
	s.setLive(id, false)
	s.machines[id].Kill()
}

// startMachine starts a killed machine again.
func (s *scenario) startMachine(id string) error {
	err := s.machines[id].Proc.Start()
	s.setLive(id, err == nil)
	return err
}

// killMachine kills a machine, in at least half of the cases the leader, and starts it again.
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

// restoreOldDisk starts a machine again with a copy of its disk from before some changes. The other machines
// hold all that was committed since, so nothing may be lost. The machine's agents have newer revisions than
// it.
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
	if err := s.awaitApplied(ctx); err != nil { // the other machines hold the changes made since the copy
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

// awaitApplied waits until all voters that run have applied all that the leader had applied at the call.
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
				return fmt.Errorf("%s did not apply all that %s has: %w: %s", id, leader, ctx.Err(), s.describeMachines())
			}
			lab.Sleep(ctx, 20*time.Millisecond)
		}
	}
	return nil
}

// restartTenth restarts a tenth of the hollow agents and a tenth of the real ones during the rollout of a
// change.
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

// stopAgents stops agents and waits until they have stopped.
func (f *Fleet) stopAgents(all []*hollowAgent) {
	for _, a := range all {
		a.cancel()
	}
	f.updateReachable()
	for _, a := range all {
		a.wait()
	}
}

// startAgents starts agents, all at once.
func (f *Fleet) startAgents(all []*hollowAgent) error {
	err := forEach(all, func(a *hollowAgent) error { return a.start() })
	f.updateReachable()
	return err
}

// isolateMachine cuts a machine off from the other machines, but not from its agents. It lags behind, and its
// agents must receive a change all the same.
func (s *scenario) isolateMachine(ctx context.Context) error {
	id := machineNames[s.rng.IntN(len(machineNames))]
	s.Cut(func(a, b string) bool { return a == id && s.machines[b] != nil })
	if _, err := s.AwaitLeader(ctx, id); err != nil {
		return err
	}
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	return s.AwaitSettled(ctx, routesForAll) // while the machine is cut off
}

// maxReturnBytes bounds the bytes that an agent that comes back sends and receives until it has a change. The
// documents' texts are below a kilobyte together; most of the traffic is the protocol's type descriptions and
// the agent's reports.
const maxReturnBytes = 64 << 10

// restartZone stops all hollow agents of a zone, changes a document they have, and starts them all at once.
// It checks that their connections and bytes are bounded and spread over the machines.
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
		return fmt.Errorf("%d agents of %s sent and received %d bytes: %v", len(picked), zone, bytes, r.Bytes)
	}
	if len(picked) >= 40 && most > conns*3/4 {
		return fmt.Errorf("of %d connections %d went to one machine: %v", conns, most, r.Conns)
	}
	return nil
}

// cutRegions cuts the regions apart for RegionCut. The side with a majority of the voters commits changes,
// and its agents receive them. The other side commits none, and its agents go on serving.
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
		return fmt.Errorf("a put was committed on the side of the minority: %+v", p)
	}
	if err := s.AwaitSettled(ctx, routesForAll); err != nil { // at the reachable agents
		return err
	}
	lab.Sleep(ctx, s.RegionCut)
	_, err := west.change(ctx, Put{Name: routesForAll})
	return err
}

// changeInBurst has two authors make ten changes of one document within a second. Each put is on the latest
// revision that its author read just before.
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

// refusedBySome puts a document that one hollow agent in eight refuses. If one of them is in the first stage,
// the rollout is halted; otherwise these agents keep the former text.
func (s *scenario) refusedBySome(ctx context.Context) error {
	_, err := s.ann.change(ctx, Put{Name: routesForAll, Text: markRefuseSome})
	return errors.Join(err, s.AwaitSettled(ctx, routesForAll), s.changeForAll(ctx))
}

// failFirstStage puts a text that all hollow agents refuse, or that makes calls fail, and then a further
// change, which waits for it. The first must be halted and the former text restored, and the further change
// is then rolled out.
func (s *scenario) failFirstStage(ctx context.Context) error {
	mark := markRefuseAll
	if s.rng.IntN(2) == 0 {
		mark = markFailCalls
	}
	bad, err := s.ann.change(ctx, Put{Name: routesForAll, Text: mark})
	if err != nil {
		return err
	}
	// A revision that still waits would be superseded by the next one and never fail.
	for !s.History.HasBegun(bad.Revision) {
		if ctx.Err() != nil {
			return fmt.Errorf("%d did not reach its first stage: %w: %s", bad.Revision, ctx.Err(), s.describeMachines())
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

// breakDisks makes the disks of some agents unusable. A change must come into force there all the same, and
// must be saved once the disks are usable again.
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
				err = fmt.Errorf("%s has not saved since its disk was restored: %s", a.Name, a.watcher.Status())
			}
		}
	}
	if err != nil {
		return err
	}
	s.stopAgents(picked)
	return s.startAgents(picked) // they load what was saved
}

// sendJunk sends random bytes to a machine's ports. The machine must keep running.
func (s *scenario) sendJunk(ctx context.Context) error {
	m := s.machines[machineNames[s.rng.IntN(len(machineNames))]]
	for _, addr := range []string{m.raft, m.client, m.console} {
		for range 40 {
			conn, err := net.DialTimeout("tcp", addr, time.Second)
			if err != nil {
				return fmt.Errorf("%s accepts no connections: %w", m.id, err)
			}
			junk := make([]byte, 1+s.rng.IntN(2000))
			for i := range junk {
				junk[i] = byte(s.rng.Uint32())
			}
			conn.Write(junk) // the machine may close the connection before all is written
			conn.Close()
		}
	}
	if !m.Running() {
		return fmt.Errorf("%s ended after random bytes on its ports", m.id)
	}
	return s.changeForAll(ctx)
}

// changeNarrowDocument puts a document for one zone, which overrides the one for all agents, changes both,
// restores a former text, and removes the zone's document. The zone must then have the latest document for
// all.
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
