package connmgr

import "time"

// departureInterval is how often a reader looks whether its caller has left while there is more to read. A set-up is not
// passed on without a look.
const departureInterval = 20 * time.Millisecond

// callerHasLeft reports whether the caller has closed its connection although there may be more to read on it. Its
// unanswered calls are then withdrawn. Only the reader calls it.
func (p *Peer) callerHasLeft() bool {
	if p.departed {
		return true
	}
	p.lookedAt = time.Now()
	if p.departed = closedByCaller(p.conn); p.departed {
		p.manager.withdrawUnanswered(p)
	}
	return p.departed
}

// noticeDeparture withdraws the unanswered calls of a caller that has left, at most departureInterval after the last look.
func (p *Peer) noticeDeparture() {
	if p.In.Buffered() > 0 && time.Since(p.lookedAt) >= departureInterval {
		p.callerHasLeft()
	}
}
