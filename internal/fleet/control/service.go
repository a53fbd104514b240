package control

import (
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"github.com/hashicorp/raft"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/internal/yamlfile"
	"woodrouter/rollout"
)

// Limits on agents' requests.
const (
	maxWatchers        = 2000             // watches being served at the same time
	maxConcurrentLooks = 16               // watches that may read the state at the same time
	maxPatience        = 10 * time.Second // must be less than idleTimeout
	maxNameBytes       = 512              // of a name in a report; the names that rollout accepts are shorter
	maxKinds           = 64               // kinds of documents in force at an agent
	maxRefused         = 128              // refused revisions in a report
)

const (
	// firstStagePatience is the time within which agents in a first stage are asked to repeat their watch,
	// so that the stage controller soon gets their reports.
	firstStagePatience = 250 * time.Millisecond
	// catchUpWait is how long a machine that knows less than a watcher tries to catch up before it answers
	// that it is behind.
	catchUpWait = 250 * time.Millisecond
)

var (
	errStopping        = errors.New("control: this machine stops")
	errTooManyWatchers = errors.New("control: too many watchers")
	errBadWatch        = errors.New("control: watch")
)

// Service is a control machine's net/rpc service, named "Rollout".
type Service struct{ node *Node }

// recoverPanic turns a panic during a request into an error of that request; net/rpc would let it end
// the process.
func (n *Node) recoverPanic(err *error) {
	if r := recover(); r != nil {
		n.log.Error("panic while handling a request", "reason", r, "stack", string(debug.Stack()))
		*err = errors.New("control: a fault of this machine")
	}
}

// WatchCall is a rollout.WatchArgs with the connection on which it came.
type WatchCall struct {
	rollout.WatchArgs
	from *codec
}

// Watch stores an agent's report, and answers when there are documents that the agent lacks, when this
// machine starts or stops lagging, or when the agent's patience ends. The machine stores no state for a
// watcher: the answer holds what the agent lacks at that time.
func (s *Service) Watch(call *WatchCall, reply *rollout.WatchReply) (err error) {
	defer s.node.recoverPanic(&err)
	n := s.node
	if err := checkWatch(&call.WatchArgs); err != nil {
		return err
	}
	if n.watchers.Add(1) > maxWatchers {
		n.watchers.Add(-1)
		return errTooManyWatchers
	}
	defer n.watchers.Add(-1)
	call.Report.Machine = n.cfg.ID
	n.recordReport(call.Report)
	patience := time.NewTimer(min(time.Duration(max(call.PatienceMs, 0))*time.Millisecond, maxPatience))
	defer patience.Stop()
	for first := true; ; first = false {
		state := n.watchStateFor(call, first)
		if first && state.behind && !call.from.reportedBehind.Swap(true) {
			patience.Reset(min(time.Duration(max(call.PatienceMs, 0))*time.Millisecond, catchUpWait))
		}
		over := false
		if !state.answerNow {
			select {
			case <-state.changed:
				continue
			case <-n.ctx.Done():
				return errStopping
			case <-call.from.readEnded:
				return errStopping
			case <-patience.C:
				over = true
			}
		}
		if over { // include a change that came at the same moment
			state = n.watchStateFor(call, false)
		}
		call.from.reportedLagging.Store(state.reply.Lagging)
		*reply = state.reply
		return nil
	}
}

// watchState is what the current state holds for a watcher.
type watchState struct {
	reply     rollout.WatchReply
	answerNow bool            // the reply has something new, and is sent at once
	behind    bool            // the watcher knows a later version than this machine
	changed   <-chan struct{} // closed when the state or lagging changes
}

