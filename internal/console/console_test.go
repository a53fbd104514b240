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

func start(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	c := &Console{Log: slog.New(slog.DiscardHandler), Calls: map[string]func() string{
		"READY":  func() string { return Success + " ready" },
		"BROKEN": func() string { panic("no more") },
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

// TestLines: each line gets one answer and the end of its connection; what is no call gets
// a failure, and a fault in a call ends its own connection alone.
func TestLines(t *testing.T) {
	address := start(t)
	for _, tc := range []struct{ line, answer string }{
		{"READY\n", "SUCCESS ready\n"},
		{" ready \r\n", "SUCCESS ready\n"},
		{"READY\nREADY\n", "SUCCESS ready\n"},
		{"\n", "FAILURE no call \"\"\n"},
		{"STOP\n", "FAILURE no call \"STOP\"\n"},
		{strings.Repeat("x", mostLine+1), "FAILURE no call \"" + strings.Repeat("X", 40) + "\"\n"},
		{"BROKEN\n", ""},
		{"READY\n", "SUCCESS ready\n"},
	} {
		assert.Equal(t, tc.answer, ask(t, address, tc.line), "%.40q", tc.line)
	}
}

// TestSilentOperators: connections that bring no whole line hold nobody else off, and are
// bounded: the descriptors are the callers'.
func TestSilentOperators(t *testing.T) {
	address := start(t)
	first := dial(t, address)
	fmt.Fprint(first, "READ")
	for range mostOpen {
		dial(t, address)
	}
	assert.Equal(t, "SUCCESS ready\n", ask(t, address, "READY\n"))
	_, err := first.Read(make([]byte, 1))
	assert.ErrorIs(t, err, io.EOF, "the oldest has made room")
}
