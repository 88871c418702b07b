package pool

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

// Counters are sums over the decisions of a pool since its start.
type Counters struct {
	Picked    uint64
	Succeeded uint64
	Failed    uint64
	Canceled  uint64
	// Unreachable counts work of which not one byte was sent.
	Unreachable uint64
	Ejections   uint64
}

const tallyCount = 16

// tally holds the counts of some of the upstreams. There are several, so that
// callers do not write to one place all the time.
type tally struct {
	picked, succeeded, failed, canceled, unreachable, ejections atomic.Uint64

	_ [16]byte // fills up a cache line
}

func (t *tally) count(r Result) {
	switch r {
	case Succeeded:
		t.succeeded.Add(1)
	case Failed:
		t.failed.Add(1)
	case Canceled:
		t.canceled.Add(1)
	case Unreachable:
		t.unreachable.Add(1)
	}
}

// Counters returns the sums over all decisions so far.
func (p *Pool) Counters() Counters {
	var c Counters
	for i := range p.tallies {
		t := &p.tallies[i]
		c.Picked += t.picked.Load()
		c.Succeeded += t.succeeded.Load()
		c.Failed += t.failed.Load()
		c.Canceled += t.canceled.Load()
		c.Unreachable += t.unreachable.Load()
		c.Ejections += t.ejections.Load()
	}
	return c
}

// Explanation is one decision: the candidates that were weighed and the choice.
type Explanation struct {
	Candidates []routing.Candidate
	Choice     routing.Choice
}

func (e *Explanation) fill(s *scratch, c routing.Choice) {
	e.Candidates = append(e.Candidates[:0], s.candidates[:s.count]...)
	e.Choice = c
}

// Weighed lists the candidates with what was known of each and its age.
func (e *Explanation) Weighed() string {
	var b strings.Builder
	for i := range e.Candidates {
		if i > 0 {
			b.WriteString("; ")
		}
		c := &e.Candidates[i]
		fmt.Fprintf(&b, "%s: own %d, reported %d (age %v), service %v, cached %.0f%%, health %.2f",
			c.ID, c.InFlight, c.Reported, c.ReportAge, c.ServiceTime, 100*c.CachedShare, c.Health)
	}
	return b.String()
}

// Chosen names the chosen upstream, or says that there is none.
func (e *Explanation) Chosen() string {
	if e.Choice.Index < 0 {
		return "none"
	}
	return string(e.Candidates[e.Choice.Index].ID)
}
