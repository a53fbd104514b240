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

// documentSetMagic begins what an agent keeps on its disk.
const documentSetMagic = "WRHELD1\n"

// ErrDocumentSet is a kept set that can't be read: none, torn, corrupt, or another agent's.
var ErrDocumentSet = errors.New("rollout: held documents")

// ErrInvalidReply is an answer that a control machine can't have given: a document whose sum is wrong,
// that is not this agent's, too large, above the answer's version, or under a number that stood
// for something else. Nothing of it is taken.
var ErrInvalidReply = errors.New("rollout: answer")

// DocumentSet is what one agent holds: of each document the last one accepted, which stays in force
// until a later one is, and the latest it was told of. It is not safe for use by several
// goroutines at once. What it returns shares texts with it: nobody may write into them.
type DocumentSet struct {
	agent   Agent
	version uint64
	docs    map[Name]*documentRecord
}

// documentRecord is one document as it is kept.
type documentRecord struct {
	Told     Document  `json:"told"`               // the latest
	Accepted *Document `json:"accepted,omitempty"` // where that is an earlier one
	Taken    bool      `json:"taken,omitempty"`    // the latest was accepted
	Refused  bool      `json:"refused,omitempty"`  // the latest was refused
	Why      string    `json:"why,omitempty"`
}

// accepted is the last document that the loader took; nil: none.
func (k *documentRecord) accepted() *Document {
	if k.Taken {
		return &k.Told
	}
	return k.Accepted
}

// NewDocumentSet returns the set of an agent that was told nothing yet.
func NewDocumentSet(a Agent) *DocumentSet {
	return &DocumentSet{agent: a, docs: map[Name]*documentRecord{}}
}

// Receive takes an answer's documents that are newer than what the agent was told of, and returns
// them in the order of the answer; Accept or Refuse has to follow for each. An error wraps
// ErrForged and names the document; then nothing is taken. Older or equal numbers are passed
// over. What a whole answer does not name stays: a document never goes without a removal.
func (h *DocumentSet) Receive(r WatchReply) (fresh []Document, err error) {
	told, named := map[uint64]Name{}, map[Name]bool{}
	for n, k := range h.docs {
		told[k.Told.Revision] = n
	}
	for _, d := range r.Docs {
		k := h.docs[d.Name]
		err := h.checkDocument(d, k, r.Version, told)
		if named[d.Name] {
			err = errors.New("field name: twice in one answer")
		}
		if err != nil {
			return nil, fmt.Errorf("%w of %.80q: %.300s revision %d: %w", ErrInvalidReply, r.Machine, d.Name, d.Revision, err)
		}
		told[d.Revision], named[d.Name] = d.Name, true
		if k == nil || d.Revision > k.Told.Revision {
			fresh = append(fresh, d)
		}
	}
	for _, d := range fresh {
		k := h.docs[d.Name]
		if k == nil {
			k = &documentRecord{}
			h.docs[d.Name] = k
		}
		*k = documentRecord{Told: d, Accepted: cloneDocument(k.accepted())}
	}
	h.version = max(h.version, r.Version)
	return fresh, nil
}

// checkDocument says what is wrong with a document of an answer; told names what numbers stand for.
func (h *DocumentSet) checkDocument(d Document, k *documentRecord, version uint64, told map[uint64]Name) error {
	n, known := told[d.Revision]
	switch {
	case !d.Name.valid() || !d.Name.Scope.Contains(h.agent):
		return fmt.Errorf("field name: not a document of agent %s", h.agent.Name)
	case d.Revision == 0 || d.Revision > version:
		return fmt.Errorf("field revision: outside 1 to %d, the answer's version", version)
	case len(d.Text) > MaxTextBytes:
		return fmt.Errorf("field text: %d bytes, most %d", len(d.Text), MaxTextBytes)
	case d.Removed && len(d.Text) > 0:
		return fmt.Errorf("field text: %d bytes of a removed document", len(d.Text))
	case d.Sum != Sum(d.Text):
		return fmt.Errorf("field sum: %016x, the text's is %016x", d.Sum, Sum(d.Text))
	case known && n != d.Name:
		return fmt.Errorf("field revision: that number is %v", n)
	case k == nil:
		return nil
	}
	for _, o := range []*Document{&k.Told, k.accepted()} {
		if o != nil && o.Revision == d.Revision && (o.Sum != d.Sum || o.Removed != d.Removed || string(o.Text) != string(d.Text)) {
			return errors.New("field text: that number had another text")
		}
	}
	return nil
}

// Accept notes that the loader took a document that Take returned, a removal among them: it is
// the last known good, and seen. One that the agent was not told of, or that is older than what
// it accepted, changes nothing.
func (h *DocumentSet) Accept(d Document) {
	k := h.docs[d.Name]
	switch {
	case k == nil || d.Revision > k.Told.Revision:
	case d.Revision == k.Told.Revision:
		*k = documentRecord{Told: k.Told, Taken: true}
	default:
		if was := k.accepted(); was == nil || was.Revision < d.Revision {
			k.Accepted = &d
		}
	}
}

// Refuse notes that the loader could not take the latest document of a name, and its words, of
// which MaxWhy bytes are kept, control characters as blanks. The one accepted before stays. A document that was accepted and
// is refused now, as a new program may do after a restart, is not accepted any more.
func (h *DocumentSet) Refuse(d Document, why string) {
	k := h.docs[d.Name]
	if k == nil {
		return
	}
	if k.Accepted != nil && k.Accepted.Revision == d.Revision {
		k.Accepted = nil
	}
	if d.Revision == k.Told.Revision {
		k.Taken, k.Refused, k.Why = false, true, singleLine(why, MaxWhyBytes)
	}
}

