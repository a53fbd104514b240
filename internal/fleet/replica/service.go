package replica

import (
	"errors"
	"fmt"
	"net"
	"net/rpc"
	"time"

	"woodrouter/internal/fleet/quorum"
	"woodrouter/promise"
)

// Outcomes of a proposal, as a member answers them.
const (
	Committed = quorum.Committed // a quorum holds it; Result says what stands
	NotLeader = quorum.NotLeader // not taken; Leader names whom to ask
	NoQuorum  = quorum.NoQuorum  // not taken: no leader is known; come back after ComeBackMs
	Unknown   = quorum.Unknown   // taken, but leadership was lost before a quorum was seen: it may stand
	Refused   = quorum.Refused   // the entry can't be applied (promise.ErrEntry), on every member alike
	Stale     = "stale"          // a claim by a ring older than the group's fence (promise.ErrStale)
)

// ProposeArgs is an entry for the log.
type ProposeArgs struct{ Entry promise.Entry }

// Reply is what a member answers a proposal or a read with.
type Reply struct {
	Outcome    string
	Result     promise.Result
	Leader     string // the leader's id where known
	ComeBackMs int64  // with NoQuorum and Unknown: when asking again may help
	Error      string
}

// ReadArgs asks for a call's resolution, read after all that was promised before the read.
type ReadArgs struct{ Call string }

// ReadReply is a linearizable read: Found and Resolution as the state had them.
type ReadReply struct {
	Reply
	Found      bool
	Resolution promise.Resolution
}

// MemberArgs names a member to add or remove.
type MemberArgs struct{ ID, Raft string }

// StatusReply is a member's view of the group.
type StatusReply struct {
	ID, State, Leader string
	Applied           uint64
	Calls, Claims     int
	Fence             uint64
	Epoch             uint64 // of the plan of zones in force; 0: none
	Drained           []string
	Versions          map[string]string // by kind: plan, settings, routes
	Members           []string          // id=address, in the configuration's order
}

// Service is a member's net/rpc service, named "Replica".
type Service struct{ node *Node }

// Propose puts an entry in the log and answers once a quorum has it.
func (s *Service) Propose(args ProposeArgs, reply *Reply) error {
	r, a, err := s.node.Propose(promise.Encode(args.Entry))
	*reply = replyFor(a)
	switch {
	case errors.Is(err, promise.ErrStale):
		reply.Outcome, reply.Error = Stale, err.Error()
	case err != nil:
		reply.Outcome, reply.Error = Refused, err.Error()
	case a.Outcome == Committed:
		reply.Result = r.(promise.Result)
	}
	return nil
}

// replyFor is an answer as it goes over the wire.
func replyFor(a quorum.Answer) Reply {
	return Reply{Outcome: a.Outcome, Leader: a.Leader, ComeBackMs: a.ComeBackMs, Error: a.Error}
}

// Read answers a call's resolution after a barrier: every entry promised before the read
// was applied here, and this member was still leader when the barrier committed.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	if reply.Reply = replyFor(s.node.Barrier()); reply.Outcome == Committed {
		s.node.fsm.read(func(st *promise.State) { reply.Resolution, reply.Found = st.Resolution(args.Call) })
	}
	return nil
}

// Join adds a voter through raft's membership change; Remove takes one out.
func (s *Service) Join(args MemberArgs, reply *Reply) error {
	*reply = replyFor(s.node.Join(args.ID, args.Raft, true))
	return nil
}

func (s *Service) Remove(args MemberArgs, reply *Reply) error {
	*reply = replyFor(s.node.Remove(args.ID))
	return nil
}

// Status tells this member's view, without asking the others.
func (s *Service) Status(_ struct{}, reply *StatusReply) error {
	reply.ID, reply.State, reply.Leader = s.node.cfg.ID, s.node.Raft.State().String(), s.node.Leader()
	s.node.fsm.read(func(st *promise.State) {
		reply.Applied, reply.Calls, reply.Claims, reply.Fence = st.Applied(), st.Calls(), st.Claims(), st.Fence()
		reply.Epoch, _ = st.Plan()
		reply.Drained, reply.Versions = st.DrainedServers(), st.Versions()
	})
	for _, m := range s.node.Servers() {
		reply.Members = append(reply.Members, fmt.Sprintf("%s=%s", m.ID, m.Address))
	}
	return nil
}

// PlanReply is a plan of zones as this member has applied it, and its epoch.
type PlanReply struct {
	Epoch uint64
	Plan  []byte
}

// Plan tells the plan that this member has applied. What it tells is committed; a newer one
// may be, too, which the asker knows by its epoch.
func (s *Service) Plan(_ struct{}, reply *PlanReply) error {
	reply.Epoch, reply.Plan = s.node.Plan()
	return nil
}

// Serve takes the member's callers on its client address until the listener closes.
func (n *Node) Serve() (net.Listener, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Replica", &Service{n}); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", n.cfg.Client)
	if err != nil {
		return nil, fmt.Errorf("field client: %w", err)
	}
	go func() { // not srv.Accept, which has the listener's end in the standard log
		for {
			conn, err := ln.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // out of descriptors, mostly
				n.log.Warn("accept failed", "error", err)
				time.Sleep(10 * time.Millisecond)
			default:
				go srv.ServeConn(conn)
			}
		}
	}()
	return ln, nil
}
