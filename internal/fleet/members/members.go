// Package members is the membership of call agents, on github.com/hashicorp/memberlist (SWIM:
// Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
// membership protocol", DSN 2002, with Lifeguard's refinements). Each agent's zone and region
// are in its metadata. Beside who is alive, agents tell one another by gossip what each sees of
// the setup servers (failover.Summary) and which epoch is in force; the plan itself comes from
// the replicated log. It decides nothing.
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

// Config is an agent's part in the membership.
type Config struct {
	Bind string `yaml:"bind"` // host:port, TCP and UDP, on which it listens for the others
	// Advertise is where the others reach it, if that is not Bind: it stands behind something.
	Advertise string `yaml:"advertise,omitempty"`
	// Seeds are some others' addresses, to join by, and to find together by after a split: at
	// least one of each region.
	Seeds []string          `yaml:"seeds"`
	Links map[string]string `yaml:"links"` // another's bind address -> where to send instead (a proxy)
	// Far lengthens the time-outs for members in several regions: hundreds of milliseconds
	// from one to another.
	Far bool `yaml:"far"`
	// Compress has the library compress all that it sends. It halves notes of some KB, as those on
	// spread load are; of the short messages of a membership alone it saves next to nothing, and
	// makes a table of 64 KB anew for each. Who reads takes both.
	Compress bool `yaml:"-"`

	tune func(*memberlist.Config, *seeker) // tests shorten the times by it
}

// Valid names the first field that can't be used.
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
	InControlGroup     bool // its part is in the control group: summaries go to it
}

// metadata is a member's metadata, in JSON; memberlist bounds it to 512 bytes.
type metadata struct {
	Zone    string `json:"z"`
	Region  string `json:"r"`
	Decides bool   `json:"d,omitempty"`
}

// gossipMessage is one message of gossip.
type gossipMessage struct {
	Summary *failover.Summary `json:"s,omitempty"`
	Epoch   uint64            `json:"e,omitempty"`
	// Note is a message between two members for whoever took OnNote.
	From string          `json:"n,omitempty"`
	Note json.RawMessage `json:"x,omitempty"`
}

// Members is an agent's view of the membership. Its methods do not wait, but for Open, Rejoin, Stay
// and Leave.
type Members struct {
	cfg       Config
	self      Member
	log       *slog.Logger
	list      *memberlist.Memberlist
	queue     memberlist.TransmitLimitedQueue
	malformed atomic.Int64 // messages that could not be read
	sent      atomic.Int64 // datagrams and streams begun
	bytes     atomic.Int64 // in datagrams sent
	startedAt time.Time
	ctx       context.Context // its streams end with it
	cancel    context.CancelFunc

	seekerMu sync.Mutex
	seeker   *seeker

	nodesMu sync.RWMutex // held for one look at nodes, and nothing is called under it
	nodes   map[string]node

	mu          sync.Mutex                  // the library's lock is never taken under it: the library calls with its own held
	summaries   map[string]failover.Summary // the latest of each agent that told this one
	epoch       uint64                      // the highest heard of
	epochRaised chan struct{}               // holds one item where the epoch has risen
	onMessage   func(from string, data []byte)
}

// Open takes part in the membership. It returns before others are met; Stay meets them.
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
	lines := log.New(logWriter{logger}, "", 0)
	netTransport, err := memberlist.NewNetTransport(&memberlist.NetTransportConfig{BindAddrs: []string{host}, BindPort: bindPort, Logger: lines})
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
	c.Delegate, c.Events, c.Logger, c.DeadNodeReclaimTime = m, m, lines, 10*time.Second
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

