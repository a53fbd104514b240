package quorum

import (
	"errors"
	"time"

	"github.com/hashicorp/raft"
)

// The outcomes of a proposal, as members answer them. Users of this package may define further ones
// for entries that their state machine refuses.
const (
	Committed = "promised"   // a quorum holds the entry; on the wire it keeps the name that promises gave it
	NotLeader = "not-leader" // not accepted; Answer.Leader is the leader's id
	NoQuorum  = "no-quorum"  // not accepted, as no leader is known; retry after Answer.ComeBackMs
	Unknown   = "unknown"    // accepted, but leadership was lost before the commit: it may yet be committed
	Refused   = "refused"    // the state machine refused the entry
)

// Answer is a member's answer to a proposal, without the state machine's result.
type Answer struct {
	Outcome    string
	Leader     string // the leader's id, if known
	ComeBackMs int64  // with NoQuorum and Unknown: ms after which a retry may succeed
	Error      string
}

// applyTimeout limits how long a proposal may wait for a quorum. A leader that loses its quorum
// steps down within its lease, much earlier.
const applyTimeout = 2 * time.Second

// Propose appends an entry to the log and returns once a quorum holds it and the state machine has
// applied it. If the answer's outcome is not Committed, the entry is not known to be applied. err is
// the state machine's refusal of an entry that is in the log. A minority of the members never commits an
// entry.
func (m *Member) Propose(data []byte) (result any, a Answer, err error) {
	if a = m.CheckLeader(); a.Outcome != Committed {
		return nil, a, nil
	}
	future := m.Raft.Apply(data, applyTimeout)
	if a = m.AnswerForError(future.Error()); a.Outcome != Committed {
		return nil, a, nil
	}
	applied := future.Response().(applyResult)
	return applied.result, a, applied.err
}

// Barrier returns Committed once all entries committed before the call are applied here, if this
// member was still the leader then.
func (m *Member) Barrier() Answer {
	if a := m.CheckLeader(); a.Outcome != Committed {
		return a
	}
	return m.AnswerForError(m.Raft.Barrier(applyTimeout).Error())
}

// Join adds a member to the group; only the leader can.
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

// Remove removes a member from the group; only the leader can.
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

// CheckLeader returns Committed if this member leads, or else the answer for a proposer: NotLeader
// with the leader's id, or, if no leader is known, NoQuorum with the time after which to retry.
func (m *Member) CheckLeader() Answer {
	if m.Leading() {
		return Answer{Outcome: Committed}
	}
	if id := m.Leader(); id != "" {
		return Answer{Outcome: NotLeader, Leader: id}
	}
	return Answer{Outcome: NoQuorum, ComeBackMs: m.retryAfterMs()}
}

// retryAfterMs is the time, in ms, after which a new leader may be known: two election timeouts, as
// raft picks each wait at random between one and two of them.
func (m *Member) retryAfterMs() int64 { return (2 * m.Timing.Election).Milliseconds() }

// AnswerForError returns the answer for an error of raft's: Committed for nil, NoQuorum if the
// entry was not accepted, and Unknown if it may yet be committed.
func (m *Member) AnswerForError(err error) Answer {
	switch {
	case err == nil:
		return Answer{Outcome: Committed}
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrEnqueueTimeout):
		return Answer{Outcome: NoQuorum, ComeBackMs: m.retryAfterMs(), Error: err.Error()}
	default: // ErrLeadershipLost or a timeout: the next leader may still commit the entry
		return Answer{Outcome: Unknown, ComeBackMs: m.retryAfterMs(), Error: err.Error()}
	}
}

// Servers returns the members of the group as known to this one, or nil if that can't be read.
func (m *Member) Servers() []raft.Server {
	future := m.Raft.GetConfiguration()
	if future.Error() != nil {
		return nil
	}
	return future.Configuration().Servers
}
