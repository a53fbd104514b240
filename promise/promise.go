// Package promise is the state that call agents replicate for one another: what an agent has
// promised its callers and its operators, so that the loss of its machine and disk loses none
// of it. It is a deterministic state machine with no clock and no I/O: the log's entries come
// in as bytes in log order, each is applied once, and every replica that has applied the same
// prefix holds the same state (the replicated state machine of Schneider, "Implementing
// fault-tolerant services using the state machine approach", ACM Computing Surveys 22(4), 1990).
//
// What is promised (docs/replication.md):
//   - a call's resolution: its final answer, the setup server that took the set-up, and for a
//     refusal the time to come back. The first resolution of a call stands; a later one for
//     the same call is answered with the first, so no second copy of a set-up is ever sent
//     and a caller who asks again hears the same answer from any replica;
//   - drain and undrain orders by setup server;
//   - the versions of the applied plan, settings and routes file;
//   - circuit states by CIC.
//
// Times are microseconds on the proposer's clock, carried as data: the machine never reads
// a clock. Records are forgotten only by an Expire entry, which the leader proposes.
package promise

import (
	"encoding/json"
	"errors"
	"fmt"
	"slices"
)

// Op names what an entry does.
type Op string

const (
	OpResolve Op = "resolve" // a call's final answer
	OpDrain   Op = "drain"   // a setup server takes no new calls
	OpUndrain Op = "undrain" // it takes them again
	OpVersion Op = "version" // a plan, settings or routes file was applied
	OpCircuit Op = "circuit" // a circuit's state by CIC
	OpExpire  Op = "expire"  // forget resolutions that ended before a time
)

// Answers a call may end with; the wire's own words (WIRE page: outcome, not_now, abort).
const (
	AnswerServed  = "served"
	AnswerRefused = "refused" // with ComeBackUs where the settings allow telling when
	AnswerFailed  = "failed"
)

// Entry is one log entry. Only the fields of its Op are read.
type Entry struct {
	Op Op `json:"op"`
	// OpResolve
	Call       string `json:"call,omitempty"`         // the call's id, unique per caller
	Answer     string `json:"answer,omitempty"`       // AnswerServed, AnswerRefused or AnswerFailed
	Server     string `json:"server,omitempty"`       // who took the set-up; "" for none sent on
	ComeBackUs int64  `json:"come_back_us,omitempty"` // a refusal's time to come back, 0: none told
	AtUs       int64  `json:"at_us,omitempty"`        // when it was resolved, on the proposer's clock
	// OpDrain, OpUndrain; Server above
	// OpVersion
	Kind    string `json:"kind,omitempty"`    // "plan", "settings" or "routes"
	Version string `json:"version,omitempty"` // a digest of what was applied
	// OpCircuit
	CIC   int    `json:"cic,omitempty"`
	State string `json:"state,omitempty"` // as internal/circuit names it
	// OpExpire: BeforeUs
	BeforeUs int64 `json:"before_us,omitempty"`
}

// Resolution is a call's promised end.
type Resolution struct {
	Answer     string `json:"answer"`
	Server     string `json:"server,omitempty"`
	ComeBackUs int64  `json:"come_back_us,omitempty"`
	AtUs       int64  `json:"at_us"`
	Index      uint64 `json:"index"` // the log index that promised it
}

// Result is what applying an entry tells its proposer.
type Result struct {
	Resolution Resolution // OpResolve: the resolution that stands, the first of the call
	First      bool       // OpResolve: this entry made it; false: an earlier one stands
	Forgotten  int        // OpExpire: how many resolutions were forgotten
}

// ErrEntry is an entry that can't be applied: malformed, or unknown. Applying it changes
// nothing, and every replica refuses it alike.
var ErrEntry = errors.New("promise: entry")

// State is the replicated state. The zero value is not ready; use New.
type State struct {
	applied  uint64
	calls    map[string]Resolution
	drained  map[string]bool
	versions map[string]string
	circuits map[int]string
}

// New returns the empty state, at index 0.
func New() *State {
	return &State{calls: map[string]Resolution{}, drained: map[string]bool{},
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
		return Result{}, fmt.Errorf("%w %d: %v", ErrEntry, index, describe(data, err))
	}
	if err := e.valid(); err != nil {
		return Result{}, fmt.Errorf("%w %d: %v", ErrEntry, index, err)
	}
	return s.apply(index, e), nil
}

func (s *State) apply(index uint64, e Entry) Result {
	switch e.Op {
	case OpResolve:
		if r, ok := s.calls[e.Call]; ok {
			return Result{Resolution: r}
		}
		r := Resolution{Answer: e.Answer, Server: e.Server, ComeBackUs: e.ComeBackUs, AtUs: e.AtUs, Index: index}
		s.calls[e.Call] = r
		return Result{Resolution: r, First: true}
	case OpDrain:
		s.drained[e.Server] = true
	case OpUndrain:
		delete(s.drained, e.Server)
	case OpVersion:
		s.versions[e.Kind] = e.Version
	case OpCircuit:
		s.circuits[e.CIC] = e.State
	case OpExpire:
		n := 0
		for id, r := range s.calls {
			if r.AtUs < e.BeforeUs {
				delete(s.calls, id)
				n++
			}
		}
		return Result{Forgotten: n}
	}
	return Result{}
}

// valid names the first field of an entry that can't be applied.
func (e Entry) valid() error {
	switch e.Op {
	case OpResolve:
		switch {
		case e.Call == "":
			return errors.New("field call: empty")
		case e.Answer != AnswerServed && e.Answer != AnswerRefused && e.Answer != AnswerFailed:
			return fmt.Errorf("field answer: %q is none of served, refused, failed", e.Answer)
		case e.Answer == AnswerServed && e.Server == "":
			return errors.New("field server: a served call names the server that took it")
		case e.ComeBackUs < 0:
			return fmt.Errorf("field come_back_us: %d is negative", e.ComeBackUs)
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
	case OpExpire:
	default:
		return fmt.Errorf("field op: %q is no operation", e.Op)
	}
	return nil
}

// describe words a JSON error with the byte it stands at.
func describe(data []byte, err error) string {
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

// Drained tells whether a setup server is under a drain order.
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

// Circuit is a circuit's state by CIC; "" where none was promised.
func (s *State) Circuit(cic int) string { return s.circuits[cic] }

// Calls is how many resolutions are held.
func (s *State) Calls() int { return len(s.calls) }
