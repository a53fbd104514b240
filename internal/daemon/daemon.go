package daemon

import (
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
	"woodrouter/internal/bulletin"
	"woodrouter/internal/callapi"
	"woodrouter/internal/desk"
	"woodrouter/internal/isupfront"
	"woodrouter/internal/plan"
	"woodrouter/internal/settings"
	"woodrouter/internal/trunk"
)

// What a stop may take: callers keep coming for a while after it is asked for, and the
// platform kills what is left no earlier than 3.7 s after.
const (
	stopServing = 800 * time.Millisecond
	stopMost    = 3300 * time.Millisecond
)

// memoryShare is the part of the memory limit at which the collector works harder.
const memoryShare = 0.75

// Daemon is a call agent with its parts.
type Daemon struct {
	cfg      Config
	log      *slog.Logger
	core     *agent.Agent
	pool     *trunk.Pool
	front    *isupfront.Front
	second   second
	follower *bulletin.Follower
	stopping atomic.Bool
}

// New puts a call agent together. Its list holds what the configuration knows.
func New(cfg Config, log *slog.Logger) (*Daemon, error) {
	d := &Daemon{cfg: cfg, log: log}
	var err error
	d.core, err = agent.New(agent.Config{Settings: cfg.info.Policy(), Seed: cfg.seed,
		Slack: settings.Micros(cfg.info.Guarantees.AnswerSlack), Log: log,
		Stray: func(id string, err error) { d.front.Stray(id, err) }})
	if err != nil {
		return nil, fmt.Errorf("configuration: field settings: %w", err)
	}
	d.pool = trunk.NewPool(trunk.Config{ConnectTimeout: settings.Micros(cfg.info.Limits.ConnectTimeout),
		Log: log}, d.core)
	d.core.Attach(d.pool)
	d.front = isupfront.New(desk.Config{MaxPeers: cfg.Limits.Sockets / 2, Log: log}, d.core,
		func() bool { return !d.stopping.Load() })
	d.second = second{d: d, front: callapi.New(desk.Config{Log: log}, d.core)}
	d.follower = &bulletin.Follower{Address: cfg.Bulletin, Core: d.core, Log: log,
		Patience: 5 * time.Second, Retry: 200 * time.Millisecond}
	if cfg.State != "" { // what can't be read is told before anything is served
		if _, err := plan.ReadState(cfg.State); err != nil {
			return nil, err
		}
	}
	if err := d.follower.Take(cfg.Known); err != nil {
		return nil, fmt.Errorf("configuration: field known.%w", err)
	}
	return d, nil
}

// Limit fits the Go runtime to the machine's bounds.
func Limit(l Limits) {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetMemoryLimit(int64(memoryShare * float64(l.MemoryMB<<20)))
}

// Run serves until ctx ends, then answers what is open and returns.
func (d *Daemon) Run(ctx context.Context) error {
	ln, err := net.Listen("tcp", d.cfg.Listen)
	if err != nil {
		return fmt.Errorf("configuration: field listen: %w", err)
	}
	return d.Serve(ctx, ln)
}

// Serve is Run on a listener of the caller's.
func (d *Daemon) Serve(ctx context.Context, ln net.Listener) error {
	background, cancel := context.WithCancel(context.Background())
	defer cancel()
	ran := make(chan struct{})
	go func() { d.core.Run(); close(ran) }()
	go d.follower.Run(background)
	served := make(chan error, 1)
	go func() { served <- d.front.Serve(ln) }()
	if d.cfg.State != "" {
		if err := d.second.reload(d.cfg.State); err != nil {
			return err
		}
	}
	d.log.Info("serving", "name", d.cfg.Name, "listen", ln.Addr().String())
	var err error
	select {
	case err = <-served:
	case <-ctx.Done():
		d.drain()
	}
	ln.Close()
	d.second.close()
	d.front.Close()
	d.pool.Close()
	d.core.Stop()
	<-ran
	d.log.Info("stopped")
	return err
}

// Reload takes the second front's settings anew. What can't be used changes nothing.
func (d *Daemon) Reload() {
	if d.cfg.State == "" {
		d.log.Warn("nothing to reload: no state file was named at the start")
		return
	}
	if err := d.second.reload(d.cfg.State); err != nil {
		d.log.Error("state not taken; the former settings stay", "error", err)
	}
}

// drain keeps serving while callers still come, then waits for what is open.
func (d *Daemon) drain() {
	d.log.Info("stopping: serving on, then answering what is open")
	d.stopping.Store(true)
	last := time.After(stopMost)
	time.Sleep(stopServing)
	idle := make(chan struct{})
	d.core.Idle(func() { close(idle) })
	select {
	case <-idle:
	case <-last:
		d.log.Warn("stopping: refusing what is still open")
		refused := make(chan struct{})
		d.core.RefuseAll(time.Second)
		d.core.Idle(func() { close(refused) })
		<-refused
	}
}
