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

// ErrUnknownOutcome is a proposal that may or may not stand.
var ErrUnknownOutcome = errors.New("quorum: not known whether it stands")

// Client reaches a group through its members' client addresses, following the leader. It may
// be used from many goroutines.
type Client struct {
	mu       sync.Mutex
	members  map[string]*memberConn
	rotation []string // who is asked next while no leader is known
	leader   string
	// CallTimeout bounds one call to one member; 0: 3 s.
	CallTimeout time.Duration
}

// memberConn is the connection to one member. Its lock is held while it is dialled, so that a
// member that does not answer keeps nobody who asks another waiting.
type memberConn struct {
	addr       string
	mu         sync.Mutex
	conn       *rpc.Client
	lastAnswer time.Time // of the last answer, or of the dial
}

// unresponsiveAfter is how long a connection may bring no answer before a call that ran out of time
// on it ends it: one caller's short time must not cut what others wait for.
const unresponsiveAfter = time.Second

// dialTimeout bounds a dial to one member.
const dialTimeout = time.Second

// NewClient knows the members by id and client address.
func NewClient(members map[string]string) *Client {
	c := &Client{members: map[string]*memberConn{}, rotation: slices.Sorted(maps.Keys(members))}
	for id, addr := range members {
		c.members[id] = &memberConn{addr: addr}
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

// Retry repeats what does nothing when it stands already (a membership change, an entry
// proposed again) while the group tells when to come back, in a quarter of that time, until
// the context ends. If any try may stand, the last refusal is ErrUnknown.
func Retry(ctx context.Context, do func() error) error {
	unknown := false
	for {
		err := do()
		var later *RetryAfterError
		if !errors.As(err, &later) {
			return err
		}
		unknown = unknown || errors.Is(err, ErrUnknownOutcome)
		wait := time.NewTimer(max(later.After/4, 20*time.Millisecond))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			if unknown {
				return &RetryAfterError{ErrUnknownOutcome, later.After, later.Message}
			}
			return err
		}
	}
}

// RetryAfterError is a refusal with when to come back.
type RetryAfterError struct {
	Err     error
	After   time.Duration
	Message string
}

func (l *RetryAfterError) Error() string {
	return fmt.Sprintf("%v: %s; come back in %v", l.Err, l.Message, l.After)
}
func (l *RetryAfterError) Unwrap() error { return l.Err }

// AskLeader asks members, the leader first, until one answers for the group. A member that can't
// be reached and one that names no leader are passed for the next; the last refusal stands.
// final maps the outcomes that are an answer for the group, with the error its caller gets;
// nil: Committed alone is, and its error is nil.
func (c *Client) AskLeader(ctx context.Context, ask func(id string) (Answer, error), final func(Answer) (done bool, err error)) error {
	last := &RetryAfterError{ErrNoQuorum, DefaultRetryAfter, "no member asked"}
	sent := false // a member may have taken it without answering: the end is then unknown
	for range 2 * len(c.members) {
		if ctx.Err() != nil {
			last.Message += ": " + ctx.Err().Error()
			break
		}
		id := c.nextMember()
		r, err := ask(id)
		if err != nil {
			sent = sent || !errors.Is(err, ErrNotSent)
			last = &RetryAfterError{ErrNoQuorum, DefaultRetryAfter, fmt.Sprintf("member %s: %v", id, err)}
			c.forgetLeader(id)
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
			c.SetLeader(r.Leader)
		case Unknown:
			c.forgetLeader(id) // it lost its leadership, or says nothing: the next call asks another first
			return &RetryAfterError{ErrUnknownOutcome, after, r.Error}
		default:
			c.SetLeader("")
			last = &RetryAfterError{ErrNoQuorum, after, "member " + id + " knows no leader"}
		}
	}
	if sent {
		last.Err = ErrUnknownOutcome
	}
	return last
}

// DefaultRetryAfter is told where no member answered that could tell: two of the default
// elections, as a member would.
var DefaultRetryAfter = 2 * DefaultTiming.Election

func (c *Client) nextMember() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	id := c.rotation[0]
	c.rotation = append(c.rotation[1:], id) // the next try goes to another member
	return id
}

// SetLeader has the next call ask the leader that a member named. One whose id this client does
// not know (a member replaced under a new id since its file was written) is found by asking
// all in turn: to stay with the member that named it would be to ask that one for ever.
func (c *Client) SetLeader(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	if _, known := c.members[id]; known {
		c.leader = id
	}
}

// forgetLeader has the next call ask another member first.
func (c *Client) forgetLeader(id string) {
	c.mu.Lock()
	if c.leader == id {
		c.leader = ""
	}
	c.mu.Unlock()
}

// ErrNotSent is a call of which nothing reached the member.
var ErrNotSent = errors.New("not sent")

// Call makes one call of one member, within the context and CallTimeout.
func (c *Client) Call(ctx context.Context, id, method string, args, reply any) error {
	l := c.members[id]
	if l == nil {
		return fmt.Errorf("%w: no member %q is known", ErrNotSent, id)
	}
	for {
		conn, err := l.connect(ctx)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		again, err := l.call(ctx, conn, cmp.Or(c.CallTimeout, 3*time.Second), method, args, reply)
		if !again {
			return err
		}
	}
}

// call makes one call on a connection; again: the member had ended it before, as it does with
// idle ones, and nothing was sent.
func (l *memberConn) call(ctx context.Context, conn *rpc.Client, timeout time.Duration, method string, args, reply any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// A value of its own: an answer that comes late is decoded when the caller may be reading
	// another member's.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case call := <-conn.Go(method, args, received.Interface(), make(chan *rpc.Call, 1)).Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return l.recordAnswer(conn, call.Error), call.Error
	case <-ctx.Done():
		l.recordTimeout(conn)
		return false, fmt.Errorf("%s: no answer: %w", method, ctx.Err())
	}
}

func (l *memberConn) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		return l.conn, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return nil, err
	}
	l.conn, l.lastAnswer = rpc.NewClient(nc), time.Now()
	return l.conn, nil
}

// recordAnswer notes an answer; an error that is none of the member's own ends the connection.
// unsent: it had ended before the call, and not by us, whose calls it would have cut.
func (l *memberConn) recordAnswer(conn *rpc.Client, err error) (unsent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, said := err.(rpc.ServerError); err == nil || said {
		l.lastAnswer = time.Now()
		return false
	}
	unsent = errors.Is(err, rpc.ErrShutdown) && l.conn == conn
	l.drop(conn)
	return unsent
}

// recordTimeout ends a connection on which a call ran out of time, if it has been deaf for long.
func (l *memberConn) recordTimeout(conn *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.lastAnswer) >= unresponsiveAfter {
		l.drop(conn)
	}
}

// drop ends a connection unless another has taken its place.
func (l *memberConn) drop(conn *rpc.Client) {
	conn.Close()
	if l.conn == conn {
		l.conn = nil
	}
}

func (l *memberConn) close() {
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
