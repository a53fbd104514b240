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

// hear handles one message of the server. One that can't be understood ends the connection.
func (t *trunk) hear(l *link, m isup.Message) {
	l.heard, l.spoke = time.Now(), true
	if l.retired && !l.late { // it was slow, not deaf
		l.late = true
		t.cfg.doubts.wrong()
	}
	t.heard = l.heard
	report, err := parseReport(m)
	if err == nil && report.WaitSeconds >= 0 {
		t.queued, t.queuedAt = time.Duration(report.WaitSeconds*float64(time.Second)), l.heard
	}
	if err == nil {
		err = t.take(l, m, report)
	}
	if err != nil {
		t.log.Warn("bad message from setup server", "type", m.Type, "call", m.Call, "error", err)
		t.lost(l, err)
	}
}

func (t *trunk) take(l *link, m isup.Message, report policy.Report) error {
	switch m.Type {
	case isup.GroupState:
		if !l.stated.IsZero() {
			t.cfg.doubts.told(l.heard.Sub(l.stated))
		}
		l.stated = l.heard
		t.core.Reported(policy.ReportReceived{Server: t.server.ID, Result: policy.OK, Report: report})
	case isup.TestResult:
		return t.probed(m, report)
	case isup.Answer:
		t.answered(l, m)
	case isup.Release:
		return t.released(m, report)
	case isup.Progress, isup.Released:
	default:
		return fmt.Errorf("message of type %d", m.Type)
	}
	return nil
}

// answered takes an answer. One for an attempt that is over is released at the server:
// nobody else would. A second copy says nothing new, and a release for it would cut a call
// that stands; nor is there anything to release of an id that was never sent there.
func (t *trunk) answered(l *link, m isup.Message) {
	a := t.open[m.Call]
	switch {
	case a == nil && t.over.Has(m.Call):
		t.log.Info("late answer released", "call", m.Call)
		t.release(l, m.Call)
		return
	case a == nil || a.stands:
		t.log.Info("answer passed over", "call", m.Call, "stands", a != nil)
		return
	}
	t.settled(a.link)
	a.stands, a.since = true, time.Now()
	t.delay += (a.since.Sub(a.sent) - t.delay) / 4
	description, _ := m.Get(isup.Description)
	t.core.Stands(m.Call.String(), a.n, description)
	if l == t.link && l == a.link {
		t.overtaken()
	}
}

func (t *trunk) released(m isup.Message, report policy.Report) error {
	cause, err := m.Cause()
	if err != nil {
		return err
	}
	a := t.open[m.Call]
	if a == nil { // the answer to a give-up, or the end of a call from before a restart
		t.core.UnknownEnded(m.Call.String(), verdict(t.server.ID, cause, m.Text(isup.Note), true))
		return nil
	}
	f := verdict(t.server.ID, cause, m.Text(isup.Note), a.stands)
	if f != nil && f.Result == policy.Full {
		if f.Wait, err = statedWait(m); err != nil {
			return err
		}
	}
	t.end(m.Call, a, f, report)
	return nil
}

// statedWait is how long a full processor says that it keeps set-ups waiting; 0: it does not
// say. The module bounds what it makes of it, as a wait may be longer than any call's deadline.
func statedWait(m isup.Message) (time.Duration, error) {
	if _, ok := m.Get(isup.Wait); !ok {
		return 0, nil
	}
	return m.Millis(isup.Wait)
}

// leastCall is how many hex digits must have come of a call's id to know it among those that
// stand at one server.
const leastCall = 6

// cutOff takes what came of a message that its connection ended in the middle of. A release
// whose cause is missing still says that its call is over, and it may not be said again: the
// server has written it. The call's caller is owed the end, and a release makes sure of it at
// the server.
func (t *trunk) cutOff(begun opening) {
	kind, prefix, ok := isup.ParsePartial(begun)
	if !ok || kind != isup.Release || len(prefix) < leastCall {
		return
	}
	for id, a := range t.open {
		if a.stands && strings.HasPrefix(id.String(), prefix) {
			t.log.Info("release cut off half-way: call taken for over", "call", id)
			t.release(t.link, id)
			if t.open[id] == a {
				t.end(id, a, failure(t.server.ID, agent.Stood, policy.Cut, errHalf), policy.EmptyReport())
			}
			return
		}
	}
}

