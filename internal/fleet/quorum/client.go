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

// ErrNoQuorum says that no member could accept the proposal. The caller may retry. Like all errors of
// Client it is shown in console answers.
var ErrNoQuorum = errors.New("quorum: none within reach")

// ErrUnknownOutcome says that the proposal may or may not have been committed.
var ErrUnknownOutcome = errors.New("quorum: not known whether it stands")

// Client calls a group through its members' client addresses and follows the leader. It is safe
// for concurrent use.
type Client struct {
	mu       sync.Mutex
	members  map[string]*memberConn
	rotation []string // the order in which members are asked while no leader is known
	leader   string   // the leader's id; "": not known
	// CallTimeout limits one call to one member; 0 means 3 s.
	CallTimeout time.Duration
}

// memberConn is the connection to one member. Each has its own lock, which is held while dialling,
// so that a member that does not answer delays no calls to the others.
type memberConn struct {
	addr       string
	mu         sync.Mutex
	conn       *rpc.Client
	lastAnswer time.Time // when the last answer came, or the connection was opened
}

// unresponsiveAfter is how long a connection must have been without an answer before a call that
// times out closes it: one caller's short timeout must not break the calls of others.
const unresponsiveAfter = time.Second

// dialTimeout limits dialling one member.
const dialTimeout = time.Second

// NewClient returns a client of the given members, a map from id to client address.
func NewClient(members map[string]string) *Client {
	c := &Client{members: map[string]*memberConn{}, rotation: slices.Sorted(maps.Keys(members))}
	for id, addr := range members {
		c.members[id] = &memberConn{addr: addr}
	}
	return c
}

// Members returns the ids of the members that the client knows, sorted.
func (c *Client) Members() []string { return slices.Sorted(maps.Keys(c.members)) }

// Address returns a member's client address, or "" for an unknown member.
func (c *Client) Address(id string) string {
	if m := c.members[id]; m != nil {
		return m.addr
	}
	return ""
}

// Retry repeats an idempotent operation (a membership change, or an entry that may be proposed
// again) as long as it fails with a RetryAfterError, waiting a quarter of the advised time between
// attempts, until the context ends. If any attempt may have been committed, the final error is
// ErrUnknownOutcome.
func Retry(ctx context.Context, operation func() error) error {
	unknown := false
	for {
		err := operation()
		var retryAfter *RetryAfterError
		if !errors.As(err, &retryAfter) {
			return err
		}
		unknown = unknown || errors.Is(err, ErrUnknownOutcome)
		wait := time.NewTimer(max(retryAfter.After/4, 20*time.Millisecond))
		select {
		case <-wait.C:
		case <-ctx.Done():
			wait.Stop()
			if unknown {
				return &RetryAfterError{ErrUnknownOutcome, retryAfter.After, retryAfter.Message}
			}
			return err
		}
	}
}

// RetryAfterError is a failure after which the caller may retry, with the advised wait.
type RetryAfterError struct {
	Err     error // ErrNoQuorum or ErrUnknownOutcome
	After   time.Duration
	Message string
}

func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("%v: %s; come back in %v", e.Err, e.Message, e.After)
}
func (e *RetryAfterError) Unwrap() error { return e.Err }

// AskLeader asks members, the leader first, until one answers for the group. If a member can't be
// reached or knows no leader, the next one is asked; if none answers for the group, the error tells
// what the last one said. Committed ends the search without an error, Unknown ends it with
// ErrUnknownOutcome. final, if not nil, reports which other outcomes end it, and with which error.
func (c *Client) AskLeader(ctx context.Context, ask func(id string) (Answer, error),
	final func(Answer) (done bool, err error)) error {
	lastErr := &RetryAfterError{ErrNoQuorum, DefaultRetryAfter, "no member asked"}
	maybeAccepted := false // a member may have accepted the request without answering
	for range 2 * len(c.members) {
		if ctx.Err() != nil {
			lastErr.Message += ": " + ctx.Err().Error()
			break
		}
		id := c.nextMember()
		answer, err := ask(id)
		if err != nil {
			maybeAccepted = maybeAccepted || !errors.Is(err, ErrNotSent)
			lastErr = &RetryAfterError{ErrNoQuorum, DefaultRetryAfter, fmt.Sprintf("member %s: %v", id, err)}
			c.forgetLeader(id)
			continue
		}
		after := time.Duration(answer.ComeBackMs) * time.Millisecond
		if final != nil {
			if done, err := final(answer); done {
				return err
			}
		}
		switch answer.Outcome {
		case Committed:
			return nil
		case NotLeader:
			c.SetLeader(answer.Leader)
		case Unknown:
			c.forgetLeader(id) // deposed or stalled: the next call asks another member first
			return &RetryAfterError{ErrUnknownOutcome, after, answer.Error}
		default:
			c.SetLeader("")
			lastErr = &RetryAfterError{ErrNoQuorum, after, "member " + id + " knows no leader"}
		}
	}
	if maybeAccepted {
		lastErr.Err = ErrUnknownOutcome
	}
	return lastErr
}

