package desk

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"woodrouter/agent"
)

// none is a core that a test does not get to.
type none struct{}

func (none) Offer(agent.Front, agent.Call) bool { return true }
func (none) Withdraw(agent.Front, string)       {}
func (none) ReleaseUnknown(string)              {}

// peer enters a connection of which nothing is read or written: what the desk decides about
// it is all that happens.
func peer(t *testing.T, d *Desk) *Peer {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { ours.Close(); theirs.Close() })
	p := newPeer(d, ours)
	d.peers[p] = struct{}{}
	return p
}

// TestEndIdle: a connection is in use by what is open, what was said just now, a first message
// on its way, or a call that stands, as far as the one who asks wants these spared. One that was
// ended takes no set-up any more: its caller sends it elsewhere.
func TestEndIdle(t *testing.T) {
	for _, tc := range []struct {
		name  string
		spare Spare
		is    func(*Peer)
		kept  bool
	}{
		{"silent since long", Spare{Used: time.Minute, New: true, Standing: true}, func(p *Peer) { p.said.Store(true); p.used.Store(0) }, false},
		{"a set-up is open", Spare{}, func(p *Peer) { p.open, p.calls = 1, 1 }, true},
		{"used just now", Spare{Used: time.Minute}, func(p *Peer) { p.said.Store(true) }, true},
		{"used just now, in a hurry", Spare{}, func(p *Peer) { p.said.Store(true) }, false},
		{"new", Spare{New: true}, func(*Peer) {}, true},
		{"new, in a hurry", Spare{}, func(*Peer) {}, false},
		{"a call stands", Spare{Standing: true}, func(p *Peer) { p.said.Store(true); p.calls = 1 }, true},
		{"a call stands, another process tells", Spare{New: true}, func(p *Peer) { p.said.Store(true); p.calls = 1 }, false},
	} {
		d := New(Config{}, none{}, nil, nil)
		p := peer(t, d)
		tc.is(p)
		assert.Equal(t, tc.kept, d.EndIdle(tc.spare) == 1, tc.name)
		if err := d.Offer(p, agent.Call{ID: "1"}, nil); tc.kept {
			assert.NoError(t, err, tc.name)
		} else {
			assert.ErrorIs(t, err, errEnded, tc.name)
		}
	}
}

// TestClear: a connection whose settings no longer hold ends for good at the moment at which
// nothing is open on it. A set-up taken after that could not be answered there.
func TestClear(t *testing.T) {
	d := New(Config{}, none{}, nil, nil)
	p := peer(t, d)
	d.Clear(time.Minute)
	assert.ErrorIs(t, d.Offer(p, agent.Call{ID: "1"}, nil), errEnded)
}

// counting is a connection that has so many messages of one byte, each with the next or alone, and
// counts the deadlines set.
type counting struct {
	net.Conn
	reads [][]byte
	set   int
}

func (c *counting) RemoteAddr() net.Addr { return &net.TCPAddr{} }
func (c *counting) SetReadDeadline(time.Time) error {
	c.set++
	return nil
}
func (c *counting) Read(b []byte) (int, error) {
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
		c := &counting{}
		for _, r := range tc.reads {
			c.reads = append(c.reads, []byte(r))
		}
		p := newPeer(New(Config{}, none{}, nil, nil), c)
		p.said.Store(true)
		for p.Await() == nil {
			p.In.ReadByte()
			p.Said()
		}
		assert.Equal(t, tc.want, c.set, tc.reads)
	}
}
