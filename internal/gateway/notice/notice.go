// Package notice keeps what a gateway knows of upstreams at first hand, from the headers
// of their responses: that an upstream is leaving, or that it asks for a pause.
//
// A Table is recorded to with each response and read by each selection:
//
//	t := notice.New(clock, logger)
//	t.RecordPause(u, 3*time.Second)
//	end, blocked := t.Blocked(u) // true until end
//
// A paused upstream is reintroduced in steps: after the end of the pause, Share grows from
// 1/8 to 1. An incarnation that restarts is a new upstream, about which nothing is known.
// The state is neither stored nor sent to other gateways.
package notice

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

//go:generate ../../../bin/stringer -type=Reason -linecomment -output=reason_string.go

// Reason is why an upstream gets no requests or fewer requests.
type Reason int

// The reasons.
const (
	Leaving     Reason = iota // leaving
	Paused                    // paused
	reasonCount               // count
)

const (
	// MaxPause is the longest pause. A request for a longer one is ignored, because it is
	// more likely a fault than the intent of an upstream, which can report its departure
	// instead.
	MaxPause = 5 * time.Minute
	// leavingRetention is how long an upstream counts as leaving after its last response
	// that said so, unless a later incarnation replaces it before. Leaving is final for an
	// incarnation, so the time only bounds the memory for upstreams that are gone.
	leavingRetention = 24 * time.Hour
	// defaultCapacity is the largest number of entries. It is many times the number of
	// upstreams of a deployment.
	defaultCapacity = 4096
	// A step of the reintroduction lasts stepFraction of the pause, within the bounds
	// minStep and maxStep. minStep is more than the time in which an upstream that is
	// still overloaded refuses a request.
	stepFraction = 0.25
	minStep      = 250 * time.Millisecond
	maxStep      = 2 * time.Second
)

// stepShares are the shares of the usual requests that an upstream gets in the steps after
// a pause. Each gateway draws at random, so that all gateways together keep to the share
// without knowing of each other.
var stepShares = [...]float64{1. / 8, 1. / 4, 1. / 2}

// Upstream identifies one incarnation of an upstream.
type Upstream struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
}

type key struct {
	upstream Upstream
	reason   Reason
}

type entry struct {
	since time.Time
	// end is the time until which the upstream gets no requests.
	end time.Time
	// step is the length of each step after end, or 0 if the entry ends at end.
	step time.Duration
}

// fullAt returns the time at which the entry has no effect any longer.
func (e entry) fullAt() time.Time { return e.end.Add(time.Duration(len(stepShares)) * e.step) }

// share returns the share of the usual requests that the upstream may get.
func (e entry) share(now time.Time) float64 {
	if now.Before(e.end) {
		return 0
	}
	if !now.Before(e.fullAt()) {
		return 1
	}
	return stepShares[now.Sub(e.end)/e.step]
}

// Table holds the notices of a gateway. It is safe for concurrent use.
type Table struct {
	clock    fleet.Clock
	random   func() float64
	logger   *zap.Logger
	capacity int

	size atomic.Int64 // number of entries

	mu      sync.RWMutex
	entries map[key]entry
	started [reasonCount]uint64 // number of entries that were added
}

// Option configures a Table.
type Option func(*Table)

// WithRandom sets the source of random numbers from 0 to 1. The default is math/rand/v2.
func WithRandom(random func() float64) Option { return func(t *Table) { t.random = random } }

// WithCapacity sets the largest number of entries.
func WithCapacity(entries int) Option { return func(t *Table) { t.capacity = entries } }

