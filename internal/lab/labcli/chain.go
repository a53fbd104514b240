package labcli

import (
	"context"
	"io"
	"time"

	"woodrouter/internal/lab/chainlab"
)

type chainCommand struct {
	Path   chainPathCommand   `cmd:"" help:"Measure what agents add to a call's latency, and their processor time, at one rate."`
	Ramp   chainRampCommand   `cmd:"" help:"Raise the rate until it no longer holds."`
	Memory chainMemoryCommand `cmd:"" help:"Measure an agent's memory by calls that stand or wait and by idle connections."`
	Relay  chainRelayCommand  `cmd:"" hidden:"" help:"A helper process of a measurement: passes calls on to one server, and decides nothing."`
	Lists  chainListsCommand  `cmd:"" help:"Measure how many servers of a list an agent holds within its descriptors, and what becomes of calls."`
}

type chainPathCommand struct {
	Agents []int         `help:"Lengths of the chains." default:"1,3,9,18"`
	Rate   float64       `help:"Calls a second through each chain, which each of its agents takes." default:"64"`
	Former string        `help:"An earlier program, played in turn with this one." type:"existingfile"`
	Rounds int           `help:"Times that each chain is played with agents, with bare relays and without." default:"4"`
	Warm   time.Duration `help:"Of each play, not counted." default:"500ms"`
	Span   time.Duration `help:"Of each play, counted." default:"6s"`
	Seed   uint64        `help:"Draws the arrivals." default:"1"`
}

type chainRelayCommand struct {
	Listen string `arg:""`
	Server string `arg:""`
}

type chainRampCommand struct {
	Agents []int         `help:"Lengths of the chains." default:"1,3,9,18"`
	Base   float64       `help:"Rate that counts as unloaded." default:"64"`
	First  float64       `help:"First rate." default:"200"`
	Factor float64       `help:"From one rate to the next." default:"1.5"`
	Steps  int           `help:"Most rates." default:"12"`
	Warm   time.Duration `help:"Of each play, not counted." default:"300ms"`
	Span   time.Duration `help:"Of each play, counted; five times as long unloaded." default:"2s"`
	Seed   uint64        `help:"Draws the arrivals." default:"1"`
}

type chainMemoryCommand struct {
	Step    int           `help:"Calls that stand between two looks; a fifth as many that wait, and connections." default:"5000"`
	Looks   int           `help:"Looks at each agent, the first before anything is held." default:"5"`
	Repeats int           `help:"Fresh agents." default:"2"`
	Memory  int           `help:"The agent's memory limit in MB." default:"192"`
	Rate    float64       `help:"Calls a second at which calls are set up." default:"2000"`
	Settle  time.Duration `help:"Between the last call and a look." default:"3s"`
}

type chainListsCommand struct {
	Servers  []int         `help:"Lengths of the lists." default:"27,100,300,730"`
	Sockets  []int         `help:"Limits of descriptors." default:"256,608,1024,2048"`
	Target   int           `help:"Servers that the plan has." default:"730"`
	Settle   time.Duration `help:"Most that an agent gets to connect to all." default:"5s"`
	Calm     time.Duration `help:"Counted without callers." default:"2s"`
	Patience time.Duration `help:"How long a caller waits for its answer." default:"3s"`
}

// run runs the subcommand with the given full name, such as "chain path". Main itself runs the hidden
// chain relay.
func (c chainCommand) run(ctx context.Context, command, bin, dir string, out io.Writer) error {
	switch command {
	case "chain path":
		p := c.Path
		return chainlab.Path{Bin: bin, Dir: dir, Former: p.Former, Lengths: p.Agents, Rate: p.Rate, Rounds: p.Rounds, WarmUp: p.Warm, Span: p.Span, Seed: p.Seed}.Run(ctx, out)
	case "chain ramp":
		r := c.Ramp
		return chainlab.Ramp{Bin: bin, Dir: dir, Lengths: r.Agents, Base: r.Base, First: r.First, Factor: r.Factor, Steps: r.Steps,
			WarmUp: r.Warm, Span: r.Span, Seed: r.Seed}.Run(ctx, out)
	case "chain memory":
		m := c.Memory
		return chainlab.Memory{Bin: bin, Dir: dir, Step: m.Step, Samples: m.Looks, Repeats: m.Repeats, MemoryMB: m.Memory, CallRate: m.Rate, SettleAfter: m.Settle}.Run(ctx, out)
	default:
		l := c.Lists
		return chainlab.Lists{Bin: bin, Dir: dir, Servers: l.Servers, Sockets: l.Sockets, Target: l.Target, SettleTimeout: l.Settle, QuietSpan: l.Calm, CallTimeout: l.Patience}.Run(ctx, out)
	}
}
