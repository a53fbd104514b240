package connmgr

import (
	"errors"
	"io"
	"slices"
	"time"
)

// resendWindow is how recently an end must have been written on a connection that ends to be sent again on
// another one: its caller may have closed the connection without reading it.
const resendWindow = 250 * time.Millisecond

// crossingTime is how long the end of a connection may cross a message.
const crossingTime = 50 * time.Millisecond

// writtenEnd is an end that was written on a connection.
type writtenEnd struct {
	message Message
	at      time.Time
}

// addWrittenEnd records an end that was written.
func (p *Peer) addWrittenEnd(message Message) {
	p.endsMu.Lock()
	defer p.endsMu.Unlock()
	p.writtenEnds = append(p.recentEndsLocked(), writtenEnd{message, time.Now()})
}

// recentEndsLocked returns the ends written within resendWindow. The caller holds p.endsMu.
func (p *Peer) recentEndsLocked() []writtenEnd {
	return slices.DeleteFunc(p.writtenEnds, func(e writtenEnd) bool { return time.Since(e.at) > resendWindow })
}

// ConfirmEnd records that the caller has confirmed the end of a call.
func (p *Peer) ConfirmEnd(id string) {
	p.endsMu.Lock()
	defer p.endsMu.Unlock()
	p.writtenEnds = slices.DeleteFunc(p.writtenEnds, func(e writtenEnd) bool { return e.message.ID == id })
}

// setReadError records why reading has ended.
func (p *Peer) setReadError(err error) {
	p.endsMu.Lock()
	defer p.endsMu.Unlock()
	p.callerLeft, p.readError = true, err
}

// left reports whether reading has ended.
func (p *Peer) left() bool {
	p.endsMu.Lock()
	defer p.endsMu.Unlock()
	return p.callerLeft
}

// resendUnread sends the ends on other connections that were written shortly before the caller closed this one, if
// they were not read. A caller that closes in order has read what had come; what comes later is answered with a
// reset, which the write of a message without effect shows.
func (p *Peer) resendUnread() {
	p.endsMu.Lock()
	ends, closedInOrder := p.recentEndsLocked(), errors.Is(p.readError, io.EOF)
	p.endsMu.Unlock()
	if len(ends) == 0 || !p.left() {
		return
	}
	if closedInOrder {
		time.Sleep(crossingTime)
		p.conn.SetWriteDeadline(time.Now().Add(p.manager.WriteTimeout))
		if _, err := p.conn.Write(p.manager.NoOpMessage); err == nil {
			return
		}
	}
	for _, e := range ends {
		p.handleUnsent(e.message)
	}
}
