package agent

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"woodrouter/policy"
)

// route returns a call's route and how much of the remaining time the module may use.
func (a *Agent) route(in Call, left time.Duration) (Route, time.Duration) {
	r := a.router.Load()
	if r == nil {
		return Route{}, left
	}
	route := (*r)(in)
	if route.TimeShare > 0 && route.TimeShare < 1 {
		left = time.Duration(float64(left) * route.TimeShare)
	}
	return route, left
}

// call is an entry of the call table. It is removed once the call has its final answer and no attempt is out.
type call struct {
	Call
	front          Front
	resolved       bool // the call has its final answer, or needs none
	stands         bool
	callerLeft     bool // the caller has left, has released the call or was told of its end
	attempts       int
	server         string
	attemptOut     bool // an attempt is unanswered or stands
	givenUp        bool
	sentAt         policy.Time
	attemptTimer   *time.Timer   // gives the attempt up when its time is over
	cancelAttempt  func()        // ends the attempt's Context
	overdueTimer   *time.Timer   // fails the call if the module did not answer it in time
	lastFailure    *Failure      // of the latest attempt
	attemptTimeout time.Duration // for each attempt, by the call's route; 0: until the module's deadline

	claimed    bool     // the call is claimed for this agent, and its answer is not stored yet
	storing    bool     // the claim or the answer is being stored at further agents
	stored     bool     // further agents have stored that the call stands
	ended      bool     // the call stood, and ended while its answer was being stored
	endFailure *Failure // the error with which it ended; nil: normally
}

// RefuseNew sets whether new calls are refused. Calls that are open continue.
func (a *Agent) RefuseNew(on bool) { a.refusingNew.Store(on) }

// refusingRetryAfter is told to callers while the agent refuses new calls; it is short, as other agents
// accept calls at once.
const refusingRetryAfter = 200 * time.Millisecond

// Offer passes a call to the agent. It returns false if the agent is too busy; the front then refuses the
// call itself.
func (a *Agent) Offer(f Front, c Call) bool {
	if a.openBytes.Add(callMemory(c)) <= cmp.Or(a.cfg.MaxCallBytes, 16<<20) && a.mailbox.Offer(event{c.ID, func() {
		if !a.offer(f, c) {
			a.openBytes.Add(-callMemory(c))
		}
	}}) {
		return true
	}
	a.openBytes.Add(-callMemory(c))
	a.tally(c).Refused.Add(1)
	return false
}

// callOverheadBytes is a call's memory besides its description: table entries, timers, closures.
const callOverheadBytes = 1 << 10

// callMemory returns approximately how many bytes a call holds until it is answered. Hundreds of concurrent
// set-ups of 16 KiB from one caller must not exhaust a small machine's memory.
func callMemory(c Call) int64 { return int64(callOverheadBytes + len(c.Description)) }

// tally returns the counts of a call's class; for an unknown class it returns counts that are discarded.
func (a *Agent) tally(c Call) *Tally {
	if t := a.tallies[c.Class]; t != nil {
		return t
	}
	return &Tally{}
}

// answer, refuse, fail and reject pass a final answer to the front and count it.
func (a *Agent) answer(f Front, c Call, description []byte) {
	a.tally(c).Served.Add(1)
	f.Answered(c, description)
}

func (a *Agent) refuse(f Front, c Call, retryAfter time.Duration) {
	a.tally(c).Refused.Add(1)
	a.cfg.Log.Debug("call refused", "call", c.ID, "retry_after", retryAfter)
	f.Refused(c, retryAfter)
}

func (a *Agent) fail(f Front, c Call, err error) {
	a.tally(c).Failed.Add(1)
	a.cfg.Log.Debug("call failed", "call", c.ID, "error", err)
	f.Failed(c, err)
}

func (a *Agent) reject(f Front, c Call, err error) {
	a.tally(c).Failed.Add(1)
	f.Rejected(c, err)
}

// Withdraw reports that the caller has left: it gave up the set-up, released the standing call, or can't be
// reached with the answer. The front needs no further message about the call.
func (a *Agent) Withdraw(f Front, id string) { a.post(id, func() { a.withdraw(f, id) }) }

// RefuseAll refuses every call that has no final answer yet. It is meant for a shutdown that can't wait
// longer.
func (a *Agent) RefuseAll(retryAfter time.Duration) {
	a.post("", func() {
		for _, c := range a.calls {
			if !c.resolved {
				a.resolve(c)
				a.refuse(c.front, c.Call, retryAfter)
				a.closeClaim(c, Promise{Outcome: Refused, RetryAfter: retryAfter})
				a.endAtServer(c)
			}
		}
	})
}

