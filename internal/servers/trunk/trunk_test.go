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

// coreEvent is what a pool says to the core.
type coreEvent struct {
	stands bool
	id     string
	n      int
	err    *agent.Failure
	at     time.Time
}

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

func (c *fakeCore) awaitEvent(t *testing.T) coreEvent {
	t.Helper()
	select {
	case v := <-c.events:
		return v
	case <-time.After(standin.Patience):
		require.FailNow(t, "the core was not told")
		return coreEvent{}
	}
}

// awaitEnd awaits the end of an attempt and checks how it came.
func (c *fakeCore) awaitEnd(t *testing.T, stage agent.Stage, result policy.Result) coreEvent {
	t.Helper()
	v := c.awaitEvent(t)
	require.False(t, v.stands)
	require.NotNil(t, v.err)
	assert.Equal(t, stage, v.err.Stage, v.err)
	assert.Equal(t, result, v.err.Result, v.err)
	return v
}

func startPool(t *testing.T, cfg Config) (*Pool, *fakeCore) {
	c := &fakeCore{make(chan coreEvent, 100), make(chan policy.ReportReceived, 100), make(chan string, 100)}
	p := NewPool(cfg, c)
	t.Cleanup(p.Close)
	return p, c
}

func listedServer(addr string, s policy.State, since time.Time) agent.Server {
	ready := policy.Time(0)
	if !since.IsZero() {
		ready = policy.Time(since.UnixNano())
	}
	return agent.Server{Server: policy.Server{ID: "s", State: s, ReadyAt: ready}, Address: addr}
}

func (p *Pool) update(servers ...agent.Server) { p.Servers(servers, false) }

func newAttempt(id string, left time.Duration) agent.Attempt {
	return agent.Attempt{ID: id, Server: "s", Class: "voice", Number: "12", Deadline: time.Now().Add(left),
		Description: []byte("offer")}
}

