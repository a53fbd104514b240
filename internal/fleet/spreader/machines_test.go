package spreader

import (
	"context"
	"io"
	"log/slog"
	"net"
	"net/rpc"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/fleet/stewards"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/policy"
	"woodrouter/spread"
)

// testTimeout bounds what a test waits for.
const testTimeout = 15 * time.Second

// liveCore is a core whose time runs.
type liveCore struct {
	mu    sync.Mutex
	began time.Time
	state *spread.State
}

func (c *liveCore) WithSpread(do func(policy.Time, *spread.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do(time.Since(c.began), c.state)
}

func (c *liveCore) ApplyView(v spread.View) {
	c.WithSpread(func(now policy.Time, st *spread.State) { st.HandleView(now, v) })
}

func (c *liveCore) follows() (on bool) {
	c.WithSpread(func(now policy.Time, st *spread.State) { on = st.FollowsView(now) })
	return on
}

// fakeMachine is a control machine as an agent sees it: its stewards are the real ones, and a test may
// change what it answers.
type fakeMachine struct {
	t          *testing.T
	id         string
	address    string
	ln         net.Listener
	requests   atomic.Int64 // questions that have come,
	unanswered atomic.Int64 // and those not answered yet

	mu     sync.Mutex
	real   *stewards.Stewards
	answer func(stewards.TellArgs, *stewards.TellReply) error // nil: as its stewards do
	raw    func(net.Conn)                                     // nil: it speaks net/rpc
	conns  map[net.Conn]bool
	work   sync.WaitGroup
}

// Tell is the net/rpc method.
func (s *fakeMachine) Tell(args stewards.TellArgs, r *stewards.TellReply) (err error) {
	s.requests.Add(1)
	s.unanswered.Add(1)
	defer s.unanswered.Add(-1)
	s.mu.Lock()
	real, answer := s.real, s.answer
	s.mu.Unlock()
	if *r, err = real.HandleSummary(args); err != nil {
		return err
	}
	r.View.Dues = []spread.Due{{Server: "s1", Share: 1}} // at once: the stewards tell shares once they have learned rates
	if answer != nil {
		err = answer(args, r)
	}
	return err
}

func (s *fakeMachine) setAnswer(answer func(stewards.TellArgs, *stewards.TellReply) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *fakeMachine) setRaw(raw func(net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = raw
}

// start starts a life of the machine.
func (s *fakeMachine) start() {
	ln, err := net.Listen("tcp", s.address)
	require.NoError(s.t, err)
	s.address = ln.Addr().String()
	s.mu.Lock()
	s.ln, s.real, s.conns = ln, stewards.New(s.id, time.Now().UnixNano(), slog.New(slog.DiscardHandler)), map[net.Conn]bool{}
	s.mu.Unlock()
	srv := rpc.NewServer()
	require.NoError(s.t, srv.RegisterName("Spread", s))
	s.work.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			raw := s.raw
			s.conns[conn] = true
			s.mu.Unlock()
			s.work.Go(func() {
				if raw != nil {
					raw(conn)
					conn.Close()
					return
				}
				srv.ServeConn(conn)
			})
		}
	})
}

// stop ends the machine's life.
func (s *fakeMachine) stop() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

const testPeriod = minPeriod

// fixture is an agent in mode control with machines to talk to.
type fixture struct {
	*Spreader
	core     *liveCore
	machines map[string]*fakeMachine
	stop     func()
}

func newFixture(t *testing.T) *fixture {
	k := &fixture{core: &liveCore{began: time.Now()}, machines: map[string]*fakeMachine{}}
	file := Config{Mode: modeControl, Service: "lessons", Period: testPeriod.String()}
	for _, id := range []string{"c1", "c2", "c3"} {
		s := &fakeMachine{t: t, id: id, address: "127.0.0.1:0"}
		s.start()
		k.machines[id] = s
		file.Machines = append(file.Machines, watcher.Machine{ID: id, Client: s.address})
	}
	require.NoError(t, file.Valid())
	cfg := file.SpreadConfig("a", time.Now())
	cfg.Senders = 1
	k.core.state = spread.New(cfg)
	k.core.state.UpdateServer("s1", true)
	var err error
	k.Spreader, err = Open(file, cfg, k.core, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Run(ctx); close(done) }()
	k.stop = sync.OnceFunc(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(testTimeout):
			t.Error("no stop")
		}
	})
	t.Cleanup(func() {
		k.stop()
		for _, s := range k.machines {
			s.setAnswer(nil)
			s.stop()
			s.work.Wait()
		}
	})
	k.eventually(t, "it follows", k.core.follows)
	return k
}

func (k *fixture) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, testTimeout, 5*time.Millisecond, what)
}

// steward is the machine whose view the agent follows.
func (k *fixture) steward() *fakeMachine {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machines[k.status.view.From.Name]
}

// awaitOtherSteward waits until another machine's view is followed.
func (k *fixture) awaitOtherSteward(t *testing.T, from *fakeMachine) *fakeMachine {
	t.Helper()
	k.eventually(t, "another machine is steward", func() bool { return k.steward() != from && k.core.follows() })
	return k.steward()
}

