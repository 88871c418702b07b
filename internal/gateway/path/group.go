package path

import (
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/placement"
)

// group is a set of available engines that paths are chosen within: those of one data
// centre, or those of its fast or of its other cards if both hold all layers. A path of
// fast cards with a slow one among them would hold the memory of the fast ones for the
// time that the slow one takes.
type group struct {
	dataCentre fleet.DataCentreID
	engines    []*engine
	// layers holds the capacity for the layers after each bound, up to the next one.
	layers []float64
	// active is the size of the streams of all gateways on the engines that hold layer 0.
	active float64
}

// groups returns the groups of the available engines.
func (p *Planner) groups(now time.Time) []*group {
	var gs []*group
	for _, g := range p.dataCentreGroups(now) {
		if fast, slow := p.splitBySpeed(g); fast.holdsAllLayers() && slow.holdsAllLayers() {
			gs = append(gs, fast, slow)
			continue
		}
		gs = append(gs, g)
	}
	return gs
}

// dataCentreGroups returns a group for each data centre that has an available engine.
func (p *Planner) dataCentreGroups(now time.Time) []*group {
	var gs []*group
	for _, e := range p.engines {
		if !p.available(e, now) {
			continue
		}
		i := slices.IndexFunc(gs, func(g *group) bool { return g.dataCentre == e.entry.DataCentre })
		if i < 0 {
			i = len(gs)
			gs = append(gs, p.newGroup(e.entry.DataCentre))
		}
		p.addTo(gs[i], e, now)
	}
	return gs
}

func (p *Planner) newGroup(d fleet.DataCentreID) *group {
	return &group{dataCentre: d, layers: make([]float64, len(p.layerBounds)-1)}
}

func (p *Planner) addTo(g *group, e *engine, now time.Time) {
	g.engines = append(g.engines, e)
	for i := range g.layers {
		if n := p.layerBounds[i]; int(e.entry.Layers.From) <= n && n < int(e.entry.Layers.To) {
			g.layers[i] += e.streamCapacity
		}
	}
	switch {
	case e.entry.Layers.From > 0:
	case now.Sub(p.sumsTime) <= maxSumAge:
		g.active += e.fleetSize
	default:
		g.active += e.size * p.sharingGateways
	}
}

// splitBySpeed returns the fast cards of a data centre and the others.
func (p *Planner) splitBySpeed(g *group) (fast, slow *group) {
	slowest := 0.0
	for _, e := range g.engines {
		slowest = max(slowest, e.stepFactor)
	}
	fast, slow = p.newGroup(g.dataCentre), p.newGroup(g.dataCentre)
	now := p.clock.Now()
	for _, e := range g.engines {
		if placement.IsFast(e.stepFactor, slowest) {
			p.addTo(fast, e, now)
		} else {
			p.addTo(slow, e, now)
		}
	}
	return fast, slow
}

// streams returns how many streams of mean size can pass all layers.
func (g *group) streams() float64 {
	if len(g.layers) == 0 {
		return 0
	}
	return slices.Min(g.layers)
}

func (g *group) holdsAllLayers() bool { return g.streams() > 0 }
