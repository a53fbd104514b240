// Package promise is the state that call agents replicate for one another: what an agent has
// promised its callers and its operators, so that the loss of its machine and disk loses none
// of it. It is a deterministic state machine with no clock and no I/O: the log's entries come
// in as bytes in log order, each is applied once, and every replica that has applied the same
// prefix holds the same state (the replicated state machine of Schneider, "Implementing
// fault-tolerant services using the state machine approach", ACM Computing Surveys 22(4), 1990).
//
// What is promised (docs/replication.md):
//   - a call's claim: one agent alone sends its set-ups. A second agent that is asked for a
//     claimed call closes it (refused, with when to come back) and sends nothing, so there is
//     never a second copy, whether the first agent is dead, cut off or only slow;
//   - a call's resolution: its final answer with the setup server's description, the server
//     that took the set-up, and for a refusal the time to come back. The first resolution of
//     a call stands; a later one for the same call is answered with the first, so a caller
//     who asks again hears the same answer from any replica;
//   - that a call which stood is over;
//   - drain and undrain orders by setup server or agent;
//   - the versions of the applied plan, settings and routes file;
//   - circuit states by CIC.
//
// Times are microseconds on the proposer's clock, carried as data: the machine never reads
// a clock. Records are forgotten only by an Expire entry, which the leader proposes.
// The order of claims needs no clock either: a claim is never taken over by time, only closed.
package promise

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// Op names what an entry does.
type Op string

const (
	OpClaim   Op = "claim"   // one agent alone may send a call's set-ups
	OpResolve Op = "resolve" // a call's final answer
	OpEnd     Op = "end"     // a call that stood is over
	OpDrain   Op = "drain"   // a setup server takes no new calls
	OpUndrain Op = "undrain" // it takes them again
	OpVersion Op = "version" // a plan, settings or routes file was applied
	OpCircuit Op = "circuit" // a circuit's state by CIC
	OpExpire  Op = "expire"  // forget claims and resolutions from before a time
	OpFence   Op = "fence"   // refuse claims made by an older ring than Ring
	OpPlan    Op = "zones"   // where each zone's calls go from an epoch on (package failover)
)

// Answers a call may end with; the wire's own words (WIRE page: outcome, not_now, abort).
const (
	AnswerServed  = "served"
	AnswerRefused = "refused" // with ComeBackUs where the settings allow telling when
	AnswerFailed  = "failed"
)

// MaxDescriptionBytes bounds a served call's description: a message of the platform's protocol
// holds 16 KiB at most.
const MaxDescriptionBytes = 16 << 10

// MaxPlanBytes bounds a plan of zones: some hundred zones fit.
const MaxPlanBytes = 64 << 10

// Entry is one log entry. Only the fields of its Op are read.
type Entry struct {
	Op Op `json:"op"`
	// OpClaim, OpResolve, OpEnd
	Call string `json:"call,omitempty"`  // the call's id, unique per caller
	AtUs int64  `json:"at_us,omitempty"` // when it was proposed, on the proposer's clock
	// OpClaim, OpResolve
	Token      string `json:"token,omitempty"`        // one offer of the call to one life of an agent; a resolution's must be its claim's
	ComeBackUs int64  `json:"come_back_us,omitempty"` // a refusal's time to come back, 0: none told; a claim's: if it closes the call
	// OpClaim, OpFence
	Ring uint64 `json:"ring,omitempty"` // version of the ring (package shard) the proposer found the group by
	// OpResolve
	Answer      string `json:"answer,omitempty"`      // AnswerServed, AnswerRefused or AnswerFailed
	Description []byte `json:"description,omitempty"` // a served call's, as the setup server gave it
	Server      string `json:"server,omitempty"`      // who took the set-up; "" for none sent on
	// OpDrain, OpUndrain; Server above, or "agent/NAME"
	// OpVersion
	Kind    string `json:"kind,omitempty"`    // "plan", "settings" or "routes"
	Version string `json:"version,omitempty"` // a digest of what was applied
	// OpCircuit
	CIC   int    `json:"cic,omitempty"`
	State string `json:"state,omitempty"` // as internal/circuit names it
	// OpPlan: taken where Epoch follows the one in force, so that of two deciders one is late
	Epoch uint64          `json:"epoch,omitempty"`
	Plan  json.RawMessage `json:"plan,omitempty"`
	// OpExpire: BeforeUs
	BeforeUs int64 `json:"before_us,omitempty"`
}

// Resolution is a call's promised end.
type Resolution struct {
	Answer      string `json:"answer"`
	Description []byte `json:"description,omitempty"`
	Server      string `json:"server,omitempty"`
	ComeBackUs  int64  `json:"come_back_us,omitempty"`
	AtUs        int64  `json:"at_us"`
	Index       uint64 `json:"index"`          // the log index that promised it
	Over        bool   `json:"over,omitempty"` // it stood, and is over
}

// Claim is who may send a call's set-ups until the call is resolved.
type Claim struct {
	Token string `json:"token"`
	AtUs  int64  `json:"at_us"`
}

// Result is what applying an entry tells its proposer.
type Result struct {
	// Resolution is the call's that stands, the first: for OpResolve always, for OpClaim
	// where Resolved is set.
	Resolution Resolution
	First      bool // OpResolve, OpPlan: this entry made it; false: an earlier one stands
	Claimed    bool // OpClaim: the proposer, and nobody else, may send the call's set-ups
	Resolved   bool // OpClaim: the call has its final answer; nothing may be sent
	Forgotten  int  // OpExpire: how many claims and resolutions were forgotten
}

