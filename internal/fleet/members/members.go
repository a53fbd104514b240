// Package members is the membership of call agents, on github.com/hashicorp/memberlist (SWIM: Das, Gupta and
// Motivala, "SWIM: scalable weakly-consistent infection-style process group membership protocol", DSN 2002,
// with Lifeguard's refinements). Each agent's zone and region are in its metadata. The agents also send one
// another, as gossip, what each observes of the setup servers (failover.Summary) and the epoch in force; the
// plan itself comes from the replicated log. This package makes no decisions.
package members

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log"
	"log/slog"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"woodrouter/failover"
)

// Config configures an agent's membership.
type Config struct {
	Bind string `yaml:"bind"` // host:port to listen on, TCP and UDP
	// Advertise is the address at which other agents reach this one, if that is not Bind, as behind a proxy.
	Advertise string `yaml:"advertise,omitempty"`
	// Seeds are the addresses of agents to join through, and through which the parts of a split membership
	// find each other again: at least one in each region.
	Seeds []string `yaml:"seeds"`
	// Links maps another agent's bind address to the address of a proxy to send to instead.
	Links map[string]string `yaml:"links"`
	// Far lengthens the timeouts, for members in several regions with hundreds of milliseconds between them.
	Far bool `yaml:"far"`
	// Compress makes the library compress everything that it sends. It halves messages of a few KB, such as
	// those on spreading load. It saves next to nothing on the short messages of a membership alone, and
	// allocates a 64 KB table for each. A receiver accepts both.
	Compress bool `yaml:"-"`

	tune func(*memberlist.Config, *seeker) // lets tests shorten the timeouts
}

// Valid returns an error that names the first invalid field.
func (c Config) Valid() error {
	if _, err := parsePort(c.Bind); err != nil {
		return fmt.Errorf("field bind: %w", err)
	}
	if _, err := parsePort(c.advertiseAddress()); err != nil {
		return fmt.Errorf("field advertise: %w", err)
	}
	for i, s := range c.Seeds {
		if _, err := parsePort(s); err != nil {
			return fmt.Errorf("field seeds[%d]: %w", i, err)
		}
	}
	return nil
}

func (c Config) advertiseAddress() string { return cmp.Or(c.Advertise, c.Bind) }

func parsePort(addr string) (int, error) {
	host, p, err := net.SplitHostPort(addr)
	if err != nil {
		return 0, err
	}
	if net.ParseIP(host) == nil {
		return 0, fmt.Errorf("%q: the host must be an IP address", addr)
	}
	return strconv.Atoi(p)
}

// Member is an agent of the membership.
type Member struct {
	Name, Zone, Region string
	InControlGroup     bool // the agent's replica is in the control group, which receives the summaries
}

// metadata is a member's metadata, sent as JSON; memberlist limits it to 512 bytes.
type metadata struct {
	Zone    string `json:"z"`
	Region  string `json:"r"`
	Decides bool   `json:"d,omitempty"`
}

// gossipMessage is one gossip message, in JSON.
type gossipMessage struct {
	Summary *failover.Summary `json:"s,omitempty"`
	Epoch   uint64            `json:"e,omitempty"`
	// Note is a message from one member to another, for the handler given to OnMessage.
	From string          `json:"n,omitempty"`
	Note json.RawMessage `json:"x,omitempty"`
}

// Members is an agent's view of the membership. Its methods do not block, except Open, Rejoin, StayJoined and
// Leave.
type Members struct {
	cfg       Config
	self      Member
	log       *slog.Logger
	list      *memberlist.Memberlist
	queue     memberlist.TransmitLimitedQueue
	malformed atomic.Int64 // messages that could not be decoded
	sent      atomic.Int64 // datagrams sent and streams opened
	bytes     atomic.Int64 // sent in datagrams
	startedAt time.Time
	ctx       context.Context // cancelled by Leave and Shutdown; closes the open streams
	cancel    context.CancelFunc

	seekerMu sync.Mutex
	seeker   *seeker

	nodesMu sync.RWMutex // held only to read or change nodes; nothing else is called while it is held
	nodes   map[string]node

	// The library's lock is never taken while mu is held: the library holds its own lock when it calls back.
	mu          sync.Mutex
	summaries   map[string]failover.Summary // the latest summary of each agent
	epoch       uint64                      // the highest epoch received or announced
	epochRaised chan struct{}               // holds one item if epoch has risen since the last receive
	onMessage   func(from string, data []byte)
}

