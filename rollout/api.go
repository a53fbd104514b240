// Package rollout distributes configuration changes to a fleet of call agents in stages. It decides which
// revision of which document an agent should have, when a change goes to the next stage, and when it is
// halted and the previous text restored. It also has the agent's side: which of the received documents are in
// force. The package uses no clock and no I/O: log entries come in as bytes in log order, reports and times
// as data.
//
// A document is identified by its kind (routes, failover, spread: the kinds that the agent's loaders know)
// and its scope (all agents, a region, a zone, a service, one agent). Of the documents of one kind, the one
// with the narrowest scope that contains an agent is in force there. Each change is a new revision. Revision
// numbers increase over all documents, and a number never belongs to two texts: a restored text gets a new
// number.
//
// State is the replicated state machine (state.go), StageController makes the leader's decisions about stages
// (steward.go), DocumentSet is the agent's side (held.go), and Coverage tells operators where a revision is
// in force (coverage.go). docs/rollout.md compares this design with others.
package rollout

import (
	"errors"
	"fmt"
	"strings"
)

// Limits of the stored documents.
const (
	MaxTextBytes       = 256 << 10 // bytes of a document's text
	MaxDocuments       = 1024      // document names, including removed documents
	MaxTotalBytes      = 32 << 20  // bytes of all stored texts, including former revisions
	MaxFormerRevisions = 16        // former revisions stored per document
)

// Agent identifies a call agent, as given by its own configuration.
type Agent struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
}

// Level is the width of a scope.
type Level string

// The levels, widest first. Of two documents of a kind the narrower one is in force.
const (
	LevelAll     Level = "all"
	LevelRegion  Level = "region"
	LevelZone    Level = "zone"
	LevelService Level = "service"
	LevelAgent   Level = "agent"
)

// Levels lists the levels, widest first.
var Levels = []Level{LevelAll, LevelRegion, LevelZone, LevelService, LevelAgent}

// Scope is the part of the fleet to which a document applies.
type Scope struct {
	Level Level  `json:"level"`
	Of    string `json:"of,omitempty"` // name of the region, zone, service or agent; "" for LevelAll
}

// Contains reports whether an agent is in the scope.
func (s Scope) Contains(a Agent) bool {
	switch s.Level {
	case LevelAll:
		return true
	case LevelRegion:
		return s.Of == a.Region
	case LevelZone:
		return s.Of == a.Zone
	case LevelService:
		return s.Of == a.Service
	case LevelAgent:
		return s.Of == a.Name
	}
	return false
}

// String returns the scope in the form that ParseName reads: "all", "zone/z1".
func (s Scope) String() string {
	if s.Level == LevelAll {
		return string(LevelAll)
	}
	return string(s.Level) + "/" + s.Of
}

// Name identifies a document.
type Name struct {
	Kind  string `json:"kind"`
	Scope Scope  `json:"scope"`
}

// String returns the name in the form that ParseName reads: "routes@all", "failover@zone/z1".
func (n Name) String() string { return n.Kind + "@" + n.Scope.String() }

// ErrName is returned for a document name that can't be parsed.
var ErrName = errors.New("rollout: name of a document")

// maxWordBytes limits each part of a document name.
const maxWordBytes = 128

// ParseName parses KIND@SCOPE, where SCOPE is "all" or LEVEL/NAME. Its errors wrap ErrName.
func ParseName(text string) (Name, error) {
	kind, scope, ok := strings.Cut(text, "@")
	if !ok || !isNamePart(kind) {
		return Name{}, fmt.Errorf("%w: %.80q is not KIND@SCOPE, as routes@all or spread@zone/z1", ErrName, text)
	}
	level, of, named := strings.Cut(scope, "/")
	n := Name{Kind: kind, Scope: Scope{Level: Level(level), Of: of}}
	if level == string(LevelAll) && !named {
		return n, nil
	}
	for _, l := range Levels[1:] {
		if string(l) == level && isNamePart(of) {
			return n, nil
		}
	}
	return Name{}, fmt.Errorf("%w: scope %.80q is none of all, region/NAME, zone/NAME, service/NAME, agent/NAME", ErrName, scope)
}

// isNamePart reports whether a text can be a part of a document name. Names are sent in console lines, so
// blanks and control characters are not allowed.
func isNamePart(s string) bool {
	return s != "" && len(s) <= maxWordBytes && strings.IndexFunc(s, func(r rune) bool {
		return r <= ' ' || r == '@' || r == 0x7f || r == '/'
	}) < 0
}

// Document is one revision of a document, as sent to agents.
type Document struct {
	Name     Name   `json:"name"`
	Revision uint64 `json:"revision"` // revision number, above 0
	Text     []byte `json:"text,omitempty"`
	Sum      uint64 `json:"sum"`               // xxhash64 of Text
	Removed  bool   `json:"removed,omitempty"` // no text any more; a wider document or own file applies
}

// Stage is the progress of a revision's rollout.
type Stage string

// The stages of a revision.
const (
	StageWaiting    Stage = "waiting"    // not started, possibly behind another revision of the document
	StageFirst      Stage = "first"      // at the first-stage agents of each service
	StageEverywhere Stage = "everywhere" // at all agents of its scope
	StageSuperseded Stage = "superseded" // replaced by a later revision, before or after its start
	StageHalted     Stage = "halted"     // given up at the first stage; the previous text was restored
)

