package daemon

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"math"
	"net"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/fleet/placer"
	"woodrouter/internal/fleet/spreader"
	"woodrouter/internal/front/callapi"
	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/front/isupfront"
	"woodrouter/internal/plan"
	"woodrouter/internal/servers/bulletin"
	"woodrouter/internal/servers/trunk"
	"woodrouter/internal/settings"
	"woodrouter/policy"
	"woodrouter/spread"
)

// The times of polling the bulletin. A change counts as told 2 s after the end of the wait that was
// requested, so a short wait and a short grace leave time for another poll after a broken answer.
const (
	pollWait       = time.Second
	pollGrace      = 750 * time.Millisecond
	pollRetryDelay = 100 * time.Millisecond
)

// maxBusyRetryAfter is the Retry-After of an agent that is too busy or stopping. It is shorter if the
// settings' maxRetryAfter is.
const maxBusyRetryAfter = time.Second

// gcMemoryShare is the share of the memory limit that is set as the Go runtime's soft limit, at which the
// garbage collector works harder.
const gcMemoryShare = 0.75

// callMemoryDivisor limits the memory of calls without a final answer to this fraction of the memory limit.
const callMemoryDivisor = 8

// Calls that stand may take a standingMemoryDivisor-th of the memory limit, at standingCallBytes each in all tables of the
// agent.
const (
	standingMemoryDivisor = 4
	standingCallBytes     = 1 << 10
	peerCallsDivisor      = 2 // one caller's connection may have this fraction of them
)

// heldMemoryDivisor limits the memory of the call API's unfinished large messages to this fraction of the memory limit.
const heldMemoryDivisor = 16

// Daemon is a call agent with all its parts.
type Daemon struct {
	cfg          Config
	connLimits   connLimits // how the file descriptors are divided
	log          *slog.Logger
	core         *agent.Agent
	pool         *trunk.Pool
	front        *isupfront.Front
	api          apiServer
	promises     *promises          // nil: promises are not replicated
	placer       *placer.Placer     // nil: no zone failover
	spreader     *spreader.Spreader // nil: load is spread without other agents
	ownConfig    ownConfig
	distribution *distribution // nil: all configuration comes from the agent's own files
	follower     *bulletin.Follower
	serving      atomic.Bool
	stopping     atomic.Bool
	drained      atomic.Bool // an operator has ordered a drain
	drainOrder   drainOrder
	reloads      struct{ applied, refused atomic.Int64 }
	retryAfter   time.Duration // told to callers whose call the agent can't accept
}

// ready reports whether the agent accepts callers. If the connection limit does not allow a connection to
// each setup server, at least one must be connected.
func (d *Daemon) ready() bool {
	return d.serving.Load() && !d.stopping.Load() && !d.drained.Load() && d.pool.Serves()
}

