// Package governor keeps the work in progress of an instance within its share of
// the quiet-hours limit.
//
// The limit of a data centre is divided by the number of its instances, without
// communication between them, so that the sum of the shares cannot exceed the limit
// in any network partition. The remainder of the division is assigned one by one to
// the instances with the lowest ids, but only an instance that knows all the others
// uses its part of the remainder.
//
// Work that is expected to run into a window counts towards the limit of that
// window from the time it starts. The work in progress therefore drains before the
// window, and what still runs is within the limit when the window opens. Capacity
// is ramped down before a window and ramped up after it.
//
//	g := governor.New(time.Second)
//	g.SetFleet(self, 5, known)
//	g.SetWindows(windows)
//	end, ok := g.Start(now, expected, cancel)
//	if ok {
//		defer end()
//	}
//
// Work that runs into a window although it was expected to end earlier may exceed
// the limit. Evict asks as much of it to leave as is over the limit.
package governor

import (
	"container/heap"
	"slices"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/quiet"
	"github.com/bilberryrock/bilberryrock/internal/quiet/calendar"
)

const (
	// lookAhead is how far ahead windows are looked up, and lookupInterval how
	// often. Their difference is the longest duration of work that is certain to be
	// recognized as running into a window.
	lookAhead      = 26 * time.Hour
	lookupInterval = 2 * time.Hour
	// rampDownTime and rampUpTime are the durations of the ramps before and after a
	// window.
	rampDownTime = 20 * time.Second
	rampUpTime   = 30 * time.Second
	// overrunFactor is the factor on the expected duration of work that allows for
	// overruns.
	overrunFactor = 1.5
)

// Counters are the totals since a Governor was created, and the number of tasks that
// are running now.
type Counters struct {
	Started uint64
	Refused uint64
	Evicted uint64
	Running int
}

// Governor limits the work in progress of one instance. It is safe for concurrent
// use.
type Governor struct {
	clockError time.Duration

	mu            sync.Mutex
	windows       []document.Window
	self          fleet.InstanceID
	instanceCount int
	alive         []fleet.InstanceID
	capacity      int
	spans         []*span
	lookedUpAt    time.Time
	running       taskHeap
	counters      Counters
}

// span is an occurrence of a window and the number of tasks counted in it.
type span struct {
	quiet.Span
	assigned int
}

// New returns a Governor without windows for an instance whose clock error is at
// most clockError. Until SetFleet is called, the instance is assumed to be the only
// one.
func New(clockError time.Duration) *Governor {
	return &Governor{clockError: clockError, instanceCount: 1}
}

// SetWindows replaces the windows of the data centre.
func (g *Governor) SetWindows(w []document.Window) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.windows = w
	g.lookedUpAt = time.Time{}
}

// SetFleet sets the configured number of instances of the data centre and the
// instances that are known to be alive, including self. instanceCount must be the
// maximum number of instances that may run at the same time, because the limit is
// divided by it.
func (g *Governor) SetFleet(self fleet.InstanceID, instanceCount int, alive []fleet.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self = self
	g.instanceCount = max(instanceCount, 1)
	g.alive = alive
}

// SetCapacity sets the maximum number of tasks that this instance runs outside of
// windows. It is the upper end of the ramps; zero disables the ramps.
func (g *Governor) SetCapacity(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.capacity = n
}

// Start reports whether work of the expected duration may start at now. If it may,
// end must be called once when the work has ended. evict is called at most once,
// when the work has to leave because of a window; it may be nil.
func (g *Governor) Start(now time.Time, expected time.Duration, evict func()) (end func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	allowed := time.Duration(float64(expected) * overrunFactor)
	r := &task{expectedEnd: now.Add(allowed), extension: max(allowed, time.Second), evict: evict}
	if !g.fits(r, now) {
		g.counters.Refused++
		return nil, false
	}
	g.assign(r, 0)
	heap.Push(&g.running, r)
	g.counters.Started++
	return func() { g.finish(r) }, true
}

// RetryAfter returns the time for which no work can start at all, even if all running
// work ends, or zero.
func (g *Governor) RetryAfter(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	limit := g.currentLimit(now)
	if !limit.Limited || limit.MaxInFlight > 0 {
		return 0
	}
	return limit.Until.Sub(now)
}

// Limit returns the limit of this instance at now.
func (g *Governor) Limit(now time.Time) quiet.Limit {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return g.currentLimit(now)
}

// Excess returns the number of running tasks that have to be evicted or refused to
// meet the limits of the windows that are open at now.
func (g *Governor) Excess(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return g.excess(now)
}

// Evict asks running work to leave until no more than the limit remains, starting with
// the latest expected end. A controller calls it a few times per second. It returns
// the number of tasks that it asked.
func (g *Governor) Evict(now time.Time) int {
	asked := g.selectForEviction(now)
	for _, r := range asked {
		if r.evict != nil {
			r.evict()
		}
	}
	return len(asked)
}

// Counters returns the current counters.
func (g *Governor) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counters
	c.Running = len(g.running)
	return c
}