// Revision is a change of a document, with its author and its progress.
type Revision struct {
	Document
	Base     uint64   `json:"base"` // the latest revision when it was written; 0: none
	Author   string   `json:"author"`
	AtUs     int64    `json:"at_us"` // time of the put, on the clock of the machine that was leader
	Stage    Stage    `json:"stage"`
	First    []string `json:"first,omitempty"`    // agents of its first stage, sorted
	Why      string   `json:"why,omitempty"`      // reason for a halt
	Restores uint64   `json:"restores,omitempty"` // the revision whose text it restores; 0: none
}

// Op is the operation of a log entry.
type Op string

// The operations.
const (
	OpPut     Op = "put"     // adds a revision if Base is the document's latest one
	OpStart   Op = "start"   // brings a waiting revision to the agents listed in First
	OpAdvance Op = "advance" // brings a revision from its first stage to all agents of its scope
	OpHalt    Op = "halt"    // gives up a first-stage revision and restores the previous text
)

// Entry is one log entry. Only the fields of its Op are read.
type Entry struct {
	Op   Op    `json:"op"`
	AtUs int64 `json:"at_us,omitempty"` // time of the proposal, on the proposer's clock
	// OpPut
	Name    Name   `json:"name"`
	Base    uint64 `json:"base,omitempty"` // latest revision that the author knows; 0: new document
	Text    []byte `json:"text,omitempty"`
	Remove  bool   `json:"remove,omitempty"`
	Restore uint64 `json:"restore,omitempty"` // use the text of this stored revision instead of Text
	Author  string `json:"author,omitempty"`
	// OpStart, OpAdvance, OpHalt
	Revision uint64   `json:"revision,omitempty"`
	First    []string `json:"first,omitempty"`
	Why      string   `json:"why,omitempty"`
}

// Result is the result of applying an entry, for its proposer.
type Result struct {
	// Revision is the number of the revision that was put, started or advanced; for OpHalt, of the restored
	// one.
	Revision uint64
	// Changed is false for an OpStart, OpAdvance or OpHalt that was already done or is obsolete.
	Changed bool
}

// ErrEntry is returned for an entry that can't be applied because it is malformed, too large or unknown. It
// changes nothing but the applied index, and every replica refuses it in the same way.
var ErrEntry = errors.New("rollout: entry")

// ErrConflict is returned for a put whose Base is not the document's latest revision, because someone else
// has changed the document since. The error names the latest revision and its author.
var ErrConflict = errors.New("rollout: changed by somebody else meanwhile")

// Refusal is an agent's NACK of one revision.
type Refusal struct {
	Name     Name   `json:"name"`
	Revision uint64 `json:"revision"`
	Why      string `json:"why"` // the loader's error with file, line and field, at most MaxWhyBytes
}

// MaxWhyBytes limits Refusal.Why.
const MaxWhyBytes = 400

// Report is an agent's latest report on itself, with the time at which a control machine received it.
type Report struct {
	Agent Agent `json:"agent"`
	// Life is the start time of the agent's process in Unix microseconds. Of two lives the later one counts.
	Life    int64             `json:"life"`
	Seq     uint64            `json:"seq"`               // increases within a life
	Seen    map[string]uint64 `json:"seen,omitempty"`    // latest accepted revision (ACK) by Name.String()
	InForce map[string]uint64 `json:"force,omitempty"`   // revision in force by kind; 0: own file or none
	Refused []Refusal         `json:"refused,omitempty"` // revisions that its loader refused (NACK)
	Calls   uint64            `json:"calls"`             // calls that ended since the process started
	Failed  uint64            `json:"failed"`            // those of Calls that failed or were refused
	AtUs    int64             `json:"at_us"`             // time of receipt, on the receiver's clock
	Machine string            `json:"machine,omitempty"` // the control machine that the agent watches
}

// After reports whether a report is newer than another one of the same agent.
func (r Report) After(o Report) bool {
	return r.Life > o.Life || r.Life == o.Life && r.Seq > o.Seq
}

// WatchArgs is an agent's watch request (long poll). It is answered when there is something new for the agent
// or when PatienceMs has passed.
type WatchArgs struct {
	Report     Report            // AtUs and Machine are set by the control machine
	Have       map[string]uint64 // latest received revision by Name.String(); empty: send all documents
	Version    uint64            // the highest version of an accepted reply from any machine
	PatienceMs int64             // how long to wait for a change, in milliseconds
}

// WatchReply is the reply to a watch request.
type WatchReply struct {
	Machine string
	// Version is the last log index that the machine has applied. If it is below the agent's own version, the
	// machine is out of date and the agent turns to another one.
	Version uint64
	// Lagging is set if the machine has had no contact with a leader for some time. What it sends is
	// committed but may be out of date. The agent continues to serve and asks another machine.
	Lagging bool
	// Whole is set if Docs has all documents that the agent should have; otherwise Docs has those that
	// changed.
	Whole bool
	Docs  []Document
	// AgainMs is the PatienceMs of the agent's next request, short during a first stage; 0: the agent's own
	// setting.
	AgainMs int64
}
