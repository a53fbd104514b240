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
	c := &console.Console{Log: d.log, Calls: map[string]func() string{
		"READY": d.sayReady, "STATS": d.stats, "DRAIN": d.keepDrain(true, d.empty), "UNDRAIN": d.keepDrain(false, d.refill), "PROMISES": d.sayPromises, "ZONES": d.sayZones,
		"SPREAD": d.saySpread, "ROLLOUT": d.sayRollout,
	}}
	go c.Serve(ln)
	d.log.Info("console open", "listen", ln.Addr().String())
	return func() { ln.Close(); c.Close() }, nil
}

func (d *Daemon) sayReady() string {
	if d.ready() {
		return console.Success + " takes clients"
	}
	return console.Failure + " takes no clients"
}

// saySpread words how the load is spread.
func (d *Daemon) saySpread() string {
	if d.spreader == nil {
		return console.Failure + " load is spread alone"
	}
	return d.spreader.Status() + console.End
}

// stats words the figures in the form of statsd: counters since the start, and gauges.
func (d *Daemon) stats() string {
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
	line("c", d.reloads.taken.Load(), "reconfig_ok")
	line("c", d.reloads.refused.Load(), "reconfig_failed")
	if d.promises != nil {
		d.promises.figures(line)
	}
	if d.placer != nil {
		d.zoneFigures(line)
	}
	if d.spreader != nil {
		t := d.spreader.Traffic()
		line("c", t.Sent, "spread_sent")
		line("c", t.Bytes, "spread_bytes")
		line("c", t.Received, "spread_received")
		line("c", t.Unanswered, "spread_unheard")
		line("c", t.Bad, "spread_bad")
	}
	if d.distributed != nil {
		d.distributed.watcher.WriteStats(line)
	}
	return b.String() + console.End
}

// emptying is the wish of an operator that callers go elsewhere.
type emptying struct {
	mu  sync.Mutex
	end chan struct{} // closed when it ends; nil: there is none
}

// empty has callers go elsewhere. The process keeps running, and takes them again by refill.
func (d *Daemon) empty() string {
	e := &d.emptying
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.end != nil {
		return console.Success + " drains already"
	}
	e.end = make(chan struct{})
	d.drained.Store(true)
	d.log.Info("draining: callers are to go elsewhere")
	go d.keepEmpty(e.end)
	return console.Success + " drains"
}

// refill takes callers again.
func (d *Daemon) refill() string {
	e := &d.emptying
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.end == nil {
		return console.Success + " does not drain"
	}
	close(e.end)
	e.end = nil
	d.drained.Store(false)
	d.core.RefuseNew(false)
	d.log.Info("drained no more: taking callers")
	return console.Success + " takes clients"
}

// keepEmpty ends callers' connections once the front has heard that it is to send no new
// ones, and has what still comes after drainServe refused: two seconds later no connection
// may be kept, but for calls older than that. Until their ends are told the callers of those
// that stand need one.
func (d *Daemon) keepEmpty(end <-chan struct{}) {
	began, tick := time.Now(), time.NewTicker(emptyTick)
	defer tick.Stop()
	for {
		select {
		case <-end:
			return
		case <-tick.C:
		}
		switch age := time.Since(began); {
		case age >= drainServe:
			d.hold(end)
			d.endIdle(age, connmgr.Exempt{Standing: true})
		case age >= drainHeard:
			d.endIdle(age, connmgr.Exempt{Standing: true, New: true})
		}
	}
}

// hold has new calls refused, unless the drain has ended meanwhile.
func (d *Daemon) hold(end <-chan struct{}) {
	d.emptying.mu.Lock()
	defer d.emptying.mu.Unlock()
	if d.emptying.end == end {
		d.core.RefuseNew(true)
	}
}

// A drain: the front has heard of it after drainHeard, and what comes after drainServe is
// refused.
const (
	drainHeard = 300 * time.Millisecond
	drainServe = 1900 * time.Millisecond
)

// How connections are ended while callers are to go elsewhere: looked for each emptyTick,
// those quiet for emptyQuiet first, as the next set-up may be on its way; one that is in use
// all the time ends in whatever gap there is after emptyHurry.
const (
	emptyTick  = 20 * time.Millisecond
	emptyQuiet = 100 * time.Millisecond
	emptyHurry = time.Second
)

// endIdle ends callers' connections that are not in use, at an age of the wish to have none,
// and tells how many are left.
func (d *Daemon) endIdle(age time.Duration, spare connmgr.Exempt) int {
	if age < emptyHurry {
		spare.Used = emptyQuiet
	}
	return d.front.CloseIdle(spare) + d.second.front.CloseIdle(spare)
}
