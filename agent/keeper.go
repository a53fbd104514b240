package agent

import (
	"errors"
	"time"
)

// ErrFailedBefore is a failure that was promised before: by another agent, or in an earlier life.
var ErrFailedBefore = errors.New("failed before, as other agents hold")

// PromiseStore copies what the agent promises to further agents, so that losing this one with its
// disk loses nothing that was promised. The core calls it from its own goroutine, so no
// method may wait; each done is called exactly once, from any goroutine. An agent without a
// Keeper promises for itself alone.
type PromiseStore interface {
	// Claim asks that this agent alone may send a call's set-ups. If another had the call
	// before, it is closed for both: refused, with when to come back.
	Claim(c Call, retryAfter time.Duration, done func(StoreResult))
	// Resolve asks that a claimed call's final answer is kept, until a time at the latest.
	Resolve(id string, p Promise, until time.Time, done func(StoreResult))
	// MarkEnded tells that a call which stood is over, or that its promise must not be passed on
	// as one that stands. Nobody waits for it.
	MarkEnded(id string)
}

// Promise is a call's final answer as further agents keep it.
type Promise struct {
	Outcome     Outcome
	Server      string // who took the set-up; "": none sent on
	Description []byte // of a served call
	RetryAfter  time.Duration
	Ended       bool // it stood, and is over
}

// Outcome is how a call was answered.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
)

// StoreResult tells what came of a claim or a resolution.
type StoreResult struct {
	// OK tells that a quorum has it. For a claim: set-ups may be sent.
	OK bool
	// Existing is the call's final answer where it has one already. Not nil: it is to be told.
	Existing *Promise
	// RetryAfter is when asking again may help, where neither of the above holds: it is not
	// known whether it is kept, or it is not.
	RetryAfter time.Duration
}

// claim asks for the call before the module hears of it: nothing is sent on meanwhile.
func (a *Agent) claim(c *call) {
	c.storing = true
	a.cfg.Promises.Claim(c.Call, a.cfg.Settings.Limits.MaxRetryAfter, func(k StoreResult) {
		a.post(c.ID, func() { a.claimDone(c, k) })
	})
}

func (a *Agent) claimDone(c *call, k StoreResult) {
	c.storing = false
	c.claimed = k.OK
	switch {
	case a.calls[c.ID] != c || c.resolved: // the caller has left, or was told that it is overdue
		a.closeClaim(c, Promise{Outcome: Failed})
	case k.Existing != nil:
		a.resolve(c)
		a.adopt(c, *k.Existing)
		a.forgetIfDone(c)
	case !k.OK:
		a.resolve(c)
		a.refuse(c.front, c.Call, k.RetryAfter)
		a.forgetIfDone(c)
	default:
		a.notifyArrival(c)
	}
}

// closeClaim resolves a claimed call that has its answer, or needs none, without the quorum, so
// that an agent asked for it later sends nothing.
func (a *Agent) closeClaim(c *call, p Promise) {
	if !c.claimed {
		return
	}
	c.claimed = false
	p.Server = c.server
	a.cfg.Promises.Resolve(c.ID, p, time.Now().Add(closeClaimTimeout), func(StoreResult) {})
}

// closeClaimTimeout is how long a resolution nobody waits for is tried: an election or two.
const closeClaimTimeout = 2 * time.Second

// storeAndAnswer gives a call its final answer, which is kept first where the call was claimed. tell
// passes it on. While it is being kept the call is unresolved and nothing is sent for it.
func (a *Agent) storeAndAnswer(c *call, p Promise, tell func()) {
	if !c.claimed {
		a.resolve(c)
		tell()
		a.forgetIfDone(c)
		return
	}
	c.claimed, c.storing = false, true
	p.Server = c.server
	until := c.Deadline
	if p.Outcome != Served { // nothing is lost if it is not kept: an answer at once matters more
		until = time.Now().Add(refusalStoreTimeout)
	}
	a.cfg.Promises.Resolve(c.ID, p, until, func(k StoreResult) {
		a.post(c.ID, func() { a.answerStored(c, p, k, tell) })
	})
}

// refusalStoreTimeout is the longest that the quorum may hold back an answer which is harmless if it
// is not kept: the caller may try again, and the claim keeps others from sending the call.
const refusalStoreTimeout = 100 * time.Millisecond

// answerStored passes a final answer on once it is kept, or what stands in its place.
func (a *Agent) answerStored(c *call, p Promise, k StoreResult, tell func()) {
	c.storing = false
	gone := a.calls[c.ID] != c || c.resolved
	if gone || p.Outcome == Served && !k.OK {
		a.cfg.Promises.MarkEnded(c.ID) // it may stand, and the call does not
	}
	if gone {
		return
	}
	a.resolve(c)
	switch {
	case k.OK:
		tell()
	case k.Existing != nil:
		a.adopt(c, *k.Existing)
	case p.Outcome == Served:
		a.refuse(c.front, c.Call, k.RetryAfter)
	default:
		tell() // not promised: docs/replication.md names what that can lose
	}
	if p.Outcome == Served && !k.OK { // it stands at the server, and its caller heard otherwise
		a.endAtServer(c)
		return
	}
	c.stored = p.Outcome == Served
	if c.ended { // while its answer was being kept
		a.cfg.Promises.MarkEnded(c.ID)
		a.notifyEnded(c, c.endFailure)
	}
	a.forgetIfDone(c)
}

// notifyEnded tells the caller of a call that stood how it ended.
func (a *Agent) notifyEnded(c *call, err *Failure) {
	c.callerLeft = true
	c.front.Ended(c.Call, failureOrNil(err))
}

// adopt tells what stands for a call that another agent, or this one in an earlier life,
// answered. The call is none of this agent's: its end, and its caller's release, are passed
// on as those of a call from before a restart.
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

// maxAdopted bounds the calls that stand by another's answer; ends of more are passed on as
// those of calls from before a restart.
const maxAdopted = 4096

// adoptedEnded passes the end of an echoed call on, and tells whether it was one.
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

// adoptedReleased has a caller's release of an echoed call reach the server it stands at.
func (a *Agent) adoptedReleased(f Front, id string) {
	if c := a.adopted[id]; c != nil && c.front == f {
		delete(a.adopted, id)
		a.cfg.Promises.MarkEnded(id)
		a.backend.ReleaseUnknown(id)
	}
}
