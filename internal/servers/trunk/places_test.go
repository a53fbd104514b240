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

// town is setup servers and a pool that counts its dials, its draws and its connections.
type town struct {
	*Pool
	core    *core
	servers map[string]*standin.Server
	list    []agent.Server

	mu     sync.Mutex
	dials  map[string]int // by server
	open   int
	most   int
	draws  atomic.Int32
	placed map[string]bool // as told
}

// shutting is a connection that tells of its end.
type shutting struct {
	net.Conn
	once sync.Once
	end  func()
}

func (c *shutting) Close() error {
	c.once.Do(c.end)
	return c.Conn.Close()
}

func newTown(t *testing.T, servers int, cfg Config) *town {
	w := &town{servers: map[string]*standin.Server{}, dials: map[string]int{}, placed: map[string]bool{}}
	at := map[string]string{}
	for i := range servers {
		id, s := fmt.Sprint("s", i), standin.NewServer(t, "")
		w.servers[id], at[s.Addr] = s, id
		w.list = append(w.list, agent.Server{Server: policy.Server{ID: id, Pool: i}, Address: s.Addr})
	}
	cfg.Name = "a"
	cfg.draw = func(d time.Duration) time.Duration { w.draws.Add(1); return jitter(d) }
	cfg.Placed = func(ids []string, placed bool) {
		w.mu.Lock()
		defer w.mu.Unlock()
		for _, id := range ids {
			w.placed[id] = placed
		}
	}
	cfg.Dial = func(_ context.Context, address string) (net.Conn, error) {
		w.mu.Lock()
		w.dials[at[address]]++ // before the server can see it
		w.mu.Unlock()
		conn, err := net.Dial("tcp", address)
		w.mu.Lock()
		defer w.mu.Unlock()
		if err != nil {
			return nil, err
		}
		w.open++
		w.most = max(w.most, w.open)
		return &shutting{Conn: conn, end: func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.open--
		}}, nil
	}
	w.Pool, w.core = start(t, cfg)
	return w
}

func (w *town) dialled() (servers, dials int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.dials {
		servers, dials = servers+1, dials+n
	}
	return servers, dials
}

// came waits until so many servers were dialled, and lists them apart from the others.
func (w *town) came(t *testing.T, n int) (near, far []string) {
	t.Helper()
	require.Eventually(t, func() bool {
		servers, _ := w.dialled()
		return servers >= n && int(w.conns.Load()) >= n
	}, standin.Patience, ms)
	for _, s := range w.list {
		w.mu.Lock()
		dialled := w.dials[s.ID] > 0
		w.mu.Unlock()
		if dialled {
			near = append(near, s.ID)
		} else {
			far = append(far, s.ID)
		}
	}
	require.Len(t, near, n)
	return near, far
}

// call hands a set-up to a server.
func (w *town) call(server string, n int) string {
	a := attemptFor(isup.CallID(n).String(), 3*time.Second)
	a.Server = server
	w.SetUp(a)
	return a.ID
}

// stands has a call stand at a server.
func (w *town) stands(t *testing.T, server string, n int) standin.Got {
	t.Helper()
	id := w.call(server, n)
	g := w.servers[server].Await(t, isup.SetUp)
	g.Answer("")
	told := w.core.await(t)
	require.True(t, told.stands && told.id == id, "%+v", told)
	return g
}

// event has a server's actor do something and waits for it.
func (w *town) event(server string, do func(a *trunk)) {
	done := make(chan struct{})
	a := w.trunks[server]
	a.post(func() { do(a); close(done) })
	<-done
	a.post(func() {})
	synced := make(chan struct{})
	a.post(func() { close(synced) })
	<-synced
}

// TestFits: where the list fits in the agent's part there are the same dials and the same draws as
// without any bound: one of each for each server, none for the calls, one dial for a connection
// that was lost, none for news that tell nothing new, and one beside a connection in doubt.
func TestFits(t *testing.T) {
	const servers = 60
	for name, part := range map[string]int{"no bound": 0, "256 descriptors": 96, "all but full": 69} {
		t.Run(name, func(t *testing.T) {
			w := newTown(t, servers, Config{Part: part, MaxConns: 64, Jitter: 50 * ms, Silence: time.Hour, Stall: time.Second, Speak: standin.Patience})
			w.Servers(w.list, true)
			near, _ := w.came(t, servers)
			counts := func(dials, draws int) {
				t.Helper()
				_, n := w.dialled()
				assert.Equal(t, []int{dials, draws}, []int{n, int(w.draws.Load())}, "dials, draws")
			}
			counts(servers, servers)
			var first standin.Got
			for i, id := range near {
				if g := w.stands(t, id, i+1); i == 0 {
					first = g
				}
			}
			w.Servers(w.list, true)
			w.event(near[0], func(*trunk) {})
			counts(servers, servers)
			first.Conn.Close()
			require.Eventually(t, func() bool { return len(w.servers[near[0]].Conns()) == 2 }, standin.Patience, ms)
			counts(servers+1, servers)
			w.call(near[1], 100) // unanswered: the connection is doubted
			require.Eventually(t, func() bool { return len(w.servers[near[1]].Conns()) == 2 }, standin.Patience, ms)
			counts(servers+2, servers)
			assert.Empty(t, w.placed)
			assert.True(t, w.Serves())
		})
	}
}

