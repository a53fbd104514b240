package quorum

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	bbolt "go.etcd.io/bbolt"
)

// StateMachine is the replicated state. Apply, Snapshot and Restore are never called at the same
// time; a state machine that is also read by others needs a lock of its own.
type StateMachine interface {
	// Apply applies an entry. It must be deterministic, and a refused entry must change nothing.
	Apply(index uint64, data []byte) (any, error)
	// Snapshot returns a copy of the state, which is written while further entries are applied.
	Snapshot() Image
	// Restore replaces the state by that of a snapshot.
	Restore(data []byte) error
}

// Image is a copy of the state, as a snapshot stores it.
type Image interface{ Bytes() []byte }

// Member is one member of a group. Raft and Transport are exported for operations that this
// package does not wrap.
type Member struct {
	Raft      *raft.Raft
	Transport *raft.NetworkTransport
	Timing    Timing

	store *raftboltdb.BoltStore
	log   *slog.Logger
}

// applyResult is what StateMachine.Apply returned, passed to the proposer through raft's future.
type applyResult struct {
	result any
	err    error
}

// fsm adapts a StateMachine to raft.FSM.
type fsm struct {
	machine StateMachine
	log     *slog.Logger
}

func (f fsm) Apply(entry *raft.Log) any {
	if entry.Type != raft.LogCommand {
		return nil
	}
	res, err := f.machine.Apply(entry.Index, entry.Data)
	if err != nil {
		f.log.Warn("entry refused", "index", entry.Index, "error", err)
	}
	return applyResult{res, err}
}

func (f fsm) Snapshot() (raft.FSMSnapshot, error) { return fsmSnapshot{f.machine.Snapshot()}, nil }

func (f fsm) Restore(rc io.ReadCloser) error {
	defer rc.Close()
	data, err := io.ReadAll(rc)
	if err != nil {
		return err
	}
	return f.machine.Restore(data)
}

// fsmSnapshot adapts an Image to raft.FSMSnapshot.
type fsmSnapshot struct{ Image }

func (i fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i.Bytes()); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (fsmSnapshot) Release() {}

// Open starts a member. If the data directory can't be read, the error names the file, and nothing
// in it is changed.
func Open(cfg Config, machine StateMachine, log *slog.Logger) (*Member, error) {
	timing, err := cfg.Timing.Durations()
	if err != nil {
		return nil, err
	}
	if err := os.MkdirAll(cfg.Data, 0o750); err != nil {
		return nil, fmt.Errorf("data directory: %w", err)
	}
	m := &Member{Timing: timing, log: log}
	m.store, err = openStore(filepath.Join(cfg.Data, "raft.db"))
	if err != nil {
		return nil, err
	}
	snaps, err := raft.NewFileSnapshotStore(cfg.Data, max(cfg.Snapshot.Keep, 2), io.Discard)
	if err != nil {
		m.store.Close()
		return nil, fmt.Errorf("data directory %s: snapshots: %w", cfg.Data, err)
	}
	if m.Transport, err = openTransport(cfg, log); err != nil {
		m.store.Close()
		return nil, err
	}
	if m.Raft, err = raft.NewRaft(m.raftConfig(cfg), fsm{machine, log}, m.store, m.store, snaps, m.Transport); err != nil {
		m.Transport.Close()
		m.store.Close()
		return nil, fmt.Errorf("data directory %s: %w", cfg.Data, err)
	}
	if err := m.bootstrap(cfg.ID, cfg.Bootstrap, snaps); err != nil {
		m.Close()
		return nil, err
	}
	return m, nil
}

// openStore opens the log and stable store. If another process holds the file's lock, it fails
// after boltOptions' timeout with an error that names the file.
func openStore(path string) (*raftboltdb.BoltStore, error) {
	s, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("data directory: %s: %w (if the file is corrupt or not a raft store, "+
			"move it away and let the member catch up from the others)", path, err)
	}
	return s, nil
}