// ErrEntry is an entry that can't be applied: malformed, or unknown. Applying it changes
// nothing, and every replica refuses it alike.
var ErrEntry = errors.New("promise: entry")

// ErrStale is a claim made by an older ring than the group's fence: the proposer must take the
// newer ring before it may claim. It changes nothing.
var ErrStale = errors.New("promise: ring older than the fence")

// State is the replicated state. The zero value is not ready; use New.
type State struct {
	applied  uint64
	fence    uint64
	claims   map[string]Claim // of calls without a resolution
	calls    map[string]Resolution
	ages     ageIndex // of both
	drained  map[string]bool
	versions map[string]string
	circuits map[int]string
	epoch    uint64 // of the plan in force; 0: none yet
	plan     []byte
}

// New returns the empty state, at index 0.
func New() *State {
	return &State{claims: map[string]Claim{}, calls: map[string]Resolution{}, ages: ageIndex{}, drained: map[string]bool{},
		versions: map[string]string{}, circuits: map[int]string{}}
}

// Encode is an entry's bytes in the log.
func Encode(e Entry) []byte {
	b, _ := json.Marshal(e) // a struct of strings and numbers always marshals
	return b
}

// Apply applies the entry at index; entries must come in log order, each once. An index at
// or below the last applied one is refused without change, so a replayed entry is harmless.
// A malformed entry is refused with ErrEntry naming the byte or field, and the index still
// counts as applied: the log holds it, and every replica must skip it the same way.
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

// claim gives the call to its first claimant. The same token claims again without effect, so
// a proposer that does not know whether its entry stands proposes it again. Another token
// closes the call: whoever held it may have a set-up out, so nothing more may be sent.
func (s *State) claim(index uint64, e Entry) (Result, error) {
	if r, ok := s.calls[e.Call]; ok {
		return Result{Resolution: r, Resolved: true}, nil
	}
	held, ok := s.claims[e.Call]
	switch {
	case ok && held.Token == e.Token:
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

// resolve gives the call its final answer, unless it has one. A claim that another holds, or
// one that was closed, leaves the proposer with what stands.
func (s *State) resolve(index uint64, e Entry) (Result, error) {
	if r, ok := s.calls[e.Call]; ok {
		return Result{Resolution: r}, nil
	}
	if held, ok := s.claims[e.Call]; ok && held.Token != e.Token {
		return Result{}, fmt.Errorf("%w %d: field token: the call is claimed by another", ErrEntry, index)
	}
	r := s.recordResolution(e.Call, Resolution{Answer: e.Answer, Description: e.Description, Server: e.Server,
		ComeBackUs: e.ComeBackUs, AtUs: e.AtUs, Index: index})
	return Result{Resolution: r, First: true}, nil
}

// recordResolution enters a call's first resolution in place of its claim.
func (s *State) recordResolution(call string, r Resolution) Resolution {
	delete(s.claims, call)
	s.calls[call] = r
	s.ages.add(r.AtUs, call)
	return r
}

// expire forgets what is older than a time: claims by when they were made, resolutions by
// when they were.
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

// validate names the first field of an entry that can't be applied.
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

// describeJSONError words a JSON error with the byte it stands at.
func describeJSONError(data []byte, err error) string {
	var syn *json.SyntaxError
	if errors.As(err, &syn) {
		return fmt.Sprintf("byte %d: %v", syn.Offset, err)
	}
	var typ *json.UnmarshalTypeError
	if errors.As(err, &typ) {
		return fmt.Sprintf("field %s, byte %d: %v", typ.Field, typ.Offset, err)
	}
	return err.Error()
}

// Applied is the index of the last entry applied.
func (s *State) Applied() uint64 { return s.applied }

// Resolution returns a call's promised end, if it has one.
func (s *State) Resolution(call string) (Resolution, bool) {
	r, ok := s.calls[call]
	return r, ok
}

// Claimed returns who may send a call's set-ups, if anyone.
func (s *State) Claimed(call string) (Claim, bool) {
	c, ok := s.claims[call]
	return c, ok
}

// Fence is the oldest ring whose claims are taken.
func (s *State) Fence() uint64 { return s.fence }

// Claims is how many claims without a resolution are held.
func (s *State) Claims() int { return len(s.claims) }

// Drained tells whether a setup server or an agent ("agent/NAME") is under a drain order.
func (s *State) Drained(server string) bool { return s.drained[server] }

// DrainedServers lists the servers under a drain order, in order.
func (s *State) DrainedServers() []string {
	out := make([]string, 0, len(s.drained))
	for k := range s.drained {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// Version is the digest last applied of a kind ("plan", "settings", "routes").
func (s *State) Version(kind string) string { return s.versions[kind] }

// Plan is the plan of zones in force, as its decider worded it, and its epoch; 0 and nil: none.
func (s *State) Plan() (epoch uint64, plan []byte) { return s.epoch, s.plan }

// Versions are the digests last applied, by kind.
func (s *State) Versions() map[string]string { return maps.Clone(s.versions) }

// Circuit is a circuit's state by CIC; "" where none was promised.
func (s *State) Circuit(cic int) string { return s.circuits[cic] }

// Calls is how many resolutions are held.
func (s *State) Calls() int { return len(s.calls) }
