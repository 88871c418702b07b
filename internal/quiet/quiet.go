// Package quiet defines the types of quiet-hours windows, during which the number of
// requests in progress in a data centre is limited.
package quiet

import "time"

// Span is one occurrence of a window: the half-open interval [Start, End) with its
// load limit.
type Span struct {
	Window string
	Start  time.Time
	End    time.Time
	// MaxInFlight is the maximum number of requests in progress in the data centre.
	MaxInFlight int
}

// Limit is the limit that currently applies to one instance.
type Limit struct {
	// Limited reports whether there is a limit.
	Limited bool
	// MaxInFlight is the maximum number of requests in progress on this instance.
	MaxInFlight int
	// Until is the earliest time at which the limit may change.
	Until time.Time
	// Window is the name of the window that sets the limit.
	Window string
}