// Rejoin asks those seeds whose turn it is (seeker), and tells how many agents are alive and why
// none of them answered. It waits for the answers, streamMost for each seed at most. Two parts of
// a split that each forgot the other find together by it, so it is called again and again.
func (m *Members) Rejoin() (alive int, err error) {
	before := m.Size()
	m.seekerMu.Lock()
	ask := m.seeker.nextSeeds(time.Since(m.startedAt), before, m.presentSeeds(), rand.Float64)
	m.seekerMu.Unlock()
	for _, seed := range ask {
		if m.ctx.Err() != nil { // who has left does not come back by a stream
			return m.Size(), m.ctx.Err()
		}
		if _, err = m.list.Join([]string{seed}); err == nil {
			break
		}
	}
	alive = m.Size()
	if len(ask) == 1 && before > 1 {
		m.logMissingSeed(ask[0], before, alive, err)
	}
	return alive, err
}

// presentSeeds tells which seeds are among the agents thought alive, by their addresses or by the links
// that lead there.
func (m *Members) presentSeeds() func(seed string) bool {
	at := map[string]bool{}
	for _, n := range m.aliveNodes() {
		at[n.address], at[m.sendAddress(n.address)] = true, true
	}
	return func(seed string) bool { return at[seed] }
}

// logMissingSeed tells the log what came of asking after a seed.
func (m *Members) logMissingSeed(seed string, before, alive int, err error) {
	m.seekerMu.Lock()
	vain := m.seeker.attempts(seed)
	m.seekerMu.Unlock()
	switch {
	case m.ctx.Err() != nil:
	case err == nil && vain > 0 && m.presentSeeds()(seed):
		m.log.Info("membership: missing seed met", "seed", seed, "alive_before", before, "alive", alive)
	case vain == maxBackoffDoublings+1: // once for each time that it goes
		m.log.Warn("membership: seed missing", "seed", seed, "asked", vain, "answers", err == nil, "error", err)
	}
}

// rejoinInterval is the mean time between two looks for seeds to ask.
const rejoinInterval = time.Second

// StayJoined keeps this agent among the others until ctx ends or it leaves.
func (m *Members) StayJoined(ctx context.Context) {
	told := false
	for {
		if alive, err := m.Rejoin(); err != nil && alive == 1 && !told && m.ctx.Err() == nil {
			m.log.Warn("membership: no seed reached yet", "error", err)
			told = true
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

// node is an agent thought alive, as the library last told of it. What it hands out at other
// times it changes meanwhile.
type node struct {
	Member
	address       string          // its address
	validMetadata bool            // its metadata
	libraryNode   memberlist.Node // a copy
}

// putNode keeps an agent, drop forgets one.
func (m *Members) putNode(n *memberlist.Node) {
	var d metadata
	err := json.Unmarshal(n.Meta, &d)
	kept := node{Member{n.Name, d.Zone, d.Region, d.Decides}, n.Address(), err == nil, *n}
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	m.nodes[n.Name] = kept
}

func (m *Members) removeNode(name string) {
	m.nodesMu.Lock()
	defer m.nodesMu.Unlock()
	delete(m.nodes, name)
}

func (m *Members) aliveNodes() []node {
	m.nodesMu.RLock()
	defer m.nodesMu.RUnlock()
	return slices.Collect(maps.Values(m.nodes))
}

// Size is how many agents are thought alive, this one among them.
func (m *Members) Size() int {
	m.nodesMu.RLock()
	defer m.nodesMu.RUnlock()
	return max(len(m.nodes), 1) // asked while it is being made, or after it left
}

// Alive are the agents thought alive.
func (m *Members) Alive() (out []Member) {
	for _, n := range m.aliveNodes() {
		if n.validMetadata {
			out = append(out, n.Member)
		}
	}
	return out
}

// Names are the members thought alive.
func (m *Members) Names() (out []string) {
	for _, n := range m.aliveNodes() {
		out = append(out, n.Name)
	}
	return out
}

// SendSummary has those who may decide hear what this agent sees, in a datagram each: one that is lost
// is made good by the next.
func (m *Members) SendSummary(s failover.Summary) {
	m.recordSummary(s)
	data, err := json.Marshal(gossipMessage{Summary: &s})
	if err != nil {
		return // a figure that is no number: it is not told
	}
	for _, n := range m.aliveNodes() {
		if n.Name == m.self.Name || !n.InControlGroup {
			continue
		}
		if err := m.list.SendBestEffort(&n.libraryNode, data); err != nil {
			m.log.Debug("summary not sent", "to", n.Name, "error", err)
		}
	}
}

// OnMessage has notes that come from now on handed to take, which must not wait.
func (m *Members) OnMessage(take func(from string, data []byte)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onMessage = take
}

// SendMessage sends a message to one member in a datagram: it comes once, late, or not at all.
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
		return fmt.Errorf("%s is no member", to)
	}
	return m.list.SendBestEffort(&n.libraryNode, data)
}

// AnnounceEpoch has the others hear that an epoch is in force.
func (m *Members) AnnounceEpoch(epoch uint64) { m.raiseEpoch(epoch) }

// Epoch is the highest that was heard of; News holds an item once it has risen.
func (m *Members) Epoch() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.epoch
}

