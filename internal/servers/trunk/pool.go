// Package trunk sends set-ups to setup servers by binary signalling; it is a backend of package agent. Each
// server has an actor with one long-lived connection, which is replaced when it stalls.
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

// Core receives the outcomes of attempts and the servers' load reports; *agent.Agent implements it.
type Core interface {
	Stands(id string, index int, description []byte)
	Ended(id string, index int, err *agent.Failure, r policy.Report)
	UnknownEnded(id string, err *agent.Failure)
	Reported(p policy.ReportReceived)
}

// Config configures a pool. Times that are not positive get defaults.
type Config struct {
	ConnectTimeout time.Duration // limit of a dial; a server not connected by then is unreachable
	WriteTimeout   time.Duration // limit of a write; the connection ends after it
	ProbeTimeout   time.Duration // limit of a probe
	Aim            time.Duration // shortest aim of a call; some defaults of the times below follow from it
	// MessageInterval limits pauses in a message: once begun, it must continue within twice this time and be
	// complete within four times this time.
	MessageInterval time.Duration
	// StallTimeout is the shortest time without a message after which a connection with an unanswered set-up
	// is presumed stalled, and another one is opened.
	StallTimeout        time.Duration
	FirstMessageTimeout time.Duration // a new connection without a message by then is given up
	Linger              time.Duration // a replaced connection stays open this long after its last answer
	StopLinger          time.Duration // how long a stopping pool waits for servers to end their connections
	SilenceTimeout      time.Duration // a server with calls is dialled anew after this long without a message
	RedialInterval      time.Duration // approximate interval between dials that no set-up waits for
	Jitter              time.Duration // a new server is dialled after a random delay of up to this
	CutGrace            time.Duration // delay from a refused connection to the end of the calls it proves lost
	Probes              bool          // servers may be probed
	Mailbox             int           // limit of the messages that wait for a server's actor
	// ExtraConnLimit is the number of connections to all servers above which no server gets a second one; 0:
	// no limit. It applies while every server can have a slot.
	ExtraConnLimit int
	MaxConns       int // limit of the connections to all servers; 0: no limit
	// Name is the agent's name. It determines the subset of servers to connect to if MaxConns is too low for
	// all.
	Name         string
	Source       net.Addr // local address of connections to servers; nil: chosen by the system
	Log          *slog.Logger
	adaptive     *adaptiveTimeout                    // shared by all actors of the pool
	randomDelay  func(d time.Duration) time.Duration // returns a random duration of up to d
	started      time.Time                           // of the pool
	yieldTimeout time.Duration                       // how long a dial waits for the evicted connection to end
	Dial         func(ctx context.Context, address string) (net.Conn, error)
	// ListAnsweredAt returns when the list of servers was last known to be current; nil: it always is.
	ListAnsweredAt func() time.Time
	// OnSetUpSent is called for each completely written set-up, with its server's zone. It may be nil.
	OnSetUpSent func(class, zone string)
	// OnSlotsChanged is called with the servers that have lost their connection slot or got one, while
	// MaxConns is too low for all servers. It must not block. It may be nil.
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
	if c.ListAnsweredAt == nil {
		c.ListAnsweredAt = time.Now
	}
	if c.Dial == nil {
		c.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			d := net.Dialer{LocalAddr: c.Source}
			return d.DialContext(ctx, "tcp", address)
		}
	}
}

// Pool holds the actors of all setup servers. Its methods are called from the core's goroutine, unless noted
// otherwise.
type Pool struct {
	cfg       Config
	core      Core
	actors    map[string]*serverActor
	wg        sync.WaitGroup
	sentCount atomic.Int64
	connCount atomic.Int64
	slots     *slots
}

// Sent returns the number of completely written set-ups. It is safe for concurrent use.
func (p *Pool) Sent() int64 { return p.sentCount.Load() }

// NewPool returns a pool without servers that reports to core.
func NewPool(cfg Config, core Core) *Pool {
	cfg.setDefaults()
	cfg.started = time.Now()
	return &Pool{cfg: cfg, core: core, actors: map[string]*serverActor{}, slots: newSlots(cfg)}
}

// Serves reports whether calls can be served as far as connections go: every server may have a connection, or
// some server has one. It is safe for concurrent use.
func (p *Pool) Serves() bool { return p.slots.serves.Load() }

// Servers starts an actor for each new server and passes changes on to the others. If whole is set the list
// is complete, and servers that are not on it are gone.
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
	p.slots.rebalance(listed) // before the actors are updated: one that connects needs its slot
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
		// The actor may not have handled yet that its server is back, so the latest list decides.
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

// SetUp passes an attempt to its server's actor.
func (p *Pool) SetUp(a agent.Attempt) {
	actor := p.actors[a.Server]
	if actor == nil || !actor.mailbox.Offer(func() { actor.setUp(a) }) {
		p.core.Ended(a.ID, a.Index, newFailure(a.Server, agent.Unwritten, policy.NotSent, errBusy), policy.EmptyReport())
	}
}

// GiveUp ends an attempt, or the call that stands as its result.
func (p *Pool) GiveUp(server, id string, index int, why policy.Result) {
	if actor := p.actors[server]; actor != nil {
		actor.post(func() { actor.giveUp(id, index, why) })
	}
}

// ReleaseUnknown releases a call at every server, because it is not known which one holds the call. A server
// without a connection gets the release on its next one. A server that does not hold the call has nothing to do.
func (p *Pool) ReleaseUnknown(id string) {
	n, err := isup.ParseCallID(id)
	if err != nil {
		return
	}
	for _, actor := range p.actors {
		actor.post(func() { actor.releaseUnknown(n) })
	}
}

// Probe asks a server for its load report.
func (p *Pool) Probe(server string) {
	if actor := p.actors[server]; actor != nil {
		actor.post(actor.probe)
	}
}

// Close closes all connections and waits for the actors to end.
func (p *Pool) Close() {
	for _, actor := range p.actors {
		actor.post(actor.stop)
		actor.mailbox.Close() // readers pass on no more messages and discard what still arrives
	}
	p.wg.Wait()
}