// standCall brings a call to stand and returns its set-up.
func standCall(t *testing.T, p *Pool, c *fakeCore, s *standin.Server, id string) standin.Got {
	t.Helper()
	p.SetUp(newAttempt(id, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Answer("")
	require.Equal(t, []any{true, id}, []any{c.awaitEvent(t).stands, g.Call.String()})
	return g
}

const firstCall, secondCall = "0000000000000001", "0000000000000002"

// TestSetUp: a set-up goes on unchanged, and each release is read as what it means.
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
	require.Nil(t, c.awaitEvent(t).err, "the call came to its end")
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
	for text, want := range map[string]time.Duration{"1800": 1800 * ms, "": 0} { // a full server states its wait
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

// TestConnectionRefused: a refused connection proves that nothing ran.
func TestConnectionRefused(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	s.Die()
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 3*time.Second))
	c.awaitEnd(t, agent.Unconnected, policy.Unreachable)
}

// TestRecheckAfterDial: a set-up that waits for a connection is looked at again when the
// dial ends. A drain notice, its deadline or its caller may have come first.
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
			p, c := startPool(t, Config{ConnectTimeout: standin.Patience,
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
			assert.Zero(t, s.Seen(isup.SetUp, 0), "nothing may be written any more")
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

// TestGiveUp: the end of a given-up attempt is told once the give-up is written, and a
// late answer is released at the server, where it would stand for ever.
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
	p.GiveUp("s", firstCall, 0, policy.TimedOut) // twice: nothing more to end
	g.Answer("late")
	require.Equal(t, firstCall, s.Await(t, isup.Release).Call.String())
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	s.Await(t, isup.SetUp).Answer("")
	v := c.awaitEvent(t)
	assert.Equal(t, secondCall, v.id, "neither the late answer nor the second give-up was told")
}

// TestConnectionReset: set-ups out on a connection that breaks may have run; calls that stand
// outlive it, and their end comes on the next one.
func TestConnectionReset(t *testing.T) {
	p, c := startPool(t, Config{StallTimeout: standin.Patience}) // no other takes its place, however late the answer
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	standCall(t, p, c, s, firstCall)
	p.SetUp(newAttempt(secondCall, 3*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Conn.Close()
	require.Equal(t, secondCall, c.awaitEnd(t, agent.Written, policy.Cut).id)
	require.Eventually(t, func() bool { return len(s.Conns()) == 2 }, standin.Patience, ms)
	s.Conns()[1].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
	v := c.awaitEvent(t)
	require.Equal(t, firstCall, v.id)
	require.Nil(t, v.err)
}

// TestReleaseOutlivesConnection: a release written while no connection is up is said on
// the next one, and so is that of a set-up lost with its connection: its answer may have been
// lost, and then nobody else would end the call that stands.
func TestReleaseOutlivesConnection(t *testing.T) {
	var hold sync.Mutex
	p, c := startPool(t, Config{StallTimeout: standin.Patience, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
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

// TestTruncatedMessage: an answer that stops half-way leaves a connection that is of no further
// use, and open. It is given up with what is out on it, and the server used by another.
func TestTruncatedMessage(t *testing.T) {
	p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.Patience})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 30*time.Second))
	g := s.Await(t, isup.SetUp)
	g.Conn.Write([]byte("\x00\x20\x09\x00\x00"))
	assert.ErrorIs(t, c.awaitEnd(t, agent.Written, policy.Cut).err, errTruncated)
	standCall(t, p, c, s, secondCall)
}

// TestTruncatedRelease: a release that stops half-way says which call is over, and the server has
// said it: it may not come again. Too little of its id tells nothing.
func TestTruncatedRelease(t *testing.T) {
	for _, tc := range []struct {
		said string
		over bool
	}{
		{"\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\x01", true},  // all but the cause
		{"\x00\x0d\x0c\x00\x00\x00\x00", true},                  // enough of its id
		{"\x00\x0d\x0c\x00\x00", false},                         // fits any call
		{"\x00\x0d\x0c\x00\x00\x00\x00\x00\x00\x00\x02", false}, // of another call
		{"\x00\x0d\x09\x00\x00\x00\x00\x00\x00\x00\x01", false}, // no release
	} {
		p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.Patience, SilenceTimeout: time.Hour})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, policy.Up, time.Time{}))
		g := standCall(t, p, c, s, firstCall)
		g.Conn.Write([]byte(tc.said))
		require.Eventually(t, func() bool { return len(s.Conns()) == 2 }, standin.Patience, ms, "%q", tc.said)
		if tc.over {
			assert.ErrorIs(t, c.awaitEnd(t, agent.Stood, policy.Cut).err, errTruncated)
			assert.Equal(t, firstCall, s.Await(t, isup.Release).Call.String(), "the server is told as well")
			continue
		}
		standCall(t, p, c, s, secondCall) // what comes next is not the end of the first
	}
}

// TestStallTimeoutBounded: ends of calls come by the connection too and are owed within 1 s, so that
// slow answers may not put the doubt of a silent one off for longer.
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

// TestStalledConnection: a connection on which a set-up is out and nothing is heard may have lost all
// that would follow. New set-ups go by another, from when its dial has come back on; the old one
// stays for its own, as a server with a queue is as quiet.
func TestStalledConnection(t *testing.T) {
	var dials atomic.Int32
	back := make(chan struct{}) // closed: the second dial comes back
	p, c := startPool(t, Config{Aim: 400 * ms, ConnectTimeout: standin.Patience, FirstMessageTimeout: standin.Patience, SilenceTimeout: time.Hour,
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			conn, err := net.Dial("tcp", addr)
			if dials.Add(1) == 2 {
				select {
				case <-back:
				case <-ctx.Done():
				}
			}
			return conn, err
		}})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 30*time.Second))
	g := s.Await(t, isup.SetUp)
	standin.Next(t, c.reports) // the first connection's
	require.Eventually(t, func() bool { return len(s.Conns()) == 2 }, standin.Patience, ms)
	p.SetUp(newAttempt(secondCall, 30*time.Second))
	crossed := s.Await(t, isup.SetUp)
	assert.Same(t, g.Conn, crossed.Conn, "the server has accepted the second, the actor does not have it yet")
	close(back)
	standin.Next(t, c.reports) // the second one's: what is read there the actor has
	p.SetUp(newAttempt("0000000000000003", 30*time.Second))
	assert.NotSame(t, g.Conn, s.Await(t, isup.SetUp).Conn)
	g.Answer("")
	told := c.awaitEvent(t)
	assert.Equal(t, []any{true, firstCall}, []any{told.stands, told.id}, "and its answer still counts")
	assert.Greater(t, p.cfg.adaptive.timeout(100*ms), 100*ms, "the doubt was wrong: the next comes later")
	answered := time.Now() // before the answer: the core hears of it after the linger has begun
	crossed.Answer("")
	told = c.awaitEvent(t)
	assert.Equal(t, []any{true, secondCall}, []any{told.stands, told.id})
	require.Eventually(t, func() bool {
		_, err := g.Conn.Write([]byte("\x00\x09\x06\x00\x00\x00\x00\x00\x00\x00\x01")) // means nothing
		return err != nil
	}, standin.Patience, ms, "then the old connection ends")
	// The server must not see the end before its answer is known to have come.
	assert.GreaterOrEqual(t, time.Since(answered), p.cfg.Linger)
}