// EpochRaised holds an item where the epoch has risen since the last was taken.
func (m *Members) EpochRaised() <-chan struct{} { return m.epochRaised }

// Summaries are the latest of the agents thought alive that told this one, each with the time of
// its hearing.
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

// Traffic is the datagrams and streams begun, the bytes in datagrams, and messages not read.
func (m *Members) Traffic() (sent, bytes, bad int64) {
	return m.sent.Load(), m.bytes.Load(), m.malformed.Load()
}

// Leave tells the others that this agent goes, and ends its part.
func (m *Members) Leave() {
	m.cancel()
	if err := m.list.Leave(time.Second); err != nil {
		m.log.Info("left without telling all", "error", err)
	}
	m.list.Shutdown()
}

// Shutdown ends this agent's part without a word, as a crash does.
func (m *Members) Shutdown() {
	m.cancel()
	m.list.Shutdown()
}

// recordSummary keeps a summary if it is newer than the one there, with the time of the hearing: how old
// it may be is then a matter of this agent's clock alone.
func (m *Members) recordSummary(s failover.Summary) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if old, ok := m.summaries[s.Agent]; ok && !s.After(old) {
		return
	}
	s.AtUs = time.Now().UnixMicro()
	m.summaries[s.Agent] = s
}

// raiseEpoch takes a higher epoch and hands it on: memberlist sends a broadcast to some others only,
// and each that hears it anew passes it to some more.
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

func (m *Members) handleMessage(data []byte) {
	var w gossipMessage
	if err := json.Unmarshal(data, &w); err != nil {
		m.malformed.Add(1)
		m.log.Warn("gossip passed over", "error", err, "bytes", len(data))
		return
	}
	if w.Summary != nil && w.Summary.Agent != "" {
		m.recordSummary(*w.Summary)
	}
	if w.Note != nil {
		m.mu.Lock()
		note := m.onMessage
		m.mu.Unlock()
		if note != nil {
			note(w.From, w.Note)
		}
	}
	if w.Epoch > 0 {
		m.raiseEpoch(w.Epoch)
	}
}

// epochBroadcast is a broadcast of an epoch; a later one takes its place.
type epochBroadcast struct{ data []byte }

func (b *epochBroadcast) Invalidates(memberlist.Broadcast) bool { return true }
func (b *epochBroadcast) Message() []byte                       { return b.data }
func (b *epochBroadcast) Finished()                             {}

// errMetadataTooLong is a meta that memberlist has no room for.
var errMetadataTooLong = errors.New("zone and region are too long for the membership's metadata")

// CheckMetadata tells whether a member's zone and region fit its metadata.
func CheckMetadata(self Member) error {
	if d, err := json.Marshal(metadata{self.Zone, self.Region, self.InControlGroup}); err != nil || len(d) > memberlist.MetaMaxSize {
		return errMetadataTooLong
	}
	return nil
}
