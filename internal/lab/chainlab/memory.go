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

// Memory measures an agent's resident memory as a function of the number of standing calls, of calls that
// wait for their answer, and of idle connections of callers.
type Memory struct {
	Bin, Dir    string
	Step        int // standing calls added between samples; a fifth as many of the other kinds
	Samples     int
	Repeats     int // repetitions, each with a fresh agent
	MemoryMB    int
	CallRate    float64       // calls per second while calls are added
	SettleAfter time.Duration // time from the last call to a sample
}

// smallStepDivisor divides Memory.Step: the quotient is the step for waiting calls and for connections.
// waitingSettleTime is the time from the last call to a sample of waiting calls: they end at their
// deadline, so all samples must come before it.
const (
	smallStepDivisor  = 5
	waitingSettleTime = 500 * time.Millisecond
)

// heldKind is a kind of object that an agent holds in memory.
type heldKind struct {
	name        string
	step        int
	settle      time.Duration
	startServer func() (*chainServer, error)
	add         func(context.Context, *agent, *holdings, int) error
}

// Run measures and reports every kind.
func (m Memory) Run(ctx context.Context, out io.Writer) error {
	bed, err := newTestbed(m.Bin, m.Dir)
	if err != nil {
		return err
	}
	defer bed.close()
	fmt.Fprintf(out, "resident memory (VmRSS) of one agent, limit %d MB; the system's own memory of sockets is not in it\n", m.MemoryMB)
	answering := func() (*chainServer, error) { return bed.startServer("") }
	for _, kind := range []heldKind{
		{"calls that stand", m.Step, m.SettleAfter, answering, m.addStanding},
		{"calls that wait for their answer", m.Step / smallStepDivisor, min(m.SettleAfter, waitingSettleTime), bed.startMuteServer, m.addWaiting},
		{"idle connections of callers", m.Step / smallStepDivisor, m.SettleAfter, answering, addIdleConnections},
	} {
		if err := m.measure(ctx, out, bed, kind); err != nil {
			return err
		}
	}
	return nil
}

// measure adds objects of one kind to fresh agents step by step, and fits a line to the resident memory.
func (m Memory) measure(ctx context.Context, out io.Writer, bed *testbed, kind heldKind) error {
	fmt.Fprintf(out, "\n%s\n", kind.name)
	var x, y []float64
	for range m.Repeats {
		err := func() error {
			server, err := kind.startServer()
			if err != nil {
				return err
			}
			defer server.close()
			process, err := bed.startAgent([]*chainServer{server}, limits{memoryMB: m.MemoryMB, sockets: 16384})
			if err != nil {
				return err
			}
			defer process.Kill()
			if err := process.awaitReady(ctx, readyTimeout); err != nil {
				return err
			}
			held := &holdings{}
			defer held.close()
			for sample := range m.Samples {
				if sample > 0 {
					if err := kind.add(ctx, process, held, kind.step); err != nil {
						return err
					}
				}
				select {
				case <-ctx.Done():
					return ctx.Err()
				case <-time.After(kind.settle):
				}
				rss, err := residentBytes(process.PID())
				if err != nil {
					return err
				}
				fds, err := countDescriptors(process.PID())
				if err != nil {
					return err
				}
				fmt.Fprintf(out, "  %6d: %6d KB, %d descriptors; %d calls refused, %d set-ups at its server\n", held.count, rss>>10, fds, held.refused, server.setUps.Load())
				x, y = append(x, float64(held.count)), append(y, float64(rss))
			}
			return nil
		}()
		if err != nil {
			return err
		}
	}
	fmt.Fprintf(out, "  bytes = a + b × %s: %s\n", kind.name, formatFit(x, y))
	return nil
}

// holdings are the objects that an agent holds.
type holdings struct {
	callers *callerConn
	conns   []net.Conn
	count   int // current number of objects
	refused int // number of refused calls
}

func (h *holdings) close() {
	if h.callers != nil {
		h.callers.conn.Close()
		h.callers.readers.Wait()
	}
	for _, c := range h.conns {
		c.Close()
	}
}

// placeCalls places n more calls at an agent, over one connection.
func (m Memory) placeCalls(ctx context.Context, a *agent, held *holdings, n int) (err error) {
	if held.callers == nil {
		if held.callers, err = dialCallers(a.addr, 1, true); err != nil {
			return err
		}
	}
	held.callers.placeCalls(ctx, load{rate: m.CallRate, span: time.Hour, maxCalls: n, seed: 1}, func() {})
	return ctx.Err()
}

// addStanding adds n standing calls.
func (m Memory) addStanding(ctx context.Context, a *agent, held *holdings, n int) error {
	if err := m.placeCalls(ctx, a, held, n); err != nil {
		return err
	}
	held.callers.awaitAnswers()
	held.callers.mu.Lock()
	defer held.callers.mu.Unlock()
	held.count, held.refused = held.callers.result.answered, held.callers.result.refused
	return nil
}

// addWaiting adds n calls that wait for their answer.
func (m Memory) addWaiting(ctx context.Context, a *agent, held *holdings, n int) error {
	if err := m.placeCalls(ctx, a, held, n); err != nil {
		return err
	}
	held.callers.mu.Lock()
	defer held.callers.mu.Unlock()
	held.count, held.refused = held.callers.pending, held.callers.result.refused
	return nil
}

// addIdleConnections adds n connections of callers that have sent one test and stay idle.
func addIdleConnections(_ context.Context, a *agent, held *holdings, n int) error {
	for range n {
		conn, err := net.DialTimeout("tcp", a.addr, time.Second)
		if err != nil {
			return err
		}
		held.conns = append(held.conns, conn)
		held.count = len(held.conns)
		mc := &messageConn{Conn: conn}
		if err := mc.send(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed)); err != nil {
			return err
		}
		conn.SetReadDeadline(time.Now().Add(5 * time.Second))
		if _, err := isup.Read(bufio.NewReader(conn)); err != nil {
			return fmt.Errorf("connection %d: %w", len(held.conns), err)
		}
	}
	return nil
}
