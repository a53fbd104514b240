package control

import (
	"context"
	"errors"
	"fmt"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// Client reaches the control machines at their client addresses, following the leader.
type Client struct{ *quorum.Client }

// NewClient knows the machines by id and client address.
func NewClient(machines map[string]string) *Client { return &Client{quorum.NewClient(machines)} }

// Put has a change taken, and returns the number it has. An error wraps rollout.ErrConflict
// (somebody else changed the document), rollout.ErrEntry (it can't be taken), quorum.ErrNoQuorum
// (it was not taken) or quorum.ErrUnknown: a machine may have taken it without answering. Such
// a put is not made again here, as a second one would be told of a conflict with the first.
func (c *Client) Put(ctx context.Context, e rollout.Entry) (uint64, error) {
	var r PutReply
	err := c.AskLeader(ctx, func(id string) (quorum.Answer, error) {
		r = PutReply{}
		err := c.Call(ctx, id, "Rollout.Put", PutArgs{e}, &r)
		if err != nil && !errors.Is(err, quorum.ErrNotSent) {
			return quorum.Answer{Outcome: quorum.Unknown, ComeBackMs: quorum.DefaultRetryAfter.Milliseconds(),
				Error: fmt.Sprintf("machine %s: %v", id, err)}, nil
		}
		return quorum.Answer{Outcome: r.Outcome, Leader: r.Leader, ComeBackMs: r.ComeBackMs, Error: r.Error}, err
	}, func(a quorum.Answer) (bool, error) {
		switch a.Outcome {
		case Conflict:
			return true, refusalError{rollout.ErrConflict, a.Error}
		case quorum.Refused:
			return true, refusalError{rollout.ErrEntry, a.Error}
		}
		return false, nil
	})
	return r.Revision, err
}

// ChangeMember has the leader take a machine out of the group or (args.Raft) into it.
func (c *Client) ChangeMember(ctx context.Context, args MemberArgs) error {
	return c.AskLeader(ctx, func(id string) (a quorum.Answer, err error) {
		err = c.Call(ctx, id, "Rollout.Member", args, &a)
		return a, err
	}, nil)
}

// refusalError is a machine's refusal in its own words, which begin with those of err.
type refusalError struct {
	err  error
	text string
}

func (r refusalError) Error() string { return r.text }
func (r refusalError) Unwrap() error { return r.err }

// Overview is what one machine knows of a document, or ("") of all.
func (c *Client) Overview(ctx context.Context, id, name string) (r OverviewReply, err error) {
	err = c.Call(ctx, id, "Rollout.Overview", OverviewArgs{name}, &r)
	return r, err
}
