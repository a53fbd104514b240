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

// Schedule is a run of faults against one group with clients at work. Equal schedules draw
// equal faults, members and calls; what the machine's timing does between them differs.
type Schedule struct {
	Seed    uint64
	Members int
	Steps   int // faults lab.Drawn from the seed; 0: each once, in order
	Clients int
}

// Report is what a schedule showed.
type Report struct {
	Schedule
	Faults     []string // in the order played
	Operations int
	Refused    int      // answered with no quorum, or not answered
	Promised   int      // calls whose resolution a client was promised
	Lost       []string // of these, gone or changed
	Double     []string // calls that two offers were told they may send
	Linear     bool
	Took       time.Duration
}

// Err names what the run broke; nil for none.
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

// scene is what a fault may touch.
type scene struct {
	*Group
	h        *history
	rng      *rand.Rand
	replaced int
}

// faults are what a schedule may play, by name.
var faults = []struct {
	name string
	play func(*scene, context.Context) error
}{
	{"leader killed", (*scene).killLeader},
	{"leader cut off", (*scene).cutLeader},
	{"200 ms on one link", (*scene).slowLink},
	{"disk wiped", (*scene).wipe},
	{"rolling restart", (*scene).rolling},
	{"one direction cut", (*scene).deaf},
	{"link flaps under traffic", (*scene).flap},
	{"all killed at once", (*scene).powerCut},
}

// Play starts a group under dir, plays the schedule against it with clients at work, and
// checks what they were told. An error is one of the run itself, with the members' logs.
func (s Schedule) Play(ctx context.Context, bin, dir string) (Report, error) {
	began := time.Now()
	g, err := StartGroup(bin, dir, s.Members, s.Seed, 64)
	if err != nil {
		return Report{}, err
	}
	defer g.Close()
	r := Report{Schedule: s}
	if err := s.play(ctx, g, &r); err != nil {
		return r, fmt.Errorf("%w\n%s", err, g.Logs())
	}
	r.Took = time.Since(began)
	return r, nil
}

func (s Schedule) play(whole context.Context, g *Group, r *Report) error {
	ctx, cancel := context.WithTimeout(whole, lab.ScheduleTimeout)
	defer cancel()
	if _, err := g.Leader(ctx); err != nil {
		return err
	}
	sc := &scene{Group: g, h: newHistory(), rng: rand.New(rand.NewPCG(s.Seed, 2))}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for n := range s.Clients {
		clients.Go(func() { sc.h.client(ctx, g.Client(), n, s.Seed, stop) })
	}
	err := sc.playAll(ctx, s.order(), r)
	close(stop)
	clients.Wait()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(whole, lab.ReadBackTimeout)
	defer cancel()
	g.Mesh.Heal()
	if _, err := g.Leader(ctx); err != nil {
		return err
	}
	r.Operations, r.Refused, r.Promised = len(sc.h.ops), sc.h.refused, len(sc.h.promised)
	r.Lost, r.Double = sc.h.lost(ctx, g.Client()), sc.h.double
	r.Linear = sc.h.linear() == porcupine.Ok
	return nil
}

// order is which faults are played, by index.
func (s Schedule) order() (out []int) {
	if s.Steps == 0 {
		for i := range faults {
			out = append(out, i)
		}
		return out
	}
	rng := rand.New(rand.NewPCG(s.Seed, 1))
	for range s.Steps {
		out = append(out, rng.IntN(len(faults)))
	}
	return out
}

func (s *scene) playAll(ctx context.Context, order []int, r *Report) error {
	for _, i := range order {
		if ctx.Err() != nil {
			return fmt.Errorf("not done in %v (after %v)", lab.ScheduleTimeout, r.Faults)
		}
		if err := s.progress(ctx, 50); err != nil { // clients at work before each fault
			return err
		}
		if err := lab.RunStep(ctx, func(ctx context.Context) error { return faults[i].play(s, ctx) }); err != nil {
			return fmt.Errorf("%s (after %v): %w", faults[i].name, r.Faults, err)
		}
		r.Faults = append(r.Faults, faults[i].name)
	}
	return s.progress(ctx, 50)
}

// progress waits until a quorum has answered n more operations; an error says who is waited for.
func (s *scene) progress(ctx context.Context, n int) error {
	return lab.AwaitProgress(ctx, s.h.count, n, "operations answered by a quorum", s.states)
}

// settled waits until the members agree on a leader.
func (s *scene) settled(ctx context.Context) error {
	_, err := s.Leader(ctx)
	return err
}

