// Package board provides containers for state that goroutines share.
//
// ShardedMap is a map that is split into shards with one lock each, so that no lock
// is shared by all keys:
//
//	var inFlight board.ShardedMap[fleet.UpstreamID, int]
//	inFlight.Update(id, func(n int, ok bool) (int, bool) { return n + 1, true })
//
// The zero value of ShardedMap is an empty map that is ready for use. Cell holds one
// value that is replaced as a whole, such as the active configuration.
package board

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64 // must be a power of two, because a mask of the hash selects the shard

// ShardedMap is a map from K to V that is split into shards, each with its own lock.
// It is safe for concurrent use and must not be copied after first use.
type ShardedMap[K ~string, V any] struct {
	shards [shardCount]shard[K, V]
}

type shard[K ~string, V any] struct {
	mu     sync.RWMutex
	values map[K]V
	_      [32]byte // padding that keeps neighbouring locks on different cache lines
}

func (s *ShardedMap[K, V]) shardFor(k K) *shard[K, V] {
	return &s.shards[xxhash.Sum64String(string(k))&(shardCount-1)]
}

// Get returns the value of k and whether k is present.
func (s *ShardedMap[K, V]) Get(k K) (V, bool) {
	h := s.shardFor(k)
	h.mu.RLock()
	defer h.mu.RUnlock()
	v, ok := h.values[k]
	return v, ok
}

// Put sets the value of k.
func (s *ShardedMap[K, V]) Put(k K, v V) {
	h := s.shardFor(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.put(k, v)
}

// Delete removes k.
func (s *ShardedMap[K, V]) Delete(k K) {
	h := s.shardFor(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.values, k)
}

// Update calls f with the value of k and whether k is present, while it holds the
// lock of the shard. It stores the value that f returns, or removes k if f returns
// false. f must not call methods of s, which would deadlock.
func (s *ShardedMap[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	h := s.shardFor(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	old, ok := h.values[k]
	v, keep := f(old, ok)
	if !keep {
		delete(h.values, k)
		return
	}
	h.put(k, v)
}

// Range calls f for every entry until f returns false. It locks one shard at a time,
// so it does not see a consistent snapshot of the map. f must not write to s.
func (s *ShardedMap[K, V]) Range(f func(k K, v V) bool) {
	for i := range s.shards {
		if !s.shards[i].forEach(f) {
			return
		}
	}
}

// Len returns the number of entries. It locks one shard at a time.
func (s *ShardedMap[K, V]) Len() int {
	n := 0
	for i := range s.shards {
		h := &s.shards[i]
		h.mu.RLock()
		n += len(h.values)
		h.mu.RUnlock()
	}
	return n
}

func (h *shard[K, V]) put(k K, v V) {
	if h.values == nil {
		h.values = make(map[K]V)
	}
	h.values[k] = v
}

func (h *shard[K, V]) forEach(f func(k K, v V) bool) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for k, v := range h.values {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Cell holds a pointer to a value that is replaced as a whole. Load never blocks. The
// zero Cell holds nil.
type Cell[V any] struct {
	value atomic.Pointer[V]
}

// Load returns the current value, or nil. The caller must not modify it.
func (c *Cell[V]) Load() *V { return c.value.Load() }

// StoreIf atomically replaces the value by next if condition returns true for the
// current value, which may be nil. It reports whether the value was replaced. condition
// may be called several times.
func (c *Cell[V]) StoreIf(next *V, condition func(old *V) bool) bool {
	for {
		old := c.value.Load()
		if !condition(old) {
			return false
		}
		if c.value.CompareAndSwap(old, next) {
			return true
		}
	}
}
