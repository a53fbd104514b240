// Package trunk carries set-ups to setup servers: one actor a server, with one
// long-lived connection that is replaced when it stalls. It is the backend of package agent on binary signalling.
package trunk

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/isup"
	"woodrouter/policy"
)

// Core is what a pool tells of attempts; *agent.Agent is one.
type Core interface {
	Stands(id string, n int, description []byte)
	Ended(id string, n int, err *agent.Failure, r policy.Report)
	UnknownEnded(id string, err *agent.Failure)
	Reported(p policy.ReportReceived)
}

// Config are a pool's figures; the zero values of times get defaults.
type Config struct {
	ConnectTimeout time.Duration // a connection not up by then is unreachable
	WriteTimeout   time.Duration
	ProbeTimeout   time.Duration
	Aim            time.Duration // the shortest aim of a call: what follows is measured by it
	MessageTime    time.Duration // a message that has begun goes on within twice this, and is whole within four times
	Stall          time.Duration // a set-up waits so long without a word: another connection is tried
	Speak          time.Duration // a new connection on which nothing is said by then is mute
	Linger         time.Duration // a connection that was replaced stays so long after its last answer
	StopLinger     time.Duration // a server may take so long to see that a connection ends with the process
	Silence        time.Duration // without a word for so long, a server that holds calls is looked for anew
	Redial         time.Duration // between connections tried without a set-up that waits, about
	Jitter         time.Duration // a new server is connected to within this
	CutGrace       time.Duration // between a refused connection and the end of the calls it proves dead
	Probes         bool          // servers may be probed
	Mailbox        int           // most messages of a server that wait
	MaxConns       int           // past so many connections to all servers none is opened beside another; 0: no bound
	Part           int           // most connections to all servers, whatever they are for; 0: no bound
	Name           string        // of the agent: with it a subset of the servers is found where Part does not hold all
	Source         net.Addr      // servers are called from this address; nil: the system's choice
	Log            *slog.Logger
	doubts         *Doubts                             // of all the pool's servers
	draw           func(d time.Duration) time.Duration // a time of up to d
	yield          time.Duration                       // a dial waits so long for the place it takes
	Dial           func(ctx context.Context, address string) (net.Conn, error)
	Wrote          func(class, zone string) // hears of each set-up written whole, and its server's zone; nil: nobody
	// Placed hears which servers have lost their place for a connection, or come by one, where Part does
	// not hold all; nil: nobody. It may not wait.
	Placed func(ids []string, placed bool)
}

func (c *Config) complete() {
	aim := cmp.Or(c.Aim, 1500*time.Millisecond)
	quarter := min(max(aim/4, 100*time.Millisecond), 500*time.Millisecond)
	fifth := min(max(aim/5, 60*time.Millisecond), 400*time.Millisecond)
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{
		{&c.ConnectTimeout, 500 * time.Millisecond},
		{&c.WriteTimeout, 250 * time.Millisecond},
		{&c.ProbeTimeout, 250 * time.Millisecond},
		{&c.MessageTime, min(quarter, stallMost/2)},
		{&c.Stall, fifth},
		{&c.Speak, 3 * quarter},
		{&c.Linger, time.Second},
		{&c.StopLinger, 100 * time.Millisecond},
		{&c.Silence, 3 * time.Second},
		{&c.Redial, 500 * time.Millisecond},
		{&c.Jitter, fifth},
		{&c.CutGrace, 100 * time.Millisecond},
	} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.Mailbox <= 0 {
		c.Mailbox = 1024
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
	if c.doubts == nil {
		c.doubts = newDoubts()
	}
	if c.draw == nil {
		c.draw = jitter
	}
	if c.yield <= 0 {
		c.yield = yieldMost
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			d := net.Dialer{LocalAddr: c.Source}
			return d.DialContext(ctx, "tcp", address)
		}
	}
}

