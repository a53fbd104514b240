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

// within bounds what a test waits for.
const within = 15 * time.Second

// live is a core whose time runs.
type live struct {
	mu    sync.Mutex
	began time.Time
	state *spread.State
}

func (c *live) WithSpread(do func(policy.Time, *spread.State)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do(time.Since(c.began), c.state)
}

func (c *live) ApplyView(v spread.View) {
	c.WithSpread(func(now policy.Time, st *spread.State) { st.HandleView(now, v) })
}

func (c *live) follows() (on bool) {
	c.WithSpread(func(now policy.Time, st *spread.State) { on = st.FollowsView(now) })
	return on
}

// stand is a control machine as an agent sees it: its stewards are the real ones, and a test may
// change what it answers.
type stand struct {
	t    *testing.T
	id   string
	at   string
	ln   net.Listener
	asks atomic.Int64 // questions that have come,
	open atomic.Int64 // and those not answered yet

	mu     sync.Mutex
	real   *stewards.Stewards
	answer func(stewards.TellArgs, *stewards.TellReply) error // nil: as its stewards do
	raw    func(net.Conn)                                     // nil: it speaks net/rpc
	conns  map[net.Conn]bool
	work   sync.WaitGroup
}

// Tell is the net/rpc method.
func (s *stand) Tell(args stewards.TellArgs, r *stewards.TellReply) (err error) {
	s.asks.Add(1)
	s.open.Add(1)
	defer s.open.Add(-1)
	s.mu.Lock()
	real, answer := s.real, s.answer
	s.mu.Unlock()
	if *r, err = real.Tell(args); err != nil {
		return err
	}
	r.View.Dues = []spread.Due{{Server: "s1", Share: 1}} // at once: the stewards tell shares once they have learned rates
	if answer != nil {
		err = answer(args, r)
	}
	return err
}

func (s *stand) set(answer func(stewards.TellArgs, *stewards.TellReply) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answer = answer
}

func (s *stand) setRaw(raw func(net.Conn)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.raw = raw
}

