package trunk

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"woodrouter/agent"
	"woodrouter/isup"
	"woodrouter/policy"
)

// receive handles one message from the server. A message that cannot be understood ends the connection.
func (sa *serverActor) receive(l *link, m isup.Message) {
	l.lastReceived, l.received = time.Now(), true
	if l.retired && !l.falseAlarm { // it was slow, not stalled
		l.falseAlarm = true
		sa.cfg.adaptive.recordFalseAlarm()
	}
	sa.lastReceived = l.lastReceived
	l.confirmReleases(sa.releaseConfirmedAfter())
	report, err := parseReport(m)
	if err == nil && report.WaitSeconds >= 0 {
		sa.statedWait, sa.statedWaitAt = time.Duration(report.WaitSeconds*float64(time.Second)), l.lastReceived
	}
	if err == nil {
		err = sa.handle(l, m, report)
	}
	if err != nil {
		sa.log.Warn("bad message from setup server", "type", m.Type, "call", m.Call, "error", err)
		sa.linkLost(l, err)
	}
}

func (sa *serverActor) handle(l *link, m isup.Message, report policy.Report) error {
	switch m.Type {
	case isup.GroupState:
		sa.observeState(l)
		sa.core.Reported(policy.ReportReceived{Server: sa.server.ID, Result: policy.OK, Report: report})
	case isup.TestResult:
		return sa.handleTestResult(m, report)
	case isup.Answer:
		sa.handleAnswer(l, m)
	case isup.Release:
		return sa.handleRelease(m, report)
	case isup.Released:
		sa.handleReleased(l, m.Call)
	case isup.Progress:
	default:
		return fmt.Errorf("message of type %d", m.Type)
	}
	return nil
}

// observeState records that the server has sent its group state.
func (sa *serverActor) observeState(l *link) {
	former := l.lastGroupState
	l.lastGroupState = l.lastReceived
	if former.IsZero() {
		return
	}
	sa.cfg.adaptive.observeStatePeriod(l.lastReceived.Sub(former))
	if !sa.sendsStates && l == sa.link {
		sa.sendsStates = true
		sa.scheduleCheck(l)
	}
}

// handleAnswer handles an answer. A late answer, to an attempt that is over, is released at the server,
// because nobody else would release it. A second copy is ignored: a release for it would cut the call that
// stands. So is an answer with an id that was never sent to this server, as there is nothing to release.
func (sa *serverActor) handleAnswer(l *link, m isup.Message) {
	a := sa.open[m.Call]
	switch {
	case a == nil && sa.unconfirmed.Has(m.Call):
		sa.log.Info("late answer released", "call", m.Call)
		sa.sendRelease(l, m.Call)
		return
	case a == nil || a.stands:
		sa.log.Info("answer ignored: duplicate or unknown call", "call", m.Call, "stands", a != nil)
		return
	}
	sa.setUpDone(a.link)
	a.stands, a.stoodAt = true, time.Now()
	sa.answerDelay += (a.stoodAt.Sub(a.sent) - sa.answerDelay) / 4
	description, _ := m.Get(isup.Description)
	sa.core.Stands(m.Call.String(), a.index, description)
	if l == sa.link && l == a.link {
		sa.closeStalledLinks()
	}
}

func (sa *serverActor) handleRelease(m isup.Message, report policy.Report) error {
	cause, err := m.Cause()
	if err != nil {
		return err
	}
	a := sa.open[m.Call]
	if a == nil { // the reply to a release, or the end of a call from before a restart
		sa.core.UnknownEnded(m.Call.String(), releaseFailure(sa.server.ID, cause, m.Text(isup.Note), true))
		return nil
	}
	sa.confirmSameProcess(a)
	failure := releaseFailure(sa.server.ID, cause, m.Text(isup.Note), a.stands)
	if failure != nil && failure.Result == policy.Full {
		if failure.Wait, err = parseWait(m); err != nil {
			return err
		}
	}
	sa.endAttempt(m.Call, a, failure, report)
	return nil
}

// parseWait returns how long a server that refuses a set-up as overloaded says that set-ups wait at its
// processor; 0: it does not say. Package policy limits the use of this value, because the wait may exceed the
// deadline of any call.
func parseWait(m isup.Message) (time.Duration, error) {
	if _, ok := m.Get(isup.Wait); !ok {
		return 0, nil
	}
	return m.Millis(isup.Wait)
}

// minIDPrefix is how many hex digits of a call's id are needed to identify it among the calls that stand at
// one server.
const minIDPrefix = 6

