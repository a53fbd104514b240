package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/callrpc"
	"woodrouter/internal/plan"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// testConfig returns a configuration with one class, two pools and times short enough for a test.
func testConfig(t testing.TB, b *standin.Bulletin) Config {
	t.Helper()
	cfg, err := ParseConfig(testConfigText(t, b))
	require.NoError(t, err)
	return cfg
}

func testConfigText(t testing.TB, b *standin.Bulletin) []byte {
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "bulletin": b.Addr, "known": b.EventsAfter(0),
		"settings": json.RawMessage(`{"nInstances":1,"rank":0,"resolution":1000,
			"profiles":[{"name":"voice","goalTime":5000000,"deadline":9000000,"worth":1}],
			"stats":{"fields":["spare","total","latency_ms"],"how":"piggyback"},
			"limits":{"maxAttempts":5,"maxRetryAfter":2000000,"retryAfter":true,"cancel":true,"connectTimeout":500000},
			"guarantees":{"answerSlack":20000,"drainGrace":2000000,"cold":14000000,"coldFrom":0.29,"fallMultiple":3,"tipAfter":1000000},
			"domain":{"classHold":[8000000],"clearWait":300000,"repeat":800000,"poolsByClass":[[0,1]]}}`)})
	require.NoError(t, err)
	return text
}

// testSite is a daemon with both fronts, two setup servers and a bulletin.
type testSite struct {
	t        *testing.T
	servers  [2]*standin.Server
	bulletin *standin.Bulletin
	daemon   *Daemon
	addr     string
	stop     func()
	attempts attemptChecker
}

func newTestSite(t *testing.T) *testSite {
	s := &testSite{t: t, attempts: attemptChecker{outstanding: map[isup.CallID]int{}, brokenAt: map[isup.CallID]time.Time{}}}
	var entries []map[string]any
	for i := range s.servers {
		s.servers[i] = standin.NewServer(t, "")
		entries = append(entries, standin.Endpoint(fmt.Sprint("s", i), s.servers[i].Addr, i, "up"))
	}
	s.bulletin = standin.NewBulletin(t, entries...)
	cfg := testConfig(t, s.bulletin)
	cfg.State = filepath.Join(t.TempDir(), "state.json")
	desired := plan.Front{Enabled: true, Listen: "127.0.0.1:0", Path: "/calls", MaxConnections: 8,
		MaxMessage: 1 << 16, IdleS: 30}
	p, err := plan.Make(cfg.State, desired)
	require.NoError(t, err)
	require.NoError(t, p.Apply())
	s.daemon, err = New(cfg, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.daemon.Serve(ctx, ln); close(done) }()
	s.stop = func() { cancel(); <-done }
	t.Cleanup(s.stop)
	require.Eventually(t, func() bool { return s.daemon.api.address() != nil }, standin.WaitTimeout, time.Millisecond)
	return s
}

// applyAPI changes the call API's settings as an operator does: plan, apply, SIGHUP.
func (s *testSite) applyAPI(change func(*plan.Front)) {
	state, err := plan.ReadState(s.daemon.cfg.State)
	require.NoError(s.t, err)
	change(state.Front)
	p, err := plan.Make(s.daemon.cfg.State, *state.Front)
	require.NoError(s.t, err)
	require.NoError(s.t, p.Apply())
	s.daemon.Reload()
}

// attemptChecker checks over all servers that a call never has two attempts out at the same time, and that
// after a broken attempt the next one is sent no sooner than 300 ms later.
type attemptChecker struct {
	mu          sync.Mutex
	outstanding map[isup.CallID]int
	brokenAt    map[isup.CallID]time.Time
	violations  []string
}

