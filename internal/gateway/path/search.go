package path

import (
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// partialPath is the cheapest path for the layers before a bound whose last engine is in
// one data centre.
type partialPath struct {
	cost       float64
	hop        Hop
	prev       *partialPath
	length     int
	dataCentre fleet.DataCentreID
}

// search finds the cheapest path by dynamic programming. It visits the layer bounds in
// order and keeps the cheapest partial path for each bound and data centre.
func (p *Planner) search(es []*engine, costs []float64, first []fleet.UpstreamID, r crossingRule) []Hop {
	return p.cheapest(p.dataCentre, es, costs, first, r).hops()
}

// hops returns the hops of a path, or nil if there is no path.
func (s *partialPath) hops() []Hop {
	if s == nil {
		return nil
	}
	hops := make([]Hop, s.length)
	for ; s.prev != nil; s = s.prev {
		hops[s.length-1] = s.hop
	}
	return hops
}

// cheapest returns the cheapest path for a gateway in a data centre, as the partial path
// for all layers, or nil.
func (p *Planner) cheapest(from fleet.DataCentreID, es []*engine, costs []float64, first []fleet.UpstreamID, r crossingRule) *partialPath {
	best := make([]map[fleet.DataCentreID]*partialPath, len(p.layerBounds))
	best[0] = map[fleet.DataCentreID]*partialPath{from: {dataCentre: from}}
	firstHopCost := make(map[fleet.DataCentreID]float64)
	for _, e := range es {
		if _, ok := firstHopCost[e.entry.DataCentre]; !ok {
			firstHopCost[e.entry.DataCentre] = firstHopCrossingCost.Seconds() * (1 + firstHopCrossingJitter*p.random())
		}
	}
	firstHopCost[from] = 0
	for i := range p.layerBounds[:len(p.layerBounds)-1] {
		for _, s := range best[i] {
			for k, e := range es {
				if s.length == 0 && len(first) > 0 && !slices.Contains(first, e.entry.ID) {
					continue
				}
				p.extend(best, i, s, e, costs[k], firstHopCost, &r)
			}
		}
	}
	var end *partialPath
	for _, s := range best[len(best)-1] {
		if end == nil || s.cost < end.cost {
			end = s
		}
	}
	return end
}

// extend adds an engine to a partial path that ends at bound i, once for each later bound
// up to which the engine holds the layers.
func (p *Planner) extend(best []map[fleet.DataCentreID]*partialPath, i int, s *partialPath, e *engine, cost float64, firstHopCost map[fleet.DataCentreID]float64, r *crossingRule) {
	from := p.layerBounds[i]
	if int(e.entry.Layers.From) > from || int(e.entry.Layers.To) <= from || s.length >= maxHops || visits(s, e) {
		return
	}
	if s.length > 0 && s.dataCentre != e.entry.DataCentre && !r.allows(s.dataCentre) {
		return
	}
	start := s.cost + p.transferCost(s, e, firstHopCost)
	d := e.entry.DataCentre
	for j := i + 1; j < len(p.layerBounds) && p.layerBounds[j] <= int(e.entry.Layers.To); j++ {
		c := start + cost*float64(p.layerBounds[j]-from)
		if old := best[j][d]; old != nil && old.cost <= c {
			continue
		}
		if best[j] == nil {
			best[j] = make(map[fleet.DataCentreID]*partialPath)
		}
		best[j][d] = &partialPath{
			cost: c, prev: s, length: s.length + 1, dataCentre: d,
			hop: Hop{
				ID: e.entry.ID, Incarnation: e.entry.Incarnation, Address: e.entry.Address,
				Layers: upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(p.layerBounds[j])},
			},
		}
	}
}

// visits reports whether a partial path already contains an engine. Engines reject paths
// in which they appear twice.
func visits(s *partialPath, e *engine) bool {
	for ; s.prev != nil; s = s.prev {
		if s.hop.ID == e.entry.ID {
			return true
		}
	}
	return false
}

// transferCost returns the cost in seconds of the transfer to the next engine of a path.
// firstHopCost holds the cost of a first engine in each data centre.
func (p *Planner) transferCost(s *partialPath, e *engine, firstHopCost map[fleet.DataCentreID]float64) float64 {
	switch {
	case s.length == 0:
		return firstHopCost[e.entry.DataCentre]
	case s.dataCentre != e.entry.DataCentre:
		return midPathCrossingCost.Seconds()
	}
	return float64(p.model.MeanAnswerTokens) * hopDelay.Seconds()
}
