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

// A stop: callers keep coming for stopServing after it is asked for. The platform kills what
// is left once the longest deadline, counted as killMost where it is longer, and killSpare
// have passed; stopMargin before that everything has its answer.
const (
	stopServePeriod = 800 * time.Millisecond
	maxKillDeadline = 3 * time.Second
	killGrace       = 700 * time.Millisecond
	stopMargin      = 400 * time.Millisecond
)

// How the bulletin is asked. What it would have told counts as told 2 s after the end of the
// wait asked for, so a short wait and a short grace keep the list true over broken answers.
const (
	pollWait       = time.Second
	pollGrace      = 750 * time.Millisecond
	pollRetryDelay = 100 * time.Millisecond
)

// maxBusyRetryAfter is when to come back to an agent that is too busy or stops, where callers heed so much.
const maxBusyRetryAfter = time.Second

// gcMemoryShare is the part of the memory limit at which the collector works harder.
const gcMemoryShare = 0.75

// callMemoryDivisor is the part of the memory limit, one in so many, that calls may hold before their
// answers.
const callMemoryDivisor = 8

// Daemon is a call agent with its parts.
type Daemon struct {
	cfg          Config
	connLimits   connLimits // of the descriptors
	log          *slog.Logger
	core         *agent.Agent
	pool         *trunk.Pool
	front        *isupfront.Front
	api          apiServer
	promises     *promises          // nil: what is promised is kept by this process alone
	placer       *placer.Placer     // nil: zones are not followed
	spreader     *spreader.Spreader // nil: load is spread alone
	ownConfig    ownConfig
	distribution *distribution // nil: configuration comes from the agent's own files alone
	follower     *bulletin.Follower
	serving      atomic.Bool
	stopping     atomic.Bool
	drained      atomic.Bool // an operator has callers go elsewhere
	drainOrder   drainOrder
	reloads      struct{ applied, refused atomic.Int64 }
	retryAfter   time.Duration // told by the agent itself where it can't take a call
}

// ready tells whether callers may come. Where not every setup server may have a connection, one must.
func (d *Daemon) ready() bool {
	return d.serving.Load() && !d.stopping.Load() && !d.drained.Load() && d.pool.Serves()
}

// New puts a call agent together. Its list holds what the configuration knows.
func New(cfg Config, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, connLimits: newConnLimits(cfg.Limits.Sockets, cfg.State != "")}
	var err error
	var promiseStore agent.PromiseStore
	if cfg.Promises != "" {
		if d.promises, err = newPromises(cfg, log); err != nil {
			return nil, err
		}
		if d.promises.cfg.Load().StoresCalls() {
			promiseStore = d.promises.keeper
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
		OnUnknownEnded: func(id string, err error) { d.front.UnknownEnded(id, err) }})
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
		Name: cfg.Name, OnSlotsChanged: func(ids []string, placed bool) {
			d.core.WithSpread(func(_ policy.Time, s *spread.State) { s.SetConnected(ids, placed) })
		}, Log: log}, d.core)
	d.core.SetBackend(d.pool)
	d.retryAfter = min(maxBusyRetryAfter, policySettings.Limits.MaxRetryAfter)
	d.front = isupfront.New(connmgr.Config{MaxPeers: d.connLimits.callers, RetryAfter: d.retryAfter, Log: log}, d.core, d.ready)
	d.api = apiServer{daemon: d, front: callapi.New(connmgr.Config{RetryAfter: d.retryAfter, Log: log}, d.core)}
	d.follower = &bulletin.Follower{Core: d.core, Log: log, PollWait: pollWait, Grace: pollGrace,
		RetryDelay: pollRetryDelay, Source: cfg.source}
	d.follower.SetAddress(cfg.Bulletin)
	if cfg.State != "" { // what can't be read is told before anything is served
		if _, err := plan.ReadState(cfg.State); err != nil {
			return nil, err
		}
	}
	if err := d.follower.Apply(cfg.Known); err != nil {
		return nil, fmt.Errorf("configuration: field known.%w", err)
	}
	if err := d.applyRoutesFile(); err != nil { // a refused file at the start: the program exits
		return nil, err
	}
	if cfg.Rollout != "" { // what was distributed last is in force before calls come
		if err := d.openDistribution(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// spreadConfig is what the module and the spreader are both told of spreading load: a steward counts
// what is lent by the number of senders that the module has.
func spreadConfig(file spreader.Config, name string, set policy.Settings) spread.Config {
	c := file.SpreadConfig(name, time.Now())
	c.Rank, c.Senders = set.Rank, set.Senders
	return c
}

// Limit fits the Go runtime to the machine's bounds.
func Limit(l Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(gcMemoryShare * float64(l.MemoryMB<<20)))
}

// Run serves until ctx ends, then answers what is open and returns.
func (d *Daemon) Run(ctx context.Context) error {
	ln, err := callersListener(d.cfg.Listen, d.cfg.Callers)
	if err != nil {
		return err
	}
	return d.Serve(ctx, ln)
}

// Serve is Run on a listener of the caller's.
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
	d.core.Stop() // before the pool, whose servers are the core's: news of the list still comes
	<-coreDone
	d.pool.Close()
	d.log.Info("stopped")
	return err
}

