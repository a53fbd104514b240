package lab

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/goccy/go-yaml"

	"woodrouter/internal/faultnet"
	"woodrouter/internal/fleet/members"
	"woodrouter/internal/fleet/placer"
	"woodrouter/internal/fleet/promisestore"
	"woodrouter/internal/fleet/replica"
	"woodrouter/shard"
)

// FleetConfig configures a fleet's agents, beyond their names and addresses.
type FleetConfig struct {
	// Bulletin returns the address of the bulletin for the agents of a zone, and its events so far.
	Bulletin func(zone string) (address string, known any)
	// AgentBulletin, if set, replaces Bulletin: it is called once for each agent, with its name.
	AgentBulletin func(name string) (address string, known any, err error)
	Settings      json.RawMessage // the platform's settings, without nInstances and rank
	Zones         int             // the agents are spread over this many zones in turn; 0: 3
	GroupSize     int             // members of each group; 0: 3
	// Failover, if set, turns on zone failover. Each agent's own zone and membership address are added to it.
	Failover *placer.Config
	Timing   replica.TimingConfig // of the groups; zero value: the defaults
	NoCalls  bool                 // the groups store orders and zones, but no calls
}

// Fleet is a set of call agents. Each is a process and a member of a group. On every link between two agents
// are fault proxies: for the replicated log, and for the requests of agents to members.
type Fleet struct {
	Dir         string
	Ring        shard.Ring // with the members' real addresses
	Agents      map[string]*Agent
	raftLinks   faultnet.Mesh // replicated log between members
	callLinks   faultnet.Mesh // requests of agents to members' client addresses
	GossipLinks faultnet.Mesh // membership gossip
	config      FleetConfig
	bin         string
}

// Agent is one call agent of a fleet.
type Agent struct {
	*faultnet.Proc
	Name, Listen, Console string
	GossipAddr            string       // address of the membership gossip
	Member                shard.Member // its membership in a group
	Ungrouped             bool         // no longer a member of any group
	bulletin              string       // address of its bulletin
	known                 any          // the bulletin's events that it knows at its start
	joinGroup             string       // the group that it will be added to; "": none
}

// StartFleet starts n agents, named a1 to aN, of the program bin. Their files are in dir.
func StartFleet(bin, dir string, n int, seed uint64, config FleetConfig) (*Fleet, error) {
	f := &Fleet{Dir: dir, Agents: map[string]*Agent{}, config: config, bin: bin}
	host, err := faultnet.NewHost()
	if err != nil {
		return nil, err
	}
	var held []net.Listener
	release := func() {
		for _, ln := range held {
			ln.Close()
		}
	}
	var members []shard.Member
	for i := range n {
		var at [5]string
		for j := range at {
			var err error
			if at[j], err = ReservePort(host, &held); err != nil {
				release()
				return nil, err
			}
		}
		name := fmt.Sprintf("a%d", i+1)
		m := shard.Member{ID: name, Zone: fmt.Sprint("z", i%cmp.Or(config.Zones, 3)+1), Raft: at[2], Client: at[3]}
		f.Agents[name] = &Agent{Name: name, Listen: at[0], Console: at[1], GossipAddr: at[4], Member: m}
		members = append(members, m)
	}
	if f.Ring, _, err = shard.BuildRing(members, cmp.Or(config.GroupSize, 3)); err == nil {
		err = f.connect(members, seed)
	}
	for name, a := range f.Agents {
		if err == nil && config.AgentBulletin != nil { // its listener can't take a reserved port
			a.bulletin, a.known, err = config.AgentBulletin(name)
		}
	}
	release() // from here on the agents listen on these ports
	if err != nil {
		f.Close()
		return nil, err
	}
	for name := range f.Agents {
		if err := f.Start(name); err != nil {
			f.Close()
			return nil, err
		}
	}
	return f, nil
}

// connect creates the proxies between the agents.
func (f *Fleet) connect(members []shard.Member, seed uint64) (err error) {
	logs, calls := map[string]string{}, map[string]string{}
	for _, m := range members {
		logs[m.ID], calls[m.ID] = m.Raft, m.Client
	}
	if f.raftLinks, err = faultnet.NewMesh(logs, seed); err != nil {
		return err
	}
	if f.callLinks, err = faultnet.NewMesh(calls, seed+1000); err != nil || f.config.Failover == nil {
		return err
	}
	gossip := map[string]string{}
	for name, a := range f.Agents {
		gossip[name] = a.GossipAddr
	}
	f.GossipLinks, err = faultnet.NewGossipMesh(gossip, seed+2000)
	return err
}

