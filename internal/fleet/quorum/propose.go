package quorum

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"
)

// Outcomes of a proposal, as members answer them. A user may have further ones of its own,
// for entries that its machine refuses.
const (
	Committed = "promised"   // a quorum holds it; the word is from the first user
	NotLeader = "not-leader" // not taken; Leader names whom to ask
	NoQuorum  = "no-quorum"  // not taken: no leader is known; come back after ComeBackMs
	Unknown   = "unknown"    // taken, but leadership was lost before a quorum was seen: it may stand
	Refused   = "refused"    // the entry can't be applied, on every member alike
)

// Answer is what a member tells a proposer, apart from the machine's result.
type Answer struct {
	Outcome    string
	Leader     string // the leader's id where known
	ComeBackMs int64  // with NoQuorum and Unknown: when asking again may help
	Error      string
}

// applyTimeout bounds how long a proposal may wait for a quorum; a minority's leader steps
// down within its lease, long before.
const applyTimeout = 2 * time.Second

// Propose puts an entry in the log and returns once a quorum has it and the machine has
// applied it. Where the answer's outcome is not Committed nothing was applied as far as is
// known; err is the machine's refusal of an entry that is in the log.
func (m *Member) Propose(data []byte) (result any, a Answer, err error) {
	if a = m.CheckLeader(); a.Outcome != Committed {
		return nil, a, nil
	}
	f := m.Raft.Apply(data, applyTimeout)
	if a = m.AnswerForError(f.Error()); a.Outcome != Committed {
		return nil, a, nil
	}
	r := f.Response().(applyResult)
	return r.result, a, r.err
}

// Barrier returns once all that was committed before it is applied here, and this member was
// still the leader then.
func (m *Member) Barrier() Answer {
	if a := m.CheckLeader(); a.Outcome != Committed {
		return a
	}
	return m.AnswerForError(m.Raft.Barrier(applyTimeout).Error())
}

// Join has a leader add a member through raft's membership change; Remove takes one out.
func (m *Member) Join(id, address string, voter bool) Answer {
	if a := m.CheckLeader(); a.Outcome != Committed {
		return a
	}
	add := m.Raft.AddVoter
	if !voter {
		add = m.Raft.AddNonvoter
	}
	a := m.AnswerForError(add(raft.ServerID(id), raft.ServerAddress(address), 0, applyTimeout).Error())
	if a.Outcome == Committed {
		m.log.Info("member added", "member", id, "raft", address, "voter", voter)
	}
	return a
}

// Remove has a leader take a member out.
func (m *Member) Remove(id string) Answer {
	if a := m.CheckLeader(); a.Outcome != Committed {
		return a
	}
	a := m.AnswerForError(m.Raft.RemoveServer(raft.ServerID(id), 0, applyTimeout).Error())
	if a.Outcome == Committed {
		m.log.Info("member removed", "member", id)
	}
	return a
}

// CheckLeader is Committed where this member leads, and else what a proposer is told at once: a
// follower names the leader, a member that knows none tells when to come back. A minority
// never commits.
func (m *Member) CheckLeader() Answer {
	if m.Leading() {
		return Answer{Outcome: Committed}
	}
	if id := m.Leader(); id != "" {
		return Answer{Outcome: NotLeader, Leader: id}
	}
	return Answer{Outcome: NoQuorum, ComeBackMs: m.retryAfterMs()}
}

// retryAfterMs is when a new leader may be known: an election's time-out, twice, as raft draws
// each between one and two of them.
func (m *Member) retryAfterMs() int64 { return (2 * m.Timing.Election).Milliseconds() }

// AnswerForError words raft's error: not taken (no leader) or not known (leadership lost on the way).
func (m *Member) AnswerForError(err error) Answer {
	switch {
	case err == nil:
		return Answer{Outcome: Committed}
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout):
		return Answer{Outcome: NoQuorum, ComeBackMs: m.retryAfterMs(), Error: err.Error()}
	default: // ErrLeadershipLost, a time-out: the entry may yet be committed by the next leader
		return Answer{Outcome: Unknown, ComeBackMs: m.retryAfterMs(), Error: err.Error()}
	}
}

// Servers are the members of the group as this one knows them.
func (m *Member) Servers() []raft.Server {
	f := m.Raft.GetConfiguration()
	if f.Error() != nil {
		return nil
	}
	return f.Configuration().Servers
}
