// Package wire implements the simulator's line protocol: it decodes lines into events of package
// policy, encodes actions as lines, and runs one controller for each instance of the gateway. It makes
// no decisions.
package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"woodrouter/internal/settings"
	"woodrouter/policy"
)

// fieldReader reads the values of one line in order and keeps the first error.
type fieldReader struct {
	rest string
	more bool // values remain
	err  error
}

// splitLine returns the first word of a line, and a reader of the values after it.
func splitLine(line string) (string, *fieldReader) {
	name, rest, more := strings.Cut(line, " ")
	return name, &fieldReader{rest: rest, more: more}
}

// fail records an error of a field unless there is one already.
func (f *fieldReader) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", field, fmt.Sprintf(format, args...))
	}
}

// next returns the next value unchanged.
func (f *fieldReader) next(field string) string {
	if f.err != nil {
		return ""
	}
	if !f.more {
		f.fail(field, "missing")
		return ""
	}
	var v string
	v, f.rest, f.more = strings.Cut(f.rest, " ")
	if v == "" {
		f.fail(field, "empty")
	}
	return v
}

// remainder returns the rest of the line.
func (f *fieldReader) remainder(field string) string {
	if f.err == nil && !f.more {
		f.fail(field, "missing")
	}
	v := f.rest
	f.rest, f.more = "", false
	return v
}

// required returns a value that must not be absent ("-").
func (f *fieldReader) required(field string) string {
	v := f.next(field)
	if v == "-" {
		f.fail(field, "absent")
	}
	return v
}

// optionalText returns a value, or "" if it is absent.
func (f *fieldReader) optionalText(field string) string {
	if v := f.next(field); v != "-" {
		return v
	}
	return ""
}

// int reads an integer between least and most.
func (f *fieldReader) int(field string, least, most int64) int64 {
	v := f.required(field)
	if f.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(field, "%q is not an integer", v)
	} else if n < least || n > most {
		f.fail(field, "%d is outside %d to %d", n, least, most)
	}
	return n
}

// optionalInt reads an integer that may be absent; it then returns none.
func (f *fieldReader) optionalInt(field string, least, most, none int64) int64 {
	if f.more && (f.rest == "-" || strings.HasPrefix(f.rest, "- ")) {
		f.next(field)
		return none
	}
	return f.int(field, least, most)
}

// maxMicros is half of the longest time that a time.Duration can hold, in microseconds.
const maxMicros = math.MaxInt64 / int64(time.Microsecond) / 2

// micros reads a time in microseconds, 0 if absent.
func (f *fieldReader) micros(field string) time.Duration {
	return settings.Micros(f.optionalInt(field, 0, maxMicros, 0))
}

func (f *fieldReader) float(field, v string) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		f.fail(field, "%q is not a number", v)
	}
	return x
}

func (f *fieldReader) bool(field string) bool {
	switch v := f.required(field); v {
	case "1":
		return true
	case "0":
	default:
		f.fail(field, "%q is neither 0 nor 1", v)
	}
	return false
}

// end returns the first error, or an error if values remain.
func (f *fieldReader) end() error {
	if f.err == nil && f.more {
		f.fail("after the last", "surplus %q", f.rest)
	}
	return f.err
}

// results holds the wire words of the results.
var results = map[string]policy.Result{
	"OK": policy.OK, "INTERNAL": policy.Faulted, "RESOURCE_EXHAUSTED": policy.Full,
	"DEADLINE_EXCEEDED": policy.TimedOut, "UNAVAILABLE": policy.Unreachable, "ABORTED": policy.Cut,
	"CANCELLED": policy.Cancelled, "TOO_LATE": policy.NotSent,
}

func (f *fieldReader) result(field string) policy.Result {
	v := f.required(field)
	r, ok := results[v]
	if !ok {
		f.fail(field, "unknown outcome %q", v)
	}
	return r
}

// states holds the wire words of the states of servers.
var states = map[string]policy.State{"on": policy.Up, "fading": policy.Draining, "off": policy.Gone}

