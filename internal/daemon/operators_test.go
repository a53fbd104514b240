package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// freeAddress is one that nobody listens on just now.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

// asked puts one line to a console; "": nobody answers.
func asked(address, line string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(standin.Patience))
	fmt.Fprintln(conn, line)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func yes(address, line string) bool { return strings.HasPrefix(asked(address, line), "SUCCESS") }

// process runs a daemon as the program does, with a console of its own, and returns once it
// is ready.
func process(t *testing.T, cfg Config) (d *Daemon, stop context.CancelFunc, done chan error) {
	cfg.Console = freeAddress(t)
	d, err := New(cfg, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return yes(cfg.Console, "READY") }, standin.Patience, time.Millisecond)
	return d, stop, done
}

// inherited returns a descriptor for each process that is to share a listening socket.
func inherited(t *testing.T, n int) (address string, fds []string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	raw, err := ln.(*net.TCPListener).SyscallConn()
	require.NoError(t, err)
	raw.Control(func(fd uintptr) {
		for range n {
			copied, err := syscall.Dup(int(fd))
			require.NoError(t, err)
			fds = append(fds, strconv.Itoa(copied))
		}
	})
	return ln.Addr().String(), fds
}

// TestHandOver: two processes serve one inherited socket. The one that stops leaves
// newcomers to the other, answers what is open with it, and ends a connection only when
// nothing is open there.
func TestHandOver(t *testing.T) {
	server := standin.NewServer(t, "")
	cfg := config(t, standin.NewBulletin(t, standin.Endpoint("s0", server.Addr, 0, "up")))
	address, fds := inherited(t, 2)
	cfg.Callers = fds[0]
	first, stop, done := process(t, cfg)
	served := standin.NewCaller(t, address)
	served.SetUp(0x10, "voice", 5*time.Second, 0)
	g := server.Await(t, isup.SetUp)
	cfg.Callers = fds[1]
	process(t, cfg)
	stop()
	require.Eventually(t, func() bool { return !first.ready() }, standin.Patience, time.Millisecond)
	for id := isup.CallID(0x20); id < 0x25; id++ {
		late := standin.NewCaller(t, address)
		late.SetUp(id, "voice", 5*time.Second, 0)
		server.Await(t, isup.SetUp).Answer("room")
		late.Await(t, isup.Answer, id)
	}
	g.Answer("room")
	served.Await(t, isup.Answer, 0x10)
	_, err := served.Next()
	assert.ErrorIs(t, err, io.EOF, "the next set-up is for the other process")
	assert.NoError(t, <-done)
	last := standin.NewCaller(t, address)
	last.SetUp(0x30, "voice", 5*time.Second, 0)
	server.Await(t, isup.SetUp).Answer("room")
	last.Await(t, isup.Answer, 0x30)
}

// TestInherited: what PROXY_FD names must be a listening socket.
func TestInherited(t *testing.T) {
	for _, fd := range []string{"x", "-1", "1", "65000"} {
		_, err := callersListener("127.0.0.1:0", fd)
		assert.ErrorContains(t, err, "PROXY_FD", fd)
	}
}
