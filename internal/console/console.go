// Package console is the operators' interface: a client sends one line, for some commands followed by a text,
// and gets one answer. Handlers are registered by the package's users. Nothing here waits for an actor, so
// the console answers even while callers keep all actors busy.
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

// The words that begin an answer, and the line that ends a long answer or a command's text.
const (
	Success = "SUCCESS"
	Failure = "FAILURE"
	End     = "EOT"
)

// Limits of connections.
const (
	maxLineBytes = 512
	// maxWaiting limits the connections without a complete request. Above it the oldest is closed, because
	// the callers need the descriptors.
	maxWaiting   = 16
	lineTimeout  = 5 * time.Second
	bodyTimeout  = 10 * time.Second
	writeTimeout = time.Second

	// MaxBodyBytes limits the length of a command's text.
	MaxBodyBytes = 256 << 10
)

// Command is a request with words after its name.
type Command struct {
	// Usage is shown if the number of words after the name is not in MinWords to MaxWords.
	Usage              string
	MinWords, MaxWords int
	// TakesBody means that lines of text follow, up to a line that holds only EOT.
	TakesBody bool
	Run       func(words []string, body []byte) string // returns the answer, without the final line break
}

// Console answers requests by the registered handlers and commands.
type Console struct {
	Handlers map[string]func() string // by name; each returns the answer, without the final line break
	Commands map[string]Command       // by name of one or two words; a name of two words has precedence
	Log      *slog.Logger

	mu          sync.Mutex
	waiting     []net.Conn // connections without a complete request, oldest first
	closed      bool
	connections sync.WaitGroup
}

// Serve accepts connections until the listener is closed.
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

// Close closes the connections that have no complete request yet, and waits for the others' answers.
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

// stopWaiting removes a connection from those that may be closed to make room.
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

// serveConn answers one connection. It recovers from a handler's panic, which ends only this connection.
func (c *Console) serveConn(conn net.Conn) {
	defer func() {
		if r := recover(); r != nil {
			c.Log.Error("console: panic in a handler", "reason", r, "stack", string(debug.Stack()))
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
		answer = req.run(body) // may take long, as when an order is replicated
	}
	conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := fmt.Fprintf(conn, "%s\n", answer); err != nil {
		c.Log.Warn("console: answer not written", "error", err)
	}
}

// request is a parsed request line.
type request struct {
	hasBody bool
	run     func(body []byte) string
}

// parse finds the handler or command of a line. A line that was cut off at maxLineBytes is not a command.
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

// readBody reads a command's text up to a line that holds only EOT.
func readBody(reader *bufio.Reader) (body []byte, err error) {
	lineStart := 0 // offset of the last line
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
