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

// Timing holds the durations that the safety of leases depends on.
type Timing struct {
	// Duration is the validity of a lease, counted from the request.
	Duration time.Duration
	// CommandTimeout is the maximum time from the check of a lease until the engine
	// has executed the command.
	CommandTimeout time.Duration
	// MaxClockDrift bounds the difference that two clocks accumulate over Duration
	// and CommandTimeout together.
	MaxClockDrift time.Duration
}

// DefaultTiming lets a successor send commands about 11 s after the last renewal.
var DefaultTiming = Timing{
	Duration:       5 * time.Second,
	CommandTimeout: 5 * time.Second,
	MaxClockDrift:  time.Second,
}

// Holder acquires and renews the leases of one instance. It is safe for concurrent
// use.
type Holder struct {
	proposer quorum.Proposer
	group    quorum.GroupID
	clock    fleet.Clock
	instance fleet.InstanceID
	session  Session
	timing   Timing

	mu       sync.Mutex
	held     map[fleet.UpstreamID]heldLease
	observed map[fleet.UpstreamID]observation
}

// heldLease is a lease of this holder and its expiry on the clock of the holder.
type heldLease struct {
	lease   Lease
	expires time.Time
}

// observation is a lease of another session and the time at which it was first seen
// in this state.
type observation struct {
	lease     Lease
	firstSeen time.Time
}

// maxObservations bounds the leases of other sessions that a holder remembers.
const maxObservations = 4096

// NewHolder returns a Holder of an instance with a new Session.
func NewHolder(p quorum.Proposer, g quorum.GroupID, c fleet.Clock, i fleet.InstanceID, t Timing) *Holder {
	return &Holder{
		proposer: p,
		group:    g,
		clock:    c,
		instance: i,
		session:  Session(string(i) + "/" + string(fleet.NewRequestID())),
		timing:   t,
		held:     make(map[fleet.UpstreamID]heldLease),
		observed: make(map[fleet.UpstreamID]observation),
	}
}

// Ensure returns a valid lease on an engine, and acquires or renews it if less than
// half of its duration remains. If another session holds the lease, the error has kind
// refusal.Conflict and carries the time after which to retry.
func (h *Holder) Ensure(ctx context.Context, id fleet.UpstreamID, p upstream.FencePolicy) (Lease, error) {
	h.mu.Lock()
	current, ok := h.held[id]
	h.mu.Unlock()
	if ok && current.lease.Policy == p {
		if remaining(current.expires, h.clock.Now()) > h.timing.Duration/2 {
			return current.lease, nil
		}
		if l, ok := h.renew(ctx, current.lease); ok || h.Valid(current.lease) {
			return l, nil
		}
	}
	return h.acquire(ctx, id, p)
}

// Valid reports whether l is a lease of this holder that is valid now.
func (h *Holder) Valid(l Lease) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	current, ok := h.held[l.Upstream]
	return ok && current.lease.Fence == l.Fence && remaining(current.expires, h.clock.Now()) > 0
}

// Release gives up the lease on an engine. The caller must make sure that no command
// is in progress.
func (h *Holder) Release(ctx context.Context, id fleet.UpstreamID) error {
	h.mu.Lock()
	current, ok := h.held[id]
	delete(h.held, id)
	h.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := h.propose(ctx, command{Kind: releaseKind, Lease: current.lease})
	return err
}

// discard drops a lease that an engine or the quorum group rejected.
func (h *Holder) discard(l Lease) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.held[l.Upstream].lease.Fence == l.Fence {
		delete(h.held, l.Upstream)
	}
}

// renew reports whether the lease was renewed. A lost lease is dropped. A lease whose
// renewal has an unknown outcome stays valid until its expiry.
func (h *Holder) renew(ctx context.Context, l Lease) (Lease, bool) {
	sent := h.clock.Now()
	r, err := h.propose(ctx, command{Kind: renewKind, Lease: l})
	if err != nil {
		return l, false
	}
	if !r.Granted || r.Lease == nil {
		h.discard(l)
		return l, false
	}
	return *r.Lease, h.recordGrant(*r.Lease, sent)
}

