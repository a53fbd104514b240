package quorum

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// raftLogSink passes raft's log lines to the program's logger. Raft reports an unreachable member
// five times a second for as long as it lasts, so equal lines are limited to one per raftLogInterval.
type raftLogSink struct {
	log *slog.Logger

	mu          sync.Mutex
	lastWritten map[string]time.Time // by message and member; grows with the number of members only
}

// raftLogInterval is the minimum time between two equal lines of raft's.
const raftLogInterval = time.Second

// newRaftLogger returns a logger for raft that passes on lines of level WARN and above.
func newRaftLogger(log *slog.Logger) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: io.Discard})
	l.RegisterSink(&raftLogSink{log: log, lastWritten: map[string]time.Time{}})
	return l
}

// Accept writes a line; it implements hclog.SinkAdapter.
func (r *raftLogSink) Accept(_ string, level hclog.Level, msg string, args ...any) {
	if level < hclog.Warn || !r.allow(msg, args) {
		return
	}
	logLevel := slog.LevelWarn // raft's errors are mostly lost connections, not faults of this program
	if level > hclog.Error {
		logLevel = slog.LevelError
	}
	for i := 1; i < len(args); i += 2 {
		args[i] = fmt.Sprint(args[i])
	}
	r.log.Log(context.Background(), logLevel, "raft: "+msg, args...)
}

// allow reports whether a line may be written now. Two lines are equal if they have the same message
// and name the same member.
func (r *raftLogSink) allow(msg string, args []any) bool {
	key := msg
	for i := 0; i+1 < len(args); i += 2 {
		if args[i] == "peer" || args[i] == "target" {
			key += fmt.Sprint(args[i+1])
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastWritten[key]) < raftLogInterval {
		return false
	}
	r.lastWritten[key] = time.Now()
	return true
}
