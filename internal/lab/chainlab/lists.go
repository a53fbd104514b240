package chainlab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"

	"woodrouter/isup"
)

// Lists measures how an agent gets on with long lists of setup servers and few descriptors: it
// keeps a connection to each server that is up, and callers may have a third of the limit.
type Lists struct {
	Bin, Dir string
	Servers  []int
	Sockets  []int
	Target   int           // servers that the plan has
	Settle   time.Duration // most that an agent gets for its connections to come up
	Calm     time.Duration // counted without callers
	Patience time.Duration // of a caller
}

// callerPart is what callers may have of the descriptors: one in so many.
const callerPart = 3

// cell is what one agent showed.
type cell struct {
	ready                    time.Duration // until a test was passed; 0: never within Settle
	held, descriptors        int           // before callers came
	processor                float64       // cores, then
	polls                    int64         // of the bulletin, then
	callers, heldAfter, used int
	first, second            outcomes // each caller's first call, and its next 1 s later
	rss                      int64
	log                      string
}

// outcomes counts what callers were told.
type outcomes struct{ answered, refused, ended, unheard int }

func (o outcomes) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", o.answered, o.refused, o.ended, o.unheard)
}

// Run plays every list with every limit.
func (m Lists) Run(ctx context.Context, out io.Writer) error {
	r, err := newRig(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer r.close()
	most := 0
	for _, n := range m.Servers {
		most = max(most, n)
	}
	var servers []*peer
	for range most {
		p, err := r.peer("")
		if err != nil {
			return err
		}
		defer p.close()
		servers = append(servers, p)
	}
	fmt.Fprintf(out, "agents that the system holds to their descriptors (ulimit -n); callers' connections: one in %d of the limit, dialled over 1 s, a call each, 1 s later another over 1 s, and held until the last; outcomes: answered/refused/connection ended/unheard after %v\n", callerPart, m.Patience)
	fmt.Fprintf(out, "  %7s %7s | %6s %5s %5s %6s %5s | %7s %5s %5s %-17s %-17s | %6s | log: server not reached, accept failed, turned away, ended for a new one, bulletin\n", "sockets", "servers",
		"ready", "held", "fds", "cores", "polls", "callers", "held", "fds", "first call", "second call", "MB")
	for _, sockets := range m.Sockets {
		var x, y []float64
		base := 0
		for _, n := range m.Servers {
			c, err := m.play(ctx, r, servers[:n], sockets)
			if err != nil {
				return err
			}
			ready := "never"
			if c.ready > 0 {
				ready = c.ready.Round(time.Millisecond).String()
			}
			fmt.Fprintf(out, "  %7d %7d | %6s %5d %5d %6.3f %5d | %7d %5d %5d %-17s %-17s | %6.1f |%s\n", sockets, n, ready, c.held, c.descriptors, c.processor, c.polls,
				c.callers, c.heldAfter, c.used, c.first, c.second, float64(c.rss)/(1<<20), c.log)
			if c.held == n {
				base = c.descriptors - c.held
				x, y = append(x, float64(n)), append(y, float64(c.rss))
			}
		}
		if base > 0 {
			edge := sockets - sockets/callerPart - base
			fmt.Fprintf(out, "  %7d: %d descriptors beside servers and callers: by count a third for callers fits up to %d servers, %.0f%% of %d\n",
				sockets, base, edge, 100*min(float64(edge)/float64(m.Target), 1), m.Target)
		}
		if len(x) > 1 {
			fmt.Fprintf(out, "  %7d: bytes = a + b × servers, with its callers, where all are held: %s\n", sockets, fit(x, y))
		}
	}
	return nil
}

func connections(servers []*peer) (n int) {
	for _, p := range servers {
		n += int(p.open.Load())
	}
	return n
}

func (m Lists) play(ctx context.Context, r *rig, servers []*peer, sockets int) (c cell, err error) {
	a, err := r.agent(servers, limits{sockets: sockets, held: true})
	if err != nil {
		return c, err
	}
	defer func() {
		a.Kill()
		for until := time.Now().Add(2 * time.Second); connections(servers) > 0 && time.Now().Before(until); {
			time.Sleep(10 * time.Millisecond)
		}
	}()
	began := time.Now()
	if a.ready(ctx, m.Settle) == nil {
		c.ready = time.Since(began)
	}
	if ctx.Err() != nil || !a.Running() {
		return c, fmt.Errorf("agent with %d servers and %d descriptors: %s", len(servers), sockets, a.Log())
	}
	for until := began.Add(m.Settle); connections(servers) < len(servers) && time.Now().Before(until); {
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	before, err := processorTime(a.PID())
	if err != nil {
		return c, err
	}
	polls := r.polls.Load()
	time.Sleep(m.Calm)
	after, err := processorTime(a.PID())
	if err != nil {
		return c, err
	}
	c.processor, c.polls = (after-before).Seconds()/m.Calm.Seconds(), r.polls.Load()-polls
	c.held = connections(servers)
	if c.descriptors, err = descriptors(a.PID()); err != nil {
		return c, err
	}
	c.callers = sockets / callerPart
	var each sync.WaitGroup
	var mu sync.Mutex
	again, leave := make(chan struct{}), make(chan struct{}) // closed: the second calls come, callers may go
	var firsts, seconds sync.WaitGroup
	firsts.Add(c.callers)
	seconds.Add(c.callers)
	for i := range c.callers {
		each.Go(func() {
			turn := time.Second * time.Duration(i) / time.Duration(c.callers)
			time.Sleep(turn)
			k := &single{addr: a.addr, patience: m.Patience}
			defer k.close()
			k.call(&mu, &c.first)
			firsts.Done()
			<-again
			time.Sleep(turn)
			k.call(&mu, &c.second)
			seconds.Done()
			<-leave // a connection that ends makes room for another's
		})
	}
	firsts.Wait()
	c.heldAfter = connections(servers)
	if c.used, err = descriptors(a.PID()); err == nil {
		c.rss, err = resident(a.PID())
	}
	time.Sleep(time.Second)
	close(again)
	seconds.Wait()
	close(leave)
	each.Wait()
	for _, line := range []string{"setup server not reached", "accept failed", "caller turned away", "ended for a new one", "bulletin"} {
		c.log += fmt.Sprint(" ", strings.Count(a.Log(), line))
	}
	return c, err
}

// single is a caller with a connection and one call at a time.
type single struct {
	addr     string
	patience time.Duration
	conn     net.Conn
	in       *bufio.Reader
	dead     bool // nothing can come any more
}

func (k *single) close() {
	if k.conn != nil {
		k.conn.Close()
	}
}

// call places a call and counts what came of it.
func (k *single) call(mu *sync.Mutex, to *outcomes) {
	what := k.ask()
	mu.Lock()
	defer mu.Unlock()
	switch what {
	case isup.Answer:
		to.answered++
	case isup.Release:
		to.refused++
	case 0:
		to.unheard++
	default:
		to.ended++
	}
}

// ask returns the type of what ended the call's set-up; 0: nothing did in time, 255: its
// connection ended, or none was to be had.
func (k *single) ask() isup.Type {
	const ended = 255
	if k.dead {
		return ended
	}
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.addr, k.patience)
		if err != nil {
			k.dead = true
			return ended
		}
		k.conn, k.in = conn, bufio.NewReader(conn)
	}
	id := isup.CallID(ids.Add(1))
	k.conn.SetDeadline(time.Now().Add(k.patience))
	w := &wire{Conn: k.conn}
	if err := w.say(setUpMessage(id, class, left, id.String(), "offer")); err != nil {
		k.dead = true
		return ended
	}
	for {
		m, err := isup.Read(k.in)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return 0
		case err != nil:
			k.dead = true
			return ended
		case m.Call == id && (m.Type == isup.Answer || m.Type == isup.Release):
			return m.Type
		}
	}
}
