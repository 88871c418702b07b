// Package speed estimates service times from completed requests, with one Estimate
// per upstream and one per accelerator kind. An upstream without samples is
// assumed to be as fast as its kind. An estimate that gets no new samples moves
// back towards the estimate of its kind, so that an upstream that was slow and
// has become fast again gets traffic again.
//
// The zero value of Estimate is ready for use. Reads and writes are lock-free.
package speed

import (
	"math"
	"sync/atomic"
	"time"
)

const (
	// sampleWeight is the weight of a new sample in the exponential moving average.
	sampleWeight = 0.2
	// relaxTimeConstant is the time without samples after which an estimate has
	// moved about two thirds of the way to the estimate of its kind.
	relaxTimeConstant = 30 * time.Second
)

// Estimate is an exponential moving average of a service time. It is safe for
// concurrent use and must not be copied after first use.
type Estimate struct {
	nanoseconds atomic.Uint64 // float64 bits; 0 means that there is no sample yet
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
			next = mean + sampleWeight*(next-mean)
		}
		if e.nanoseconds.CompareAndSwap(old, math.Float64bits(next)) {
			return
		}
	}
}

// Relax moves the estimate towards kind, the estimate of its accelerator kind,
// after a time idle without samples.
func (e *Estimate) Relax(kind, idle time.Duration) {
	old := e.nanoseconds.Load()
	if old == 0 || kind <= 0 || idle <= 0 {
		return
	}
	mean := math.Float64frombits(old)
	fraction := 1 - math.Exp(-float64(idle)/float64(relaxTimeConstant))
	// If a sample is added concurrently, it takes precedence and the swap fails.
	e.nanoseconds.CompareAndSwap(old, math.Float64bits(mean+fraction*(float64(kind)-mean)))
}

// Value returns the estimate, or zero if there are no samples.
func (e *Estimate) Value() time.Duration {
	return time.Duration(math.Float64frombits(e.nanoseconds.Load()))
}
