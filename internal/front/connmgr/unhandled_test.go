package connmgr

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/standin"
)

// TestUnreadSetUpKeepsConnection guards a set-up that has come and is not read yet against a close of its connection as idle, at a
// stop, a drain or a full limit of connections.
func TestUnreadSetUpKeepsConnection(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	remote, err := net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer remote.Close()
	local, err := ln.Accept()
	require.NoError(t, err)
	defer local.Close()
	m := New(Config{MaxPeers: 1}, nullCore{}, nil, nil)
	p := newPeer(m, local)
	m.peers[p] = struct{}{}
	_, err = remote.Write([]byte{1})
	require.NoError(t, err)
	require.Eventually(t, func() bool { return unreadBytes(local) > 0 }, standin.WaitTimeout, time.Millisecond)
	p.lastUsed.Store(0)
	assert.Equal(t, 1, m.BusyPeers())
	assert.Equal(t, 1, m.CloseIdle(Exempt{}))
	m.Retire(func(*Peer, bool) *Retirement { return &Retirement{} })
	assert.False(t, m.evictOne())
	require.NoError(t, m.Offer(p, agent.Call{ID: "1"}, nil))
	p.In.ReadByte()
	m.SendFinal("1", noData)
	assert.Zero(t, m.CloseIdle(Exempt{}), "nothing is unread any more")
	m.Close()
}

// TestReadSetUpKeepsConnection guards a set-up that was read against a close before it is passed on.
func TestReadSetUpKeepsConnection(t *testing.T) {
	local, remote := net.Pipe()
	offered := make(chan error, 1)
	var m *Manager
	m = New(Config{}, nullCore{}, nil, func(p *Peer) error {
		err := p.AwaitMessage()
		if err != nil {
			return err
		}
		p.In.ReadByte()
		p.MessageRead()
		m.CloseIdle(Exempt{})
		offered <- m.Offer(p, agent.Call{ID: "1"}, nil)
		p.MessageHandled()
		return p.AwaitMessage()
	})
	m.admit(local)
	remote.Write([]byte{1})
	assert.NoError(t, standin.Next(t, offered))
	remote.Close()
	m.Close()
}
