// Package twochoice implements the baseline routing policy known as the power of
// two choices: it draws two candidates at random and selects the one with fewer
// requests of this instance in flight per slot. The zero value of Policy is ready
// for use.
package twochoice

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
	n := uint64(len(candidates))
	a, b := int(draw()%n), int(draw()%n)
	if perSlot(candidates[b]) < perSlot(candidates[a]) {
		a = b
	}
	return routing.Choice{Index: a, Reason: "less in flight of two"}
}

func perSlot(c routing.Candidate) float64 {
	return float64(c.InFlight) / float64(max(c.Slots, 1))
}
