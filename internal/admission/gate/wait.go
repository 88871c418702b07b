package gate

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/admission/lane"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// lockedLane is the lane of a pool with the lock that guards it.
type lockedLane struct {
	clock fleet.Clock
	mu    sync.Mutex
	lane  *lane.Lane
}

// enter blocks until the request has a permit, is refused or ctx ends.
func (g *lockedLane) enter(ctx context.Context, r admission.Request, now time.Time) (*lane.Waiter, error) {
	result := make(chan error, 1)
	w, err := g.join(r, now, result)
	if err != nil {
		return nil, err
	}
	var expiry <-chan time.Time
	if latest := w.LatestStart(); !latest.IsZero() && len(result) == 0 {
		// The request expires one nanosecond after its latest start.
		expiry = g.clock.After(latest.Sub(now) + 1)
	}
	for {
		select {
		case err := <-result:
			return w, err
		case <-expiry:
			expiry = nil
			g.wake()
		case <-ctx.Done():
			return nil, g.leave(w, result, ctx.Err())
		}
	}
}

func (g *lockedLane) join(r admission.Request, now time.Time, result chan<- error) (*lane.Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane.Join(r, now, func(err error) { result <- err })
}

// leave removes a request whose caller has gone away. A permit that was granted
// in the meantime is returned.
func (g *lockedLane) leave(w *lane.Waiter, result <-chan error, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lane.Leave(w) && <-result == nil {
		g.lane.Finish(w, 0, g.clock.Now())
	}
	return refusal.WithCause(refusal.Deadline, cause, "caller left the queue, not started")
}

func (g *lockedLane) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lane.Wake(g.clock.Now())
}

func (g *lockedLane) setCapacity(c lane.Capacity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lane.SetCapacity(c, g.clock.Now())
}

func (g *lockedLane) counters() lane.Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane.Counters()
}

var _ admission.Evictable = (*ticket)(nil)

// ticket implements admission.Ticket.
type ticket struct {
	gate    *Gate
	lane    *lockedLane
	waiter  *lane.Waiter
	account fleet.AccountID
	started time.Time
}

// Evicted implements admission.Evictable.
func (t *ticket) Evicted() <-chan struct{} { return t.waiter.Evicted() }

// Done implements admission.Ticket.
func (t *ticket) Done() {
	now := t.gate.clock.Now()
	t.lane.mu.Lock()
	t.lane.lane.Finish(t.waiter, now.Sub(t.started), now)
	t.lane.mu.Unlock()
	t.gate.limiter.Release(t.account)
	t.gate.decrementPending()
}
