package fencing

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Commander sends commands to engines under leases. It is safe for concurrent
// use and sends one command at a time to an engine.
type Commander struct {
	holder *Holder
	dialer upstream.Dialer

	mu     sync.Mutex
	queues map[fleet.UpstreamID]*queue
}

// maxQueues is the number of queues from which on idle ones are looked for.
const maxQueues = 256

// queue orders the commands to one engine.
type queue struct {
	// turn is held by the command that is under way.
	turn chan struct{}
	// clear is the time from which on no earlier command of unknown outcome can
	// reach the engine.
	clear time.Time
	users int
}

// Report tells what came of a command.
type Report struct {
	// Announcement is what the engine said of itself after the command.
	Announcement upstream.Announcement
	// Applied tells that the engine says that it is in the wanted state. A load
	// that takes long is not applied at first.
	Applied bool
}

// NewCommander returns a Commander that uses the leases of h.
func NewCommander(h *Holder, d upstream.Dialer) *Commander {
	return &Commander{holder: h, dialer: d, queues: make(map[fleet.UpstreamID]*queue)}
}

// Send hands c to an engine with the token of the lease and reads back what the
// engine says of itself. The error has kind refusal.OutcomeUnknown when the
// engine may act on the command and does not show it, refusal.Conflict when
// another instance has the lease or the engine refused the token, and
// refusal.Overloaded when an earlier command may still be under way. With these
// two kinds and with refusal.NoUpstream the engine does not act on the command.
func (m *Commander) Send(ctx context.Context, u upstream.Upstream, c upstream.Command) (Report, error) {
	l, err := m.enter(ctx, u.ID)
	if err != nil {
		return Report{}, err
	}
	defer m.leave(u.ID, l)
	lease, err := m.holder.Ensure(ctx, u.ID, u.Fencing)
	if err != nil {
		return Report{}, err
	}
	c.Fence = lease.Fence
	engine := m.dialer.Engine(u)
	sent, err := m.command(ctx, engine, lease, c)
	switch {
	case err == nil:
		return m.readBack(ctx, engine, c)
	case !sent || refusal.KindOf(err) == refusal.NoUpstream:
		return Report{}, err
	case refusal.KindOf(err) == refusal.Conflict:
		m.holder.forget(lease)
		return Report{}, err
	}
	l.clear = m.holder.clock.Now().Add(m.holder.terms.UnderWay + m.holder.terms.ClockError)
	r, readErr := m.readBack(ctx, engine, c)
	if readErr == nil && r.Applied {
		return r, nil
	}
	return r, refusal.Because(refusal.OutcomeUnknown, err, "command %q may still reach the engine", c.ID)
}

// Release gives up the lease on an engine once no command can be under way.
func (m *Commander) Release(ctx context.Context, id fleet.UpstreamID) error {
	l, err := m.enter(ctx, id)
	if err != nil {
		return err
	}
	defer m.leave(id, l)
	return m.holder.Release(ctx, id)
}

// command sends c when the lease holds at this moment. The first result tells
// whether something may have been sent.
func (m *Commander) command(ctx context.Context, e upstream.EngineClient, l Lease, c upstream.Command) (bool, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	late := m.holder.clock.After(m.holder.terms.UnderWay)
	go func() {
		select {
		case <-late:
			cancel()
		case <-ctx.Done():
		}
	}()
	if !m.holder.Valid(l) {
		return false, refusal.New(refusal.Conflict, "lease on %q has ended", l.Upstream)
	}
	return true, e.Command(ctx, c)
}

func (m *Commander) readBack(ctx context.Context, e upstream.EngineClient, c upstream.Command) (Report, error) {
	a, err := e.Describe(ctx)
	if err != nil {
		return Report{}, refusal.Because(refusal.OutcomeUnknown, err, "engine does not describe itself after command %q", c.ID)
	}
	return Report{Announcement: a, Applied: shows(a, c)}, nil
}

// shows reports whether an engine is in the state that c asks for.
func shows(a upstream.Announcement, c upstream.Command) bool {
	return a.Model == c.Model && a.Version == c.Version && a.Adapter == c.Adapter && a.Layers == c.Layers
}

// enter waits for its turn on an engine.
func (m *Commander) enter(ctx context.Context, id fleet.UpstreamID) (*queue, error) {
	m.mu.Lock()
	l, ok := m.queues[id]
	if !ok {
		m.sweep()
		l = &queue{turn: make(chan struct{}, 1)}
		m.queues[id] = l
	}
	l.users++
	m.mu.Unlock()
	select {
	case l.turn <- struct{}{}:
	case <-ctx.Done():
		m.drop(id, l)
		return nil, refusal.Because(refusal.Overloaded, ctx.Err(), "another command to %q is under way", id)
	}
	if wait := l.clear.Sub(m.holder.clock.Now()); wait > 0 {
		m.leave(id, l)
		return nil, refusal.New(refusal.Overloaded, "an earlier command to %q may be under way", id).After(wait)
	}
	return l, nil
}

func (m *Commander) leave(id fleet.UpstreamID, l *queue) {
	<-l.turn
	m.drop(id, l)
}

// drop removes a queue that holds nothing to remember.
func (m *Commander) drop(id fleet.UpstreamID, l *queue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	l.users--
	if m.idle(l) {
		delete(m.queues, id)
	}
}

// sweep drops the queues of engines that are gone when there are many.
func (m *Commander) sweep() {
	if len(m.queues) < maxQueues {
		return
	}
	for id, l := range m.queues {
		if m.idle(l) {
			delete(m.queues, id)
		}
	}
}

func (m *Commander) idle(l *queue) bool {
	return l.users == 0 && !l.clear.After(m.holder.clock.Now())
}