func (c *attemptChecker) recordSetUp(g standin.Received) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding[g.Call]++; c.outstanding[g.Call] > 1 {
		c.violations = append(c.violations, fmt.Sprintf("%v has two attempts out", g.Call))
	}
	if at, ok := c.brokenAt[g.Call]; ok && g.At.Sub(at) < 300*time.Millisecond {
		c.violations = append(c.violations, fmt.Sprintf("%v was sent again after %v", g.Call, g.At.Sub(at)))
	}
}

func (c *attemptChecker) recordEnd(id isup.CallID, broke bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding[id] = 0
	if broke {
		c.brokenAt[id] = time.Now()
	}
}

// serve makes a server react to each set-up by the last three bits of its call id.
func (s *testSite) serve(server *standin.Server) {
	for {
		var g standin.Received
		select {
		case <-s.t.Context().Done(): // the servers may still receive
			return
		case g = <-server.Received:
		}
		if g.Type == isup.Release {
			s.attempts.recordEnd(g.Call, true)
		}
		if g.Type != isup.SetUp {
			continue
		}
		s.attempts.recordSetUp(g)
		kind := g.Call % 8
		again := s.servers[0].Count(isup.SetUp, g.Call)+s.servers[1].Count(isup.SetUp, g.Call) > 1
		if kind != 5 {
			s.attempts.recordEnd(g.Call, kind == 3)
		}
		switch {
		case kind == 1:
			g.Answer("room " + g.Call.String())
			g.Release(isup.Normal, "")
		case kind == 2:
			g.Release(isup.NoCircuit, "overload")
		case kind == 3 && !again:
			g.Release(isup.TempFailure, "")
		case kind == 3:
			g.Answer("room " + g.Call.String())
			g.Release(isup.TempFailure, "")
		case kind == 4:
			g.Release(isup.UserBusy, "lines_busy")
		}
	}
}

// setUpFunc sets a call up through one front and describes the outcome independently of the protocol.
type setUpFunc func(id isup.CallID, left time.Duration) string

func (s *testSite) binaryCaller(t *testing.T) setUpFunc {
	return func(id isup.CallID, left time.Duration) string {
		c := standin.NewCaller(t, s.addr)
		defer c.Close()
		c.SetUp(id, "voice", left, int(id%2))
		outcome := ""
		for {
			m, err := c.Next()
			if err != nil {
				return outcome + " lost"
			}
			cause, _ := m.Cause()
			switch {
			case m.Type == isup.Answer:
				outcome = "stands in " + m.Text(isup.Description)
			case outcome != "" && cause == isup.Normal:
				return outcome + ", completed"
			case outcome != "":
				return outcome + ", cut"
			case cause == isup.Congestion && m.Text(isup.RetryAfter) != "":
				return "refused with Retry-After"
			default:
				return "failed"
			}
		}
	}
}

func (s *testSite) webSocketCaller(t *testing.T) (setUpFunc, *callrpc.Client) {
	ctx, cancel := context.WithTimeout(context.Background(), 2*standin.WaitTimeout)
	t.Cleanup(cancel)
	client, err := callrpc.Dial(ctx, "ws://"+s.daemon.api.address().String()+"/calls", callrpc.Options{})
	require.NoError(t, err)
	t.Cleanup(func() { client.Close() })
	return func(id isup.CallID, left time.Duration) string {
		first := int(id % 2)
		call, err := client.SetUp(ctx, callrpc.Call{ID: id.String(), Class: "voice", Number: id.String(), FirstChoice: &first,
			DeadlineMs: left.Milliseconds(), Description: []byte("offer " + id.String())})
		if e, ok := callrpc.AsError(err); ok {
			if e.Code == callrpc.CodeRefused && e.Data.RetryAfterMs > 0 {
				return "refused with Retry-After"
			}
			return "failed"
		} else if err != nil {
			return "lost"
		}
		select {
		case e := <-call.Ended():
			return "stands in " + string(call.Description) + ", " + e.Cause
		case <-ctx.Done():
			return "stands without end"
		}
	}, client
}

