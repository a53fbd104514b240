package daemon

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"reflect"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"woodrouter/internal/console"
	"woodrouter/internal/fleet/promisestore"
	"woodrouter/internal/fleet/replica"
	"woodrouter/shard"
)

// promises is an agent's part in the replication of promises (docs/replication.md): it replicates the agent's
// promises to a group of other agents and, if the agent is a member of a group, stores those of others. It is
// off unless WOODROUTER_PROMISES names its file.
type promises struct {
	store *promisestore.Store
	log   *slog.Logger
	cfg   atomic.Pointer[promisestore.Config]
	node  atomic.Pointer[replica.Node] // this agent's member of a group; nil: none, or not started yet
}

func (p *promises) ring() shard.Ring { return p.cfg.Load().Ring }

// member returns the id of this agent's member of a group; "" if it has none.
func (p *promises) member() string {
	if m := p.cfg.Load().Member; m != nil {
		return m.ID
	}
	return ""
}

func newPromises(cfg Config, log *slog.Logger) (*promises, error) {
	file, err := promisestore.LoadConfig(cfg.Promises)
	if err != nil {
		return nil, err
	}
	p := &promises{store: promisestore.New(cmp.Or(file.Name, cfg.Name), log), log: log}
	p.applyFile(file)
	return p, nil
}

// applyFile puts the rings of a file in force.
func (p *promises) applyFile(file promisestore.Config) {
	for _, found := range file.Ring.CheckZones() {
		p.log.Warn("ring: the loss of one zone would stop a group", "found", found)
	}
	p.cfg.Store(&file)
	p.store.SetRings(file.Ring, file.Previous)
	p.log.Info("ring applied", "version", file.Ring.Version, "groups", len(file.Ring.Groups), "replaces", file.Previous != nil)
}

// reload reads the promises file again and puts its rings in force at once; the rest takes effect at the next
// start. A ring older than the one in force is refused, because groups may refuse claims by it (fence).
func (p *promises) reload(path string) error {
	next, err := promisestore.LoadConfig(path)
	if err != nil {
		return err
	}
	current := p.cfg.Load()
	if next.Ring.Version < current.Ring.Version {
		return fmt.Errorf("promises: %s: field ring.version: %d is before %d, which is in force", path, next.Ring.Version, current.Ring.Version)
	}
	if next.Name != current.Name || next.StoresCalls() != current.StoresCalls() || !reflect.DeepEqual(next.Member, current.Member) {
		p.log.Warn("promises: name, member and calls take effect at the next start")
		next.Name, next.Member, next.Calls = current.Name, current.Member, current.Calls
	}
	if !reflect.DeepEqual(next.Ring, current.Ring) || !reflect.DeepEqual(next.Previous, current.Previous) {
		p.applyFile(next)
	}
	return nil
}

// openPromises starts the agent's member of its group, if it has one, and restores a replicated drain order.
func (d *Daemon) openPromises(ctx context.Context) (closeAll func(), err error) {
	if d.promises == nil {
		return func() {}, nil
	}
	closeAll = d.promises.store.Close
	if m := d.promises.cfg.Load().Member; m != nil {
		n, err := replica.Open(*m, d.log.With("member", m.ID))
		if err != nil {
			return nil, fmt.Errorf("promises: member: %w", err)
		}
		ln, err := n.Serve()
		if err != nil {
			n.Close()
			return nil, fmt.Errorf("promises: member: %w", err)
		}
		d.log.Info("member started", "member", m.ID, "raft", m.Raft, "client", ln.Addr().String(), "data", m.Data)
		d.promises.node.Store(n)
		closeAll = func() {
			d.promises.node.Store(nil)
			d.promises.store.Close()
			ln.Close()
			n.Close()
		}
	}
	go d.restoreDrain(ctx)
	return closeAll, nil
}

// restoreDrainInterval is the interval at which an agent asks for a drain order while no group answers.
const restoreDrainInterval = 500 * time.Millisecond

// restoreDrain drains this agent if a drain of it was replicated before its start, and records the versions
// of its configuration. Until a group answers, calls are refused anyway, for lack of a quorum.
func (d *Daemon) restoreDrain(ctx context.Context) {
	for {
		drained, err := d.promises.store.Drained()
		if err == nil {
			if drained {
				d.restoreDrainOrder()
			}
			d.recordVersions()
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(restoreDrainInterval):
		}
	}
}

// recordVersions replicates which versions of the settings, the routes file and the state file this agent
// uses.
func (d *Daemon) recordVersions() {
	d.promises.store.RecordDigest("settings", d.cfg.Settings)
	for kind, path := range map[string]string{"routes": d.cfg.Routes, "plan": d.cfg.State} {
		if path != "" {
			d.promises.store.RecordVersion(kind, path)
		}
	}
}

// recordDrain returns a console handler that replicates a drain order to the groups before apply carries it
// out here. Unless every group confirms the order, nothing changes here: an order that is not replicated
// would be undone by the next restart. Some groups may have stored it all the same; the operator repeats the
// order to settle that.
func (d *Daemon) recordDrain(drain bool, apply func() string) func() string {
	return func() string {
		if d.promises == nil {
			return apply()
		}
		if err := d.promises.store.Drain(drain); err != nil {
			d.log.Warn("drain order not replicated", "drain", drain, "error", err)
			return console.Failure + " not promised by every group, nothing changed here: " + strings.ReplaceAll(err.Error(), "\n", "; ")
		}
		return apply()
	}
}

// writeStats writes the lines of STATS about promises.
func (p *promises) writeStats(line func(kind string, n int64, name string)) {
	c := &p.store.Counts
	line("c", c.Claimed.Load(), "promises_claimed")
	line("c", c.Stored.Load(), "promises_kept")
	line("c", c.Adopted.Load(), "promises_echoed")
	line("c", c.NotStored.Load(), "promises_unkept")
	line("c", c.StaleRing.Load(), "promises_stale_ring")
	line("c", c.Ended.Load(), "promises_ended")
	line("c", c.EndsDropped.Load(), "promises_ends_dropped")
}

// promisesAnswer describes each group's state, as its leader reports it.
func (d *Daemon) promisesAnswer() string {
	if d.promises == nil {
		return console.Failure + " promises are kept by this process alone"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	views := d.promises.store.Overview(ctx)
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(views)) {
		fmt.Fprintln(&b, groupLine(id, views[id]))
	}
	return b.String() + console.End
}

// groupLine describes a group's state in one line.
func groupLine(id string, v promisestore.GroupStatus) string {
	if v.Err != nil {
		return fmt.Sprintf("group %s: no leader within reach: %v", id, v.Err)
	}
	return fmt.Sprintf("group %s: leader %s, applied %d, claims %d, calls %d, fence %d, zone epoch %d, drained %v, members %v",
		id, v.ID, v.Applied, v.Claims, v.Calls, v.Fence, v.Epoch, v.Drained, v.Members)
}
