package rollout

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Limits of entries, and the author of restored revisions.
const (
	// MaxFirstAgents limits the agents of a first stage.
	MaxFirstAgents = 4096
	// MaxHaltWhyBytes limits the reason of a halt. An agent's name and its refusal fit.
	MaxHaltWhyBytes = MaxWhyBytes + 2*maxWordBytes
	// AuthorRollout is the author of the revisions that restore a text after a halt.
	AuthorRollout = "rollout"
)

// State is the replicated state: every document with its revisions. It is deterministic: states that have
// applied the same entries are equal. Use New to create one; the zero value is not usable. It is not safe for
// concurrent use. Returned values share texts and lists with the state; callers must not modify them.
type State struct {
	applied    uint64
	docs       map[Name]*doc
	byScope    map[Scope][]*doc // the documents of each scope, sorted by key
	open       map[*doc]bool    // documents with a revision that waits or is at its first stage
	totalBytes int              // bytes of all stored texts, at most MaxTotalBytes
}

// doc is a document with its revisions. A revision is replaced and never modified, because an Image may share
// it.
type doc struct {
	name    Name
	key     string      // name.String()
	current *Revision   // the revision at StageEverywhere; nil: none yet
	first   *Revision   // the revision at StageFirst; nil: none
	waiting *Revision   // the revision at StageWaiting; nil: none
	former  []*Revision // superseded and halted revisions, sorted by number
}

// New returns the empty state, at index 0.
func New() *State {
	return &State{docs: map[Name]*doc{}, byScope: map[Scope][]*doc{}, open: map[*doc]bool{}}
}

// Sum returns the checksum of a text for Document.Sum.
func Sum(text []byte) uint64 { return xxhash.Sum64(text) }

// Encode returns an entry's bytes in the log.
func Encode(e Entry) []byte {
	b, _ := json.Marshal(e) // a struct of strings and numbers always marshals
	return b
}

// Apply applies the log entry at index. Entries must be applied in log order. An index at or below the last
// applied one is refused with ErrEntry and changes nothing. An entry that is malformed, unknown or over a
// limit is refused with an ErrEntry that names the field or byte and the value. A put whose Base is not the
// latest revision is refused with an ErrConflict that names the latest revision and its author. A refused
// entry changes only the applied index, since every replica has to skip it in the same way.
//
// The revision number of a put is its log index. The revision waits and supersedes one that was already
// waiting. OpStart brings it to its first stage and OpAdvance to all agents. OpHalt gives it up and restores
// the previous text under the index of the halt; if there was none, that revision is a removal.
//
// A revision that waits behind a halted one, and was written against it, stays: its author knew the halted
// text, and its own first stage will find what is wrong with it. Its number is then below that of the
// restored text. Since an agent's revision number must never decrease, OpStart gives it the index of the
// start as a new number, sets Restores to the old number, and archives the old number as superseded.
//
// An OpStart of a revision that is already at its first stage adds agents to the stage and removes none. Any
// other start, advance or halt has no effect, and Changed is false.
func (s *State) Apply(index uint64, data []byte) (Result, error) {
	if index <= s.applied {
		return Result{}, fmt.Errorf("%w: index %d already applied (at %d)", ErrEntry, index, s.applied)
	}
	s.applied = index
	var e Entry
	if err := json.Unmarshal(data, &e); err != nil {
		return Result{}, fmt.Errorf("%w %d: %s", ErrEntry, index, describeJSONError(data, err))
	}
	if err := e.validate(); err != nil {
		return Result{}, fmt.Errorf("%w %d: %w", ErrEntry, index, err)
	}
	if e.Op == OpPut {
		return s.applyPut(index, e)
	}
	for d := range s.open {
		if d.first != nil && d.first.Revision == e.Revision || d.waiting != nil && d.waiting.Revision == e.Revision {
			return s.applyStage(index, d, e), nil
		}
	}
	return Result{}, nil
}

