// Package rollout decides how changes of configuration reach a fleet of call agents: which
// revision of which document an agent should have, by which stages a change goes, when it is
// halted and the former text restored, and what an agent makes of what it is told. It has no
// clock and no I/O: the log's entries come in as bytes in log order, reports and times as data.
//
// A document is named by its kind (routes, failover, spread: what the agent's loaders know) and
// its scope (all agents, a region, a zone, a service, one agent); of the documents of one kind
// the one of the narrowest scope that holds an agent is in force there. Each change is a new
// revision under a number that rises over all documents, and one number never stands for two
// texts: what is taken back comes again under a number of its own.
//
// The parts: State is the replicated state machine (state.go), Steward is the leader's decision
// about stages (steward.go), Held is an agent's side (held.go), Coverage tells operators what is
// in force where (coverage.go). docs/rollout.md weighs the ways.
package rollout

import (
	"errors"
	"fmt"
	"strings"
)

// Bounds of what may be kept.
const (
	MaxTextBytes       = 256 << 10 // bytes of a document
	MaxDocuments       = 1024      // names, removed ones among them
	MaxTotalBytes      = 32 << 20  // bytes of all texts that are kept, history among them
	MaxFormerRevisions = 16        // former revisions kept of a document
)

// Agent is who a call agent is, by its own configuration.
type Agent struct {
	Name    string `json:"name"`
	Service string `json:"service,omitempty"`
	Zone    string `json:"zone,omitempty"`
	Region  string `json:"region,omitempty"`
}

// Level is how wide a scope is.
type Level string

// The levels, the widest first: of two documents of a kind the narrower one is in force.
const (
	LevelAll     Level = "all"
	LevelRegion  Level = "region"
	LevelZone    Level = "zone"
	LevelService Level = "service"
	LevelAgent   Level = "agent"
)

// Levels are the levels in order, the widest first.
var Levels = []Level{LevelAll, LevelRegion, LevelZone, LevelService, LevelAgent}

// Scope is the part of the fleet that a document is for.
type Scope struct {
	Level Level  `json:"level"`
	Of    string `json:"of,omitempty"` // the region's, zone's, service's or agent's name; "" for All
}

// Contains tells whether an agent is in the scope.
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

// String words a scope as ParseName reads it: "all", "zone/z1".
func (s Scope) String() string {
	if s.Level == LevelAll {
		return string(LevelAll)
	}
	return string(s.Level) + "/" + s.Of
}

// Name names a document.
type Name struct {
	Kind  string `json:"kind"`
	Scope Scope  `json:"scope"`
}

// String words a name as ParseName reads it: "routes@all", "failover@zone/z1".
func (n Name) String() string { return n.Kind + "@" + n.Scope.String() }

// ErrName is a name that can't be read.
var ErrName = errors.New("rollout: name of a document")

// maxWordBytes bounds each word of a name.
const maxWordBytes = 128

// ParseName reads KIND@SCOPE, SCOPE being all or LEVEL/OF. An error wraps ErrName.
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

// isNamePart tells whether a text may be a part of a name: it goes through a line of the console.
func isNamePart(s string) bool {
	return s != "" && len(s) <= maxWordBytes && strings.IndexFunc(s, func(r rune) bool {
		return r <= ' ' || r == '@' || r == 0x7f || r == '/'
	}) < 0
}

// Document is one revision of a document, as an agent gets it.
type Document struct {
	Name     Name   `json:"name"`
	Revision uint64 `json:"revision"` // its number, above 0
	Text     []byte `json:"text,omitempty"`
	Sum      uint64 `json:"sum"`               // xxhash64 of Text
	Removed  bool   `json:"removed,omitempty"` // no text any more: a wider document or the agent's own file holds
}

// Stage is how far a revision has come.
type Stage string

// The stages of a revision.
const (
	StageWaiting    Stage = "waiting"    // behind another of its document, or not begun
	StageFirst      Stage = "first"      // at some agents of each service
	StageEverywhere Stage = "everywhere" // for all agents of its scope
	StageSuperseded Stage = "superseded" // a later one took its place before it began, or after
	StageHalted     Stage = "halted"     // refused or worse at the first stage; the former text came back
)

// Revision is a change, as operators see it.
type Revision struct {
	Document
	Base     uint64   `json:"base"` // the revision it was written against; 0: none
	Author   string   `json:"author"`
	AtUs     int64    `json:"at_us"` // put, by the clock of the machine that led then
	Stage    Stage    `json:"stage"`
	First    []string `json:"first,omitempty"`    // agents of its first stage
	Why      string   `json:"why,omitempty"`      // it was halted
	Restores uint64   `json:"restores,omitempty"` // the revision whose text it has again
}

