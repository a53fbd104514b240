package replica

import (
	"log/slog"
	"sync"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/promise"
)

// Node is one member of a group that stores promises.
type Node struct {
	*quorum.Member
	cfg        Config
	fsm        *stateMachine
	retention  time.Duration // how long promises are kept
	log        *slog.Logger
	stop       chan struct{}  // closed when the member stops
	background sync.WaitGroup // the goroutines to wait for at the stop
}

// stateMachine makes promise.State a quorum.StateMachine. Raft's goroutine applies entries while
// RPC goroutines read, hence the lock.
type stateMachine struct {
	mu    sync.RWMutex
	state *promise.State
	log   *slog.Logger
}

func (m *stateMachine) Apply(index uint64, data []byte) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Apply(index, data)
}

func (m *stateMachine) Snapshot() quorum.Image {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Image()
}

func (m *stateMachine) Restore(data []byte) error {
	s, err := promise.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state = s
	m.mu.Unlock()
	m.log.Info("snapshot restored", "applied", s.Applied(), "calls", s.Calls())
	return nil
}

func (m *stateMachine) read(f func(*promise.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// Open starts a member. If the data directory can't be read, the error names the file, and nothing
// in it is changed.
func Open(cfg Config, log *slog.Logger) (*Node, error) {
	retention, err := cfg.Timing.retention()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, retention: retention, log: log, stop: make(chan struct{}),
		fsm: &stateMachine{state: promise.New(), log: log}}
	if n.Member, err = quorum.Open(cfg.quorumConfig(), n.fsm, log); err != nil {
		return nil, err
	}
	n.background.Go(n.expire)
	return n, nil
}

// expire has the leader propose, every tenth of the retention time, that older promises be deleted.
// The time limit is in the entry, so that every member deletes the same ones.
func (n *Node) expire() {
	tick := time.NewTicker(n.retention / 10)
	defer tick.Stop()
	for {
		select {
		case <-n.stop:
			return
		case now := <-tick.C:
			if !n.Leading() {
				continue
			}
			e := promise.Entry{Op: promise.OpExpire, BeforeUs: now.Add(-n.retention).UnixMicro()}
			r, a, err := n.Propose(promise.Encode(e))
			if a.Outcome != quorum.Committed {
				n.log.Warn("expired promises not deleted yet", "error", a.Error)
			} else if err == nil && r.(promise.Result).Forgotten > 0 {
				n.log.Debug("expired promises deleted", "count", r.(promise.Result).Forgotten)
			}
		}
	}
}

// Plan returns the plan of zones that this member has applied, and its epoch.
func (n *Node) Plan() (epoch uint64, plan []byte) {
	n.fsm.read(func(s *promise.State) { epoch, plan = s.Plan() })
	return epoch, plan
}

// Close stops the member, which stays in the group's configuration. A leader first transfers its
// leadership, so that a planned restart does not cost the group an election timeout.
func (n *Node) Close() error {
	close(n.stop)
	err := n.Member.Close()
	n.background.Wait()
	return err
}
