package connmgr

import (
	"container/list"
	"runtime"
	"sync"
)

// Turns limits how many callers' messages are handled at a time, over all connections of the managers that share it, and
// orders those that wait: a connection handles one message at a turn and then waits behind the others. Without it each
// of hundreds of busy connections would be scheduled as often as every step of the calls of the others. It is safe for
// concurrent use.
type Turns struct {
	mu      sync.Mutex
	free    int
	waiting [priorities]list.List // of chan struct{}, closed when the turn has come
	inRow   int                   // turns of served connections since the last other one
}

// priority orders the connections that wait for a turn.
type priority int

// The priorities. A connection on which a call was served comes before one that may never place a call.
const (
	served priority = iota
	unproven
	priorities
)

// maxServedInRow is how many turns served connections get for each turn of another one that waits.
const maxServedInRow = 8

// NewTurns returns a limit of this many messages at a time, the number of processors.
func NewTurns(atOnce int) *Turns { return &Turns{free: max(atOnce, 1)} }

// acquire waits for a turn. Whatever else can run does so before the turn begins, in particular other readers, which
// queue up behind this one: the scheduler would else run a goroutine that was just woken before all others, and one that
// never blocks until its time slice ends.
func (t *Turns) acquire(p priority) {
	if come := t.enqueue(p); come != nil {
		<-come
	}
	runtime.Gosched()
}

// enqueue takes a turn that is free and returns nil, or returns a channel that is closed when the turn has come.
func (t *Turns) enqueue(p priority) (come chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.free > 0 {
		t.free--
		return nil
	}
	come = make(chan struct{})
	t.waiting[p].PushBack(come)
	return come
}

// release ends a turn and gives it to the next connection.
func (t *Turns) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	next := &t.waiting[served]
	if next.Len() == 0 || t.inRow >= maxServedInRow && t.waiting[unproven].Len() > 0 {
		next = &t.waiting[unproven]
	}
	if next.Len() == 0 {
		t.free++
		return
	}
	t.inRow++
	if next == &t.waiting[unproven] {
		t.inRow = 0
	}
	close(next.Remove(next.Front()).(chan struct{}))
}

// idleMessagesInTurn is how many messages without a call a connection may have sent of late before it waits for turns.
const idleMessagesInTurn = 32

// takesTurns reports whether the connection's messages wait for their turns.
func (p *Peer) takesTurns() bool {
	return p.paced.Load() || p.idleMessages.Tokens() < idleMessageBurst-idleMessagesInTurn
}

// InTurn handles a message of the connection, of one that sends many messages without a call once its turn has come. The
// messages of others are handled as they come, so that a release which follows its set-up at once is seen before that is
// sent on. What handle waits for must not be a message of a caller.
func (p *Peer) InTurn(handle func() error) error {
	if !p.takesTurns() {
		return handle()
	}
	turns := p.manager.Turns
	turns.acquire(p.priority())
	defer turns.release()
	return handle()
}

// priority returns the connection's priority. One that sends messages without a call at a high rate loses what it had.
func (p *Peer) priority() priority {
	if p.served.Load() && !p.sendsIdly() {
		return served
	}
	return unproven
}
