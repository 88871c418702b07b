// Package robin implements the baseline routing policy that selects candidates
// round-robin. The zero value of Policy is ready for use.
package robin

import (
	"sync/atomic"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

// Policy implements routing.Chooser. It must not be copied after first use.
type Policy struct {
	next atomic.Uint64
}

// Choose implements routing.Chooser.
func (p *Policy) Choose(candidates []routing.Candidate) routing.Choice {
	if len(candidates) == 0 {
		return routing.Choice{Index: -1, Reason: "no candidate"}
	}
	n := p.next.Add(1) - 1
	return routing.Choice{Index: int(n % uint64(len(candidates))), Reason: "round robin"}
}
