// Package trail stores the newest decision records in bounded memory.
//
// Records are distributed over shards with one lock each. A shard that is full evicts
// its oldest records:
//
//	var t report.Trail = trail.New(trail.WithMaxBytes(16 << 20))
//	t.Open(id, account, team)
//	t.Add(id, report.Entry{Component: "admission", Chosen: "queued"})
//
// Queries of operators go through FindForTeam, which shows a team only its own records.
package trail

import (
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/report"
	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultMaxBytes is the default bound of the memory of all records.
	DefaultMaxBytes = 16 << 20
	// MaxEntries is the maximum number of entries of a record. Further entries
	// replace those in the middle, so that the start and the end of a long
	// request are kept.
	MaxEntries = 64
	// MaxTextBytes is the number of bytes to which the texts of an entry are truncated.
	MaxTextBytes = 512

	shardCount          = 64 // a power of two, so that a mask selects the shard
	headEntries         = 16 // entries at the start of a record that are never replaced
	recordOverheadBytes = 320
	entryOverheadBytes  = 136
)

// Trail implements report.Trail. It is safe for concurrent use.
type Trail struct {
	shards [shardCount]shard
}

var _ report.Trail = (*Trail)(nil)

type shard struct {
	mu      sync.Mutex
	limit   int
	bytes   int
	records map[string]*record
	// ring is a ring buffer of the ids of the records, with the oldest at head.
	ring       []string
	head, size int
}

type record struct {
	report.Record
	bytes   int
	dropped int
}

// Option configures a Trail.
type Option func(*Trail)

// WithMaxBytes sets the bound of the memory of all records, instead of DefaultMaxBytes.
func WithMaxBytes(n int) Option {
	return func(t *Trail) {
		for i := range t.shards {
			t.shards[i].limit = n / shardCount
		}
	}
}

// New returns an empty Trail.
func New(options ...Option) *Trail {
	t := &Trail{}
	WithMaxBytes(DefaultMaxBytes)(t)
	for _, o := range options {
		o(t)
	}
	for i := range t.shards {
		t.shards[i].records = make(map[string]*record)
	}
	return t
}

func (t *Trail) shardOf(id string) *shard {
	return &t.shards[xxhash.Sum64String(id)&(shardCount-1)]
}

// Open creates the record of id. An existing record is not changed.
func (t *Trail) Open(id string, a fleet.AccountID, team fleet.TeamID) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.records[id]; ok || len(id) > MaxTextBytes {
		return
	}
	r := &record{Record: report.Record{ID: id, Account: a, Team: team}}
	r.bytes = recordOverheadBytes + 2*len(id) + len(a) + len(team)
	s.records[id] = r
	s.push(id)
	s.bytes += r.bytes
	s.evict()
}

// Add appends e to the record of id. Without a record it does nothing.
func (t *Trail) Add(id string, e report.Entry) {
	e = truncate(e)
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return
	}
	before := r.bytes
	r.add(e)
	s.bytes += r.bytes - before
	s.evict()
}

// Find returns a copy of the record of id.
func (t *Trail) Find(id string) (report.Record, bool) {
	s := t.shardOf(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return report.Record{}, false
	}
	found := r.Record
	found.Entries = r.entries()
	return found, true
}

// FindForTeam returns a copy of the record of id when it belongs to a team. Another
// team's record looks like one that does not exist.
func (t *Trail) FindForTeam(team fleet.TeamID, id string) (report.Record, bool) {
	r, ok := t.Find(id)
	if !ok || !VisibleTo(r, team) {
		return report.Record{}, false
	}
	return r, true
}

// VisibleTo reports whether a team may see r. Records without a team are visible to
// no team.
func VisibleTo(r report.Record, team fleet.TeamID) bool {
	return team != "" && r.Team == team
}

func (r *record) add(e report.Entry) {
	if len(r.Entries) == MaxEntries {
		r.bytes -= sizeOf(r.Entries[headEntries])
		r.Entries = slices.Delete(r.Entries, headEntries, headEntries+1)
		r.dropped++
	}
	r.Entries = append(r.Entries, e)
	r.bytes += sizeOf(e)
}

// entries returns a copy of the entries, with a note of how many were dropped.
func (r *record) entries() []report.Entry {
	list := slices.Clone(r.Entries)
	if r.dropped == 0 {
		return list
	}
	note := report.Entry{
		At:        list[headEntries].At,
		Component: "trail",
		Chosen:    fmt.Sprintf("%d entries before this one were dropped", r.dropped),
	}
	return slices.Insert(list, headEntries, note)
}

// evict removes the oldest records until the shard is within its limit.
func (s *shard) evict() {
	for s.bytes > s.limit && s.size > 0 {
		id := s.pop()
		s.bytes -= s.records[id].bytes
		delete(s.records, id)
	}
}

func (s *shard) push(id string) {
	if s.size == len(s.ring) {
		s.grow()
	}
	s.ring[(s.head+s.size)%len(s.ring)] = id
	s.size++
}

func (s *shard) pop() string {
	id := s.ring[s.head]
	s.ring[s.head] = ""
	s.head = (s.head + 1) % len(s.ring)
	s.size--
	return id
}

func (s *shard) grow() {
	ring := make([]string, max(16, 2*len(s.ring)))
	for i := range s.size {
		ring[i] = s.ring[(s.head+i)%len(s.ring)]
	}
	s.ring, s.head = ring, 0
}

func sizeOf(e report.Entry) int {
	return entryOverheadBytes + len(e.Component) + len(e.Known) + len(e.Alternatives) + len(e.Chosen) + len(e.Reason) + len(e.Next)
}

func truncate(e report.Entry) report.Entry {
	for _, text := range []*string{&e.Component, &e.Known, &e.Alternatives, &e.Chosen, &e.Reason, &e.Next} {
		if len(*text) > MaxTextBytes {
			*text = strings.ToValidUTF8((*text)[:MaxTextBytes], "") + "..."
		}
	}
	return e
}
