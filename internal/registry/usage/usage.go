// Package usage adds up how many requests all gateways have on each upstream, and
// which upstreams failed for several of them. No upstream is asked: gateways tell
// their controller, and controllers tell each other their sums.
package usage

import (
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// failureAge is how long a failure that a gateway saw counts.
	failureAge = time.Second
	// witnesses is the number of gateways that must have seen a failure. A single
	// one may itself be cut off.
	witnesses = 2
	// reportAge is the age up to which a report counts. Gateways and controllers
	// report four times a second.
	reportAge = 2 * time.Second
	// sumsAge is the time for which sums are used again. Each of many followers asks
	// for them four times a second.
	sumsAge = 50 * time.Millisecond
)

// Use is what one gateway, or several together, have on one upstream.
type Use struct {
	ID     fleet.UpstreamID
	Active int
	// Failed tells that requests failed there lately, and Served that requests made
	// progress.
	Failed, Served bool
	// Full tells that it lately refused a request for want of memory.
	Full bool
	// Pace is the factor by which it lately said that it is slower than its card, or
	// 0 if nobody asked.
	Pace float64
}

// Report is what one gateway, or several together, say.
type Report struct {
	// Gateways is the number of gateways that it adds up.
	Gateways int
	Uses     []Use
	// Sends are the first attempts and the retries of each pool lately.
	Sends map[fleet.PoolID]budget.Count
	// At is when sums were added up. It is zero in the report of one gateway.
	At time.Time
}

// Table adds up the reports of gateways. It is safe for concurrent use.
type Table struct {
	clock     fleet.Clock
	mu        sync.Mutex
	gateways  map[fleet.InstanceID]told
	peers     map[string]told // by address
	failures  map[fleet.UpstreamID]map[fleet.InstanceID]time.Time
	confirmed map[fleet.UpstreamID]time.Time // told by another controller
	// newest are the last sums, without and with other controllers.
	newest [2]Report
}

// told is a report with the time of its arrival.
type told struct {
	report Report
	at     time.Time
}

// New returns an empty Table.
func New(clock fleet.Clock) *Table {
	return &Table{
		clock:     clock,
		gateways:  make(map[fleet.InstanceID]told),
		peers:     make(map[string]told),
		failures:  make(map[fleet.UpstreamID]map[fleet.InstanceID]time.Time),
		confirmed: make(map[fleet.UpstreamID]time.Time),
	}
}

// Set replaces the report of a gateway.
func (t *Table) Set(g fleet.InstanceID, r Report) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range r.Uses {
		if !u.Failed {
			continue
		}
		if t.failures[u.ID] == nil {
			t.failures[u.ID] = make(map[fleet.InstanceID]time.Time)
		}
		t.failures[u.ID][g] = now
	}
	r.Gateways = 1
	t.gateways[g] = told{report: r, at: now}
}

// Drop forgets a gateway that no longer follows.
func (t *Table) Drop(g fleet.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.gateways, g)
}

// SetPeer replaces the sums of the gateways of another controller.
func (t *Table) SetPeer(address string, r Report) {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, u := range r.Uses {
		if u.Failed {
			t.confirmed[u.ID] = now
		}
	}
	t.peers[address] = told{report: r, at: now}
}

// DropPeer forgets another controller.
func (t *Table) DropPeer(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.peers, address)
}

// Sums returns the sums of the own gateways, or of all. They may be sumsAge old
// and must not be changed.
func (t *Table) Sums(all bool) Report {
	now := t.clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	n := &t.newest[0]
	if all {
		n = &t.newest[1]
	}
	if n.At.IsZero() || now.Sub(n.At) >= sumsAge {
		*n = t.add(all, now)
	}
	return *n
}

func (t *Table) add(all bool, now time.Time) Report {
	sum := Report{Sends: make(map[fleet.PoolID]budget.Count), At: now}
	uses := make(map[fleet.UpstreamID]Use)
	for g, k := range t.gateways {
		if now.Sub(k.at) > reportAge {
			delete(t.gateways, g)
			continue
		}
		sum.include(k.report, uses)
	}
	for id := range t.failures {
		if t.failed(id, now) {
			u := uses[id]
			u.Failed = true
			uses[id] = u
		}
	}
	if all {
		t.addPeers(&sum, uses, now)
	}
	sum.Uses = make([]Use, 0, len(uses))
	for id, u := range uses {
		u.ID = id
		sum.Uses = append(sum.Uses, u)
	}
	return sum
}

func (t *Table) addPeers(sum *Report, uses map[fleet.UpstreamID]Use, now time.Time) {
	for _, p := range t.peers {
		if now.Sub(p.at) <= reportAge {
			sum.include(p.report, uses)
		}
	}
	for id, at := range t.confirmed {
		if now.Sub(at) > failureAge {
			delete(t.confirmed, id)
			continue
		}
		u := uses[id]
		u.Failed = true
		uses[id] = u
	}
}

// include adds a report. Failures need more than one witness and are left out.
func (r *Report) include(o Report, uses map[fleet.UpstreamID]Use) {
	r.Gateways += o.Gateways
	for id, c := range o.Sends {
		r.Sends[id] = r.Sends[id].Add(c)
	}
	for _, n := range o.Uses {
		u := uses[n.ID]
		u.Active += n.Active
		u.Served = u.Served || n.Served
		u.Full = u.Full || n.Full
		u.Pace = max(u.Pace, n.Pace)
		uses[n.ID] = u
	}
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
