package trunk

import (
	"errors"
	"net"
	"os"
	"time"

	"woodrouter/isup"
)

// maxExtensions bounds the time of one message: a server that sends it byte by byte ends too.
const maxExtensions = 3

// messageReader reads a connection whose messages must not stop half-way. A deadline that has
// passed is looked at once more: a process that was kept from its processor finds it passed
// with the bytes long there. Most messages are there whole: a deadline is set on the connection
// only where something of one must be waited for.
type messageReader struct {
	conn            net.Conn
	interval        time.Duration
	begun           time.Time // the message; zero: none has
	deadlineSet     bool      // its deadline is set
	connHasDeadline bool      // the connection has a deadline, this message's or one before
	extensions      int       // deadlines that this message has passed
}

// endMessage lets the next message begin at any time.
func (s *messageReader) endMessage() { s.begun = time.Time{} }

// beginMessage starts the time of a message.
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

// messageHead keeps the first bytes of a message, which tell what it is.
type messageHead []byte

func (s *messageHead) Write(b []byte) (int, error) {
	*s = append(*s, b[:min(len(b), isup.HeaderBytes-len(*s))]...)
	return len(b), nil
}
