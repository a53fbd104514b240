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
	watchers     atomic.Int64 // watches being served
	stewards     *stewards.Stewards
	lookSlots    chan struct{}   // limits the watches that read the state at the same time
	ctx          context.Context // done when the machine stops
	cancel       context.CancelFunc
	background   sync.WaitGroup // the goroutines to wait for at the stop
	server       *server
	closeConsole func()
}

// stateMachine makes rollout.State a quorum.StateMachine, and wakes the watchers when it changes.
type stateMachine struct {
	mu        sync.RWMutex
	state     *rollout.State
	lagging   bool          // this machine may not know all that is committed
	changed   chan struct{} // closed, and replaced, when state or lagging changes
	stageWork chan struct{} // wakes controlStages when a revision may be open
	log       *slog.Logger
}

func newStateMachine(log *slog.Logger) *stateMachine {
	return &stateMachine{state: rollout.New(), lagging: true, changed: make(chan struct{}),
		stageWork: make(chan struct{}, 1), log: log}
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

// wakeWatchers wakes all waiting watches, and controlStages. The caller holds the lock.
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

// setLagging sets whether this machine may not know all that is committed, and reports whether that is
// a change. Waiting watches are answered at once if it is.
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

// Open starts a control machine. It serves clients once Serve is called.
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

// Close stops the machine, which stays in the group's configuration. Its clients are answered or
// disconnected first, and go to another machine.
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
	// lagAfter is how long a machine may be without contact to a leader before it counts as lagging.
	// A leader that can't reach a quorum steps down by itself, within its lease.
	lagAfter         = 1500 * time.Millisecond
	lagCheckInterval = 50 * time.Millisecond
)

// outOfContact reports whether this machine has had no contact to a leader for lagAfter, or none since
// the start.
func (n *Node) outOfContact() bool {
	return n.Raft.State() != raft.Leader && time.Since(n.Raft.LastContact()) > lagAfter
}

// monitorLag keeps stateMachine.lagging up to date. A machine lags while it is out of contact, and after
// that until it has applied what the leader has committed.
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
			// While the log catches up, the commit index rises with every batch: equality with the applied
			// index counts only once the commit index has stopped rising.
			lagging = commit == 0 || commit != before || n.Raft.AppliedIndex() < commit
		}
		before = commit
		if n.fsm.setLagging(lagging) {
			if lagging {
				n.log.Warn("no contact to a leader: answers may be outdated", "heard", n.Raft.LastContact(),
					"applied", n.Raft.AppliedIndex())
			} else {
				n.log.Info("up to date", "leader", n.Leader(), "applied", n.Raft.AppliedIndex())
			}
		}
	}
}

// stageInterval is how often the leader checks the stages of open revisions.
const stageInterval = 100 * time.Millisecond

// controlStages has the leader decide the stages of open revisions and propose its decisions. A late
// proposal of a former leader changes nothing, as the entries name the revision and its stage.
func (n *Node) controlStages() {
	leadership := n.Raft.LeaderCh()
	controller := rollout.NewStageController(n.settings)
	caughtUp := false // this leader has applied everything committed before its term
	// The first Decide starts the controller's clock: agents that have not reported yet get their time.
	n.fsm.read(func(s *rollout.State) { controller.Decide(s, nil, time.Now().UnixMicro()) })
	timer := time.NewTimer(stageInterval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-leadership:
		case <-n.fsm.stageWork:
		case <-timer.C:
		}
		if !n.Leading() {
			caughtUp = false
			continue
		}
		if !caughtUp {
			caughtUp = n.Barrier().Outcome == quorum.Committed
		}
		if !caughtUp || n.decideStages(controller) {
			timer.Reset(stageInterval)
		}
	}
}

// decideStages proposes the controller's decisions, and reports whether a revision is still open.
func (n *Node) decideStages(controller *rollout.StageController) (open bool) {
	n.fsm.read(func(s *rollout.State) { open = len(s.Open()) > 0 })
	var reports []rollout.Report
	if open {
		reports = n.reports()
	}
	var entries []rollout.Entry
	n.fsm.read(func(s *rollout.State) { entries = controller.Decide(s, reports, time.Now().UnixMicro()) })
	for _, e := range entries {
		r, a, err := n.Propose(rollout.Encode(e))
		switch {
		case a.Outcome != quorum.Committed:
			n.log.Warn("stage not decided yet", "op", e.Op, "revision", e.Revision, "outcome", a.Outcome,
				"error", a.Error)
			return true
		case err == nil && r.(rollout.Result).Changed:
			n.log.Info("stage decided", "op", e.Op, "revision", e.Revision, "first", len(e.First), "why", e.Why)
		}
	}
	return open
}

// reportRetention is how long an agent that no longer reports is still listed as out of reach.
const reportRetention = time.Hour

// reports returns the latest report of each agent.
func (n *Node) reports() []rollout.Report {
	n.reportTable.Lock()
	defer n.reportTable.Unlock()
	return n.reportTable.Reports()
}

// recordReport stores an agent's report.
func (n *Node) recordReport(r rollout.Report) {
	n.reportTable.Lock()
	defer n.reportTable.Unlock()
	n.reportTable.Update(r, time.Now().UnixMicro())
}
