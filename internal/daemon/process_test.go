package daemon

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/standin"
	"woodrouter/isup"
)

// buildProgram builds the program once for all these tests and returns its path.
var buildProgram = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "woodrouter")
	if err != nil {
		return "", err
	}
	return faultnet.Build(dir)
})

// agentProcess is a process of the program whose configuration file is a pipe: it reads only when the test
// writes, so that the test decides whether a signal arrives before, during or after that.
type agentProcess struct {
	*faultnet.Proc
	configPipe, config string
	address            string
	server             *standin.Server
	bulletin           *standin.Bulletin
}

func startProcess(t *testing.T, bulletin string) *agentProcess {
	p := newProcess(t, bulletin)
	require.NoError(t, p.Start())
	return p
}

// setDescriptorLimit sets the number of descriptors of the machine in the configuration.
func (p *agentProcess) setDescriptorLimit(t *testing.T, sockets int) {
	var cfg map[string]any
	require.NoError(t, json.Unmarshal([]byte(p.config), &cfg))
	cfg["limits"] = Limits{Cores: 1, MemoryMB: 64, Sockets: sockets}
	text, err := json.Marshal(cfg)
	require.NoError(t, err)
	p.config = string(text)
}

func newProcess(t *testing.T, bulletin string) *agentProcess {
	bin, err := buildProgram()
	require.NoError(t, err)
	p := &agentProcess{configPipe: filepath.Join(t.TempDir(), "config.json"), address: freeAddress(t), server: standin.NewServer(t, "")}
	require.NoError(t, syscall.Mkfifo(p.configPipe, 0o600))
	b := standin.NewBulletin(t, standin.Endpoint("s0", p.server.Addr, 0, "up"))
	p.bulletin = b
	if bulletin == "" {
		bulletin = b.Addr
	}
	var cfg map[string]any
	require.NoError(t, json.Unmarshal(testConfigText(t, b), &cfg))
	cfg["listen"], cfg["bulletin"] = p.address, bulletin
	text, err := json.Marshal(cfg)
	require.NoError(t, err)
	p.config = string(text)
	p.Proc = &faultnet.Proc{Name: "n0", Bin: bin, Env: append(os.Environ(), "PROXY_CONFIG="+p.configPipe)}
	t.Cleanup(p.Kill)
	return p
}

// writeConfig waits until the process opens its configuration, and calls write to write it.
func (p *agentProcess) writeConfig(t *testing.T, write func(*os.File)) {
	f, err := os.OpenFile(p.configPipe, os.O_WRONLY, 0) // blocks until there is a reader
	require.NoError(t, err)
	write(f)
	require.NoError(t, f.Close())
}

func (p *agentProcess) configure(t *testing.T) {
	p.writeConfig(t, func(f *os.File) { f.WriteString(p.config) })
	p.awaitLog(t, "serving")
}

func (p *agentProcess) awaitLog(t *testing.T, line string) {
	t.Helper()
	require.Eventually(t, func() bool { return strings.Contains(p.Log(), line) }, standin.WaitTimeout, time.Millisecond, line)
}

// awaitExit waits until the process has ended by itself after a regular stop.
func (p *agentProcess) awaitExit(t *testing.T) {
	t.Helper()
	select {
	case <-p.Done():
	case <-time.After(standin.WaitTimeout):
		require.Fail(t, "the process did not end", p.Log())
	}
	assert.Contains(t, p.Log(), "msg=stopped")
}

// TestSignalsBeforeReady checks that a signal that arrives while the program still reads its configuration
// neither kills it nor is lost.
func TestSignalsBeforeReady(t *testing.T) {
	t.Run("SIGHUP", func(t *testing.T) {
		p := startProcess(t, "")
		p.writeConfig(t, func(f *os.File) {
			p.HangUp()
			f.WriteString(p.config)
		})
		p.awaitLog(t, "serving")
		p.writeConfig(t, func(f *os.File) { f.WriteString(p.config) }) // read again because of the signal
		p.awaitLog(t, "configuration applied")
		c := standin.NewCaller(t, p.address)
		c.Send(isup.Message{Type: isup.Test, Call: 1}.WithCause(0))
		c.Await(t, isup.TestResult, 1)
	})
	t.Run("SIGTERM", func(t *testing.T) {
		p := startProcess(t, "")
		p.writeConfig(t, func(f *os.File) {
			p.Term()
			f.WriteString(p.config)
		})
		p.awaitExit(t)
	})
}

