package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/coder/websocket"

	"woodrouter/isup"
)

// applyAPI has the call API's settings planned and applied by the program's commands, as operators do.
func (w *world) applyAPI(state, listen string, idle int) error {
	desired, plan := filepath.Join(w.dir, "api.toml"), filepath.Join(w.dir, "api.plan")
	text := fmt.Sprintf("enabled = true\nlisten = %q\npath = \"/calls\"\nmax_connections = 64\nidle_s = %d\n", listen, idle)
	if err := os.WriteFile(desired, []byte(text), 0o600); err != nil {
		return err
	}
	out, err := exec.Command("bin/woodrouter", "plan", "--state", state, "--out", plan, desired).CombinedOutput()
	w.note("operator", "plan: %s", out)
	if exit, ok := err.(*exec.ExitError); !ok || exit.ExitCode() != 2 {
		return fmt.Errorf("%w: plan: %v: %s", errNotRun, err, out)
	}
	if out, err := exec.Command("bin/woodrouter", "apply", plan).CombinedOutput(); err != nil {
		return fmt.Errorf("%w: apply: %v: %s", errNotRun, err, out)
	}
	w.note("operator", "applied")
	return nil
}

// settingsChanged (case 8): the call API's settings change while a call over it waits for an answer that never comes.
func settingsChanged(w *world) (breaches []string, err error) {
	servers, list, err := w.startServers("hsinchu-main", constantHold(8*time.Second), "s-a", "s-b")
	if err != nil {
		return nil, err
	}
	b, err := w.newBulletin("bulletin", list...)
	if err != nil {
		return nil, err
	}
	listen, err := freeAddress()
	if err != nil {
		return nil, err
	}
	state := filepath.Join(w.dir, "state.json")
	if err := w.applyAPI(state, listen, 30); err != nil {
		return nil, err
	}
	agent, err := w.newAgent("n1", taipei(2, 0, 2), "WOODROUTER_STATE="+state)
	if err != nil {
		return nil, err
	}
	if err := agent.start(b); err != nil {
		return nil, err
	}
	defer agent.keepLog()
	for _, s := range servers {
		s.mu.Lock()
		s.onSetUp = func(id isup.CallID, c *serverConn) bool { return true }
		s.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	conn, err := w.dialAPI(ctx, listen)
	if err != nil {
		return nil, err
	}
	defer conn.CloseNow()
	id := w.newID().String()
	sent := time.Now()
	if err := conn.Write(ctx, websocket.MessageText, apiSetUp(id)); err != nil {
		return nil, err
	}
	w.note("api-client", "set-up %s", id)
	if w.trouble {
		time.Sleep(time.Second)
		if err := w.applyAPI(state, listen, 60); err != nil {
			return nil, err
		}
		agent.cmd.Process.Signal(syscall.SIGHUP)
		w.note("operator", "SIGHUP")
	}
	_, answer, err := conn.Read(ctx)
	w.note("api-client", "after %v: %s (%v)", time.Since(sent), answer, err)
	if err != nil {
		breaches = append(breaches, fmt.Sprintf("the connection of the open set-up %s ended after %v without its answer", id, time.Since(sent).Round(time.Millisecond)))
	}
	return requireNoCrash(agent, breaches), nil
}
