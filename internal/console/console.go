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
	mostLine  = 512
	mostOpen  = 16
	lineTime  = 5 * time.Second
	bodyTime  = 10 * time.Second
	writeTime = time.Second

	// MostBody bounds the bytes of an order's text.
	MostBody = 256 << 10
)

// Order is a call that takes words after its name.
type Order struct {
	// Usage is what the answer to a wrong line says; its words after the name are Least to
	// Most in number.
	Usage       string
	Least, Most int
	// Body has lines follow, up to one that is EOT alone: the order's text.
	Body bool
	Do   func(words []string, body []byte) string
}

// Console answers the calls that are registered, by their names.
type Console struct {
	Calls  map[string]func() string // an answer, without the end of its last line
	Orders map[string]Order         // by name, of one word or two; the longer name goes first
	Log    *slog.Logger

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
	in := bufio.NewReaderSize(conn, mostLine)
	line, err := in.ReadSlice('\n')
	if err != nil && (len(line) == 0 || !errors.Is(err, bufio.ErrBufferFull)) {
		c.leave(conn)
		return
	}
	do := c.find(string(line), err == nil)
	var body []byte
	if do.body {
		conn.SetReadDeadline(time.Now().Add(bodyTime))
		body, err = readBody(in)
	}
	c.leave(conn)
	answer := ""
	if do.body && err != nil {
		answer = fmt.Sprintf("%s %v; nothing changed", Failure, err)
	} else {
		answer = do.do(body) // an order that is kept by further agents takes its time
	}
	conn.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := fmt.Fprintf(conn, "%s\n", answer); err != nil {
		c.Log.Warn("console: answer not written", "error", err)
	}
}

// found is what a line asks for.
type found struct {
	body bool
	do   func(body []byte) string
}

// find reads a line. One that is not whole is no order.
func (c *Console) find(line string, whole bool) found {
	say := func(answer string) found { return found{do: func([]byte) string { return answer }} }
	name := strings.ToUpper(strings.TrimSpace(line))
	if do := c.Calls[name]; do != nil {
		return found{do: func([]byte) string { return do() }}
	}
	words := strings.Fields(line)
	for n := min(len(words), 2); n > 0 && whole; n-- {
		o, ok := c.Orders[strings.ToUpper(strings.Join(words[:n], " "))]
		if !ok {
			continue
		}
		if words = words[n:]; len(words) < o.Least || len(words) > o.Most {
			return say(fmt.Sprintf("%s usage: %s", Failure, o.Usage))
		}
		return found{o.Body, func(body []byte) string { return o.Do(words, body) }}
	}
	return say(fmt.Sprintf("%s no call %.40q", Failure, name))
}

// readBody reads the lines up to one that is EOT alone.
func readBody(in *bufio.Reader) (body []byte, err error) {
	line := 0 // where the last line begins
	for {
		part, err := in.ReadSlice('\n')
		body = append(body, part...)
		switch {
		case len(body) > MostBody+len(End)+2:
			return nil, fmt.Errorf("text over %d bytes", MostBody)
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err != nil && !errors.Is(err, io.EOF):
			return nil, fmt.Errorf("text without a line %s: %w", End, err)
		}
		if strings.TrimRight(string(body[line:]), "\r\n") == End {
			if line > MostBody {
				return nil, fmt.Errorf("text over %d bytes", MostBody)
			}
			return body[:line], nil
		}
		if err != nil {
			return nil, fmt.Errorf("text without a line %s", End)
		}
		line = len(body)
	}
}