// TestBothFronts sends calls through both fronts of one agent to the same servers. Both fronts must give the
// same outcomes, each call exactly one, and no call may have two attempts out at the same time.
func TestBothFronts(t *testing.T) {
	s := newTestSite(t)
	for _, server := range s.servers {
		go s.serve(server)
	}
	api, _ := s.webSocketCaller(t)
	for _, round := range []struct {
		kind, calls isup.CallID // calls: number per front
		left        time.Duration
		want        func(id isup.CallID) string
	}{
		{1, 4, 5 * time.Second, func(id isup.CallID) string { return "stands in room " + id.String() + ", completed" }},
		{3, 1, 5 * time.Second, func(id isup.CallID) string { return "stands in room " + id.String() + ", cut" }},
		{4, 4, 5 * time.Second, func(isup.CallID) string { return "refused with Retry-After" }},
		{5, 1, 1400 * time.Millisecond, func(isup.CallID) string { return "failed" }}, // no answer: ended by its deadline
		{2, 4, 5 * time.Second, func(isup.CallID) string { return "refused with Retry-After" }},
	} {
		var group sync.WaitGroup
		for i := range round.calls {
			for front, call := range []setUpFunc{s.binaryCaller(t), api} {
				id := 0x1000*(isup.CallID(front)+1) + 0x10*i + round.kind
				group.Go(func() {
					assert.Equal(t, round.want(id), call(id, round.left), "front %d, call %v", front, id)
				})
			}
		}
		group.Wait()
	}
	assert.Empty(t, s.attempts.violations)
	require.Eventually(t, func() bool { // the unanswered calls were given up, for both fronts
		return s.servers[0].Count(isup.Release, 0x1005)+s.servers[1].Count(isup.Release, 0x1005) > 0 &&
			s.servers[0].Count(isup.Release, 0x2005)+s.servers[1].Count(isup.Release, 0x2005) > 0
	}, standin.WaitTimeout, time.Millisecond)
}

// TestClientGoneMidSetUp checks that when a WebSocket client disconnects, its set-up is given up at the
// server, and that an answer that crosses the give-up is released there.
func TestClientGoneMidSetUp(t *testing.T) {
	s := newTestSite(t)
	api, client := s.webSocketCaller(t)
	outcome := make(chan string, 1)
	go func() { outcome <- api(0x10, 3*time.Second) }()
	g := s.servers[0].Await(t, isup.SetUp)
	client.Close()
	assert.Equal(t, "lost", <-outcome)
	assert.Equal(t, g.Call, s.servers[0].Await(t, isup.Release).Call)
	g.Answer("late")
	assert.Equal(t, g.Call, s.servers[0].Await(t, isup.Release).Call)
	assert.Zero(t, s.servers[1].Count(isup.SetUp, 0), "no further attempt without a client")
}

