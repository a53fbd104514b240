package replica

import (
	"context"
	"fmt"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/promise"
)

// ErrNoQuorum says that no member could accept the proposal. The caller may retry.
var ErrNoQuorum = quorum.ErrNoQuorum

// ErrUnknownOutcome says that the proposal may or may not have been committed. Proposing again with
// the same call id is safe: the answer is the first resolution that was committed.
var ErrUnknownOutcome = quorum.ErrUnknownOutcome

// RetryAfterError is a failure after which the caller may retry, with the advised wait.
type RetryAfterError = quorum.RetryAfterError

// Retry repeats an idempotent operation while it fails with a RetryAfterError.
var Retry = quorum.Retry

// Client calls a group that stores promises. It is safe for concurrent use.
type Client struct{ *quorum.Client }

// NewClient returns a client of the given members, a map from id to client address.
func NewClient(members map[string]string) *Client { return &Client{quorum.NewClient(members)} }

// Propose appends an entry to the group's log. It follows the leader until the context ends.
// ErrNoQuorum and ErrUnknownOutcome come in a *RetryAfterError.
func (c *Client) Propose(ctx context.Context, e promise.Entry) (promise.Result, error) {
	var r Reply
	err := c.askLeader(ctx, func(id string) (*Reply, error) {
		r = Reply{}
		return &r, c.Call(ctx, id, "Replica.Propose", ProposeArgs{e}, &r)
	})
	return r.Result, err
}

// ProposeWithRetry proposes until a quorum holds the entry, the group refuses it, or the context
// ends. The entry must be idempotent, as are a claim, a resolution by the same token, an end and a
// drain.
func (c *Client) ProposeWithRetry(ctx context.Context, e promise.Entry) (r promise.Result, err error) {
	err = Retry(ctx, func() error {
		r, err = c.Propose(ctx, e)
		return err
	})
	return r, err
}

// Read returns a call's resolution, read through the leader after a barrier, and whether there is one.
func (c *Client) Read(ctx context.Context, call string) (promise.Resolution, bool, error) {
	var r ReadReply
	err := c.askLeader(ctx, func(id string) (*Reply, error) {
		r = ReadReply{}
		return &r.Reply, c.Call(ctx, id, "Replica.Read", ReadArgs{call}, &r)
	})
	return r.Resolution, r.Found, err
}

// Join makes the leader add a member as a voter.
func (c *Client) Join(ctx context.Context, id, raft string) error {
	return c.changeMembership(ctx, "Replica.Join", MemberArgs{ID: id, Raft: raft})
}

// Remove makes the leader remove a member from the group.
func (c *Client) Remove(ctx context.Context, id string) error {
	return c.changeMembership(ctx, "Replica.Remove", MemberArgs{ID: id})
}

func (c *Client) changeMembership(ctx context.Context, method string, args MemberArgs) error {
	return c.askLeader(ctx, func(id string) (*Reply, error) {
		var r Reply
		return &r, c.Call(ctx, id, method, args, &r)
	})
}

// Status returns one member's view of the group.
func (c *Client) Status(ctx context.Context, id string) (StatusReply, error) {
	var s StatusReply
	return s, c.Call(ctx, id, "Replica.Status", struct{}{}, &s)
}

// LeaderStatus returns the leader's view of the group.
func (c *Client) LeaderStatus(ctx context.Context) (StatusReply, error) {
	var s StatusReply
	err := c.askLeader(ctx, func(id string) (*Reply, error) {
		s = StatusReply{}
		err := c.Call(ctx, id, "Replica.Status", struct{}{}, &s)
		switch {
		case err != nil:
			return nil, err
		case s.State == "Leader":
			return &Reply{Outcome: Committed}, nil
		case s.Leader != "" && s.Leader != id:
			return &Reply{Outcome: NotLeader, Leader: s.Leader}, nil
		}
		return &Reply{Outcome: NoQuorum}, nil
	})
	return s, err
}

// Plan asks all members and returns the first plan of zones whose epoch is at least minEpoch. Any
// member can answer, as what it has applied is committed.
func (c *Client) Plan(ctx context.Context, minEpoch uint64) (r PlanReply, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := c.Members()
	answers := make(chan PlanReply, len(members))
	for _, id := range members {
		go func() {
			var reply PlanReply
			if c.Call(ctx, id, "Replica.Plan", struct{}{}, &reply) != nil {
				answers <- PlanReply{} // epoch 0; not reply, which a failed call may have changed
				return
			}
			answers <- reply
		}()
	}
	for range members {
		if r = <-answers; r.Epoch >= max(minEpoch, 1) {
			return r, nil
		}
	}
	return r, &RetryAfterError{Err: ErrNoQuorum, After: quorum.DefaultRetryAfter,
		Message: fmt.Sprintf("no member has a plan of epoch %d or later", minEpoch)}
}

// LeaderPlan returns the plan of zones that the leader has applied, with epoch 0 if there is none
// yet. Without an error it also shows that the leader can be reached.
func (c *Client) LeaderPlan(ctx context.Context) (r PlanReply, err error) {
	s, err := c.LeaderStatus(ctx)
	if err != nil {
		return r, err
	}
	return r, c.Call(ctx, s.ID, "Replica.Plan", struct{}{}, &r)
}

// askLeader calls quorum.Client.AskLeader, and turns a refusal into promise.ErrEntry or
// promise.ErrStale.
func (c *Client) askLeader(ctx context.Context, ask func(id string) (*Reply, error)) error {
	return c.AskLeader(ctx, func(id string) (quorum.Answer, error) {
		r, err := ask(id)
		if err != nil {
			return quorum.Answer{}, err
		}
		return quorum.Answer{Outcome: r.Outcome, Leader: r.Leader, ComeBackMs: r.ComeBackMs, Error: r.Error}, nil
	}, func(a quorum.Answer) (bool, error) {
		switch a.Outcome {
		case Refused:
			return true, fmt.Errorf("%w: %s", promise.ErrEntry, a.Error)
		case Stale:
			return true, fmt.Errorf("%w: %s", promise.ErrStale, a.Error)
		}
		return false, nil
	})
}
