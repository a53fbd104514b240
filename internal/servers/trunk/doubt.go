package trunk

import (
	"sync"
	"time"
)

// adaptiveTimeout is when an agent begins to doubt a silent connection, learned over all its setup
// servers: each alone sees too few silences to tell a slow server from a lost answer. It is
// shared by the actors, which hold its lock for a few lines and no other meanwhile.
//
// A second connection that is opened in doubt costs every server a handshake from each of its
// many senders, and a probe. Where the first connection then speaks after all, the doubt was
// wrong, and the next comes later; where it stays silent, it was right, and the next comes sooner.
// A server tells the state of its group unasked, at a steady pace: a connection that is silent
// for longer than that is silent whatever its server's load is, so the doubt never waits longer.
type adaptiveTimeout struct {
	mu          sync.Mutex
	least       time.Duration // the doubt at its earliest: ends of calls that were swallowed are owed soon
	factor      float64       // of what would be waited at the least, from 1
	statePeriod time.Duration // from one telling of a group's state to the next
}

const (
	falseAlarmFactor   = 1.5                    // a wrong doubt has the next wait so many times longer,
	stallFactor        = 0.5                    // a right one so much shorter
	maxFactor          = 8                      // and no more than so many times the least
	statePeriodMargin  = 150 * time.Millisecond // a state that comes so much late is still in time
	maxPeriodRatio     = 3                      // times the pace: a longer gap tells nothing of it
	initialStatePeriod = time.Second            // until the pace is known: what the protocol's deployments tell at
)

// newAdaptiveTimeout begins with the doubt at its earliest.
func newAdaptiveTimeout() *adaptiveTimeout {
	return &adaptiveTimeout{factor: 1, statePeriod: initialStatePeriod}
}

// timeout is how long a connection may be silent, given what it would be at the least.
func (d *adaptiveTimeout) timeout(minimum time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return max(minimum, min(time.Duration(d.factor*float64(minimum)), d.statePeriod+statePeriodMargin))
}

// recordFalseAlarm and right tell what became of a doubt.
func (d *adaptiveTimeout) recordFalseAlarm() { d.scale(falseAlarmFactor) }
func (d *adaptiveTimeout) recordStall()      { d.scale(stallFactor) }

func (d *adaptiveTimeout) scale(by float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.factor = min(max(d.factor*by, 1), maxFactor)
}

// observeStatePeriod notes the time between two states on one connection.
func (d *adaptiveTimeout) observeStatePeriod(gap time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if gap < maxPeriodRatio*d.statePeriod { // longer ones are of a connection that was silent
		d.statePeriod += (gap - d.statePeriod) / 8
	}
}