// TestControlTransport: an agent tells the machine that its state names and no other; one that holds its
// answers is left for the next without anything piling up, one that starts again is learned anew;
// without any the agent is alone, and follows again once they are back.
func TestControlTransport(t *testing.T) {
	k := newFixture(t)
	first := k.steward()
	for id, s := range k.machines {
		if s != first {
			assert.Zero(t, s.requests.Load(), id)
		}
	}
	k.eventually(t, "the console says so", func() bool {
		return strings.HasPrefix(k.Status(), "in common true, by control machines, now "+first.id+" at "+first.address+", steward "+first.id+",")
	})

	hold, before := make(chan struct{}), runtime.NumGoroutine()
	first.setAnswer(func(stewards.TellArgs, *stewards.TellReply) error { <-hold; return nil })
	asked, began := first.requests.Load(), time.Now()
	second := k.awaitOtherSteward(t, first)
	assert.Less(t, time.Since(began), 2*testTimeout/3)
	time.Sleep(5 * testPeriod)
	assert.LessOrEqual(t, first.requests.Load()-asked, int64(3), "questions to a machine that holds its answers")
	assert.LessOrEqual(t, runtime.NumGoroutine(), before+12, "goroutines")
	first.setAnswer(nil)
	close(hold)

	second.stop()
	second.start()
	third := k.awaitOtherSteward(t, second)
	k.eventually(t, "it follows on", k.core.follows)
	third.stop()
	k.awaitOtherSteward(t, third)
	for _, s := range k.machines {
		s.stop()
	}
	k.eventually(t, "it goes on alone", func() bool { return !k.core.follows() })
	for _, s := range k.machines {
		s.start()
	}
	k.eventually(t, "it follows again", k.core.follows)
	sum := k.Traffic()
	assert.Positive(t, sum.Sent)
	assert.Positive(t, sum.Bytes)
	assert.Positive(t, sum.Received)
	assert.Positive(t, sum.Unanswered)
	assert.Zero(t, sum.Bad)
}

// TestControlTransportInvalidViews: a view that can't be an answer to the summary is passed over and ends its
// connection, and the agent goes on with the next machine; nothing of it was followed.
func TestControlTransportInvalidViews(t *testing.T) {
	for what, change := range map[string]func(args stewards.TellArgs, r *stewards.TellReply) error{
		"an earlier life":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Life--; return nil },
		"another summary":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Seq--; return nil },
		"another agent":      func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Name = "b"; return nil },
		"another machine":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.From.Name = "c9"; return nil },
		"an impossible hold": func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Hold = 2; return nil },
		"nothing":            func(_ stewards.TellArgs, r *stewards.TellReply) error { *r = stewards.TellReply{}; return nil },
		"too much": func(_ stewards.TellArgs, r *stewards.TellReply) error {
			r.View.Dues = []spread.Due{{Server: strings.Repeat("x", maxViewBytes)}}
			return nil
		},
	} {
		t.Run(what, func(t *testing.T) {
			k := newFixture(t)
			first := k.steward()
			first.setAnswer(change)
			k.awaitOtherSteward(t, first)
			assert.Positive(t, k.Traffic().Bad)
			assert.NotContains(t, k.Status(), "c9")
		})
	}
}

// TestControlTransportNotRPC: what is no net/rpc ends that connection alone.
func TestControlTransportNotRPC(t *testing.T) {
	k := newFixture(t)
	first := k.steward()
	first.setRaw(func(c net.Conn) {
		io.ReadFull(c, make([]byte, 1))
		c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		io.Copy(io.Discard, c)
	})
	first.stop()
	first.start()
	k.awaitOtherSteward(t, first)
	assert.True(t, k.core.follows())
}

// TestControlTransportStop: a stop in the middle of a question waits for no answer.
func TestControlTransportStop(t *testing.T) {
	k := newFixture(t)
	first, hold := k.steward(), make(chan struct{})
	defer close(hold)
	first.setAnswer(func(stewards.TellArgs, *stewards.TellReply) error { <-hold; return nil })
	k.eventually(t, "a question is out", func() bool { return first.unanswered.Load() > 0 })
	began := time.Now()
	k.stop()
	assert.Less(t, time.Since(began), minViewTimeout/2)
}

// TestControlTransportSendsLatest: of the summaries that come while a machine is asked the latest alone is sent,
// and one for a machine that is steward no more is not sent at all.
func TestControlTransportSendsLatest(t *testing.T) {
	w := newControlTransport(&Spreader{}, Config{Machines: []watcher.Machine{{ID: "c1"}, {ID: "c2"}}})
	sum := func(seq uint64) spread.Summary { return spread.Summary{From: spread.Stamp{Name: "a", Seq: seq}} }
	w.sendSummary("c1", sum(1))
	w.sendSummary("c1", sum(3))
	w.sendSummary("c1", sum(2)) // overtaken
	assert.EqualValues(t, 3, (<-w.machines["c1"].pending).From.Seq)
	w.sendSummary("c1", sum(4))
	w.sendSummary("c2", sum(5))
	w.sendSummary("c9", sum(6)) // a machine that the file does not have
	assert.Empty(t, w.machines["c1"].pending)
	assert.Empty(t, w.machines["c2"].pending)
}