// report reads a row of figures in the order of names. Figures that policy.Report has no field
// for are checked and skipped.
func (f *fieldReader) report(field string, names []string) policy.Report {
	r := policy.EmptyReport()
	row := f.optionalText(field)
	if row == "" || f.err != nil {
		return r
	}
	values := strings.Split(row, ",")
	if len(values) != len(names) {
		f.fail(field, "%d figures, expected %d", len(values), len(names))
		return r
	}
	for i, v := range values {
		if v == "-" {
			continue
		}
		x := f.float(field, v)
		switch names[i] {
		case "spare":
			r.FreeLines = x
		case "total":
			r.TotalLines = x
		case "util":
			r.Utilisation = x
		case "queue":
			r.QueueLength = x
		case "allowed":
			r.AcceptRate = x
		case "cut_by":
			r.RefuseShare = x
		case "latency_ms":
			r.WaitSeconds = max(x/1000, policy.NotReported)
		}
	}
	return r
}

const redialFlag = 2 // bit of the field flags that marks a redialled call

func (f *fieldReader) arrival() policy.Arrival {
	a := policy.Arrival{ID: f.required("requestId"), Class: f.required("grade"),
		Tenant: f.optionalText("project")}
	a.Number = f.optionalText("nameKey")
	a.TimeLeft = f.micros("grace")
	f.optionalInt("workHint", 0, maxMicros, 0)
	a.Pool = int(f.optionalInt("dest", -1, math.MaxInt32, -1))
	f.optionalInt("width", 0, math.MaxInt32, 1)
	f.optionalInt("advisedRoute", -1, math.MaxInt32, -1)
	a.Redial = f.optionalInt("flags", 0, math.MaxInt32, 0)&redialFlag != 0
	return a
}

func (f *fieldReader) standing() policy.Standing {
	s := policy.Standing{ID: f.required("requestId"), Server: f.required("switch"), Delay: f.micros("delaySeen")}
	s.Attempt = int(f.int("go", 0, math.MaxInt32))
	return s
}

// Values of the field clearCode. Those of a full processor also hold a wait: 16 times its milliseconds
// are added to fullCode.
const (
	noLinesCode = 1
	fullCode    = 3
	busyCode    = 4
)

func (f *fieldReader) ended(names []string) policy.Ended {
	e := policy.Ended{ID: f.required("requestId"), Attempt: int(f.int("go", 0, math.MaxInt32))}
	e.Server, e.Result, e.Delay = f.required("switch"), f.result("rc"), f.micros("delaySeen")
	e.Complete = f.bool("complete")
	switch code := f.optionalInt("clearCode", 0, math.MaxInt32, 0); {
	case code%16 == fullCode:
		e.Wait = time.Duration(code/16) * time.Millisecond
	case code == noLinesCode && e.Result == policy.Full:
		e.Result = policy.NoLines
	case code == busyCode && e.Result == policy.Faulted:
		e.Result = policy.Busy
	}
	e.Report = f.report("metrics", names)
	return e
}

func (f *fieldReader) probed(names []string) policy.ReportReceived {
	p := policy.ReportReceived{Result: f.result("rc"), Server: f.required("switch"),
		Delay: f.micros("delaySeen")}
	p.Report = f.report("metrics", names)
	p.Solicited = p.Result != policy.OK || p.Delay > 0
	return p
}

func (f *fieldReader) entry() policy.Server {
	s := policy.Server{ID: f.required("switch")}
	f.optionalText("area")
	f.optionalText("generationHw")
	s.Pool = int(f.optionalInt("pointCode", -1, math.MaxInt32, -1))
	v := f.required("health")
	state, ok := states[v]
	if !ok {
		f.fail("health", "unknown state %q", v)
	}
	s.State = state
	if w := f.optionalText("weight"); w != "" {
		f.float("weight", w)
	}
	s.ReadyAt = f.micros("readyAt")
	return s
}

// wakeToken is the token of every timer, as the controller uses only one kind.
const wakeToken = "look"

// appendAction appends an action as one line.
func appendAction(b []byte, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.Send:
		b = fmt.Appendf(b, "pass_on %s %s %d", a.ID, a.Server, a.Deadline.Microseconds())
	case policy.Cancel:
		b = fmt.Appendf(b, "undo_send %s %d", a.ID, a.Attempt)
	case policy.Refuse:
		b = fmt.Appendf(b, "not_now %s %d", a.ID, a.RetryAfter.Microseconds())
	case policy.Fail:
		b = fmt.Appendf(b, "abort %s", a.ID)
	case policy.Probe:
		b = fmt.Appendf(b, "check %s", a.Server)
	case policy.Wake:
		b = fmt.Appendf(b, "notify_me %d %s", a.After.Microseconds(), wakeToken)
	case policy.Log:
		b = fmt.Appendf(b, "record %s", strings.ReplaceAll(a.Text, "\n", " "))
	}
	return append(b, '\n')
}
