// Package watcher is a call agent's side of the distribution of configuration: it watches one
// control machine, has the agent's loaders judge what comes, keeps the last known good on disk,
// and moves to another machine when that one is late, gone, behind, or tells what can't be. It
// decides nothing about stages and scopes: package rollout does. docs/rollout.md.
package watcher

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"woodrouter/internal/rpcconn"
	"woodrouter/rollout"
)

// Loader is what takes documents in an agent, by their kinds. Its methods are called one at a
// time, from Open and from Run.
type Loader interface {
	// Check proves a text as the agent would at its start, and changes nothing.
	Check(kind string, text []byte) error
	// Apply puts a document in force for what comes from now on; ok false: none is distributed
	// any more, and the agent's own file holds again.
	Apply(kind string, d rollout.Document, ok bool) error
	// Calls are those ended since the process started, and those of them that failed.
	Calls() (ended, failed uint64)
}

// What ends a watch beside the network's errors.
var (
	errBehind        = errors.New("the machine knows less than this agent holds")
	errLagging       = errors.New("the machine hears no leader")
	errReturnToFirst = errors.New("its turn with this machine is over")
)

// Pauses between two tries. They are drawn evenly from nothing up to their most (full jitter), so
// that a fleet does not come back in step; all machines are tried within a few seconds.
const (
	initialRetryDelay  = 300 * time.Millisecond // before the next machine; before a round of them it doubles each time
	maxRetryDelay      = 2 * time.Second
	firstWatchPatience = 100 * time.Millisecond // the first watch's patience on a connection: a machine that is silent shows soon
	minWatchInterval   = 100 * time.Millisecond // between two watches that brought nothing and were not waited for
	laggingStay        = 3 * time.Second        // with a machine that lags where all do, and up to as much again
	minTimeAway        = 20 * time.Second       // from the first choice, and up to as much again
	saveRetryDelay     = 3 * time.Second        // after a save that failed, and up to as much again
)

// maxAnswerBytes bounds what a machine may send for one watch: an agent's documents of a few kinds,
// one of each scope, at their largest.
const maxAnswerBytes = 6 << 20

// minWatchPatience is the shortest patience asked with.
const minWatchPatience = 50 * time.Millisecond

// Watcher is an agent's client. One goroutine, Run's, owns all but view and counts.
type Watcher struct {
	cfg       Config
	timing    timing
	agent     rollout.Agent
	kinds     []string
	loader    Loader
	log       *slog.Logger
	machines  []Machine // the first choice first
	writeFile func(path string, data []byte) error

	documents   *rollout.DocumentSet
	inForce     map[string]uint64 // by kind, as the loader last took it
	seq         uint64
	saved       map[string]uint64 // what was accepted, as it stands on disk
	saveRetryAt time.Time         // a save that failed is tried again then; zero: all is saved

	current      int // the machine watched, in order
	tried        int // machines tried since the last good answer
	laggingUntil time.Time
	returnAt     time.Time
	lastAnswer   time.Time // the last good answer
	lagging      bool
	connected    bool

	status  atomic.Pointer[status]
	traffic rpcconn.Traffic
	counts  struct{ watches, moves, forged, behind, refused atomic.Int64 }
}

// status is what others may see of the watcher. It is replaced, never changed.
type status struct {
	machine         string // "": none just now
	lastAnswer      time.Time
	version         uint64
	lagging         bool
	unsaved         bool
	inForce         map[string]uint64
	names           map[string]string // of the documents in force, by kind
	known, accepted map[string]uint64
	refused         []rollout.Refusal
}

// Open reads the last known good from the disk and has the loader take it, before anything is
// asked of a machine. Only a configuration that can't be used is an error.
func Open(cfg Config, agent rollout.Agent, kinds []string, l Loader, log *slog.Logger) (*Watcher, error) {
	s, err := cfg.parseTiming()
	if err != nil {
		return nil, err
	}
	cfg.Life = cmp.Or(cfg.Life, time.Now().UnixMicro())
	w := &Watcher{cfg: cfg, timing: s, agent: agent, kinds: kinds, loader: l, log: log, writeFile: writeFileAtomically,
		machines: rankMachines(cfg.Machines, agent.Name, agent.Region), inForce: map[string]uint64{}}
	w.documents = w.loadLastKnownGood()
	w.saved, _ = w.documents.Report()
	for _, d := range w.documents.Pending() {
		w.review(d)
	}
	w.applyEffective()
	w.publish()
	return w, nil
}

// Run watches until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	for ctx.Err() == nil {
		err := w.watchMachine(ctx)
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, errReturnToFirst) {
			w.current, w.connected = 0, false
		} else {
			w.advance(err)
		}
		w.publish()
		sleep(ctx, w.retryDelay())
	}
}

