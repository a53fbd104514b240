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
	ConnectTimeout      time.Duration // a connection not up by then is unreachable
	WriteTimeout        time.Duration
	ProbeTimeout        time.Duration
	Aim                 time.Duration // the shortest aim of a call: what follows is measured by it
	MessageInterval     time.Duration // a message that has begun goes on within twice this, and is whole within four times
	StallTimeout        time.Duration // a set-up waits so long without a word: another connection is tried
	FirstMessageTimeout time.Duration // a new connection on which nothing is said by then is mute
	Linger              time.Duration // a connection that was replaced stays so long after its last answer
	StopLinger          time.Duration // a server may take so long to see that a connection ends with the process
	SilenceTimeout      time.Duration // without a word for so long, a server that holds calls is looked for anew
	RedialInterval      time.Duration // between connections tried without a set-up that waits, about
	Jitter              time.Duration // a new server is connected to within this
	CutGrace            time.Duration // between a refused connection and the end of the calls it proves dead
	Probes              bool          // servers may be probed
	Mailbox             int           // most messages of a server that wait
	ExtraConnLimit      int           // past so many connections to all servers none is opened beside another; 0: no bound
	MaxConns            int           // most connections to all servers, whatever they are for; 0: no bound
	Name                string        // of the agent: with it a subset of the servers is found where Part does not hold all
	Source              net.Addr      // servers are called from this address; nil: the system's choice
	Log                 *slog.Logger
	adaptive            *adaptiveTimeout                    // of all the pool's servers
	randomDelay         func(d time.Duration) time.Duration // a time of up to d
	yieldTimeout        time.Duration                       // a dial waits so long for the place it takes
	Dial                func(ctx context.Context, address string) (net.Conn, error)
	OnSetUpSent         func(class, zone string) // hears of each set-up written whole, and its server's zone; nil: nobody
	// OnSlotsChanged hears which servers have lost their place for a connection, or come by one, where Part does
	// not hold all; nil: nobody. It may not wait.
	OnSlotsChanged func(ids []string, hasSlot bool)
}

func (c *Config) setDefaults() {
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
		{&c.MessageInterval, min(quarter, maxStallTimeout/2)},
		{&c.StallTimeout, fifth},
		{&c.FirstMessageTimeout, 3 * quarter},
		{&c.Linger, time.Second},
		{&c.StopLinger, 100 * time.Millisecond},
		{&c.SilenceTimeout, 3 * time.Second},
		{&c.RedialInterval, 500 * time.Millisecond},
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
	if c.adaptive == nil {
		c.adaptive = newAdaptiveTimeout()
	}
	if c.randomDelay == nil {
		c.randomDelay = uniformDelay
	}
	if c.yieldTimeout <= 0 {
		c.yieldTimeout = defaultYieldTimeout
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
	cfg       Config
	core      Core
	actors    map[string]*serverActor
	wg        sync.WaitGroup
	sentCount atomic.Int64
	connCount atomic.Int64
	slots     *slots
}

// Sent counts the set-ups that were written whole. It may be read at any time.
func (p *Pool) Sent() int64 { return p.sentCount.Load() }

// NewPool returns a pool without servers that reports to core.
func NewPool(cfg Config, core Core) *Pool {
	cfg.setDefaults()
	return &Pool{cfg: cfg, core: core, actors: map[string]*serverActor{}, slots: newSlots(cfg)}
}

// Serves tells whether calls can be served as far as connections go: where not every server may have
// one, some server has. It may be asked at any time.
func (p *Pool) Serves() bool { return p.slots.serves.Load() }

// Servers starts an actor for each new server and tells the others what has changed.
func (p *Pool) Servers(list []agent.Server, whole bool) {
	listed := map[string]bool{}
	for _, s := range list {
		listed[s.ID] = true
		actor := p.actors[s.ID]
		if actor == nil && s.State != policy.Gone {
			actor = newServerActor(p.cfg, p.core, s, &p.sentCount, &p.connCount, p.slots)
			p.actors[s.ID] = actor
			p.wg.Go(actor.run)
		}
		if actor != nil {
			p.slots.setListed(actor, s.ID, s.State == policy.Up)
		}
	}
	for id, actor := range p.actors {
		if whole && !listed[id] {
			p.slots.setListed(actor, id, false)
		}
	}
	p.slots.rebalance(listed) // before the actors hear: who connects must find its place
	for _, s := range list {
		actor := p.actors[s.ID]
		if actor == nil {
			continue
		}
		actor.withdrawn = s.State == policy.Gone
		actor.notAccepting.Store(s.State != policy.Up)
		actor.post(func() { actor.update(s) })
	}
	removed := false
	for id, actor := range p.actors {
		if whole && !listed[id] {
			actor.withdrawn = true
			actor.notAccepting.Store(true)
			actor.post(actor.withdraw)
		}
		// Its actor may not have read yet that it is back: what the list said last counts.
		if actor.withdrawn && actor.finished.Load() {
			actor.mailbox.Close()
			delete(p.actors, id)
			p.slots.remove(actor, id)
			removed = true
		}
	}
	if removed {
		p.slots.rebalance(listed)
	}
}

// SetUp hands an attempt to its server's actor.
func (p *Pool) SetUp(a agent.Attempt) {
	actor := p.actors[a.Server]
	if actor == nil || !actor.mailbox.Offer(func() { actor.setUp(a) }) {
		p.core.Ended(a.ID, a.Index, newFailure(a.Server, agent.Unwritten, policy.NotSent, errBusy), policy.EmptyReport())
	}
}

// GiveUp ends an attempt or the call that stands on it.
func (p *Pool) GiveUp(server, id string, number int, why policy.Result) {
	if actor := p.actors[server]; actor != nil {
		actor.post(func() { actor.giveUp(id, number, why) })
	}
}

// maxUnknownReleases bounds the releases of unknown calls that wait for a server's next connection.
const maxUnknownReleases = 64

// ReleaseUnknown has every server that is connected end the call, and those without a place once they
// have a connection; those that do not hold it have nothing to do.
func (p *Pool) ReleaseUnknown(id string) {
	n, err := isup.ParseCallID(id)
	if err != nil {
		return
	}
	for _, actor := range p.actors {
		actor.post(func() {
			switch {
			case actor.link != nil:
				actor.sendRelease(actor.link, n)
			case actor.slots.excluded(actor) && len(actor.unknownReleases) < maxUnknownReleases:
				actor.unknownReleases = append(actor.unknownReleases, n)
			}
		})
	}
}

// Probe asks a server for its report.
func (p *Pool) Probe(server string) {
	if actor := p.actors[server]; actor != nil {
		actor.post(actor.probe)
	}
}

// Close ends all connections and waits for the actors.
func (p *Pool) Close() {
	for _, actor := range p.actors {
		actor.post(actor.stop)
		actor.mailbox.Close() // their readers take nothing more in, and pass over what still comes
	}
	p.wg.Wait()
}
