package promise

import (
	"bytes"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
)

// snapshotMagic begins every snapshot, so that a file of something else is named as such.
const snapshotMagic = "WRPROM1\n"

// ErrSnapshot is a snapshot that can't be restored: not one, cut short, or corrupt. Restoring
// it changes nothing.
var ErrSnapshot = errors.New("promise: snapshot")

type image struct {
	Applied  uint64                `json:"applied"`
	Calls    map[string]Resolution `json:"calls"`
	Drained  map[string]bool       `json:"drained"`
	Versions map[string]string     `json:"versions"`
	Circuits map[int]string        `json:"circuits"`
}

// Snapshot is the whole state as bytes: the magic, the JSON image (maps in key order, so
// equal states give equal bytes), and a CRC-32C of the image, big-endian, in the last 4 bytes.
// The log up to Applied may be dropped once a snapshot is kept.
func (s *State) Snapshot() []byte {
	img, _ := json.Marshal(image{s.applied, s.calls, s.drained, s.versions, s.circuits})
	out := make([]byte, 0, len(snapshotMagic)+len(img)+4)
	out = append(out, snapshotMagic...)
	out = append(out, img...)
	return binary.BigEndian.AppendUint32(out, crc32.Checksum(img, castagnoli))
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Restore returns the state a snapshot holds. A snapshot that is not one, is cut short or
// whose checksum does not match is refused with ErrSnapshot naming the byte.
func Restore(data []byte) (*State, error) {
	if !bytes.HasPrefix(data, []byte(snapshotMagic)) {
		return nil, fmt.Errorf("%w: byte 0: no snapshot of promises (it begins %q)", ErrSnapshot, head(data))
	}
	if len(data) < len(snapshotMagic)+4 {
		return nil, fmt.Errorf("%w: byte %d: cut short", ErrSnapshot, len(data))
	}
	img, sum := data[len(snapshotMagic):len(data)-4], binary.BigEndian.Uint32(data[len(data)-4:])
	if got := crc32.Checksum(img, castagnoli); got != sum {
		return nil, fmt.Errorf("%w: byte %d: checksum %08x, the image's is %08x", ErrSnapshot, len(data)-4, sum, got)
	}
	var m image
	if err := json.Unmarshal(img, &m); err != nil {
		return nil, fmt.Errorf("%w: %v", ErrSnapshot, describe(img, err))
	}
	s := New()
	s.applied = m.Applied
	for k, v := range m.Calls {
		s.calls[k] = v
	}
	for k, v := range m.Drained {
		s.drained[k] = v
	}
	for k, v := range m.Versions {
		s.versions[k] = v
	}
	for k, v := range m.Circuits {
		s.circuits[k] = v
	}
	return s, nil
}

func head(b []byte) []byte { return b[:min(len(b), 8)] }
