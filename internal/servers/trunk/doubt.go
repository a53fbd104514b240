package trunk

import (
	"sync"
	"time"
)

// adaptiveTimeout is the time after which a silent connection is presumed stalled. It is learned over all
// setup servers, because a single server shows too few silences to tell a slow server from a lost answer. All
// actors share it; none takes another lock while it holds this one.
//
// A second connection, opened because the first is presumed stalled, costs every server a handshake from each
// of its many senders, and a probe. If the first connection then delivers a message after all, that was a
// false alarm and the timeout grows; if it stays silent, the timeout shrinks. A server sends the state of
// its group unasked and at a steady interval. A connection that is silent for longer than that is stalled
// whatever its server's load, so the timeout does not grow beyond this interval and a margin.
type adaptiveTimeout struct {
	mu          sync.Mutex
	factor      float64       // multiple of the minimum timeout, at least 1
	statePeriod time.Duration // average interval between group state messages
}

const (
	falseAlarmFactor   = 1.5                    // growth of the timeout after a false alarm
	stallFactor        = 0.5                    // reduction of the timeout after a confirmed stall
	maxFactor          = 8                      // largest multiple of the minimum timeout
	statePeriodMargin  = 150 * time.Millisecond // a group state that is late by this much is still on time
	maxPeriodRatio     = 3                      // gaps of this many intervals or more are not averaged
	initialStatePeriod = time.Second            // until measured: the interval of the protocol's deployments
)

// newAdaptiveTimeout returns a timeout that starts at its minimum.
func newAdaptiveTimeout() *adaptiveTimeout {
	return &adaptiveTimeout{factor: 1, statePeriod: initialStatePeriod}
}

// timeout returns how long a connection may be silent, given the minimum.
func (a *adaptiveTimeout) timeout(minimum time.Duration) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return max(minimum, min(time.Duration(a.factor*float64(minimum)), a.statePeriod+statePeriodMargin))
}

// recordFalseAlarm lengthens the timeout: a connection presumed stalled has delivered a message.
func (a *adaptiveTimeout) recordFalseAlarm() { a.scale(falseAlarmFactor) }

// recordStall shortens the timeout: a connection presumed stalled has stayed silent.
func (a *adaptiveTimeout) recordStall() { a.scale(stallFactor) }

func (a *adaptiveTimeout) scale(by float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.factor = min(max(a.factor*by, 1), maxFactor)
}

// observeStatePeriod records the time between two group states on one connection.
func (a *adaptiveTimeout) observeStatePeriod(gap time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if gap < maxPeriodRatio*a.statePeriod { // a longer gap comes from a connection that was silent
		a.statePeriod += (gap - a.statePeriod) / 8
	}
}