// New returns a Table without entries.
func New(clock fleet.Clock, log *zap.Logger, options ...Option) *Table {
	t := &Table{
		clock: clock, random: rand.Float64, logger: log.Named("notice"), capacity: defaultCapacity,
		entries: make(map[key]entry),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

// RecordLeaving records that an upstream is leaving. It has no end: the incarnation gets no
// further request.
func (t *Table) RecordLeaving(u Upstream) {
	t.record(key{u, Leaving}, leavingRetention, 0)
}

// RecordPause records that an upstream asks for no requests for a time. Times that are not
// between 0 and MaxPause are ignored. A pause never shortens an earlier one.
func (t *Table) RecordPause(u Upstream, d time.Duration) {
	if d <= 0 || d > MaxPause {
		return
	}
	t.record(key{u, Paused}, d, min(max(time.Duration(stepFraction*float64(d)), minStep), maxStep))
}

func (t *Table) record(k key, d, step time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	e, known := t.entries[k]
	if known && !now.Before(e.fullAt()) {
		t.remove(k, "expired")
		known = false
	}
	if known {
		if end := now.Add(d); end.After(e.end) {
			e.end, e.step = end, step
			t.entries[k] = e
		}
		return
	}
	if len(t.entries) >= t.capacity {
		t.evict(now)
	}
	e = entry{since: now, end: now.Add(d), step: step}
	t.entries[k] = e
	t.size.Store(int64(len(t.entries)))
	t.started[k.reason]++
	fields := append(k.fields(), zap.Duration("for", d))
	t.logger.Info("An upstream gets no further requests for now.", fields...)
}

// evict makes room for an entry. It removes those that have ended, or else the one that
// ends first.
func (t *Table) evict(now time.Time) {
	var first key
	var found bool
	for k, e := range t.entries {
		if !now.Before(e.fullAt()) {
			t.remove(k, "expired")
			continue
		}
		if !found || e.fullAt().Before(t.entries[first].fullAt()) {
			first, found = k, true
		}
	}
	if found && len(t.entries) >= t.capacity {
		t.remove(first, "evicted")
	}
}

func (t *Table) remove(k key, why string) {
	e := t.entries[k]
	delete(t.entries, k)
	t.size.Store(int64(len(t.entries)))
	fields := append(k.fields(), zap.Duration("after", t.clock.Now().Sub(e.since)), zap.String("why", why))
	t.logger.Info("A notice of an upstream ended.", fields...)
}

func (k key) fields() []zap.Field {
	return []zap.Field{
		zap.String("upstream", string(k.upstream.ID)), zap.Uint64("incarnation", uint64(k.upstream.Incarnation)),
		zap.Stringer("reason", k.reason),
	}
}

// Sweep removes the entries that have ended, and those of incarnations that a later one has
// replaced. current returns the newest known incarnation of an upstream.
func (t *Table) Sweep(current func(fleet.UpstreamID) (fleet.Incarnation, bool)) {
	if t.Empty() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for k, e := range t.entries {
		if !now.Before(e.fullAt()) {
			t.remove(k, "expired")
			continue
		}
		if n, ok := current(k.upstream.ID); ok && n > k.upstream.Incarnation {
			t.remove(k, "replaced")
		}
	}
}

// Empty reports whether the table has no entry.
func (t *Table) Empty() bool { return t.size.Load() == 0 }

// Leaves reports whether an upstream is leaving.
func (t *Table) Leaves(u Upstream) bool {
	end, blocked := t.Blocked(u)
	return blocked && end.IsZero()
}

// Blocked reports whether an upstream must not get any request now. The time is the end
// of the pause, or zero if there is no end because the upstream is leaving.
func (t *Table) Blocked(u Upstream) (time.Time, bool) {
	if t.Empty() {
		return time.Time{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	if e, ok := t.entries[key{u, Leaving}]; ok && now.Before(e.end) {
		return time.Time{}, true
	}
	e, ok := t.entries[key{u, Paused}]
	if !ok || !now.Before(e.end) {
		return time.Time{}, false
	}
	return e.end, true
}

// Share returns the share of its usual requests that an upstream may get now: 0 if it is
// blocked, less than 1 in the steps after a pause, and 1 otherwise.
func (t *Table) Share(u Upstream) float64 {
	if t.Empty() {
		return 1
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	share := 1.0
	for r := range reasonCount {
		if e, ok := t.entries[key{u, r}]; ok {
			share = min(share, e.share(now))
		}
	}
	return share
}

// Draw reports whether an upstream takes part in one selection. It is true with a
// probability of Share.
func (t *Table) Draw(u Upstream) bool {
	share := t.Share(u)
	return share >= 1 || share > 0 && t.random() < share
}

var (
	entriesDesc = prometheus.NewDesc("bilberryrock_gateway_upstream_notices",
		"Upstreams that this gateway sends no requests or fewer requests, by reason.", []string{"reason"}, nil)
	startedDesc = prometheus.NewDesc("bilberryrock_gateway_upstream_notices_total",
		"Times that an upstream was noted as leaving or paused, by reason.", []string{"reason"}, nil)
)

type collector struct{ table *Table }

// Collector returns the metrics of the table.
func (t *Table) Collector() prometheus.Collector { return collector{t} }

// Describe implements prometheus.Collector.
func (c collector) Describe(out chan<- *prometheus.Desc) {
	out <- entriesDesc
	out <- startedDesc
}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	t := c.table
	t.mu.RLock()
	defer t.mu.RUnlock()
	now := t.clock.Now()
	var active [reasonCount]int
	for k, e := range t.entries {
		if now.Before(e.fullAt()) {
			active[k.reason]++
		}
	}
	for r := range reasonCount {
		out <- prometheus.MustNewConstMetric(entriesDesc, prometheus.GaugeValue, float64(active[r]), r.String())
		out <- prometheus.MustNewConstMetric(startedDesc, prometheus.CounterValue, float64(t.started[r]), r.String())
	}
}
