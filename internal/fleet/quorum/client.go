package quorum

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/rpc"
	"reflect"
	"slices"
	"sync"
	"time"
)

// ErrNoQuorum is a proposal that no member could take: the caller is told to come back.
var ErrNoQuorum = errors.New("quorum: none within reach")

// ErrUnknown is a proposal that may or may not stand.
var ErrUnknown = errors.New("quorum: not known whether it stands")

// Client reaches a group through its members' client addresses, following the leader. It may
// be used from many goroutines.
type Client struct {
	mu      sync.Mutex
	members map[string]*line
	order   []string // who is asked next while no leader is known
	leader  string
	// CallTimeout bounds one call to one member; 0: 3 s.
	CallTimeout time.Duration
}

// line is the connection to one member. Its lock is held while it is dialled, so that a
// member that does not answer keeps nobody who asks another waiting.
type line struct {
	addr  string
	mu    sync.Mutex
	conn  *rpc.Client
	heard time.Time // of the last answer, or of the dial
}

// deafAfter is how long a connection may bring no answer before a call that ran out of time
// on it ends it: one caller's short time must not cut what others wait for.
const deafAfter = time.Second

// dialMost bounds a dial to one member.
const dialMost = time.Second

// NewClient knows the members by id and client address.
func NewClient(members map[string]string) *Client {
	c := &Client{members: map[string]*line{}, order: slices.Sorted(maps.Keys(members))}
	for id, addr := range members {
		c.members[id] = &line{addr: addr}
	}
	return c
}

// Members are the ids of the members that the client knows, in order.
func (c *Client) Members() []string { return slices.Sorted(maps.Keys(c.members)) }

// Address is a member's client address; "": not known.
func (c *Client) Address(id string) string {
	if l := c.members[id]; l != nil {
		return l.addr
	}
	return ""
}

// Patiently repeats what does nothing when it stands already (a membership change, an entry
// proposed again) while the group tells when to come back, in a quarter of that time, until
// the context ends. If any try may stand, the last refusal is ErrUnknown.
func Patiently(ctx context.Context, do func() error) error {
	unknown := false
	for {
		err := do()
		var later *Later
		if !errors.As(err, &later) {
			return err
		}
		unknown = unknown || errors.Is(err, ErrUnknown)
		wait := time.NewTimer(max(later.After/4, 20*time.Millisecond))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			if unknown {
				return &Later{ErrUnknown, later.After, later.Message}
			}
			return err
		}
	}
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

// Each asks members, the leader first, until one answers for the group. A member that can't
// be reached and one that names no leader are passed for the next; the last refusal stands.
// final maps the outcomes that are an answer for the group, with the error its caller gets;
// nil: Committed alone is, and its error is nil.
func (c *Client) Each(ctx context.Context, ask func(id string) (Answer, error), final func(Answer) (done bool, err error)) error {
	last := &Later{ErrNoQuorum, ComeBackUnknown, "no member asked"}
	sent := false // a member may have taken it without answering: the end is then unknown
	for range 2 * len(c.members) {
		if ctx.Err() != nil {
			last.Message += ": " + ctx.Err().Error()
			break
		}
		id := c.next()
		r, err := ask(id)
		if err != nil {
			sent = sent || !errors.Is(err, ErrUnsent)
			last = &Later{ErrNoQuorum, ComeBackUnknown, fmt.Sprintf("member %s: %v", id, err)}
			c.forget(id)
			continue
		}
		after := time.Duration(r.ComeBackMs) * time.Millisecond
		if final != nil {
			if done, err := final(r); done {
				return err
			}
		}
		switch r.Outcome {
		case Committed:
			return nil
		case NotLeader:
			c.Follow(r.Leader)
		case Unknown:
			c.forget(id) // it lost its leadership, or says nothing: the next call asks another first
			return &Later{ErrUnknown, after, r.Error}
		default:
			c.Follow("")
			last = &Later{ErrNoQuorum, after, "member " + id + " knows no leader"}
		}
	}
	if sent {
		last.Err = ErrUnknown
	}
	return last
}

// ComeBackUnknown is told where no member answered that could tell: two of the default
// elections, as a member would.
var ComeBackUnknown = 2 * Defaults.Election

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

// Follow has the next call ask the leader that a member named. One whose id this client does
// not know (a member replaced under a new id since its file was written) is found by asking
// all in turn: to stay with the member that named it would be to ask that one for ever.
func (c *Client) Follow(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	if _, known := c.members[id]; known {
		c.leader = id
	}
}

// forget has the next call ask another member first.
func (c *Client) forget(id string) {
	c.mu.Lock()
	if c.leader == id {
		c.leader = ""
	}
	c.mu.Unlock()
}

// ErrUnsent is a call of which nothing reached the member.
var ErrUnsent = errors.New("not sent")

// Call makes one call of one member, within the context and CallTimeout.
func (c *Client) Call(ctx context.Context, id, method string, args, reply any) error {
	l := c.members[id]
	if l == nil {
		return fmt.Errorf("%w: no member %q is known", ErrUnsent, id)
	}
	for {
		conn, err := l.open(ctx)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrUnsent, err)
		}
		again, err := l.ask(ctx, conn, cmp.Or(c.CallTimeout, 3*time.Second), method, args, reply)
		if !again {
			return err
		}
	}
}

// ask makes one call on a connection; again: the member had ended it before, as it does with
// idle ones, and nothing was sent.
func (l *line) ask(ctx context.Context, conn *rpc.Client, most time.Duration, method string, args, reply any) (again bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	// A value of its own: an answer that comes late is decoded when the caller may be reading
	// another member's.
	own := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case call := <-conn.Go(method, args, own.Interface(), make(chan *rpc.Call, 1)).Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(own.Elem())
		}
		return l.answered(conn, call.Error), call.Error
	case <-ctx.Done():
		l.late(conn)
		return false, fmt.Errorf("%s: no answer: %w", method, ctx.Err())
	}
}

func (l *line) open(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	d := net.Dialer{Timeout: dialMost}
	nc, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	l.conn, l.heard = rpc.NewClient(nc), time.Now()
	return l.conn, nil
}

// answered notes an answer; an error that is none of the member's own ends the connection.
// unsent: it had ended before the call, and not by us, whose calls it would have cut.
func (l *line) answered(conn *rpc.Client, err error) (unsent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, said := err.(rpc.ServerError); err == nil || said {
		l.heard = time.Now()
		return false
	}
	unsent = errors.Is(err, rpc.ErrShutdown) && l.conn == conn
	l.drop(conn)
	return unsent
}

// late ends a connection on which a call ran out of time, if it has been deaf for long.
func (l *line) late(conn *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.heard) >= deafAfter {
		l.drop(conn)
	}
}

// drop ends a connection unless another has taken its place.
func (l *line) drop(conn *rpc.Client) {
	conn.Close()
	if l.conn == conn {
		l.conn = nil
	}
}

func (l *line) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// Close ends the client's connections.
func (c *Client) Close() {
	for _, l := range c.members {
		l.close()
	}
}
