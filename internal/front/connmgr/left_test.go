package connmgr

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// recordingCore is a core that has heard of a call and gets no further.
type recordingCore struct {
	nullCore
	offered agent.Call
}

func (s *recordingCore) Offer(_ agent.Front, c agent.Call) bool { s.offered = c; return true }

// noData words a message that nobody reads.
var noData = func(any) []byte { return nil }

// TestCallerLeft: whoever holds a call knows that its caller has left as soon as the desk does,
// before the core has read the withdrawal; a caller that closes does not leave a call that stands.
func TestCallerLeft(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(m *Manager, p *Peer)
		left bool
	}{
		{"waits", func(*Manager, *Peer) {}, false},
		{"closes", func(m *Manager, p *Peer) { m.removePeer(p) }, true},
		{"gives up", func(m *Manager, p *Peer) { m.Withdraw("1") }, true},
		{"closes, the call stands", func(m *Manager, p *Peer) { m.SendAnswer("1", noData); m.removePeer(p) }, false},
		{"releases the call that stands", func(m *Manager, p *Peer) { m.SendAnswer("1", noData); m.Withdraw("1") }, true},
		{"has its final answer", func(m *Manager, p *Peer) { m.SendFinal("1", noData) }, true},
	} {
		c := &recordingCore{}
		m := New(Config{}, c, nil, nil)
		p := addPeer(t, m)
		require.NoError(t, m.Offer(p, agent.Call{ID: "1"}, nil))
		tc.do(m, p)
		assert.Equal(t, tc.left, c.offered.CallerContext.Err() != nil, tc.name)
	}
}
