package labcli

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"

	"woodrouter/internal/lab/soaklab"
)

// soakCommand is the command soak.
type soakCommand struct {
	Count    int           `help:"Trials to play." default:"50"`
	Seed     uint64        `help:"The first trial's seed; each next one has the next." default:"1"`
	Span     time.Duration `help:"How long callers place calls and faults begin, in each trial." default:"10s"`
	Parallel int           `help:"Trials at once." default:"3"`
	Faults   []string      `help:"Kinds of faults; all if not given, none: no fault." placeholder:"NAME,..."`
	Logs     string        `help:"Write the agents' logs of trials that broke a rule to this folder."`
}

// run plays the trials and prints a line for each. It fails if any of them broke a rule.
func (c soakCommand) run(ctx context.Context, bin, dir string, out io.Writer) error {
	seeds := make(chan uint64)
	var printing sync.Mutex
	var work sync.WaitGroup
	failed, tries, stops := 0, 0, 0
	for range max(c.Parallel, 1) {
		work.Go(func() {
			for seed := range seeds {
				report, err := c.play(ctx, bin, dir, seed)
				printing.Lock()
				tries, stops = tries+report.Tries, stops+report.Stops
				if !c.print(out, report, err) {
					failed++
				}
				printing.Unlock()
			}
		})
	}
	for i := range uint64(c.Count) {
		seeds <- c.Seed + i
	}
	close(seeds)
	work.Wait()
	fmt.Fprintf(out, "%d trials, %d tries of calls, %d shutdowns: %d trials failed\n", c.Count, tries, stops, failed)
	if failed > 0 {
		return fmt.Errorf("%d of %d trials failed", failed, c.Count)
	}
	return nil
}

func (c soakCommand) play(ctx context.Context, bin, dir string, seed uint64) (soaklab.Report, error) {
	trialDir := filepath.Join(dir, fmt.Sprintf("soak-%d", seed))
	if err := os.MkdirAll(trialDir, 0o700); err != nil {
		return soaklab.Report{Seed: seed}, err
	}
	report, err := soaklab.Run(ctx, soaklab.Config{Bin: bin, Dir: trialDir, Seed: seed, Span: c.Span, Faults: c.Faults})
	if err == nil && len(report.Violations) > 0 && c.Logs != "" {
		if err := os.MkdirAll(c.Logs, 0o700); err != nil {
			return report, err
		}
		err = os.WriteFile(filepath.Join(c.Logs, fmt.Sprintf("seed-%d.log", seed)), []byte(report.Log), 0o600)
	}
	return report, err
}

// print prints a trial and reports whether it kept all rules.
func (c soakCommand) print(out io.Writer, r soaklab.Report, err error) bool {
	crowd := ""
	if r.Crowd {
		crowd = ", crowd"
	}
	fmt.Fprintf(out, "seed %d: %s, %d agents, %d servers%s: %d tries, %d served, %d shutdowns, delay %v, %d rules broken\n", r.Seed, r.Deployment, r.Agents, r.Servers, crowd, r.Tries, r.Served, r.Stops, r.MaxDelay.Round(time.Millisecond), len(r.Violations))
	if err != nil {
		fmt.Fprintf(out, "  not played: %v\n", err)
		return false
	}
	for _, v := range r.Violations {
		fmt.Fprintf(out, "  %v\n", v)
	}
	if len(r.Violations) > 0 {
		for _, f := range r.Faults {
			fmt.Fprintf(out, "    %s\n", f)
		}
	}
	return len(r.Violations) == 0
}
