// Package promisestore copies what a call agent promises to further agents: it is the agent.Keeper
// that claims and resolves calls in the replicated logs of package replica, at the groups that
// package shard names. It is the thin part: which entry stands is decided by package promise,
// which group by package shard, and what is sent and answered by package agent.
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

// Group is what is asked of a group of agents; *replica.Client is one.
type Group interface {
	Propose(context.Context, promise.Entry) (promise.Result, error)
	ProposeWithRetry(context.Context, promise.Entry) (promise.Result, error)
	LeaderStatus(context.Context) (replica.StatusReply, error)
	Plan(ctx context.Context, least uint64) (replica.PlanReply, error)
	LeaderPlan(context.Context) (replica.PlanReply, error)
	Close()
}

// ringView is the rings an agent knows, and its way to their groups. It is replaced whole.
type ringView struct {
	current  shard.Ring
	previous *shard.Ring
	groups   map[string]Group
}

// Store claims and resolves an agent's calls. Its methods do not wait.
type Store struct {
	name  string
	runID string // tells this life's offers from those of an earlier one
	log   *slog.Logger
	rings atomic.Pointer[ringView]

	lastToken  atomic.Uint64
	slots      chan struct{} // proposals under way
	mu         sync.Mutex
	tokens     map[string]string // of the calls this agent claims or has claimed, until resolved
	background sync.WaitGroup
	ctx        context.Context
	cancel     context.CancelFunc
	// Counts of what came of claims and resolutions, for the operators' figures.
	Counts Counts
}

// Counts tell what came of promises since the start. They may be read at any time.
type Counts struct {
	Claimed, Stored    atomic.Int64 // claims and resolutions that a quorum has
	Adopted            atomic.Int64 // calls answered with what another agent, or life, promised
	NotStored          atomic.Int64 // claims and resolutions no quorum was seen to have in time
	StaleRing          atomic.Int64 // claims refused as this agent's ring is older than the fence
	Ended, EndsDropped atomic.Int64 // ends of standing calls copied, and those given up on
}

// maxProposals bounds the proposals under way; a call beyond it is refused at once.
const maxProposals = 4096

// claimTimeout bounds a claim: the caller hears of a group without quorum within it.
const claimTimeout = time.Second

// endTimeout bounds the copying of an end nobody waits for.
const endTimeout = 5 * time.Second

// New returns the keeper of an agent by its name. Move must name its groups before its use.
func New(name string, log *slog.Logger) *Store {
	k := &Store{name: name, runID: rand.Text(), log: log, slots: make(chan struct{}, maxProposals), tokens: map[string]string{}}
	k.ctx, k.cancel = context.WithCancel(context.Background())
	return k
}

// SetRings has claims from now on follow these rings; what is under way goes on where it is.
func (k *Store) SetRings(now shard.Ring, previous *shard.Ring) {
	v := &ringView{current: now, previous: previous, groups: map[string]Group{}}
	rings := []shard.Ring{now}
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
	if old := k.rings.Swap(v); old != nil {
		// Proposals under way may still use the old clients: they end with their own bounds.
		time.AfterFunc(2*endTimeout, old.close)
	}
}

// NewGroupClient is a client of a group, through all its members.
func NewGroupClient(g shard.Group) *replica.Client {
	members := map[string]string{}
	for _, m := range g.Members {
		members[m.ID] = m.Client
	}
	return replica.NewClient(members)
}

// Group is the way to a group of the rings; nil for one that they do not name.
func (k *Store) Group(id string) Group { return k.rings.Load().groups[id] }

func (v *ringView) close() {
	for _, g := range v.groups {
		g.Close()
	}
}

// closeGrace is how long proposals nobody waits for may still take as the agent stops.
const closeGrace = 300 * time.Millisecond

// Close ends what is under way, after a short grace; each proposal's done is still called.
func (k *Store) Close() {
	late := time.AfterFunc(closeGrace, k.cancel)
	k.background.Wait()
	late.Stop()
	k.cancel()
	if v := k.rings.Load(); v != nil {
		v.close()
	}
}

// startProposal runs one proposal in its own goroutine, or reports that too many are under way.
func (k *Store) startProposal(do func()) bool {
	select {
	case k.slots <- struct{}{}:
	default:
		return false
	}
	k.background.Go(func() {
		defer func() { <-k.slots }()
		do()
	})
	return true
}

// Claim claims a call along its path of groups.
func (k *Store) Claim(c agent.Call, comeBack time.Duration, done func(agent.StoreResult)) {
	token := fmt.Sprintf("%s/%s/%d", k.name, k.runID, k.lastToken.Add(1))
	k.mu.Lock()
	k.tokens[c.ID] = token
	k.mu.Unlock()
	if !k.startProposal(func() {
		ctx, cancel := context.WithTimeout(k.ctx, min(claimTimeout, max(time.Until(c.Deadline), 0)))
		defer cancel()
		kept := k.claim(ctx, c.ID, token, comeBack)
		if !kept.OK {
			k.forgetToken(c.ID, token)
		}
		done(kept)
	}) {
		k.forgetToken(c.ID, token)
		go done(agent.StoreResult{RetryAfter: comeBack})
	}
}

func (k *Store) forgetToken(call, token string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.tokens[call] == token {
		delete(k.tokens, call)
	}
}

