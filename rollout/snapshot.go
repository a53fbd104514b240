package rollout

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// snapshotMagic starts every snapshot, so that a file of another kind is recognized.
const snapshotMagic = "WRROLL1\n"

// ErrSnapshot is returned for data that is not a snapshot, is truncated or is corrupt.
var ErrSnapshot = errors.New("rollout: snapshot")

// Image is an immutable copy of a State, so that a snapshot can be written while further entries are applied.
type Image struct{ image image }

// image is the JSON form of a State.
type image struct {
	Applied uint64     `json:"applied"`
	Docs    []docImage `json:"docs,omitempty"`
}

// docImage is the JSON form of a document with its revisions.
type docImage struct {
	Now    *Revision   `json:"now,omitempty"`
	First  *Revision   `json:"first,omitempty"`
	Next   *Revision   `json:"next,omitempty"`
	Former []*Revision `json:"former,omitempty"`
}

// Image copies the state. Texts and revisions are shared, as they are never modified.
func (s *State) Image() Image {
	i := image{Applied: s.applied, Docs: make([]docImage, 0, len(s.docs))}
	for _, d := range s.sortedDocs() {
		i.Docs = append(i.Docs, docImage{d.current, d.first, d.waiting, d.former})
	}
	return Image{i}
}

// Bytes returns the snapshot of the copied state: the magic, the JSON image (documents sorted by name, so
// that equal states give equal bytes) and the image's xxhash64, big-endian, in the last 8 bytes.
func (i Image) Bytes() []byte {
	img, _ := json.Marshal(i.image)
	return encodeFrame(snapshotMagic, img)
}

// Restore decodes a snapshot. Data that is not a snapshot, is truncated or whose checksum does not match is
// refused with an ErrSnapshot that names the byte.
func Restore(data []byte) (*State, error) {
	img, err := decodeFrame(snapshotMagic, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	var decoded image
	if err := json.Unmarshal(img, &decoded); err != nil {
		return nil, fmt.Errorf("%w: image, %s", ErrSnapshot, describeJSONError(img, err))
	}
	s := New()
	s.applied = decoded.Applied
	numbers := map[uint64]bool{}
	for index, stored := range decoded.Docs {
		var d *doc
		for _, r := range slices.Concat([]*Revision{stored.Now, stored.First, stored.Next}, stored.Former) {
			switch {
			case r == nil:
				continue
			case d == nil && (!r.Name.valid() || s.docs[r.Name] != nil):
				return nil, fmt.Errorf("%w: field docs[%d]: name %q is invalid or duplicate", ErrSnapshot, index, r.Name)
			case d == nil:
				d = s.addDocument(r.Name)
			}
			if r.Name != d.name || r.Revision == 0 || r.Revision > decoded.Applied || numbers[r.Revision] || r.Sum != Sum(r.Text) {
				return nil, fmt.Errorf("%w: field docs[%d]: revision %d of %v: invalid name, number or checksum", ErrSnapshot, index, r.Revision, d.name)
			}
			numbers[r.Revision] = true
			s.totalBytes += len(r.Text)
		}
		if d == nil || slices.Contains(stored.Former, nil) {
			return nil, fmt.Errorf("%w: field docs[%d]: a revision is missing", ErrSnapshot, index)
		}
		d.current, d.first, d.waiting, d.former = stored.Now, stored.First, stored.Next, stored.Former
		if d.first != nil || d.waiting != nil {
			s.open[d] = true
		}
	}
	return s, nil
}

// encodeFrame returns the magic, the image, and the image's xxhash64, big-endian.
func encodeFrame(magic string, img []byte) []byte {
	out := make([]byte, 0, len(magic)+len(img)+8)
	out = append(append(out, magic...), img...)
	return binary.BigEndian.AppendUint64(out, xxhash.Sum64(img))
}

// decodeFrame returns the image of a frame made by encodeFrame. An error names the byte.
func decodeFrame(magic string, data []byte) ([]byte, error) {
	for i := range min(len(magic), len(data)) {
		if data[i] != magic[i] {
			return nil, fmt.Errorf("byte %d: not a file of this kind (starts with %q)", i, data[:min(len(data), 8)])
		}
	}
	if len(data) < len(magic)+8 {
		return nil, fmt.Errorf("byte %d: truncated", len(data))
	}
	at := len(data) - 8
	img, sum := data[len(magic):at], binary.BigEndian.Uint64(data[at:])
	if got := xxhash.Sum64(img); got != sum {
		return nil, fmt.Errorf("byte %d: checksum %016x, the image's is %016x: truncated or corrupt", at, sum, got)
	}
	return bytes.Clone(img), nil
}
