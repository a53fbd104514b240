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
	"woodrouter/internal/rpcline"
	"woodrouter/policy"
	"woodrouter/spread"
)

// machines is the way of mode control: the stewards are on the control machines, and each period's
// summary is a question to the one that the state names, with the view as its answer. Each machine
// has a goroutine of its own, at most one question out and at most one summary that waits, so that
// a machine that is slow or gone holds up neither the others nor the core.
type machines struct {
	s       *Spreader
	all     map[string]*machine
	wire    rpcline.Traffic
	sent    atomic.Int64 // summaries
	unheard atomic.Int64 // of those, not answered
	bad     atomic.Int64 // answered with what can't be

	mu   sync.Mutex
	seq  uint64 // of the latest summary
	told string // whom it went to
}

// machine is one control machine as this agent talks to it. All but next is its goroutine's.
type machine struct {
	watcher.Machine
	next   chan spread.Summary // holds the latest summary for it, if that has not gone out
	line   *rpcline.Line       // nil: none
	failed int                 // in a row
}

// Bounds of the talk with one machine.
const (
	askPeriods = 3                // a view that is not there after so many is not waited for: the state has named the next machine
	askLeast   = time.Second      // but at least so long, also where the period is short
	quietFor   = 10 * time.Second // a connection that no summary went out on for so long is closed
	pauseMost  = 2 * time.Second  // before a machine that failed is asked again
	mostView   = 512 << 10        // bytes of an answer: a view of 2,000 servers
)

func openMachines(s *Spreader, file Config) *machines {
	w := &machines{s: s, all: map[string]*machine{}}
	for _, m := range file.Machines {
		w.all[m.ID] = &machine{Machine: m, next: make(chan spread.Summary, 1)}
	}
	return w
}

func (w *machines) run(ctx context.Context) {
	var talks sync.WaitGroup
	defer talks.Wait()
	for _, m := range w.all {
		talks.Go(func() { w.talk(ctx, m) })
	}
}

func (w *machines) look(policy.Time, *spread.State) func() { return func() {} }

func (w *machines) setPeriod(time.Duration) {}

// tell has a machine asked with this summary, in place of any that waits.
func (w *machines) tell(to string, sum spread.Summary) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if sum.From.Seq <= w.seq { // overtaken on its way here
		return
	}
	w.seq, w.told = sum.From.Seq, to
	for id, m := range w.all {
		select {
		case <-m.next: // an older one, perhaps for a machine that is steward no more
		default:
		}
		if id == to {
			m.next <- sum // there is room: nobody else puts any in
		}
	}
}

// talk asks one machine with each summary that is for it, until ctx ends.
func (w *machines) talk(ctx context.Context, m *machine) {
	defer m.hangUp()
	quiet := time.NewTimer(quietFor)
	defer quiet.Stop()
	for {
		quiet.Reset(quietFor)
		select {
		case <-ctx.Done():
			return
		case <-quiet.C:
			m.hangUp()
		case sum := <-m.next:
			w.sent.Add(1)
			if err := w.ask(ctx, m, sum); err != nil {
				w.fail(ctx, m, err)
			} else if m.failed > 0 {
				m.failed = 0
				w.s.log.Info("steward's machine answers again", "machine", m.ID)
			}
		}
	}
}

// ask puts one summary, and follows the view that answers it.
func (w *machines) ask(ctx context.Context, m *machine, sum spread.Summary) error {
	within := max(askPeriods*time.Duration(w.s.period.Load()), askLeast)
	ends := time.Now().Add(within)
	if m.line == nil {
		dial, cancel := context.WithDeadline(ctx, ends)
		defer cancel()
		line, err := rpcline.Dial(dial, w.s.source, m.Client, mostView, &w.wire)
		if err != nil {
			return err
		}
		m.line = line
	}
	line := m.line
	stop := context.AfterFunc(ctx, func() { line.Close() })
	defer stop()
	var r stewards.TellReply
	if err := line.Ask(stewards.Method, &stewards.TellArgs{Service: w.s.service, Summary: sum}, &r, time.Until(ends)); err != nil {
		return err
	}
	if err := proveView(m.ID, sum, r.View); err != nil {
		return err
	}
	w.s.follow(r.View)
	return nil
}

// errView is a view that the machine asked can't have given in answer.
var errView = errors.New("no view in answer")

func proveView(machine string, sum spread.Summary, v spread.View) error {
	if err := v.Valid(); err != nil {
		return fmt.Errorf("%w: %w", errView, err)
	}
	if v.From.Name != machine {
		return fmt.Errorf("%w: from %.40q", errView, v.From.Name)
	}
	if v.Echo != sum.From {
		return fmt.Errorf("%w: to summary %d of life %d of %.40q, asked with %d of life %d", errView, v.Echo.Seq, v.Echo.Life, v.Echo.Name, sum.From.Seq, sum.From.Life)
	}
	return nil
}

// fail ends the connection, but for a machine's own refusal, and waits, drawn evenly, before the
// machine is asked again: agents are not to come back in step to one that starts.
func (w *machines) fail(ctx context.Context, m *machine, err error) {
	if ctx.Err() != nil {
		return
	}
	w.unheard.Add(1)
	if errors.Is(err, errView) || errors.Is(err, rpcline.ErrSize) || errors.Is(err, rpcline.ErrSequence) {
		w.bad.Add(1)
		w.s.log.Warn("view passed over; its connection ends", "machine", m.ID, "error", err)
	} else if m.failed == 0 {
		w.s.log.Warn("steward's machine does not answer", "machine", m.ID, "error", err)
	}
	if refusal := (rpcline.Refusal{}); !errors.As(err, &refusal) {
		m.hangUp()
	}
	most := min(time.Duration(w.s.period.Load())<<min(m.failed, 8), pauseMost)
	m.failed++
	pause := time.NewTimer(time.Duration(rand.Int64N(int64(most) + 1)))
	defer pause.Stop()
	select {
	case <-pause.C:
	case <-ctx.Done():
	}
}

func (m *machine) hangUp() {
	if m.line != nil {
		m.line.Close()
		m.line = nil
	}
}

func (w *machines) say() (by, counts string) {
	w.mu.Lock()
	m := w.all[w.told]
	w.mu.Unlock()
	by = "control machines"
	if m != nil {
		by = fmt.Sprintf("control machines, now %s at %s", m.ID, m.Client)
	}
	return by, fmt.Sprintf("%d not answered, %d bad", w.unheard.Load(), w.bad.Load())
}

func (w *machines) traffic() Traffic {
	return Traffic{w.sent.Load(), w.wire.Sent.Load(), w.wire.Received.Load(), w.unheard.Load(), w.bad.Load()}
}
