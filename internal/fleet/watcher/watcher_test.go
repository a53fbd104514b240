package watcher

import (
	"bytes"
	"cmp"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"woodrouter/internal/rpcconn"
	"woodrouter/rollout"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second // bounds each wait of a test

// fakeMachine is a scripted control machine: each watch waits for the test's answer.
type fakeMachine struct {
	id       string
	ln       net.Listener
	requests chan request
	done     chan struct{}  // closed at the end of the test
	raw      func(net.Conn) // serves the connections instead of net/rpc, if set
}

type request struct {
	rollout.WatchArgs
	answer chan any // a WatchReply, or an error
}

// Rollout is the net/rpc service. Its name is that of the type.
type Rollout struct{ m *fakeMachine }

func (s Rollout) Watch(a rollout.WatchArgs, r *rollout.WatchReply) error {
	q := request{a, make(chan any)}
	s.m.requests <- q
	select {
	case <-s.m.done:
		return errors.New("ended")
	case x := <-q.answer:
		if err, ok := x.(error); ok {
			return err
		}
		*r = x.(rollout.WatchReply)
		r.Machine = s.m.id
		return nil
	}
}

func (m *fakeMachine) serve(t *testing.T) {
	var err error
	m.ln, err = net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	m.requests, m.done = make(chan request, 64), make(chan struct{})
	server := rpc.NewServer()
	require.NoError(t, server.Register(Rollout{m}))
	var group sync.WaitGroup
	group.Go(func() {
		for {
			conn, err := m.ln.Accept()
			if err != nil {
				return
			}
			group.Go(func() {
				if m.raw != nil {
					m.raw(conn)
					return
				}
				server.ServeConn(conn)
			})
		}
	})
	t.Cleanup(func() { // runs after the watcher has stopped
		m.ln.Close()
		close(m.done)
		group.Wait()
	})
}

func (m *fakeMachine) next(t *testing.T) request {
	t.Helper()
	select {
	case q := <-m.requests:
		return q
	case <-time.After(testTimeout):
		t.Fatalf("machine %s received no request", m.id)
	}
	panic("unreached")
}

// fixture is an agent with two machines, in the order in which it tries them.
type fixture struct {
	t      *testing.T
	first  *fakeMachine
	second *fakeMachine
	cfg    Config
	loader *fakeLoader
	w      *Watcher
	stop   func()
}

var agent = rollout.Agent{Name: "n1", Zone: "z1", Region: "here"}

// newFixture starts both machines. rawFirst, if not nil, serves the connections of the first.
func newFixture(t *testing.T, rawFirst func(net.Conn)) *fixture {
	s := &fixture{t: t, first: &fakeMachine{id: "near", raw: rawFirst}, second: &fakeMachine{id: "far"}, cfg: Config{Patience: "30s", Grace: "5s", Data: filepath.Join(t.TempDir(), "data")}}
	s.first.serve(t)
	s.second.serve(t)
	s.cfg.Machines = []Machine{{ID: "far", Client: s.second.ln.Addr().String(), Region: "there"}, {ID: "near", Client: s.first.ln.Addr().String(), Region: "here"}}
	return s
}

func (s *fixture) open() *fixture {
	s.loader = &fakeLoader{inForce: map[string]string{}}
	var err error
	s.w, err = Open(s.cfg, agent, []string{"routes", "spread"}, s.loader, slog.New(slog.DiscardHandler))
	require.NoError(s.t, err)
	return s
}

func (s *fixture) run() *fixture {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { s.w.Run(ctx); close(done) }()
	s.stop = func() { cancel(); <-done }
	s.t.Cleanup(s.stop)
	return s
}

// fakeLoader accepts any text except those that begin with "bad" or "panic".
type fakeLoader struct {
	mu      sync.Mutex
	inForce map[string]string
}

func (l *fakeLoader) Check(kind string, text []byte) error {
	if bytes.HasPrefix(text, []byte("panic")) {
		panic("no such text")
	}
	if bytes.HasPrefix(text, []byte("bad")) {
		return fmt.Errorf("%s:2:3: field routes[0].attempts: %s", kind, text)
	}
	return nil
}

func (l *fakeLoader) Apply(kind string, d rollout.Document, ok bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inForce[kind] = string(d.Text)
	if !ok {
		l.inForce[kind] = "own"
	}
	return nil
}

func (l *fakeLoader) Calls() (uint64, uint64) { return 10, 3 }

func (l *fakeLoader) applied(kind string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.inForce[kind]
}

func doc(name string, revision uint64, text string) rollout.Document {
	n, err := rollout.ParseName(name)
	if err != nil {
		panic(err)
	}
	return rollout.Document{Name: n, Revision: revision, Text: []byte(text), Sum: rollout.Sum([]byte(text)), Removed: text == ""}
}

func reply(version uint64, docs ...rollout.Document) rollout.WatchReply {
	return rollout.WatchReply{Version: version, Docs: docs}
}

// TestAppliesDocuments: a document is checked, applied and saved before it is acknowledged. A narrower
// document takes precedence over a wider one, and the agent's own file is in force when all are removed. A
// refused text is reported with the loader's error, and the former one stays in force.
func TestAppliesDocuments(t *testing.T) {
	s := newFixture(t, nil).open().run()
	q := s.first.next(t)
	assert.Equal(t, firstWatchPatience.Milliseconds(), q.PatienceMs, "the first watch at a machine is short")
	assert.Empty(t, q.Have)
	for i, step := range []struct {
		docs    []rollout.Document
		routes  string
		force   uint64
		seen    map[string]uint64
		refused string
	}{
		{[]rollout.Document{doc("routes@all", 3, "wide")}, "wide", 3, map[string]uint64{"routes@all": 3}, ""},
		{[]rollout.Document{doc("routes@zone/z1", 5, "narrow")}, "narrow", 5, map[string]uint64{"routes@all": 3, "routes@zone/z1": 5}, ""},
		{[]rollout.Document{doc("routes@zone/z1", 6, "bad")}, "narrow", 5, map[string]uint64{"routes@all": 3, "routes@zone/z1": 5}, "routes:2:3: field routes[0].attempts: bad"},
		{[]rollout.Document{doc("routes@zone/z1", 7, "panic")}, "narrow", 5, map[string]uint64{"routes@all": 3, "routes@zone/z1": 5}, "panicked"},
		{[]rollout.Document{doc("routes@zone/z1", 8, ""), doc("routes@all", 9, "later")}, "later", 9, map[string]uint64{"routes@all": 9, "routes@zone/z1": 8}, ""},
		{[]rollout.Document{doc("routes@all", 10, "")}, "own", 0, map[string]uint64{"routes@all": 10, "routes@zone/z1": 8}, ""},
		{[]rollout.Document{doc("pools@all", 11, "x")}, "own", 0, map[string]uint64{"routes@all": 10, "routes@zone/z1": 8}, "no documents of kind pools"},
	} {
		version := step.docs[len(step.docs)-1].Revision
		q.answer <- reply(version, step.docs...)
		q = s.first.next(t)
		assert.Equal(t, step.routes, s.loader.applied("routes"), i)
		assert.Equal(t, step.force, q.Report.InForce["routes"], i)
		assert.Equal(t, step.force, s.w.InForce()["routes"], i)
		assert.Equal(t, step.seen, q.Report.Seen, i)
		assert.Equal(t, version, q.Version)
		assert.Equal(t, uint64(i+2), q.Report.Seq)
		assert.Equal(t, [2]uint64{10, 3}, [2]uint64{q.Report.Calls, q.Report.Failed})
		if step.refused == "" {
			assert.Empty(t, q.Report.Refused, i)
			continue
		}
		require.Len(t, q.Report.Refused, 1, i)
		assert.Contains(t, q.Report.Refused[0].Why, step.refused)
		assert.Contains(t, s.w.Status(), "refused "+q.Report.Refused[0].Name.String())
	}
}

// TestStartsFromDisk: an agent starts with what it acknowledged before it asks any machine, so that it starts
// even if all control machines are gone. A corrupt file or one of another agent is moved aside, and its
// documents are fetched again.
func TestStartsFromDisk(t *testing.T) {
	s := newFixture(t, nil).open().run()
	s.first.next(t).answer <- reply(4, doc("routes@all", 4, "kept"), doc("spread@all", 3, "also"))
	q := s.first.next(t)
	s.stop()
	file := filepath.Join(s.cfg.Data, lastKnownGoodFile)
	whole, err := os.ReadFile(file)
	require.NoError(t, err)
	foreign := rollout.NewDocumentSet(rollout.Agent{Name: "n2"}).Bytes()
	for name, tc := range map[string]struct {
		data []byte
		want string
	}{
		"whole": {whole, "kept"}, "torn": {whole[:len(whole)/2], ""}, "empty": {nil, ""}, "foreign": {foreign, ""},
		"flipped": {append(append([]byte{}, whole[:40]...), append([]byte{whole[40] ^ 1}, whole[41:]...)...), ""},
	} {
		require.NoError(t, os.RemoveAll(s.cfg.Data))
		require.NoError(t, os.Mkdir(s.cfg.Data, 0o700))
		require.NoError(t, os.WriteFile(file, tc.data, 0o600))
		s.open()
		assert.Equal(t, tc.want, s.loader.applied("routes"), name)
		aside, _ := filepath.Glob(file + ".torn-*")
		if tc.want == "" {
			assert.Len(t, aside, 1, name)
			assert.Zero(t, s.w.documents.Version(), name)
			continue
		}
		assert.Empty(t, aside, name)
		assert.Equal(t, q.Report.Seen, s.w.watchArgs(0).Report.Seen, "not below what it acknowledged")
		assert.EqualValues(t, 4, s.w.InForce()["routes"])
	}
}

// TestSaveFails: a document that cannot be saved is in force and reported as such, but not acknowledged until
// it is saved. An agent that restarts meanwhile starts from what was saved, and receives the rest again.
func TestSaveFails(t *testing.T) {
	s := newFixture(t, nil).open().run()
	unsaved := func() (n int64) {
		s.w.WriteStats(func(_ string, x int64, name string) {
			if name == "rollout_unsaved" {
				n = x
			}
		})
		return n
	}
	s.first.next(t).answer <- reply(1, doc("routes@all", 1, "one"))
	q := s.first.next(t)
	moved := s.cfg.Data + ".away"
	require.NoError(t, os.Rename(s.cfg.Data, moved))
	require.NoError(t, os.WriteFile(s.cfg.Data, nil, 0o600)) // a file in place of the directory
	q.answer <- reply(2, doc("routes@all", 2, "two"))
	q = s.first.next(t)
	assert.Equal(t, map[string]uint64{"routes@all": 1}, q.Report.Seen)
	assert.Equal(t, uint64(2), q.Report.InForce["routes"])
	assert.Equal(t, "two", s.loader.applied("routes"))
	assert.EqualValues(t, 1, unsaved())
	require.NoError(t, os.Remove(s.cfg.Data))
	require.NoError(t, os.Rename(moved, s.cfg.Data))
	again := newFixture(t, nil)
	again.cfg.Data = s.cfg.Data
	assert.Equal(t, "one", again.open().loader.applied("routes"), "after a restart meanwhile")
	q.answer <- reply(3, doc("routes@all", 3, "three"))
	q = s.first.next(t)
	assert.Equal(t, map[string]uint64{"routes@all": 3}, q.Report.Seen)
	assert.Zero(t, unsaved())
}

// gobLength encodes a length as gob does before a message.
func gobLength(n uint32) []byte {
	return []byte{0xfc, byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)}
}