// failoverConfig returns the content of an agent's failover file. It reaches the membership addresses of
// the other agents through the proxies.
func (f *Fleet) failoverConfig(a *Agent) placer.Config {
	c := *f.config.Failover
	c.Zone = a.Member.Zone
	m := members.Config{Bind: a.GossipAddr, Links: map[string]string{}, Far: c.Members != nil && c.Members.Far}
	for name, l := range f.GossipLinks[a.Name] {
		m.Links[f.Agents[name].GossipAddr] = l.Addr()
		m.Seeds = append(m.Seeds, f.Agents[name].GossipAddr)
	}
	slices.Sort(m.Seeds)
	c.Members = &m
	return c
}

// Start writes an agent's files and starts its process.
func (f *Fleet) Start(name string) error {
	a := f.Agents[name]
	config, promises := filepath.Join(f.Dir, name+".json"), filepath.Join(f.Dir, name+".yaml")
	if f.config.AgentBulletin == nil {
		a.bulletin, a.known = f.config.Bulletin(a.Member.Zone)
	}
	text, err := json.Marshal(map[string]any{"name": name, "listen": a.Listen, "console": a.Console,
		"seed": "8c1f30d27a5be964", "bulletin": a.bulletin, "known": a.known, "settings": f.config.Settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return err
	}
	if a.Proc == nil {
		a.Proc = &faultnet.Proc{Name: name, Bin: f.bin, Data: filepath.Join(f.Dir, name)}
	}
	if err := writeYAML(promises, f.promisesConfig(a)); err != nil {
		return err
	}
	a.Env = append(os.Environ(), "PROXY_CONFIG="+config, "WOODROUTER_PROMISES="+promises)
	if f.config.Failover != nil {
		zones := filepath.Join(f.Dir, name+"-zones.yaml")
		if err := writeYAML(zones, f.failoverConfig(a)); err != nil {
			return err
		}
		a.Env = append(a.Env, "WOODROUTER_FAILOVER="+zones)
	}
	return a.Proc.Start()
}

// promisesConfig returns the content of an agent's promises file. It reaches the other agents through the
// proxies.
func (f *Fleet) promisesConfig(a *Agent) promisestore.Config {
	calls := !f.config.NoCalls
	c := promisestore.Config{Calls: &calls, Ring: shard.Ring{Version: f.Ring.Version}}
	for _, g := range f.Ring.Groups {
		group := shard.Group{ID: g.ID}
		isMember := false
		links, bootstrap := map[string]string{}, []replica.Peer{}
		for _, m := range g.Members {
			bootstrap = append(bootstrap, replica.Peer{ID: m.ID, Raft: m.Raft})
			if to := f.agentOf(m); to == a.Name {
				isMember = true
			} else {
				links[m.Raft] = f.raftLinks[a.Name][to].Addr()
				m.Client = f.callLinks[a.Name][to].Addr()
			}
			group.Members = append(group.Members, m)
		}
		c.Ring.Groups = append(c.Ring.Groups, group)
		if a.joinGroup == g.ID {
			isMember, bootstrap = true, nil
		}
		if isMember && !a.Ungrouped {
			c.Member = &replica.Config{ID: a.Member.ID, Raft: a.Member.Raft, Client: a.Member.Client,
				Data: a.Data, Bootstrap: bootstrap, Links: links, Timing: f.config.Timing}
		}
	}
	return c
}

// agentOf returns the name of the agent that hosts a member, found by the address: unlike the member's id,
// the address never changes.
func (f *Fleet) agentOf(m shard.Member) string {
	for name, a := range f.Agents {
		if a.Member.Raft == m.Raft {
			return name
		}
	}
	return ""
}

// KillAndWipe kills an agent with SIGKILL and deletes its data. If the agent is started again, it is no
// group's member, as a member that lost its data must not return under its old id.
func (f *Fleet) KillAndWipe(name string) error {
	a := f.Agents[name]
	a.Kill()
	a.Ungrouped = true
	return a.WipeData()
}

func writeYAML(path string, v any) error {
	text, err := yaml.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(path, text, 0o600)
}

// ReplaceLost brings a lost agent back as a new member, by the operators' command. The agent is started
// under a new id and without bootstrap, and `woodrouter promises mend --apply` replaces the old id.
func (f *Fleet) ReplaceLost(ctx context.Context, name string) error {
	a := f.Agents[name]
	lost := a.Member.ID
	for _, g := range f.Ring.Groups {
		if slices.ContainsFunc(g.Members, func(m shard.Member) bool { return m.ID == lost }) {
			a.joinGroup = g.ID
		}
	}
	a.Ungrouped, a.Member.ID = false, lost+"-new"
	if err := f.Start(name); err != nil {
		return err
	}
	file, spares := filepath.Join(f.Dir, "operator.yaml"), filepath.Join(f.Dir, "spares.yaml")
	if err := writeYAML(file, promisestore.Config{Ring: f.Ring}); err != nil {
		return err
	}
	if err := writeYAML(spares, []shard.Member{a.Member}); err != nil {
		return err
	}
	output, err := exec.CommandContext(ctx, f.bin, "promises", "mend", "--gone", lost, "--spares", spares, "--apply", file).CombinedOutput()
	if err != nil {
		return fmt.Errorf("mend: %w: %s", err, output)
	}
	f.Ring, _, _ = shard.ReplaceLost(f.Ring, map[string]bool{lost: true}, []shard.Member{a.Member})
	return nil
}

// Partition cuts the given agents off from the others; without arguments it ends the cut.
func (f *Fleet) Partition(names ...string) {
	f.raftLinks.Partition(names...)
	f.callLinks.Partition(names...)
	f.GossipLinks.Partition(names...)
}

// Delay sets the delay of the links between agents whose zones pick selects.
func (f *Fleet) Delay(d time.Duration, pick func(from, to string) bool) {
	zones := func(a, b string) bool { return pick(f.Agents[a].Member.Zone, f.Agents[b].Member.Zone) }
	for _, m := range []faultnet.Mesh{f.raftLinks, f.callLinks, f.GossipLinks} {
		m.DelayWhere(d, zones)
	}
}

// ConsoleCommand sends a line to an agent's console and returns the answer, or "" if it can't connect.
func (f *Fleet) ConsoleCommand(name, line string) string {
	conn, err := net.DialTimeout("tcp", f.Agents[name].Console, time.Second)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	fmt.Fprintln(conn, line)
	var b strings.Builder
	for in := bufio.NewScanner(conn); in.Scan(); {
		fmt.Fprintln(&b, in.Text())
	}
	return b.String()
}

// AwaitConsole repeats a console command until its answer contains text.
func (f *Fleet) AwaitConsole(ctx context.Context, name, command, text string) error {
	for {
		answer := f.ConsoleCommand(name, command)
		if strings.Contains(answer, text) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: %s answers %q, not %q: %w", name, command, answer, text, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// AwaitLeaders waits until every group has a leader, according to the console of one agent.
func (f *Fleet) AwaitLeaders(ctx context.Context, name string) error {
	for {
		answer := f.ConsoleCommand(name, "PROMISES")
		if answer != "" && !strings.Contains(answer, "no leader") {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%s: groups without a leader: %s: %w", name, answer, ctx.Err())
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// Names returns the agents' names in order.
func (f *Fleet) Names() []string { return slices.Sorted(maps.Keys(f.Agents)) }

// ServerList returns a bulletin's first event, which lists these setup servers as up. Agents get it as what
// they know at their start.
func ServerList(servers ...map[string]any) any {
	for i, s := range servers {
		s["type"], s["group"], s["status"], s["weight"], s["since_ms"] = "std", i, "up", 1, 0
	}
	return map[string]any{"no": 1, "items": []any{map[string]any{"no": 1,
		"roster": map[string]any{"index": 1, "snapshot": true, "endpoints": servers}}}}
}

// NoBulletin is the address of a bulletin that does not exist: agents keep the list that they start with.
const NoBulletin = "127.0.0.1:1"

// Logs returns the logs of all agents, for a failed test.
func (f *Fleet) Logs() string {
	var b strings.Builder
	for _, a := range f.Agents {
		if a.Proc != nil {
			b.WriteString(a.Log())
		}
	}
	return b.String()
}

// Close kills all agents and closes the links.
func (f *Fleet) Close() {
	for _, a := range f.Agents {
		if a.Proc != nil {
			a.Kill()
		}
	}
	f.raftLinks.Close()
	f.callLinks.Close()
	f.GossipLinks.Close()
}
