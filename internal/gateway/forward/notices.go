package forward

import (
	"slices"
	"sort"
	"time"

	"github.com/pkg/errors"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/gateway"
	"github.com/bilberryrock/bilberryrock/internal/gateway/notice"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
)

// retryAfterResolution is the resolution of Retry-After in refusals of the gateway.
const retryAfterResolution = 10 * time.Millisecond

// errWithheld is wrapped by the errors of requests that are not sent because upstreams are
// paused or leaving.
var errWithheld = errors.New("upstreams are paused or leaving")

// enginesOf returns the engines of a path.
func enginesOf(hops []path.Hop) []notice.Upstream {
	us := make([]notice.Upstream, len(hops))
	for i, h := range hops {
		us[i] = notice.Upstream{ID: h.ID, Incarnation: h.Incarnation}
	}
	return us
}

// recordNotices records what a response says of the upstreams of an attempt.
//
// The sender is the first engine of a path. An upstream that is leaving says so in all its
// responses, so this always refers to the sender. A pause refers to the engine that the
// response names as unable to serve the request, because the first engine passes on
// refusals of the later ones. A response with status 421 was sent by another process than
// the expected one, unless it names a later engine, and then says nothing of the upstream.
func (q *request) recordNotices(d destination, r gateway.ResponseHeaders) {
	if !r.Leaving && r.Pause == 0 {
		return
	}
	sender := d.upstreams[0]
	named := sender
	if i := slices.IndexFunc(d.hops, func(h path.Hop) bool { return h.Address == r.At }); i > 0 {
		named = d.upstreams[i]
	}
	if r.Misdirected && named == sender {
		return
	}
	if r.Leaving {
		q.state.Notices().RecordLeaving(sender)
	}
	q.state.Notices().RecordPause(named, r.Pause)
}

// noticeExclusions returns two functions for Constraints.Exclude, or nil if there are no
// notices. The first one also excludes an engine that is reintroduced after a pause, at
// random by its share.
func (q *request) noticeExclusions() (excludeDrawn, excludeBlocked func(fleet.UpstreamID, fleet.Incarnation) bool) {
	t := q.state.Notices()
	if t.Empty() {
		return nil, nil
	}
	// A choice asks for some engines twice, and one draw must decide for both.
	drawn := make(map[notice.Upstream]bool)
	excludeDrawn = func(id fleet.UpstreamID, n fleet.Incarnation) bool {
		u := notice.Upstream{ID: id, Incarnation: n}
		excluded, known := drawn[u]
		if !known {
			excluded = !t.Draw(u)
			drawn[u] = excluded
		}
		return excluded
	}
	excludeBlocked = func(id fleet.UpstreamID, n fleet.Incarnation) bool {
		_, blocked := t.Blocked(notice.Upstream{ID: id, Incarnation: n})
		return blocked
	}
	return excludeDrawn, excludeBlocked
}

// noticeShares returns a function for Request.Share, or nil if there are no notices.
func (q *request) noticeShares() func(fleet.UpstreamID, fleet.Incarnation) float64 {
	t := q.state.Notices()
	if t.Empty() {
		return nil
	}
	return func(id fleet.UpstreamID, n fleet.Incarnation) float64 {
		return t.Share(notice.Upstream{ID: id, Incarnation: n})
	}
}

// checkNotices returns an error if an upstream of an attempt was paused or began to leave
// since it was selected.
func (q *request) checkNotices(d destination) error {
	for _, u := range d.upstreams {
		if _, blocked := q.state.Notices().Blocked(u); blocked {
			q.metrics.withheld()
			return refusal.WithCause(refusal.NoUpstream, errWithheld, "upstream %s was selected before its notice", u.ID)
		}
	}
	return nil
}

// withheldError returns an error if a selection failed only because upstreams are paused or
// leaving, and nil otherwise. It is of kind refusal.Overloaded and has the earliest time at
// which the request could be served, or of kind refusal.NoUpstream if there is no such time.
func (q *request) withheldError(continues bool) error {
	t := q.state.Notices()
	if t.Empty() {
		return nil
	}
	end, withheld := q.earliestUpstream(t)
	if p := q.pool.Planner; p != nil {
		end, withheld = q.earliestPath(t, p, q.unrestricted(p, continues))
	}
	switch {
	case !withheld:
		return nil
	case end.IsZero():
		return refusal.WithCause(refusal.NoUpstream, errWithheld, "all upstreams that could serve the request are leaving")
	}
	// The time is rounded up, so that the client does not come back too early.
	steps := (end.Sub(q.clock.Now()) + retryAfterResolution - 1) / retryAfterResolution
	d := max(steps, 1) * retryAfterResolution
	return refusal.WithCause(refusal.Overloaded, errWithheld, "no upstream may be used before the end of a pause in %s", d).WithRetryAfter(d)
}

// earliestUpstream returns the earliest time at which an upstream of a plain service may be
// used, or zero if all are leaving. It reports false if some upstream may be used now, or
// none is alive.
func (q *request) earliestUpstream(t *notice.Table) (time.Time, bool) {
	if q.pool.Upstreams == nil {
		return time.Time{}, false
	}
	var end time.Time
	alive, free := false, false
	// No upstream has a share, so nothing is selected.
	_, err := q.pool.Upstreams.Pick(pool.Request{Share: func(id fleet.UpstreamID, n fleet.Incarnation) float64 {
		alive = true
		e, blocked := t.Blocked(notice.Upstream{ID: id, Incarnation: n})
		free = free || !blocked
		if !e.IsZero() && (end.IsZero() || e.Before(end)) {
			end = e
		}
		return 0
	}})
	return end, err != nil && alive && !free
}

// earliestPath returns the earliest time at which there is a path within the constraints, or
// zero if a path needs an engine that is leaving. It reports false if there is a path now, or
// would be none without notices either, or if there is none only because engines are full:
// those have room again sooner than most pauses end.
func (q *request) earliestPath(t *notice.Table, p *path.Planner, l path.Constraints) (time.Time, bool) {
	var ends []time.Time
	blockedAny := false
	l.Exclude = func(id fleet.UpstreamID, n fleet.Incarnation) bool {
		end, blocked := t.Blocked(notice.Upstream{ID: id, Incarnation: n})
		blockedAny = blockedAny || blocked
		if blocked && !end.IsZero() {
			ends = append(ends, end)
		}
		return blocked
	}
	if p.Possible(l) || !blockedAny {
		return time.Time{}, false
	}
	l.Exclude = func(id fleet.UpstreamID, n fleet.Incarnation) bool {
		_, blocked := t.Blocked(notice.Upstream{ID: id, Incarnation: n})
		return blocked
	}
	if p.PossibleUnlessFull(l) {
		return time.Time{}, false
	}
	l.Exclude = nil
	if !p.Possible(l) {
		return time.Time{}, false
	}
	slices.SortFunc(ends, time.Time.Compare)
	// Engines only become available as time passes, so a binary search finds the first end
	// after which there is a path.
	i := sort.Search(len(ends), func(i int) bool {
		l.Exclude = func(id fleet.UpstreamID, n fleet.Incarnation) bool {
			end, blocked := t.Blocked(notice.Upstream{ID: id, Incarnation: n})
			return blocked && (end.IsZero() || end.After(ends[i]))
		}
		return p.Possible(l)
	})
	if i == len(ends) {
		return time.Time{}, true
	}
	return ends[i], true
}
