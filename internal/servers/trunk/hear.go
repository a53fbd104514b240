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

// receive handles one message of the server. One that can't be understood ends the connection.
func (sa *serverActor) receive(l *link, m isup.Message) {
	l.lastReceived, l.received = time.Now(), true
	if l.retired && !l.falseAlarm { // it was slow, not deaf
		l.falseAlarm = true
		sa.cfg.adaptive.recordFalseAlarm()
	}
	sa.lastReceived = l.lastReceived
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
		if !l.lastGroupState.IsZero() {
			sa.cfg.adaptive.observeStatePeriod(l.lastReceived.Sub(l.lastGroupState))
		}
		l.lastGroupState = l.lastReceived
		sa.core.Reported(policy.ReportReceived{Server: sa.server.ID, Result: policy.OK, Report: report})
	case isup.TestResult:
		return sa.handleTestResult(m, report)
	case isup.Answer:
		sa.handleAnswer(l, m)
	case isup.Release:
		return sa.handleRelease(m, report)
	case isup.Progress, isup.Released:
	default:
		return fmt.Errorf("message of type %d", m.Type)
	}
	return nil
}

// handleAnswer takes an answer. One for an attempt that is over is released at the server:
// nobody else would. A second copy says nothing new, and a release for it would cut a call
// that stands; nor is there anything to release of an id that was never sent there.
func (sa *serverActor) handleAnswer(l *link, m isup.Message) {
	a := sa.open[m.Call]
	switch {
	case a == nil && sa.unconfirmed.Has(m.Call):
		sa.log.Info("late answer released", "call", m.Call)
		sa.sendRelease(l, m.Call)
		return
	case a == nil || a.stands:
		sa.log.Info("answer passed over", "call", m.Call, "stands", a != nil)
		return
	}
	sa.setUpDone(a.link)
	a.stands, a.stoodAt = true, time.Now()
	sa.answerDelay += (a.stoodAt.Sub(a.sent) - sa.answerDelay) / 4
	description, _ := m.Get(isup.Description)
	sa.core.Stands(m.Call.String(), a.number, description)
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
	if a == nil { // the answer to a give-up, or the end of a call from before a restart
		sa.core.UnknownEnded(m.Call.String(), releaseFailure(sa.server.ID, cause, m.Text(isup.Note), true))
		return nil
	}
	failure := releaseFailure(sa.server.ID, cause, m.Text(isup.Note), a.stands)
	if failure != nil && failure.Result == policy.Full {
		if failure.Wait, err = parseWait(m); err != nil {
			return err
		}
	}
	sa.endAttempt(m.Call, a, failure, report)
	return nil
}

// parseWait is how long a full processor says that it keeps set-ups waiting; 0: it does not
// say. The module bounds what it makes of it, as a wait may be longer than any call's deadline.
func parseWait(m isup.Message) (time.Duration, error) {
	if _, ok := m.Get(isup.Wait); !ok {
		return 0, nil
	}
	return m.Millis(isup.Wait)
}

// minIDPrefix is how many hex digits must have come of a call's id to know it among those that
// stand at one server.
const minIDPrefix = 6

// endTruncatedRelease takes what came of a message that its connection ended in the middle of. A release
// whose cause is missing still says that its call is over, and it may not be said again: the
// server has written it. The call's caller is owed the end, and a release makes sure of it at
// the server.
func (sa *serverActor) endTruncatedRelease(begun messageHead) {
	kind, prefix, ok := isup.ParsePartial(begun)
	if !ok || kind != isup.Release || len(prefix) < minIDPrefix {
		return
	}
	for id, a := range sa.open {
		if a.stands && strings.HasPrefix(id.String(), prefix) {
			sa.log.Info("release cut off half-way: call taken for over", "call", id)
			sa.sendRelease(sa.link, id)
			if sa.open[id] == a {
				sa.endAttempt(id, a, newFailure(sa.server.ID, agent.Stood, policy.Cut, errTruncated), policy.EmptyReport())
			}
			return
		}
	}
}

// releaseFailure words a release; nil: the call has come to its end.
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

// probe asks for a report with a test of its own call id.
func (sa *serverActor) probe() {
	if kept := sa.pinSlot(); sa.link == nil || sa.server.State != policy.Up || !kept {
		result := policy.Unreachable
		if !kept { // that it has no connection tells nothing of it
			result = policy.NotSent
		}
		sa.core.Reported(policy.ReportReceived{Server: sa.server.ID, Result: result, Solicited: true, Report: policy.EmptyReport()})
		sa.reconnect()
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

// parseReport reads the load report of a message. Fields that the module has no place
// for are skipped.
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