// Pool is the actors of all setup servers. Its methods are for the core's goroutine.
type Pool struct {
	cfg    Config
	core   Core
	trunks map[string]*trunk
	group  sync.WaitGroup
	sent   atomic.Int64
	conns  atomic.Int64
	places *places
}

// Sent counts the set-ups that were written whole. It may be read at any time.
func (p *Pool) Sent() int64 { return p.sent.Load() }

// NewPool returns a pool without servers that reports to core.
func NewPool(cfg Config, core Core) *Pool {
	cfg.complete()
	return &Pool{cfg: cfg, core: core, trunks: map[string]*trunk{}, places: newPlaces(cfg)}
}

// Serves tells whether calls can be served as far as connections go: where not every server may have
// one, some server has. It may be asked at any time.
func (p *Pool) Serves() bool { return p.places.serves.Load() }

// Servers starts an actor for each new server and tells the others what has changed.
func (p *Pool) Servers(list []agent.Server, whole bool) {
	named := map[string]bool{}
	for _, s := range list {
		named[s.ID] = true
		t := p.trunks[s.ID]
		if t == nil && s.State != policy.Gone {
			t = newTrunk(p.cfg, p.core, s, &p.sent, &p.conns, p.places)
			p.trunks[s.ID] = t
			p.group.Go(t.run)
		}
		if t != nil {
			p.places.listed(t, s.ID, s.State == policy.Up)
		}
	}
	for id, t := range p.trunks {
		if whole && !named[id] {
			p.places.listed(t, id, false)
		}
	}
	p.places.settle(named) // before the actors hear: who connects must find its place
	for _, s := range list {
		t := p.trunks[s.ID]
		if t == nil {
			continue
		}
		t.withdrawn = s.State == policy.Gone
		t.barred.Store(s.State != policy.Up)
		t.post(func() { t.listed(s) })
	}
	forgot := false
	for id, t := range p.trunks {
		if whole && !named[id] {
			t.withdrawn = true
			t.barred.Store(true)
			t.post(t.gone)
		}
		// Its actor may not have read yet that it is back: what the list said last counts.
		if t.withdrawn && t.finished.Load() {
			t.box.Close()
			delete(p.trunks, id)
			p.places.forget(t, id)
			forgot = true
		}
	}
	if forgot {
		p.places.settle(named)
	}
}

// SetUp hands an attempt to its server's actor.
func (p *Pool) SetUp(a agent.Attempt) {
	t := p.trunks[a.Server]
	if t == nil || !t.box.Offer(func() { t.setUp(a) }) {
		p.core.Ended(a.ID, a.Index, failure(a.Server, agent.Unwritten, policy.NotSent, errBusy), policy.EmptyReport())
	}
}

// GiveUp ends an attempt or the call that stands on it.
func (p *Pool) GiveUp(server, id string, n int, why policy.Result) {
	if t := p.trunks[server]; t != nil {
		t.post(func() { t.giveUp(id, n, why) })
	}
}

// unknownMost bounds the releases of unknown calls that wait for a server's next connection.
const unknownMost = 64

// ReleaseUnknown has every server that is connected end the call, and those without a place once they
// have a connection; those that do not hold it have nothing to do.
func (p *Pool) ReleaseUnknown(id string) {
	n, err := isup.ParseCallID(id)
	if err != nil {
		return
	}
	for _, t := range p.trunks {
		t.post(func() {
			switch {
			case t.link != nil:
				t.release(t.link, n)
			case t.places.apart(t) && len(t.unknown) < unknownMost:
				t.unknown = append(t.unknown, n)
			}
		})
	}
}

// Probe asks a server for its report.
func (p *Pool) Probe(server string) {
	if t := p.trunks[server]; t != nil {
		t.post(t.probe)
	}
}

// Close ends all connections and waits for the actors.
func (p *Pool) Close() {
	for _, t := range p.trunks {
		t.post(t.stop)
		t.box.Close() // their readers take nothing more in, and pass over what still comes
	}
	p.group.Wait()
}
