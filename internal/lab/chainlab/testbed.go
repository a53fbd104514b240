// Package chainlab measures the call path on loopback. Chains of call agents, each a process of the
// program, connect emulated setup servers without work of their own: a server that receives a call places
// it through the next agent before it answers. The same chain without agents, with the same code and
// sockets, serves as the reference. The package also measures an agent's memory, and how many connections
// to setup servers fit in its descriptors. cmd/woodlab and short tests use it.
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

// Host numbers within a run's block of addresses: agents and relays start after agentsOffset, servers
// after serversOffset; the bulletin is at bulletinOffset.
const (
	agentsOffset   = 0x0100
	serversOffset  = 0x1000
	bulletinOffset = 0x0001
	agentPort      = 5070
	serverPort     = 5060
)

// class is the only class of calls.
const class = "call"

// deployment returns the deployment in the agents' settings: calls have long deadlines, and nothing is
// cold or scarce.
func deployment() emulator.Deployment {
	d := emulator.Campus()
	d.Name, d.Tenants = "chain", nil
	d.Classes = []emulator.Class{{Name: class, Share: 1, Aim: 1500 * time.Millisecond, Deadline: 9 * time.Second, Worth: 1, LateShare: 0.25}}
	return d
}

// testbed holds the addresses of a run and serves the bulletin, which announces no changes.
type testbed struct {
	Bin, Dir     string
	former       string // path of the earlier program, for withFormer
	addresses    *faultnet.Octet
	serverCount  int // servers started so far
	processCount int
	bulletin     *http.Server
	bulletinAddr string
	polls        atomic.Int64 // long polls that the bulletin has answered
}

func newTestbed(bin, dir string) (*testbed, error) {
	if err := closeInheritedOnExec(); err != nil {
		return nil, err
	}
	addresses, err := faultnet.ReserveOctet()
	if err != nil {
		return nil, err
	}
	bed := &testbed{Bin: bin, Dir: dir, addresses: addresses}
	ln, err := net.Listen("tcp", addresses.Host(bulletinOffset)+":0")
	if err != nil {
		addresses.Release()
		return nil, err
	}
	bed.bulletinAddr = ln.Addr().String()
	bed.bulletin = &http.Server{Handler: bed}
	go bed.bulletin.Serve(ln)
	return bed, nil
}

// ServeHTTP answers a long poll without new events once its patience has passed.
func (t *testbed) ServeHTTP(out http.ResponseWriter, q *http.Request) {
	patience, _ := strconv.Atoi(q.URL.Query().Get("patience"))
	select {
	case <-q.Context().Done():
		return
	case <-time.After(time.Duration(patience) * time.Millisecond):
	}
	t.polls.Add(1)
	json.NewEncoder(out).Encode(map[string]any{"no": 1, "items": []any{}})
}

func (t *testbed) close() {
	t.bulletin.Close()
	t.addresses.Release()
}

// startServer starts a server at a new address.
func (t *testbed) startServer(next string) (*chainServer, error) {
	return newChainServer(t.nextServerAddr(), next, false)
}

// startMuteServer starts a server that accepts set-ups and does not answer them.
func (t *testbed) startMuteServer() (*chainServer, error) {
	return newChainServer(t.nextServerAddr(), "", true)
}

func (t *testbed) nextServerAddr() string {
	t.serverCount++
	return fmt.Sprintf("%s:%d", t.addresses.Host(serversOffset+t.serverCount), serverPort)
}

// agent is the process of a call agent or relay.
type agent struct {
	*faultnet.Proc
	addr string
}

// limits are an agent's resource limits, and the program to run.
type limits struct {
	memoryMB, sockets int
	enforceSockets    bool   // ulimit enforces the descriptor limit, as on the platform
	bin               string // program to run in place of the testbed's
}