// Open starts the membership and returns before any other agent is known; StayJoined joins the others.
func Open(cfg Config, self Member, logger *slog.Logger) (*Members, error) {
	m := &Members{cfg: cfg, self: self, log: logger, summaries: map[string]failover.Summary{}, epochRaised: make(chan struct{}, 1),
		nodes: map[string]node{}, startedAt: time.Now(), seeker: newSeeker(cfg.Seeds, cfg.Bind, cfg.advertiseAddress())}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	host, text, err := net.SplitHostPort(cfg.Bind)
	if err != nil {
		return nil, fmt.Errorf("field bind: %w", err)
	}
	bindPort, err := strconv.Atoi(text)
	if err != nil {
		return nil, fmt.Errorf("field bind: %w", err)
	}
	libraryLog := log.New(logWriter{logger}, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: bindPort, Logger: libraryLog})
	if err != nil {
		return nil, fmt.Errorf("field bind: %w", err)
	}
	c := memberlist.DefaultLANConfig()
	if cfg.Far {
		c = memberlist.DefaultWANConfig()
		c.GossipInterval, c.PushPullInterval = 300*time.Millisecond, 15*time.Second
	} else {
		c.ProbeInterval, c.ProbeTimeout, c.SuspicionMult = 500*time.Millisecond, 200*time.Millisecond, 3
		c.GossipInterval, c.PushPullInterval = 100*time.Millisecond, 10*time.Second
	}
	c.Name, c.BindAddr, c.BindPort = self.Name, host, netTransport.GetAutoBindPort()
	if c.AdvertiseAddr, c.AdvertisePort = host, c.BindPort; cfg.Advertise != "" {
		if c.AdvertiseAddr, text, err = net.SplitHostPort(cfg.Advertise); err == nil {
			c.AdvertisePort, err = strconv.Atoi(text)
		}
		if err != nil {
			return nil, fmt.Errorf("field advertise: %w", err)
		}
	}
	c.TCPTimeout = streamTimeout
	c.EnableCompression = cfg.Compress
	c.Transport = &transport{NetTransport: netTransport, members: m}
	c.Delegate, c.Events, c.Logger, c.DeadNodeReclaimTime = m, m, libraryLog, 10*time.Second
	m.queue = memberlist.TransmitLimitedQueue{RetransmitMult: 3, NumNodes: m.Size}
	if cfg.tune != nil {
		cfg.tune(c, m.seeker)
	}
	if m.list, err = memberlist.Create(c); err != nil {
		m.cancel()
		return nil, fmt.Errorf("membership: %w", err)
	}
	return m, nil
}

// Rejoin asks the seeds that are due (see seeker), and returns how many agents are alive, with the last error
// if no seed answered. It waits for the answers, at most streamTimeout for each seed. It has to be called
// again and again, because the two parts of a split that have forgotten each other are joined again only
// through it.
func (m *Members) Rejoin() (alive int, err error) {
	before := m.Size()
	m.seekerMu.Lock()
	due := m.seeker.nextSeeds(time.Since(m.startedAt), before, m.presentSeeds(), rand.Float64)
	m.seekerMu.Unlock()
	for _, seed := range due {
		if m.ctx.Err() != nil { // an agent that has left must not come back over a stream
			return m.Size(), m.ctx.Err()
		}
		if _, err = m.list.Join([]string{seed}); err == nil {
			break
		}
	}
	alive = m.Size()
	if len(due) == 1 && before > 1 {
		m.logMissingSeed(due[0], before, alive, err)
	}
	return alive, err
}

// presentSeeds returns a function that reports whether a seed is among the agents considered alive, by its
// own address or by the proxy that leads to it.
func (m *Members) presentSeeds() func(seed string) bool {
	present := map[string]bool{}
	for _, n := range m.aliveNodes() {
		present[n.address], present[m.sendAddress(n.address)] = true, true
	}
	return func(seed string) bool { return present[seed] }
}