func (h *Holder) acquire(ctx context.Context, id fleet.UpstreamID, policy upstream.FencePolicy) (Lease, error) {
	c := command{Kind: acquireKind, Replaces: h.replaceableLease(id), Lease: Lease{
		Upstream:       id,
		Session:        h.session,
		Duration:       h.timing.Duration,
		CommandTimeout: h.timing.CommandTimeout,
		Policy:         policy,
	}}
	sent := h.clock.Now()
	r, err := h.propose(ctx, c)
	if err != nil {
		return Lease{}, err
	}
	if r.Lease == nil {
		return Lease{}, refusal.New(refusal.Internal, "lease reply contains no lease")
	}
	if !r.Granted {
		return Lease{}, h.observe(*r.Lease)
	}
	if !h.recordGrant(*r.Lease, sent) {
		return Lease{}, refusal.New(refusal.NotReady, "lease on %q expired before its grant arrived", id)
	}
	return *r.Lease, nil
}

// recordGrant stores a granted lease that was requested at sent, and reports whether
// it is still valid.
func (h *Holder) recordGrant(l Lease, sent time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.observed, l.Upstream)
	current := h.held[l.Upstream]
	expires := sent.Add(l.Duration)
	if current.lease.Fence > l.Fence || current.lease.Fence == l.Fence && !expires.After(current.expires) {
		return current.lease.Fence == l.Fence && remaining(current.expires, h.clock.Now()) > 0
	}
	h.held[l.Upstream] = heldLease{lease: l, expires: expires}
	return remaining(expires, h.clock.Now()) > 0
}

// observe records the lease of another session and returns the error for the caller.
func (h *Holder) observe(l Lease) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.held, l.Upstream)
	now := h.clock.Now()
	o, ok := h.observed[l.Upstream]
	if !ok || o.lease != l {
		o = observation{lease: l, firstSeen: now}
		h.evictObservation()
		h.observed[l.Upstream] = o
	}
	wait := h.takeoverDelay(l) - now.Sub(o.firstSeen)
	return refusal.New(refusal.Conflict, "another instance holds the lease on %q", l.Upstream).WithRetryAfter(max(wait, 0))
}

// evictObservation drops an arbitrary observation if there are too many. If that lease
// is seen again, its takeover delay starts over.
func (h *Holder) evictObservation() {
	if len(h.observed) < maxObservations {
		return
	}
	for id := range h.observed {
		delete(h.observed, id)
		return
	}
}

// replaceableLease returns the observed lease of another session if its holder can no
// longer have a command in progress, and otherwise nil.
func (h *Holder) replaceableLease(id fleet.UpstreamID) *Lease {
	h.mu.Lock()
	defer h.mu.Unlock()
	o, ok := h.observed[id]
	if !ok || h.clock.Now().Sub(o.firstSeen) < h.takeoverDelay(o.lease) {
		return nil
	}
	return &o.lease
}

// takeoverDelay returns the minimum time between the first observation of a lease and
// the first command of a successor.
func (h *Holder) takeoverDelay(l Lease) time.Duration {
	return l.Duration + l.CommandTimeout + h.timing.MaxClockDrift
}

func (h *Holder) propose(ctx context.Context, c command) (reply, error) {
	c.Version, c.Instance, c.At = version, h.instance, h.clock.Now().UTC()
	data, err := json.Marshal(c)
	if err != nil {
		return reply{}, refusal.WithCause(refusal.Internal, err, "encode lease command")
	}
	response, err := h.proposer.Propose(ctx, h.group, data)
	if err != nil {
		return reply{}, refusal.WithCause(refusal.NotReady, err, "propose lease command to the quorum group")
	}
	var r reply
	if err := json.Unmarshal(response, &r); err != nil {
		return reply{}, refusal.WithCause(refusal.Internal, err, "decode lease reply")
	}
	if r.Error != "" {
		return reply{}, refusal.New(refusal.Internal, "lease command rejected: %s", r.Error)
	}
	return r, nil
}

// remaining returns the time from now to the expiry of a lease. It takes the smaller
// value of the monotonic clock and the wall clock, because the monotonic clock stops
// while a machine is suspended.
func remaining(expires, now time.Time) time.Duration {
	return min(expires.Sub(now), expires.Round(0).Sub(now.Round(0)))
}