// offer adds a call to the table and reports whether it was accepted.
func (a *Agent) offer(f Front, in Call) bool {
	if a.calls[in.ID] != nil {
		a.reject(f, in, ErrDuplicate)
		return false
	}
	if err := a.check(in); err != nil {
		a.reject(f, in, err)
		return false
	}
	a.recent.Add(in.ID)
	if a.refusingNew.Load() {
		a.refuse(f, in, min(refusingRetryAfter, a.cfg.Settings.Limits.MaxRetryAfter))
		return false
	}
	if a.openCalls >= cmp.Or(a.cfg.MaxOpenCalls, 4096) || a.standingCalls >= cmp.Or(a.cfg.MaxStandingCalls, 65536) {
		a.refuse(f, in, a.cfg.Settings.Limits.MaxRetryAfter)
		return false
	}
	a.observations.recordCall(in.Class)
	c := &call{Call: in, front: f}
	a.calls[in.ID] = c
	a.openCalls++
	left := max(time.Until(in.Deadline), 0)
	// The module answers every call in time. This timer makes sure that the caller gets an answer even if it
	// does not.
	c.overdueTimer = time.AfterFunc(left+a.cfg.AnswerSlack/2, func() {
		a.post(in.ID, func() {
			if a.calls[in.ID] == c && !c.resolved {
				a.cfg.Log.Warn("call overdue", "call", in.ID, "out", c.attemptOut, "server", c.server)
				a.abandon(c, c.overdueError())
			}
		})
	})
	if a.cfg.Promises != nil {
		a.claim(c)
	} else {
		a.notifyArrival(c)
	}
	return true
}

// notifyArrival passes a call to the module, with its route's limits.
func (a *Agent) notifyArrival(c *call) {
	in := c.Call
	route, left := a.route(in, max(time.Until(in.Deadline), 0))
	c.attemptTimeout = route.AttemptTimeout
	a.act(a.controller.Handle(a.now(), policy.Arrival{ID: in.ID, Class: in.Class, Tenant: in.Tenant,
		TimeLeft: left, Pool: in.Pool, Number: in.Number, Redial: in.Redialled,
		MaxAttempts: route.MaxAttempts, RetryDelay: route.Spacing, Pools: route.Pools}))
}

// check validates a caller's parameters before anything of the call is stored. A setup server answers
// unusable parameters with an error, or closes the connection and thereby ends other calls' set-ups.
func (a *Agent) check(c Call) error {
	class, ok := a.classes[c.Class]
	unusable := func(format string, args ...any) error {
		return fmt.Errorf("%w: "+format, append([]any{ErrUnusableCall}, args...)...)
	}
	switch {
	case !ok:
		return ErrUnknownClass
	case strings.Trim(c.ID, "0") == "":
		return unusable("no id")
	case len(a.tenants) > 0 && !a.tenants[c.Tenant]:
		return unusable("unknown tenant %.40q", c.Tenant)
	case c.Number == "" || len(c.Number) > maxNumberBytes:
		return unusable("number %.40q", c.Number)
	case len(c.Description) == 0:
		return unusable("no description")
	case c.Pool < -1 || c.Pool >= 0 && class.Pools != nil && !slices.Contains(class.Pools, c.Pool):
		return unusable("first choice %d", c.Pool)
	case c.Width != 0 && class.LinesPerCall != 0 && c.Width != class.LinesPerCall:
		return unusable("width %d", c.Width)
	}
	return nil
}

// withdraw ends a call whose caller has left, here and at its setup server.
func (a *Agent) withdraw(f Front, id string) {
	c := a.calls[id]
	if c == nil {
		a.adoptedReleased(f, id)
		return
	}
	if c.front != f || c.callerLeft { // a release may cross the call's end
		return
	}
	c.callerLeft = true
	if !c.resolved {
		a.resolve(c)
		a.closeClaim(c, Promise{Outcome: Failed})
	}
	a.endAtServer(c)
}

// abandon fails the call, whatever the module decides later.
func (a *Agent) abandon(c *call, err error) {
	if !c.resolved {
		a.resolve(c)
		a.fail(c.front, c.Call, err)
		a.closeClaim(c, Promise{Outcome: Failed})
	}
	a.endAtServer(c)
}

// endAtServer gives up the attempt that a resolved call still has at a setup server, and tells the module
// that the call is gone.
func (a *Agent) endAtServer(c *call) {
	if c.attemptOut {
		a.giveUp(c, policy.Cancelled)
	}
	a.forgetIfDone(c)
	if !c.stands {
		a.act(a.controller.Handle(a.now(), policy.Departed{ID: c.ID}))
	}
}

// resolve marks a call as finally answered. Nothing else sets resolved.
func (a *Agent) resolve(c *call) {
	c.resolved = true
	a.openBytes.Add(-callMemory(c.Call))
	c.overdueTimer.Stop()
	a.openCalls--
	a.notifyIfIdle()
}

// forgetIfDone removes a call from the table if nothing more can happen to it.
func (a *Agent) forgetIfDone(c *call) {
	if c.resolved && !c.attemptOut && a.calls[c.ID] == c {
		delete(a.calls, c.ID)
	}
}

// overdueError is the error of a call without an outcome; it says how far the latest attempt got.
func (c *call) overdueError() error {
	if c.lastFailure == nil {
		return ErrOverdue
	}
	return fmt.Errorf("%w: %w", ErrOverdue, c.lastFailure)
}
