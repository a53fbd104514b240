package trunk

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/standin"
	"woodrouter/isup"
	"woodrouter/policy"
)

// stuckConn is a connection whose writes block until the test lets them through, like one to a server that
// has stopped reading.
type stuckConn struct {
	net.Conn
	begun chan struct{} // receives when a write has begun
	free  chan struct{} // closed to let writes through
}

func (c stuckConn) Write(b []byte) (int, error) {
	select {
	case c.begun <- struct{}{}:
		<-c.free
	case <-c.free:
	}
	return c.Conn.Write(b)
}

// TestRecheckBeforeWrite guards against sending a set-up that has become unwanted. While the write of its
// actor is blocked, the set-up waits in the mailbox, and the update that it must not be sent waits behind it.
// The update must still take effect.
func TestRecheckBeforeWrite(t *testing.T) {
	for name, makeUnwanted := range map[string]func(p *Pool, addr string, cancel func()){
		"the caller leaves":          func(_ *Pool, _ string, cancel func()) { cancel() },
		"the server drains":          func(p *Pool, addr string, _ func()) { p.update(listedServer(addr, policy.Draining, time.Time{})) },
		"the server is gone":         func(p *Pool, _ string, _ func()) { p.Servers(nil, true) },
		"the core gives the call up": func(p *Pool, _ string, cancel func()) { cancel(); p.GiveUp("s", secondCall, 0, policy.TimedOut) },
	} {
		t.Run(name, func(t *testing.T) {
			conn := stuckConn{begun: make(chan struct{}), free: make(chan struct{})}
			p, c := startPool(t, Config{Dial: func(_ context.Context, address string) (net.Conn, error) {
				up, err := net.Dial("tcp", address)
				if err != nil {
					return nil, err
				}
				return stuckConn{up, conn.begun, conn.free}, nil
			}})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Up, time.Time{}))
			p.SetUp(newAttempt(firstCall, 3*time.Second))
			standin.Next(t, conn.begun)
			second := newAttempt(secondCall, 3*time.Second)
			var cancel func()
			second.Context, cancel = context.WithCancel(context.Background())
			p.SetUp(second)
			makeUnwanted(p, s.Addr, cancel)
			close(conn.free)
			end := c.awaitEvent(t)
			for end.id != secondCall {
				end = c.awaitEvent(t)
			}
			assert.Equal(t, agent.Unwritten, end.err.Stage, end.err)
			assert.Zero(t, s.Count(isup.SetUp, 2))
		})
	}
}

// TestDialJitter guards a new server against being dialled by hundreds of processes at the same moment: each
// process dials after a random delay. A set-up that comes before then is sent at once.
func TestDialJitter(t *testing.T) {
	dials := make(chan string, 10)
	p, c := startPool(t, Config{Jitter: time.Hour, StallTimeout: standin.WaitTimeout, Dial: func(_ context.Context, address string) (net.Conn, error) {
		dials <- address
		return net.Dial("tcp", address)
	}})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	dialing, actor := make(chan bool, 1), p.actors["s"]
	actor.post(func() { dialing <- actor.dialing }) // handled after the update
	assert.False(t, standin.Next(t, dialing))
	standCall(t, p, c, s, firstCall)
	assert.Len(t, dials, 1)
}

// TestStopWithDataInFlight guards the release of a call written just before the process stops. Data from the
// server that is still on its way must not reset the connection, because the reset would discard the release.
func TestStopWithDataInFlight(t *testing.T) {
	p, c := startPool(t, Config{StallTimeout: standin.WaitTimeout, StopLinger: standin.WaitTimeout})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	g := standCall(t, p, c, s, firstCall)
	p.GiveUp("s", firstCall, 0, policy.Cancelled)
	closed := make(chan struct{})
	go func() { p.Close(); close(closed) }()
	assert.Equal(t, isup.CallID(1), s.Await(t, isup.Release).Call)
	standin.Next(t, s.Closed)
	state, err := isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000").Append(nil)
	require.NoError(t, err)
	for range 3 {
		_, err := g.Conn.Write(state)
		require.NoError(t, err, "the connection is ended, not reset")
	}
	g.Conn.Close()
	standin.Next(t, closed)
}
