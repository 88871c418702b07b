// Package reported implements the baseline routing policy that selects the
// candidate with the lowest reported load per slot. The zero value of Policy is
// ready for use.
package reported

import (
	"math/rand/v2"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

// Policy implements routing.Chooser.
type Policy struct {
	// Uint64 is the source of randomness. If it is nil, math/rand/v2 is used.
	Uint64 func() uint64
}

// Choose implements routing.Chooser. It breaks ties at random.
func (p Policy) Choose(candidates []routing.Candidate) routing.Choice {
	best := routing.Choice{Index: -1, Reason: "no candidate"}
	draw := p.Uint64
	if draw == nil {
		draw = rand.Uint64
	}
	least, ties := 0.0, uint64(1)
	for i := range candidates {
		load := float64(candidates[i].Reported) / float64(max(candidates[i].Slots, 1))
		if best.Index >= 0 && load == least {
			ties++
		}
		if best.Index < 0 || load < least {
			ties = 1
		}
		if best.Index < 0 || load < least || load == least && draw()%ties == 0 {
			least = load
			best = routing.Choice{Index: i, Reason: "least reported load"}
		}
	}
	return best
}
