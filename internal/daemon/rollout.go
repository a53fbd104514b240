package daemon

import (
	"cmp"
	"errors"
	"fmt"
	"reflect"
	"strings"
	"sync"

	"woodrouter/agent"
	"woodrouter/internal/console"
	"woodrouter/internal/fleet/placer"
	"woodrouter/internal/fleet/spreader"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/rollout"
)

// The kinds of documents that an agent can take.
const (
	kindRoutes   = "routes"
	kindFailover = "failover"
	kindSpread   = "spread"
)

var kinds = []string{kindRoutes, kindFailover, kindSpread}

// own is what the agent's own files hold, as last taken. It is in force where no distributed
// document of its kind is.
type own struct {
	mu       sync.Mutex // one change at a time, by SIGHUP or by a revision
	routes   agent.Router
	failover placer.Config
	spread   spreader.Config
	// replaced are the distributed documents in force, by kind.
	replaced map[string]rollout.Document
}

// distribution is the agent's part in the distribution of configuration (docs/rollout.md), and
// the loaders by which documents take effect: those of the start and of SIGHUP. Off unless
// WOODROUTER_ROLLOUT names its file.
type distribution struct {
	d       *Daemon
	watcher *watcher.Watcher
}

func (d *Daemon) openDistribution() error {
	file, err := watcher.LoadConfig(d.cfg.Rollout)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	file.Source = d.cfg.source
	self := rollout.Agent{Name: d.cfg.Name, Service: file.Service, Zone: cmp.Or(file.Zone, d.cfg.info.MyZone), Region: file.Region}
	d.own.replaced = map[string]rollout.Document{}
	r := &distribution{d: d}
	if r.watcher, err = watcher.Open(file, self, kinds, r, d.log); err != nil {
		return fmt.Errorf("rollout: %s: %w", d.cfg.Rollout, err)
	}
	d.distributed = r
	return nil
}

// Check proves a text as the agent would its own file at the start.
func (r *distribution) Check(kind string, text []byte) error {
	r.d.own.mu.Lock()
	defer r.d.own.mu.Unlock()
	_, err := r.prepare(kind, text)
	return err
}

// Apply puts a document in force for the calls that come from now on; those that are open keep
// what they came under.
func (r *distribution) Apply(kind string, d rollout.Document, ok bool) error {
	o := &r.d.own
	o.mu.Lock()
	defer o.mu.Unlock()
	if !ok {
		delete(o.replaced, kind)
		return r.d.applyOwn(kind)
	}
	take, err := r.prepare(kind, d.Text)
	if err == nil {
		err = take()
	}
	if err == nil {
		o.replaced[kind] = d
	}
	return err
}

// prepare proves a text, and returns what puts it in force. The kind stands for a file's name in
// messages.
func (r *distribution) prepare(kind string, text []byte) (take func() error, err error) {
	d := r.d
	switch kind {
	case kindRoutes:
		router, _, err := parseRoutes(kind, text, d.cfg)
		return func() error { d.core.SetRouter(d.route(router)); return nil }, err
	case kindFailover:
		if d.placer == nil {
			return nil, errors.New("failover: this agent follows no zones: it was started without WOODROUTER_FAILOVER")
		}
		file, err := d.own.failover.Distributed(kind, text, cmp.Or(d.own.failover.Zone, d.cfg.info.MyZone))
		if err == nil {
			if err = d.placer.CheckConfig(file); err != nil {
				err = fmt.Errorf("failover: %w", err)
			}
		}
		return func() error { return d.placer.Reconfigure(file) }, err
	case kindSpread:
		if d.spreader == nil {
			return nil, errors.New("spread: this agent spreads its load alone: it was started without WOODROUTER_SPREAD")
		}
		file, err := d.own.spread.Distributed(kind, text)
		return func() error { return d.spreader.Reconfigure(file) }, err
	}
	return nil, fmt.Errorf("no kind %q", kind)
}

