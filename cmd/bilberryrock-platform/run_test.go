package main

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

// TestStopTimes checks that draining fits into the grace period and that a shutdown does
// not abort requests before the last sixth of it.
func TestStopTimes(t *testing.T) {
	datadriven.RunTest(t, "testdata/stoptimes.txt", func(t *testing.T, d *datadriven.TestData) string {
		grace, err := time.ParseDuration(d.Input)
		if err != nil {
			d.Fatalf(t, "%v", err)
		}
		drain, end := stopTimes(grace)
		if drain > end || end > grace || end < grace*5/6 {
			t.Errorf("grace %s: drain %s, end %s", grace, drain, end)
		}
		return fmt.Sprintf("drain %s, end %s\n", drain, end)
	})
}
