// Package quarantine finds the parts of prompts that crash engines, so that gateways
// refuse requests with such a part before they reach another engine.
//
// Gateways record which parts a request had when its engine crashed before it responded,
// and which parts are in responses. Gateways and controllers exchange these records.
// Merging does not depend on the order, so that all tables of the fleet arrive at the
// same verdict:
//
//	t.RecordCrash(pool, parts, engine)
//	t.RecordProgress(pool, parts)
//	part, ok := t.Find(pool, parts)
//
// Many sound requests are cut off together with the one that crashed their engine. A
// part is therefore blamed only for crashes that no other part explains better, and for
// none within progressProtection of a response that has the part.
package quarantine

import (
	"maps"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

const (
	// minCrashes is the number of engines that must crash under a part before it is
	// quarantined.
	minCrashes = 3
	// verdictDelay is the time from the first record of a part until it may be
	// quarantined. Other gateways with progress on the part report it in that time.
	verdictDelay = 600 * time.Millisecond
	// progressProtection is how long before and after a response with a part its crashes
	// have other causes. A part that starts to crash engines later, such as with other
	// weights, is found after that time.
	progressProtection = 30 * time.Second
	// progressReportInterval is the shortest time between two reports of progress on a
	// part with crashes.
	progressReportInterval = 5 * time.Second
	// crashRetention is how long a crash is remembered.
	crashRetention = 10 * time.Minute
	// maxRecords, maxCrashesPerRecord and maxProgressParts bound the memory of a Table.
	maxRecords          = 256
	maxCrashesPerRecord = 32
	maxProgressParts    = 4096
)

// Key identifies a part of the prompts of one pool.
type Key struct {
	Pool fleet.PoolID
	Part fleet.PromptPartID
}

// clone returns a copy that does not keep the headers of the request in memory.
func (k Key) clone() Key {
	return Key{k.Pool, fleet.PromptPartID(strings.Clone(string(k.Part)))}
}

// Engine identifies one incarnation of an engine by a hash.
type Engine uint32

// HashEngine returns the Engine of one incarnation of an upstream.
func HashEngine(id fleet.UpstreamID, i fleet.Incarnation) Engine {
	return Engine(xxhash.Sum64String(string(id) + " " + strconv.FormatUint(uint64(i), 10)))
}

// Record holds the crashes and the progress of requests with one part. Times are those
// of the local clock.
type Record struct {
	Key
	// Depth is the highest index that the part had in a prompt. Later parts are shared
	// by fewer requests.
	Depth int
	// Crashes holds when each engine crashed.
	Crashes map[Engine]time.Time
	// LastProgress is the time of the last response, or zero if there is none.
	LastProgress time.Time
}

// record is a Record with local state.
type record struct {
	Record
	revision    uint64    // revision of the table at the last change
	firstKnown  time.Time // when this table had the first crash
	quarantined bool
}

// Table holds the records of one daemon. It is safe for concurrent use.
type Table struct {
	clock    fleet.Clock
	logger   *zap.Logger
	mu       sync.Mutex
	records  map[Key]*record
	revision uint64
	changed  chan struct{}
	// progress holds the last response with each part at this gateway. It is replaced by
	// an empty map once it has maxProgressParts entries or is progressProtection old;
	// previous is the map before it.
	progress, previous map[Key]time.Time
	progressSince      time.Time
	nextVerdict        time.Time // when the verdicts are due again, or zero if there are no records
}

// New returns an empty Table.
func New(clock fleet.Clock, l *zap.Logger) *Table {
	return &Table{
		clock: clock, logger: l.Named("quarantine"), records: make(map[Key]*record), changed: make(chan struct{}),
		progress: make(map[Key]time.Time), progressSince: clock.Now(),
	}
}

// Suspects returns the parts that would be blamed for a crash now, which are those without
// recent progress.
func (t *Table) Suspects(pool fleet.PoolID, parts []fleet.PromptPartID) []fleet.PromptPartID {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	var suspects []fleet.PromptPartID
	for _, p := range parts {
		if t.suspect(Key{pool, p}, now) {
			suspects = append(suspects, p)
		}
	}
	return suspects
}

func (t *Table) suspect(k Key, now time.Time) bool {
	return now.Sub(t.lastProgress(k)) >= progressProtection
}

// RecordCrash records that an engine crashed before it responded to a request with the
// given parts.
func (t *Table) RecordCrash(pool fleet.PoolID, parts []fleet.PromptPartID, e Engine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for i, p := range parts {
		if k := (Key{pool, p}); t.suspect(k, now) {
			t.merge(Record{Key: k, Depth: i, Crashes: map[Engine]time.Time{e: now}}, now)
		}
	}
}

// RecordProgress records that an engine responded to a request with the given parts.
func (t *Table) RecordProgress(pool fleet.PoolID, parts []fleet.PromptPartID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	if len(t.progress) >= maxProgressParts || now.Sub(t.progressSince) > progressProtection {
		t.previous, t.progress, t.progressSince = t.progress, make(map[Key]time.Time), now
	}
	for _, p := range parts {
		k := Key{pool, p}
		if _, ok := t.progress[k]; !ok {
			k = k.clone()
		}
		t.progress[k] = now
		if r := t.records[k]; r != nil && now.Sub(r.LastProgress) > progressReportInterval {
			t.merge(Record{Key: k, LastProgress: now}, now)
		}
	}
}

// lastProgress returns the time of the last response with a part that is known here.
func (t *Table) lastProgress(k Key) time.Time {
	last := t.progress[k]
	if last.IsZero() {
		last = t.previous[k]
	}
	if r := t.records[k]; r != nil && r.LastProgress.After(last) {
		last = r.LastProgress
	}
	return last
}

// Merge adds records of another daemon.
func (t *Table) Merge(rs []Record) {
	if len(rs) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	for _, r := range rs {
		t.merge(r, now)
	}
}

// merge adds what a record has beyond the known one.
func (t *Table) merge(o Record, now time.Time) {
	r := t.records[o.Key]
	if r == nil {
		if !hasRecentCrash(o.Crashes, now) {
			return
		}
		t.makeRoom()
		o.Key = o.clone()
		r = &record{Record: Record{Key: o.Key, Crashes: make(map[Engine]time.Time)}, firstKnown: now}
		r.LastProgress = t.lastProgress(o.Key)
		t.records[o.Key] = r
	}
	changed := false
	for e, at := range o.Crashes {
		if _, ok := r.Crashes[e]; !ok && now.Sub(at) < crashRetention && len(r.Crashes) < maxCrashesPerRecord {
			r.Crashes[e] = at
			changed = true
		}
	}
	if o.LastProgress.Sub(r.LastProgress) > progressReportInterval {
		r.LastProgress = o.LastProgress
		changed = true
	}
	if o.Depth > r.Depth {
		r.Depth = o.Depth
		changed = true
	}
	if !changed {
		return
	}
	t.revision++
	r.revision = t.revision
	t.nextVerdict = now
	close(t.changed)
	t.changed = make(chan struct{})
}

func hasRecentCrash(crashes map[Engine]time.Time, now time.Time) bool {
	for _, at := range crashes {
		if now.Sub(at) < crashRetention {
			return true
		}
	}
	return false
}

// makeRoom removes the record with the fewest crashes, and the oldest of several, if the
// table is full.
func (t *Table) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var least *record
	for _, r := range t.records {
		if least == nil || len(r.Crashes) < len(least.Crashes) || len(r.Crashes) == len(least.Crashes) && r.firstKnown.Before(least.firstKnown) {
			least = r
		}
	}
	delete(t.records, least.Key)
}

