// Package random implements the routing baseline that picks any candidate with
// equal probability. The zero value of Policy is ready for use.
package random

import (
	"math/rand/v2"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

// Policy implements routing.Chooser.
type Policy struct {
	// Uint64 is the source of randomness. Nil stands for math/rand/v2.
	Uint64 func() uint64
}

// Choose returns a random candidate.
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
