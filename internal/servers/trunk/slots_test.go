package trunk

import (
	"context"
	"fmt"
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

// cluster is a set of setup servers and a pool, and counts dials, random delays and connections.
type cluster struct {
	*Pool
	core    *fakeCore
	servers map[string]*standin.Server
	list    []agent.Server

	mu           sync.Mutex
	dials        map[string]int // number of dials by server id
	open         int
	maxOpen      int
	randomDelays atomic.Int32
	hasSlot      map[string]bool // last value passed to OnSlotsChanged, by server id
}

// closeNotifyConn is a connection that calls a function once when it is closed.
type closeNotifyConn struct {
	net.Conn
	once    sync.Once
	onClose func()
}

func (c *closeNotifyConn) Close() error {
	c.once.Do(c.onClose)
	return c.Conn.Close()
}

// newCluster starts the given number of servers and a pool.
func newCluster(t *testing.T, servers int, cfg Config) *cluster {
	w := &cluster{servers: map[string]*standin.Server{}, dials: map[string]int{}, hasSlot: map[string]bool{}}
	idByAddress := map[string]string{}
	for i := range servers {
		id, s := fmt.Sprint("s", i), standin.NewServer(t, "")
		w.servers[id], idByAddress[s.Addr] = s, id
		w.list = append(w.list, agent.Server{Server: policy.Server{ID: id, Pool: i}, Address: s.Addr})
	}
	cfg.Name = "a"
	cfg.randomDelay = func(d time.Duration) time.Duration { w.randomDelays.Add(1); return uniformDelay(d) }
	cfg.OnSlotsChanged = func(ids []string, hasSlot bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, id := range ids {
			w.hasSlot[id] = hasSlot
		}
	}
	cfg.Dial = func(_ context.Context, address string) (net.Conn, error) {
		w.mu.Lock()
		w.dials[idByAddress[address]]++ // counted before the server can see the connection
		w.mu.Unlock()
		conn, err := net.Dial("tcp", address)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			return nil, err
		}
		w.open++
		w.maxOpen = max(w.maxOpen, w.open)
		return &closeNotifyConn{Conn: conn, onClose: func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.open--
		}}, nil
	}
	w.Pool, w.core = startPool(t, cfg)
	return w
}

// dialled returns how many servers were dialled, and how often in all.
func (w *cluster) dialled() (servers, dials int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.dials {
		servers, dials = servers+1, dials+n
	}
	return servers, dials
}

// awaitDialled waits until n servers were dialled, and returns them and the others.
func (w *cluster) awaitDialled(t *testing.T, n int) (connected, others []string) {
	t.Helper()
	require.Eventually(t, func() bool {
		servers, _ := w.dialled()
		return servers >= n && int(w.connCount.Load()) >= n
	}, standin.WaitTimeout, ms)
	for _, s := range w.list {
		w.mu.Lock()
		dialled := w.dials[s.ID] > 0
		w.mu.Unlock()
		if dialled {
			connected = append(connected, s.ID)
		} else {
			others = append(others, s.ID)
		}
	}
	require.Len(t, connected, n)
	return connected, others
}

// awaitLinked waits until the pool counts n servers as connected.
func (w *cluster) awaitLinked(t *testing.T, n int) {
	t.Helper()
	require.Eventually(t, func() bool {
		w.slots.mu.Lock()
		defer w.slots.mu.Unlock()
		return w.slots.linkedServers == n
	}, standin.WaitTimeout, ms)
}

// call passes a set-up for a server to the pool and returns its id.
func (w *cluster) call(server string, n int) string {
	a := newAttempt(isup.CallID(n).String(), 3*time.Second)
	a.Server = server
	w.SetUp(a)
	return a.ID
}

// standCall sets up a call at a server and waits until it stands.
func (w *cluster) standCall(t *testing.T, server string, n int) standin.Received {
	t.Helper()
	id := w.call(server, n)
	g := w.servers[server].Await(t, isup.SetUp)
	g.Answer("")
	event := w.core.awaitEvent(t)
	require.True(t, event.stands && event.id == id, "%+v", event)
	return g
}

