package labcli

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"woodrouter/internal/lab/cluster"
	"woodrouter/internal/lab/emulator"
	"woodrouter/internal/lab/fleetlab"
)

type demoCommand struct {
	For time.Duration `help:"How long callers call." default:"5s"`
}

type fleetCommand struct {
	Agents  int           `help:"Call agents, each a process." default:"300"`
	Servers int           `help:"Setup servers." default:"24"`
	Seed    uint64        `help:"Draws the loads and the faults." default:"1"`
	Load    float64       `help:"Load, of what the servers can take together." default:"0.85"`
	Choice  float64       `help:"How unevenly calls name a setup server of first choice (coefficient of variation); negative: they name none." default:"-1"`
	Calm    time.Duration `help:"Length of the calm, and of each fault with what follows it." default:"15s"`
	Faults  []string      `help:"Faults in their order; all if not given, none: no fault." placeholder:"NAME,..."`
	Policy  []string      `help:"What is played on the same seed: agent, alone, common, random, least, dispatcher." default:"alone"`
	Windows bool          `help:"Tell of every window." default:"true" negatable:""`
}

// run starts two agents against three setup servers and shows calls being served.
func (c demoCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	d := emulator.Campus()
	ctx, cancel := context.WithTimeout(ctx, c.For+time.Minute)
	defer cancel()
	agents, err := cluster.Start(ctx, cluster.Config{Bin: bin, Dir: dir, Deployment: d, Agents: 2, Servers: 3, Seed: 1})
	if err != nil {
		return err
	}
	defer agents.Close()
	fmt.Fprintf(out, "two call agents at %s and %s, three setup servers, %.0f calls a second\n", agents.Addr(0), agents.Addr(1), 0.6*d.Total(3))
	calls := agents.StartCallers(ctx, emulator.Load{Rates: emulator.UnevenRates(2, 0.6*d.Total(3), 1), Seed: 1, ChoiceVariation: 0.3, ChoicePeriod: 5 * time.Second})
	fleetlab.Pause(ctx, c.For)
	calls.Wait()
	sum, _ := calls.Tally()
	fmt.Fprintf(out, "%d calls: %d stood in time, %d late, %d tries refused, %d failed; %.1f%% of their worth served\n",
		sum.Calls, sum.Served, sum.Late, sum.Refused, sum.Failed, 100*sum.Share())
	for _, s := range agents.World.Listed() {
		n := s.Counts()
		fmt.Fprintf(out, "setup server %s: %d set-ups, %d stood, %d turned away\n", s.ID, n.SetUps, n.Stood, n.TurnedAway)
	}
	return agents.World.Check.Err()
}

// run plays one run for each policy and reports each. It fails if an agents' run breaks a rule; the reference
// policies may.
func (c fleetCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	broken := 0
	for _, policy := range c.Policy {
		r, err := c.newRun(policy, bin, dir)
		if err != nil {
			return err
		}
		report, err := r.Run(ctx)
		if err != nil {
			return err
		}
		report.Print(out, policy, c.Windows)
		if report.Err != nil && !isReference(policy) {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d runs broke a rule", broken)
	}
	return nil
}

// isReference reports whether a policy is one that the agents' policy is compared with.
func isReference(policy string) bool {
	return policy == fleetlab.PolicyRandom || policy == fleetlab.PolicyLeast || policy == fleetlab.PolicyDispatcher
}

// newRun returns the run for one value of --policy.
func (c fleetCommand) newRun(policy, bin, dir string) (fleetlab.Scenario, error) {
	r := fleetlab.Scenario{Bin: bin, Dir: dir, Seed: c.Seed, Agents: c.Agents, Servers: c.Servers, Load: c.Load, Choice: c.Choice, FaultSpan: c.Calm, Faults: c.Faults}
	if len(c.Faults) == 1 && c.Faults[0] == "none" {
		r.Faults = []string{}
	}
	switch {
	case policy == fleetlab.PolicyAgent:
		r.Policy = fleetlab.PolicyAgent
	case policy == "alone" || policy == "common":
		r.Policy = fleetlab.PolicyAgent
		return r, r.SetMode(policy)
	case isReference(policy):
		r.Policy = policy
	default:
		return r, fmt.Errorf("--policy %s: agent, alone, common, %s", policy, strings.Join([]string{fleetlab.PolicyRandom, fleetlab.PolicyLeast, fleetlab.PolicyDispatcher}, ", "))
	}
	return r, nil
}