// endTruncatedRelease handles the start of a message that was cut off by the end of its connection. A release
// still says that its call is over, even if its cause is missing, and the server may not repeat it because it
// has written it. So the end is reported to the caller, and a release makes sure that the call has ended at
// the server.
func (sa *serverActor) endTruncatedRelease(begun messageHead) {
	kind, prefix, ok := isup.ParsePartial(begun)
	if !ok || kind != isup.Release || len(prefix) < minIDPrefix {
		return
	}
	for id, a := range sa.open {
		if a.stands && strings.HasPrefix(id.String(), prefix) {
			sa.log.Info("release truncated by the end of the connection: call ended", "call", id)
			sa.sendRelease(sa.link, id)
			if sa.open[id] == a {
				sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Stood, policy.Cut, errTruncated), policy.EmptyReport())
			}
			return
		}
	}
}

// releaseFailure converts a release to the failure of an attempt or call. It returns nil if a call that stood
// ended normally.
func releaseFailure(server string, cause isup.Cause, note string, stood bool) *agent.Failure {
	failure := newFailure(server, agent.Responded, policy.Faulted, fmt.Errorf("released with cause %d %s", cause, note))
	if stood {
		if cause == isup.Normal {
			return nil
		}
		failure.Stage, failure.Result = agent.Stood, policy.Cut
		return failure
	}
	switch cause {
	case isup.NoCircuit:
		failure.Result = policy.Full
		if note == "no_circuit" {
			failure.Result = policy.NoLines
		}
	case isup.UserBusy, isup.Unavailable:
		if note == "lines_busy" {
			failure.Result = policy.Busy
		}
	case isup.TimerExpiry:
		failure.Result = policy.NotSent
	case isup.TempFailure:
		failure.Stage, failure.Result = agent.Written, policy.Cut
	case isup.Normal:
		failure.Result = policy.Cancelled
	}
	return failure
}

// probe asks for a load report by a test message with a call id of its own.
func (sa *serverActor) probe() {
	if kept := sa.pinSlot(); sa.link == nil || sa.server.State != policy.Up || !kept {
		result := policy.Unreachable
		if !kept { // the missing connection says nothing about the server
			result = policy.NotSent
		}
		sa.core.Reported(policy.ReportReceived{Server: sa.server.ID, Result: result, Solicited: true, Report: policy.EmptyReport()})
		sa.connect()
		return
	}
	sa.lastProbe++
	id := sa.lastProbe
	sa.probes[id] = time.Now()
	time.AfterFunc(sa.cfg.ProbeTimeout, func() {
		sa.post(func() { sa.probeEnded(id, policy.TimedOut, policy.EmptyReport()) })
	})
	if _, err := sa.send(sa.link, isup.Message{Type: isup.Test, Call: id}.WithCause(isup.Passed)); err != nil {
		sa.linkLost(sa.link, err)
	}
}

func (sa *serverActor) handleTestResult(m isup.Message, report policy.Report) error {
	cause, err := m.Cause()
	if err != nil {
		return err
	}
	result := policy.OK
	if cause != isup.Passed {
		result = policy.Faulted
	}
	took := time.Since(sa.probes[m.Call])
	sa.probeEnded(m.Call, result, report)
	if result == policy.OK && report.WaitSeconds >= 0 && max(took, time.Duration(report.WaitSeconds*float64(time.Second))) < sa.cfg.StallTimeout/2 {
		sa.closeStalledLinks()
	}
	return nil
}

func (sa *serverActor) probeEnded(id isup.CallID, r policy.Result, report policy.Report) {
	at, ok := sa.probes[id]
	if !ok {
		return
	}
	delete(sa.probes, id)
	sa.core.Reported(policy.ReportReceived{Server: sa.server.ID, Result: r, Delay: time.Since(at), Solicited: true,
		Report: report})
}

// parseReport reads the load report of a message. Fields that package policy does not use are skipped.
func parseReport(m isup.Message) (policy.Report, error) {
	r := policy.EmptyReport()
	text, ok := m.Get(isup.Report)
	if !ok {
		return r, nil
	}
	fields := map[string]*float64{"x0": &r.FreeLines, "spare": &r.FreeLines, "x1": &r.TotalLines, "total": &r.TotalLines,
		"util": &r.Utilisation, "queue": &r.QueueLength, "qps": &r.AcceptRate, "allowed": &r.AcceptRate, "eps": &r.RefuseShare,
		"cut_by": &r.RefuseShare, "latency_ms": &r.WaitSeconds}
	var bad error
	err := isup.EachField(string(text), func(name, value string) {
		field := fields[name]
		if field == nil {
			return
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			bad = fmt.Errorf("report field %s: %q is no number", name, value)
			return
		}
		if *field = x; name == "latency_ms" {
			r.WaitSeconds /= 1000
		}
	})
	return r, errors.Join(err, bad)
}
