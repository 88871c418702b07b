package daemon

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/fleet/settings"
)

// TestStopIsBounded guards against a shutdown that exceeds the stop timeout, here
// because of a long drain delay or a goroutine that does not return, and against an
// error that does not name the cause. A shutdown without a limit hangs the test.
func TestStopIsBounded(t *testing.T) {
	blocked := make(chan struct{})
	defer close(blocked)
	for _, o := range []struct {
		name   string
		adjust func(*settings.Settings)
		block  func(*Daemon)
		err    string // substring of the error
	}{
		{"drainDelay", func(s *settings.Settings) { s.Instance.DrainDelay = time.Hour }, func(*Daemon) {}, ""},
		{"loop", func(*settings.Settings) {}, func(d *Daemon) { d.loops.Go(func() { <-blocked }) }, "background goroutines did not stop in time"},
	} {
		t.Run(o.name, func(t *testing.T) {
			is := is.New(t)
			s := tlsSettings(t, newAuthority(t, t.TempDir(), "ours"))
			s.Instance.StopTimeout = time.Second
			o.adjust(&s)
			d, err := New(s)
			is.NoErr(err)
			o.block(d)
			err = d.Stop()
			if o.err != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), o.err))
			}
		})
	}
}