func (m *Member) raftConfig(cfg Config) *raft.Config {
	c := raft.DefaultConfig()
	c.LocalID = raft.ServerID(cfg.ID)
	c.HeartbeatTimeout = m.Timing.Heartbeat
	c.ElectionTimeout = m.Timing.Election
	c.CommitTimeout = m.Timing.Commit
	c.LeaderLeaseTimeout = m.Timing.Lease
	c.SnapshotThreshold = cmp.Or(cfg.Snapshot.Entries, 8192)
	c.TrailingLogs = c.SnapshotThreshold / 2
	c.SnapshotInterval = 5 * time.Second
	c.Logger = newRaftLogger(m.log)
	return c
}

// bootstrap sets the first members of a new group. A member that already has state, or that has no
// bootstrap list, does nothing: it is in a group, or waits until the leader adds it.
func (m *Member) bootstrap(id string, peers []Peer, snaps raft.SnapshotStore) error {
	if len(peers) == 0 {
		return nil
	}
	has, err := raft.HasExistingState(m.store, m.store, snaps)
	if err != nil || has {
		return err
	}
	servers := make([]raft.Server, len(peers))
	for i, p := range peers {
		servers[i] = raft.Server{Suffrage: raft.Voter, ID: raft.ServerID(p.ID), Address: raft.ServerAddress(p.Raft)}
		if !p.Votes() {
			servers[i].Suffrage = raft.Nonvoter
		}
	}
	if i := slices.IndexFunc(peers, func(p Peer) bool { return p.ID == id }); i < 0 || !peers[i].Votes() {
		return nil // a non-voter gets the log from the voters' leader
	}
	err = m.Raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if errors.Is(err, raft.ErrCantBootstrap) {
		return nil
	}
	return err
}

// Leading reports whether this member believes that it leads the group. A leader that has lost
// contact with a quorum may only find out when it proposes.
func (m *Member) Leading() bool { return m.Raft.State() == raft.Leader }

// Leader returns the id of the leader known to this member, or "" if it knows none.
func (m *Member) Leader() string {
	_, id := m.Raft.LeaderWithID()
	return string(id)
}

// Close stops the member, which stays in the group's configuration. A leader first transfers its
// leadership, so that a planned restart does not cost the group an election timeout.
func (m *Member) Close() error {
	if m.Leading() {
		if err := m.Raft.LeadershipTransfer().Error(); err != nil {
			m.log.Info("leadership transfer failed", "error", err)
		}
	}
	err := m.Raft.Shutdown().Error()
	m.Transport.Close()
	m.Transport.CloseStreams()
	m.store.Close()
	return err
}

// openTransport opens raft's TCP transport. It dials a member at the address that Config.Links
// gives for its advertised address, if any (a fault-injecting proxy in tests).
func openTransport(cfg Config, log *slog.Logger) (*raft.NetworkTransport, error) {
	ln, err := net.Listen("tcp", cfg.Raft)
	if err != nil {
		return nil, fmt.Errorf("field raft: %w", err)
	}
	addr, err := net.ResolveTCPAddr("tcp", cmp.Or(cfg.Advertise, ln.Addr().String()))
	if err != nil {
		ln.Close()
		return nil, fmt.Errorf("field advertise: %w", err)
	}
	layer := &streamLayer{Listener: ln, advertised: addr, links: cfg.Links}
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Stream: layer, MaxPool: 3, Timeout: 2 * time.Second,
		Logger: newRaftLogger(log),
	}), nil
}

// streamLayer is a raft.StreamLayer on TCP.
type streamLayer struct {
	net.Listener
	advertised net.Addr
	links      map[string]string // as Config.Links
}

func (s *streamLayer) Addr() net.Addr { return s.advertised }

func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	to := string(address)
	if via, ok := s.links[to]; ok {
		to = via
	}
	return net.DialTimeout("tcp", to, timeout)
}

// boltOptions limits the wait for a lock held by another process, which is unlimited by default.
func boltOptions() *bbolt.Options { return &bbolt.Options{Timeout: time.Second} }
