package systemclock

import "time"

// Steady is a clock for leases and ages. Unlike Clock it counts the time for which the
// machine was suspended, and it does not follow later steps of the time of day, so that
// only differences of its times mean something. NewSteady returns one.
type Steady struct {
	Clock
	start time.Time
	boot  time.Duration
	read  func() time.Duration
}

// NewSteady returns a Steady that begins at the present time.
func NewSteady() Steady { return steady(Clock{}.Boot) }

func steady(read func() time.Duration) Steady {
	return Steady{start: time.Now(), boot: read(), read: read}
}

// Now returns the time of the construction plus what has passed since, suspensions
// included.
func (s Steady) Now() time.Time { return s.start.Add(s.read() - s.boot) }