// TestSubset: a list that does not fit has its standing set connected and no others. A call to
// another has it dialled; where all places are in use it is told so at once, as not sent, and once
// a call has ended its place is taken. There are never more connections than places.
func TestSubset(t *testing.T) {
	w := newTown(t, 20, Config{Part: 8, Jitter: ms, Linger: 50 * ms, Silence: time.Hour}) // seven places
	w.Servers(w.list, true)
	near, far := w.came(t, 3)
	require.Eventually(t, w.Serves, standin.Patience, ms)
	var last standin.Got
	for i, id := range far[:4] {
		last = w.stands(t, id, i+1)
	}
	w.call(far[4], 10)
	w.core.ended(t, agent.Unwritten, policy.NotSent)
	w.Probe(far[4])
	for asked := false; !asked; {
		p := standin.Next(t, w.core.reports)
		if asked = p.Solicited; asked {
			assert.Equal(t, policy.NotSent, p.Result, "it tells nothing of the server")
		}
	}
	for i, id := range near {
		w.stands(t, id, 20+i) // who has a place serves
	}
	last.Release(isup.Normal, "")
	require.Nil(t, w.core.await(t).err, "the end of a call comes by its connection")
	time.Sleep(100 * ms) // a place is free to take once it was idle for a while
	w.stands(t, far[4], 11)
	servers, dials := w.dialled()
	assert.Equal(t, []int{8, 8}, []int{servers, dials})
	assert.Equal(t, 7, w.most, "connections")
	w.mu.Lock()
	defer w.mu.Unlock()
	assert.True(t, w.placed[far[4]])
	assert.False(t, w.placed[far[3]])
	assert.False(t, w.placed[far[5]])
}

// crowd fills the places of a list that does not fit, all but one in use, and returns the idle
// server, whose actor can be held until free is called, and one without a place.
func crowd(t *testing.T, cfg Config) (w *town, idle, other string, hold <-chan struct{}, free func()) {
	cfg.Part, cfg.Jitter, cfg.Silence, cfg.Linger, cfg.ConnectTimeout = 8, ms, time.Hour, 50*ms, standin.Patience
	w = newTown(t, 20, cfg)
	w.Servers(w.list, true)
	_, far := w.came(t, 3)
	for i, id := range far[:4] {
		g := w.stands(t, id, i+1)
		if i == 3 {
			g.Release(isup.Normal, "")
			require.Nil(t, w.core.await(t).err)
		}
	}
	time.Sleep(100 * ms)
	held := make(chan struct{})
	free = sync.OnceFunc(func() { close(held) })
	t.Cleanup(free)
	return w, far[3], far[4], held, free
}

// TestTakenMeanwhile: a place is taken while a set-up for the one that had it waits in its mailbox.
// Nothing goes out on the connection that is about to end: the call is told to go elsewhere, and the
// other's is served.
func TestTakenMeanwhile(t *testing.T) {
	w, idle, other, held, free := crowd(t, Config{yield: standin.Patience})
	w.trunks[idle].post(func() { <-held })
	late := w.call(idle, 50)
	w.call(other, 51)
	require.Eventually(t, func() bool { return w.places.has(w.trunks[other]) }, standin.Patience, ms)
	free()
	end := w.core.ended(t, agent.Unwritten, policy.NotSent)
	assert.Equal(t, late, end.id)
	w.servers[other].Await(t, isup.SetUp).Answer("")
	require.True(t, w.core.await(t).stands)
	assert.Equal(t, 1, w.servers[idle].Seen(isup.SetUp, 0), "the one that it had before")
	assert.LessOrEqual(t, w.most, 7)
}

