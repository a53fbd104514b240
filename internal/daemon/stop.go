package daemon

import (
	"net"
	"time"

	"woodrouter/internal/front/connmgr"
	"woodrouter/internal/settings"
)

// The times of a stop. The platform kills a process once the longest deadline (counted as maxKillDeadline if
// it is longer) plus killGrace have passed since SIGTERM. By stopMargin before that, every call must have its
// answer.
const (
	stopServePeriod     = 800 * time.Millisecond // new calls are still served for this long after SIGTERM
	maxKillDeadline     = 3 * time.Second
	killGrace           = 700 * time.Millisecond
	stopMargin          = 400 * time.Millisecond
	refusedCloseTimeout = 200 * time.Millisecond // of callers whose calls were refused at the end, part of stopMargin
)

// stopTimeout returns how long after SIGTERM every call must have its answer.
func (d *Daemon) stopTimeout() time.Duration {
	return max(min(d.longestDeadline(), maxKillDeadline)+killGrace-stopMargin, stopServePeriod)
}

// longestDeadline returns the longest deadline of the settings' classes.
func (d *Daemon) longestDeadline() (longest time.Duration) {
	for _, p := range d.cfg.info.Profiles {
		longest = max(longest, settings.Micros(p.Deadline))
	}
	return longest
}

// shutDown serves until the open calls, and those that still arrive, have their answers, or the stop times
// out. Then it closes callers' connections. If another process accepts from the same socket, it gets all new
// connections, and those of this process are closed one by one from the beginning.
func (d *Daemon) shutDown(ln net.Listener) {
	d.log.Info("stopping: serving until all open calls are answered")
	began := time.Now()
	answerBy := began.Add(d.stopTimeout())
	if d.cfg.Callers != "" {
		ln.Close() // before ready returns false: later connections then go to the other process
		d.stopping.Store(true)
		d.api.stopListening()
		d.closeCallers(began, answerBy, connmgr.Exempt{New: true})
		return
	}
	d.stopping.Store(true)
	time.Sleep(stopServePeriod)
	d.awaitAnswers(answerBy)
	ln.Close()
	d.api.stopListening()
	d.closeCallers(began, answerBy, connmgr.Exempt{})
}

// awaitAnswers waits until no call is open and no set-up partly read, at the latest until answerBy.
func (d *Daemon) awaitAnswers(answerBy time.Time) {
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for d.front.BusyPeers()+d.api.front.BusyPeers() > 0 && time.Now().Before(answerBy) {
		<-ticker.C
	}
}

// closeCallers closes callers' connections one by one, each once no set-up is open on it: a connection that is closed
// earlier, or by the end of the process, loses the answer that its caller is owed. began is when the stop began. From
// answerBy on all calls are refused.
func (d *Daemon) closeCallers(began, answerBy time.Time, exempt connmgr.Exempt) {
	ticker := time.NewTicker(closeIdleInterval)
	defer ticker.Stop()
	for refusing := false; d.closeIdle(time.Since(began), exempt) > 0; <-ticker.C {
		late := time.Since(answerBy)
		if late >= 0 && !refusing {
			d.refuseOpen()
			refusing = true
		}
		if late >= refusedCloseTimeout {
			return
		}
	}
}

// refuseOpen refuses the open calls and those that arrive from now on.
func (d *Daemon) refuseOpen() {
	d.log.Warn("stopping: refusing the calls that are still open")
	d.front.RefuseSetUps()
	d.api.front.RefuseSetUps()
	d.core.RefuseNew(true)
	done := make(chan struct{})
	d.core.RefuseAll(d.retryAfter)
	d.core.NotifyIdle(func() { close(done) })
	<-done
}
