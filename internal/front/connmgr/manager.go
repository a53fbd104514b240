// Package connmgr manages callers' connections for the fronts, independent of the wire protocol: a reading
// goroutine and a writing actor per connection, and the table of callers' calls. A call that stands is not
// bound to the connection that set it up.
package connmgr

import (
	"cmp"
	"errors"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/agent"
)

// Core is what a front needs of the agent; *agent.Agent implements it.
type Core interface {
	Offer(f agent.Front, c agent.Call) bool
	Withdraw(f agent.Front, id string)
	ReleaseUnknown(id string)
}

// Config configures a Manager; zero values get defaults.
type Config struct {
	MaxPeers            int           // maximum number of connections
	MaxPeerCalls        int           // maximum number of calls of one connection, open and standing; 0: no limit
	MaxQueued           int           // maximum number of messages queued for one slow caller
	WriteTimeout        time.Duration // a caller that takes no data for this long is disconnected
	FirstMessageTimeout time.Duration // a new connection's first message must be complete within this
	MessageTimeout      time.Duration // a later message must be complete this long after its first byte
	EvictAfter          time.Duration // at MaxPeers, a connection without a call, unused this long, may be evicted
	IdleTimeout         time.Duration // AwaitMessage returns ErrIdle after this long without a message
	LingerTimeout       time.Duration // time for a caller to notice that its connection is closing
	RetryAfter          time.Duration // sent when the agent is too busy; 0: callers ignore it, none is sent
	MaxHeldBytes        int64         // of unfinished messages of all connections, each beyond freeHeldBytes
	NoOpMessage         []byte        // without effect, to find out whether a caller's connection was reset
	CloseMessage        []byte        // sent last on a connection that the manager closes
	Log                 *slog.Logger
}