// TestStopCrossings checks that a stop answers the open calls whatever happens during it: a second SIGTERM, a
// SIGHUP, a partly read set-up, a set-up on a new connection, an unreachable bulletin.
func TestStopCrossings(t *testing.T) {
	for name, bulletin := range map[string]string{"bulletin reachable": "", "bulletin unreachable": freeAddress(t)} {
		t.Run(name, func(t *testing.T) {
			p := startProcess(t, bulletin)
			p.configure(t)
			c := standin.NewCaller(t, p.address)
			c.SetUp(1, "voice", 9*time.Second, 0)
			first := p.server.Await(t, isup.SetUp)
			half := setUpBytes(t, 2)
			c.Write(half[:20])
			p.Term()
			p.awaitLog(t, "stopping: serving until")
			p.Term()
			p.HangUp()
			newcomer := standin.NewCaller(t, p.address)
			newcomer.SetUp(3, "voice", 9*time.Second, 0)
			c.Write(half[20:])
			first.Answer("first")
			assert.Equal(t, "first", c.Await(t, isup.Answer, 1).Text(isup.Description))
			for range 2 {
				p.server.Await(t, isup.SetUp).Answer("later")
			}
			c.Await(t, isup.Answer, 2)
			newcomer.Await(t, isup.Answer, 3)
			p.awaitExit(t)
		})
	}
}

// TestStopHalfRead checks that a stop waits for the rest of a partly received set-up and answers it, even if
// no call is open when stopServePeriod ends.
func TestStopHalfRead(t *testing.T) {
	p := startProcess(t, "")
	p.configure(t)
	c := standin.NewCaller(t, p.address)
	setUp := setUpBytes(t, 2)
	c.Write(setUp[:20])
	p.Term()
	c.SetReadDeadline(time.Now().Add(stopServePeriod + 200*time.Millisecond))
	_, err := c.Reader.Peek(1)
	require.ErrorIs(t, err, os.ErrDeadlineExceeded, "the connection stays open")
	c.Write(setUp[20:])
	p.server.Await(t, isup.SetUp).Answer("there")
	c.Await(t, isup.Answer, 2)
	p.awaitExit(t)
}

// setUpBytes returns an encoded set-up.
func setUpBytes(t *testing.T, id isup.CallID) []byte {
	b, err := isup.Message{Type: isup.SetUp, Call: id}.WithText(isup.Class, "voice").WithMillis(isup.TimeLeft, 9*time.Second).
		WithText(isup.Number, "2").WithText(isup.Figures, "dest:0;width:1;via:-1").WithText(isup.Description, "offer").Append(nil)
	require.NoError(t, err)
	return b
}

// TestIdleFlood checks that idle callers that open more connections than a small machine has descriptors,
// while the bulletin is unreachable, leave enough for callers with calls, for connections to setup servers,
// and for the bulletin once it is reachable.
func TestIdleFlood(t *testing.T) {
	const descriptors = 64
	down := freeAddress(t)
	p := newProcess(t, down)
	p.Args, p.Bin = []string{"-c", fmt.Sprint("ulimit -n ", descriptors, "; exec ", p.Bin)}, "/bin/sh"
	p.setDescriptorLimit(t, descriptors)
	require.NoError(t, p.Start())
	p.configure(t)
	idle := make([]*standin.Caller, 3*descriptors)
	for i := range idle {
		idle[i] = standin.NewCaller(t, p.address)
	}
	serve := func(id isup.CallID) {
		c := standin.NewCaller(t, p.address)
		c.SetUp(id, "voice", 9*time.Second, 0)
		p.server.Await(t, isup.SetUp).Answer("there")
		c.Await(t, isup.Answer, id)
	}
	time.Sleep(300 * time.Millisecond) // a connection may be closed for others once it was idle for 250 ms
	serve(1)
	p.server.Crash() // its connection must be established again
	p.server = standin.NewServer(t, p.server.Addr)
	require.Eventually(t, func() bool { return len(p.server.Conns()) > 0 }, standin.WaitTimeout, time.Millisecond)
	serve(2)
	ln, err := net.Listen("tcp", down)
	require.NoError(t, err)
	defer ln.Close()
	ln.(*net.TCPListener).SetDeadline(time.Now().Add(standin.WaitTimeout))
	conn, err := ln.Accept()
	require.NoError(t, err, "the bulletin is asked again")
	conn.Close()
	assert.False(t, strings.Contains(p.Log(), "too many open files"))
	for _, c := range idle {
		c.Close()
	}
	serve(3)
}
