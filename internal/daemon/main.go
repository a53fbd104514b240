package daemon

import (
	"cmp"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"woodrouter/internal/plan"
	"woodrouter/internal/quiet"
)

// Exit codes; plan tells of changes by one of its own.
const (
	exitOK = iota
	exitError
	exitChanges
)

// logMost is how many lines of one kind a second may have.
const logMost = 20

const usage = `usage:
  woodrouter                                     run the call agent; PROXY_CONFIG names its configuration
  woodrouter plan [-state S] -out P FILE.toml    show what applying FILE.toml would change; exit 0 none, 2 changes, 1 error
  woodrouter apply P                             apply a plan, unless the state has changed since
The daemon reads the state file that WOODROUTER_STATE names, at its start and on SIGHUP.
`

// Main is the program; it returns the exit code.
func Main(args []string, env func(string) string, out, errs io.Writer) int {
	code, err := exitOK, error(nil)
	switch {
	case len(args) == 0:
		err = serve(env, errs)
	case args[0] == "plan":
		code, err = makePlan(args[1:], env, out, errs)
	case args[0] == "apply":
		err = applyPlan(args[1:], out)
	default:
		fmt.Fprint(errs, usage)
		return exitError
	}
	if err != nil {
		fmt.Fprintln(errs, "woodrouter:", err)
		return exitError
	}
	return code
}

func serve(env func(string) string, logs io.Writer) error {
	cfg, err := ReadConfig(env("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	cfg.State, cfg.Callers = env("WOODROUTER_STATE"), env("PROXY_FD")
	cfg.Console = cmp.Or(cfg.Console, env("PROXY_CONSOLE"))
	level := slog.LevelInfo
	if env("WOODROUTER_LOG") == "debug" {
		level = slog.LevelDebug
	}
	log := slog.New(quiet.New(slog.NewTextHandler(logs, &slog.HandlerOptions{Level: level}), logMost))
	Limit(cfg.Limits)
	d, err := New(cfg, log)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	go func() {
		for range hangUps {
			d.Reload()
		}
	}()
	return d.Run(ctx)
}

func makePlan(args []string, env func(string) string, out, errs io.Writer) (int, error) {
	flags := flag.NewFlagSet("plan", flag.ContinueOnError)
	flags.SetOutput(errs)
	file := flags.String("out", "", "where to write the plan")
	state := flags.String("state", env("WOODROUTER_STATE"), "the state file")
	if err := flags.Parse(args); err != nil {
		return exitError, err
	}
	if *state == "" {
		*state = "woodrouter.state.json"
	}
	if *file == "" || flags.NArg() != 1 {
		return exitError, errors.New("plan needs -out and one operator's file")
	}
	desired, err := plan.ReadDesired(flags.Arg(0))
	if err != nil {
		return exitError, err
	}
	p, err := plan.Make(*state, desired)
	if err != nil {
		return exitError, err
	}
	if err := p.Write(*file); err != nil {
		return exitError, err
	}
	for _, c := range p.Changes {
		fmt.Fprintln(out, c)
	}
	if len(p.Changes) == 0 {
		fmt.Fprintln(out, "no changes")
		return exitOK, nil
	}
	return exitChanges, nil
}

func applyPlan(args []string, out io.Writer) error {
	if len(args) != 1 {
		return errors.New("apply needs one plan")
	}
	p, err := plan.Read(args[0])
	if err != nil {
		return err
	}
	if err := p.Apply(); err != nil {
		return err
	}
	fmt.Fprintf(out, "applied %d changes to %s\n", len(p.Changes), p.State)
	return nil
}
