// Package recent remembers the calls handled lately, so that what comes for one of them once
// more is told from what was never heard of.
package recent

import "time"

// An id is remembered for span at least, unless more than most come meanwhile: a flood of
// ids must not take the memory.
const (
	span = time.Minute
	most = 8192
)

// Set holds ids in two generations. Its zero value is empty; it is for one goroutine.
type Set[K comparable] struct {
	now, before map[K]struct{}
	since       time.Time
}

// Add remembers an id.
func (s *Set[K]) Add(id K) {
	if s.now == nil || len(s.now) >= most || time.Since(s.since) > span {
		s.before, s.now, s.since = s.now, map[K]struct{}{}, time.Now()
	}
	s.now[id] = struct{}{}
}

// Has tells whether an id is remembered.
func (s *Set[K]) Has(id K) bool {
	_, now := s.now[id]
	_, before := s.before[id]
	return now || before
}