// TestServerDrain drains a server while calls of both fronts wait there. They must continue at the other
// server, no sooner than 300 ms after their attempts broke, and from 2 s after the bulletin's update no new
// call may reach the draining server.
func TestServerDrain(t *testing.T) {
	s := newTestSite(t)
	api, _ := s.webSocketCaller(t)
	outcomes := make(chan string, 2)
	for id := isup.CallID(0x1000); id < 0x1080; id += 0x10 { // answers in time make room for two calls
		go func() { outcomes <- s.binaryCaller(t)(id, 3*time.Second) }()
		g := s.servers[0].Await(t, isup.SetUp)
		g.Answer("room")
		g.Release(isup.Normal, "")
		require.Equal(t, "stands in room, completed", <-outcomes)
	}
	go func() { outcomes <- s.binaryCaller(t)(0x10, 9*time.Second) }()
	go func() { outcomes <- api(0x20, 9*time.Second) }()
	waiting := []standin.Received{s.servers[0].Await(t, isup.SetUp), s.servers[0].Await(t, isup.SetUp)}
	notified := time.Now()
	s.bulletin.AddEvent(false, standin.Endpoint("s0", s.servers[0].Addr, 0, "draining"))
	require.Eventually(t, s.bulletin.AllFetched, standin.WaitTimeout, time.Millisecond)
	require.Less(t, time.Since(notified), 2*time.Second)
	for id := isup.CallID(0x100); id < 0x180; id += 0x20 { // the first choice is the draining server
		go s.binaryCaller(t)(id, 3*time.Second)
		s.servers[1].Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
		go api(id+0x10, 3*time.Second)
		s.servers[1].Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
	}
	before := s.servers[0].Count(isup.SetUp, 0)
	require.Equal(t, 10, before, "sent before the update")
	broke := time.Now()
	for _, g := range waiting {
		g.Release(isup.TempFailure, "")
	}
	for range waiting {
		g := s.servers[1].Await(t, isup.SetUp)
		assert.GreaterOrEqual(t, g.At.Sub(broke), 300*time.Millisecond)
		g.Answer("room")
		g.Release(isup.Normal, "")
	}
	for range waiting {
		assert.Equal(t, "stands in room, completed", <-outcomes)
	}
	assert.Equal(t, before, s.servers[0].Count(isup.SetUp, 0), "no further set-up at the draining server")
}

// TestOneIDAtBothFronts checks that a call id that is open at one front is refused at the other, and that the
// open call continues.
func TestOneIDAtBothFronts(t *testing.T) {
	s := newTestSite(t)
	api, _ := s.webSocketCaller(t)
	outcome := make(chan string, 1)
	go func() { outcome <- s.binaryCaller(t)(0x10, 3*time.Second) }()
	g := s.servers[0].Await(t, isup.SetUp)
	assert.Equal(t, "failed", api(0x10, 3*time.Second))
	g.Answer("room")
	g.Release(isup.Normal, "")
	assert.Equal(t, "stands in room, completed", <-outcome)
	assert.Equal(t, 1, s.servers[0].Count(isup.SetUp, 0)+s.servers[1].Count(isup.SetUp, 0))
}

// TestStop checks that after SIGTERM new calls are still accepted for stopServePeriod, open calls get their
// answers, and the daemon stops in time.
func TestStop(t *testing.T) {
	s := newTestSite(t)
	api, _ := s.webSocketCaller(t)
	outcomes := make(chan string, 2)
	go func() { outcomes <- api(0x10, 3*time.Second) }()
	g := s.servers[0].Await(t, isup.SetUp)
	began := time.Now()
	ended := make(chan struct{})
	go func() { s.stop(); close(ended) }()
	c := standin.NewCaller(t, s.addr) // a new connection just after SIGTERM
	c.SetUp(0x20, "voice", 3*time.Second, 1)
	late := s.servers[1].Await(t, isup.SetUp)
	late.Answer("room")
	c.Await(t, isup.Answer, 0x20)
	g.Release(isup.UserBusy, "lines_busy")
	assert.Equal(t, "refused with Retry-After", <-outcomes)
	<-ended
	assert.GreaterOrEqual(t, time.Since(began), stopServePeriod)
	assert.Less(t, time.Since(began), s.daemon.stopTimeout())
}

// TestReload checks that SIGHUP applies the state file, that settings that can't be used change nothing, and
// that a disabled API closes its address and, once their set-ups are answered, its connections.
func TestReload(t *testing.T) {
	s := newTestSite(t)
	api, client := s.webSocketCaller(t)
	outcome := make(chan string, 1)
	go func() { outcome <- api(0x10, 3*time.Second) }()
	g := s.servers[0].Await(t, isup.SetUp)
	was := s.daemon.api.address()
	s.applyAPI(func(f *plan.Front) { f.Listen = s.addr }) // in use by the other front
	assert.Equal(t, was, s.daemon.api.address())
	s.applyAPI(func(f *plan.Front) { f.Enabled = false })
	assert.Nil(t, s.daemon.api.address())
	_, err := net.Dial("tcp", was.String())
	assert.Error(t, err)
	g.Answer("room")                    // its client is still connected, as a set-up is open
	require.Eventually(t, func() bool { // after the answer its connection is closed
		_, err := client.SetUp(context.Background(), callrpc.Call{ID: "0000000000000030", Class: "none", DeadlineMs: 1})
		_, answered := callrpc.AsError(err)
		return err != nil && !answered
	}, standin.WaitTimeout, time.Millisecond)
	s.applyAPI(func(f *plan.Front) { f.Enabled, f.Listen = true, "127.0.0.1:0" })
	again, _ := s.webSocketCaller(t)
	go again(0x20, 3*time.Second)
	s.servers[0].Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
}

