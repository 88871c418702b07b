package journal

import (
	"bytes"
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	peerv1 "github.com/bilberryrock/bilberryrock/api/peer/v1"
)

// A frame is a magic number, the length of its payload as 4 bytes, the xxHash of
// the payload as 8 bytes, both in little-endian order, and the payload.
var magic = []byte("\xb1bR\x01")

const frameHeader = 16 // bytes

// CorruptError tells that stored data is damaged or missing.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error names the file, the offset in bytes and the reason.
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

// readFrame returns the payload at the start of b, and the length of the frame.
// A length of 0 means that there is no whole frame.
func readFrame(b []byte) (payload []byte, n int) {
	if len(b) < frameHeader || !bytes.HasPrefix(b, magic) {
		return nil, 0
	}
	size := uint64(binary.LittleEndian.Uint32(b[4:]))
	if size > uint64(len(b)-frameHeader) {
		return nil, 0
	}
	payload = b[frameHeader : frameHeader+size]
	if xxhash.Sum64(payload) != binary.LittleEndian.Uint64(b[8:]) {
		return nil, 0
	}
	return payload, frameHeader + int(size)
}

// readWhole decodes a file that consists of one frame.
func readWhole(name string, b []byte, m proto.Message) error {
	payload, n := readFrame(b)
	if n == 0 || n != len(b) {
		return &CorruptError{File: name, Reason: "checksum or length does not match"}
	}
	if err := proto.Unmarshal(payload, m); err != nil {
		return &CorruptError{File: name, Offset: frameHeader, Reason: err.Error()}
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

// syncedAfter reports whether a record after the damaged one at offset proves
// that the damaged one was synced.
func syncedAfter(b []byte, offset int, segment uint64) bool {
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
