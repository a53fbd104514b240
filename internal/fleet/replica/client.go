package replica

import (
	"context"
	"fmt"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/promise"
)

// ErrNoQuorum is a proposal that no member could take: the caller is told to come back.
var ErrNoQuorum = quorum.ErrNoQuorum

// ErrUnknownOutcome is a proposal that may or may not stand: ask again with the same call id, and
// the first resolution that stands is the answer.
var ErrUnknownOutcome = quorum.ErrUnknownOutcome

// RetryAfterError is a refusal with when to come back.
type RetryAfterError = quorum.RetryAfterError

// Retry repeats what does nothing when it stands already.
var Retry = quorum.Retry

// Client reaches a group that keeps promises. It may be used from many goroutines.
type Client struct{ *quorum.Client }

// NewClient knows the members by id and client address.
func NewClient(members map[string]string) *Client { return &Client{quorum.NewClient(members)} }

// Propose puts an entry in the group's log. It follows the leader until the context ends;
// ErrNoQuorum and ErrUnknown carry when to come back in a *Later.
func (c *Client) Propose(ctx context.Context, e promise.Entry) (promise.Result, error) {
	var r Reply
	err := c.askLeader(ctx, func(id string) (*Reply, error) {
		r = Reply{}
		return &r, c.Call(ctx, id, "Replica.Propose", ProposeArgs{e}, &r)
	})
	return r.Result, err
}

// ProposeWithRetry proposes until a quorum has the entry, the group refuses it, or the
// context ends: for entries that do nothing when proposed again (a claim and a resolution of
// one token, an end, a drain).
func (c *Client) ProposeWithRetry(ctx context.Context, e promise.Entry) (r promise.Result, err error) {
	err = Retry(ctx, func() error {
		r, err = c.Propose(ctx, e)
		return err
	})
	return r, err
}

// Read is a call's resolution, read through the leader after a barrier.
func (c *Client) Read(ctx context.Context, call string) (promise.Resolution, bool, error) {
	var r ReadReply
	err := c.askLeader(ctx, func(id string) (*Reply, error) {
		r = ReadReply{}
		return &r.Reply, c.Call(ctx, id, "Replica.Read", ReadArgs{call}, &r)
	})
	return r.Resolution, r.Found, err
}

// Join has the leader add a member as a voter; Remove has it take one out.
func (c *Client) Join(ctx context.Context, id, raft string) error {
	return c.changeMembership(ctx, "Replica.Join", MemberArgs{ID: id, Raft: raft})
}

// Remove has the leader take a member out of the group.
func (c *Client) Remove(ctx context.Context, id string) error {
	return c.changeMembership(ctx, "Replica.Remove", MemberArgs{ID: id})
}

func (c *Client) changeMembership(ctx context.Context, method string, args MemberArgs) error {
	return c.askLeader(ctx, func(id string) (*Reply, error) {
		var r Reply
		return &r, c.Call(ctx, id, method, args, &r)
	})
}

// Status is one member's view of the group.
func (c *Client) Status(ctx context.Context, id string) (StatusReply, error) {
	var s StatusReply
	return s, c.Call(ctx, id, "Replica.Status", struct{}{}, &s)
}

// LeaderStatus is a status read through the leader: what the group holds.
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

// Plan is the plan of zones of whichever member first answers one of an epoch from least on.
// Any member will do: what it has applied is committed.
func (c *Client) Plan(ctx context.Context, minEpoch uint64) (r PlanReply, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	members := c.Members()
	answers := make(chan PlanReply, len(members))
	for _, id := range members {
		go func() {
			var reply PlanReply
			if c.Call(ctx, id, "Replica.Plan", struct{}{}, &reply) != nil {
				answers <- PlanReply{} // epoch 0; an answer that comes late may still be read into the other
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
	return r, &RetryAfterError{Err: ErrNoQuorum, After: quorum.DefaultRetryAfter, Message: fmt.Sprintf("no member has a plan of epoch %d or later", minEpoch)}
}

// LeaderPlan is the plan that the leader has applied, and with it the proof that there is one
// within reach; epoch 0 for none yet.
func (c *Client) LeaderPlan(ctx context.Context) (r PlanReply, err error) {
	s, err := c.LeaderStatus(ctx)
	if err != nil {
		return r, err
	}
	return r, c.Call(ctx, s.ID, "Replica.Plan", struct{}{}, &r)
}

// askLeader follows the leader (quorum.Client.Each) and words what a member refused.
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
