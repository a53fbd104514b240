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

// The outcomes of a proposal, as a member answers them.
const (
	Committed = quorum.Committed // a quorum holds the entry; Reply.Result is what applying it gave
	NotLeader = quorum.NotLeader // not accepted; Reply.Leader is the leader's id
	NoQuorum  = quorum.NoQuorum  // not accepted, as no leader is known; retry after Reply.ComeBackMs
	Unknown   = quorum.Unknown   // accepted, but leadership was lost before the commit: it may yet be committed
	Refused   = quorum.Refused   // the entry can't be applied (promise.ErrEntry)
	Stale     = "stale"          // a claim by a ring older than the group's fence (promise.ErrStale)
)

// ProposeArgs is an entry for the log.
type ProposeArgs struct{ Entry promise.Entry }

// Reply is a member's answer to a proposal, a read or a membership change.
type Reply struct {
	Outcome    string
	Result     promise.Result
	Leader     string // the leader's id, if known
	ComeBackMs int64  // with NoQuorum and Unknown: ms after which a retry may succeed
	Error      string
}

// ReadArgs asks for the resolution of the call with this id.
type ReadArgs struct{ Call string }

// ReadReply is the answer to a linearizable read.
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
	Calls, Claims     int               // stored resolutions and claims
	Fence             uint64            // claims by rings of a lower version are refused
	Epoch             uint64            // of the plan of zones in force; 0: none
	Drained           []string          // the subjects of the drain orders in force
	Versions          map[string]string // by kind: plan, settings, routes
	Members           []string          // id=address, in the order of raft's configuration
}

// Service is a member's net/rpc service, named "Replica".
type Service struct{ node *Node }

// Propose appends an entry to the log and answers once a quorum holds it.
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

// replyFor returns an answer as it goes over the wire.
func replyFor(a quorum.Answer) Reply {
	return Reply{Outcome: a.Outcome, Leader: a.Leader, ComeBackMs: a.ComeBackMs, Error: a.Error}
}

// Read answers with a call's resolution after a barrier: every entry committed before the read is
// applied here, and this member was still the leader when the barrier was committed.
func (s *Service) Read(args ReadArgs, reply *ReadReply) error {
	if reply.Reply = replyFor(s.node.Barrier()); reply.Outcome == Committed {
		s.node.fsm.read(func(st *promise.State) { reply.Resolution, reply.Found = st.Resolution(args.Call) })
	}
	return nil
}

// Join adds a voter to the group.
func (s *Service) Join(args MemberArgs, reply *Reply) error {
	*reply = replyFor(s.node.Join(args.ID, args.Raft, true))
	return nil
}

// Remove removes a member from the group.
func (s *Service) Remove(args MemberArgs, reply *Reply) error {
	*reply = replyFor(s.node.Remove(args.ID))
	return nil
}

// Status answers with this member's view, without asking the others.
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

// Plan answers with the plan that this member has applied. It is committed, but may not be the
// newest: the caller can tell by the epoch.
func (s *Service) Plan(_ struct{}, reply *PlanReply) error {
	reply.Epoch, reply.Plan = s.node.Plan()
	return nil
}

// Serve serves net/rpc clients on the member's client address until the returned listener is closed.
func (n *Node) Serve() (net.Listener, error) {
	srv := rpc.NewServer()
	if err := srv.RegisterName("Replica", &Service{n}); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", n.cfg.Client)
	if err != nil {
		return nil, fmt.Errorf("field client: %w", err)
	}
	go func() { // not srv.Accept, which writes the close of the listener to the standard logger
		for {
			conn, err := ln.Accept()
			switch {
			case errors.Is(err, net.ErrClosed):
				return
			case err != nil: // most often out of file descriptors
				n.log.Warn("accept failed", "error", err)
				time.Sleep(10 * time.Millisecond)
			default:
				go srv.ServeConn(conn)
			}
		}
	}()
	return ln, nil
}
