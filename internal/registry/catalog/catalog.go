// Package catalog merges entries of the roster from several sources. The newest
// incarnation and heartbeat of an upstream wins, whatever the order of arrival.
package catalog

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/registry"
)

// forgetAfter is how long an entry that is gone or silent is kept. It is longer
// than a delayed heartbeat can take, which would otherwise bring it back.
const forgetAfter = 90 * time.Second

// Catalog is the merged roster. It is safe for concurrent use.
type Catalog struct {
	clock   fleet.Clock
	mu      sync.Mutex
	items   map[fleet.UpstreamID]*item
	stamp   uint64
	changed chan struct{}
}

type item struct {
	entry registry.Entry
	// stamp grows with each heartbeat, and own with each that was heard here.
	stamp, own uint64
}

// New returns an empty Catalog.
func New(clock fleet.Clock) *Catalog {
	return &Catalog{clock: clock, items: make(map[fleet.UpstreamID]*item), changed: make(chan struct{})}
}

// Put merges an entry. own tells that this instance heard it from the upstream
// itself. The result tells whether the entry changed more than the time at which
// the upstream was last heard.
func (c *Catalog) Put(e registry.Entry, own bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	old, ok := c.items[e.ID]
	if ok && !e.Newer(old.entry) {
		return false
	}
	if ok && e.Born == old.entry.Born && old.entry.State == registry.Leaving && e.State == registry.Ready {
		e.State = registry.Leaving
	}
	if ok && e.State == registry.Gone {
		e = goneOf(e, old.entry)
	}
	if c.superseded(e) {
		return false
	}
	c.stamp++
	it := &item{entry: e, stamp: c.stamp}
	if ok {
		it.own = old.own
	}
	if own {
		it.own = c.stamp
	}
	c.items[e.ID] = it
	if ok && e.Same(old.entry) {
		return false
	}
	close(c.changed)
	c.changed = make(chan struct{})
	return true
}

// goneOf keeps what is known of an upstream that said only that it is gone.
func goneOf(e, old registry.Entry) registry.Entry {
	if e.Pool != "" || e.Born != old.Born {
		return e
	}
	heard := e.Heard
	sequence := max(e.Sequence, old.Sequence)
	e = old
	e.State, e.Heard, e.Sequence = registry.Gone, heard, sequence
	return e
}

// superseded reports whether a later process has the address of e. A heartbeat
// that was delayed may arrive after another upstream took the address over.
func (c *Catalog) superseded(e registry.Entry) bool {
	if e.State == registry.Gone || e.Address == "" {
		return false
	}
	for id, it := range c.items {
		if id == e.ID || it.entry.Address != e.Address || it.entry.State == registry.Gone {
			continue
		}
		if it.entry.Born > e.Born {
			return true
		}
		c.stamp++
		it.entry.State = registry.Gone
		it.stamp = c.stamp
	}
	return false
}

// Remove marks an upstream as gone that said so without naming its incarnation.
// It reports whether the upstream was known.
func (c *Catalog) Remove(id fleet.UpstreamID, born fleet.Incarnation) bool {
	c.mu.Lock()
	old, ok := c.items[id]
	c.mu.Unlock()
	if !ok {
		return false
	}
	if born == 0 {
		born = old.entry.Born
	}
	c.Put(registry.Entry{ID: id, Born: born, State: registry.Gone, Heard: c.clock.Now()}, true)
	return true
}

// Changed returns a channel that is closed at the next change of any entry, other
// than a heartbeat that tells nothing new.
func (c *Catalog) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Since returns the entries with a stamp above after, and the newest stamp. With
// own it returns only what this instance heard itself.
func (c *Catalog) Since(after uint64, own bool) ([]registry.Entry, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	var es []registry.Entry
	for id, it := range c.items {
		if now.Sub(it.entry.Heard) > forgetAfter {
			delete(c.items, id)
			continue
		}
		n := it.stamp
		if own {
			n = it.own
		}
		if n > after {
			es = append(es, it.entry)
		}
	}
	return es, c.stamp
}

// Get returns the entry of one upstream.
func (c *Catalog) Get(id fleet.UpstreamID) (registry.Entry, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	it, ok := c.items[id]
	if !ok {
		return registry.Entry{}, false
	}
	return it.entry, true
}

// All returns all entries that were heard within a time.
func (c *Catalog) All(within time.Duration) []registry.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	es := make([]registry.Entry, 0, len(c.items))
	for _, it := range c.items {
		if now.Sub(it.entry.Heard) <= within {
			es = append(es, it.entry)
		}
	}
	return es
}
