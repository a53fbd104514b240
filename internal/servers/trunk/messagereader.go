package trunk

import (
	"errors"
	"net"
	"os"
	"time"

	"woodrouter/isup"
)

// maxExtensions limits how often the deadline of one message is extended, so that a message sent byte by byte
// ends too.
const maxExtensions = 3

// messageReader reads a connection on which a message must not stop half-way. After a deadline has passed it
// reads once more, because a process that got no processor time finds the deadline passed although the bytes
// came long before. Most messages arrive whole, so a deadline is set on the connection only when the rest of
// a message must be waited for.
type messageReader struct {
	conn            net.Conn
	interval        time.Duration // time until the first deadline of a message, and between extensions
	begun           time.Time     // start of the current message; zero: between messages
	deadlineSet     bool          // the deadline of the current message is set
	connHasDeadline bool          // the connection has a deadline, from this message or an earlier one
	extensions      int           // deadline extensions of the current message
}

// endMessage ends the current message. There is no deadline for the next one to begin.
func (r *messageReader) endMessage() { r.begun = time.Time{} }

// beginMessage starts the time limit of a message.
func (r *messageReader) beginMessage() { r.begun, r.deadlineSet, r.extensions = time.Now(), false, 0 }

func (r *messageReader) Read(b []byte) (int, error) {
	switch {
	case r.begun.IsZero() && r.connHasDeadline:
		r.conn.SetReadDeadline(time.Time{})
		r.connHasDeadline = false
	case !r.begun.IsZero() && !r.deadlineSet:
		r.conn.SetReadDeadline(r.begun.Add(r.interval))
		r.deadlineSet, r.connHasDeadline = true, true
	}
	n, err := r.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || r.extensions == maxExtensions {
		return n, err
	}
	r.extensions++
	r.conn.SetReadDeadline(time.Now().Add(r.interval))
	return r.conn.Read(b)
}

// messageHead keeps the first bytes of a message, which hold its type and call id.
type messageHead []byte

func (h *messageHead) Write(b []byte) (int, error) {
	*h = append(*h, b[:min(len(b), isup.HeaderBytes-len(*h))]...)
	return len(b), nil
}
