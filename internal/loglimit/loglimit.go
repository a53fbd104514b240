// Package loglimit limits the rate of log lines with the same message. Lines above the limit are dropped for
// the rest of the second, and the next line with that message says how many were dropped.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Handler passes on at most perSecond lines with the same message in each second.
type Handler struct {
	next      slog.Handler
	perSecond int
	counters  *counters // shared by the handlers derived from this one
}

// counters holds one counter for each message.
type counters struct {
	mu        sync.Mutex
	byMessage map[string]*counter
}

// counter counts the lines of one message. Messages are constants of the program, except for those of package
// policy; maxMessages limits their number.
type counter struct {
	windowStart time.Time
	count       int
	dropped     int
}

// maxMessages is the number of messages counted at a time; all counts start anew when it is exceeded.
const maxMessages = 1000

// New returns a handler that limits the lines passed on to next.
func New(next slog.Handler, perSecond int) *Handler {
	return &Handler{next, perSecond, &counters{byMessage: map[string]*counter{}}}
}

// Enabled asks the next handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle passes a line on unless its message has reached its limit for this second. Lines at debug are not
// limited: a trace of a call must be complete.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	if r.Level <= slog.LevelDebug {
		return h.next.Handle(ctx, r)
	}
	pass, dropped := h.counters.allow(r.Message, r.Time, h.perSecond)
	if !pass {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("passed_over", dropped))
	}
	return h.next.Handle(ctx, r)
}

func (k *counters) allow(message string, now time.Time, perSecond int) (pass bool, dropped int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c := k.byMessage[message]
	if c == nil {
		if len(k.byMessage) >= maxMessages {
			clear(k.byMessage)
		}
		c = &counter{windowStart: now}
		k.byMessage[message] = c
	}
	if now.Sub(c.windowStart) >= time.Second {
		c.windowStart, c.count = now, 0
	}
	if c.count >= perSecond {
		c.dropped++
		return false, 0
	}
	c.count++
	dropped, c.dropped = c.dropped, 0
	return true, dropped
}

// WithAttrs returns a handler with more attributes that shares the counts of this one.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(a), h.perSecond, h.counters}
}

// WithGroup returns a handler with a group that shares the counts of this one.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.perSecond, h.counters}
}
