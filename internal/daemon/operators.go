package daemon

import (
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/console"
	"woodrouter/internal/front/connmgr"
)

// openConsole serves the operators' console, if the configuration names an address for it.
func (d *Daemon) openConsole() (close func(), err error) {
	if d.cfg.Console == "" {
		return func() {}, nil
	}
	ln, err := net.Listen("tcp", d.cfg.Console)
	if err != nil {
		return nil, fmt.Errorf("configuration: field console: %w", err)
	}
	c := &console.Console{Log: d.log, Handlers: map[string]func() string{
		"READY": d.readyAnswer, "STATS": d.statsAnswer, "DRAIN": d.recordDrain(true, d.startDrain), "UNDRAIN": d.recordDrain(false, d.endDrain), "PROMISES": d.promisesAnswer, "ZONES": d.zonesAnswer,
		"SPREAD": d.spreadAnswer, "ROLLOUT": d.rolloutAnswer,
	}}
	go c.Serve(ln)
	d.log.Info("console open", "listen", ln.Addr().String())
	return func() { ln.Close(); c.Close() }, nil
}

func (d *Daemon) readyAnswer() string {
	if d.ready() {
		return console.Success + " takes clients"
	}
	return console.Failure + " takes no clients"
}

// spreadAnswer describes how load is spread over the setup servers.
func (d *Daemon) spreadAnswer() string {
	if d.spreader == nil {
		return console.Failure + " load is spread alone"
	}
	return d.spreader.Status() + console.End
}

// statsAnswer returns the statistics in statsd's format: counters since the start, and gauges.
func (d *Daemon) statsAnswer() string {
	var b strings.Builder
	line := func(kind string, n int64, name string) { fmt.Fprintf(&b, "svc.%s:%d|%s\n", name, n, kind) }
	tallies := d.core.Tallies()
	for _, class := range slices.Sorted(maps.Keys(tallies)) {
		t := tallies[class]
		line("c", t.Served.Load(), "calls."+class+".success")
		line("c", t.Refused.Load(), "calls."+class+".busy")
		line("c", t.Failed.Load(), "calls."+class+".failure")
	}
	listed, avoided := d.core.Hosts()
	line("c", d.pool.Sent(), "backend_calls")
	line("g", d.core.InFlight(), "inflight")
	line("g", listed, "hosts_listed")
	line("g", avoided, "hosts_down")
	line("c", d.reloads.applied.Load(), "reconfig_ok")
	line("c", d.reloads.refused.Load(), "reconfig_failed")
	if d.promises != nil {
		d.promises.writeStats(line)
	}
	if d.placer != nil {
		d.writeZoneStats(line)
	}
	if d.spreader != nil {
		t := d.spreader.Traffic()
		line("c", t.Sent, "spread_sent")
		line("c", t.Bytes, "spread_bytes")
		line("c", t.Received, "spread_received")
		line("c", t.Unanswered, "spread_unheard")
		line("c", t.Bad, "spread_bad")
	}
	if d.distribution != nil {
		d.distribution.watcher.WriteStats(line)
	}
	return b.String() + console.End
}

// drainOrder is an operator's order to drain this agent.
type drainOrder struct {
	mu    sync.Mutex
	ended chan struct{} // closed when the drain ends; nil: not draining
	given bool          // an operator has given an order since the start
}

// startDrain makes callers move to other agents. The process keeps running, and endDrain reverses it.
func (d *Daemon) startDrain() string {
	order := &d.drainOrder
	order.mu.Lock()
	defer order.mu.Unlock()
	order.given = true
	if order.ended != nil {
		return console.Success + " drains already"
	}
	d.startDrainLocked()
	return console.Success + " drains"
}

// restoreDrainOrder drains this agent as ordered before its start, unless an operator has given an order since.
func (d *Daemon) restoreDrainOrder() {
	order := &d.drainOrder
	order.mu.Lock()
	defer order.mu.Unlock()
	if order.given || order.ended != nil {
		return
	}
	d.log.Info("restoring the drain that was ordered before this start")
	d.startDrainLocked()
}

// startDrainLocked starts a drain. The caller holds the order's lock.
func (d *Daemon) startDrainLocked() {
	d.drainOrder.ended = make(chan struct{})
	d.drained.Store(true)
	d.log.Info("drain started: callers must use other agents")
	go d.runDrain(d.drainOrder.ended)
}

// endDrain accepts callers again.
func (d *Daemon) endDrain() string {
	order := &d.drainOrder
	order.mu.Lock()
	defer order.mu.Unlock()
	order.given = true
	if order.ended == nil {
		return console.Success + " does not drain"
	}
	close(order.ended)
	order.ended = nil
	d.drained.Store(false)
	d.core.RefuseNew(false)
	d.log.Info("drain ended: accepting callers")
	return console.Success + " takes clients"
}

// runDrain carries out a drain until it ends. After drainCloseAfter it closes callers' connections that are
// not in use, and after drainRefuseAfter it also refuses new calls: two seconds after the start no connection
// may be open except for calls older than that. Callers of standing calls keep their connections, because the
// end of a call is reported there.
func (d *Daemon) runDrain(ended <-chan struct{}) {
	started, ticker := time.Now(), time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
		switch age := time.Since(started); {
		case age >= drainRefuseAfter:
			d.refuseNewCalls(ended)
			d.closeIdle(age, connmgr.Exempt{Standing: true})
		case age >= drainCloseAfter:
			d.closeIdle(age, connmgr.Exempt{Standing: true, New: true})
		}
	}
}

// refuseNewCalls makes the core refuse new calls, unless the drain has ended meanwhile.
func (d *Daemon) refuseNewCalls(ended <-chan struct{}) {
	d.drainOrder.mu.Lock()
	defer d.drainOrder.mu.Unlock()
	if d.drainOrder.ended == ended {
		d.core.RefuseNew(true)
	}
}

// The times of a drain, from its start.
const (
	drainCloseAfter  = 300 * time.Millisecond // by then the platform's front sends no new callers here
	drainRefuseAfter = 1900 * time.Millisecond
)

// How callers' connections are closed during a drain or a hand-over.
const (
	closeIdleInterval = 20 * time.Millisecond  // between two searches for connections to close
	closeIdleAfter    = 100 * time.Millisecond // idle time before a close, as the next set-up may be on its way
	closeAnyGapAfter  = time.Second            // after this a busy connection is closed in any gap between its calls
)

// closeIdle closes callers' connections that are not in use, and returns how many are left. age is the time
// since the drain or hand-over began.
func (d *Daemon) closeIdle(age time.Duration, exempt connmgr.Exempt) int {
	if age < closeAnyGapAfter {
		exempt.Used = closeIdleAfter
	}
	return d.front.CloseIdle(exempt) + d.api.front.CloseIdle(exempt)
}
