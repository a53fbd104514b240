package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes what was sent, answered and run to a file, a line each with the Unix time in milliseconds.
type recorder struct {
	mu   sync.Mutex
	file *os.File
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file}, nil
}

// add writes one line and returns its time.
func (r *recorder) add(format string, args ...any) time.Time {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%d %s\n", now.UnixMilli(), fmt.Sprintf(format, args...))
	return now
}

// say writes one line to the file and to standard output.
func (r *recorder) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *recorder) close() { r.file.Close() }
