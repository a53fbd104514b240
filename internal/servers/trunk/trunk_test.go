package trunk

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/standin"
	"woodrouter/isup"
	"woodrouter/policy"
)

const ms = time.Millisecond

// coreEvent is an outcome that the pool reports to the core.
type coreEvent struct {
	stands bool
	id     string
	n      int
	err    *agent.Failure
	at     time.Time
}

// fakeCore records what the pool reports. It drops load reports if nobody reads them.
type fakeCore struct {
	events  chan coreEvent
	reports chan policy.ReportReceived
	unknown chan string
}

func (c *fakeCore) Stands(id string, n int, _ []byte) {
	c.events <- coreEvent{true, id, n, nil, time.Now()}
}
func (c *fakeCore) Ended(id string, n int, err *agent.Failure, _ policy.Report) {
	c.events <- coreEvent{false, id, n, err, time.Now()}
}
func (c *fakeCore) UnknownEnded(id string, err *agent.Failure) { c.unknown <- id }
func (c *fakeCore) Reported(p policy.ReportReceived) {
	select {
	case c.reports <- p:
	default:
	}
}

// awaitEvent waits for the next outcome.
func (c *fakeCore) awaitEvent(t *testing.T) coreEvent {
	t.Helper()
	select {
	case v := <-c.events:
		return v
	case <-time.After(standin.WaitTimeout):
		require.FailNow(t, "no outcome was reported to the core")
		return coreEvent{}
	}
}

// awaitEnd waits for the end of an attempt and checks its stage and result.
func (c *fakeCore) awaitEnd(t *testing.T, stage agent.Stage, result policy.Result) coreEvent {
	t.Helper()
	v := c.awaitEvent(t)
	require.False(t, v.stands)
	require.NotNil(t, v.err)
	assert.Equal(t, stage, v.err.Stage, v.err)
	assert.Equal(t, result, v.err.Result, v.err)
	return v
}

// startPool returns a pool that is closed at the end of the test, and the core that it reports to.
func startPool(t *testing.T, cfg Config) (*Pool, *fakeCore) {
	c := &fakeCore{make(chan coreEvent, 100), make(chan policy.ReportReceived, 100), make(chan string, 100)}
	p := NewPool(cfg, c)
	t.Cleanup(p.Close)
	return p, c
}

// listedServer returns an entry of the list for server s.
func listedServer(addr string, s policy.State, since time.Time) agent.Server {
	ready := policy.Time(0)
	if !since.IsZero() {
		ready = policy.Time(since.UnixNano())
	}
	return agent.Server{Server: policy.Server{ID: "s", State: s, ReadyAt: ready}, Address: addr}
}

// update passes entries to the pool as a change of the list.
func (p *Pool) update(servers ...agent.Server) { p.Servers(servers, false) }

// newAttempt returns an attempt at server s whose deadline is left from now.
func newAttempt(id string, left time.Duration) agent.Attempt {
	return agent.Attempt{ID: id, Server: "s", Class: "voice", Number: "12", Deadline: time.Now().Add(left),
		Description: []byte("offer")}
}

