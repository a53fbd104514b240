// Package rpcline is an agent's connection to one control machine: net/rpc's protocol with one
// question at a time, so that it needs no goroutine of its own, and with the size of an answer
// bounded, as nothing is proved of who answers.
package rpcline

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
	ErrSize     = errors.New("answer larger than an agent takes")
	ErrSequence = errors.New("answer to another question")
)

// Refusal is the machine's own no to a question; the line goes on.
type Refusal struct{ Text string }

func (r Refusal) Error() string { return fmt.Sprintf("refused: %.200s", r.Text) }

// DialMost bounds a dial to one machine.
const DialMost = time.Second

// Line is the connection to one machine. It is not safe for concurrent use, but for Close.
type Line struct {
	conn net.Conn
	most int // bytes of an answer
	in   *frames
	out  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
	seq  uint64
}

// Dial connects to address (host:port) from source (nil: the system's choice), within a second. An
// answer may have most bytes; what goes over the line, both ways, is added to counts.
func Dial(ctx context.Context, source net.Addr, address string, most int, counts *Traffic) (*Line, error) {
	d := net.Dialer{Timeout: DialMost, LocalAddr: source}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := counting{conn, counts}
	l := &Line{conn: conn, most: most, in: newFrames(bufio.NewReader(counted)), out: bufio.NewWriter(counted)}
	l.enc, l.dec = gob.NewEncoder(l.out), gob.NewDecoder(l.in)
	return l, nil
}

// Close ends the line, and a question that is out on it with an error. It may be called twice.
func (l *Line) Close() error { return l.conn.Close() }

// Ask puts one question, and has its answer in reply within a time. What it brings is undecided:
// nothing of it is proved but its size. An error is a Refusal, or wraps ErrSize or ErrSequence, or
// is the network's or the decoder's.
func (l *Line) Ask(method string, args, reply any, within time.Duration) error {
	l.conn.SetDeadline(time.Now().Add(within))
	l.seq++
	l.in.left, l.in.most = l.most, l.most
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
		return Refusal{head.Error}
	}
	return l.dec.Decode(reply)
}

// frames hands gob's messages on to the decoder, and refuses one that would take an answer over
// its bound before the decoder takes memory for it.
type frames struct {
	gobframe.Reader
	most int // the answer's bound
	left int // of it
}

func newFrames(r *bufio.Reader) *frames {
	f := &frames{}
	f.Reader = gobframe.Reader{From: r, Head: f.next}
	return f
}

// next looks at the length of the next message.
func (f *frames) next() (int, error) {
	size, width, err := gobframe.Number(f.From, 0)
	if errors.Is(err, gobframe.ErrNumber) {
		return 0, fmt.Errorf("%w: %w", ErrSize, err)
	}
	if err != nil {
		return 0, err
	}
	if size > uint64(f.left) {
		return 0, fmt.Errorf("%w: a message of %d bytes, %d left of %d", ErrSize, size, f.left, f.most)
	}
	whole := width + int(size)
	f.left = max(f.left-whole, 0)
	return whole, nil
}

// Traffic is the bytes on the wire so far.
type Traffic struct{ Sent, Received atomic.Int64 }

type counting struct {
	net.Conn
	n *Traffic
}

func (c counting) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Received.Add(int64(n))
	return n, err
}

func (c counting) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Sent.Add(int64(n))
	return n, err
}
