// Package random implements the baseline routing policy that selects a candidate
// uniformly at random. The zero value of Policy is ready for use.
package random

import (
	"math/rand/v2"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

// Policy implements routing.Chooser.
type Policy struct {
	// Uint64 is the source of randomness. If it is nil, math/rand/v2 is used.
	Uint64 func() uint64
}

// Choose implements routing.Chooser.
func (p Policy) Choose(candidates []routing.Candidate) routing.Choice {
	if len(candidates) == 0 {
		return routing.Choice{Index: -1, Reason: "no candidate"}
	}
	draw := p.Uint64
	if draw == nil {
		draw = rand.Uint64
	}
	return routing.Choice{Index: int(draw() % uint64(len(candidates))), Reason: "random"}
}