// advance goes to the next machine.
func (w *Watcher) advance(err error) {
	m := w.machines[w.current]
	switch {
	case w.connected:
		w.log.Warn("rollout: machine left", "machine", m.ID, "error", err)
	case w.tried+1 == len(w.machines):
		w.log.Warn("rollout: no machine answers; serving on with what is held", "last", m.ID, "error", err)
	default:
		w.log.Debug("rollout: machine passed", "machine", m.ID, "error", err)
	}
	w.connected = false
	w.counts.moves.Add(1)
	w.current = (w.current + 1) % len(w.machines)
	w.tried++
}

// retryDelay is how long to wait before the machine at hand is tried.
func (w *Watcher) retryDelay() time.Duration {
	most := initialRetryDelay
	if w.tried > 0 && w.tried%len(w.machines) == 0 {
		most = min(initialRetryDelay<<min(w.tried/len(w.machines)-1, 8), maxRetryDelay)
	}
	return randomUpTo(most)
}

func randomUpTo(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }

// sleep waits, or less if the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// watchMachine watches one machine until there is a reason to leave it.
func (w *Watcher) watchMachine(ctx context.Context) error {
	l, err := rpcconn.Dial(ctx, w.cfg.Source, w.machines[w.current].Client, maxAnswerBytes, &w.traffic)
	if err != nil {
		return err
	}
	defer l.Close()
	stop := context.AfterFunc(ctx, func() { l.Close() })
	defer stop()
	w.returnAt = time.Now().Add(minTimeAway + randomUpTo(minTimeAway))
	for patience, first := firstWatchPatience, true; ; first = false {
		began := time.Now()
		w.counts.watches.Add(1)
		var r rollout.WatchReply
		if err := l.Call("Rollout.Watch", w.watchArgs(patience), &r, patience+w.timing.grace); err != nil {
			if errors.Is(err, rpcconn.ErrTooLarge) || errors.Is(err, rpcconn.ErrSequence) {
				w.counts.forged.Add(1)
				w.log.Error("rollout: answer not taken; its watch ends", "machine", w.machines[w.current].ID, "error", err)
			}
			return err
		}
		news, err := w.handleReply(r)
		if err != nil {
			return err
		}
		if !first && !r.Lagging {
			w.tried = 0
		}
		if patience, err = w.nextPatience(r); err != nil {
			return err
		}
		if quick := time.Since(began) < minWatchInterval/2; quick && !news {
			sleep(ctx, minWatchInterval/2+randomUpTo(minWatchInterval/2))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// nextPatience is the patience of the next watch at this machine, or why there is none.
func (w *Watcher) nextPatience(r rollout.WatchReply) (time.Duration, error) {
	now := time.Now()
	patience := w.timing.patience*9/10 + randomUpTo(w.timing.patience/5)
	if again := time.Duration(r.AgainMs) * time.Millisecond; again > 0 {
		patience = min(patience, again)
	}
	switch {
	case r.Lagging && now.Before(w.laggingUntil): // all lag, and this one is as good as any
		patience = min(patience, w.laggingUntil.Sub(now))
	case r.Lagging && w.tried < len(w.machines)-1:
		return 0, errLagging
	case r.Lagging:
		w.log.Warn("rollout: no machine hears a leader; staying with this one", "machine", r.Machine)
		w.laggingUntil, w.tried = now.Add(laggingStay+randomUpTo(laggingStay)), 0
		patience = min(patience, w.laggingUntil.Sub(now))
	case w.current != 0 && now.After(w.returnAt):
		return 0, errReturnToFirst
	}
	return max(patience, minWatchPatience), nil
}

// watchArgs words the agent's report and its question.
func (w *Watcher) watchArgs(patience time.Duration) rollout.WatchArgs {
	w.seq++
	seen, refused := w.documents.Report()
	if !w.saveRetryAt.IsZero() { // what is not kept is not acknowledged: a restart would go back below it
		seen = w.saved
	}
	calls, failed := w.loader.Calls()
	return rollout.WatchArgs{Have: w.documents.KnownRevisions(), Version: w.documents.Version(), PatienceMs: patience.Milliseconds(),
		Report: rollout.Report{Agent: w.agent, Life: w.cfg.Life, Seq: w.seq, Seen: seen, InForce: maps.Clone(w.inForce),
			Refused: refused, Calls: calls, Failed: failed}}
}

// handleReply proves an answer and has what is new in it judged, put in force and saved.
func (w *Watcher) handleReply(r rollout.WatchReply) (news bool, err error) {
	machine := w.machines[w.current].ID
	if w.documents.IsBehind(r) {
		w.counts.behind.Add(1)
		return false, fmt.Errorf("%w: version %d, held %d", errBehind, r.Version, w.documents.Version())
	}
	fresh, err := w.documents.Receive(r)
	if err != nil {
		w.counts.forged.Add(1)
		w.log.Error("rollout: answer not taken; its watch ends", "machine", machine, "error", err)
		return false, err
	}
	if !w.connected {
		w.connected = true
		w.log.Info("rollout: watching", "machine", machine, "version", r.Version, "lagging", r.Lagging)
	}
	w.lastAnswer, w.lagging = time.Now(), r.Lagging
	for _, d := range fresh {
		w.review(d)
	}
	if len(fresh) > 0 {
		w.applyEffective()
	}
	if len(fresh) > 0 || !w.saveRetryAt.IsZero() && time.Now().After(w.saveRetryAt) {
		w.save()
	}
	w.publish()
	return len(fresh) > 0, nil
}

// review has the loader prove one document.
func (w *Watcher) review(d rollout.Document) {
	if d.Removed {
		w.documents.Accept(d)
		return
	}
	if err := w.check(d); err != nil {
		w.refuse(d, err, "the former one stays")
		return
	}
	w.documents.Accept(d)
}

// check is the loader's word; a text on which it panics is one it can't take.
func (w *Watcher) check(d rollout.Document) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("%s: the loader panicked: %v", d.Name, r)
		}
	}()
	if !slices.Contains(w.kinds, d.Name.Kind) {
		return fmt.Errorf("%s: this agent takes no documents of kind %s", d.Name, d.Name.Kind)
	}
	return w.loader.Check(d.Name.Kind, d.Text)
}

