package fencing

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Commander sends commands to engines under leases. It sends one command at a time to
// each engine. It is safe for concurrent use.
type Commander struct {
	holder *Holder
	dialer upstream.Dialer

	mu     sync.Mutex
	queues map[fleet.UpstreamID]*queue
}

// sweepThreshold is the number of queues at which idle ones are removed.
const sweepThreshold = 256

// queue serializes the commands to one engine.
type queue struct {
	// sem is held by the command in progress.
	sem chan struct{}
	// blockedUntil is the time after which an earlier command with an unknown outcome
	// can no longer reach the engine.
	blockedUntil time.Time
	refs         int // callers that hold or wait for sem
}

// Result is the result of a command.
type Result struct {
	// Announcement is the description of the engine after the command.
	Announcement upstream.Announcement
	// Applied tells that the engine reports the requested state. It is false while
	// the engine is still loading a model.
	Applied bool
}

// NewCommander returns a Commander that uses the leases of h.
func NewCommander(h *Holder, d upstream.Dialer) *Commander {
	return &Commander{holder: h, dialer: d, queues: make(map[fleet.UpstreamID]*queue)}
}

// Send sends c to an engine with the fencing token of the lease and reads back the
// description of the engine. The error has kind refusal.OutcomeUnknown if the engine
// may execute the command but its description does not show it, refusal.Conflict if
// another instance holds the lease or the engine rejected the token, and
// refusal.Overloaded if an earlier command may still be in progress. With the last
// two kinds and with refusal.NoUpstream the engine does not execute the command.
func (m *Commander) Send(ctx context.Context, u upstream.Upstream, c upstream.Command) (Result, error) {
	q, err := m.lock(ctx, u.ID)
	if err != nil {
		return Result{}, err
	}
	defer m.unlock(u.ID, q)
	lease, err := m.holder.Ensure(ctx, u.ID, u.Fencing)
	if err != nil {
		return Result{}, err
	}
	c.Fence = lease.Fence
	engine := m.dialer.Engine(u)
	sent, err := m.command(ctx, engine, lease, c)
	switch {
	case err == nil:
		return m.readBack(ctx, engine, c)
	case !sent || refusal.KindOf(err) == refusal.NoUpstream:
		return Result{}, err
	case refusal.KindOf(err) == refusal.Conflict:
		m.holder.discard(lease)
		return Result{}, err
	}
	q.blockedUntil = m.holder.clock.Now().Add(m.holder.timing.CommandTimeout + m.holder.timing.MaxClockDrift)
	r, readErr := m.readBack(ctx, engine, c)
	if readErr == nil && r.Applied {
		return r, nil
	}
	return r, refusal.WithCause(refusal.OutcomeUnknown, err, "command %q may still reach the engine", c.ID)
}

// Release gives up the lease on an engine once no command can be in progress.
func (m *Commander) Release(ctx context.Context, id fleet.UpstreamID) error {
	q, err := m.lock(ctx, id)
	if err != nil {
		return err
	}
	defer m.unlock(id, q)
	return m.holder.Release(ctx, id)
}

// command sends c if the lease is valid now. The first result tells whether anything
// may have been sent.
func (m *Commander) command(ctx context.Context, e upstream.EngineClient, l Lease, c upstream.Command) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := m.holder.clock.After(m.holder.timing.CommandTimeout)
	go func() {
		select {
		case <-timeout:
			cancel()
		case <-ctx.Done():
		}
	}()
	if !m.holder.Valid(l) {
		return false, refusal.New(refusal.Conflict, "lease on %q has expired", l.Upstream)
	}
	return true, e.Command(ctx, c)
}

func (m *Commander) readBack(ctx context.Context, e upstream.EngineClient, c upstream.Command) (Result, error) {
	a, err := e.Describe(ctx)
	if err != nil {
		return Result{}, refusal.WithCause(refusal.OutcomeUnknown, err, "read description of the engine after command %q", c.ID)
	}
	return Result{Announcement: a, Applied: matches(a, c)}, nil
}

// matches reports whether an engine is in the state that c requests.
func matches(a upstream.Announcement, c upstream.Command) bool {
	return a.Model == c.Model && a.Version == c.Version && a.Adapter == c.Adapter && a.Layers == c.Layers
}

// lock waits until no other command to the engine is in progress and returns the queue
// of the engine. It fails if an earlier command may still reach the engine.
func (m *Commander) lock(ctx context.Context, id fleet.UpstreamID) (*queue, error) {
	m.mu.Lock()
	q, ok := m.queues[id]
	if !ok {
		m.sweep()
		q = &queue{sem: make(chan struct{}, 1)}
		m.queues[id] = q
	}
	q.refs++
	m.mu.Unlock()
	select {
	case q.sem <- struct{}{}:
	case <-ctx.Done():
		m.unref(id, q)
		return nil, refusal.WithCause(refusal.Overloaded, ctx.Err(), "another command to %q is in progress", id)
	}
	if wait := q.blockedUntil.Sub(m.holder.clock.Now()); wait > 0 {
		m.unlock(id, q)
		return nil, refusal.New(refusal.Overloaded, "an earlier command to %q may still be in progress", id).WithRetryAfter(wait)
	}
	return q, nil
}

func (m *Commander) unlock(id fleet.UpstreamID, q *queue) {
	<-q.sem
	m.unref(id, q)
}

// unref drops a reference to a queue and removes the queue if it is idle.
func (m *Commander) unref(id fleet.UpstreamID, q *queue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	q.refs--
	if m.idle(q) {
		delete(m.queues, id)
	}
}

// sweep removes idle queues if there are many, such as those of engines that are gone.
func (m *Commander) sweep() {
	if len(m.queues) < sweepThreshold {
		return
	}
	for id, q := range m.queues {
		if m.idle(q) {
			delete(m.queues, id)
		}
	}
}

// idle reports whether a queue is unused and no earlier command can reach the engine.
func (m *Commander) idle(q *queue) bool {
	return q.refs == 0 && !q.blockedUntil.After(m.holder.clock.Now())
}
