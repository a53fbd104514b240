package rollout

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"unicode/utf8"
)

// documentSetMagic starts the file in which an agent stores its documents.
const documentSetMagic = "WRHELD1\n"

// ErrDocumentSet is returned for a stored set that can't be read: the file is of another kind, truncated,
// corrupt or of another agent.
var ErrDocumentSet = errors.New("rollout: stored documents")

// ErrInvalidReply is returned for a reply that no correct control machine sends: it has a document whose
// checksum is wrong, that is not for this agent, that is too large, whose revision is above the reply's
// version, or whose revision number belonged to something else before. Nothing of such a reply is used.
var ErrInvalidReply = errors.New("rollout: invalid reply")

// DocumentSet has the documents of one agent: for each name the last accepted revision, which stays in force
// until a later one is accepted, and the latest received revision. It is not safe for concurrent use.
// Returned documents share their texts with the set; callers must not modify them.
type DocumentSet struct {
	agent   Agent
	version uint64 // highest version of an accepted reply
	docs    map[Name]*documentRecord
}

// documentRecord is the state of one document at the agent. Its fields are stored as JSON.
type documentRecord struct {
	Told     Document  `json:"told"`               // the latest received revision
	Accepted *Document `json:"accepted,omitempty"` // the last accepted revision if it is an earlier one
	Taken    bool      `json:"taken,omitempty"`    // Told was accepted
	Refused  bool      `json:"refused,omitempty"`  // Told was refused
	Why      string    `json:"why,omitempty"`      // reason for the refusal
}

// accepted returns the last revision that the loader accepted, or nil.
func (record *documentRecord) accepted() *Document {
	if record.Taken {
		return &record.Told
	}
	return record.Accepted
}

// NewDocumentSet returns the empty set of an agent.
func NewDocumentSet(a Agent) *DocumentSet {
	return &DocumentSet{agent: a, docs: map[Name]*documentRecord{}}
}

// Receive adds the documents of a reply that are newer than the received ones and returns them in the order
// of the reply. The caller then has to call Accept or Refuse for each. Documents with an older or equal
// revision are ignored. Documents that a whole reply does not list stay: a document is removed only by a
// revision with Removed set. An error wraps ErrInvalidReply and names the document; in this case nothing is
// added.
func (set *DocumentSet) Receive(r WatchReply) (newDocs []Document, err error) {
	told, named := map[uint64]Name{}, map[Name]bool{}
	for n, record := range set.docs {
		told[record.Told.Revision] = n
	}
	for _, d := range r.Docs {
		record := set.docs[d.Name]
		err := set.checkDocument(d, record, r.Version, told)
		if named[d.Name] {
			err = errors.New("field name: listed twice in one reply")
		}
		if err != nil {
			return nil, fmt.Errorf("%w from %.80q: %.300s revision %d: %w", ErrInvalidReply, r.Machine, d.Name, d.Revision, err)
		}
		told[d.Revision], named[d.Name] = d.Name, true
		if record == nil || d.Revision > record.Told.Revision {
			newDocs = append(newDocs, d)
		}
	}
	for _, d := range newDocs {
		record := set.docs[d.Name]
		if record == nil {
			record = &documentRecord{}
			set.docs[d.Name] = record
		}
		*record = documentRecord{Told: d, Accepted: cloneDocument(record.accepted())}
	}
	set.version = max(set.version, r.Version)
	return newDocs, nil
}

// checkDocument returns an error if a document of a reply is invalid; told maps each known revision number
// to the name of its document.
func (set *DocumentSet) checkDocument(d Document, record *documentRecord, version uint64, told map[uint64]Name) error {
	known, isKnown := told[d.Revision]
	switch {
	case !d.Name.valid() || !d.Name.Scope.Contains(set.agent):
		return fmt.Errorf("field name: not a document of agent %s", set.agent.Name)
	case d.Revision == 0 || d.Revision > version:
		return fmt.Errorf("field revision: outside 1 to %d, the reply's version", version)
	case len(d.Text) > MaxTextBytes:
		return fmt.Errorf("field text: %d bytes, most %d", len(d.Text), MaxTextBytes)
	case d.Removed && len(d.Text) > 0:
		return fmt.Errorf("field text: %d bytes of a removed document", len(d.Text))
	case d.Sum != Sum(d.Text):
		return fmt.Errorf("field sum: %016x, the text's is %016x", d.Sum, Sum(d.Text))
	case isKnown && known != d.Name:
		return fmt.Errorf("field revision: number already used for %v", known)
	case record == nil:
		return nil
	}
	for _, other := range []*Document{&record.Told, record.accepted()} {
		if other != nil && other.Revision == d.Revision && (other.Sum != d.Sum || other.Removed != d.Removed || string(other.Text) != string(d.Text)) {
			return errors.New("field text: differs from the text received under this number")
		}
	}
	return nil
}

// Accept records that the loader accepted a document returned by Receive, which may be a removal. It becomes
// the last known good revision. A document that was not received, or that is older than the accepted one,
// changes nothing.
func (set *DocumentSet) Accept(d Document) {
	record := set.docs[d.Name]
	switch {
	case record == nil || d.Revision > record.Told.Revision:
	case d.Revision == record.Told.Revision:
		*record = documentRecord{Told: record.Told, Taken: true}
	default:
		if accepted := record.accepted(); accepted == nil || accepted.Revision < d.Revision {
			record.Accepted = &d
		}
	}
}

// Refuse records that the loader refused a document, and at most MaxWhyBytes of its reason, with control
// characters replaced by blanks. The revision accepted before stays in force. If the refused revision was
// accepted earlier, which can happen when a new version of the program loads it after a restart, it does not
// count as accepted any more.
func (set *DocumentSet) Refuse(d Document, why string) {
	record := set.docs[d.Name]
	if record == nil {
		return
	}
	if record.Accepted != nil && record.Accepted.Revision == d.Revision {
		record.Accepted = nil
	}
	if d.Revision == record.Told.Revision {
		record.Taken, record.Refused, record.Why = false, true, singleLine(why, MaxWhyBytes)
	}
}

