package promiselab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/anishathalye/porcupine"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/lab"
	"woodrouter/promise"
)

// Schedule describes a run of faults against one group under load from clients. Equal schedules draw
// equal faults, members and calls; the timing between them depends on the machine.
type Schedule struct {
	Seed    uint64
	Members int
	Steps   int // number of faults drawn from the seed; 0: each fault once, in order
	Clients int
}

// Report is the result of a Schedule.
type Report struct {
	Schedule
	Faults     []string // in the order injected
	Operations int
	Refused    int      // operations that took no effect: no quorum, or not answered
	Promised   int      // calls whose resolution was promised to a client
	Lost       []string // promised calls whose resolution is gone or changed
	Double     []string // calls that two tokens were told they may send
	Linear     bool
	Took       time.Duration
}

// Err returns the guarantees that the run broke, or nil.
func (r Report) Err() error {
	var all []error
	if len(r.Lost) > 0 {
		all = append(all, fmt.Errorf("%d of %d promises lost: %s", len(r.Lost), r.Promised, strings.Join(r.Lost[:min(len(r.Lost), 5)], "; ")))
	}
	if len(r.Double) > 0 {
		all = append(all, fmt.Errorf("claimed twice: %v", r.Double))
	}
	if !r.Linear {
		all = append(all, errors.New("history is not linearizable, or could not be checked in time"))
	}
	return errors.Join(all...)
}

// groupRun is the state of a running Schedule, on which faults act.
type groupRun struct {
	*Group
	history      *history
	rng          *rand.Rand
	replacements int
}

// groupFaults are the faults that a Schedule can inject.
var groupFaults = []struct {
	name   string
	inject func(*groupRun, context.Context) error
}{
	{"leader killed", (*groupRun).killLeader},
	{"leader cut off", (*groupRun).isolateLeader},
	{"200 ms on one link", (*groupRun).slowLink},
	{"disk wiped", (*groupRun).wipeDisk},
	{"rolling restart", (*groupRun).rollingRestart},
	{"one direction cut", (*groupRun).cutOneDirection},
	{"link flaps under traffic", (*groupRun).flapLink},
	{"all killed at once", (*groupRun).killAll},
}

// Run starts a group under dir, injects the schedule's faults under load from clients, and checks the
// answers that the clients received. An error means that the run itself failed; it includes the members'
// logs.
func (s Schedule) Run(ctx context.Context, bin, dir string) (Report, error) {
	began := time.Now()
	group, err := StartGroup(bin, dir, s.Members, s.Seed, 64)
	if err != nil {
		return Report{}, err
	}
	defer group.Close()
	report := Report{Schedule: s}
	if err := s.run(ctx, group, &report); err != nil {
		return report, fmt.Errorf("%w\n%s", err, group.Logs())
	}
	report.Took = time.Since(began)
	return report, nil
}

func (s Schedule) run(parent context.Context, group *Group, report *Report) error {
	ctx, cancel := context.WithTimeout(parent, lab.ScheduleTimeout)
	defer cancel()
	if _, err := group.AwaitLeader(ctx); err != nil {
		return err
	}
	run := &groupRun{Group: group, history: newHistory(), rng: rand.New(rand.NewPCG(s.Seed, 2))}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range s.Clients {
		clients.Go(func() { run.history.runClient(ctx, group.Client(), n, s.Seed, stop) })
	}
	err := run.injectFaults(ctx, s.faultOrder(), report)
	close(stop)
	clients.Wait()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(parent, lab.ReadBackTimeout)
	defer cancel()
	group.Mesh.Heal()
	if _, err := group.AwaitLeader(ctx); err != nil {
		return err
	}
	report.Operations, report.Refused, report.Promised = len(run.history.ops), run.history.refused, len(run.history.promised)
	report.Lost, report.Double = run.history.findLost(ctx, group.Client()), run.history.doubleClaims
	report.Linear = run.history.checkLinearizable() == porcupine.Ok
	return nil
}

// faultOrder returns the indexes of the faults to inject.
func (s Schedule) faultOrder() (out []int) {
	if s.Steps == 0 {
		for i := range groupFaults {
			out = append(out, i)
		}
		return out
	}
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	for range s.Steps {
		out = append(out, rng.IntN(len(groupFaults)))
	}
	return out
}

func (r *groupRun) injectFaults(ctx context.Context, order []int, report *Report) error {
	for _, i := range order {
		if ctx.Err() != nil {
			return fmt.Errorf("schedule not finished in %v (after %v)", lab.ScheduleTimeout, report.Faults)
		}
		if err := r.awaitAcknowledged(ctx, 50); err != nil { // load before each fault
			return err
		}
		if err := lab.RunStep(ctx, func(ctx context.Context) error { return groupFaults[i].inject(r, ctx) }); err != nil {
			return fmt.Errorf("%s (after %v): %w", groupFaults[i].name, report.Faults, err)
		}
		report.Faults = append(report.Faults, groupFaults[i].name)
	}
	return r.awaitAcknowledged(ctx, 50)
}

