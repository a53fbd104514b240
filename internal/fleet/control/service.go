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

// Bounds of what agents may ask.
const (
	maxWatchers        = 2000
	maxConcurrentLooks = 16               // looks at the state for watchers at once
	maxPatience        = 10 * time.Second // below idleTime
	maxNameBytes       = 512              // bytes of a name in a report; rollout's are shorter
	maxKinds           = 64
	maxRefused         = 128
)

// firstAgain is the patience that agents of a first stage are asked to come back with, so that
// the steward hears how they fare; behindFor is how long a machine waits to catch up with what
// a watcher knows before it says that it is behind.
const (
	firstStagePatience = 250 * time.Millisecond
	catchUpWait        = 250 * time.Millisecond
)

var (
	errStopping        = errors.New("control: this machine stops")
	errTooManyWatchers = errors.New("control: too many watchers")
	errBadWatch        = errors.New("control: watch")
)

// Service is a control machine's net/rpc service, named "Rollout".
type Service struct{ node *Node }

// recoverPanic makes a fault of one answer an error of that answer: net/rpc would end the process.
func (n *Node) recoverPanic(err *error) {
	if r := recover(); r != nil {
		n.log.Error("panic in an answer", "reason", r, "stack", string(debug.Stack()))
		*err = errors.New("control: a fault of this machine")
	}
}

// WatchCall is a rollout.WatchArgs with the connection it came on.
type WatchCall struct {
	rollout.WatchArgs
	from *codec
}

// Watch takes an agent's report, and answers when there is something new for it, when this
// machine begins or ceases to lag, or when its patience ends. Nothing is kept for a watcher:
// what it gets is what it lacks when it is answered.
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
		l := n.watchStateFor(call, first)
		if first && l.behind && !call.from.reportedBehind.Swap(true) {
			patience.Reset(min(time.Duration(max(call.PatienceMs, 0))*time.Millisecond, catchUpWait))
		}
		over := false
		if !l.answerNow {
			select {
			case <-l.changed:
				continue
			case <-n.ctx.Done():
				return errStopping
			case <-call.from.readEnded:
				return errStopping
			case <-patience.C:
				over = true
			}
		}
		if over { // what came in the same moment is not to wait for the next watch
			l = n.watchStateFor(call, false)
		}
		call.from.reportedLagging.Store(l.reply.Lagging)
		*reply = l.reply
		return nil
	}
}

// watchState is what the state has for a watcher now.
type watchState struct {
	reply     rollout.WatchReply
	answerNow bool // it is to be told at once
	behind    bool // the watcher knows more than this machine
	changed   <-chan struct{}
}

func (n *Node) watchStateFor(call *WatchCall, first bool) (l watchState) {
	n.lookSlots <- struct{}{}
	defer func() { <-n.lookSlots }()
	m := n.fsm
	m.mu.RLock()
	defer m.mu.RUnlock()
	agent := call.Report.Agent
	l.changed = m.changed
	// A process that was stopped may answer before watchLag has looked.
	lagging := m.lagging || n.outOfContact()
	l.reply = rollout.WatchReply{Machine: n.cfg.ID, Version: m.state.Applied(), Lagging: lagging}
	for _, d := range m.state.DocumentsFor(agent) {
		if d.Revision > call.Have[d.Name.String()] {
			l.reply.Docs = append(l.reply.Docs, d)
		}
	}
	if m.state.InFirstStage(agent) {
		l.reply.AgainMs = firstStagePatience.Milliseconds()
	}
	// An agent without anything hears all there is, if it be nothing, as soon as there is a log.
	l.reply.Whole = len(call.Have) == 0
	fresh := first && l.reply.Whole && call.Version == 0 && l.reply.Version > 0
	l.behind = call.Version > l.reply.Version
	l.answerNow = len(l.reply.Docs) > 0 || fresh || lagging != call.from.reportedLagging.Load()
	return l
}

