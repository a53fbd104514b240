// Package watcher is a call agent's side of the distribution of configuration. It watches one control
// machine, has the agent's loader check and apply what arrives, keeps the last known good on disk, and moves
// on to another machine if that one is late, gone or behind, or sends an invalid answer. It does not decide
// on stages and scopes: package rollout does. See docs/rollout.md.
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

// Loader checks and applies documents in an agent, by kind. Its methods are called one at a time, by Open and
// Run.
type Loader interface {
	// Check validates a text as the agent does at its start, and changes nothing.
	Check(kind string, text []byte) error
	// Apply puts a document in force from now on. If ok is false no document is distributed any more, and the
	// agent's own file is in force again.
	Apply(kind string, d rollout.Document, ok bool) error
	// Calls returns the calls that have ended since the process started, and how many of them failed.
	Calls() (ended, failed uint64)
}

// Reasons to leave a machine, besides network errors.
var (
	errBehind        = errors.New("the machine has an older version than this agent")
	errLagging       = errors.New("the machine has no leader")
	errReturnToFirst = errors.New("time to return to the first choice")
)

// Delays are drawn evenly between 0 and their maximum (full jitter), so that a fleet does not return all at
// once. All machines are tried within a few seconds.
const (
	initialRetryDelay  = 300 * time.Millisecond // before the next machine; doubles with each round over all
	maxRetryDelay      = 2 * time.Second
	firstWatchPatience = 100 * time.Millisecond // of the first watch on a connection, to notice a silent machine soon
	minWatchInterval   = 100 * time.Millisecond // between two watches, if an answer came at once without news
	laggingStay        = 3 * time.Second        // with a lagging machine if all lag, plus up to as much again
	minTimeAway        = 20 * time.Second       // from the first choice, plus up to as much again
	saveRetryDelay     = 3 * time.Second        // after a failed save, plus up to as much again
)

// maxAnswerBytes bounds a machine's answer to one watch: an agent's documents of a few kinds, one of each
// scope, at their largest size.
const maxAnswerBytes = 6 << 20

// minWatchPatience is the shortest patience sent in a watch.
const minWatchPatience = 50 * time.Millisecond

// Watcher is an agent's client of the control machines. All fields but status and counts belong to the
// goroutine of Run.
type Watcher struct {
	cfg       Config
	timing    timing
	agent     rollout.Agent
	kinds     []string
	loader    Loader
	log       *slog.Logger
	machines  []Machine // in the order in which they are tried
	writeFile func(path string, data []byte) error

	documents   *rollout.DocumentSet
	inForce     map[string]uint64 // revisions by kind, as the loader last applied them
	seq         uint64
	saved       map[string]uint64 // accepted revisions as stored on disk
	saveRetryAt time.Time         // when to retry a failed save; zero if everything is saved

	current      int       // index of the watched machine
	tried        int       // machines tried since the last good answer
	laggingUntil time.Time // until then the agent stays with a lagging machine
	returnAt     time.Time // from then on the agent returns to its first choice
	lastAnswer   time.Time // time of the last good answer
	lagging      bool
	connected    bool

	status  atomic.Pointer[status]
	traffic rpcconn.Traffic
	counts  struct{ watches, moves, invalid, behind, refused atomic.Int64 }
}

// status is the state as other goroutines see it. It is replaced, never modified.
type status struct {
	machine         string // "" if not connected
	lastAnswer      time.Time
	version         uint64
	lagging         bool
	unsaved         bool
	inForce         map[string]uint64
	names           map[string]string // of the documents in force, by kind
	known, accepted map[string]uint64
	refused         []rollout.Refusal
}

// Open reads the last known good from disk and has the loader apply it, before any machine is asked. It
// returns an error only for an invalid configuration.
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

// advance goes on to the next machine.
func (w *Watcher) advance(err error) {
	m := w.machines[w.current]
	switch {
	case w.connected:
		w.log.Warn("rollout: leaving machine", "machine", m.ID, "error", err)
	case w.tried+1 == len(w.machines):
		w.log.Warn("rollout: no machine answers; continuing with the documents held", "last", m.ID, "error", err)
	default:
		w.log.Debug("rollout: machine skipped", "machine", m.ID, "error", err)
	}
	w.connected = false
	w.counts.moves.Add(1)
	w.current = (w.current + 1) % len(w.machines)
	w.tried++
}

