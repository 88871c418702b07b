// Package quiet holds the types of quiet-hours windows, during which the load of
// a data centre has a bound.
package quiet

import "time"

// Span is one occurrence of a window: the half-open time [Start, End) with its
// load bound.
type Span struct {
	Window string
	Start  time.Time
	End    time.Time
	// MaxInFlight bounds the requests in progress in the data centre.
	MaxInFlight int
}

// Bound is the bound that holds for an instance now.
type Bound struct {
	// Limited tells whether there is a bound.
	Limited bool
	// MaxInFlight is the share of this instance.
	MaxInFlight int
	// Until is the time at which the bound may change.
	Until time.Time
	// Window names the window that sets the bound.
	Window string
}
