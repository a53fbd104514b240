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

// memoryGroup is a group in memory: the state machine without a log.
type memoryGroup struct {
	Group // nil: the methods that no test calls
	state *promise.State
	fail  []error // the errors of the next proposals; after replica.ErrUnknownOutcome the entry is applied
}

func (g *memoryGroup) Propose(_ context.Context, e promise.Entry) (promise.Result, error) {
	if len(g.fail) > 0 {
		err := g.fail[0]
		g.fail = g.fail[1:]
		if err == replica.ErrUnknownOutcome {
			g.state.Apply(g.state.Applied()+1, promise.Encode(e))
		}
		if err != nil {
			return promise.Result{}, &replica.RetryAfterError{Err: err, After: 600 * time.Millisecond}
		}
	}
	return g.state.Apply(g.state.Applied()+1, promise.Encode(e))
}

func (g *memoryGroup) ProposeWithRetry(ctx context.Context, e promise.Entry) (r promise.Result, err error) {
	for range 3 {
		if r, err = g.Propose(ctx, e); err == nil {
			break
		}
	}
	return r, err
}
func (g *memoryGroup) LeaderStatus(context.Context) (replica.StatusReply, error) {
	return replica.StatusReply{Drained: g.state.DrainedServers(), Versions: g.state.Versions()}, nil
}
func (g *memoryGroup) Close() {}

// ring returns a ring of groups without members.
func ring(version uint64, groups ...string) shard.Ring {
	r := shard.Ring{Version: version}
	for _, g := range groups {
		r.Groups = append(r.Groups, shard.Group{ID: g})
	}
	return r
}

// newTestStore returns the store of an agent with these rings and groups.
func newTestStore(name string, current shard.Ring, previous *shard.Ring, groups map[string]Group) *Store {
	s := New(name, slog.New(slog.DiscardHandler))
	s.rings.Store(&ringView{current: current, previous: previous, groups: groups})
	return s
}

// TestRingChange checks that agents which learn of a new ring at different times do not send a call
// twice. Two agents may be one step apart: old ring only, both rings, new ring only. They claim one
// call in any order, and some resolve it. At most one may send the call, and all callers who get a
// stored answer get the same outcome.
func TestRingChange(t *testing.T) {
	old, next := ring(1, "g1", "g2"), ring(2, "g1", "g2", "g3")
	movedCall := ""
	for i := 0; movedCall == ""; i++ {
		if c := fmt.Sprintf("%016x", i); len(shard.ClaimSteps(next, &old, c)) == 2 {
			movedCall = c
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		groups := map[string]Group{}
		for _, id := range []string{"g1", "g2", "g3"} {
			groups[id] = &memoryGroup{state: promise.New()}
		}
		views := []func(string) *Store{
			func(n string) *Store { return newTestStore(n, old, nil, groups) },
			func(n string) *Store { return newTestStore(n, next, &old, groups) },
			func(n string) *Store { return newTestStore(n, next, nil, groups) },
		}
		first := rapid.IntRange(0, 1).Draw(t, "views")
		claimTokens := map[*Store]string{}
		sent, outcomes := 0, map[agent.Outcome]bool{}
		recordOutcome := func(result agent.StoreResult, proposed agent.Outcome) {
			switch {
			case result.OK:
				outcomes[proposed] = true
			case result.Existing != nil:
				outcomes[result.Existing.Outcome] = true
			}
		}
		for i := range rapid.IntRange(2, 8).Draw(t, "steps") {
			ctx := context.Background()
			store := views[first+rapid.IntRange(0, 1).Draw(t, "view")](fmt.Sprint("a", i))
			token := fmt.Sprint("t", i)
			if result := store.claim(ctx, movedCall, token, time.Second); result.OK {
				sent++
				claimTokens[store] = token
			} else {
				recordOutcome(result, agent.Failed)
			}
			for store, token := range claimTokens {
				if rapid.Bool().Draw(t, "resolve") {
					recordOutcome(store.resolve(ctx, promise.Entry{Op: promise.OpResolve, Call: movedCall, Token: token,
						Answer: promise.AnswerServed, Server: "s"}), agent.Served)
					delete(claimTokens, store)
				}
			}
		}
		if sent > 1 || len(outcomes) > 1 {
			t.Fatalf("%d agents may send the call; callers got the outcomes %v", sent, outcomes)
		}
	})
}

// TestGroupFailures checks what Claim and Resolve report if a group fails: an unknown outcome is
// retried, and a result that is not stored says when to retry.
func TestGroupFailures(t *testing.T) {
	served := agent.Promise{Outcome: agent.Served, Server: "s", Description: []byte("room")}
	cases := []struct {
		name            string
		claim, resolve  []error
		claimed, stored bool
	}{
		{"no failure", nil, nil, true, true},
		{"no quorum for the claim", []error{replica.ErrNoQuorum}, nil, false, false},
		{"a claim with an unknown outcome is retried", []error{replica.ErrUnknownOutcome}, nil, true, true},
		{"an answer with an unknown outcome is retried", nil,
			[]error{replica.ErrUnknownOutcome, replica.ErrNoQuorum}, true, true},
		{"no quorum for the answer in time", nil,
			[]error{replica.ErrNoQuorum, replica.ErrNoQuorum, replica.ErrNoQuorum}, true, false},
	}
	for _, c := range cases {
		group := &memoryGroup{state: promise.New(), fail: c.claim}
		store := newTestStore("a1", ring(1, "g1"), nil, map[string]Group{"g1": group})
		results := make(chan agent.StoreResult, 1)
		done := func(r agent.StoreResult) { results <- r }
		store.Claim(agent.Call{ID: "c", Deadline: time.Now().Add(time.Minute)}, time.Second, done)
		got := <-results
		require.Equal(t, c.claimed, got.OK, c.name)
		require.Equal(t, c.claimed, got.RetryAfter == 0, c.name)
		if c.claimed {
			group.fail = c.resolve
			store.Resolve("c", served, time.Now().Add(time.Minute), done)
			got = <-results
			require.Equal(t, c.stored, got.OK, c.name)
			require.Equal(t, c.stored, got.RetryAfter == 0, c.name)
		}
		store.Close()
	}
}

// TestLoadConfig checks that the error for an unusable file names the field, and that the deploy
// folder's file is accepted.
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
