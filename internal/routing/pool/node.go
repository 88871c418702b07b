package pool

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/routing"
	"github.com/bilberryrock/bilberryrock/internal/routing/affinity"
	"github.com/bilberryrock/bilberryrock/internal/routing/ejection"
	"github.com/bilberryrock/bilberryrock/internal/routing/speed"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// noReport is the time of the report of an upstream that never reported.
const noReport = math.MinInt64

// node is what the instance knows of one incarnation of an upstream. Times are
// nanoseconds since the start of the pool.
type node struct {
	id          fleet.UpstreamID
	incarnation fleet.Incarnation
	cache       *affinity.Source
	tally       *tally
	kind        *speed.Estimate
	announced   atomic.Pointer[upstream.Upstream]

	confirmed        atomic.Int64
	slots            atomic.Int64
	reported         atomic.Int64
	reportedAt       atomic.Int64
	inFlightAtReport atomic.Int64

	inFlight  atomic.Int64
	progress  atomic.Int64 // last end of work, or begin when there was none
	service   speed.Estimate
	link      atomic.Int64
	sampledAt atomic.Int64
	ejection  ejection.State
	healthBit atomic.Uint64

	// unreachable is the time until which the upstream is passed over.
	unreachable atomic.Int64
}

func newNode(u *upstream.Upstream, kind *speed.Estimate, t *tally) *node {
	n := &node{id: u.ID, incarnation: u.Incarnation, kind: kind, tally: t, cache: affinity.NewSource(u.ID)}
	n.reportedAt.Store(noReport)
	n.unreachable.Store(math.MinInt64)
	n.setHealth(1)
	return n
}

// take stores what u says now.
func (n *node) take(u *upstream.Upstream, confirmed int64, now time.Time) {
	c := *u
	n.announced.Store(&c)
	n.confirmed.Store(confirmed)
	n.slots.Store(int64(max(u.Slots, 1)))
	if u.Load.At.IsZero() {
		return
	}
	at := confirmed - int64(u.Confirmed.Sub(u.Load.At))
	if at <= n.reportedAt.Load() {
		return
	}
	n.reportedAt.Store(at)
	n.reported.Store(int64(u.Load.Running + u.Load.Waiting))
	n.inFlightAtReport.Store(n.inFlight.Load())
}

func (n *node) begin(now int64) {
	if n.inFlight.Add(1) == 1 {
		n.progress.Store(now)
	}
	n.tally.picked.Add(1)
}

func (n *node) end(now int64, r Result) {
	n.inFlight.Add(-1)
	n.tally.count(r)
	if r == Succeeded {
		n.progress.Store(now)
	}
}

// learn takes the time without waiting for one unit of work as a sample.
func (n *node) learn(at int64, elapsed time.Duration, slowdown, work float64) {
	onUpstream := max(elapsed-2*time.Duration(n.link.Load()), 0)
	sample := time.Duration(float64(onUpstream) / (min(slowdown, maxSlowdown) * work))
	if n.service.Value() == 0 {
		n.service.Observe(n.kind.Value())
	}
	n.service.Observe(sample)
	n.kind.Observe(sample)
	n.sampledAt.Store(at)
}

// maxSlowdown bounds the part of a measured time that is put down to other work.
// The estimate of that work is rough, and without a bound a slow upstream that
// is taken to be crowded is learned as a fast one.
const maxSlowdown = 2.5

// learnAtLeast takes work that ended without an answer as a sample when it took
// longer than expected, so that an upstream that answers nothing in time does
// not keep the speed of better days.
func (n *node) learnAtLeast(at int64, elapsed time.Duration, slowdown, work float64) {
	if float64(elapsed) > float64(n.serviceTime(work, 0))*slowdown {
		n.learn(at, elapsed, 1, work)
	}
}

// serviceTime returns the expected time of one unit of work. An upstream that
// has work and shows no progress is taken to be at least as slow as the time
// since its last progress.
func (n *node) serviceTime(work float64, now int64) time.Duration {
	s := n.service.Value()
	if s == 0 {
		s = n.kind.Value()
	}
	s = time.Duration(float64(s) * work)
	if n.inFlight.Load() == 0 {
		return s
	}
	return max(s, time.Duration(now-n.progress.Load()))
}

func (n *node) candidate(m *members, a *Ask, health float64, now int64) routing.Candidate {
	c := routing.Candidate{
		ID:               n.id,
		Slots:            int(n.slots.Load()),
		InFlight:         int(n.inFlight.Load()),
		Reported:         int(n.reported.Load()),
		InFlightAtReport: int(n.inFlightAtReport.Load()),
		Peers:            m.peers,
		PoolLoad:         m.load.perSlot(),
		ReportAge:        -1,
		ServiceTime:      n.serviceTime(units(a.Work), now),
		Link:             time.Duration(n.link.Load()),
		Health:           health,
	}
	if at := n.reportedAt.Load(); at != noReport {
		c.ReportAge = time.Duration(max(now-at, 0))
	}
	return c
}

func (n *node) health() float64     { return math.Float64frombits(n.healthBit.Load()) }
func (n *node) setHealth(h float64) { n.healthBit.Store(math.Float64bits(h)) }
