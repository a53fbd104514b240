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

// The kinds of configuration documents that an agent can use.
const (
	kindRoutes   = "routes"
	kindFailover = "failover"
	kindSpread   = "spread"
)

var documentKinds = []string{kindRoutes, kindFailover, kindSpread}

// ownConfig is the content of the agent's own files as last read. Each kind is in force unless a distributed
// document of that kind is.
type ownConfig struct {
	mu       sync.Mutex // held for a change, by SIGHUP or by a distributed revision
	routes   agent.Router
	failover placer.Config
	spread   spreader.Config
	// distributed holds the distributed documents in force, by kind.
	distributed map[string]rollout.Document
}

// distribution is the agent's part in the distribution of configuration (docs/rollout.md). It checks and
// applies documents by the same code as the agent's own files at the start and at SIGHUP. It is off unless
// WOODROUTER_ROLLOUT names its file.
type distribution struct {
	daemon  *Daemon
	watcher *watcher.Watcher
}

func (d *Daemon) openDistribution() error {
	file, err := watcher.LoadConfig(d.cfg.Rollout)
	if err != nil {
		return fmt.Errorf("rollout: %w", err)
	}
	file.Source = d.cfg.source
	self := rollout.Agent{Name: d.cfg.Name, Service: file.Service, Zone: cmp.Or(file.Zone, d.cfg.info.MyZone), Region: file.Region}
	d.ownConfig.distributed = map[string]rollout.Document{}
	dist := &distribution{daemon: d}
	if dist.watcher, err = watcher.Open(file, self, documentKinds, dist, d.log); err != nil {
		return fmt.Errorf("rollout: %s: %w", d.cfg.Rollout, err)
	}
	d.distribution = dist
	return nil
}

// Check validates a document's text as the agent would validate its own file at the start.
func (r *distribution) Check(kind string, text []byte) error {
	r.daemon.ownConfig.mu.Lock()
	defer r.daemon.ownConfig.mu.Unlock()
	_, err := r.prepare(kind, text)
	return err
}

// Apply puts a document in force for calls that arrive from now on; open calls keep the configuration they
// started with. Unless present is true, the agent's own file is in force again.
func (r *distribution) Apply(kind string, document rollout.Document, present bool) error {
	own := &r.daemon.ownConfig
	own.mu.Lock()
	defer own.mu.Unlock()
	if !present {
		delete(own.distributed, kind)
		return r.daemon.restoreOwnFile(kind)
	}
	apply, err := r.prepare(kind, document.Text)
	if err == nil {
		err = apply()
	}
	if err == nil {
		own.distributed[kind] = document
	}
	return err
}

// prepare validates a document's text, and returns the function that puts it in force. Error messages have
// the kind in place of a file name.
func (r *distribution) prepare(kind string, text []byte) (apply func() error, err error) {
	daemon := r.daemon
	switch kind {
	case kindRoutes:
		router, _, err := parseRoutes(kind, text, daemon.cfg)
		return func() error { daemon.core.SetRouter(daemon.zoneRouter(router)); return nil }, err
	case kindFailover:
		if daemon.placer == nil {
			return nil, errors.New("failover: this agent follows no zones: it was started without WOODROUTER_FAILOVER")
		}
		file, err := daemon.ownConfig.failover.Distributed(kind, text, cmp.Or(daemon.ownConfig.failover.Zone, daemon.cfg.info.MyZone))
		if err == nil {
			if err = daemon.placer.CheckConfig(file); err != nil {
				err = fmt.Errorf("failover: %w", err)
			}
		}
		return func() error { return daemon.placer.Reconfigure(file) }, err
	case kindSpread:
		if daemon.spreader == nil {
			return nil, errors.New("spread: this agent spreads its load alone: it was started without WOODROUTER_SPREAD")
		}
		file, err := daemon.ownConfig.spread.Distributed(kind, text)
		return func() error { return daemon.spreader.Reconfigure(file) }, err
	}
	return nil, fmt.Errorf("no kind %q", kind)
}

