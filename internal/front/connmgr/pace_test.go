package connmgr

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIdleMessagesPaced guards the other callers against a connection that sends messages without a call at full speed:
// it is read at its rate once its burst is used up, at once again after a pause of its own, and closed if it goes on.
func TestIdleMessagesPaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := addPeer(t, New(Config{}, nullCore{}, nil, nil))
		read := func(messages int) (took time.Duration, err error) {
			began := time.Now()
			for i := 0; i < messages && err == nil; i++ {
				p.CountIdleMessage(100)
				err = p.pace()
			}
			return time.Since(began), err
		}
		took, err := read(idleMessageBurst)
		assert.NoError(t, err)
		assert.Zero(t, took)
		took, err = read(maxIdleMessages / 2)
		assert.NoError(t, err)
		assert.InDelta(t, 0.5, took.Seconds(), 0.01)
		time.Sleep(2 * time.Second)
		took, err = read(maxIdleMessages)
		assert.NoError(t, err)
		assert.Zero(t, took)
		took, err = read(100 * maxIdleMessages)
		assert.ErrorIs(t, err, errTooManyMessages)
		assert.InDelta(t, maxPaced.Seconds(), took.Seconds(), 0.1)
	})
}
