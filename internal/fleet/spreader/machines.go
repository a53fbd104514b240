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

// controlTransport is the transport of mode control: the stewards run on the control machines. Each summary
// is a request to the machine that the state names, and the view is its answer. Each machine has a goroutine
// with at most one request in progress and at most one pending summary, so that a slow or lost machine delays
// neither the other machines nor the core.
type controlTransport struct {
	spreader   *Spreader
	machines   map[string]*controlMachine
	bytes      rpcconn.Traffic
	sent       atomic.Int64 // summaries
	unanswered atomic.Int64 // summaries without a valid answer
	invalid    atomic.Int64 // answers with an invalid view

	mu          sync.Mutex
	seq         uint64 // of the latest summary
	lastSteward string // to which it was sent
}

// controlMachine is the connection to one control machine. All fields but pending belong to its goroutine.
type controlMachine struct {
	watcher.Machine
	pending  chan spread.Summary // holds the latest summary for the machine until it is sent
	conn     *rpcconn.Conn       // nil if not connected
	failures int                 // consecutive
}

// Limits of the exchange with one machine.
const (
	viewTimeoutPeriods = 3                // periods to wait for a view; the state has named the next machine by then
	minViewTimeout     = time.Second      // but at least this, also with a short period
	idleTimeout        = 10 * time.Second // a connection that carried no summary for this long is closed
	maxRetryDelay      = 2 * time.Second  // before a failed machine is asked again
	maxViewBytes       = 512 << 10        // of an answer: a view of 2,000 servers fits
)

// newControlTransport returns the transport to the machines in the file. It does not connect.
func newControlTransport(s *Spreader, file Config) *controlTransport {
	t := &controlTransport{spreader: s, machines: map[string]*controlMachine{}}
	for _, m := range file.Machines {
		t.machines[m.ID] = &controlMachine{Machine: m, pending: make(chan spread.Summary, 1)}
	}
	return t
}

func (t *controlTransport) run(ctx context.Context) {
	var work sync.WaitGroup
	defer work.Wait()
	for _, m := range t.machines {
		work.Go(func() { t.serveMachine(ctx, m) })
	}
}

func (t *controlTransport) syncState(policy.Time, *spread.State) func() { return func() {} }

func (t *controlTransport) setPeriod(time.Duration) {}

// sendSummary makes the goroutine of a machine send this summary, in place of any that is pending.
func (t *controlTransport) sendSummary(to string, sum spread.Summary) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if sum.From.Seq <= t.seq { // a later summary has been here already
		return
	}
	t.seq, t.lastSteward = sum.From.Seq, to
	for id, m := range t.machines {
		select {
		case <-m.pending: // an older summary, possibly for a machine that is no longer the steward
		default:
		}
		if id == to {
			m.pending <- sum // does not block: only this method sends, and it has just emptied the channel
		}
	}
}

// serveMachine sends one machine the summaries meant for it, until ctx ends.
func (t *controlTransport) serveMachine(ctx context.Context, m *controlMachine) {
	defer m.disconnect()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		idle.Reset(idleTimeout)
		select {
		case <-ctx.Done():
			return
		case <-idle.C:
			m.disconnect()
		case sum := <-m.pending:
			t.sent.Add(1)
			if err := t.requestView(ctx, m, sum); err != nil {
				t.handleFailure(ctx, m, err)
			} else if m.failures > 0 {
				m.failures = 0
				t.spreader.log.Info("spread: the steward's machine answers again", "machine", m.ID)
			}
		}
	}
}

// requestView sends one summary, and applies the view in the answer.
func (t *controlTransport) requestView(ctx context.Context, m *controlMachine, sum spread.Summary) error {
	timeout := max(viewTimeoutPeriods*time.Duration(t.spreader.period.Load()), minViewTimeout)
	deadline := time.Now().Add(timeout)
	if m.conn == nil {
		dialCtx, cancel := context.WithDeadline(ctx, deadline)
		defer cancel()
		conn, err := rpcconn.Dial(dialCtx, t.spreader.source, m.Client, maxViewBytes, &t.bytes)
		if err != nil {
			return err
		}
		m.conn = conn
	}
	conn := m.conn
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	var reply stewards.TellReply
	if err := conn.Call(stewards.Method, &stewards.TellArgs{Service: t.spreader.service, Summary: sum}, &reply, time.Until(deadline)); err != nil {
		return err
	}
	if err := checkView(m.ID, sum, reply.View); err != nil {
		return err
	}
	t.spreader.applyView(reply.View)
	return nil
}

// errInvalidView is returned for a view that cannot be the machine's answer to the summary.
var errInvalidView = errors.New("invalid view")

// checkView returns an error if a view is invalid, or is not the answer of machine to sum.
func checkView(machine string, sum spread.Summary, v spread.View) error {
	if err := v.Valid(); err != nil {
		return fmt.Errorf("%w: %w", errInvalidView, err)
	}
	if v.From.Name != machine {
		return fmt.Errorf("%w: from %.40q", errInvalidView, v.From.Name)
	}
	if v.Echo != sum.From {
		return fmt.Errorf("%w: in answer to summary %d of life %d of %.40q, sent was %d of life %d", errInvalidView, v.Echo.Seq, v.Echo.Life, v.Echo.Name, sum.From.Seq, sum.From.Life)
	}
	return nil
}

// handleFailure closes the connection, unless the machine itself answered with an error. It then waits for a
// random time before the machine is asked again, so that agents do not all return at once to a machine that
// starts.
func (t *controlTransport) handleFailure(ctx context.Context, m *controlMachine, err error) {
	if ctx.Err() != nil {
		return
	}
	t.unanswered.Add(1)
	if errors.Is(err, errInvalidView) || errors.Is(err, rpcconn.ErrTooLarge) || errors.Is(err, rpcconn.ErrSequence) {
		t.invalid.Add(1)
		t.spreader.log.Warn("spread: invalid view ignored; connection closed", "machine", m.ID, "error", err)
	} else if m.failures == 0 {
		t.spreader.log.Warn("spread: the steward's machine does not answer", "machine", m.ID, "error", err)
	}
	if answered := (rpcconn.ServerError{}); !errors.As(err, &answered) {
		m.disconnect()
	}
	maxDelay := min(time.Duration(t.spreader.period.Load())<<min(m.failures, 8), maxRetryDelay)
	m.failures++
	delay := time.NewTimer(time.Duration(rand.Int64N(int64(maxDelay) + 1)))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-ctx.Done():
	}
}

// disconnect closes the connection, if there is one.
func (m *controlMachine) disconnect() {
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

func (t *controlTransport) describe() (by, counts string) {
	t.mu.Lock()
	m := t.machines[t.lastSteward]
	t.mu.Unlock()
	by = "control machines"
	if m != nil {
		by = fmt.Sprintf("control machines, now %s at %s", m.ID, m.Client)
	}
	return by, fmt.Sprintf("%d not answered, %d bad", t.unanswered.Load(), t.invalid.Load())
}

func (t *controlTransport) traffic() Traffic {
	return Traffic{t.sent.Load(), t.bytes.Sent.Load(), t.bytes.Received.Load(), t.unanswered.Load(), t.invalid.Load()}
}
