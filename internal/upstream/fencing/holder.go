package fencing

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/quorum"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// Terms are the times that leases rest on.
type Terms struct {
	// Duration is the time for which a lease holds after it was requested.
	Duration time.Duration
	// UnderWay is the longest time between the check of a lease and the moment
	// at which an engine has acted on the command.
	UnderWay time.Duration
	// ClockError bounds the difference between two clocks over Duration and
	// UnderWay together.
	ClockError time.Duration
}

// DefaultTerms let a successor send commands about 11 s after the last renewal.
var DefaultTerms = Terms{
	Duration:   5 * time.Second,
	UnderWay:   5 * time.Second,
	ClockError: time.Second,
}

// Holder holds the leases of one instance. It is safe for concurrent use.
type Holder struct {
	proposer quorum.Proposer
	group    quorum.GroupID
	clock    fleet.Clock
	instance fleet.InstanceID
	session  Session
	terms    Terms

	mu    sync.Mutex
	held  map[fleet.UpstreamID]heldLease
	other map[fleet.UpstreamID]observation
}

// heldLease is a lease of this holder and its end by the clock of the holder.
type heldLease struct {
	lease Lease
	end   time.Time
}

// observation is a lease of another session and when it was seen first in this
// state.
type observation struct {
	lease Lease
	since time.Time
}

// maxObservations bounds the leases of others that a holder remembers.
const maxObservations = 4096

// NewHolder returns a Holder of an instance with a new Session.
func NewHolder(p quorum.Proposer, g quorum.GroupID, c fleet.Clock, i fleet.InstanceID, t Terms) *Holder {
	return &Holder{
		proposer: p,
		group:    g,
		clock:    c,
		instance: i,
		session:  Session(string(i) + "/" + string(fleet.NewRequestID())),
		terms:    t,
		held:     make(map[fleet.UpstreamID]heldLease),
		other:    make(map[fleet.UpstreamID]observation),
	}
}

// Ensure returns a lease on an engine that is valid now, and acquires or renews
// it when less than half of it is left. When another session holds the lease, the
// error has kind refusal.Conflict and says when to try again.
func (h *Holder) Ensure(ctx context.Context, id fleet.UpstreamID, p upstream.FencePolicy) (Lease, error) {
	h.mu.Lock()
	t, ok := h.held[id]
	h.mu.Unlock()
	if ok && t.lease.Policy == p {
		if left(t.end, h.clock.Now()) > h.terms.Duration/2 {
			return t.lease, nil
		}
		if l, ok := h.renew(ctx, t.lease); ok || h.Valid(t.lease) {
			return l, nil
		}
	}
	return h.acquire(ctx, id, p)
}

// Valid reports whether l is a lease of this holder that holds at this moment.
func (h *Holder) Valid(l Lease) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	t, ok := h.held[l.Upstream]
	return ok && t.lease.Fence == l.Fence && left(t.end, h.clock.Now()) > 0
}

// Release gives up the lease on an engine. The caller makes sure that no command
// is under way.
func (h *Holder) Release(ctx context.Context, id fleet.UpstreamID) error {
	h.mu.Lock()
	t, ok := h.held[id]
	delete(h.held, id)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := h.propose(ctx, command{Kind: releaseKind, Lease: t.lease})
	return err
}

// forget drops a lease that an engine or the group refused.
func (h *Holder) forget(l Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[l.Upstream].lease.Fence == l.Fence {
		delete(h.held, l.Upstream)
	}
}

// renew reports whether the lease was renewed. A lease that was lost is dropped,
// and one whose renewal has an unknown outcome holds until its end.
func (h *Holder) renew(ctx context.Context, l Lease) (Lease, bool) {
	sent := h.clock.Now()
	p, err := h.propose(ctx, command{Kind: renewKind, Lease: l})
	if err != nil {
		return l, false
	}
	if !p.Granted || p.Lease == nil {
		h.forget(l)
		return l, false
	}
	return *p.Lease, h.keep(*p.Lease, sent)
}

