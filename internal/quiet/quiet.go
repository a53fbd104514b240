// Package quiet keeps a log from flooding: a line that comes too often is passed over for
// the rest of its second, and the next one of its kind says how many were.
package quiet

import (
	"context"
	"log/slog"
	"sync"
	"time"
)

// Handler passes at most Most lines of one message in each second on.
type Handler struct {
	next  slog.Handler
	most  int
	kinds *kinds // shared by the handlers made of this one
}

type kinds struct {
	mu   sync.Mutex
	seen map[string]*kind
}

// kind is what came of one message text. The texts are constants of the program, but for
// the module's; maxKinds bounds those.
type kind struct {
	since   time.Time
	count   int
	dropped int
}

const maxKinds = 1000

// New returns a handler before next.
func New(next slog.Handler, most int) *Handler {
	return &Handler{next, most, &kinds{seen: map[string]*kind{}}}
}

// Enabled asks the next handler.
func (h *Handler) Enabled(ctx context.Context, l slog.Level) bool { return h.next.Enabled(ctx, l) }

// Handle passes a line on unless too many like it came within a second.
func (h *Handler) Handle(ctx context.Context, r slog.Record) error {
	pass, dropped := h.kinds.take(r.Message, r.Time, h.most)
	if !pass {
		return nil
	}
	if dropped > 0 {
		r = r.Clone()
		r.AddAttrs(slog.Int("passed_over", dropped))
	}
	return h.next.Handle(ctx, r)
}

func (k *kinds) take(message string, now time.Time, most int) (pass bool, dropped int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	s := k.seen[message]
	if s == nil {
		if len(k.seen) >= maxKinds {
			clear(k.seen)
		}
		s = &kind{since: now}
		k.seen[message] = s
	}
	if now.Sub(s.since) >= time.Second {
		s.since, s.count = now, 0
	}
	if s.count >= most {
		s.dropped++
		return false, 0
	}
	s.count++
	dropped, s.dropped = s.dropped, 0
	return true, dropped
}

// WithAttrs and WithGroup keep the count of all handlers together.
func (h *Handler) WithAttrs(a []slog.Attr) slog.Handler {
	return &Handler{h.next.WithAttrs(a), h.most, h.kinds}
}

// WithGroup is as WithAttrs.
func (h *Handler) WithGroup(name string) slog.Handler {
	return &Handler{h.next.WithGroup(name), h.most, h.kinds}
}