// applyPut applies an OpPut.
func (s *State) applyPut(index uint64, e Entry) (Result, error) {
	d := s.docs[e.Name]
	latest := d.latest()
	if latest.Revision != e.Base {
		return Result{}, fmt.Errorf("%w: %v is at %s, not at %d", ErrConflict, e.Name, latest.numberAndAuthor(), e.Base)
	}
	r := Revision{Document: Document{Name: e.Name, Revision: index, Text: e.Text, Removed: e.Remove},
		Base: e.Base, Author: e.Author, AtUs: e.AtUs, Stage: StageWaiting, Restores: e.Restore}
	refuse := func(format string, args ...any) (Result, error) {
		return Result{}, fmt.Errorf("%w %d: field "+format, append([]any{ErrEntry, index}, args...)...)
	}
	switch {
	case e.Remove && (d == nil || latest.Removed):
		return refuse("remove: %v has no text to remove", e.Name)
	case e.Restore > 0:
		restored := d.find(e.Restore)
		if restored == nil {
			return refuse("restore: revision %d of %v is not kept", e.Restore, e.Name)
		}
		r.Text, r.Removed = restored.Text, restored.Removed
	case d == nil && len(s.docs) >= MaxDocuments:
		return refuse("name: %d documents, most %d", len(s.docs)+1, MaxDocuments)
	}
	if total := s.totalBytes + len(r.Text); total > MaxTotalBytes {
		if total -= s.droppableBytes(d); total > MaxTotalBytes {
			return refuse("text: %d bytes of texts in force or on their way, most %d", total, MaxTotalBytes)
		}
	}
	if d == nil {
		d = s.addDocument(e.Name)
	}
	r.Sum = Sum(r.Text)
	s.archive(d, d.waiting, StageSuperseded, "")
	d.waiting = &r
	s.totalBytes += len(r.Text)
	s.enforceBounds(d)
	return Result{Revision: index}, nil
}

// applyStage applies OpStart, OpAdvance and OpHalt to a document with an open revision.
func (s *State) applyStage(index uint64, d *doc, e Entry) Result {
	started := d.first != nil && d.first.Revision == e.Revision
	switch {
	case e.Op == OpStart && started:
		revision := *d.first
		revision.First = union(revision.First, e.First)
		if len(revision.First) == len(d.first.First) {
			return Result{}
		}
		d.first = &revision
		return Result{Revision: revision.Revision, Changed: true}
	case e.Op == OpStart && d.first == nil:
		revision := *d.waiting
		if d.current != nil && d.current.Revision > revision.Revision {
			s.archive(d, d.waiting, StageSuperseded, "")
			revision.Restores, revision.Revision = revision.Revision, index
			s.totalBytes += len(revision.Text)
		}
		revision.Stage, revision.First = StageFirst, union(nil, e.First)
		d.first, d.waiting = &revision, nil
	case e.Op == OpAdvance && started:
		revision := *d.first
		revision.Stage = StageEverywhere
		s.archive(d, d.current, StageSuperseded, "")
		d.current, d.first = &revision, nil
	case e.Op == OpHalt && started:
		revision := Revision{Document: Document{Name: d.name, Revision: index, Removed: true}, Base: d.first.Revision,
			Author: AuthorRollout, AtUs: e.AtUs, Stage: StageEverywhere}
		if d.current != nil {
			revision.Text, revision.Removed, revision.Restores = d.current.Text, d.current.Removed, d.current.Revision
		}
		revision.Sum = Sum(revision.Text)
		s.archive(d, d.current, StageSuperseded, "")
		s.archive(d, d.first, StageHalted, e.Why)
		d.current, d.first = &revision, nil
		s.totalBytes += len(revision.Text)
	default:
		return Result{}
	}
	s.enforceBounds(d)
	if e.Op == OpHalt {
		return Result{Revision: index, Changed: true}
	}
	if e.Op == OpAdvance {
		return Result{Revision: d.current.Revision, Changed: true}
	}
	return Result{Revision: d.first.Revision, Changed: true}
}

// archive adds a copy of a revision to the former ones, with the given stage and reason.
func (s *State) archive(d *doc, r *Revision, stage Stage, why string) {
	if r == nil {
		return
	}
	archived := *r
	archived.Stage, archived.Why = stage, why
	index, _ := slices.BinarySearchFunc(d.former, archived.Revision, compareNumber)
	d.former = slices.Insert(slices.Clone(d.former), index, &archived) // cloned because an Image may share the old list
}

// enforceBounds drops former revisions until the limits are met, and updates the set of open documents,
// after a change of d.
func (s *State) enforceBounds(d *doc) {
	if d.first != nil || d.waiting != nil {
		s.open[d] = true
	} else {
		delete(s.open, d)
	}
	for len(d.former) > MaxFormerRevisions {
		s.dropOldest(d)
	}
	for s.totalBytes > MaxTotalBytes {
		var oldest *doc
		for _, d := range s.docs {
			if len(d.former) > 0 && (oldest == nil || d.former[0].Revision < oldest.former[0].Revision) {
				oldest = d
			}
		}
		if oldest == nil {
			return // unreachable: applyPut checks that enough can be dropped
		}
		s.dropOldest(oldest)
	}
}

