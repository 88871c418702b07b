package roster

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxNameBytes bounds the length of each name in an announcement, so that an
// announcement fits into one gossip packet.
const maxNameBytes = 64

func (r *Roster) validate(a upstream.Announcement) error {
	switch {
	case a.ID == "":
		return refusal.New(refusal.BadRequest, "the announcement has no id")
	case a.Incarnation == 0:
		return refusal.New(refusal.BadRequest, "upstream %q announces no incarnation", a.ID)
	case a.Pool == "":
		return refusal.New(refusal.BadRequest, "upstream %q announces no pool", a.ID)
	case a.Slots < 1:
		return refusal.New(refusal.BadRequest, "upstream %q announces %d slots", a.ID, a.Slots)
	case a.Layers.From < 0 || a.Layers.To < a.Layers.From:
		return refusal.New(refusal.BadRequest, "upstream %q announces layers [%d, %d)", a.ID, a.Layers.From, a.Layers.To)
	case r.dataCentre != "" && a.DataCentre != r.dataCentre:
		return refusal.New(refusal.BadRequest, "upstream %q belongs to data centre %q, this instance to %q", a.ID, a.DataCentre, r.dataCentre)
	}
	if _, err := netip.ParseAddrPort(a.Address); err != nil {
		return refusal.New(refusal.BadRequest, "upstream %q announces address %q, which is not an IP address and port", a.ID, a.Address)
	}
	names := [...]string{string(a.ID), string(a.Pool), string(a.DataCentre), a.Accelerator, string(a.Model), a.Version, a.Adapter, a.Address}
	for _, name := range names {
		if len(name) > maxNameBytes {
			return refusal.New(refusal.BadRequest, "the announcement has a name of %d bytes, more than %d", len(name), maxNameBytes)
		}
	}
	return nil
}

// store records a according to the rules of the package. heartbeat is the time of the
// heartbeat, and zero if a does not count as one. An outdated announcement is an error
// unless it came by gossip.
func (r *Roster) store(a upstream.Announcement, heartbeat, now time.Time, gossip bool) error {
	var err error
	r.entries.Update(a.ID, func(e *entry, ok bool) (*entry, bool) {
		if !ok {
			e = &entry{}
			r.replace(e, nil, a, heartbeat, now)
			return e, true
		}
		err = r.update(e, a, heartbeat, now, gossip)
		return e, true
	})
	return err
}

// update applies a to a known upstream. Renewals may change the last heartbeat
// concurrently; everything else is guarded by the lock of the shard.
func (r *Roster) update(e *entry, a upstream.Announcement, heartbeat, now time.Time, gossip bool) error {
	s := e.state.Load()
	if a.Incarnation > s.Incarnation {
		r.replace(e, s, a, heartbeat, now)
		return nil
	}
	if a.Incarnation < s.Incarnation {
		if gossip {
			return nil
		}
		return refusal.New(refusal.Conflict, "upstream %q announces incarnation %d, but %d is known", a.ID, a.Incarnation, s.Incarnation)
	}
	if a.Address != s.Address {
		r.conflicts.Add(1)
		return refusal.New(refusal.Conflict, "upstream %q of incarnation %d is known at %s and can't also be at %s", a.ID, a.Incarnation, s.Address, a.Address)
	}
	if s.State == upstream.Leaving {
		if gossip || a.State == upstream.Leaving {
			return nil
		}
		return refusal.New(refusal.Conflict, "upstream %q has announced that incarnation %d leaves; only a higher incarnation can serve again", a.ID, a.Incarnation)
	}
	if a.State == upstream.Leaving {
		r.replace(e, s, a, heartbeat, now)
		return nil
	}
	if a.Sequence > s.Sequence {
		r.replace(e, s, a, heartbeat, now)
		return nil
	}
	if gossip {
		e.renew(a.Incarnation, heartbeat)
		return nil
	}
	return refusal.New(refusal.Conflict, "upstream %q announces sequence %d, but %d is known", a.ID, a.Sequence, s.Sequence)
}

// replace stores a as the announcement of e and updates the pool lists.
func (r *Roster) replace(e *entry, old *state, a upstream.Announcement, heartbeat, now time.Time) {
	next := &state{Upstream: upstream.Upstream{Announcement: a, LastHeartbeat: heartbeat}, storedAt: now}
	if old != nil && old.Incarnation == a.Incarnation {
		next.revision = old.revision
		next.Load = newerLoad(old.Load, a.Load)
	}
	if old == nil || !sameDescription(old.Announcement, a) {
		next.revision = r.revision.Add(1)
	}
	for {
		current := e.state.Load()
		if current != nil && current.Incarnation == a.Incarnation && current.LastHeartbeat.After(heartbeat) {
			next.LastHeartbeat = current.LastHeartbeat
		}
		if e.state.CompareAndSwap(current, next) {
			break
		}
	}
	r.updatePoolLists(e, old, next)
}

// newerLoad returns the newer one of two loads, and b if they are equally old.
// Announcements by gossip carry no load.
func newerLoad(a, b upstream.Load) upstream.Load {
	if a.At.After(b.At) {
		return a
	}
	return b
}

// sameDescription reports whether a and b differ at most in sequence and load.
func sameDescription(a, b upstream.Announcement) bool {
	a.Sequence, a.Load = b.Sequence, b.Load
	return a == b
}

func (r *Roster) updatePoolLists(e *entry, old, next *state) {
	wasListed := old != nil && old.State == upstream.Serving
	isListed := next.State == upstream.Serving
	if wasListed && isListed && old.Pool == next.Pool {
		return
	}
	if wasListed {
		r.removeFromPool(e, old.Pool)
	}
	if isListed {
		r.addToPool(e, next.Pool)
	}
}

func (r *Roster) addToPool(e *entry, id fleet.PoolID) {
	p := r.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := slices.Clone(*p.entries.Load())
	at, _ := slices.BinarySearchFunc(entries, e, compareEntries)
	entries = slices.Insert(entries, at, e)
	p.entries.Store(&entries)
}

func (r *Roster) removeFromPool(e *entry, id fleet.PoolID) {
	p := r.pool(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	entries := slices.Clone(*p.entries.Load())
	entries = slices.DeleteFunc(entries, func(o *entry) bool { return o == e })
	p.entries.Store(&entries)
}

func (r *Roster) pool(id fleet.PoolID) *pool {
	if p, ok := r.pools.Get(id); ok {
		return p
	}
	var found *pool
	r.pools.Update(id, func(p *pool, ok bool) (*pool, bool) {
		if !ok {
			p = &pool{}
			p.entries.Store(&[]*entry{})
		}
		found = p
		return p, true
	})
	return found
}

func compareEntries(a, b *entry) int {
	return strings.Compare(string(a.state.Load().ID), string(b.state.Load().ID))
}
