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
// (Offer, Put). Messages that an actor must not lose (Post) may exceed it; whoever posts them bounds their number,
// by the open calls or by waiting until each is handled.
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
	q := &Queue[T]{limit: limit}
	q.changed.L = &q.mu
	return q
}

// Offer adds an item unless the queue is full or closed. It never blocks.
func (q *Queue[T]) Offer(v T) bool { return q.enqueue(v, func() bool { return q.waiting() < q.limit }) }

func (q *Queue[T]) waiting() int { return len(q.items) - q.next }

// Post adds an item even above the limit. It fails only when the queue is closed.
func (q *Queue[T]) Post(v T) bool { return q.enqueue(v, func() bool { return true }) }

// Put waits until there is room, which applies back-pressure to the reader of a peer. It fails when the queue
// is closed.
func (q *Queue[T]) Put(v T) bool {
	return q.enqueue(v, func() bool {
		for q.waiting() >= q.limit && !q.closed {
			q.changed.Wait()
		}
		return true
	})
}

func (q *Queue[T]) enqueue(v T, hasRoom func() bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !hasRoom() || q.closed {
		return false
	}
	if len(q.items) == cap(q.items) && q.next > len(q.items)/2 { // never empty: drop the taken items
		q.items = slices.Delete(q.items, 0, q.next)
		q.next = 0
	}
	q.items = append(q.items, v)
	q.changed.Broadcast()
	return true
}

// Take waits for an item. After Close it returns the remaining items, then false.
func (q *Queue[T]) Take() (v T, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.waiting() == 0 {
		if q.closed {
			return v, false
		}
		q.changed.Wait()
	}
	v = q.items[q.next]
	var none T
	q.items[q.next] = none
	if q.next++; q.waiting() == 0 { // empty: reuse the array for the next items unless it is large
		if q.items, q.next = q.items[:0], 0; cap(q.items) > maxKeptCapacity {
			q.items = nil
		}
	}
	q.changed.Broadcast()
	return v, true
}

// Len returns the number of items that wait.
func (q *Queue[T]) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting()
}

// AwaitRoom waits until fewer items than the limit are waiting, or the queue is closed.
func (q *Queue[T]) AwaitRoom() {
	q.mu.Lock()
	defer q.mu.Unlock()
	for q.waiting() >= q.limit && !q.closed {
		q.changed.Wait()
	}
}

// Closed reports whether the queue refuses new items because it is closed.
func (q *Queue[T]) Closed() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.closed
}

// Close makes the queue refuse new items.
func (q *Queue[T]) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	q.changed.Broadcast()
}
