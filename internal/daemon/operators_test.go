package daemon

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/plan"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// freeAddress is one that nobody listens on, and nobody else will: a port of 127.0.0.1 that was free
// may be the other end of any connection a moment later.
func freeAddress(t *testing.T) string {
	host, err := faultnet.NewHost()
	require.NoError(t, err)
	return host + ":5070"
}

// askConsole puts one line to a console; "": nobody answers.
func askConsole(address, line string) string {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(standin.WaitTimeout))
	fmt.Fprintln(conn, line)
	answer, _ := io.ReadAll(conn)
	return string(answer)
}

func consoleSucceeds(address, line string) bool {
	return strings.HasPrefix(askConsole(address, line), "SUCCESS")
}

// startDaemon runs a daemon as the program does, with a console of its own, and returns once it
// is ready.
func startDaemon(t *testing.T, cfg Config) (d *Daemon, stop context.CancelFunc, done chan error) {
	cfg.Console = freeAddress(t)
	d, err := New(cfg, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	done = make(chan error, 1)
	go func() { done <- d.Run(ctx) }()
	t.Cleanup(stop)
	require.Eventually(t, func() bool { return consoleSucceeds(cfg.Console, "READY") }, standin.WaitTimeout, time.Millisecond)
	return d, stop, done
}

// inheritedSockets returns a descriptor for each process that is to share a listening socket.
func inheritedSockets(t *testing.T, n int) (address string, fds []string) {
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

// oneServerConfig is what processes with one setup server and one socket for the callers need.
func oneServerConfig(t *testing.T, processes int) (server *standin.Server, cfg Config, address string, fds []string) {
	server = standin.NewServer(t, "")
	address, fds = inheritedSockets(t, processes)
	return server, testConfig(t, standin.NewBulletin(t, standin.Endpoint("s0", server.Addr, 0, "up"))), address, fds
}

// TestHandOver: two processes serve one inherited socket. The one that stops leaves
// newcomers to the other, answers what is open with it, and ends a connection only when
// nothing is open there.
func TestHandOver(t *testing.T) {
	server, cfg, address, fds := oneServerConfig(t, 2)
	cfg.Callers = fds[0]
	first, stop, done := startDaemon(t, cfg)
	served := standin.NewCaller(t, address)
	served.SetUp(0x10, "voice", 5*time.Second, 0)
	g := server.Await(t, isup.SetUp)
	cfg.Callers = fds[1]
	startDaemon(t, cfg)
	stop()
	require.Eventually(t, func() bool { return !first.ready() }, standin.WaitTimeout, time.Millisecond)
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

// TestAPIHandOver: the second front's address is not handed over. A new version serves the
// first front without it, and takes it once the old one stops.
func TestAPIHandOver(t *testing.T) {
	_, cfg, _, fds := oneServerConfig(t, 2)
	cfg.State = filepath.Join(t.TempDir(), "state.json")
	p, err := plan.Make(cfg.State, plan.Front{Enabled: true, Listen: freeAddress(t), Path: "/calls",
		MaxConnections: 8, MaxMessage: 1 << 16, IdleS: 30})
	require.NoError(t, err)
	require.NoError(t, p.Apply())
	cfg.Callers = fds[0]
	first, stop, _ := startDaemon(t, cfg)
	require.Eventually(t, func() bool { return first.api.address() != nil }, standin.WaitTimeout, time.Millisecond)
	cfg.Callers = fds[1]
	next, _, _ := startDaemon(t, cfg)
	assert.Nil(t, next.api.address())
	stop()
	require.Eventually(t, func() bool { return next.api.address() != nil }, standin.WaitTimeout, time.Millisecond)
}

// TestInheritedSocket: what PROXY_FD names must be a listening socket.
func TestInheritedSocket(t *testing.T) {
	for _, fd := range []string{"x", "-1", "1", "65000"} {
		_, err := callersListener("127.0.0.1:0", fd)
		assert.ErrorContains(t, err, "PROXY_FD", fd)
	}
}

// TestStats: the figures are those of what has passed, and end with their last line.
func TestStats(t *testing.T) {
	server, cfg, address, fds := oneServerConfig(t, 1)
	cfg.Callers = fds[0]
	d, _, _ := startDaemon(t, cfg)
	c := standin.NewCaller(t, address)
	c.SetUp(0x10, "voice", 5*time.Second, 0)
	server.Await(t, isup.SetUp).Answer("room")
	c.Await(t, isup.Answer, 0x10)
	c.SetUp(0x20, "voice", 5*time.Second, 0)
	server.Await(t, isup.SetUp).Release(isup.UserBusy, "lines_busy")
	c.Await(t, isup.Release, 0x20)
	require.Eventually(t, func() bool { return d.core.InFlight() == 1 }, standin.WaitTimeout, time.Millisecond, "counted once the answer has gone out")
	c.SetUp(0x10, "voice", 5*time.Second, 7) // no such server: failed
	assert.Equal(t, `svc.calls.voice.success:1|c
svc.calls.voice.busy:1|c
svc.calls.voice.failure:0|c
svc.backend_calls:2|c
svc.inflight:1|g
svc.hosts_listed:1|g
svc.hosts_down:0|g
svc.reconfig_ok:0|c
svc.reconfig_failed:0|c
EOT
`, askConsole(d.cfg.Console, "STATS"))
}

// TestDrainedAgent: a drained agent says no, to the console and on the wire, ends connections that
// hold no call, and refuses what comes after a while; what is open is answered, and the end
// of what stands is told. Then it takes callers again.
func TestDrainedAgent(t *testing.T) {
	server, cfg, address, fds := oneServerConfig(t, 1)
	cfg.Callers = fds[0]
	d, _, _ := startDaemon(t, cfg)
	idle, busy := standin.NewCaller(t, address), standin.NewCaller(t, address)
	test := func(c *standin.Caller, id isup.CallID) isup.Cause {
		c.Send(isup.Message{Type: isup.Test, Call: id}.WithCause(isup.NotPassed))
		cause, err := c.Await(t, isup.TestResult, id).Cause()
		require.NoError(t, err)
		return cause
	}
	assert.Equal(t, isup.Passed, test(idle, 1))
	busy.SetUp(0x10, "voice", 5*time.Second, 0)
	g := server.Await(t, isup.SetUp)
	require.True(t, consoleSucceeds(d.cfg.Console, "DRAIN"))
	require.True(t, consoleSucceeds(d.cfg.Console, "DRAIN"), "again")
	assert.False(t, consoleSucceeds(d.cfg.Console, "READY"))
	assert.Equal(t, isup.NotPassed, test(busy, 2))
	_, err := idle.Next()
	assert.ErrorIs(t, err, io.EOF)
	g.Answer("room")
	busy.Await(t, isup.Answer, 0x10)
	outcome := func(id isup.CallID) isup.Message { // of a set-up that the server, asked, answers
		busy.SetUp(id, "voice", 5*time.Second, 0)
		received := make(chan isup.Message, 1)
		go func() { m, _ := busy.Next(); received <- m }()
		for {
			select {
			case m := <-received:
				return m
			case g := <-server.Received:
				if g.Type == isup.SetUp {
					g.Answer("room")
				}
			}
		}
	}
	require.Equal(t, isup.Answer, outcome(0x20).Type, "served for a while")
	id := isup.CallID(0x20)
	require.Eventually(t, func() bool {
		id++
		m := outcome(id)
		return m.Call == id && m.Type == isup.Release && m.Text(isup.RetryAfter) != ""
	}, standin.WaitTimeout, 50*time.Millisecond, "then refused")
	conns := server.Conns() // the one that it was asked on may have been replaced: its answer waited for the drain
	g.Conn = conns[len(conns)-1]
	g.Release(isup.Normal, "")
	busy.Await(t, isup.Release, 0x10)
	require.True(t, consoleSucceeds(d.cfg.Console, "UNDRAIN"))
	assert.True(t, consoleSucceeds(d.cfg.Console, "READY"))
	assert.Equal(t, isup.Answer, outcome(0x1000).Type)
}
