package chainlab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"time"

	"woodrouter/isup"
)

// Memory measures the resident memory of one agent: by calls that stand, by calls that wait for
// their answer, and by callers' connections that are idle.
type Memory struct {
	Bin, Dir    string
	Step        int // calls that stand between two looks; a fifth as many of the others
	Looks       int
	Repeats     int // each with a fresh agent
	MemoryMB    int
	CallRate    float64       // at which calls are set up
	SettleAfter time.Duration // a look comes so long after the last call
}

// lessStep is how many calls that wait, or connections, there are for each step of calls that
// stand: one in so many. waitSettle is the time to a look at calls that wait: they end at their
// deadline, so all looks come before it.
const (
	lessStep   = 5
	waitSettle = 500 * time.Millisecond
)

// kind is something that an agent holds.
type kind struct {
	what   string
	step   int
	settle time.Duration
	server func() (*peer, error)
	add    func(context.Context, *agent, *growth, int) error
}

// Run tells of each.
func (m Memory) Run(ctx context.Context, out io.Writer) error {
	r, err := newRig(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer r.close()
	fmt.Fprintf(out, "resident memory (VmRSS) of one agent, limit %d MB; the system's own memory of sockets is not in it\n", m.MemoryMB)
	answering := func() (*peer, error) { return r.peer("") }
	for _, k := range []kind{
		{"calls that stand", m.Step, m.SettleAfter, answering, m.stand},
		{"calls that wait for their answer", m.Step / lessStep, min(m.SettleAfter, waitSettle), r.mutePeer, m.wait},
		{"idle connections of callers", m.Step / lessStep, m.SettleAfter, answering, idle},
	} {
		if err := m.grow(ctx, out, r, k); err != nil {
			return err
		}
	}
	return nil
}

// grow adds step after step of a kind to fresh agents, and fits resident memory to it.
func (m Memory) grow(ctx context.Context, out io.Writer, r *rig, k kind) error {
	fmt.Fprintf(out, "\n%s\n", k.what)
	var x, y []float64
	for range m.Repeats {
		err := func() error {
			p, err := k.server()
			if err != nil {
				return err
			}
			defer p.close()
			a, err := r.agent([]*peer{p}, limits{memoryMB: m.MemoryMB, sockets: 16384})
			if err != nil {
				return err
			}
			defer a.Kill()
			if err := a.ready(ctx, readyMost); err != nil {
				return err
			}
			g := &growth{}
			defer g.close()
			for look := range m.Looks {
				if look > 0 {
					if err := k.add(ctx, a, g, k.step); err != nil {
						return err
					}
				}
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(k.settle):
				}
				rss, err := resident(a.PID())
				if err != nil {
					return err
				}
				fds, err := descriptors(a.PID())
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "  %6d: %6d KB, %d descriptors; %d calls refused, %d set-ups at its server\n", g.held, rss>>10, fds, g.refused, p.setUps.Load())
				x, y = append(x, float64(g.held)), append(y, float64(rss))
			}
			return nil
		}()
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "  bytes = a + b × %s: %s\n", k.what, fit(x, y))
	return nil
}

// growth is what an agent holds.
type growth struct {
	callers *callers
	conns   []net.Conn
	held    int // now, of the kind
	refused int // calls that were
}

func (g *growth) close() {
	if g.callers != nil {
		g.callers.wire.Close()
		g.callers.readers.Wait()
	}
	for _, c := range g.conns {
		c.Close()
	}
}

// place has n more calls come to an agent, over one connection.
func (m Memory) place(ctx context.Context, a *agent, g *growth, n int) (err error) {
	if g.callers == nil {
		if g.callers, err = dial(a.addr, 1, true); err != nil {
			return err
		}
	}
	g.callers.send(ctx, load{rate: m.CallRate, span: time.Hour, most: n, seed: 1}, func() {})
	return ctx.Err()
}

// stand adds calls that stand.
func (m Memory) stand(ctx context.Context, a *agent, g *growth, n int) error {
	if err := m.place(ctx, a, g, n); err != nil {
		return err
	}
	g.callers.drain()
	g.callers.mu.Lock()
	defer g.callers.mu.Unlock()
	g.held, g.refused = g.callers.res.answered, g.callers.res.refused
	return nil
}

// wait adds calls that wait for their answer.
func (m Memory) wait(ctx context.Context, a *agent, g *growth, n int) error {
	if err := m.place(ctx, a, g, n); err != nil {
		return err
	}
	g.callers.mu.Lock()
	defer g.callers.mu.Unlock()
	g.held, g.refused = g.callers.open, g.callers.res.refused
	return nil
}

// idle adds connections of callers that have asked once and say nothing more.
func idle(_ context.Context, a *agent, g *growth, n int) error {
	for range n {
		conn, err := net.DialTimeout("tcp", a.addr, time.Second)
		if err != nil {
			return err
		}
		g.conns = append(g.conns, conn)
		g.held = len(g.conns)
		w := &wire{Conn: conn}
		if err := w.say(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed)); err != nil {
			return err
		}
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := isup.Read(bufio.NewReader(conn)); err != nil {
			return fmt.Errorf("connection %d: %w", len(g.conns), err)
		}
	}
	return nil
}