// standCall sets up a call, waits until it stands, and returns its set-up.
func standCall(t *testing.T, p *Pool, c *fakeCore, s *standin.Server, id string) standin.Received {
	t.Helper()
	p.SetUp(newAttempt(id, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Answer("")
	require.Equal(t, []any{true, id}, []any{c.awaitEvent(t).stands, g.Call.String()})
	return g
}

const firstCall, secondCall = "0000000000000001", "0000000000000002"

// TestSetUp checks that a set-up is passed on unchanged, and that each cause of a release gives the right
// stage and result.
func TestSetUp(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	assert.Equal(t, firstCall, g.Call.String())
	assert.Equal(t, "voice 12 offer", g.Text(isup.Class)+" "+g.Text(isup.Number)+" "+g.Text(isup.Description))
	left, err := g.Millis(isup.TimeLeft)
	require.NoError(t, err)
	assert.InDelta(t, 3000, left.Milliseconds(), 2900)
	g.Answer("there")
	require.True(t, c.awaitEvent(t).stands)
	g.Release(isup.Normal, "")
	require.Nil(t, c.awaitEvent(t).err, "the call ended normally")
	for _, tc := range []struct {
		cause  isup.Cause
		note   string
		stage  agent.Stage
		result policy.Result
	}{
		{isup.NoCircuit, "overload", agent.Responded, policy.Full},
		{isup.NoCircuit, "no_circuit", agent.Responded, policy.NoLines},
		{isup.UserBusy, "lines_busy", agent.Responded, policy.Busy},
		{isup.Unavailable, "", agent.Responded, policy.Faulted},
		{isup.TimerExpiry, "", agent.Responded, policy.NotSent},
		{isup.TempFailure, "", agent.Written, policy.Cut},
	} {
		p.SetUp(newAttempt(firstCall, 3*time.Second))
		s.Await(t, isup.SetUp).Release(tc.cause, tc.note)
		c.awaitEnd(t, tc.stage, tc.result)
	}
	for text, want := range map[string]time.Duration{"1800": 1800 * ms, "": 0} { // the stated wait is read
		p.SetUp(newAttempt(firstCall, 3*time.Second))
		g := s.Await(t, isup.SetUp)
		m := isup.Message{Type: isup.Release, Call: g.Call}.WithCause(isup.NoCircuit).WithText(isup.Note, "overload")
		if text != "" {
			m = m.WithText(isup.Wait, text)
		}
		g.Conn.Send(m)
		assert.Equal(t, want, c.awaitEnd(t, agent.Responded, policy.Full).err.Wait)
	}
}

// TestConnectionRefused checks that a refused connection proves that the set-up did not reach a process.
func TestConnectionRefused(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	s.Crash()
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 3*time.Second))
	c.awaitEnd(t, agent.Unconnected, policy.Unreachable)
}

