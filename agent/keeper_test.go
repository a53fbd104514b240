package agent

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"woodrouter/policy"
)

// shelf is a Keeper that notes what it is asked and answers as the test says; a nil answer
// is held back until the test gives it.
type shelf struct {
	*side
	claim, resolve *Kept
	held           []func(Kept)
}

func (k *shelf) answer(with *Kept, done func(Kept)) {
	if with == nil {
		k.held = append(k.held, done)
		return
	}
	go done(*with)
}
func (k *shelf) Claim(c Call, _ time.Duration, done func(Kept)) {
	k.note(&k.asked, "claim %s", c.ID)
	k.answer(k.claim, done)
}
func (k *shelf) Resolve(id string, p Promised, _ time.Time, done func(Kept)) {
	k.note(&k.asked, "resolve %s %d", id, p.Outcome)
	k.answer(k.resolve, done)
}
func (k *shelf) Over(id string) { k.note(&k.asked, "over %s", id) }

// TestKeeper: nothing is sent before the claim is kept, no answer told before it is; what
// stands elsewhere is told in its place; and a set-up whose promise failed is given up.
func TestKeeper(t *testing.T) {
	ok, no := &Kept{OK: true}, &Kept{ComeBack: 600 * ms}
	stands := func(o Outcome) *Kept {
		return &Kept{Stands: &Promised{Outcome: o, Description: []byte("room"), ComeBack: 300 * ms}}
	}
	stood := func(a *Agent, k *shelf) { a.Stands("1", 0, []byte("room")) }
	ended := func(a *Agent, k *shelf) { a.Ended("1", 0, nil, policy.Report{}) }
	leave := func(a *Agent, k *shelf) { a.Withdraw(k.side, "1") }
	release := func(with Kept) func(a *Agent, k *shelf) {
		return func(a *Agent, k *shelf) { k.held[0](with); k.held = k.held[1:] }
	}
	const claim, sent = "claim 1", "set up 1.0 at s"
	cases := []struct {
		name           string
		claim, resolve *Kept
		do             []func(*Agent, *shelf)
		said, asked    string
	}{
		{"kept throughout", ok, ok, []func(*Agent, *shelf){stood, ended}, "answered 1 room,ended 1 true",
			claim + "," + sent + ",resolve 1 0,over 1"},
		{"no quorum for the claim: refused, nothing sent", no, nil, nil, "refused 1", claim},
		{"served elsewhere: told, and its end and release reach", stands(Served), nil, []func(*Agent, *shelf){leave},
			"answered 1 room", claim + ",over 1,release 1 somewhere"},
		{"served elsewhere: its end is told", stands(Served), nil,
			[]func(*Agent, *shelf){func(a *Agent, _ *shelf) { a.Unknown("1", nil) }}, "answered 1 room,ended 1 true", claim + ",over 1"},
		{"refused elsewhere", stands(Refused), nil, nil, "refused 1", claim},
		{"failed elsewhere", stands(Failed), nil, nil, "failed 1", claim},
		{"left while claimed: resolved, nothing sent", nil, ok, []func(*Agent, *shelf){leave, release(*ok)}, "", claim + ",resolve 1 2"},
		{"left with a set-up out", ok, ok, []func(*Agent, *shelf){leave}, "", claim + "," + sent + ",resolve 1 2,give up 1.0 at s"},
		{"the answer has no quorum: given up", ok, no, []func(*Agent, *shelf){stood}, "refused 1",
			claim + "," + sent + ",resolve 1 0,over 1,give up 1.0 at s"},
		{"closed by another meanwhile: given up", ok, stands(Refused), []func(*Agent, *shelf){stood}, "refused 1",
			claim + "," + sent + ",resolve 1 0,over 1,give up 1.0 at s"},
		{"ended while its answer is kept: both told, in order", ok, nil, []func(*Agent, *shelf){stood, ended, release(*ok)},
			"answered 1 room,ended 1 true", claim + "," + sent + ",resolve 1 0,over 1"},
		{"left while its answer is kept", ok, nil, []func(*Agent, *shelf){stood, leave, release(*ok)}, "",
			claim + "," + sent + ",resolve 1 0,give up 1.0 at s,over 1"},
		{"overdue while its answer is kept", ok, nil, []func(*Agent, *shelf){stood, func(*Agent, *shelf) { after(10 * time.Second) }, release(*ok)},
			"failed 1", claim + "," + sent + ",resolve 1 0,give up 1.0 at s,over 1"},
		{"stopped while claimed", nil, ok, []func(*Agent, *shelf){func(a *Agent, _ *shelf) { a.RefuseAll(time.Second) }, release(*ok)},
			"refused 1", claim + ",resolve 1 2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := &shelf{side: &side{}, claim: c.claim, resolve: c.resolve}
				a, err := New(Config{Settings: settings(), Seed: 1, Slack: 20 * ms, Keeper: k})
				require.NoError(t, err)
				a.Attach(k)
				go a.Run()
				defer a.Stop()
				a.Servers([]Server{{Server: policy.Server{ID: "s"}}}, true)
				offer(a, k.side, "1", 9*time.Second)
				for _, do := range c.do {
					do(a, k)
					synctest.Wait()
				}
				require.Equal(t, c.said, strings.Join(k.heard(), ","))
				require.Equal(t, c.asked, strings.Join(k.did(), ","))
				if c.name != "kept throughout" {
					require.Zero(t, a.open)
				}
			})
		})
	}
}
