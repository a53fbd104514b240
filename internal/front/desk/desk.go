// Package desk is what every front needs and no wire decides: connections with a reader
// and a writing actor each, the table of the callers' side of calls, and the rule that
// no connection owns a call that stands.
package desk

import (
	"cmp"
	"context"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"woodrouter/agent"
)

// Core is what a front needs of the agent; *agent.Agent is one.
type Core interface {
	Offer(f agent.Front, c agent.Call) bool
	Withdraw(f agent.Front, id string)
	ReleaseUnknown(id string)
}

// Config are a desk's figures; zero values get defaults.
type Config struct {
	MaxPeers     int           // most connections
	MaxWaiting   int           // most messages that wait for one slow caller
	WriteTimeout time.Duration // a caller that takes nothing for so long is cut off
	FirstTime    time.Duration // a new connection's first message must be whole by then
	MessageTime  time.Duration // a later message, once begun, must be whole within this
	RoomAfter    time.Duration // a connection without a call, silent for so long, makes room in a full house
	Idle         time.Duration // a connection that says nothing more is looked at after this
	Linger       time.Duration // a caller may take so long to see that its connection ends
	StayAway     time.Duration // told when the agent itself is too busy; 0: callers heed none, and none is told
	Goodbye      []byte        // the last that a connection hears when the desk closes
	Log          *slog.Logger
}

func (c *Config) complete() {
	c.MaxPeers = cmp.Or(c.MaxPeers, 512)
	c.MaxWaiting = cmp.Or(c.MaxWaiting, 1024)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 500*time.Millisecond)
	// Lawful callers may take 2 s over a set-up, by the platform's pages; who says nothing whole is
	// owed an end within 3 s.
	c.FirstTime = cmp.Or(c.FirstTime, 2500*time.Millisecond)
	c.MessageTime = cmp.Or(c.MessageTime, 2500*time.Millisecond)
	c.RoomAfter = cmp.Or(c.RoomAfter, 250*time.Millisecond)
	c.Idle = cmp.Or(c.Idle, 2*time.Minute)
	c.Linger = cmp.Or(c.Linger, 100*time.Millisecond) // a set-up crosses the end for 50 ms, by the protocol
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

// leg is the caller's side of a call that is open or stands.
type leg struct {
	peer     *Peer
	tag      any // the front's own
	answered bool
	left     context.CancelFunc // ends the call's Caller
}

// owed is a release that found no connection to the caller.
type owed struct {
	item  Item
	host  string // "": any
	since time.Time
}

// Releases that find no connection are kept so long, and so many of them.
const (
	owedSpan = 10 * time.Second
	owedMost = 4096
)

// Desk serves the callers of one front.
type Desk struct {
	Config
	core     Core
	front    agent.Front
	converse func(*Peer) error

	mu      sync.Mutex
	peers   map[*Peer]struct{}
	open    int       // connections not closed yet, those that are leaving included
	shutOne sync.Cond // one of them has been closed
	legs    map[string]*leg
	owed    []owed
	closed  bool
	group   sync.WaitGroup
}

// New returns a desk; converse reads one connection until it ends.
func New(cfg Config, core Core, front agent.Front, converse func(*Peer) error) *Desk {
	cfg.complete()
	d := &Desk{Config: cfg, core: core, front: front, converse: converse,
		peers: map[*Peer]struct{}{}, legs: map[string]*leg{}}
	d.shutOne.L = &d.mu
	return d
}

// errEnded tells that a call came on a connection that is being ended. Nothing of it goes
// on, so that its caller may take the end of the connection for an end of the call.
var errEnded = errors.New("the connection is being ended")

// Serve accepts callers until the listener is closed.
func (d *Desk) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a caller gone in the queue: others wait
			d.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		d.welcome(conn)
	}
}

// LeavingMost is how many connections, one in so many of the most, may be on their way out beside
// those that are served. Each costs a descriptor until it is closed.
const LeavingMost = 8

func (d *Desk) welcome(conn net.Conn) {
	p := newPeer(d, conn)
	d.mu.Lock()
	defer d.mu.Unlock()
	for !d.closed && d.open-len(d.peers) > d.MaxPeers/LeavingMost { // they go in a moment, or in WriteTimeout
		d.shutOne.Wait()
	}
	if d.closed || len(d.peers) >= d.MaxPeers && !d.makeRoom() {
		d.Log.Warn("caller turned away: too many connections", "most", d.MaxPeers)
		conn.Close()
		return
	}
	p.idle = d.Idle
	d.peers[p] = struct{}{}
	d.open++
	d.group.Go(p.readAll)
	d.group.Go(p.write)
}

