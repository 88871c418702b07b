// Package speed learns service times from finished work: one Estimate per
// upstream and one per kind of accelerator. An upstream without samples is taken
// to be as fast as its kind, and an estimate without new samples relaxes to its
// kind, so that an upstream that became fast again is tried again.
//
// The zero value of Estimate is ready for use. Reads and writes take no lock.
package speed

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// weightOfSample is the weight of a new sample in the moving average.
	weightOfSample = 0.2
	// relaxTime is the time without samples after which an estimate has moved
	// about two thirds of the way to its kind.
	relaxTime = 30 * time.Second
)

// Estimate is a moving average of a service time. It is safe for concurrent use
// and must not be copied after first use.
type Estimate struct {
	nanoseconds atomic.Uint64 // bits of a float64; 0 means no sample yet
}

// Observe adds a sample.
func (e *Estimate) Observe(sample time.Duration) {
	if sample <= 0 {
		return
	}
	for {
		old := e.nanoseconds.Load()
		next := float64(sample)
		if old != 0 {
			mean := math.Float64frombits(old)
			next = mean + weightOfSample*(next-mean)
		}
		if e.nanoseconds.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Relax moves the estimate towards kind for a time idle without samples.
func (e *Estimate) Relax(kind, idle time.Duration) {
	old := e.nanoseconds.Load()
	if old == 0 || kind <= 0 || idle <= 0 {
		return
	}
	mean := math.Float64frombits(old)
	moved := 1 - math.Exp(-float64(idle)/float64(relaxTime))
	// A sample that arrives at the same time wins.
	e.nanoseconds.CompareAndSwap(old, math.Float64bits(mean+moved*(float64(kind)-mean)))
}

// Value returns the estimate, or zero without samples.
func (e *Estimate) Value() time.Duration {
	return time.Duration(math.Float64frombits(e.nanoseconds.Load()))
}
