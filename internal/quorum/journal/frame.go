package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
)

// magic starts every frame. It is followed by the payload length (4 bytes) and
// the xxHash of the payload (8 bytes), both little-endian, and the payload.
var magic = []byte("\xb1bR\x01")

const frameHeaderSize = 16 // bytes

// CorruptError reports that stored data is damaged or missing.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error returns a message with the file, the offset in bytes and the reason.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

func appendFrame(b []byte, m proto.Message) ([]byte, error) {
	payload, err := proto.Marshal(m)
	if err != nil {
		return nil, err
	}
	b = append(b, magic...)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(payload)))
	b = binary.LittleEndian.AppendUint64(b, xxhash.Sum64(payload))
	return append(b, payload...), nil
}

// readFrame returns the payload of the frame at the start of b and the length of
// the whole frame in bytes. The length is 0 if the frame is truncated or damaged.
func readFrame(b []byte) (payload []byte, n int) {
	if len(b) < frameHeaderSize || !bytes.HasPrefix(b, magic) {
		return nil, 0
	}
	size := uint64(binary.LittleEndian.Uint32(b[4:]))
	if size > uint64(len(b)-frameHeaderSize) {
		return nil, 0
	}
	payload = b[frameHeaderSize : frameHeaderSize+size]
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(b[8:]) {
		return nil, 0
	}
	return payload, frameHeaderSize + int(size)
}

// decodeFile decodes the content b of the file name, which must be exactly one
// frame, into m.
func decodeFile(name string, b []byte, m proto.Message) error {
	payload, n := readFrame(b)
	if n == 0 || n != len(b) {
		return &CorruptError{File: name, Reason: "checksum or length does not match"}
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return &CorruptError{File: name, Offset: frameHeaderSize, Reason: err.Error()}
	}
	return nil
}

func readRecord(b []byte, segment uint64) (*peerv1.JournalRecord, int) {
	payload, n := readFrame(b)
	if n == 0 {
		return nil, 0
	}
	var r peerv1.JournalRecord
	if proto.Unmarshal(payload, &r) != nil || r.GetSegment() != segment {
		return nil, 0
	}
	return &r, n
}

// provenSynced reports whether a later record proves that the damaged record at
// offset had been synced.
func provenSynced(b []byte, offset int, segment uint64) bool {
	for i := offset + 1; i < len(b); i++ {
		k := bytes.Index(b[i:], magic)
		if k < 0 {
			return false
		}
		i += k
		if r, n := readRecord(b[i:], segment); n > 0 && r.GetSynced() > uint64(offset) {
			return true
		}
	}
	return false
}
