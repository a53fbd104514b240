package connmgr

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"woodrouter/agent"
)

// nullCore is a core that accepts everything and does nothing.
type nullCore struct{}

func (nullCore) Offer(agent.Front, agent.Call) bool { return true }
func (nullCore) Withdraw(agent.Front, string)       {}
func (nullCore) ReleaseUnknown(string)              {}

// addPeer registers a connection without a reader or a writer, so that only the manager's decisions affect
// it.
func addPeer(t *testing.T, m *Manager) *Peer {
	local, remote := net.Pipe()
	t.Cleanup(func() { local.Close(); remote.Close() })
	p := newPeer(m, local)
	m.peers[p] = struct{}{}
	return p
}

// TestCloseIdle checks which connections stay open: those with an open set-up, and, as far as the caller of
// CloseIdle exempts them, those used recently, those whose first message may be on its way, and those with a
// standing call. A closed connection accepts no set-up any more, so that its caller sends the set-up
// elsewhere.
func TestCloseIdle(t *testing.T) {
	for _, tc := range []struct {
		name   string
		exempt Exempt
		is     func(*Peer)
		open   bool
	}{
		{"unused for long", Exempt{Used: time.Minute, New: true, Standing: true}, func(p *Peer) { p.gotMessage.Store(true); p.lastUsed.Store(0) }, false},
		{"a set-up is open", Exempt{}, func(p *Peer) { p.openSetUps, p.calls = 1, 1 }, true},
		{"used just now", Exempt{Used: time.Minute}, func(p *Peer) { p.gotMessage.Store(true) }, true},
		{"used just now, not exempt", Exempt{}, func(p *Peer) { p.gotMessage.Store(true) }, false},
		{"new", Exempt{New: true}, func(*Peer) {}, true},
		{"new, not exempt", Exempt{}, func(*Peer) {}, false},
		{"a call stands", Exempt{Standing: true}, func(p *Peer) { p.gotMessage.Store(true); p.calls = 1 }, true},
		{"a call stands, not exempt as another process reports its end", Exempt{New: true}, func(p *Peer) { p.gotMessage.Store(true); p.calls = 1 }, false},
	} {
		m := New(Config{}, nullCore{}, nil, nil)
		p := addPeer(t, m)
		tc.is(p)
		assert.Equal(t, tc.open, m.CloseIdle(tc.exempt) == 1, tc.name)
		if err := m.Offer(p, agent.Call{ID: "1"}, nil); tc.open {
			assert.NoError(t, err, tc.name)
		} else {
			assert.ErrorIs(t, err, ErrClosing, tc.name)
		}
	}
}

// countingConn is a connection that returns one-byte messages, one or several per read, and counts the
// deadlines that are set.
type countingConn struct {
	net.Conn
	reads        [][]byte
	deadlinesSet int
}

func (c *countingConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }
func (c *countingConn) SetReadDeadline(time.Time) error {
	c.deadlinesSet++
	return nil
}
func (c *countingConn) Read(b []byte) (int, error) {
	if len(c.reads) == 0 {
		return 0, io.EOF
	}
	n := copy(b, c.reads[0])
	c.reads = c.reads[1:]
	return n, nil
}

// TestDeadlinesSet checks that each wait for bytes sets one deadline, and that reading buffered bytes sets
// none.
func TestDeadlinesSet(t *testing.T) {
	for _, tc := range []struct {
		reads []string
		want  int // the last one is for reading the connection's end
	}{
		{[]string{"a", "b", "c"}, 4}, // a wait for each message
		{[]string{"abc", "def"}, 3},
	} {
		c := &countingConn{}
		for _, r := range tc.reads {
			c.reads = append(c.reads, []byte(r))
		}
		p := newPeer(New(Config{}, nullCore{}, nil, nil), c)
		p.gotMessage.Store(true)
		for p.AwaitMessage() == nil {
			p.In.ReadByte()
			p.MessageRead()
		}
		assert.Equal(t, tc.want, c.deadlinesSet, tc.reads)
	}
}
