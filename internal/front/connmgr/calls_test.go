package connmgr

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

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
