// Package catalog merges entries of the upstream registry from several sources. The
// newest incarnation and heartbeat of an upstream wins, in whatever order they arrive.
package catalog

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry"
)

// Retention is how long an entry is kept after its last heartbeat. It exceeds the
// longest delay of a heartbeat. Otherwise a delayed heartbeat could restore an entry
// that is gone.
const Retention = 90 * time.Second

// Catalog is the merged registry. It is safe for concurrent use.
type Catalog struct {
	clock     fleet.Clock
	knowsPool func(fleet.PoolID) bool
	mu        sync.Mutex
	records   map[fleet.UpstreamID]*record
	revision  uint64
	changed   chan struct{}
}

// record is the entry of one upstream with the revisions of its changes.
type record struct {
	entry  registry.Entry
	digest uint64
	// all are the revisions of heartbeats from any source, and direct those of
	// heartbeats that the upstream sent to this instance.
	all, direct revisions
}

// revisions holds the catalog revisions of the newest heartbeat, and of the first one
// with the current content of the entry. A follower at a revision before content lacks
// the entry; one before heartbeat lacks only a renewal. content is 0 if the source has
// not sent the current content yet.
type revisions struct{ heartbeat, content uint64 }

// advance returns the revisions after a heartbeat at a catalog revision.
func (s revisions) advance(revision uint64) revisions {
	if s.content == 0 {
		s.content = revision
	}
	s.heartbeat = revision
	return s
}

// Delta holds the changes that a follower lacks.
type Delta struct {
	// Entries are new or changed, and Renewals belong to entries that the follower has.
	Entries  []registry.Entry
	Renewals []registry.Renewal
	// Revision is the newest revision of the catalog.
	Revision uint64
}

// Option sets one property of a Catalog.
type Option func(*Catalog)

// WithKnownPools sets the function that reports whether the current release has a pool. An
// entry of an unknown pool names no upstream that is used: it replaces no entry of another
// pool, neither with its ID nor with its address. By default all pools are known. The
// function is called with the lock of the Catalog held.
func WithKnownPools(f func(fleet.PoolID) bool) Option {
	return func(c *Catalog) { c.knowsPool = f }
}

