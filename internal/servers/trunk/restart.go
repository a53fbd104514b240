package trunk

import (
	"time"

	"woodrouter/agent"
	"woodrouter/policy"
)

// suspectedRestart is a time without contact to a server, after which it can't be told from the connection whether
// its process is the same. A network cut leaves the calls that stand, a restart ends them without a word.
type suspectedRestart struct {
	lostAt        time.Time // the last message before it
	reconnectedAt time.Time
}

// restartKnownWithin is how long after the loss of contact the list may take to tell of a restart. The ends of calls
// without a release must reach the callers within 8 s.
const restartKnownWithin = 7 * time.Second

// suspectRestart records that a server is reached again after it could not be, and schedules the decision.
func (sa *serverActor) suspectRestart() {
	suspected := &suspectedRestart{lostAt: sa.lastReceived, reconnectedAt: time.Now()}
	sa.suspected = suspected
	time.AfterFunc(time.Until(suspected.lostAt.Add(restartKnownWithin)), func() {
		sa.post(func() { sa.decideRestart(suspected) })
	})
}

// confirmSameProcess records that the server has reported the end of a call from before the loss of contact.
func (sa *serverActor) confirmSameProcess(a *attempt) {
	if sa.suspected != nil && a.stands && a.stoodAt.Before(sa.suspected.reconnectedAt) {
		sa.suspected = nil
	}
}

// decideRestart ends the calls from before a loss of contact if neither the server has shown that it knows them, nor
// the list could have told of its restart. They are released at the server, which may still have them.
func (sa *serverActor) decideRestart(suspected *suspectedRestart) {
	if sa.suspected != suspected || sa.stopped || sa.cfg.ListAnsweredAt().After(suspected.reconnectedAt) {
		return
	}
	sa.suspected = nil
	for id, a := range sa.open {
		if a.stands && a.stoodAt.Before(suspected.reconnectedAt) {
			sa.log.Info("call ended: its server may have restarted, and the list is out of reach", "call", id)
			sa.sendRelease(sa.link, id)
			if sa.open[id] == a {
				sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Stood, policy.Cut, errDied), policy.EmptyReport())
			}
		}
	}
}
