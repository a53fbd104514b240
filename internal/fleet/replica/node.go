package replica

import (
	"log/slog"
	"sync"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/promise"
)

// Node is one member of a group that keeps promises.
type Node struct {
	*quorum.Member
	cfg        Config
	fsm        *stateMachine
	retention  time.Duration
	log        *slog.Logger
	stop       chan struct{} // closed when the member ends
	background sync.WaitGroup
}

// stateMachine is the state of promises as quorum.Machine. Raft's goroutine applies entries; reads
// come from the RPC goroutines, hence the lock.
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

// Open starts a member from its file's settings. A data directory that can't be read is an
// error naming the file; nothing in it is changed.
func Open(cfg Config, log *slog.Logger) (*Node, error) {
	keep, err := cfg.Timing.retention()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, retention: keep, log: log, stop: make(chan struct{}), fsm: &stateMachine{state: promise.New(), log: log}}
	if n.Member, err = quorum.Open(cfg.quorumConfig(), n.fsm, log); err != nil {
		return nil, err
	}
	n.background.Go(n.expire)
	return n, nil
}

// expire has the leader propose, every tenth of the time that promises are kept, that older
// ones are forgotten. Time stands in the entry alone: each member forgets the same ones.
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
				n.log.Warn("old promises not forgotten yet", "error", a.Error)
			} else if err == nil && r.(promise.Result).Forgotten > 0 {
				n.log.Debug("old promises forgotten", "count", r.(promise.Result).Forgotten)
			}
		}
	}
}

// Plan is the plan of zones that this member has applied, and its epoch.
func (n *Node) Plan() (epoch uint64, plan []byte) {
	n.fsm.read(func(s *promise.State) { epoch, plan = s.Plan() })
	return epoch, plan
}

// Close ends the member's part in the group without leaving it. A leader hands its lead over
// first, so that a planned restart costs no election's time.
func (n *Node) Close() error {
	close(n.stop)
	err := n.Member.Close()
	n.background.Wait()
	return err
}
