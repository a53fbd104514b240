// Package connmgr manages callers' connections for the fronts, independent of the wire protocol: a reading
// goroutine and a writing actor per connection, and the table of callers' calls. A call that stands is not
// bound to the connection that set it up.
package connmgr

import (
	"cmp"
	"context"
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

// callEntry is the caller's side of a call that is open or stands.
type callEntry struct {
	peer         *Peer
	tag          any // for the front's use
	answered     bool
	cancelCaller context.CancelFunc // ends the call's CallerContext
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

// ErrClosing reports a call on a connection that is being closed. The call is not passed on, so its caller
// may treat the end of the connection as the end of the call.
var ErrClosing = errors.New("the connection is being ended")

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

// RefuseSetUps refuses the set-ups that are read from now on.
func (m *Manager) RefuseSetUps() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refusing = true
}

// Offer records a call and passes it to the core, unless its caller has left. It fails with agent.ErrDuplicate if a call with
// this id is open at this front, and with ErrClosing if the connection is being closed. If the core is too busy to accept
// the call, or its connection has too many or accepts none any more, the front refuses it.
func (m *Manager) Offer(p *Peer, c agent.Call, tag any) error {
	p.queue.AwaitRoom()
	if p.callerHasLeft() {
		p.ignored.Add(c.ID)
		return nil
	}
	m.mu.Lock()
	_, registered := m.peers[p]
	duplicate := m.calls[c.ID] != nil
	tooMany := m.MaxPeerCalls > 0 && p.calls >= m.MaxPeerCalls
	refused := tooMany || m.refusing || p.retirement.refuses(time.Now())
	if registered && !duplicate {
		entry := &callEntry{peer: p, tag: tag}
		c.CallerContext, entry.cancelCaller = context.WithCancel(context.Background())
		m.calls[c.ID] = entry
		p.openSetUps++
		p.calls++
	}
	m.mu.Unlock()
	switch {
	case !registered:
		return ErrClosing
	case duplicate:
		return agent.ErrDuplicate
	}
	if refused || !m.core.Offer(m.front, c) {
		m.front.Refused(c, m.RetryAfter)
	}
	return nil
}

// Withdraw ends a call for its caller, on any connection, and reports whether the call was known and had no answer yet. In
// that case the final message goes to the connection of its set-up; a nil final sends none.
func (m *Manager) Withdraw(id string, final func(tag any) []byte) (known, unanswered bool) {
	entry := m.takeCall(id)
	if entry == nil {
		return false, false
	}
	defer m.settle(entry)
	m.core.Withdraw(m.front, id)
	if entry.answered {
		return true, false
	}
	if final != nil {
		entry.peer.sendOwed(Message{ID: id, Data: final(entry.tag)})
	}
	return true, true
}

// takeCall removes a call from the table and returns its entry; nil if it is unknown. The call counts as open on its
// connection until settle is called, so that the connection is not closed before the call's last message is queued.
func (m *Manager) takeCall(id string) *callEntry {
	m.mu.Lock()
	defer m.mu.Unlock()
	entry := m.calls[id]
	if entry != nil {
		delete(m.calls, id)
		entry.cancelCaller()
	}
	return entry
}

// settle removes a call that was taken from the counts of its connection.
func (m *Manager) settle(entry *callEntry) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.settleLocked(entry)
}

// settleLocked does what settle does. The caller holds m.mu.
func (m *Manager) settleLocked(entry *callEntry) {
	entry.peer.calls--
	if !entry.answered {
		entry.peer.openSetUps--
		entry.peer.touch()
	}
}

// busy reports whether a connection waits for a final answer.
func (m *Manager) busy(p *Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return p.openSetUps > 0
}

// removePeer removes a connection. Its unanswered calls are withdrawn, as they have no caller any more. Its
// standing calls continue.
func (m *Manager) removePeer(p *Peer) {
	m.mu.Lock()
	delete(m.peers, p)
	m.mu.Unlock()
	m.withdrawUnanswered(p)
}

// withdrawUnanswered withdraws the unanswered calls of a connection whose caller has left.
func (m *Manager) withdrawUnanswered(p *Peer) {
	m.mu.Lock()
	unanswered := m.openCallsLocked(p)
	for _, id := range unanswered {
		entry := m.calls[id]
		delete(m.calls, id)
		entry.cancelCaller()
		m.settleLocked(entry)
	}
	m.mu.Unlock()
	for _, id := range unanswered {
		m.core.Withdraw(m.front, id)
	}
}

// SendAnswer sends an answer. If the caller can't be reached, the call is withdrawn.
func (m *Manager) SendAnswer(id string, data func(tag any) []byte) {
	m.mu.Lock()
	entry := m.calls[id]
	if entry == nil || entry.answered { // the caller has just left, and its withdrawal is on the way; or a second answer
		m.mu.Unlock()
		return
	}
	entry.answered = true
	m.mu.Unlock()
	sent := entry.peer.sendOwed(Message{ID: id, Kind: KindAnswer, Data: data(entry.tag)})
	m.settleAnswer(entry.peer)
	if !sent {
		m.releaseUndelivered(id)
		return
	}
	m.MarkStanding(entry.peer)
}

// settleAnswer counts a set-up as answered. Until its answer is queued it counts as open, as its connection must not be
// closed before.
func (m *Manager) settleAnswer(p *Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p.openSetUps--
	p.touch()
}

// releaseUndelivered ends a call whose answer could not be written.
func (m *Manager) releaseUndelivered(id string) {
	if entry := m.takeCall(id); entry != nil {
		m.settle(entry)
		m.Log.Info("answer not delivered: call released", "call", id)
		m.core.Withdraw(m.front, id)
	}
}

// SendFinal sends the final message of a call that did not come to stand.
func (m *Manager) SendFinal(id string, data func(tag any) []byte) {
	if entry := m.takeCall(id); entry != nil {
		entry.peer.sendOwed(Message{ID: id, Data: data(entry.tag)})
		m.settle(entry)
	}
}

// CountRejected counts the message that placed a call which was not accepted.
func (m *Manager) CountRejected(c agent.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if entry := m.calls[c.ID]; entry != nil {
		entry.peer.CountIdleMessage(len(c.Description))
	}
}

// ReleaseUnknown passes on the release of a call that this manager does not know, unless it was not passed on itself.
func (m *Manager) ReleaseUnknown(p *Peer, id string) {
	if !p.ignored.Has(id) {
		m.core.ReleaseUnknown(id)
	}
}

// FailCall closes the connection of a call, if the call is known.
func (m *Manager) FailCall(id string, err error) {
	if entry := m.takeCall(id); entry != nil {
		m.settle(entry)
		entry.peer.Fail(err)
	}
}
