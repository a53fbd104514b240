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
func (s *messageReader) endMessage() { s.begun = time.Time{} }

// beginMessage starts the time limit of a message.
func (s *messageReader) beginMessage() { s.begun, s.deadlineSet, s.extensions = time.Now(), false, 0 }

func (s *messageReader) Read(b []byte) (int, error) {
	switch {
	case s.begun.IsZero() && s.connHasDeadline:
		s.conn.SetReadDeadline(time.Time{})
		s.connHasDeadline = false
	case !s.begun.IsZero() && !s.deadlineSet:
		s.conn.SetReadDeadline(s.begun.Add(s.interval))
		s.deadlineSet, s.connHasDeadline = true, true
	}
	n, err := s.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || s.extensions == maxExtensions {
		return n, err
	}
	s.extensions++
	s.conn.SetReadDeadline(time.Now().Add(s.interval))
	return s.conn.Read(b)
}

// messageHead keeps the first bytes of a message, which hold its type and call id.
type messageHead []byte

func (s *messageHead) Write(b []byte) (int, error) {
	*s = append(*s, b[:min(len(b), isup.HeaderBytes-len(*s))]...)
	return len(b), nil
}
