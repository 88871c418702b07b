package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
)

// TestStopIsBounded guards against a stop that goes on after the stop timeout,
// whatever holds it up, and that doesn't tell what did. A stop without a bound hangs
// the test.
func TestStopIsBounded(t *testing.T) {
	hang := make(chan struct{})
	defer close(hang)
	for _, o := range []struct {
		name   string
		adjust func(*settings.Settings)
		hold   func(*Daemon)
		err    string // part of the error
	}{
		{"drainDelay", func(s *settings.Settings) { s.Instance.DrainDelay = time.Hour }, func(*Daemon) {}, ""},
		{"loop", func(*settings.Settings) {}, func(d *Daemon) { d.loops.Go(func() { <-hang }) }, "a loop did not end"},
	} {
		t.Run(o.name, func(t *testing.T) {
			is := is.New(t)
			s := secureSettings(t, newAuthority(t, t.TempDir(), "ours"))
			s.Instance.StopTimeout = time.Second
			o.adjust(&s)
			d, err := New(s)
			is.NoErr(err)
			o.hold(d)
			err = d.Stop()
			if o.err != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), o.err))
			}
		})
	}
}