// TestServerDeath: nobody tells of the calls of a process that has died. A refused connection,
// a later start or its leaving the list does.
func TestServerDeath(t *testing.T) {
	for name, die := range map[string]func(p *Pool, s *standin.Server){
		"refused": func(p *Pool, s *standin.Server) { s.Die() },
		"restarted": func(p *Pool, s *standin.Server) {
			p.update(listedServer(s.Addr, policy.Up, time.Now().Add(time.Second)))
		},
		"removed":  func(p *Pool, s *standin.Server) { p.update(listedServer(s.Addr, policy.Gone, time.Time{})) },
		"left out": func(p *Pool, s *standin.Server) { p.Servers(nil, true) },
		"moved": func(p *Pool, s *standin.Server) {
			s.Refuse()
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

// TestServerReturns: a server that was withdrawn and comes back is used again. The pool forgot it
// when the news of its return met an actor that had ended its calls.
func TestServerReturns(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.update(listedServer(s.Addr, policy.Gone, time.Time{}))
	require.Eventually(t, p.actors["s"].finished.Load, standin.Patience, ms)
	p.update(listedServer(s.Addr, policy.Up, time.Now()))
	standCall(t, p, c, s, firstCall)
	p.update(listedServer(s.Addr, policy.Gone, time.Time{}))
	c.awaitEnd(t, agent.Stood, policy.Cut) // told in the middle of the actor's work
	require.Eventually(t, p.actors["s"].finished.Load, standin.Patience, ms)
	p.update()
	assert.Empty(t, p.actors, "and forgotten when it is gone for good")
}

// TestSilentServer: a machine that vanished leaves its connection open and silent, and one that
// hangs takes connections but says nothing. A quiet one speaks on a new connection; its
// calls must not be cut.
func TestSilentServer(t *testing.T) {
	mute, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer mute.Close()
	for _, tc := range []struct {
		name string
		dial func(ctx context.Context, addr string) (net.Conn, error) // after the call stands
		cut  bool
	}{
		{"vanished", func(context.Context, string) (net.Conn, error) { return nil, errors.New("no route") }, true},
		{"hung", func(context.Context, string) (net.Conn, error) { return net.Dial("tcp", mute.Addr().String()) }, true},
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
			require.Eventually(t, func() bool { return len(s.Conns()) >= 3 }, standin.Patience, ms)
			assert.Empty(t, c.events, "the call stands")
		})
	}
}

// TestDrainingRefuses: a server that drains listens no more but keeps its connection. That
// a check of its silence is refused must not cut its calls; the reset at its end does.
func TestDrainingRefuses(t *testing.T) {
	var dials atomic.Int32
	refused := make(chan struct{}) // closed once it listens no more: until then no check is made
	p, c := startPool(t, Config{SilenceTimeout: 100 * ms, ConnectTimeout: standin.Patience, Dial: func(ctx context.Context, addr string) (net.Conn, error) {
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
	s.Refuse()
	close(refused)
	p.update(listedServer(s.Addr, policy.Draining, time.Time{}))
	require.Eventually(t, func() bool { return dials.Load() >= 5 }, standin.Patience, ms)
	assert.Empty(t, c.events, "the call stands")
	s.Die()
	c.awaitEnd(t, agent.Stood, policy.Cut)
}

// TestStalledConnectionClosed: once a server whose connection stalled shows on another that nothing waits
// there, by an answer or by a probe's report, what is out on the old one is lost and ends.
func TestStalledConnectionClosed(t *testing.T) {
	for _, probes := range []bool{false, true} {
		p, c := startPool(t, Config{StallTimeout: 2 * time.Second, FirstMessageTimeout: standin.Patience, SilenceTimeout: time.Hour, Probes: probes, ProbeTimeout: standin.Patience})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, policy.Up, time.Time{}))
		p.SetUp(newAttempt(firstCall, 30*time.Second))
		s.Await(t, isup.SetUp)
		if probes {
			g := s.Await(t, isup.Test)
			g.Conn.Send(isup.Message{Type: isup.TestResult, Call: g.Call}.WithCause(isup.Passed).
				WithText(isup.Report, "x0:900;x1:1000;latency_ms:0"))
		} else {
			standin.Next(t, c.reports) // the first connection's
			standin.Next(t, c.reports) // the second one's: the actor has it, and set-ups go there
			standCall(t, p, c, s, secondCall)
		}
		assert.ErrorIs(t, c.awaitEnd(t, agent.Written, policy.Cut).err, errStalled)
	}
}

// TestDuplicateAndLateAnswers: a second copy of an answer must not cut the call that stands, and one for
// an id that was never sent there is passed over; the late answer of an attempt that was given
// up is released.
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
	require.Eventually(t, func() bool { return s.Seen(isup.Release, late.Call) == 2 }, standin.Patience, ms)
	assert.Equal(t, 2, s.Seen(isup.Release, 0), "no other was released")
	g.Release(isup.Normal, "")
	assert.Nil(t, c.awaitEvent(t).err, "the call stood to its end")
}

// TestBadMessages: what can't be understood ends the connection, never the actor.
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

// TestEndOfUnknownCall: the end of a call that this program never set up is of one from before
// its restart; the core decides what becomes of it.
func TestEndOfUnknownCall(t *testing.T) {
	p, c := startPool(t, Config{})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	require.Eventually(t, func() bool { return len(s.Conns()) == 1 }, standin.Patience, ms)
	s.Conns()[0].Send(isup.Message{Type: isup.Release, Call: 1}.WithCause(isup.Normal))
	assert.Equal(t, firstCall, <-c.unknown)
	p.ReleaseUnknown(secondCall) // and the other way: its caller's release finds its server
	assert.Equal(t, secondCall, s.Await(t, isup.Release).Call.String())
}

// TestProbe: a test with cause 1 brings a report; silence is a timeout.
func TestProbe(t *testing.T) {
	p, c := startPool(t, Config{ProbeTimeout: time.Second})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	require.False(t, (<-c.reports).Solicited, "the state of the group comes first")
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

// TestStallTimeoutQueued: a server that said lately that its processor keeps messages waiting is slow
// on every connection. The doubt waits that much longer, up to queuedMost, while the word is
// fresh; without it the bound of TestStallBounded holds.
func TestStallTimeoutQueued(t *testing.T) {
	for _, tc := range []struct{ queued, ago, want time.Duration }{
		{0, 0, 80 * ms},
		{300 * ms, 0, 380 * ms},
		{900 * ms, 100 * ms, 980 * ms},
		{3 * time.Second, 0, maxQueuedTimeout},
		{300 * ms, time.Second, 80 * ms}, // said too long ago
	} {
		a := serverActor{cfg: Config{StallTimeout: 80 * ms, adaptive: newAdaptiveTimeout()}, statedWait: tc.queued, statedWaitAt: time.Now().Add(-tc.ago)}
		assert.Equal(t, tc.want, a.stallTimeout(), "queued %v, said %v ago", tc.queued, tc.ago)
	}
}