// restoreOwnFile puts the agent's own file of a kind in force again, as it was last read.
func (d *Daemon) restoreOwnFile(kind string) error {
	switch {
	case kind == kindRoutes:
		d.core.SetRouter(d.zoneRouter(d.ownConfig.routes))
	case kind == kindFailover && d.placer != nil:
		return d.placer.Reconfigure(d.ownConfig.failover)
	case kind == kindSpread && d.spreader != nil:
		return d.spreader.Reconfigure(d.ownConfig.spread)
	}
	return nil
}

// Calls returns how many calls have ended, and how many of them were refused or failed.
func (r *distribution) Calls() (ended, failed uint64) {
	for _, t := range r.daemon.core.Tallies() {
		unsuccessful := t.Refused.Load() + t.Failed.Load()
		ended, failed = ended+uint64(t.Served.Load()+unsuccessful), failed+uint64(unsuccessful)
	}
	return ended, failed
}

// applyOwnFile stores the agent's own file of a kind, which has been read and validated, and puts it in force
// unless a distributed revision is in force, which it logs.
func (d *Daemon) applyOwnFile(kind, file string, keep func(), apply func() error) error {
	d.ownConfig.mu.Lock()
	defer d.ownConfig.mu.Unlock()
	if document, replaced := d.ownConfig.distributed[kind]; replaced {
		d.log.Warn("own file is valid but not in force: a distributed revision is in force", "kind", kind, "file", file, "name", document.Name.String(), "revision", document.Revision)
	} else if err := apply(); err != nil {
		return err
	}
	keep()
	return nil
}

// reloadFailover reads the agent's own failover file again. Topology, settings and times take effect at once,
// the rest at the next start.
func (d *Daemon) reloadFailover() error {
	if d.placer == nil {
		return nil
	}
	next, err := placer.LoadConfig(d.cfg.Failover)
	if err != nil {
		return err
	}
	current := d.ownConfig.failover // its mode, zone and members never change
	if next.Mode != current.Mode || next.Zone != current.Zone || !reflect.DeepEqual(next.Members, current.Members) {
		d.log.Warn("failover: mode, zone and members take effect at the next start")
		next.Mode, next.Zone, next.Members = current.Mode, current.Zone, current.Members
	}
	if err := d.placer.CheckConfig(next); err != nil {
		return fmt.Errorf("failover: %s: %w", d.cfg.Failover, err)
	}
	return d.applyOwnFile(kindFailover, d.cfg.Failover, func() { d.ownConfig.failover = next }, func() error {
		d.log.Info("failover file applied", "file", d.cfg.Failover)
		return d.placer.Reconfigure(next)
	})
}

// reloadSpread reads the agent's own spread file again. The period takes effect at once, the rest at the next
// start.
func (d *Daemon) reloadSpread() error {
	if d.spreader == nil {
		return nil
	}
	next, err := spreader.LoadConfig(d.cfg.Spread)
	if err != nil {
		return fmt.Errorf("spread: %w", err)
	}
	if fixed := d.ownConfig.spread.FieldsNeedingRestart(next); len(fixed) > 0 {
		d.log.Warn("spread: only the period takes effect before the next start", "changed", fixed)
	}
	period := next.Period
	next = d.ownConfig.spread
	next.Period = period
	return d.applyOwnFile(kindSpread, d.cfg.Spread, func() { d.ownConfig.spread = next }, func() error {
		d.log.Info("spread file applied", "file", d.cfg.Spread)
		return d.spreader.Reconfigure(next)
	})
}

// rolloutAnswer describes which revisions are in force, and whether the agent's own files are.
func (d *Daemon) rolloutAnswer() string {
	if d.distribution == nil {
		return console.Failure + " configuration comes from the agent's own files alone"
	}
	var b strings.Builder
	b.WriteString(d.distribution.watcher.Status())
	inForce := d.distribution.watcher.InForce()
	for i, file := range []string{d.cfg.Routes, d.cfg.Failover, d.cfg.Spread} {
		state := "in force"
		switch {
		case file == "":
			file, state = "none", ""
		case inForce[documentKinds[i]] != 0:
			state = "not in force, a distributed revision is"
		}
		fmt.Fprintf(&b, "own file of %s: %s\n", documentKinds[i], strings.TrimSpace(file+" "+state))
	}
	return b.String() + console.End
}
