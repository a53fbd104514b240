package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"woodrouter/internal/lab/emulator"
)

// playAPIEnds restarts a call agent, as planned, while calls of a client of the call-control API stand, and checks that
// this client is told of their ends as a caller on binary signalling has to be.
func playAPIEnds(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error) {
	d := emulator.Campus()
	d.Hold = endsHold
	var servers []*setupServer
	for i, name := range []string{"s-1", "s-2"} {
		s, err := newSetupServer(name, i, endsHold, record)
		if err != nil {
			return false, err
		}
		cleanup.add(s.stop)
		servers = append(servers, s)
	}
	listen, err := freeAddress()
	if err != nil {
		return false, err
	}
	apiAddress, err := freeAddress()
	if err != nil {
		return false, err
	}
	state, err := applyAPI(apiAddress)
	if err != nil {
		return false, err
	}
	a := &agentProcess{name: "n1", listen: listen, env: []string{"WOODROUTER_STATE=" + state}, deployment: d, servers: len(servers), record: record}
	cleanup.add(a.kill)
	if err := startWithList(a, record, servers, cleanup); err != nil {
		return false, err
	}
	g := newGateway("east", "127.0.0.21", listen, record)
	g.class, g.tenant = d.Classes[0].Name, d.Tenants[0].Name
	cleanup.add(g.stop)
	g.run(endsInterval)
	if err := awaitReady([]*gateway{g}); err != nil {
		return false, err
	}
	c := newAPIClient("booking", apiAddress, record)
	c.class, c.tenant = d.Classes[0].Name, d.Tenants[1].Name
	if err := connectAPI(c); err != nil {
		return false, err
	}
	cleanup.add(c.stop)
	calls := 0
	placeFor := func(d time.Duration) {
		for until := time.Now().Add(d); time.Now().Before(until); calls++ {
			c.place(calls)
			time.Sleep(endsInterval)
		}
	}
	placeFor(endsBefore)
	if trouble {
		if err := restart(a, record, servers, []*gateway{g}, cleanup); err != nil {
			return false, err
		}
		if err := connectAPI(c); err != nil {
			return false, err
		}
	}
	placeFor(endsAfter)
	time.Sleep(2 * endWithin)
	return judgeAPIEnds(record, servers, g, c)
}

// applyAPI turns the call-control API on with the program's plan and apply, and returns the state file's path.
func applyAPI(address string) (state string, err error) {
	folder := os.Getenv("CASE_TMP")
	desired, plan := filepath.Join(folder, "api.toml"), filepath.Join(folder, "api.plan")
	state = filepath.Join(folder, "state.json")
	text := fmt.Sprintf("enabled = true\nlisten = %q\npath = \"/calls\"\norigins = []\n", address)
	if err := os.WriteFile(desired, []byte(text), 0o644); err != nil {
		return "", err
	}
	program := filepath.Join(os.Getenv("CASE_ROOT"), "bin", "woodrouter")
	var exit *exec.ExitError
	if err := exec.Command(program, "plan", "--state", state, "--out", plan, desired).Run(); !errors.As(err, &exit) || exit.ExitCode() != 2 {
		return "", fmt.Errorf("plan: %v", err) // 2: there are changes
	}
	if out, err := exec.Command(program, "apply", plan).CombinedOutput(); err != nil {
		return "", fmt.Errorf("apply: %w: %s", err, out)
	}
	return state, nil
}

// connectAPI connects as soon as the agent takes the client.
func connectAPI(c *apiClient) (err error) {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if err = c.connect(); err == nil {
			return nil
		}
	}
	return err
}

// judgeAPIEnds checks every call of the client that stood and is over: the client must have been told within the limit
// after the server wrote the release, if it was connected to the agent through that whole time.
func judgeAPIEnds(record *recorder, servers []*setupServer, g *gateway, c *apiClient) (kept bool, err error) {
	judged, missing := 0, 0
	c.mu.Lock()
	answered := make([]string, 0, len(c.answered))
	for id := range c.answered {
		answered = append(answered, id)
	}
	c.mu.Unlock()
	for _, id := range answered {
		for _, s := range servers {
			s.mu.Lock()
			e, over := s.released[callID(id)]
			s.mu.Unlock()
			if !over || !c.connectedDuring(e.at, e.at.Add(endWithin)) {
				continue
			}
			judged++
			c.mu.Lock()
			read, told := c.ended[id]
			c.mu.Unlock()
			if !told || read.Sub(e.at) > endWithin {
				record.add("lost: call %s of client %s: server %s released it at %d, told to its client: %v", id, c.name, s.name, e.at.UnixMilli(), told)
				missing++
			}
		}
	}
	g.mu.Lock()
	foreign := len(g.foreign)
	g.mu.Unlock()
	record.say("%d calls of the API's client judged, %d ends not told to it in time, %d releases sent to a gateway that had no such call", judged, missing, foreign)
	if judged < minJudged {
		return false, errors.New("too few calls to judge")
	}
	return missing == 0, nil
}
