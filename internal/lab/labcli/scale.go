package labcli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"woodrouter/internal/lab/scalelab"
)

type scaleCommand struct {
	Run    scaleRunCommand    `cmd:"" default:"withargs" help:"Measure what control costs an agent and a control machine, over sizes of the fleet."`
	Fit    scaleFitCommand    `cmd:"" help:"Lay lines through the sizes of several runs."`
	Hollow scaleHollowCommand `cmd:"" hidden:"" help:"A helper process of a measurement: hollow agents, told what to do by its input."`
}

// run runs the subcommand whose full name is command.
func (c scaleCommand) run(ctx context.Context, command, bin, dir string, out, errs io.Writer) error {
	switch command {
	case "scale hollow":
		return scalelab.RunHelper(os.Stdin, out, slog.New(slog.NewTextHandler(errs, &slog.HandlerOptions{Level: slog.LevelError})))
	case "scale fit <files>":
		return c.Fit.run(out)
	}
	return c.Run.run(ctx, bin, dir, out, errs)
}

type scaleRunCommand struct {
	Parts      []string        `help:"Parts of control: discovery, members, spread, zones, config." default:"discovery"`
	Agents     []int           `help:"Sizes of the fleet." default:"100,200,400,730"`
	Target     int             `help:"The size to plan with: a line through the sizes is read there." default:"730"`
	By         string          `help:"Whom an agent's membership, spread and zones cover." enum:"fleet,service" default:"fleet"`
	Services   int             `help:"Services." default:"27"`
	Stewards   string          `help:"Where the stewards of spread are: among the agents, or on the control machines (by service, with config)." enum:"agents,machines" default:"agents"`
	Skew       bool            `help:"One service has a third of all agents."`
	Delay      []time.Duration `help:"Least and most delay between the two regions, each way; 0s: none." default:"30ms,150ms"`
	Servers    int             `help:"Setup servers listed." default:"24"`
	PerProcess int             `help:"Agents to a helper process." default:"50"`
	Span       time.Duration   `help:"How long each size is measured." default:"25s"`
	Warm       time.Duration   `help:"Warm-up before it, which counts in no figure." default:"10s"`
	Pace       time.Duration   `help:"Between the starts of two agents of a helper process." default:"100ms"`
	JoinMost   time.Duration   `help:"How long all may take to know all at the start." default:"60s"`
	DeathMost  time.Duration   `help:"How long all may take to know of a death; 0s: it is not waited for." default:"60s"`
	Seed       uint64          `help:"Draws the delays." default:"1"`
	JSON       string          `help:"Write all figures to this file."`
}

type scaleFitCommand struct {
	Files  []string `arg:"" help:"Files of --json, of one set of parts." type:"existingfile"`
	Target int      `help:"The size to plan with." default:"730"`
}

type scaleHollowCommand struct{}

// run measures one size after another. If a size can't be measured or reaches a time limit, its error is
// printed and the next size follows; the command then fails at the end.
func (c scaleRunCommand) run(ctx context.Context, bin, dir string, out, log io.Writer) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	plan := scalelab.Plan{Services: c.Services, Parts: c.Parts, By: c.By, Skew: c.Skew, Stewards: c.Stewards, Servers: c.Servers, PerProcess: c.PerProcess,
		Span: c.Span, Warm: c.Warm, Pace: c.Pace, JoinMost: c.JoinMost, DeathMost: c.DeathMost, Seed: c.Seed}
	switch len(c.Delay) {
	case 2:
		plan.Delay = [2]time.Duration{c.Delay[0], max(c.Delay[0], c.Delay[1])}
	case 1:
		plan.Delay = [2]time.Duration{c.Delay[0], c.Delay[0]}
	default:
		return errors.New("--delay: the least and the most")
	}
	printHeader(out)
	var sizes []scalelab.Result
	var failed error
	for _, n := range c.Agents {
		p := plan
		p.Agents = n
		r := scalelab.Run{Plan: p, Self: self, Bin: bin, Dir: filepath.Join(dir, fmt.Sprint("scale-", n)), Log: log}
		if err := os.MkdirAll(r.Dir, 0o750); err != nil {
			return err
		}
		s, err := r.Execute(ctx)
		if err != nil {
			s.Err = err.Error()
			failed = errors.Join(failed, fmt.Errorf("%d agents: %w", n, err))
		}
		s.Print(out)
		sizes = append(sizes, s)
		if c.JSON != "" { // written after each size, in case the run is interrupted
			text, err := json.MarshalIndent(runFigures{Sizes: sizes, Fits: scalelab.Fits(sizes, c.Target)}, "", " ")
			if err == nil {
				err = os.WriteFile(c.JSON, text, 0o644)
			}
			failed = errors.Join(failed, err)
		}
	}
	printFits(out, sizes, c.Target)
	return failed
}

// runFigures are the figures of a run in the file that --json names.
type runFigures struct {
	Sizes []scalelab.Result `json:"sizes"`
	Fits  []scalelab.Fit    `json:"fits"`
}

// printFits prints the lines through the sizes, if there are any.
func printFits(out io.Writer, sizes []scalelab.Result, target int) {
	fits := scalelab.Fits(sizes, target)
	if len(fits) == 0 {
		return
	}
	fmt.Fprintf(out, "\n## Lines through the sizes, %s by %s\n", strings.Join(sizes[0].Parts, "+"), sizes[0].By)
	for _, f := range fits {
		fmt.Fprintln(out, f)
	}
}

// run fits lines through the sizes of all files.
func (c scaleFitCommand) run(out io.Writer) error {
	var sizes []scalelab.Result
	for _, path := range c.Files {
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		var f runFigures
		if err := json.Unmarshal(text, &f); err != nil {
			return fmt.Errorf("%s: %w", path, err)
		}
		for _, s := range f.Sizes {
			if len(sizes) > 0 && (s.By != sizes[0].By || s.Skew != sizes[0].Skew || strings.Join(s.Parts, "+") != strings.Join(sizes[0].Parts, "+")) {
				return fmt.Errorf("%s: %v by %s is another measurement than %v by %s", path, s.Parts, s.By, sizes[0].Parts, sizes[0].By)
			}
			sizes = append(sizes, s)
		}
	}
	printFits(out, sizes, c.Target)
	return nil
}

// printHeader prints the command line, the commit if the build has it, the Go version and the machine.
func printHeader(out io.Writer) {
	fmt.Fprintf(out, "# woodlab %s\n", strings.Join(os.Args[1:], " "))
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, s := range info.Settings {
			if s.Key == "vcs.revision" || s.Key == "vcs.modified" {
				fmt.Fprintf(out, "# %s %s\n", s.Key, s.Value)
			}
		}
	}
	fmt.Fprintln(out, scalelab.Legend)
	load, _ := os.ReadFile("/proc/loadavg")
	fmt.Fprintf(out, "# %s %s/%s\n# machine: %d cores, load before %s# began %s\n", runtime.Version(), runtime.GOOS, runtime.GOARCH,
		runtime.NumCPU(), load, time.Now().UTC().Format(time.RFC3339))
}
