package connmgr

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestEvictOne checks the order in which connections are closed for new ones: one that never sent anything,
// then an idle one, then one that stopped in the middle of a message; never one whose message is still
// arriving, nor one with an open set-up.
func TestEvictOne(t *testing.T) {
	old := time.Now().Add(-time.Hour).UnixNano()
	kinds := []func(p *Peer){
		func(p *Peer) { p.lastUsed.Store(old) },
		func(p *Peer) { p.gotMessage.Store(true); p.lastUsed.Store(old) },
		func(p *Peer) { p.midMessage.Store(true); p.lastUsed.Store(old) },
		func(p *Peer) { p.midMessage.Store(true); p.touch() },
		func(p *Peer) { p.gotMessage.Store(true); p.lastUsed.Store(old); p.openSetUps, p.calls = 1, 1 },
	}
	m := New(Config{MaxPeers: len(kinds)}, nullCore{}, nil, nil)
	var peers []*Peer
	for _, setUp := range kinds {
		p := addPeer(t, m)
		setUp(p)
		peers = append(peers, p)
	}
	for i := range peers {
		assert.Equal(t, i < 3, m.evictOne(), i)
		for j, p := range peers {
			assert.Equal(t, j > min(i, 2), registered(m, p), "after %d: %d", i, j)
		}
	}
}

func registered(m *Manager, p *Peer) bool { _, ok := m.peers[p]; return ok }

// TestBytesCountAsUse checks that received bytes count as use before the message is complete.
func TestBytesCountAsUse(t *testing.T) {
	m := New(Config{}, nullCore{}, nil, nil)
	local, remote := net.Pipe()
	p := newPeer(m, local)
	p.lastUsed.Store(0)
	go remote.Write([]byte{1})
	p.In.ReadByte()
	assert.Less(t, p.sinceUsed(), time.Minute)
}

// TestClosingBound checks that no connection is admitted while too many are closing, as each holds a
// descriptor until it is closed.
func TestClosingBound(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{MaxPeers: 8, LingerTimeout: time.Hour}, nullCore{}, nil, func(p *Peer) error { _, err := p.In.ReadByte(); return err })
		var remoteConns []net.Conn
		admit := func() {
			local, remote := net.Pipe()
			remoteConns = append(remoteConns, remote)
			m.admit(local)
		}
		for range 8 {
			admit()
		}
		closing := 0
		for p := range m.peers { // their callers don't read the queued message
			p.Send(Message{Data: []byte("x")})
			m.mu.Lock()
			m.startClosing(p, false)
			m.mu.Unlock()
			if closing++; closing == 2 {
				break
			}
		}
		entered := make(chan struct{})
		go func() { admit(); close(entered) }()
		synctest.Wait()
		select {
		case <-entered:
			t.Error("admitted while two of eight connections were closing")
		default:
		}
		time.Sleep(m.WriteTimeout)
		<-entered
		synctest.Wait()
		m.mu.Lock()
		assert.Equal(t, 7, m.openConns)
		m.mu.Unlock()
		go m.Close()
		for _, c := range remoteConns {
			c.Close()
		}
		m.Close()
	})
}
