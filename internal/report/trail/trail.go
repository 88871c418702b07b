// Package trail keeps the newest decision records in memory.
//
//	t := trail.New()
//	t.Open(id, account, team)
//	t.Add(id, report.Entry{Part: "routing", Chosen: "desk-1"})
//	record, found := t.Find(id)
package trail

import (
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/report"
)

const (
	shardCount = 32
	// DefaultRecords is the number of records that are kept.
	DefaultRecords = 8192
	// maxEntries bounds the entries of a record. The first ones are kept.
	maxEntries = 64
)

// Trail implements report.Trail. It is safe for concurrent use.
type Trail struct {
	shards [shardCount]shard
	size   int // records of a shard
}

type shard struct {
	mu      sync.Mutex
	records map[string]*report.Record
	ring    []string
	next    int
}

// Option changes a Trail at its construction.
type Option func(*Trail)

// WithRecords sets the number of records that are kept.
func WithRecords(n int) Option { return func(t *Trail) { t.size = max(n/shardCount, 1) } }

// New returns an empty Trail.
func New(options ...Option) *Trail {
	t := &Trail{size: DefaultRecords / shardCount}
	for _, option := range options {
		option(t)
	}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*report.Record)
		t.shards[i].ring = make([]string, t.size)
	}
	return t
}

func (t *Trail) shard(id string) *shard { return &t.shards[xxhash.Sum64String(id)%shardCount] }

// Open implements report.Trail. The oldest record of the shard makes room.
func (t *Trail) Open(id string, account fleet.AccountID, team fleet.TeamID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, s.ring[s.next])
	s.ring[s.next] = id
	s.next = (s.next + 1) % len(s.ring)
	s.records[id] = &report.Record{ID: id, Account: account, Team: team}
}

// Add implements report.Trail. An entry of a record that is not kept is dropped.
func (t *Trail) Add(id string, e report.Entry) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r := s.records[id]; r != nil && len(r.Entries) < maxEntries {
		r.Entries = append(r.Entries, e)
	}
}

// Find implements report.Trail. The record is a copy.
func (t *Trail) Find(id string) (report.Record, bool) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.records[id]
	if r == nil {
		return report.Record{}, false
	}
	found := *r
	found.Entries = append([]report.Entry(nil), r.Entries...)
	return found, true
}