func (h *Holder) acquire(ctx context.Context, id fleet.UpstreamID, policy upstream.FencePolicy) (Lease, error) {
	c := command{Kind: acquireKind, Over: h.waitedFor(id), Lease: Lease{
		Upstream: id,
		Session:  h.session,
		Duration: h.terms.Duration,
		UnderWay: h.terms.UnderWay,
		Policy:   policy,
	}}
	sent := h.clock.Now()
	p, err := h.propose(ctx, c)
	if err != nil {
		return Lease{}, err
	}
	if p.Lease == nil {
		return Lease{}, refusal.New(refusal.Internal, "reply of the leases has no lease")
	}
	if !p.Granted {
		return Lease{}, h.observe(*p.Lease)
	}
	if !h.keep(*p.Lease, sent) {
		return Lease{}, refusal.New(refusal.NotReady, "lease on %q ended before it arrived", id)
	}
	return *p.Lease, nil
}

// keep notes a granted lease that was requested at sent, and reports whether it
// still holds.
func (h *Holder) keep(l Lease, sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.other, l.Upstream)
	t := h.held[l.Upstream]
	end := sent.Add(l.Duration)
	if t.lease.Fence > l.Fence || t.lease.Fence == l.Fence && !end.After(t.end) {
		return t.lease.Fence == l.Fence && left(t.end, h.clock.Now()) > 0
	}
	h.held[l.Upstream] = heldLease{lease: l, end: end}
	return left(end, h.clock.Now()) > 0
}

// observe notes the lease of another session and returns the error for the caller.
func (h *Holder) observe(l Lease) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, l.Upstream)
	now := h.clock.Now()
	s, ok := h.other[l.Upstream]
	if !ok || s.lease != l {
		s = observation{lease: l, since: now}
		h.makeRoom()
		h.other[l.Upstream] = s
	}
	wait := h.wait(l) - now.Sub(s.since)
	return refusal.New(refusal.Conflict, "another instance has the lease on %q", l.Upstream).After(max(wait, 0))
}

// makeRoom drops any one observation when there are too many. Its wait starts again.
func (h *Holder) makeRoom() {
	if len(h.other) < maxObservations {
		return
	}
	for id := range h.other {
		delete(h.other, id)
		return
	}
}

// waitedFor returns the lease of another session when its holder can no longer
// have a command under way.
func (h *Holder) waitedFor(id fleet.UpstreamID) *Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.other[id]
	if !ok || h.clock.Now().Sub(s.since) < h.wait(s.lease) {
		return nil
	}
	return &s.lease
}

// wait returns the time between the observation of a lease and the earliest command
// of a successor.
func (h *Holder) wait(l Lease) time.Duration {
	return l.Duration + l.UnderWay + h.terms.ClockError
}

func (h *Holder) propose(ctx context.Context, c command) (reply, error) {
	c.Version, c.Instance, c.At = version, h.instance, h.clock.Now().UTC()
	data, err := json.Marshal(c)
	if err != nil {
		return reply{}, refusal.Because(refusal.Internal, err, "encode command of the leases")
	}
	answer, err := h.proposer.Propose(ctx, h.group, data)
	if err != nil {
		return reply{}, refusal.Because(refusal.NotReady, err, "leases can't be reached")
	}
	var p reply
	if err := json.Unmarshal(answer, &p); err != nil {
		return reply{}, refusal.Because(refusal.Internal, err, "decode reply of the leases")
	}
	if p.Error != "" {
		return reply{}, refusal.New(refusal.Internal, "leases: %s", p.Error)
	}
	return p, nil
}

// left returns the time from now to the end of a lease. The wall clock counts
// too, because the monotonic clock stands still while a machine is suspended.
func left(end, now time.Time) time.Duration {
	return min(end.Sub(now), end.Round(0).Sub(now.Round(0)))
}