// runOnActor runs do on a server's actor and waits until its effects are recorded.
func (w *cluster) runOnActor(server string, do func(a *serverActor)) {
	done := make(chan struct{})
	actor := w.actors[server]
	actor.post(func() { do(actor); close(done) })
	<-done
	actor.post(func() {})
	synced := make(chan struct{})
	actor.post(func() { close(synced) })
	<-synced
}

// TestAllServersFit guards against side effects of a limit that is not reached. If every server can have a
// connection, dials and random delays are the same as without a limit: one of each for each server, none for
// calls, one dial for a lost connection, none for updates without changes, and one for a second connection
// when the first is presumed stalled.
func TestAllServersFit(t *testing.T) {
	const servers = 60
	for name, limit := range map[string]int{"no bound": 0, "256 descriptors": 96, "all but full": 69} {
		t.Run(name, func(t *testing.T) {
			w := newCluster(t, servers, Config{MaxConns: limit, ExtraConnLimit: 64, Jitter: 50 * ms, SilenceTimeout: time.Hour, StallTimeout: time.Second, FirstMessageTimeout: standin.WaitTimeout})
			w.Servers(w.list, true)
			connected, _ := w.awaitDialled(t, servers)
			counts := func(dials, randomDelays int) {
				t.Helper()
				_, n := w.dialled()
				assert.Equal(t, []int{dials, randomDelays}, []int{n, int(w.randomDelays.Load())}, "dials, random delays")
			}
			counts(servers, servers)
			var first standin.Received
			for i, id := range connected {
				if g := w.standCall(t, id, i+1); i == 0 {
					first = g
				}
			}
			w.Servers(w.list, true)
			w.runOnActor(connected[0], func(*serverActor) {})
			counts(servers, servers)
			first.Conn.Close()
			require.Eventually(t, func() bool { return len(w.servers[connected[0]].Conns()) == 2 }, standin.WaitTimeout, ms)
			counts(servers+1, servers)
			w.call(connected[1], 100) // unanswered: the connection is presumed stalled
			require.Eventually(t, func() bool { return len(w.servers[connected[1]].Conns()) == 2 }, standin.WaitTimeout, ms)
			counts(servers+2, servers)
			assert.Empty(t, w.hasSlot)
			assert.True(t, w.Serves())
		})
	}
}

// TestSubset covers a list with more servers than connection slots. Only the preferred set is connected at
// first. A call to another server makes the pool dial it. If all slots are in use, the call fails at once as
// not sent, and once another call has ended its slot is taken over. There are never more connections than
// slots.
func TestSubset(t *testing.T) {
	w := newCluster(t, 20, Config{MaxConns: 8, Jitter: ms, Linger: 50 * ms, SilenceTimeout: time.Hour}) // seven slots
	w.Servers(w.list, true)
	connected, others := w.awaitDialled(t, 3)
	require.Eventually(t, w.Serves, standin.WaitTimeout, ms)
	var last standin.Received
	for i, id := range others[:4] {
		last = w.standCall(t, id, i+1)
	}
	w.call(others[4], 10)
	w.core.awaitEnd(t, agent.Unwritten, policy.NotSent)
	w.Probe(others[4])
	for solicited := false; !solicited; {
		p := standin.Next(t, w.core.reports)
		if solicited = p.Solicited; solicited {
			assert.Equal(t, policy.NotSent, p.Result, "it says nothing about the server")
		}
	}
	for i, id := range connected {
		w.standCall(t, id, 20+i) // a server with a slot serves calls
	}
	last.Release(isup.Normal, "")
	require.Nil(t, w.core.awaitEvent(t).err, "the end of a call comes on its connection")
	time.Sleep(100 * ms) // a slot can be taken over only after it has been idle for a while
	w.standCall(t, others[4], 11)
	servers, dials := w.dialled()
	assert.Equal(t, []int{8, 8}, []int{servers, dials})
	assert.Equal(t, 7, w.maxOpen, "connections")
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.True(t, w.hasSlot[others[4]])
	assert.False(t, w.hasSlot[others[3]])
	assert.False(t, w.hasSlot[others[5]])
}

