package wire

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"
	"time"

	"woodrouter/internal/settings"
	"woodrouter/policy"
)

// testInfo is the settings object of these tests. It contains some unknown keys.
const testInfo = `{"nInstances":2,"rank":%d,"unknownKey":{"a":[1]},"resolution":5000,` +
	`"profiles":[{"name":"look","goalTime":1500000,"deadline":9000000,"worth":1.0,"extra":3}],` +
	`"customers":[{"name":"north","allowancePerS":9.5}],"callers":{"marksRetry":true},` +
	`"domain":{"classHold":[8000000],"clearWait":300000,"repeat":400000,"poolsByClass":[[0,1]]},` +
	`"guarantees":{"cold":15000000,"coldFrom":0.3,"fallMultiple":2.0,"tipAfter":2000000},` +
	`"limits":{"maxAttempts":4,"maxRetryAfter":2000000,"retryAfter":true,"probes":true},` +
	`"stats":{"fields":["spare","total","queue","allowed"],"how":"pull"}}`

func id(n int) string { return fmt.Sprintf("%08d-0000-4000-8000-000000000000", n) }

// start returns a batch in which the given instances boot and receive a list of two servers.
func start(instances ...int) string {
	var b strings.Builder
	b.WriteString("clock 1000000\n")
	for _, i := range instances {
		fmt.Fprintf(&b, "switch_to %d\nboot %d "+testInfo+"\n", i, 40+i, i%2)
		b.WriteString("directory 0 2\nm 10.0.0.1:1 north std 0 on 1 -\nm 10.0.0.2:1 south std 1 on 1.5 0\n")
		b.WriteString("directory_update warm_copy 1 0\n")
	}
	return b.String() + "commit\n"
}

func run(t *testing.T, in string) (string, error) {
	t.Helper()
	var out bytes.Buffer
	err := NewHost(strings.NewReader(in), &out).Run()
	return out.String(), err
}

