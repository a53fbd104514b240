package connmgr

import (
	"errors"
	"time"
)

// freeHeldBytes is how much of an unfinished message each connection may hold beside the limit of all: no sound set-up is
// larger.
const freeHeldBytes = 24 << 10

// ErrTooMuchHeld reports that unfinished messages hold too much memory.
var ErrTooMuchHeld = errors.New("unfinished messages of all connections hold too much memory")

// holdRetryInterval is the time between two tries to hold more while set-ups are open on the connection.
const holdRetryInterval = 20 * time.Millisecond

// HoldBytes records how many bytes of an unfinished message the connection holds; 0 once it is handled. If that is more than
// Config.MaxHeldBytes allows, it waits while set-ups are open on the connection, as these are owed their answers there, and
// then returns ErrTooMuchHeld. Only the reader calls it.
func (p *Peer) HoldBytes(bytes int) error {
	if p.tryHold(bytes) {
		return nil
	}
	for p.Busy() && !p.callerHasLeft() {
		time.Sleep(holdRetryInterval)
		if p.tryHold(bytes) {
			p.setReadDeadline(time.Now().Add(p.manager.MessageTimeout))
			return nil
		}
	}
	return ErrTooMuchHeld
}

// tryHold records how many bytes of an unfinished message the connection holds, if that is within the limit.
func (p *Peer) tryHold(bytes int) bool {
	counted := int64(max(bytes-freeHeldBytes, 0))
	change := counted - p.heldBytes
	if change == 0 {
		return true
	}
	if sum := p.manager.heldBytes.Add(change); change > 0 && sum > p.manager.MaxHeldBytes {
		p.manager.heldBytes.Add(-change)
		return false
	}
	p.heldBytes = counted
	return true
}