// Effective returns the document of a kind that is in force: of the accepted ones that are not removed, the
// one with the narrowest scope. It returns false if there is none, so that the agent's own file applies.
func (set *DocumentSet) Effective(kind string) (Document, bool) {
	scopes := set.agent.scopes()
	for _, s := range slices.Backward(scopes[:]) {
		if record := set.docs[Name{kind, s}]; record != nil {
			if d := record.accepted(); d != nil && !d.Removed {
				return *d, true
			}
		}
	}
	return Document{}, false
}

// KnownRevisions returns the latest received revisions by Name.String(), for WatchArgs.Have.
func (set *DocumentSet) KnownRevisions() map[string]uint64 {
	out := make(map[string]uint64, len(set.docs))
	for n, record := range set.docs {
		out[n.String()] = record.Told.Revision
	}
	return out
}

// Report returns the document fields of a Report: the last accepted revisions by Name.String(), and the
// refused ones among the latest revisions, sorted by name.
func (set *DocumentSet) Report() (seen map[string]uint64, refused []Refusal) {
	seen = make(map[string]uint64, len(set.docs))
	for _, n := range set.names() {
		record := set.docs[n]
		if d := record.accepted(); d != nil {
			seen[n.String()] = d.Revision
		}
		if record.Refused {
			refused = append(refused, Refusal{Name: n, Revision: record.Told.Revision, Why: record.Why})
		}
	}
	return seen, refused
}

// Pending returns the received documents that are neither accepted nor refused yet, sorted by name. After a
// restart between Receive and Accept or Refuse, they have to be loaded again.
func (set *DocumentSet) Pending() (out []Document) {
	for _, n := range set.names() {
		if record := set.docs[n]; !record.Taken && !record.Refused {
			out = append(out, record.Told)
		}
	}
	return out
}

// Version returns the highest version of an accepted reply.
func (set *DocumentSet) Version() uint64 { return set.version }

// IsBehind reports whether the replying machine has applied less of the log than the agent has received.
func (set *DocumentSet) IsBehind(r WatchReply) bool { return r.Version < set.version }

// names returns the names of the documents, sorted.
func (set *DocumentSet) names() []Name {
	return slices.SortedFunc(maps.Keys(set.docs), func(a, b Name) int { return strings.Compare(a.String(), b.String()) })
}

// documentSetImage is the JSON form of a DocumentSet.
type documentSetImage struct {
	Agent   Agent             `json:"agent"`
	Version uint64            `json:"version"`
	Docs    []*documentRecord `json:"docs,omitempty"`
}

// Bytes encodes the set for storage: the magic, the JSON image (documents sorted by name, so that equal sets
// give equal bytes) and its xxhash64, big-endian, in the last 8 bytes.
func (set *DocumentSet) Bytes() []byte {
	setImage := documentSetImage{Agent: set.agent, Version: set.version}
	for _, n := range set.names() {
		setImage.Docs = append(setImage.Docs, set.docs[n])
	}
	img, _ := json.Marshal(setImage)
	return encodeFrame(documentSetMagic, img)
}

// DecodeDocumentSet decodes the result of Bytes. It refuses a set of another agent, and also one of this
// agent with another service, zone or region, since other documents apply there and have to be fetched. An
// error wraps ErrDocumentSet and names the byte, or the field if the checksum is correct.
func DecodeDocumentSet(agent Agent, data []byte) (*DocumentSet, error) {
	img, err := decodeFrame(documentSetMagic, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocumentSet, err)
	}
	var setImage documentSetImage
	if err := json.Unmarshal(img, &setImage); err != nil {
		return nil, fmt.Errorf("%w: image, %s", ErrDocumentSet, describeJSONError(img, err))
	}
	if setImage.Agent != agent {
		return nil, fmt.Errorf("%w: byte %d, field agent: stored by %+v, loaded by %+v", ErrDocumentSet, len(documentSetMagic), setImage.Agent, agent)
	}
	set := NewDocumentSet(agent)
	set.version = setImage.Version
	told := map[uint64]Name{}
	for n, record := range setImage.Docs {
		if record == nil || set.docs[record.Told.Name] != nil || record.Taken && (record.Refused || record.Accepted != nil) {
			return nil, fmt.Errorf("%w: field docs[%d]: missing, duplicate or contradictory", ErrDocumentSet, n)
		}
		for _, d := range []*Document{record.Accepted, &record.Told} {
			if d == nil {
				continue
			}
			if err := set.checkDocument(*d, nil, setImage.Version, told); err != nil || d.Name != record.Told.Name {
				return nil, fmt.Errorf("%w: field docs[%d]: %w", ErrDocumentSet, n, err)
			}
			told[d.Revision] = d.Name
		}
		set.docs[record.Told.Name] = record
	}
	return set, nil
}

// cloneDocument returns a copy of a document, or nil.
func cloneDocument(d *Document) *Document {
	if d == nil {
		return nil
	}
	c := *d
	return &c
}

// singleLine prepares a text for a console line: it replaces control characters by blanks and invalid UTF-8
// by "?", and truncates the text to at most maxBytes at the end of a rune.
func singleLine(s string, maxBytes int) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, strings.ToValidUTF8(s[:min(len(s), maxBytes+utf8.UTFMax)], "?"))
	if len(s) <= maxBytes {
		return s
	}
	for maxBytes > 0 && !utf8.RuneStart(s[maxBytes]) {
		maxBytes--
	}
	return s[:maxBytes]
}
