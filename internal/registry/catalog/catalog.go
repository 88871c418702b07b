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
	entry  registry.Entry
	digest uint64
	// heard is the stamp of the newest heartbeat from any source, and own that of the
	// newest one that was heard here.
	heard, own stamps
}

// stamps are those of the newest heartbeat, and of the first one with the present content
// of the entry. Followers with an older stamp than that lack the entry, the others only a
// sign of life. The second is 0 where the content was not heard from the source yet.
type stamps struct{ sign, entry uint64 }

// next returns the stamps after a heartbeat.
func (s stamps) next(stamp uint64) stamps {
	if s.entry == 0 {
		s.entry = stamp
	}
	s.sign = stamp
	return s
}

// News is what a follower lacks.
type News struct {
	// Entries told something new, and Signs belong to entries that the follower has.
	Entries []registry.Entry
	Signs   []registry.Sign
	// Stamp is the newest stamp.
	Stamp uint64
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
	same := ok && e.Same(old.entry)
	it := &item{entry: e}
	if ok {
		it.heard, it.own, it.digest = old.heard, old.own, old.digest
	}
	if !same {
		it.change()
	}
	it.heard = it.heard.next(c.stamp)
	if own {
		it.own = it.own.next(c.stamp)
	}
	c.items[e.ID] = it
	if same {
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
		it.change()
		it.heard = it.heard.next(c.stamp)
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

// Since returns what is newer than a stamp. With own it returns only what this
// instance heard itself.
func (c *Catalog) Since(after uint64, own bool) News {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.clock.Now()
	n := News{Stamp: c.stamp}
	for id, it := range c.items {
		if now.Sub(it.entry.Heard) > forgetAfter {
			delete(c.items, id)
			continue
		}
		s := it.heard
		if own {
			s = it.own
		}
		switch {
		case s.sign <= after:
		case s.entry > after || s.entry == 0:
			n.Entries = append(n.Entries, it.entry)
		default:
			n.Signs = append(n.Signs, it.sign())
		}
	}
	return n
}

// change notes that the entry has another content, which followers do not have.
func (i *item) change() {
	i.digest = i.entry.Digest()
	i.heard.entry, i.own.entry = 0, 0
}

func (i *item) sign() registry.Sign {
	return registry.Sign{ID: i.entry.ID, Born: i.entry.Born, Sequence: i.entry.Sequence, Digest: i.digest, Heard: i.entry.Heard}
}

// Renew merges a sign of life. It reports whether the sign is old or belongs to the
// entry that is known; another source may have told of a content that the sign's one
// never heard of.
func (c *Catalog) Renew(s registry.Sign) bool {
	c.mu.Lock()
	it, ok := c.items[s.ID]
	if !ok {
		c.mu.Unlock()
		return false
	}
	e, digest := it.entry, it.digest
	c.mu.Unlock()
	known := e
	e.Born, e.Sequence, e.Heard = s.Born, s.Sequence, s.Heard
	if !e.Newer(known) {
		return true
	}
	if s.Digest != digest {
		return false
	}
	c.Put(e, false)
	return true
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
