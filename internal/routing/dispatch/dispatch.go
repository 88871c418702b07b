// Package dispatch sends calls to plain services.
//
// A Dispatcher keeps one pool for each service of the configuration. Refresh
// hands over the usable upstreams; Lookup sends an idempotent call and may try
// several upstreams; Pick gives one upstream for a call that may not be
// repeated:
//
//	d := dispatch.New(roster, dialer, clock, dispatch.WithBudget(b))
//	d.Refresh(config, peers)
//	answer, err := d.Lookup(ctx, request, pool, call)
package dispatch

import (
	"context"
	"net/http"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/routing/scoring"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxAttempts bounds the upstreams that one lookup tries, whatever the retry
// budget allows.
const maxAttempts = 3

// Budget limits the retries to a share of the traffic.
type Budget interface {
	// Deposit notes a first attempt.
	Deposit()
	// Withdraw tells whether a retry is allowed, and notes it.
	Withdraw() bool
}

// Dispatcher sends calls to plain services. It is safe for concurrent use.
type Dispatcher struct {
	roster upstream.Roster
	dialer upstream.Dialer
	clock  fleet.Clock
	budget Budget
	trail  report.Trail
	pools  board.Shards[fleet.PoolID, *pool.Pool]
}

// Option changes a Dispatcher at its construction.
type Option func(*Dispatcher)

// WithBudget sets the retry budget. Without one, nothing is retried.
func WithBudget(b Budget) Option { return func(d *Dispatcher) { d.budget = b } }

// WithTrail sets where decisions are recorded.
func WithTrail(t report.Trail) Option { return func(d *Dispatcher) { d.trail = t } }

// New returns a Dispatcher without upstreams.
func New(roster upstream.Roster, dialer upstream.Dialer, clock fleet.Clock, options ...Option) *Dispatcher {
	d := &Dispatcher{roster: roster, dialer: dialer, clock: clock, budget: noBudget{}, trail: noTrail{}}
	for _, option := range options {
		option(d)
	}
	return d
}

type noBudget struct{}

func (noBudget) Deposit()       {}
func (noBudget) Withdraw() bool { return false }

type noTrail struct{}

func (noTrail) Open(string, fleet.AccountID, fleet.TeamID) {}
func (noTrail) Add(string, report.Entry)                   {}
func (noTrail) Find(string) (report.Record, bool)          { return report.Record{}, false }

// Refresh takes over the usable upstreams of all pools of c. The number of other
// instances that choose among the same upstreams is peers.
func (d *Dispatcher) Refresh(c *document.Config, peers int) {
	for id := range c.Pools {
		d.Pool(id).Refresh(d.roster.Usable(id, d.clock.Now()), peers)
	}
}

// Pool returns the pool with the given id.
func (d *Dispatcher) Pool(id fleet.PoolID) *pool.Pool {
	if p, found := d.pools.Get(id); found {
		return p
	}
	var kept *pool.Pool
	d.pools.Update(id, func(p *pool.Pool, found bool) (*pool.Pool, bool) {
		if !found {
			p = pool.New(d.clock, scoring.Policy{})
		}
		kept = p
		return p, true
	})
	return kept
}

// Lookup sends an idempotent call. It tries another upstream when one fails and
// the retry budget allows it. The error is of kind refusal.NoUpstream only if
// nothing was sent.
func (d *Dispatcher) Lookup(ctx context.Context, r fleet.RequestID, p document.Pool, c upstream.Call) (upstream.Answer, error) {
	d.budget.Deposit()
	var tried []fleet.UpstreamID
	var last attempt
	for range maxAttempts {
		next := d.try(ctx, r, p, c, tried)
		if next.picked {
			tried = append(tried, next.upstream)
		}
		last = last.followedBy(next)
		if !next.picked || !next.retryable() || ctx.Err() != nil || !d.budget.Withdraw() {
			break
		}
	}
	return last.answer, last.err
}

// attempt is one try of a lookup.
type attempt struct {
	upstream fleet.UpstreamID
	picked   bool
	// sent tells that the upstream may have got the call.
	sent   bool
	answer upstream.Answer
	err    error
}

// retryable tells whether another upstream may do better.
func (a attempt) retryable() bool {
	if a.err != nil {
		kind := refusal.KindOf(a.err)
		return kind == refusal.NoUpstream || kind == refusal.UpstreamFailed || kind == refusal.Deadline
	}
	return unavailable(a.answer.Status)
}

func unavailable(status int) bool {
	return status == http.StatusBadGateway || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// followedBy returns the attempt that the caller hears of. Where next found no
// upstream, the error or answer of the attempts before it tells more, and "not
// run" would be wrong if one of them was sent.
func (a attempt) followedBy(next attempt) attempt {
	if !next.picked && a.picked {
		return a
	}
	next.sent = next.sent || a.sent
	if next.err != nil && refusal.KindOf(next.err).Answer().NotRun && next.sent {
		next.err = refusal.Because(refusal.UpstreamFailed, next.err, "an earlier attempt may have run")
	}
	return next
}

func (d *Dispatcher) try(ctx context.Context, r fleet.RequestID, p document.Pool, c upstream.Call, tried []fleet.UpstreamID) attempt {
	lease, err := d.Pick(r, p.ID, tried)
	if err != nil {
		return attempt{err: err}
	}
	u := lease.Upstream()
	ctx, cancel := d.bound(ctx, p)
	defer cancel()
	answer, err := d.dialer.Service(u).Call(ctx, c)
	lease.Done(Result(ctx, answer, err))
	return attempt{
		upstream: u.ID,
		picked:   true,
		sent:     err == nil || refusal.KindOf(err) != refusal.NoUpstream,
		answer:   answer,
		err:      err,
	}
}

func (d *Dispatcher) bound(ctx context.Context, p document.Pool) (context.Context, context.CancelFunc) {
	if p.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.Timeout)
}

// Result tells the pool how a call ended.
func Result(ctx context.Context, a upstream.Answer, err error) pool.Result {
	switch {
	case err != nil && ctx.Err() == context.Canceled:
		return pool.Canceled
	case err != nil || unavailable(a.Status):
		return pool.Failed
	}
	return pool.Succeeded
}

// Pick chooses one upstream of a pool and records the decision. Done of the
// Lease must be called exactly once.
func (d *Dispatcher) Pick(r fleet.RequestID, id fleet.PoolID, avoid []fleet.UpstreamID) (pool.Lease, error) {
	var why pool.Explanation
	lease, err := d.Pool(id).Pick(pool.Ask{Avoid: avoid, Explain: &why})
	entry := report.Entry{At: d.clock.Now(), Part: "routing", Weighed: why.Weighed(), Chosen: why.Chosen()}
	if err != nil {
		entry.Chosen, entry.Reason = "none", err.Error()
	}
	d.trail.Add(string(r), entry)
	return lease, err
}
