package mailbox

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestBox: the limit binds offers and holds admissions back, what must not be lost passes,
// and a closed box hands out what it has.
func TestBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New[int](2)
		require.True(t, b.Offer(1))
		require.True(t, b.Offer(2))
		require.False(t, b.Offer(9), "full")
		require.True(t, b.Post(3), "over the limit")
		var admitted atomic.Int32
		for _, n := range []int{4, 5} {
			go func() {
				if b.Admit(n) {
					admitted.Add(1)
				}
			}()
			synctest.Wait()
		}
		require.Zero(t, admitted.Load())
		for want := 1; want <= 2; want++ {
			got, ok := b.Take()
			require.True(t, ok)
			assert.Equal(t, want, got)
		}
		synctest.Wait()
		require.Equal(t, int32(1), admitted.Load(), "one place came free")
		b.Close()
		synctest.Wait()
		require.Equal(t, int32(1), admitted.Load(), "the other gave up")
		require.False(t, b.Post(9))
		n := 0
		for _, ok := b.Take(); ok; _, ok = b.Take() {
			n++
		}
		assert.Equal(t, 2, n, "what is left is handed out")
	})
}
