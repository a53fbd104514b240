// Package labcli is the command line of the laboratory, cmd/woodlab.
package labcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/alecthomas/kong"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/lab/chainlab"
	"woodrouter/internal/lab/promiselab"
	"woodrouter/internal/lab/zonelab"
)

// commandLine is the grammar of the command line, for kong.
type commandLine struct {
	Bin      string          `help:"The program under test; built from this module if not given." type:"existingfile"`
	Promises promisesCommand `cmd:"" help:"Replicated promises (docs/replication.md)."`
	Zones    zonesCommand    `cmd:"" help:"Zone failover (docs/failover.md)."`
	Demo     demoCommand     `cmd:"" help:"Start two call agents and three setup servers and show calls being served; nothing to configure."`
	Rollout  rolloutCommand  `cmd:"" help:"Distribution of configuration (docs/rollout.md)."`
	Fleet    fleetCommand    `cmd:"" help:"Play hundreds of call agents with faults between them; exit 1 if a rule is broken (docs/spread.md)."`
	Soak     soakCommand     `cmd:"" help:"Play short, dense fault trials of a few agents; exit 1 if a rule is broken (docs/soak.md)."`
	Clients  clientsCommand  `cmd:"" help:"Play clients that misbehave against one call agent, and measure its memory and the delay of others (docs/soak.md)."`
	Chain    chainCommand    `cmd:"" help:"Measure chains of call agents between servers without work of their own (docs/CAPACITY.md)."`
	Scale    scaleCommand    `cmd:"" help:"Measure what control costs a fleet at size, with hollow agents (docs/CAPACITY.md)."`
}

type promisesCommand struct {
	Schedules schedulesCommand `cmd:"" help:"Play random fault schedules; exit 1 if any loses a promise or is not linearizable."`
	Agents    agentsCommand    `cmd:"" help:"Play random fault schedules against call agents with callers at work; exit 1 if any call is sent on by two agents, served in two ways, or lost."`
	Measure   measureCommand   `cmd:"" help:"Measure commit latency, promises a second, time to a new leader, and catch-up."`
}

type zonesCommand struct {
	Model     zonesModelCommand     `cmd:"" help:"Model fleets of 10, 100 and 300 agents: decided in common against each alone."`
	Schedules zonesSchedulesCommand `cmd:"" help:"Play random fault schedules against agents in zones; exit 1 if a call is sent to two zones, or not home in calm, or the agents do not settle in one epoch."`
	Cost      zonesCostCommand      `cmd:"" help:"Measure membership by gossip at 10, 100 and 300 agents in one process."`
}

type zonesModelCommand struct {
	Seed uint64 `help:"The runs' seed." default:"1"`
	Plot string `help:"Draw the calls lost to this PNG file."`
}

type zonesSchedulesCommand struct {
	Count    int    `help:"Schedules to play." default:"30"`
	Seed     uint64 `help:"The first schedule's seed; each next one has the next." default:"1"`
	Agents   int    `help:"Call agents, in groups of three and four zones." default:"6"`
	Steps    int    `help:"Faults in each schedule." default:"5"`
	Parallel int    `help:"Schedules at once." default:"2"`
}

type zonesCostCommand struct {
	Span time.Duration `help:"How long each size gossips." default:"20s"`
}

// schedulesCommand is the command promises schedules.
type schedulesCommand struct {
	Count    int    `help:"Schedules to play." default:"200"`
	Seed     uint64 `help:"The first schedule's seed; each next one has the next." default:"1"`
	Members  int    `help:"Members of each group." default:"3"`
	Steps    int    `help:"Faults in each schedule." default:"6"`
	Clients  int    `help:"Clients at work." default:"3"`
	Parallel int    `help:"Schedules at once." default:"2"`
	JSON     string `help:"Write each schedule's report to this file, a line each."`
}

// agentsCommand is the command promises agents.
type agentsCommand struct {
	Count    int    `help:"Schedules to play." default:"50"`
	Seed     uint64 `help:"The first schedule's seed; each next one has the next." default:"1"`
	Agents   int    `help:"Call agents, in groups of three." default:"6"`
	Steps    int    `help:"Faults in each schedule." default:"5"`
	Callers  int    `help:"Callers at work." default:"4"`
	Parallel int    `help:"Schedules at once." default:"2"`
}

// measureCommand is the command promises measure.
type measureCommand struct {
	Promises int           `help:"Promises for each latency figure; ten times as many for throughput." default:"1000"`
	Kills    int           `help:"Leaders killed." default:"10"`
	Sizes    []int         `help:"Resolutions held when a disk is wiped." default:"1000,10000,100000"`
	Delay    time.Duration `help:"Delay of each link, each way, for the second latency figure." default:"20ms"`
	Only     []string      `help:"Parts: latency, throughput, leader, catch-up; all if not given." enum:"latency,throughput,leader,catch-up"`
}

