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
	mostWatchers  = 2000
	mostAnswering = 16               // looks at the state for watchers at once
	mostPatience  = 10 * time.Second // below idleTime
	mostWord      = 512              // bytes of a name in a report; rollout's are shorter
	mostKinds     = 64
	mostRefused   = 128
)

// firstAgain is the patience that agents of a first stage are asked to come back with, so that
// the steward hears how they fare; behindFor is how long a machine waits to catch up with what
// a watcher knows before it says that it is behind.
const (
	firstAgain = 250 * time.Millisecond
	behindFor  = 250 * time.Millisecond
)

var (
	errStopping = errors.New("control: this machine stops")
	errFull     = errors.New("control: too many watchers")
	errAsked    = errors.New("control: watch")
)

// Service is a control machine's net/rpc service, named "Rollout".
type Service struct{ n *Node }

// guard makes a fault of one answer an error of that answer: net/rpc would end the process.
func (n *Node) guard(err *error) {
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
	defer s.n.guard(&err)
	n := s.n
	if err := proveWatch(&call.WatchArgs); err != nil {
		return err
	}
	if n.watchers.Add(1) > mostWatchers {
		n.watchers.Add(-1)
		return errFull
	}
	defer n.watchers.Add(-1)
	call.Report.Machine = n.cfg.ID
	n.hear(call.Report)
	patience := time.NewTimer(min(time.Duration(max(call.PatienceMs, 0))*time.Millisecond, mostPatience))
	defer patience.Stop()
	for first := true; ; first = false {
		l := n.look(call, first)
		if first && l.behind && !call.from.behind.Swap(true) {
			patience.Reset(min(time.Duration(max(call.PatienceMs, 0))*time.Millisecond, behindFor))
		}
		over := false
		if !l.tell {
			select {
			case <-l.changed:
				continue
			case <-n.ctx.Done():
				return errStopping
			case <-call.from.gone:
				return errStopping
			case <-patience.C:
				over = true
			}
		}
		if over { // what came in the same moment is not to wait for the next watch
			l = n.look(call, false)
		}
		call.from.told.Store(l.reply.Lagging)
		*reply = l.reply
		return nil
	}
}

// look is what the state has for a watcher now.
type look struct {
	reply   rollout.WatchReply
	tell    bool // it is to be told at once
	behind  bool // the watcher knows more than this machine
	changed <-chan struct{}
}

func (n *Node) look(call *WatchCall, first bool) (l look) {
	n.answering <- struct{}{}
	defer func() { <-n.answering }()
	m := n.fsm
	m.mu.RLock()
	defer m.mu.RUnlock()
	agent := call.Report.Agent
	l.changed = m.changed
	// A process that was stopped may answer before watchLag has looked.
	lagging := m.lagging || n.deaf()
	l.reply = rollout.WatchReply{Machine: n.cfg.ID, Version: m.state.Applied(), Lagging: lagging}
	for _, d := range m.state.DocumentsFor(agent) {
		if d.Revision > call.Have[d.Name.String()] {
			l.reply.Docs = append(l.reply.Docs, d)
		}
	}
	if m.state.InFirstStage(agent) {
		l.reply.AgainMs = firstAgain.Milliseconds()
	}
	// An agent without anything hears all there is, if it be nothing, as soon as there is a log.
	l.reply.Whole = len(call.Have) == 0
	fresh := first && l.reply.Whole && call.Version == 0 && l.reply.Version > 0
	l.behind = call.Version > l.reply.Version
	l.tell = len(l.reply.Docs) > 0 || fresh || lagging != call.from.told.Load()
	return l
}

// proveWatch refuses what no agent says, so that it is kept by nobody; a refusal's words are
// cut to their bound.
func proveWatch(w *rollout.WatchArgs) error {
	r := &w.Report
	word := func(s string) bool { return len(s) <= mostWord }
	switch {
	case r.Agent.Name == "":
		return fmt.Errorf("%w: field report.agent.name: empty", errAsked)
	case !word(r.Agent.Name) || !word(r.Agent.Service) || !word(r.Agent.Zone) || !word(r.Agent.Region):
		return fmt.Errorf("%w: field report.agent: a name over %d bytes", errAsked, mostWord)
	case len(w.Have) > rollout.MaxDocuments || len(r.Seen) > rollout.MaxDocuments:
		return fmt.Errorf("%w: over %d documents", errAsked, rollout.MaxDocuments)
	case len(r.InForce) > mostKinds:
		return fmt.Errorf("%w: field report.force: over %d kinds", errAsked, mostKinds)
	case len(r.Refused) > mostRefused:
		return fmt.Errorf("%w: field report.refused: over %d", errAsked, mostRefused)
	}
	for _, names := range []map[string]uint64{w.Have, r.Seen, r.InForce} {
		for name := range names {
			if !word(name) {
				return fmt.Errorf("%w: a name over %d bytes", errAsked, mostWord)
			}
		}
	}
	for i, f := range r.Refused {
		if !word(f.Name.Kind) || !word(string(f.Name.Scope.Level)) || !word(f.Name.Scope.Of) {
			return fmt.Errorf("%w: field report.refused[%d].name: over %d bytes", errAsked, i, mostWord)
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
	defer s.n.guard(&err)
	n, e := s.n, args.Entry
	if err := provePut(e); err != nil {
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

func provePut(e rollout.Entry) error {
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
		*reply = s.n.Remove(args.ID)
	} else {
		*reply = s.n.Join(args.ID, args.Raft, args.Voter)
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
	defer s.n.guard(&err)
	*reply, err = s.n.overview(args.Name)
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
