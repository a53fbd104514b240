package agent

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/policy"
)

// TestDropReplaced checks that a server counts as gone once a later server has its address, whatever the list
// still says of it. Otherwise calls meant for the old server would reach the new one, which is cold.
func TestDropReplaced(t *testing.T) {
	entry := func(id, address string, ready policy.Time, state policy.State) Server {
		return Server{Server: policy.Server{ID: id, ReadyAt: ready, State: state}, Address: address}
	}
	old, next := entry("old", "x:1", 0, policy.Up), entry("next", "x:1", 5, policy.Up)
	draining := entry("old", "x:1", 0, policy.Draining)
	for _, tc := range []struct {
		name string
		news [][]Server
		want string // the result for the last list
	}{
		{"in two lists", [][]Server{{old}, {next}}, "next up, old gone"},
		{"in one list", [][]Server{{old, next}}, "old up, next up, old gone"},
		{"in one list, the new one first", [][]Server{{next, old}}, "next up, old gone"},
		{"the old one drains", [][]Server{{draining}, {next}}, "next up, old gone"},
		{"a late entry of the old one", [][]Server{{old}, {next}, {draining}}, "old gone"},
		{"the old one was gone", [][]Server{{old}, {entry("old", "x:1", 0, policy.Gone)}, {next}}, "next up"},
		{"the old one has moved", [][]Server{{old}, {entry("old", "x:2", 0, policy.Up)}, {next}}, "next up"},
		{"a restart", [][]Server{{old}, {entry("old", "x:1", 7, policy.Up)}}, "old up"},
		{"other addresses", [][]Server{{old}, {entry("next", "x:2", 5, policy.Up)}}, "next up"},
	} {
		a, err := New(Config{Settings: settings()})
		require.NoError(t, err)
		got := ""
		for _, list := range tc.news {
			got = ""
			for _, s := range a.dropReplaced(list, false) {
				got += fmt.Sprint(", ", s.ID, " ", [...]string{"up", "draining", "gone"}[s.State])
			}
		}
		assert.Equal(t, ", "+tc.want, got, tc.name)
	}
}