// TestRecheckAfterDial guards against sending a set-up that has become unwanted during a dial. A drain
// notice, its deadline or its caller's cancellation may have come before the dial ends.
func TestRecheckAfterDial(t *testing.T) {
	for _, tc := range []struct {
		name   string
		while  func(p *Pool, s *standin.Server)
		result policy.Result
	}{
		{"drain", func(p *Pool, s *standin.Server) { p.update(listedServer(s.Addr, policy.Draining, time.Time{})) }, policy.NotSent},
		{"gone", func(p *Pool, s *standin.Server) { p.Servers(nil, true) }, policy.NotSent},
		{"given up", func(p *Pool, s *standin.Server) { p.GiveUp("s", firstCall, 0, policy.Cancelled) }, policy.Cancelled},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, dial := standin.NewServer(t, ""), make(chan struct{})
			p, c := startPool(t, Config{ConnectTimeout: standin.WaitTimeout,
				Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					<-dial
					return net.Dial("tcp", addr)
				}})
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			p.SetUp(newAttempt(firstCall, 3*time.Second))
			tc.while(p, s)
			c.awaitEnd(t, agent.Unwritten, tc.result)
			close(dial)
			p.Close()
			assert.Zero(t, s.Count(isup.SetUp, 0), "nothing may be written after that")
		})
	}
	t.Run("deadline", func(t *testing.T) {
		p, c := startPool(t, Config{})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, policy.Up, time.Time{}))
		p.SetUp(newAttempt(firstCall, -ms))
		c.awaitEnd(t, agent.Unwritten, policy.NotSent)
	})
	t.Run("no connection in time", func(t *testing.T) {
		p, c := startPool(t, Config{ConnectTimeout: 50 * ms, Dial: func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		p.update(listedServer("127.0.0.1:1", policy.Up, time.Time{}))
		p.SetUp(newAttempt(firstCall, 3*time.Second))
		c.awaitEnd(t, agent.Unconnected, policy.Unreachable)
	})
}

// TestGiveUp checks that the end of a given-up attempt is reported once the release is written, and that a
// late answer is released at the server, where the call would otherwise stand for ever.
func TestGiveUp(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	p.GiveUp("s", firstCall, 0, policy.TimedOut)
	c.awaitEnd(t, agent.Written, policy.TimedOut)
	cause, err := s.Await(t, isup.Release).Cause()
	require.NoError(t, err)
	require.Equal(t, isup.Normal, cause)
	p.GiveUp("s", firstCall, 0, policy.TimedOut) // again: there is nothing left to end
	g.Answer("late")
	require.Equal(t, firstCall, s.Await(t, isup.Release).Call.String())
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	s.Await(t, isup.SetUp).Answer("")
	v := c.awaitEvent(t)
	assert.Equal(t, secondCall, v.id, "neither the late answer nor the second give-up was reported")
}

// TestConnectionReset checks a connection that breaks. Its unanswered set-ups may have run at the server.
// Calls that stand outlive it, and their ends come on the next connection.
func TestConnectionReset(t *testing.T) {
	p, c := startPool(t, Config{StallTimeout: standin.WaitTimeout}) // not replaced, however late the answer is
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	standCall(t, p, c, s, firstCall)
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Conn.Close()
	require.Equal(t, secondCall, c.awaitEnd(t, agent.Written, policy.Cut).id)
	require.Eventually(t, func() bool { return len(s.Conns()) == 2 }, standin.WaitTimeout, ms)
	s.Conns()[1].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
	v := c.awaitEvent(t)
	require.Equal(t, firstCall, v.id)
	require.Nil(t, v.err)
}

// TestReleaseOutlivesConnection checks that a release due while no connection is up is sent on the next one.
// So is the release of a set-up lost with its connection: its answer may have been lost too, and then nobody
// else would end the call that stands.
func TestReleaseOutlivesConnection(t *testing.T) {
	var hold sync.Mutex
	p, c := startPool(t, Config{StallTimeout: standin.WaitTimeout, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		hold.Lock()
		defer hold.Unlock()
		return net.Dial("tcp", addr)
	}})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Answer("")
	require.True(t, c.awaitEvent(t).stands)
	hold.Lock()
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	s.Await(t, isup.SetUp)
	g.Conn.Close()
	c.awaitEnd(t, agent.Written, policy.Cut)
	p.GiveUp("s", firstCall, 0, policy.Cancelled)
	c.awaitEnd(t, agent.Stood, policy.Cancelled)
	hold.Unlock()
	require.Equal(t, secondCall, s.Await(t, isup.Release).Call.String())
	require.Equal(t, firstCall, s.Await(t, isup.Release).Call.String())
}

// TestTruncatedMessage covers an answer that stops half-way on a connection that stays open. The connection
// is useless then: it must be closed, its set-ups must end, and the server must be used on another one.
func TestTruncatedMessage(t *testing.T) {
	p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.WaitTimeout})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 30*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Conn.Write([]byte("\x00\x20\x09\x00\x00"))
	assert.ErrorIs(t, c.awaitEnd(t, agent.Written, policy.Cut).err, errTruncated)
	standCall(t, p, c, s, secondCall)
}

