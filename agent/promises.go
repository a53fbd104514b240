package agent

import (
	"errors"
	"time"
)

// ErrFailedBefore reports that the call's failure is already promised: by another agent, or by this one
// before a restart.
var ErrFailedBefore = errors.New("failed before, as other agents hold")

// PromiseStore replicates the agent's promises to further agents, so that losing this agent and its disk
// loses no promise. The core calls it from its own goroutine, so its methods must not block; each done is
// called exactly once, from any goroutine. Without a PromiseStore an agent keeps its promises in its own
// memory.
type PromiseStore interface {
	// Claim requests the exclusive right to send a call's set-ups. If another agent claimed the call before,
	// the call is closed for both of them: it is refused, with the time after which the caller may retry.
	Claim(c Call, retryAfter time.Duration, done func(StoreResult))
	// Resolve stores a claimed call's final answer, trying until the given time.
	Resolve(id string, p Promise, until time.Time, done func(StoreResult))
	// MarkEnded records that a call that stood has ended, or that its promise must not be passed on as a
	// standing call. Nobody waits for the result.
	MarkEnded(id string)
}

// Promise is a call's final answer as stored at further agents.
type Promise struct {
	Outcome     Outcome
	Server      string // server of the latest attempt; "": none was sent
	Description []byte // of a served call
	RetryAfter  time.Duration
	Ended       bool // the call stood and has ended
}

// Outcome is how a call was answered.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
)

// StoreResult is the result of a claim or a resolution.
type StoreResult struct {
	// OK reports that a quorum has stored it. For a claim: set-ups may be sent.
	OK bool
	// Existing is the call's final answer if it already has one. If it is not nil, the caller gets this
	// answer.
	Existing *Promise
	// RetryAfter is when the caller may retry if the entry was not stored, or it is unknown whether it was.
	RetryAfter time.Duration
}

// claim claims the call before the module is told of it, so that nothing is sent in the meantime.
func (a *Agent) claim(c *call) {
	c.storing = true
	a.cfg.Promises.Claim(c.Call, a.cfg.Settings.Limits.MaxRetryAfter, func(result StoreResult) {
		a.post(c.ID, func() { a.claimDone(c, result) })
	})
}

// claimDone continues a call once the result of its claim is known.
func (a *Agent) claimDone(c *call, result StoreResult) {
	c.storing = false
	c.claimed = result.OK
	switch {
	case a.calls[c.ID] != c || c.resolved: // the caller has left, or got the answer that the call is overdue
		a.closeClaim(c, Promise{Outcome: Failed})
	case result.Existing != nil:
		a.resolve(c)
		a.adopt(c, *result.Existing)
		a.forgetIfDone(c)
	case !result.OK:
		a.resolve(c)
		a.refuse(c.front, c.Call, result.RetryAfter)
		a.forgetIfDone(c)
	default:
		a.notifyArrival(c)
	}
}

// closeClaim resolves a claimed call that already has its answer, or needs none. It does not wait for the
// quorum; the entry keeps an agent that is asked for the call later from sending it.
func (a *Agent) closeClaim(c *call, p Promise) {
	if !c.claimed {
		return
	}
	c.claimed = false
	p.Server = c.server
	a.cfg.Promises.Resolve(c.ID, p, time.Now().Add(closeClaimTimeout), func(StoreResult) {})
}

// closeClaimTimeout bounds a resolution that nobody waits for; it covers one or two elections.
const closeClaimTimeout = 2 * time.Second

// storeAndAnswer gives a call its final answer. If the call is claimed, the answer is stored first; meanwhile
// the call counts as unresolved and nothing is sent for it. deliver passes the answer to the front.
func (a *Agent) storeAndAnswer(c *call, p Promise, deliver func()) {
	if !c.claimed {
		a.resolve(c)
		deliver()
		a.forgetIfDone(c)
		return
	}
	c.claimed, c.storing = false, true
	p.Server = c.server
	until := c.Deadline
	if p.Outcome != Served { // nothing is lost if it is not stored; a prompt answer matters more
		until = time.Now().Add(refusalStoreTimeout)
	}
	a.cfg.Promises.Resolve(c.ID, p, until, func(result StoreResult) {
		a.post(c.ID, func() { a.answerStored(c, p, result, deliver) })
	})
}

// refusalStoreTimeout bounds how long storing may delay an answer other than Served. Losing such an answer is
// harmless: the caller may retry, and the claim keeps other agents from sending the call.
const refusalStoreTimeout = 100 * time.Millisecond

// answerStored passes a final answer to the front once it is stored, or the answer that the call already had.
func (a *Agent) answerStored(c *call, p Promise, result StoreResult, deliver func()) {
	c.storing = false
	gone := a.calls[c.ID] != c || c.resolved
	if gone || p.Outcome == Served && !result.OK {
		a.cfg.Promises.MarkEnded(c.ID) // a served promise may be stored, but the call does not stand
	}
	if gone {
		return
	}
	a.resolve(c)
	switch {
	case result.OK:
		deliver()
	case result.Existing != nil:
		a.adopt(c, *result.Existing)
	case p.Outcome == Served:
		a.refuse(c.front, c.Call, result.RetryAfter)
	default:
		deliver() // not promised: docs/replication.md says what that can lose
	}
	if p.Outcome == Served && !result.OK { // the call stands at the server, but its caller got another answer
		a.endAtServer(c)
		return
	}
	c.stored = p.Outcome == Served
	if c.ended { // it ended while its answer was being stored
		a.cfg.Promises.MarkEnded(c.ID)
		a.notifyEnded(c, c.endFailure)
	}
	a.forgetIfDone(c)
}

// notifyEnded tells the caller how a call that stood has ended.
func (a *Agent) notifyEnded(c *call, err *Failure) {
	c.callerLeft = true
	a.cfg.Log.Debug("call ended", "call", c.ID, "server", c.server, "error", failureOrNil(err))
	c.front.Ended(c.Call, failureOrNil(err))
}

// adopt answers a call with the promise that another agent made, or this one before a restart. The call does
// not count as this agent's own: its end and its caller's release are handled like those of a call from
// before a restart.
func (a *Agent) adopt(c *call, p Promise) {
	switch p.Outcome {
	case Served:
		a.answer(c.front, c.Call, p.Description)
		if p.Ended {
			c.front.Ended(c.Call, nil)
		} else if len(a.adopted) < maxAdopted {
			c.Description = nil
			a.adopted[c.ID] = c
		}
	case Refused:
		a.refuse(c.front, c.Call, p.RetryAfter)
	default:
		a.fail(c.front, c.Call, ErrFailedBefore)
	}
}

// maxAdopted bounds the adopted calls; the ends of further ones are passed on like those of calls from before
// a restart.
const maxAdopted = 4096

// adoptedEnded passes on the end of an adopted call, and reports whether the call was one.
func (a *Agent) adoptedEnded(id string, err *Failure) bool {
	c := a.adopted[id]
	if c == nil {
		return false
	}
	delete(a.adopted, id)
	a.cfg.Promises.MarkEnded(id)
	c.front.Ended(c.Call, failureOrNil(err))
	return true
}

// adoptedReleased passes a caller's release of an adopted call to the server at which it stands.
func (a *Agent) adoptedReleased(f Front, id string) {
	if c := a.adopted[id]; c != nil && c.front == f {
		delete(a.adopted, id)
		a.cfg.Promises.MarkEnded(id)
		a.backend.ReleaseUnknown(id)
	}
}
