// Package admission holds the types of the decision whether a request may start
// now, has to wait, or is refused.
package admission

import (
	"context"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Ask describes a request that wants to start.
type Ask struct {
	Request  fleet.RequestID
	Account  fleet.AccountID
	Weight   int
	Priority fleet.Priority
	Pool     fleet.PoolID
	// Deadline is the time by which the caller wants the answer.
	Deadline time.Time
	// Expected is the expected time of the work once it has started.
	Expected time.Duration
}

// Ticket is the right to run. Done must be called exactly once when the work
// has ended.
type Ticket interface {
	Done()
}

// Movable is a Ticket of a Gate with a quiet-hours bound.
type Movable interface {
	Ticket
	// Moved returns a channel that is closed when the work has to leave this
	// data centre, or be refused, because quiet hours have begun.
	Moved() <-chan struct{}
}

// Gate admits requests. Errors are of kind refusal.AccountLimit,
// refusal.Overloaded, refusal.QuietHours, refusal.Deadline or refusal.Stopping
// and all mean that the request was not run.
type Gate interface {
	Enter(ctx context.Context, a Ask) (Ticket, error)
}