// TestLeavesFaultyMachine: after each of these faults the agent applies nothing of the answer, and goes on to
// the next machine with the documents that it had.
func TestLeavesFaultyMachine(t *testing.T) {
	header := func(h rpc.Response, body any) func(net.Conn) {
		return func(c net.Conn) {
			c.Read(make([]byte, 1)) // the request has been sent
			enc := gob.NewEncoder(c)
			enc.Encode(h)
			enc.Encode(body)
			io.Copy(io.Discard, c)
		}
	}
	written := func(data []byte) func(net.Conn) {
		return func(c net.Conn) { c.Write(data); io.Copy(io.Discard, c) }
	}
	torn := doc("routes@all", 9, "torn")
	torn.Sum++
	for name, tc := range map[string]struct {
		raw     func(net.Conn)
		answer  any // follows a valid one of version 5
		invalid int64
	}{
		"silent":            {raw: func(c net.Conn) { io.Copy(io.Discard, c) }},
		"closes":            {raw: func(c net.Conn) { c.Close() }},
		"junk":              {raw: written([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))},
		"oversized":         {raw: written(gobLength(maxAnswerBytes + 1)), invalid: 1},
		"replayed":          {raw: header(rpc.Response{ServiceMethod: "Rollout.Watch", Seq: 7}, reply(9, doc("routes@all", 9, "x"))), invalid: 1},
		"another type":      {raw: header(rpc.Response{Seq: 1}, struct{ Version string }{"x"})},
		"refuses":           {answer: errors.New("not now")},
		"older":             {answer: reply(4, doc("routes@all", 4, "old"))},
		"torn text":         {answer: reply(9, torn), invalid: 1},
		"above its version": {answer: reply(8, doc("routes@all", 9, "x")), invalid: 1},
		"one number, two":   {answer: reply(9, doc("routes@all", 5, "other")), invalid: 1},
		"another agent's":   {answer: reply(9, doc("routes@agent/n2", 9, "x")), invalid: 1},
	} {
		t.Run(name, func(t *testing.T) {
			s := newFixture(t, tc.raw)
			if name == "silent" || name == "junk" { // the agent waits for the rest of the answer
				s.cfg.Grace = "500ms"
			}
			s.open().run()
			text, version := "", uint64(0)
			if tc.raw == nil {
				s.first.next(t).answer <- reply(5, doc("routes@all", 5, "good"))
				s.first.next(t).answer <- tc.answer
				text, version = "good", 5
			}
			q := s.second.next(t)
			assert.Equal(t, version, q.Version)
			assert.Equal(t, version, q.Have["routes@all"])
			assert.Equal(t, text, s.loader.applied("routes"))
			assert.Equal(t, tc.invalid, s.w.counts.invalid.Load())
			assert.EqualValues(t, 1, s.w.counts.moves.Load())
		})
	}
}

