// Package console is the operators' door: a connection brings one line, with some orders a
// text after it, and gets one answer. What a call does stands with whoever registers it; nothing here waits for an
// actor, so the door answers while callers keep those busy.
package console

import (
	"bufio"
	"errors"
	"fmt"
	"io"
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
	maxLineBytes = 512
	maxWaiting   = 16
	lineTimeout  = 5 * time.Second
	bodyTimeout  = 10 * time.Second
	writeTimeout = time.Second

	// MaxBodyBytes bounds the bytes of an order's text.
	MaxBodyBytes = 256 << 10
)

// Command is a call that takes words after its name.
type Command struct {
	// Usage is what the answer to a wrong line says; its words after the name are Least to
	// Most in number.
	Usage              string
	MinWords, MaxWords int
	// TakesBody has lines follow, up to one that is EOT alone: the order's text.
	TakesBody bool
	Run       func(words []string, body []byte) string
}

// Console answers the calls that are registered, by their names.
type Console struct {
	Handlers map[string]func() string // an answer, without the end of its last line
	Commands map[string]Command       // by name, of one word or two; the longer name goes first
	Log      *slog.Logger

	mu          sync.Mutex
	waiting     []net.Conn // that have said no whole line yet, oldest first
	closed      bool
	connections sync.WaitGroup
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
		c.startConn(conn)
	}
}

// Close ends the connections there are.
func (c *Console) Close() {
	c.mu.Lock()
	c.closed = true
	for _, conn := range c.waiting {
		conn.Close()
	}
	c.mu.Unlock()
	c.connections.Wait()
}

func (c *Console) startConn(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		conn.Close()
		return
	}
	if len(c.waiting) >= maxWaiting {
		c.waiting[0].Close()
		c.waiting = c.waiting[1:]
	}
	c.waiting = append(c.waiting, conn)
	c.connections.Go(func() { c.serveConn(conn) })
}

// stopWaiting takes a connection out of those that make room.
func (c *Console) stopWaiting(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, o := range c.waiting {
		if o == conn {
			c.waiting = append(c.waiting[:i:i], c.waiting[i+1:]...)
			return
		}
	}
}

// serveConn answers one connection. A panic stops here.
func (c *Console) serveConn(conn net.Conn) {
	defer func() {
		if r := recover(); r != nil {
			c.Log.Error("panic at the console", "reason", r, "stack", string(debug.Stack()))
		}
		c.stopWaiting(conn)
		conn.Close()
	}()
	conn.SetReadDeadline(time.Now().Add(lineTimeout))
	reader := bufio.NewReaderSize(conn, maxLineBytes)
	line, err := reader.ReadSlice('\n')
	if err != nil && (len(line) == 0 || !errors.Is(err, bufio.ErrBufferFull)) {
		c.stopWaiting(conn)
		return
	}
	req := c.parse(string(line), err == nil)
	var body []byte
	if req.hasBody {
		conn.SetReadDeadline(time.Now().Add(bodyTimeout))
		body, err = readBody(reader)
	}
	c.stopWaiting(conn)
	answer := ""
	if req.hasBody && err != nil {
		answer = fmt.Sprintf("%s %v; nothing changed", Failure, err)
	} else {
		answer = req.run(body) // an order that is kept by further agents takes its time
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(conn, "%s\n", answer); err != nil {
		c.Log.Warn("console: answer not written", "error", err)
	}
}

// request is what a line asks for.
type request struct {
	hasBody bool
	run     func(body []byte) string
}

// parse reads a line. One that is not whole is no order.
func (c *Console) parse(line string, complete bool) request {
	reply := func(answer string) request { return request{run: func([]byte) string { return answer }} }
	name := strings.ToUpper(strings.TrimSpace(line))
	if handler := c.Handlers[name]; handler != nil {
		return request{run: func([]byte) string { return handler() }}
	}
	words := strings.Fields(line)
	for n := min(len(words), 2); n > 0 && complete; n-- {
		command, ok := c.Commands[strings.ToUpper(strings.Join(words[:n], " "))]
		if !ok {
			continue
		}
		if words = words[n:]; len(words) < command.MinWords || len(words) > command.MaxWords {
			return reply(fmt.Sprintf("%s usage: %s", Failure, command.Usage))
		}
		return request{command.TakesBody, func(body []byte) string { return command.Run(words, body) }}
	}
	return reply(fmt.Sprintf("%s no call %.40q", Failure, name))
}

// readBody reads the lines up to one that is EOT alone.
func readBody(reader *bufio.Reader) (body []byte, err error) {
	lineStart := 0 // where the last line begins
	for {
		part, err := reader.ReadSlice('\n')
		body = append(body, part...)
		switch {
		case len(body) > MaxBodyBytes+len(End)+2:
			return nil, fmt.Errorf("text over %d bytes", MaxBodyBytes)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return nil, fmt.Errorf("text without a line %s: %w", End, err)
		}
		if strings.TrimRight(string(body[lineStart:]), "\r\n") == End {
			if lineStart > MaxBodyBytes {
				return nil, fmt.Errorf("text over %d bytes", MaxBodyBytes)
			}
			return body[:lineStart], nil
		}
		if err != nil {
			return nil, fmt.Errorf("text without a line %s", End)
		}
		lineStart = len(body)
	}
}
