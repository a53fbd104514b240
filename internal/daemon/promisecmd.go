package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/fleet/promisestore"
	"woodrouter/internal/fleet/replica"
	"woodrouter/internal/yamlfile"
	"woodrouter/promise"
	"woodrouter/shard"
)

// promisesCommand has the operators' commands for replicated promises (docs/replication.md).
type promisesCommand struct {
	Check  promisesFile  `cmd:"" help:"Check a file of promises; exit 0 if it can be used."`
	Status promisesFile  `cmd:"" help:"Show each group's state as its leader reports it; exit 1 if any group has no leader."`
	Fence  promisesFile  `cmd:"" help:"Make the groups of the ring that the file replaces refuse claims by it."`
	Place  placeCommand  `cmd:"" help:"Make a ring of groups across zones from a list of agents."`
	Mend   mendCommand   `cmd:"" help:"Replace lost agents by spare ones; shows the steps, or carries them out."`
	Remove memberCommand `cmd:"" help:"Remove a member from its group."`
	Join   memberCommand `cmd:"" help:"Add a member to a group; its process must run, without bootstrap."`
}

type promisesFile struct {
	File string `arg:"" help:"The file of promises (YAML), as deploy/promises.yaml."`
}

type placeCommand struct {
	Agents string `arg:"" help:"A YAML list of agents: id, zone, raft, client."`
	Size   int    `help:"Members of a group: 3 or 5." default:"3"`
}

type mendCommand struct {
	File   string   `arg:"" help:"The file of promises in force."`
	Gone   []string `help:"Agents that are lost with their disks." required:""`
	Spares string   `help:"A YAML list of spare agents." required:""`
	Apply  bool     `help:"Carry the steps out, one after another; the spare agents must run."`
}

type memberCommand struct {
	File  string `arg:"" help:"The file of promises in force."`
	Group string `help:"The group." required:""`
	ID    string `help:"The member." required:""`
	Raft  string `help:"For join: address at which the other members reach its log (host:port)."`
}

// commandTimeout is how long an operator's command waits for the groups.
const commandTimeout = 30 * time.Second

func (c promisesCommand) run(command string, out io.Writer) error {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	switch command {
	case "check":
		return checkPromises(c.Check.File, out)
	case "status":
		return printGroupStates(ctx, c.Status.File, out)
	case "fence":
		return fencePromises(ctx, c.Fence.File, out)
	case "place":
		return c.Place.run(out)
	case "mend":
		return c.Mend.run(ctx, out)
	case "remove":
		return c.Remove.change(ctx, out, func(g *replica.Client) error { return g.Remove(ctx, c.Remove.ID) })
	case "join":
		if c.Join.Raft == "" {
			return errors.New("join: --raft is missing")
		}
		return c.Join.change(ctx, out, func(g *replica.Client) error { return g.Join(ctx, c.Join.ID, c.Join.Raft) })
	}
	return fmt.Errorf("no command promises %q", command)
}

func checkPromises(file string, out io.Writer) error {
	c, err := promisestore.LoadConfig(file)
	if err != nil {
		return err
	}
	for _, found := range c.Ring.CheckZones() {
		fmt.Fprintf(out, "%s: warning: %v\n", file, found)
	}
	fmt.Fprintf(out, "%s: ring %d of %d groups, lawful\n", file, c.Ring.Version, len(c.Ring.Groups))
	if c.Previous != nil {
		fmt.Fprintf(out, "%s: replaces ring %d of %d groups; about %.0f %% of calls move\n", file, c.Previous.Version, len(c.Previous.Groups),
			100*shard.MovedShare(*c.Previous, c.Ring, sampleCalls()))
	}
	return nil
}

// sampleCalls returns enough call ids to estimate a share of all calls to within one percent.
func sampleCalls() (out []string) {
	for i := range 10_000 {
		out = append(out, fmt.Sprintf("%016x", i+1))
	}
	return out
}

// newQueryStore returns a promise store for queries only: it is not a member of a group and claims nothing.
func newQueryStore(file string) (*promisestore.Store, promisestore.Config, error) {
	c, err := promisestore.LoadConfig(file)
	if err != nil {
		return nil, c, err
	}
	store := promisestore.New("operator", slog.New(slog.DiscardHandler))
	store.SetRings(c.Ring, c.Previous)
	return store, c, nil
}

func printGroupStates(ctx context.Context, file string, out io.Writer) error {
	store, _, err := newQueryStore(file)
	if err != nil {
		return err
	}
	defer store.Close()
	views, leaderless := store.Overview(ctx), 0
	for _, id := range slices.Sorted(maps.Keys(views)) {
		fmt.Fprintln(out, groupLine(id, views[id]))
		if views[id].Err != nil {
			leaderless++
		}
	}
	if leaderless > 0 {
		return fmt.Errorf("%d of %d groups have no leader within reach", leaderless, len(views))
	}
	return nil
}

