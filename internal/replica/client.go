package replica

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"woodrouter/promise"
)

// ErrNoQuorum is a proposal that no member could take: the caller is told to come back.
var ErrNoQuorum = errors.New("replica: no quorum")

// ErrUnknown is a proposal that may or may not stand: ask again with the same call id, and
// the first resolution that stands is the answer.
var ErrUnknown = errors.New("replica: not known whether it stands")

// Client reaches a group through its members' client addresses, following the leader.
type Client struct {
	mu      sync.Mutex
	members map[string]string // id -> client address
	order   []string
	leader  string
	conns   map[string]*rpc.Client
	// CallTimeout bounds one call to one member; 0: 3 s.
	CallTimeout time.Duration
}

// NewClient knows the members by id and client address.
func NewClient(members map[string]string) *Client {
	c := &Client{members: members, conns: map[string]*rpc.Client{}}
	for id := range members {
		c.order = append(c.order, id)
	}
	slices.Sort(c.order)
	return c
}

// Propose puts an entry in the group's log. It follows the leader until the context ends;
// ErrNoQuorum and ErrUnknown carry when to come back in a *Later.
func (c *Client) Propose(ctx context.Context, e promise.Entry) (promise.Result, error) {
	var r Reply
	err := c.each(ctx, func(id string) (*Reply, error) {
		r = Reply{}
		return &r, c.call(ctx, id, "Replica.Propose", ProposeArgs{e}, &r)
	})
	return r.Result, err
}

// Read is a call's resolution, read through the leader after a barrier.
func (c *Client) Read(ctx context.Context, call string) (promise.Resolution, bool, error) {
	var r ReadReply
	err := c.each(ctx, func(id string) (*Reply, error) {
		r = ReadReply{}
		return &r.Reply, c.call(ctx, id, "Replica.Read", ReadArgs{call}, &r)
	})
	return r.Resolution, r.Found, err
}

// Later is a refusal with when to come back.
type Later struct {
	Err     error
	After   time.Duration
	Message string
}

func (l *Later) Error() string {
	return fmt.Sprintf("%v: %s; come back in %v", l.Err, l.Message, l.After)
}
func (l *Later) Unwrap() error { return l.Err }

// each asks members, the leader first, until one answers for the group. A member that can't
// be reached and one that names no leader are passed for the next; the last refusal stands.
func (c *Client) each(ctx context.Context, ask func(id string) (*Reply, error)) error {
	var last error = ErrNoQuorum
	sent := false // a member may have taken it without answering: the end is then unknown
	for range 2 * len(c.order) {
		if ctx.Err() != nil {
			return errors.Join(last, ctx.Err())
		}
		id := c.next()
		r, err := ask(id)
		if err != nil {
			var dial *net.OpError
			sent = sent || !errors.As(err, &dial) || dial.Op != "dial"
			c.forget(id)
			last = fmt.Errorf("member %s: %w", id, err)
			continue
		}
		switch r.Outcome {
		case Promised:
			return nil
		case Refused:
			return fmt.Errorf("%w: %s", promise.ErrEntry, r.Error)
		case NotLeader:
			c.follow(r.Leader)
			continue
		case Unknown:
			return &Later{ErrUnknown, time.Duration(r.ComeBackMs) * time.Millisecond, r.Error}
		default:
			c.follow("")
			last = &Later{ErrNoQuorum, time.Duration(r.ComeBackMs) * time.Millisecond, "member " + id + " knows no leader"}
		}
	}
	if sent {
		return &Later{ErrUnknown, time.Second, last.Error()}
	}
	return last
}

func (c *Client) next() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	id := c.order[0]
	c.order = append(c.order[1:], id) // the next try goes to another member
	return id
}

func (c *Client) follow(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, known := c.members[id]; known || id == "" {
		c.leader = id
	}
}

func (c *Client) forget(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[id]; conn != nil {
		conn.Close()
		delete(c.conns, id)
	}
	if c.leader == id {
		c.leader = ""
	}
}

func (c *Client) call(ctx context.Context, id, method string, args, reply any) error {
	conn, err := c.conn(id)
	if err != nil {
		return err
	}
	wait := c.CallTimeout
	if wait == 0 {
		wait = 3 * time.Second
	}
	done := conn.Go(method, args, reply, make(chan *rpc.Call, 1)).Done
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case call := <-done:
		return call.Error
	case <-t.C:
		return fmt.Errorf("%s: no answer in %v", method, wait)
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) conn(id string) (*rpc.Client, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if conn := c.conns[id]; conn != nil {
		return conn, nil
	}
	nc, err := net.DialTimeout("tcp", c.members[id], time.Second)
	if err != nil {
		return nil, err
	}
	c.conns[id] = rpc.NewClient(nc)
	return c.conns[id], nil
}

// Close ends the client's connections.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conn := range c.conns {
		conn.Close()
		delete(c.conns, id)
	}
}
