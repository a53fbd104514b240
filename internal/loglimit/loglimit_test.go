package loglimit

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRateLimit guards against a fault that occurs thousands of times a second filling the log or hiding
// other lines. The next line with the same message says how many were dropped.
func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := slog.New(New(slog.NewTextHandler(&out, nil), 3))
		for range 1000 {
			log.With("caller", "x").Warn("bad message")
		}
		log.Info("other")
		assert.Equal(t, 3, strings.Count(out.String(), "bad message"))
		assert.Equal(t, 1, strings.Count(out.String(), "other"))
		time.Sleep(time.Second)
		log.Warn("bad message")
		assert.Contains(t, out.String(), "passed_over=997")
	})
}
