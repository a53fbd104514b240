package connmgr

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"woodrouter/agent"
)

// nullCore is a core that a test does not get to.
type nullCore struct{}

func (nullCore) Offer(agent.Front, agent.Call) bool { return true }
func (nullCore) Withdraw(agent.Front, string)       {}
func (nullCore) ReleaseUnknown(string)              {}

// addPeer enters a connection of which nothing is read or written: what the desk decides about
// it is all that happens.
func addPeer(t *testing.T, m *Manager) *Peer {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	p := newPeer(m, ours)
	m.peers[p] = struct{}{}
	return p
}

// TestCloseIdle: a connection is in use by what is open, what was said just now, a first message
// on its way, or a call that stands, as far as the one who asks wants these spared. One that was
// ended takes no set-up any more: its caller sends it elsewhere.
func TestCloseIdle(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spare Exempt
		is    func(*Peer)
		kept  bool
	}{
		{"silent since long", Exempt{Used: time.Minute, New: true, Standing: true}, func(p *Peer) { p.gotMessage.Store(true); p.lastUsed.Store(0) }, false},
		{"a set-up is open", Exempt{}, func(p *Peer) { p.openSetUps, p.calls = 1, 1 }, true},
		{"used just now", Exempt{Used: time.Minute}, func(p *Peer) { p.gotMessage.Store(true) }, true},
		{"used just now, in a hurry", Exempt{}, func(p *Peer) { p.gotMessage.Store(true) }, false},
		{"new", Exempt{New: true}, func(*Peer) {}, true},
		{"new, in a hurry", Exempt{}, func(*Peer) {}, false},
		{"a call stands", Exempt{Standing: true}, func(p *Peer) { p.gotMessage.Store(true); p.calls = 1 }, true},
		{"a call stands, another process tells", Exempt{New: true}, func(p *Peer) { p.gotMessage.Store(true); p.calls = 1 }, false},
	} {
		m := New(Config{}, nullCore{}, nil, nil)
		p := addPeer(t, m)
		tc.is(p)
		assert.Equal(t, tc.kept, m.CloseIdle(tc.spare) == 1, tc.name)
		if err := m.Offer(p, agent.Call{ID: "1"}, nil); tc.kept {
			assert.NoError(t, err, tc.name)
		} else {
			assert.ErrorIs(t, err, errClosing, tc.name)
		}
	}
}

// TestCloseExisting: a connection whose settings no longer hold ends for good at the moment at which
// nothing is open on it. A set-up taken after that could not be answered there.
func TestCloseExisting(t *testing.T) {
	m := New(Config{}, nullCore{}, nil, nil)
	p := addPeer(t, m)
	m.CloseExisting(time.Minute)
	assert.ErrorIs(t, m.Offer(p, agent.Call{ID: "1"}, nil), errClosing)
}

// countingConn is a connection that has so many messages of one byte, each with the next or alone, and
// counts the deadlines set.
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

// TestDeadlinesSet: one deadline for each wait, and none for what is there already.
func TestDeadlinesSet(t *testing.T) {
	for _, tc := range []struct {
		reads []string
		want  int // the last is for the connection's end
	}{
		{[]string{"a", "b", "c"}, 4}, // each is waited for
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
