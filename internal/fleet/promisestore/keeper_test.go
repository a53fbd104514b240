package promisestore

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"woodrouter/agent"
	"woodrouter/internal/fleet/replica"
	"woodrouter/promise"
	"woodrouter/shard"
)

// memoryGroup is a group in memory: the state machine alone. fail answers the next proposals with
// errors; of an unknown one the entry stands.
type memoryGroup struct {
	Group // what a test does not ask for
	state *promise.State
	fail  []error
}

func (l *memoryGroup) Propose(_ context.Context, e promise.Entry) (promise.Result, error) {
	if len(l.fail) > 0 {
		err := l.fail[0]
		l.fail = l.fail[1:]
		if err == replica.ErrUnknownOutcome {
			l.state.Apply(l.state.Applied()+1, promise.Encode(e))
		}
		if err != nil {
			return promise.Result{}, &replica.RetryAfterError{Err: err, After: 600 * time.Millisecond}
		}
	}
	return l.state.Apply(l.state.Applied()+1, promise.Encode(e))
}

func (l *memoryGroup) ProposeWithRetry(ctx context.Context, e promise.Entry) (r promise.Result, err error) {
	for range 3 {
		if r, err = l.Propose(ctx, e); err == nil {
			break
		}
	}
	return r, err
}
func (l *memoryGroup) LeaderStatus(context.Context) (replica.StatusReply, error) {
	return replica.StatusReply{Drained: l.state.DrainedServers(), Versions: l.state.Versions()}, nil
}
func (l *memoryGroup) Close() {}

func ring(version uint64, groups ...string) shard.Ring {
	r := shard.Ring{Version: version}
	for _, g := range groups {
		r.Groups = append(r.Groups, shard.Group{ID: g})
	}
	return r
}

// newTestStore returns an agent's keeper that follows these rings on these logs.
func newTestStore(name string, now shard.Ring, previous *shard.Ring, logs map[string]Group) *Store {
	k := New(name, slog.New(slog.DiscardHandler))
	k.rings.Store(&ringView{current: now, previous: previous, groups: logs})
	return k
}

// TestRingChange: while a ring replaces another, agents of two neighbouring views ask for one
// call in any order, and some resolve it. At most one may send it, and all callers who hear a
// kept answer hear the same outcome.
func TestRingChange(t *testing.T) {
	old, next := ring(1, "g1", "g2"), ring(2, "g1", "g2", "g3")
	moved := ""
	for i := 0; moved == ""; i++ {
		if c := fmt.Sprintf("%016x", i); len(shard.ClaimSteps(next, &old, c)) == 2 {
			moved = c
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		logs := map[string]Group{"g1": &memoryGroup{state: promise.New()}, "g2": &memoryGroup{state: promise.New()}, "g3": &memoryGroup{state: promise.New()}}
		views := []func(string) *Store{
			func(n string) *Store { return newTestStore(n, old, nil, logs) },
			func(n string) *Store { return newTestStore(n, next, &old, logs) },
			func(n string) *Store { return newTestStore(n, next, nil, logs) },
		}
		first := rapid.IntRange(0, 1).Draw(t, "views")
		holds := map[*Store]string{}
		sent, told := 0, map[agent.Outcome]bool{}
		hear := func(k agent.StoreResult, mine agent.Outcome) {
			switch {
			case k.OK:
				told[mine] = true
			case k.Existing != nil:
				told[k.Existing.Outcome] = true
			}
		}
		for i := range rapid.IntRange(2, 8).Draw(t, "steps") {
			ctx := context.Background()
			k := views[first+rapid.IntRange(0, 1).Draw(t, "view")](fmt.Sprint("a", i))
			token := fmt.Sprint("t", i)
			if kept := k.claim(ctx, moved, token, time.Second); kept.OK {
				sent++
				holds[k] = token
			} else {
				hear(kept, agent.Failed)
			}
			for k, token := range holds {
				if rapid.Bool().Draw(t, "resolve") {
					hear(k.resolve(ctx, promise.Entry{Op: promise.OpResolve, Call: moved, Token: token, Answer: promise.AnswerServed, Server: "s"}), agent.Served)
					delete(holds, k)
				}
			}
		}
		if sent > 1 || len(told) > 1 {
			t.Fatalf("%d agents may send the call; callers heard %v", sent, told)
		}
	})
}

// TestGroupFailures: what a keeper tells the core where a group fails it.
func TestGroupFailures(t *testing.T) {
	served := agent.Promise{Outcome: agent.Served, Server: "s", Description: []byte("room")}
	cases := []struct {
		name           string
		claim, resolve []error
		claimed, kept  bool
	}{
		{"well", nil, nil, true, true},
		{"no quorum for the claim", []error{replica.ErrNoQuorum}, nil, false, false},
		{"a claim that may stand is made again", []error{replica.ErrUnknownOutcome}, nil, true, true},
		{"an answer that may stand is kept again", nil, []error{replica.ErrUnknownOutcome, replica.ErrNoQuorum}, true, true},
		{"no quorum for the answer in time", nil, []error{replica.ErrNoQuorum, replica.ErrNoQuorum, replica.ErrNoQuorum}, true, false},
	}
	for _, c := range cases {
		l := &memoryGroup{state: promise.New(), fail: c.claim}
		k := newTestStore("a1", ring(1, "g1"), nil, map[string]Group{"g1": l})
		done := make(chan agent.StoreResult, 1)
		k.Claim(agent.Call{ID: "c", Deadline: time.Now().Add(time.Minute)}, time.Second, func(k agent.StoreResult) { done <- k })
		got := <-done
		require.Equal(t, c.claimed, got.OK, c.name)
		require.Equal(t, c.claimed, got.RetryAfter == 0, c.name)
		if c.claimed {
			l.fail = c.resolve
			k.Resolve("c", served, time.Now().Add(time.Minute), func(k agent.StoreResult) { done <- k })
			got = <-done
			require.Equal(t, c.kept, got.OK, c.name)
			require.Equal(t, c.kept, got.RetryAfter == 0, c.name)
		}
		k.Close()
	}
}

// TestLoadConfig: each field at fault is named.
func TestLoadConfig(t *testing.T) {
	m := func(n string) string { return "{id: " + n + ", zone: z, raft: 'r:1', client: 'c:1'}" }
	good := "ring: {version: 2, groups: [{id: g1, members: [" + m("a") + "," + m("b") + "," + m("c") + "]}]}\n"
	cases := map[string]string{
		good:                 "",
		good + "bogus: 1\n":  "bogus",
		"ring: {version: 1}": "ring: field groups: empty",
		good + "previous: {version: 2, groups: [{id: g1, members: [" + m("a") + "," + m("b") + "," + m("c") + "]}]}\n": "field previous.version",
		good + "member: {id: a, raft: 'r:1', client: x, data: d}\n":                                                    "member: field client",
	}
	for text, want := range cases {
		path := filepath.Join(t.TempDir(), "p.yaml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := LoadConfig(path)
		if want == "" {
			require.NoError(t, err)
		} else {
			require.ErrorContains(t, err, want)
		}
	}
	_, err := LoadConfig("../../../deploy/promises.yaml")
	require.NoError(t, err, "deploy file")
}
