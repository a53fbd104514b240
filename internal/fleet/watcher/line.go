package watcher

import (
	"bufio"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"

	"woodrouter/internal/gobframe"
	"woodrouter/rollout"
)

// Errors of one watch. Each ends that watch's connection and nothing else.
var (
	errSize     = errors.New("answer larger than an agent takes")
	errSequence = errors.New("answer to another question")
)

// mostAnswer bounds what a machine may send for one watch: an agent's documents of a few kinds,
// one of each scope, at their largest.
const mostAnswer = 6 << 20

// dialMost bounds a dial to one machine.
const dialMost = time.Second

// line is the connection to one machine: net/rpc's protocol with one question at a time, so that
// it needs no goroutine of its own, and with the size of an answer bounded.
type line struct {
	conn net.Conn
	in   *frames
	out  *bufio.Writer
	enc  *gob.Encoder
	dec  *gob.Decoder
	seq  uint64
}

func dial(ctx context.Context, source net.Addr, address string, counts *traffic) (*line, error) {
	d := net.Dialer{Timeout: dialMost, LocalAddr: source}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	counted := counting{conn, counts}
	l := &line{conn: conn, in: &frames{r: bufio.NewReader(counted)}, out: bufio.NewWriter(counted)}
	l.enc, l.dec = gob.NewEncoder(l.out), gob.NewDecoder(l.in)
	return l, nil
}

// watch asks once. What it returns is undecided: nothing of it is proved but its size.
func (l *line) watch(args rollout.WatchArgs, within time.Duration) (r rollout.WatchReply, err error) {
	l.conn.SetDeadline(time.Now().Add(within))
	l.seq++
	l.in.left = mostAnswer
	for _, part := range []any{&rpc.Request{ServiceMethod: "Rollout.Watch", Seq: l.seq}, &args} {
		if err := l.enc.Encode(part); err != nil {
			return r, err
		}
	}
	if err := l.out.Flush(); err != nil {
		return r, err
	}
	var head rpc.Response
	if err := l.dec.Decode(&head); err != nil {
		return r, err
	}
	switch {
	case head.Seq != l.seq:
		return r, fmt.Errorf("%w: %d, asked %d", errSequence, head.Seq, l.seq)
	case head.Error != "":
		return r, fmt.Errorf("refused: %.200s", head.Error)
	}
	return r, l.dec.Decode(&r)
}

// frames hands gob's messages on to the decoder, and refuses one that would take an answer over
// its bound before the decoder takes memory for it.
type frames struct {
	r    *bufio.Reader
	left int // of the answer's bound
	rest int // of the message that is being read
}

func (f *frames) Read(p []byte) (int, error) {
	if f.rest == 0 {
		if err := f.next(); err != nil {
			return 0, err
		}
	}
	n, err := f.r.Read(p[:min(len(p), f.rest)])
	f.rest -= n
	return n, err
}

// ReadByte keeps the decoder from putting a buffer of its own in between.
func (f *frames) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(f, b[:])
	return b[0], err
}

// next looks at the length of the next message.
func (f *frames) next() error {
	size, width, err := gobframe.Number(f.r, 0)
	if errors.Is(err, gobframe.ErrNumber) {
		return fmt.Errorf("%w: %w", errSize, err)
	}
	if err != nil {
		return err
	}
	if size > uint64(f.left) {
		return fmt.Errorf("%w: a message of %d bytes, %d left of %d", errSize, size, f.left, mostAnswer)
	}
	f.rest = width + int(size)
	f.left = max(f.left-f.rest, 0)
	return nil
}

// traffic is the bytes on the wire so far.
type traffic struct{ sent, received atomic.Int64 }

type counting struct {
	net.Conn
	n *traffic
}

func (c counting) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.received.Add(int64(n))
	return n, err
}

func (c counting) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.sent.Add(int64(n))
	return n, err
}
