package path

import (
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// stepInterval is the time in which the streams of one step start in each data centre.
	// Shorter steps spread the streams more evenly, and cost more searches.
	stepInterval = 100 * time.Millisecond
	// meanSumAge is the mean age of the reports in the sums when they arrive. Reports, the
	// sums that controllers exchange and those for gateways each wait for an interval of
	// the feed.
	meanSumAge = 500 * time.Millisecond
	// minRemaining is the least part of the reported streams that is assumed to go on. The
	// streams on slow engines last longer than the mean.
	minRemaining = 0.3
)

// anticipation estimates the load of the streams that other gateways have started since
// the reports in the newest sums. All gateways have the same sums and would choose the same
// engines until the next ones arrive, which overloads these engines and leaves them idle
// afterwards. A gateway therefore places the streams that have started in that time on the
// paths that the gateways of each data centre would choose, and assumes that those in the
// reports end at the rate at which streams have ended.
type anticipation struct {
	startRate, endRate float64 // streams per second of all gateways
	// reported is the number of streams of all gateways in the newest sums.
	reported float64
	// remaining is the part of the reported streams that is assumed not to have ended.
	remaining float64
	// steps holds the engines of the paths of the streams that were placed since the newest
	// sums, with stepSize streams each.
	steps    [][]*engine
	stepSize float64
	full     bool // there is no path for a further step
}

// SetRates sets the numbers of streams per second that start and end at all gateways, as of
// the newest sums.
func (p *Planner) SetRates(starts, ends float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a := &p.anticipated
	a.startRate, a.endRate, a.reported = starts, ends, 0
	for _, e := range p.engines {
		if e.entry.Layers.From == 0 {
			a.reported += float64(e.fleetActive)
		}
	}
	p.resetAnticipation()
}

// resetAnticipation drops the placed streams, since there are new sums or other engines.
func (p *Planner) resetAnticipation() {
	p.anticipated.steps, p.anticipated.full = nil, false
	for _, e := range p.engines {
		e.anticipated = 0
	}
}

// anticipate sets the anticipated load of each engine.
func (p *Planner) anticipate(now time.Time) {
	a := &p.anticipated
	for _, e := range p.engines {
		e.anticipated = 0
	}
	a.remaining = 1
	if now.Sub(p.sumsTime) > maxSumAge {
		return
	}
	age := now.Sub(p.sumsTime) + meanSumAge
	if a.reported > 0 {
		a.remaining = max(minRemaining, 1-a.endRate*age.Seconds()/a.reported)
	}
	if a.startRate <= 0 {
		return
	}
	ds := p.dataCentres()
	a.stepSize = a.startRate * stepInterval.Seconds() / float64(len(ds))
	// Rounding at random spreads the gateways over two steps.
	steps := int(float64(age)/float64(stepInterval)*float64(len(ds)) + p.random())
	for _, es := range a.steps[:min(steps, len(a.steps))] {
		a.place(es)
	}
	if steps > len(a.steps) && !a.full {
		p.placeSteps(ds, steps, now)
	}
}

func (a *anticipation) place(es []*engine) {
	for _, e := range es {
		e.anticipated += a.stepSize
	}
}

// placeSteps places further streams until there are n steps. The data centres take turns.
func (p *Planner) placeSteps(ds []fleet.DataCentreID, n int, now time.Time) {
	a := &p.anticipated
	var gs []*group
	for _, g := range p.groups(now) {
		if g.holdsAllLayers() {
			gs = append(gs, g)
		}
	}
	paths := make([]*partialPath, len(gs))
	for i, g := range gs {
		paths[i] = p.cheapestWithin(g)
	}
	for len(a.steps) < n {
		i := p.cheapestFrom(ds[len(a.steps)%len(ds)], gs, paths)
		if i < 0 {
			a.full = true
			return
		}
		es := make([]*engine, 0, paths[i].length)
		for s := paths[i]; s.prev != nil; s = s.prev {
			es = append(es, p.byID[s.hop.ID])
		}
		a.steps = append(a.steps, es)
		a.place(es)
		paths[i] = p.cheapestWithin(gs[i])
	}
}

// cheapestWithin returns the cheapest path within a group, for a gateway in its data centre.
func (p *Planner) cheapestWithin(g *group) *partialPath {
	es, costs := p.usable(g.engines, Constraints{})
	return p.cheapest(g.dataCentre, es, costs, nil, crossingRule{none: true})
}

// cheapestFrom returns the index of the path that a gateway in data centre d would choose,
// or -1. paths holds the cheapest path within each group, for a gateway beside it.
func (p *Planner) cheapestFrom(d fleet.DataCentreID, gs []*group, paths []*partialPath) int {
	best, bestCost := -1, 0.0
	for i, s := range paths {
		if s == nil {
			continue
		}
		cost := s.cost
		if gs[i].dataCentre != d {
			cost += firstHopCrossingCost.Seconds() * (1 + firstHopCrossingJitter*p.random())
		}
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// dataCentres returns the data centres of the engines, in the order of their names.
func (p *Planner) dataCentres() []fleet.DataCentreID {
	var ds []fleet.DataCentreID
	for _, e := range p.engines {
		if !slices.Contains(ds, e.entry.DataCentre) {
			ds = append(ds, e.entry.DataCentre)
		}
	}
	slices.Sort(ds)
	return ds
}
