// Package console is the operators' door: a connection brings one line, and gets one
// answer. What a call does stands with whoever registers it; nothing here waits for an
// actor, so the door answers while callers keep those busy.
package console

import (
	"bufio"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"time"
)

// The first words of an answer, and the line after the last figure.
const (
	Success = "SUCCESS"
	Failure = "FAILURE"
	End     = "EOT"
)

// The bounds of a connection. Most connections of people who said nothing yet make room,
// the oldest first; descriptors are the callers'.
const (
	mostLine  = 256
	mostOpen  = 16
	lineTime  = 5 * time.Second
	writeTime = time.Second
)

// Console answers the calls that are registered, by their names.
type Console struct {
	Calls map[string]func() string // an answer, without the end of its last line
	Log   *slog.Logger

	mu     sync.Mutex
	open   []net.Conn // that have said no whole line yet, oldest first
	closed bool
	group  sync.WaitGroup
}

// Serve accepts operators until the listener is closed.
func (c *Console) Serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			c.Log.Warn("console: accept failed", "error", err)
			time.Sleep(10 * time.Millisecond)
			continue
		}
		c.enter(conn)
	}
}

// Close ends the connections there are.
func (c *Console) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.open {
		conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

func (c *Console) enter(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	if len(c.open) >= mostOpen {
		c.open[0].Close()
		c.open = c.open[1:]
	}
	c.open = append(c.open, conn)
	c.group.Go(func() { c.converse(conn) })
}

// leave takes a connection out of those that make room.
func (c *Console) leave(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.open {
		if o == conn {
			c.open = append(c.open[:i:i], c.open[i+1:]...)
			return
		}
	}
}

// converse answers one connection. A panic stops here.
func (c *Console) converse(conn net.Conn) {
	defer func() {
		if r := recover(); r != nil {
			c.Log.Error("panic at the console", "reason", r, "stack", string(debug.Stack()))
		}
		c.leave(conn)
		conn.Close()
	}()
	conn.SetReadDeadline(time.Now().Add(lineTime))
	line, err := bufio.NewReaderSize(conn, mostLine).ReadSlice('\n')
	c.leave(conn)
	if err != nil && (len(line) == 0 || !errors.Is(err, bufio.ErrBufferFull)) {
		return
	}
	answer := c.answer(string(line)) // an order that is kept by further agents takes its time
	conn.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := fmt.Fprintf(conn, "%s\n", answer); err != nil {
		c.Log.Warn("console: answer not written", "error", err)
	}
}

// answer carries one line out.
func (c *Console) answer(line string) string {
	name := strings.ToUpper(strings.TrimSpace(line))
	do := c.Calls[name]
	if do == nil {
		return fmt.Sprintf("%s no call %.40q", Failure, name)
	}
	return do()
}
