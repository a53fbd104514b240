package recent

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSet checks that an id is kept for the retention time and dropped afterwards, and that a flood of other
// ids takes no more memory than two generations.
func TestSet(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var s Set[int]
		assert.False(t, s.Has(-1))
		s.Add(-1)
		time.Sleep(retention)
		s.Add(-2)
		assert.True(t, s.Has(-1))
		time.Sleep(retention + 1)
		s.Add(-3)
		time.Sleep(retention + 1)
		s.Add(-4)
		assert.Equal(t, []bool{false, false, true, true}, []bool{s.Has(-1), s.Has(-2), s.Has(-3), s.Has(-4)})
		for i := range 10 * maxPerGeneration {
			s.Add(i)
		}
		assert.LessOrEqual(t, len(s.current)+len(s.previous), 2*maxPerGeneration)
		assert.True(t, s.Has(10*maxPerGeneration-1))
	})
}
