package replica

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/promise"
)

// scriptedMember is a member that answers as the test's function says.
type scriptedMember struct{ reply func() Reply }

func (s *scriptedMember) Propose(_ ProposeArgs, r *Reply) error { *r = s.reply(); return nil }

// serveMembers serves scripted members and returns a client of them. A member whose function is nil
// accepts connections and never answers.
func serveMembers(t *testing.T, scripts map[string]func() Reply) *Client {
	at := map[string]string{}
	for id, reply := range scripts {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		t.Cleanup(func() { ln.Close() })
		at[id] = ln.Addr().String()
		if reply != nil {
			srv := rpc.NewServer()
			require.NoError(t, srv.RegisterName("Replica", &scriptedMember{reply}))
			go srv.Accept(ln)
		}
	}
	c := NewClient(at)
	t.Cleanup(c.Close)
	return c
}

func always(r Reply) func() Reply { return func() Reply { return r } }

// TestClient checks the error that a proposal gets for each answer of a member, and that every
// refusal that allows a retry says when.
func TestClient(t *testing.T) {
	promised, follower := always(Reply{Outcome: Committed}), always(Reply{Outcome: NotLeader, Leader: "c-2"})
	lost := always(Reply{Outcome: Unknown, ComeBackMs: 40})
	cases := []struct {
		name    string
		scripts map[string]func() Reply
		leader  string // the member that the client asks first
		want    error
	}{
		{"a leader under an id that is not known is found", map[string]func() Reply{"a": follower, "b": follower, "c": promised}, "a", nil},
		{"no leader anywhere", map[string]func() Reply{"a": always(Reply{Outcome: NoQuorum, ComeBackMs: 40})}, "", ErrNoQuorum},
		{"leadership lost on the way", map[string]func() Reply{"a": lost}, "", ErrUnknownOutcome},
		{"no answer: the entry may be committed", map[string]func() Reply{"a": nil}, "", ErrUnknownOutcome},
		{"a ring older than the fence", map[string]func() Reply{"a": always(Reply{Outcome: Stale})}, "", promise.ErrStale},
	}
	for _, c := range cases {
		client := serveMembers(t, c.scripts)
		client.CallTimeout = 100 * time.Millisecond
		client.SetLeader(c.leader)
		_, err := client.Propose(context.Background(), promise.Entry{Op: promise.OpClaim})
		require.ErrorIs(t, err, c.want, c.name)
		var retryAfter *RetryAfterError
		if errors.As(err, &retryAfter) {
			require.Positive(t, retryAfter.After, c.name)
		}
	}
	// Once an entry may have been committed, its outcome stays unknown, whatever later attempts say.
	n := 0
	client := serveMembers(t, map[string]func() Reply{"a": func() Reply {
		if n++; n == 1 {
			return lost()
		}
		return Reply{Outcome: NoQuorum, ComeBackMs: 40}
	}})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	_, err := client.ProposeWithRetry(ctx, promise.Entry{Op: promise.OpClaim})
	require.ErrorIs(t, err, ErrUnknownOutcome)
}
