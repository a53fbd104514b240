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

// openConsole serves the operators' calls, where the configuration names an address.
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

// spreadAnswer words how the load is spread.
func (d *Daemon) spreadAnswer() string {
	if d.spreader == nil {
		return console.Failure + " load is spread alone"
	}
	return d.spreader.Status() + console.End
}

// statsAnswer words the figures in the form of statsd: counters since the start, and gauges.
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

// drainOrder is the wish of an operator that callers go elsewhere.
type drainOrder struct {
	mu    sync.Mutex
	ended chan struct{} // closed when it ends; nil: there is none
}

// startDrain has callers go elsewhere. The process keeps running, and takes them again by refill.
func (d *Daemon) startDrain() string {
	order := &d.drainOrder
	order.mu.Lock()
	defer order.mu.Unlock()
	if order.ended != nil {
		return console.Success + " drains already"
	}
	order.ended = make(chan struct{})
	d.drained.Store(true)
	d.log.Info("draining: callers are to go elsewhere")
	go d.runDrain(order.ended)
	return console.Success + " drains"
}

// endDrain takes callers again.
func (d *Daemon) endDrain() string {
	order := &d.drainOrder
	order.mu.Lock()
	defer order.mu.Unlock()
	if order.ended == nil {
		return console.Success + " does not drain"
	}
	close(order.ended)
	order.ended = nil
	d.drained.Store(false)
	d.core.RefuseNew(false)
	d.log.Info("drained no more: taking callers")
	return console.Success + " takes clients"
}

// runDrain ends callers' connections once the front has heard that it is to send no new
// ones, and has what still comes after drainServe refused: two seconds later no connection
// may be kept, but for calls older than that. Until their ends are told the callers of those
// that stand need one.
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

// refuseNewCalls has new calls refused, unless the drain has ended meanwhile.
func (d *Daemon) refuseNewCalls(ended <-chan struct{}) {
	d.drainOrder.mu.Lock()
	defer d.drainOrder.mu.Unlock()
	if d.drainOrder.ended == ended {
		d.core.RefuseNew(true)
	}
}

// A drain: the front has heard of it after drainHeard, and what comes after drainServe is
// refused.
const (
	drainCloseAfter  = 300 * time.Millisecond
	drainRefuseAfter = 1900 * time.Millisecond
)

// How connections are ended while callers are to go elsewhere: looked for each emptyTick,
// those quiet for emptyQuiet first, as the next set-up may be on its way; one that is in use
// all the time ends in whatever gap there is after emptyHurry.
const (
	closeIdleInterval = 20 * time.Millisecond
	closeIdleAfter    = 100 * time.Millisecond
	closeAnyGapAfter  = time.Second
)

// closeIdle ends callers' connections that are not in use, at an age of the wish to have none,
// and tells how many are left.
func (d *Daemon) closeIdle(age time.Duration, exempt connmgr.Exempt) int {
	if age < closeAnyGapAfter {
		exempt.Used = closeIdleAfter
	}
	return d.front.CloseIdle(exempt) + d.api.front.CloseIdle(exempt)
}
