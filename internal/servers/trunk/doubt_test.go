package trunk

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestAdaptiveTimeout guards the fleet against useless handshakes. A false alarm lengthens the timeout, up
// to the interval of group states, and a confirmed stall brings it back to the minimum.
func TestAdaptiveTimeout(t *testing.T) {
	d := newAdaptiveTimeout()
	assert.Equal(t, 400*ms, d.timeout(400*ms))
	for range 10 {
		d.recordFalseAlarm()
	}
	assert.Equal(t, initialStatePeriod+statePeriodMargin, d.timeout(400*ms), "a group state is due by then")
	for range 60 {
		d.observeStatePeriod(2 * time.Second)
	}
	d.observeStatePeriod(time.Minute) // after an interruption: ignored
	assert.InDelta(t, 2*time.Second+statePeriodMargin, d.timeout(400*ms), float64(20*ms))
	for range 10 {
		d.recordStall()
	}
	assert.Equal(t, 400*ms, d.timeout(400*ms))
	assert.Equal(t, 3*time.Second, d.timeout(3*time.Second), "never below the minimum")
}