// TestReconfigure checks that after SIGHUP the list is followed at the bulletin that the file names now, from
// the last event received, and that a file that can't be used changes nothing.
func TestReconfigure(t *testing.T) {
	s := newTestSite(t)
	s.daemon.cfg.path = filepath.Join(t.TempDir(), "config.json")
	next := standin.NewBulletin(t)
	for _, bad := range []string{"{", `{"listen":"127.0.0.1:0","bulletin":"nowhere"}`} {
		require.NoError(t, os.WriteFile(s.daemon.cfg.path, []byte(bad), 0o600))
		s.daemon.Reload()
	}
	s.bulletin.AddEvent(false)
	require.Eventually(t, s.bulletin.AllFetched, standin.WaitTimeout, time.Millisecond, "the former bulletin is still followed")
	require.NoError(t, os.WriteFile(s.daemon.cfg.path, testConfigText(t, next), 0o600))
	s.daemon.Reload()
	next.AddEvent(false)
	next.AddEvent(false, standin.Endpoint("s0", s.servers[0].Addr, 0, "draining"))
	require.Eventually(t, next.AllFetched, standin.WaitTimeout, time.Millisecond)
	go s.binaryCaller(t)(0x10, 3*time.Second) // the first choice is the draining server
	s.servers[1].Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
}

// TestStopTimeout checks that the time allowed for a stop follows the longest deadline, as the time of
// SIGKILL does.
func TestStopTimeout(t *testing.T) {
	for _, tc := range []struct{ deadlines, most string }{
		{`{"name":"a","deadline":9000000}`, "3.3s"},
		{`{"name":"a","deadline":900000},{"name":"b","deadline":1200000}`, "1.5s"},
		{`{"name":"a","deadline":100000}`, "800ms"},
	} {
		d := Daemon{}
		require.NoError(t, json.Unmarshal([]byte(`{"profiles":[`+tc.deadlines+`]}`), &d.cfg.info))
		assert.Equal(t, tc.most, d.stopTimeout().String(), tc.deadlines)
	}
}

