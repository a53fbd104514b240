// Package isupfront takes calls from callers on binary signalling. It is thin: it turns
// messages into calls of package agent and outcomes into messages.
package isupfront

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"woodrouter/agent"
	"woodrouter/isup"
)

// Core is what the front needs of the agent; *agent.Agent is one.
type Core interface {
	Offer(f agent.Front, c agent.Call) bool
	Withdraw(f agent.Front, id string)
}

// Config are a front's figures; zero values get defaults.
type Config struct {
	MaxPeers     int           // most connections
	MaxWaiting   int           // most messages that wait for one slow caller
	WriteTimeout time.Duration // a caller that takes nothing for so long is cut off
	MessageTime  time.Duration // a message begun must be whole by then
	Idle         time.Duration // a connection without a set-up is closed after this
	StayAway     time.Duration // told when the agent itself is too busy
	Ready        func() bool   // answers tests; nil: always
	Log          *slog.Logger
}

func (c *Config) complete() {
	for _, n := range []struct {
		field *int
		value int
	}{{&c.MaxPeers, 512}, {&c.MaxWaiting, 1024}} {
		if *n.field <= 0 {
			*n.field = n.value
		}
	}
	for _, d := range []struct {
		field *time.Duration
		value time.Duration
	}{{&c.WriteTimeout, 500 * time.Millisecond}, {&c.MessageTime, 5 * time.Second},
		{&c.Idle, 2 * time.Minute}, {&c.StayAway, time.Second}} {
		if *d.field <= 0 {
			*d.field = d.value
		}
	}
	if c.Ready == nil {
		c.Ready = func() bool { return true }
	}
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

// leg is the caller's side of a call that is open or stands.
type leg struct {
	peer     *peer
	answered bool
}

// unsaid is a release that found no connection to the caller.
type unsaid struct {
	id    isup.CallID
	cause isup.Cause
	host  string
	since time.Time
}

// Releases that find no connection are kept so long, and so many of them.
const (
	unsaidSpan = 10 * time.Second
	unsaidMost = 4096
)

// Front serves callers. Its table of legs is shared by the connections and the core.
type Front struct {
	cfg  Config
	core Core

	mu     sync.Mutex
	peers  map[*peer]struct{}
	legs   map[isup.CallID]*leg
	unsaid []unsaid
	closed bool
	group  sync.WaitGroup
}

// New returns a front that hands calls to core.
func New(cfg Config, core Core) *Front {
	cfg.complete()
	return &Front{cfg: cfg, core: core, peers: map[*peer]struct{}{}, legs: map[isup.CallID]*leg{}}
}

// Serve accepts callers until the listener is closed.
func (f *Front) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a caller gone in the queue: others wait
			f.cfg.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		f.welcome(conn)
	}
}

func (f *Front) welcome(conn net.Conn) {
	p := newPeer(f, conn)
	f.mu.Lock()
	if f.closed || len(f.peers) >= f.cfg.MaxPeers {
		f.mu.Unlock()
		f.cfg.Log.Warn("caller turned away: too many connections", "most", f.cfg.MaxPeers)
		conn.Close()
		return
	}
	f.peers[p] = struct{}{}
	f.group.Add(2)
	f.repeat(p)
	f.mu.Unlock()
	go p.read()
	go p.write()
}

// repeat hands a new connection the releases that are still owed to its caller.
func (f *Front) repeat(p *peer) {
	var kept []unsaid
	for _, u := range f.unsaid {
		switch {
		case time.Since(u.since) > unsaidSpan:
		case u.host == p.host:
			p.send(release(u.id, u.cause))
		default:
			kept = append(kept, u)
		}
	}
	f.unsaid = kept
}

// Close ends all connections and waits for their goroutines.
func (f *Front) Close() {
	f.mu.Lock()
	f.closed = true
	for p := range f.peers {
		p.box.Close() // the writer says what is left, then closes
	}
	f.mu.Unlock()
	f.group.Wait()
}

// begin enters a call. It fails if one of this id is open.
func (f *Front) begin(p *peer, id isup.CallID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.legs[id] != nil {
		return false
	}
	f.legs[id] = &leg{peer: p}
	return true
}

