package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/policy"
)

// fakeStore is a PromiseStore that records its requests and answers as the test says. With a nil answer the
// request stays pending until the test answers it.
type fakeStore struct {
	*fakeSides
	claim, resolve *StoreResult
	pending        []func(StoreResult)
}

func (k *fakeStore) answer(with *StoreResult, done func(StoreResult)) {
	if with == nil {
		k.pending = append(k.pending, done)
		return
	}
	go done(*with)
}
func (k *fakeStore) Claim(c Call, _ time.Duration, done func(StoreResult)) {
	k.record(&k.toServers, "claim %s", c.ID)
	k.answer(k.claim, done)
}
func (k *fakeStore) Resolve(id string, p Promise, _ time.Time, done func(StoreResult)) {
	k.record(&k.toServers, "resolve %s %d", id, p.Outcome)
	k.answer(k.resolve, done)
}
func (k *fakeStore) MarkEnded(id string) { k.record(&k.toServers, "over %s", id) }

// TestPromiseStore checks the order of claims, set-ups and answers: nothing is sent before the claim is
// stored, and no answer is given before it is stored. An answer that exists elsewhere is given in its place,
// and a set-up whose answer could not be stored is given up.
func TestPromiseStore(t *testing.T) {
	ok, no := &StoreResult{OK: true}, &StoreResult{RetryAfter: 600 * ms}
	stands := func(o Outcome) *StoreResult {
		return &StoreResult{Existing: &Promise{Outcome: o, Description: []byte("room"), RetryAfter: 300 * ms}}
	}
	stood := func(a *Agent, k *fakeStore) { a.Stands("1", 0, []byte("room")) }
	ended := func(a *Agent, k *fakeStore) { a.Ended("1", 0, nil, policy.Report{}) }
	leave := func(a *Agent, k *fakeStore) { a.Withdraw(k.fakeSides, "1") }
	release := func(with StoreResult) func(a *Agent, k *fakeStore) {
		return func(a *Agent, k *fakeStore) { k.pending[0](with); k.pending = k.pending[1:] }
	}
	const claim, sent = "claim 1", "set up 1.0 at s"
	cases := []struct {
		name                string
		claim, resolve      *StoreResult
		do                  []func(*Agent, *fakeStore)
		toCaller, toServers string
	}{
		{"stored throughout", ok, ok, []func(*Agent, *fakeStore){stood, ended}, "answered 1 room,ended 1 true",
			claim + "," + sent + ",resolve 1 0,over 1"},
		{"no quorum for the claim: refused, nothing sent", no, nil, nil, "refused 1", claim},
		{"served elsewhere: answered, its release reaches the server", stands(Served), nil, []func(*Agent, *fakeStore){leave},
			"answered 1 room", claim + ",over 1,release 1 somewhere"},
		{"served elsewhere: its end reaches the caller", stands(Served), nil,
			[]func(*Agent, *fakeStore){func(a *Agent, _ *fakeStore) { a.UnknownEnded("1", nil) }}, "answered 1 room,ended 1 true", claim + ",over 1"},
		{"refused elsewhere", stands(Refused), nil, nil, "refused 1", claim},
		{"failed elsewhere", stands(Failed), nil, nil, "failed 1", claim},
		{"left while claimed: resolved, nothing sent", nil, ok, []func(*Agent, *fakeStore){leave, release(*ok)}, "", claim + ",resolve 1 2"},
		{"left with a set-up out", ok, ok, []func(*Agent, *fakeStore){leave}, "", claim + "," + sent + ",resolve 1 2,give up 1.0 at s"},
		{"no quorum for the answer: given up", ok, no, []func(*Agent, *fakeStore){stood}, "refused 1",
			claim + "," + sent + ",resolve 1 0,over 1,give up 1.0 at s"},
		{"closed by another meanwhile: given up", ok, stands(Refused), []func(*Agent, *fakeStore){stood}, "refused 1",
			claim + "," + sent + ",resolve 1 0,over 1,give up 1.0 at s"},
		{"ended while its answer is stored: answer, then end", ok, nil, []func(*Agent, *fakeStore){stood, ended, release(*ok)},
			"answered 1 room,ended 1 true", claim + "," + sent + ",resolve 1 0,over 1"},
		{"left while its answer is stored", ok, nil, []func(*Agent, *fakeStore){stood, leave, release(*ok)}, "",
			claim + "," + sent + ",resolve 1 0,give up 1.0 at s,over 1"},
		{"overdue while its answer is stored", ok, nil, []func(*Agent, *fakeStore){stood, func(*Agent, *fakeStore) { sleep(10 * time.Second) }, release(*ok)},
			"failed 1", claim + "," + sent + ",resolve 1 0,give up 1.0 at s,over 1"},
		{"stopped while claimed", nil, ok, []func(*Agent, *fakeStore){func(a *Agent, _ *fakeStore) { a.RefuseAll(time.Second) }, release(*ok)},
			"refused 1", claim + ",resolve 1 2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &fakeStore{fakeSides: &fakeSides{}, claim: c.claim, resolve: c.resolve}
				a, err := New(Config{Settings: settings(), Seed: 1, AnswerSlack: 20 * ms, Promises: k})
				require.NoError(t, err)
				a.SetBackend(k)
				go a.Run()
				defer a.Stop()
				a.Servers([]Server{{Server: policy.Server{ID: "s"}}}, true)
				offer(a, k.fakeSides, "1", 9*time.Second)
				for _, do := range c.do {
					do(a, k)
					synctest.Wait()
				}
				require.Equal(t, c.toCaller, strings.Join(k.callerLog(), ","))
				require.Equal(t, c.toServers, strings.Join(k.serverLog(), ","))
				if c.name != "stored throughout" {
					require.Zero(t, a.openCalls)
				}
			})
		})
	}
}