// awaitAcknowledged waits until a quorum has committed n more operations. An error includes the state of
// every member.
func (r *groupRun) awaitAcknowledged(ctx context.Context, n int) error {
	return lab.AwaitProgress(ctx, r.history.acknowledgedCount, n, "operations answered by a quorum", r.describeMembers)
}

// awaitAgreement waits until the members agree on a leader.
func (r *groupRun) awaitAgreement(ctx context.Context) error {
	_, err := r.AwaitLeader(ctx)
	return err
}

// otherMember returns a member other than name, drawn from the seed.
func (r *groupRun) otherMember(name string) string {
	rest := slices.DeleteFunc(r.Names(), func(n string) bool { return n == name })
	return rest[r.rng.IntN(len(rest))]
}

func (r *groupRun) anyMember() string { return r.Names()[r.rng.IntN(len(r.Names()))] }

// killLeader kills the leader and restarts it once the others have elected a new one.
func (r *groupRun) killLeader(ctx context.Context) error {
	leader, err := r.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	r.Procs[leader].Kill()
	if err := r.awaitAgreement(ctx); err != nil {
		return err
	}
	if err := r.awaitAcknowledged(ctx, 10); err != nil {
		return err
	}
	return r.Procs[leader].Start()
}

// isolateLeader partitions the leader from the others. A client on the leader's side must be refused
// with a time to come back, and gets no promise once the lease has expired; the majority continues to
// serve.
func (r *groupRun) isolateLeader(ctx context.Context) error {
	leader, err := r.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	r.Mesh.Partition(leader)
	alone := r.ClientOf(leader)
	defer alone.Close()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		_, err := alone.Propose(ctx, promise.Entry{Op: promise.OpDrain, Server: "s9"})
		var later *replica.RetryAfterError
		if errors.As(err, &later) && errors.Is(err, replica.ErrNoQuorum) && later.After > 0 {
			if err := r.awaitAcknowledged(ctx, 10); err != nil {
				return err
			}
			r.Mesh.Heal()
			return r.awaitAgreement(ctx)
		}
	}
	return errors.New("the isolated leader did not refuse a proposal within 10 s")
}

// slowLink delays one link by 200 ms each way, then heals it. A delay left in place would affect the
// next fault: after a kill, the remaining two members could have a 400 ms round trip with 300 ms
// election timeouts, and no leader until the link heals.
func (r *groupRun) slowLink(ctx context.Context) error {
	member := r.anyMember()
	r.Mesh.Delay(member, r.otherMember(member), 200*time.Millisecond, 20*time.Millisecond)
	if err := r.awaitAcknowledged(ctx, 50); err != nil {
		return err
	}
	r.Mesh.Heal()
	return r.awaitAgreement(ctx)
}

// wipeDisk wipes a member's disk, replaces the member, and waits until it has caught up.
func (r *groupRun) wipeDisk(ctx context.Context) error {
	name := r.anyMember()
	r.replacements++
	if err := r.Replace(ctx, name, fmt.Sprintf("%s-%d", name, r.replacements)); err != nil {
		return err
	}
	leader, err := r.AwaitLeader(ctx)
	if err != nil {
		return err
	}
	status, err := r.Status(leader)
	if err != nil {
		return err
	}
	return r.AwaitApplied(ctx, name, status.Applied)
}

// rollingRestart restarts the members one after another, as an upgrade does.
func (r *groupRun) rollingRestart(ctx context.Context) error {
	for _, n := range r.Names() {
		r.Procs[n].Stop()
		if err := r.Procs[n].Start(); err != nil {
			return err
		}
		if err := r.awaitAgreement(ctx); err != nil {
			return err
		}
	}
	return nil
}

// cutOneDirection cuts one direction of a link: one member receives from another that does not receive
// from it.
func (r *groupRun) cutOneDirection(ctx context.Context) error {
	member := r.anyMember()
	link := r.Mesh[member][r.otherMember(member)]
	link.Set(faultnet.Drop, 0, 0)
	link.Reset()
	if err := r.awaitAcknowledged(ctx, 50); err != nil {
		return err
	}
	link.Set(faultnet.Pass, 0, 0)
	link.Reset()
	return r.awaitAgreement(ctx)
}

// flapLink cuts and restores a link several times under traffic, resetting its connections each time.
func (r *groupRun) flapLink(ctx context.Context) error {
	member := r.anyMember()
	link := r.Mesh[member][r.otherMember(member)]
	for range 4 {
		link.Set(faultnet.Drop, 0, 0)
		link.Reset()
		if err := r.awaitAcknowledged(ctx, 3); err != nil {
			return err
		}
		link.Set(faultnet.Pass, 0, 0)
		link.Reset()
		if err := r.awaitAcknowledged(ctx, 3); err != nil {
			return err
		}
	}
	return r.awaitAgreement(ctx)
}

// killAll kills all members at once and restarts them with only their disks left.
func (r *groupRun) killAll(ctx context.Context) error {
	var down sync.WaitGroup
	for _, p := range r.Procs {
		down.Go(p.Kill)
	}
	down.Wait()
	for _, n := range r.Names() {
		if err := r.Procs[n].Start(); err != nil {
			return err
		}
	}
	return r.awaitAgreement(ctx)
}
