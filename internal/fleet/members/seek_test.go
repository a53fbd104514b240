package members

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestSeeker: which seeds are asked, and how often. All random numbers are draw.
func TestSeeker(t *testing.T) {
	seeds := []string{"self", "a", "b", "a"}
	for _, c := range []struct {
		name     string
		alive    int
		present  []string
		draw     float64
		duration time.Duration // one call each second
		want     map[string]int
	}{
		{name: "alone: all at each call", alive: 1, duration: 3 * time.Second, want: map[string]int{"a": 4, "b": 4}},
		// The intervals are 8 s (4 agents x 2 s), 16 s and from then on 32 s. With draw 0 the first attempt
		// comes at the second call, the next after half an interval each: 8 s later, and then every 16 s.
		{name: "one missing", alive: 4, present: []string{"a"}, duration: 61 * time.Second, want: map[string]int{"b": 5}},
		{name: "a later random number", alive: 4, present: []string{"a"}, draw: 0.5, duration: 61 * time.Second, want: map[string]int{"b": 3}},
		{name: "one at a call", alive: 4, duration: time.Second, want: map[string]int{"a": 1}},
		{name: "one at a call, each in turn", alive: 4, duration: 2 * time.Second, want: map[string]int{"a": 1, "b": 1}},
		{name: "a larger fleet: each agent asks less often", alive: 400, present: []string{"a"}, draw: 0.5, duration: 399 * time.Second},
		{name: "none missing: any", alive: 4, present: seeds, draw: 0.5, duration: 300 * time.Second, want: map[string]int{"b": 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSeeker(seeds, "self")
			got := map[string]int{}
			for at := time.Duration(0); at <= c.duration; at += time.Second {
				for _, seed := range s.nextSeeds(at, c.alive, func(a string) bool { return slices.Contains(c.present, a) }, func() float64 { return c.draw }) {
					got[seed]++
				}
			}
			if c.want == nil {
				c.want = map[string]int{}
			}
			assert.Equal(t, c.want, got)
		})
	}
	assert.Empty(t, newSeeker([]string{"self"}, "self").nextSeeds(0, 1, func(string) bool { return false }, func() float64 { return 0 }))
}

// TestSeekerBounds: whatever the random numbers and however the size of the fleet changes, a seed that stays
// missing is asked within 1.5 intervals and never twice within half an interval. A present seed is not asked
// while another is missing, and an agent never asks itself.
func TestSeekerBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seeds := []string{"self"}
		for i := range rapid.IntRange(1, 5).Draw(t, "seeds") {
			seeds = append(seeds, fmt.Sprint("s", i))
		}
		s := newSeeker(seeds, "self")
		missing := rapid.SampledFrom(seeds[1:]).Draw(t, "missing")
		draw := func() float64 { return rapid.Float64Range(0, 0.999999).Draw(t, "draw") }
		size := rapid.IntRange(2, 12).Draw(t, "alive")
		var now time.Duration
		intervals, asked := 0.0, 0 // intervals since the seed was asked last
		step := 100 * time.Millisecond
		for range 600 {
			now += step
			if rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				size = rapid.IntRange(2, 12).Draw(t, "alive")
			}
			if asked > 0 || s.missing[missing] != nil {
				intervals += float64(step) / float64(time.Duration(size)*missingSeedInterval<<min(asked, maxBackoffDoublings))
			}
			slack := float64(step) / float64(2*missingSeedInterval)
			switch ask := s.nextSeeds(now, size, func(a string) bool { return a != missing }, draw); {
			case len(ask) == 1 && ask[0] == missing:
				if asked > 0 && intervals < 0.5-slack {
					t.Fatalf("asked after %.2f intervals", intervals)
				}
				intervals, asked = 0, asked+1
			case len(ask) > 0:
				t.Fatalf("asked %v while %s is missing", ask, missing)
			case intervals > 1.5+slack:
				t.Fatalf("not asked for %.2f intervals", intervals)
			}
		}
	})
}

// TestSeekerRate: the rate at which a whole fleet asks a seed that stays missing does not grow with the
// fleet.
func TestSeekerRate(t *testing.T) {
	const duration = 10 * time.Minute
	for _, agents := range []int{4, 40, 400} {
		asked := 0
		for i := range agents {
			s := newSeeker([]string{"a"})
			state := uint64(i + 1)
			draw := func() float64 { // a generator of the agent's own with a fixed seed, so that all runs are the same
				state = state*6364136223846793005 + 1442695040888963407
				return float64(state>>33) / (1 << 31)
			}
			for at := time.Duration(0); at < duration; at += time.Second {
				asked += len(s.nextSeeds(at, agents, func(string) bool { return false }, draw))
			}
		}
		// At first at most one request per missingSeedInterval, and in the end at least one per 4
		// missingSeedInterval.
		assert.LessOrEqual(t, float64(asked), 1.1*float64(duration/missingSeedInterval), "%d agents", agents)
		assert.GreaterOrEqual(t, float64(asked), 0.9*float64(duration/(missingSeedInterval<<maxBackoffDoublings)), "%d agents", agents)
	}
}
