// Package routing defines the types used to select an upstream for a request.
//
// A Chooser selects one of the candidates. The implementations are in
// subpackages: scoring is the production policy, the others are baselines for
// benchmarks.
package routing

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Candidate is an upstream together with this instance's view of its state.
type Candidate struct {
	ID fleet.UpstreamID
	// Slots is the number of sequences or calls that the upstream runs concurrently.
	Slots int
	// InFlight is the number of requests of this instance in progress on the
	// upstream.
	InFlight int
	// Reported is the number of running and waiting sequences in the last load
	// report. The report lags behind the actual load by ReportAge, which is
	// negative if there is no report.
	Reported  int
	ReportAge time.Duration
	// InFlightAtReport is the value of InFlight when the report was stored.
	InFlightAtReport int
	// Peers is the number of other instances that choose among the same
	// candidates. The choices that they made since the report are unknown.
	Peers int
	// PoolLoad is the reported load per slot, averaged over the pool, or negative
	// if there are no reports.
	PoolLoad float64
	// ServiceTime is the estimated time to process one request, without
	// queueing. Zero means that there is no estimate yet.
	ServiceTime time.Duration
	// LinkDelay is the one-way network delay to the upstream.
	LinkDelay time.Duration
	// CachedShare is the estimated fraction of the prompt, from 0 to 1, that is in
	// the prefix cache of the upstream.
	CachedShare float64
	// Health is 0 for an ejected upstream, 1 for a healthy one, and in between
	// for one that is recovering from an ejection or has just joined.
	Health float64
}

// Choice is the result of a selection, with the reason for it.
type Choice struct {
	// Index is the index of the selected candidate, or -1 if there is none.
	Index int
	// Expected is the expected time until the request completes.
	Expected time.Duration
	Reason   string
}

// Chooser selects a candidate. Implementations are safe for concurrent use.
type Chooser interface {
	// Choose selects one of the candidates. It must not modify the slice.
	Choose(candidates []Candidate) Choice
}
