// Package promise is the replicated state machine of the call agents. It stores what an agent has promised
// its callers and operators, so that nothing is lost with the agent's machine and disk. It is deterministic
// and uses no clock and no I/O: entries come in as bytes in log order, each is applied once, and every
// replica that has applied the same prefix holds the same state (Schneider, "Implementing fault-tolerant
// services using the state machine approach", ACM Computing Surveys 22(4), 1990).
//
// A replica stores (docs/replication.md):
//   - the claim of a call: only the claiming agent sends its set-ups. A second agent that is asked for a
//     claimed call closes it (refused, with a time to come back) and sends nothing. So there is never a
//     second copy, whether the first agent is dead, cut off or only slow;
//   - the resolution of a call: its final answer with the setup server's description, the server that took
//     the set-up, and for a refusal the time to come back. The first resolution of a call is final. A later
//     one is answered with the first, so a caller who asks again gets the same answer from any replica;
//   - that a call which stood is over;
//   - drain and undrain orders by setup server or agent;
//   - the versions of the applied plan, settings and routes file;
//   - circuit states by CIC;
//   - the plan of zone failover (package failover).
//
// Times are data, in microseconds on the proposer's clock. Records are removed only by an OpExpire entry,
// which the leader proposes. Claims need no clock either: a claim never times out and is never taken over,
// only closed.
package promise

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Op is the operation of an entry.
type Op string

// The operations.
const (
	OpClaim   Op = "claim"   // gives one agent the sole right to send a call's set-ups
	OpResolve Op = "resolve" // sets a call's final answer
	OpEnd     Op = "end"     // marks a call that stood as over
	OpDrain   Op = "drain"   // stops new calls to a setup server or agent
	OpUndrain Op = "undrain" // allows them again
	OpVersion Op = "version" // records that a plan, settings or routes file was applied
	OpCircuit Op = "circuit" // sets the state of a circuit, by CIC
	OpExpire  Op = "expire"  // removes claims and resolutions from before a time
	OpFence   Op = "fence"   // refuses claims made under rings older than Ring
	OpPlan    Op = "zones"   // sets the plan of zone failover (package failover)
)

// The final answers of a call, as in the wire protocol (WIRE page: outcome, not_now, abort).
const (
	AnswerServed  = "served"
	AnswerRefused = "refused" // with ComeBackUs if the settings allow it to be sent
	AnswerFailed  = "failed"
)

// MaxDescriptionBytes limits the description of a served call. A message of the platform's protocol has at
// most 16 KiB.
const MaxDescriptionBytes = 16 << 10

// MaxPlanBytes limits a plan of zone failover. It is enough for some hundred zones.
const MaxPlanBytes = 64 << 10

// Entry is one log entry. Only the fields of its Op are read.
type Entry struct {
	Op Op `json:"op"`
	// OpClaim, OpResolve, OpEnd
	Call string `json:"call,omitempty"`  // the call's id, unique per caller
	AtUs int64  `json:"at_us,omitempty"` // time of the proposal, on the proposer's clock
	// OpClaim, OpResolve
	// Token identifies one offer of the call to one life of an agent. A resolution has to have the token of
	// the call's claim.
	Token string `json:"token,omitempty"`
	// ComeBackUs is how long after a refusal the caller should ask again, in microseconds; 0: not given. In a
	// claim it is the value to use if the claim closes the call.
	ComeBackUs int64 `json:"come_back_us,omitempty"`
	// OpClaim, OpFence
	Ring uint64 `json:"ring,omitempty"` // version of the proposer's ring (package shard)
	// OpResolve
	Answer      string `json:"answer,omitempty"`      // AnswerServed, AnswerRefused or AnswerFailed
	Description []byte `json:"description,omitempty"` // of a served call, as received from the setup server
	Server      string `json:"server,omitempty"`      // server that took the set-up; "" if none was sent
	// OpDrain, OpUndrain: Server above has the setup server's name, or "agent/NAME"
	// OpVersion
	Kind    string `json:"kind,omitempty"`    // "plan", "settings" or "routes"
	Version string `json:"version,omitempty"` // digest of the applied file
	// OpCircuit
	CIC   int    `json:"cic,omitempty"`
	State string `json:"state,omitempty"` // a state name of internal/circuit
	// OpPlan: applied only if Epoch is the current one plus 1, so that of two concurrent plans only one is
	// applied
	Epoch uint64          `json:"epoch,omitempty"`
	Plan  json.RawMessage `json:"plan,omitempty"`
	// OpExpire
	BeforeUs int64 `json:"before_us,omitempty"` // records with an earlier time are removed
}

