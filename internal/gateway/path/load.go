package path

import (
	"math"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
)

// load estimates the requests of all gateways on an engine.
func (p *Planner) load(e *engine, now time.Time) float64 {
	if now.Sub(p.sumsTime) > maxSumAge {
		return float64(e.active) * p.sharingGateways
	}
	return float64(e.fleetActive) + float64(e.chosenSince)*p.contenders(now)
}

// countedLoad is load for pools under admission control.
func (p *Planner) countedLoad(e *engine, now time.Time) float64 {
	if now.Sub(p.sumsTime) > maxSumAge {
		return float64(e.active) * p.sharingGateways
	}
	return float64(e.fleetActive)*p.anticipated.remaining + float64(e.chosenSince) + e.anticipated
}

// sizedLoad is countedLoad in streams of mean size.
func (p *Planner) sizedLoad(e *engine, now time.Time) float64 {
	if now.Sub(p.sumsTime) > maxSumAge {
		return e.size * p.sharingGateways
	}
	return e.fleetSize*p.anticipated.remaining + e.chosenSizeSince + e.anticipated
}

// utilization returns the estimated load of an engine as a part of its capacity, which is
// its memory in streams of mean size, and its slots in requests if it can be the first
// engine of a path.
func (p *Planner) utilization(e *engine, now time.Time) float64 {
	u := p.sizedLoad(e, now) / e.memoryCapacity
	if e.limitedBySlots() {
		u = max(u, p.countedLoad(e, now)/float64(e.entry.Slots))
	}
	return u
}

// contenders returns the number of gateways that are assumed to choose the same engines
// as this one since the newest sums.
func (p *Planner) contenders(now time.Time) float64 {
	base := min(p.sharingGateways, baseContenders)
	excess := float64(p.arrivals) - arrivalAllowance - p.arrivalRate*now.Sub(p.sumsTime).Seconds()
	if excess <= 0 {
		return base
	}
	return base + (p.sharingGateways-base)*excess/float64(p.arrivals)
}

// updateArrivalRate adds the requests since the previous sums to the moving average.
func (p *Planner) updateArrivalRate(now time.Time) {
	if d := now.Sub(p.sumsTime); !p.sumsTime.IsZero() && d > 0 {
		weight := 1 - math.Exp(-d.Seconds()/arrivalRateTimeConstant.Seconds())
		p.arrivalRate += weight * (float64(p.arrivals)/d.Seconds() - p.arrivalRate)
	}
	p.arrivals, p.sumsTime = 0, now
}

// Stats returns, for each engine with requests in progress or recent events, what this
// gateway reports to the controller.
func (p *Planner) Stats() []usage.UpstreamStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var us []usage.UpstreamStats
	for _, e := range p.engines {
		failed := now.Sub(e.lastOwnFailure) < maxFailureReportAge
		served := now.Sub(e.lastOwnProgress) < maxProgressAge
		slowdown := 0.0
		if now.Sub(e.ownSlowdownTime) < maxSlowdownReportAge {
			slowdown = e.slowdown
		}
		full := now.Sub(e.lastOwnRefusal) < maxRefusalReportAge
		if e.active > 0 || failed || served || full || slowdown > 0 {
			u := usage.UpstreamStats{ID: e.entry.ID, Active: e.active, Failed: failed, Served: served, OutOfMemory: full, Slowdown: slowdown}
			if p.admission {
				u.Size = e.size
			}
			us = append(us, u)
		}
	}
	return us
}

// SetFleetStats applies the sums over all gateways. Engines that failed for several
// gateways are excluded here as well.
func (p *Planner) SetFleetStats(us []usage.UpstreamStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.updateArrivalRate(now)
	for _, e := range p.engines {
		e.fleetActive, e.chosenSince = 0, 0
		e.fleetSize, e.chosenSizeSince = 0, 0
	}
	for _, u := range us {
		e := p.byID[u.ID]
		if e == nil {
			continue
		}
		e.fleetActive, e.fleetSize = u.Active, u.SizeOrActive()
		if u.Served {
			e.lastProgress = now
		}
		if u.OutOfMemory {
			e.lastRefusal = now
		}
		if u.Slowdown > 0 {
			e.slowdown, e.slowdownTime = u.Slowdown, now
		}
		if u.Failed && !now.Before(e.excludedUntil) {
			p.exclude(e, now)
		}
	}
}