// New builds a call agent. Its list of setup servers starts with those in the configuration.
func New(cfg Config, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, connLimits: newConnLimits(cfg.Limits.Sockets, cfg.State != "")}
	var err error
	var promiseStore agent.PromiseStore
	if cfg.Promises != "" {
		if d.promises, err = newPromises(cfg, log); err != nil {
			return nil, err
		}
		if d.promises.cfg.Load().StoresCalls() {
			promiseStore = d.promises.store
		}
	}
	policySettings := cfg.info.Policy()
	if cfg.Spread != "" {
		if d.ownConfig.spread, err = spreader.LoadConfig(cfg.Spread); err != nil {
			return nil, fmt.Errorf("spread: %w", err)
		}
		d.ownConfig.spread.Source = cfg.source
		policySettings.Spread = spreadConfig(d.ownConfig.spread, cfg.Name, policySettings)
	}
	d.core, err = agent.New(agent.Config{Promises: promiseStore, ObserveServers: cfg.Failover != "", Settings: policySettings, Seed: cfg.seed,
		AnswerSlack: settings.Micros(cfg.info.Guarantees.AnswerSlack), Log: log, MaxCallBytes: cfg.Limits.MemoryMB << 20 / callMemoryDivisor,
		MaxStandingCalls: maxStandingCalls(cfg.Limits),
		OnUnknownEnded:   func(id string, err error) { d.front.UnknownEnded(id, err) }})
	if err != nil {
		return nil, fmt.Errorf("configuration: field settings: %w", err)
	}
	if cfg.Failover != "" {
		if d.ownConfig.failover, err = placer.LoadConfig(cfg.Failover); err != nil {
			return nil, err
		}
		if d.placer, err = newPlacer(cfg, d.ownConfig.failover, d.promises, d.core.Observations(), log); err != nil {
			return nil, err
		}
		d.core.SetRouter(d.zoneRouter(nil))
	}
	if cfg.Spread != "" {
		if d.spreader, err = spreader.Open(d.ownConfig.spread, policySettings.Spread, d.core, log); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", cfg.Spread, err)
		}
	}
	d.pool = trunk.NewPool(trunk.Config{OnSetUpSent: d.setUpSentHook(), ConnectTimeout: settings.Micros(cfg.info.Limits.ConnectTimeout),
		Aim: cfg.info.ShortestAim(), Probes: cfg.info.Limits.Probes, Source: cfg.source, ExtraConnLimit: d.connLimits.extraServers, MaxConns: d.connLimits.servers,
		ListAnsweredAt: func() time.Time { return d.follower.AnsweredAt() },
		Name:           cfg.Name, OnSlotsChanged: func(ids []string, hasSlot bool) {
			d.core.WithSpread(func(_ policy.Time, s *spread.State) { s.SetConnected(ids, hasSlot) })
		}, Log: log}, d.core)
	d.core.SetBackend(d.pool)
	d.retryAfter = min(maxBusyRetryAfter, policySettings.Limits.MaxRetryAfter)
	d.front = isupfront.New(connmgr.Config{MaxPeerCalls: maxStandingCalls(cfg.Limits) / peerCallsDivisor, MaxPeers: d.connLimits.callers, RetryAfter: d.retryAfter, Log: log}, d.core, d.ready)
	d.api = apiServer{daemon: d, front: callapi.New(connmgr.Config{MaxPeerCalls: maxStandingCalls(cfg.Limits) / peerCallsDivisor, RetryAfter: d.retryAfter, MaxHeldBytes: cfg.Limits.MemoryMB << 20 / heldMemoryDivisor, Log: log}, d.core)}
	d.follower = &bulletin.Follower{Core: d.core, Log: log, PollWait: pollWait, Grace: pollGrace,
		RetryDelay: pollRetryDelay, Source: cfg.source}
	d.follower.SetAddress(cfg.Bulletin)
	if cfg.State != "" { // an unreadable state file is reported before anything is served
		if _, err := plan.ReadState(cfg.State); err != nil {
			return nil, err
		}
	}
	if err := d.follower.Apply(cfg.Known); err != nil {
		return nil, fmt.Errorf("configuration: field known.%w", err)
	}
	if err := d.applyRoutesFile(); err != nil { // a file refused at the start ends the program
		return nil, err
	}
	if cfg.Rollout != "" { // the last distributed configuration is in force before the first call
		if err := d.openDistribution(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// spreadConfig returns the spread configuration of both the policy and the spreader. They must have the same
// number of senders, because a steward uses that number to count the rights that are lent.
func spreadConfig(file spreader.Config, name string, policySettings policy.Settings) spread.Config {
	c := file.SpreadConfig(name, time.Now())
	c.Rank, c.Senders = policySettings.Rank, policySettings.Senders
	return c
}

// maxStandingCalls returns how many calls may stand.
func maxStandingCalls(l Limits) int {
	return int(l.MemoryMB << 20 / standingMemoryDivisor / standingCallBytes)
}

// processors returns how many processors the limits allow, at least one.
func processors(l Limits) int { return max(1, int(math.Ceil(l.Cores))) }

// Limit sets the Go runtime's limits to those of the machine.
func Limit(l Limits) {
	runtime.GOMAXPROCS(processors(l))
	debug.SetMemoryLimit(int64(gcMemoryShare * float64(l.MemoryMB<<20)))
}

// Run serves until ctx ends, then answers the open calls and returns.
func (d *Daemon) Run(ctx context.Context) error {
	ln, err := callersListener(d.cfg.Listen, d.cfg.Callers)
	if err != nil {
		return err
	}
	return d.Serve(ctx, ln)
}

// Serve does what Run does, on a given listener.
func (d *Daemon) Serve(ctx context.Context, ln net.Listener) error {
	closeConsole, err := d.openConsole()
	if err != nil {
		return err
	}
	defer closeConsole()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	closePromises, err := d.openPromises(background)
	if err != nil {
		return err
	}
	defer closePromises()
	coreDone := make(chan struct{})
	go func() { d.core.Run(); close(coreDone) }()
	if d.placer != nil {
		placerDone := make(chan struct{})
		go func() { d.placer.Run(background); close(placerDone) }()
		defer func() { cancel(); <-placerDone }()
	}
	if d.spreader != nil {
		spreaderDone := make(chan struct{})
		go func() { d.spreader.Run(background); close(spreaderDone) }()
		defer func() { cancel(); <-spreaderDone }()
	}
	if d.distribution != nil {
		watcherDone := make(chan struct{})
		go func() { d.distribution.watcher.Run(background); close(watcherDone) }()
		defer func() { cancel(); <-watcherDone }()
	}
	go d.follower.Run(background)
	served := make(chan error, 1)
	go func() { served <- d.front.Serve(ln) }()
	d.serving.Store(true)
	if d.cfg.State != "" {
		if err := d.openAPI(background); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", d.cfg.Name, "listen", ln.Addr().String())
	select {
	case err = <-served:
	case <-ctx.Done():
		d.shutDown(ln)
	}
	ln.Close()
	d.api.close()
	d.front.Close()
	d.core.Stop() // before the pool, which the core may still update when the list changes
	<-coreDone
	d.pool.Close()
	d.log.Info("stopped")
	return err
}

// Reload reads the configuration files and the state file again. A file that can't be used changes nothing.
func (d *Daemon) Reload() {
	if d.cfg.path == "" && d.cfg.State == "" && d.cfg.Routes == "" && d.promises == nil && d.placer == nil && d.spreader == nil {
		d.log.Warn("nothing to reload: no configuration or state file was named at the start")
		return
	}
	ok := true
	if d.cfg.path != "" {
		if err := d.reconfigure(); err != nil {
			ok = false
			d.log.Error("configuration rejected; the former one stays in force", "error", err)
		}
	}
	if err := d.applyRoutesFile(); err != nil {
		ok = false
		d.log.Error("routes rejected; the former ones stay in force", "error", err)
	}
	if err := d.reloadFailover(); err != nil {
		ok = false
		d.log.Error("failover file rejected; the former one stays in force", "error", err)
	}
	if err := d.reloadSpread(); err != nil {
		ok = false
		d.log.Error("spread file rejected; the former one stays in force", "error", err)
	}
	if d.promises != nil {
		if err := d.promises.reload(d.cfg.Promises); err != nil {
			ok = false
			d.log.Error("promises file rejected; the former one stays in force", "error", err)
		}
		d.recordVersions()
	}
	if d.cfg.State != "" {
		if err := d.api.reload(d.cfg.State); err != nil {
			ok = false
			d.log.Error("state file rejected; the former settings stay in force", "error", err)
		}
	}
	if ok {
		d.reloads.applied.Add(1)
	} else {
		d.reloads.refused.Add(1)
	}
}

// reconfigure follows the bulletin that the configuration file names now. Everything else in the file takes
// effect only at the start of a process; changes there are logged.
func (d *Daemon) reconfigure() error {
	next, err := ReadConfig(d.cfg.path)
	if err != nil {
		return err
	}
	d.follower.SetAddress(next.Bulletin)
	d.log.Info("configuration applied", "bulletin", next.Bulletin)
	if next.Name != d.cfg.Name || next.Listen != d.cfg.Listen || next.Limits != d.cfg.Limits ||
		!bytes.Equal(next.Settings, d.cfg.Settings) {
		d.log.Warn("configuration: name, listen, limits and settings take effect at the next start")
	}
	return nil
}
