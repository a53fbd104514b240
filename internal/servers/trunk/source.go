package trunk

import (
	"errors"
	"net"
	"os"
	"time"

	"woodrouter/isup"
)

// mostSteps bounds the time of one message: a server that sends it byte by byte ends too.
const mostSteps = 3

// source reads a connection whose messages must not stop half-way. A deadline that has
// passed is looked at once more: a process that was kept from its processor finds it passed
// with the bytes long there. Most messages are there whole: a deadline is set on the connection
// only where something of one must be waited for.
type source struct {
	conn  net.Conn
	step  time.Duration
	begun time.Time // the message; zero: none has
	timed bool      // its deadline is set
	past  bool      // the connection has a deadline, this message's or one before
	steps int       // deadlines that this message has passed
}

// await lets the next message begin at any time.
func (s *source) await() { s.begun = time.Time{} }

// begin starts the time of a message.
func (s *source) begin() { s.begun, s.timed, s.steps = time.Now(), false, 0 }

func (s *source) Read(b []byte) (int, error) {
	switch {
	case s.begun.IsZero() && s.past:
		s.conn.SetReadDeadline(time.Time{})
		s.past = false
	case !s.begun.IsZero() && !s.timed:
		s.conn.SetReadDeadline(s.begun.Add(s.step))
		s.timed, s.past = true, true
	}
	n, err := s.conn.Read(b)
	if n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) || s.steps == mostSteps {
		return n, err
	}
	s.steps++
	s.conn.SetReadDeadline(time.Now().Add(s.step))
	return s.conn.Read(b)
}

// opening keeps the first bytes of a message, which tell what it is.
type opening []byte

func (s *opening) Write(b []byte) (int, error) {
	*s = append(*s, b[:min(len(b), isup.HeaderBytes-len(*s))]...)
	return len(b), nil
}
