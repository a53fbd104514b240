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
	stopServing = 800 * time.Millisecond
	killMost    = 3 * time.Second
	killSpare   = 700 * time.Millisecond
	stopMargin  = 400 * time.Millisecond
)

// How the bulletin is asked. What it would have told counts as told 2 s after the end of the
// wait asked for, so a short wait and a short grace keep the list true over broken answers.
const (
	listPatience = time.Second
	listGrace    = 750 * time.Millisecond
	listRetry    = 100 * time.Millisecond
)

// busyAway is when to come back to an agent that is too busy or stops, where callers heed so much.
const busyAway = time.Second

// memoryShare is the part of the memory limit at which the collector works harder.
const memoryShare = 0.75

// callShare is the part of the memory limit, one in so many, that calls may hold before their
// answers.
const callShare = 8

// Daemon is a call agent with its parts.
type Daemon struct {
	cfg         Config
	parts       parts // of the descriptors
	log         *slog.Logger
	core        *agent.Agent
	pool        *trunk.Pool
	front       *isupfront.Front
	second      second
	promises    *promises          // nil: what is promised is kept by this process alone
	placer      *placer.Placer     // nil: zones are not followed
	spreader    *spreader.Spreader // nil: load is spread alone
	own         own
	distributed *distribution // nil: configuration comes from the agent's own files alone
	follower    *bulletin.Follower
	serving     atomic.Bool
	stopping    atomic.Bool
	drained     atomic.Bool // an operator has callers go elsewhere
	emptying    emptying
	reloads     struct{ taken, refused atomic.Int64 }
	stayAway    time.Duration // told by the agent itself where it can't take a call
}

// ready tells whether callers may come. Where not every setup server may have a connection, one must.
func (d *Daemon) ready() bool {
	return d.serving.Load() && !d.stopping.Load() && !d.drained.Load() && d.pool.Serves()
}

