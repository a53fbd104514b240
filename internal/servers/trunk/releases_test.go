package trunk

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/agent"
	"woodrouter/internal/standin"
	"woodrouter/isup"
	"woodrouter/policy"
)

// partition is a network that can be cut. What is sent meanwhile is lost, connections from before the cut stay open and
// silent, and new ones don't come up.
type partition struct {
	mu  sync.Mutex
	cut bool
}

// partitionedConn is a connection over a partition.
type partitionedConn struct {
	net.Conn
	network *partition
	mu      sync.Mutex
	dead    bool // there was a cut since it was opened
}

func (n *partition) set(cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = cut
}

func (n *partition) isCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut
}

func (n *partition) dial(ctx context.Context, address string) (net.Conn, error) {
	if n.isCut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	return &partitionedConn{Conn: conn, network: n}, nil
}

// isDead reports whether there was a cut since the connection was opened.
func (c *partitionedConn) isDead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dead = c.dead || c.network.isCut()
	return c.dead
}

func (c *partitionedConn) Write(b []byte) (int, error) {
	if c.isDead() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *partitionedConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.isDead() {
			return n, err
		}
	}
}

// TestReleasesOutlivePartition guards against a call that goes on standing at a server that was cut off, while this
// agent holds it for ended: whatever the release is due for, it must come once the server is reached again, however
// long the cut was, and whether or not the server acknowledges releases.
func TestReleasesOutlivePartition(t *testing.T) {
	const silence = 300 * ms
	for _, due := range []struct {
		name         string
		before, amid func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server)
	}{
		{"set-up whose answer was lost", func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server) {
			p.SetUp(newAttempt(firstCall, time.Minute))
			s.Await(t, isup.SetUp)
		}, nil},
		{"set-up given up during the cut", func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server) {
			p.SetUp(newAttempt(firstCall, time.Minute))
			s.Await(t, isup.SetUp)
		}, func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server) {
			p.GiveUp("s", firstCall, 0, policy.TimedOut)
		}},
		{"call taken for cut", func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server) { standCall(t, p, c, s, firstCall) }, nil},
		{"call released by its caller", func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server) { standCall(t, p, c, s, firstCall) },
			func(t *testing.T, p *Pool, c *fakeCore, s *standin.Server) {
				p.GiveUp("s", firstCall, 0, policy.Cancelled)
				c.awaitEnd(t, agent.Stood, policy.Cancelled)
			}},
		{"unknown call released by its caller", func(*testing.T, *Pool, *fakeCore, *standin.Server) {},
			func(_ *testing.T, p *Pool, _ *fakeCore, _ *standin.Server) { p.ReleaseUnknown(firstCall) }},
	} {
		for _, length := range []time.Duration{silence / 2, 5 * silence} {
			t.Run(fmt.Sprint(due.name, ", ", length), func(t *testing.T) {
				t.Parallel()
				network := &partition{}
				p, c := startPool(t, Config{Jitter: ms, SilenceTimeout: silence, StallTimeout: 50 * ms, FirstMessageTimeout: standin.WaitTimeout,
					ConnectTimeout: 100 * ms, RedialInterval: 50 * ms, Linger: 50 * ms, Dial: network.dial})
				s := standin.NewServer(t, "")
				p.update(listedServer(s.Addr, policy.Up, time.Time{}))
				standin.Next(t, c.reports) // connected
				due.before(t, p, c, s)
				network.set(true)
				if due.amid != nil {
					due.amid(t, p, c, s)
				}
				time.Sleep(length)
				require.Zero(t, s.Count(isup.Release, 1))
				network.set(false)
				if due.amid == nil && length < silence && due.name == "call taken for cut" {
					return // the cut was too short for that
				}
				assert.Equal(t, firstCall, s.Await(t, isup.Release).Call.String())
			})
		}
	}
}

// TestReleaseQueue checks that the releases that wait for a connection are bounded, in order, and kept once each.
func TestReleaseQueue(t *testing.T) {
	q := releaseQueue{limit: 3}
	for _, id := range []isup.CallID{1, 2, 1, 3, 4} {
		q.add(release{id: id})
	}
	assert.Equal(t, []release{{id: 2}, {id: 3}, {id: 4}}, q.takeAll())
	assert.Empty(t, q.takeAll())
}

