// Package fakeclock implements fleet.Clock for tests. The time stands still
// until Advance moves it:
//
//	c := fakeclock.New(fakeclock.Start)
//	c.Advance(3 * time.Second)
package fakeclock

import (
	"sort"
	"sync"
	"time"
)

// Start is the time that tests usually begin at.
var Start = time.Date(2026, time.January, 5, 9, 0, 0, 0, time.UTC)

// Clock is a clock that only Advance moves. It is safe for concurrent use.
type Clock struct {
	mu      sync.Mutex
	now     time.Time
	waiters []waiter
}

type waiter struct {
	at time.Time
	ch chan time.Time
}

// New returns a Clock that shows start.
func New(start time.Time) *Clock {
	return &Clock{now: start}
}

// Now returns the time that the clock shows.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

// After returns a channel that receives the time as soon as Advance has moved
// the clock by at least d. A d of zero or less is received at once.
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

// Advance moves the clock by d and wakes the waiters whose time has come, the
// earliest first.
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

// Waiters returns the number of channels that wait for Advance.
func (c *Clock) Waiters() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.waiters)
}