// up starts a life of the machine.
func (s *stand) up() {
	ln, err := net.Listen("tcp", s.at)
	require.NoError(s.t, err)
	s.at = ln.Addr().String()
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

// down ends the machine's life.
func (s *stand) down() {
	s.ln.Close()
	s.mu.Lock()
	for c := range s.conns {
		c.Close()
	}
	s.mu.Unlock()
}

const testPeriod = leastPeriod

// talks is an agent in mode control with machines to talk to.
type talks struct {
	*Spreader
	core   *live
	stands map[string]*stand
	end    func()
}

func talk(t *testing.T) *talks {
	k := &talks{core: &live{began: time.Now()}, stands: map[string]*stand{}}
	file := Config{Mode: modeControl, Service: "lessons", Period: testPeriod.String()}
	for _, id := range []string{"c1", "c2", "c3"} {
		s := &stand{t: t, id: id, at: "127.0.0.1:0"}
		s.up()
		k.stands[id] = s
		file.Machines = append(file.Machines, watcher.Machine{ID: id, Client: s.at})
	}
	require.NoError(t, file.Valid())
	cfg := file.Spread("a", time.Now())
	cfg.Senders = 1
	k.core.state = spread.New(cfg)
	k.core.state.UpdateServer("s1", true)
	var err error
	k.Spreader, err = Open(file, cfg, k.core, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { k.Run(ctx); close(done) }()
	k.end = sync.OnceFunc(func() {
		cancel()
		select {
		case <-done:
		case <-time.After(within):
			t.Error("no stop")
		}
	})
	t.Cleanup(func() {
		k.end()
		for _, s := range k.stands {
			s.set(nil)
			s.down()
			s.work.Wait()
		}
	})
	k.until(t, "it follows", k.core.follows)
	return k
}

func (k *talks) until(t *testing.T, what string, ok func() bool) {
	t.Helper()
	require.Eventually(t, ok, within, 5*time.Millisecond, what)
}

// steward is the machine whose view the agent follows.
func (k *talks) steward() *stand {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stands[k.said.view.From.Name]
}

// moved waits until another machine's view is followed.
func (k *talks) moved(t *testing.T, from *stand) *stand {
	t.Helper()
	k.until(t, "another machine is steward", func() bool { return k.steward() != from && k.core.follows() })
	return k.steward()
}

// TestMachines: an agent tells the machine that its state names and no other; one that holds its
// answers is left for the next without anything piling up, one that starts again is learned anew;
// without any the agent is alone, and follows again once they are back.
func TestMachines(t *testing.T) {
	k := talk(t)
	first := k.steward()
	for id, s := range k.stands {
		if s != first {
			assert.Zero(t, s.asks.Load(), id)
		}
	}
	k.until(t, "the console says so", func() bool {
		return strings.HasPrefix(k.Say(), "in common true, by control machines, now "+first.id+" at "+first.at+", steward "+first.id+",")
	})

	hold, before := make(chan struct{}), runtime.NumGoroutine()
	first.set(func(stewards.TellArgs, *stewards.TellReply) error { <-hold; return nil })
	asked, began := first.asks.Load(), time.Now()
	second := k.moved(t, first)
	assert.Less(t, time.Since(began), 2*within/3)
	time.Sleep(5 * testPeriod)
	assert.LessOrEqual(t, first.asks.Load()-asked, int64(3), "questions to a machine that holds its answers")
	assert.LessOrEqual(t, runtime.NumGoroutine(), before+12, "goroutines")
	first.set(nil)
	close(hold)

	second.down()
	second.up()
	third := k.moved(t, second)
	k.until(t, "it follows on", k.core.follows)
	third.down()
	k.moved(t, third)
	for _, s := range k.stands {
		s.down()
	}
	k.until(t, "it goes on alone", func() bool { return !k.core.follows() })
	for _, s := range k.stands {
		s.up()
	}
	k.until(t, "it follows again", k.core.follows)
	sum := k.Traffic()
	assert.Positive(t, sum.Sent)
	assert.Positive(t, sum.Bytes)
	assert.Positive(t, sum.Received)
	assert.Positive(t, sum.Unheard)
	assert.Zero(t, sum.Bad)
}

// TestMachinesAnswers: a view that can't be an answer to the summary is passed over and ends its
// connection, and the agent goes on with the next machine; nothing of it was followed.
func TestMachinesAnswers(t *testing.T) {
	for what, change := range map[string]func(args stewards.TellArgs, r *stewards.TellReply) error{
		"an earlier life":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Life--; return nil },
		"another summary":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Seq--; return nil },
		"another agent":      func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Echo.Name = "b"; return nil },
		"another machine":    func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.From.Name = "c9"; return nil },
		"an impossible hold": func(_ stewards.TellArgs, r *stewards.TellReply) error { r.View.Hold = 2; return nil },
		"nothing":            func(_ stewards.TellArgs, r *stewards.TellReply) error { *r = stewards.TellReply{}; return nil },
		"too much": func(_ stewards.TellArgs, r *stewards.TellReply) error {
			r.View.Dues = []spread.Due{{Server: strings.Repeat("x", mostView)}}
			return nil
		},
	} {
		t.Run(what, func(t *testing.T) {
			k := talk(t)
			first := k.steward()
			first.set(change)
			k.moved(t, first)
			assert.Positive(t, k.Traffic().Bad)
			assert.NotContains(t, k.Say(), "c9")
		})
	}
}

// TestMachinesJunk: what is no net/rpc ends that connection alone.
func TestMachinesJunk(t *testing.T) {
	k := talk(t)
	first := k.steward()
	first.setRaw(func(c net.Conn) {
		io.ReadFull(c, make([]byte, 1))
		c.Write([]byte("HTTP/1.1 400 Bad Request\r\n\r\n"))
		io.Copy(io.Discard, c)
	})
	first.down()
	first.up()
	k.moved(t, first)
	assert.True(t, k.core.follows())
}

// TestMachinesStop: a stop in the middle of a question waits for no answer.
func TestMachinesStop(t *testing.T) {
	k := talk(t)
	first, hold := k.steward(), make(chan struct{})
	defer close(hold)
	first.set(func(stewards.TellArgs, *stewards.TellReply) error { <-hold; return nil })
	k.until(t, "a question is out", func() bool { return first.open.Load() > 0 })
	began := time.Now()
	k.end()
	assert.Less(t, time.Since(began), askLeast/2)
}

// TestMachinesLatest: of the summaries that come while a machine is asked the latest alone is sent,
// and one for a machine that is steward no more is not sent at all.
func TestMachinesLatest(t *testing.T) {
	w := openMachines(&Spreader{}, Config{Machines: []watcher.Machine{{ID: "c1"}, {ID: "c2"}}})
	sum := func(seq uint64) spread.Summary { return spread.Summary{From: spread.Stamp{Name: "a", Seq: seq}} }
	w.tell("c1", sum(1))
	w.tell("c1", sum(3))
	w.tell("c1", sum(2)) // overtaken
	assert.EqualValues(t, 3, (<-w.all["c1"].next).From.Seq)
	w.tell("c1", sum(4))
	w.tell("c2", sum(5))
	w.tell("c9", sum(6)) // a machine that the file does not have
	assert.Empty(t, w.all["c1"].next)
	assert.Empty(t, w.all["c2"].next)
}
