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

// guarded is the lane of a pool under its lock.
type guarded struct {
	clock fleet.Clock
	mu    sync.Mutex
	lane  *lane.Lane
}

// enter waits for a place.
func (g *guarded) enter(ctx context.Context, a admission.Ask, now time.Time) (*lane.Waiter, error) {
	granted := make(chan error, 1)
	w, err := g.join(a, now, granted)
	if err != nil {
		return nil, err
	}
	var late <-chan time.Time
	if at := w.LatestStart(); !at.IsZero() && len(granted) == 0 {
		// One nanosecond later the request counts as late.
		late = g.clock.After(at.Sub(now) + 1)
	}
	for {
		select {
		case err := <-granted:
			return w, err
		case <-late:
			late = nil
			g.wake()
		case <-ctx.Done():
			return nil, g.leave(w, granted, ctx.Err())
		}
	}
}

func (g *guarded) join(a admission.Ask, now time.Time, granted chan<- error) (*lane.Waiter, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane.Join(a, now, func(err error) { granted <- err })
}

// leave ends the wait of a caller that went away. A place that was handed out
// meanwhile is returned.
func (g *guarded) leave(w *lane.Waiter, granted <-chan error, cause error) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lane.Leave(w) && <-granted == nil {
		g.lane.Finish(w, 0, g.clock.Now())
	}
	return refusal.Because(refusal.Deadline, cause, "caller left the queue, not started")
}

func (g *guarded) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lane.Wake(g.clock.Now())
}

func (g *guarded) adapt(c lane.Capacity) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lane.Adapt(c, g.clock.Now())
}

func (g *guarded) counters() lane.Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.lane.Counters()
}

var _ admission.Movable = (*ticket)(nil)

// ticket implements admission.Ticket.
type ticket struct {
	gate    *Gate
	lane    *guarded
	waiter  *lane.Waiter
	account fleet.AccountID
	began   time.Time
}

// Moved implements admission.Movable.
func (t *ticket) Moved() <-chan struct{} { return t.waiter.Moved() }

// Done implements admission.Ticket.
func (t *ticket) Done() {
	now := t.gate.clock.Now()
	t.lane.mu.Lock()
	t.lane.lane.Finish(t.waiter, now.Sub(t.began), now)
	t.lane.mu.Unlock()
	t.gate.limit.Release(t.account)
	t.gate.leave()
}
