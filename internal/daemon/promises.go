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

// promises is the part of an agent that copies what it promises to further agents, and keeps
// what others promise where it is a member of a group (docs/replication.md). Off unless
// WOODROUTER_PROMISES names its file.
type promises struct {
	keeper *promisestore.Store
	log    *slog.Logger
	cfg    atomic.Pointer[promisestore.Config]
	node   atomic.Pointer[replica.Node] // nil: no part in a group, or none yet
}

func (p *promises) ring() shard.Ring { return p.cfg.Load().Ring }

// member is the id of this agent's part in a group; "": none.
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
	p := &promises{keeper: promisestore.New(cmp.Or(file.Name, cfg.Name), log), log: log}
	p.applyFile(file)
	return p, nil
}

func (p *promises) applyFile(file promisestore.Config) {
	for _, found := range file.Ring.CheckZones() {
		p.log.Warn("ring: a zone's loss would stop a group", "found", found)
	}
	p.cfg.Store(&file)
	p.keeper.SetRings(file.Ring, file.Previous)
	p.log.Info("ring taken", "version", file.Ring.Version, "groups", len(file.Ring.Groups), "replaces", file.Previous != nil)
}

// reload takes a changed file: its rings at once, the rest at the next start. A ring older
// than the one in force is refused, as claims by it may be fenced off.
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
		p.log.Warn("promises: name, member and calls hold from the next start")
		next.Name, next.Member, next.Calls = current.Name, current.Member, current.Calls
	}
	if !reflect.DeepEqual(next.Ring, current.Ring) || !reflect.DeepEqual(next.Previous, current.Previous) {
		p.applyFile(next)
	}
	return nil
}

// openPromises starts the agent's part in its group and takes up an order that was kept for it.
func (d *Daemon) openPromises(ctx context.Context) (closeAll func(), err error) {
	if d.promises == nil {
		return func() {}, nil
	}
	closeAll = d.promises.keeper.Close
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
			d.promises.keeper.Close()
			ln.Close()
			n.Close()
		}
	}
	go d.restoreDrain(ctx)
	return closeAll, nil
}

// restoreDrainInterval is how often an agent asks whether it is under an order while no group answers.
const restoreDrainInterval = 500 * time.Millisecond

// restoreDrain drains this agent where a drain of it was promised before its start, and keeps the
// versions it runs by. Until a group answers, calls are refused for want of a quorum anyway.
func (d *Daemon) restoreDrain(ctx context.Context) {
	for {
		drained, err := d.promises.keeper.Drained()
		if err == nil {
			if drained {
				d.log.Info("drained by an order kept before this start")
				d.startDrain()
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

// recordVersions has the groups keep which settings, routes and second front's state this agent
// runs by.
func (d *Daemon) recordVersions() {
	d.promises.keeper.RecordDigest("settings", d.cfg.Settings)
	for kind, path := range map[string]string{"routes": d.cfg.Routes, "plan": d.cfg.State} {
		if path != "" {
			d.promises.keeper.RecordVersion(kind, path)
		}
	}
}

// recordDrain has an order kept by the groups before it takes effect here. Where not every group
// is seen to have it nothing changes here: an order that is not promised would be undone by
// the next restart. A group may have it all the same; the order given again settles that.
func (d *Daemon) recordDrain(drain bool, apply func() string) func() string {
	return func() string {
		if d.promises == nil {
			return apply()
		}
		if err := d.promises.keeper.Drain(drain); err != nil {
			d.log.Warn("order not kept", "drain", drain, "error", err)
			return console.Failure + " not promised by every group, nothing changed here: " + strings.ReplaceAll(err.Error(), "\n", "; ")
		}
		return apply()
	}
}

// writeStats are the lines of STATS about promises.
func (p *promises) writeStats(line func(kind string, n int64, name string)) {
	c := &p.keeper.Counts
	line("c", c.Claimed.Load(), "promises_claimed")
	line("c", c.Stored.Load(), "promises_kept")
	line("c", c.Adopted.Load(), "promises_echoed")
	line("c", c.NotStored.Load(), "promises_unkept")
	line("c", c.StaleRing.Load(), "promises_stale_ring")
	line("c", c.Ended.Load(), "promises_ended")
	line("c", c.EndsDropped.Load(), "promises_ends_dropped")
}

// promisesAnswer words what each group tells through its leader.
func (d *Daemon) promisesAnswer() string {
	if d.promises == nil {
		return console.Failure + " promises are kept by this process alone"
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	views := d.promises.keeper.Overview(ctx)
	var b strings.Builder
	for _, id := range slices.Sorted(maps.Keys(views)) {
		fmt.Fprintln(&b, groupLine(id, views[id]))
	}
	return b.String() + console.End
}

// groupLine words a group's state in a line.
func groupLine(id string, v promisestore.GroupStatus) string {
	if v.Err != nil {
		return fmt.Sprintf("group %s: no leader within reach: %v", id, v.Err)
	}
	return fmt.Sprintf("group %s: leader %s, applied %d, claims %d, calls %d, fence %d, zone epoch %d, drained %v, members %v",
		id, v.ID, v.Applied, v.Claims, v.Calls, v.Fence, v.Epoch, v.Drained, v.Members)
}