// Resolution is the final answer of a call.
type Resolution struct {
	Answer      string `json:"answer"`
	Description []byte `json:"description,omitempty"`
	Server      string `json:"server,omitempty"`
	ComeBackUs  int64  `json:"come_back_us,omitempty"`
	AtUs        int64  `json:"at_us"`
	Index       uint64 `json:"index"`          // log index of the entry that set it
	Over        bool   `json:"over,omitempty"` // the call stood and is over
}

// Claim is the sole right to send a call's set-ups until the call is resolved.
type Claim struct {
	Token string `json:"token"`
	AtUs  int64  `json:"at_us"`
}

// Result is the result of applying an entry, for its proposer.
type Result struct {
	// Resolution is the first and final one of the call. It is set for OpResolve, and for OpClaim if Resolved
	// is.
	Resolution Resolution
	First      bool // OpResolve, OpPlan: this entry took effect; false: an earlier one did
	Claimed    bool // OpClaim: the proposer alone may send the call's set-ups
	Resolved   bool // OpClaim: the call already has its final answer; no set-up may be sent
	Forgotten  int  // OpExpire: number of claims and resolutions removed
}

// ErrEntry is returned for an entry that can't be applied because it is malformed or unknown. It changes
// nothing but the applied index, and every replica refuses it in the same way.
var ErrEntry = errors.New("promise: entry")

// ErrStale is returned for a claim made under an older ring than the group's fence. It changes nothing but
// the applied index; the proposer has to load the newer ring before it can claim.
var ErrStale = errors.New("promise: ring older than the fence")

// State is the replicated state. Use New to create one; the zero value is not usable.
type State struct {
	applied  uint64
	fence    uint64
	claims   map[string]Claim      // by call id, of calls without a resolution
	calls    map[string]Resolution // by call id
	ages     ageIndex              // of claims and calls
	drained  map[string]bool
	versions map[string]string
	circuits map[int]string
	epoch    uint64 // of plan; 0: no plan yet
	plan     []byte
}

// New returns the empty state, at index 0.
func New() *State {
	return &State{claims: map[string]Claim{}, calls: map[string]Resolution{}, ages: ageIndex{}, drained: map[string]bool{},
		versions: map[string]string{}, circuits: map[int]string{}}
}

// Encode returns an entry's bytes in the log.
func Encode(e Entry) []byte {
	b, _ := json.Marshal(e) // a struct of strings and numbers always marshals
	return b
}

// Apply applies the log entry at index. Entries must be applied in log order. An index at or below the last
// applied one is refused without any change, so a replayed entry is harmless. A malformed entry is refused
// with an ErrEntry that names the byte or field, but its index counts as applied: the entry is in the log,
// and every replica has to skip it in the same way.
func (s *State) Apply(index uint64, data []byte) (Result, error) {
	if index <= s.applied {
		return Result{}, fmt.Errorf("%w: index %d already applied (at %d)", ErrEntry, index, s.applied)
	}
	s.applied = index
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Result{}, fmt.Errorf("%w %d: %v", ErrEntry, index, describeJSONError(data, err))
	}
	if err := e.validate(); err != nil {
		return Result{}, fmt.Errorf("%w %d: %v", ErrEntry, index, err)
	}
	return s.apply(index, e)
}

