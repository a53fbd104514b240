// Package clientlab plays clients that misbehave against one call agent, as a process of the program with its limits:
// many that write slowly or stop half way, one that floods, and clients that leave with requests unread. It measures the
// process's memory, the delay of other callers' answers, and which requests were sent on. Both fronts are played. Tests
// and cmd/woodlab use it.
package clientlab

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/lab/emulator"
	"woodrouter/internal/plan"
)

// Front names one of the agent's fronts.
type Front string

// The fronts.
const (
	Binary Front = "binary"
	API    Front = "api"
)

// Limits are the limits of the agent's process.
type Limits struct {
	MemoryMB    int
	Descriptors int
}

const (
	setupServers   = 4
	serverCapacity = 1e6 // calls a second, as the settings state it: the servers are no bottleneck
	readyTimeout   = 20 * time.Second
	apiPath        = "/calls"
	apiIdle        = 30 * time.Second
	apiConnections = 256
)

// site is a call agent with its setup servers and its bulletin.
type site struct {
	limits  Limits
	dir     string
	bin     string
	listen  string // of the binary front
	apiAddr string
	proc    *faultnet.Proc
	servers []*server
	list    *http.Server
	listAt  string
	socket  *os.File // the callers' socket, which two processes can share
}

// startSite starts the servers, the bulletin and the agent, and waits until it is ready. With shared, the agent
// inherits the callers' socket, so that a second process can take it over.
func startSite(bin, dir string, limits Limits, shared bool) (*site, error) {
	s := &site{limits: limits, dir: dir, bin: bin}
	for range setupServers {
		server, err := startServer()
		if err != nil {
			s.close()
			return nil, err
		}
		s.servers = append(s.servers, server)
	}
	if err := s.startBulletin(); err != nil {
		s.close()
		return nil, err
	}
	var err error
	if s.listen, err = s.openCallersSocket(shared); err == nil {
		s.apiAddr, err = freeAddress()
	}
	if err == nil {
		s.proc, err = s.startAgent("a0")
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

func freeAddress() (string, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// openCallersSocket returns the address for callers. If it is shared, this process holds the socket.
func (s *site) openCallersSocket(shared bool) (string, error) {
	if !shared {
		return freeAddress()
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer ln.Close()
	s.socket, err = ln.(*net.TCPListener).File()
	return ln.Addr().String(), err
}

// startAgent starts a process of the agent.
func (s *site) startAgent(name string) (*faultnet.Proc, error) {
	config, err := s.writeFiles(name)
	if err != nil {
		return nil, err
	}
	proc := &faultnet.Proc{Name: name, Bin: s.bin, Env: append(os.Environ(), "PROXY_CONFIG="+config, "WOODROUTER_STATE="+s.statePath(), "WOODROUTER_LOG="+os.Getenv("WOODLAB_LOG"))}
	if s.socket != nil {
		proc.Env = append(proc.Env, "PROXY_FD=3")
		proc.Files = []*os.File{s.socket}
	}
	if err := proc.Start(); err != nil {
		return nil, err
	}
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if passesTest(s.listen) && (s.socket != nil || answers(s.apiAddr)) {
			return proc, nil
		}
		if time.Since(began) > readyTimeout || !proc.Running() {
			proc.Kill()
			return nil, fmt.Errorf("%s is not ready: %s", name, proc.Log())
		}
	}
}

// answers reports whether something listens at an address.
func answers(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err == nil {
		conn.Close()
	}
	return err == nil
}

func (s *site) statePath() string { return filepath.Join(s.dir, "state.json") }

// writeFiles writes the configuration and the call API's state, and returns the configuration's path.
func (s *site) writeFiles(name string) (config string, err error) {
	deployment := emulator.Campus()
	deployment.Capacity = []float64{serverCapacity}
	text, err := json.Marshal(map[string]any{"name": name, "listen": s.listen, "seed": "0000000000000001",
		"limits":   map[string]any{"cores": 1, "memory_mb": s.limits.MemoryMB, "sockets": s.limits.Descriptors},
		"bulletin": s.listAt, "known": s.events(0), "settings": deployment.Settings(0, 1, setupServers)})
	if err != nil {
		return "", err
	}
	state, err := json.Marshal(plan.State{Version: 1, Serial: 1, Front: &plan.Front{Enabled: true, Listen: s.apiAddr, Path: apiPath,
		MaxConnections: apiConnections, MaxMessage: 64 << 10, IdleS: int(apiIdle.Seconds())}})
	if err != nil {
		return "", err
	}
	if err := os.WriteFile(s.statePath(), state, 0o600); err != nil {
		return "", err
	}
	config = filepath.Join(s.dir, name+".json")
	return config, os.WriteFile(config, text, 0o600)
}

// startBulletin starts a bulletin whose list never changes.
func (s *site) startBulletin() error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.listAt = ln.Addr().String()
	s.list = &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.Atoi(r.URL.Query().Get("after"))
		patience, _ := strconv.Atoi(r.URL.Query().Get("patience"))
		if after > 0 {
			select {
			case <-r.Context().Done():
			case <-time.After(time.Duration(patience) * time.Millisecond):
			}
		}
		json.NewEncoder(w).Encode(s.events(after)) // a lost answer is asked for again
	})}
	go s.list.Serve(ln)
	return nil
}

// events returns the bulletin's events after a number: there is one, the whole list.
func (s *site) events(after int) map[string]any {
	var endpoints []map[string]any
	for i, server := range s.servers {
		endpoints = append(endpoints, map[string]any{"name": fmt.Sprintf("s%d", i), "address": server.addr(), "zone": "z", "type": "std", "group": i, "status": "up", "weight": 1, "since_ms": 0})
	}
	items := []any{}
	if after < 1 {
		items = append(items, map[string]any{"no": 1, "roster": map[string]any{"index": 1, "snapshot": true, "endpoints": endpoints}})
	}
	return map[string]any{"no": 1, "items": items}
}

// setUps returns how many set-ups of each call the servers have received.
func (s *site) setUps() (total int, byCall map[uint64]int) {
	byCall = map[uint64]int{}
	for _, server := range s.servers {
		server.countInto(byCall)
	}
	for _, n := range byCall {
		total += n
	}
	return total, byCall
}

func (s *site) close() {
	if s.proc != nil {
		s.proc.Kill()
	}
	if s.list != nil {
		s.list.Close()
	}
	for _, server := range s.servers {
		server.close()
	}
	if s.socket != nil {
		s.socket.Close()
	}
}
