package connmgr

import (
	"io"
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
	local, remote := tcpPair(t)
	m := New(Config{MaxPeers: 1}, nullCore{}, nil, nil)
	p := newPeer(m, local)
	m.peers[p] = struct{}{}
	_, err := remote.Write([]byte{1})
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

// tcpPair returns the two ends of a TCP connection.
func tcpPair(t *testing.T) (local, remote net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	remote, err = net.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	local, err = ln.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { local.Close(); remote.Close() })
	return local, remote
}

// lateConn is a connection whose process does not run between the setting of a deadline and the next step.
type lateConn struct {
	*net.TCPConn
	late time.Duration
}

func (c *lateConn) Read(b []byte) (int, error)  { c.wait(); return c.TCPConn.Read(b) }
func (c *lateConn) Write(b []byte) (int, error) { c.wait(); return c.TCPConn.Write(b) }

// wait waits once.
func (c *lateConn) wait() {
	time.Sleep(c.late)
	c.late = 0
}

// TestLateProcessKeepsConnection guards messages against time-outs that pass while this process does not run: a set-up that has come
// is read, and an answer that its caller would take is written.
func TestLateProcessKeepsConnection(t *testing.T) {
	const timeout, late = 50 * time.Millisecond, 200 * time.Millisecond
	local, remote := tcpPair(t)
	conn := &lateConn{TCPConn: local.(*net.TCPConn)}
	p := newPeer(New(Config{FirstMessageTimeout: timeout, WriteTimeout: timeout}, nullCore{}, nil, nil), conn)
	conn.late = late
	_, err := remote.Write([]byte{1})
	require.NoError(t, err)
	require.NoError(t, p.AwaitMessage())
	conn.late = late
	require.NoError(t, p.write([]byte("answer")))
	got := make([]byte, 6)
	_, err = io.ReadFull(remote, got)
	require.NoError(t, err)
	assert.Equal(t, "answer", string(got))
	p.In.ReadByte()
	p.MessageRead()
	p.idleTimeout = timeout
	assert.ErrorIs(t, p.AwaitMessage(), ErrIdle, "nothing has come")
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
