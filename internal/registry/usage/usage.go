// Package usage adds up the requests in progress of all gateways at each upstream, and
// determines which upstreams failed for several of them. Upstreams are not queried:
// gateways report to their controller, and controllers exchange their sums.
package usage

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// maxFailureAge is how long a failure that a gateway reported counts.
	maxFailureAge = time.Second
	// minReporters is the number of gateways that must report a failure of an upstream
	// before it counts. A single gateway may itself be partitioned.
	minReporters = 2
	// maxReportAge is how long a report counts. Gateways and controllers report four
	// times per second.
	maxReportAge = 2 * time.Second
	// maxCachedSumAge is how long sums are cached. Each of many followers requests them four
	// times per second.
	maxCachedSumAge = 50 * time.Millisecond
)

// UpstreamStats holds the statistics of one gateway, or of several together, on one upstream.
type UpstreamStats struct {
	ID     fleet.UpstreamID
	Active int
	// Size is the size of the requests in Active, in requests of mean size. Zero means that
	// it is not known, as in pools without admission control.
	Size float64
	// Failed is set if requests recently failed there, and Served if requests recently
	// made progress.
	Failed, Served bool
	// OutOfMemory is set if the upstream recently refused a request for lack of memory.
	OutOfMemory bool
	// Slowdown is the factor by which the upstream recently reported that it is slower than
	// its kind of card, or 0 if it was not queried.
	Slowdown float64
}

// SizeOrActive returns Size, or the number of active requests if the size is not known.
func (u UpstreamStats) SizeOrActive() float64 {
	if u.Size > 0 {
		return u.Size
	}
	return float64(u.Active)
}

// Report is the report of one gateway, or the sums of several.
type Report struct {
	// Gateways is the number of gateways in the sums.
	Gateways  int
	Upstreams []UpstreamStats
	// Attempts holds the recent first attempts and retries of each pool.
	Attempts map[fleet.PoolID]budget.Count
	// Demands holds the recently offered streams of each pool under admission control.
	Demands map[fleet.PoolID]quota.Demand
	// ComputedAt is when the sums were computed. It is zero in the report of one gateway.
	ComputedAt time.Time
}

// Table adds up the reports of gateways. It is safe for concurrent use.
type Table struct {
	clock        fleet.Clock
	mu           sync.Mutex
	gateways     map[fleet.InstanceID]receivedReport
	peers        map[string]receivedReport // by address of the controller
	failures     map[fleet.UpstreamID]map[fleet.InstanceID]time.Time
	peerFailures map[fleet.UpstreamID]time.Time // confirmed by another controller
	// cached holds the last sums: those of the gateways that report to this controller,
	// and those of all.
	cached [2]Report
}

// receivedReport is a report with the time at which it was received.
type receivedReport struct {
	report   Report
	received time.Time
}

// New returns an empty Table.
func New(clock fleet.Clock) *Table {
	return &Table{
		clock:        clock,
		gateways:     make(map[fleet.InstanceID]receivedReport),
		peers:        make(map[string]receivedReport),
		failures:     make(map[fleet.UpstreamID]map[fleet.InstanceID]time.Time),
		peerFailures: make(map[fleet.UpstreamID]time.Time),
	}
}

// SetGateway replaces the report of a gateway.
func (t *Table) SetGateway(g fleet.InstanceID, r Report) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range r.Upstreams {
		if !u.Failed {
			continue
		}
		if t.failures[u.ID] == nil {
			t.failures[u.ID] = make(map[fleet.InstanceID]time.Time)
		}
		t.failures[u.ID][g] = now
	}
	r.Gateways = 1
	t.gateways[g] = receivedReport{report: r, received: now}
}

// DropGateway removes a gateway whose stream has ended.
func (t *Table) DropGateway(g fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.gateways, g)
}

// SetPeer replaces the sums of the gateways of another controller.
func (t *Table) SetPeer(address string, r Report) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range r.Upstreams {
		if u.Failed {
			t.peerFailures[u.ID] = now
		}
	}
	t.peers[address] = receivedReport{report: r, received: now}
}

// DropPeer removes another controller.
func (t *Table) DropPeer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, address)
}

// Sums returns the sums of the gateways that report to this controller, or of all
// gateways. They may be up to maxCachedSumAge old and must not be changed.
func (t *Table) Sums(all bool) Report {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	n := &t.cached[0]
	if all {
		n = &t.cached[1]
	}
	if n.ComputedAt.IsZero() || now.Sub(n.ComputedAt) >= maxCachedSumAge {
		*n = t.aggregate(all, now)
	}
	return *n
}

func (t *Table) aggregate(all bool, now time.Time) Report {
	sum := Report{Attempts: make(map[fleet.PoolID]budget.Count), Demands: make(map[fleet.PoolID]quota.Demand), ComputedAt: now}
	stats := make(map[fleet.UpstreamID]UpstreamStats)
	for g, k := range t.gateways {
		if now.Sub(k.received) > maxReportAge {
			delete(t.gateways, g)
			continue
		}
		sum.merge(k.report, stats)
	}
	for id := range t.failures {
		if t.confirmedFailed(id, now) {
			u := stats[id]
			u.Failed = true
			stats[id] = u
		}
	}
	if all {
		t.aggregatePeers(&sum, stats, now)
	}
	for id, d := range sum.Demands {
		sum.Demands[id] = d.Limit()
	}
	sum.Upstreams = make([]UpstreamStats, 0, len(stats))
	for id, u := range stats {
		u.ID = id
		sum.Upstreams = append(sum.Upstreams, u)
	}
	return sum
}

func (t *Table) aggregatePeers(sum *Report, stats map[fleet.UpstreamID]UpstreamStats, now time.Time) {
	for _, p := range t.peers {
		if now.Sub(p.received) <= maxReportAge {
			sum.merge(p.report, stats)
		}
	}
	for id, at := range t.peerFailures {
		if now.Sub(at) > maxFailureAge {
			delete(t.peerFailures, id)
			continue
		}
		u := stats[id]
		u.Failed = true
		stats[id] = u
	}
}

// merge adds a report, without its failures, which count only if several gateways
// report them.
func (r *Report) merge(o Report, stats map[fleet.UpstreamID]UpstreamStats) {
	r.Gateways += o.Gateways
	for id, c := range o.Attempts {
		r.Attempts[id] = r.Attempts[id].Add(c)
	}
	for id, d := range o.Demands {
		r.Demands[id] = r.Demands[id].Add(d)
	}
	for _, n := range o.Upstreams {
		u := stats[n.ID]
		if u.Size > 0 || n.Size > 0 {
			u.Size = u.SizeOrActive() + n.SizeOrActive()
		}
		u.Active += n.Active
		u.Served = u.Served || n.Served
		u.OutOfMemory = u.OutOfMemory || n.OutOfMemory
		u.Slowdown = max(u.Slowdown, n.Slowdown)
		stats[n.ID] = u
	}
}

// confirmedFailed reports whether at least minReporters gateways recently reported a
// failure of an upstream.
func (t *Table) confirmedFailed(id fleet.UpstreamID, now time.Time) bool {
	seen := t.failures[id]
	for g, at := range seen {
		if now.Sub(at) > maxFailureAge {
			delete(seen, g)
		}
	}
	if len(seen) == 0 {
		delete(t.failures, id)
	}
	return len(seen) >= minReporters
}
