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
	fsm      *stateMachine
	log      *slog.Logger

	reportTable struct {
		sync.Mutex
		*rollout.ReportTable
	}
	watchers     atomic.Int64
	stewards     *stewards.Stewards
	lookSlots    chan struct{}   // a place for each look at the state for a watcher
	ctx          context.Context // done when the machine ends
	cancel       context.CancelFunc
	background   sync.WaitGroup
	server       *server
	closeConsole func() // ends the operators' console
}

// stateMachine is the documents as quorum.Machine, and the one place where watchers are woken.
type stateMachine struct {
	mu        sync.RWMutex
	state     *rollout.State
	lagging   bool
	changed   chan struct{} // closed, and replaced, when the state or lagging has changed
	stageWork chan struct{} // holds a word for the steward when a revision may be open
	log       *slog.Logger
}

func newStateMachine(log *slog.Logger) *stateMachine {
	return &stateMachine{state: rollout.New(), lagging: true, changed: make(chan struct{}), stageWork: make(chan struct{}, 1), log: log}
}

func (m *stateMachine) Apply(index uint64, data []byte) (any, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, err := m.state.Apply(index, data)
	if err == nil && (r.Changed || r.Revision > 0) {
		m.wakeWatchers()
	}
	return r, err
}

// wakeWatchers ends the wait of all watchers there are, and of the steward. The lock is held.
func (m *stateMachine) wakeWatchers() {
	close(m.changed)
	m.changed = make(chan struct{})
	select {
	case m.stageWork <- struct{}{}:
	default:
	}
}

func (m *stateMachine) Snapshot() quorum.Image {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.state.Image()
}

func (m *stateMachine) Restore(data []byte) error {
	s, err := rollout.Restore(data)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.state = s
	m.wakeWatchers()
	m.mu.Unlock()
	m.log.Info("snapshot restored", "applied", s.Applied(), "documents", len(s.Names()))
	return nil
}

func (m *stateMachine) read(f func(*rollout.State)) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	f(m.state)
}

// setLagging says whether this machine may know less than is committed; waiting watchers hear of a
// change at once.
func (m *stateMachine) setLagging(on bool) (changed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lagging == on {
		return false
	}
	m.lagging = on
	m.wakeWatchers()
	return true
}

// Open starts a machine from its file's settings; Serve takes callers.
func Open(cfg Config, log *slog.Logger) (*Node, error) {
	settings, err := cfg.Rollout.settings()
	if err != nil {
		return nil, err
	}
	n := &Node{cfg: cfg, settings: settings, log: log, fsm: newStateMachine(log),
		lookSlots: make(chan struct{}, maxConcurrentLooks), stewards: stewards.New(cfg.ID, time.Now().UnixNano(), log)}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.reportTable.ReportTable = rollout.NewReportTable()
	if n.Member, err = quorum.Open(cfg.Config, n.fsm, log); err != nil {
		n.cancel()
		return nil, err
	}
	n.background.Go(n.monitorLag)
	n.background.Go(n.controlStages)
	n.background.Go(n.sweepStewards)
	for id := range cfg.Rollout.Peers {
		if id != cfg.ID {
			n.background.Go(func() { n.sendReports(id) })
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
	if n.closeConsole != nil {
		n.closeConsole()
	}
	err := n.Member.Close()
	n.background.Wait()
	return err
}

const (
	// lagAfter is how long a machine may be without word of a leader before it says so. A
	// leader that can't reach a quorum steps down by itself, within its lease.
	lagAfter         = 1500 * time.Millisecond
	lagCheckInterval = 50 * time.Millisecond
)

// outOfContact tells whether this machine has had no word of a leader for lagAfter, or since the start.
func (n *Node) outOfContact() bool {
	return n.Raft.State() != raft.Leader && time.Since(n.Raft.LastContact()) > lagAfter
}

// monitorLag keeps whether this machine may know less than is committed: it is deaf; or it has
// heard a leader again, but what that has committed is not applied here yet.
func (n *Node) monitorLag() {
	tick := time.NewTicker(lagCheckInterval)
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
		case n.outOfContact():
			lagging = true
		case lagging:
			// A log that is being brought up has its commit index rise from batch to batch.
			lagging = commit == 0 || commit != before || n.Raft.AppliedIndex() < commit
		}
		before = commit
		if n.fsm.setLagging(lagging) {
			if lagging {
				n.log.Warn("no word of a leader: what is told may be old", "heard", n.Raft.LastContact(), "applied", n.Raft.AppliedIndex())
			} else {
				n.log.Info("up to date", "leader", n.Leader(), "applied", n.Raft.AppliedIndex())
			}
		}
	}
}

// stageInterval is how often the leader looks at the stages of revisions that are open.
const stageInterval = 100 * time.Millisecond

// controlStages has the leader decide the stages of open revisions and propose what it decides. What
// two leaders propose late changes nothing: the entries name the revision and its stage.
func (n *Node) controlStages() {
	leads := n.Raft.LeaderCh()
	steward, sure := rollout.NewStageController(n.settings), false                        // sure: of what was committed before this lead
	n.fsm.read(func(s *rollout.State) { steward.Decide(s, nil, time.Now().UnixMicro()) }) // its time begins: who was not heard may yet be
	timer := time.NewTimer(stageInterval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-leads:
		case <-n.fsm.stageWork:
		case <-timer.C:
		}
		if !n.Leading() {
			sure = false
			continue
		}
		if !sure {
			sure = n.Barrier().Outcome == quorum.Committed
		}
		if !sure || n.decideStages(steward) {
			timer.Reset(stageInterval)
		}
	}
}

// decideStages proposes what the steward decides now, and tells whether a revision is still open.
func (n *Node) decideStages(steward *rollout.StageController) (open bool) {
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

// reportRetention is how long an agent that is gone is still told of as out of reach.
const reportRetention = time.Hour

func (n *Node) reports() []rollout.Report {
	n.reportTable.Lock()
	defer n.reportTable.Unlock()
	return n.reportTable.Reports()
}

// recordReport takes an agent's word of itself.
func (n *Node) recordReport(r rollout.Report) {
	n.reportTable.Lock()
	defer n.reportTable.Unlock()
	n.reportTable.Update(r, time.Now().UnixMicro())
}