// Reload reads the configuration file and the second front's state anew. What can't be
// used changes nothing.
func (d *Daemon) Reload() {
	if d.cfg.path == "" && d.cfg.State == "" && d.cfg.Routes == "" && d.promises == nil && d.placer == nil && d.spreader == nil {
		d.log.Warn("nothing to reload: neither a configuration file nor a state file was named at the start")
		return
	}
	ok := true
	if d.cfg.path != "" {
		if err := d.reconfigure(); err != nil {
			ok = false
			d.log.Error("configuration not taken; the former one stays", "error", err)
		}
	}
	if err := d.applyRoutesFile(); err != nil {
		ok = false
		d.log.Error("routes not taken; the former ones stay", "error", err)
	}
	if err := d.reloadFailover(); err != nil {
		ok = false
		d.log.Error("failover file not taken; the former one stays", "error", err)
	}
	if err := d.reloadSpread(); err != nil {
		ok = false
		d.log.Error("spread file not taken; the former one stays", "error", err)
	}
	if d.promises != nil {
		if err := d.promises.reload(d.cfg.Promises); err != nil {
			ok = false
			d.log.Error("promises file not taken; the former one stays", "error", err)
		}
		d.recordVersions()
	}
	if d.cfg.State != "" {
		if err := d.api.reload(d.cfg.State); err != nil {
			ok = false
			d.log.Error("state not taken; the former settings stay", "error", err)
		}
	}
	if ok {
		d.reloads.applied.Add(1)
	} else {
		d.reloads.refused.Add(1)
	}
}

// reconfigure moves the list's follower to the bulletin that the file names now. All else
// in the file is what a process starts with; a change there is told and left to the next.
func (d *Daemon) reconfigure() error {
	next, err := ReadConfig(d.cfg.path)
	if err != nil {
		return err
	}
	d.follower.SetAddress(next.Bulletin)
	d.log.Info("configuration taken", "bulletin", next.Bulletin)
	if next.Name != d.cfg.Name || next.Listen != d.cfg.Listen || next.Limits != d.cfg.Limits ||
		!bytes.Equal(next.Settings, d.cfg.Settings) {
		d.log.Warn("configuration: name, listen, limits and settings hold from the next start")
	}
	return nil
}

// stopTimeout is when a stop must have answered everything.
func (d *Daemon) stopTimeout() time.Duration {
	longest := time.Duration(0)
	for _, p := range d.cfg.info.Profiles {
		longest = max(longest, settings.Micros(p.Deadline))
	}
	return max(min(longest, maxKillDeadline)+killGrace-stopMargin, stopServePeriod)
}

// shutDown answers what is open, and what still comes, until the stop must end.
func (d *Daemon) shutDown(ln net.Listener) {
	d.log.Info("stopping: serving on, then answering what is open")
	timeout := time.After(d.stopTimeout())
	if d.cfg.Callers != "" {
		ln.Close() // before the no: whoever connects after it meets the other process
		d.stopping.Store(true)
		d.api.stopListening()
		d.handOver(timeout)
		return
	}
	d.stopping.Store(true)
	time.Sleep(stopServePeriod)
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for d.front.BusyPeers()+d.api.front.BusyPeers() > 0 { // half-read set-ups, too, get their answers
		select {
		case <-ticker.C:
		case <-timeout:
			d.refuseOpen()
			return
		}
	}
}

func (d *Daemon) refuseOpen() {
	d.log.Warn("stopping: refusing what is still open")
	d.core.RefuseNew(true) // what still comes is refused as it comes
	done := make(chan struct{})
	d.core.RefuseAll(d.retryAfter)
	d.core.NotifyIdle(func() { close(done) })
	<-done
}

// handOver leaves the callers to the process that accepts from the same socket: whoever
// connects from now on is its. The connections there are end one by one, each when nothing
// is open on it; a process that ended sooner would reset those in use.
func (d *Daemon) handOver(timeout <-chan time.Time) {
	started, ticker := time.Now(), time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for d.closeIdle(time.Since(started), connmgr.Exempt{New: true}) > 0 {
		select {
		case <-ticker.C:
		case <-timeout:
			d.refuseOpen()
			return
		}
	}
}
