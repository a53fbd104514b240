package daemon

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"strings"
	"time"

	"woodrouter/internal/routefile"
	"woodrouter/internal/routes"
)

// commandLine is the program's command line, parsed by kong: commands and flags are named after the fields.
// docs/operators.md describes the commands in full.
type commandLine struct {
	Run     runCommand     `cmd:"" default:"1" help:"Run the call agent; PROXY_CONFIG names its configuration."`
	Plan    planCommand    `cmd:"" help:"Show what applying an operators' file would change; exit 0 no changes, 2 changes, 1 error."`
	Apply   applyCommand   `cmd:"" help:"Apply a plan, unless the state has changed since it was made."`
	Check   checkCommand   `cmd:"" help:"Check a file of per-route limits against the rules of the settings; exit 0 lawful, 1 refused."`
	Routes  routesCommand  `cmd:"" help:"Show which route and limits a call would get."`
	Replica replicaCommand `cmd:"" help:"Run a member of a group that replicates promises (docs/replication.md)."`

	Promises promisesCommand `cmd:"" help:"Manage the groups of agents that replicate promises."`

	env            func(string) string
	stdout, stderr io.Writer
}

type runCommand struct {
	LogLevel  string `help:"debug, info, warn or error; WOODROUTER_LOG=debug is the same as debug." enum:"debug,info,warn,error," default:""`
	LogFormat string `help:"text (key=value) or json, one line each." enum:"text,json" default:"text"`
}

type planCommand struct {
	State string `help:"The state file." default:"${state}"`
	Out   string `help:"Where to write the plan." required:""`
	File  string `arg:"" help:"The operators' file (TOML)."`
}

type applyCommand struct {
	Plan string `arg:"" help:"A plan that 'plan' wrote."`
}

type checkCommand struct {
	File   string `arg:"" help:"The file of per-route limits (YAML)."`
	Config string `help:"The configuration whose settings give the rules." default:"${config}"`
}

type routesCommand struct {
	File   string `arg:"" help:"The file of per-route limits (YAML)."`
	Config string `help:"The configuration whose settings give the rules." default:"${config}"`
	Tenant string `help:"The call's tenant."`
	Class  string `help:"The call's class." required:""`
	Number string `help:"The number called, 16 hex digits."`
}

func (c *commandLine) dispatch(command string) (int, error) {
	switch strings.Fields(command)[0] {
	case "run":
		level, err := c.Run.level(c.env("WOODROUTER_LOG"))
		if err != nil {
			return exitError, err
		}
		return exitOK, serve(c.env, c.stderr, level, c.Run.LogFormat == "json")
	case "plan":
		return makePlan(c.Plan.State, c.Plan.Out, c.Plan.File, c.stdout)
	case "apply":
		return exitOK, applyPlan(c.Apply.Plan, c.stdout)
	case "check":
		return checkRoutes(c.Check.File, c.Check.Config, c.stdout)
	case "routes":
		return lookUpRoute(c.Routes, c.stdout)
	case "promises":
		return exitOK, c.Promises.run(strings.Fields(command)[1], c.stdout)
	case "replica":
		return exitOK, runReplica(c.Replica, c.stderr)
	}
	return exitError, fmt.Errorf("no command %q", command)
}

func (r runCommand) level(fromEnv string) (slog.Level, error) {
	var level slog.Level
	name := r.LogLevel
	if name == "" {
		name = map[string]string{"debug": "debug"}[fromEnv]
	}
	if name == "" {
		return slog.LevelInfo, nil
	}
	return level, level.UnmarshalText([]byte(name))
}

// loadRoutes reads a file of per-route limits, and the rules to check it against from a configuration's
// settings and its list of setup servers.
func loadRoutes(file, config string) (*routes.Table, routes.Rules, error) {
	if config == "" {
		return nil, routes.Rules{}, errors.New("no configuration: give --config or set PROXY_CONFIG; its settings give the rules")
	}
	cfg, err := ReadConfig(config)
	if err != nil {
		return nil, routes.Rules{}, err
	}
	table, err := routefile.Load(file)
	if err != nil {
		return nil, routes.Rules{}, err
	}
	return table, routefile.Rules(cfg.info, knownPools(cfg.Known)), nil
}

func checkRoutes(file, config string, out io.Writer) (int, error) {
	table, rules, err := loadRoutes(file, config)
	if err != nil {
		return exitError, err
	}
	refused := routes.Check(table, rules)
	for _, r := range refused {
		fmt.Fprintln(out, r)
	}
	if len(refused) > 0 {
		return exitError, fmt.Errorf("%s: %d refusals", file, len(refused))
	}
	fmt.Fprintf(out, "%s: %d routes, lawful\n", file, len(table.Routes))
	return exitOK, nil
}

func lookUpRoute(c routesCommand, out io.Writer) (int, error) {
	table, rules, err := loadRoutes(c.File, c.Config)
	if err != nil {
		return exitError, err
	}
	if refused := routes.Check(table, rules); len(refused) > 0 {
		return exitError, fmt.Errorf("%s is refused (%d refusals): see 'woodrouter check'", c.File, len(refused))
	}
	route, l, ok := routes.NewIndex(table).Lookup(c.Tenant, c.Class, c.Number)
	name := "defaults"
	if ok {
		name = fmt.Sprintf("%s (line %d)", route.Name, route.Line)
	}
	fmt.Fprintf(out, "route %s: attempt_timeout %v, attempts %d, retry_spacing %v, deadline_share %g, servers %v\n",
		name, timeoutText(l.AttemptTimeout), l.Attempts, l.RetrySpacing, l.DeadlineShare, serversText(l.Servers))
	return exitOK, nil
}

func timeoutText(d time.Duration) string {
	if d == routes.UntilDeadline {
		return "deadline"
	}
	return d.String()
}

func serversText(s []int) string {
	if s == nil {
		return "those of the class"
	}
	return fmt.Sprint(s)
}
