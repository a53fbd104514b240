// Package mailbox holds the queue from which an actor takes its work.
package mailbox

import (
	"slices"
	"sync"
)

// maxKeptCapacity is how many places an empty box keeps: there may be hundreds that once were full.
const maxKeptCapacity = 32

// Queue is a queue with many senders and one taker. Its limit binds what comes from
// outside; what an actor must not lose passes over it, and is bounded by the calls open.
type Queue[T any] struct {
	mu      sync.Mutex
	changed sync.Cond
	items   []T // those from next on wait
	next    int
	limit   int
	closed  bool
}

// New returns an empty box with a limit.
func New[T any](limit int) *Queue[T] {
	b := &Queue[T]{limit: limit}
	b.changed.L = &b.mu
	return b
}

// Offer adds an item unless the box is full or closed. It never waits.
func (b *Queue[T]) Offer(v T) bool { return b.enqueue(v, func() bool { return b.waiting() < b.limit }) }

func (b *Queue[T]) waiting() int { return len(b.items) - b.next }

// Post adds an item over the limit too. It fails only when the box is closed.
func (b *Queue[T]) Post(v T) bool { return b.enqueue(v, func() bool { return true }) }

// Put waits for room, which holds a peer's reader back, and fails when the box is closed.
func (b *Queue[T]) Put(v T) bool {
	return b.enqueue(v, func() bool {
		for b.waiting() >= b.limit && !b.closed {
			b.changed.Wait()
		}
		return true
	})
}

func (b *Queue[T]) enqueue(v T, hasRoom func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !hasRoom() || b.closed {
		return false
	}
	if len(b.items) == cap(b.items) && b.next > len(b.items)/2 { // an actor that is never done
		b.items = slices.Delete(b.items, 0, b.next)
		b.next = 0
	}
	b.items = append(b.items, v)
	b.changed.Broadcast()
	return true
}

// Take waits for an item. After Close it hands out what is left, then reports false.
func (b *Queue[T]) Take() (v T, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.waiting() == 0 {
		if b.closed {
			return v, false
		}
		b.changed.Wait()
	}
	v = b.items[b.next]
	var none T
	b.items[b.next] = none
	if b.next++; b.waiting() == 0 { // the next item finds its place there
		if b.items, b.next = b.items[:0], 0; cap(b.items) > maxKeptCapacity {
			b.items = nil
		}
	}
	b.changed.Broadcast()
	return v, true
}

// Close lets nothing more in.
func (b *Queue[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.changed.Broadcast()
}
