package main

import (
	"errors"
	"syscall"
	"time"

	"woodrouter/internal/lab/emulator"
)

// Times of the case of the ends. A call lasts as long as the site's mean; SIGKILL would come 3.7 s after SIGTERM.
const (
	endsHold        = 9 * time.Second
	endsBefore      = 6 * time.Second        // traffic before the restart
	endsAfter       = 14 * time.Second       // and after it, until all calls from before have ended
	endsInterval    = 100 * time.Millisecond // between two calls of a gateway
	frontNotices    = 300 * time.Millisecond // new calls keep coming for this long after SIGTERM
	killAfter       = 3700 * time.Millisecond
	endWithin       = time.Second + 50*time.Millisecond
	minJudged       = 10 // so many calls at least must have ended where the rule can be judged
	readyWithin     = 10 * time.Second
	settleForReady  = 500 * time.Millisecond
	callersOfBefore = 2
)

// playEnds restarts a call agent, as planned, while calls of two booking gateways stand, and checks that each gateway
// is sent the releases of its own calls.
func playEnds(record *recorder, trouble bool, cleanup *cleanups) (kept bool, err error) {
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
	a := &agentProcess{name: "n1", listen: listen, deployment: d, servers: len(servers), record: record}
	cleanup.add(a.kill)
	if err := startWithList(a, record, servers, cleanup); err != nil {
		return false, err
	}
	gateways := []*gateway{newGateway("east", "127.0.0.21", listen, record), newGateway("harbour", "127.0.0.22", listen, record)}
	for _, g := range gateways {
		g.class, g.tenant = d.Classes[0].Name, d.Tenants[0].Name
		cleanup.add(g.stop)
		g.run(endsInterval)
	}
	if err := awaitReady(gateways); err != nil {
		return false, err
	}
	time.Sleep(endsBefore)
	if trouble {
		if err := restart(a, record, servers, gateways, cleanup); err != nil {
			return false, err
		}
	}
	time.Sleep(endsAfter)
	for _, g := range gateways {
		g.setPlacing(false)
	}
	time.Sleep(2 * endWithin)
	return judgeEnds(record, servers, gateways)
}

// startWithList starts the agent with a bulletin of its own, whose events are counted from 1.
func startWithList(a *agentProcess, record *recorder, servers []*setupServer, cleanup *cleanups) error {
	b, err := newBulletin(record, servers...)
	if err != nil {
		return err
	}
	cleanup.add(func() { b.srv.Close() })
	return a.start(b)
}

// restart is a planned restart: SIGTERM, the end of the process, and its start under the same name and address.
func restart(a *agentProcess, record *recorder, servers []*setupServer, gateways []*gateway, cleanup *cleanups) error {
	a.signal(syscall.SIGTERM)
	time.Sleep(frontNotices)
	for _, g := range gateways {
		g.setPlacing(false)
	}
	if !a.await(killAfter - frontNotices) {
		a.signal(syscall.SIGKILL)
		a.await(time.Second)
	}
	if err := startWithList(a, record, servers, cleanup); err != nil {
		return err
	}
	if err := awaitReady(gateways); err != nil {
		return err
	}
	for _, g := range gateways {
		g.setPlacing(true)
	}
	return nil
}

// awaitReady waits until every gateway has a connection on which the agent has passed a test.
func awaitReady(gateways []*gateway) error {
	for deadline := time.Now().Add(readyWithin); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		ready := 0
		for _, g := range gateways {
			g.mu.Lock()
			if g.passed {
				ready++
			}
			g.mu.Unlock()
		}
		if ready == len(gateways) {
			return nil
		}
	}
	return errors.New("the agent was not ready in time")
}

// judgeEnds checks every call that stood and is over: its gateway must have read the release within the limit after the
// server wrote it, if the gateway was connected to the agent, and had passed a test there, through that whole time.
func judgeEnds(record *recorder, servers []*setupServer, gateways []*gateway) (kept bool, err error) {
	judged, missing, foreign := 0, 0, 0
	for _, g := range gateways {
		for id := range g.foreign {
			record.add("foreign: gateway %s was sent the release of %v", g.name, id)
			foreign++
		}
		for id, answeredAt := range g.answered {
			for _, s := range servers {
				s.mu.Lock()
				e, over := s.released[id]
				s.mu.Unlock()
				if !over || !g.connectedDuring(e.at, e.at.Add(endWithin)) {
					continue
				}
				judged++
				read, told := g.endedAt[id]
				if !told || read.Sub(e.at) > endWithin {
					record.add("lost: call %v of gateway %s stood at %d, server %s released it at %d, read by its gateway: %v", id, g.name,
						answeredAt.UnixMilli(), s.name, e.at.UnixMilli(), told)
					missing++
				}
			}
		}
	}
	record.say("%d calls judged, %d releases not read by the calls' gateway in time, %d releases sent to a gateway without such a call", judged, missing, foreign)
	if judged < minJudged {
		return false, errors.New("too few calls to judge")
	}
	return missing == 0, nil
}