// watchStateFor returns what the state holds for a watcher; first is true when its watch has just come.
func (n *Node) watchStateFor(call *WatchCall, first bool) (state watchState) {
	n.lookSlots <- struct{}{}
	defer func() { <-n.lookSlots }()
	m := n.fsm
	m.mu.RLock()
	defer m.mu.RUnlock()
	agent := call.Report.Agent
	state.changed = m.changed
	// A process that was suspended may get here before monitorLag notices the lag.
	lagging := m.lagging || n.outOfContact()
	state.reply = rollout.WatchReply{Machine: n.cfg.ID, Version: m.state.Applied(), Lagging: lagging}
	for _, d := range m.state.DocumentsFor(agent) {
		if d.Revision > call.Have[d.Name.String()] {
			state.reply.Docs = append(state.reply.Docs, d)
		}
	}
	if m.state.InFirstStage(agent) {
		state.reply.AgainMs = firstStagePatience.Milliseconds()
	}
	// An agent that has nothing is answered as soon as there is a log, even if there is no document.
	state.reply.Whole = len(call.Have) == 0
	fresh := first && state.reply.Whole && call.Version == 0 && state.reply.Version > 0
	state.behind = call.Version > state.reply.Version
	state.answerNow = len(state.reply.Docs) > 0 || fresh || lagging != call.from.reportedLagging.Load()
	return state
}

// checkWatch refuses a watch that no agent would send, so that its contents are not stored. It truncates
// the reasons of refusals to rollout.MaxWhyBytes.
func checkWatch(w *rollout.WatchArgs) error {
	r := &w.Report
	fits := func(name string) bool { return len(name) <= maxNameBytes }
	switch {
	case r.Agent.Name == "":
		return fmt.Errorf("%w: field report.agent.name: empty", errBadWatch)
	case !fits(r.Agent.Name) || !fits(r.Agent.Service) || !fits(r.Agent.Zone) || !fits(r.Agent.Region):
		return fmt.Errorf("%w: field report.agent: a name over %d bytes", errBadWatch, maxNameBytes)
	case len(w.Have) > rollout.MaxDocuments || len(r.Seen) > rollout.MaxDocuments:
		return fmt.Errorf("%w: over %d documents", errBadWatch, rollout.MaxDocuments)
	case len(r.InForce) > maxKinds:
		return fmt.Errorf("%w: field report.force: over %d kinds", errBadWatch, maxKinds)
	case len(r.Refused) > maxRefused:
		return fmt.Errorf("%w: field report.refused: over %d", errBadWatch, maxRefused)
	}
	for _, names := range []map[string]uint64{w.Have, r.Seen, r.InForce} {
		for name := range names {
			if !fits(name) {
				return fmt.Errorf("%w: a name over %d bytes", errBadWatch, maxNameBytes)
			}
		}
	}
	for i, f := range r.Refused {
		if !fits(f.Name.Kind) || !fits(string(f.Name.Scope.Level)) || !fits(f.Name.Scope.Of) {
			return fmt.Errorf("%w: field report.refused[%d].name: over %d bytes", errBadWatch, i, maxNameBytes)
		}
		r.Refused[i].Why = f.Why[:min(len(f.Why), rollout.MaxWhyBytes)]
	}
	return nil
}

// Conflict is the outcome of a put that is not based on the latest revision.
const Conflict = "conflict"

// PutArgs is a change of a document; its entry's Op is OpPut.
type PutArgs struct{ Entry rollout.Entry }

// PutReply is a machine's answer to a put.
type PutReply struct {
	Outcome    string // one of quorum's, or Conflict
	Leader     string // the leader's id, if known
	Error      string
	ComeBackMs int64  // with NoQuorum and Unknown: ms after which a retry may succeed
	Revision   uint64 // the number of the new revision
}

// Put changes a document, and answers once a quorum holds the change. Only the leader can. It checks only
// that the text is YAML and not too large: whether agents can use it is decided by their loaders in the
// first stage, as a control machine knows neither their settings nor their files.
func (s *Service) Put(args PutArgs, reply *PutReply) (err error) {
	defer s.node.recoverPanic(&err)
	n, e := s.node, args.Entry
	if err := checkPut(e); err != nil {
		*reply = PutReply{Outcome: quorum.Refused, Error: err.Error()}
		return nil
	}
	e.AtUs = time.Now().UnixMicro()
	r, a, err := n.Propose(rollout.Encode(e))
	*reply = PutReply{Outcome: a.Outcome, Leader: a.Leader, Error: a.Error, ComeBackMs: a.ComeBackMs}
	switch {
	case errors.Is(err, rollout.ErrConflict):
		reply.Outcome, reply.Error = Conflict, err.Error()
	case err != nil:
		reply.Outcome, reply.Error = quorum.Refused, err.Error()
	case a.Outcome == quorum.Committed:
		reply.Revision = r.(rollout.Result).Revision
		n.log.Info("change committed", "document", e.Name.String(), "revision", reply.Revision, "base", e.Base,
			"author", e.Author)
	}
	return nil
}

