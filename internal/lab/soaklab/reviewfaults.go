package soaklab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// The names of faults that came with the second review.
const (
	IdleEnded      = "idle connections end"
	RestartUnseen  = "restart unseen"
	ClientDeparted = "client departs"
)

// reviewFaults are drawn apart from the others, so that the seeds of those keep their courses.
var reviewFaults = []fault{
	{IdleEnded, (*trial).endIdleConnections},
	{IdleEnded, (*trial).endIdleConnections},
	{RestartUnseen, (*trial).restartUnseen},
	{ClientDeparted, (*trial).departClient},
}

// Times of these faults.
const (
	forgottenFor  = 3500 * time.Millisecond // a forgotten connection may stay unnoticed so long
	unseenOutage  = 8500 * time.Millisecond // longer than the end of a call may take to its caller
	unseenRestart = 300 * time.Millisecond  // after the outage began
	agentPause    = 150 * time.Millisecond  // an agent does not run for so long
	departedCalls = 200
)

// endIdleConnections has all servers end their idle connections, in one way.
func (t *trial) endIdleConnections(rng *rand.Rand) string {
	how := emulator.IdleEnd(rng.IntN(int(emulator.IdleEnds)))
	for _, s := range t.cluster.World.All() {
		s.EndIdle(how)
		if how != emulator.IdleForgotten {
			continue
		}
		end := t.recorder.disturb(s.ID, allAgents, false)
		t.underWay.Go(func() {
			time.Sleep(forgottenFor)
			end()
		})
	}
	return [...]string{"closed", "reset", "forgotten"}[how]
}

// restartUnseen restarts a server at its address at once, while the bulletin is silent for long.
func (t *trial) restartUnseen(rng *rand.Rand) string {
	if !t.takeDiscovery() {
		return ""
	}
	s := t.takeServer(rng)
	if s == nil {
		t.releaseDiscovery()
		return ""
	}
	t.cluster.World.SilenceBulletin(true)
	t.underWay.Go(func() {
		t.disturbWhile(s, true, func() {
			time.Sleep(unseenRestart)
			t.restartServer(s)
			time.Sleep(unseenOutage - unseenRestart)
		})
		t.cluster.World.SilenceBulletin(false)
		t.releaseServer(s)
		t.releaseDiscovery()
	})
	return s.ID
}

func (t *trial) releaseDiscovery() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.discovery = false
}

// departClient has a client place calls at an agent that does not run for a moment, and leave before it does again.
func (t *trial) departClient(rng *rand.Rand) string {
	agent := t.takeAgent(rng)
	if agent < 0 {
		return ""
	}
	reset := rng.IntN(2) == 0
	t.underWay.Go(func() {
		defer t.setStopping(agent, false)
		conn, err := net.DialTimeout("tcp", t.cluster.Addr(agent), time.Second)
		if err != nil {
			return
		}
		defer conn.Close()
		if !t.accepted(conn) {
			return
		}
		proc := t.cluster.Procs[agent]
		proc.Suspend()
		t.depart(conn, reset, rng)
		time.Sleep(agentPause)
		proc.Resume()
	})
	return fmt.Sprintf("a%d, reset %t", agent, reset)
}

// accepted reports whether the agent has accepted a connection: it answers a test.
func (t *trial) accepted(conn net.Conn) bool {
	conn.SetDeadline(time.Now().Add(time.Second))
	conn.Write(encoded(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed))) // if it fails, so does the read
	for {
		m, err := isup.Read(conn)
		if err != nil || m.Type == isup.TestResult {
			return err == nil
		}
	}
}

// depart places calls on a connection and ends it.
func (t *trial) depart(conn net.Conn, reset bool, rng *rand.Rand) {
	class := t.Deployment.Classes[0]
	var offers []byte
	for range departedCalls {
		id := isup.CallID(t.lastID.Add(1))
		t.cluster.World.Check.AddCall(id)
		t.recorder.depart(id)
		offers = append(offers, t.setUp(id, class.Name, class.Deadline, rng)...)
	}
	if _, err := conn.Write(offers); err != nil && err != io.EOF {
		return
	}
	if tcp, ok := conn.(*net.TCPConn); ok && reset {
		tcp.SetLinger(0)
	}
	conn.Close()
}

// depart records that a call's client leaves before the agent can read it.
func (r *recorder) depart(id isup.CallID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departed[id] = time.Now()
}

func (t *trial) setStopping(agent int, on bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.stopping[agent] = on
}
