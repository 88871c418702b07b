// Package gate implements admission.Gate. A request is first checked against the
// limits of its account. It then waits in the fair queue of its pool for a permit,
// and is refused as soon as it can no longer finish before its deadline.
//
// A permit is the right to have one request in progress; metrics and error
// messages call it a place. The number of permits of a pool is an adaptive
// concurrency limit: it starts at this instance's share of the pool's slots, grows
// while the load reports show free slots and shrinks while they show queued work.
// The quiet-hours limit applies to the requests in progress of all pools together.
//
//	g := gate.New(clock, limiter, gate.WithQuietLimit(governor))
//	g.SetCapacity(poolID, lane.Capacity{Slots: 320, Instances: 15})
//	ticket, err := g.Enter(ctx, ask)
//	if err != nil {
//		return err // not run
//	}
//	defer ticket.Done()
package gate

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/admission/lane"
	"github.com/bilberryrock/bilberryrock/internal/admission/share"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

// defaultQueueLimit is the maximum number of requests that wait for one pool.
const defaultQueueLimit = 1024

// Gate implements admission.Gate. It is safe for concurrent use.
type Gate struct {
	clock      fleet.Clock
	limiter    *share.Limiter
	quietLimit lane.QuietLimit
	queueLimit int

	mu       sync.RWMutex // guards lanes
	lanes    map[fleet.PoolID]*lockedLane
	stopping atomic.Bool
	pending  atomic.Int64  // requests that wait or run
	idle     chan struct{} // receives an element when pending falls to zero
}

var _ admission.Gate = (*Gate)(nil)

// Option configures a Gate.
type Option func(*Gate)

// WithQuietLimit sets the quiet-hours limit. The default is none.
func WithQuietLimit(q lane.QuietLimit) Option { return func(g *Gate) { g.quietLimit = q } }

// WithQueueLimit sets the maximum number of requests that wait for one pool.
func WithQueueLimit(n int) Option { return func(g *Gate) { g.queueLimit = n } }

// New returns a Gate that checks the limits of accounts with limiter.
func New(clock fleet.Clock, limiter *share.Limiter, options ...Option) *Gate {
	g := &Gate{
		clock:      clock,
		limiter:    limiter,
		queueLimit: defaultQueueLimit,
		lanes:      make(map[fleet.PoolID]*lockedLane),
		idle:       make(chan struct{}, 1),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Enter implements admission.Gate. All its errors mean that the request was not
// run.
func (g *Gate) Enter(ctx context.Context, r admission.Request) (admission.Ticket, error) {
	g.pending.Add(1)
	if g.stopping.Load() {
		g.decrementPending()
		return nil, refusal.New(refusal.Stopping, "instance is stopping")
	}
	now := g.clock.Now()
	if err := g.limiter.Acquire(r.Account, now); err != nil {
		g.decrementPending()
		return nil, err
	}
	l := g.lane(r.Pool)
	w, err := l.enter(ctx, r, now)
	if err != nil {
		g.limiter.Refund(r.Account)
		g.decrementPending()
		return nil, err
	}
	return &ticket{gate: g, lane: l, waiter: w, account: r.Account, started: g.clock.Now()}, nil
}

// SetCapacity updates what is known of the capacity of a pool. A control loop calls
// it whenever new load reports have arrived.
func (g *Gate) SetCapacity(p fleet.PoolID, c lane.Capacity) { g.lane(p).setCapacity(c) }

// Wake evicts requests over the quiet-hours limit and grants the permits that are
// free. A control loop calls it a few times a second, because the limit changes
// with time.
func (g *Gate) Wake() {
	if g.quietLimit != nil {
		g.quietLimit.Evict(g.clock.Now())
	}
	for _, l := range g.allLanes() {
		l.wake()
	}
}

// Close refuses new requests and blocks until none waits or runs. If ctx ends
// first, Close returns its error and the requests go on.
func (g *Gate) Close(ctx context.Context) error {
	g.stopping.Store(true)
	for g.pending.Load() > 0 {
		select {
		case <-g.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.signalIdle() // for a concurrent call of Close
	return nil
}

// Counters returns the counters and the current state of a pool.
func (g *Gate) Counters(p fleet.PoolID) lane.Counters { return g.lane(p).counters() }

// Pools returns the pools that had a request or for which a capacity was set.
func (g *Gate) Pools() []fleet.PoolID {
	g.mu.RLock()
	defer g.mu.RUnlock()
	ids := make([]fleet.PoolID, 0, len(g.lanes))
	for id := range g.lanes {
		ids = append(ids, id)
	}
	return ids
}

func (g *Gate) decrementPending() {
	if g.pending.Add(-1) == 0 {
		g.signalIdle()
	}
}

func (g *Gate) signalIdle() {
	select {
	case g.idle <- struct{}{}:
	default:
	}
}

func (g *Gate) lane(p fleet.PoolID) *lockedLane {
	g.mu.RLock()
	l := g.lanes[p]
	g.mu.RUnlock()
	if l != nil {
		return l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l = g.lanes[p]; l == nil {
		l = &lockedLane{clock: g.clock, lane: lane.New(p, g.queueLimit, g.quietLimit)}
		g.lanes[p] = l
	}
	return l
}

func (g *Gate) allLanes() []*lockedLane {
	g.mu.RLock()
	defer g.mu.RUnlock()
	lanes := make([]*lockedLane, 0, len(g.lanes))
	for _, l := range g.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}
