// Package mailbox holds the queue from which an actor takes its work.
package mailbox

import (
	"slices"
	"sync"
)

// keptMost is how many places an empty box keeps: there may be hundreds that once were full.
const keptMost = 32

// Box is a queue with many senders and one taker. Its limit binds what comes from
// outside; what an actor must not lose passes over it, and is bounded by the calls open.
type Box[T any] struct {
	mu     sync.Mutex
	moved  sync.Cond
	items  []T // those from next on wait
	next   int
	limit  int
	closed bool
}

// New returns an empty box with a limit.
func New[T any](limit int) *Box[T] {
	b := &Box[T]{limit: limit}
	b.moved.L = &b.mu
	return b
}

// Offer adds an item unless the box is full or closed. It never waits.
func (b *Box[T]) Offer(v T) bool { return b.put(v, func() bool { return b.waiting() < b.limit }) }

func (b *Box[T]) waiting() int { return len(b.items) - b.next }

// Post adds an item over the limit too. It fails only when the box is closed.
func (b *Box[T]) Post(v T) bool { return b.put(v, func() bool { return true }) }

// Admit waits for room, which holds a peer's reader back, and fails when the box is closed.
func (b *Box[T]) Admit(v T) bool {
	return b.put(v, func() bool {
		for b.waiting() >= b.limit && !b.closed {
			b.moved.Wait()
		}
		return true
	})
}

func (b *Box[T]) put(v T, room func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !room() || b.closed {
		return false
	}
	if len(b.items) == cap(b.items) && b.next > len(b.items)/2 { // an actor that is never done
		b.items = slices.Delete(b.items, 0, b.next)
		b.next = 0
	}
	b.items = append(b.items, v)
	b.moved.Broadcast()
	return true
}

// Take waits for an item. After Close it hands out what is left, then reports false.
func (b *Box[T]) Take() (v T, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.waiting() == 0 {
		if b.closed {
			return v, false
		}
		b.moved.Wait()
	}
	v = b.items[b.next]
	var none T
	b.items[b.next] = none
	if b.next++; b.waiting() == 0 { // the next item finds its place there
		if b.items, b.next = b.items[:0], 0; cap(b.items) > keptMost {
			b.items = nil
		}
	}
	b.moved.Broadcast()
	return v, true
}

// Close lets nothing more in.
func (b *Box[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.moved.Broadcast()
}
