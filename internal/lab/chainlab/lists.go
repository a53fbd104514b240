package chainlab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"woodrouter/isup"
)

// Lists measures how an agent gets on with long lists of setup servers and few descriptors: it
// keeps a connection to each server that is up, or to a subset where the list does not fit in its
// part of the descriptors, and callers may have a third of the limit. Where it keeps a subset, calls
// whose first choice has no connection tell what a dial on demand adds to them.
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
	demand                   demand
	stood                    demand // calls that were not released, at more servers than the agent has places for
}

// demand is what calls whose first choice had no connection showed, and the next call to each of those
// servers, which had one then.
type demand struct {
	asked, there, elsewhere int // answered by the server asked for, by another
	refused                 int // or not at all
	dialled, connected      []time.Duration
}

// demandMost is how many servers without a connection are asked for.
const demandMost = 20

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
			if d := c.demand; d.asked > 0 {
				fmt.Fprintf(out, "  %7s %7s   first choice without a connection: %d asked for, %d answered there, %d elsewhere; answer after %s, the next call to the same after %s (p50, longest)\n",
					"", "", d.asked, d.there, d.elsewhere, spanOf(d.dialled), spanOf(d.connected))
				s := c.stood
				fmt.Fprintf(out, "  %7s %7s   the same, all left standing: %d asked for, %d answered there, %d elsewhere, %d not; answer there after %s, elsewhere after %s\n",
					"", "", s.asked, s.there, s.elsewhere, s.refused, spanOf(s.dialled), spanOf(s.connected))
			}
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
	if c.demand, err = m.onDemand(ctx, a.addr, servers); err != nil {
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
	if c.demand.asked > 0 {
		c.stood = m.standing(ctx, a.addr, servers, sockets/standingPart)
	}
	close(leave)
	each.Wait()
	for _, line := range []string{"setup server not reached", "accept failed", "caller turned away", "ended for a new one", "bulletin"} {
		c.log += fmt.Sprint(" ", strings.Count(a.Log(), line))
	}
	return c, err
}

// spanOf words the median and the longest of some times.
func spanOf(all []time.Duration) string {
	if len(all) == 0 {
		return "-"
	}
	slices.Sort(all)
	return fmt.Sprintf("%v, %v", all[len(all)/2].Round(time.Microsecond), all[len(all)-1].Round(time.Microsecond))
}

// onDemand places two calls, one after the other, to each of some servers to which the agent has no
// connection. Each is released once it is answered. The agent may take the places of the
// connections made here again after that.
func (m Lists) onDemand(ctx context.Context, addr string, servers []*peer) (d demand, err error) {
	k := &single{addr: addr, patience: m.Patience}
	defer k.close()
	for i, p := range servers {
		if d.asked == demandMost || ctx.Err() != nil {
			break
		}
		if p.open.Load() > 0 {
			continue
		}
		d.asked++
		k.figures = fmt.Sprintf("dest:%d;%s", i, figures)
		for range 2 {
			before, began := p.setUps.Load(), time.Now()
			id, what := k.ask()
			took := time.Since(began)
			if what != isup.Answer {
				return d, fmt.Errorf("call to server %d without a connection: not answered (%d)", i, what)
			}
			there := p.setUps.Load() > before
			switch {
			case len(d.dialled) == len(d.connected) && there:
				d.there++
				d.dialled = append(d.dialled, took)
			case there:
				d.connected = append(d.connected, took)
			default:
				d.elsewhere++
			}
			if err := k.release(id); err != nil {
				return d, err
			}
			if !there {
				break
			}
		}
	}
	if d.asked > 0 {
		time.Sleep(2 * time.Second) // their places may be taken again, and they are idle
	}
	return d, ctx.Err()
}

// standingPart is the part of the descriptors, one in so many, that is the number of calls left standing.
const standingPart = 4

// standing places a call to each of some servers to which the agent has no connection, and leaves it
// standing. connected are the answers of other servers than were asked for.
func (m Lists) standing(ctx context.Context, addr string, servers []*peer, most int) (d demand) {
	k := &single{addr: addr, patience: m.Patience}
	defer k.close()
	for i, p := range servers {
		if d.asked == most || ctx.Err() != nil {
			break
		}
		if p.open.Load() > 0 {
			continue
		}
		d.asked++
		k.figures = fmt.Sprintf("dest:%d;%s", i, figures)
		before, began := p.setUps.Load(), time.Now()
		_, what := k.ask()
		took := time.Since(began)
		switch {
		case what != isup.Answer:
			d.refused++
		case p.setUps.Load() > before:
			d.there++
			d.dialled = append(d.dialled, took)
		default:
			d.elsewhere++
			d.connected = append(d.connected, took)
		}
	}
	return d
}

// single is a caller with a connection and one call at a time.
type single struct {
	addr     string
	patience time.Duration
	conn     net.Conn
	in       *bufio.Reader
	dead     bool   // nothing can come any more
	figures  string // of its set-ups; "": no first choice
}

func (k *single) close() {
	if k.conn != nil {
		k.conn.Close()
	}
}

// call places a call and counts what came of it.
func (k *single) call(mu *sync.Mutex, to *outcomes) {
	_, what := k.ask()
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

// release ends a call that stands.
func (k *single) release(id isup.CallID) error {
	return (&wire{Conn: k.conn}).say(isup.Message{Type: isup.Release, Call: id}.WithCause(isup.Normal))
}

// ask places a call and returns the type of what ended its set-up; 0: nothing did in time, 255: its
// connection ended, or none was to be had.
func (k *single) ask() (id isup.CallID, what isup.Type) {
	const ended = 255
	if k.dead {
		return 0, ended
	}
	if k.conn == nil {
		conn, err := net.DialTimeout("tcp", k.addr, k.patience)
		if err != nil {
			k.dead = true
			return 0, ended
		}
		k.conn, k.in = conn, bufio.NewReader(conn)
	}
	id = isup.CallID(ids.Add(1))
	k.conn.SetDeadline(time.Now().Add(k.patience))
	w := &wire{Conn: k.conn}
	m := setUpMessage(id, class, left, id.String(), "offer")
	if k.figures != "" {
		m.Values[3].Data = []byte(k.figures)
	}
	if err := w.say(m); err != nil {
		k.dead = true
		return id, ended
	}
	for {
		m, err := isup.Read(k.in)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return id, 0
		case err != nil:
			k.dead = true
			return id, ended
		case m.Call == id && (m.Type == isup.Answer || m.Type == isup.Release):
			return id, m.Type
		}
	}
}