// selectForEviction marks the tasks that have to leave and were not asked yet, and
// returns them.
func (g *Governor) selectForEviction(now time.Time) []*task {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	staying := slices.DeleteFunc(slices.Clone(g.running), func(r *task) bool { return r.evicted })
	surplus := g.excess(now) - (len(g.running) - len(staying))
	if surplus <= 0 {
		return nil
	}
	slices.SortFunc(staying, func(a, b *task) int { return b.expectedEnd.Compare(a.expectedEnd) })
	asked := staying[:surplus]
	for _, r := range asked {
		r.evicted = true
	}
	g.counters.Evicted += uint64(len(asked))
	return asked
}

func (g *Governor) excess(now time.Time) int {
	excess := 0
	for _, s := range g.spans {
		if isOpen(s, now) {
			excess = max(excess, len(g.running)-g.share(s.MaxInFlight))
		}
	}
	return excess
}

// fits reports whether starting r at now keeps every window that it overlaps, and
// the current limit, within bounds.
func (g *Governor) fits(r *task, now time.Time) bool {
	for _, s := range g.spans {
		if !s.Start.Before(r.expectedEnd) || !now.Before(s.End) {
			continue
		}
		if s.assigned >= g.share(s.MaxInFlight) {
			return false
		}
	}
	b := g.currentLimit(now)
	return !b.Limited || len(g.running) < b.MaxInFlight
}

// currentLimit returns the lowest of the limits of open windows and of ramps.
func (g *Governor) currentLimit(now time.Time) quiet.Limit {
	var limit quiet.Limit
	for _, s := range g.spans {
		spanLimit, until, limited := g.spanLimit(s, now)
		if !limited {
			if s.Start.After(now) && (limit.Until.IsZero() || s.Start.Add(-rampDownTime).Before(limit.Until)) {
				limit.Until = s.Start.Add(-rampDownTime)
			}
			continue
		}
		if !limit.Limited || spanLimit < limit.MaxInFlight {
			limit = quiet.Limit{Limited: true, MaxInFlight: spanLimit, Until: until, Window: s.Window}
		}
	}
	return limit
}

// spanLimit returns the limit that s sets at now, and until when. Outside of the span
// and its ramps, limited is false.
func (g *Governor) spanLimit(s *span, now time.Time) (limit int, until time.Time, limited bool) {
	share := g.share(s.MaxInFlight)
	if isOpen(s, now) {
		return share, s.End, true
	}
	extra := max(g.capacity-share, 0)
	before, after := s.Start.Sub(now), now.Sub(s.End)
	switch {
	case extra == 0:
		return 0, time.Time{}, false
	case before > 0 && before < rampDownTime:
		return share + scale(extra, before, rampDownTime), s.Start, true
	case after >= 0 && after < rampUpTime:
		return share + scale(extra, after, rampUpTime), s.End.Add(rampUpTime), true
	}
	return 0, time.Time{}, false
}

// share returns the part of limit that this instance may use.
func (g *Governor) share(limit int) int {
	n := max(g.instanceCount, len(g.alive))
	share := limit / n
	rank, complete := g.rank(n)
	if complete && rank < limit%n {
		share++
	}
	return share
}

// rank returns the number of alive instances with a lower id than this one, and
// whether all n instances, including this one, are known to be alive.
func (g *Governor) rank(n int) (rank int, complete bool) {
	selfAlive := false
	for _, id := range g.alive {
		selfAlive = selfAlive || id == g.self
		if id < g.self {
			rank++
		}
	}
	return rank, selfAlive && len(g.alive) == n
}

// advance refreshes the spans if due and extends tasks that run longer than expected.
func (g *Governor) advance(now time.Time) {
	if g.lookedUpAt.IsZero() || now.Sub(g.lookedUpAt) >= lookupInterval || now.Before(g.lookedUpAt) {
		g.refreshSpans(now)
	}
	for len(g.running) > 0 && !g.running[0].expectedEnd.After(now) {
		r := g.running[0]
		counted := r.spanCount
		r.expectedEnd = now.Add(r.extension)
		g.assign(r, counted)
		heap.Fix(&g.running, 0)
	}
}

// refreshSpans looks up the spans and counts all running tasks again.
func (g *Governor) refreshSpans(now time.Time) {
	g.lookedUpAt = now
	g.spans = g.spans[:0]
	for _, s := range calendar.Spans(g.windows, now.Add(-rampUpTime), now.Add(lookAhead), g.clockError) {
		g.spans = append(g.spans, &span{Span: s})
	}
	for _, r := range g.running {
		g.assign(r, 0)
	}
}

// assign counts r in the spans from index first that start before its expected end.
// Spans are ordered by start, so r is counted in the first r.spanCount of them.
func (g *Governor) assign(r *task, first int) {
	r.spanCount = first
	for r.spanCount < len(g.spans) && g.spans[r.spanCount].Start.Before(r.expectedEnd) {
		g.spans[r.spanCount].assigned++
		r.spanCount++
	}
}

func (g *Governor) finish(r *task) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.spans[:r.spanCount] {
		s.assigned--
	}
	heap.Remove(&g.running, r.heapIndex)
}

// isOpen reports whether now lies within s.
func isOpen(s *span, now time.Time) bool {
	return !now.Before(s.Start) && now.Before(s.End)
}

// scale returns n times elapsed/duration, rounded down.
func scale(n int, elapsed, duration time.Duration) int {
	return int(float64(n) * float64(elapsed) / float64(duration))
}
