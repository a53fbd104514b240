package agent

import (
	"errors"
	"time"
)

// ErrKept is a failure that was promised before: by another agent, or in an earlier life.
var ErrKept = errors.New("failed before, as other agents hold")

// Keeper copies what the agent promises to further agents, so that losing this one with its
// disk loses nothing that was promised. The core calls it from its own goroutine, so no
// method may wait; each done is called exactly once, from any goroutine. An agent without a
// Keeper promises for itself alone.
type Keeper interface {
	// Claim asks that this agent alone may send a call's set-ups. If another had the call
	// before, it is closed for both: refused, with when to come back.
	Claim(c Call, comeBack time.Duration, done func(Kept))
	// Resolve asks that a claimed call's final answer is kept, until a time at the latest.
	Resolve(id string, p Promised, until time.Time, done func(Kept))
	// Over tells that a call which stood is over, or that its promise must not be passed on
	// as one that stands. Nobody waits for it.
	Over(id string)
}

// Promised is a call's final answer as further agents keep it.
type Promised struct {
	Outcome     Outcome
	Server      string // who took the set-up; "": none sent on
	Description []byte // of a served call
	ComeBack    time.Duration
	Over        bool // it stood, and is over
}

// Outcome is how a call was answered.
type Outcome int

// The outcomes.
const (
	Served Outcome = iota
	Refused
	Failed
)

// Kept tells what came of a claim or a resolution.
type Kept struct {
	// OK tells that a quorum has it. For a claim: set-ups may be sent.
	OK bool
	// Stands is the call's final answer where it has one already. Not nil: it is to be told.
	Stands *Promised
	// ComeBack is when asking again may help, where neither of the above holds: it is not
	// known whether it is kept, or it is not.
	ComeBack time.Duration
}

// claim asks for the call before the module hears of it: nothing is sent on meanwhile.
func (a *Agent) claim(c *call) {
	c.keeping = true
	a.cfg.Keeper.Claim(c.Call, a.cfg.Settings.Limits.MaxRetryAfter, func(k Kept) {
		a.post(c.ID, func() { a.claimed(c, k) })
	})
}

func (a *Agent) claimed(c *call, k Kept) {
	c.keeping = false
	c.claimed = k.OK
	switch {
	case a.calls[c.ID] != c || c.resolved: // the caller has left, or was told that it is overdue
		a.disclaim(c, Promised{Outcome: Failed})
	case k.Stands != nil:
		a.resolve(c)
		a.echo(c, *k.Stands)
		a.drop(c)
	case !k.OK:
		a.resolve(c)
		a.refuse(c.front, c.Call, k.ComeBack)
		a.drop(c)
	default:
		a.arrive(c)
	}
}

// disclaim resolves a claimed call that has its answer, or needs none, without the quorum, so
// that an agent asked for it later sends nothing.
func (a *Agent) disclaim(c *call, p Promised) {
	if !c.claimed {
		return
	}
	c.claimed = false
	p.Server = c.server
	a.cfg.Keeper.Resolve(c.ID, p, time.Now().Add(disclaimWait), func(Kept) {})
}

// disclaimWait is how long a resolution nobody waits for is tried: an election or two.
const disclaimWait = 2 * time.Second

// final gives a call its final answer, which is kept first where the call was claimed. tell
// passes it on. While it is being kept the call is unresolved and nothing is sent for it.
func (a *Agent) final(c *call, p Promised, tell func()) {
	if !c.claimed {
		a.resolve(c)
		tell()
		a.drop(c)
		return
	}
	c.claimed, c.keeping = false, true
	p.Server = c.server
	until := c.Deadline
	if p.Outcome != Served { // nothing is lost if it is not kept: an answer at once matters more
		until = time.Now().Add(refusalWait)
	}
	a.cfg.Keeper.Resolve(c.ID, p, until, func(k Kept) {
		a.post(c.ID, func() { a.kept(c, p, k, tell) })
	})
}

// refusalWait is the longest that the quorum may hold back an answer which is harmless if it
// is not kept: the caller may try again, and the claim keeps others from sending the call.
const refusalWait = 100 * time.Millisecond

// kept passes a final answer on once it is kept, or what stands in its place.
func (a *Agent) kept(c *call, p Promised, k Kept, tell func()) {
	c.keeping = false
	gone := a.calls[c.ID] != c || c.resolved
	if gone || p.Outcome == Served && !k.OK {
		a.cfg.Keeper.Over(c.ID) // it may stand, and the call does not
	}
	if gone {
		return
	}
	a.resolve(c)
	switch {
	case k.OK:
		tell()
	case k.Stands != nil:
		a.echo(c, *k.Stands)
	case p.Outcome == Served:
		a.refuse(c.front, c.Call, k.ComeBack)
	default:
		tell() // not promised: docs/replication.md names what that can lose
	}
	if p.Outcome == Served && !k.OK { // it stands at the server, and its caller heard otherwise
		a.depart(c)
		return
	}
	c.promised = p.Outcome == Served
	if c.ended { // while its answer was being kept
		a.cfg.Keeper.Over(c.ID)
		a.tellEnd(c, c.end)
	}
	a.drop(c)
}

// tellEnd tells the caller of a call that stood how it ended.
func (a *Agent) tellEnd(c *call, err *Failure) {
	c.left = true
	c.front.Ended(c.Call, plain(err))
}

// echo tells what stands for a call that another agent, or this one in an earlier life,
// answered. The call is none of this agent's: its end, and its caller's release, are passed
// on as those of a call from before a restart.
func (a *Agent) echo(c *call, p Promised) {
	switch p.Outcome {
	case Served:
		a.answer(c.front, c.Call, p.Description)
		if p.Over {
			c.front.Ended(c.Call, nil)
		} else if len(a.echoes) < echoesMost {
			c.Description = nil
			a.echoes[c.ID] = c
		}
	case Refused:
		a.refuse(c.front, c.Call, p.ComeBack)
	default:
		a.fail(c.front, c.Call, ErrKept)
	}
}

// echoesMost bounds the calls that stand by another's answer; ends of more are passed on as
// those of calls from before a restart.
const echoesMost = 4096

// echoEnded passes the end of an echoed call on, and tells whether it was one.
func (a *Agent) echoEnded(id string, err *Failure) bool {
	c := a.echoes[id]
	if c == nil {
		return false
	}
	delete(a.echoes, id)
	a.cfg.Keeper.Over(id)
	c.front.Ended(c.Call, plain(err))
	return true
}

// echoReleased has a caller's release of an echoed call reach the server it stands at.
func (a *Agent) echoReleased(f Front, id string) {
	if c := a.echoes[id]; c != nil && c.front == f {
		delete(a.echoes, id)
		a.cfg.Keeper.Over(id)
		a.backend.ReleaseUnknown(id)
	}
}
