package budget

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// bucketCount is the number of buckets into which the window is divided.
	bucketCount = 10
	// maxSumAge is the time since the last SetSum up to which its sum is used.
	maxSumAge = 2 * time.Second
	// spendTime is the time over which the fleet may spend the remaining retries. The
	// sums are up to 0.75 s old: with 2 s, 121 instances sent 960 retries where 900
	// were allowed.
	spendTime = 4 * time.Second
	// burstFraction is the fraction of the remaining retries that all instances
	// together may spend at once.
	burstFraction = 0.8
	// startupPeriod is the time after the start of an instance in which it is limited
	// to startupBurst retries and startupRate more per second, because the
	// controllers may not have counted all instances yet.
	startupPeriod = 3 * time.Second
	startupBurst  = 3
	startupRate   = 0.5
	// firstWindowFraction is the fraction of the limit that is used in the first
	// window, because an instance does not know what it sent before a restart.
	firstWindowFraction = 0.5
	// isolatedFraction is the fraction of its share that an instance without recent
	// sums uses. Shares of less than two retries add up to the limit only on average.
	isolatedFraction = 0.9
	// maxInstancesAge is how long a greater number of instances is remembered, so that
	// a partitioned part of the fleet does not use more than its part of the limit.
	maxInstancesAge = 30 * time.Second
)

// Limit limits the retries of all instances in any window to Share times the first
// attempts in it, plus Extra.
type Limit struct {
	Share, Extra float64
	Window       time.Duration
}

// Count is the number of first attempts and retries in the last window.
type Count struct {
	// Attempts are first attempts.
	Attempts, Retries int
}

// Add returns the sum of two counts.
func (c Count) Add(o Count) Count {
	return Count{Attempts: c.Attempts + o.Attempts, Retries: c.Retries + o.Retries}
}

// Shared is the retry budget of one instance under a Limit that all instances share.
// Each instance reports its Count and receives the sum over all instances by SetSum.
// The remaining retries are spent by the instances that need them, at a rate that
// allows for the age of the sums. Without recent sums an instance uses only its own
// part of the limit, and before the first sum it does not retry. A Shared is safe for
// concurrent use.
type Shared struct {
	clock fleet.Clock
	limit Limit
	start time.Time

	mu             sync.Mutex
	buckets        [bucketCount + 1]bucket
	sum            Count
	instances      int
	sumAt          time.Time // time of the last SetSum
	maxInstances   int       // greatest recent number of instances, kept for maxInstancesAge
	maxInstancesAt time.Time
	spending       spending
	refilledAt     time.Time
}

// bucket counts what was sent in one tenth of a window.
type bucket struct {
	number int64
	count  Count
}

// NewShared returns a Shared that has received no sum. random returns numbers in
// [0, 1).
func NewShared(clock fleet.Clock, l Limit, random func() float64) *Shared {
	now := clock.Now()
	p := spending{random: random, all: tokens{balance: startupBurst, threshold: 1 - random()}}
	p.fresh.balance = (1 - reservedFraction) * startupBurst
	return &Shared{clock: clock, limit: l, start: now, refilledAt: now, spending: p}
}

// Deposit records a first attempt.
func (f *Shared) Deposit() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.currentBucket(f.clock.Now()).Attempts++
}

// Withdraw reports whether a retry may start and, if so, deducts it from the balance.
func (f *Shared) Withdraw() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.refill(now)
	if f.sumAt.IsZero() || !f.spending.withdraw() {
		return false
	}
	f.currentBucket(now).Retries++
	return true
}

// Count returns the first attempts and retries of this instance in the last window.
func (f *Shared) Count() Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ownCount(f.clock.Now())
}

// SetSum sets the sum of the counts of a number of instances, this one included.
func (f *Shared) SetSum(sum Count, instances int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	f.refill(now)
	f.sum, f.instances, f.sumAt = sum, instances, now
	if instances >= f.maxInstances || now.Sub(f.maxInstancesAt) > maxInstancesAge {
		f.maxInstances, f.maxInstancesAt = instances, now
	}
}

func (f *Shared) bucketNumber(now time.Time) int64 {
	return int64(now.Sub(f.start) * bucketCount / f.limit.Window)
}

func (f *Shared) currentBucket(now time.Time) *Count {
	n := f.bucketNumber(now)
	p := &f.buckets[n%int64(len(f.buckets))]
	if p.number != n {
		*p = bucket{number: n}
	}
	return &p.count
}

func (f *Shared) ownCount(now time.Time) Count {
	var sum Count
	n := f.bucketNumber(now)
	for _, p := range f.buckets {
		if n-p.number <= bucketCount {
			sum = sum.Add(p.count)
		}
	}
	return sum
}

// remaining returns the retries that remain of the limit, the retries that the limit
// allows in a window, and the number of instances that share both.
func (f *Shared) remaining(now time.Time) (remaining, allowed, sharers float64) {
	fraction := 1.0
	if now.Sub(f.start) < f.limit.Window {
		fraction = firstWindowFraction
	}
	sharers = float64(max(1, f.maxInstances))
	allowed = fraction * (f.limit.Share*float64(f.sum.Attempts) + f.limit.Extra*float64(f.instances)/sharers)
	remaining = allowed - float64(f.sum.Retries)
	if !f.sumAt.IsZero() && now.Sub(f.sumAt) <= maxSumAge {
		return remaining, allowed, sharers
	}
	own := f.ownCount(now)
	ownAllowed := isolatedFraction * fraction * (f.limit.Share*float64(own.Attempts) + f.limit.Extra/sharers)
	ownRemaining := ownAllowed - float64(own.Retries)
	if now.Sub(f.sumAt) < f.limit.Window {
		// The other instances may have spent more than their shares.
		ownRemaining = min(ownRemaining, remaining/sharers)
	}
	return ownRemaining, ownAllowed, 1
}

// refill adds the retries that were earned since the last call.
func (f *Shared) refill(now time.Time) {
	remaining, allowed, sharers := f.remaining(now)
	f.spending.refill(remaining, allowed, sharers, now.Sub(f.start) < startupPeriod, now.Sub(f.refilledAt))
	f.refilledAt = now
}