// shut closes a connection and counts it off.
func (d *Desk) shut(p *Peer) {
	p.conn.Close()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.open--
	d.shutOne.Broadcast()
}

// makeRoom ends a connection without a call: one that never said a whole message before one
// that has; among these the one that has been silent longest. Hundreds that only connect
// must not shut those out that have calls. What was used just now stays, as its caller's
// first message, or the next, may be on its way; so does what has a call that stands, as
// that may be the only way to tell of its end.
func (d *Desk) makeRoom() bool {
	var least *Peer
	for p := range d.peers {
		if p.calls == 0 && p.quiet() >= d.RoomAfter && (least == nil || p.before(least)) {
			least = p
		}
	}
	if least == nil {
		return false
	}
	d.Log.Warn("caller's connection ended for a new one", "most", d.MaxPeers, "caller", least.conn.RemoteAddr())
	d.dismiss(least, false)
	return true
}

// dismiss ends a connection on which nothing is open: a set-up that crosses its end is not
// taken, so that its caller may send it again elsewhere.
func (d *Desk) dismiss(p *Peer, linger bool) {
	delete(d.peers, p)
	p.leave(linger)
}

// Waiting tells how many connections have a set-up without its answer, or one half-read.
func (d *Desk) Waiting() (n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p := range d.peers {
		if p.open > 0 || p.begun.Load() {
			n++
		}
	}
	return n
}

// Spare tells which connections are in use though no set-up is open on them.
type Spare struct {
	Used     time.Duration // those used within this,
	New      bool          // those whose first message may be on its way,
	Standing bool          // those with a call that stands, whose end is to be told there
}

// EndIdle ends the connections that are not in use, and tells how many are left.
func (d *Desk) EndIdle(spare Spare) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	for p := range d.peers {
		used := p.open > 0 || p.begun.Load() || p.quiet() < spare.Used || spare.New && !p.said.Load() || spare.Standing && p.calls > 0
		if !used {
			d.dismiss(p, true)
		}
	}
	return len(d.peers)
}

// Limit sets the bounds of connections that come from now on.
func (d *Desk) Limit(maxPeers int, idle time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.MaxPeers, d.Idle = maxPeers, idle
}

// Clear ends the connections there are, each once no set-up is open on it, at the latest
// after most.
func (d *Desk) Clear(most time.Duration) {
	d.mu.Lock()
	var leaving []*Peer
	for p := range d.peers {
		leaving = append(leaving, p)
	}
	d.mu.Unlock()
	for last := time.Now().Add(most); len(leaving) > 0; time.Sleep(20 * time.Millisecond) {
		late := time.Now().After(last)
		leaving = slices.DeleteFunc(leaving, func(p *Peer) bool {
			d.mu.Lock() // a set-up must not come between the look and the end
			defer d.mu.Unlock()
			if !late && (p.open > 0 || p.begun.Load()) {
				return false
			}
			d.dismiss(p, true)
			return true
		})
	}
}

// Ready tells that a connection can take messages; it gets the releases owed to its host.
func (d *Desk) Ready(p *Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.ready.Store(true)
	var kept []owed
	for _, o := range d.owed {
		switch {
		case time.Since(o.since) > owedSpan:
		case (o.host == p.host || o.host == "") && p.Send(o.item):
		default:
			kept = append(kept, o)
		}
	}
	d.owed = kept
}

// Close ends all connections once what waits for them is written. A set-up that is read from now
// on is not taken: nobody could tell its caller of its answer.
func (d *Desk) Close() {
	d.mu.Lock()
	d.closed = true
	d.shutOne.Broadcast()
	for p := range d.peers {
		d.dismiss(p, true)
	}
	d.mu.Unlock()
	d.group.Wait()
}