// applyOwn puts the agent's own file of a kind in force again, as it was last taken.
func (d *Daemon) applyOwn(kind string) error {
	switch {
	case kind == kindRoutes:
		d.core.SetRouter(d.route(d.own.routes))
	case kind == kindFailover && d.placer != nil:
		return d.placer.Reconfigure(d.own.failover)
	case kind == kindSpread && d.spreader != nil:
		return d.spreader.Reconfigure(d.own.spread)
	}
	return nil
}

// Calls counts those that have ended, and of them the refused and failed ones.
func (r *distribution) Calls() (ended, failed uint64) {
	for _, t := range r.d.core.Tallies() {
		bad := t.Refused.Load() + t.Failed.Load()
		ended, failed = ended+uint64(t.Served.Load()+bad), failed+uint64(bad)
	}
	return ended, failed
}

// takeOwn keeps the agent's own file of a kind, which was read and proved, and puts it in force
// unless a distributed revision is. Which of the two it is, is told.
func (d *Daemon) takeOwn(kind, file string, keep func(), apply func() error) error {
	d.own.mu.Lock()
	defer d.own.mu.Unlock()
	if by, replaced := d.own.replaced[kind]; replaced {
		d.log.Warn("own file checked, not in force: a distributed revision is", "kind", kind, "file", file, "name", by.Name.String(), "revision", by.Revision)
	} else if err := apply(); err != nil {
		return err
	}
	keep()
	return nil
}

// reloadFailover reads the own file of zone failover again: topology, settings and times hold at
// once, the rest from the next start.
func (d *Daemon) reloadFailover() error {
	if d.placer == nil {
		return nil
	}
	next, err := placer.LoadConfig(d.cfg.Failover)
	if err != nil {
		return err
	}
	was := d.own.failover // mode, zone and members of it never change
	if next.Mode != was.Mode || next.Zone != was.Zone || !reflect.DeepEqual(next.Members, was.Members) {
		d.log.Warn("failover: mode, zone and members hold from the next start")
		next.Mode, next.Zone, next.Members = was.Mode, was.Zone, was.Members
	}
	if err := d.placer.CheckConfig(next); err != nil {
		return fmt.Errorf("failover: %s: %w", d.cfg.Failover, err)
	}
	return d.takeOwn(kindFailover, d.cfg.Failover, func() { d.own.failover = next }, func() error {
		d.log.Info("failover file taken", "file", d.cfg.Failover)
		return d.placer.Reconfigure(next)
	})
}

// reloadSpread reads the own file of spreading load again: the period holds at once, the rest
// from the next start.
func (d *Daemon) reloadSpread() error {
	if d.spreader == nil {
		return nil
	}
	next, err := spreader.LoadConfig(d.cfg.Spread)
	if err != nil {
		return fmt.Errorf("spread: %w", err)
	}
	if fixed := d.own.spread.FieldsNeedingRestart(next); len(fixed) > 0 {
		d.log.Warn("spread: all but the period holds from the next start", "changed", fixed)
	}
	period := next.Period
	next = d.own.spread
	next.Period = period
	return d.takeOwn(kindSpread, d.cfg.Spread, func() { d.own.spread = next }, func() error {
		d.log.Info("spread file taken", "file", d.cfg.Spread)
		return d.spreader.Reconfigure(next)
	})
}

// sayRollout words which revisions are in force, and what becomes of the agent's own files.
func (d *Daemon) sayRollout() string {
	if d.distributed == nil {
		return console.Failure + " configuration comes from the agent's own files alone"
	}
	var b strings.Builder
	b.WriteString(d.distributed.watcher.Status())
	force := d.distributed.watcher.InForce()
	for i, file := range []string{d.cfg.Routes, d.cfg.Failover, d.cfg.Spread} {
		state := "in force"
		switch {
		case file == "":
			file, state = "none", ""
		case force[kinds[i]] != 0:
			state = "not in force, a distributed revision is"
		}
		fmt.Fprintf(&b, "own file of %s: %s\n", kinds[i], strings.TrimSpace(file+" "+state))
	}
	return b.String() + console.End
}
