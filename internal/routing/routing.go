// Package routing holds the types of the choice of an upstream.
//
// A Chooser picks one of the candidates for a piece of work. Implementations
// stand in the packages below: scoring is the policy of the product, the others
// are baselines for benchmarks.
package routing

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Candidate is an upstream with what this instance knows of it.
type Candidate struct {
	ID fleet.UpstreamID
	// Slots is the number of sequences or calls that it runs at once.
	Slots int
	// InFlight counts the work that this instance has given it.
	InFlight int
	// Reported is the lagged report of sequences running and waiting, and
	// ReportAge its age.
	Reported  int
	ReportAge time.Duration
	// InFlightAtReport is InFlight as it was when the report was taken over.
	InFlightAtReport int
	// Peers is the number of other instances that choose among the same
	// candidates. Their choices since the report are unknown.
	Peers int
	// PoolLoad is the reported work per slot over all candidates of the pool, or
	// negative when there are no reports.
	PoolLoad float64
	// ServiceTime is the learned time of one piece of work without waiting.
	// Zero means not known yet.
	ServiceTime time.Duration
	// Link is the one-way delay to the upstream.
	Link time.Duration
	// CachedShare is the share of the prompt, 0 to 1, that the upstream
	// probably has in its prefix cache.
	CachedShare float64
	// Health is 0 for an ejected upstream, 1 for a sound one, between them for
	// one that returns.
	Health float64
}

// Choice is a chosen candidate and why.
type Choice struct {
	// Index is the index of the candidate, or -1 when there is none.
	Index int
	// Expected is the expected time until the work is done.
	Expected time.Duration
	Reason   string
}

// Chooser picks a candidate. Implementations are safe for concurrent use.
type Chooser interface {
	// Choose returns the choice among candidates, which must not be changed.
	Choose(candidates []Candidate) Choice
}
