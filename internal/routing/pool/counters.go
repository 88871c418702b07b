package pool

import (
	"fmt"
	"strings"
	"sync/atomic"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

// Counters are the totals of a pool since it was created.
type Counters struct {
	Picked    uint64
	Succeeded uint64
	Failed    uint64
	Canceled  uint64
	// Unreachable counts requests of which no byte was sent.
	Unreachable uint64
	Ejections   uint64
}

const counterShardCount = 16

// counterShard holds the counters of some of the upstreams. The counters are
// sharded to reduce contention between callers.
type counterShard struct {
	picked, succeeded, failed, canceled, unreachable, ejections atomic.Uint64

	_ [16]byte // pads the struct to a 64-byte cache line
}

func (c *counterShard) record(r Result) {
	switch r {
	case Succeeded:
		c.succeeded.Add(1)
	case Failed:
		c.failed.Add(1)
	case Canceled:
		c.canceled.Add(1)
	case Unreachable:
		c.unreachable.Add(1)
	}
}

// Counters returns the current totals.
func (p *Pool) Counters() Counters {
	var sum Counters
	for i := range p.counterShards {
		c := &p.counterShards[i]
		sum.Picked += c.picked.Load()
		sum.Succeeded += c.succeeded.Load()
		sum.Failed += c.failed.Load()
		sum.Canceled += c.canceled.Load()
		sum.Unreachable += c.unreachable.Load()
		sum.Ejections += c.ejections.Load()
	}
	return sum
}

// Explanation describes one routing decision: the candidates and the choice.
type Explanation struct {
	Candidates []routing.Candidate
	Choice     routing.Choice
}

func (e *Explanation) record(s *scratch, c routing.Choice) {
	e.Candidates = append(e.Candidates[:0], s.candidates[:s.count]...)
	e.Choice = c
}

// CandidateSummary formats the candidates with the state of each and the age of
// its load report.
func (e *Explanation) CandidateSummary() string {
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

// Chosen returns the id of the selected upstream, or "none".
func (e *Explanation) Chosen() string {
	if e.Choice.Index < 0 {
		return "none"
	}
	return string(e.Candidates[e.Choice.Index].ID)
}
