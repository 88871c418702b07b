// Package dispatch sends calls to upstreams of kind service, which are called over
// HTTP.
//
// A Dispatcher maintains one pool.Pool for each configured pool. Refresh updates the
// usable upstreams; Lookup sends an idempotent call and may try several
// upstreams; Pick selects one upstream for a call that must not be repeated:
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

// maxAttempts is the maximum number of upstreams that one lookup tries, regardless
// of the retry budget.
const maxAttempts = 3

// Budget limits retries to a share of the traffic.
type Budget interface {
	// Deposit records a first attempt.
	Deposit()
	// Withdraw reports whether a retry is allowed, and records it if so.
	Withdraw() bool
}

// Dispatcher sends calls to upstreams of kind service. It is safe for concurrent
// use.
type Dispatcher struct {
	roster upstream.Roster
	dialer upstream.Dialer
	clock  fleet.Clock
	budget Budget
	trail  report.Trail
	pools  board.ShardedMap[fleet.PoolID, *pool.Pool]
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithBudget sets the retry budget. Without one, nothing is retried.
func WithBudget(b Budget) Option { return func(d *Dispatcher) { d.budget = b } }

// WithTrail sets the trail in which routing decisions are recorded.
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

// Refresh updates the usable upstreams of all pools of c. peers is the number of
// other instances that choose among the same upstreams.
func (d *Dispatcher) Refresh(c *document.Config, peers int) {
	for id := range c.Pools {
		d.Pool(id).Refresh(d.roster.Usable(id, d.clock.Now()), peers)
	}
}

// Pool returns the pool with the given id. It creates the pool if necessary.
func (d *Dispatcher) Pool(id fleet.PoolID) *pool.Pool {
	if p, found := d.pools.Get(id); found {
		return p
	}
	var result *pool.Pool
	d.pools.Update(id, func(p *pool.Pool, found bool) (*pool.Pool, bool) {
		if !found {
			p = pool.New(d.clock, scoring.Policy{})
		}
		result = p
		return p, true
	})
	return result
}

// Lookup sends an idempotent call. It tries another upstream if one fails and the
// retry budget permits. The error is of kind refusal.NoUpstream only if
// nothing was sent.
func (d *Dispatcher) Lookup(ctx context.Context, r fleet.RequestID, p document.Pool, c upstream.Call) (upstream.Response, error) {
	d.budget.Deposit()
	var tried []fleet.UpstreamID
	var last attempt
	for range maxAttempts {
		next := d.try(ctx, r, p, c, tried)
		if next.picked {
			tried = append(tried, next.upstream)
		}
		last = last.combine(next)
		if !next.picked || !next.retryable() || ctx.Err() != nil || !d.budget.Withdraw() {
			break
		}
	}
	return last.answer, last.err
}

// attempt is the outcome of one attempt of a lookup.
type attempt struct {
	upstream fleet.UpstreamID
	picked   bool
	// sent reports whether an upstream may have received the call, in this attempt
	// or an earlier one.
	sent   bool
	answer upstream.Response
	err    error
}

// retryable reports whether another upstream may succeed.
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

// combine returns the outcome to report to the caller after a followed by next. If
// next found no upstream, the error or answer of the earlier attempts is more
// useful. If any attempt was sent, the call may have run, so an error that says
// "not run" would be wrong and is replaced.
func (a attempt) combine(next attempt) attempt {
	if !next.picked && a.picked {
		return a
	}
	next.sent = next.sent || a.sent
	if next.err != nil && refusal.KindOf(next.err).Response().NotRun && next.sent {
		next.err = refusal.WithCause(refusal.UpstreamFailed, next.err, "an earlier attempt may have run")
	}
	return next
}

func (d *Dispatcher) try(ctx context.Context, r fleet.RequestID, p document.Pool, c upstream.Call, tried []fleet.UpstreamID) attempt {
	lease, err := d.Pick(r, p.ID, tried)
	if err != nil {
		return attempt{err: err}
	}
	u := lease.Upstream()
	ctx, cancel := d.withPoolTimeout(ctx, p)
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

// withPoolTimeout returns ctx with the timeout of the pool, if it has one.
func (d *Dispatcher) withPoolTimeout(ctx context.Context, p document.Pool) (context.Context, context.CancelFunc) {
	if p.Timeout <= 0 {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, p.Timeout)
}

// Result returns the outcome of a call as a pool.Result.
func Result(ctx context.Context, a upstream.Response, err error) pool.Result {
	switch {
	case err != nil && ctx.Err() == context.Canceled:
		return pool.Canceled
	case err != nil || unavailable(a.Status):
		return pool.Failed
	}
	return pool.Succeeded
}

// Pick selects one upstream of a pool and records the decision in the trail. The
// caller must call Done of the Lease exactly once.
func (d *Dispatcher) Pick(r fleet.RequestID, id fleet.PoolID, exclude []fleet.UpstreamID) (pool.Lease, error) {
	var explanation pool.Explanation
	lease, err := d.Pool(id).Pick(pool.Request{Exclude: exclude, Explain: &explanation})
	entry := report.Entry{At: d.clock.Now(), Component: "routing", Alternatives: explanation.CandidateSummary(), Chosen: explanation.Chosen()}
	if err != nil {
		entry.Chosen, entry.Reason = "none", err.Error()
	}
	d.trail.Add(string(r), entry)
	return lease, err
}
