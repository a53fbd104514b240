package control

import (
	"context"
	"errors"
	"fmt"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/rollout"
)

// Client calls the control machines at their client addresses and follows the leader.
type Client struct{ *quorum.Client }

// NewClient returns a client of the given machines, a map from id to client address.
func NewClient(machines map[string]string) *Client { return &Client{quorum.NewClient(machines)} }

// Put changes a document and returns the number of the new revision. An error wraps
// rollout.ErrConflict (somebody else changed the document), rollout.ErrEntry (the change is invalid),
// quorum.ErrNoQuorum (it was not accepted) or quorum.ErrUnknownOutcome (a machine may have accepted it
// without answering). Put does not retry after an unknown outcome: a second attempt would fail with
// a conflict if the first was committed.
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

// ChangeMember makes the leader add a machine to the group or, if args.Raft is empty, remove it.
func (c *Client) ChangeMember(ctx context.Context, args MemberArgs) error {
	return c.AskLeader(ctx, func(id string) (a quorum.Answer, err error) {
		err = c.Call(ctx, id, "Rollout.Member", args, &a)
		return a, err
	}, nil)
}

// refusalError is a refusal with the text that the machine sent, which begins with that of err.
type refusalError struct {
	err  error // for errors.Is
	text string
}

func (r refusalError) Error() string { return r.text }
func (r refusalError) Unwrap() error { return r.err }

// Overview returns what one machine knows of a document, or of all documents if name is empty.
func (c *Client) Overview(ctx context.Context, id, name string) (r OverviewReply, err error) {
	err = c.Call(ctx, id, "Rollout.Overview", OverviewArgs{name}, &r)
	return r, err
}