// startAgent starts an agent that knows the given servers.
func (t *testbed) startAgent(servers []*chainServer, l limits) (*agent, error) {
	t.processCount++
	host := t.addresses.Host(agentsOffset + t.processCount)
	var list []map[string]any
	for i, server := range servers {
		list = append(list, map[string]any{"name": fmt.Sprintf("s%d", i), "address": server.addr(), "zone": "campus", "type": "std",
			"group": i, "status": "up", "weight": 1, "since_ms": 0})
	}
	name := fmt.Sprintf("a%d", t.processCount)
	process := &agent{addr: fmt.Sprintf("%s:%d", host, agentPort)}
	text, err := json.Marshal(map[string]any{"name": name, "listen": process.addr, "seed": fmt.Sprintf("%016x", t.processCount),
		"limits":   map[string]any{"cores": 1, "memory_mb": cmp.Or(l.memoryMB, 192), "sockets": cmp.Or(l.sockets, 1024)},
		"bulletin": t.bulletinAddr, "settings": deployment().Settings(0, 1, len(servers)),
		"known": map[string]any{"no": 1, "items": []any{map[string]any{"no": 1, "roster": map[string]any{"index": 1, "snapshot": true, "endpoints": list}}}}})
	if err != nil {
		return nil, err
	}
	path := filepath.Join(t.Dir, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	process.Proc = &faultnet.Proc{Name: name, Bin: cmp.Or(l.bin, t.Bin), Env: append(os.Environ(), "PROXY_CONFIG="+path, "WOODROUTER_SOURCE="+host, "GOMAXPROCS=1")}
	if l.enforceSockets { // the shell sets its own limit and then executes the agent
		process.Proc.Bin, process.Proc.Args = "/bin/sh", []string{"-c", `ulimit -n "$0" && exec "$1"`, strconv.Itoa(l.sockets), process.Proc.Bin}
	}
	return process, process.Proc.Start()
}

// startRelay starts Relay in another process of the current executable, cmd/woodlab or the test binary.
func (t *testbed) startRelay(server *chainServer) (*agent, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	t.processCount++
	process := &agent{addr: fmt.Sprintf("%s:%d", t.addresses.Host(agentsOffset+t.processCount), agentPort)}
	process.Proc = &faultnet.Proc{Name: fmt.Sprintf("a%d", t.processCount), Bin: self, Args: []string{"chain", "relay", process.addr, server.addr()},
		Env: append(os.Environ(), "GOMAXPROCS=1")}
	return process, process.Proc.Start()
}

// readyTimeout bounds an agent's start; a busy machine takes long.
const readyTimeout = 30 * time.Second

// awaitReady waits until an agent passes a test like those of the platform's front.
func (a *agent) awaitReady(ctx context.Context, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	for {
		err := a.probe()
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready for calls (last: %w)", a.Name, err)
		case <-a.Done():
			return fmt.Errorf("%s has ended: %s", a.Name, a.Log())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

var errNotReady = errors.New("the test was not passed")

func (a *agent) probe() error {
	conn, err := net.DialTimeout("tcp", a.addr, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	mc := &messageConn{Conn: conn}
	if err := mc.send(isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed)); err != nil {
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

// variant is the kind of process before each server of a chain.
type variant int

// The variants. Relays show what any process in between adds on this machine.
const (
	withAgents variant = iota
	withFormer         // agents of an earlier program
	withRelays
	direct // no process in between
	variantCount
)

func (v variant) String() string { return [...]string{"with agents", "former", "relays", "direct"}[v] }

// chain is a row of servers, with a process before each of them or none.
type chain struct {
	servers   []*chainServer // in the order in which a call reaches them
	processes []*agent       // agents or relays, the last of the chain first
	entryAddr string         // address to which callers connect
}

// startChain starts a chain of n servers.
func (t *testbed) startChain(ctx context.Context, n int, v variant) (*chain, error) {
	row := &chain{servers: make([]*chainServer, n)}
	for k := n - 1; k >= 0; k-- { // the last first: each server needs the address of the next hop
		server, err := t.startServer(row.entryAddr)
		if err != nil {
			row.close()
			return nil, err
		}
		row.servers[k], row.entryAddr = server, server.addr()
		var process *agent
		switch v {
		case withAgents:
			process, err = t.startAgent([]*chainServer{server}, limits{})
		case withFormer:
			process, err = t.startAgent([]*chainServer{server}, limits{bin: t.former})
		case withRelays:
			process, err = t.startRelay(server)
		default:
			continue
		}
		if err != nil {
			row.close()
			return nil, err
		}
		row.processes, row.entryAddr = append(row.processes, process), process.addr
	}
	for _, process := range row.processes {
		if err := process.awaitReady(ctx, readyTimeout); err != nil {
			row.close()
			return nil, err
		}
	}
	return row, nil
}

func (c *chain) close() {
	for _, process := range c.processes {
		process.Kill()
	}
	for _, server := range c.servers {
		if server != nil {
			server.close()
		}
	}
}

// totalWork returns the work that all of the chain's agents or relays have done.
func (c *chain) totalWork() (sum work, err error) {
	for _, process := range c.processes {
		w, err := readWork(process.PID())
		if err != nil {
			return sum, err
		}
		sum = sum.addScaled(w, 1)
	}
	return sum, nil
}