// Offer enters a call and hands it to the core. It fails if one of this id is open at
// this front; a core too busy to take the call has the front refuse it.
func (d *Desk) Offer(p *Peer, c agent.Call, tag any) error {
	d.mu.Lock()
	_, up := d.peers[p]
	twice := d.legs[c.ID] != nil
	if up && !twice {
		l := &leg{peer: p, tag: tag}
		c.Caller, l.left = context.WithCancel(context.Background())
		d.legs[c.ID] = l
		p.open++
		p.calls++
	}
	d.mu.Unlock()
	switch {
	case !up:
		return errEnded
	case twice:
		return agent.ErrDuplicate
	}
	if !d.core.Offer(d.front, c) {
		d.front.Refused(c, d.StayAway)
	}
	return nil
}

// Withdraw ends a call for its caller, by any connection. It reports whether the call
// was known, and the front's tag and connection if it had no answer yet.
func (d *Desk) Withdraw(id string) (known bool, by *Peer, tag any) {
	l := d.finish(id)
	if l == nil {
		return false, nil, nil
	}
	d.core.Withdraw(d.front, id)
	if l.answered {
		return true, nil, nil
	}
	return true, l.peer, l.tag
}

func (d *Desk) finish(id string) *leg {
	d.mu.Lock()
	defer d.mu.Unlock()
	l := d.legs[id]
	if l != nil {
		d.remove(id, l)
	}
	return l
}

// remove takes a call out of the table and off its connection's counts.
func (d *Desk) remove(id string, l *leg) {
	delete(d.legs, id)
	l.left()
	l.peer.calls--
	if !l.answered {
		l.peer.open--
		l.peer.touch()
	}
}

// busy tells whether a connection waits for a final answer.
func (d *Desk) busy(p *Peer) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return p.open > 0
}

// forget ends a connection's part: its unanswered calls have no caller any more. Calls
// that stand outlive it.
func (d *Desk) forget(p *Peer) {
	d.mu.Lock()
	delete(d.peers, p)
	var gone []string
	for id, l := range d.legs {
		if l.peer == p && !l.answered {
			d.remove(id, l)
			gone = append(gone, id)
		}
	}
	d.mu.Unlock()
	for _, id := range gone {
		d.core.Withdraw(d.front, id)
	}
}

// Answer passes an answer on. If the caller can't be reached the call is withdrawn.
func (d *Desk) Answer(id string, data func(tag any) []byte) {
	d.mu.Lock()
	l := d.legs[id]
	if l != nil && !l.answered {
		l.answered = true
		l.peer.open--
		l.peer.touch()
	}
	d.mu.Unlock()
	if l == nil { // the caller has just left; its withdrawal is on the way
		return
	}
	if !l.peer.Send(Item{ID: id, Kind: Answer, Data: data(l.tag)}) {
		d.undelivered(id)
	}
}

// undelivered ends a call whose answer could not be written.
func (d *Desk) undelivered(id string) {
	if d.finish(id) != nil {
		d.Log.Info("answer not delivered: call released", "call", id)
		d.core.Withdraw(d.front, id)
	}
}

// Final passes the last word on a call that did not come to stand.
func (d *Desk) Final(id string, data func(tag any) []byte) {
	if l := d.finish(id); l != nil {
		l.peer.Send(Item{ID: id, Data: data(l.tag)})
	}
}

// End passes the end of a call that stood on, by its own connection or any other.
func (d *Desk) End(id string, data []byte) {
	if l := d.finish(id); l != nil {
		d.sayEnded(owed{Item{ID: id, Kind: End, Data: data}, l.peer.host, time.Now()}, l.peer)
	}
}

// Stray passes on the end of a call that this desk does not know, to any caller.
func (d *Desk) Stray(id string, data []byte) {
	d.sayEnded(owed{Item{ID: id, Kind: End, Data: data}, "", time.Now()}, nil)
}

// ReleaseUnknown hands on the release of a call that this desk does not know.
func (d *Desk) ReleaseUnknown(id string) { d.core.ReleaseUnknown(id) }

// Blame ends the connection of a call and reports whether the call was known.
func (d *Desk) Blame(id string, err error) {
	if l := d.finish(id); l != nil {
		l.peer.Fail(err)
	}
}

// sayEnded tries the caller's connections in turn and keeps what none could take.
func (d *Desk) sayEnded(o owed, first *Peer) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, up := d.peers[first]; up && first.Send(o.item) {
		return
	}
	for p := range d.peers {
		if p.ready.Load() && (p.host == o.host || o.host == "") && p.Send(o.item) {
			return
		}
	}
	if len(d.owed) < owedMost {
		d.owed = append(d.owed, o)
	}
}
