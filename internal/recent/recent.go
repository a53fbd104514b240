// Package recent remembers the ids of calls handled recently, so that a repeated message for one of them can
// be told from one for an unknown call.
package recent

import "time"

// An id is remembered for at least retention, unless more than maxPerGeneration other ids are added in that
// time: a flood of ids must not exhaust memory.
const (
	retention        = time.Minute
	maxPerGeneration = 8192
)

// Set holds ids in two generations. The zero value is an empty set. It is not safe for concurrent use.
type Set[K comparable] struct {
	current, previous map[K]struct{}
	currentSince      time.Time
}

// Add adds an id.
func (s *Set[K]) Add(id K) {
	if s.current == nil || len(s.current) >= maxPerGeneration || time.Since(s.currentSince) > retention {
		s.previous, s.current, s.currentSince = s.current, map[K]struct{}{}, time.Now()
	}
	s.current[id] = struct{}{}
}

// Has reports whether an id is remembered.
func (s *Set[K]) Has(id K) bool {
	_, now := s.current[id]
	_, before := s.previous[id]
	return now || before
}