// apply applies a valid entry.
func (s *State) apply(index uint64, e Entry) (Result, error) {
	switch e.Op {
	case OpClaim:
		return s.claim(index, e)
	case OpResolve:
		return s.resolve(index, e)
	case OpEnd:
		if r, ok := s.calls[e.Call]; ok {
			r.Over = true
			s.calls[e.Call] = r
		}
	case OpDrain:
		s.drained[e.Server] = true
	case OpUndrain:
		delete(s.drained, e.Server)
	case OpVersion:
		s.versions[e.Kind] = e.Version
	case OpCircuit:
		s.circuits[e.CIC] = e.State
	case OpExpire:
		return Result{Forgotten: s.expire(e.BeforeUs)}, nil
	case OpFence:
		s.fence = max(s.fence, e.Ring)
	case OpPlan:
		if e.Epoch != s.epoch+1 {
			return Result{}, nil
		}
		s.epoch, s.plan = e.Epoch, e.Plan
		return Result{First: true}, nil
	}
	return Result{}, nil
}

// claim gives the call to its first claimant. A repeated claim with the same token has no effect, so that a
// proposer can retry when it does not know whether its entry was applied. A claim with a different token
// closes the call: the first claimant may have sent a set-up already, so no further one may be sent.
func (s *State) claim(index uint64, e Entry) (Result, error) {
	if r, ok := s.calls[e.Call]; ok {
		return Result{Resolution: r, Resolved: true}, nil
	}
	existing, ok := s.claims[e.Call]
	switch {
	case ok && existing.Token == e.Token:
		return Result{Claimed: true}, nil
	case ok:
		r := s.recordResolution(e.Call, Resolution{Answer: AnswerRefused, ComeBackUs: e.ComeBackUs, AtUs: e.AtUs, Index: index})
		return Result{Resolution: r, Resolved: true}, nil
	case e.Ring < s.fence:
		return Result{}, fmt.Errorf("%w: ring %d, fence %d", ErrStale, e.Ring, s.fence)
	}
	s.claims[e.Call] = Claim{Token: e.Token, AtUs: e.AtUs}
	s.ages.add(e.AtUs, e.Call)
	return Result{Claimed: true}, nil
}

// resolve sets the call's final answer. If the call has one already, for example because its claim was
// closed, the result has that one. A call that is claimed with a different token is refused.
func (s *State) resolve(index uint64, e Entry) (Result, error) {
	if r, ok := s.calls[e.Call]; ok {
		return Result{Resolution: r}, nil
	}
	if existing, ok := s.claims[e.Call]; ok && existing.Token != e.Token {
		return Result{}, fmt.Errorf("%w %d: field token: the call is claimed by another", ErrEntry, index)
	}
	r := s.recordResolution(e.Call, Resolution{Answer: e.Answer, Description: e.Description, Server: e.Server,
		ComeBackUs: e.ComeBackUs, AtUs: e.AtUs, Index: index})
	return Result{Resolution: r, First: true}, nil
}

// recordResolution replaces a call's claim by its first resolution.
func (s *State) recordResolution(call string, r Resolution) Resolution {
	delete(s.claims, call)
	s.calls[call] = r
	s.ages.add(r.AtUs, call)
	return r
}

// expire removes the claims and resolutions that were made before a time and returns their number.
func (s *State) expire(beforeUs int64) (n int) {
	s.ages.forEachOlder(beforeUs, func(call string) {
		if c, ok := s.claims[call]; ok && c.AtUs < beforeUs {
			delete(s.claims, call)
			n++
		}
		if r, ok := s.calls[call]; ok && r.AtUs < beforeUs {
			delete(s.calls, call)
			n++
		}
	})
	return n
}