// fencePromises makes the groups of the former ring refuse claims by agents that still use that ring. Agents
// that know both rings are not affected, because they claim at the new ring's group first.
func fencePromises(ctx context.Context, file string, out io.Writer) error {
	c, err := promisestore.LoadConfig(file)
	if err != nil {
		return err
	}
	if c.Previous == nil {
		return fmt.Errorf("%s: field previous: empty; there is no former ring to fence off", file)
	}
	for _, g := range c.Previous.Groups {
		client := promisestore.NewGroupClient(g)
		_, err := client.ProposeWithRetry(ctx, promise.Entry{Op: promise.OpFence, Ring: c.Ring.Version})
		client.Close()
		if err != nil {
			return fmt.Errorf("group %s: %w", g.ID, err)
		}
		fmt.Fprintf(out, "group %s refuses claims by rings before %d\n", g.ID, c.Ring.Version)
	}
	return nil
}

func (c placeCommand) run(out io.Writer) error {
	agents, err := yamlfile.Read[[]shard.Member](c.Agents)
	if err != nil {
		return err
	}
	ring, unassigned, err := shard.BuildRing(agents, c.Size)
	if err != nil {
		return fmt.Errorf("--size: %w", err)
	}
	if err := errors.Join(ring.Check()...); err != nil {
		return fmt.Errorf("%s: %w", c.Agents, err)
	}
	for _, found := range ring.CheckZones() {
		fmt.Fprintf(out, "# warning: %v\n", found)
	}
	for _, m := range unassigned {
		fmt.Fprintf(out, "# left over, keeps nothing for others: %s (%s)\n", m.ID, m.Zone)
	}
	text, err := yaml.Marshal(map[string]shard.Ring{"ring": ring})
	if err != nil {
		return err
	}
	_, err = out.Write(text)
	return err
}

// run prints the membership changes that replace lost agents, and the ring after them. With --apply it also
// carries them out, each once the one before is committed. A change that is already in effect does nothing,
// so an interrupted command can be repeated.
func (c mendCommand) run(ctx context.Context, out io.Writer) error {
	conf, err := promisestore.LoadConfig(c.File)
	if err != nil {
		return err
	}
	spares, err := yamlfile.Read[[]shard.Member](c.Spares)
	if err != nil {
		return err
	}
	gone := map[string]bool{}
	for _, id := range c.Gone {
		gone[id] = true
	}
	next, steps, withoutMajority := shard.ReplaceLost(conf.Ring, gone, spares)
	for _, change := range steps {
		fmt.Fprintln(out, "# "+describeChange(change))
		if !c.Apply {
			continue
		}
		g, _ := conf.Ring.Group(change.Group)
		if err := applyChange(ctx, g, change); err != nil {
			return fmt.Errorf("%s: %w", describeChange(change), err)
		}
	}
	text, err := yaml.Marshal(map[string]shard.Ring{"ring": next})
	if err != nil {
		return err
	}
	if _, err := out.Write(text); err != nil {
		return err
	}
	if len(withoutMajority) > 0 {
		return fmt.Errorf("groups %v have lost their majority: no membership change can mend them (docs/operators.md)", withoutMajority)
	}
	return nil
}

func describeChange(c shard.MembershipChange) string {
	if c.Remove != "" {
		return fmt.Sprintf("group %s: remove %s", c.Group, c.Remove)
	}
	return fmt.Sprintf("group %s: add %s (%s, %s)", c.Group, c.Add.ID, c.Add.Zone, c.Add.Raft)
}

func applyChange(ctx context.Context, g shard.Group, c shard.MembershipChange) error {
	client := promisestore.NewGroupClient(g)
	defer client.Close()
	return replica.Retry(ctx, func() error {
		if c.Remove != "" {
			return client.Remove(ctx, c.Remove)
		}
		return client.Join(ctx, c.Add.ID, c.Add.Raft)
	})
}

func (c memberCommand) change(ctx context.Context, out io.Writer, do func(*replica.Client) error) error {
	conf, err := promisestore.LoadConfig(c.File)
	if err != nil {
		return err
	}
	g, ok := conf.Ring.Group(c.Group)
	if !ok {
		return fmt.Errorf("%s: no group %q", c.File, c.Group)
	}
	client := promisestore.NewGroupClient(g)
	defer client.Close()
	if err := replica.Retry(ctx, func() error { return do(client) }); err != nil {
		return fmt.Errorf("group %s: %w", c.Group, err)
	}
	fmt.Fprintf(out, "group %s: done\n", c.Group)
	return nil
}
