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

// AgentSchedule describes a run of faults against call agents that replicate each other's promises,
// while callers place the same calls at several agents. Equal schedules draw equal faults.
type AgentSchedule struct {
	Seed    uint64
	Agents  int // replicated in groups of three
	Steps   int
	Callers int
}

// AgentReport is the result of an AgentSchedule.
type AgentReport struct {
	AgentSchedule
	Faults                 []string
	Asked, Served, Refused int      // callers' set-ups: all, answered, and refused or failed
	Unanswered             int      // set-ups without an answer: the agent died or was cut off
	ServedCalls            int      // calls that at least one caller was told are served
	SentTwice              []string // calls that two agents sent to the server
	Conflicting            []string // calls answered with two different descriptions
	Lost                   []string // served calls that agents answer differently or not at all afterwards
	Took                   time.Duration
}

// Err returns the guarantees that the run broke, or nil.
func (r AgentReport) Err() error {
	var all []error
	for what, calls := range map[string][]string{"sent on by two agents": r.SentTwice, "served in two ways": r.Conflicting, "served, and lost": r.Lost} {
		if len(calls) > 0 {
			all = append(all, fmt.Errorf("%d calls %s: %s", len(calls), what, strings.Join(calls[:min(len(calls), 5)], "; ")))
		}
	}
	return errors.Join(all...)
}

// agentRun is the state of a running AgentSchedule: the agents, the setup server, and the answers
// that callers received.
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

// Run starts the agents under dir, injects the schedule's faults while callers place calls, then heals
// all faults and asks for every served call again.
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

func (r *agentRun) run(parent context.Context, schedule AgentSchedule) error {
	ctx, cancel := context.WithTimeout(parent, lab.ScheduleTimeout)
	defer cancel()
	if err := r.awaitAllLeaders(ctx); err != nil {
		return err
	}
	stop := make(chan struct{})
	var callers sync.WaitGroup
	for n := range schedule.Callers {
		callers.Go(func() { r.placeCalls(n, schedule, stop) })
	}
	err := r.injectFaults(ctx, schedule)
	close(stop)
	callers.Wait()
	if err != nil {
		return err
	}
	ctx, cancel = context.WithTimeout(parent, lab.ReadBackTimeout)
	defer cancel()
	r.Partition()
	// Restart with empty call tables: an agent closes a connection that asks for a call it has open.
	if err := r.rollingRestart(ctx); err != nil {
		return err
	}
	r.report.ServedCalls, r.report.SentTwice, r.report.Lost = len(r.served), r.server.SentByTwoAgents(), r.findLost(ctx)
	return nil
}

func (r *agentRun) injectFaults(ctx context.Context, schedule AgentSchedule) error {
	for _, i := range lab.DrawFaults(schedule.Seed, schedule.Steps, len(agentFaults)) {
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

// placeCalls runs caller n until stop is closed. It asks random agents for calls that other callers ask
// for too, so that most calls are asked for several times: during their set-up, while they stand, or
// while their agent dies.
func (r *agentRun) placeCalls(n int, schedule AgentSchedule, stop <-chan struct{}) {
	rng := rand.New(rand.NewPCG(schedule.Seed, uint64(100+n)))
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		default:
		}
		id := isup.CallID(1 + i/2 + rng.IntN(4)) // callers advance through the calls together
		r.recordAnswer(id, lab.SetUpCall(r.Agents[fmt.Sprintf("a%d", 1+rng.IntN(schedule.Agents))].Listen, id))
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
		if before, ok := r.served[id]; ok && before != answer.Served {
			r.report.Conflicting = append(r.report.Conflicting, fmt.Sprintf("%v: %q and %q", id, before, answer.Served))
		}
		r.served[id] = answer.Served
	}
}

// findLost asks for every served call again, trying other agents where one has no answer. It returns
// the calls that are not answered as a caller was told before.
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

// awaitAllLeaders waits until every running agent knows a leader of every group.
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

// awaitServed waits until n more calls have been served. An error includes the state of every agent.
func (r *agentRun) awaitServed(ctx context.Context, n int) error {
	return lab.AwaitProgress(ctx, func() int {
		r.mu.Lock()
		defer r.mu.Unlock()
		return r.report.Served
	}, n, "calls served", func() (state string) {
		for _, name := range r.Names() {
			state += fmt.Sprintf("%s runs %v: %s", name, r.Agents[name].Running(), r.ConsoleCommand(name, "PROMISES"))
		}
		return state
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

// replaceAgent kills an agent and wipes its disk, then replaces it with the operators' command.
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
