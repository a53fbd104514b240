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

// stuck is a connection whose writes wait for the test, as to a server that has stopped reading.
type stuck struct {
	net.Conn
	begun chan struct{} // a write has begun
	free  chan struct{} // closed: writes go through
}

func (c stuck) Write(b []byte) (int, error) {
	select {
	case c.begun <- struct{}{}:
		<-c.free
	case <-c.free:
	}
	return c.Conn.Write(b)
}

// TestLastLook: what is handed to an actor whose write is stuck waits in its mailbox, and behind
// it the news that it must not be sent any more. The news counts all the same.
func TestLastLook(t *testing.T) {
	for name, news := range map[string]func(p *Pool, addr string, unwant func()){
		"the caller leaves":          func(_ *Pool, _ string, unwant func()) { unwant() },
		"the server drains":          func(p *Pool, addr string, _ func()) { p.news(listed(addr, policy.Draining, time.Time{})) },
		"the server is gone":         func(p *Pool, _ string, _ func()) { p.Servers(nil, true) },
		"the core gives the call up": func(p *Pool, _ string, unwant func()) { unwant(); p.GiveUp("s", two, 0, policy.TimedOut) },
	} {
		t.Run(name, func(t *testing.T) {
			conn := stuck{begun: make(chan struct{}), free: make(chan struct{})}
			p, c := start(t, Config{Dial: func(_ context.Context, address string) (net.Conn, error) {
				up, err := net.Dial("tcp", address)
				if err != nil {
					return nil, err
				}
				return stuck{up, conn.begun, conn.free}, nil
			}})
			s := standin.NewServer(t, "")
			p.news(listed(s.Addr, policy.Up, time.Time{}))
			p.SetUp(attemptFor(one, 3*time.Second))
			standin.Next(t, conn.begun)
			second := attemptFor(two, 3*time.Second)
			var unwant func()
			second.Context, unwant = context.WithCancel(context.Background())
			p.SetUp(second)
			news(p, s.Addr, unwant)
			close(conn.free)
			end := c.await(t)
			for end.id != two {
				end = c.await(t)
			}
			assert.Equal(t, agent.Unwritten, end.err.Stage, end.err)
			assert.Zero(t, s.Seen(isup.SetUp, 2))
		})
	}
}

// TestJitter: hundreds of processes hear of a server at one moment, and each dials at its own time
// within the jitter; a set-up that comes before has its connection at once.
func TestJitter(t *testing.T) {
	dials := make(chan string, 10)
	p, c := start(t, Config{Jitter: time.Hour, Stall: standin.Patience, Dial: func(_ context.Context, address string) (net.Conn, error) {
		dials <- address
		return net.Dial("tcp", address)
	}})
	s := standin.NewServer(t, "")
	p.news(listed(s.Addr, policy.Up, time.Time{}))
	dialing, actor := make(chan bool, 1), p.trunks["s"]
	actor.post(func() { dialing <- actor.dialing }) // behind the news
	assert.False(t, standin.Next(t, dialing))
	stand(t, p, c, s, one)
	assert.Len(t, dials, 1)
}

// TestStopCrossing: what a server has on its way as the process stops does not reset the connection,
// and with it the last that was written there: the release of a call.
func TestStopCrossing(t *testing.T) {
	p, c := start(t, Config{Stall: standin.Patience, StopLinger: standin.Patience})
	s := standin.NewServer(t, "")
	p.news(listed(s.Addr, policy.Up, time.Time{}))
	g := stand(t, p, c, s, one)
	p.GiveUp("s", one, 0, policy.Cancelled)
	closed := make(chan struct{})
	go func() { p.Close(); close(closed) }()
	assert.Equal(t, isup.CallID(1), s.Await(t, isup.Release).Call)
	standin.Next(t, s.Ended)
	state, err := isup.Message{Type: isup.GroupState}.WithText(isup.Report, "x0:900;x1:1000").Append(nil)
	require.NoError(t, err)
	for range 3 {
		_, err := g.Conn.Write(state)
		require.NoError(t, err, "ended, not reset")
	}
	g.Conn.Close()
	standin.Next(t, closed)
}
