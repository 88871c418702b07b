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

// Guards against ejection on too little evidence, reinstatement at full load,
// and an upstream that fails again at once and comes back as fast as before.
func TestState(t *testing.T) {
	datadriven.RunTest(t, "testdata/state.txt", func(t *testing.T, d *datadriven.TestData) string {
		var s ejection.State
		now := fakeclock.Start
		var b strings.Builder
		for _, line := range strings.Split(strings.TrimSpace(d.Input), "\n") {
			var word string
			n := 1
			_, _ = fmt.Sscanf(line, "%s %d", &word, &n)
			switch word {
			case "succeed":
				for range n {
					s.Succeed()
				}
			case "fail":
				for range n {
					if s.Fail(now) {
						fmt.Fprintf(&b, "ejected at %v\n", now.Sub(fakeclock.Start))
					}
				}
			case "mixed":
				for range n {
					s.Succeed()
					if first := s.Fail(now); s.Fail(now) || first {
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
