// Package mailbox provides the queue from which an actor takes its messages.
package mailbox

import (
	"slices"
	"sync"
)

// maxKeptCapacity is the largest capacity, in items, that an empty queue keeps: hundreds of queues may have
// been full once.
const maxKeptCapacity = 32

// Queue is a FIFO queue with many senders and one receiver. Its limit applies to messages from outside
// (Offer, Put). Messages that an actor must not lose (Post) may exceed it; their number is bounded by the
// open calls.
type Queue[T any] struct {
	mu      sync.Mutex
	changed sync.Cond
	items   []T // items[next:] are waiting
	next    int
	limit   int
	closed  bool
}

// New returns an empty queue with the given limit, in items.
func New[T any](limit int) *Queue[T] {
	b := &Queue[T]{limit: limit}
	b.changed.L = &b.mu
	return b
}

// Offer adds an item unless the queue is full or closed. It never blocks.
func (b *Queue[T]) Offer(v T) bool { return b.enqueue(v, func() bool { return b.waiting() < b.limit }) }

func (b *Queue[T]) waiting() int { return len(b.items) - b.next }

// Post adds an item even above the limit. It fails only when the queue is closed.
func (b *Queue[T]) Post(v T) bool { return b.enqueue(v, func() bool { return true }) }

// Put waits until there is room, which applies back-pressure to the reader of a peer. It fails when the queue
// is closed.
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
	if len(b.items) == cap(b.items) && b.next > len(b.items)/2 { // never empty: drop the taken items
		b.items = slices.Delete(b.items, 0, b.next)
		b.next = 0
	}
	b.items = append(b.items, v)
	b.changed.Broadcast()
	return true
}

// Take waits for an item. After Close it returns the remaining items, then false.
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
	if b.next++; b.waiting() == 0 { // empty: reuse the array for the next items unless it is large
		if b.items, b.next = b.items[:0], 0; cap(b.items) > maxKeptCapacity {
			b.items = nil
		}
	}
	b.changed.Broadcast()
	return v, true
}

// Close makes the queue refuse new items.
func (b *Queue[T]) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.changed.Broadcast()
}