// DefaultRetryAfter is the wait advised when no member answered: two default election timeouts, as
// a member would advise.
var DefaultRetryAfter = 2 * DefaultTiming.Election

// nextMember returns the member to ask: the leader if it is known, or else the next in rotation.
func (c *Client) nextMember() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.leader != "" {
		return c.leader
	}
	id := c.rotation[0]
	c.rotation = append(c.rotation[1:], id) // the next attempt goes to another member
	return id
}

// SetLeader makes the next call ask the leader that a member named. If its id is unknown to this
// client (a member replaced under a new id since the client's file was written), all members are
// asked in turn: to keep asking the member that named it would never reach the leader.
func (c *Client) SetLeader(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.leader = ""
	if _, known := c.members[id]; known {
		c.leader = id
	}
}

// forgetLeader makes the next call ask another member first.
func (c *Client) forgetLeader(id string) {
	c.mu.Lock()
	if c.leader == id {
		c.leader = ""
	}
	c.mu.Unlock()
}

// ErrNotSent says that nothing of the call reached the member.
var ErrNotSent = errors.New("not sent")

// Call makes one call to one member, limited by the context and CallTimeout.
func (c *Client) Call(ctx context.Context, id, method string, args, reply any) error {
	m := c.members[id]
	if m == nil {
		return fmt.Errorf("%w: no member %q is known", ErrNotSent, id)
	}
	for {
		conn, err := m.connect(ctx)
		if err != nil {
			return fmt.Errorf("%w: %w", ErrNotSent, err)
		}
		retry, err := m.call(ctx, conn, cmp.Or(c.CallTimeout, 3*time.Second), method, args, reply)
		if !retry {
			return err
		}
	}
}

// call makes one call on a connection. retry is true if the member had closed the connection
// before the call, as it does with idle ones, and nothing was sent.
func (m *memberConn) call(ctx context.Context, conn *rpc.Client, timeout time.Duration,
	method string, args, reply any) (retry bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	// Decoded into a separate value: a late answer may arrive while the caller reads another
	// member's answer from reply.
	received := reflect.New(reflect.TypeOf(reply).Elem())
	select {
	case call := <-conn.Go(method, args, received.Interface(), make(chan *rpc.Call, 1)).Done:
		if call.Error == nil {
			reflect.ValueOf(reply).Elem().Set(received.Elem())
		}
		return m.recordAnswer(conn, call.Error), call.Error
	case <-ctx.Done():
		m.recordTimeout(conn)
		return false, fmt.Errorf("%s: no answer: %w", method, ctx.Err())
	}
}

// connect returns the open connection, or dials a new one.
func (m *memberConn) connect(ctx context.Context) (*rpc.Client, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn != nil {
		return m.conn, nil
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", m.addr)
	if err != nil {
		return nil, err
	}
	m.conn, m.lastAnswer = rpc.NewClient(conn), time.Now()
	return m.conn, nil
}

// recordAnswer records that a call ended. An error that is not the member's answer closes the
// connection. unsent is true if the member had closed the connection before the call. If this client
// closed it, it is false, as the call may have been sent before.
func (m *memberConn) recordAnswer(conn *rpc.Client, err error) (unsent bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, fromMember := err.(rpc.ServerError); err == nil || fromMember {
		m.lastAnswer = time.Now()
		return false
	}
	unsent = errors.Is(err, rpc.ErrShutdown) && m.conn == conn
	m.drop(conn)
	return unsent
}

// recordTimeout closes a connection on which a call timed out, if no answer has come on it for
// unresponsiveAfter.
func (m *memberConn) recordTimeout(conn *rpc.Client) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if time.Since(m.lastAnswer) >= unresponsiveAfter {
		m.drop(conn)
	}
}

// drop closes a connection, and forgets it unless another has replaced it.
func (m *memberConn) drop(conn *rpc.Client) {
	conn.Close()
	if m.conn == conn {
		m.conn = nil
	}
}

func (m *memberConn) close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.conn != nil {
		m.conn.Close()
		m.conn = nil
	}
}

// Close closes the client's connections.
func (c *Client) Close() {
	for _, m := range c.members {
		m.close()
	}
}
