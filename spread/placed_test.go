package spread

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestServersWithoutConnectionComeLast checks that servers without a connection come after all that have one,
// in the order of their turns, and return to their former priority with a connection. No random number may be
// drawn for this.
func TestServersWithoutConnectionComeLast(t *testing.T) {
	s, same := New(Config{Seed: 1, Senders: 1}), New(Config{Seed: 1, Senders: 1})
	var seats, others [3]ServerRef
	ids := []string{"a", "b", "c"}
	order := func(i int) float64 { return s.Priority(0, ids[i], &seats[i], 1) }
	var before [3]float64
	for i := range ids {
		before[i] = order(i)
		assert.Equal(t, same.Priority(0, ids[i], &others[i], 1), before[i])
	}
	last := slices.Index(before[:], min(before[0], before[1], before[2])) // the lowest of the three keeps its connection
	i, j := (last+1)%3, (last+2)%3
	s.SetConnected([]string{ids[i], ids[j], "unknown"}, false)
	assert.Less(t, order(i), order(last))
	assert.Less(t, order(j), order(last))
	assert.Equal(t, before[i] < before[j], order(i) < order(j))
	s.SetConnected([]string{ids[i], ids[j]}, true)
	for i := range ids {
		assert.Equal(t, before[i], order(i))
	}
	assert.Equal(t, same.rng.Uint64(), s.rng.Uint64())
}