// fillSlots fills the slots of a pool with fewer slots than servers, all but one with calls. It returns the
// server with the idle slot, a server without a slot, a channel on which the test can block the actor of the
// idle one, and a function that closes this channel.
func fillSlots(t *testing.T, cfg Config) (w *cluster, idle, other string, hold <-chan struct{}, free func()) {
	cfg.MaxConns, cfg.Jitter, cfg.SilenceTimeout, cfg.Linger, cfg.ConnectTimeout = 8, ms, time.Hour, 50*ms, standin.WaitTimeout
	w = newCluster(t, 20, cfg)
	w.Servers(w.list, true)
	_, others := w.awaitDialled(t, 3)
	for i, id := range others[:4] {
		g := w.standCall(t, id, i+1)
		if i == 3 {
			g.Release(isup.Normal, "")
			require.Nil(t, w.core.awaitEvent(t).err)
		}
	}
	time.Sleep(100 * ms)
	held := make(chan struct{})
	free = sync.OnceFunc(func() { close(held) })
	t.Cleanup(free)
	return w, others[3], others[4], held, free
}

// TestSlotTakenWhileQueued covers a slot that is taken while a set-up for its former server waits in the
// mailbox. Sent on the connection that is about to end, the set-up might be lost. So it must fail as not
// sent, and the other set-up must be served.
func TestSlotTakenWhileQueued(t *testing.T) {
	w, idle, other, held, free := fillSlots(t, Config{yieldTimeout: standin.WaitTimeout})
	w.actors[idle].post(func() { <-held })
	late := w.call(idle, 50)
	w.call(other, 51)
	require.Eventually(t, func() bool { return w.slots.has(w.actors[other]) }, standin.WaitTimeout, ms)
	free()
	end := w.core.awaitEnd(t, agent.Unwritten, policy.NotSent)
	assert.Equal(t, late, end.id)
	w.servers[other].Await(t, isup.SetUp).Answer("")
	require.True(t, w.core.awaitEvent(t).stands)
	assert.Equal(t, 1, w.servers[idle].Count(isup.SetUp, 0), "only the earlier set-up")
	assert.LessOrEqual(t, w.maxOpen, 7)
}

// TestSlotNotYielded covers an actor that is blocked while its slot is taken. The call that needs the slot
// must fail after the yield timeout and not wait for the actor, and the missing connection must not count
// against the server that the call was for.
func TestSlotNotYielded(t *testing.T) {
	w, idle, other, held, free := fillSlots(t, Config{yieldTimeout: 50 * ms})
	w.actors[idle].post(func() { <-held })
	w.call(other, 51)
	w.core.awaitEnd(t, agent.Unwritten, policy.NotSent)
	_, dials := w.dialled()
	assert.Equal(t, 7, dials)
	free()
}

// TestReleaseAfterSlotTaken covers a late answer that is handled after its server has lost its slot. Its
// release might be lost on the connection that is about to end, and the call would stand for ever. So it must
// be sent on a new connection, once there is a slot.
func TestReleaseAfterSlotTaken(t *testing.T) {
	w, idle, other, held, free := fillSlots(t, Config{yieldTimeout: standin.WaitTimeout, RedialInterval: 100 * ms})
	id := w.call(idle, 50)
	g := w.servers[idle].Await(t, isup.SetUp)
	w.GiveUp(idle, id, 0, policy.TimedOut)
	w.core.awaitEnd(t, agent.Written, policy.TimedOut)
	w.servers[idle].Await(t, isup.Release)
	time.Sleep(100 * ms)
	w.actors[idle].post(func() { <-held })
	g.Answer("late")
	time.Sleep(300 * ms) // until the answer waits in the mailbox
	w.call(other, 51)
	require.Eventually(t, func() bool { return w.slots.has(w.actors[other]) }, standin.WaitTimeout, ms)
	free()
	s := w.servers[other].Await(t, isup.SetUp)
	s.Answer("")
	require.True(t, w.core.awaitEvent(t).stands)
	s.Release(isup.Normal, "")
	require.Nil(t, w.core.awaitEvent(t).err)
	again := w.servers[idle].Await(t, isup.Release)
	assert.Equal(t, id, again.Call.String())
	assert.NotSame(t, g.Conn, again.Conn)
	assert.LessOrEqual(t, w.maxOpen, 7)
}

