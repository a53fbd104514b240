package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"runtime"
	"sync"
	"syscall"
	"time"

	"woodrouter/isup"
)

// world holds what a case started, and its record.
type world struct {
	trouble bool
	dir     string // temporary folder
	start   time.Time
	runLine string // `run` of the deploy file

	mu     sync.Mutex
	record *os.File
	ids    uint64
	onEnd  []func()
}

func newWorld(recordPath string, trouble bool) (*world, error) {
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	found := regexp.MustCompile(`(?m)^run = "([^"]+)"`).FindSubmatch(deploy)
	if found == nil {
		return nil, fmt.Errorf("deploy/balancer.toml: no run")
	}
	record, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, err
	}
	w := &world{trouble: trouble, dir: dir, start: time.Now(), runLine: string(found[1]), record: record, ids: rand.Uint64()}
	w.note("case", "trouble: %v", trouble)
	return w, nil
}

// note writes a line of the record: milliseconds since the start, who, and what.
func (w *world) note(who, format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(w.record, "%7d %-12s %s\n", time.Since(w.start).Milliseconds(), who, fmt.Sprintf(format, args...))
}

// atEnd has do run when the case ends; the last one given runs first.
func (w *world) atEnd(do func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onEnd = append(w.onEnd, do)
}

func (w *world) close() {
	w.mu.Lock()
	onEnd := w.onEnd
	w.mu.Unlock()
	for i := len(onEnd) - 1; i >= 0; i-- {
		onEnd[i]()
	}
	os.RemoveAll(w.dir)
	w.record.Close()
}

// newID returns an id that no call of this run has had.
func (w *world) newID() isup.CallID {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ids += 0x9e3779b97f4a7c15
	return isup.CallID(w.ids | 1)
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// agentProcess is one call agent: a process that `run` of the deploy file starts.
type agentProcess struct {
	w        *world
	name     string
	listen   string
	settings map[string]any
	env      []string
	starts   int
	cmd      *exec.Cmd
	ended    chan struct{}
	killed   bool
}

// newAgent reserves an address for a call agent. It is started by its method start.
func (w *world) newAgent(name string, settings map[string]any, env ...string) (*agentProcess, error) {
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	a := &agentProcess{w: w, name: name, listen: listen, settings: settings, env: env}
	w.atEnd(func() {
		if a.cmd != nil {
			a.kill()
		}
	})
	return a, nil
}

// start starts the process with the events that a bulletin has so far, and waits until a test is passed.
func (a *agentProcess) start(b *bulletin) error {
	a.starts++
	config := map[string]any{"name": a.name, "listen": a.listen, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": b.addr,
		"known": b.eventsAfter(0), "settings": a.settings}
	text, err := json.MarshalIndent(config, "", " ")
	if err != nil {
		return err
	}
	path := filepath.Join(a.w.dir, a.name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(filepath.Join(a.w.dir, fmt.Sprintf("%s-%d.log", a.name, a.starts)))
	if err != nil {
		return err
	}
	defer logFile.Close()
	cmd := exec.Command("/bin/sh", "-c", a.w.runLine)
	cmd.Env = append(os.Environ(), append([]string{"PROXY_NAME=" + a.name, "PROXY_LISTEN=" + a.listen, "PROXY_CONFIG=" + path,
		"TMPDIR=" + a.w.dir}, a.env...)...)
	cmd.Stdout, cmd.Stderr = logFile, logFile
	if err := startDying(cmd); err != nil {
		return err
	}
	ended := make(chan struct{})
	a.cmd, a.ended, a.killed = cmd, ended, false
	a.w.note(a.name, "started (start %d)", a.starts)
	go func() {
		err := cmd.Wait()
		a.w.note(a.name, "process ended: %v", err)
		close(ended)
	}()
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if a.passesTest() {
			a.w.note(a.name, "ready")
			return nil
		}
	}
	return fmt.Errorf("%w: %s is not ready", errNotRun, a.name)
}

// starts is served by a goroutine that keeps its thread, see startDying.
var starts = make(chan func())

func init() {
	go func() {
		runtime.LockOSThread()
		for start := range starts {
			start()
		}
	}()
}

// startDying starts a process that the system ends with this one, however this one ends. The system ties it to the
// thread that started it, so that thread has to stay.
func startDying(cmd *exec.Cmd) error {
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	done := make(chan error)
	starts <- func() { done <- cmd.Start() }
	return <-done
}

// passesTest sends the agent one test.
func (a *agentProcess) passesTest() bool {
	conn, err := net.DialTimeout("tcp", a.listen, time.Second)
	if err != nil {
		return false
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	b, _ := isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed).Append(nil)
	if _, err := conn.Write(b); err != nil {
		return false
	}
	m, err := isup.Read(conn)
	if err != nil || m.Type != isup.TestResult {
		return false
	}
	cause, err := m.Cause()
	return err == nil && cause == isup.Passed
}

// kill ends the process outright and waits for its end.
func (a *agentProcess) kill() {
	a.killed = true
	a.cmd.Process.Kill()
	<-a.ended
}

// crashed reports whether the process has ended by itself.
func (a *agentProcess) crashed() bool {
	select {
	case <-a.ended:
		return !a.killed
	default:
		return false
	}
}

// keepLog copies the agent's logs into the record, for a reader of it.
func (a *agentProcess) keepLog() {
	for i := 1; i <= a.starts; i++ {
		text, err := os.ReadFile(filepath.Join(a.w.dir, fmt.Sprintf("%s-%d.log", a.name, i)))
		if err == nil {
			a.w.note(a.name, "log of start %d:\n%s", i, text)
		}
	}
}
