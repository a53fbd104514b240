package agent

import (
	"cmp"
	"context"
	"time"

	"woodrouter/policy"
)

// Stands reports that an attempt was answered and the call stands.
func (a *Agent) Stands(id string, n int, description []byte) {
	a.post(id, func() { a.handleStands(id, n, description) })
}

// Ended reports the end of an attempt, or of the call that stood on it. err is nil if the call ended
// normally, and a *Failure otherwise.
func (a *Agent) Ended(id string, n int, err *Failure, r policy.Report) {
	a.post(id, func() { a.handleEnded(id, n, err, r) })
}

// giveUp has the backend end the call's current attempt, once.
func (a *Agent) giveUp(c *call, why policy.Result) {
	if c.attemptOut && !c.givenUp {
		c.givenUp = true
		a.cfg.Log.Debug("attempt given up", "call", c.ID, "attempt", c.attempts-1, "server", c.server, "stands", c.stands)
		c.cancelAttempt()
		a.backend.GiveUp(c.server, c.ID, c.attempts-1, why)
	}
}

// currentAttempt returns the call if n is its latest attempt and that attempt is still out.
func (a *Agent) currentAttempt(id string, n int) *call {
	if c := a.calls[id]; c != nil && c.attemptOut && n == c.attempts-1 {
		return c
	}
	return nil
}

// handleStands handles the answer to an attempt: the call stands, and its caller gets the answer.
func (a *Agent) handleStands(id string, n int, description []byte) {
	c := a.currentAttempt(id, n)
	// An answer after the give-up is too late: the backend releases the call at the server.
	if c == nil || c.givenUp || c.resolved || c.storing {
		return
	}
	c.attemptTimer.Stop()
	a.cfg.Log.Debug("call stands", "call", id, "attempt", n, "server", c.server)
	c.stands = true
	a.standingCalls++
	a.storeAndAnswer(c, Promise{Outcome: Served, Description: description}, func() {
		c.Description = nil
		a.answer(c.front, c.Call, description)
	})
	a.observations.recordAttempt(c.server, policy.OK, a.now()-c.sentAt, policy.EmptyReport())
	a.act(a.controller.Handle(a.now(), policy.Standing{ID: id, Attempt: n, Server: c.server,
		Delay: a.now() - c.sentAt}))
}

// handleEnded handles the end of an attempt or of the call that stood on it.
func (a *Agent) handleEnded(id string, n int, err *Failure, r policy.Report) {
	c := a.currentAttempt(id, n)
	if c == nil {
		return
	}
	c.attemptOut = false
	c.attemptTimer.Stop()
	c.cancelAttempt()
	if c.stands {
		a.standingCalls--
	}
	switch {
	case c.stands && c.storing:
		c.ended, c.endFailure = true, err
	case c.stands && !c.callerLeft:
		a.notifyEnded(c, err)
	}
	if c.stored {
		a.cfg.Promises.MarkEnded(id)
	}
	e := policy.Ended{ID: id, Attempt: n, Server: c.server, Delay: a.now() - c.sentAt,
		Complete: c.resolved || c.storing, Report: r}
	if err != nil {
		c.lastFailure = err
		e.Result, e.Wait = err.Result, err.Wait
		a.cfg.Log.Debug("attempt ended", "call", id, "attempt", n, "error", err)
	}
	if !c.stands { // the end of a standing call says nothing about reaching its server
		a.observations.recordAttempt(c.server, e.Result, e.Delay, r)
	}
	a.forgetIfDone(c)
	a.act(a.controller.Handle(a.now(), e))
}

// act carries out the module's decisions, in order.
func (a *Agent) act(actions []policy.Action) {
	for _, action := range actions {
		switch d := action.(type) {
		case policy.Send:
			a.send(d)
		case policy.Cancel:
			if c := a.currentAttempt(d.ID, d.Attempt); c != nil && !c.stands {
				a.giveUp(c, policy.Cancelled)
			}
		case policy.Refuse:
			if c := a.calls[d.ID]; c != nil && !c.resolved && !c.storing {
				a.storeAndAnswer(c, Promise{Outcome: Refused, RetryAfter: d.RetryAfter}, func() { a.refuse(c.front, c.Call, d.RetryAfter) })
			}
		case policy.Fail:
			if c := a.calls[d.ID]; c != nil && !c.resolved && !c.storing {
				a.storeAndAnswer(c, Promise{Outcome: Failed}, func() { a.fail(c.front, c.Call, c.overdueError()) })
			}
		case policy.Probe:
			a.backend.Probe(d.Server)
		case policy.Wake:
			time.AfterFunc(d.After, func() {
				a.post("", func() { a.act(a.controller.Handle(a.now(), policy.Tick{})) })
			})
		case policy.Log:
			a.cfg.Log.Info(d.Text)
		}
	}
}

// send starts an attempt that the module decided on, with a timer that gives it up.
func (a *Agent) send(d policy.Send) {
	c := a.calls[d.ID]
	if c == nil || c.resolved || c.attemptOut || c.storing {
		a.cfg.Log.Error("set-up ignored: the call has ended or another attempt is out", "call", d.ID, "server", d.Server)
		return
	}
	n := c.attempts
	c.attempts++
	c.server, c.attemptOut, c.givenUp, c.sentAt = d.Server, true, false, a.now()
	a.cfg.Log.Debug("attempt sent", "call", c.ID, "attempt", n, "server", c.server)
	left := d.Deadline - c.sentAt
	if c.attemptTimeout > 0 {
		left = min(left, c.attemptTimeout)
	}
	c.attemptTimer = time.AfterFunc(left, func() {
		a.post(c.ID, func() {
			if a.currentAttempt(c.ID, n) == c && !c.stands {
				a.giveUp(c, policy.TimedOut)
			}
		})
	})
	ctx, cancel := context.WithCancel(cmp.Or(c.CallerContext, context.Background()))
	c.cancelAttempt = cancel
	a.backend.SetUp(Attempt{ID: c.ID, Index: n, Server: d.Server, Class: c.Class, Number: c.Number,
		Deadline: time.Now().Add(left), Description: c.Description, Context: ctx})
}
