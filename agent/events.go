package agent

import (
	"fmt"
	"runtime/debug"
	"time"

	"woodrouter/policy"
)

// event is work for the actor; id is the call that it concerns, if any.
type event struct {
	id string
	do func()
}

// Run handles events until Stop is called, then the events that are still queued.
func (a *Agent) Run() {
	for {
		e, ok := a.mailbox.Take()
		if !ok {
			return
		}
		a.handle(e)
	}
}

// Stop closes the event queue to further events.
func (a *Agent) Stop() { a.mailbox.Close() }

// handle runs one event. A panic fails the call that the event was about and affects nothing else.
func (a *Agent) handle(e event) {
	defer func() {
		if r := recover(); r != nil {
			a.cfg.Log.Error("panic in the core", "call", e.id, "reason", r, "stack", string(debug.Stack()))
			if c := a.calls[e.id]; c != nil {
				a.abandon(c, fmt.Errorf("%w: %v", ErrPanic, r))
			}
		}
	}()
	e.do()
	a.gauges.inFlight.Store(int64(a.openCalls + a.standingCalls))
	listed, avoided := a.controller.CountServers()
	a.gauges.listed.Store(int64(listed))
	a.gauges.avoided.Store(int64(avoided))
}

// post queues work for the actor even if the mailbox is full, as events about open calls must not be lost.
func (a *Agent) post(id string, do func()) { a.mailbox.Post(event{id, do}) }

// postAndWait queues work for the actor and returns once it is done, or at once if the agent has stopped. It is for
// messages that a peer may send without end: each goroutine that reads a peer has one of them in the queue at most,
// so the peer is slowed down to the actor's pace and the queue is bounded by the number of connections. The actor's
// own goroutine must not call it.
func (a *Agent) postAndWait(id string, do func()) {
	done := make(chan struct{})
	queued := a.mailbox.Post(event{id, func() {
		defer close(done)
		do()
	}})
	if queued {
		<-done
	}
}

// now returns the module's time.
func (a *Agent) now() policy.Time { return a.origin + time.Since(a.start) }

// NotifyIdle calls done once no call waits for its final answer.
func (a *Agent) NotifyIdle(done func()) {
	a.post("", func() {
		a.idleCallbacks = append(a.idleCallbacks, done)
		a.notifyIfIdle()
	})
}

// notifyIfIdle calls the idle callbacks if no call waits for its final answer.
func (a *Agent) notifyIfIdle() {
	if a.openCalls > 0 {
		return
	}
	for _, done := range a.idleCallbacks {
		done()
	}
	a.idleCallbacks = nil
}
