package rolloutlab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Measurement measures how long changes take to reach all agents of a fleet.
type Measurement struct {
	Bin, Dir  string
	Hollow    int
	Real      int
	Changes   int // changes without faults, one after another
	Faults    int // least number of further changes, made while faults drawn from the seed are injected
	Seed      uint64
	Delay     time.Duration
	RegionCut time.Duration
}

// Run measures and writes the results to out. An error means that a check found a violation or that the run
// did not complete.
func (m Measurement) Run(ctx context.Context, out io.Writer) error {
	rng := rand.New(rand.NewPCG(m.Seed, 2))
	f, err := Start(ctx, Config{Bin: m.Bin, Dir: m.Dir, Hollow: m.Hollow, Real: m.Real, Seed: m.Seed, Delay: m.Delay})
	if err != nil {
		return err
	}
	defer f.Close()
	r := Report{Schedule: Schedule{Seed: m.Seed, Hollow: m.Hollow, Real: m.Real, Delay: m.Delay, RegionCut: m.RegionCut}}
	run := &scenario{Fleet: f, Schedule: r.Schedule, rng: rng, ann: f.newAuthor("ann"), bob: f.newAuthor("bob"), report: &r}
	err = run.measure(ctx, m)
	run.finish()
	r.Print(out, m.Faults > 0)
	if err != nil {
		err = fmt.Errorf("%w\n%s", err, f.Logs())
	}
	if broken := r.Err(); broken != nil {
		return fmt.Errorf("%w (run: %v)\n%s", broken, err, f.Logs())
	}
	return err
}

// measure makes the changes without faults and then injects the faults.
func (s *scenario) measure(ctx context.Context, m Measurement) error {
	if err := s.changeForAll(ctx); err != nil {
		return err
	}
	if err := s.AwaitSettled(ctx); err != nil {
		return err
	}
	for range m.Changes {
		if err := s.changeForAll(ctx); err != nil {
			return err
		}
		if err := s.AwaitSettled(ctx); err != nil {
			return err
		}
	}
	// Each fault is injected at least once.
	for i := 0; m.Faults > 0 && (i < len(faults) || s.History.OutcomeCounts()[Committed] < 1+m.Changes+m.Faults); i++ {
		f := faults[i%len(faults)]
		if i >= len(faults) {
			f = faults[s.rng.IntN(len(faults))]
		}
		if err := s.injectAndSettle(ctx, i, f); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

// Print writes the report as text and a table.
func (r Report) Print(out io.Writer, faulty bool) {
	fmt.Fprintf(out, "%d hollow and %d real agents, %v between regions, seed %d; puts: %v\n", r.Hollow, r.Real, r.Delay, r.Seed, r.Puts)
	if len(r.Faults) > 0 {
		fmt.Fprintf(out, "faults: %v\n", r.Faults)
	}
	one, all, called := newHistogram(), newHistogram(), newHistogram()
	past, away, none := 0, 0, 0
	for _, s := range r.Propagations {
		away, none = away+s.NotDue, none+s.NotInForce
		if len(s.Delays) == 0 {
			continue
		}
		last := s.Delays[len(s.Delays)-1]
		recordDelay(all, last)
		recordDelay(called, last+s.AnsweredAt-s.CalledAt)
		if last > PropagationLimit {
			past++
		}
		for _, d := range s.Delays {
			recordDelay(one, d)
		}
	}
	fmt.Fprintln(out, "| in force | measured | p50 | p99 | longest |\n| --- | --- | --- | --- | --- |")
	for _, f := range []struct {
		what string
		h    *hdrhistogram.Histogram
	}{{"at every agent within reach, from the put's answer", all}, {"the same, from the put's call", called}, {"at one agent, from the put's answer", one}} {
		fmt.Fprintf(out, "| %s | %d | %s | %s | %s |\n", f.what, f.h.TotalCount(), formatMillis(f.h.ValueAtQuantile(50)), formatMillis(f.h.ValueAtQuantile(99)), formatMillis(f.h.Max()))
	}
	fmt.Fprintf(out, "changes later than %v at an agent within reach all the time: %d; agent and change: %d out of reach or out of scope, %d refused or never in force there\n", PropagationLimit, past, away, none)
	for _, slow := range r.SlowChanges() {
		fmt.Fprintln(out, "slow:", slow)
	}
	for _, b := range r.Returns {
		fmt.Fprintf(out, "%d agents back at once: all current after %v; connections by machine %v, bytes %v\n", b.Agents, b.Elapsed.Round(time.Millisecond), b.Conns, b.Bytes)
	}
	fmt.Fprintf(out, "calls at the real agents: %+v\n", r.Calls)
	fmt.Fprintf(out, "checks broken: %d; rules on the wire: %v\n", len(r.Violations), r.RuleErr)
}

// newHistogram returns a histogram of microseconds up to five minutes with three significant digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (5 * time.Minute).Microseconds(), 3)
}

// recordDelay adds a delay. The histogram refuses only delays over five minutes, when a run has ended.
func recordDelay(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(d.Microseconds()) }

func formatMillis(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }
