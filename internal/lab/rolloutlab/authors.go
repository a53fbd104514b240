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

// routesForAll names the document that all agents have.
const routesForAll = "routes@all"

// putTimeout bounds one put by an author.
const putTimeout = 8 * time.Second

// routesText returns a file of per-route limits that every agent's loader accepts. The tag makes it differ
// from the text of every other put.
func routesText(tag string, attempts int, marks ...string) string {
	return fmt.Sprintf("# %s %s\nversion: 1\ndefaults:\n  attempt_timeout: deadline\n  attempts: %d\n  retry_spacing: 300ms\n  deadline_share: 1\n",
		tag, strings.Join(marks, " "), attempts)
}

// author changes documents under its own name.
type author struct {
	name   string
	fleet  *Fleet
	client *control.Client
}

// newAuthor returns an author that reaches all machines.
func (f *Fleet) newAuthor(name string) *author {
	return &author{name: name, fleet: f, client: f.client}
}

// newAuthorVia returns an author that reaches only the given machines, as one on one side of a network cut
// does.
func (f *Fleet) newAuthorVia(name string, machines ...string) *author {
	at := map[string]string{}
	for _, id := range machines {
		at[id] = f.machines[id].client
	}
	return &author{name: name, fleet: f, client: control.NewClient(at)}
}

// nextText returns a text that no author has put yet.
func (a *author) nextText(marks ...string) string {
	n := a.fleet.textCount.Add(1)
	return routesText(fmt.Sprintf("%s-%d", a.name, n), int(2+n%4), marks...)
}

// put makes one attempt to change a document and records its outcome in the history.
func (a *author) put(ctx context.Context, p Put) Put {
	ctx, cancel := context.WithTimeout(ctx, putTimeout)
	defer cancel()
	name, err := rollout.ParseName(p.Name)
	if err != nil {
		panic(err) // names come from the laboratory's own code
	}
	e := rollout.Entry{Op: rollout.OpPut, Name: name, Base: p.Base, Remove: p.Remove, Restore: p.Restore, Author: a.name}
	if !p.Remove && p.Restore == 0 {
		e.Text = []byte(p.Text)
	}
	h := a.fleet.History
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

// latestRevision returns the document's latest revision as the leader last reported it.
func (f *Fleet) latestRevision(name string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.latestRevisions[name]
}

// change repeats a put, each time on the latest revision, until it is committed. p.Text holds the marks of
// the text. Changes that others made meanwhile are overwritten.
func (a *author) change(ctx context.Context, p Put) (Put, error) {
	marks := p.Text
	for {
		if leader, err := a.fleet.AwaitLeader(ctx); err == nil {
			a.fleet.readDocuments(ctx, leader)
		}
		p.Base = a.fleet.latestRevision(p.Name)
		if p.Text = a.nextText(marks); p.Remove {
			p.Text = ""
		}
		done := a.put(ctx, p)
		if done.Outcome == Committed {
			return done, nil
		}
		if ctx.Err() != nil {
			return done, fmt.Errorf("%s by %s was not committed: %s: %w: %s", p.Name, a.name, done.Outcome, ctx.Err(), a.fleet.describeMachines())
		}
		lab.Sleep(ctx, 50*time.Millisecond)
	}
}

// partialDocuments apply to some of the hollow agents. They are changed in the background while a fault
// lasts.
var partialDocuments = []string{"spread@zone/z2", "spread@zone/z5", "failover@zone/z3", "failover@service/svc02"}

// changeInBackground changes partialDocuments until stop is closed. One change in four is made by two authors
// at once on the same base, and one in five is on an outdated base.
func (f *Fleet) changeInBackground(ctx context.Context, rng *rand.Rand, run int, stop <-chan struct{}) {
	ann, bob := f.newAuthor(fmt.Sprintf("ann%d", run)), f.newAuthor(fmt.Sprintf("bob%d", run))
	for {
		select {
		case <-stop:
			return
		case <-time.After(500 * time.Millisecond):
		}
		p := Put{Name: partialDocuments[rng.IntN(len(partialDocuments))]}
		if p.Base = f.latestRevision(p.Name); rng.IntN(5) == 0 {
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