// claim walks the path: what stands at a step is carried to the next, so that the last step
// has the last word on the call.
func (k *Store) claim(ctx context.Context, call, token string, comeBack time.Duration) agent.StoreResult {
	v := k.rings.Load()
	var stands *promise.Resolution
	for _, step := range shard.ClaimSteps(v.current, v.previous, call) {
		r, err := proposeClaim(ctx, v.groups[step.Group], promise.Entry{Op: promise.OpClaim, Call: call, Token: token,
			Ring: step.Ring, ComeBackUs: comeBack.Microseconds(), AtUs: time.Now().UnixMicro()})
		if err != nil {
			return k.notStored("claim", call, step.Group, err)
		}
		if r.Claimed && stands != nil {
			r, err = v.groups[step.Group].Propose(ctx, resolveEntry(call, token, *stands))
			if err != nil {
				return k.notStored("claim", call, step.Group, err)
			}
			r.Resolved = true
		}
		if r.Resolved {
			stands = &r.Resolution
		}
	}
	if stands != nil {
		k.Counts.Adopted.Add(1)
		return agent.StoreResult{Existing: toPromise(*stands)}
	}
	k.Counts.Claimed.Add(1)
	return agent.StoreResult{OK: true}
}

// proposeClaim proposes a claim. Where no quorum is known the caller is to hear so at once;
// where the claim may stand it is proposed again, as its token makes that harmless.
func proposeClaim(ctx context.Context, g Group, e promise.Entry) (promise.Result, error) {
	r, err := g.Propose(ctx, e)
	if errors.Is(err, replica.ErrUnknownOutcome) {
		return g.ProposeWithRetry(ctx, e)
	}
	return r, err
}

// Resolve keeps a claimed call's final answer along its path of groups.
func (k *Store) Resolve(id string, p agent.Promise, until time.Time, done func(agent.StoreResult)) {
	k.mu.Lock()
	token := k.tokens[id]
	delete(k.tokens, id)
	k.mu.Unlock()
	e := promise.Entry{Op: promise.OpResolve, Call: id, Token: token, Answer: answerByOutcome[p.Outcome], Server: p.Server,
		Description: p.Description, ComeBackUs: p.RetryAfter.Microseconds(), AtUs: time.Now().UnixMicro()}
	if !k.startProposal(func() {
		ctx, cancel := context.WithDeadline(k.ctx, until)
		defer cancel()
		done(k.resolve(ctx, e))
	}) {
		go done(agent.StoreResult{RetryAfter: p.RetryAfter})
	}
}

func (k *Store) resolve(ctx context.Context, e promise.Entry) agent.StoreResult {
	v, mine := k.rings.Load(), e
	var stands promise.Resolution
	for _, step := range shard.ClaimSteps(v.current, v.previous, e.Call) {
		r, err := v.groups[step.Group].ProposeWithRetry(ctx, e)
		if err != nil {
			return k.notStored("resolution", e.Call, step.Group, err)
		}
		stands = r.Resolution
		e = resolveEntry(e.Call, e.Token, stands)
	}
	// Not by Result.First: an entry proposed twice is first only once, and one that carries
	// another's answer to the last group may be first there.
	if !matches(stands, mine) {
		k.Counts.Adopted.Add(1)
		return agent.StoreResult{Existing: toPromise(stands)}
	}
	k.Counts.Stored.Add(1)
	return agent.StoreResult{OK: true}
}

// matches tells whether a resolution is the one that an entry proposes. Of two offers of one call
// that fail alike at the same microsecond either may be meant: both are told the same.
func matches(r promise.Resolution, e promise.Entry) bool {
	return r.Answer == e.Answer && r.Server == e.Server && r.ComeBackUs == e.ComeBackUs && r.AtUs == e.AtUs &&
		string(r.Description) == string(e.Description)
}

// resolveEntry words what stands at one group for the next.
func resolveEntry(call, token string, r promise.Resolution) promise.Entry {
	return promise.Entry{Op: promise.OpResolve, Call: call, Token: token, Answer: r.Answer, Server: r.Server,
		Description: r.Description, ComeBackUs: r.ComeBackUs, AtUs: r.AtUs}
}

// MarkEnded copies that a call which stood is over.
func (k *Store) MarkEnded(id string) {
	if !k.startProposal(func() {
		ctx, cancel := context.WithTimeout(k.ctx, endTimeout)
		defer cancel()
		v := k.rings.Load()
		for _, step := range shard.ClaimSteps(v.current, v.previous, id) {
			if _, err := v.groups[step.Group].ProposeWithRetry(ctx, promise.Entry{Op: promise.OpEnd, Call: id, AtUs: time.Now().UnixMicro()}); err != nil {
				k.Counts.EndsDropped.Add(1)
				k.log.Warn("end of a call not copied", "call", id, "group", step.Group, "error", err)
				return
			}
		}
		k.Counts.Ended.Add(1)
	}) {
		k.Counts.EndsDropped.Add(1)
	}
}

// notStored words why a proposal has no quorum's word, with when to come back.
func (k *Store) notStored(what, call, group string, err error) agent.StoreResult {
	k.Counts.NotStored.Add(1)
	after := replica.DefaultTiming.Election * 2
	var later *replica.RetryAfterError
	switch {
	case errors.As(err, &later):
		after = later.After
	case errors.Is(err, promise.ErrStale):
		k.Counts.StaleRing.Add(1)
	}
	k.log.Warn(what+" not kept", "call", call, "group", group, "come_back", after, "error", err)
	return agent.StoreResult{RetryAfter: after}
}

// answerByOutcome are the outcomes in the log's words; told gives them back.
var answerByOutcome = map[agent.Outcome]string{agent.Served: promise.AnswerServed, agent.Refused: promise.AnswerRefused,
	agent.Failed: promise.AnswerFailed}

func toPromise(r promise.Resolution) *agent.Promise {
	p := &agent.Promise{Outcome: agent.Failed, Server: r.Server, Description: r.Description,
		RetryAfter: time.Duration(r.ComeBackUs) * time.Microsecond, Ended: r.Over}
	for o, word := range answerByOutcome {
		if word == r.Answer {
			p.Outcome = o
		}
	}
	return p
}
