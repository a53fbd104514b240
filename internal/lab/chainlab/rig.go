// Package chainlab measures the call path. Chains of real call agents, each a process of the
// program, lie between emulated setup servers without work of their own: a server that takes a
// call places the next one through the next agent before it answers. The same chain without
// agents, by the same code and sockets, is what it is compared with. It also measures an agent's
// memory, and where its connections to setup servers use up its descriptors. cmd/woodlab and a
// short test use it. Loopback only.
package chainlab

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"sync/atomic"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// Where a run's parts are: agents from this number of its octet on, peers and the bulletin from
// theirs.
const (
	agentsAt   = 0x0100
	peersAt    = 0x1000
	bulletinAt = 0x0001
	agentPort  = 5070
	peerPort   = 5060
)

// class is the one class of calls.
const class = "call"

// deployment is what agents are told of: patient calls, nothing cold, nothing scarce.
func deployment() emulator.Deployment {
	d := emulator.Campus()
	d.Name, d.Tenants = "chain", nil
	d.Classes = []emulator.Class{{Name: class, Share: 1, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25}}
	return d
}

// rig is the addresses of a run and its bulletin, which lists nothing new.
type rig struct {
	Bin, Dir string
	former   string // the program of former agents
	octet    *faultnet.Octet
	peers    int // addresses taken
	agents   int
	bulletin *http.Server
	book     string
	polls    atomic.Int64 // that the bulletin has answered
}

func newRig(bin, dir string) (*rig, error) {
	if err := keepOwn(); err != nil {
		return nil, err
	}
	o, err := faultnet.ReserveOctet()
	if err != nil {
		return nil, err
	}
	r := &rig{Bin: bin, Dir: dir, octet: o}
	ln, err := net.Listen("tcp", o.Host(bulletinAt)+":0")
	if err != nil {
		o.Release()
		return nil, err
	}
	r.book = ln.Addr().String()
	r.bulletin = &http.Server{Handler: r}
	go r.bulletin.Serve(ln)
	return r, nil
}

// ServeHTTP answers a long poll: the one event there is, or after its patience nothing.
func (r *rig) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	patience, _ := strconv.Atoi(q.URL.Query().Get("patience"))
	select {
	case <-q.Context().Done():
		return
	case <-time.After(time.Duration(patience) * time.Millisecond):
	}
	r.polls.Add(1)
	json.NewEncoder(out).Encode(map[string]any{"no": 1, "items": []any{}})
}

func (r *rig) close() {
	r.bulletin.Close()
	r.octet.Release()
}

// peer starts a peer at an address of its own.
func (r *rig) peer(next string) (*peer, error) { return newPeer(r.peerAddr(), next, false) }

// mutePeer starts one that takes set-ups and does not answer.
func (r *rig) mutePeer() (*peer, error) { return newPeer(r.peerAddr(), "", true) }

func (r *rig) peerAddr() string {
	r.peers++
	return fmt.Sprintf("%s:%d", r.octet.Host(peersAt+r.peers), peerPort)
}

// agent is one call agent.
type agent struct {
	*faultnet.Proc
	addr string
}

// limits are an agent's bounds.
type limits struct {
	memoryMB, sockets int
	held              bool   // the system holds it to its descriptors, as the platform does
	bin               string // another program than the rig's
}

