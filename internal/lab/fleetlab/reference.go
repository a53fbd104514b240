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
	fleet     *cluster.Cluster
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
	fleet := &cluster.Cluster{Config: cluster.Config{Deployment: deployment, Agents: r.Agents, Servers: r.Servers, Seed: r.Seed}}
	var err error
	if fleet.Net, err = emulator.NewLoopbackNet(); err != nil {
		return nil, err
	}
	if fleet.World, err = emulator.NewWorld(deployment, fleet.Net, r.Agents, r.Servers, r.Seed); err != nil {
		fleet.Net.Release()
		return nil, err
	}
	ref := &referenceAgents{fleet: fleet, policy: r.Policy, rng: rand.New(rand.NewPCG(r.Seed, 41)), conns: map[*emulator.Server]*referenceConn{},
		calls: map[isup.CallID]*referenceCall{}, pending: map[int]map[*emulator.Server]int{}}
	for i := range r.Agents {
		ref.pending[i] = map[*emulator.Server]int{}
		ln, err := net.Listen("tcp", fleet.Addr(i))
		if err != nil {
			fleet.Close()
			return nil, err
		}
		ref.listeners = append(ref.listeners, ln)
		go ref.accept(i, ln)
	}
	return fleet, nil
}

func (r *referenceAgents) accept(agent int, ln net.Listener) {
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
				r.handleCaller(agent, conn, m)
			}
		}()
	}
}

func (r *referenceAgents) handleCaller(agent int, conn net.Conn, m isup.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch m.Type {
	case isup.SetUp:
		call := &referenceCall{agent: agent, caller: conn, setup: m, tried: map[*emulator.Server]bool{}}
		r.calls[m.Call] = call
		r.sendSetUp(m.Call, call)
	case isup.Release:
		if call := r.calls[m.Call]; call != nil {
			r.forget(m.Call, call)
			if link := r.conns[call.server]; link != nil {
				writeMessage(link.conn, m)
			}
		}
	}
}

func (r *referenceAgents) forget(id isup.CallID, call *referenceCall) {
	if !call.stands && call.server != nil {
		r.pending[call.agent][call.server]--
	}
	delete(r.calls, id)
}

// sendSetUp sends a call to a server, or refuses it after the last attempt.
func (r *referenceAgents) sendSetUp(id isup.CallID, call *referenceCall) {
	for call.attempts < min(r.fleet.Deployment.MaxAttempts, 3) {
		server := r.pickServer(call)
		if server == nil {
			break
		}
		call.attempts++
		call.tried[server] = true
		call.server = server
		r.pending[call.agent][server]++
		link, err := r.connect(server)
		if err == nil {
			writeMessage(link.conn, isup.Message{Type: isup.SetUp, Call: id, Values: call.setup.Values})
			return
		}
		r.pending[call.agent][server]--
		call.server = nil
	}
	delete(r.calls, id)
	writeMessage(call.caller, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.NoCircuit).WithMillis(isup.RetryAfter, time.Second))
}

func (r *referenceAgents) pickServer(call *referenceCall) (best *emulator.Server) {
	var sum, least float64
	for _, server := range r.fleet.World.Listed() {
		if call.tried[server] || !server.Up() {
			continue
		}
		switch r.policy {
		case PolicyRandom:
			sum += server.Rate
			if r.rng.Float64()*sum < server.Rate {
				best = server
			}
		case PolicyLeast:
			n := float64(r.pending[call.agent][server])
			switch {
			case best == nil || n < least:
				best, least, sum = server, n, server.Rate
			case n == least:
				if sum += server.Rate; r.rng.Float64()*sum < server.Rate {
					best = server
				}
			}
		case PolicyDispatcher:
			done, ok := server.ExpectedAnswer()
			if ok && (best == nil || done.Seconds() < least) {
				best, least = server, done.Seconds()
			}
		}
	}
	if r.policy == PolicyDispatcher && best != nil && least > r.fleet.Deployment.Classes[0].Aim.Seconds() {
		return nil // the answer would come after the aim
	}
	return best
}

// connect returns the connection to a server, and opens it at the first use.
func (r *referenceAgents) connect(server *emulator.Server) (*referenceConn, error) {
	if link := r.conns[server]; link != nil {
		return link, nil
	}
	dialer := net.Dialer{Timeout: 200 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(r.fleet.Net.Host(0))}}
	conn, err := dialer.Dial("tcp", server.Addr())
	if err != nil {
		return nil, err
	}
	link := &referenceConn{conn}
	r.conns[server] = link
	go func() {
		for in := bufio.NewReader(conn); ; {
			m, err := isup.Read(in)
			if err != nil {
				r.connectionLost(server, link)
				return
			}
			r.handleServer(server, m)
		}
	}()
	return link, nil
}

func (r *referenceAgents) connectionLost(server *emulator.Server, link *referenceConn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	link.conn.Close()
	if r.conns[server] == link {
		delete(r.conns, server)
	}
	for id, call := range r.calls {
		if call.server == server {
			r.forget(id, call)
			writeMessage(call.caller, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.TempFailure))
		}
	}
}

func (r *referenceAgents) handleServer(server *emulator.Server, m isup.Message) {
	r.mu.Lock()
	defer r.mu.Unlock()
	call := r.calls[m.Call]
	if call == nil || call.server != server {
		return
	}
	switch {
	case m.Type == isup.Answer:
		call.stands = true
		r.pending[call.agent][server]--
		writeMessage(call.caller, m)
	case m.Type == isup.Release && call.stands:
		delete(r.calls, m.Call)
		writeMessage(call.caller, m)
	case m.Type == isup.Release:
		r.pending[call.agent][server]--
		call.server = nil
		r.sendSetUp(m.Call, call)
	}
}

func writeMessage(conn net.Conn, m isup.Message) {
	if b, err := m.Append(nil); err == nil {
		conn.Write(b) // the connection's reader notices a closed connection
	}
}