// other is a member that is not name, by the seed.
func (s *scene) other(name string) string {
	rest := slices.DeleteFunc(s.Names(), func(n string) bool { return n == name })
	return rest[s.rng.IntN(len(rest))]
}

func (s *scene) any() string { return s.Names()[s.rng.IntN(len(s.Names()))] }

// killLeader has the others elect one before the dead member comes back.
func (s *scene) killLeader(ctx context.Context) error {
	leader, err := s.Leader(ctx)
	if err != nil {
		return err
	}
	s.Procs[leader].Kill()
	if err := s.settled(ctx); err != nil {
		return err
	}
	if err := s.progress(ctx, 10); err != nil {
		return err
	}
	return s.Procs[leader].Start()
}

// cutLeader puts the leader alone: a caller on its side must be refused with when to come
// back, and is never promised anything once the lease is over; the majority serves on.
func (s *scene) cutLeader(ctx context.Context) error {
	leader, err := s.Leader(ctx)
	if err != nil {
		return err
	}
	s.Mesh.Partition(leader)
	alone := s.ClientOf(leader)
	defer alone.Close()
	for until := time.Now().Add(10 * time.Second); time.Now().Before(until); {
		_, err := alone.Propose(ctx, promise.Entry{Op: promise.OpDrain, Server: "s9"})
		var later *replica.RetryAfterError
		if errors.As(err, &later) && errors.Is(err, replica.ErrNoQuorum) && later.After > 0 {
			if err := s.progress(ctx, 10); err != nil {
				return err
			}
			s.Mesh.Heal()
			return s.settled(ctx)
		}
	}
	return errors.New("the cut-off member never refused")
}

// slowLink delays one link by 200 ms each way, then heals it. Left in place it would change
// the next fault: after a kill the two members left may have a 400 ms round trip against
// 300 ms elections, and no leader until it heals.
func (s *scene) slowLink(ctx context.Context) error {
	a := s.any()
	s.Mesh.Delay(a, s.other(a), 200*time.Millisecond, 20*time.Millisecond)
	if err := s.progress(ctx, 50); err != nil {
		return err
	}
	s.Mesh.Heal()
	return s.settled(ctx)
}

// wipe loses a member's disk and replaces the member, which then catches up.
func (s *scene) wipe(ctx context.Context) error {
	name := s.any()
	s.replaced++
	if err := s.Replace(ctx, name, fmt.Sprintf("%s-%d", name, s.replaced)); err != nil {
		return err
	}
	leader, err := s.Leader(ctx)
	if err != nil {
		return err
	}
	v, err := s.Status(leader)
	if err != nil {
		return err
	}
	return s.CaughtUp(ctx, name, v.Applied)
}

// rolling restarts every member in turn, as an upgrade does.
func (s *scene) rolling(ctx context.Context) error {
	for _, n := range s.Names() {
		s.Procs[n].Stop()
		if err := s.Procs[n].Start(); err != nil {
			return err
		}
		if err := s.settled(ctx); err != nil {
			return err
		}
	}
	return nil
}

// deaf cuts one direction of one link only: a member hears another that does not hear it.
func (s *scene) deaf(ctx context.Context) error {
	a := s.any()
	l := s.Mesh[a][s.other(a)]
	l.Set(faultnet.Drop, 0, 0)
	l.Reset()
	if err := s.progress(ctx, 50); err != nil {
		return err
	}
	l.Set(faultnet.Pass, 0, 0)
	l.Reset()
	return s.settled(ctx)
}

// flap resets a link's connections under traffic, and drops it, several times in a row.
func (s *scene) flap(ctx context.Context) error {
	a := s.any()
	l := s.Mesh[a][s.other(a)]
	for range 4 {
		l.Set(faultnet.Drop, 0, 0)
		l.Reset()
		if err := s.progress(ctx, 3); err != nil {
			return err
		}
		l.Set(faultnet.Pass, 0, 0)
		l.Reset()
		if err := s.progress(ctx, 3); err != nil {
			return err
		}
	}
	return s.settled(ctx)
}

// powerCut kills all members at once and starts them again: only their disks are left.
func (s *scene) powerCut(ctx context.Context) error {
	var down sync.WaitGroup
	for _, p := range s.Procs {
		down.Go(p.Kill)
	}
	down.Wait()
	for _, n := range s.Names() {
		if err := s.Procs[n].Start(); err != nil {
			return err
		}
	}
	return s.settled(ctx)
}