// finish removes a call and returns its leg, nil if it is over already.
func (f *Front) finish(id isup.CallID) *leg {
	f.mu.Lock()
	defer f.mu.Unlock()
	l := f.legs[id]
	delete(f.legs, id)
	return l
}

func (f *Front) busy(p *peer) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, l := range f.legs {
		if l.peer == p && !l.answered {
			return true
		}
	}
	return false
}

// forget ends a connection's part: its unanswered calls have no caller any more. Calls
// that stand outlive it.
func (f *Front) forget(p *peer) {
	f.mu.Lock()
	delete(f.peers, p)
	var gone []isup.CallID
	for id, l := range f.legs {
		if l.peer == p && !l.answered {
			delete(f.legs, id)
			gone = append(gone, id)
		}
	}
	f.mu.Unlock()
	for _, id := range gone {
		f.core.Withdraw(f, id.String())
	}
}

// Answered passes an answer on. If the caller can't be reached the call is released.
func (f *Front) Answered(c agent.Call, description []byte) {
	id := c.Ref.(isup.CallID)
	f.mu.Lock()
	l := f.legs[id]
	if l != nil {
		l.answered = true
	}
	f.mu.Unlock()
	if l == nil { // the caller has just left; its withdrawal is on the way
		return
	}
	if !l.peer.send(isup.Message{Type: isup.Answer, Call: id}.With(isup.Description, description)) {
		f.undelivered(id)
	}
}

// undelivered ends a call whose answer could not be written.
func (f *Front) undelivered(id isup.CallID) {
	if f.finish(id) != nil {
		f.core.Withdraw(f, id.String())
	}
}

// Refused passes a refusal on, with when to return.
func (f *Front) Refused(c agent.Call, stayAway time.Duration) {
	f.final(c, refusal(c.Ref.(isup.CallID), stayAway))
}

func refusal(id isup.CallID, stayAway time.Duration) isup.Message {
	m := release(id, isup.Congestion)
	if stayAway > 0 {
		m = m.WithMillis(isup.StayAway, stayAway)
	}
	return m
}

// Failed passes a failure on. Its cause is not one that ends a call that stood.
func (f *Front) Failed(c agent.Call, _ error) {
	f.final(c, release(c.Ref.(isup.CallID), isup.Unavailable))
}

// Rejected answers a call that the core did not take. An id that is open already says
// nothing about the call it belongs to, so only the connection at fault ends.
func (f *Front) Rejected(c agent.Call, err error) {
	id := c.Ref.(isup.CallID)
	if errors.Is(err, agent.ErrDuplicate) {
		if l := f.finish(id); l != nil {
			l.peer.fail(err)
		}
		return
	}
	f.cfg.Log.Warn("call rejected", "call", c.ID, "class", c.Class, "error", err)
	f.final(c, release(id, isup.Unavailable))
}

func (f *Front) final(c agent.Call, m isup.Message) {
	if l := f.finish(m.Call); l != nil {
		l.peer.send(m)
	}
}

// Ended passes the end of a call that stood on, by its own connection or any other.
func (f *Front) Ended(c agent.Call, err error) {
	id, cause := c.Ref.(isup.CallID), isup.Normal
	if err != nil {
		cause = isup.TempFailure
	}
	if l := f.finish(id); l != nil {
		f.sayReleased(unsaid{id, cause, l.peer.host, time.Now()}, l.peer)
	}
}

// sayReleased tries the caller's connections in turn and keeps what none could take.
func (f *Front) sayReleased(u unsaid, first *peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if _, up := f.peers[first]; up && first.send(release(u.id, u.cause)) {
		return
	}
	for p := range f.peers {
		if p.host == u.host && p.send(release(u.id, u.cause)) {
			return
		}
	}
	if len(f.unsaid) < unsaidMost {
		f.unsaid = append(f.unsaid, u)
	}
}

func release(id isup.CallID, cause isup.Cause) isup.Message {
	return isup.Message{Type: isup.Release, Call: id}.WithCause(cause)
}
