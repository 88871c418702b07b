package upstream

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// BlockSize is the number of token positions in one block of a prefix cache.
const BlockSize = 16

// BlockHash is a chained hash of the content of a block and of all blocks before it.
type BlockHash uint64

// CacheEvent reports that an engine stored or evicted a block of its prefix cache.
type CacheEvent struct {
	// Sequence numbers the events of one incarnation, starting at 1. A gap in the
	// numbers means that events were lost.
	Sequence uint64    `json:"sequence"`
	Evicted  bool      `json:"evicted,omitempty"`
	Block    BlockHash `json:"block"`
}

// CacheEvents is the response to a query for cache events.
type CacheEvents struct {
	Incarnation fleet.Incarnation `json:"incarnation"`
	Events      []CacheEvent      `json:"events"`
	// Next is the sequence number after which the next query should ask for events.
	Next uint64 `json:"next"`
}

// BlockHashes returns the hashes of the full blocks of a prompt in order. An
// incomplete last block is left out.
func BlockHashes(prompt []uint64) []BlockHash {
	blocks := make([]BlockHash, 0, len(prompt)/BlockSize)
	var b [8 * (BlockSize + 1)]byte
	var parent BlockHash
	for len(prompt) >= BlockSize {
		binary.LittleEndian.PutUint64(b[:], uint64(parent))
		for i, id := range prompt[:BlockSize] {
			binary.LittleEndian.PutUint64(b[8*(i+1):], id)
		}
		parent = BlockHash(xxhash.Sum64(b[:]))
		blocks = append(blocks, parent)
		prompt = prompt[BlockSize:]
	}
	return blocks
}
