package fleetlab

import (
	"bufio"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"woodrouter/internal/lab/cluster"
	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// The reference policies show how simple rules perform with the same seeds. They run in this process,
// know the true capacities and every change of the server list at once, and obey none of the agents'
// rules except that a call has one attempt at a time.
const (
	PolicyRandom     = "random"     // random choice, weighted by capacity
	PolicyLeast      = "least"      // fewest unanswered set-ups from this agent; ties are drawn by capacity
	PolicyDispatcher = "dispatcher" // one dispatcher for all agents that knows every queue exactly
)

// referenceAgents plays the role of all agents: it has a listener for each agent and one connection to
// each server.
type referenceAgents struct {
	running   *cluster.Cluster
	policy    string
	listeners []net.Listener

	mu      sync.Mutex
	rng     *rand.Rand
	conns   map[*emulator.Server]*referenceConn
	calls   map[isup.CallID]*referenceCall
	pending map[int]map[*emulator.Server]int // unanswered set-ups by agent and server
}

type referenceConn struct {
	conn net.Conn
}

type referenceCall struct {
	agent    int
	caller   net.Conn
	setup    isup.Message
	server   *emulator.Server
	tried    map[*emulator.Server]bool
	attempts int
	stands   bool
}

func startReference(r Scenario, deployment emulator.Deployment) (*cluster.Cluster, error) {
	running := &cluster.Cluster{Config: cluster.Config{Deployment: deployment, Agents: r.Agents, Servers: r.Servers, Seed: r.Seed}}
	var err error
	if running.Net, err = emulator.NewLoopbackNet(); err != nil {
		return nil, err
	}
	if running.World, err = emulator.NewWorld(deployment, running.Net, r.Agents, r.Servers, r.Seed); err != nil {
		running.Net.Release()
		return nil, err
	}
	ref := &referenceAgents{running: running, policy: r.Policy, rng: rand.New(rand.NewPCG(r.Seed, 41)), conns: map[*emulator.Server]*referenceConn{},
		calls: map[isup.CallID]*referenceCall{}, pending: map[int]map[*emulator.Server]int{}}
	for i := range r.Agents {
		ref.pending[i] = map[*emulator.Server]int{}
		ln, err := net.Listen("tcp", running.Addr(i))
		if err != nil {
			running.Close()
			return nil, err
		}
		ref.listeners = append(ref.listeners, ln)
		go ref.accept(i, ln)
	}
	return running, nil
}

func (f *referenceAgents) accept(agent int, ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go func() {
			for in := bufio.NewReader(conn); ; {
				m, err := isup.Read(in)
				if err != nil {
					conn.Close()
					return
				}
				f.handleCaller(agent, conn, m)
			}
		}()
	}
}

func (f *referenceAgents) handleCaller(agent int, conn net.Conn, m isup.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch m.Type {
	case isup.SetUp:
		k := &referenceCall{agent: agent, caller: conn, setup: m, tried: map[*emulator.Server]bool{}}
		f.calls[m.Call] = k
		f.sendSetUp(m.Call, k)
	case isup.Release:
		if k := f.calls[m.Call]; k != nil {
			f.forget(m.Call, k)
			if t := f.conns[k.server]; t != nil {
				writeMessage(t.conn, m)
			}
		}
	}
}

func (f *referenceAgents) forget(id isup.CallID, k *referenceCall) {
	if !k.stands && k.server != nil {
		f.pending[k.agent][k.server]--
	}
	delete(f.calls, id)
}

// sendSetUp sends a call to a server, or refuses it after the last attempt.
func (f *referenceAgents) sendSetUp(id isup.CallID, k *referenceCall) {
	for k.attempts < min(f.running.Deployment.MaxAttempts, 3) {
		s := f.pickServer(k)
		if s == nil {
			break
		}
		k.attempts++
		k.tried[s] = true
		k.server = s
		f.pending[k.agent][s]++
		t, err := f.connect(s)
		if err == nil {
			writeMessage(t.conn, isup.Message{Type: isup.SetUp, Call: id, Values: k.setup.Values})
			return
		}
		f.pending[k.agent][s]--
		k.server = nil
	}
	delete(f.calls, id)
	writeMessage(k.caller, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.NoCircuit).WithMillis(isup.RetryAfter, time.Second))
}

func (f *referenceAgents) pickServer(k *referenceCall) (best *emulator.Server) {
	var sum, least float64
	for _, s := range f.running.World.Listed() {
		if k.tried[s] || !s.Up() {
			continue
		}
		switch f.policy {
		case PolicyRandom:
			sum += s.Rate
			if f.rng.Float64()*sum < s.Rate {
				best = s
			}
		case PolicyLeast:
			n := float64(f.pending[k.agent][s])
			switch {
			case best == nil || n < least:
				best, least, sum = s, n, s.Rate
			case n == least:
				if sum += s.Rate; f.rng.Float64()*sum < s.Rate {
					best = s
				}
			}
		case PolicyDispatcher:
			done, ok := s.ExpectedAnswer()
			if ok && (best == nil || done.Seconds() < least) {
				best, least = s, done.Seconds()
			}
		}
	}
	if f.policy == PolicyDispatcher && best != nil && least > f.running.Deployment.Classes[0].Aim.Seconds() {
		return nil // the answer would come after the aim
	}
	return best
}

// connect returns the connection to a server, and opens it at the first use.
func (f *referenceAgents) connect(s *emulator.Server) (*referenceConn, error) {
	if t := f.conns[s]; t != nil {
		return t, nil
	}
	d := net.Dialer{Timeout: 200 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.running.Net.Host(0))}}
	conn, err := d.Dial("tcp", s.Addr())
	if err != nil {
		return nil, err
	}
	t := &referenceConn{conn}
	f.conns[s] = t
	go func() {
		for in := bufio.NewReader(conn); ; {
			m, err := isup.Read(in)
			if err != nil {
				f.connectionLost(s, t)
				return
			}
			f.handleServer(s, m)
		}
	}()
	return t, nil
}

func (f *referenceAgents) connectionLost(s *emulator.Server, t *referenceConn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.conn.Close()
	if f.conns[s] == t {
		delete(f.conns, s)
	}
	for id, k := range f.calls {
		if k.server == s {
			f.forget(id, k)
			writeMessage(k.caller, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.TempFailure))
		}
	}
}

func (f *referenceAgents) handleServer(s *emulator.Server, m isup.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.calls[m.Call]
	if k == nil || k.server != s {
		return
	}
	switch {
	case m.Type == isup.Answer:
		k.stands = true
		f.pending[k.agent][s]--
		writeMessage(k.caller, m)
	case m.Type == isup.Release && k.stands:
		delete(f.calls, m.Call)
		writeMessage(k.caller, m)
	case m.Type == isup.Release:
		f.pending[k.agent][s]--
		k.server = nil
		f.sendSetUp(m.Call, k)
	}
}

func writeMessage(conn net.Conn, m isup.Message) {
	if b, err := m.Append(nil); err == nil {
		conn.Write(b) // the connection's reader notices a closed connection
	}
}
