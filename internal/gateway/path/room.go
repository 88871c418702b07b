package path

import (
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// minSize and maxSize bound the size of a stream. Clients declare the lengths of which
	// it is computed, and nobody checks them.
	minSize = 0.1
	maxSize = 4.0
)

// Size returns the size of a stream in streams of mean size, by the memory that its
// prompt and its expected answer need. A stream without numbers of tokens has the size 1.
func (p *Planner) Size(promptTokens, maxAnswerTokens int) float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil || promptTokens <= 0 && maxAnswerTokens <= 0 {
		return 1
	}
	mean := p.model.MeanPromptTokens + p.model.MeanAnswerTokens
	if mean <= 0 {
		return 1
	}
	tokens := float64(promptTokens) + float64(min(maxAnswerTokens, p.model.MeanAnswerTokens))
	return max(minSize, min(tokens/float64(mean), maxSize))
}

// Room is the capacity of the engines of a pool and its use, in streams of mean size.
type Room struct {
	Capacity, Active float64
}

// Room returns the capacity of all data centres that hold all layers, and its use by all
// gateways. If none holds them all, the engines of all data centres together count as one
// data centre. Engines that are lost or excluded do not count.
//
// Active is the number in the newest sums as it is, so that all gateways get the same one.
func (p *Planner) Room() Room {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil {
		return Room{}
	}
	cs := p.capacities(p.clock.Now())
	var r Room
	for _, c := range cs {
		if n := c.streams(); n > 0 {
			r.Capacity += n
			r.Active += c.active
		}
	}
	if r.Capacity == 0 {
		t := cs.total()
		if r.Capacity = t.streams(); r.Capacity > 0 {
			r.Active = t.active
		}
	}
	return r
}

// capacity is the capacity of the available engines of a data centre.
type capacity struct {
	// layers holds the capacity for the layers after each bound, up to the next one.
	layers []float64
	// active is the size of the streams of all gateways on the engines that hold layer 0.
	active float64
}

// streams returns how many streams of mean size can pass all layers.
func (c *capacity) streams() float64 {
	if len(c.layers) == 0 {
		return 0
	}
	return slices.Min(c.layers)
}

type capacities map[fleet.DataCentreID]*capacity

// capacities returns the capacity of each data centre that has an available engine.
func (p *Planner) capacities(now time.Time) capacities {
	cs := make(capacities)
	recent := now.Sub(p.sumsTime) <= maxSumAge
	for _, e := range p.engines {
		if !p.available(e, now) {
			continue
		}
		c := cs[e.entry.DataCentre]
		if c == nil {
			c = &capacity{layers: make([]float64, len(p.layerBounds)-1)}
			cs[e.entry.DataCentre] = c
		}
		for i := range c.layers {
			if n := p.layerBounds[i]; int(e.entry.Layers.From) <= n && n < int(e.entry.Layers.To) {
				c.layers[i] += e.streamCapacity
			}
		}
		switch {
		case e.entry.Layers.From > 0:
		case recent:
			c.active += e.fleetSize
		default:
			c.active += e.size * p.sharingGateways
		}
	}
	return cs
}

// total returns the capacity of all data centres as if they were one.
func (c capacities) total() *capacity {
	sum := &capacity{layers: []float64{0}}
	for _, k := range c {
		if len(sum.layers) != len(k.layers) {
			sum.layers = make([]float64, len(k.layers))
		}
		for i, n := range k.layers {
			sum.layers[i] += n
		}
		sum.active += k.active
	}
	return sum
}
