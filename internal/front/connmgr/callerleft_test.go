package connmgr

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// recordingCore is a core that records the offered call and does nothing more.
type recordingCore struct {
	nullCore
	offered agent.Call
}

func (s *recordingCore) Offer(_ agent.Front, c agent.Call) bool { s.offered = c; return true }

// noData encodes a message that nobody reads.
var noData = func(any) []byte { return nil }

// TestCallerLeft checks that a call's CallerContext ends as soon as the manager sees its caller leave, before
// the core has processed the withdrawal. A caller that closes its connection does not leave a call that
// stands.
func TestCallerLeft(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(m *Manager, p *Peer)
		left bool
	}{
		{"waits", func(*Manager, *Peer) {}, false},
		{"closes", func(m *Manager, p *Peer) { m.removePeer(p) }, true},
		{"gives up", func(m *Manager, p *Peer) { m.Withdraw("1", nil) }, true},
		{"closes, the call stands", func(m *Manager, p *Peer) { m.SendAnswer("1", noData); m.removePeer(p) }, false},
		{"releases the call that stands", func(m *Manager, p *Peer) { m.SendAnswer("1", noData); m.Withdraw("1", nil) }, true},
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
