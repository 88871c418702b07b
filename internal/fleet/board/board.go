// Package board holds the blackboard: shared state that controllers read and
// write.
//
// Shards is a map that is split into parts with one lock each, so that no lock
// is shared by all keys:
//
//	var inFlight board.Shards[fleet.UpstreamID, int]
//	inFlight.Update(id, func(n int, ok bool) (int, bool) { return n + 1, true })
//
// The zero value of Shards is an empty map that is ready for use. Cell holds one
// value that is replaced whole, such as the configuration in force.
package board

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

const shardCount = 64 // a power of two, so that a mask selects the shard

// Shards is a map from K to V in shards, each under its own lock. It is safe for
// concurrent use and must not be copied after first use.
type Shards[K ~string, V any] struct {
	shards [shardCount]shard[K, V]
}

type shard[K ~string, V any] struct {
	mu     sync.RWMutex
	values map[K]V
	_      [32]byte // keeps neighbouring locks on different cache lines
}

func (s *Shards[K, V]) of(k K) *shard[K, V] {
	return &s.shards[xxhash.Sum64String(string(k))&(shardCount-1)]
}

// Get returns the value of k and whether there is one.
func (s *Shards[K, V]) Get(k K) (V, bool) {
	h := s.of(k)
	h.mu.RLock()
	defer h.mu.RUnlock()
	v, ok := h.values[k]
	return v, ok
}

// Put sets the value of k.
func (s *Shards[K, V]) Put(k K, v V) {
	h := s.of(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.put(k, v)
}

// Delete removes k.
func (s *Shards[K, V]) Delete(k K) {
	h := s.of(k)
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.values, k)
}

// Update calls f with the value of k and whether there is one, under the lock of
// the shard. It stores the returned value, or removes k when f returns false.
// f must not call s.
func (s *Shards[K, V]) Update(k K, f func(v V, ok bool) (V, bool)) {
	h := s.of(k)
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

// Range calls f for every pair until f returns false. It locks one shard at a
// time, so it is not a snapshot of the whole map. f must not write to s.
func (s *Shards[K, V]) Range(f func(k K, v V) bool) {
	for i := range s.shards {
		if !s.shards[i].visit(f) {
			return
		}
	}
}

// Len returns the number of pairs.
func (s *Shards[K, V]) Len() int {
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

func (h *shard[K, V]) visit(f func(k K, v V) bool) bool {
	h.mu.RLock()
	defer h.mu.RUnlock()
	for k, v := range h.values {
		if !f(k, v) {
			return false
		}
	}
	return true
}

// Cell holds one value that is replaced whole. Readers never wait. The zero
// value holds nil.
type Cell[V any] struct {
	value atomic.Pointer[V]
}

// Load returns the value, or nil. The value must not be changed.
func (c *Cell[V]) Load() *V { return c.value.Load() }

// Advance replaces the value by next when newer reports true for the current
// value, which may be nil. It returns whether it did.
func (c *Cell[V]) Advance(next *V, newer func(old *V) bool) bool {
	for {
		old := c.value.Load()
		if !newer(old) {
			return false
		}
		if c.value.CompareAndSwap(old, next) {
			return true
		}
	}
}