// TestTruncatedRelease covers a release that stops half-way. It says which call is over, and the server may
// not repeat it. If too little of the id has come, it says nothing.
func TestTruncatedRelease(t *testing.T) {
	for _, tc := range []struct {
		said string
		over bool
	}{
		{"\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\x01", true},  // everything except the cause
		{"\x00\x0d\x0c\x00\x00\x00\x00", true},                  // enough of the id
		{"\x00\x0d\x0c\x00\x00", false},                         // matches any call
		{"\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\x02", false}, // of another call
		{"\x00\x0d\x09\x00\x00\x00\x00\x00\x00\x00\x01", false}, // not a release
	} {
		p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.WaitTimeout, SilenceTimeout: time.Hour})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, policy.Up, time.Time{}))
		g := standCall(t, p, c, s, firstCall)
		g.Conn.Write([]byte(tc.said))
		require.Eventually(t, func() bool { return len(s.Conns()) == 2 }, standin.WaitTimeout, ms, "%q", tc.said)
		if tc.over {
			assert.ErrorIs(t, c.awaitEnd(t, agent.Stood, policy.Cut).err, errTruncated)
			assert.Equal(t, firstCall, s.Await(t, isup.Release).Call.String(), "the call is released at the server too")
			continue
		}
		standCall(t, p, c, s, secondCall) // the next event is not the end of the first call
	}
}

// TestStallTimeoutBounded guards the ends of calls, which come on the same connection and must reach the
// callers in one second. Slow answers must not delay the replacement of a silent connection for longer.
func TestStallTimeoutBounded(t *testing.T) {
	for _, tc := range []struct{ delay, least, want time.Duration }{
		{0, 80 * ms, 80 * ms},
		{100 * ms, 80 * ms, 400 * ms},
		{2 * time.Second, 80 * ms, maxStallTimeout},
	} {
		a := serverActor{cfg: Config{StallTimeout: tc.least, adaptive: newAdaptiveTimeout()}, answerDelay: tc.delay}
		assert.Equal(t, tc.want, a.stallTimeout())
	}
}

// TestStalledConnection covers a connection on which a set-up is unanswered and nothing is received. All
// further messages on it may be lost, so new set-ups must use a second connection as soon as its dial is
// done. The first must stay open for its own set-up, because a server with a queue is silent too.
func TestStalledConnection(t *testing.T) {
	var dials atomic.Int32
	dialReturns := make(chan struct{}) // closed to let the second dial return
	p, c := startPool(t, Config{Aim: 400 * ms, ConnectTimeout: standin.WaitTimeout, FirstMessageTimeout: standin.WaitTimeout, SilenceTimeout: time.Hour,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := net.Dial("tcp", addr)
			if dials.Add(1) == 2 {
				select {
				case <-dialReturns:
				case <-ctx.Done():
				}
			}
			return conn, err
		}})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 30*time.Second))
	g := s.Await(t, isup.SetUp)
	standin.Next(t, c.reports) // group state on the first connection
	require.Eventually(t, func() bool { return len(s.Conns()) == 2 }, standin.WaitTimeout, ms)
	p.SetUp(newAttempt(secondCall, 30*time.Second))
	crossed := s.Await(t, isup.SetUp)
	assert.Same(t, g.Conn, crossed.Conn, "the server has accepted the second connection, but the actor does not have it yet")
	close(dialReturns)
	standin.Next(t, c.reports) // group state on the second connection: the actor has it now
	p.SetUp(newAttempt("0000000000000003", 30*time.Second))
	assert.NotSame(t, g.Conn, s.Await(t, isup.SetUp).Conn)
	g.Answer("")
	event := c.awaitEvent(t)
	assert.Equal(t, []any{true, firstCall}, []any{event.stands, event.id}, "an answer on the first connection still counts")
	assert.Greater(t, p.cfg.adaptive.timeout(100*ms), 100*ms, "false alarm: the timeout grows")
	answered := time.Now() // taken before the answer: the core gets the answer after the linger time has begun
	crossed.Answer("")
	event = c.awaitEvent(t)
	assert.Equal(t, []any{true, secondCall}, []any{event.stands, event.id})
	require.Eventually(t, func() bool {
		_, err := g.Conn.Write([]byte("\x00\x09\x06\x00\x00\x00\x00\x00\x00\x00\x01")) // a message without effect
		return err != nil
	}, standin.WaitTimeout, ms, "the old connection ends after its last answer")
	// The server must not see the connection end before it knows that its answer has arrived.
	assert.GreaterOrEqual(t, time.Since(answered), p.cfg.Linger)
}