// Main runs a command and returns its exit code: 0 if the run found no fault, 1 otherwise.
func Main(args []string, out, errs io.Writer) int {
	var cli commandLine
	parser, err := kong.New(&cli, kong.Name("woodlab"), kong.Writers(out, errs),
		kong.Description("Laboratory: long fault schedules and measurements of many processes on loopback."))
	if err != nil {
		panic(err) // the grammar is invalid, which is a programming error
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errs, "woodlab:", err)
		return 1
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if r := cli.Chain.Relay; r.Server != "" { // it needs no program and no directory, and runs until it is killed
		fmt.Fprintln(errs, "woodlab:", chainlab.Relay(ctx, r.Listen, r.Server))
		return 1
	}
	dir, err := os.MkdirTemp("", "woodlab")
	if err != nil {
		fmt.Fprintln(errs, "woodlab:", err)
		return 1
	}
	defer os.RemoveAll(dir)
	if cli.Bin == "" && !slices.Contains([]string{"zones model", "zones cost"}, parsed.Command()) {
		cli.Bin, err = findProgram(dir)
	}
	if err == nil {
		switch parsed.Command() {
		case "promises schedules":
			err = cli.Promises.Schedules.run(ctx, cli.Bin, dir, out)
		case "zones schedules":
			err = cli.Zones.Schedules.run(ctx, cli.Bin, dir, out)
		case "demo":
			err = cli.Demo.run(ctx, cli.Bin, dir, out)
		case "soak":
			err = cli.Soak.run(ctx, cli.Bin, dir, out)
		case "clients":
			err = cli.Clients.run(ctx, cli.Bin, dir, out)
		case "fleet":
			err = cli.Fleet.run(ctx, cli.Bin, dir, out)
		case "chain path", "chain ramp", "chain memory", "chain lists":
			err = cli.Chain.run(ctx, parsed.Command(), cli.Bin, dir, out)
		case "scale run", "scale hollow", "scale fit <files>":
			err = cli.Scale.run(ctx, parsed.Command(), cli.Bin, dir, out, errs)
		case "rollout measure":
			err = cli.Rollout.Measure.run(ctx, cli.Bin, dir, out)
		case "rollout schedules":
			err = cli.Rollout.Schedules.run(ctx, cli.Bin, dir, out)
		case "zones model":
			err = zonelab.ReportFaults(out, cli.Zones.Model.Seed, cli.Zones.Model.Plot)
		case "zones cost":
			err = zonelab.ReportMembership(ctx, out, cli.Zones.Cost.Span)
		case "promises agents":
			err = cli.Promises.Agents.run(ctx, cli.Bin, dir, out)
		case "promises measure":
			m := cli.Promises.Measure
			err = promiselab.Measurement{Bin: cli.Bin, Dir: dir, Promises: m.Promises, Kills: m.Kills, Sizes: m.Sizes, Delay: m.Delay, Only: m.Only}.Run(ctx, out)
		}
	}
	if err != nil {
		fmt.Fprintln(errs, "woodlab:", err)
		return 1
	}
	return 0
}

// findProgram returns the path of the program in the same directory as this one, or else builds it from this
// module into dir.
func findProgram(dir string) (string, error) {
	if self, err := os.Executable(); err == nil {
		beside := filepath.Join(filepath.Dir(self), "woodrouter")
		if _, err := os.Stat(beside); err == nil {
			return beside, nil
		}
	}
	return faultnet.Build(dir)
}

// playSeeds plays one schedule for each seed, several at once, each in its own directory.
func playSeeds(ctx context.Context, first uint64, count, parallel int, dir string, play func(seed uint64, dir string)) {
	var work sync.WaitGroup
	next := make(chan uint64)
	for range max(parallel, 1) {
		work.Go(func() {
			for seed := range next {
				seedDir := filepath.Join(dir, fmt.Sprint("seed-", seed))
				os.MkdirAll(seedDir, 0o750)
				play(seed, seedDir)
				os.RemoveAll(seedDir)
			}
		})
	}
	for i := range count {
		if ctx.Err() != nil {
			break
		}
		next <- first + uint64(i)
	}
	close(next)
	work.Wait()
}

