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

// StateMachine is the state that the log's entries make. Apply, Snapshot and Restore are called
// from one goroutine at a time; a machine that is read meanwhile has a lock of its own.
type StateMachine interface {
	// Apply applies an entry. One that it refuses changes nothing, on every member alike.
	Apply(index uint64, data []byte) (any, error)
	// Snapshot is a copy of the state, written while entries go on being applied.
	Snapshot() Image
	Restore(data []byte) error
}

// Image is a copy of a machine's state.
type Image interface{ Bytes() []byte }

// Member is one member of a group: raft, its stores and its transport. What it has of raft's
// is for what this package has no words for.
type Member struct {
	Raft      *raft.Raft
	Transport *raft.NetworkTransport
	Timing    Timing

	store *raftboltdb.BoltStore
	log   *slog.Logger
}

// applyResult is what Apply hands back to the proposer through raft's future.
type applyResult struct {
	result any
	err    error
}

// fsm is a machine as raft has it.
type fsm struct {
	machine StateMachine
	log     *slog.Logger
}

func (f fsm) Apply(l *raft.Log) any {
	if l.Type != raft.LogCommand {
		return nil
	}
	res, err := f.machine.Apply(l.Index, l.Data)
	if err != nil {
		f.log.Warn("entry refused", "index", l.Index, "error", err)
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

type fsmSnapshot struct{ Image }

func (i fsmSnapshot) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(i.Bytes()); err != nil {
		sink.Cancel()
		return err
	}
	return sink.Close()
}

func (fsmSnapshot) Release() {}

// Open starts a member from its file's settings. A data directory that can't be read is an
// error naming the file; nothing in it is changed.
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

// openStore opens the log and stable store; bolt waits for a lock held by another process,
// so a time-out says which file is held.
func openStore(path string) (*raftboltdb.BoltStore, error) {
	s, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: boltOptions()})
	if err != nil {
		return nil, fmt.Errorf("data directory: %s: %w (a corrupt or foreign file: move it away and let the member catch up from the others)", path, err)
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

// bootstrap gives a new group its first members, once: a member with state of its own, or
// with no bootstrap list, waits to be added by the leader.
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
		return nil // the voters' leader brings it the log
	}
	err = m.Raft.BootstrapCluster(raft.Configuration{Servers: servers}).Error()
	if errors.Is(err, raft.ErrCantBootstrap) {
		return nil
	}
	return err
}

// Leading tells whether this member leads its group, as far as it knows: a leader that was cut
// off finds out when it proposes.
func (m *Member) Leading() bool { return m.Raft.State() == raft.Leader }

// Leader is the leader's id as far as this member knows; "": none.
func (m *Member) Leader() string {
	_, id := m.Raft.LeaderWithID()
	return string(id)
}

// Close ends the member's part in the group without leaving it. A leader hands its lead over
// first, so that a planned restart costs no election's time.
func (m *Member) Close() error {
	if m.Leading() {
		if err := m.Raft.LeadershipTransfer().Error(); err != nil {
			m.log.Info("lead not handed over", "error", err)
		}
	}
	err := m.Raft.Shutdown().Error()
	m.Transport.Close()
	m.Transport.CloseStreams()
	m.store.Close()
	return err
}

// openTransport is raft's TCP transport on a stream layer that dials a member through the
// file's links (a fault proxy in the tests), the configuration holding advertised addresses.
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

type streamLayer struct {
	net.Listener
	advertised net.Addr
	links      map[string]string
}

func (s *streamLayer) Addr() net.Addr { return s.advertised }

func (s *streamLayer) Dial(address raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	to := string(address)
	if via, ok := s.links[to]; ok {
		to = via
	}
	return net.DialTimeout("tcp", to, timeout)
}

// boltOptions has a lock held by another process end in an error, not a wait without end.
func boltOptions() *bbolt.Options { return &bbolt.Options{Timeout: time.Second} }