// retryDelay returns how long to wait before the current machine is tried.
func (w *Watcher) retryDelay() time.Duration {
	maxDelay := initialRetryDelay
	if w.tried > 0 && w.tried%len(w.machines) == 0 {
		maxDelay = min(initialRetryDelay<<min(w.tried/len(w.machines)-1, 8), maxRetryDelay)
	}
	return randomUpTo(maxDelay)
}

// randomUpTo returns a random duration from 0 to d.
func randomUpTo(d time.Duration) time.Duration { return time.Duration(rand.Int64N(int64(d) + 1)) }

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// watchMachine watches the current machine until there is a reason to leave it.
func (w *Watcher) watchMachine(ctx context.Context) error {
	conn, err := rpcconn.Dial(ctx, w.cfg.Source, w.machines[w.current].Client, maxAnswerBytes, &w.traffic)
	if err != nil {
		return err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() })
	defer stop()
	w.returnAt = time.Now().Add(minTimeAway + randomUpTo(minTimeAway))
	for patience, first := firstWatchPatience, true; ; first = false {
		start := time.Now()
		w.counts.watches.Add(1)
		var reply rollout.WatchReply
		if err := conn.Call("Rollout.Watch", w.watchArgs(patience), &reply, patience+w.timing.grace); err != nil {
			if errors.Is(err, rpcconn.ErrTooLarge) || errors.Is(err, rpcconn.ErrSequence) {
				w.counts.invalid.Add(1)
				w.log.Error("rollout: invalid answer ignored; leaving machine", "machine", w.machines[w.current].ID, "error", err)
			}
			return err
		}
		changed, err := w.handleReply(reply)
		if err != nil {
			return err
		}
		if !first && !reply.Lagging {
			w.tried = 0
		}
		if patience, err = w.nextPatience(reply); err != nil {
			return err
		}
		if quick := time.Since(start) < minWatchInterval/2; quick && !changed {
			sleep(ctx, minWatchInterval/2+randomUpTo(minWatchInterval/2))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

// nextPatience returns the patience of the next watch at this machine, or an error that says why to leave it.
func (w *Watcher) nextPatience(r rollout.WatchReply) (time.Duration, error) {
	now := time.Now()
	patience := w.timing.patience*9/10 + randomUpTo(w.timing.patience/5)
	if again := time.Duration(r.AgainMs) * time.Millisecond; again > 0 {
		patience = min(patience, again)
	}
	switch {
	case r.Lagging && now.Before(w.laggingUntil): // all machines lag, so this one is as good as any
		patience = min(patience, w.laggingUntil.Sub(now))
	case r.Lagging && w.tried < len(w.machines)-1:
		return 0, errLagging
	case r.Lagging:
		w.log.Warn("rollout: no machine has a leader; staying with this one", "machine", r.Machine)
		w.laggingUntil, w.tried = now.Add(laggingStay+randomUpTo(laggingStay)), 0
		patience = min(patience, w.laggingUntil.Sub(now))
	case w.current != 0 && now.After(w.returnAt):
		return 0, errReturnToFirst
	}
	return max(patience, minWatchPatience), nil
}

// watchArgs returns the arguments of a watch, with the agent's report.
func (w *Watcher) watchArgs(patience time.Duration) rollout.WatchArgs {
	w.seq++
	accepted, refused := w.documents.Report()
	if !w.saveRetryAt.IsZero() { // unsaved revisions are not acknowledged: a restart would fall back below them
		accepted = w.saved
	}
	calls, failed := w.loader.Calls()
	return rollout.WatchArgs{Have: w.documents.KnownRevisions(), Version: w.documents.Version(), PatienceMs: patience.Milliseconds(),
		Report: rollout.Report{Agent: w.agent, Life: w.cfg.Life, Seq: w.seq, Seen: accepted, InForce: maps.Clone(w.inForce),
			Refused: refused, Calls: calls, Failed: failed}}
}

// handleReply validates an answer, and reviews, applies and saves the new documents in it.
func (w *Watcher) handleReply(r rollout.WatchReply) (changed bool, err error) {
	machine := w.machines[w.current].ID
	if w.documents.IsBehind(r) {
		w.counts.behind.Add(1)
		return false, fmt.Errorf("%w: version %d, held %d", errBehind, r.Version, w.documents.Version())
	}
	received, err := w.documents.Receive(r)
	if err != nil {
		w.counts.invalid.Add(1)
		w.log.Error("rollout: invalid answer ignored; leaving machine", "machine", machine, "error", err)
		return false, err
	}
	if !w.connected {
		w.connected = true
		w.log.Info("rollout: watching", "machine", machine, "version", r.Version, "lagging", r.Lagging)
	}
	w.lastAnswer, w.lagging = time.Now(), r.Lagging
	for _, d := range received {
		w.review(d)
	}
	if len(received) > 0 {
		w.applyEffective()
	}
	if len(received) > 0 || !w.saveRetryAt.IsZero() && time.Now().After(w.saveRetryAt) {
		w.save()
	}
	w.publish()
	return len(received) > 0, nil
}

// review accepts a document if the loader can use it, and refuses it otherwise.
func (w *Watcher) review(d rollout.Document) {
	if d.Removed {
		w.documents.Accept(d)
		return
	}
	if err := w.check(d); err != nil {
		w.refuse(d, err, "the former one stays in force")
		return
	}
	w.documents.Accept(d)
}

// check returns the loader's verdict on a document. A text on which the loader panics is refused.
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

// refuse marks a document as refused, and logs it with what happens instead.
func (w *Watcher) refuse(d rollout.Document, err error, consequence string) {
	w.documents.Refuse(d, strings.ToValidUTF8(err.Error(), "?"))
	w.counts.refused.Add(1)
	w.log.Error("rollout: revision refused; "+consequence, "name", d.Name.String(), "revision", d.Revision, "error", err)
}

// applyEffective puts in force the effective document of each kind. A document that passed the check and
// still cannot be applied, for example after a restart with a newer program, is refused; then the next wider
// document or the agent's own file applies.
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
				w.log.Info("rollout: revision in force", "kind", kind, "name", describeSource(d, ok), "revision", w.inForce[kind])
				break
			}
			if !ok {
				w.log.Error("rollout: cannot return to the agent's own file; the document in force stays", "kind", kind, "error", err)
				break
			}
			w.refuse(d, err, "the next wider document or the agent's own file applies")
		}
	}
}