// Delta returns the records that changed after a revision, and the newest revision.
func (t *Table) Delta(after uint64) ([]Record, uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateVerdicts()
	if t.revision == after {
		return nil, after
	}
	var rs []Record
	for _, r := range t.records {
		if r.revision > after {
			c := r.Record
			c.Crashes = maps.Clone(r.Crashes)
			rs = append(rs, c)
		}
	}
	return rs, t.revision
}

// Changed returns a channel that is closed at the next change.
func (t *Table) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// Find returns the first of the parts that is quarantined.
func (t *Table) Find(pool fleet.PoolID, parts []fleet.PromptPartID) (fleet.PromptPartID, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.updateVerdicts()
	for _, p := range parts {
		if r := t.records[Key{pool, p}]; r != nil && r.quarantined {
			return p, true
		}
	}
	return "", false
}

// Crashes returns the number of engines that crashed under one of the parts without a
// known response, for the part with the most of them.
func (t *Table) Crashes(pool fleet.PoolID, parts []fleet.PromptPartID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.clock.Now()
	most := 0
	for _, p := range parts {
		if r := t.records[Key{pool, p}]; r != nil {
			most = max(most, len(r.unexplained(now)))
		}
	}
	return most
}

// Collector returns the metric of the number of quarantined parts.
func (t *Table) Collector() prometheus.Collector {
	return prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "bilberryrock_quarantined_parts", Help: "Parts of prompts that are refused because they crash engines.",
	}, func() float64 {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.updateVerdicts()
		n := 0
		for _, r := range t.records {
			if r.quarantined {
				n++
			}
		}
		return float64(n)
	})
}

