// Package affinity tracks which upstream probably has which prompt prefixes in its
// cache.
//
// The table is filled from the requests that this instance has sent and from the
// cache events of the engines. Events are delayed, and some are lost. A gap in the
// sequence makes all entries of the upstream uncertain: their share counts half
// until later events confirm them. The table is only a hint; if it is wrong,
// requests take longer but the results are still correct.
//
// A prompt is a list of chained block hashes: the hash of a block covers all
// blocks before it, so one hash identifies a whole prefix. The table is
// set-associative and of fixed size: a new entry replaces the oldest of its set.
package affinity

import (
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// MaxHolders is the maximum number of upstreams that Find returns.
	MaxHolders = 4

	shardCount   = 64
	setsPerShard = 256
	waysPerSet   = 4

	// entryHalfLife is the age at which the confidence in an entry is one half.
	entryHalfLife = 2 * time.Minute
	// gapConfidence is the factor on the confidence in entries from before a gap.
	gapConfidence = 0.5
)

// Event reports changes of the prefix cache of an engine.
type Event struct {
	Upstream fleet.UpstreamID
	// Sequence increases by one with each event of an upstream.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
	// Cleared reports that the cache was emptied before Stored was added.
	Cleared bool
}

// Holder is an upstream with the estimated share of the prompt, from 0 to 1, in its
// cache.
type Holder struct {
	Cache *Cache
	Share float64
}

// Table maps block hashes to the caches that probably hold them. The zero value is
// empty and ready for use. It is safe for concurrent use and must not be copied
// after first use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	sets [setsPerShard][waysPerSet]entry
}

type entry struct {
	hash  uint64
	cache *Cache
	at    int64
}

// Cache identifies the prefix cache of one incarnation of an upstream and tracks the
// sequence of its events. It is safe for concurrent use.
type Cache struct {
	id             fleet.UpstreamID
	mu             sync.Mutex
	sequence       uint64
	hasSequence    bool
	uncertainUntil atomic.Int64 // entries recorded up to this time are uncertain
	invalidUntil   atomic.Int64 // entries recorded up to this time are invalid
}

// Chain appends to dst the chained hashes of the complete blocks of a prompt of
// token ids. size is the number of tokens per block.
func Chain(dst, prompt []uint64, size int) []uint64 {
	if size <= 0 {
		return dst
	}
	var d xxhash.Digest
	d.Reset()
	var buf [8]byte
	for i, t := range prompt {
		binary.LittleEndian.PutUint64(buf[:], t)
		_, _ = d.Write(buf[:])
		if (i+1)%size == 0 {
			dst = append(dst, d.Sum64())
		}
	}
	return dst
}

// NewCache returns a Cache without events for an upstream.
func NewCache(id fleet.UpstreamID) *Cache {
	c := &Cache{id: id}
	c.uncertainUntil.Store(math.MinInt64)
	c.invalidUntil.Store(math.MinInt64)
	return c
}

// ID returns the id of the upstream.
func (c *Cache) ID() fleet.UpstreamID { return c.id }

// Invalidate invalidates all entries of c, past and future.
func (c *Cache) Invalidate() { c.invalidUntil.Store(math.MaxInt64) }

// RecordUse records that a request with this prefix was sent to the upstream of c.
func (t *Table) RecordUse(c *Cache, prefix []uint64, now int64) {
	for _, h := range prefix {
		t.put(h, c, now)
	}
}

// Apply applies an event of c.
func (t *Table) Apply(c *Cache, e Event, now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hasSequence && e.Sequence <= c.sequence {
		return // late or duplicate
	}
	if c.hasSequence && e.Sequence != c.sequence+1 {
		c.uncertainUntil.Store(now)
	}
	c.hasSequence = true
	c.sequence = e.Sequence
	if e.Cleared {
		c.invalidUntil.Store(now - 1)
	}
	for _, h := range e.Removed {
		t.remove(h, c)
	}
	for _, h := range e.Stored {
		// The +1 makes the entries newer than a gap that this event revealed.
		t.put(h, c, now+1)
	}
}

// Find fills found with upstreams that probably hold a part of the prefix and
// returns their number. The longest matches come first.
func (t *Table) Find(prefix []uint64, now int64, found *[MaxHolders]Holder) int {
	count := 0
	// Halving the length makes the search logarithmic in the length of the prompt.
	for length := len(prefix); length > 0 && count < MaxHolders; length /= 2 {
		share := float64(length) / float64(len(prefix))
		count = t.match(prefix[length-1], share, now, found, count)
	}
	return count
}

func (t *Table) match(hash uint64, share float64, now int64, found *[MaxHolders]Holder, count int) int {
	var set [waysPerSet]entry
	h, at := t.locate(hash)
	h.mu.Lock()
	set = h.sets[at]
	h.mu.Unlock()
	for _, e := range set {
		if e.hash != hash || e.cache == nil || count == MaxHolders || contains(found[:count], e.cache) {
			continue
		}
		if likelihood := confidence(e, now); likelihood > 0 {
			found[count] = Holder{Cache: e.cache, Share: share * likelihood}
			count++
		}
	}
	return count
}

// confidence returns the estimated probability, from 0 to 1, that an entry is still
// in the cache.
func confidence(e entry, now int64) float64 {
	if e.at <= e.cache.invalidUntil.Load() {
		return 0
	}
	age := float64(max(now-e.at, 0))
	likelihood := 1 / (1 + age/float64(entryHalfLife))
	if e.at <= e.cache.uncertainUntil.Load() {
		likelihood *= gapConfidence
	}
	return likelihood
}

func (t *Table) locate(hash uint64) (*shard, int) {
	return &t.shards[hash%shardCount], int(hash / shardCount % setsPerShard)
}

func (t *Table) put(hash uint64, c *Cache, at int64) {
	h, i := t.locate(hash)
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := 0
	for w := range h.sets[i] {
		e := &h.sets[i][w]
		if e.hash == hash && e.cache == c {
			e.at = max(e.at, at)
			return
		}
		if e.cache == nil || e.at < h.sets[i][oldest].at {
			oldest = w
		}
	}
	h.sets[i][oldest] = entry{hash: hash, cache: c, at: at}
}

func (t *Table) remove(hash uint64, c *Cache) {
	h, i := t.locate(hash)
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.sets[i] {
		if e := &h.sets[i][w]; e.hash == hash && e.cache == c {
			*e = entry{}
		}
	}
}

func contains(found []Holder, c *Cache) bool {
	for _, f := range found {
		if f.Cache == c {
			return true
		}
	}
	return false
}
