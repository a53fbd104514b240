package connmgr

import (
	"cmp"
	"slices"
	"time"

	"woodrouter/agent"
)

// Retirement says how a connection is served until it is closed, which is at the first moment at which no set-up is open
// on it and no message of its caller is unread.
type Retirement struct {
	// RefuseFrom is when new set-ups begin to be refused, so that a caller that never pauses is closed too; zero: never.
	RefuseFrom time.Time
	// FailAt is when set-ups that are still open fail, so that the connection does not outlast them; zero: never.
	FailAt time.Time
}

// retireInterval is the time between two searches for retired connections that can be closed.
const retireInterval = 20 * time.Millisecond

// refuses reports whether new set-ups are refused.
func (r *Retirement) refuses(now time.Time) bool {
	return r != nil && !r.RefuseFrom.IsZero() && !now.Before(r.RefuseFrom)
}

// fails reports whether open set-ups fail.
func (r *Retirement) fails(now time.Time) bool {
	return r != nil && !r.FailAt.IsZero() && !now.Before(r.FailAt)
}

// keepEarlier returns the retirement with the limits of a former one where these are earlier. Limits that it does not have
// are not added: the former reason no longer holds.
func (r Retirement) keepEarlier(former *Retirement) *Retirement {
	if former == nil {
		return &r
	}
	r.RefuseFrom = earlierLimit(r.RefuseFrom, former.RefuseFrom)
	r.FailAt = earlierLimit(r.FailAt, former.FailAt)
	return &r
}

// earlierLimit returns the earlier of two times; a zero time is none.
func earlierLimit(limit, former time.Time) time.Time {
	if !limit.IsZero() && !former.IsZero() && former.Before(limit) {
		return former
	}
	return limit
}

// Retire has decide choose what becomes of each present connection: it returns nil for one that stays as it is. surplus
// says that the connection is above MaxPeers; those without calls and the longest unused stay below it last. decide must
// not call the Manager.
func (m *Manager) Retire(decide func(p *Peer, surplus bool) *Retirement) {
	m.mu.Lock()
	defer m.mu.Unlock()
	surplus := len(m.peers) - m.MaxPeers
	for i, p := range m.peersByUse() {
		if next := decide(p, i < surplus); next != nil {
			p.retirement = next.keepEarlier(p.retirement)
		}
	}
	m.startRetiringLocked()
}

// startRetiringLocked closes the retired connections, those that can't be closed yet in the background. The caller holds
// m.mu.
func (m *Manager) startRetiringLocked() {
	if m.closeRetiredLocked(time.Now()) && !m.closed && !m.retiring {
		m.retiring = true
		m.goroutines.Go(m.closeRetired)
	}
}

// refuseUntilAnswered retires a connection on which set-ups are open, and refuses further ones on it. It reports false if none
// is open.
func (m *Manager) refuseUntilAnswered(p *Peer) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.openSetUps == 0 {
		return false
	}
	now := time.Now()
	if !p.retirement.refuses(now) {
		next := Retirement{RefuseFrom: now}
		if p.retirement != nil {
			next.FailAt = p.retirement.FailAt
		}
		p.retirement = &next
		m.startRetiringLocked()
	}
	return true
}

// peersByUse returns the connections, those with the fewest calls and among them the longest unused first. The caller holds
// m.mu.
func (m *Manager) peersByUse() []*Peer {
	peers := make([]*Peer, 0, len(m.peers))
	for p := range m.peers {
		peers = append(peers, p)
	}
	slices.SortFunc(peers, func(a, b *Peer) int {
		return cmp.Or(cmp.Compare(a.calls, b.calls), cmp.Compare(a.lastUsed.Load(), b.lastUsed.Load()))
	})
	return peers
}

// closeRetired closes the retired connections, each as soon as it can be, until none is left.
func (m *Manager) closeRetired() {
	ticker := time.NewTicker(retireInterval)
	defer ticker.Stop()
	for range ticker.C {
		m.failRetired()
		m.mu.Lock()
		m.retiring = !m.closed && m.closeRetiredLocked(time.Now())
		left := m.retiring
		m.mu.Unlock()
		if !left {
			return
		}
	}
}

// closeRetiredLocked closes the retired connections that can be closed now, and reports whether any is left. The caller
// holds m.mu.
func (m *Manager) closeRetiredLocked(now time.Time) (left bool) {
	for p := range m.peers {
		switch {
		case p.retirement == nil:
		case p.openSetUps == 0 && (!p.inUse() || m.sendsOn(p, now)):
			m.startClosing(p, true)
		default:
			left = true
		}
	}
	return left
}

// sendsOn reports whether a connection whose set-ups are refused has been in use for as long as a message may take since
// then: its caller does not pause.
func (m *Manager) sendsOn(p *Peer, now time.Time) bool {
	return p.retirement.refuses(now.Add(-m.MessageTimeout))
}

// failRetired gives the set-ups their answers that are still open when their connection's retirement has them fail.
func (m *Manager) failRetired() {
	for _, id := range m.overdueCalls(time.Now()) {
		m.Log.Warn("call failed: its connection may no longer be used", "call", id)
		m.front.Failed(agent.Call{ID: id}, agent.ErrOverdue)
		m.core.Withdraw(m.front, id)
	}
}

// overdueCalls returns the open calls of connections whose retirement has them fail.
func (m *Manager) overdueCalls(now time.Time) (ids []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for p := range m.peers {
		if p.retirement.fails(now) && p.openSetUps > 0 {
			ids = append(ids, m.openCallsLocked(p)...)
		}
	}
	return ids
}

// openCallsLocked returns the calls of a connection that have no answer yet. The caller holds m.mu.
func (m *Manager) openCallsLocked(p *Peer) (ids []string) {
	for id, entry := range m.calls {
		if entry.peer == p && !entry.answered {
			ids = append(ids, id)
		}
	}
	return ids
}