// TestLagging: a machine without a leader is left for another, but its documents are kept. If all machines
// lag the agent stays with one, keeps watching, and applies what is committed.
func TestLagging(t *testing.T) {
	s := newFixture(t, nil).open().run()
	lags := reply(3, doc("routes@all", 3, "known"))
	lags.Lagging = true
	s.first.next(t).answer <- lags
	q := s.second.next(t)
	assert.EqualValues(t, 3, q.Have["routes@all"])
	q.answer <- lags
	q = s.second.next(t)
	assert.LessOrEqual(t, q.PatienceMs, (2 * laggingStay).Milliseconds(), "it looks for another machine again soon")
	lags = reply(4, doc("routes@all", 4, "committed"))
	lags.Lagging = true
	q.answer <- lags
	q = s.second.next(t)
	assert.Equal(t, "committed", s.loader.applied("routes"))
	assert.EqualValues(t, 1, s.w.counts.moves.Load())
	q.answer <- reply(4)
	q = s.second.next(t)
	assert.Greater(t, q.PatienceMs, (2 * laggingStay).Milliseconds(), "the configured patience, once there is a leader")
}

// TestRankMachines: the agents' first choices are distributed evenly over the machines of their region, and
// the agents of a lost machine evenly over the others.
func TestRankMachines(t *testing.T) {
	var machines []Machine
	for i := range 5 {
		machines = append(machines, Machine{ID: fmt.Sprint("c", i), Region: []string{"a", "b"}[i/4]})
	}
	const n = 4000
	first, next := map[string]int{}, map[string]int{}
	for i := range n {
		order := rankMachines(machines, fmt.Sprint("agent", i), "a")
		assert.Equal(t, "c4", order[4].ID, "the other region's")
		first[order[0].ID]++
		if order[0].ID == "c0" {
			next[order[1].ID]++
		}
	}
	for _, m := range machines[:4] {
		assert.InDelta(t, n/4, first[m.ID], n/40, m.ID)
		if m.ID != "c0" {
			assert.InDelta(t, first["c0"]/3, next[m.ID], n/40, m.ID)
		}
	}
}

