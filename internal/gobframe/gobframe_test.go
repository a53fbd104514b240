package gobframe

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestPeekUint: the integer before a message is the length of what gob wrote after it. A truncated integer
// and one that is too long are different errors.
func TestPeekUint(t *testing.T) {
	for _, size := range []int{0, 1, 100, 200, 70_000} {
		var b bytes.Buffer
		require.NoError(t, gob.NewEncoder(&b).Encode(make([]byte, size)))
		total := uint64(b.Len())
		n, width, err := PeekUint(bufio.NewReader(&b), 0)
		require.NoError(t, err, size)
		require.Equal(t, total, n+uint64(width), size)
	}
	peek := func(b ...byte) error {
		_, _, err := PeekUint(bufio.NewReader(bytes.NewReader(b)), 0)
		return err
	}
	require.ErrorIs(t, peek(0x80), ErrInvalidUint)
	require.ErrorIs(t, peek(0xfe, 1), io.EOF)
	require.ErrorIs(t, peek(), io.EOF)
	n, width, err := PeekUint(bufio.NewReader(bytes.NewReader([]byte{7, 0xfe, 1, 2})), 1)
	require.NoError(t, err)
	require.EqualValues(t, 258, n)
	require.Equal(t, 3, width)
}

// TestReader: a decoder receives whole messages one at a time, and none that MessageLength refuses. Otherwise
// a peer could make gob allocate up to 1 GiB.
func TestReader(t *testing.T) {
	var b bytes.Buffer
	enc := gob.NewEncoder(&b)
	for _, size := range []int{1, 300, 70_000} {
		require.NoError(t, enc.Encode(make([]byte, size)))
	}
	in := bufio.NewReader(&b)
	r := &Reader{Source: in}
	r.MessageLength = func() (int, error) {
		size, width, err := PeekUint(in, 0)
		if err == nil && size > 60_000 {
			err = io.ErrShortBuffer
		}
		return width + int(size), err
	}
	dec := gob.NewDecoder(r)
	var got []byte
	require.NoError(t, dec.Decode(&got))
	require.Len(t, got, 1)
	require.NoError(t, dec.Decode(&got))
	require.Len(t, got, 300)
	require.ErrorIs(t, dec.Decode(&got), io.ErrShortBuffer)
	require.Len(t, got, 300)
}
