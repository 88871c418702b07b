package systemclock

import "time"

// BootClock is a clock for leases and ages. Unlike Clock it includes the time during which
// the machine was suspended, and it does not follow later adjustments of the wall clock,
// so only differences between its times are meaningful. Use NewBootClock to create one.
type BootClock struct {
	Clock
	start       time.Time
	bootAtStart time.Duration
	sinceBoot   func() time.Duration
}

// NewBootClock returns a BootClock that is set to the current wall-clock time.
func NewBootClock() BootClock { return newBootClock(Clock{}.Boot) }

func newBootClock(sinceBoot func() time.Duration) BootClock {
	return BootClock{start: time.Now(), bootAtStart: sinceBoot(), sinceBoot: sinceBoot}
}

// Now returns the time of the construction plus the time that has passed since,
// including suspensions.
func (s BootClock) Now() time.Time { return s.start.Add(s.sinceBoot() - s.bootAtStart) }