// TestServerDeath covers a server process that has died, so that no message reports the ends of its calls. A
// refused connection, a later start or the removal from the list must end them.
func TestServerDeath(t *testing.T) {
	for name, die := range map[string]func(p *Pool, s *standin.Server){
		"refused": func(p *Pool, s *standin.Server) { s.Crash() },
		"restarted": func(p *Pool, s *standin.Server) {
			p.update(listedServer(s.Addr, policy.Up, time.Now().Add(time.Second)))
		},
		"removed":  func(p *Pool, s *standin.Server) { p.update(listedServer(s.Addr, policy.Gone, time.Time{})) },
		"left out": func(p *Pool, s *standin.Server) { p.Servers(nil, true) },
		"moved": func(p *Pool, s *standin.Server) {
			s.StopListening()
			p.update(listedServer(s.Addr+"0", policy.Up, time.Now().Add(time.Second)))
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, c := startPool(t, Config{})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			standCall(t, p, c, s, firstCall)
			die(p, s)
			c.awaitEnd(t, agent.Stood, policy.Cut)
		})
	}
}

// TestServerReturns guards against a pool that drops a server for good when it is withdrawn and comes back.
// That happened when the update about its return met an actor that had ended its calls.
func TestServerReturns(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.update(listedServer(s.Addr, policy.Gone, time.Time{}))
	require.Eventually(t, p.actors["s"].finished.Load, standin.WaitTimeout, ms)
	p.update(listedServer(s.Addr, policy.Up, time.Now()))
	standCall(t, p, c, s, firstCall)
	p.update(listedServer(s.Addr, policy.Gone, time.Time{}))
	c.awaitEnd(t, agent.Stood, policy.Cut) // reported while the actor is still at work
	require.Eventually(t, p.actors["s"].finished.Load, standin.WaitTimeout, ms)
	p.update()
	assert.Empty(t, p.actors, "the actor is dropped when the server is gone for good")
}

// TestSilentServer covers a server that sends nothing. A machine that has vanished leaves its connection
// open, and a hung one accepts connections but sends nothing: their calls must be cut. An idle server sends
// its group state on a new connection: its calls must not be cut.
func TestSilentServer(t *testing.T) {
	hungServer, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer hungServer.Close()
	for _, tc := range []struct {
		name string
		dial func(ctx context.Context, addr string) (net.Conn, error) // used after the call stands
		cut  bool
	}{
		{"vanished", func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }, true},
		{"hung", func(context.Context, string) (net.Conn, error) { return net.Dial("tcp", hungServer.Addr().String()) }, true},
		{"quiet", func(_ context.Context, addr string) (net.Conn, error) { return net.Dial("tcp", addr) }, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var later atomic.Bool
			p, c := startPool(t, Config{SilenceTimeout: 200 * ms, ConnectTimeout: 2 * time.Second, RedialInterval: 50 * ms,
				Dial: func(ctx context.Context, addr string) (net.Conn, error) {
					if later.Load() {
						return tc.dial(ctx, addr)
					}
					return net.Dial("tcp", addr)
				}})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			standCall(t, p, c, s, firstCall)
			later.Store(true)
			if tc.cut {
				c.awaitEnd(t, agent.Stood, policy.Cut)
				return
			}
			require.Eventually(t, func() bool { return len(s.Conns()) >= 3 }, standin.WaitTimeout, ms)
			assert.Empty(t, c.events, "the call stands")
		})
	}
}