// unexplained returns the engines whose crashes the progress on the part does not rule
// out.
func (r *record) unexplained(now time.Time) map[Engine]bool {
	es := make(map[Engine]bool, len(r.Crashes))
	for e, at := range r.Crashes {
		if now.Sub(at) < crashRetention && (r.LastProgress.IsZero() || at.Sub(r.LastProgress) > progressProtection) {
			es[e] = true
		}
	}
	return es
}

// updateVerdicts determines the quarantined parts if the records have changed or time has
// made a difference.
func (t *Table) updateVerdicts() {
	now := t.clock.Now()
	if len(t.records) == 0 || now.Before(t.nextVerdict) {
		return
	}
	t.nextVerdict = now.Add(verdictDelay)
	candidates := make(map[*record]map[Engine]bool)
	for k, r := range t.records {
		maps.DeleteFunc(r.Crashes, func(_ Engine, at time.Time) bool { return now.Sub(at) >= crashRetention })
		if len(r.Crashes) == 0 {
			t.setVerdict(r, false)
			delete(t.records, k)
			continue
		}
		if due := r.firstKnown.Add(verdictDelay); due.After(now) && due.Before(t.nextVerdict) {
			t.nextVerdict = due
		}
		if es := r.unexplained(now); len(es) >= minCrashes {
			candidates[r] = es
		} else {
			t.setVerdict(r, false)
		}
	}
	t.judge(candidates, now)
}

// judge takes the candidate with the most crashes, then the one with the most of the
// remaining crashes of its pool, until none has minCrashes.
func (t *Table) judge(candidates map[*record]map[Engine]bool, now time.Time) {
	for len(candidates) > 0 {
		worst := mostCrashes(candidates)
		explained := candidates[worst]
		delete(candidates, worst)
		if len(explained) < minCrashes {
			t.setVerdict(worst, false)
			continue
		}
		t.setVerdict(worst, now.Sub(worst.firstKnown) >= verdictDelay)
		for r, es := range candidates {
			if r.Pool == worst.Pool {
				maps.DeleteFunc(es, func(e Engine, _ bool) bool { return explained[e] })
			}
		}
	}
}

func (t *Table) setVerdict(r *record, quarantined bool) {
	if r.quarantined == quarantined {
		return
	}
	r.quarantined = quarantined
	t.logger.Warn("The quarantine of a part of prompts changed.", zap.Bool("quarantined", quarantined),
		zap.String("pool", string(r.Pool)), zap.String("part", string(r.Part)), zap.Int("crashes", len(r.Crashes)))
}

// mostCrashes returns the record with the most crashes. Of several it returns the one
// whose part is shared by the fewest requests.
func mostCrashes(candidates map[*record]map[Engine]bool) *record {
	var worst *record
	for r, es := range candidates {
		if worst == nil || len(es) > len(candidates[worst]) || len(es) == len(candidates[worst]) && r.moreSpecific(worst) {
			worst = r
		}
	}
	return worst
}

func (r *record) moreSpecific(o *record) bool {
	if r.Depth != o.Depth {
		return r.Depth > o.Depth
	}
	if r.Part != o.Part {
		return r.Part < o.Part
	}
	return r.Pool < o.Pool
}
