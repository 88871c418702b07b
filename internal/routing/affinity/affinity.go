// Package affinity tracks which upstream probably has which prompt
// prefixes in its cache.
//
// The table is filled from the work that this instance sent itself and from cache
// events of the engines. Events come late and with gaps. A gap makes everything
// known of the upstream doubtful: its share counts half until later events
// confirm it. The table is a hint; when it is wrong, work takes longer but
// stays correct.
//
// A prompt is a list of chained block hashes: the hash of a block covers all
// blocks before it, so one hash stands for a whole prefix. Memory is bounded: a
// new entry displaces the oldest of its set.
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
	// MaxHolders is the number of upstreams that Find returns at most.
	MaxHolders = 4

	shardCount   = 64
	setsPerShard = 256
	waysPerSet   = 4

	// halfLife is the age at which an entry counts half.
	halfLife = 2 * time.Minute
	// doubt is the factor on what was known before a gap.
	doubt = 0.5
)

// Event is one message about the cache of an engine.
type Event struct {
	Upstream fleet.UpstreamID
	// Sequence grows by one with each event of an upstream.
	Sequence uint64
	Stored   []uint64
	Removed  []uint64
	// Cleared tells that the cache was emptied before Stored.
	Cleared bool
}

// Holder is an upstream and the share of the prompt that it probably holds.
type Holder struct {
	Source *Source
	Share  float64
}

// Table maps block hashes to upstreams. The zero value is empty and ready for use. It is safe
// for concurrent use and must not be copied after first use.
type Table struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	sets [setsPerShard][waysPerSet]entry
}

type entry struct {
	hash   uint64
	source *Source
	at     int64
}

// Source is one incarnation of an upstream. It is safe for concurrent use.
type Source struct {
	id        fleet.UpstreamID
	mu        sync.Mutex
	sequence  uint64
	started   bool
	doubtful  atomic.Int64 // entries up to this time are doubtful
	forgotten atomic.Int64 // entries up to this time are gone
}

// Chain appends to dst the hashes of the whole blocks of a prompt of token ids.
// Each hash covers the blocks before it too. size is in tokens.
func Chain(dst, prompt []uint64, size int) []uint64 {
	if size <= 0 {
		return dst
	}
	var d xxhash.Digest
	d.Reset()
	var word [8]byte
	for i, t := range prompt {
		binary.LittleEndian.PutUint64(word[:], t)
		_, _ = d.Write(word[:])
		if (i+1)%size == 0 {
			dst = append(dst, d.Sum64())
		}
	}
	return dst
}

// NewSource returns the Source of an upstream of which nothing is known.
func NewSource(id fleet.UpstreamID) *Source {
	s := &Source{id: id}
	s.doubtful.Store(math.MinInt64)
	s.forgotten.Store(math.MinInt64)
	return s
}

// ID returns the upstream.
func (s *Source) ID() fleet.UpstreamID { return s.id }

// Release makes all entries of the source void.
func (s *Source) Release() { s.forgotten.Store(math.MaxInt64) }

// Note records that work with this prefix was sent to u.
func (t *Table) Note(u *Source, prefix []uint64, now int64) {
	for _, h := range prefix {
		t.put(h, u, now)
	}
}

// Apply takes over an event of s.
func (t *Table) Apply(s *Source, e Event, now int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.started && e.Sequence <= s.sequence {
		return // late or repeated
	}
	if s.started && e.Sequence != s.sequence+1 {
		s.doubtful.Store(now)
	}
	s.started = true
	s.sequence = e.Sequence
	if e.Cleared {
		s.forgotten.Store(now - 1)
	}
	for _, h := range e.Removed {
		t.remove(h, s)
	}
	for _, h := range e.Stored {
		// Stored is later than a gap that this event made known.
		t.put(h, s, now+1)
	}
}

// Find fills found with upstreams that probably hold a part of the prefix and
// returns their number. The longest parts come first.
func (t *Table) Find(prefix []uint64, now int64, found *[MaxHolders]Holder) int {
	count := 0
	// The length halves each time, so the search is logarithmic in the prompt.
	for length := len(prefix); length > 0 && count < MaxHolders; length /= 2 {
		share := float64(length) / float64(len(prefix))
		count = t.match(prefix[length-1], share, now, found, count)
	}
	return count
}

func (t *Table) match(hash uint64, share float64, now int64, found *[MaxHolders]Holder, count int) int {
	var set [waysPerSet]entry
	h, at := t.place(hash)
	h.mu.Lock()
	set = h.sets[at]
	h.mu.Unlock()
	for _, e := range set {
		if e.hash != hash || e.source == nil || count == MaxHolders || holds(found[:count], e.source) {
			continue
		}
		if likely := trust(e, now); likely > 0 {
			found[count] = Holder{Source: e.source, Share: share * likely}
			count++
		}
	}
	return count
}

// trust returns how likely an entry still holds.
func trust(e entry, now int64) float64 {
	if e.at <= e.source.forgotten.Load() {
		return 0
	}
	age := float64(max(now-e.at, 0))
	likely := 1 / (1 + age/float64(halfLife))
	if e.at <= e.source.doubtful.Load() {
		likely *= doubt
	}
	return likely
}

func (t *Table) place(hash uint64) (*shard, int) {
	return &t.shards[hash%shardCount], int(hash / shardCount % setsPerShard)
}

func (t *Table) put(hash uint64, u *Source, at int64) {
	h, i := t.place(hash)
	h.mu.Lock()
	defer h.mu.Unlock()
	oldest := 0
	for w := range h.sets[i] {
		e := &h.sets[i][w]
		if e.hash == hash && e.source == u {
			e.at = max(e.at, at)
			return
		}
		if e.source == nil || e.at < h.sets[i][oldest].at {
			oldest = w
		}
	}
	h.sets[i][oldest] = entry{hash: hash, source: u, at: at}
}

func (t *Table) remove(hash uint64, u *Source) {
	h, i := t.place(hash)
	h.mu.Lock()
	defer h.mu.Unlock()
	for w := range h.sets[i] {
		if e := &h.sets[i][w]; e.hash == hash && e.source == u {
			*e = entry{}
		}
	}
}

func holds(found []Holder, u *Source) bool {
	for _, f := range found {
		if f.Source == u {
			return true
		}
	}
	return false
}