// logMissingSeed logs that a missing seed is present again, or that it is still missing after the backoff has
// reached its longest interval.
func (m *Members) logMissingSeed(seed string, before, alive int, err error) {
	m.seekerMu.Lock()
	attempts := m.seeker.attempts(seed)
	m.seekerMu.Unlock()
	switch {
	case m.ctx.Err() != nil:
	case err == nil && attempts > 0 && m.presentSeeds()(seed):
		m.log.Info("membership: missing seed is present again", "seed", seed, "alive_before", before, "alive", alive)
	case attempts == maxBackoffDoublings+1: // once for each disappearance
		m.log.Warn("membership: seed is missing", "seed", seed, "asked", attempts, "answers", err == nil, "error", err)
	}
}

// rejoinInterval is the mean time between two calls of Rejoin by StayJoined.
const rejoinInterval = time.Second

// StayJoined keeps this agent joined to the others until ctx ends or the agent leaves.
func (m *Members) StayJoined(ctx context.Context) {
	warned := false
	for {
		if alive, err := m.Rejoin(); err != nil && alive == 1 && !warned && m.ctx.Err() == nil {
			m.log.Warn("membership: no seed has answered yet", "error", err)
			warned = true
		}
		select {
		case <-ctx.Done():
			return
		case <-m.ctx.Done():
			return
		case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(rejoinInterval))):
		}
	}
}

// node is an agent considered alive, as the library last reported it. The library modifies the nodes that it
// returns at other times.
type node struct {
	Member
	address       string          // host:port
	validMetadata bool            // its metadata could be decoded
	libraryNode   memberlist.Node // a copy
}

// putNode adds or replaces an agent.
func (m *Members) putNode(n *memberlist.Node) {
	var decoded metadata
	err := json.Unmarshal(n.Meta, &decoded)
	added := node{Member{n.Name, decoded.Zone, decoded.Region, decoded.Decides}, n.Address(), err == nil, *n}
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	m.nodes[n.Name] = added
}

// removeNode removes an agent.
func (m *Members) removeNode(name string) {
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	delete(m.nodes, name)
}

// aliveNodes returns a copy of the agents considered alive.
func (m *Members) aliveNodes() []node {
	m.nodesMu.RLock()
	defer m.nodesMu.RUnlock()
	return slices.Collect(maps.Values(m.nodes))
}

// Size returns the number of agents considered alive, this one included.
func (m *Members) Size() int {
	m.nodesMu.RLock()
	defer m.nodesMu.RUnlock()
	return max(len(m.nodes), 1) // nodes is empty while the agent starts and after it has left
}

// Alive returns the agents considered alive whose metadata could be decoded.
func (m *Members) Alive() (out []Member) {
	for _, n := range m.aliveNodes() {
		if n.validMetadata {
			out = append(out, n.Member)
		}
	}
	return out
}

// Names returns the names of the agents considered alive.
func (m *Members) Names() (out []string) {
	for _, n := range m.aliveNodes() {
		out = append(out, n.Name)
	}
	return out
}

// SendSummary records what this agent observes, and sends it to the members of the control group, in one
// datagram each. A lost datagram is not repeated: the next summary replaces it.
func (m *Members) SendSummary(s failover.Summary) {
	m.recordSummary(s)
	data, err := json.Marshal(gossipMessage{Summary: &s})
	if err != nil {
		return // NaN or an infinite value can not be sent as JSON
	}
	for _, n := range m.aliveNodes() {
		if n.Name == m.self.Name || !n.InControlGroup {
			continue
		}
		if err := m.list.SendBestEffort(&n.libraryNode, data); err != nil {
			m.log.Debug("membership: summary not sent", "to", n.Name, "error", err)
		}
	}
}

