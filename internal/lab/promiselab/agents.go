package promiselab

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/lab"
	"woodrouter/isup"
)

// AgentSchedule is a run of faults against call agents that keep one another's promises, with
// callers who ask for the same calls of several agents. Equal schedules draw equal faults.
type AgentSchedule struct {
	Seed    uint64
	Agents  int // in groups of three
	Steps   int
	Callers int
}

// AgentReport is what a schedule showed.
type AgentReport struct {
	AgentSchedule
	Faults                []string
	Asked, Served, Turned int      // set-ups of callers; answered; refused or failed
	Unheard               int      // of which no answer came: the agent died, or was cut off
	Calls                 int      // that some caller heard served
	Twice                 []string // calls that two agents sent on
	Differ                []string // calls served with two descriptions
	Lost                  []string // served calls that no agent answers so after the faults
	Took                  time.Duration
}

// Err names what the run broke; nil for none.
func (r AgentReport) Err() error {
	var all []error
	for what, calls := range map[string][]string{"sent on by two agents": r.Twice, "served in two ways": r.Differ, "served, and lost": r.Lost} {
		if len(calls) > 0 {
			all = append(all, fmt.Errorf("%d calls %s: %s", len(calls), what, strings.Join(calls[:min(len(calls), 5)], "; ")))
		}
	}
	return errors.Join(all...)
}

// town is the agents, the setup server, and what callers heard.
type town struct {
	*lab.Fleet
	office *lab.SetupServer
	rng    *rand.Rand

	mu     sync.Mutex
	served map[isup.CallID]string
	report *AgentReport
}

var agentFaults = []struct {
	name string
	play func(*town, context.Context) error
}{
	{"agent killed", (*town).kill},
	{"agent and disk lost, and mended", (*town).lose},
	{"agent cut off", (*town).cutOne},
	{"two agents cut off", (*town).cutTwo},
	{"agents restarted in turn", (*town).restart},
	{"all agents killed at once", (*town).dark},
	{"50 ms between all", (*town).slow},
}

// Play starts the agents under dir, plays the schedule with callers at work, and asks for every
// served call again when all is healed.
func (s AgentSchedule) Play(ctx context.Context, bin, dir string) (AgentReport, error) {
	began := time.Now()
	o := lab.NewSetupServer(s.Seed)
	defer o.Close()
	r := AgentReport{AgentSchedule: s}
	f, err := lab.StartFleet(bin, dir, s.Agents, s.Seed, lab.FleetConfig{Settings: json.RawMessage(lab.AgentSettings),
		Timing: replica.TimingConfig{Heartbeat: "500ms", Election: "500ms", Lease: "300ms"},
		AgentBulletin: func(name string) (string, any, error) {
			addr, err := o.ListenFor(name)
			return lab.NoBulletin, lab.ServerList(map[string]any{"name": "s0", "address": addr, "zone": "z"}), err
		}})
	if err != nil {
		return r, err
	}
	defer f.Close()
	t := &town{Fleet: f, office: o, rng: rand.New(rand.NewPCG(s.Seed, 2)), served: map[isup.CallID]string{}, report: &r}
	if err := t.play(ctx, s); err != nil {
		return r, fmt.Errorf("%w (after %v)\n%s", err, r.Faults, f.Logs())
	}
	r.Took = time.Since(began)
	return r, nil
}

