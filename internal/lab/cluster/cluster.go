// Package cluster starts hundreds of call agents as processes of the program, in a deployment of package
// emulator and on loopback only. Each agent has an address of its own, and faults can be injected between
// them. Tests and cmd/woodlab use it.
package cluster

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/lab/emulator"
	"woodrouter/isup"
)

// The ports on each agent's own address.
const (
	callersPort = 5070
	consolePort = 5071
	gossipPort  = 5072
)

// The limits that each agent is told.
const (
	MemoryMB    = 64
	Descriptors = 512
)

// Config configures a cluster.
type Config struct {
	Bin, Dir   string
	Deployment emulator.Deployment
	Agents     int
	Servers    int
	Seed       uint64
	// Env returns additional environment variables for an agent, such as an operators' file; nil: none.
	Env        func(c *Cluster, agent int) ([]string, error)
	WithGossip bool // agents exchange gossip, each behind a proxy
	Parallel   int  // agents started at once, at least 8
}

// Cluster is a number of agent processes and the deployment in which they run.
type Cluster struct {
	Config
	Net   *emulator.LoopbackNet
	World *emulator.World
	Procs []*faultnet.Proc
	// GossipHub holds the links for gossip between agents; nil if Config.WithGossip is not set.
	GossipHub *faultnet.Hub
}

// Start starts the deployment and all agents, and waits until every agent takes calls.
func Start(ctx context.Context, p Config) (*Cluster, error) {
	c := &Cluster{Config: p}
	var err error
	if c.Net, err = emulator.NewLoopbackNet(); err != nil {
		return nil, err
	}
	if c.World, err = emulator.NewWorld(p.Deployment, c.Net, p.Agents, p.Servers, p.Seed); err != nil {
		c.Net.Release()
		return nil, err
	}
	if p.WithGossip {
		c.GossipHub = faultnet.NewHub(c.Net.AgentAt)
		for i := range p.Agents {
			if err := c.GossipHub.Add(i, c.GossipProxyAddr(i), c.GossipAddr(i)); err != nil {
				c.Close()
				return nil, err
			}
		}
	}
	c.Procs = make([]*faultnet.Proc, p.Agents)
	for i := range c.Procs {
		c.Procs[i] = &faultnet.Proc{Name: fmt.Sprintf("a%d", i), Bin: p.Bin, Data: filepath.Join(p.Dir, fmt.Sprintf("a%d.data", i))}
	}
	if err := c.forEachAgent(func(i int) error { return errors.Join(c.StartAgent(i), c.AwaitReady(ctx, i)) }); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// forEachAgent calls do for every agent, several at once, and returns up to five of the errors.
func (c *Cluster) forEachAgent(do func(i int) error) error {
	next := make(chan int)
	errs := make(chan error, len(c.Procs))
	var work sync.WaitGroup
	for range max(c.Parallel, 8) {
		work.Go(func() {
			for i := range next {
				errs <- do(i)
			}
		})
	}
	for i := range c.Procs {
		next <- i
	}
	close(next)
	work.Wait()
	close(errs)
	var all []error
	for err := range errs {
		if err != nil && len(all) < 5 {
			all = append(all, err)
		}
	}
	return errors.Join(all...)
}

// Addr returns the address to which an agent's callers connect.
func (c *Cluster) Addr(i int) string { return fmt.Sprintf("%s:%d", c.Net.Host(i), callersPort) }

// GossipAddr returns the address on which an agent listens for gossip.
func (c *Cluster) GossipAddr(i int) string { return fmt.Sprintf("%s:%d", c.Net.Host(i), gossipPort) }

// GossipProxyAddr returns the address of the proxy in front of GossipAddr, which the other agents use.
func (c *Cluster) GossipProxyAddr(i int) string {
	return fmt.Sprintf("%s:%d", c.Net.ProxyHost(i), gossipPort)
}

// WriteConfig writes an agent's configuration file, which names the bulletin at its present address.
func (c *Cluster) WriteConfig(i int) error {
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("a%d", i), "listen": c.Addr(i), "seed": fmt.Sprintf("%016x", c.Seed*1000+uint64(i)),
		"console": fmt.Sprintf("%s:%d", c.Net.Host(i), consolePort),
		"limits":  map[string]any{"cores": 1, "memory_mb": MemoryMB, "sockets": Descriptors}, "bulletin": c.World.Bulletin(), "known": c.World.Known(),
		"settings": c.Deployment.Settings(i, c.Agents, c.Servers)})
	if err != nil {
		return err
	}
	return os.WriteFile(c.ConfigPath(i), text, 0o600)
}

