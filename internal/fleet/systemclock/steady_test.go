package systemclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBootClockCountsSuspension guards against leases that outlast their duration when
// the machine is suspended, because the monotonic clock does not include that time.
func TestBootClockCountsSuspension(t *testing.T) {
	is := is.New(t)
	sinceBoot := time.Hour
	s := newBootClock(func() time.Duration { return sinceBoot })
	before := s.Now()
	sinceBoot += 10 * time.Second // time that passes during a suspension
	is.Equal(s.Now().Sub(before), 10*time.Second)
}

// TestBootClockAdvances guards against a BootClock that does not follow the clock of
// the system.
func TestBootClockAdvances(t *testing.T) {
	is := is.New(t)
	s := NewBootClock()
	before := s.Now()
	<-s.After(time.Millisecond)
	is.True(s.Now().Sub(before) >= time.Millisecond)
}
