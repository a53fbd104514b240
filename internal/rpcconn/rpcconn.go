// Package rpcconn is an agent's connection to one control machine: net/rpc's protocol with one
// question at a time, so that it needs no goroutine of its own, and with the size of an answer
// bounded, as nothing is proved of who answers.
package rpcconn

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"reflect"
	"sync/atomic"
	"time"

	"woodrouter/internal/gobframe"
)

// Errors of one question. After any error but a Refusal the line is of no more use.
var (
	ErrTooLarge = errors.New("answer larger than an agent takes")
	ErrSequence = errors.New("answer to another question")
)

// ServerError is the machine's own no to a question; the line goes on.
type ServerError struct{ Text string }

func (r ServerError) Error() string { return fmt.Sprintf("refused: %.200s", r.Text) }

// DialTimeout bounds a dial to one machine.
const DialTimeout = time.Second

// Conn is the connection to one machine. It is not safe for concurrent use, but for Close.
type Conn struct {
	conn           net.Conn
	maxAnswerBytes int // bytes of an answer
	in             *boundedReader
	out            *bufio.Writer
	enc            *gob.Encoder
	dec            *gob.Decoder
	seq            uint64
}

// Dial connects to address (host:port) from source (nil: the system's choice), within a second. An
// answer may have most bytes; what goes over the line, both ways, is added to counts.
func Dial(ctx context.Context, source net.Addr, address string, most int, counts *Traffic) (*Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, LocalAddr: source}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := countingConn{conn, counts}
	l := &Conn{conn: conn, maxAnswerBytes: most, in: newBoundedReader(bufio.NewReader(counted)), out: bufio.NewWriter(counted)}
	l.enc, l.dec = gob.NewEncoder(l.out), gob.NewDecoder(l.in)
	return l, nil
}

// Close ends the line, and a question that is out on it with an error. It may be called twice.
func (l *Conn) Close() error { return l.conn.Close() }

// Call puts one question, and has its answer in reply within a time. What it brings is undecided:
// nothing of it is proved but its size. An error is a Refusal, or wraps ErrSize or ErrSequence, or
// is the network's or the decoder's.
func (l *Conn) Call(method string, args, reply any, within time.Duration) error {
	l.conn.SetDeadline(time.Now().Add(within))
	l.seq++
	l.in.remaining, l.in.limit = l.maxAnswerBytes, l.maxAnswerBytes
	for _, part := range []any{&rpc.Request{ServiceMethod: method, Seq: l.seq}, args} {
		if err := l.enc.Encode(part); err != nil {
			return err
		}
	}
	if err := l.out.Flush(); err != nil {
		return err
	}
	var head rpc.Response
	if err := l.dec.Decode(&head); err != nil {
		return err
	}
	switch {
	case head.Seq != l.seq:
		return fmt.Errorf("%w: %d, asked %d", ErrSequence, head.Seq, l.seq)
	case head.Error != "":
		if err := l.dec.DecodeValue(reflect.Value{}); err != nil { // the empty body of a refusal
			return err
		}
		return ServerError{head.Error}
	}
	return l.dec.Decode(reply)
}

// boundedReader hands gob's messages on to the decoder, and refuses one that would take an answer over
// its bound before the decoder takes memory for it.
type boundedReader struct {
	gobframe.Reader
	limit     int // the answer's bound
	remaining int // of it
}

func newBoundedReader(r *bufio.Reader) *boundedReader {
	f := &boundedReader{}
	f.Reader = gobframe.Reader{Source: r, MessageLength: f.nextMessage}
	return f
}

// nextMessage looks at the length of the next message.
func (f *boundedReader) nextMessage() (int, error) {
	size, width, err := gobframe.PeekUint(f.Source, 0)
	if errors.Is(err, gobframe.ErrInvalidUint) {
		return 0, fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	if err != nil {
		return 0, err
	}
	if size > uint64(f.remaining) {
		return 0, fmt.Errorf("%w: a message of %d bytes, %d left of %d", ErrTooLarge, size, f.remaining, f.limit)
	}
	whole := width + int(size)
	f.remaining = max(f.remaining-whole, 0)
	return whole, nil
}

// Traffic is the bytes on the wire so far.
type Traffic struct{ Sent, Received atomic.Int64 }

type countingConn struct {
	net.Conn
	traffic *Traffic
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.Received.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.Sent.Add(int64(n))
	return n, err
}
