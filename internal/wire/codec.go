// Package wire speaks the simulator's text wire: it turns lines into events of
// package policy, actions into lines, and hosts one controller an instance. It
// decides nothing.
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

// fields walks over the values of one line and keeps the first error.
type fields struct {
	rest string
	open bool // values are left
	err  error
}

func split(line string) (string, *fields) {
	name, rest, open := strings.Cut(line, " ")
	return name, &fields{rest: rest, open: open}
}

func (f *fields) fail(field, format string, args ...any) {
	if f.err == nil {
		f.err = fmt.Errorf("field %s: %s", field, fmt.Sprintf(format, args...))
	}
}

// next returns the next value as it stands.
func (f *fields) next(field string) string {
	if f.err != nil {
		return ""
	}
	if !f.open {
		f.fail(field, "missing")
		return ""
	}
	var v string
	v, f.rest, f.open = strings.Cut(f.rest, " ")
	if v == "" {
		f.fail(field, "empty")
	}
	return v
}

// text returns the rest of the line.
func (f *fields) text(field string) string {
	if f.err == nil && !f.open {
		f.fail(field, "missing")
	}
	v := f.rest
	f.rest, f.open = "", false
	return v
}

// word returns a value that must be there.
func (f *fields) word(field string) string {
	v := f.next(field)
	if v == "-" {
		f.fail(field, "absent")
	}
	return v
}

// maybe returns a value, or "" where it is absent.
func (f *fields) maybe(field string) string {
	if v := f.next(field); v != "-" {
		return v
	}
	return ""
}

func (f *fields) int(field string, least, most int64) int64 {
	v := f.word(field)
	if f.err != nil {
		return 0
	}
	n, err := strconv.ParseInt(v, 10, 64)
	if err != nil {
		f.fail(field, "%q is no whole number", v)
	} else if n < least || n > most {
		f.fail(field, "%d is outside %d to %d", n, least, most)
	}
	return n
}

// optional is an int that may be absent, and is then none.
func (f *fields) optional(field string, least, most, none int64) int64 {
	if f.open && (f.rest == "-" || strings.HasPrefix(f.rest, "- ")) {
		f.next(field)
		return none
	}
	return f.int(field, least, most)
}

const maxMicros = math.MaxInt64 / int64(time.Microsecond) / 2

func (f *fields) micros(field string) time.Duration {
	return settings.Micros(f.optional(field, 0, maxMicros, 0))
}

func (f *fields) float(field, v string) float64 {
	x, err := strconv.ParseFloat(v, 64)
	if err != nil {
		f.fail(field, "%q is no number", v)
	}
	return x
}

func (f *fields) bool(field string) bool {
	switch v := f.word(field); v {
	case "1":
		return true
	case "0":
	default:
		f.fail(field, "%q is neither 0 nor 1", v)
	}
	return false
}

func (f *fields) end() error {
	if f.err == nil && f.open {
		f.fail("after the last", "surplus %q", f.rest)
	}
	return f.err
}

var results = map[string]policy.Result{
	"OK": policy.OK, "INTERNAL": policy.Faulted, "RESOURCE_EXHAUSTED": policy.Full,
	"DEADLINE_EXCEEDED": policy.TimedOut, "UNAVAILABLE": policy.Unreachable, "ABORTED": policy.Cut,
	"CANCELLED": policy.Cancelled, "TOO_LATE": policy.NotSent,
}

func (f *fields) result(field string) policy.Result {
	v := f.word(field)
	r, ok := results[v]
	if !ok {
		f.fail(field, "unknown outcome %q", v)
	}
	return r
}

var states = map[string]policy.State{"on": policy.Up, "fading": policy.Draining, "off": policy.Gone}