// agent starts an agent that knows these servers.
func (r *rig) agent(servers []*peer, l limits) (*agent, error) {
	r.agents++
	host := r.octet.Host(agentsAt + r.agents)
	var list []map[string]any
	for i, s := range servers {
		list = append(list, map[string]any{"name": fmt.Sprintf("s%d", i), "address": s.addr(), "zone": "campus", "type": "std",
			"group": i, "status": "up", "weight": 1, "since_ms": 0})
	}
	name := fmt.Sprintf("a%d", r.agents)
	a := &agent{addr: fmt.Sprintf("%s:%d", host, agentPort)}
	text, err := json.Marshal(map[string]any{"name": name, "listen": a.addr, "seed": fmt.Sprintf("%016x", r.agents),
		"limits":   map[string]any{"cores": 1, "memory_mb": cmp.Or(l.memoryMB, 192), "sockets": cmp.Or(l.sockets, 1024)},
		"bulletin": r.book, "settings": deployment().Settings(0, 1, len(servers)),
		"known": map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": map[string]any{"index": 1, "snapshot": true, "endpoints": list}}}}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(r.Dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	a.Proc = &faultnet.Proc{Name: name, Bin: cmp.Or(l.bin, r.Bin), Env: append(os.Environ(), "PROXY_CONFIG="+path, "WOODROUTER_SOURCE="+host, "GOMAXPROCS=1")}
	if l.held { // the shell sets its own bound and becomes the agent
		a.Proc.Bin, a.Proc.Args = "/bin/sh", []string{"-c", `ulimit -n "$0" && exec "$1"`, strconv.Itoa(l.sockets), a.Proc.Bin}
	}
	return a, a.Proc.Start()
}

// relay starts a Relay, which cmd/woodlab and this package's tests are when asked for it.
func (r *rig) relay(server *peer) (*agent, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	r.agents++
	a := &agent{addr: fmt.Sprintf("%s:%d", r.octet.Host(agentsAt+r.agents), agentPort)}
	a.Proc = &faultnet.Proc{Name: fmt.Sprintf("a%d", r.agents), Bin: self, Args: []string{"chain", "relay", a.addr, server.addr()},
		Env: append(os.Environ(), "GOMAXPROCS=1")}
	return a, a.Proc.Start()
}

// readyMost bounds an agent's start on a busy machine.
const readyMost = 30 * time.Second

// ready waits until an agent passes a test, as the platform's front asks.
func (a *agent) ready(ctx context.Context, most time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	for {
		err := a.test()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s takes no calls (last: %w)", a.Name, err)
		case <-a.Done():
			return fmt.Errorf("%s has ended: %s", a.Name, a.Log())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

var errNotReady = errors.New("the test was not passed")

func (a *agent) test() error {
	conn, err := net.DialTimeout("tcp", a.addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	w := &wire{Conn: conn}
	if err := w.say(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed)); err != nil {
		return err
	}
	m, err := isup.Read(bufio.NewReader(conn))
	if err != nil {
		return err
	}
	if cause, err := m.Cause(); err != nil || cause != isup.Passed {
		return errNotReady
	}
	return nil
}

// way is what lies before each peer of a chain.
type way int

// The ways. What relays add is what any process in between adds on this machine.
const (
	agents way = iota
	former     // agents of another program, an earlier one
	relays
	direct // nothing
	wayCount
)

func (w way) String() string { return [...]string{"with agents", "former", "relays", "direct"}[w] }

// chain is peers in a row, with a process before each or none.
type chain struct {
	peers  []*peer  // the first is met first
	agents []*agent // or relays
	entry  string   // where callers connect
}

// chain starts one of n hops.
func (r *rig) chain(ctx context.Context, n int, w way) (*chain, error) {
	c := &chain{peers: make([]*peer, n)}
	for k := n - 1; k >= 0; k-- { // the last first: each must know the next
		p, err := r.peer(c.entry)
		if err != nil {
			c.close()
			return nil, err
		}
		c.peers[k], c.entry = p, p.addr()
		var a *agent
		switch w {
		case agents:
			a, err = r.agent([]*peer{p}, limits{})
		case former:
			a, err = r.agent([]*peer{p}, limits{bin: r.former})
		case relays:
			a, err = r.relay(p)
		default:
			continue
		}
		if err != nil {
			c.close()
			return nil, err
		}
		c.agents, c.entry = append(c.agents, a), a.addr
	}
	for _, a := range c.agents {
		if err := a.ready(ctx, readyMost); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *chain) close() {
	for _, a := range c.agents {
		a.Kill()
	}
	for _, p := range c.peers {
		if p != nil {
			p.close()
		}
	}
}

// work is what the chain's agents or relays have done, together.
func (c *chain) work() (sum work, err error) {
	for _, a := range c.agents {
		w, err := workOf(a.PID())
		if err != nil {
			return sum, err
		}
		sum = sum.plus(w, 1)
	}
	return sum, nil
}