// dropOldest drops the oldest former revision of a document.
func (s *State) dropOldest(d *doc) {
	s.totalBytes -= len(d.former[0].Text)
	d.former = d.former[1:]
}

// droppableBytes returns the size of the texts that can be dropped: those of all former revisions and the
// waiting one that a put to the given document supersedes.
func (s *State) droppableBytes(target *doc) (n int) {
	for _, d := range s.docs {
		for _, r := range d.former {
			n += len(r.Text)
		}
	}
	if target != nil && target.waiting != nil {
		n += len(target.waiting.Text)
	}
	return n
}

// addDocument adds a document without revisions.
func (s *State) addDocument(n Name) *doc {
	d := &doc{name: n, key: n.String()}
	s.docs[n] = d
	list := s.byScope[n.Scope]
	at, _ := slices.BinarySearchFunc(list, d, compareKeys)
	s.byScope[n.Scope] = slices.Insert(list, at, d)
	return d
}

// DocumentsFor returns the documents that an agent should have now, including removed ones, sorted by name.
// Each has the revision at its first stage if the agent is in that stage, and otherwise the one at
// StageEverywhere. The revision number that an agent gets for a name never decreases. The cost is
// proportional to the number of the agent's documents.
func (s *State) DocumentsFor(a Agent) []Document {
	var docs [5][]*doc
	total := 0
	for i, scope := range a.scopes() {
		docs[i] = s.byScope[scope]
		total += len(docs[i])
	}
	if total == 0 {
		return nil
	}
	out := make([]Document, 0, total)
	for { // merge the sorted lists
		next := -1
		for i, l := range docs {
			if len(l) > 0 && (next < 0 || l[0].key < docs[next][0].key) {
				next = i
			}
		}
		if next < 0 {
			return out
		}
		if r := docs[next][0].revisionFor(a); r != nil {
			out = append(out, r.Document)
		}
		docs[next] = docs[next][1:]
	}
}

// InFirstStage reports whether an agent is in the first stage of any document.
func (s *State) InFirstStage(a Agent) bool {
	for d := range s.open {
		if d.inFirstStage(a.Name) && d.name.Scope.Contains(a) {
			return true
		}
	}
	return false
}

// Latest returns the latest revision of a document, with which the Base of a put is compared: the one that
// waits, otherwise the one at its first stage, otherwise the one at all agents. It returns false if there is
// no such document.
func (s *State) Latest(n Name) (Revision, bool) {
	r := s.docs[n].latest()
	return r, r.Revision > 0
}

// History returns the stored revisions of a document, highest number first.
func (s *State) History(n Name) (out []Revision) {
	if d := s.docs[n]; d != nil {
		for _, r := range slices.Concat(d.former, []*Revision{d.current, d.first, d.waiting}) {
			if r != nil {
				out = append(out, *r)
			}
		}
	}
	slices.SortFunc(out, func(a, b Revision) int { return cmp.Compare(b.Revision, a.Revision) })
	return out
}

// Names returns the sorted names of all documents, including removed ones.
func (s *State) Names() []Name {
	out := make([]Name, 0, len(s.docs))
	for _, d := range s.sortedDocs() {
		out = append(out, d.name)
	}
	return out
}

// Open returns the revisions that wait or are at their first stage, oldest first.
func (s *State) Open() (out []Revision) {
	for d := range s.open {
		for _, r := range []*Revision{d.first, d.waiting} {
			if r != nil {
				out = append(out, *r)
			}
		}
	}
	slices.SortFunc(out, func(a, b Revision) int { return cmp.Compare(a.Revision, b.Revision) })
	return out
}

// Applied returns the index of the last applied entry.
func (s *State) Applied() uint64 { return s.applied }

// scopes returns the scopes that contain an agent, widest first.
func (a Agent) scopes() [5]Scope {
	return [5]Scope{{Level: LevelAll}, {LevelRegion, a.Region}, {LevelZone, a.Zone}, {LevelService, a.Service}, {LevelAgent, a.Name}}
}

// sortedDocs returns all documents, sorted by key.
func (s *State) sortedDocs() []*doc {
	out := make([]*doc, 0, len(s.docs))
	for _, d := range s.docs {
		out = append(out, d)
	}
	slices.SortFunc(out, compareKeys)
	return out
}