// report reads a row of figures in the order of names; figures without a place
// in policy.Report are checked and skipped.
func (f *fields) report(field string, names []string) policy.Report {
	r := policy.NoReport()
	row := f.maybe(field)
	if row == "" || f.err != nil {
		return r
	}
	values := strings.Split(row, ",")
	if len(values) != len(names) {
		f.fail(field, "%d figures, not %d", len(values), len(names))
		return r
	}
	for i, v := range values {
		if v == "-" {
			continue
		}
		x := f.float(field, v)
		switch names[i] {
		case "spare":
			r.Spare = x
		case "total":
			r.Total = x
		case "util":
			r.Util = x
		case "queue":
			r.Queue = x
		case "allowed":
			r.Rate = x
		case "cut_by":
			r.HoldBack = x
		case "latency_ms":
			r.Wait = max(x/1000, policy.None)
		}
	}
	return r
}

const retryFlag = 2 // bit of flags: dialled again

func (f *fields) arrival() policy.Arrival {
	a := policy.Arrival{ID: f.word("requestId"), Class: f.word("grade"), Tenant: f.maybe("project")}
	a.Number = f.maybe("nameKey")
	a.Left = f.micros("grace")
	f.optional("workHint", 0, maxMicros, 0)
	a.Pool = int(f.optional("dest", -1, math.MaxInt32, -1))
	f.optional("width", 0, math.MaxInt32, 1)
	f.optional("advisedRoute", -1, math.MaxInt32, -1)
	a.Again = f.optional("flags", 0, math.MaxInt32, 0)&retryFlag != 0
	return a
}

func (f *fields) standing() policy.Standing {
	s := policy.Standing{ID: f.word("requestId"), Server: f.word("switch"), Delay: f.micros("delaySeen")}
	s.Attempt = int(f.int("go", 0, math.MaxInt32))
	return s
}

// Values of clearCode; a full processor adds 16 times a wait in milliseconds.
const (
	lineCode = 1
	fullCode = 3
	busyCode = 4
)

func (f *fields) ended(names []string) policy.Ended {
	e := policy.Ended{ID: f.word("requestId"), Attempt: int(f.int("go", 0, math.MaxInt32))}
	e.Server, e.Result, e.Delay = f.word("switch"), f.result("rc"), f.micros("delaySeen")
	e.Complete = f.bool("complete")
	switch code := f.optional("clearCode", 0, math.MaxInt32, 0); {
	case code%16 == fullCode:
		e.Wait = time.Duration(code/16) * time.Millisecond
	case code == lineCode && e.Result == policy.Full:
		e.Result = policy.NoLines
	case code == busyCode && e.Result == policy.Faulted:
		e.Result = policy.Busy
	}
	e.Report = f.report("metrics", names)
	return e
}

func (f *fields) probed(names []string) policy.Probed {
	p := policy.Probed{Result: f.result("rc"), Server: f.word("switch"), Delay: f.micros("delaySeen")}
	p.Report = f.report("metrics", names)
	p.Asked = p.Result != policy.OK || p.Delay > 0
	return p
}

func (f *fields) entry() policy.Server {
	s := policy.Server{ID: f.word("switch")}
	f.maybe("area")
	f.maybe("generationHw")
	s.Pool = int(f.optional("pointCode", -1, math.MaxInt32, -1))
	v := f.word("health")
	state, ok := states[v]
	if !ok {
		f.fail("health", "unknown state %q", v)
	}
	s.State = state
	if w := f.maybe("weight"); w != "" {
		f.float("weight", w)
	}
	s.ReadyAt = f.micros("readyAt")
	return s
}

// wakeToken names the one kind of timer that the module uses.
const wakeToken = "look"

// appendAction writes one action as a line.
func appendAction(b []byte, a policy.Action) []byte {
	switch a := a.(type) {
	case policy.Send:
		b = fmt.Appendf(b, "pass_on %s %s %d", a.ID, a.Server, a.Until.Microseconds())
	case policy.Cancel:
		b = fmt.Appendf(b, "undo_send %s %d", a.ID, a.Attempt)
	case policy.Refuse:
		b = fmt.Appendf(b, "not_now %s %d", a.ID, a.CoolDown.Microseconds())
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
