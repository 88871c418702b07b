package calendar_test

import (
	"fmt"
	"strings"
	"testing"
	"time"
	_ "time/tzdata" // makes the test independent of the zone database of the machine

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/quiet/calendar"
)

// Guards against occurrences that are too short or missing where a zone changes its
// offset, across midnight, and at the ends of the queried interval.
func TestSpans(t *testing.T) {
	datadriven.RunTest(t, "testdata/spans.txt", func(t *testing.T, d *datadriven.TestData) string {
		is := is.New(t)
		args := map[string]string{"error": "0s"}
		w := document.Window{Name: "quiet"}
		for _, a := range d.CmdArgs {
			args[a.Key] = a.Vals[0]
			if a.Key == "days" {
				w.Days = days(a.Vals)
			}
		}
		w.From, w.To = timeOfDay(t, args["from"]), timeOfDay(t, args["to"])
		var err error
		w.Zone, err = time.LoadLocation(args["zone"])
		is.NoErr(err)
		start, err := time.Parse(time.RFC3339, args["at"])
		is.NoErr(err)
		duration, err := time.ParseDuration(args["for"])
		is.NoErr(err)
		clockError, err := time.ParseDuration(args["error"])
		is.NoErr(err)
		var b strings.Builder
		for _, s := range calendar.Spans([]document.Window{w}, start, start.Add(duration), clockError) {
			fmt.Fprintf(&b, "%s - %s (%s)\n", s.Start.UTC().Format(time.RFC3339), s.End.UTC().Format(time.RFC3339), s.End.Sub(s.Start))
		}
		return b.String()
	})
}

func days(names []string) []time.Weekday {
	var all []time.Weekday
	for d := time.Sunday; d <= time.Saturday; d++ {
		for _, n := range names {
			if n == d.String()[:3] || n == "all" {
				all = append(all, d)
			}
		}
	}
	return all
}

func timeOfDay(t *testing.T, s string) time.Duration {
	t.Helper()
	var h, m int
	_, err := fmt.Sscanf(s, "%d:%d", &h, &m)
	is.New(t).NoErr(err)
	return time.Duration(h)*time.Hour + time.Duration(m)*time.Minute
}