// TestPlaceNotYielded: where the one whose place is taken stands still, the call does not wait for it.
// That no connection came tells nothing of the server that it was for.
func TestPlaceNotYielded(t *testing.T) {
	w, idle, other, held, free := crowd(t, Config{yield: 50 * ms})
	w.trunks[idle].post(func() { <-held })
	w.call(other, 51)
	w.core.ended(t, agent.Unwritten, policy.NotSent)
	_, dials := w.dialled()
	assert.Equal(t, 7, dials)
	free()
}

// TestReleaseOfTaken: an answer that comes too late is released at its server even where its place was
// taken meanwhile: on a connection of its own, once there is a place, as what is written on one
// that ends at once may be lost.
func TestReleaseOfTaken(t *testing.T) {
	w, idle, other, held, free := crowd(t, Config{yield: standin.Patience, Redial: 100 * ms})
	id := w.call(idle, 50)
	g := w.servers[idle].Await(t, isup.SetUp)
	w.GiveUp(idle, id, 0, policy.TimedOut)
	w.core.ended(t, agent.Written, policy.TimedOut)
	w.servers[idle].Await(t, isup.Release)
	time.Sleep(100 * ms)
	w.trunks[idle].post(func() { <-held })
	g.Answer("late")
	time.Sleep(300 * ms) // it waits in the mailbox
	w.call(other, 51)
	require.Eventually(t, func() bool { return w.places.has(w.trunks[other]) }, standin.Patience, ms)
	free()
	s := w.servers[other].Await(t, isup.SetUp)
	s.Answer("")
	require.True(t, w.core.await(t).stands)
	s.Release(isup.Normal, "")
	require.Nil(t, w.core.await(t).err)
	again := w.servers[idle].Await(t, isup.Release)
	assert.Equal(t, id, again.Call.String())
	assert.NotSame(t, g.Conn, again.Conn)
	assert.LessOrEqual(t, w.most, 7)
}

// TestStandIn: for a server of the standing set that dies the next in order is connected to, and the
// pool serves; it does not once no server is left.
func TestStandIn(t *testing.T) {
	w := newTown(t, 20, Config{Part: 8, Jitter: ms, Linger: 50 * ms, Silence: time.Hour, Redial: 20 * ms})
	w.Servers(w.list, true)
	near, _ := w.came(t, 3)
	w.servers[near[0]].Die()
	require.Eventually(t, func() bool { n, _ := w.dialled(); return n == 4 && w.conns.Load() >= 3 }, standin.Patience, ms)
	assert.True(t, w.Serves())
	for _, s := range w.servers {
		s.Die()
	}
	require.Eventually(t, func() bool { return !w.Serves() }, standin.Patience, ms)
	for _, s := range w.list[:2] {
		w.servers[s.ID] = standin.NewServer(t, s.Address)
	}
	require.Eventually(t, w.Serves, standin.Patience, ms)
}

// TestGrowsAndFits: a list that grows past the places ends no connection and loses no call; one that
// fits again has all connected to.
func TestGrowsAndFits(t *testing.T) {
	w := newTown(t, 20, Config{Part: 8, Jitter: ms, Linger: 50 * ms, Silence: time.Hour})
	w.Servers(w.list[:7], true)
	near, _ := w.came(t, 7)
	g := w.stands(t, near[0], 1)
	w.Servers(w.list, true)
	w.event(near[0], func(*trunk) {})
	assert.EqualValues(t, 7, w.conns.Load())
	g.Release(isup.Normal, "")
	require.Nil(t, w.core.await(t).err)
	w.Servers(w.list[10:15], true) // others altogether
	require.Eventually(t, func() bool {
		w.Servers(nil, false) // those that have gone are forgotten with the next news
		for _, s := range w.list[10:15] {
			if len(w.servers[s.ID].Conns()) == 0 {
				return false
			}
		}
		return w.conns.Load() == 5
	}, standin.Patience, 5*ms)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.list[10:15] {
		if told, ok := w.placed[s.ID]; ok {
			assert.True(t, told, s.ID)
		}
	}
}

// TestUnknownToAll: a release of a call from before the start reaches a server without a place as soon as
// it has a connection.
func TestUnknownToAll(t *testing.T) {
	w := newTown(t, 20, Config{Part: 8, Jitter: ms, Silence: time.Hour})
	w.Servers(w.list, true)
	near, far := w.came(t, 3)
	w.ReleaseUnknown(two)
	assert.Equal(t, two, w.servers[near[0]].Await(t, isup.Release).Call.String())
	w.call(far[0], 1)
	assert.Equal(t, two, w.servers[far[0]].Await(t, isup.Release).Call.String())
}