// TestDrainingRefuses covers a draining server, which no longer listens but keeps its connection. A dial that
// checks its silence is refused, which must not cut its calls; the reset at its end must.
func TestDrainingRefuses(t *testing.T) {
	var dials atomic.Int32
	refused := make(chan struct{}) // closed once the server no longer listens; dials wait until then
	p, c := startPool(t, Config{SilenceTimeout: 100 * ms, ConnectTimeout: standin.WaitTimeout, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
		if dials.Add(1) > 1 {
			select {
			case <-refused:
			case <-ctx.Done():
			}
		}
		return net.Dial("tcp", addr)
	}})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	standCall(t, p, c, s, firstCall)
	s.StopListening()
	close(refused)
	p.update(listedServer(s.Addr, policy.Draining, time.Time{}))
	require.Eventually(t, func() bool { return dials.Load() >= 5 }, standin.WaitTimeout, ms)
	assert.Empty(t, c.events, "the call stands")
	s.Crash()
	c.awaitEnd(t, agent.Stood, policy.Cut)
}

// TestStalledConnectionClosed covers a server whose connection has stalled and which shows on a second one,
// by an answer or by the report of a probe, that nothing waits there. The set-ups on the first connection are
// lost then, and must end.
func TestStalledConnectionClosed(t *testing.T) {
	for _, probes := range []bool{false, true} {
		p, c := startPool(t, Config{StallTimeout: 2 * time.Second, FirstMessageTimeout: standin.WaitTimeout, SilenceTimeout: time.Hour, Probes: probes, ProbeTimeout: standin.WaitTimeout})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, policy.Up, time.Time{}))
		p.SetUp(newAttempt(firstCall, 30*time.Second))
		s.Await(t, isup.SetUp)
		if probes {
			g := s.Await(t, isup.Test)
			g.Conn.Send(isup.Message{Type: isup.TestResult, Call: g.Call}.WithCause(isup.Passed).
				WithText(isup.Report, "x0:900;x1:1000;latency_ms:0"))
		} else {
			standin.Next(t, c.reports) // group state on the first connection
			standin.Next(t, c.reports) // group state on the second connection: the actor sends set-ups there now
			standCall(t, p, c, s, secondCall)
		}
		assert.ErrorIs(t, c.awaitEnd(t, agent.Written, policy.Cut).err, errStalled)
	}
}

// TestDuplicateAndLateAnswers guards against releasing the wrong call. A second copy of an answer must not
// cut the call that stands, and an answer to an id that was never sent there must be ignored. Only the late
// answer to an attempt that was given up is released.
func TestDuplicateAndLateAnswers(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	g := standCall(t, p, c, s, firstCall)
	g.Answer("")
	g.Conn.Send(isup.Message{Type: isup.Answer, Call: 77}.WithText(isup.Description, ""))
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	late := s.Await(t, isup.SetUp)
	p.GiveUp("s", secondCall, 0, policy.Cancelled)
	c.awaitEnd(t, agent.Written, policy.Cancelled)
	late.Answer("")
	require.Eventually(t, func() bool { return s.Count(isup.Release, late.Call) == 2 }, standin.WaitTimeout, ms)
	assert.Equal(t, 2, s.Count(isup.Release, 0), "no other call was released")
	g.Release(isup.Normal, "")
	assert.Nil(t, c.awaitEvent(t).err, "the call stood until its normal end")
}

// TestBadMessages checks that a message that cannot be understood ends the connection, but not the actor.
func TestBadMessages(t *testing.T) {
	for name, bad := range map[string]string{
		"oversized":    "\xff\xff",
		"too short":    "\x00\x01\x09",
		"unknown type": "\x00\x09\x63\x00\x00\x00\x00\x00\x00\x00\x01",
		"no cause":     "\x00\x09\x0c\x00\x00\x00\x00\x00\x00\x00\x01",
		"bad report":   "\x00\x10\x2b\x00\x00\x00\x00\x00\x00\x00\x01\x19\x00\x04x0:x",
	} {
		t.Run(name, func(t *testing.T) {
			p, c := startPool(t, Config{})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			p.SetUp(newAttempt(firstCall, 3*time.Second))
			g := s.Await(t, isup.SetUp)
			g.Conn.Write([]byte(bad))
			c.awaitEnd(t, agent.Written, policy.Cut)
			standCall(t, p, c, s, secondCall)
		})
	}
}

