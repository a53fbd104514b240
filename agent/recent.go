package agent

import "time"

// recentSpan is how long at least an id is remembered.
const recentSpan = time.Minute

// recent remembers the ids of calls handled here. A release for one of them that comes
// once more says nothing; one for any other is of a call from before this start.
type recent struct {
	now, before map[string]struct{}
	since       time.Time
}

func (r *recent) add(id string) {
	if time.Since(r.since) > recentSpan {
		r.before, r.now, r.since = r.now, map[string]struct{}{}, time.Now()
	}
	r.now[id] = struct{}{}
}

func (r *recent) has(id string) bool {
	_, now := r.now[id]
	_, before := r.before[id]
	return now || before
}
