package ejection_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/routing/ejection"
)

// Guards against ejection after too few failures, recovery without a ramp, and an
// ejection time that does not grow when the upstream fails again during recovery.
func TestState(t *testing.T) {
	datadriven.RunTest(t, "testdata/state.txt", func(t *testing.T, d *datadriven.TestData) string {
		var s ejection.State
		now := fakeclock.Start
		var b strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var command string
			n := 1
			_, _ = fmt.Sscanf(line, "%s %d", &command, &n)
			switch command {
			case "succeed":
				for range n {
					s.RecordSuccess()
				}
			case "fail":
				for range n {
					if s.RecordFailure(now) {
						fmt.Fprintf(&b, "ejected at %v\n", now.Sub(fakeclock.Start))
					}
				}
			case "mixed":
				for range n {
					s.RecordSuccess()
					if first := s.RecordFailure(now); s.RecordFailure(now) || first {
						fmt.Fprintf(&b, "ejected at %v\n", now.Sub(fakeclock.Start))
					}
				}
			case "seconds":
				now = now.Add(time.Duration(n) * time.Second)
			case "health":
				fmt.Fprintf(&b, "health %.2f at %v\n", s.Health(now), now.Sub(fakeclock.Start))
			}
		}
		return b.String()
	})
}
