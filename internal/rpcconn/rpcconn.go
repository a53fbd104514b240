// Package rpcconn is an agent's connection to one control machine. It uses the protocol of net/rpc with one
// request at a time, so that it needs no goroutine, and bounds the size of an answer, because the peer is not
// authenticated.
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

// Errors of a request. After any error other than a ServerError the connection is unusable.
var (
	ErrTooLarge = errors.New("answer exceeds the size limit")
	ErrSequence = errors.New("answer to another request")
)

// ServerError is an error that the machine itself returned. The connection remains usable.
type ServerError struct{ Text string }

func (e ServerError) Error() string { return fmt.Sprintf("refused: %.200s", e.Text) }

// DialTimeout bounds dialing one machine.
const DialTimeout = time.Second

// Conn is a connection to one machine. It is not safe for concurrent use, except for Close.
type Conn struct {
	conn           net.Conn
	maxAnswerBytes int
	in             *boundedReader
	out            *bufio.Writer
	enc            *gob.Encoder
	dec            *gob.Decoder
	seq            uint64 // of the latest request
}

// Dial connects to address (host:port) from source (nil: chosen by the system) within DialTimeout. An answer
// may have at most maxAnswerBytes. The bytes sent and received are added to traffic.
func Dial(ctx context.Context, source net.Addr, address string, maxAnswerBytes int, traffic *Traffic) (*Conn, error) {
	d := net.Dialer{Timeout: DialTimeout, LocalAddr: source}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := countingConn{conn, traffic}
	c := &Conn{conn: conn, maxAnswerBytes: maxAnswerBytes, in: newBoundedReader(bufio.NewReader(counted)), out: bufio.NewWriter(counted)}
	c.enc, c.dec = gob.NewEncoder(c.out), gob.NewDecoder(c.in)
	return c, nil
}

// Close closes the connection; a request in progress returns an error. It may be called more than once.
func (c *Conn) Close() error { return c.conn.Close() }

// Call sends one request, and stores its answer in reply within timeout. Nothing about the answer is
// validated but its size. The error is a ServerError, wraps ErrTooLarge or ErrSequence, or comes from the
// network or the decoder.
func (c *Conn) Call(method string, args, reply any, timeout time.Duration) error {
	c.conn.SetDeadline(time.Now().Add(timeout))
	c.seq++
	c.in.remaining, c.in.limit = c.maxAnswerBytes, c.maxAnswerBytes
	for _, part := range []any{&rpc.Request{ServiceMethod: method, Seq: c.seq}, args} {
		if err := c.enc.Encode(part); err != nil {
			return err
		}
	}
	if err := c.out.Flush(); err != nil {
		return err
	}
	var head rpc.Response
	if err := c.dec.Decode(&head); err != nil {
		return err
	}
	switch {
	case head.Seq != c.seq:
		return fmt.Errorf("%w: sequence number %d, expected %d", ErrSequence, head.Seq, c.seq)
	case head.Error != "":
		if err := c.dec.DecodeValue(reflect.Value{}); err != nil { // the empty body after an error
			return err
		}
		return ServerError{head.Error}
	}
	return c.dec.Decode(reply)
}

// boundedReader passes gob's messages on to the decoder. It refuses a message that would exceed the size
// limit of an answer before the decoder allocates memory for it.
type boundedReader struct {
	gobframe.Reader
	limit     int // bytes of one answer
	remaining int // of limit
}

func newBoundedReader(r *bufio.Reader) *boundedReader {
	b := &boundedReader{}
	b.Reader = gobframe.Reader{Source: r, MessageLength: b.nextMessage}
	return b
}

// nextMessage returns the length of the next message, prefix included.
func (b *boundedReader) nextMessage() (int, error) {
	size, width, err := gobframe.PeekUint(b.Source, 0)
	if errors.Is(err, gobframe.ErrInvalidUint) {
		return 0, fmt.Errorf("%w: %w", ErrTooLarge, err)
	}
	if err != nil {
		return 0, err
	}
	if size > uint64(b.remaining) {
		return 0, fmt.Errorf("%w: a message of %d bytes, with %d left of the limit of %d", ErrTooLarge, size, b.remaining, b.limit)
	}
	total := width + int(size)
	b.remaining = max(b.remaining-total, 0)
	return total, nil
}

// Traffic counts the bytes sent and received.
type Traffic struct{ Sent, Received atomic.Int64 }

// countingConn adds what it reads and writes to traffic.
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
