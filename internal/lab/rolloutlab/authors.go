package rolloutlab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"woodrouter/internal/fleet/control"
	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/lab"
	"woodrouter/rollout"
)

// routesForAll is the document that all agents have.
const routesForAll = "routes@all"

// putTimeout bounds one put of an author.
const putTimeout = 8 * time.Second

// routesText is a file of per-route limits that every agent's loader takes, and that no other put has.
func routesText(tag string, attempts int, marks ...string) string {
	return fmt.Sprintf("# %s %s\nversion: 1\ndefaults:\n  attempt_timeout: deadline\n  attempts: %d\n  retry_spacing: 300ms\n  deadline_share: 1\n",
		tag, strings.Join(marks, " "), attempts)
}

// author changes documents under a name of its own.
type author struct {
	name   string
	world  *Fleet
	client *control.Client
}

func (w *Fleet) newAuthor(name string) *author {
	return &author{name: name, world: w, client: w.client}
}

// newAuthorVia has the author reach some machines only, as one on a side of a cut.
func (w *Fleet) newAuthorVia(name string, machines ...string) *author {
	at := map[string]string{}
	for _, id := range machines {
		at[id] = w.machines[id].client
	}
	return &author{name: name, world: w, client: control.NewClient(at)}
}

// nextText is a text that nobody put yet.
func (a *author) nextText(marks ...string) string {
	n := a.world.textCount.Add(1)
	return routesText(fmt.Sprintf("%s-%d", a.name, n), int(2+n%4), marks...)
}

// put tries once and enters what came of it.
func (a *author) put(ctx context.Context, p Put) Put {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	name, err := rollout.ParseName(p.Name)
	if err != nil {
		panic(err) // the laboratory's own word
	}
	e := rollout.Entry{Op: rollout.OpPut, Name: name, Base: p.Base, Remove: p.Remove, Restore: p.Restore, Author: a.name}
	if !p.Remove && p.Restore == 0 {
		e.Text = []byte(p.Text)
	}
	h := a.world.History
	p.Author, p.CalledAt = a.name, h.Now()
	p.Revision, err = a.client.Put(ctx, e)
	p.AnsweredAt = h.Now()
	switch {
	case err == nil:
		p.Outcome = Committed
	case errors.Is(err, rollout.ErrConflict):
		p.Outcome, p.Revision = Conflict, 0
	case errors.Is(err, rollout.ErrEntry):
		p.Outcome, p.Revision = Refused, 0
	case errors.Is(err, quorum.ErrNoQuorum):
		p.Outcome, p.Revision = NoQuorum, 0
	default:
		p.Outcome, p.Revision = Unknown, 0
	}
	h.RecordPut(p)
	return p
}

// latestRevision is the document's latest revision, as the leader last said.
func (w *Fleet) latestRevision(name string) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.latestRevisions[name]
}

// change puts until the change stands; what others changed meanwhile is written over.
func (a *author) change(ctx context.Context, p Put) (Put, error) {
	marks := p.Text
	for {
		if leader, err := a.world.AwaitLeader(ctx); err == nil {
			a.world.readDocuments(ctx, leader)
		}
		p.Base = a.world.latestRevision(p.Name)
		if p.Text = a.nextText(marks); p.Remove {
			p.Text = ""
		}
		done := a.put(ctx, p)
		if done.Outcome == Committed {
			return done, nil
		}
		if ctx.Err() != nil {
			return done, fmt.Errorf("%s by %s does not stand: %s: %w: %s", p.Name, a.name, done.Outcome, ctx.Err(), a.world.describeMachines())
		}
		lab.Sleep(ctx, 50*time.Millisecond)
	}
}

// partialDocuments are documents for a part of the hollow agents, changed beside the faults.
var partialDocuments = []string{"spread@zone/z2", "spread@zone/z5", "failover@zone/z3", "failover@service/svc02"}

// changeInBackground changes small documents until stop: now and then two authors at once on one base, now
// and then on one that has passed.
func (w *Fleet) changeInBackground(ctx context.Context, rng *rand.Rand, run int, stop <-chan struct{}) {
	ann, bob := w.newAuthor(fmt.Sprintf("ann%d", run)), w.newAuthor(fmt.Sprintf("bob%d", run))
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		p := Put{Name: partialDocuments[rng.IntN(len(partialDocuments))]}
		if p.Base = w.latestRevision(p.Name); rng.IntN(5) == 0 {
			p.Base /= 2
		}
		var both sync.WaitGroup
		if rng.IntN(4) == 0 {
			q := p
			q.Text = bob.nextText()
			both.Go(func() { bob.put(ctx, q) })
		}
		p.Text = ann.nextText()
		ann.put(ctx, p)
		both.Wait()
	}
}
