// Package governor keeps the work in progress of an instance within its part of
// the quiet-hours bound.
//
// The bound of a data centre is divided by the number of its instances, without
// a message between them, so that the sum of the parts cannot exceed the bound
// in any partition. Only an instance that knows all the others may also hold one
// of the places that the division leaves over.
//
// Work that is expected to run into a window counts for that window from its
// start on. So the work in progress drains before the window, and what runs on
// is within the bound when it opens. Capacity falls in a ramp before a window
// and rises in one after it.
//
//	g := governor.New(time.Second)
//	g.SetFleet(self, 5, known)
//	g.SetWindows(windows)
//	end, ok := g.Start(now, expected, cancel)
//	if ok {
//		defer end()
//	}
//
// Work that runs on into a window although it was expected to end earlier may
// exceed the bound. Move asks so much of it to stop as is over the bound.
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
	// horizon is how far ahead windows are looked up, and lookupEvery how often.
	// The difference is the longest work that is seen to run into a window.
	horizon     = 26 * time.Hour
	lookupEvery = 2 * time.Hour
	// drainTime and returnTime are the ramps before and after a window.
	drainTime  = 20 * time.Second
	returnTime = 30 * time.Second
	// overrun is the factor on the expected time of work that is allowed for.
	overrun = 1.5
)

// Counters are sums since the start of a Governor and its state now.
type Counters struct {
	Started uint64
	Refused uint64
	Moved   uint64
	Running int
}

// Governor bounds the work of one instance. It is safe for concurrent use.
type Governor struct {
	clockError time.Duration

	mu       sync.Mutex
	windows  []document.Window
	self     fleet.InstanceID
	size     int
	known    []fleet.InstanceID
	full     int
	spans    []*span
	lookedUp time.Time
	running  runs
	counts   Counters
}

// span is an occurrence of a window and the number of runs that count for it.
type span struct {
	quiet.Span
	counted int
}

// New returns a Governor without windows for an instance whose clock is wrong by
// at most clockError. Until SetFleet is called it is the only instance.
func New(clockError time.Duration) *Governor {
	return &Governor{clockError: clockError, size: 1}
}

// SetWindows replaces the windows of the data centre.
func (g *Governor) SetWindows(w []document.Window) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.windows = w
	g.lookedUp = time.Time{}
}

// SetFleet sets the configured number of instances of the data centre and those
// that are known to be alive, self included. size must be the largest number
// that may run at once, because the bound is divided by it.
func (g *Governor) SetFleet(self fleet.InstanceID, size int, known []fleet.InstanceID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.self = self
	g.size = max(size, 1)
	g.known = known
}

// SetFull sets the work that this instance runs at most outside of windows. It
// is the upper end of the ramps; zero turns the ramps off.
func (g *Governor) SetFull(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.full = n
}

// Start returns whether work of the expected time may start at now. When it may,
// end must be called once when the work has ended. move is called at most once,
// when the work has to leave because of a window; it may be nil.
func (g *Governor) Start(now time.Time, expected time.Duration, move func()) (end func(), ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	allowed := time.Duration(float64(expected) * overrun)
	r := &run{end: now.Add(allowed), extension: max(allowed, time.Second), move: move}
	if !g.fits(r, now) {
		g.counts.Refused++
		return nil, false
	}
	g.count(r, 0)
	heap.Push(&g.running, r)
	g.counts.Started++
	return func() { g.finish(r) }, true
}

// Retry returns the time for which no work can start at all, however much ends,
// or zero.
func (g *Governor) Retry(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	b := g.bound(now)
	if !b.Limited || b.MaxInFlight > 0 {
		return 0
	}
	return b.Until.Sub(now)
}

// Bound returns the bound of this instance at now.
func (g *Governor) Bound(now time.Time) quiet.Bound {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return g.bound(now)
}

// Excess returns how much of the running work has to be moved or refused, for
// the bound of the window that is open to hold.
func (g *Governor) Excess(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	return g.excess(now)
}

// Move asks running work to leave until no more than the bound is left, the work
// that is expected to run longest first. A controller calls it a few times a
// second. It returns the number of pieces of work that it asked.
func (g *Governor) Move(now time.Time) int {
	asked := g.leaving(now)
	for _, r := range asked {
		if r.move != nil {
			r.move()
		}
	}
	return len(asked)
}

// Counters returns the sums and the state.
func (g *Governor) Counters() Counters {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.counts
	c.Running = len(g.running)
	return c
}

