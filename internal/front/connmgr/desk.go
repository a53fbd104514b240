// Package connmgr is what every front needs and no wire decides: connections with a reader
// and a writing actor each, the table of the callers' side of calls, and the rule that
// no connection owns a call that stands.
package connmgr

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
	MaxPeers            int           // most connections
	MaxQueued           int           // most messages that wait for one slow caller
	WriteTimeout        time.Duration // a caller that takes nothing for so long is cut off
	FirstMessageTimeout time.Duration // a new connection's first message must be whole by then
	MessageTimeout      time.Duration // a later message, once begun, must be whole within this
	EvictAfter          time.Duration // a connection without a call, silent for so long, makes room in a full house
	IdleTimeout         time.Duration // a connection that says nothing more is looked at after this
	LingerTimeout       time.Duration // a caller may take so long to see that its connection ends
	RetryAfter          time.Duration // told when the agent itself is too busy; 0: callers heed none, and none is told
	CloseMessage        []byte        // the last that a connection hears when the desk closes
	Log                 *slog.Logger
}

func (c *Config) setDefaults() {
	c.MaxPeers = cmp.Or(c.MaxPeers, 512)
	c.MaxQueued = cmp.Or(c.MaxQueued, 1024)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 500*time.Millisecond)
	// Lawful callers may take 2 s over a set-up, by the platform's pages; who says nothing whole is
	// owed an end within 3 s.
	c.FirstMessageTimeout = cmp.Or(c.FirstMessageTimeout, 2500*time.Millisecond)
	c.MessageTimeout = cmp.Or(c.MessageTimeout, 2500*time.Millisecond)
	c.EvictAfter = cmp.Or(c.EvictAfter, 250*time.Millisecond)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 2*time.Minute)
	c.LingerTimeout = cmp.Or(c.LingerTimeout, 100*time.Millisecond) // a set-up crosses the end for 50 ms, by the protocol
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

// callEntry is the caller's side of a call that is open or stands.
type callEntry struct {
	peer         *Peer
	tag          any // the front's own
	answered     bool
	cancelCaller context.CancelFunc // ends the call's Caller
}

// pendingEnd is a release that found no connection to the caller.
type pendingEnd struct {
	message Message
	host    string // "": any
	since   time.Time
}

// Releases that find no connection are kept so long, and so many of them.
const (
	pendingEndLifetime = 10 * time.Second
	maxPendingEnds     = 4096
)

// Manager serves the callers of one front.
type Manager struct {
	Config
	core    Core
	front   agent.Front
	handler func(*Peer) error

	mu          sync.Mutex
	peers       map[*Peer]struct{}
	openConns   int       // connections not closed yet, those that are leaving included
	connClosed  sync.Cond // one of them has been closed
	calls       map[string]*callEntry
	pendingEnds []pendingEnd
	closed      bool
	goroutines  sync.WaitGroup
}

// New returns a desk; converse reads one connection until it ends.
func New(cfg Config, core Core, front agent.Front, converse func(*Peer) error) *Manager {
	cfg.setDefaults()
	m := &Manager{Config: cfg, core: core, front: front, handler: converse,
		peers: map[*Peer]struct{}{}, calls: map[string]*callEntry{}}
	m.connClosed.L = &m.mu
	return m
}

// errClosing tells that a call came on a connection that is being ended. Nothing of it goes
// on, so that its caller may take the end of the connection for an end of the call.
var errClosing = errors.New("the connection is being ended")

// Serve accepts callers until the listener is closed.
func (m *Manager) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or a caller gone in the queue: others wait
			m.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m.admit(conn)
	}
}

// ClosingDivisor is how many connections, one in so many of the most, may be on their way out beside
// those that are served. Each costs a descriptor until it is closed.
const ClosingDivisor = 8

func (m *Manager) admit(conn net.Conn) {
	p := newPeer(m, conn)
	m.mu.Lock()
	defer m.mu.Unlock()
	for !m.closed && m.openConns-len(m.peers) > m.MaxPeers/ClosingDivisor { // they go in a moment, or in WriteTimeout
		m.connClosed.Wait()
	}
	if m.closed || len(m.peers) >= m.MaxPeers && !m.evictOne() {
		m.Log.Warn("caller turned away: too many connections", "most", m.MaxPeers)
		conn.Close()
		return
	}
	p.idleTimeout = m.IdleTimeout
	m.peers[p] = struct{}{}
	m.openConns++
	m.goroutines.Go(p.readAll)
	m.goroutines.Go(p.writeAll)
}