// New returns an empty Catalog.
func New(clock fleet.Clock, options ...Option) *Catalog {
	c := &Catalog{
		clock: clock, records: make(map[fleet.UpstreamID]*record), changed: make(chan struct{}),
		knowsPool: func(fleet.PoolID) bool { return true },
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Put merges an entry. direct means that the upstream sent it to this instance. Put
// reports whether anything changed that SameContent compares.
func (c *Catalog) Put(e registry.Entry, direct bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.records[e.ID]
	if ok && c.isForeign(e, old.entry) {
		return false
	}
	if ok && !e.Newer(old.entry) && !c.isForeign(old.entry, e) {
		return false
	}
	if ok && e.Incarnation == old.entry.Incarnation && old.entry.State == registry.Leaving && e.State == registry.Ready {
		e.State = registry.Leaving
	}
	if ok && e.State == registry.Gone {
		e = mergeGone(e, old.entry)
	}
	if c.superseded(e) {
		return false
	}
	c.revision++
	same := ok && e.SameContent(old.entry)
	it := &record{entry: e}
	if ok {
		it.all, it.direct, it.digest = old.all, old.direct, old.digest
	}
	if !same {
		it.contentChanged()
	}
	it.all = it.all.advance(c.revision)
	if direct {
		it.direct = it.direct.advance(c.revision)
	}
	c.records[e.ID] = it
	if same {
		return false
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// mergeGone completes an entry that says only that an upstream is gone with the fields
// that are known.
func mergeGone(e, known registry.Entry) registry.Entry {
	if e.Pool != "" || e.Incarnation != known.Incarnation {
		return e
	}
	lastHeartbeat := e.LastHeartbeat
	sequence := max(e.Sequence, known.Sequence)
	e = known
	e.State, e.LastHeartbeat, e.Sequence = registry.Gone, lastHeartbeat, sequence
	return e
}

// isForeign reports whether e belongs to an unknown pool, so that it must not replace
// other, an entry of another pool.
func (c *Catalog) isForeign(e, other registry.Entry) bool {
	return e.State != registry.Gone && e.Pool != other.Pool && !c.knowsPool(e.Pool)
}

// superseded reports whether an upstream that started later has the address of e, so
// that e is a delayed heartbeat. Upstreams at that address that started earlier than e
// are marked as gone.
func (c *Catalog) superseded(e registry.Entry) bool {
	if e.State == registry.Gone || e.Address == "" {
		return false
	}
	for id, it := range c.records {
		if id == e.ID || it.entry.Address != e.Address || it.entry.State == registry.Gone {
			continue
		}
		if c.isForeign(e, it.entry) || c.isForeign(it.entry, e) {
			continue
		}
		if it.entry.Incarnation > e.Incarnation {
			return true
		}
		c.revision++
		it.entry.State = registry.Gone
		it.contentChanged()
		it.all = it.all.advance(c.revision)
	}
	return false
}

// Remove marks an incarnation of an upstream as gone and returns its entry, which names
// only the incarnation if nothing else is known of it. Incarnation 0 stands for the known
// one; Remove returns false if there is none.
func (c *Catalog) Remove(id fleet.UpstreamID, incarnation fleet.Incarnation) (registry.Entry, bool) {
	if known, ok := c.Get(id); ok && incarnation == 0 {
		incarnation = known.Incarnation
	} else if incarnation == 0 {
		return registry.Entry{}, false
	}
	gone := registry.Entry{ID: id, Incarnation: incarnation, State: registry.Gone, LastHeartbeat: c.clock.Now()}
	c.Put(gone, true)
	if e, ok := c.Get(id); ok && e.Incarnation == incarnation {
		return e, true
	}
	return gone, true
}

// Changed returns a channel that is closed when an entry is added or its content
// changes. Renewals don't close it.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns the changes after a revision. With direct it returns only those that
// upstreams sent to this instance.
func (c *Catalog) Since(after uint64, direct bool) Delta {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	n := Delta{Revision: c.revision}
	for id, it := range c.records {
		if now.Sub(it.entry.LastHeartbeat) > Retention {
			delete(c.records, id)
			continue
		}
		s := it.all
		if direct {
			s = it.direct
		}
		switch {
		case s.heartbeat <= after:
		case s.content > after || s.content == 0:
			n.Entries = append(n.Entries, it.entry)
		default:
			n.Renewals = append(n.Renewals, it.renewal())
		}
	}
	return n
}

// contentChanged records that the content of the entry changed, so that followers lack
// it.
func (i *record) contentChanged() {
	i.digest = i.entry.Digest()
	i.all.content, i.direct.content = 0, 0
}

func (i *record) renewal() registry.Renewal {
	return registry.Renewal{ID: i.entry.ID, Incarnation: i.entry.Incarnation, Sequence: i.entry.Sequence, Digest: i.digest, LastHeartbeat: i.entry.LastHeartbeat}
}

// Renew merges a renewal. It returns false if the upstream is unknown or the renewal is
// newer but of other content than the known entry. The known content may come from
// another source, which the sender of the renewal never received.
func (c *Catalog) Renew(r registry.Renewal) bool {
	c.mu.Lock()
	it, ok := c.records[r.ID]
	if !ok {
		c.mu.Unlock()
		return false
	}
	e, digest := it.entry, it.digest
	c.mu.Unlock()
	known := e
	e.Incarnation, e.Sequence, e.LastHeartbeat = r.Incarnation, r.Sequence, r.LastHeartbeat
	if !e.Newer(known) {
		return true
	}
	if r.Digest != digest {
		return false
	}
	c.Put(e, false)
	return true
}

// Get returns the entry of one upstream.
func (c *Catalog) Get(id fleet.UpstreamID) (registry.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	it, ok := c.records[id]
	if !ok {
		return registry.Entry{}, false
	}
	return it.entry, true
}

// All returns the entries whose last heartbeat is at most maxAge old.
func (c *Catalog) All(maxAge time.Duration) []registry.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	es := make([]registry.Entry, 0, len(c.records))
	for _, it := range c.records {
		if now.Sub(it.entry.LastHeartbeat) <= maxAge {
			es = append(es, it.entry)
		}
	}
	return es
}
