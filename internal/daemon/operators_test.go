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

	"woodrouter/callrpc"
	"woodrouter/internal/faultnet"
	"woodrouter/internal/plan"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// freeAddress returns an address on a loopback host of its own. A free port of 127.0.0.1 would not do: any
// outgoing connection may use it a moment later.
func freeAddress(t *testing.T) string {
	host, err := faultnet.NewHost()
	require.NoError(t, err)
	return host + ":5070"
}

// askConsole sends one line to a console and returns its answer; "" if none.
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

// startDaemon runs a daemon as the program does, on a new console address, and returns once it is ready.
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

// inheritedSockets opens a listening socket and returns one descriptor of it for each of n processes.
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

// oneServerConfig returns a configuration with one setup server, and a socket for callers that the given
// number of processes share.
func oneServerConfig(t *testing.T, processes int) (server *standin.Server, cfg Config, address string, fds []string) {
	server = standin.NewServer(t, "")
	address, fds = inheritedSockets(t, processes)
	return server, testConfig(t, standin.NewBulletin(t, standin.Endpoint("s0", server.Addr, 0, "up"))), address, fds
}

// TestHandOver runs two daemons on one inherited socket and stops the first. It must leave new connections to
// the second, answer its open calls, and close a connection only when no call is open on it.
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
	assert.ErrorIs(t, err, io.EOF, "closed, so that the next set-up goes to the other process")
	assert.NoError(t, <-done)
	last := standin.NewCaller(t, address)
	last.SetUp(0x30, "voice", 5*time.Second, 0)
	server.Await(t, isup.SetUp).Answer("room")
	last.Await(t, isup.Answer, 0x30)
}

// TestAPIHandOver checks that a new process, as the call API's address is not handed over, first serves
// without the API and listens on its address once the old process has stopped.
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

// TestAPISetUpOutlivesHandOver guards a set-up of the call API that is open while its process hands over to another: its answer
// comes on its connection, which is closed after it.
func TestAPISetUpOutlivesHandOver(t *testing.T) {
	server, cfg, _, fds := oneServerConfig(t, 2)
	cfg.State = filepath.Join(t.TempDir(), "state.json")
	p, err := plan.Make(cfg.State, plan.Front{Enabled: true, Listen: freeAddress(t), Path: "/calls",
		MaxConnections: 8, MaxMessage: 1 << 16, IdleS: 30})
	require.NoError(t, err)
	require.NoError(t, p.Apply())
	cfg.Callers = fds[0]
	first, stop, done := startDaemon(t, cfg)
	require.Eventually(t, func() bool { return first.api.address() != nil }, standin.WaitTimeout, time.Millisecond)
	client, err := callrpc.Dial(t.Context(), "ws://"+first.api.address().String()+"/calls", callrpc.Options{})
	require.NoError(t, err)
	defer client.Close()
	open := make(chan apiOutcome, 1)
	go func() { open <- placeAPI(client, 0x10, 5*time.Second) }()
	call := server.Await(t, isup.SetUp)
	cfg.Callers = fds[1]
	startDaemon(t, cfg)
	stop()
	time.Sleep(closeAnyGapAfter + 200*time.Millisecond)
	call.Answer("room")
	assert.Equal(t, outcomeStands, <-open)
	assert.NoError(t, <-done)
	assert.Equal(t, outcomeLost, placeAPI(client, 0x20, time.Second))
}

// TestInheritedSocket checks that a PROXY_FD that is not a listening socket's descriptor is refused.
func TestInheritedSocket(t *testing.T) {
	for _, fd := range []string{"x", "-1", "1", "65000"} {
		_, err := callersListener("127.0.0.1:0", fd)
		assert.ErrorContains(t, err, "PROXY_FD", fd)
	}
}

// TestStats checks the statistics after a call that stands and a refused one, and the line that ends them.
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
	require.Eventually(t, func() bool { return d.core.InFlight() == 1 }, standin.WaitTimeout, time.Millisecond, "a call is counted once its answer has been sent")
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

// TestDrainedAgent checks that a drained agent reports to the console and on the wire that it accepts no
// callers, closes connections without calls, still serves new calls for a while and then refuses them,
// answers open calls, and reports the ends of standing calls. After UNDRAIN it accepts callers again.
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
	outcome := func(id isup.CallID) isup.Message { // the outcome of a set-up that the server answers if it gets it
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
	conns := server.Conns() // the set-up's own connection may have been replaced, as the answer came late
	g.Conn = conns[len(conns)-1]
	g.Release(isup.Normal, "")
	busy.Await(t, isup.Release, 0x10)
	require.True(t, consoleSucceeds(d.cfg.Console, "UNDRAIN"))
	assert.True(t, consoleSucceeds(d.cfg.Console, "READY"))
	assert.Equal(t, isup.Answer, outcome(0x1000).Type)
}

// TestUndrainCrossesRestore guards against an agent that drains for good because it restores, after an operator's
// UNDRAIN, the order that it had read before.
func TestUndrainCrossesRestore(t *testing.T) {
	for _, undrained := range []bool{true, false} {
		d := &Daemon{log: slog.New(slog.DiscardHandler)}
		if undrained {
			d.endDrain()
		}
		d.restoreDrainOrder()
		assert.Equal(t, !undrained, d.drained.Load())
		if d.drainOrder.ended != nil {
			close(d.drainOrder.ended)
		}
	}
}