// closePeer closes a connection and counts it off.
func (m *Manager) closePeer(p *Peer) {
	p.conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openConns--
	m.connClosed.Broadcast()
}

// evictOne ends a connection without a call: one that never said a whole message before one
// that has; among these the one that has been silent longest. Hundreds that only connect
// must not shut those out that have calls. What was used just now stays, as its caller's
// first message, or the next, may be on its way; so does what has a call that stands, as
// that may be the only way to tell of its end.
func (m *Manager) evictOne() bool {
	var least *Peer
	for p := range m.peers {
		if p.calls == 0 && p.sinceUsed() >= m.EvictAfter && (least == nil || p.evictBefore(least)) {
			least = p
		}
	}
	if least == nil {
		return false
	}
	m.Log.Warn("caller's connection ended for a new one", "most", m.MaxPeers, "caller", least.conn.RemoteAddr())
	m.startClosing(least, false)
	return true
}

// startClosing ends a connection on which nothing is open: a set-up that crosses its end is not
// taken, so that its caller may send it again elsewhere.
func (m *Manager) startClosing(p *Peer, linger bool) {
	delete(m.peers, p)
	p.startClosing(linger)
}

// BusyPeers tells how many connections have a set-up without its answer, or one half-read.
func (m *Manager) BusyPeers() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.peers {
		if p.openSetUps > 0 || p.midMessage.Load() {
			n++
		}
	}
	return n
}

// Exempt tells which connections are in use though no set-up is open on them.
type Exempt struct {
	Used     time.Duration // those used within this,
	New      bool          // those whose first message may be on its way,
	Standing bool          // those with a call that stands, whose end is to be told there
}

// CloseIdle ends the connections that are not in use, and tells how many are left.
func (m *Manager) CloseIdle(spare Exempt) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.peers {
		used := p.openSetUps > 0 || p.midMessage.Load() || p.sinceUsed() < spare.Used || spare.New && !p.gotMessage.Load() || spare.Standing && p.calls > 0
		if !used {
			m.startClosing(p, true)
		}
	}
	return len(m.peers)
}

// SetLimits sets the bounds of connections that come from now on.
func (m *Manager) SetLimits(maxPeers int, idle time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.MaxPeers, m.IdleTimeout = maxPeers, idle
}

// CloseExisting ends the connections there are, each once no set-up is open on it, at the latest
// after most.
func (m *Manager) CloseExisting(maxWait time.Duration) {
	m.mu.Lock()
	var leaving []*Peer
	for p := range m.peers {
		leaving = append(leaving, p)
	}
	m.mu.Unlock()
	for last := time.Now().Add(maxWait); len(leaving) > 0; time.Sleep(20 * time.Millisecond) {
		late := time.Now().After(last)
		leaving = slices.DeleteFunc(leaving, func(p *Peer) bool {
			m.mu.Lock() // a set-up must not come between the look and the end
			defer m.mu.Unlock()
			if !late && (p.openSetUps > 0 || p.midMessage.Load()) {
				return false
			}
			m.startClosing(p, true)
			return true
		})
	}
}

// MarkReady tells that a connection can take messages; it gets the releases owed to its host.
func (m *Manager) MarkReady(p *Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.ready.Store(true)
	var kept []pendingEnd
	for _, o := range m.pendingEnds {
		switch {
		case time.Since(o.since) > pendingEndLifetime:
		case (o.host == p.host || o.host == "") && p.Send(o.message):
		default:
			kept = append(kept, o)
		}
	}
	m.pendingEnds = kept
}

// Close ends all connections once what waits for them is written. A set-up that is read from now
// on is not taken: nobody could tell its caller of its answer.
func (m *Manager) Close() {
	m.mu.Lock()
	m.closed = true
	m.connClosed.Broadcast()
	for p := range m.peers {
		m.startClosing(p, true)
	}
	m.mu.Unlock()
	m.goroutines.Wait()
}

// Offer enters a call and hands it to the core. It fails if one of this id is open at
// this front; a core too busy to take the call has the front refuse it.
func (m *Manager) Offer(p *Peer, c agent.Call, tag any) error {
	m.mu.Lock()
	_, up := m.peers[p]
	twice := m.calls[c.ID] != nil
	if up && !twice {
		entry := &callEntry{peer: p, tag: tag}
		c.CallerContext, entry.cancelCaller = context.WithCancel(context.Background())
		m.calls[c.ID] = entry
		p.openSetUps++
		p.calls++
	}
	m.mu.Unlock()
	switch {
	case !up:
		return errClosing
	case twice:
		return agent.ErrDuplicate
	}
	if !m.core.Offer(m.front, c) {
		m.front.Refused(c, m.RetryAfter)
	}
	return nil
}