func mustRun(t *testing.T, in string) string {
	t.Helper()
	out, err := run(t, in)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// TestEventsDecode checks the decoding of each kind of event line.
func TestEventsDecode(t *testing.T) {
	names := []string{"spare", "total", "util", "latency_ms"}
	call := id(1)
	for _, tc := range []struct {
		line string
		read func(*fieldReader) policy.Event
		want policy.Event
	}{
		{"ingress " + call + " look north 91f03b7c55d20a64 240000 12000 57 2 -1 2",
			func(f *fieldReader) policy.Event { return f.arrival() },
			policy.Arrival{ID: call, Class: "look", Tenant: "north", TimeLeft: 240 * time.Millisecond, Pool: 57,
				Number: "91f03b7c55d20a64", Redial: true}},
		{"ingress " + call + " look - - 240000 - - - - -",
			func(f *fieldReader) policy.Event { return f.arrival() },
			policy.Arrival{ID: call, Class: "look", TimeLeft: 240 * time.Millisecond, Pool: -1}},
		{"first " + call + " 10.0.0.1:1 9250 3",
			func(f *fieldReader) policy.Event { return f.standing() },
			policy.Standing{ID: call, Attempt: 3, Server: "10.0.0.1:1", Delay: 9250 * time.Microsecond}},
		{"attempt_end " + call + " 0 10.0.0.1:1 RESOURCE_EXHAUSTED 18500 0 1923 4,9,0.5,250",
			func(f *fieldReader) policy.Event { return f.ended(names) },
			policy.Ended{ID: call, Server: "10.0.0.1:1", Result: policy.Full, Delay: 18500 * time.Microsecond,
				Wait: 120 * time.Millisecond, Report: policy.Report{FreeLines: 4, TotalLines: 9, Utilisation: 0.5,
					QueueLength: policy.NotReported, AcceptRate: policy.NotReported,
					RefuseShare: policy.NotReported, WaitSeconds: 0.25}}},
		{"attempt_end " + call + " 0 10.0.0.1:1 RESOURCE_EXHAUSTED 18500 0 1 -",
			func(f *fieldReader) policy.Event { return f.ended(names) },
			policy.Ended{ID: call, Server: "10.0.0.1:1", Result: policy.NoLines, Delay: 18500 * time.Microsecond,
				Report: policy.EmptyReport()}},
		{"attempt_end " + call + " 0 10.0.0.1:1 INTERNAL 18500 0 4 -",
			func(f *fieldReader) policy.Event { return f.ended(names) },
			policy.Ended{ID: call, Server: "10.0.0.1:1", Result: policy.Busy, Delay: 18500 * time.Microsecond,
				Report: policy.EmptyReport()}},
		{"probe_done OK 10.0.0.1:1 0 4,9,-1,-",
			func(f *fieldReader) policy.Event { return f.probed(names) },
			policy.ReportReceived{Server: "10.0.0.1:1", Report: policy.Report{FreeLines: 4, TotalLines: 9,
				Utilisation: -1, QueueLength: policy.NotReported, AcceptRate: policy.NotReported,
				RefuseShare: policy.NotReported, WaitSeconds: policy.NotReported}}},
		{"probe_done UNAVAILABLE 10.0.0.1:1 0 -",
			func(f *fieldReader) policy.Event { return f.probed(names) },
			policy.ReportReceived{Server: "10.0.0.1:1", Result: policy.Unreachable, Solicited: true,
				Report: policy.EmptyReport()}},
	} {
		_, f := splitLine(tc.line)
		got := tc.read(f)
		if err := f.end(); err != nil {
			t.Errorf("%s: %v", tc.line, err)
		} else if !reflect.DeepEqual(got, tc.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", tc.line, got, tc.want)
		}
	}
}

// TestRoundTrip writes random events as lines and reads them back.
func TestRoundTrip(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	names := []string{"spare", "total", "util", "queue"}
	for n := range 2000 {
		s := policy.Standing{ID: id(n), Server: fmt.Sprintf("10.0.0.%d:1", n%200), Attempt: rng.IntN(6),
			Delay: settings.Micros(rng.Int64N(1e9))}
		_, f := splitLine(fmt.Sprintf("first %s %s %d %d", s.ID, s.Server, s.Delay.Microseconds(), s.Attempt))
		if got := f.standing(); f.end() != nil || got != s {
			t.Fatalf("got %+v (%v), want %+v", got, f.err, s)
		}
		e := policy.Ended{ID: id(n), Server: s.Server, Attempt: s.Attempt, Delay: s.Delay, Result: policy.OK,
			Complete: rng.IntN(2) == 0, Report: policy.EmptyReport()}
		e.Report.FreeLines, e.Report.TotalLines = float64(rng.IntN(90)), 100
		e.Report.Utilisation, e.Report.QueueLength = rng.Float64(), rng.Float64()*30
		_, f = splitLine(fmt.Sprintf("attempt_end %s %d %s OK %d %d - %g,%g,%g,%g", e.ID, e.Attempt, e.Server,
			e.Delay.Microseconds(), map[bool]int{true: 1}[e.Complete],
			e.Report.FreeLines, e.Report.TotalLines, e.Report.Utilisation, e.Report.QueueLength))
		if got := f.ended(names); f.end() != nil || got != e {
			t.Fatalf("got %+v (%v), want %+v", got, f.err, e)
		}
		a := policy.Arrival{ID: id(n), Class: "look", Tenant: "north", TimeLeft: settings.Micros(rng.Int64N(1e7)),
			Pool: rng.IntN(9), Number: fmt.Sprintf("%016x", rng.Uint64()), Redial: rng.IntN(2) == 0}
		_, f = splitLine(fmt.Sprintf("ingress %s %s %s %s %d - %d 1 -1 %d", a.ID, a.Class, a.Tenant, a.Number,
			a.TimeLeft.Microseconds(), a.Pool, 2*map[bool]int{true: 1}[a.Redial]))
		if got := f.arrival(); f.end() != nil || !reflect.DeepEqual(got, a) {
			t.Fatalf("got %+v (%v), want %+v", got, f.err, a)
		}
	}
}

// TestActionsEncode checks the line of each kind of action.
func TestActionsEncode(t *testing.T) {
	for _, tc := range []struct {
		action policy.Action
		want   string
	}{
		{policy.Send{ID: "a", Server: "s:1", Deadline: 2 * time.Second}, "pass_on a s:1 2000000\n"},
		{policy.Cancel{ID: "a", Attempt: 2}, "undo_send a 2\n"},
		{policy.Refuse{ID: "a", RetryAfter: time.Second}, "not_now a 1000000\n"},
		{policy.Fail{ID: "a"}, "abort a\n"},
		{policy.Probe{Server: "s:1"}, "check s:1\n"},
		{policy.Wake{After: 20 * time.Millisecond}, "notify_me 20000 look\n"},
		{policy.Log{Text: "two\nlines"}, "record two lines\n"},
	} {
		if got := string(appendAction(nil, tc.action)); got != tc.want {
			t.Errorf("%+v: %q, want %q", tc.action, got, tc.want)
		}
	}
}

// TestCallIsSentAndStands checks the replies to a call that stands at its first choice.
func TestCallIsSentAndStands(t *testing.T) {
	in := start(0) + "clock 1005000\nswitch_to 0\ningress " + id(1) +
		" look north - 3000000 - 1 1 -1 0\ncommit\n" +
		"clock 1055000\nswitch_to 0\nfirst " + id(1) + " 10.0.0.2:1 50000 0\ncommit\n" +
		"clock 1500000\ncommit\n"
	out := mustRun(t, in)
	if !strings.Contains(out, "pass_on "+id(1)+" 10.0.0.2:1 ") {
		t.Errorf("call not sent to its first choice:\n%s", out)
	}
	if !strings.HasSuffix(out, "next\nnext\n") || strings.Count(out, "next\n") != 4 {
		t.Errorf("want one reply for each batch, and no actions for the empty one:\n%s", out)
	}
}

// TestOddButLegal checks rare input that is legal: several lists under one number in a batch, a lost list,
// an instance that stops and starts in one batch, and a batch of megabytes.
func TestOddButLegal(t *testing.T) {
	var big strings.Builder
	big.WriteString("clock 3000000\nswitch_to 0\n")
	for i := range 20000 {
		fmt.Fprintf(&big, "ingress %s look north - 3000000 - 1 1 -1 0\n", id(100+i))
	}
	out := mustRun(t, start(0)+
		"clock 2000000\nswitch_to 0\ndirectory 0 1\nm 10.0.0.9:1 - - 0 on - -\ndirectory_update total 2 0\n"+
		"directory 0 1\nm 10.0.0.9:1 - - 0 off - -\ndirectory_update incr 3 0\ndirectory_update lost - -\n"+
		"ingress "+id(1)+" look north - 3000000 - 0 1 -1 0\n"+
		"destroy\nboot 5 "+fmt.Sprintf(testInfo, 0)+"\ndirectory_update warm_copy 4 0\n"+
		"neighbour_says 1 aGkgNw==\nexpired "+id(1)+"\ncommit\n"+big.String()+"commit\n")
	if !strings.Contains(out, "not_now "+id(1)) {
		t.Errorf("call without any server not refused:\n%.600s", out)
	}
	if n := strings.Count(out, "not_now "); n < 20000 {
		t.Errorf("%d refusals of 20001 calls without any server", n)
	}
}

// TestHostedTogetherOrApart checks that an instance acts the same whether it is hosted alone or with
// others: no state may leak from one instance to another.
func TestHostedTogetherOrApart(t *testing.T) {
	event := func(i, n int) string {
		return fmt.Sprintf("switch_to %d\ningress %s look north %016x 2500000 - %d 1 -1 0\n",
			i, id(1000*i+n), n%7, n%2)
	}
	actions := func(out string, i int) string {
		var kept []string
		mine := false
		for line := range strings.Lines(out) {
			if strings.HasPrefix(line, "on_behalf ") {
				mine = line == fmt.Sprintf("on_behalf %d\n", i)
			} else if line == "next\n" {
				mine = false
			} else if mine {
				kept = append(kept, line)
			}
		}
		return strings.Join(kept, "")
	}
	batches := func(instances ...int) string {
		b := start(instances...)
		for n := range 200 {
			b += fmt.Sprintf("clock %d\n", 1005000+n*5000)
			for _, i := range instances {
				b += event(i, n) + "due look\n"
			}
			b += "commit\n"
		}
		return b
	}
	together := mustRun(t, batches(0, 1))
	for i := range 2 {
		apart := actions(mustRun(t, batches(i)), i)
		if apart == "" || actions(together, i) != apart {
			t.Errorf("instance %d acts differently when hosted alone", i)
		}
	}
}

// TestMalformedInput checks that malformed input ends the host with an error that names the line and field.
func TestMalformedInput(t *testing.T) {
	good := start(0) + "clock 2000000\nswitch_to 0\n"
	for _, tc := range []struct{ in, want string }{
		{"hello\n", "line 1: \"hello\": outside a batch"},
		{"clock x\n", "line 1: clock: field clock"},
		{"clock 5 6\n", "surplus"},
		{"clock -5\n", "field clock"},
		{"clock 5\nclock 6\n", "line 2: clock"},
		{"clock 5\n", "input ends inside a batch"},
		{"clock 5\ndue look\n", "no switch_to"},
		{"clock 5\nswitch_to 7\ndue look\n", "instance 7 is not running"},
		{"clock 5\nswitch_to 7\nboot 1 {\n", "field info"},
		{"clock 5\nswitch_to 7\nboot x {}\n", "field entropy"},
		{"clock 5\nswitch_to 7\nboot 1 {}\n", "no classes"},
		{good + "nonsense 1\n", "line 11: nonsense: unknown event"},
		{good + "expired\n", "field requestId: missing"},
		{good + "expired a b\n", "surplus"},
		{good + "first a b 1 -1\n", "field go"},
		{good + "first a b 1.5 0\n", "field delaySeen"},
		{good + "ingress a look - - soon - 0 1 -1 0\n", "field grace"},
		{good + "ingress a look - - 5 - 0 1 -1\n", "field flags: missing"},
		{good + "attempt_end a 0 s FINE 5 1 - -\n", "field rc"},
		{good + "attempt_end a 0 s OK 5 yes - -\n", "field complete"},
		{good + "attempt_end a 0 s OK 5 1 - 1,2\n", "field metrics: 2 figures"},
		{good + "attempt_end a 0 s OK 5 1 - 1,2,x,4\n", "field metrics"},
		{good + "attempt_end a  s OK 5 1 - -\n", "field go: empty"},
		{good + "directory_update total 1 3\n", "no list 3"},
		{good + "directory_update some 1 0\n", "field kind"},
		{good + "directory 16 0\n", "field rosterId"},
		{good + "directory 1 1\nx\n", "field rows"},
		{good + "directory 1 1\nm s - - 0 asleep 1 -\n", "field health"},
	} {
		if _, err := run(t, tc.in); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%q: error %v, want %q", tc.in[max(0, len(tc.in)-60):], err, tc.want)
		}
	}
}

// FuzzHost searches for input that makes the host panic or hang, or fail without naming a line.
func FuzzHost(f *testing.F) {
	f.Add(start(0, 1) + "clock 1005000\nswitch_to 0\ningress " + id(1) +
		" look north - 3000000 - 1 1 -1 0\ncommit\n")
	f.Add(start(1) + "clock 2\nswitch_to 1\nattempt_end a 0 10.0.0.1:1 OK 5 1 - 1,2,NaN,Inf\ndue x\ncommit\n")
	f.Add("clock 1\ncommit\n")
	f.Add("clock 1\ndirectory 15 1\nm a b c 1 fading 1 7\ncommit\n")
	f.Fuzz(func(t *testing.T, in string) {
		var out bytes.Buffer
		err := NewHost(strings.NewReader(in), &out).Run()
		if err != nil && !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("error names no line: %v", err)
		}
	})
}