// run plays the schedules. It prints a line for each when it ends, and a summary.
func (c schedulesCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	var report *json.Encoder
	if c.JSON != "" {
		f, err := os.Create(c.JSON)
		if err != nil {
			return err
		}
		defer f.Close()
		report = json.NewEncoder(f)
	}
	t := scheduleSummary{out: out}
	operations, promised, lost := 0, 0, 0
	playSeeds(ctx, c.Seed, c.Count, c.Parallel, dir, func(seed uint64, where string) {
		r, err := promiselab.Schedule{Seed: seed, Members: c.Members, Steps: c.Steps, Clients: c.Clients}.Run(ctx, bin, where)
		t.add(seed, r.Faults, r.Took, errors.Join(err, r.Err()), func() string {
			operations, promised, lost = operations+r.Operations, promised+r.Promised, lost+len(r.Lost)
			if report != nil {
				report.Encode(r)
			}
			return fmt.Sprintf("%d operations, %d refused, %d promised, %d lost", r.Operations, r.Refused, r.Promised, len(r.Lost))
		})
	})
	return t.printTotals(fmt.Sprintf("%d operations, %d promises read back, %d lost", operations, promised, lost))
}

// run plays the schedules against call agents and prints a summary.
func (c agentsCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	t := scheduleSummary{out: out}
	asked, kept := 0, 0
	playSeeds(ctx, c.Seed, c.Count, c.Parallel, dir, func(seed uint64, where string) {
		r, err := promiselab.AgentSchedule{Seed: seed, Agents: c.Agents, Steps: c.Steps, Callers: c.Callers}.Run(ctx, bin, where)
		t.add(seed, r.Faults, r.Took, errors.Join(err, r.Err()), func() string {
			asked, kept = asked+r.Asked, kept+r.ServedCalls
			return fmt.Sprintf("%d asked, %d served, %d turned away, %d unheard, %d calls read back", r.Asked, r.Served, r.Refused, r.Unanswered, r.ServedCalls)
		})
	})
	return t.printTotals(fmt.Sprintf("%d set-ups asked for, %d served calls read back", asked, kept))
}

// run plays the schedules against agents in zones and prints a summary.
func (c zonesSchedulesCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	t := scheduleSummary{out: out}
	calls, moved, back := 0, hdrhistogram.New(1, 60_000, 3), hdrhistogram.New(1, 60_000, 3) // ms
	playSeeds(ctx, c.Seed, c.Count, c.Parallel, dir, func(seed uint64, where string) {
		r, err := zonelab.ZoneSchedule{Seed: seed, Agents: c.Agents, Steps: c.Steps}.Run(ctx, bin, where)
		t.add(seed, r.Faults, r.Took, errors.Join(err, r.Err()), func() string {
			calls += r.Calls
			for _, d := range r.MoveTimes {
				moved.RecordValue(d.Milliseconds())
			}
			for _, d := range r.RecoveryTimes {
				back.RecordValue(d.Milliseconds())
			}
			return fmt.Sprintf("%d calls, %d stood", r.Calls, r.Stood)
		})
	})
	fmt.Fprintf(out, "a lost zone's calls moved at all agents after p50 %d ms, longest %d ms; all local again after p50 %d ms, longest %d ms\n",
		moved.ValueAtQuantile(50), moved.Max(), back.ValueAtQuantile(50), back.Max())
	return t.printTotals(fmt.Sprintf("%d calls", calls))
}

// scheduleSummary prints the results of schedules of any kind, and counts them.
type scheduleSummary struct {
	out            io.Writer
	mu             sync.Mutex
	played, failed int
	faults         map[string]int
}

// add prints the result of a schedule. found is the rule it broke or the error that ended it. figures
// returns the text of the schedule's figures; as it is called under the lock, it may also add them up.
func (t *scheduleSummary) add(seed uint64, faults []string, took time.Duration, found error, figures func() string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.played++
	if t.faults == nil {
		t.faults = map[string]int{}
	}
	for _, f := range faults {
		t.faults[f]++
	}
	verdict := "ok"
	if found != nil {
		t.failed++
		verdict = "FAILED: " + found.Error()
	}
	fmt.Fprintf(t.out, "seed %d: %s, %v: %s\n", seed, figures(), took.Round(time.Millisecond), verdict)
}

// printTotals prints the number of each fault, and a summary line with sum, the text of the figures' sums. It
// returns an error if any schedule failed.
func (t *scheduleSummary) printTotals(sum string) error {
	for _, f := range slices.Sorted(maps.Keys(t.faults)) {
		fmt.Fprintf(t.out, "%5d x %s\n", t.faults[f], f)
	}
	fmt.Fprintf(t.out, "%d schedules, %s, %d schedules failed\n", t.played, sum, t.failed)
	if t.failed > 0 {
		return fmt.Errorf("%d of %d schedules failed", t.failed, t.played)
	}
	return nil
}
