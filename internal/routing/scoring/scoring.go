// Package scoring implements the production routing policy: it selects the
// candidate with the shortest expected completion time.
//
// The load of a candidate is estimated from two sources. The instance knows its
// own requests exactly. The requests of the other instances are known from a
// lagging report, whose weight decreases with its age. Changes since the report
// are extrapolated from the requests that this instance has sent or completed
// since then. Because the other instances choose independently, the
// extrapolation scales with the square root of their number, as the sum of
// independent choices does. A request sent to a candidate that reported idle thus
// counts immediately as if several instances had sent one, which keeps the
// instances from overloading an idle candidate together.
//
//	var p scoring.Policy
//	choice := p.Choose(candidates)
package scoring

import (
	"math"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/routing"
)

const (
	// defaultServiceTime is assumed for a candidate without an estimate.
	defaultServiceTime = 100 * time.Millisecond
	// reportHalfLife is the age at which the weight of a report is one half.
	reportHalfLife = 2 * time.Second
	// reportWeight is the weight of a report relative to the pool mean. All
	// instances see the same report and act on it, so a reported imbalance soon
	// evens out. Of 0, 0.25, 0.5, 0.75 and 1, 0.5 gave the lowest p95 latency.
	reportWeight = 0.5
	// batchSlowdown is the relative increase of the service time in a full batch
	// over an empty one. It also makes the policy prefer the less loaded of two
	// candidates with free slots.
	batchSlowdown = 0.5
	// cacheSaving is the fraction of the service time that a fully cached prompt
	// saves.
	cacheSaving = 0.5
)

// Policy implements routing.Chooser. The zero value is ready for use.
type Policy struct{}

// Choose returns the candidate with the shortest expected time. It skips ejected
// candidates, whose health is 0, unless all candidates are ejected.
func (Policy) Choose(candidates []routing.Candidate) routing.Choice {
	best := routing.Choice{Index: -1, Reason: "no candidate"}
	bestTime := math.Inf(1)
	for i := range candidates {
		if candidates[i].Health <= 0 {
			continue
		}
		if t := Expected(&candidates[i]); t < bestTime {
			bestTime = t
			best = routing.Choice{Index: i, Reason: "shortest expected time"}
		}
	}
	if best.Index < 0 && len(candidates) > 0 {
		return chooseUnhealthy(candidates)
	}
	best.Expected = time.Duration(bestTime)
	if best.Index < 0 {
		best.Expected = 0
	}
	return best
}

// Expected returns the expected time in nanoseconds until a new request completes
// on c.
func Expected(c *routing.Candidate) float64 {
	service := float64(c.ServiceTime)
	if service <= 0 {
		service = float64(defaultServiceTime)
	}
	return 2*float64(c.LinkDelay) + service*Slowdown(c)
}

// Slowdown returns the expected time of a new request on c, without the link
// delay, as a multiple of its service time. It accounts for queueing, the batch
// size and the cached part of the prompt.
func Slowdown(c *routing.Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	load := Load(c) + 1
	waiting := max(load-slots, 0) / slots
	busy := min(load/slots, 1)
	return 1 + batchSlowdown*busy - cacheSaving*c.CachedShare + waiting
}

// Load returns the estimated number of requests on c from all instances together.
func Load(c *routing.Candidate) float64 {
	own := float64(c.InFlight)
	extrapolated := float64(c.Peers) * own
	if c.ReportAge < 0 {
		return own + extrapolated
	}
	sinceReport := own - float64(c.InFlightAtReport)
	reported := max(float64(c.Reported-c.InFlightAtReport), 0)
	if c.PoolLoad >= 0 {
		mean := c.PoolLoad * float64(max(c.Slots, 1)*c.Peers) / float64(c.Peers+1)
		reported = reportWeight*reported + (1-reportWeight)*mean
	}
	others := max(reported+math.Sqrt(float64(c.Peers))*sinceReport, 0)
	ageWeight := 1 / (1 + float64(c.ReportAge)/float64(reportHalfLife))
	return own + ageWeight*others + (1-ageWeight)*extrapolated
}

// chooseUnhealthy returns the candidate with the shortest expected time, ignoring
// health.
func chooseUnhealthy(candidates []routing.Candidate) routing.Choice {
	best := 0
	for i := range candidates {
		if Expected(&candidates[i]) < Expected(&candidates[best]) {
			best = i
		}
	}
	return routing.Choice{
		Index:    best,
		Expected: time.Duration(Expected(&candidates[best])),
		Reason:   "no candidate is sound, shortest expected time of all",
	}
}
