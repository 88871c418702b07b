// Package usage adds up how many requests all gateways have on each upstream, and
// which upstreams failed for several of them. No upstream is asked: gateways tell
// their controller, and controllers tell each other their sums.
package usage

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// failureAge is how long a failure that a gateway saw counts.
	failureAge = time.Second
	// witnesses is the number of gateways that must have seen a failure. A single
	// one may itself be cut off.
	witnesses = 2
)

// Use is what one gateway, or several together, have on one upstream.
type Use struct {
	ID     fleet.UpstreamID
	Active int
	// Failed tells that requests failed there lately, and Served that requests made
	// progress.
	Failed, Served bool
	// Pace is the factor by which it lately said that it is slower than its card, or
	// 0 if nobody asked.
	Pace float64
}

// Table adds up the uses of gateways. It is safe for concurrent use.
type Table struct {
	clock     fleet.Clock
	mu        sync.Mutex
	gateways  map[fleet.InstanceID]map[fleet.UpstreamID]Use
	peers     map[string]map[fleet.UpstreamID]Use
	failures  map[fleet.UpstreamID]map[fleet.InstanceID]time.Time
	confirmed map[fleet.UpstreamID]time.Time // told by another controller
}

// New returns an empty Table.
func New(clock fleet.Clock) *Table {
	return &Table{
		clock:     clock,
		gateways:  make(map[fleet.InstanceID]map[fleet.UpstreamID]Use),
		peers:     make(map[string]map[fleet.UpstreamID]Use),
		failures:  make(map[fleet.UpstreamID]map[fleet.InstanceID]time.Time),
		confirmed: make(map[fleet.UpstreamID]time.Time),
	}
}

// Set replaces the uses of a gateway.
func (t *Table) Set(g fleet.InstanceID, us []Use) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[fleet.UpstreamID]Use, len(us))
	for _, u := range us {
		m[u.ID] = u
		if !u.Failed {
			continue
		}
		if t.failures[u.ID] == nil {
			t.failures[u.ID] = make(map[fleet.InstanceID]time.Time)
		}
		t.failures[u.ID][g] = now
	}
	t.gateways[g] = m
}

// Drop forgets a gateway that no longer follows.
func (t *Table) Drop(g fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.gateways, g)
}

// SetPeer replaces the sums of another controller.
func (t *Table) SetPeer(address string, us []Use) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	m := make(map[fleet.UpstreamID]Use, len(us))
	for _, u := range us {
		m[u.ID] = u
		if u.Failed {
			t.confirmed[u.ID] = now
		}
	}
	t.peers[address] = m
}

// DropPeer forgets another controller.
func (t *Table) DropPeer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, address)
}

// Sums returns the uses of the own gateways, and with all those of the other
// controllers too.
func (t *Table) Sums(all bool) []Use {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	sums := make(map[fleet.UpstreamID]Use)
	for _, m := range t.gateways {
		for id, n := range m {
			sums[id] = add(sums[id], n)
		}
	}
	for id := range t.failures {
		if t.failed(id, now) {
			u := sums[id]
			u.Failed = true
			sums[id] = u
		}
	}
	if all {
		t.addPeers(sums, now)
	}
	us := make([]Use, 0, len(sums))
	for id, u := range sums {
		u.ID = id
		us = append(us, u)
	}
	return us
}

func (t *Table) addPeers(sums map[fleet.UpstreamID]Use, now time.Time) {
	for _, m := range t.peers {
		for id, n := range m {
			sums[id] = add(sums[id], n)
		}
	}
	for id, at := range t.confirmed {
		if now.Sub(at) > failureAge {
			delete(t.confirmed, id)
			continue
		}
		u := sums[id]
		u.Failed = true
		sums[id] = u
	}
}

// add leaves Failed alone, which needs several witnesses.
func add(u, n Use) Use {
	u.Active += n.Active
	u.Served = u.Served || n.Served
	u.Pace = max(u.Pace, n.Pace)
	return u
}

// failed reports whether enough gateways saw an upstream fail.
func (t *Table) failed(id fleet.UpstreamID, now time.Time) bool {
	seen := t.failures[id]
	for g, at := range seen {
		if now.Sub(at) > failureAge {
			delete(seen, g)
		}
	}
	if len(seen) == 0 {
		delete(t.failures, id)
	}
	return len(seen) >= witnesses
}
