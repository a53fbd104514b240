package control

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/fleet/stewards"
	"woodrouter/rollout"
)

// Node is one control machine.
type Node struct {
	*quorum.Member
	cfg      Config
	settings rollout.Settings
	fsm      *machine
	log      *slog.Logger

	table struct {
		sync.Mutex
		*rollout.ReportTable
	}
	watchers  atomic.Int64
	stewards  *stewards.Stewards
	answering chan struct{}   // a place for each look at the state for a watcher
	ctx       context.Context // done when the machine ends
	cancel    context.CancelFunc
	ended     sync.WaitGroup
	server    *server
	console   func() // ends the operators' console
}

// machine is the documents as quorum.Machine, and the one place where watchers are woken.
type machine struct {
	mu      sync.RWMutex
	state   *rollout.State
	lagging bool
	changed chan struct{} // closed, and replaced, when the state or lagging has changed
	opened  chan struct{} // holds a word for the steward when a revision may be open
	log     *slog.Logger
}

func newMachine(log *slog.Logger) *machine {
	return &machine{state: rollout.New(), lagging: true, changed: make(chan struct{}), opened: make(chan struct{}, 1), log: log}
}

func (m *machine) Apply(index uint64, data []byte) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, err := m.state.Apply(index, data)
	if err == nil && (r.Changed || r.Revision > 0) {
		m.wake()
	}
	return r, err
}

// wake ends the wait of all watchers there are, and of the steward. The lock is held.
func (m *machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
	select {
	case m.opened <- struct{}{}:
	default:
	}
}

func (m *machine) Snapshot() quorum.Image {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Image()
}

func (m *machine) Restore(data []byte) error {
	s, err := rollout.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state = s
	m.wake()
	m.mu.Unlock()
	m.log.Info("snapshot restored", "applied", s.Applied(), "documents", len(s.Names()))
	return nil
}

func (m *machine) read(f func(*rollout.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// lag says whether this machine may know less than is committed; waiting watchers hear of a
// change at once.
func (m *machine) lag(on bool) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lagging == on {
		return false
	}
	m.lagging = on
	m.wake()
	return true
}

// Open starts a machine from its file's settings; Serve takes callers.
func Open(cfg Config, log *slog.Logger) (*Node, error) {
	settings, err := cfg.Rollout.settings()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, settings: settings, log: log, fsm: newMachine(log),
		answering: make(chan struct{}, mostAnswering), stewards: stewards.New(cfg.ID, time.Now().UnixNano(), log)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.table.ReportTable = rollout.NewReportTable()
	if n.Member, err = quorum.Open(cfg.Config, n.fsm, log); err != nil {
		n.cancel()
		return nil, err
	}
	n.ended.Go(n.watchLag)
	n.ended.Go(n.steer)
	n.ended.Go(n.sweep)
	for id := range cfg.Rollout.Peers {
		if id != cfg.ID {
			n.ended.Go(func() { n.tell(id) })
		}
	}
	return n, nil
}

// Close ends the machine's part in the group without leaving it: its callers are answered or
// cut first, and go to another machine.
func (n *Node) Close() error {
	n.cancel()
	if n.server != nil {
		n.server.close()
	}
	if n.console != nil {
		n.console()
	}
	err := n.Member.Close()
	n.ended.Wait()
	return err
}

const (
	// lagAfter is how long a machine may be without word of a leader before it says so. A
	// leader that can't reach a quorum steps down by itself, within its lease.
	lagAfter = 1500 * time.Millisecond
	lagLook  = 50 * time.Millisecond
)

// deaf tells whether this machine has had no word of a leader for lagAfter, or since the start.
func (n *Node) deaf() bool {
	return n.Raft.State() != raft.Leader && time.Since(n.Raft.LastContact()) > lagAfter
}

// watchLag keeps whether this machine may know less than is committed: it is deaf; or it has
// heard a leader again, but what that has committed is not applied here yet.
func (n *Node) watchLag() {
	tick := time.NewTicker(lagLook)
	defer tick.Stop()
	lagging, before := true, uint64(0)
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-tick.C:
		}
		commit := n.Raft.CommitIndex()
		switch {
		case n.deaf():
			lagging = true
		case lagging:
			// A log that is being brought up has its commit index rise from batch to batch.
			lagging = commit == 0 || commit != before || n.Raft.AppliedIndex() < commit
		}
		before = commit
		if n.fsm.lag(lagging) {
			if lagging {
				n.log.Warn("no word of a leader: what is told may be old", "heard", n.Raft.LastContact(), "applied", n.Raft.AppliedIndex())
			} else {
				n.log.Info("up to date", "leader", n.Leader(), "applied", n.Raft.AppliedIndex())
			}
		}
	}
}

// steerEvery is how often the leader looks at the stages of revisions that are open.
const steerEvery = 100 * time.Millisecond

// steer has the leader decide the stages of open revisions and propose what it decides. What
// two leaders propose late changes nothing: the entries name the revision and its stage.
func (n *Node) steer() {
	leads := n.Raft.LeaderCh()
	steward, sure := rollout.NewStageController(n.settings), false                        // sure: of what was committed before this lead
	n.fsm.read(func(s *rollout.State) { steward.Decide(s, nil, time.Now().UnixMicro()) }) // its time begins: who was not heard may yet be
	timer := time.NewTimer(steerEvery)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-leads:
		case <-n.fsm.opened:
		case <-timer.C:
		}
		if !n.Leading() {
			sure = false
			continue
		}
		if !sure {
			sure = n.Barrier().Outcome == quorum.Committed
		}
		if !sure || n.decide(steward) {
			timer.Reset(steerEvery)
		}
	}
}

// decide proposes what the steward decides now, and tells whether a revision is still open.
func (n *Node) decide(steward *rollout.StageController) (open bool) {
	n.fsm.read(func(s *rollout.State) { open = len(s.Open()) > 0 })
	var reports []rollout.Report
	if open {
		reports = n.reports()
	}
	var entries []rollout.Entry
	n.fsm.read(func(s *rollout.State) { entries = steward.Decide(s, reports, time.Now().UnixMicro()) })
	for _, e := range entries {
		r, a, err := n.Propose(rollout.Encode(e))
		switch {
		case a.Outcome != quorum.Committed:
			n.log.Warn("stage not decided yet", "op", e.Op, "revision", e.Revision, "outcome", a.Outcome, "error", a.Error)
			return true
		case err == nil && r.(rollout.Result).Changed:
			n.log.Info("stage decided", "op", e.Op, "revision", e.Revision, "first", len(e.First), "why", e.Why)
		}
	}
	return open
}

// forgetAfter is how long an agent that is gone is still told of as out of reach.
const forgetAfter = time.Hour

func (n *Node) reports() []rollout.Report {
	n.table.Lock()
	defer n.table.Unlock()
	return n.table.Reports()
}

// hear takes an agent's word of itself.
func (n *Node) hear(r rollout.Report) {
	n.table.Lock()
	defer n.table.Unlock()
	n.table.Update(r, time.Now().UnixMicro())
}
