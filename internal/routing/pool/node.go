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

// noReport is the value of reportedAt before the first load report.
const noReport = math.MinInt64

// member is the state that the instance keeps for one incarnation of an upstream.
// Times are in nanoseconds since the creation of the pool.
type member struct {
	id           fleet.UpstreamID
	incarnation  fleet.Incarnation
	prefixCache  *affinity.Cache
	counters     *counterShard
	kindEstimate *speed.Estimate
	announced    atomic.Pointer[upstream.Upstream]

	lastHeartbeat    atomic.Int64
	slots            atomic.Int64
	reported         atomic.Int64
	reportedAt       atomic.Int64
	inFlightAtReport atomic.Int64

	inFlight     atomic.Int64
	lastProgress atomic.Int64 // last success, or when inFlight last rose from 0
	estimate     speed.Estimate
	linkDelay    atomic.Int64
	sampledAt    atomic.Int64
	ejection     ejection.State
	healthBits   atomic.Uint64

	// excludedUntil is the time until which the upstream is skipped after a
	// failure to reach it.
	excludedUntil atomic.Int64
}

func newMember(u *upstream.Upstream, kind *speed.Estimate, shard *counterShard) *member {
	m := &member{id: u.ID, incarnation: u.Incarnation, kindEstimate: kind, counters: shard, prefixCache: affinity.NewCache(u.ID)}
	m.reportedAt.Store(noReport)
	m.excludedUntil.Store(math.MinInt64)
	m.setHealth(1)
	return m
}

// update stores the announcement u and its load report, if that is newer than the
// stored one.
func (m *member) update(u *upstream.Upstream, lastHeartbeat int64, now time.Time) {
	copied := *u
	m.announced.Store(&copied)
	m.lastHeartbeat.Store(lastHeartbeat)
	m.slots.Store(int64(max(u.Slots, 1)))
	if u.Load.At.IsZero() {
		return
	}
	at := lastHeartbeat - int64(u.LastHeartbeat.Sub(u.Load.At))
	if at <= m.reportedAt.Load() {
		return
	}
	m.reportedAt.Store(at)
	m.reported.Store(int64(u.Load.Running + u.Load.Waiting))
	m.inFlightAtReport.Store(m.inFlight.Load())
}

func (m *member) begin(now int64) {
	if m.inFlight.Add(1) == 1 {
		m.lastProgress.Store(now)
	}
	m.counters.picked.Add(1)
}

func (m *member) end(now int64, r Result) {
	m.inFlight.Add(-1)
	m.counters.record(r)
	if r == Succeeded {
		m.lastProgress.Store(now)
	}
}

// observe adds the service time per unit of work, without link delay and queueing,
// to the estimates of the upstream and of its accelerator kind.
func (m *member) observe(at int64, elapsed time.Duration, slowdown, work float64) {
	onUpstream := max(elapsed-2*time.Duration(m.linkDelay.Load()), 0)
	sample := time.Duration(float64(onUpstream) / (min(slowdown, maxSlowdown) * work))
	if m.estimate.Value() == 0 {
		m.estimate.Observe(m.kindEstimate.Value())
	}
	m.estimate.Observe(sample)
	m.kindEstimate.Observe(sample)
	m.sampledAt.Store(at)
}

// maxSlowdown bounds the factor by which a measured time is attributed to other
// requests on the upstream. The estimate of their number is rough; without a bound
// a slow upstream that is assumed to be overloaded would be estimated as fast.
const maxSlowdown = 2.5

// observeLowerBound adds a sample for a request that ended without a response, if it
// took longer than expected. Otherwise an upstream whose requests all time out
// would keep the estimate from before it became slow.
func (m *member) observeLowerBound(at int64, elapsed time.Duration, slowdown, work float64) {
	if float64(elapsed) > float64(m.serviceTime(work, 0))*slowdown {
		m.observe(at, elapsed, 1, work)
	}
}

// serviceTime returns the expected service time of a request with the given units
// of work. If the upstream has requests in flight, the result is at least the time
// since its last progress, so that an upstream that stalls counts as slow.
func (m *member) serviceTime(work float64, now int64) time.Duration {
	s := m.estimate.Value()
	if s == 0 {
		s = m.kindEstimate.Value()
	}
	s = time.Duration(float64(s) * work)
	if m.inFlight.Load() == 0 {
		return s
	}
	return max(s, time.Duration(now-m.lastProgress.Load()))
}

func (m *member) candidate(set *memberSet, r *Request, health float64, now int64) routing.Candidate {
	c := routing.Candidate{
		ID:               m.id,
		Slots:            int(m.slots.Load()),
		InFlight:         int(m.inFlight.Load()),
		Reported:         int(m.reported.Load()),
		InFlightAtReport: int(m.inFlightAtReport.Load()),
		Peers:            set.peers,
		PoolLoad:         set.load.perSlot(),
		ReportAge:        -1,
		ServiceTime:      m.serviceTime(workUnits(r.Work), now),
		LinkDelay:        time.Duration(m.linkDelay.Load()),
		Health:           health,
	}
	if at := m.reportedAt.Load(); at != noReport {
		c.ReportAge = time.Duration(max(now-at, 0))
	}
	return c
}

func (m *member) health() float64     { return math.Float64frombits(m.healthBits.Load()) }
func (m *member) setHealth(h float64) { m.healthBits.Store(math.Float64bits(h)) }
