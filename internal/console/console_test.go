package console

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func startConsole(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &Console{Log: slog.New(slog.DiscardHandler), Handlers: map[string]func() string{
		"READY":  func() string { return Success + " ready" },
		"BROKEN": func() string { panic("no more") },
	}, Commands: map[string]Command{
		"LOOK":     {Usage: "LOOK [NAME]", MaxWords: 1, Run: func(w []string, _ []byte) string { return fmt.Sprint(Success, " ", w) }},
		"LOOK PUT": {Usage: "LOOK PUT NAME", MinWords: 1, MaxWords: 1, TakesBody: true, Run: func(w []string, b []byte) string { return fmt.Sprintf("%s %v %d %.20q", Success, w, len(b), b) }},
	}}
	go c.Serve(ln)
	t.Cleanup(func() { ln.Close(); c.Close() })
	return ln.Addr().String()
}

func dial(t *testing.T, address string) net.Conn {
	conn, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn
}

func ask(t *testing.T, address, line string) string {
	conn := dial(t, address)
	fmt.Fprint(conn, line)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

// TestLines checks that each line gets one answer, after which the connection is closed, that an unknown
// request gets a failure, and that a panic in a handler ends only its own connection.
func TestLines(t *testing.T) {
	address := startConsole(t)
	for _, tc := range []struct{ line, answer string }{
		{"READY\n", "SUCCESS ready\n"},
		{" ready \r\n", "SUCCESS ready\n"},
		{"READY\nREADY\n", "SUCCESS ready\n"},
		{"\n", "FAILURE no call \"\"\n"},
		{"STOP\n", "FAILURE no call \"STOP\"\n"},
		{strings.Repeat("x", maxLineBytes+1), "FAILURE no call \"" + strings.Repeat("X", 40) + "\"\n"},
		{"BROKEN\n", ""},
		{"READY\n", "SUCCESS ready\n"},
	} {
		assert.Equal(t, tc.answer, ask(t, address, tc.line), "%.40q", tc.line)
	}
}

// TestIncompleteLines checks that connections without a complete line do not block other operators, and that
// their number is limited, so that they do not use up the callers' descriptors.
func TestIncompleteLines(t *testing.T) {
	address := startConsole(t)
	first := dial(t, address)
	fmt.Fprint(first, "READ")
	for range maxWaiting {
		dial(t, address)
	}
	assert.Equal(t, "SUCCESS ready\n", ask(t, address, "READY\n"))
	_, err := first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the oldest was closed to make room")
}

// TestCommandsWithText checks commands with words and, for some, a text: both are limited in length, and an
// incomplete text changes nothing.
func TestCommandsWithText(t *testing.T) {
	address := startConsole(t)
	long := strings.Repeat("x", MaxBodyBytes-1) + "\n"
	for _, tc := range []struct{ line, answer string }{
		{"LOOK\n", "SUCCESS []\n"},
		{"look a@Zone/B\n", "SUCCESS [a@Zone/B]\n"},
		{"LOOK a" + strings.Repeat("b", maxLineBytes), "FAILURE no call \"LOOK A" + strings.Repeat("B", 34) + "\"\n"},
		{"LOOK a b\n", "FAILURE usage: LOOK [NAME]\n"},
		{"look put n\na: 1\r\n EOT\nEOT\n", "SUCCESS [n] 11 \"a: 1\\r\\n EOT\\n\"\n"},
		{"LOOK PUT n\nEOT\n", "SUCCESS [n] 0 \"\"\n"},
		{"LOOK PUT n\n" + long + "EOT\n", fmt.Sprintf("SUCCESS [n] %d \"xxxxxxxxxxxxxxxxxxxx\"\n", MaxBodyBytes)},
		{"LOOK PUT n\nx" + long + "EOT\n", fmt.Sprintf("FAILURE text over %d bytes; nothing changed\n", MaxBodyBytes)},
		{"LOOK PUT\n", "FAILURE usage: LOOK PUT NAME\n"},
	} {
		assert.Equal(t, tc.answer, ask(t, address, tc.line), "%.40q", tc.line)
	}
	conn := dial(t, address)
	fmt.Fprint(conn, "LOOK PUT n\na: 1\n")
	conn.(*net.TCPConn).CloseWrite()
	answer, _ := io.ReadAll(conn)
	assert.Equal(t, "FAILURE text without a line EOT; nothing changed\n", string(answer))
}
