package agent

import (
	"time"
)

// Limits per second on passing on ends of unknown calls. A caller's release of an unknown call costs each
// server a message. After a restart, callers release about as many calls from before it in each second as
// were set up in a second, so the limit is above the calls of a busy second. A server's end of an unknown call
// costs one caller a message, and these come all at once on the first connection after a restart, so the limit
// is the number of calls that stand in a busy hour.
const (
	unknownReleasesPerSecond = 200
	unknownEndsPerSecond     = 2000
)

// rateLimiter counts events within the current second.
type rateLimiter struct {
	since time.Time
	count int
}

// allow counts one event and reports whether it is within the limit per second.
func (l *rateLimiter) allow(now time.Time, limit int) bool {
	if now.Sub(l.since) >= time.Second {
		*l = rateLimiter{since: now}
	}
	l.count++
	return l.count <= limit
}

// ReleaseUnknown reports that a caller released a call that its front does not know. A call from before a
// restart still stands at some server and is released at all of them; a call that was handled here needs
// nothing more. Each release costs every server a message, so callers that invent ids are limited to
// unknownReleasesPerSecond. It blocks until the core has handled the release.
func (a *Agent) ReleaseUnknown(id string) {
	a.postAndWait(id, func() {
		if a.calls[id] == nil && !a.recent.Has(id) && a.unknownReleases.allow(time.Now(), unknownReleasesPerSecond) {
			a.backend.ReleaseUnknown(id)
		}
	})
}

// UnknownEnded reports that a server ended a call that the backend does not know. It blocks until the core has
// handled the report.
func (a *Agent) UnknownEnded(id string, err *Failure) {
	a.postAndWait(id, func() {
		if a.calls[id] == nil && !a.adoptedEnded(id, err) && !a.recent.Has(id) && a.unknownEnds.allow(time.Now(), unknownEndsPerSecond) {
			a.recent.Add(id) // a server may report the end on several connections
			a.cfg.OnUnknownEnded(id, failureOrNil(err))
		}
	})
}

// failureOrNil returns f as an error, so that a nil *Failure becomes a nil error.
func failureOrNil(f *Failure) error {
	if f == nil {
		return nil
	}
	return f
}
