package spreader

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/internal/fleet/stewards"
	"woodrouter/internal/fleet/watcher"
	"woodrouter/internal/rpcconn"
	"woodrouter/policy"
	"woodrouter/spread"
)

// controlTransport is the way of mode control: the stewards are on the control machines, and each period's
// summary is a question to the one that the state names, with the view as its answer. Each machine
// has a goroutine of its own, at most one question out and at most one summary that waits, so that
// a machine that is slow or gone holds up neither the others nor the core.
type controlTransport struct {
	spreader   *Spreader
	machines   map[string]*controlMachine
	bytes      rpcconn.Traffic
	sent       atomic.Int64 // summaries
	unanswered atomic.Int64 // of those, not answered
	invalid    atomic.Int64 // answered with what can't be

	mu          sync.Mutex
	seq         uint64 // of the latest summary
	lastSteward string // whom it went to
}

// controlMachine is one control machine as this agent talks to it. All but next is its goroutine's.
type controlMachine struct {
	watcher.Machine
	pending  chan spread.Summary // holds the latest summary for it, if that has not gone out
	conn     *rpcconn.Conn       // nil: none
	failures int                 // in a row
}

// Bounds of the talk with one machine.
const (
	viewTimeoutPeriods = 3                // a view that is not there after so many is not waited for: the state has named the next machine
	minViewTimeout     = time.Second      // but at least so long, also where the period is short
	idleTimeout        = 10 * time.Second // a connection that no summary went out on for so long is closed
	maxRetryDelay      = 2 * time.Second  // before a machine that failed is asked again
	maxViewBytes       = 512 << 10        // bytes of an answer: a view of 2,000 servers
)

func newControlTransport(s *Spreader, file Config) *controlTransport {
	w := &controlTransport{spreader: s, machines: map[string]*controlMachine{}}
	for _, m := range file.Machines {
		w.machines[m.ID] = &controlMachine{Machine: m, pending: make(chan spread.Summary, 1)}
	}
	return w
}

func (w *controlTransport) run(ctx context.Context) {
	var talks sync.WaitGroup
	defer talks.Wait()
	for _, m := range w.machines {
		talks.Go(func() { w.serveMachine(ctx, m) })
	}
}

func (w *controlTransport) syncState(policy.Time, *spread.State) func() { return func() {} }

func (w *controlTransport) setPeriod(time.Duration) {}

// sendSummary has a machine asked with this summary, in place of any that waits.
func (w *controlTransport) sendSummary(to string, sum spread.Summary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if sum.From.Seq <= w.seq { // overtaken on its way here
		return
	}
	w.seq, w.lastSteward = sum.From.Seq, to
	for id, m := range w.machines {
		select {
		case <-m.pending: // an older one, perhaps for a machine that is steward no more
		default:
		}
		if id == to {
			m.pending <- sum // there is room: nobody else puts any in
		}
	}
}

// serveMachine asks one machine with each summary that is for it, until ctx ends.
func (w *controlTransport) serveMachine(ctx context.Context, m *controlMachine) {
	defer m.disconnect()
	quiet := time.NewTimer(idleTimeout)
	defer quiet.Stop()
	for {
		quiet.Reset(idleTimeout)
		select {
		case <-ctx.Done():
			return
		case <-quiet.C:
			m.disconnect()
		case sum := <-m.pending:
			w.sent.Add(1)
			if err := w.requestView(ctx, m, sum); err != nil {
				w.handleFailure(ctx, m, err)
			} else if m.failures > 0 {
				m.failures = 0
				w.spreader.log.Info("steward's machine answers again", "machine", m.ID)
			}
		}
	}
}

// requestView puts one summary, and follows the view that answers it.
func (w *controlTransport) requestView(ctx context.Context, m *controlMachine, sum spread.Summary) error {
	within := max(viewTimeoutPeriods*time.Duration(w.spreader.period.Load()), minViewTimeout)
	ends := time.Now().Add(within)
	if m.conn == nil {
		dial, cancel := context.WithDeadline(ctx, ends)
		defer cancel()
		line, err := rpcconn.Dial(dial, w.spreader.source, m.Client, maxViewBytes, &w.bytes)
		if err != nil {
			return err
		}
		m.conn = line
	}
	line := m.conn
	stop := context.AfterFunc(ctx, func() { line.Close() })
	defer stop()
	var r stewards.TellReply
	if err := line.Call(stewards.Method, &stewards.TellArgs{Service: w.spreader.service, Summary: sum}, &r, time.Until(ends)); err != nil {
		return err
	}
	if err := checkView(m.ID, sum, r.View); err != nil {
		return err
	}
	w.spreader.applyView(r.View)
	return nil
}

// errInvalidView is a view that the machine asked can't have given in answer.
var errInvalidView = errors.New("no view in answer")

func checkView(machine string, sum spread.Summary, v spread.View) error {
	if err := v.Valid(); err != nil {
		return fmt.Errorf("%w: %w", errInvalidView, err)
	}
	if v.From.Name != machine {
		return fmt.Errorf("%w: from %.40q", errInvalidView, v.From.Name)
	}
	if v.Echo != sum.From {
		return fmt.Errorf("%w: to summary %d of life %d of %.40q, asked with %d of life %d", errInvalidView, v.Echo.Seq, v.Echo.Life, v.Echo.Name, sum.From.Seq, sum.From.Life)
	}
	return nil
}

// handleFailure ends the connection, but for a machine's own refusal, and waits, drawn evenly, before the
// machine is asked again: agents are not to come back in step to one that starts.
func (w *controlTransport) handleFailure(ctx context.Context, m *controlMachine, err error) {
	if ctx.Err() != nil {
		return
	}
	w.unanswered.Add(1)
	if errors.Is(err, errInvalidView) || errors.Is(err, rpcconn.ErrTooLarge) || errors.Is(err, rpcconn.ErrSequence) {
		w.invalid.Add(1)
		w.spreader.log.Warn("view passed over; its connection ends", "machine", m.ID, "error", err)
	} else if m.failures == 0 {
		w.spreader.log.Warn("steward's machine does not answer", "machine", m.ID, "error", err)
	}
	if refusal := (rpcconn.ServerError{}); !errors.As(err, &refusal) {
		m.disconnect()
	}
	most := min(time.Duration(w.spreader.period.Load())<<min(m.failures, 8), maxRetryDelay)
	m.failures++
	pause := time.NewTimer(time.Duration(rand.Int64N(int64(most) + 1)))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}

func (m *controlMachine) disconnect() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

func (w *controlTransport) describe() (by, counts string) {
	w.mu.Lock()
	m := w.machines[w.lastSteward]
	w.mu.Unlock()
	by = "control machines"
	if m != nil {
		by = fmt.Sprintf("control machines, now %s at %s", m.ID, m.Client)
	}
	return by, fmt.Sprintf("%d not answered, %d bad", w.unanswered.Load(), w.invalid.Load())
}

func (w *controlTransport) traffic() Traffic {
	return Traffic{w.sent.Load(), w.bytes.Sent.Load(), w.bytes.Received.Load(), w.unanswered.Load(), w.invalid.Load()}
}
