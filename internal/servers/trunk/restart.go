package trunk

import (
	"errors"
	"slices"
	"syscall"
	"time"

	"woodrouter/agent"
	"woodrouter/isup"
	"woodrouter/policy"
)

// suspectedRestart is a loss of contact to a server, after which it can't be told from the connection whether its process is
// the same. A network cut or a reset on the way leaves the calls that stand, a restart ends them without a word.
type suspectedRestart struct {
	lostAt        time.Time // the calls can't have ended before
	reconnectedAt time.Time
}

// restartKnownWithin is how long after the loss of contact the list may take to tell of a restart. The ends of calls
// without a release must reach the callers within 8 s.
const restartKnownWithin = 7 * time.Second

// resetByServer reports whether a connection has ended as it does when its server's process dies. A server that is alive
// closes connections in order.
func resetByServer(err error) bool {
	return errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// suspectRestart records that a server is connected after it could not be reached, or after a connection was reset, and
// schedules the decision.
func (sa *serverActor) suspectRestart() {
	lostAt := sa.lastReceived
	switch {
	case sa.dialFailures > 0:
	case !sa.resetAt.IsZero():
		lostAt = sa.resetAt
	default:
		return
	}
	sa.resetAt = time.Time{}
	suspected := &suspectedRestart{lostAt: lostAt, reconnectedAt: time.Now()}
	sa.suspected = append(sa.suspected, suspected)
	time.AfterFunc(time.Until(suspected.lostAt.Add(restartKnownWithin)), func() {
		sa.post(func() { sa.decideRestart(suspected) })
	})
}

// confirmSameProcess records that the server knows a call: its process is the same as when the call was set up.
func (sa *serverActor) confirmSameProcess(a *attempt) {
	if !a.stands {
		return
	}
	sa.suspected = slices.DeleteFunc(sa.suspected, func(s *suspectedRestart) bool { return a.stoodAt.Before(s.reconnectedAt) })
}

// decideRestart ends the calls from before a loss of contact if neither the server has shown that it knows them, nor
// the list could have told of its restart. They are released at the server, which may still have them.
func (sa *serverActor) decideRestart(suspected *suspectedRestart) {
	undecided := slices.Contains(sa.suspected, suspected)
	sa.suspected = slices.DeleteFunc(sa.suspected, func(s *suspectedRestart) bool { return s == suspected })
	if !undecided || sa.stopped || sa.cfg.ListAnsweredAt().After(suspected.reconnectedAt) {
		return
	}
	for id, a := range sa.open {
		if a.stands && a.stoodAt.Before(suspected.reconnectedAt) {
			sa.endDoubtful(id, a)
		}
	}
}

// endDoubtful ends a call that its server may have lost, here and there.
func (sa *serverActor) endDoubtful(id isup.CallID, a *attempt) {
	sa.log.Info("call ended: its server may have restarted, and the list is out of reach", "call", id)
	sa.sendRelease(sa.link, id)
	if sa.open[id] == a {
		sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Stood, policy.Cut, errDied), policy.EmptyReport())
	}
}