// TestEndOfUnknownCall covers the end of a call that this process did not set up. It is a call from before
// its restart, so the core decides what to do.
func TestEndOfUnknownCall(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	require.Eventually(t, func() bool { return len(s.Conns()) == 1 }, standin.WaitTimeout, ms)
	s.Conns()[0].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
	assert.Equal(t, firstCall, <-c.unknown)
	p.ReleaseUnknown(secondCall) // the other way round: the caller's release reaches the server
	assert.Equal(t, secondCall, s.Await(t, isup.Release).Call.String())
}

// TestProbe checks that a test message with cause 1 brings a load report, and that silence is a timeout.
func TestProbe(t *testing.T) {
	p, c := startPool(t, Config{ProbeTimeout: time.Second})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	require.False(t, (<-c.reports).Solicited, "the group state comes first")
	p.Probe("s")
	g := s.Await(t, isup.Test)
	g.Conn.Send(isup.Message{Type: isup.TestResult, Call: g.Call}.WithCause(isup.Passed).
		WithText(isup.Report, "x0:7;x1:9;latency_ms:40;new_field:?"))
	got := <-c.reports
	assert.True(t, got.Solicited)
	assert.Equal(t, policy.OK, got.Result)
	assert.Equal(t, []float64{7, 9, 0.04}, []float64{got.Report.FreeLines, got.Report.TotalLines, got.Report.WaitSeconds})
	p.Probe("s")
	assert.Equal(t, policy.TimedOut, (<-c.reports).Result)
}

// TestStallTimeoutQueued covers a server that has recently stated that its processor keeps messages waiting,
// and so is slow on every connection. While the statement is fresh the timeout is longer by this wait, up to
// maxQueuedTimeout. Otherwise the limit of TestStallTimeoutBounded holds.
func TestStallTimeoutQueued(t *testing.T) {
	for _, tc := range []struct{ queued, ago, want time.Duration }{
		{0, 0, 80 * ms},
		{300 * ms, 0, 380 * ms},
		{900 * ms, 100 * ms, 980 * ms},
		{3 * time.Second, 0, maxQueuedTimeout},
		{300 * ms, time.Second, 80 * ms}, // stated too long ago
	} {
		a := serverActor{cfg: Config{StallTimeout: 80 * ms, adaptive: newAdaptiveTimeout()}, statedWait: tc.queued, statedWaitAt: time.Now().Add(-tc.ago)}
		assert.Equal(t, tc.want, a.stallTimeout(), "queued %v, stated %v ago", tc.queued, tc.ago)
	}
}

// TestAnswerOnReplacedConnectionAfterRemoval guards against a call that stands, after its server's removal, on a
// replaced connection: its end would never be heard.
func TestAnswerOnReplacedConnectionAfterRemoval(t *testing.T) {
	for name, leave := range map[string]func(p *Pool, s *standin.Server){
		"removed":  func(p *Pool, s *standin.Server) { p.update(listedServer(s.Addr, policy.Gone, time.Time{})) },
		"left out": func(p *Pool, s *standin.Server) { p.Servers(nil, true) },
		"moved": func(p *Pool, s *standin.Server) {
			p.update(listedServer(standin.NewServer(t, "").Addr, policy.Up, time.Time{}))
		},
	} {
		t.Run(name, func(t *testing.T) {
			p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.WaitTimeout, SilenceTimeout: time.Hour})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			p.SetUp(newAttempt(firstCall, 30*time.Second))
			g := s.Await(t, isup.SetUp)
			standin.Next(t, c.reports) // group state on the first connection
			standin.Next(t, c.reports) // group state on the second connection: it has replaced the first
			leave(p, s)
			c.awaitEnd(t, agent.Written, policy.Cut)
			g.Answer("")
			require.Eventually(t, func() bool {
				_, err := g.Conn.Write([]byte("\x00\x09\x06\x00\x00\x00\x00\x00\x00\x00\x01")) // a message without effect
				return err != nil
			}, standin.WaitTimeout, ms, "the replaced connection ends as well")
			assert.Empty(t, c.events, "the answer that crossed the removal must not make the call stand")
		})
	}
}

