package connmgr

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
)

// TestLimitsKeepOpenSetUps guards the answer of an open set-up against the limits that close its connection: of messages without a
// call, and of unfinished messages. The connection ends once it has its answer.
func TestLimitsKeepOpenSetUps(t *testing.T) {
	for _, tc := range []struct {
		name  string
		reach func(p *Peer) error // until the limit ends the connection
		want  error
	}{
		{"messages without a call", func(p *Peer) (err error) {
			for err == nil {
				p.CountIdleMessage(0)
				err = p.pace()
			}
			return err
		}, errTooManyMessages},
		{"unfinished messages", func(p *Peer) error { return p.HoldBytes(2 * freeHeldBytes) }, ErrTooMuchHeld},
	} {
		synctest.Test(t, func(t *testing.T) {
			front := &countingFront{}
			m := New(Config{MaxHeldBytes: 1}, nullCore{}, front, nil)
			front.m = m
			p := addPeer(t, m)
			require.NoError(t, m.Offer(p, agent.Call{ID: "1"}, nil))
			ended := make(chan error, 1)
			go func() { ended <- tc.reach(p) }()
			time.Sleep(time.Minute)
			assert.Empty(t, ended, tc.name)
			m.SendFinal("1", noData)
			assert.ErrorIs(t, <-ended, tc.want, tc.name)
			m.Close()
		})
	}
}

// TestHeldMessageGoesOn checks that a message that waits for memory beside an open set-up is read on once there is some.
func TestHeldMessageGoesOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New(Config{MaxHeldBytes: freeHeldBytes}, nullCore{}, nil, nil)
		other, p := addPeer(t, m), addPeer(t, m)
		require.NoError(t, other.HoldBytes(2*freeHeldBytes))
		require.NoError(t, m.Offer(p, agent.Call{ID: "1"}, nil))
		held := make(chan error, 1)
		go func() { held <- p.HoldBytes(2 * freeHeldBytes) }()
		time.Sleep(time.Second)
		assert.Empty(t, held)
		other.HoldBytes(0)
		assert.NoError(t, <-held)
	})
}

// TestPacedConnectionRefusesSetUps guards against a connection over the limit of messages that goes on for ever by placing set-ups
// without a pause: further ones are refused, also if a change of the settings has begun to retire it without refusing any.
func TestPacedConnectionRefusesSetUps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		front := &countingFront{}
		m := New(Config{}, nullCore{}, front, nil)
		front.m = m
		p := addPeer(t, m)
		require.NoError(t, m.Offer(p, agent.Call{ID: "1"}, nil))
		m.Retire(func(*Peer, bool) *Retirement { return &Retirement{} })
		for began := time.Now(); time.Since(began) < 2*maxPaced; {
			p.CountIdleMessage(0)
			require.NoError(t, p.pace())
		}
		require.NoError(t, m.Offer(p, agent.Call{ID: "2"}, nil))
		assert.Equal(t, 1, front.refused)
		m.SendFinal("1", noData)
		m.Close()
	})
}