// verdict words a release; nil: the call has come to its end.
func verdict(server string, cause isup.Cause, note string, stood bool) *agent.Failure {
	f := failure(server, agent.Responded, policy.Faulted, fmt.Errorf("released with cause %d %s", cause, note))
	if stood {
		if cause == isup.Normal {
			return nil
		}
		f.Stage, f.Result = agent.Stood, policy.Cut
		return f
	}
	switch cause {
	case isup.NoCircuit:
		f.Result = policy.Full
		if note == "no_circuit" {
			f.Result = policy.NoLines
		}
	case isup.UserBusy, isup.Unavailable:
		if note == "lines_busy" {
			f.Result = policy.Busy
		}
	case isup.TimerExpiry:
		f.Result = policy.NotSent
	case isup.TempFailure:
		f.Stage, f.Result = agent.Written, policy.Cut
	case isup.Normal:
		f.Result = policy.Cancelled
	}
	return f
}

// probe asks for a report with a test of its own call id.
func (t *trunk) probe() {
	if kept := t.keeps(); t.link == nil || t.server.State != policy.Up || !kept {
		result := policy.Unreachable
		if !kept { // that it has no connection tells nothing of it
			result = policy.NotSent
		}
		t.core.Reported(policy.ReportReceived{Server: t.server.ID, Result: result, Solicited: true, Report: policy.EmptyReport()})
		t.connectAgain()
		return
	}
	t.probeNo++
	id := t.probeNo
	t.probes[id] = time.Now()
	time.AfterFunc(t.cfg.ProbeTimeout, func() {
		t.post(func() { t.probeEnded(id, policy.TimedOut, policy.EmptyReport()) })
	})
	if _, err := t.say(t.link, isup.Message{Type: isup.Test, Call: id}.WithCause(isup.Passed)); err != nil {
		t.lost(t.link, err)
	}
}

func (t *trunk) probed(m isup.Message, report policy.Report) error {
	cause, err := m.Cause()
	if err != nil {
		return err
	}
	result := policy.OK
	if cause != isup.Passed {
		result = policy.Faulted
	}
	took := time.Since(t.probes[m.Call])
	t.probeEnded(m.Call, result, report)
	if result == policy.OK && report.WaitSeconds >= 0 && max(took, time.Duration(report.WaitSeconds*float64(time.Second))) < t.cfg.Stall/2 {
		t.overtaken()
	}
	return nil
}

func (t *trunk) probeEnded(id isup.CallID, r policy.Result, report policy.Report) {
	at, ok := t.probes[id]
	if !ok {
		return
	}
	delete(t.probes, id)
	t.core.Reported(policy.ReportReceived{Server: t.server.ID, Result: r, Delay: time.Since(at), Solicited: true,
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
	places := map[string]*float64{"x0": &r.FreeLines, "spare": &r.FreeLines, "x1": &r.TotalLines, "total": &r.TotalLines,
		"util": &r.Utilisation, "queue": &r.QueueLength, "qps": &r.AcceptRate, "allowed": &r.AcceptRate, "eps": &r.RefuseShare,
		"cut_by": &r.RefuseShare, "latency_ms": &r.WaitSeconds}
	var bad error
	err := isup.EachField(string(text), func(name, value string) {
		place := places[name]
		if place == nil {
			return
		}
		x, err := strconv.ParseFloat(value, 64)
		if err != nil {
			bad = fmt.Errorf("report field %s: %q is no number", name, value)
			return
		}
		if *place = x; name == "latency_ms" {
			r.WaitSeconds /= 1000
		}
	})
	return r, errors.Join(err, bad)
}