// TestDeadServerReplaced checks that the next server in order is connected when one of the preferred set
// dies, and that the pool stops serving only when no server is left.
func TestDeadServerReplaced(t *testing.T) {
	w := newCluster(t, 20, Config{MaxConns: 8, Jitter: ms, Linger: 50 * ms, SilenceTimeout: time.Hour, RedialInterval: 20 * ms})
	w.Servers(w.list, true)
	connected, _ := w.awaitDialled(t, 3)
	w.awaitLinked(t, 3)
	w.servers[connected[0]].Crash()
	require.Eventually(t, func() bool { n, _ := w.dialled(); return n == 4 && w.connCount.Load() >= 3 }, standin.WaitTimeout, ms)
	assert.True(t, w.Serves())
	for _, s := range w.servers {
		s.Crash()
	}
	require.Eventually(t, func() bool { return !w.Serves() }, standin.WaitTimeout, ms)
	for _, s := range w.list[:2] {
		w.servers[s.ID] = standin.NewServer(t, s.Address)
	}
	require.Eventually(t, w.Serves, standin.WaitTimeout, ms)
}

// TestListGrowsAndShrinks checks that a list that grows past the number of slots ends no connection and loses
// no call, and that all servers of a list that fits again are connected.
func TestListGrowsAndShrinks(t *testing.T) {
	w := newCluster(t, 20, Config{MaxConns: 8, Jitter: ms, Linger: 50 * ms, SilenceTimeout: time.Hour})
	w.Servers(w.list[:7], true)
	connected, _ := w.awaitDialled(t, 7)
	g := w.standCall(t, connected[0], 1)
	w.Servers(w.list, true)
	w.runOnActor(connected[0], func(*serverActor) {})
	assert.EqualValues(t, 7, w.connCount.Load())
	g.Release(isup.Normal, "")
	require.Nil(t, w.core.awaitEvent(t).err)
	w.Servers(w.list[10:15], true) // entirely different servers
	require.Eventually(t, func() bool {
		w.Servers(nil, false) // actors of servers that are gone are dropped with the next update
		for _, s := range w.list[10:15] {
			if len(w.servers[s.ID].Conns()) == 0 {
				return false
			}
		}
		return w.connCount.Load() == 5
	}, standin.WaitTimeout, 5*ms)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.list[10:15] {
		if hasSlot, ok := w.hasSlot[s.ID]; ok {
			assert.True(t, hasSlot, s.ID)
		}
	}
}

// TestUnknownReleaseReachesAll checks that the release of a call from before the start also reaches a server
// without a slot, as soon as it has a connection. Otherwise the call would stand there for ever.
func TestUnknownReleaseReachesAll(t *testing.T) {
	w := newCluster(t, 20, Config{MaxConns: 8, Jitter: ms, SilenceTimeout: time.Hour})
	w.Servers(w.list, true)
	connected, others := w.awaitDialled(t, 3)
	w.ReleaseUnknown(secondCall)
	assert.Equal(t, secondCall, w.servers[connected[0]].Await(t, isup.Release).Call.String())
	w.call(others[0], 1)
	assert.Equal(t, secondCall, w.servers[others[0]].Await(t, isup.Release).Call.String())
}

// TestUnknownReleaseDuringDial guards against a call that stands for ever because its caller releases it while its
// server is being dialled.
func TestUnknownReleaseDuringDial(t *testing.T) {
	dialing, dialReturns := make(chan struct{}), make(chan struct{})
	var firstDial sync.Once
	p, _ := startPool(t, Config{Jitter: ms, ConnectTimeout: standin.WaitTimeout, Dial: func(_ context.Context, address string) (net.Conn, error) {
		firstDial.Do(func() { close(dialing) })
		<-dialReturns
		return net.Dial("tcp", address)
	}})
	s := standin.NewServer(t, "")
	p.update(listedServer(s.Addr, policy.Up, time.Time{}))
	<-dialing
	p.ReleaseUnknown(firstCall)
	released := make(chan struct{})
	p.actors["s"].post(func() { close(released) })
	<-released
	close(dialReturns)
	assert.Equal(t, firstCall, s.Await(t, isup.Release).Call.String())
}
