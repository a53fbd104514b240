package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"woodrouter/internal/lab/emulator"
)

// agentProcess is a call agent of the project, started as the platform does: by the deploy file's command, from the
// repository's root.
type agentProcess struct {
	name, listen string
	env          []string
	deployment   emulator.Deployment
	servers      int
	record       *recorder

	cmd    *exec.Cmd
	log    *os.File
	exited chan struct{}
	starts int
}

// memoryMB is the agent's memory limit, the highest of the scored days.
const memoryMB = 192

// freeAddress returns a loopback address that is free now.
func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// start writes the configuration and starts the process.
func (a *agentProcess) start(b *bulletin) error {
	a.starts++
	folder := filepath.Join(os.Getenv("CASE_TMP"), fmt.Sprintf("%s-%d", a.name, a.starts))
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.Marshal(map[string]any{"name": a.name, "listen": a.listen, "seed": fmt.Sprintf("%016x", time.Now().UnixNano()),
		"limits": map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024}, "bulletin": b.addr, "known": b.known(),
		"settings": a.deployment.Settings(0, 1, a.servers)})
	if err != nil {
		return err
	}
	config := filepath.Join(folder, "config.json")
	if err := os.WriteFile(config, text, 0o644); err != nil {
		return err
	}
	if a.log, err = os.OpenFile(filepath.Join(folder, "log"), os.O_CREATE|os.O_WRONLY, 0o644); err != nil {
		return err
	}
	a.cmd = exec.Command("/bin/sh", "-c", os.Getenv("CASE_RUN"))
	a.cmd.Dir = os.Getenv("CASE_ROOT")
	a.cmd.Env = append(os.Environ(), append(a.env, "PROXY_NAME="+a.name, "PROXY_LISTEN="+a.listen, "PROXY_CONFIG="+config, "TMPDIR="+folder)...)
	a.cmd.Stdout, a.cmd.Stderr = a.log, a.log
	if err := a.cmd.Start(); err != nil {
		return err
	}
	a.record.add("agent %s: process %d started", a.name, a.starts)
	a.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}, no int) {
		err := cmd.Wait()
		a.record.add("agent %s: process %d ended: %v", a.name, no, err)
		close(exited)
	}(a.cmd, a.exited, a.starts)
	return nil
}

// signal sends a signal to the process that the command started.
func (a *agentProcess) signal(sig syscall.Signal) {
	a.record.add("agent %s: signal %v to process %d", a.name, sig, a.starts)
	a.cmd.Process.Signal(sig)
}

// await waits for the end of the process and reports whether it came within the limit.
func (a *agentProcess) await(limit time.Duration) bool {
	select {
	case <-a.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process, if it runs.
func (a *agentProcess) kill() {
	if a.cmd != nil && a.cmd.Process != nil {
		a.cmd.Process.Kill()
		a.await(5 * time.Second)
		a.log.Close()
	}
}
