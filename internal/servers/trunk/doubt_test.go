package trunk

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestAdaptiveTimeout guards the fleet against handshakes in vain: a wrong doubt has the next come later,
// up to the pace at which states are told; a right one brings it back to its earliest.
func TestAdaptiveTimeout(t *testing.T) {
	d := newAdaptiveTimeout()
	assert.Equal(t, 400*ms, d.timeout(400*ms))
	for range 10 {
		d.recordFalseAlarm()
	}
	assert.Equal(t, initialStatePeriod+statePeriodMargin, d.timeout(400*ms), "a state is due by then")
	for range 60 {
		d.observeStatePeriod(2 * time.Second)
	}
	d.observeStatePeriod(time.Minute) // a connection that was cut off
	assert.InDelta(t, 2*time.Second+statePeriodMargin, d.timeout(400*ms), float64(20*ms))
	for range 10 {
		d.recordStall()
	}
	assert.Equal(t, 400*ms, d.timeout(400*ms))
	assert.Equal(t, 3*time.Second, d.timeout(3*time.Second), "never sooner than without it")
}
