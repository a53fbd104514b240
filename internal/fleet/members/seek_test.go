package members

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// TestSeeker: which seeds are asked at a look, and how often. draw is always the same.
func TestSeeker(t *testing.T) {
	seeds := []string{"self", "a", "b", "a"}
	for _, c := range []struct {
		name  string
		alive int
		met   []string
		draw  float64
		span  time.Duration // looks each second for so long
		want  map[string]int
	}{
		{name: "alone, all at each look", alive: 1, span: 3 * time.Second, want: map[string]int{"a": 4, "b": 4}},
		// Spans of 8 s, the first from its beginning: then 4 s, 8 s and, ever after, 16 s on.
		{name: "one missing", alive: 4, met: []string{"a"}, span: 61 * time.Second, want: map[string]int{"b": 5}},
		{name: "by chance later", alive: 4, met: []string{"a"}, draw: 0.5, span: 61 * time.Second, want: map[string]int{"b": 3}},
		{name: "one at a look", alive: 4, span: time.Second, want: map[string]int{"a": 1}},
		{name: "one at a look, each in turn", alive: 4, span: 2 * time.Second, want: map[string]int{"a": 1, "b": 1}},
		{name: "a larger fleet, each agent more seldom", alive: 400, met: []string{"a"}, draw: 0.5, span: 399 * time.Second},
		{name: "none missing, any", alive: 4, met: seeds, draw: 0.5, span: 300 * time.Second, want: map[string]int{"b": 2}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSeeker(seeds, "self")
			got := map[string]int{}
			for at := time.Duration(0); at <= c.span; at += time.Second {
				for _, seed := range s.nextSeeds(at, c.alive, func(a string) bool { return slices.Contains(c.met, a) }, func() float64 { return c.draw }) {
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

// TestSeekerBounds: whatever the chances and however the fleet's size changes, a seed that stays
// missing is asked within a span and a half, never twice within half a span, one that is met is
// not asked while another is missing, and an agent never asks itself.
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
		spans, asked := 0.0, 0 // spans passed since the latest ask
		look := 100 * time.Millisecond
		for range 600 {
			now += look
			if rapid.IntRange(0, 99).Draw(t, "change") == 0 {
				size = rapid.IntRange(2, 12).Draw(t, "alive")
			}
			if asked > 0 || s.missing[missing] != nil {
				spans += float64(look) / float64(time.Duration(size)*missingSeedInterval<<min(asked, maxBackoffDoublings))
			}
			slack := float64(look) / float64(2*missingSeedInterval)
			switch ask := s.nextSeeds(now, size, func(a string) bool { return a != missing }, draw); {
			case len(ask) == 1 && ask[0] == missing:
				if asked > 0 && spans < 0.5-slack {
					t.Fatalf("asked after %.2f spans", spans)
				}
				spans, asked = 0, asked+1
			case len(ask) > 0:
				t.Fatalf("asked %v while %s is missing", ask, missing)
			case spans > 1.5+slack:
				t.Fatalf("not asked for %.2f spans", spans)
			}
		}
	})
}

// TestSeekerRate: a fleet's asking of a seed that stays missing does not grow with the fleet.
func TestSeekerRate(t *testing.T) {
	const span = 10 * time.Minute
	for _, agents := range []int{4, 40, 400} {
		asked := 0
		for i := range agents {
			s := newSeeker([]string{"a"})
			state := uint64(i + 1)
			draw := func() float64 { // a generator of its own, the same at each run
				state = state*6364136223846793005 + 1442695040888963407
				return float64(state>>33) / (1 << 31)
			}
			for at := time.Duration(0); at < span; at += time.Second {
				asked += len(s.nextSeeds(at, agents, func(string) bool { return false }, draw))
			}
		}
		// At most one each missEvery at first, and one each 4 missEvery at last.
		assert.LessOrEqual(t, float64(asked), 1.1*float64(span/missingSeedInterval), "%d agents", agents)
		assert.GreaterOrEqual(t, float64(asked), 0.9*float64(span/(missingSeedInterval<<maxBackoffDoublings)), "%d agents", agents)
	}
}
