// Package scoring implements the routing policy of the product: it chooses the
// candidate with the shortest expected time until the work is done.
//
// The load of a candidate is estimated from two sources. The instance knows its
// own work exactly. The work of the other instances is known from a lagged
// report, whose weight falls with its age. What the report cannot show yet is
// extrapolated from what this instance did since. The others decide on their
// own, so their sum counts with the square root of their number, as a sum of
// independent choices does. Therefore work sent to a candidate that reported
// idle counts at once as if several instances had sent some, and an idle
// candidate is not overrun.
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
	// defaultServiceTime is assumed for a candidate of unknown speed.
	defaultServiceTime = 100 * time.Millisecond
	// reportHalfLife is the age at which a report has half of its weight.
	reportHalfLife = 2 * time.Second
	// reportTrust is the weight of a report against the mean of the pool. All
	// instances see the same report and act on it, so what it shows is soon
	// evened out. 0.5 had the lowest p95 of 0, 0.25, 0.5, 0.75 and 1.
	reportTrust = 0.5
	// batchSlowdown is the share by which a full batch is slower than an empty
	// one. It also makes the less loaded of two free candidates win.
	batchSlowdown = 0.5
	// cachedSaving is the share of the service time that a fully cached prompt
	// saves.
	cachedSaving = 0.5
)

// Policy implements routing.Chooser. The zero value is ready for use.
type Policy struct{}

// Choose returns the candidate with the shortest expected time. It skips
// candidates without health unless all are without.
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
		return lastResort(candidates)
	}
	best.Expected = time.Duration(bestTime)
	if best.Index < 0 {
		best.Expected = 0
	}
	return best
}

// Expected returns the expected time in nanoseconds until a piece of work is
// done on c.
func Expected(c *routing.Candidate) float64 {
	service := float64(c.ServiceTime)
	if service <= 0 {
		service = float64(defaultServiceTime)
	}
	return 2*float64(c.Link) + service*Slowdown(c)
}

// Slowdown returns how many times its service time a piece of work is expected
// to take on c, because of the work that is there already.
func Slowdown(c *routing.Candidate) float64 {
	slots := float64(max(c.Slots, 1))
	load := Load(c) + 1
	waiting := max(load-slots, 0) / slots
	busy := min(load/slots, 1)
	return 1 + batchSlowdown*busy - cachedSaving*c.CachedShare + waiting
}

// Load returns the estimated number of pieces of work on c, those of all
// instances together.
func Load(c *routing.Candidate) float64 {
	own := float64(c.InFlight)
	alike := float64(c.Peers) * own
	if c.ReportAge < 0 {
		return own + alike
	}
	since := own - float64(c.InFlightAtReport)
	shown := max(float64(c.Reported-c.InFlightAtReport), 0)
	if c.PoolLoad >= 0 {
		mean := c.PoolLoad * float64(max(c.Slots, 1)*c.Peers) / float64(c.Peers+1)
		shown = reportTrust*shown + (1-reportTrust)*mean
	}
	others := max(shown+math.Sqrt(float64(c.Peers))*since, 0)
	weight := 1 / (1 + float64(c.ReportAge)/float64(reportHalfLife))
	return own + weight*others + (1-weight)*alike
}

func lastResort(candidates []routing.Candidate) routing.Choice {
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
