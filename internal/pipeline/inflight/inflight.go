// Package inflight counts the sequences that this instance runs on each upstream.
// The zero value of Counts is ready for use:
//
//	var counts inflight.Counts
//	counts.Add(id, 1)
//	defer counts.Add(id, -1)
package inflight

import (
	"sync/atomic"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
)

// Counts implements pipeline.SequenceCounter.
type Counts struct {
	counters board.ShardedMap[fleet.UpstreamID, *atomic.Int64]
}

// Counter returns the counter of an upstream. It returns the same counter until
// Forget is called.
func (c *Counts) Counter(id fleet.UpstreamID) *atomic.Int64 {
	if n, ok := c.counters.Get(id); ok {
		return n
	}
	var counter *atomic.Int64
	c.counters.Update(id, func(n *atomic.Int64, ok bool) (*atomic.Int64, bool) {
		if !ok {
			n = new(atomic.Int64)
		}
		counter = n
		return n, true
	})
	return counter
}

// Add implements pipeline.SequenceCounter.
func (c *Counts) Add(id fleet.UpstreamID, n int) { c.Counter(id).Add(int64(n)) }

// Forget deletes the counter of an upstream that has left.
func (c *Counts) Forget(id fleet.UpstreamID) { c.counters.Delete(id) }
