// Package systemclock implements fleet.Clock with the clock of the operating
// system. The zero value of Clock is ready for use.
package systemclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock reads the time of the operating system.
type Clock struct{}

// Now returns the current time with a monotonic reading.
func (Clock) Now() time.Time { return time.Now() }

// After waits for d on a timer of the runtime.
func (Clock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Boot returns the time since the machine started. Unlike the monotonic reading of Now
// it also advances while the machine is suspended, so leases are measured with it.
func (Clock) Boot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// CLOCK_BOOTTIME exists since Linux 2.6.39.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}
	return time.Duration(t.Nano())
}
