// Package reported implements the routing baseline that picks the candidate
// with the least reported load per slot. The zero value of Policy is ready for
// use.
package reported

import "github.com/bilberryrock/bilberryrock/internal/routing"

// Policy implements routing.Chooser.
type Policy struct{}

// Choose returns the first candidate with the least reported load per slot.
func (Policy) Choose(candidates []routing.Candidate) routing.Choice {
	best := routing.Choice{Index: -1, Reason: "no candidate"}
	least := 0.0
	for i := range candidates {
		load := float64(candidates[i].Reported) / float64(max(candidates[i].Slots, 1))
		if best.Index < 0 || load < least {
			least = load
			best = routing.Choice{Index: i, Reason: "least reported load"}
		}
	}
	return best
}