// Withdraw ends a call for its caller, by any connection. It reports whether the call
// was known, and the front's tag and connection if it had no answer yet.
func (m *Manager) Withdraw(id string) (known bool, by *Peer, tag any) {
	entry := m.removeCall(id)
	if entry == nil {
		return false, nil, nil
	}
	m.core.Withdraw(m.front, id)
	if entry.answered {
		return true, nil, nil
	}
	return true, entry.peer, entry.tag
}

func (m *Manager) removeCall(id string) *callEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.calls[id]
	if entry != nil {
		m.removeLocked(id, entry)
	}
	return entry
}

// removeLocked takes a call out of the table and off its connection's counts.
func (m *Manager) removeLocked(id string, entry *callEntry) {
	delete(m.calls, id)
	entry.cancelCaller()
	entry.peer.calls--
	if !entry.answered {
		entry.peer.openSetUps--
		entry.peer.touch()
	}
}

// busy tells whether a connection waits for a final answer.
func (m *Manager) busy(p *Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.openSetUps > 0
}

// removePeer ends a connection's part: its unanswered calls have no caller any more. Calls
// that stand outlive it.
func (m *Manager) removePeer(p *Peer) {
	m.mu.Lock()
	delete(m.peers, p)
	var gone []string
	for id, entry := range m.calls {
		if entry.peer == p && !entry.answered {
			m.removeLocked(id, entry)
			gone = append(gone, id)
		}
	}
	m.mu.Unlock()
	for _, id := range gone {
		m.core.Withdraw(m.front, id)
	}
}

// SendAnswer passes an answer on. If the caller can't be reached the call is withdrawn.
func (m *Manager) SendAnswer(id string, data func(tag any) []byte) {
	m.mu.Lock()
	entry := m.calls[id]
	if entry != nil && !entry.answered {
		entry.answered = true
		entry.peer.openSetUps--
		entry.peer.touch()
	}
	m.mu.Unlock()
	if entry == nil { // the caller has just left; its withdrawal is on the way
		return
	}
	if !entry.peer.Send(Message{ID: id, Kind: KindAnswer, Data: data(entry.tag)}) {
		m.releaseUndelivered(id)
	}
}

// releaseUndelivered ends a call whose answer could not be written.
func (m *Manager) releaseUndelivered(id string) {
	if m.removeCall(id) != nil {
		m.Log.Info("answer not delivered: call released", "call", id)
		m.core.Withdraw(m.front, id)
	}
}

// SendFinal passes the last word on a call that did not come to stand.
func (m *Manager) SendFinal(id string, data func(tag any) []byte) {
	if entry := m.removeCall(id); entry != nil {
		entry.peer.Send(Message{ID: id, Data: data(entry.tag)})
	}
}

// SendEnd passes the end of a call that stood on, by its own connection or any other.
func (m *Manager) SendEnd(id string, data []byte) {
	if entry := m.removeCall(id); entry != nil {
		m.deliverEnd(pendingEnd{Message{ID: id, Kind: KindEnd, Data: data}, entry.peer.host, time.Now()}, entry.peer)
	}
}

// SendUnknownEnd passes on the end of a call that this desk does not know, to any caller.
func (m *Manager) SendUnknownEnd(id string, data []byte) {
	m.deliverEnd(pendingEnd{Message{ID: id, Kind: KindEnd, Data: data}, "", time.Now()}, nil)
}

// ReleaseUnknown hands on the release of a call that this desk does not know.
func (m *Manager) ReleaseUnknown(id string) { m.core.ReleaseUnknown(id) }

// FailCall ends the connection of a call and reports whether the call was known.
func (m *Manager) FailCall(id string, err error) {
	if entry := m.removeCall(id); entry != nil {
		entry.peer.Fail(err)
	}
}

// deliverEnd tries the caller's connections in turn and keeps what none could take.
func (m *Manager) deliverEnd(o pendingEnd, first *Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, up := m.peers[first]; up && first.Send(o.message) {
		return
	}
	for p := range m.peers {
		if p.ready.Load() && (p.host == o.host || o.host == "") && p.Send(o.message) {
			return
		}
	}
	if len(m.pendingEnds) < maxPendingEnds {
		m.pendingEnds = append(m.pendingEnds, o)
	}
}
