package emulator

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
)

// World is a running deployment: its setup servers, bulletin, links and checker.
type World struct {
	Deployment
	Agents   int
	Check    *Checker
	Observer Observer // told of the calls that stand; set before the first call

	net      *LoopbackNet
	host     string // of the setup servers, so that nobody else takes the port of one that is down
	bulletin *bulletin

	mu      sync.Mutex
	rng     *rand.Rand
	servers []*Server // all, in the order of their starts
	listed  []*Server // those on the list, up or draining
	nextID  int       // number of the next server
	groups  int
}

// LoopbackNet assigns a run's loopback addresses: agent 256h+l has 127.B.h.l, and the proxy in front of it
// 127.B.(128+h).l. No other run on this machine has the same B.
type LoopbackNet struct{ *faultnet.Octet }

// NewLoopbackNet reserves a second octet for the run.
func NewLoopbackNet() (*LoopbackNet, error) {
	o, err := faultnet.ReserveOctet()
	return &LoopbackNet{o}, err
}

// ProxyHost returns the address of the proxy in front of an agent; Host returns the agent's own.
func (n *LoopbackNet) ProxyHost(agent int) string { return n.Host(agent | 128<<8) }

// AgentAt returns the agent that has an address, or -1.
func (n *LoopbackNet) AgentAt(addr net.Addr) int {
	var ip net.IP
	switch a := addr.(type) {
	case *net.TCPAddr:
		ip = a.IP.To4()
	case *net.UDPAddr:
		ip = a.IP.To4()
	}
	if len(ip) != 4 || ip[1] != n.N || ip[2] >= 128 {
		return -1
	}
	return int(ip[2])<<8 | int(ip[3])
}

// NewWorld starts the setup servers and the bulletin of a deployment for a number of agents.
func NewWorld(d Deployment, addresses *LoopbackNet, agents, servers int, seed uint64) (*World, error) {
	w := &World{Deployment: d, Agents: agents, Observer: noObserver{}, net: addresses, rng: rand.New(rand.NewPCG(seed, 11)), groups: servers}
	var err error
	if w.host, err = faultnet.NewHost(); err != nil {
		return nil, err
	}
	w.Check = newChecker(w)
	if w.bulletin, err = newBulletin(w); err != nil {
		return nil, err
	}
	for i := range servers {
		if _, err := w.startServer(i, time.Time{}); err != nil {
			w.Close()
			return nil, err
		}
	}
	w.bulletin.addInitial(w.listed)
	return w, nil
}

// startServer starts a server of a group. born is the start of its warm-up, or the zero time if it is warm.
func (w *World) startServer(group int, born time.Time) (*Server, error) {
	ln, err := net.Listen("tcp", w.host+":0")
	if err != nil {
		return nil, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &Server{lineCount: w.lines(group), ID: fmt.Sprintf("s%d", w.nextID), Group: group, Zone: w.zone(group), Rate: w.rate(group), world: w, ln: ln,
		addr: ln.Addr().String(), startedAt: born, listedSince: born, slowdown: 1, status: "up", links: make([]*faultnet.WrappedLink, w.Agents),
		conns: map[*agentConn]bool{}, calls: map[callKey]*serverCall{}, recentEnds: map[int][]serverEnd{}, rng: rand.New(rand.NewPCG(uint64(w.nextID), w.rng.Uint64()))}
	for i := range s.links {
		s.links[i] = faultnet.NewWrappedLink()
		s.links[i].Delay(w.LinkDelay)
	}
	w.nextID++
	w.servers, w.listed = append(w.servers, s), append(w.listed, s)
	go s.accept(ln)
	go s.sendStates()
	return s, nil
}

// Bulletin returns the address of the bulletin.
func (w *World) Bulletin() string {
	w.bulletin.mu.Lock()
	defer w.bulletin.mu.Unlock()
	return w.bulletin.addr
}

// Known returns the events so far, in the form of the configuration's field known.
func (w *World) Known() any { return w.bulletin.eventsAfter(0, -1) }

// Listed returns the servers on the list, up or draining.
func (w *World) Listed() []*Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.listed)
}

// All returns all servers ever started.
func (w *World) All() []*Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.servers)
}

// Replace starts a new, cold server in place of another, which drains for a while, is removed from the list
// and then stops. It returns after that, or soon after ctx ends.
func (w *World) Replace(ctx context.Context, old *Server, drain time.Duration) (*Server, error) {
	fresh, err := w.startServer(old.Group, time.Now())
	if err != nil {
		return nil, err
	}
	old.setStatus("draining")
	w.bulletin.announce(old, fresh)
	sleep(ctx, drain)
	w.dropListed(old)
	old.setStatus("removed")
	w.bulletin.announce(old)
	sleep(ctx, w.BulletinDelay)
	old.Crash()
	return fresh, nil
}

func (w *World) dropListed(old *Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.listed = slices.DeleteFunc(w.listed, func(s *Server) bool { return s == old })
}

// Restart starts a server again, cold, that crashed or went silent.
func (w *World) Restart(s *Server) error {
	if err := s.restart(); err != nil {
		return err
	}
	w.bulletin.announce(s)
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Close stops the checker, the bulletin and all servers.
func (w *World) Close() {
	close(w.Check.done)
	w.bulletin.close()
	for _, s := range w.All() {
		s.close()
	}
}
