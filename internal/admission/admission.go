// Package admission defines the types of admission control, which starts a request
// at once, queues it or refuses it.
package admission

import (
	"context"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// Request describes a request that asks for admission.
type Request struct {
	ID       fleet.RequestID
	Account  fleet.AccountID
	Weight   int
	Priority fleet.Priority
	Pool     fleet.PoolID
	// Deadline is the time by which the caller needs the answer. Zero means none.
	Deadline time.Time
	// Expected is the expected service time once the request has started. Zero
	// means that it is unknown.
	Expected time.Duration
}

// Ticket is the permission to run a request. Done must be called exactly once,
// when the request has ended.
type Ticket interface {
	Done()
}

// Evictable is a Ticket of a Gate that enforces a quiet-hours limit.
type Evictable interface {
	Ticket
	// Evicted returns a channel that is closed when the request has to move to
	// another data centre, or be refused, because quiet hours have begun.
	Evicted() <-chan struct{}
}

// Gate admits requests. Enter blocks until the request may start. Its errors are
// of kind refusal.AccountLimit, refusal.Overloaded, refusal.QuietHours,
// refusal.Deadline or refusal.Stopping, and all of them mean that the request was
// not run.
type Gate interface {
	Enter(ctx context.Context, r Request) (Ticket, error)
}