// checkPut refuses a change that can't be a valid one.
func checkPut(e rollout.Entry) error {
	if e.Op != rollout.OpPut {
		return fmt.Errorf("%w: field op: %.40q is not for callers", rollout.ErrEntry, e.Op)
	}
	if name, err := rollout.ParseName(e.Name.String()); err != nil || name != e.Name {
		return fmt.Errorf("%w: field name: %.200q is not as KIND@SCOPE is read", rollout.ErrEntry, e.Name)
	}
	if len(e.Text) > rollout.MaxTextBytes {
		return fmt.Errorf("%w: field text: %d bytes, most %d", rollout.ErrEntry, len(e.Text), rollout.MaxTextBytes)
	}
	var document any
	if err := yamlfile.Decode(e.Text, &document); err != nil {
		return fmt.Errorf("%w: field text: %w", rollout.ErrEntry, err)
	}
	return nil
}

// MemberArgs names a machine to add to the group or, if Raft is empty, to remove.
type MemberArgs struct {
	ID, Raft string // its id and raft address
	Voter    bool
}

// Member adds or removes a member of the group. Only the leader can.
func (s *Service) Member(args MemberArgs, reply *quorum.Answer) error {
	if args.Raft == "" {
		*reply = s.node.Remove(args.ID)
	} else {
		*reply = s.node.Join(args.ID, args.Raft, args.Voter)
	}
	return nil
}

// OverviewArgs asks for one document with its text and history or, if Name is empty, for the latest
// revisions of all documents without their texts.
type OverviewArgs struct{ Name string }

// OverviewReply is what one machine knows, without asking the others.
type OverviewReply struct {
	Machine, State, Leader string
	Applied                uint64
	Lagging                bool
	Members                []string // id=raft address, with " (no vote)" after non-voters
	Names                  []NameView
}

// NameView is the state of a document.
type NameView struct {
	Latest   rollout.Revision   // its text is empty unless the document was asked for by name
	Coverage rollout.Coverage   // where it is in force
	History  []rollout.Revision // if it was asked for by name: the stored revisions, newest first
}

// Overview answers with what this machine knows.
func (s *Service) Overview(args OverviewArgs, reply *OverviewReply) (err error) {
	defer s.node.recoverPanic(&err)
	*reply, err = s.node.overview(args.Name)
	return err
}

// overview returns what this machine knows of a document, or of all if name is empty.
func (n *Node) overview(name string) (r OverviewReply, err error) {
	var names []rollout.Name
	if name != "" {
		parsed, err := rollout.ParseName(name)
		if err != nil {
			return r, err
		}
		names = []rollout.Name{parsed}
	}
	reports, now := n.reports(), time.Now().UnixMicro()
	r = OverviewReply{Machine: n.cfg.ID, State: n.Raft.State().String(), Leader: n.Leader()}
	for _, m := range n.Servers() {
		member := fmt.Sprintf("%s=%s", m.ID, m.Address)
		if m.Suffrage != raft.Voter {
			member += " (no vote)"
		}
		r.Members = append(r.Members, member)
	}
	n.fsm.mu.RLock()
	defer n.fsm.mu.RUnlock()
	state := n.fsm.state
	r.Applied, r.Lagging = state.Applied(), n.fsm.lagging
	if names == nil {
		names = state.Names()
	}
	for _, document := range names {
		latest, ok := state.Latest(document)
		if !ok {
			continue
		}
		v := NameView{Latest: latest,
			Coverage: rollout.ComputeCoverage(state, document, reports, now, n.settings.Fresh.Microseconds())}
		if name == "" {
			v.Latest.Text = nil
		} else {
			v.History = state.History(document)
		}
		r.Names = append(r.Names, v)
	}
	return r, nil
}
