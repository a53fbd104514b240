package gobframe

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"io"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestNumber: the length at a message's head is that of what gob wrote behind it; a number cut
// short and one longer than any are told apart.
func TestNumber(t *testing.T) {
	for _, size := range []int{0, 1, 100, 200, 70_000} {
		var b bytes.Buffer
		require.NoError(t, gob.NewEncoder(&b).Encode(make([]byte, size)))
		whole := uint64(b.Len())
		n, width, err := Number(bufio.NewReader(&b), 0)
		require.NoError(t, err, size)
		require.Equal(t, whole, n+uint64(width), size)
	}
	read := func(b ...byte) error {
		_, _, err := Number(bufio.NewReader(bytes.NewReader(b)), 0)
		return err
	}
	require.ErrorIs(t, read(0x80), ErrNumber)
	require.ErrorIs(t, read(0xfe, 1), io.EOF)
	require.ErrorIs(t, read(), io.EOF)
	n, width, err := Number(bufio.NewReader(bytes.NewReader([]byte{7, 0xfe, 1, 2})), 1)
	require.NoError(t, err)
	require.EqualValues(t, 258, n)
	require.Equal(t, 3, width)
}
