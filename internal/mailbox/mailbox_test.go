package mailbox

import (
	"sync/atomic"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestQueue checks that the limit refuses offers and blocks Put, that Post exceeds it, and that a closed
// queue still returns its remaining items. An actor would otherwise lose messages that were already accepted.
func TestQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New[int](2)
		require.True(t, b.Offer(1))
		require.True(t, b.Offer(2))
		require.False(t, b.Offer(9), "full")
		require.True(t, b.Post(3), "over the limit")
		var admitted atomic.Int32
		for _, n := range []int{4, 5} {
			go func() {
				if b.Put(n) {
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
		require.Equal(t, int32(1), admitted.Load(), "one item was taken below the limit")
		b.Close()
		synctest.Wait()
		require.Equal(t, int32(1), admitted.Load(), "the other failed at Close")
		require.False(t, b.Post(9))
		n := 0
		for _, ok := b.Take(); ok; _, ok = b.Take() {
			n++
		}
		assert.Equal(t, 2, n, "the remaining items are returned")
	})
}

// TestQueueCapacity guards against memory growth: an actor that keeps up allocates nothing per item, a queue
// that is never empty takes memory only for its waiting items, and a queue that was full releases its memory.
func TestQueueCapacity(t *testing.T) {
	b := New[int](1 << 20)
	for _, waiting := range []int{0, 5} {
		for n := range waiting {
			require.True(t, b.Post(n))
		}
		next := 0
		assert.Zero(t, testing.AllocsPerRun(10_000, func() {
			b.Post(waiting + next)
			if got, _ := b.Take(); got != next {
				t.Errorf("%d instead of %d", got, next)
			}
			next++
		}), "%d wait", waiting)
		assert.LessOrEqual(t, cap(b.items), maxKeptCapacity)
	}
	for n := range 1000 {
		b.Post(n)
	}
	for b.waiting() > 0 {
		b.Take()
	}
	assert.LessOrEqual(t, cap(b.items), maxKeptCapacity)
}