// checkWatch refuses what no agent says, so that it is kept by nobody; a refusal's words are
// cut to their bound.
func checkWatch(w *rollout.WatchArgs) error {
	r := &w.Report
	word := func(s string) bool { return len(s) <= maxNameBytes }
	switch {
	case r.Agent.Name == "":
		return fmt.Errorf("%w: field report.agent.name: empty", errBadWatch)
	case !word(r.Agent.Name) || !word(r.Agent.Service) || !word(r.Agent.Zone) || !word(r.Agent.Region):
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
			if !word(name) {
				return fmt.Errorf("%w: a name over %d bytes", errBadWatch, maxNameBytes)
			}
		}
	}
	for i, f := range r.Refused {
		if !word(f.Name.Kind) || !word(string(f.Name.Scope.Level)) || !word(f.Name.Scope.Of) {
			return fmt.Errorf("%w: field report.refused[%d].name: over %d bytes", errBadWatch, i, maxNameBytes)
		}
		r.Refused[i].Why = f.Why[:min(len(f.Why), rollout.MaxWhyBytes)]
	}
	return nil
}

// Conflict is the outcome of a put against another than the latest revision.
const Conflict = "conflict"

// PutArgs is a change; its entry's Op is OpPut.
type PutArgs struct{ Entry rollout.Entry }

// PutReply is what a machine answers a put with.
type PutReply struct {
	Outcome    string // quorum's, or Conflict
	Leader     string // the leader's id where known
	Error      string
	ComeBackMs int64
	Revision   uint64 // the number the change has
}

// Put has a change taken once a quorum holds it. Only the leader takes it. Whether the agents
// can use the text is for their loaders to say, at the first stage: a control machine knows
// neither their settings nor their files, and looks only whether it is YAML and not too large.
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
		n.log.Info("change taken", "document", e.Name.String(), "revision", reply.Revision, "base", e.Base, "author", e.Author)
	}
	return nil
}

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
	var any any
	if err := yamlfile.Decode(e.Text, &any); err != nil {
		return fmt.Errorf("%w: field text: %w", rollout.ErrEntry, err)
	}
	return nil
}

// MemberArgs has a machine leave the group, or, where Raft is its address, come into it.
type MemberArgs struct {
	ID, Raft string
	Voter    bool
}

// Member changes the group. Only the leader does.
func (s *Service) Member(args MemberArgs, reply *quorum.Answer) error {
	if args.Raft == "" {
		*reply = s.node.Remove(args.ID)
	} else {
		*reply = s.node.Join(args.ID, args.Raft, args.Voter)
	}
	return nil
}

// OverviewArgs asks for one document's view, with its text and history, or ("") all heads.
type OverviewArgs struct{ Name string }

// OverviewReply is what a machine knows, without asking the others.
type OverviewReply struct {
	Machine, State, Leader string
	Applied                uint64
	Lagging                bool
	Members                []string // id=log address, with " (no vote)" for one without
	Names                  []NameView
}

// NameView is a document: its head, where it is in force, and, if asked for by name, the
// revisions that are kept, the newest first. Without a name texts are left out.
type NameView struct {
	Latest   rollout.Revision
	Coverage rollout.Coverage
	History  []rollout.Revision
}

// Overview tells what this machine knows.
func (s *Service) Overview(args OverviewArgs, reply *OverviewReply) (err error) {
	defer s.node.recoverPanic(&err)
	*reply, err = s.node.overview(args.Name)
	return err
}

func (n *Node) overview(name string) (r OverviewReply, err error) {
	var names []rollout.Name
	if name != "" {
		one, err := rollout.ParseName(name)
		if err != nil {
			return r, err
		}
		names = []rollout.Name{one}
	}
	reports, now := n.reports(), time.Now().UnixMicro()
	r = OverviewReply{Machine: n.cfg.ID, State: n.Raft.State().String(), Leader: n.Leader()}
	for _, m := range n.Servers() {
		text := fmt.Sprintf("%s=%s", m.ID, m.Address)
		if m.Suffrage != raft.Voter {
			text += " (no vote)"
		}
		r.Members = append(r.Members, text)
	}
	n.fsm.mu.RLock()
	defer n.fsm.mu.RUnlock()
	st := n.fsm.state
	r.Applied, r.Lagging = st.Applied(), n.fsm.lagging
	if names == nil {
		names = st.Names()
	}
	for _, at := range names {
		head, ok := st.Latest(at)
		if !ok {
			continue
		}
		v := NameView{Latest: head, Coverage: rollout.ComputeCoverage(st, at, reports, now, n.settings.Fresh.Microseconds())}
		if name == "" {
			v.Latest.Text = nil
		} else {
			v.History = st.History(at)
		}
		r.Names = append(r.Names, v)
	}
	return r, nil
}