// refuse says no to a document.
func (w *Watcher) refuse(d rollout.Document, err error, what string) {
	w.documents.Refuse(d, strings.ToValidUTF8(err.Error(), "?"))
	w.counts.refused.Add(1)
	w.log.Error("rollout: revision refused; "+what, "name", d.Name.String(), "revision", d.Revision, "error", err)
}

// applyEffective puts in force what is effective by now, of each kind. A document that was proved and
// still does not take effect, as after a restart by a new program, is refused: what holds without
// it does, a wider document or the agent's own file.
func (w *Watcher) applyEffective() {
	for _, kind := range w.kinds {
		for {
			d, ok := w.documents.Effective(kind)
			if d.Revision == w.inForce[kind] && ok == (w.inForce[kind] != 0) {
				break
			}
			err := w.apply(kind, d, ok)
			if err == nil {
				w.inForce[kind] = 0
				if ok {
					w.inForce[kind] = d.Revision
				}
				w.log.Info("rollout: in force", "kind", kind, "name", describeSource(d, ok), "revision", w.inForce[kind])
				break
			}
			if !ok {
				w.log.Error("rollout: the agent's own file can't be taken again; what is in force stays", "kind", kind, "error", err)
				break
			}
			w.refuse(d, err, "what holds without it does")
		}
	}
}

func (w *Watcher) apply(kind string, d rollout.Document, ok bool) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the loader panicked: %v", r)
		}
	}()
	return w.loader.Apply(kind, d, ok)
}

func describeSource(d rollout.Document, ok bool) string {
	if !ok {
		return "the agent's own file"
	}
	return d.Name.String()
}

// save keeps what is held. Where the disk does not take it, it holds all the same, and is not
// acknowledged until a later try succeeds.
func (w *Watcher) save() {
	if w.cfg.Data != "" {
		if err := w.writeFile(filepath.Join(w.cfg.Data, lastKnownGoodFile), w.documents.Bytes()); err != nil {
			if w.saveRetryAt.IsZero() {
				w.log.Error("rollout: not saved; in force all the same, not acknowledged, tried again", "data", w.cfg.Data, "error", err)
			}
			w.saveRetryAt = time.Now().Add(saveRetryDelay + randomUpTo(saveRetryDelay))
			return
		}
	}
	if !w.saveRetryAt.IsZero() {
		w.log.Info("rollout: saved again", "data", w.cfg.Data)
	}
	w.saveRetryAt = time.Time{}
	w.saved, _ = w.documents.Report()
}

// publish lets others see how things stand.
func (w *Watcher) publish() {
	v := &status{lastAnswer: w.lastAnswer, version: w.documents.Version(), lagging: w.lagging, unsaved: !w.saveRetryAt.IsZero(),
		inForce: maps.Clone(w.inForce), names: map[string]string{}, known: maps.Clone(w.documents.KnownRevisions())}
	if w.connected {
		v.machine = w.machines[w.current].ID
	}
	for _, kind := range w.kinds {
		if d, ok := w.documents.Effective(kind); ok {
			v.names[kind] = d.Name.String()
		}
	}
	seen, refused := w.documents.Report()
	v.accepted, v.refused = maps.Clone(seen), slices.Clone(refused)
	w.status.Store(v)
}
