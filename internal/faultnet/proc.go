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

// Build compiles the program into dir and returns its path. It runs from the module's root,
// which go itself names.
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

// Proc is one process of the program, started, killed and started again with the same
// arguments. Its log is kept across lives, each life headed by a line.
type Proc struct {
	Name string
	Bin  string
	Args []string
	Data string   // its data directory, for Wipe
	Env  []string // nil: this process's

	mu     sync.Mutex
	cmd    *exec.Cmd
	done   chan struct{}
	log    bytes.Buffer
	starts int
}

// Start starts a new life of the process; an error where it runs already.
func (p *Proc) Start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return fmt.Errorf("%s: runs already", p.Name)
	}
	p.starts++
	fmt.Fprintf(&p.log, "--- %s, life %d\n", p.Name, p.starts)
	cmd := exec.Command(p.Bin, p.Args...)
	cmd.Env = p.Env
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

// Kill ends the process with SIGKILL and waits for it; nothing of it is asked to stop well.
func (p *Proc) Kill() { p.signalAndWait(syscall.SIGKILL) }

// Stop ends the process with SIGTERM and waits for it.
func (p *Proc) Stop() { p.signalAndWait(syscall.SIGTERM) }

func (p *Proc) signalAndWait(s syscall.Signal) {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	cmd.Process.Signal(s) // only the process this Proc started, by its id
	<-done
}

// Suspend stops the process where it stands (SIGSTOP): its sockets stay open and it says nothing,
// until Resume. It does not wait.
func (p *Proc) Suspend() { p.sendSignal(syscall.SIGSTOP) }

// Resume lets a stalled process go on (SIGCONT).
func (p *Proc) Resume() { p.sendSignal(syscall.SIGCONT) }

// HangUp has the process read its files anew (SIGHUP).
func (p *Proc) HangUp() { p.sendSignal(syscall.SIGHUP) }

// Term asks the process to stop (SIGTERM) and does not wait; Done tells of its end.
func (p *Proc) Term() { p.sendSignal(syscall.SIGTERM) }

func (p *Proc) sendSignal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		p.cmd.Process.Signal(s)
	}
}

// Done is closed at the end of the present life; nil before the first.
func (p *Proc) Done() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.done
}

// Running tells whether a life is under way.
func (p *Proc) Running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd != nil
}

// PID is the present life's process id, 0 where none is under way: measurements read /proc by it.
func (p *Proc) PID() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return 0
	}
	return p.cmd.Process.Pid
}

// WipeData removes the data directory, as a lost disk; the process must not run.
func (p *Proc) WipeData() error {
	if p.Running() {
		return fmt.Errorf("%s: wipe while it runs", p.Name)
	}
	return os.RemoveAll(p.Data)
}

// Log is what the process wrote in all its lives.
func (p *Proc) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

type lockedLog struct{ proc *Proc }

func (l *lockedLog) Write(b []byte) (int, error) {
	l.proc.mu.Lock()
	defer l.proc.mu.Unlock()
	return l.proc.log.Write(b)
}
