package forward

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/notice"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
)

// destination is the path or the upstream of one attempt.
type destination struct {
	hops   []path.Hop
	target exchange.Target
	// upstreams lists the upstreams that the attempt uses, first the one that receives the
	// request.
	upstreams []notice.Upstream
	// lastHeartbeat is that of the upstream, or zero for a path.
	lastHeartbeat time.Time
	// done or withhold must be called once, which end does. done is called with the
	// outcome of the attempt, where refused means that no connection could be opened.
	done func(ok bool, refused bool)
	// withhold is called if the request was not sent because of a notice.
	withhold func()
}

// suspect returns the upstream that may have crashed and so ended an attempt with err: the
// engine at stalledAt if the others of the path waited for it, or else the upstream that
// received the request, if the connection to it was lost.
func (d destination) suspect(stalledAt string, err error) (notice.Upstream, exchange.Target, bool) {
	for _, h := range d.hops {
		if stalledAt != "" && h.Address == stalledAt {
			return notice.Upstream{ID: h.ID, Incarnation: h.Incarnation}, exchange.Target{ID: h.ID, Address: h.Address}, true
		}
	}
	return d.upstreams[0], d.target, stalledAt == "" && exchange.ConnectionLost(err)
}

// end records the outcome of the attempt. err is its error, or nil.
func (d destination) end(ok bool, err error) {
	if errors.Is(err, errWithheld) {
		d.withhold()
		return
	}
	d.done(ok, exchange.ConnectFailed(err))
}

// chooseDestination selects a path of engines, or an upstream of a service without
// engines. continues is set for a stream whose client already has a part of it. The error
// wraps errWithheld if only upstreams that are paused or leaving could serve the request.
func (q *request) chooseDestination(continues bool) (destination, error) {
	d, err := q.selectDestination(continues)
	if err == nil {
		return d, nil
	}
	if withheld := q.withheldError(continues); withheld != nil {
		return d, withheld
	}
	return d, err
}

func (q *request) selectDestination(continues bool) (destination, error) {
	if p := q.pool.Planner; p != nil {
		hops, err := q.choosePath(p, continues)
		if err != nil {
			return destination{}, err
		}
		return destination{
			hops: hops, target: exchange.Target{ID: hops[0].ID, Address: hops[0].Address},
			upstreams: enginesOf(hops),
			done:      func(ok, _ bool) { p.Done(hops, ok) },
			withhold:  func() { p.Done(hops, false) },
		}, nil
	}
	lease, err := q.pickUpstream()
	if err != nil {
		return destination{}, err
	}
	u := lease.Upstream()
	q.avoid = append(q.avoid, u.ID)
	return destination{
		target:        exchange.Target{ID: u.ID, Address: u.Address},
		upstreams:     []notice.Upstream{{ID: u.ID, Incarnation: u.Incarnation}},
		lastHeartbeat: u.LastHeartbeat,
		withhold:      func() { lease.Done(pool.Canceled) },
		done: func(ok, refused bool) {
			switch {
			case ok:
				lease.Done(pool.Succeeded)
			case q.r.Context().Err() != nil:
				lease.Done(pool.Canceled)
			case refused:
				lease.Done(pool.Unreachable)
			default:
				lease.Done(pool.Failed)
			}
		},
	}, nil
}

// unrestricted returns the constraints of any path for the request.
func (q *request) unrestricted(p *path.Planner, continues bool) path.Constraints {
	return path.Constraints{Continues: continues, Size: p.Size(q.headers.PromptTokens, q.headers.MaxAnswerTokens)}
}

// choosePath selects a path that avoids the first engine of the path that broke last, if
// there is another. Once the stream may have run at as many first engines as the route
// allows, not counting those that are lost, the path begins at one of them. They are then
// used even while they are excluded because of failures.
func (q *request) choosePath(p *path.Planner, continues bool) ([]path.Hop, error) {
	unrestricted := q.unrestricted(p, continues)
	l := unrestricted
	limited := false
	if live := p.Live(q.ranAt); len(live) >= q.maxUpstreams() {
		l.First, limited = live, true
	} else {
		l.Avoid = q.avoid
	}
	excludeDrawn, excludeBlocked := q.noticeExclusions()
	l.Exclude = excludeDrawn
	hops, err := p.Choose(l)
	if err != nil && excludeDrawn != nil {
		l.Exclude = excludeBlocked
		hops, err = p.Choose(l)
	}
	if err == nil {
		return hops, nil
	}
	if limited {
		l.FirstExcluded = true
		hops, err = p.Choose(l)
		return hops, q.withRetryAfter(err)
	}
	if len(l.Avoid) > 0 || refusal.KindOf(err) != refusal.Overloaded {
		unrestricted.Exclude = excludeBlocked
		hops, err = p.Choose(unrestricted)
	}
	return hops, q.withRetryAfter(err)
}

// pickUpstream selects an upstream of a service without engines under the same limits.
func (q *request) pickUpstream() (pool.Lease, error) {
	r := pool.Request{Exclude: q.avoid, Share: q.noticeShares()}
	if q.reachedMaxUpstreams() {
		r.Exclude, r.Eligible = nil, q.ranAt
	}
	return q.pool.Upstreams.Pick(r)
}
