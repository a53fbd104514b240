package connmgr

import (
	"context"
	"errors"
	"time"

	"woodrouter/agent"
)

// callEntry is the caller's side of a call that is open or stands.
type callEntry struct {
	peer         *Peer
	tag          any // for the front's use
	answered     bool
	cancelCaller context.CancelFunc // ends the call's CallerContext
}

// ErrClosing reports a call on a connection that is being closed. The call is not passed on, so its caller
// may treat the end of the connection as the end of the call.
var ErrClosing = errors.New("the connection is being ended")

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
