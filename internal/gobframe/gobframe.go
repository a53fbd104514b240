// Package gobframe reads the length prefixes of encoding/gob messages before gob does, for readers that bound
// what a peer may send: gob itself accepts messages of up to 1 GiB.
package gobframe

import (
	"bufio"
	"errors"
	"fmt"
	"io"
)

// ErrInvalidUint is returned for an unsigned integer that is longer than gob writes. Its text may be sent to
// the peer.
var ErrInvalidUint = errors.New("gob: not a number")

// PeekUint returns the unsigned integer that begins at offset (0 or more), without consuming it, and its
// width in bytes. In gob's encoding (its package documentation, "Encoding Details") that is one byte if the
// integer is below 128; otherwise the negated count of the bytes that follow, and those bytes, big-endian. A
// count above 8 is ErrInvalidUint.
func PeekUint(r *bufio.Reader, offset int) (n uint64, width int, err error) {
	b, err := r.Peek(offset + 1)
	if err != nil {
		return 0, 0, err
	}
	if b[offset] <= 0x7f {
		return uint64(b[offset]), 1, nil
	}
	count := -int(int8(b[offset]))
	if count > 8 {
		return 0, 0, fmt.Errorf("%w: %d bytes", ErrInvalidUint, count)
	}
	if b, err = r.Peek(offset + 1 + count); err != nil {
		return 0, 0, err
	}
	for _, digit := range b[offset+1:] {
		n = n<<8 | uint64(digit)
	}
	return n, 1 + count, nil
}

// Reader passes gob's messages on to a decoder, each after MessageLength has examined it, so that a refused
// message takes no memory. It reads no byte beyond the current message.
type Reader struct {
	Source *bufio.Reader
	// MessageLength peeks at the next message and returns its length in bytes, prefix included. An error is
	// returned by Read, and the next Read calls MessageLength again.
	MessageLength func() (int, error)
	remaining     int // bytes of the current message
}

// Read reads from one message at a time.
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

// ReadByte makes gob use the Reader directly. Without it gob would insert a buffered reader, which reads
// ahead.
func (r *Reader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r, b[:])
	return b[0], err
}