// TestDrainingServerConnectedAfterRestart guards against a call of an earlier process that ends at a draining server
// and whose end nobody hears.
func TestDrainingServerConnectedAfterRestart(t *testing.T) {
	p, c := startPool(t, Config{Jitter: ms})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Draining, time.Time{}))
	require.Eventually(t, func() bool { return len(s.Conns()) == 1 }, standin.WaitTimeout, ms)
	s.Conns()[0].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
	assert.Equal(t, firstCall, standin.Next(t, c.unknown))
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	assert.ErrorIs(t, c.awaitEnd(t, agent.Unwritten, policy.NotSent).err, errNotAccepting)
}

// TestCallsOfUnlistedRestartEnd guards against calls that are believed to stand at a server which vanished and came
// back as another process, while the list could not tell of that. A server that reports the end of an earlier call,
// or of which the list could tell, keeps its calls.
func TestCallsOfUnlistedRestartEnd(t *testing.T) {
	for _, tc := range []struct {
		name                    string
		absent                  time.Duration // between the end of the one process and the start of the other
		lostAgain               bool          // the connection is reset again 4 s later
		listAnswers, reportsEnd bool
		cut                     bool
	}{
		{"nothing known", time.Second, false, false, false, true},
		{"list answers", time.Second, false, true, false, false},
		{"server reports an end", time.Second, false, false, true, false},
		{"at once, nothing known", 0, false, false, false, true},
		{"at once, and lost again", 0, true, false, false, true},
		{"at once, list answers", 0, false, true, false, false},
		{"at once, server reports an end", 0, false, false, true, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			const endWithin = 8050 * ms // of the end of a call whose release could not be sent
			var vanished atomic.Bool
			p, c := startPool(t, Config{Dial: func(_ context.Context, address string) (net.Conn, error) {
				if vanished.Load() {
					return nil, context.DeadlineExceeded
				}
				return net.Dial("tcp", address)
			}, ListAnsweredAt: func() time.Time {
				if tc.listAnswers {
					return time.Now()
				}
				return time.Time{}
			}})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			standCall(t, p, c, s, firstCall)
			standCall(t, p, c, s, secondCall)
			vanished.Store(tc.absent > 0)
			stopped, addr := time.Now(), s.Addr
			again := replaceAt(t, s, tc.absent)
			require.Equal(t, addr, again.Addr)
			vanished.Store(false)
			if tc.lostAgain {
				time.AfterFunc(4*time.Second, func() { again.Conns()[0].Reset() })
			}
			if tc.reportsEnd {
				require.Eventually(t, func() bool { return len(again.Conns()) > 0 }, standin.WaitTimeout, ms)
				again.Conns()[0].Send(isup.Message{Type: isup.Release, Call: 2}.WithCause(isup.Normal))
				require.Equal(t, secondCall, c.awaitEvent(t).id)
			}
			select {
			case event := <-c.events:
				assert.True(t, tc.cut && !event.stands)
			case <-time.After(time.Until(stopped.Add(endWithin))):
				assert.False(t, tc.cut, "the caller was not told that the call has ended")
			}
		})
	}
}

// replaceAt ends a server's process and starts another at its address. Without a pause, dials wait in the socket's queue
// meanwhile, as the address never stops listening.
func replaceAt(t *testing.T, s *standin.Server, absent time.Duration) *standin.Server {
	if absent == 0 {
		return s.Replace(t)
	}
	s.Crash()
	time.Sleep(absent)
	return standin.NewServer(t, s.Addr)
}