func TestParseConfig(t *testing.T) {
	const whole = `{"name":"n3","listen":"127.0.0.1:0","seed":"8c1f","bulletin":"127.0.0.1:1","settings":%s,"known":%s}`
	const classes = `{"nInstances":1,"rank":0,"resolution":1000,"limits":{"maxAttempts":1,"connectTimeout":1},"stats":{"how":"silent"},
		"guarantees":{"answerSlack":0,"drainGrace":2000,"cold":0,"coldFrom":1,"fallMultiple":2,"tipAfter":1},"domain":{"clearWait":0},
		"profiles":[{"name":"v","goalTime":1,"deadline":1}]}`
	for _, tc := range []struct{ name, in, bad string }{
		{"good", fmt.Sprintf(whole, classes, "{}"), ""},
		{"not JSON", "{", "configuration"},
		{"no listen", `{"bulletin":"x:1"}`, "field listen"},
		{"no bulletin", `{"listen":"x:1"}`, "field bulletin"},
		{"seed", `{"listen":"x:1","bulletin":"x:1","seed":"xyz"}`, "field seed"},
		{"limits", `{"listen":"x:1","bulletin":"x:1","seed":"1","limits":{"sockets":3}}`, "field limits"},
		{"wrong type", `{"listen":"x:1","limits":{"cores":"many"}}`, "field limits.cores"},
		{"no settings", `{"listen":"x:1","bulletin":"x:1","seed":"1"}`, "field settings"},
		{"odd settings", fmt.Sprintf(whole, `{"rank":"first"}`, "{}"), "field settings"},
		{"useless settings", fmt.Sprintf(whole, `{}`, "{}"), "field settings"},
		{"odd list", fmt.Sprintf(whole, classes, `{"items":[{"no":1,"roster":{"endpoints":[{"name":"a"}]}}]}`), "field known.items: event 1: roster.endpoints[0].status"},
	} {
		cfg, err := ParseConfig([]byte(tc.in))
		if err == nil {
			_, err = New(cfg, slog.New(slog.DiscardHandler))
		}
		if tc.bad == "" {
			assert.NoError(t, err, tc.name)
		} else {
			assert.ErrorContains(t, err, tc.bad, tc.name)
		}
	}
	_, err := ReadConfig("")
	assert.Error(t, err)
}

// TestRoutes checks that a file of per-route limits applied by SIGHUP restricts calls to its servers, that a
// refused file changes nothing and is counted, and that at the start it ends the program.
func TestRoutes(t *testing.T) {
	s := newTestSite(t)
	file := filepath.Join(t.TempDir(), "routes.yaml")
	head := "version: 1\ndefaults: {attempt_timeout: 1500ms, attempts: 2, retry_spacing: 300ms, deadline_share: 1}\n"
	require.NoError(t, os.WriteFile(file, []byte(head+"routes:\n  - {name: second, match: {class: voice}, servers: [1]}\n"), 0o600))
	s.daemon.cfg.Routes = file
	s.daemon.Reload()
	go s.binaryCaller(t)(0x10, 3*time.Second) // its first choice is pool 0
	s.servers[1].Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
	require.NoError(t, os.WriteFile(file, []byte(head+"routes:\n  - {name: eager, match: {}, retry_spacing: 10ms}\n"), 0o600))
	s.daemon.Reload()
	assert.Equal(t, int64(1), s.daemon.reloads.refused.Load())
	go s.binaryCaller(t)(0x20, 3*time.Second)
	s.servers[1].Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
	assert.Zero(t, s.servers[0].Count(isup.SetUp, 0), "the former routes stay in force")
	cfg := testConfig(t, s.bulletin)
	cfg.Routes = file
	_, err := New(cfg, slog.New(slog.DiscardHandler))
	assert.ErrorContains(t, err, `route "eager": retry_spacing 10ms`)
}

// TestRouteTimeout checks that a route's attempt time-out is the time left that the server is told, and that
// the attempt is given up then, well before the caller's deadline.
func TestRouteTimeout(t *testing.T) {
	s := newTestSite(t)
	file := filepath.Join(t.TempDir(), "routes.yaml")
	require.NoError(t, os.WriteFile(file, []byte("version: 1\n"+
		"defaults: {attempt_timeout: 400ms, attempts: 1, retry_spacing: 300ms, deadline_share: 1}\nroutes: []\n"), 0o600))
	s.daemon.cfg.Routes = file
	s.daemon.Reload()
	go s.binaryCaller(t)(0x10, 8*time.Second)
	g := s.servers[0].Await(t, isup.SetUp)
	wait, err := strconv.Atoi(g.Text(isup.TimeLeft))
	require.NoError(t, err)
	assert.LessOrEqual(t, wait, 400, "the server is told the route's time-out, not the caller's 8 s")
	given := s.servers[0].Await(t, isup.Release)
	assert.Equal(t, g.Call, given.Call)
	assert.Less(t, given.At.Sub(g.At), 4*time.Second, "given up at its time-out, far from the deadline")
}
