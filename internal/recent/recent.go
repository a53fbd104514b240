// Package recent remembers the calls handled lately, so that what comes for one of them once
// more is told from what was never heard of.
package recent

import "time"

// An id is remembered for span at least, unless more than most come meanwhile: a flood of
// ids must not take the memory.
const (
	retention        = time.Minute
	maxPerGeneration = 8192
)

// Set holds ids in two generations. Its zero value is empty; it is for one goroutine.
type Set[K comparable] struct {
	current, previous map[K]struct{}
	currentSince      time.Time
}

// Add remembers an id.
func (s *Set[K]) Add(id K) {
	if s.current == nil || len(s.current) >= maxPerGeneration || time.Since(s.currentSince) > retention {
		s.previous, s.current, s.currentSince = s.current, map[K]struct{}{}, time.Now()
	}
	s.current[id] = struct{}{}
}

// Has tells whether an id is remembered.
func (s *Set[K]) Has(id K) bool {
	_, now := s.current[id]
	_, before := s.previous[id]
	return now || before
}
