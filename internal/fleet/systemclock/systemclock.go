// Package systemclock implements fleet.Clock with the clock of the operating
// system. The zero value of Clock is ready for use.
package systemclock

import "time"

// Clock reads the time of the operating system.
type Clock struct{}

// Now returns the current time with a monotonic reading.
func (Clock) Now() time.Time { return time.Now() }

// After waits for d on a timer of the runtime.
func (Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }
