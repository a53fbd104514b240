package connmgr

import (
	"io"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

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

// TestRetire checks that a connection is closed for good as soon as nothing is open on it, that one with an open set-up stays
// until the answer is queued, however long that takes, and that set-ups are refused there only where the retirement says so.
// A set-up that was accepted after the close could not be answered there.
func TestRetire(t *testing.T) {
	for _, tc := range []struct {
		name           string
		retirement     func(now time.Time) Retirement
		refused, fails int
	}{
		{"may stay until it pauses", func(time.Time) Retirement { return Retirement{} }, 0, 0},
		{"refuses set-ups later", func(now time.Time) Retirement { return Retirement{RefuseFrom: now.Add(time.Hour)} }, 0, 0},
		{"refuses set-ups", func(now time.Time) Retirement { return Retirement{RefuseFrom: now} }, 1, 0},
		{"fails open set-ups", func(now time.Time) Retirement { return Retirement{RefuseFrom: now, FailAt: now.Add(5 * time.Second)} }, 1, 1},
	} {
		synctest.Test(t, func(t *testing.T) {
			retirement := tc.retirement(time.Now())
			front := &countingFront{}
			m := New(Config{}, nullCore{}, front, nil)
			front.m = m
			pausing, busy, kept := addPeer(t, m), addPeer(t, m), addPeer(t, m)
			require.NoError(t, m.Offer(busy, agent.Call{ID: "1"}, nil))
			m.Retire(func(p *Peer, _ bool) *Retirement {
				if p == kept {
					return nil
				}
				return &retirement
			})
			assert.ErrorIs(t, m.Offer(pausing, agent.Call{ID: "2"}, nil), ErrClosing, tc.name)
			require.NoError(t, m.Offer(busy, agent.Call{ID: "3"}, nil))
			require.NoError(t, m.Offer(kept, agent.Call{ID: "4"}, nil))
			assert.Equal(t, tc.refused, front.refused, tc.name)
			m.SendFinal("3", noData)
			time.Sleep(time.Minute)
			m.mu.Lock()
			assert.Equal(t, tc.fails, front.failed, tc.name)
			assert.Equal(t, tc.fails == 0, registered(m, busy), tc.name)
			m.mu.Unlock()
			m.SendFinal("1", noData)
			time.Sleep(retireInterval)
			synctest.Wait()
			assert.ErrorIs(t, m.Offer(busy, agent.Call{ID: "5"}, nil), ErrClosing, tc.name)
			require.NoError(t, m.Offer(kept, agent.Call{ID: "6"}, nil), tc.name)
		})
	}
}

// countingFront counts the refusals and failures of the manager, which it ends as a front does. Its other methods are not
// called.
type countingFront struct {
	agent.Front
	m               *Manager
	refused, failed int
}

func (f *countingFront) Refused(c agent.Call, _ time.Duration) {
	f.refused++
	f.m.SendFinal(c.ID, noData)
}

func (f *countingFront) Failed(c agent.Call, _ error) {
	f.failed++
	f.m.SendFinal(c.ID, noData)
}

// TestRetireTwice guards the limits of a connection through changes in a row: an earlier limit holds, and one whose reason has
// gone does not.
func TestRetireTwice(t *testing.T) {
	early, late := time.Now(), time.Now().Add(time.Hour)
	limited := func(from time.Time) Retirement { return Retirement{RefuseFrom: from, FailAt: from.Add(time.Second)} }
	for _, tc := range []struct{ first, second, want Retirement }{
		{limited(early), limited(late), limited(early)},
		{limited(late), limited(early), limited(early)},
		{limited(early), Retirement{}, Retirement{}},
		{Retirement{}, limited(late), limited(late)},
	} {
		assert.Equal(t, tc.want, *tc.second.keepEarlier(&tc.first))
	}
}

// TestAnswerBeforeClose guards the answer of a set-up against a close at that moment: the set-up counts as open until its
// answer is queued.
func TestAnswerBeforeClose(t *testing.T) {
	for name, answer := range map[string]func(m *Manager, data func(any) []byte){
		"answer": func(m *Manager, data func(any) []byte) { m.SendAnswer("1", data) },
		"final":  func(m *Manager, data func(any) []byte) { m.SendFinal("1", data) },
		"cancel": func(m *Manager, data func(any) []byte) { m.Withdraw("1", data) },
	} {
		m := New(Config{}, nullCore{}, nil, nil)
		p := addPeer(t, m)
		require.NoError(t, m.Offer(p, agent.Call{ID: "1"}, nil))
		answer(m, func(any) []byte {
			m.CloseIdle(Exempt{})
			m.Retire(func(*Peer, bool) *Retirement { return &Retirement{} })
			return []byte("answer")
		})
		p.queue.Close()
		message, ok := p.queue.Take()
		assert.True(t, ok, name)
		assert.Equal(t, "answer", string(message.Data), name)
		m.Close()
	}
}

// TestAnswersAtOnce guards a caller with more open set-ups than its queue has room for, all of which are answered at the same
// time.
func TestAnswersAtOnce(t *testing.T) {
	m := New(Config{MaxQueued: 4}, nullCore{}, nil, nil)
	p := addPeer(t, m)
	ids := strings.Split("abcdefghijkl", "")
	for _, id := range ids {
		require.NoError(t, m.Offer(p, agent.Call{ID: id}, nil))
	}
	for _, id := range ids {
		m.SendFinal(id, noData)
	}
	assert.Equal(t, len(ids), p.queue.Len())
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
