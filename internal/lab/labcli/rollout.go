package labcli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"woodrouter/internal/lab/rolloutlab"
)

type rolloutCommand struct {
	Measure   rolloutMeasureCommand   `cmd:"" help:"Measure the time from a change to its being in force at every agent; exit 1 if a check is broken."`
	Schedules rolloutSchedulesCommand `cmd:"" help:"Play random fault schedules against control machines, agents and authors; exit 1 if any breaks a check."`
}

type rolloutMeasureCommand struct {
	Agents  int           `help:"Hollow agents: a watcher and a loader that records." default:"730"`
	Real    int           `help:"Agents that are processes with callers." default:"30"`
	Changes int           `help:"Changes in calm, one after another." default:"200"`
	Faults  int           `help:"Further changes, under faults drawn from the seed." default:"0"`
	Seed    uint64        `help:"Draws the faults." default:"1"`
	Delay   time.Duration `help:"Between the two regions, each way." default:"30ms"`
	Hour    time.Duration `help:"How long a cut between the regions lasts." default:"20s"`
}

type rolloutSchedulesCommand struct {
	Count    int           `help:"Schedules to play." default:"20"`
	Seed     uint64        `help:"The first schedule's seed; each next one has the next." default:"1"`
	Agents   int           `help:"Hollow agents." default:"60"`
	Real     int           `help:"Agents that are processes with callers." default:"3"`
	Steps    int           `help:"Faults in each schedule." default:"8"`
	Hour     time.Duration `help:"How long a cut between the regions lasts." default:"5s"`
	Only     []string      `help:"These faults in this order, instead of drawn ones." placeholder:"NAME,..."`
	Parallel int           `help:"Schedules at once." default:"2"`
}

// run makes the measurement.
func (c rolloutMeasureCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	return rolloutlab.Measurement{Bin: bin, Dir: dir, Hollow: c.Agents, Real: c.Real, Changes: c.Changes, Faults: c.Faults,
		Seed: c.Seed, Delay: c.Delay, RegionCut: c.Hour}.Run(ctx, out)
}

// run plays the schedules and prints a summary.
func (c rolloutSchedulesCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	t := scheduleSummary{out: out}
	stood, all := 0, hdrhistogram.New(1, 300_000, 3) // ms
	playSeeds(ctx, c.Seed, c.Count, c.Parallel, dir, func(seed uint64, where string) {
		r, err := rolloutlab.Schedule{Seed: seed, Hollow: c.Agents, Real: c.Real, Steps: c.Steps, RegionCut: c.Hour, Only: c.Only}.Run(ctx, bin, where)
		t.add(seed, r.Faults, r.Elapsed, errors.Join(r.Err(), err), func() string {
			stood += r.Puts[rolloutlab.Committed]
			for _, s := range r.Propagations {
				if n := len(s.Delays); n > 0 {
					all.RecordValue(s.Delays[n-1].Milliseconds())
				}
			}
			for _, slow := range r.SlowChanges() {
				fmt.Fprintf(out, "seed %d: slow: %s\n", seed, slow)
			}
			return fmt.Sprintf("puts %v, calls lost %d of %d", r.Puts, r.Calls.Lost, r.Calls.Calls)
		})
	})
	fmt.Fprintf(out, "a change was at every agent within reach after p50 %d ms, p99 %d ms, longest %d ms\n",
		all.ValueAtQuantile(50), all.ValueAtQuantile(99), all.Max())
	return t.printTotals(fmt.Sprintf("%d changes that stood", stood))
}
