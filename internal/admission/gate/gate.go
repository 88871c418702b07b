// Package gate implements admission.Gate. A request passes the limits of its
// account first, then waits in the fair queue of its pool until the pool has a
// free place, or is refused as soon as it is clear that it cannot finish before
// its deadline.
//
// The number of places adapts to what the pool can run: it starts at the part of
// the pool's slots that falls to this instance, grows while reports show free
// slots and shrinks while they show waiting work. The quiet-hours bound limits
// the places of all pools together.
//
//	g := gate.New(clock, limiter, gate.WithBound(governor))
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

// defaultQueue is the number of requests that may wait for one pool.
const defaultQueue = 1024

// Gate admits requests. It is safe for concurrent use.
type Gate struct {
	clock fleet.Clock
	limit *share.Limiter
	bound lane.Bound
	queue int

	mu       sync.RWMutex // guards lanes
	lanes    map[fleet.PoolID]*guarded
	stopping atomic.Bool
	pending  atomic.Int64  // requests that wait or run
	idle     chan struct{} // has an element after pending fell to zero
}

var _ admission.Gate = (*Gate)(nil)

// Option changes a Gate.
type Option func(*Gate)

// WithBound sets the quiet-hours bound. The default is none.
func WithBound(b lane.Bound) Option { return func(g *Gate) { g.bound = b } }

// WithQueue sets the number of requests that may wait for one pool.
func WithQueue(n int) Option { return func(g *Gate) { g.queue = n } }

// New returns a Gate that asks limit about the accounts.
func New(clock fleet.Clock, limit *share.Limiter, options ...Option) *Gate {
	g := &Gate{
		clock: clock,
		limit: limit,
		queue: defaultQueue,
		lanes: make(map[fleet.PoolID]*guarded),
		idle:  make(chan struct{}, 1),
	}
	for _, o := range options {
		o(g)
	}
	return g
}

// Enter implements admission.Gate. All its errors mean that the request was not
// run.
func (g *Gate) Enter(ctx context.Context, a admission.Ask) (admission.Ticket, error) {
	g.pending.Add(1)
	if g.stopping.Load() {
		g.leave()
		return nil, refusal.New(refusal.Stopping, "instance is stopping")
	}
	now := g.clock.Now()
	if err := g.limit.Take(a.Account, now); err != nil {
		g.leave()
		return nil, err
	}
	l := g.lane(a.Pool)
	w, err := l.enter(ctx, a, now)
	if err != nil {
		g.limit.Refund(a.Account)
		g.leave()
		return nil, err
	}
	return &ticket{gate: g, lane: l, waiter: w, account: a.Account, began: g.clock.Now()}, nil
}

// SetCapacity tells what a pool can run. A controller calls it whenever new
// reports have come.
func (g *Gate) SetCapacity(p fleet.PoolID, c lane.Capacity) { g.lane(p).adapt(c) }

// Wake hands out places again after the bound changed, and asks work over the
// bound to leave. A controller calls it a few times a second while a bound may
// change.
func (g *Gate) Wake() {
	if g.bound != nil {
		g.bound.Move(g.clock.Now())
	}
	for _, l := range g.all() {
		l.wake()
	}
}

// Close refuses new requests and waits until none waits or runs. It returns the
// error of ctx when that ends first; the work goes on then.
func (g *Gate) Close(ctx context.Context) error {
	g.stopping.Store(true)
	for g.pending.Load() > 0 {
		select {
		case <-g.idle:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.signal() // for another caller of Close
	return nil
}

// Counters returns the sums and states of a pool.
func (g *Gate) Counters(p fleet.PoolID) lane.Counters { return g.lane(p).counters() }

// Pools returns the pools that have had a request or a capacity.
func (g *Gate) Pools() []fleet.PoolID {
	g.mu.RLock()
	defer g.mu.RUnlock()
	ids := make([]fleet.PoolID, 0, len(g.lanes))
	for id := range g.lanes {
		ids = append(ids, id)
	}
	return ids
}

func (g *Gate) leave() {
	if g.pending.Add(-1) == 0 {
		g.signal()
	}
}

func (g *Gate) signal() {
	select {
	case g.idle <- struct{}{}:
	default:
	}
}

func (g *Gate) lane(p fleet.PoolID) *guarded {
	g.mu.RLock()
	l := g.lanes[p]
	g.mu.RUnlock()
	if l != nil {
		return l
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if l = g.lanes[p]; l == nil {
		l = &guarded{clock: g.clock, lane: lane.New(p, g.queue, g.bound)}
		g.lanes[p] = l
	}
	return l
}

func (g *Gate) all() []*guarded {
	g.mu.RLock()
	defer g.mu.RUnlock()
	lanes := make([]*guarded, 0, len(g.lanes))
	for _, l := range g.lanes {
		lanes = append(lanes, l)
	}
	return lanes
}