// compareKeys orders documents by key.
func compareKeys(a, b *doc) int { return cmp.Compare(a.key, b.key) }

// compareNumber compares a revision's number with n.
func compareNumber(r *Revision, n uint64) int { return cmp.Compare(r.Revision, n) }

// inFirstStage reports whether an agent is in the document's first stage.
func (d *doc) inFirstStage(agent string) bool {
	if d.first == nil {
		return false
	}
	_, ok := slices.BinarySearch(d.first.First, agent)
	return ok
}

// revisionFor returns the revision that an agent of the scope should have, or nil.
func (d *doc) revisionFor(a Agent) *Revision {
	if d.inFirstStage(a.Name) {
		return d.first
	}
	return d.current
}

// latest returns the latest revision, or the zero Revision if d is nil.
func (d *doc) latest() Revision {
	if d != nil {
		for _, r := range []*Revision{d.waiting, d.first, d.current} {
			if r != nil {
				return *r
			}
		}
	}
	return Revision{}
}

// find returns the stored revision with a number, or nil.
func (d *doc) find(number uint64) *Revision {
	if d != nil {
		for _, r := range append([]*Revision{d.current, d.first, d.waiting}, d.former...) {
			if r != nil && r.Revision == number {
				return r
			}
		}
	}
	return nil
}

// numberAndAuthor returns a description of a revision for error messages.
func (r Revision) numberAndAuthor() string {
	switch {
	case r.Revision == 0:
		return "0 (there is none)"
	case r.Removed:
		return fmt.Sprintf("%d, removed by %s", r.Revision, r.Author)
	}
	return fmt.Sprintf("%d by %s", r.Revision, r.Author)
}

// union returns the sorted union of two lists and modifies neither.
func union(a, b []string) []string {
	out := slices.Concat(a, b)
	slices.Sort(out)
	return slices.Compact(out)
}

// validate returns an error that names the first invalid field of an entry.
func (e Entry) validate() error {
	switch e.Op {
	case OpPut:
		if !e.Name.valid() {
			return fmt.Errorf("field name: %.80q is no name of a document", e.Name.String())
		}
		switch {
		case !isAuthor(e.Author):
			return fmt.Errorf("field author: %.80q is not a word of 1 to %d bytes", e.Author, maxWordBytes)
		case len(e.Text) > MaxTextBytes:
			return fmt.Errorf("field text: %d bytes, most %d", len(e.Text), MaxTextBytes)
		case e.Remove && (len(e.Text) > 0 || e.Restore > 0):
			return errors.New("field remove: a removal has neither text nor restore")
		case e.Restore > 0 && len(e.Text) > 0:
			return errors.New("field restore: a former text comes again without a text")
		}
		return nil
	case OpStart, OpAdvance, OpHalt:
		switch {
		case e.Revision == 0:
			return errors.New("field revision: 0 is none")
		case e.Op == OpStart && len(e.First) > MaxFirstAgents:
			return fmt.Errorf("field first: %d agents, most %d", len(e.First), MaxFirstAgents)
		case e.Op == OpStart && slices.ContainsFunc(e.First, func(s string) bool { return !isNamePart(s) }):
			return errors.New("field first: an agent's name is empty, longer than 128 bytes, or has blanks, @ or /")
		case e.Op == OpHalt && len(e.Why) > MaxHaltWhyBytes:
			return fmt.Errorf("field why: %d bytes, most %d", len(e.Why), MaxHaltWhyBytes)
		}
		return nil
	}
	return fmt.Errorf("field op: %.80q is no operation", e.Op)
}

// valid reports whether ParseName parses the name's text to the same name.
func (n Name) valid() bool {
	back, err := ParseName(n.String())
	return err == nil && back == n
}

// isAuthor reports whether a text can be an author, which has to be one word of a console line.
func isAuthor(s string) bool {
	return s != "" && len(s) <= maxWordBytes && strings.IndexFunc(s, func(r rune) bool { return r <= ' ' || r == 0x7f }) < 0
}

// describeJSONError returns the text of a JSON error with its byte offset.
func describeJSONError(data []byte, err error) string {
	var syntaxErr *json.SyntaxError
	if errors.As(err, &syntaxErr) {
		return fmt.Sprintf("byte %d: %v", syntaxErr.Offset, err)
	}
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return fmt.Sprintf("field %s, byte %d: %v", typeErr.Field, typeErr.Offset, err)
	}
	return fmt.Sprintf("byte %d: %v", len(data), err)
}
