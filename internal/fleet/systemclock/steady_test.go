package systemclock

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against leases that outlast a suspension, which the monotonic clock does not
// count.
func TestSteadyCountsSuspension(t *testing.T) {
	is := is.New(t)
	boot := time.Hour
	s := steady(func() time.Duration { return boot })
	before := s.Now()
	boot += 10 * time.Second // suspended
	is.Equal(s.Now().Sub(before), 10*time.Second)
}

// Guards against a clock that is not that of the system.
func TestSteadyGoesOn(t *testing.T) {
	is := is.New(t)
	s := NewSteady()
	before := s.Now()
	<-s.After(time.Millisecond)
	is.True(s.Now().Sub(before) >= time.Millisecond)
}
