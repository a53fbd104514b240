package agent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"woodrouter/policy"
)

// TestStandingCallsLimited guards the memory limit against callers whose calls stand in ever larger numbers: above the limit
// new calls are refused, and the end of a call makes room for another.
func TestStandingCallsLimited(t *testing.T) {
	withAgent(t, func(a *Agent, s *fakeSides) {
		a.cfg.MaxStandingCalls = 3
		place := func(id string) {
			a.Offer(s, callFor(id, 3*time.Second))
			synctest.Wait()
			a.Stands(id, 0, nil)
			synctest.Wait()
		}
		for n := range 5 {
			place(fmt.Sprint("c", n))
		}
		assert.Equal(t, 3, a.standingCalls)
		a.Withdraw(s, "c0")
		synctest.Wait()
		a.Ended("c0", 0, nil, policy.EmptyReport())
		synctest.Wait()
		place("d")
		assert.Equal(t, 3, a.standingCalls)
		assert.NotNil(t, a.calls["d"])
	})
}