// OnMessage sets the handler of messages that other members send with SendMessage from now on. It must not
// block.
func (m *Members) OnMessage(handle func(from string, data []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onMessage = handle
}

// SendMessage sends a message to one member in a datagram, which may arrive late or not at all.
func (m *Members) SendMessage(to string, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if data, err = json.Marshal(gossipMessage{From: m.self.Name, Note: data}); err != nil {
		return err
	}
	m.nodesMu.RLock()
	n, ok := m.nodes[to]
	m.nodesMu.RUnlock()
	if !ok {
		return fmt.Errorf("%s is not a member", to)
	}
	return m.list.SendBestEffort(&n.libraryNode, data)
}

// AnnounceEpoch announces to the others that an epoch is in force.
func (m *Members) AnnounceEpoch(epoch uint64) { m.raiseEpoch(epoch) }

// Epoch returns the highest epoch received or announced.
func (m *Members) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// EpochRaised returns a channel that holds an item if the epoch has risen since the last receive.
func (m *Members) EpochRaised() <-chan struct{} { return m.epochRaised }

// Summaries returns the latest summary of each agent considered alive, with the time at which it was
// received.
func (m *Members) Summaries() (out []failover.Summary) {
	alive := m.aliveNodes()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, n := range alive {
		if s, ok := m.summaries[n.Name]; ok {
			out = append(out, s)
		}
	}
	return out
}

// Traffic returns the datagrams sent plus streams opened, the bytes sent in datagrams, and the messages that
// could not be decoded.
func (m *Members) Traffic() (sent, bytes, bad int64) {
	return m.sent.Load(), m.bytes.Load(), m.malformed.Load()
}

// Leave announces that this agent leaves, and closes its membership.
func (m *Members) Leave() {
	m.cancel()
	if err := m.list.Leave(time.Second); err != nil {
		m.log.Info("membership: left before all others were notified", "error", err)
	}
	m.list.Shutdown()
}

// Shutdown closes this agent's membership without notifying the others, as a crash would.
func (m *Members) Shutdown() {
	m.cancel()
	m.list.Shutdown()
}

// recordSummary keeps a summary if it is newer than the one held. It sets the time to the time of receipt, so
// that its age depends on this agent's clock alone.
func (m *Members) recordSummary(s failover.Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.summaries[s.Agent]; ok && !s.After(old) {
		return
	}
	s.AtUs = time.Now().UnixMicro()
	m.summaries[s.Agent] = s
}

// raiseEpoch records a higher epoch and broadcasts it: memberlist sends a broadcast to a few agents, and each
// that receives a new epoch passes it on to a few more.
func (m *Members) raiseEpoch(epoch uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if epoch <= m.epoch {
		return
	}
	m.epoch = epoch
	select {
	case m.epochRaised <- struct{}{}:
	default:
	}
	if data, err := json.Marshal(gossipMessage{Epoch: epoch}); err == nil {
		m.queue.QueueBroadcast(&epochBroadcast{data})
	}
}

// handleMessage handles one gossip message, and the state that an agent sends over a stream.
func (m *Members) handleMessage(data []byte) {
	var message gossipMessage
	if err := json.Unmarshal(data, &message); err != nil {
		m.malformed.Add(1)
		m.log.Warn("membership: malformed gossip message ignored", "error", err, "bytes", len(data))
		return
	}
	if message.Summary != nil && message.Summary.Agent != "" {
		m.recordSummary(*message.Summary)
	}
	if message.Note != nil {
		m.mu.Lock()
		handle := m.onMessage
		m.mu.Unlock()
		if handle != nil {
			handle(message.From, message.Note)
		}
	}
	if message.Epoch > 0 {
		m.raiseEpoch(message.Epoch)
	}
}

// epochBroadcast is a queued broadcast of an epoch; a later one replaces it.
type epochBroadcast struct{ data []byte }

func (b *epochBroadcast) Invalidates(memberlist.Broadcast) bool { return true }
func (b *epochBroadcast) Message() []byte                       { return b.data }
func (b *epochBroadcast) Finished()                             {}

// errMetadataTooLong is returned for metadata that exceeds memberlist's limit.
var errMetadataTooLong = errors.New("zone and region are too long for the membership's metadata")

// CheckMetadata returns an error if a member's zone and region do not fit in its metadata.
func CheckMetadata(self Member) error {
	if d, err := json.Marshal(metadata{self.Zone, self.Region, self.InControlGroup}); err != nil || len(d) > memberlist.MetaMaxSize {
		return errMetadataTooLong
	}
	return nil
}
