package promise

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"maps"
)

// snapshotMagic starts every snapshot, so that a file of another kind is recognized.
const snapshotMagic = "WRPROM1\n"

// ErrSnapshot is returned for data that is not a snapshot, is truncated or is corrupt.
var ErrSnapshot = errors.New("promise: snapshot")

// image is the JSON form of a State.
type image struct {
	Applied  uint64                `json:"applied"`
	Fence    uint64                `json:"fence,omitempty"`
	Claims   map[string]Claim      `json:"claims,omitempty"`
	Calls    map[string]Resolution `json:"calls"`
	Drained  map[string]bool       `json:"drained"`
	Versions map[string]string     `json:"versions"`
	Circuits map[int]string        `json:"circuits"`
	Epoch    uint64                `json:"epoch,omitempty"`
	Plan     json.RawMessage       `json:"plan,omitempty"`
}

// Snapshot encodes the whole state: the magic, the JSON image (maps in key order, so that equal states give
// equal bytes), and the image's CRC-32C, big-endian, in the last 4 bytes. Once a snapshot is stored, the log
// up to Applied may be discarded.
func (s *State) Snapshot() []byte {
	return image{s.applied, s.fence, s.claims, s.calls, s.drained, s.versions, s.circuits, s.epoch, s.plan}.bytes()
}

// bytes encodes an image as described at State.Snapshot.
func (i image) bytes() []byte {
	img, _ := json.Marshal(i)
	out := make([]byte, 0, len(snapshotMagic)+len(img)+4)
	out = append(out, snapshotMagic...)
	out = append(out, img...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(img, castagnoli))
}

// castagnoli is the table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Restore decodes a snapshot. Data that is not a snapshot, is truncated or whose checksum does not match is
// refused with an ErrSnapshot that names the byte.
func Restore(data []byte) (*State, error) {
	if !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		return nil, fmt.Errorf("%w: byte 0: not a snapshot of promises (starts with %q)", ErrSnapshot, firstBytes(data))
	}
	if len(data) < len(snapshotMagic)+4 {
		return nil, fmt.Errorf("%w: byte %d: truncated", ErrSnapshot, len(data))
	}
	img, sum := data[len(snapshotMagic):len(data)-4], binary.BigEndian.Uint32(data[len(data)-4:])
	if got := crc32.Checksum(img, castagnoli); got != sum {
		return nil, fmt.Errorf("%w: byte %d: checksum %08x, the image's is %08x", ErrSnapshot, len(data)-4, sum, got)
	}
	var m image
	if err := json.Unmarshal(img, &m); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshot, describeJSONError(img, err))
	}
	s := New()
	s.applied, s.fence, s.epoch, s.plan = m.Applied, m.Fence, m.Epoch, m.Plan
	maps.Copy(s.claims, m.Claims)
	maps.Copy(s.calls, m.Calls)
	maps.Copy(s.drained, m.Drained)
	maps.Copy(s.versions, m.Versions)
	maps.Copy(s.circuits, m.Circuits)
	for call, c := range s.claims {
		s.ages.add(c.AtUs, call)
	}
	for call, r := range s.calls {
		s.ages.add(r.AtUs, call)
	}
	return s, nil
}

// Image is an immutable copy of a State, so that a snapshot can be written while further entries are applied.
// Descriptions are shared with the State; they are never modified.
type Image struct{ image image }

// Image copies the state.
func (s *State) Image() Image {
	return Image{image{s.applied, s.fence, maps.Clone(s.claims), maps.Clone(s.calls),
		maps.Clone(s.drained), maps.Clone(s.versions), maps.Clone(s.circuits), s.epoch, s.plan}}
}

// Bytes returns the snapshot of the copied state, as State.Snapshot encodes it.
func (i Image) Bytes() []byte { return i.image.bytes() }

// firstBytes returns the first 8 bytes, for an error message.
func firstBytes(b []byte) []byte { return b[:min(len(b), 8)] }
