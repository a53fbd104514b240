package daemon

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"woodrouter/internal/loglimit"
	"woodrouter/internal/plan"
)

// Exit codes. The command plan returns exitChanges if there are changes.
const (
	exitOK = iota
	exitError
	exitChanges
)

// maxLogLinesPerSecond limits the log lines of one kind.
const maxLogLinesPerSecond = 20

// Main runs the program and returns its exit code. Without a command it runs the call agent, as the deploy
// file's `exec bin/woodrouter` does.
func Main(args []string, env func(string) string, stdout, stderr io.Writer) (code int) {
	cli := commandLine{env: env, stdout: stdout, stderr: stderr}
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exitStatus)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	parser, err := kong.New(&cli, kong.Name("woodrouter"),
		kong.Description("A call agent: takes lesson calls, chooses a setup server for each, and tells the caller."),
		kong.Writers(stdout, stderr), kong.Exit(func(c int) { panic(exitStatus(c)) }),
		kong.Vars{"state": cmp.Or(env("WOODROUTER_STATE"), "woodrouter.state.json"), "config": env("PROXY_CONFIG")})
	if err != nil {
		panic(err) // the command structs are invalid: a program error
	}
	ctx, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(stderr, "woodrouter:", err)
		return exitError
	}
	code, err = cli.dispatch(ctx.Command())
	if err != nil {
		fmt.Fprintln(stderr, "woodrouter:", err)
		return exitError
	}
	return code
}

// exitStatus is the panic value by which kong's exit code, as after --help, leaves the parser.
type exitStatus int

func serve(env func(string) string, logs io.Writer, level slog.Level, json bool) error {
	// Signals are handled before anything else: one that arrives before the program is ready must neither
	// kill it nor be lost.
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	defer signal.Stop(hangUps)
	if env("PROXY_CONFIG") == "" {
		return errors.New("no configuration: set PROXY_CONFIG to the platform's file, or see a call served without one: woodlab demo")
	}
	cfg, err := ReadConfig(env("PROXY_CONFIG"))
	if err != nil {
		return err
	}
	if cfg.source, err = parseSource(env("WOODROUTER_SOURCE")); err != nil {
		return err
	}
	cfg.State, cfg.Callers, cfg.Routes = env("WOODROUTER_STATE"), env("PROXY_FD"), env("WOODROUTER_ROUTES")
	cfg.Spread, cfg.Rollout = env("WOODROUTER_SPREAD"), env("WOODROUTER_ROLLOUT")
	cfg.Promises, cfg.Failover = env("WOODROUTER_PROMISES"), env("WOODROUTER_FAILOVER")
	cfg.Console = cmp.Or(cfg.Console, env("PROXY_CONSOLE"))
	options := &slog.HandlerOptions{Level: level}
	var handler slog.Handler = slog.NewTextHandler(logs, options)
	if json {
		handler = slog.NewJSONHandler(logs, options)
	}
	log := slog.New(loglimit.New(handler, maxLogLinesPerSecond))
	Limit(cfg.Limits)
	d, err := New(cfg, log)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-hangUps:
				d.Reload()
			case <-ctx.Done(): // a reload during a stop would be of no use
				return
			}
		}
	}()
	return d.Run(ctx)
}

func makePlan(state, file, desiredFile string, out io.Writer) (int, error) {
	desired, err := plan.ReadDesired(desiredFile)
	if err != nil {
		return exitError, err
	}
	p, err := plan.Make(state, desired)
	if err != nil {
		return exitError, err
	}
	if err := p.Write(file); err != nil {
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

func applyPlan(file string, out io.Writer) error {
	p, err := plan.Read(file)
	if err != nil {
		return err
	}
	if err := p.Apply(); err != nil {
		return err
	}
	fmt.Fprintf(out, "applied %d changes to %s\n", len(p.Changes), p.State)
	return nil
}
