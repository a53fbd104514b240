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

// The references: what simple rules do on the same seeds. They keep no rule but one attempt at a
// time, know every change of the list at once and the true capacities, and run in this process.
const (
	Random     = "random"     // weighted by capacity
	Least      = "least"      // fewest unanswered set-ups of this agent, drawn by capacity among equals
	Dispatcher = "dispatcher" // one that sees every queue as it is
)

// reference is all agents in one: a listener for each, and one connection to each server.
type reference struct {
	c      *cluster.Cluster
	policy string
	lns    []net.Listener

	mu    sync.Mutex
	rng   *rand.Rand
	trunk map[*emulator.Server]*refTrunk
	calls map[isup.CallID]*refCall
	out   map[int]map[*emulator.Server]int // unanswered, by agent
}

type refTrunk struct {
	conn net.Conn
}

type refCall struct {
	agent    int
	caller   net.Conn
	setup    isup.Message
	server   *emulator.Server
	tried    map[*emulator.Server]bool
	attempts int
	stands   bool
}

func startReference(r Run, d emulator.Deployment) (*cluster.Cluster, error) {
	c := &cluster.Cluster{Config: cluster.Config{Deployment: d, Agents: r.Agents, Servers: r.Servers, Seed: r.Seed}}
	var err error
	if c.Net, err = emulator.NewLoopbackNet(); err != nil {
		return nil, err
	}
	if c.World, err = emulator.NewWorld(d, c.Net, r.Agents, r.Servers, r.Seed); err != nil {
		c.Net.Release()
		return nil, err
	}
	ref := &reference{c: c, policy: r.Policy, rng: rand.New(rand.NewPCG(r.Seed, 41)), trunk: map[*emulator.Server]*refTrunk{},
		calls: map[isup.CallID]*refCall{}, out: map[int]map[*emulator.Server]int{}}
	for i := range r.Agents {
		ref.out[i] = map[*emulator.Server]int{}
		ln, err := net.Listen("tcp", c.Addr(i))
		if err != nil {
			c.Close()
			return nil, err
		}
		ref.lns = append(ref.lns, ln)
		go ref.accept(i, ln)
	}
	return c, nil
}

func (f *reference) accept(agent int, ln net.Listener) {
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
				f.ask(agent, conn, m)
			}
		}()
	}
}

func (f *reference) ask(agent int, conn net.Conn, m isup.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch m.Type {
	case isup.SetUp:
		k := &refCall{agent: agent, caller: conn, setup: m, tried: map[*emulator.Server]bool{}}
		f.calls[m.Call] = k
		f.send(m.Call, k)
	case isup.Release:
		if k := f.calls[m.Call]; k != nil {
			f.forget(m.Call, k)
			if t := f.trunk[k.server]; t != nil {
				say(t.conn, m)
			}
		}
	}
}

func (f *reference) forget(id isup.CallID, k *refCall) {
	if !k.stands && k.server != nil {
		f.out[k.agent][k.server]--
	}
	delete(f.calls, id)
}

// send gives a call to a server, or refuses it.
func (f *reference) send(id isup.CallID, k *refCall) {
	for k.attempts < min(f.c.Deployment.MaxAttempts, 3) {
		s := f.pick(k)
		if s == nil {
			break
		}
		k.attempts++
		k.tried[s] = true
		k.server = s
		f.out[k.agent][s]++
		t, err := f.reach(s)
		if err == nil {
			say(t.conn, isup.Message{Type: isup.SetUp, Call: id, Values: k.setup.Values})
			return
		}
		f.out[k.agent][s]--
		k.server = nil
	}
	delete(f.calls, id)
	say(k.caller, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.NoCircuit).WithMillis(isup.RetryAfter, time.Second))
}

func (f *reference) pick(k *refCall) (best *emulator.Server) {
	var sum, least float64
	for _, s := range f.c.World.Listed() {
		if k.tried[s] || !s.Up() {
			continue
		}
		switch f.policy {
		case Random:
			sum += s.Rate
			if f.rng.Float64()*sum < s.Rate {
				best = s
			}
		case Least:
			n := float64(f.out[k.agent][s])
			switch {
			case best == nil || n < least:
				best, least, sum = s, n, s.Rate
			case n == least:
				if sum += s.Rate; f.rng.Float64()*sum < s.Rate {
					best = s
				}
			}
		case Dispatcher:
			done, ok := s.ExpectedAnswer()
			if ok && (best == nil || done.Seconds() < least) {
				best, least = s, done.Seconds()
			}
		}
	}
	if f.policy == Dispatcher && best != nil && least > f.c.Deployment.Classes[0].Aim.Seconds() {
		return nil // it would come too late
	}
	return best
}

// reach is the one connection to a server.
func (f *reference) reach(s *emulator.Server) (*refTrunk, error) {
	if t := f.trunk[s]; t != nil {
		return t, nil
	}
	d := net.Dialer{Timeout: 200 * time.Millisecond, LocalAddr: &net.TCPAddr{IP: net.ParseIP(f.c.Net.Host(0))}}
	conn, err := d.Dial("tcp", s.Addr())
	if err != nil {
		return nil, err
	}
	t := &refTrunk{conn}
	f.trunk[s] = t
	go func() {
		for in := bufio.NewReader(conn); ; {
			m, err := isup.Read(in)
			if err != nil {
				f.broken(s, t)
				return
			}
			f.hear(s, m)
		}
	}()
	return t, nil
}

func (f *reference) broken(s *emulator.Server, t *refTrunk) {
	f.mu.Lock()
	defer f.mu.Unlock()
	t.conn.Close()
	if f.trunk[s] == t {
		delete(f.trunk, s)
	}
	for id, k := range f.calls {
		if k.server == s {
			f.forget(id, k)
			say(k.caller, isup.Message{Type: isup.Release, Call: id}.WithCause(isup.TempFailure))
		}
	}
}

func (f *reference) hear(s *emulator.Server, m isup.Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	k := f.calls[m.Call]
	if k == nil || k.server != s {
		return
	}
	switch {
	case m.Type == isup.Answer:
		k.stands = true
		f.out[k.agent][s]--
		say(k.caller, m)
	case m.Type == isup.Release && k.stands:
		delete(f.calls, m.Call)
		say(k.caller, m)
	case m.Type == isup.Release:
		f.out[k.agent][s]--
		k.server = nil
		f.send(m.Call, k)
	}
}

func say(conn net.Conn, m isup.Message) {
	if b, err := m.Append(nil); err == nil {
		conn.Write(b) // a connection that is gone shows at its reader
	}
}
