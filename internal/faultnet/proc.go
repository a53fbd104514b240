package faultnet

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
)

// Build compiles the program into dir and returns its path. It works from any directory of the module,
// as it asks the go command for the module's root.
func Build(dir string) (string, error) {
	mod, err := exec.Command("go", "env", "GOMOD").Output()
	if err != nil {
		return "", fmt.Errorf("go env GOMOD: %w", err)
	}
	root := filepath.Dir(strings.TrimSpace(string(mod)))
	bin := filepath.Join(dir, "woodrouter")
	cmd := exec.Command("go", "build", "-o", bin, "./cmd/woodrouter")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %v\n%s", err, out)
	}
	return bin, nil
}

// Proc is one process of the program that can be started, killed and started again with the same
// arguments. Its log covers all its runs; a heading line marks each start.
type Proc struct {
	Name string
	Bin  string
	Args []string
	Data string   // its data directory, for WipeData
	Env  []string // nil: this process's environment
	// Files are open files that the process inherits, as descriptors from 3 on.
	Files []*os.File

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	log    bytes.Buffer
	starts int
}

// Start starts the process. It returns an error if the process is running.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s: already running", p.Name)
	}
	p.starts++
	fmt.Fprintf(&p.log, "--- %s, start %d\n", p.Name, p.starts)
	cmd := exec.Command(p.Bin, p.Args...)
	cmd.Env, cmd.ExtraFiles = p.Env, p.Files
	cmd.Stdout, cmd.Stderr = &lockedLog{p}, &lockedLog{p}
	if err := cmd.Start(); err != nil {
		return err
	}
	p.cmd, p.done = cmd, make(chan struct{})
	go func(done chan struct{}) {
		cmd.Wait()
		p.mu.Lock()
		if p.cmd == cmd {
			p.cmd = nil
		}
		p.mu.Unlock()
		close(done)
	}(p.done)
	return nil
}

// Kill ends the process with SIGKILL, without an orderly shutdown, and waits for its end.
func (p *Proc) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop ends the process with SIGTERM and waits for its end.
func (p *Proc) Stop() { p.signalAndWait(syscall.SIGTERM) }

func (p *Proc) signalAndWait(s syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(s) // reaches only the process that this Proc started
	<-done
}

// Suspend pauses the process until Resume (SIGSTOP): its sockets stay open, but it sends nothing. It does
// not wait until the process is paused.
func (p *Proc) Suspend() { p.sendSignal(syscall.SIGSTOP) }

// Resume continues a suspended process (SIGCONT).
func (p *Proc) Resume() { p.sendSignal(syscall.SIGCONT) }

// HangUp tells the process to reload its files (SIGHUP).
func (p *Proc) HangUp() { p.sendSignal(syscall.SIGHUP) }

// Term asks the process to stop (SIGTERM) and does not wait; Done is closed when it has ended.
func (p *Proc) Term() { p.sendSignal(syscall.SIGTERM) }

func (p *Proc) sendSignal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// Done returns a channel that is closed when the current process ends; nil before the first start.
func (p *Proc) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running reports whether the process is running.
func (p *Proc) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID returns the process id, for measurements that read /proc, or 0 if the process is not running.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// WipeData removes the data directory, like the loss of a disk. The process must not be running.
func (p *Proc) WipeData() error {
	if p.Running() {
		return fmt.Errorf("%s: data directory not removed: the process is running", p.Name)
	}
	return os.RemoveAll(p.Data)
}

// Log returns the output of all runs of the process.
func (p *Proc) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// lockedLog is a writer that appends the output of a process to Proc.log, under Proc.mu.
type lockedLog struct{ proc *Proc }

func (l *lockedLog) Write(b []byte) (int, error) {
	l.proc.mu.Lock()
	defer l.proc.mu.Unlock()
	return l.proc.log.Write(b)
}
