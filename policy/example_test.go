package policy_test

import (
	"fmt"
	"time"

	"woodrouter/policy"
)

// The gateway passes each event to its controller, with the time, and carries out
// the actions in order. Here a call is sent to its first choice and stands.
func Example() {
	c, err := policy.New(policy.Settings{
		Rank: 0, Senders: 3,
		Classes: []policy.Class{{Name: "voice", Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second,
			Hold: 90 * time.Second, Worth: 1}},
		Reports: policy.WithAnswers,
		Limits:  policy.Limits{MaxAttempts: 3, MaxRetryAfter: 2 * time.Second, AllowCancel: true},
		Rules: policy.Rules{RetryDelay: 300 * time.Millisecond, WarmUp: 15 * time.Second,
			LoadWindow: 2 * time.Second, ColdShare: 0.3, CollapseLoad: 2},
		RepeatInterval: 500 * time.Millisecond, BatchInterval: 5 * time.Millisecond,
	}, 1)
	if err != nil {
		fmt.Println(err)
		return
	}
	carryOut := func(actions []policy.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case policy.Send:
				fmt.Println("set up", a.ID, "at", a.Server)
			case policy.Refuse:
				fmt.Println("refuse", a.ID, "for", a.RetryAfter)
			case policy.Wake:
				// set a timer that comes back as policy.Tick
			}
		}
	}
	now := time.Hour // on the gateway's own clock
	carryOut(c.Handle(now, policy.ServerList{Whole: true, Servers: []policy.Server{
		{ID: "core-a", Pool: 0}, {ID: "core-b", Pool: 1}}}))
	carryOut(c.Handle(now, policy.Arrival{ID: "call-1", Class: "voice", TimeLeft: 3 * time.Second, Pool: 1}))
	now += 40 * time.Millisecond
	carryOut(c.Handle(now, policy.Standing{ID: "call-1", Server: "core-b", Delay: 40 * time.Millisecond}))
	// Output: set up call-1 at core-b
}