// TestRetryDelay: the first retry comes soon, and a round over four machines that do not answer at all takes
// less than 9 s at its slowest.
func TestRetryDelay(t *testing.T) {
	w := &Watcher{machines: make([]Machine, 4)}
	for _, w.tried = range []int{0, 1, 2, 3, 4, 5, 8, 12, 16, 4000} {
		longest := time.Duration(0)
		for range 200 {
			longest = max(longest, w.retryDelay())
		}
		limit := initialRetryDelay
		if w.tried > 4 && w.tried%4 == 0 {
			limit = maxRetryDelay
		}
		assert.LessOrEqual(t, longest, limit, w.tried)
	}
	assert.Less(t, 3*(rpcconn.DialTimeout+initialRetryDelay)+rpcconn.DialTimeout+maxRetryDelay+firstWatchPatience, 9*time.Second)
}

// TestNextPatience: after each answer the agent continues with its configured patience or a shorter one, or
// leaves the machine.
func TestNextPatience(t *testing.T) {
	now := time.Now()
	for name, tc := range map[string]struct {
		w      *Watcher
		r      rollout.WatchReply
		least  time.Duration
		most   time.Duration
		leaves error
	}{
		"calm":                                   {least: 1800 * time.Millisecond, most: 2200 * time.Millisecond},
		"asked to watch again soon":              {r: rollout.WatchReply{AgainMs: 250}, most: 250 * time.Millisecond},
		"as soon as possible":                    {r: rollout.WatchReply{AgainMs: 1}, least: minWatchPatience, most: minWatchPatience},
		"lags":                                   {w: &Watcher{tried: 1}, r: rollout.WatchReply{Lagging: true}, leaves: errLagging},
		"all lag or do not answer":               {w: &Watcher{tried: 2}, r: rollout.WatchReply{Lagging: true}, least: time.Second, most: 2200 * time.Millisecond},
		"stays with a lagging machine":           {w: &Watcher{laggingUntil: now.Add(time.Second)}, r: rollout.WatchReply{Lagging: true}, most: time.Second},
		"looks for a better machine":             {w: &Watcher{laggingUntil: now}, r: rollout.WatchReply{Lagging: true}, leaves: errLagging},
		"at its first choice":                    {w: &Watcher{returnAt: now}, least: 1800 * time.Millisecond, most: 2200 * time.Millisecond},
		"at another machine":                     {w: &Watcher{current: 1, returnAt: now.Add(time.Minute)}, least: time.Second, most: 2200 * time.Millisecond},
		"returns to its first choice":            {w: &Watcher{current: 1, returnAt: now}, leaves: errReturnToFirst},
		"does not return from a lagging machine": {w: &Watcher{current: 1, tried: 2, returnAt: now}, r: rollout.WatchReply{Lagging: true}, most: 2200 * time.Millisecond},
	} {
		w := cmp.Or(tc.w, &Watcher{})
		w.machines, w.timing, w.log = make([]Machine, 3), timing{patience: 2 * time.Second}, slog.New(slog.DiscardHandler)
		got, err := w.nextPatience(tc.r)
		assert.Equal(t, tc.leaves, err, name)
		assert.GreaterOrEqual(t, got, tc.least, name)
		assert.LessOrEqual(t, got, tc.most, name)
	}
}

// TestLoadConfig: an error names each invalid field.
func TestLoadConfig(t *testing.T) {
	const machines = "machines: [{id: c1, client: '127.0.0.1:1'}]\n"
	for text, want := range map[string]string{
		"data: /d\n" + machines:                           "",
		machines:                                          "field data",
		"data: /d\n":                                      "field machines: empty",
		"data: /d\npatience: soon\n" + machines:           "field patience",
		"data: /d\ngrace: 1h\n" + machines:                "field grace",
		"data: /d\nmachines: [{client: '127.0.0.1:1'}]\n": "field machines[0].id",
		"data: /d\nmachines: [{id: c1, client: here}]\n":  "field machines[0].client",
		"data: /d\nspeed: 3\n" + machines:                 "[2:1] unknown field \"speed\"",
	} {
		path := filepath.Join(t.TempDir(), "rollout.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadConfig(path)
		if want == "" {
			assert.NoError(t, err, text)
		} else {
			assert.ErrorContains(t, err, want, text)
			assert.ErrorContains(t, err, "rollout.yaml", text)
		}
	}
	_, err := LoadConfig("../../../deploy/rollout.yaml")
	assert.NoError(t, err)
}
