package desk

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// slow is a core that has heard of a call and gets no further.
type slow struct {
	none
	offered agent.Call
}

func (s *slow) Offer(_ agent.Front, c agent.Call) bool { s.offered = c; return true }

// words words a message that nobody reads.
var words = func(any) []byte { return nil }

// TestCallerLeft: whoever holds a call knows that its caller has left as soon as the desk does,
// before the core has read the withdrawal; a caller that closes does not leave a call that stands.
func TestCallerLeft(t *testing.T) {
	for _, tc := range []struct {
		name string
		do   func(d *Desk, p *Peer)
		left bool
	}{
		{"waits", func(*Desk, *Peer) {}, false},
		{"closes", func(d *Desk, p *Peer) { d.forget(p) }, true},
		{"gives up", func(d *Desk, p *Peer) { d.Withdraw("1") }, true},
		{"closes, the call stands", func(d *Desk, p *Peer) { d.Answer("1", words); d.forget(p) }, false},
		{"releases the call that stands", func(d *Desk, p *Peer) { d.Answer("1", words); d.Withdraw("1") }, true},
		{"has its final answer", func(d *Desk, p *Peer) { d.Final("1", words) }, true},
	} {
		c := &slow{}
		d := New(Config{}, c, nil, nil)
		p := peer(t, d)
		require.NoError(t, d.Offer(p, agent.Call{ID: "1"}, nil))
		tc.do(d, p)
		assert.Equal(t, tc.left, c.offered.Caller.Err() != nil, tc.name)
	}
}