// apply has the loader apply a document. A panic of the loader is returned as an error.
func (w *Watcher) apply(kind string, d rollout.Document, ok bool) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("the loader panicked: %v", r)
		}
	}()
	return w.loader.Apply(kind, d, ok)
}

// describeSource names what is in force: the document, or the agent's own file if ok is false.
func describeSource(d rollout.Document, ok bool) string {
	if !ok {
		return "the agent's own file"
	}
	return d.Name.String()
}

// save writes the documents to disk. If that fails they stay in force, but are not acknowledged until a later
// attempt succeeds.
func (w *Watcher) save() {
	if w.cfg.Data != "" {
		if err := w.writeFile(filepath.Join(w.cfg.Data, lastKnownGoodFile), w.documents.Bytes()); err != nil {
			if w.saveRetryAt.IsZero() {
				w.log.Error("rollout: save failed; documents are in force but not acknowledged until a retry succeeds", "data", w.cfg.Data, "error", err)
			}
			w.saveRetryAt = time.Now().Add(saveRetryDelay + randomUpTo(saveRetryDelay))
			return
		}
	}
	if !w.saveRetryAt.IsZero() {
		w.log.Info("rollout: save succeeded after a failure", "data", w.cfg.Data)
	}
	w.saveRetryAt = time.Time{}
	w.saved, _ = w.documents.Report()
}

// publish updates the status that other goroutines see.
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
	accepted, refused := w.documents.Report()
	v.accepted, v.refused = maps.Clone(accepted), slices.Clone(refused)
	w.status.Store(v)
}
