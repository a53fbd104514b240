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

// raftLogSink hands raft's log lines to the program's. A member that is gone is told of five times
// a second for as long as it is: of equal lines one a second is enough.
type raftLogSink struct {
	log *slog.Logger

	mu          sync.Mutex
	lastWritten map[string]time.Time // of each line, by message and member: as many as there are members
}

// raftLogInterval is the least time between two equal lines of raft's.
const raftLogInterval = time.Second

// newRaftLogger returns raft's logger, for lines of WARN and above.
func newRaftLogger(log *slog.Logger) hclog.Logger {
	l := hclog.NewInterceptLogger(&hclog.LoggerOptions{Name: "raft", Level: hclog.Warn, Output: io.Discard})
	l.RegisterSink(&raftLogSink{log: log, lastWritten: map[string]time.Time{}})
	return l
}

// Accept is hclog.SinkAdapter's.
func (r *raftLogSink) Accept(_ string, level hclog.Level, msg string, args ...any) {
	if level < hclog.Warn || !r.allow(msg, args) {
		return
	}
	to := slog.LevelWarn // a lost link or member, not a fault of this program
	if level > hclog.Error {
		to = slog.LevelError
	}
	for i := 1; i < len(args); i += 2 {
		args[i] = fmt.Sprint(args[i])
	}
	r.log.Log(context.Background(), to, "raft: "+msg, args...)
}

// allow tells whether a line may be written: lines are equal where the message and the member
// it names are.
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
