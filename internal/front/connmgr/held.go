package connmgr

import "errors"

// freeHeldBytes is how much of an unfinished message each connection may hold beside the limit of all: no sound set-up is
// larger.
const freeHeldBytes = 24 << 10

// ErrTooMuchHeld reports that unfinished messages hold too much memory.
var ErrTooMuchHeld = errors.New("unfinished messages of all connections hold too much memory")

// HoldBytes records how many bytes of an unfinished message the connection holds; 0 once it is handled. It returns
// ErrTooMuchHeld if that is more than Config.MaxHeldBytes allows. Only the reader calls it.
func (p *Peer) HoldBytes(bytes int) error {
	counted := int64(max(bytes-freeHeldBytes, 0))
	change := counted - p.heldBytes
	if change == 0 {
		return nil
	}
	if sum := p.manager.heldBytes.Add(change); change > 0 && sum > p.manager.MaxHeldBytes {
		p.manager.heldBytes.Add(-change)
		return ErrTooMuchHeld
	}
	p.heldBytes = counted
	return nil
}
