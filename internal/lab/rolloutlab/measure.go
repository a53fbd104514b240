package rolloutlab

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Measurement is how long changes take to all agents of a fleet.
type Measurement struct {
	Bin, Dir  string
	Hollow    int
	Real      int
	Changes   int // in calm, one after another
	Faults    int // further changes, under faults drawn from the seed
	Seed      uint64
	Delay     time.Duration
	RegionCut time.Duration
}

// Run measures and writes what it finds to out. An error is a broken check, or a run that did
// not end.
func (m Measurement) Run(ctx context.Context, out io.Writer) error {
	rng := rand.New(rand.NewPCG(m.Seed, 2))
	w, err := Start(ctx, Config{Bin: m.Bin, Dir: m.Dir, Hollow: m.Hollow, Real: m.Real, Seed: m.Seed, Delay: m.Delay})
	if err != nil {
		return err
	}
	defer w.Close()
	r := Report{Schedule: Schedule{Seed: m.Seed, Hollow: m.Hollow, Real: m.Real, Delay: m.Delay, RegionCut: m.RegionCut}}
	c := &scenario{Fleet: w, Schedule: r.Schedule, rng: rng, ann: w.newAuthor("ann"), bob: w.newAuthor("bob"), report: &r}
	err = c.measure(ctx, m)
	c.finish()
	r.Print(out, m.Faults > 0)
	if err != nil {
		err = fmt.Errorf("%w\n%s", err, w.Logs())
	}
	if broken := r.Err(); broken != nil {
		return fmt.Errorf("%w (run: %v)\n%s", broken, err, w.Logs())
	}
	return err
}

func (c *scenario) measure(ctx context.Context, m Measurement) error {
	if err := c.changeForAll(ctx); err != nil {
		return err
	}
	if err := c.AwaitSettled(ctx); err != nil {
		return err
	}
	for range m.Changes {
		if err := c.changeForAll(ctx); err != nil {
			return err
		}
		if err := c.AwaitSettled(ctx); err != nil {
			return err
		}
	}
	for i := 0; m.Faults > 0 && (i < len(faults) || c.History.OutcomeCounts()[Committed] < 1+m.Changes+m.Faults); i++ { // each fault once at least
		f := faults[i%len(faults)]
		if i >= len(faults) {
			f = faults[c.rng.IntN(len(faults))]
		}
		if err := c.injectAndSettle(ctx, i, f); err != nil {
			return fmt.Errorf("%s: %w", f.name, err)
		}
	}
	return nil
}

// Print writes what a run showed.
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

// newHistogram holds microseconds up to five minutes with three digits.
func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, (5 * time.Minute).Microseconds(), 3)
}

func recordDelay(h *hdrhistogram.Histogram, d time.Duration) { _ = h.RecordValue(d.Microseconds()) } // beyond five minutes: the run ended

func formatMillis(us int64) string { return fmt.Sprintf("%.1f ms", float64(us)/1000) }
