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
	Faults                 []string
	Asked, Served, Refused int      // set-ups of callers; answered; refused or failed
	Unanswered             int      // of which no answer came: the agent died, or was cut off
	ServedCalls            int      // that some caller heard served
	SentTwice              []string // calls that two agents sent on
	Conflicting            []string // calls served with two descriptions
	Lost                   []string // served calls that no agent answers so after the faults
	Took                   time.Duration
}

// Err names what the run broke; nil for none.
func (r AgentReport) Err() error {
	var all []error
	for what, calls := range map[string][]string{"sent on by two agents": r.SentTwice, "served in two ways": r.Conflicting, "served, and lost": r.Lost} {
		if len(calls) > 0 {
			all = append(all, fmt.Errorf("%d calls %s: %s", len(calls), what, strings.Join(calls[:min(len(calls), 5)], "; ")))
		}
	}
	return errors.Join(all...)
}

// agentRun is the agents, the setup server, and what callers heard.
type agentRun struct {
	*lab.Fleet
	server *lab.SetupServer
	rng    *rand.Rand

	mu     sync.Mutex
	served map[isup.CallID]string
	report *AgentReport
}

var agentFaults = []struct {
	name   string
	inject func(*agentRun, context.Context) error
}{
	{"agent killed", (*agentRun).killAgent},
	{"agent and disk lost, and mended", (*agentRun).replaceAgent},
	{"agent cut off", (*agentRun).isolateOne},
	{"two agents cut off", (*agentRun).isolateTwo},
	{"agents restarted in turn", (*agentRun).rollingRestart},
	{"all agents killed at once", (*agentRun).killAll},
	{"50 ms between all", (*agentRun).delayLinks},
}

// Run starts the agents under dir, plays the schedule with callers at work, and asks for every
// served call again when all is healed.
func (s AgentSchedule) Run(ctx context.Context, bin, dir string) (AgentReport, error) {
	began := time.Now()
	server := lab.NewSetupServer(s.Seed)
	defer server.Close()
	report := AgentReport{AgentSchedule: s}
	fleet, err := lab.StartFleet(bin, dir, s.Agents, s.Seed, lab.FleetConfig{Settings: json.RawMessage(lab.AgentSettings),
		Timing: replica.TimingConfig{Heartbeat: "500ms", Election: "500ms", Lease: "300ms"},
		AgentBulletin: func(name string) (string, any, error) {
			addr, err := server.ListenFor(name)
			return lab.NoBulletin, lab.ServerList(map[string]any{"name": "s0", "address": addr, "zone": "z"}), err
		}})
	if err != nil {
		return report, err
	}
	defer fleet.Close()
	run := &agentRun{Fleet: fleet, server: server, rng: rand.New(rand.NewPCG(s.Seed, 2)), served: map[isup.CallID]string{}, report: &report}
	if err := run.run(ctx, s); err != nil {
		return report, fmt.Errorf("%w (after %v)\n%s", err, report.Faults, fleet.Logs())
	}
	report.Took = time.Since(began)
	return report, nil
}

func (r *agentRun) run(parent context.Context, s AgentSchedule) error {
	ctx, cancel := context.WithTimeout(parent, lab.ScheduleTimeout)
	defer cancel()
	if err := r.awaitAllLeaders(ctx); err != nil {
		return err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range s.Callers {
		callers.Go(func() { r.placeCalls(n, s, stop) })
	}
	err := r.injectFaults(ctx, s)
	close(stop)
	callers.Wait()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(parent, lab.ReadBackTimeout)
	defer cancel()
	r.Partition()
	if err := r.rollingRestart(ctx); err != nil { // fresh tables: an agent ends a connection that asks for a call it has open
		return err
	}
	r.report.ServedCalls, r.report.SentTwice, r.report.Lost = len(r.served), r.server.SentByTwoAgents(), r.findLost(ctx)
	return nil
}

func (r *agentRun) injectFaults(ctx context.Context, s AgentSchedule) error {
	for _, i := range lab.DrawFaults(s.Seed, s.Steps, len(agentFaults)) {
		fault := agentFaults[i]
		if err := r.awaitServed(ctx, 20); err != nil {
			return err
		}
		if err := lab.RunStep(ctx, func(ctx context.Context) error { return fault.inject(r, ctx) }); err != nil {
			return fmt.Errorf("%s: %w", fault.name, err)
		}
		r.report.Faults = append(r.report.Faults, fault.name)
	}
	return r.awaitServed(ctx, 20)
}

// placeCalls is one caller: it asks random agents for calls of which others ask, too, so that most
// are asked for several times while they are set up, stand, or their agent dies.
func (r *agentRun) placeCalls(n int, s AgentSchedule, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(100+n)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := isup.CallID(1 + i/2 + rng.IntN(4)) // callers move on through the calls together
		r.recordAnswer(id, lab.SetUpCall(r.Agents[fmt.Sprintf("a%d", 1+rng.IntN(s.Agents))].Listen, id))
		time.Sleep(time.Duration(rng.IntN(20)) * time.Millisecond)
	}
}

func (r *agentRun) recordAnswer(id isup.CallID, answer lab.CallResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Asked++
	switch {
	case answer.Err != nil:
		r.report.Unanswered++
	case answer.Served == "":
		r.report.Refused++
	default:
		r.report.Served++
		if was, ok := r.served[id]; ok && was != answer.Served {
			r.report.Conflicting = append(r.report.Conflicting, fmt.Sprintf("%v: %q and %q", id, was, answer.Served))
		}
		r.served[id] = answer.Served
	}
}

// findLost asks an agent for every served call again, another where it has none: every answer
// that a caller heard must be given to whoever asks later.
func (r *agentRun) findLost(ctx context.Context) (lost []string) {
	names := r.Names()
	for id, want := range r.served {
		var answer lab.CallResult
		for i := 0; i < 3*len(names) && ctx.Err() == nil; i++ {
			if answer = lab.SetUpCall(r.Agents[names[(int(id)+i)%len(names)]].Listen, id); answer.Served != "" {
				break
			}
			time.Sleep(min(answer.Away, 200*time.Millisecond))
		}
		if answer.Served != want {
			lost = append(lost, fmt.Sprintf("%v: served %q, now %+v", id, want, answer))
		}
	}
	return lost
}

func (r *agentRun) anyAgent() string { return r.Names()[r.rng.IntN(len(r.Agents))] }

// awaitAllLeaders waits until every running agent sees a leader in every group.
func (r *agentRun) awaitAllLeaders(ctx context.Context) error {
	for _, name := range r.Names() {
		if r.Agents[name].Running() {
			if err := r.AwaitLeaders(ctx, name); err != nil {
				return err
			}
		}
	}
	return nil
}

// awaitServed waits until n more calls were served; an error says who is waited for.
func (r *agentRun) awaitServed(ctx context.Context, n int) error {
	return lab.AwaitProgress(ctx, func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.report.Served
	}, n, "calls served", func() (said string) {
		for _, name := range r.Names() {
			said += fmt.Sprintf("%s runs %v: %s", name, r.Agents[name].Running(), r.ConsoleCommand(name, "PROMISES"))
		}
		return said
	})
}

func (r *agentRun) killAgent(ctx context.Context) error {
	name := r.anyAgent()
	r.Agents[name].Kill()
	if err := r.awaitServed(ctx, 10); err != nil {
		return err
	}
	if err := r.Start(name); err != nil {
		return err
	}
	return r.awaitAllLeaders(ctx)
}

// replaceAgent is an agent's machine gone with its disk; the operators' command brings it back.
func (r *agentRun) replaceAgent(ctx context.Context) error {
	name := r.anyAgent()
	if err := r.KillAndWipe(name); err != nil {
		return err
	}
	if err := r.awaitServed(ctx, 10); err != nil {
		return err
	}
	if err := r.awaitAllLeaders(ctx); err != nil {
		return err
	}
	if err := r.ReplaceLost(ctx, name); err != nil {
		return err
	}
	return r.awaitAllLeaders(ctx)
}

func (r *agentRun) isolateOne(ctx context.Context) error { return r.isolate(ctx, r.anyAgent()) }

func (r *agentRun) isolateTwo(ctx context.Context) error {
	return r.isolate(ctx, r.anyAgent(), r.anyAgent())
}

func (r *agentRun) isolate(ctx context.Context, names ...string) error {
	r.Partition(names...)
	if err := r.awaitServed(ctx, 10); err != nil {
		return err
	}
	r.Partition()
	return r.awaitAllLeaders(ctx)
}

func (r *agentRun) rollingRestart(ctx context.Context) error {
	for _, name := range r.Names() {
		r.Agents[name].Stop()
		if err := r.Start(name); err != nil {
			return err
		}
		if err := r.awaitAllLeaders(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *agentRun) killAll(ctx context.Context) error {
	var down sync.WaitGroup
	for _, a := range r.Agents {
		down.Go(a.Kill)
	}
	down.Wait()
	for _, name := range r.Names() {
		if err := r.Start(name); err != nil {
			return err
		}
	}
	return r.awaitAllLeaders(ctx)
}

func (r *agentRun) delayLinks(ctx context.Context) error {
	all := func(string, string) bool { return true }
	r.Delay(25*time.Millisecond, all)
	if err := r.awaitServed(ctx, 10); err != nil {
		return err
	}
	r.Delay(0, all)
	return r.awaitAllLeaders(ctx)
}
