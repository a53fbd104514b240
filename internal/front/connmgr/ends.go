package connmgr

import (
	"cmp"
	"slices"
	"time"
)

// pendingEnd is the end of a call that could not be sent on any connection of its caller.
type pendingEnd struct {
	message Message
	host    string  // "": any host
	idle    []*Peer // connections on which no call has stood and copies were sent
}

// Bounds on how long, and how many, ends are kept that could not be sent.
const (
	pendingEndLifetime = 10 * time.Second
	maxPendingEnds     = 4096
)

// idlePeerDelay is how long an end waits for a connection on which a call has stood. After that it goes to others, so
// that it is in time if a caller merely listens there.
const idlePeerDelay = 400 * time.Millisecond

// maxIdlePeers limits on how many connections on which no call has stood an end is sent.
const maxIdlePeers = 8

// SendEnd reports the end of a call that stood, on the call's connection or another one of its caller.
func (m *Manager) SendEnd(id string, data []byte) {
	if entry := m.takeCall(id); entry != nil {
		m.settle(entry)
		m.deliverEnd(newEnd(id, data), entry.peer.host, entry.peer)
	}
}

// SendUnknownEnd reports the end of a call that this manager does not know, to any caller.
func (m *Manager) SendUnknownEnd(id string, data []byte) { m.deliverEnd(newEnd(id, data), "", nil) }

// newEnd returns the message that reports the end of a call.
func newEnd(id string, data []byte) Message {
	return Message{ID: id, Kind: KindEnd, Data: data, endedAt: time.Now()}
}

// deliverEnd sends an end on the connection first, or on another one on which a call has stood. If there is none it is
// kept.
func (m *Manager) deliverEnd(end Message, host string, first *Peer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, registered := m.peers[first]; registered && first.Send(end) {
		return
	}
	for _, p := range m.peersOf(host, true) {
		if p != first && p.Send(end) {
			return
		}
	}
	known := slices.ContainsFunc(m.pendingEnds, func(e pendingEnd) bool { return e.message.ID == end.ID })
	if !known && len(m.pendingEnds) < maxPendingEnds && time.Since(end.endedAt) < pendingEndLifetime {
		m.Log.Debug("end of call kept", "call", end.ID, "caller", host)
		m.pendingEnds = append(m.pendingEnds, pendingEnd{message: end, host: host})
		time.AfterFunc(idlePeerDelay, m.deliverToIdle)
	}
}

// peersOf returns the connections of a host, or of any host if it is "", that can be sent ends: those on which a call
// has stood, or the others. Anybody can place calls and release invented ones, so neither shows that the caller reads
// ends. Those that are near their limit of idle messages come last, and the latest used come first.
func (m *Manager) peersOf(host string, hadStanding bool) []*Peer {
	var inLimit, overLimit []*Peer
	for p := range m.peers {
		switch {
		case !p.ready.Load() || p.hadStanding.Load() != hadStanding || p.host != host && host != "":
		case p.sendsIdly():
			overLimit = append(overLimit, p)
		default:
			inLimit = append(inLimit, p)
		}
	}
	latestFirst := func(a, b *Peer) int { return cmp.Compare(b.lastUsed.Load(), a.lastUsed.Load()) }
	slices.SortFunc(inLimit, latestFirst)
	slices.SortFunc(overLimit, latestFirst)
	return append(inLimit, overLimit...)
}

// deliverToIdle sends the ends that have waited for idlePeerDelay on connections on which no call has stood. Nobody may
// read these, so an end goes to several of them once, and is kept for another connection.
func (m *Manager) deliverToIdle() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.pendingEnds {
		end := &m.pendingEnds[i]
		if len(end.idle) == 0 && time.Since(end.message.endedAt) >= idlePeerDelay {
			end.idle = m.sendToIdle(*end)
		}
	}
}

// sendToIdle sends copies of an end on connections on which no call has stood and returns these: half of them are the
// latest used, and the others the longest open, as many callers may come and go beside one that listens.
func (m *Manager) sendToIdle(end pendingEnd) (sent []*Peer) {
	latestUsed := m.peersOf(end.host, false)
	longestOpen := slices.SortedFunc(slices.Values(latestUsed), func(a, b *Peer) int { return a.opened.Compare(b.opened) })
	send := func(candidates []*Peer, limit int) {
		for _, p := range candidates {
			if len(sent) < limit && !slices.Contains(sent, p) && p.Send(Message{ID: end.message.ID, Data: end.message.Data}) {
				sent = append(sent, p)
			}
		}
	}
	send(latestUsed, maxIdlePeers/2)
	send(longestOpen, maxIdlePeers)
	return sent
}

// MarkReady records that a connection can receive messages. It is sent the ends that have waited for long.
func (m *Manager) MarkReady(p *Peer) {
	p.ready.Store(true)
	m.deliverToIdle()
}

// MarkStanding records that a call that stood was answered or released on a connection. It is sent the ends that are
// kept for its host.
func (m *Manager) MarkStanding(p *Peer) {
	if p.hadStanding.Swap(true) {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pendingEnds = slices.DeleteFunc(m.pendingEnds, func(end pendingEnd) bool {
		if time.Since(end.message.endedAt) > pendingEndLifetime || slices.Contains(end.idle, p) {
			return true
		}
		return (end.host == p.host || end.host == "") && p.Send(end.message)
	})
}