// validate returns an error that names the first invalid field of an entry.
func (e Entry) validate() error {
	switch e.Op {
	case OpClaim, OpResolve, OpEnd:
		switch {
		case e.Call == "":
			return errors.New("field call: empty")
		case e.ComeBackUs < 0:
			return fmt.Errorf("field come_back_us: %d is negative", e.ComeBackUs)
		case e.Op == OpClaim && e.Token == "":
			return errors.New("field token: empty; a claim names its offer")
		case e.Op != OpResolve:
			return nil
		case e.Answer != AnswerServed && e.Answer != AnswerRefused && e.Answer != AnswerFailed:
			return fmt.Errorf("field answer: %q is none of served, refused, failed", e.Answer)
		case e.Answer == AnswerServed && e.Server == "":
			return errors.New("field server: a served call names the server that took it")
		case len(e.Description) > MaxDescriptionBytes:
			return fmt.Errorf("field description: %d bytes, most %d", len(e.Description), MaxDescriptionBytes)
		}
	case OpDrain, OpUndrain:
		if e.Server == "" {
			return errors.New("field server: empty")
		}
	case OpVersion:
		if e.Kind != "plan" && e.Kind != "settings" && e.Kind != "routes" {
			return fmt.Errorf("field kind: %q is none of plan, settings, routes", e.Kind)
		}
	case OpCircuit:
		if e.CIC < 0 || e.CIC > 1<<14-1 { // Q.763: a CIC has 12 bits, national use up to 14
			return fmt.Errorf("field cic: %d outside 0 to 16383", e.CIC)
		}
	case OpPlan:
		if len(e.Plan) == 0 || len(e.Plan) > MaxPlanBytes {
			return fmt.Errorf("field plan: %d bytes, 1 to %d", len(e.Plan), MaxPlanBytes)
		}
	case OpExpire, OpFence:
	default:
		return fmt.Errorf("field op: %q is no operation", e.Op)
	}
	return nil
}

// describeJSONError returns the text of a JSON error with its byte offset if known.
func describeJSONError(data []byte, err error) string {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return fmt.Sprintf("byte %d: %v", syntaxErr.Offset, err)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("field %s, byte %d: %v", typeErr.Field, typeErr.Offset, err)
	}
	return err.Error()
}

// Applied returns the index of the last applied entry.
func (s *State) Applied() uint64 { return s.applied }

// Resolution returns a call's final answer, if it has one.
func (s *State) Resolution(call string) (Resolution, bool) {
	r, ok := s.calls[call]
	return r, ok
}

// Claimed returns a call's claim, if it has one and is not resolved.
func (s *State) Claimed(call string) (Claim, bool) {
	c, ok := s.claims[call]
	return c, ok
}

// Fence returns the version of the oldest ring whose claims are accepted.
func (s *State) Fence() uint64 { return s.fence }

// Claims returns the number of stored claims.
func (s *State) Claims() int { return len(s.claims) }

// Drained reports whether a setup server or an agent ("agent/NAME") is drained.
func (s *State) Drained(server string) bool { return s.drained[server] }

// DrainedServers returns the sorted names of the drained setup servers and agents.
func (s *State) DrainedServers() []string {
	out := make([]string, 0, len(s.drained))
	for k := range s.drained {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Version returns the digest of the last applied file of a kind ("plan", "settings", "routes").
func (s *State) Version(kind string) string { return s.versions[kind] }

// Plan returns the current plan of zone failover, encoded as it was proposed, and its epoch; 0 and nil: none.
func (s *State) Plan() (epoch uint64, plan []byte) { return s.epoch, s.plan }

// Versions returns the digests of the last applied files, by kind.
func (s *State) Versions() map[string]string { return maps.Clone(s.versions) }

// Circuit returns the state of the circuit with the given CIC, or "" if none is stored.
func (s *State) Circuit(cic int) string { return s.circuits[cic] }

// Calls returns the number of stored resolutions.
func (s *State) Calls() int { return len(s.calls) }
