// Package gobframe looks at the heads of encoding/gob's messages before gob does, for readers that
// bound what a peer may send: gob itself takes messages of up to 1 GiB.
package gobframe

import (
	"bufio"
	"errors"
	"fmt"
)

// ErrNumber is an unsigned number longer than gob writes any.
var ErrNumber = errors.New("gob: not a number")

// Number peeks at an unsigned number of gob's (its package documentation, "Encoding Details") that
// begins at an offset, 0 or more, and tells its width in bytes: one byte below 128, or the count of
// bytes that follow, negated, and those bytes, big-endian. A count over 8 is ErrNumber.
func Number(r *bufio.Reader, at int) (n uint64, width int, err error) {
	b, err := r.Peek(at + 1)
	if err != nil {
		return 0, 0, err
	}
	if b[at] <= 0x7f {
		return uint64(b[at]), 1, nil
	}
	bytes := -int(int8(b[at]))
	if bytes > 8 {
		return 0, 0, fmt.Errorf("%w: %d bytes", ErrNumber, bytes)
	}
	if b, err = r.Peek(at + 1 + bytes); err != nil {
		return 0, 0, err
	}
	for _, x := range b[at+1:] {
		n = n<<8 | uint64(x)
	}
	return n, 1 + bytes, nil
}