func (t *town) play(whole context.Context, s AgentSchedule) error {
	ctx, cancel := context.WithTimeout(whole, lab.ScheduleTimeout)
	defer cancel()
	if err := t.settle(ctx); err != nil {
		return err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range s.Callers {
		callers.Go(func() { t.call(n, s, stop) })
	}
	err := t.faults(ctx, s)
	close(stop)
	callers.Wait()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(whole, lab.ReadBackTimeout)
	defer cancel()
	t.Partition()
	if err := t.restart(ctx); err != nil { // fresh tables: an agent ends a connection that asks for a call it has open
		return err
	}
	t.report.Calls, t.report.Twice, t.report.Lost = len(t.served), t.office.SentByTwoAgents(), t.readBack(ctx)
	return nil
}

func (t *town) faults(ctx context.Context, s AgentSchedule) error {
	for _, i := range lab.DrawFaults(s.Seed, s.Steps, len(agentFaults)) {
		f := agentFaults[i]
		if err := t.progress(ctx, 20); err != nil {
			return err
		}
		if err := lab.RunStep(ctx, func(ctx context.Context) error { return f.play(t, ctx) }); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
		t.report.Faults = append(t.report.Faults, f.name)
	}
	return t.progress(ctx, 20)
}

// call is one caller: it asks random agents for calls of which others ask, too, so that most
// are asked for several times while they are set up, stand, or their agent dies.
func (t *town) call(n int, s AgentSchedule, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(100+n)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := isup.CallID(1 + i/2 + rng.IntN(4)) // callers move on through the calls together
		t.note(id, lab.SetUpCall(t.Agents[fmt.Sprintf("a%d", 1+rng.IntN(s.Agents))].Listen, id))
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func (t *town) note(id isup.CallID, h lab.CallResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.report.Asked++
	switch {
	case h.Err != nil:
		t.report.Unheard++
	case h.Served == "":
		t.report.Turned++
	default:
		t.report.Served++
		if was, ok := t.served[id]; ok && was != h.Served {
			t.report.Differ = append(t.report.Differ, fmt.Sprintf("%v: %q and %q", id, was, h.Served))
		}
		t.served[id] = h.Served
	}
}

// readBack asks an agent for every served call again, another where it has none: every answer
// that a caller heard must be given to whoever asks later.
func (t *town) readBack(ctx context.Context) (lost []string) {
	names := t.Names()
	for id, want := range t.served {
		var h lab.CallResult
		for i := 0; i < 3*len(names) && ctx.Err() == nil; i++ {
			if h = lab.SetUpCall(t.Agents[names[(int(id)+i)%len(names)]].Listen, id); h.Served != "" {
				break
			}
			time.Sleep(min(h.Away, 200*time.Millisecond))
		}
		if h.Served != want {
			lost = append(lost, fmt.Sprintf("%v: served %q, now %+v", id, want, h))
		}
	}
	return lost
}

func (t *town) any() string { return t.Names()[t.rng.IntN(len(t.Agents))] }

// settle waits until every running agent sees a leader in every group.
func (t *town) settle(ctx context.Context) error {
	for _, name := range t.Names() {
		if t.Agents[name].Running() {
			if err := t.AwaitLeaders(ctx, name); err != nil {
				return err
			}
		}
	}
	return nil
}

// progress waits until n more calls were served; an error says who is waited for.
func (t *town) progress(ctx context.Context, n int) error {
	return lab.AwaitProgress(ctx, func() int {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.report.Served
	}, n, "calls served", func() (said string) {
		for _, name := range t.Names() {
			said += fmt.Sprintf("%s runs %v: %s", name, t.Agents[name].Running(), t.ConsoleCommand(name, "PROMISES"))
		}
		return said
	})
}

func (t *town) kill(ctx context.Context) error {
	name := t.any()
	t.Agents[name].Kill()
	if err := t.progress(ctx, 10); err != nil {
		return err
	}
	if err := t.Start(name); err != nil {
		return err
	}
	return t.settle(ctx)
}

// lose is an agent's machine gone with its disk; the operators' command brings it back.
func (t *town) lose(ctx context.Context) error {
	name := t.any()
	if err := t.KillAndWipe(name); err != nil {
		return err
	}
	if err := t.progress(ctx, 10); err != nil {
		return err
	}
	if err := t.settle(ctx); err != nil {
		return err
	}
	if err := t.ReplaceLost(ctx, name); err != nil {
		return err
	}
	return t.settle(ctx)
}

func (t *town) cutOne(ctx context.Context) error { return t.cut(ctx, t.any()) }

func (t *town) cutTwo(ctx context.Context) error { return t.cut(ctx, t.any(), t.any()) }

func (t *town) cut(ctx context.Context, names ...string) error {
	t.Partition(names...)
	if err := t.progress(ctx, 10); err != nil {
		return err
	}
	t.Partition()
	return t.settle(ctx)
}

func (t *town) restart(ctx context.Context) error {
	for _, name := range t.Names() {
		t.Agents[name].Stop()
		if err := t.Start(name); err != nil {
			return err
		}
		if err := t.settle(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (t *town) dark(ctx context.Context) error {
	var down sync.WaitGroup
	for _, a := range t.Agents {
		down.Go(a.Kill)
	}
	down.Wait()
	for _, name := range t.Names() {
		if err := t.Start(name); err != nil {
			return err
		}
	}
	return t.settle(ctx)
}

func (t *town) slow(ctx context.Context) error {
	all := func(string, string) bool { return true }
	t.Delay(25*time.Millisecond, all)
	if err := t.progress(ctx, 10); err != nil {
		return err
	}
	t.Delay(0, all)
	return t.settle(ctx)
}