// Effective returns the document of a kind that is in force: of those accepted and not removed
// the one of the narrowest scope. False: none, the agent's own file holds.
func (h *DocumentSet) Effective(kind string) (Document, bool) {
	scopes := h.agent.scopes()
	for _, s := range slices.Backward(scopes[:]) {
		if k := h.docs[Name{kind, s}]; k != nil {
			if d := k.accepted(); d != nil && !d.Removed {
				return *d, true
			}
		}
	}
	return Document{}, false
}

// KnownRevisions is what the agent was last told of, by Name.String(), for WatchArgs.Have.
func (h *DocumentSet) KnownRevisions() map[string]uint64 {
	out := make(map[string]uint64, len(h.docs))
	for n, k := range h.docs {
		out[n.String()] = k.Told.Revision
	}
	return out
}

// Report is what a report says of documents: the latest accepted of each name, by
// Name.String(), and the latest ones that were refused, by name.
func (h *DocumentSet) Report() (seen map[string]uint64, refused []Refusal) {
	seen = make(map[string]uint64, len(h.docs))
	for _, n := range h.names() {
		k := h.docs[n]
		if d := k.accepted(); d != nil {
			seen[n.String()] = d.Revision
		}
		if k.Refused {
			refused = append(refused, Refusal{Name: n, Revision: k.Told.Revision, Why: k.Why})
		}
	}
	return seen, refused
}

// Pending returns the documents that were told of and neither accepted nor refused yet, by
// name: after a restart in between the loader has to be asked again.
func (h *DocumentSet) Pending() (out []Document) {
	for _, n := range h.names() {
		if k := h.docs[n]; !k.Taken && !k.Refused {
			out = append(out, k.Told)
		}
	}
	return out
}

// Version is the highest version of an answer taken.
func (h *DocumentSet) Version() uint64 { return h.version }

// IsBehind tells whether the machine that answered has applied less than this agent holds.
func (h *DocumentSet) IsBehind(r WatchReply) bool { return r.Version < h.version }

func (h *DocumentSet) names() []Name {
	return slices.SortedFunc(maps.Keys(h.docs), func(a, b Name) int { return strings.Compare(a.String(), b.String()) })
}

type documentSetImage struct {
	Agent   Agent             `json:"agent"`
	Version uint64            `json:"version"`
	Docs    []*documentRecord `json:"docs,omitempty"`
}

// Bytes is the set as it is kept on a disk: the magic, the JSON image (documents by name, so
// that equal sets give equal bytes) and its xxhash64, big-endian, in the last 8 bytes.
func (h *DocumentSet) Bytes() []byte {
	i := documentSetImage{Agent: h.agent, Version: h.version}
	for _, n := range h.names() {
		i.Docs = append(i.Docs, h.docs[n])
	}
	img, _ := json.Marshal(i)
	return encodeFrame(documentSetMagic, img)
}

// DecodeDocumentSet reads what Bytes wrote, for the agent that wrote it: an agent that has another
// name, service, zone or region now has other documents, and fetches them. An error wraps
// ErrHeld and names the byte, or the field where the checksum holds.
func DecodeDocumentSet(a Agent, data []byte) (*DocumentSet, error) {
	img, err := decodeFrame(documentSetMagic, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDocumentSet, err)
	}
	var i documentSetImage
	if err := json.Unmarshal(img, &i); err != nil {
		return nil, fmt.Errorf("%w: image, %s", ErrDocumentSet, describeJSONError(img, err))
	}
	if i.Agent != a {
		return nil, fmt.Errorf("%w: byte %d, field agent: kept by %+v, read by %+v", ErrDocumentSet, len(documentSetMagic), i.Agent, a)
	}
	h := NewDocumentSet(a)
	h.version = i.Version
	told := map[uint64]Name{}
	for n, k := range i.Docs {
		if k == nil || h.docs[k.Told.Name] != nil || k.Taken && (k.Refused || k.Accepted != nil) {
			return nil, fmt.Errorf("%w: field docs[%d]: missing, twice, or both taken and not", ErrDocumentSet, n)
		}
		for _, d := range []*Document{k.Accepted, &k.Told} {
			if d == nil {
				continue
			}
			if err := h.checkDocument(*d, nil, i.Version, told); err != nil || d.Name != k.Told.Name {
				return nil, fmt.Errorf("%w: field docs[%d]: %w", ErrDocumentSet, n, err)
			}
			told[d.Revision] = d.Name
		}
		h.docs[k.Told.Name] = k
	}
	return h, nil
}

func cloneDocument(d *Document) *Document {
	if d == nil {
		return nil
	}
	c := *d
	return &c
}

// singleLine makes words fit for one line of a console: valid UTF-8 without control characters, of
// at most n bytes, cut at the end of a rune.
func singleLine(s string, n int) string {
	s = strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return ' '
		}
		return r
	}, strings.ToValidUTF8(s[:min(len(s), n+utf8.UTFMax)], "?"))
	if len(s) <= n {
		return s
	}
	for n > 0 && !utf8.RuneStart(s[n]) {
		n--
	}
	return s[:n]
}