// ConfigPath returns the path of an agent's configuration file.
func (c *Cluster) ConfigPath(i int) string { return filepath.Join(c.Dir, fmt.Sprintf("a%d.json", i)) }

// StartAgent writes an agent's configuration and starts its process.
func (c *Cluster) StartAgent(i int) error {
	if err := c.WriteConfig(i); err != nil {
		return err
	}
	p := c.Procs[i]
	p.Env = append(os.Environ(), "PROXY_CONFIG="+c.ConfigPath(i), "WOODROUTER_SOURCE="+c.Net.Host(i), "GOMAXPROCS=1", "WOODROUTER_LOG="+os.Getenv("WOODLAB_LOG"))
	if c.Env != nil {
		env, err := c.Env(c, i)
		if err != nil {
			return err
		}
		p.Env = append(p.Env, env...)
	}
	return p.Start()
}

// readyTimeout bounds the start of an agent. On a busy machine a start takes a while.
const readyTimeout = 30 * time.Second

// AwaitReady waits until an agent passes the test that the platform's front makes before it sends callers.
func (c *Cluster) AwaitReady(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		ok, err := c.passesTest(i)
		if ok {
			return nil
		}
		if !c.Procs[i].Running() {
			return fmt.Errorf("agent %d has ended: %s", i, c.Procs[i].Log())
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("agent %d takes no calls (last: %v): %s", i, err, c.Procs[i].Log())
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// passesTest sends an agent one test and reports whether it passed.
func (c *Cluster) passesTest(i int) (bool, error) {
	conn, err := net.DialTimeout("tcp", c.Addr(i), time.Second)
	if err != nil {
		return false, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(2 * time.Second))
	b, err := isup.Message{Type: isup.Test, Call: 1}.WithCause(isup.NotPassed).Append(nil)
	if err == nil {
		_, err = conn.Write(b)
	}
	if err != nil {
		return false, err
	}
	for in := bufio.NewReader(conn); ; {
		m, err := isup.Read(in)
		if err != nil {
			return false, err
		}
		if m.Type == isup.TestResult { // ends of calls may come before it
			cause, err := m.Cause()
			return cause == isup.Passed, err
		}
	}
}

// ConsoleCommand sends a line to an agent's console and returns the answer, or "" if it can't connect.
func (c *Cluster) ConsoleCommand(i int, line string) string {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", c.Net.Host(i), consolePort), time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintln(conn, line)
	answer := ""
	for in := bufio.NewScanner(conn); in.Scan(); {
		answer += in.Text() + "\n"
	}
	return answer
}

// StartCallers starts callers of all agents.
func (c *Cluster) StartCallers(ctx context.Context, load emulator.Load) *emulator.Callers {
	return c.World.StartCallers(ctx, load, c.Addr)
}

// Close kills all agents and stops the deployment.
func (c *Cluster) Close() {
	var down sync.WaitGroup
	for _, p := range c.Procs {
		down.Go(p.Kill)
	}
	down.Wait()
	if c.GossipHub != nil {
		c.GossipHub.Close()
	}
	c.World.Close()
	c.Net.Release()
}

// Logs returns the logs of the given agents, for a failed run.
func (c *Cluster) Logs(agents ...int) (out string) {
	for _, i := range agents {
		out += c.Procs[i].Log()
	}
	return out
}
