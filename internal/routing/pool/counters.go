package pool

import (
	"fmt"
	"strings"

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

func (c *Counters) add(n *node) {
	c.Picked += n.picked.Load()
	c.Succeeded += n.succeeded.Load()
	c.Failed += n.failed.Load()
	c.Canceled += n.canceled.Load()
	c.Unreachable += n.missed.Load()
	c.Ejections += n.ejections.Load()
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