// leaving marks the work that has to leave and was not asked yet, and returns it.
func (g *Governor) leaving(now time.Time) []*run {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.advance(now)
	staying := slices.DeleteFunc(slices.Clone(g.running), func(r *run) bool { return r.moved })
	over := g.excess(now) - (len(g.running) - len(staying))
	if over <= 0 {
		return nil
	}
	slices.SortFunc(staying, func(a, b *run) int { return b.end.Compare(a.end) })
	asked := staying[:over]
	for _, r := range asked {
		r.moved = true
	}
	g.counts.Moved += uint64(len(asked))
	return asked
}

func (g *Governor) excess(now time.Time) int {
	excess := 0
	for _, s := range g.spans {
		if open(s, now) {
			excess = max(excess, len(g.running)-g.part(s.MaxInFlight))
		}
	}
	return excess
}

// fits returns whether r keeps every window that it meets within the bound.
func (g *Governor) fits(r *run, now time.Time) bool {
	for _, s := range g.spans {
		if !s.Start.Before(r.end) || !now.Before(s.End) {
			continue
		}
		if s.counted >= g.part(s.MaxInFlight) {
			return false
		}
	}
	b := g.bound(now)
	return !b.Limited || len(g.running) < b.MaxInFlight
}

// bound returns the lowest of the bounds of open windows and of the ramps.
func (g *Governor) bound(now time.Time) quiet.Bound {
	var b quiet.Bound
	for _, s := range g.spans {
		limit, until, limited := g.limit(s, now)
		if !limited {
			if s.Start.After(now) && (b.Until.IsZero() || s.Start.Add(-drainTime).Before(b.Until)) {
				b.Until = s.Start.Add(-drainTime)
			}
			continue
		}
		if !b.Limited || limit < b.MaxInFlight {
			b = quiet.Bound{Limited: true, MaxInFlight: limit, Until: until, Window: s.Window}
		}
	}
	return b
}

// limit returns what s allows at now and until when.
func (g *Governor) limit(s *span, now time.Time) (limit int, until time.Time, limited bool) {
	part := g.part(s.MaxInFlight)
	if open(s, now) {
		return part, s.End, true
	}
	extra := max(g.full-part, 0)
	before, after := s.Start.Sub(now), now.Sub(s.End)
	switch {
	case extra == 0:
		return 0, time.Time{}, false
	case before > 0 && before < drainTime:
		return part + scale(extra, before, drainTime), s.Start, true
	case after >= 0 && after < returnTime:
		return part + scale(extra, after, returnTime), s.End.Add(returnTime), true
	}
	return 0, time.Time{}, false
}

// part returns the part of a bound that this instance may use.
func (g *Governor) part(bound int) int {
	n := max(g.size, len(g.known))
	part := bound / n
	rank, complete := g.rank(n)
	if complete && rank < bound%n {
		part++
	}
	return part
}

// rank returns the number of instances that come before this one, and whether
// all n are known.
func (g *Governor) rank(n int) (rank int, complete bool) {
	self := false
	for _, id := range g.known {
		self = self || id == g.self
		if id < g.self {
			rank++
		}
	}
	return rank, self && len(g.known) == n
}

// advance looks windows up and extends work that runs longer than expected.
func (g *Governor) advance(now time.Time) {
	if g.lookedUp.IsZero() || now.Sub(g.lookedUp) >= lookupEvery || now.Before(g.lookedUp) {
		g.lookUp(now)
	}
	for len(g.running) > 0 && !g.running[0].end.After(now) {
		r := g.running[0]
		old := r.spans
		r.end = now.Add(r.extension)
		g.count(r, old)
		heap.Fix(&g.running, 0)
	}
}

// lookUp replaces the spans and counts all running work again.
func (g *Governor) lookUp(now time.Time) {
	g.lookedUp = now
	g.spans = g.spans[:0]
	for _, s := range calendar.Spans(g.windows, now.Add(-returnTime), now.Add(horizon), g.clockError) {
		g.spans = append(g.spans, &span{Span: s})
	}
	for _, r := range g.running {
		g.count(r, 0)
	}
}

// count counts r for the spans from index from on that start before it ends.
// Spans are ordered by start, so r counts for the first r.spans of them.
func (g *Governor) count(r *run, from int) {
	r.spans = from
	for r.spans < len(g.spans) && g.spans[r.spans].Start.Before(r.end) {
		g.spans[r.spans].counted++
		r.spans++
	}
}

func (g *Governor) finish(r *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.spans[:r.spans] {
		s.counted--
	}
	heap.Remove(&g.running, r.position)
}

func open(s *span, now time.Time) bool {
	return !now.Before(s.Start) && now.Before(s.End)
}

func scale(n int, passed, whole time.Duration) int {
	return int(float64(n) * float64(passed) / float64(whole))
}