// Op names what an entry of the log does.
type Op string

// The operations.
const (
	OpPut     Op = "put"     // a new revision of a document, if Base is the latest there
	OpStart   Op = "start"   // a waiting revision goes to the agents First
	OpAdvance Op = "advance" // a revision at its first stage goes everywhere
	OpHalt    Op = "halt"    // a revision at its first stage is given up; the former text comes under a new number
)

// Entry is one entry of the log. Only the fields of its Op are read.
type Entry struct {
	Op   Op    `json:"op"`
	AtUs int64 `json:"at_us,omitempty"` // by the proposer's clock
	// OpPut
	Name    Name   `json:"name"`
	Base    uint64 `json:"base,omitempty"` // the latest revision the author knows; 0: the document is new
	Text    []byte `json:"text,omitempty"`
	Remove  bool   `json:"remove,omitempty"`
	Restore uint64 `json:"restore,omitempty"` // take this former revision's text instead of Text
	Author  string `json:"author,omitempty"`
	// OpStart, OpAdvance, OpHalt
	Revision uint64   `json:"revision,omitempty"`
	First    []string `json:"first,omitempty"`
	Why      string   `json:"why,omitempty"`
}

// Result is what applying an entry tells its proposer.
type Result struct {
	Revision uint64 // OpPut: its number; OpHalt: the number of the restored one
	Changed  bool   // OpStart, OpAdvance, OpHalt: false where it had been done, or another came between
}

// ErrEntry is an entry that can't be applied: malformed, too large, or unknown. It changes
// nothing, and every replica refuses it alike.
var ErrEntry = errors.New("rollout: entry")

// ErrConflict is a put whose Base is not the document's latest revision: somebody else changed
// it since the author looked. The error tells the latest revision and its author.
var ErrConflict = errors.New("rollout: changed by somebody else meanwhile")

// Refusal is an agent's NACK of one revision.
type Refusal struct {
	Name     Name   `json:"name"`
	Revision uint64 `json:"revision"`
	Why      string `json:"why"` // the loader's words: file, line and field; MaxWhy bytes at most
}

// MaxWhyBytes bounds a refusal's words.
const MaxWhyBytes = 400

// Report is what an agent last said of itself, beside when a control machine heard it.
type Report struct {
	Agent   Agent             `json:"agent"`
	Life    int64             `json:"life"`              // when the agent's process started, Unix us: of two lives the later counts
	Seq     uint64            `json:"seq"`               // rises within a life
	Seen    map[string]uint64 `json:"seen,omitempty"`    // by Name.String(): the latest revision accepted there (ACK)
	InForce map[string]uint64 `json:"force,omitempty"`   // by kind: the revision in force; 0: its own file, or none
	Refused []Refusal         `json:"refused,omitempty"` // revisions it could not take (NACK)
	Calls   uint64            `json:"calls"`             // ended since the process started
	Failed  uint64            `json:"failed"`            // of them failed or refused
	AtUs    int64             `json:"at_us"`             // heard, by the clock of the machine that holds the table
	Machine string            `json:"machine,omitempty"` // the control machine it watches
}

// After tells whether a report is newer than another of the same agent.
func (r Report) After(o Report) bool {
	return r.Life > o.Life || r.Life == o.Life && r.Seq > o.Seq
}

// WatchArgs is an agent's question: it is answered when there is something new for it, or when
// its patience ends.
type WatchArgs struct {
	Report     Report            // AtUs and Machine are the machine's to set
	Have       map[string]uint64 // by Name.String(): the latest revision it was told of; empty: the whole set is sent
	Version    uint64            // of the latest answer it took, from whichever machine
	PatienceMs int64
}

// WatchReply answers a watch.
type WatchReply struct {
	Machine string
	// Version is the log index that this machine has applied: a machine whose Version is below
	// the agent's own is behind it, and the agent goes to another.
	Version uint64
	// Lagging: this machine has had no word of a leader for some time; what it knows is
	// committed, but may be old. The agent serves on, and asks another.
	Lagging bool
	// Whole: Docs are all that the agent should have; otherwise those that have changed.
	Whole   bool
	Docs    []Document
	AgainMs int64 // the patience to ask with next: short while the agent is in a first stage; 0: its own
}
