// Package calendar computes the occurrences of weekly quiet-hours windows.
//
// A window is defined by times of day in a time zone. Where the zone changes its
// UTC offset, the longest interpretation applies: a start time that occurs twice
// means the first occurrence, an end time that occurs twice means the second, and a
// time that does not exist means the instant of the change. Each occurrence is
// extended on both sides by the maximum clock error, so that an instance whose clock
// is wrong by no more than that applies the window for all of its actual duration.
//
//	spans := calendar.Spans(windows, now, now.Add(24*time.Hour), time.Second)
package calendar

import (
	"sort"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/quiet"
)

const day = 24 * time.Hour

// Spans returns the occurrences of windows that overlap [from, to), ordered by
// start and name. Each is extended by clockError on both sides.
func Spans(windows []document.Window, from, to time.Time, clockError time.Duration) []quiet.Span {
	var spans []quiet.Span
	for i := range windows {
		spans = appendSpans(spans, &windows[i], from, to, clockError)
	}
	sort.Slice(spans, func(i, j int) bool {
		if !spans[i].Start.Equal(spans[j].Start) {
			return spans[i].Start.Before(spans[j].Start)
		}
		return spans[i].Window < spans[j].Window
	})
	return spans
}

func appendSpans(spans []quiet.Span, w *document.Window, from, to time.Time, clockError time.Duration) []quiet.Span {
	zone := w.Zone
	if zone == nil {
		zone = time.UTC
	}
	// A window is at most one day long, and the offset of a zone from UTC is at most
	// one day.
	for d := midnight(from.Add(-3 * day)); d.Before(to.Add(2 * day)); d = d.Add(day) {
		if !containsDay(w.Days, d.Weekday()) {
			continue
		}
		s := occurrence(w, d, zone)
		if !s.Start.Before(s.End) {
			continue // skipped entirely by a change of the zone offset
		}
		s.Start, s.End = s.Start.Add(-clockError), s.End.Add(clockError)
		if s.Start.Before(to) && from.Before(s.End) {
			spans = append(spans, s)
		}
	}
	return spans
}

// occurrence returns the span of w that starts on the date of d. d is midnight UTC.
func occurrence(w *document.Window, d time.Time, zone *time.Location) quiet.Span {
	until := w.To
	if until <= w.From {
		until += day
	}
	start, _ := instants(d.Add(w.From), zone)
	_, end := instants(d.Add(until), zone)
	return quiet.Span{
		Window:      w.Name,
		Start:       start,
		End:         end,
		MaxInFlight: w.MaxInFlight,
	}
}

// instants returns the first and the last instant at which the wall clock in zone
// shows the date and time of wall, which is given in UTC. For a time that does not
// exist, both are the instant of the change that skips it.
func instants(wall time.Time, zone *time.Location) (first, last time.Time) {
	before := wall.Add(-offset(wall.Add(-day), zone))
	after := wall.Add(-offset(wall.Add(day), zone))
	beforeShows, afterShows := showsWallTime(before, wall, zone), showsWallTime(after, wall, zone)
	switch {
	case beforeShows && afterShows:
		return before, after
	case beforeShows:
		return before, before
	case afterShows:
		return after, after
	}
	// The time does not exist in zone. With the old offset it lies after the change.
	change, _ := before.In(zone).ZoneBounds()
	return change.UTC(), change.UTC()
}

// showsWallTime reports whether the wall clock in zone shows the date and time of wall
// at t.
func showsWallTime(t, wall time.Time, zone *time.Location) bool {
	return t.Add(offset(t, zone)).Equal(wall)
}

func offset(t time.Time, zone *time.Location) time.Duration {
	_, seconds := t.In(zone).Zone()
	return time.Duration(seconds) * time.Second
}

func midnight(t time.Time) time.Time {
	y, m, d := t.UTC().Date()
	return time.Date(y, m, d, 0, 0, 0, 0, time.UTC)
}

func containsDay(days []time.Weekday, d time.Weekday) bool {
	for _, o := range days {
		if o == d {
			return true
		}
	}
	return false
}
