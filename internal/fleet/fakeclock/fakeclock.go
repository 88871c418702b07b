// Package fakeclock implements fleet.Clock for tests. The time changes only when
// Advance is called:
//
//	c := fakeclock.New(fakeclock.Start)
//	c.Advance(3 * time.Second)
package fakeclock

import (
	"sort"
	"sync"
	"time"
)

// Start is the usual start time of tests.
var Start = time.Date(2026, time.January, 5, 9, 0, 0, 0, time.UTC)

// Clock is a clock whose time only Advance changes. It is safe for concurrent use.
type Clock struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// New returns a Clock that is set to start.
func New(start time.Time) *Clock {
	return &Clock{now: start}
}

// Now returns the time to which the clock is set.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After returns a channel that receives the time once Advance has moved the clock by
// at least d. If d is zero or negative, the channel receives the time at once.
func (c *Clock) After(d time.Duration) <-chan time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	ch := make(chan time.Time, 1)
	if d <= 0 {
		ch <- c.now
		return ch
	}
	c.waiters = append(c.waiters, waiter{at: c.now.Add(d), ch: ch})
	return ch
}

// Advance moves the clock forward by d and sends to the channels of After whose time
// is reached, in the order of their times.
func (c *Clock) Advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
	sort.SliceStable(c.waiters, func(i, j int) bool {
		return c.waiters[i].at.Before(c.waiters[j].at)
	})
	for len(c.waiters) > 0 && !c.waiters[0].at.After(c.now) {
		c.waiters[0].ch <- c.waiters[0].at
		c.waiters = c.waiters[1:]
	}
}

// Waiters returns the number of channels of After that have not received a time yet.
func (c *Clock) Waiters() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters)
}