// TestResentReleaseSparesLaterAttempt guards against the release of an earlier attempt ending a later one of the same
// call at the same server, when the connection of the earlier one is closed.
func TestResentReleaseSparesLaterAttempt(t *testing.T) {
	p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.WaitTimeout, SilenceTimeout: time.Hour, Linger: 50 * ms})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, 30*time.Second))
	s.Await(t, isup.SetUp)
	standin.Next(t, c.reports) // group state on the first connection
	standin.Next(t, c.reports) // group state on the second connection: it has replaced the first
	p.GiveUp("s", firstCall, 0, policy.TimedOut)
	c.awaitEnd(t, agent.Written, policy.TimedOut)
	again := newAttempt(firstCall, 30*time.Second)
	again.Index = 1
	p.SetUp(again)
	s.Await(t, isup.SetUp)
	select {
	case <-s.Closed: // the first connection, after Linger
	case <-time.After(standin.WaitTimeout):
		require.FailNow(t, "the replaced connection was not closed")
	}
	time.Sleep(50 * ms)
	assert.Equal(t, 1, s.Count(isup.Release, 1))
}

// TestProcessEndDropsReleases checks that a refused connection, which proves that the process has ended, ends the
// dials for its releases.
func TestProcessEndDropsReleases(t *testing.T) {
	p, c := startPool(t, Config{CutGrace: 10 * ms})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	p.SetUp(newAttempt(firstCall, time.Minute))
	s.Await(t, isup.SetUp)
	s.Crash()
	c.awaitEnd(t, agent.Written, policy.Cut)
	require.Eventually(t, func() bool {
		due := make(chan int)
		p.actors["s"].post(func() { due <- len(p.actors["s"].dueReleases.releases) })
		return <-due == 0
	}, standin.WaitTimeout, 5*ms)
}

// TestEndCrossesCloseOfReplacedConnection guards against the end of a call being lost because its server writes it on a
// replaced connection just as that is closed. A server that does not close its side may be cut off, and the end be lost
// there: it is asked to repeat it, by another connection.
func TestEndCrossesCloseOfReplacedConnection(t *testing.T) {
	for _, cutOff := range []bool{false, true} {
		p, c := startPool(t, Config{Aim: 400 * ms, FirstMessageTimeout: standin.WaitTimeout, SilenceTimeout: time.Hour, Linger: 50 * ms})
		s := standin.NewServer(t, "")
		p.update(listedServer(s.Addr, policy.Up, time.Time{}))
		p.SetUp(newAttempt(firstCall, 30*time.Second))
		g := s.Await(t, isup.SetUp)
		standin.Next(t, c.reports) // group state on the first connection
		standin.Next(t, c.reports) // group state on the second connection: it has replaced the first
		g.Answer("")
		require.True(t, c.awaitEvent(t).stands)
		require.Same(t, g.Conn, standin.Next(t, s.Closed))
		if cutOff {
			require.Eventually(t, func() bool { return len(s.Conns()) == 3 }, standin.WaitTimeout, ms)
			g.Conn = s.Conns()[2]
		}
		g.Release(isup.Normal, "")
		event := c.awaitEvent(t)
		assert.Equal(t, firstCall, event.id)
		assert.Nil(t, event.err)
	}
}

// TestResentReleasesEnd guards servers that end their idle connections against being sent a release for ever which they
// have read and don't acknowledge, and against more than one dial for each connection that they end.
func TestResentReleasesEnd(t *testing.T) {
	for name, endIdle := range map[string]func(c *standin.Conn){
		"closed": func(c *standin.Conn) { c.Close() },
		"reset":  func(c *standin.Conn) { c.Reset() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p, c := startPool(t, Config{SilenceTimeout: time.Hour, Jitter: ms})
			s := standin.NewServer(t, "")
			p.update(listedServer(s.Addr, policy.Draining, time.Time{}))
			standin.Next(t, c.reports)
			p.ReleaseUnknown(firstCall)
			const ended = maxReleaseWrites + 2
			for range ended {
				time.Sleep(crossingTime + 100*ms) // it is idle
				endIdle(s.Conns()[len(s.Conns())-1])
			}
			time.Sleep(100 * ms)
			assert.LessOrEqual(t, s.Count(isup.Release, 1), maxReleaseWrites)
			assert.LessOrEqual(t, len(s.Conns()), ended+1)
		})
	}
}
