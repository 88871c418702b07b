package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/entry/caller"
	"github.com/bilberryrock/bilberryrock/internal/entry/listener"
	"github.com/bilberryrock/bilberryrock/internal/entry/operator"
	"github.com/bilberryrock/bilberryrock/internal/entry/platform"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/order"
	"github.com/bilberryrock/bilberryrock/internal/order/desk"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/bilberryrock/bilberryrock/internal/routing/dispatch"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"github.com/bilberryrock/bilberryrock/internal/upstream/roster"
)

// requests holds the handlers of the HTTP listeners and the executor of orders.
type requests struct {
	daemon    *Daemon
	desk      *desk.Executor
	api       *caller.API
	callers   http.Handler
	operators http.Handler
	upstreams http.Handler
	platform  http.Handler
}

func (d *Daemon) openRequests() error {
	r := &requests{daemon: d, desk: desk.New(d.state.ledger, d.clock, d.settings.Instance.ID, d.base)}
	d.requests = r
	s := d.settings
	r.api = caller.New(caller.Dependencies{
		Instance: s.Instance.ID,
		Config:   d.activeConfig,
		Gate:     d.controllers.gate,
		Executor: d.controllers.courier,
		Lookups:  d.controllers.dispatcher,
		Orders:   r,
		Trail:    d.state.trail,
		Clock:    d.clock,
		Log:      d.base.Named("caller"),
	},
		caller.WithLimits(s.Limits),
		caller.WithDeadlines(s.Requests.DefaultDeadline, s.Requests.MaxDeadline),
		caller.WithObserver(newRequestMetrics(d.metrics).observe),
		caller.WithBudget(d.responses),
	)
	r.callers = r.api.Handler()
	r.operators = operator.New(operator.Dependencies{
		Documents:   d.state.register,
		Finder:      r,
		Orders:      d.state.ledger,
		AccountTeam: d.owner,
		Status:      d.status,
		Tokens:      s.Operators.Tokens,
		Clock:       d.clock,
		Log:         d.base.Named("operator"),
	}, operator.WithLimits(s.Limits), operator.WithTimeout(2*s.Quorum.ProposalTimeout)).Handler()
	r.upstreams = roster.NewHandler(d.controllers.roster, d.clock, roster.WithToken(string(s.Upstreams.Token)))
	var injection http.Handler
	if s.Faults.Injection {
		injection = d.faults
	}
	r.platform = platform.Handler(&d.health, d.metrics, injection)
	return nil
}

// owner returns the team of a client account in the active configuration.
func (d *Daemon) owner(id fleet.AccountID) (fleet.TeamID, bool) {
	config := d.activeConfig()
	if config == nil {
		return "", false
	}
	account, known := config.Accounts[id]
	return account.Team, known
}

func (d *Daemon) listen() error {
	l := d.settings.Listeners
	limits := d.settings.Limits.WithDefaults()
	budget := listener.NewBudget(limits.MemoryBytes, limits.MaxDescriptors, d.clock, d.base.Named("listener"))
	d.metrics.MustRegister(budget)
	for _, spec := range []struct {
		name, address    string
		handler          http.Handler
		certificate, key string
	}{
		{"platform", l.Platform, d.requests.platform, "", ""},
		{"upstreams", l.Upstreams, d.requests.upstreams, "", ""},
		{"operators", l.Operators, d.requests.operators, d.settings.Operators.Certificate, d.settings.Operators.Key},
		{"callers", l.Callers, d.requests.callers, "", ""},
	} {
		s, err := startServer(spec.name, spec.address, spec.handler, d.settings.Limits, spec.certificate, spec.key, budget, d.clock, d.base.Named(spec.name), d.failed)
		if err != nil {
			return err
		}
		d.servers = append(d.servers, s)
	}
	return nil
}

// responseReserve is the time before the end of a stop at which requests in progress get an
// error.
const responseReserve = 200 * time.Millisecond

// drain refuses new requests and waits for those in progress. Shortly before the deadline of
// ctx, it ends them with an error, so that their callers get a response.
func (r *requests) drain(ctx context.Context) error {
	gate := r.daemon.controllers.gate
	end, _ := ctx.Deadline()
	wait, cancel := context.WithDeadline(ctx, end.Add(-responseReserve))
	defer cancel()
	err := gate.Close(wait)
	if err != nil {
		r.api.EndRequests()
		err = gate.Close(ctx)
	}
	if err != nil {
		return errors.Wrap(err, "drain requests")
	}
	return errors.Wrap(r.desk.Close(ctx), "drain orders")
}

// Order implements caller.Orders.
func (r *requests) Order(ctx context.Context, id fleet.RequestID, k order.Key, p document.Pool, c upstream.Call) (upstream.Response, error) {
	picker := &picker{daemon: r.daemon, request: id, pool: p.ID}
	response, err := r.desk.Run(ctx, desk.Order{Key: k, Request: id, Call: c, Timeout: p.Timeout, Pick: picker.next})
	r.record(id, k, picker, err)
	return response, err
}

// record adds the outcome of an order to the decision record of the request.
func (r *requests) record(id fleet.RequestID, k order.Key, p *picker, err error) {
	entry := report.Entry{
		At:        r.daemon.clock.Now(),
		Component: "order",
		Known:     "key " + k.Name,
		Chosen:    "sent to an upstream, answer recorded",
	}
	switch {
	case err != nil:
		entry.Chosen, entry.Reason = refusal.KindOf(err).Response().Code, err.Error()
	case len(p.tried) == 0:
		entry.Chosen, entry.Reason = "not sent", "the recorded answer of the key was given again"
	}
	r.daemon.state.trail.Add(string(id), entry)
}

// picker selects upstreams for the attempts of one order, each upstream at most once.
type picker struct {
	daemon  *Daemon
	request fleet.RequestID
	pool    fleet.PoolID
	tried   []fleet.UpstreamID
}

func (p *picker) next(context.Context) (upstream.ServiceClient, error) {
	lease, err := p.daemon.controllers.dispatcher.Pick(p.request, p.pool, p.tried)
	if err != nil {
		return nil, err
	}
	u := lease.Upstream()
	p.tried = append(p.tried, u.ID)
	return &leasedClient{client: p.daemon.controllers.dialer.Service(u), lease: lease}, nil
}

// leasedClient is a service client that releases its lease after the call.
type leasedClient struct {
	client upstream.ServiceClient
	lease  pool.Lease
}

// Call implements upstream.ServiceClient.
func (l *leasedClient) Call(ctx context.Context, c upstream.Call) (upstream.Response, error) {
	response, err := l.client.Call(ctx, c)
	l.lease.Done(dispatch.Result(ctx, response, err))
	return response, err
}
