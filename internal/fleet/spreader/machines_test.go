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

// testTimeout bounds each wait of a test.
const testTimeout = 15 * time.Second

// liveCore is a core on the real clock.
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

// fakeMachine is a control machine with real stewards, whose answers a test may change.
type fakeMachine struct {
	t          *testing.T
	id         string
	address    string
	ln         net.Listener
	requests   atomic.Int64 // received
	unanswered atomic.Int64 // received and not answered yet

	mu     sync.Mutex
	real   *stewards.Stewards
	answer func(stewards.TellArgs, *stewards.TellReply) error // changes the stewards' answer; may be nil
	raw    func(net.Conn)                                     // serves the connections instead of net/rpc, if set
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
	// The real stewards include shares only after they have learned rates.
	r.View.Dues = []spread.Due{{Server: "s1", Share: 1}}
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

// start starts the machine with new stewards.
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

// stop closes the listener and all connections.
func (s *fakeMachine) stop() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

// testPeriod is the time between two summaries.
const testPeriod = minPeriod

// fixture is an agent in mode control with three control machines.
type fixture struct {
	*Spreader
	core     *liveCore
	machines map[string]*fakeMachine
	stop     func()
}

// newFixture starts the machines and the agent, and waits until the agent follows a view.
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
			t.Error("Run has not returned")
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
	k.eventually(t, "the agent follows a view", k.core.follows)
	return k
}

func (k *fixture) eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, testTimeout, 5*time.Millisecond, what)
}

// steward returns the machine whose view the agent follows.
func (k *fixture) steward() *fakeMachine {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.machines[k.status.view.From.Name]
}

// awaitOtherSteward waits until the agent follows the view of a machine other than from, and returns that
// machine.
func (k *fixture) awaitOtherSteward(t *testing.T, from *fakeMachine) *fakeMachine {
	t.Helper()
	k.eventually(t, "the agent follows another machine", func() bool { return k.steward() != from && k.core.follows() })
	return k.steward()
}

// TestControlTransport: an agent sends summaries only to the machine that its state names. If that machine
// does not answer, the agent goes on to the next without requests or goroutines piling up. A machine that
// restarts is accepted with its new life. Without any machine the agent spreads its load alone, and follows
// again once the machines are back.
func TestControlTransport(t *testing.T) {
	k := newFixture(t)
	first := k.steward()
	for id, s := range k.machines {
		if s != first {
			assert.Zero(t, s.requests.Load(), id)
		}
	}
	k.eventually(t, "the console names the machine", func() bool {
		return strings.HasPrefix(k.Status(), "in common true, by control machines, now "+first.id+" at "+first.address+", steward "+first.id+",")
	})

	hold, goroutines := make(chan struct{}), runtime.NumGoroutine()
	first.setAnswer(func(stewards.TellArgs, *stewards.TellReply) error { <-hold; return nil })
	requests, began := first.requests.Load(), time.Now()
	second := k.awaitOtherSteward(t, first)
	assert.Less(t, time.Since(began), 2*testTimeout/3)
	time.Sleep(5 * testPeriod)
	assert.LessOrEqual(t, first.requests.Load()-requests, int64(3), "requests to a machine that does not answer")
	assert.LessOrEqual(t, runtime.NumGoroutine(), goroutines+12, "goroutines")
	first.setAnswer(nil)
	close(hold)

	second.stop()
	second.start()
	third := k.awaitOtherSteward(t, second)
	k.eventually(t, "the agent keeps following a view", k.core.follows)
	third.stop()
	k.awaitOtherSteward(t, third)
	for _, s := range k.machines {
		s.stop()
	}
	k.eventually(t, "the agent spreads its load alone", func() bool { return !k.core.follows() })
	for _, s := range k.machines {
		s.start()
	}
	k.eventually(t, "the agent follows a view again", k.core.follows)
	sum := k.Traffic()
	assert.Positive(t, sum.Sent)
	assert.Positive(t, sum.Bytes)
	assert.Positive(t, sum.Received)
	assert.Positive(t, sum.Unanswered)
	assert.Zero(t, sum.Bad)
}

// TestControlTransportInvalidViews: a view that cannot be an answer to the summary is ignored and ends its
// connection, and the agent goes on with the next machine. Without these checks a faulty or replayed answer
// would change the shares.
func TestControlTransportInvalidViews(t *testing.T) {
	for what, change := range map[string]func(args stewards.TellArgs, r *stewards.TellReply) error{
		"an earlier life":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Life--; return nil },
		"another summary":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Seq--; return nil },
		"another agent":      func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Name = "b"; return nil },
		"another machine":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.From.Name = "c9"; return nil },
		"an impossible hold": func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Hold = 2; return nil },
		"nothing":            func(_ stewards.TellArgs, r *stewards.TellReply) error { *r = stewards.TellReply{}; return nil },
		"too large": func(_ stewards.TellArgs, r *stewards.TellReply) error {
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

// TestControlTransportNotRPC: an answer that is not net/rpc ends only that connection.
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

// TestControlTransportStop: a stop during a request does not wait for the answer.
func TestControlTransportStop(t *testing.T) {
	k := newFixture(t)
	first, hold := k.steward(), make(chan struct{})
	defer close(hold)
	first.setAnswer(func(stewards.TellArgs, *stewards.TellReply) error { <-hold; return nil })
	k.eventually(t, "a request is unanswered", func() bool { return first.unanswered.Load() > 0 })
	began := time.Now()
	k.stop()
	assert.Less(t, time.Since(began), minViewTimeout/2)
}

// TestControlTransportSendsLatest: of the summaries that arrive during a request only the latest is sent, and
// none for a machine that is no longer the steward. Otherwise summaries would pile up for a slow machine.
func TestControlTransportSendsLatest(t *testing.T) {
	w := newControlTransport(&Spreader{}, Config{Machines: []watcher.Machine{{ID: "c1"}, {ID: "c2"}}})
	sum := func(seq uint64) spread.Summary { return spread.Summary{From: spread.Stamp{Name: "a", Seq: seq}} }
	w.sendSummary("c1", sum(1))
	w.sendSummary("c1", sum(3))
	w.sendSummary("c1", sum(2)) // arrives late
	assert.EqualValues(t, 3, (<-w.machines["c1"].pending).From.Seq)
	w.sendSummary("c1", sum(4))
	w.sendSummary("c2", sum(5))
	w.sendSummary("c9", sum(6)) // not in the file
	assert.Empty(t, w.machines["c1"].pending)
	assert.Empty(t, w.machines["c2"].pending)
}
