package desk

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestMakeRoom: in a full house the connection that is missed least goes: one that never said
// anything, then an idle one, then one that stopped in the middle of a message; never one whose
// message is still coming, nor one with a set-up in it.
func TestMakeRoom(t *testing.T) {
	old := time.Now().Add(-time.Hour).UnixNano()
	kinds := []func(p *Peer){
		func(p *Peer) { p.used.Store(old) },
		func(p *Peer) { p.said.Store(true); p.used.Store(old) },
		func(p *Peer) { p.begun.Store(true); p.used.Store(old) },
		func(p *Peer) { p.begun.Store(true); p.touch() },
		func(p *Peer) { p.said.Store(true); p.used.Store(old); p.open, p.calls = 1, 1 },
	}
	d := New(Config{MaxPeers: len(kinds)}, none{}, nil, nil)
	var peers []*Peer
	for _, is := range kinds {
		p := peer(t, d)
		is(p)
		peers = append(peers, p)
	}
	for i := range peers {
		assert.Equal(t, i < 3, d.makeRoom(), i)
		for j, p := range peers {
			assert.Equal(t, j > min(i, 2), has(d, p), "after %d: %d", i, j)
		}
	}
}

func has(d *Desk, p *Peer) bool { _, ok := d.peers[p]; return ok }

// TestSlowWriter: bytes that come count as use, before the message is whole.
func TestSlowWriter(t *testing.T) {
	d := New(Config{}, none{}, nil, nil)
	ours, theirs := net.Pipe()
	p := newPeer(d, ours)
	p.used.Store(0)
	go theirs.Write([]byte{1})
	p.In.ReadByte()
	assert.Less(t, p.quiet(), time.Minute)
}

// TestLeaving: connections on their way out cost descriptors until they are closed. Past a bound
// nobody is let in before one of them is.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{MaxPeers: 8, Linger: time.Hour}, none{}, nil, func(p *Peer) error { _, err := p.In.ReadByte(); return err })
		var theirs []net.Conn
		enter := func() {
			ours, their := net.Pipe()
			theirs = append(theirs, their)
			d.welcome(ours)
		}
		for range 8 {
			enter()
		}
		stuck := 0
		for p := range d.peers { // their callers take nothing of what is still to be said
			p.Send(Item{Data: []byte("x")})
			d.mu.Lock()
			d.dismiss(p, false)
			d.mu.Unlock()
			if stuck++; stuck == 2 {
				break
			}
		}
		entered := make(chan struct{})
		go func() { enter(); close(entered) }()
		synctest.Wait()
		select {
		case <-entered:
			t.Error("let in while two of eight were on their way out")
		default:
		}
		time.Sleep(d.WriteTimeout)
		<-entered
		synctest.Wait()
		d.mu.Lock()
		assert.Equal(t, 7, d.open)
		d.mu.Unlock()
		go d.Close()
		for _, c := range theirs {
			c.Close()
		}
		d.Close()
	})
}
