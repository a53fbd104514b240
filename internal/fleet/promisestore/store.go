// Package promisestore stores a call agent's promises with other agents. It implements
// agent.PromiseStore by claiming and resolving calls in the replicated logs of package replica.
// It only connects the others: package promise decides which entry is valid, package shard which
// group holds a call, and package agent what is sent and answered.
package promisestore

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"woodrouter/agent"
	"woodrouter/internal/fleet/replica"
	"woodrouter/promise"
	"woodrouter/shard"
)

// Group is a client of one group of agents; *replica.Client implements it.
type Group interface {
	Propose(context.Context, promise.Entry) (promise.Result, error)
	ProposeWithRetry(context.Context, promise.Entry) (promise.Result, error)
	LeaderStatus(context.Context) (replica.StatusReply, error)
	Plan(ctx context.Context, minEpoch uint64) (replica.PlanReply, error)
	LeaderPlan(context.Context) (replica.PlanReply, error)
	Close()
}

// ringView is the rings an agent knows, with clients of their groups. It is immutable: SetRings
// replaces it as a whole.
type ringView struct {
	current  shard.Ring
	previous *shard.Ring // the ring that current replaces; nil: none
	groups   map[string]Group
}

// Store claims and resolves an agent's calls. Claim, Resolve and MarkEnded return at once and work in
// the background.
type Store struct {
	name  string
	runID string // distinguishes this process's tokens from those of an earlier run
	log   *slog.Logger
	rings atomic.Pointer[ringView]

	lastToken  atomic.Uint64 // the number of tokens issued
	slots      chan struct{} // limits the proposals in progress
	mu         sync.Mutex
	tokens     map[string]string // by call: the tokens of this agent's claims, until resolved
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	// Counts holds the outcomes of claims and resolutions, for STATS.
	Counts Counts
}

// Counts counts the outcomes since the start. It is safe for concurrent use.
type Counts struct {
	Claimed, Stored    atomic.Int64 // claims and resolutions that a quorum holds
	Adopted            atomic.Int64 // calls answered with a promise of another agent, or of an earlier run
	NotStored          atomic.Int64 // claims and resolutions not known to be held by a quorum in time
	StaleRing          atomic.Int64 // claims refused because this agent's ring is older than the fence
	Ended, EndsDropped atomic.Int64 // ends of calls that stood: stored, and given up
}

// maxProposals limits the proposals in progress; calls beyond it are refused at once.
const maxProposals = 4096

// claimTimeout limits a claim, and so the time after which a caller is told that there is no quorum.
const claimTimeout = time.Second

// endTimeout limits storing the end of a call or a version, for which nobody waits.
const endTimeout = 5 * time.Second

