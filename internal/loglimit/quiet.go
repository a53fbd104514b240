// Package loglimit keeps a log from flooding: a line that comes too often is passed over for
// the rest of its second, and the next one of its kind says how many were.
package loglimit

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Handler passes at most Most lines of one message in each second on.
type Handler struct {
	next      slog.Handler
	perSecond int
	counters  *counters // shared by the handlers made of this one
}

type counters struct {
	mu        sync.Mutex
	byMessage map[string]*counter
}

// counter is what came of one message text. The texts are constants of the program, but for
// the module's; maxKinds bounds those.
type counter struct {
	windowStart time.Time
	count       int
	dropped     int
}

const maxMessages = 1000

// New returns a handler before next.
func New(next slog.Handler, perSecond int) *Handler {
	return &Handler{next, perSecond, &counters{byMessage: map[string]*counter{}}}
}

// Enabled asks the next handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle passes a line on unless too many like it came within a second.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
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

// WithAttrs and WithGroup keep the count of all handlers together.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(a), h.perSecond, h.counters}
}

// WithGroup is as WithAttrs.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.perSecond, h.counters}
}
