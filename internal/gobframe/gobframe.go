// Package gobframe looks at the heads of encoding/gob's messages before gob does, for readers that
// bound what a peer may send: gob itself takes messages of up to 1 GiB.
package gobframe

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// ErrInvalidUint is an unsigned number longer than gob writes any.
var ErrInvalidUint = errors.New("gob: not a number")

// PeekUint peeks at an unsigned number of gob's (its package documentation, "Encoding Details") that
// begins at an offset, 0 or more, and tells its width in bytes: one byte below 128, or the count of
// bytes that follow, negated, and those bytes, big-endian. A count over 8 is ErrNumber.
func PeekUint(r *bufio.Reader, at int) (n uint64, width int, err error) {
	b, err := r.Peek(at + 1)
	if err != nil {
		return 0, 0, err
	}
	if b[at] <= 0x7f {
		return uint64(b[at]), 1, nil
	}
	bytes := -int(int8(b[at]))
	if bytes > 8 {
		return 0, 0, fmt.Errorf("%w: %d bytes", ErrInvalidUint, bytes)
	}
	if b, err = r.Peek(at + 1 + bytes); err != nil {
		return 0, 0, err
	}
	for _, x := range b[at+1:] {
		n = n<<8 | uint64(x)
	}
	return n, 1 + bytes, nil
}

// Reader hands gob's messages on to a decoder, each after Head has looked at it: so a message that is
// refused takes no memory. It reads no byte ahead of the message under way.
type Reader struct {
	Source *bufio.Reader
	// MessageLength peeks at a message's head and tells the bytes of the whole message, head included; an error
	// is the reader's, and Head is asked again at the next read.
	MessageLength func() (int, error)
	remaining     int // bytes of the message under way
}

// Read reads of one message at a time.
func (r *Reader) Read(p []byte) (int, error) {
	if r.remaining == 0 {
		var err error
		if r.remaining, err = r.MessageLength(); err != nil {
			r.remaining = 0
			return 0, err
		}
	}
	n, err := r.Source.Read(p[:min(len(p), r.remaining)])
	r.remaining -= n
	return n, err
}

// ReadByte has gob take the reader as it is: it puts no buffer of its own, which reads ahead, in between.
func (r *Reader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}