// New puts a call agent together. Its list holds what the configuration knows.
func New(cfg Config, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log, parts: partsOf(cfg.Limits.Sockets, cfg.State != "")}
	var err error
	var kept agent.PromiseStore
	if cfg.Promises != "" {
		if d.promises, err = newPromises(cfg, log); err != nil {
			return nil, err
		}
		if d.promises.cfg.Load().StoresCalls() {
			kept = d.promises.keeper
		}
	}
	set := cfg.info.Policy()
	if cfg.Spread != "" {
		if d.own.spread, err = spreader.LoadConfig(cfg.Spread); err != nil {
			return nil, fmt.Errorf("spread: %w", err)
		}
		d.own.spread.Source = cfg.source
		set.Spread = spreadConfig(d.own.spread, cfg.Name, set)
	}
	d.core, err = agent.New(agent.Config{Promises: kept, ObserveServers: cfg.Failover != "", Settings: set, Seed: cfg.seed,
		AnswerSlack: settings.Micros(cfg.info.Guarantees.AnswerSlack), Log: log, MaxCallBytes: cfg.Limits.MemoryMB << 20 / callShare,
		OnUnknownEnded: func(id string, err error) { d.front.UnknownEnded(id, err) }})
	if err != nil {
		return nil, fmt.Errorf("configuration: field settings: %w", err)
	}
	if cfg.Failover != "" {
		if d.own.failover, err = placer.LoadConfig(cfg.Failover); err != nil {
			return nil, err
		}
		if d.placer, err = newPlacer(cfg, d.own.failover, d.promises, d.core.Observations(), log); err != nil {
			return nil, err
		}
		d.core.SetRouter(d.route(nil))
	}
	if cfg.Spread != "" {
		if d.spreader, err = spreader.Open(d.own.spread, set.Spread, d.core, log); err != nil {
			return nil, fmt.Errorf("spread: %s: %w", cfg.Spread, err)
		}
	}
	d.pool = trunk.NewPool(trunk.Config{OnSetUpSent: d.wrote(), ConnectTimeout: settings.Micros(cfg.info.Limits.ConnectTimeout),
		Aim: cfg.info.ShortestAim(), Probes: cfg.info.Limits.Probes, Source: cfg.source, ExtraConnLimit: d.parts.beside, MaxConns: d.parts.servers,
		Name: cfg.Name, OnSlotsChanged: func(ids []string, placed bool) {
			d.core.WithSpread(func(_ policy.Time, s *spread.State) { s.SetConnected(ids, placed) })
		}, Log: log}, d.core)
	d.core.SetBackend(d.pool)
	d.stayAway = min(busyAway, set.Limits.MaxRetryAfter)
	d.front = isupfront.New(connmgr.Config{MaxPeers: d.parts.callers, RetryAfter: d.stayAway, Log: log}, d.core, d.ready)
	d.second = second{d: d, front: callapi.New(connmgr.Config{RetryAfter: d.stayAway, Log: log}, d.core)}
	d.follower = &bulletin.Follower{Core: d.core, Log: log, PollWait: listPatience, Grace: listGrace,
		RetryDelay: listRetry, Source: cfg.source}
	d.follower.SetAddress(cfg.Bulletin)
	if cfg.State != "" { // what can't be read is told before anything is served
		if _, err := plan.ReadState(cfg.State); err != nil {
			return nil, err
		}
	}
	if err := d.follower.Apply(cfg.Known); err != nil {
		return nil, fmt.Errorf("configuration: field known.%w", err)
	}
	if err := d.takeRoutes(); err != nil { // a refused file at the start: the program exits
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
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
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
	shut, err := d.openConsole()
	if err != nil {
		return err
	}
	defer shut()
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	leave, err := d.openPromises(background)
	if err != nil {
		return err
	}
	defer leave()
	ran := make(chan struct{})
	go func() { d.core.Run(); close(ran) }()
	if d.placer != nil {
		followed := make(chan struct{})
		go func() { d.placer.Run(background); close(followed) }()
		defer func() { cancel(); <-followed }()
	}
	if d.spreader != nil {
		spread := make(chan struct{})
		go func() { d.spreader.Run(background); close(spread) }()
		defer func() { cancel(); <-spread }()
	}
	if d.distributed != nil {
		watched := make(chan struct{})
		go func() { d.distributed.watcher.Run(background); close(watched) }()
		defer func() { cancel(); <-watched }()
	}
	go d.follower.Run(background)
	served := make(chan error, 1)
	go func() { served <- d.front.Serve(ln) }()
	d.serving.Store(true)
	if d.cfg.State != "" {
		if err := d.openSecond(background); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", d.cfg.Name, "listen", ln.Addr().String())
	select {
	case err = <-served:
	case <-ctx.Done():
		d.drain(ln)
	}
	ln.Close()
	d.second.close()
	d.front.Close()
	d.core.Stop() // before the pool, whose servers are the core's: news of the list still comes
	<-ran
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
	taken := true
	if d.cfg.path != "" {
		if err := d.reconfigure(); err != nil {
			taken = false
			d.log.Error("configuration not taken; the former one stays", "error", err)
		}
	}
	if err := d.takeRoutes(); err != nil {
		taken = false
		d.log.Error("routes not taken; the former ones stay", "error", err)
	}
	if err := d.reloadFailover(); err != nil {
		taken = false
		d.log.Error("failover file not taken; the former one stays", "error", err)
	}
	if err := d.reloadSpread(); err != nil {
		taken = false
		d.log.Error("spread file not taken; the former one stays", "error", err)
	}
	if d.promises != nil {
		if err := d.promises.reload(d.cfg.Promises); err != nil {
			taken = false
			d.log.Error("promises file not taken; the former one stays", "error", err)
		}
		d.keepVersions()
	}
	if d.cfg.State != "" {
		if err := d.second.reload(d.cfg.State); err != nil {
			taken = false
			d.log.Error("state not taken; the former settings stay", "error", err)
		}
	}
	if taken {
		d.reloads.taken.Add(1)
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

// stopMost is when a stop must have answered everything.
func (d *Daemon) stopMost() time.Duration {
	longest := time.Duration(0)
	for _, p := range d.cfg.info.Profiles {
		longest = max(longest, settings.Micros(p.Deadline))
	}
	return max(min(longest, killMost)+killSpare-stopMargin, stopServing)
}

// drain answers what is open, and what still comes, until the stop must end.
func (d *Daemon) drain(ln net.Listener) {
	d.log.Info("stopping: serving on, then answering what is open")
	last := time.After(d.stopMost())
	if d.cfg.Callers != "" {
		ln.Close() // before the no: whoever connects after it meets the other process
		d.stopping.Store(true)
		d.second.leave()
		d.handOver(last)
		return
	}
	d.stopping.Store(true)
	time.Sleep(stopServing)
	tick := time.NewTicker(emptyTick)
	defer tick.Stop()
	for d.front.BusyPeers()+d.second.front.BusyPeers() > 0 { // half-read set-ups, too, get their answers
		select {
		case <-tick.C:
		case <-last:
			d.refuseOpen()
			return
		}
	}
}

func (d *Daemon) refuseOpen() {
	d.log.Warn("stopping: refusing what is still open")
	d.core.RefuseNew(true) // what still comes is refused as it comes
	refused := make(chan struct{})
	d.core.RefuseAll(d.stayAway)
	d.core.NotifyIdle(func() { close(refused) })
	<-refused
}

// handOver leaves the callers to the process that accepts from the same socket: whoever
// connects from now on is its. The connections there are end one by one, each when nothing
// is open on it; a process that ended sooner would reset those in use.
func (d *Daemon) handOver(last <-chan time.Time) {
	began, tick := time.Now(), time.NewTicker(emptyTick)
	defer tick.Stop()
	for d.endIdle(time.Since(began), connmgr.Exempt{New: true}) > 0 {
		select {
		case <-tick.C:
		case <-last:
			d.refuseOpen()
			return
		}
	}
}
