package forward

import (
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
)

// destination is the path or the upstream of one attempt.
type destination struct {
	hops   []path.Hop
	target exchange.Target
	engine quarantine.Engine
	// lastHeartbeat is that of the upstream, or zero for a path.
	lastHeartbeat time.Time
	// done must be called once with the outcome of the attempt. refused means that no
	// connection could be opened.
	done func(ok bool, refused bool)
}

// chooseDestination selects a path of engines, or an upstream of a service without
// engines. continues is set for a stream whose client already has a part of it.
func (q *request) chooseDestination(continues bool) (destination, error) {
	if p := q.pool.Planner; p != nil {
		hops, err := q.choosePath(p, continues)
		if err != nil {
			return destination{}, err
		}
		return destination{
			hops: hops, target: exchange.Target{ID: hops[0].ID, Address: hops[0].Address},
			engine: quarantine.HashEngine(hops[0].ID, hops[0].Incarnation),
			done:   func(ok, _ bool) { p.Done(hops, ok) },
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
		engine:        quarantine.HashEngine(u.ID, u.Incarnation),
		lastHeartbeat: u.LastHeartbeat,
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

// choosePath selects a path that avoids the first engine of the path that broke last.
// Once the stream may have run at as many first engines as the route allows, the path
// begins at one of them. If there is no such path, any path is allowed, because those
// engines may be lost.
func (q *request) choosePath(p *path.Planner, continues bool) ([]path.Hop, error) {
	unrestricted := path.Constraints{Continues: continues, Size: p.Size(q.headers.PromptTokens, q.headers.MaxAnswerTokens)}
	l := unrestricted
	if q.reachedMaxUpstreams() {
		l.First = q.ranAt
	} else {
		l.Avoid = q.avoid
	}
	hops, err := p.Choose(l)
	if err == nil {
		return hops, nil
	}
	if len(l.First) > 0 || len(l.Avoid) > 0 || refusal.KindOf(err) != refusal.Overloaded {
		hops, err = p.Choose(unrestricted)
	}
	return hops, q.withRetryAfter(err)
}

// pickUpstream selects an upstream of a service without engines under the same limits.
func (q *request) pickUpstream() (pool.Lease, error) {
	if q.reachedMaxUpstreams() {
		return q.pool.Upstreams.Pick(pool.Request{Eligible: q.ranAt})
	}
	return q.pool.Upstreams.Pick(pool.Request{Exclude: q.avoid})
}