func (c *Config) setDefaults() {
	c.MaxPeers = cmp.Or(c.MaxPeers, 512)
	c.MaxQueued = cmp.Or(c.MaxQueued, 1024)
	c.WriteTimeout = cmp.Or(c.WriteTimeout, 500*time.Millisecond)
	// By the platform's pages callers may take 2 s to send a set-up, and a connection without a complete
	// message must be closed within 3 s.
	c.FirstMessageTimeout = cmp.Or(c.FirstMessageTimeout, 2500*time.Millisecond)
	c.MessageTimeout = cmp.Or(c.MessageTimeout, 2500*time.Millisecond)
	c.EvictAfter = cmp.Or(c.EvictAfter, 250*time.Millisecond)
	c.IdleTimeout = cmp.Or(c.IdleTimeout, 2*time.Minute)
	// by the protocol, a set-up may cross the close for 50 ms
	c.LingerTimeout = cmp.Or(c.LingerTimeout, 100*time.Millisecond)
	c.MaxHeldBytes = cmp.Or(c.MaxHeldBytes, 16<<20)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

// Manager serves the callers of one front.
type Manager struct {
	Config
	core    Core
	front   agent.Front
	handler func(*Peer) error

	mu          sync.Mutex
	peers       map[*Peer]struct{}
	openConns   int       // connections not closed yet, including those that are closing
	connClosed  sync.Cond // signals that a connection was closed
	calls       map[string]*callEntry
	pendingEnds []pendingEnd
	closed      bool
	refusing    bool // all set-ups are refused
	retiring    bool // closeRetired runs
	goroutines  sync.WaitGroup
	heldBytes   atomic.Int64 // of unfinished messages, as far as they are counted
}

// New returns a Manager; handler reads one connection until it ends.
func New(cfg Config, core Core, front agent.Front, handler func(*Peer) error) *Manager {
	cfg.setDefaults()
	m := &Manager{Config: cfg, core: core, front: front, handler: handler,
		peers: map[*Peer]struct{}{}, calls: map[string]*callEntry{}}
	m.connClosed.L = &m.mu
	return m
}

// Serve accepts callers until the listener is closed.
func (m *Manager) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil { // out of descriptors, or the caller left the accept queue; others may wait
			m.Log.Warn("accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		m.admit(conn)
	}
}

// ClosingDivisor bounds the connections that are closing: MaxPeers/ClosingDivisor may be, in addition to the
// MaxPeers that are served. Each holds a descriptor until it is closed.
const ClosingDivisor = 8

// admit starts serving a connection, or closes it if there are too many. It waits while too many connections
// are closing.
func (m *Manager) admit(conn net.Conn) {
	p := newPeer(m, conn)
	m.mu.Lock()
	defer m.mu.Unlock()
	// the wait is short: each of them is closed after WriteTimeout at the latest
	for !m.closed && m.openConns-len(m.peers) > m.MaxPeers/ClosingDivisor {
		m.connClosed.Wait()
	}
	if m.closed || len(m.peers) >= m.MaxPeers && !m.evictOne() {
		m.Log.Warn("caller turned away: too many connections", "most", m.MaxPeers)
		conn.Close()
		return
	}
	p.idleTimeout = m.IdleTimeout
	m.Log.Debug("caller connected", "caller", conn.RemoteAddr())
	m.peers[p] = struct{}{}
	m.openConns++
	m.goroutines.Go(p.readAll)
	m.goroutines.Go(p.writeAll)
}

// closePeer closes a connection and reduces the count of open ones.
func (m *Manager) closePeer(p *Peer) {
	p.conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.openConns--
	m.connClosed.Broadcast()
}

// evictOne closes one connection without a call, and reports whether there was one. A connection with unread bytes is in
// use. Connections that never
// sent a complete message go first, then the one unused for the longest time: hundreds of connections that
// only connect must not shut out callers with calls. A connection used within EvictAfter stays, as a message
// may be on its way. So does one with a standing call, as it may be the only way to report the call's end.
func (m *Manager) evictOne() bool {
	candidate := m.evictable()
	for ; candidate != nil && unreadBytes(candidate.conn) > 0; candidate = m.evictable() {
		candidate.touch()
	}
	if candidate == nil {
		return false
	}
	m.Log.Warn("caller's connection ended for a new one", "most", m.MaxPeers, "caller", candidate.conn.RemoteAddr())
	m.startClosing(candidate, false)
	return true
}

// evictable returns the connection to evict first; nil if there is none.
func (m *Manager) evictable() (candidate *Peer) {
	for p := range m.peers {
		if p.calls == 0 && p.sinceUsed() >= m.EvictAfter && (candidate == nil || p.evictBefore(candidate)) {
			candidate = p
		}
	}
	return candidate
}

// startClosing closes a connection on which no set-up is open. A set-up that crosses the close is not
// accepted, so its caller may send it again elsewhere.
func (m *Manager) startClosing(p *Peer, linger bool) {
	delete(m.peers, p)
	p.startClosing(linger)
}

// BusyPeers returns how many connections have an unanswered set-up, or a message that is not handled yet.
func (m *Manager) BusyPeers() (n int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.peers {
		if p.openSetUps > 0 || p.inUse() {
			n++
		}
	}
	return n
}

// Exempt says which connections without an open set-up CloseIdle leaves open.
type Exempt struct {
	Used     time.Duration // those used within this period
	New      bool          // those whose first message may be on its way
	Standing bool          // those with a standing call, whose end is reported there
}

// CloseIdle closes the connections that are not in use, and returns how many are left.
func (m *Manager) CloseIdle(exempt Exempt) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.peers {
		used := p.openSetUps > 0 || p.sinceUsed() < exempt.Used || exempt.New && !p.gotMessage.Load() || exempt.Standing && p.calls > 0
		if !used && !p.inUse() {
			m.startClosing(p, true)
		}
	}
	return len(m.peers)
}

// SetLimits sets the limits for connections that are accepted from now on.
func (m *Manager) SetLimits(maxPeers int, idle time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.MaxPeers, m.IdleTimeout = maxPeers, idle
}

// Close closes all connections once their queued messages are written. A set-up that is read from now on is
// not accepted, as its caller could not be answered.
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

// removePeer removes a connection. Its unanswered calls are withdrawn, as they have no caller any more. Its
// standing calls continue.
func (m *Manager) removePeer(p *Peer) {
	m.mu.Lock()
	delete(m.peers, p)
	m.mu.Unlock()
	m.withdrawUnanswered(p)
}