// New returns the store of the agent with this name. SetRings must be called before any other method.
func New(name string, log *slog.Logger) *Store {
	s := &Store{name: name, runID: rand.Text(), log: log, slots: make(chan struct{}, maxProposals),
		tokens: map[string]string{}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// SetRings makes further claims follow these rings. Proposals in progress continue at the groups where
// they began.
func (s *Store) SetRings(current shard.Ring, previous *shard.Ring) {
	v := &ringView{current: current, previous: previous, groups: map[string]Group{}}
	rings := []shard.Ring{current}
	if previous != nil {
		rings = append(rings, *previous)
	}
	for _, r := range rings {
		for _, g := range r.Groups {
			if v.groups[g.ID] == nil {
				v.groups[g.ID] = NewGroupClient(g)
			}
		}
	}
	if old := s.rings.Swap(v); old != nil {
		// Proposals in progress may still use the old clients; their own timeouts end them before then.
		time.AfterFunc(2*endTimeout, old.close)
	}
}

// NewGroupClient returns a client of a group, with all its members.
func NewGroupClient(g shard.Group) *replica.Client {
	members := map[string]string{}
	for _, m := range g.Members {
		members[m.ID] = m.Client
	}
	return replica.NewClient(members)
}

// Group returns the client of a group, or nil if the rings do not have the group.
func (s *Store) Group(id string) Group { return s.rings.Load().groups[id] }

func (v *ringView) close() {
	for _, g := range v.groups {
		g.Close()
	}
}

// closeGrace is how long proposals in progress may still take when the agent stops.
const closeGrace = 300 * time.Millisecond

// Close waits up to closeGrace for the proposals in progress and cancels the rest. Each one's done
// function is still called.
func (s *Store) Close() {
	timer := time.AfterFunc(closeGrace, s.cancel)
	s.background.Wait()
	timer.Stop()
	s.cancel()
	if v := s.rings.Load(); v != nil {
		v.close()
	}
}

// startProposal runs a proposal in a goroutine of its own. It returns false if too many are in progress.
func (s *Store) startProposal(do func()) bool {
	select {
	case s.slots <- struct{}{}:
	default:
		return false
	}
	s.background.Go(func() {
		defer func() { <-s.slots }()
		do()
	})
	return true
}

// Claim claims a call at each group that it belongs to and calls done with the outcome. retryAfter is
// the time after which a caller may retry if the call is refused.
func (s *Store) Claim(c agent.Call, retryAfter time.Duration, done func(agent.StoreResult)) {
	token := fmt.Sprintf("%s/%s/%d", s.name, s.runID, s.lastToken.Add(1))
	s.mu.Lock()
	s.tokens[c.ID] = token
	s.mu.Unlock()
	if !s.startProposal(func() {
		ctx, cancel := context.WithTimeout(s.ctx, min(claimTimeout, max(time.Until(c.Deadline), 0)))
		defer cancel()
		result := s.claim(ctx, c.ID, token, retryAfter)
		if !result.OK {
			s.forgetToken(c.ID, token)
		}
		done(result)
	}) {
		s.forgetToken(c.ID, token)
		go done(agent.StoreResult{RetryAfter: retryAfter})
	}
}

// forgetToken removes the token of a call, unless a later claim has replaced it.
func (s *Store) forgetToken(call, token string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tokens[call] == token {
		delete(s.tokens, call)
	}
}

// claim claims a call at one group after another. A resolution found at one group is proposed at the
// next, so that the last group decides the call.
func (s *Store) claim(ctx context.Context, call, token string, retryAfter time.Duration) agent.StoreResult {
	v := s.rings.Load()
	var existing *promise.Resolution
	for _, step := range shard.ClaimSteps(v.current, v.previous, call) {
		r, err := proposeClaim(ctx, v.groups[step.Group], promise.Entry{Op: promise.OpClaim, Call: call,
			Token: token, Ring: step.Ring, ComeBackUs: retryAfter.Microseconds(), AtUs: time.Now().UnixMicro()})
		if err != nil {
			return s.notStored("claim", call, step.Group, err)
		}
		if r.Claimed && existing != nil {
			r, err = v.groups[step.Group].Propose(ctx, resolveEntry(call, token, *existing))
			if err != nil {
				return s.notStored("claim", call, step.Group, err)
			}
			r.Resolved = true
		}
		if r.Resolved {
			existing = &r.Resolution
		}
	}
	if existing != nil {
		s.Counts.Adopted.Add(1)
		return agent.StoreResult{Existing: toPromise(*existing)}
	}
	s.Counts.Claimed.Add(1)
	return agent.StoreResult{OK: true}
}

// proposeClaim proposes a claim. Without a quorum it fails at once, so that the caller is told. If the
// outcome is unknown it proposes the claim again, which the token makes idempotent.
func proposeClaim(ctx context.Context, g Group, e promise.Entry) (promise.Result, error) {
	r, err := g.Propose(ctx, e)
	if errors.Is(err, replica.ErrUnknownOutcome) {
		return g.ProposeWithRetry(ctx, e)
	}
	return r, err
}

// Resolve stores the final answer of a claimed call at each group that the call belongs to, and calls
// done with the outcome by the time until.
func (s *Store) Resolve(id string, p agent.Promise, until time.Time, done func(agent.StoreResult)) {
	s.mu.Lock()
	token := s.tokens[id]
	delete(s.tokens, id)
	s.mu.Unlock()
	e := promise.Entry{Op: promise.OpResolve, Call: id, Token: token, Answer: answerByOutcome[p.Outcome],
		Server: p.Server, Description: p.Description, ComeBackUs: p.RetryAfter.Microseconds(),
		AtUs: time.Now().UnixMicro()}
	if !s.startProposal(func() {
		ctx, cancel := context.WithDeadline(s.ctx, until)
		defer cancel()
		done(s.resolve(ctx, e))
	}) {
		go done(agent.StoreResult{RetryAfter: p.RetryAfter})
	}
}

// resolve proposes a resolution at one group after another. What is stored at one group, which may be
// another agent's resolution, is proposed at the next.
func (s *Store) resolve(ctx context.Context, e promise.Entry) agent.StoreResult {
	v, proposed := s.rings.Load(), e
	var stored promise.Resolution
	for _, step := range shard.ClaimSteps(v.current, v.previous, e.Call) {
		r, err := v.groups[step.Group].ProposeWithRetry(ctx, e)
		if err != nil {
			return s.notStored("resolution", e.Call, step.Group, err)
		}
		stored = r.Resolution
		e = resolveEntry(e.Call, e.Token, stored)
	}
	// Result.First can't tell whose answer was stored: an entry proposed twice is first only once, and
	// one that carries another agent's answer to the last group may be first there.
	if !matches(stored, proposed) {
		s.Counts.Adopted.Add(1)
		return agent.StoreResult{Existing: toPromise(stored)}
	}
	s.Counts.Stored.Add(1)
	return agent.StoreResult{OK: true}
}

// matches reports whether a resolution is the one that an entry proposes. Two attempts at one call that
// fail in the same way at the same microsecond can't be told apart, but give their callers the same
// answer.
func matches(r promise.Resolution, e promise.Entry) bool {
	return r.Answer == e.Answer && r.Server == e.Server && r.ComeBackUs == e.ComeBackUs && r.AtUs == e.AtUs &&
		string(r.Description) == string(e.Description)
}

// resolveEntry returns the entry that proposes a resolution found at one group to the next.
func resolveEntry(call, token string, r promise.Resolution) promise.Entry {
	return promise.Entry{Op: promise.OpResolve, Call: call, Token: token, Answer: r.Answer, Server: r.Server,
		Description: r.Description, ComeBackUs: r.ComeBackUs, AtUs: r.AtUs}
}

// MarkEnded stores that a call which stood has ended.
func (s *Store) MarkEnded(id string) {
	if !s.startProposal(func() {
		ctx, cancel := context.WithTimeout(s.ctx, endTimeout)
		defer cancel()
		v := s.rings.Load()
		for _, step := range shard.ClaimSteps(v.current, v.previous, id) {
			e := promise.Entry{Op: promise.OpEnd, Call: id, AtUs: time.Now().UnixMicro()}
			if _, err := v.groups[step.Group].ProposeWithRetry(ctx, e); err != nil {
				s.Counts.EndsDropped.Add(1)
				s.log.Warn("end of call not stored", "call", id, "group", step.Group, "error", err)
				return
			}
		}
		s.Counts.Ended.Add(1)
	}) {
		s.Counts.EndsDropped.Add(1)
	}
}

// notStored counts and logs a failed proposal, and returns the result with the time after which to retry.
func (s *Store) notStored(what, call, group string, err error) agent.StoreResult {
	s.Counts.NotStored.Add(1)
	after := replica.DefaultTiming.Election * 2
	var retryAfter *replica.RetryAfterError
	switch {
	case errors.As(err, &retryAfter):
		after = retryAfter.After
	case errors.Is(err, promise.ErrStale):
		s.Counts.StaleRing.Add(1)
	}
	s.log.Warn(what+" not stored", "call", call, "group", group, "come_back", after, "error", err)
	return agent.StoreResult{RetryAfter: after}
}

// answerByOutcome maps outcomes to the answers in log entries. toPromise uses it in reverse.
var answerByOutcome = map[agent.Outcome]string{agent.Served: promise.AnswerServed,
	agent.Refused: promise.AnswerRefused, agent.Failed: promise.AnswerFailed}

// toPromise returns a resolution as the agent knows it.
func toPromise(r promise.Resolution) *agent.Promise {
	p := &agent.Promise{Outcome: agent.Failed, Server: r.Server, Description: r.Description,
		RetryAfter: time.Duration(r.ComeBackUs) * time.Microsecond, Ended: r.Over}
	for outcome, answer := range answerByOutcome {
		if answer == r.Answer {
			p.Outcome = outcome
		}
	}
	return p
}
