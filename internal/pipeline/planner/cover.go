package planner

import (
	"math"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// scratch is the memory of one plan.
type scratch struct {
	// positions is the number of positions that a stage has to run.
	positions int
	bounds    []fleet.Layer
	// For each class: the drawn engine, its cost (fixed, for a layer, for all its
	// layers), the cost of the best chain that ends on it, and the bound at which
	// its stage starts.
	drawn []int
	// kept are the classes that can be part of the best chain.
	kept  []int
	fixed []float64
	layer []float64
	whole []float64
	on    []float64
	start []int
	// For each bound: the cost of the best chain up to it, and its last stage.
	best []float64
	last []int
	from []int
}

// cover appends the best stages for a layer range to stages. It returns false
// when the engines of g do not cover the range.
func (p *Planner) cover(g *group, r upstream.LayerRange, avoid []fleet.UpstreamID, positions int, stages []pipeline.Stage) ([]pipeline.Stage, bool) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	s.reset(g, r)
	s.positions = positions
	p.drawAll(g, s, avoid)
	for k := range len(s.bounds) - 1 {
		s.extend(k, g, p.draw)
	}
	end := len(s.bounds) - 1
	if math.IsInf(s.best[end], 1) {
		return stages, false
	}
	p.chooseAgain(g, s, end, avoid)
	return s.collect(g, end, stages), true
}

// drawAll draws an engine of each class. It leaves out a class of which no
// engine can be faster than one that was drawn for the same layers.
func (p *Planner) drawAll(g *group, s *scratch, avoid []fleet.UpstreamID) {
	s.kept = s.kept[:0]
	first, fastest := 0, -1
	for i := range g.classes {
		c := &g.classes[i]
		if i > 0 && c.layers != g.classes[i-1].layers {
			s.prune(first)
			first, fastest = len(s.kept), -1
		}
		length := float64(c.layers.Len())
		least := c.fixed + (c.layer+float64(s.positions-1)*c.position)*length
		if fastest >= 0 && worse(c.fixed, least, s.fixed[fastest], s.whole[fastest]) {
			continue
		}
		n := p.drawOne(c, avoid)
		if n < 0 {
			continue
		}
		s.drawn[i] = n
		s.kept = append(s.kept, i)
		s.fixed[i], s.layer[i] = c.costs[n].of(s.positions)
		s.whole[i] = s.fixed[i] + s.layer[i]*length
		if fastest < 0 || s.whole[i] < s.whole[fastest] {
			fastest = i
		}
	}
	s.prune(first)
}

// prune drops the kept classes from index first on, all with the same layers,
// that are worse than another one of them.
func (s *scratch) prune(first int) {
	list := s.kept[first:]
	n := 0
	for _, i := range list {
		if !s.dominated(i, list) {
			list[n] = i
			n++
		}
	}
	s.kept = s.kept[:first+n]
}

func (s *scratch) dominated(i int, list []int) bool {
	for _, k := range list {
		if worse(s.fixed[i], s.whole[i], s.fixed[k], s.whole[k]) {
			return true
		}
	}
	return false
}

// worse tells whether an engine is slower than another one for all layers, and
// not faster for any number of layers: the time is linear in that number, so it
// is enough to compare the fixed times and the times of all layers.
func worse(fixed, whole, otherFixed, otherWhole float64) bool {
	return fixed >= otherFixed && whole >= otherWhole && (fixed > otherFixed || whole > otherWhole)
}

// chooseAgain draws a second engine for each stage of the best chain and keeps
// the faster one of the two.
func (p *Planner) chooseAgain(g *group, s *scratch, end int, avoid []fleet.UpstreamID) {
	for k := end; k > 0; k = s.from[k] {
		i := s.last[k]
		c := &g.classes[i]
		if len(c.costs) == 1 {
			continue
		}
		length := float64(s.bounds[k] - s.bounds[s.from[k]])
		second := p.drawOne(c, avoid)
		fixed, layer := c.costs[second].of(s.positions)
		if fixed+layer*length < s.fixed[i]+s.layer[i]*length {
			s.drawn[i] = second
		}
	}
}

func (s *scratch) reset(g *group, r upstream.LayerRange) {
	s.bounds = append(s.bounds[:0], r.From)
	for _, b := range g.boundaries {
		if b > r.From && b < r.To {
			s.bounds = append(s.bounds, b)
		}
	}
	s.bounds = append(s.bounds, r.To)
	classes, bounds := len(g.classes), len(s.bounds)
	s.drawn = slices.Grow(s.drawn[:0], classes)[:classes]
	s.fixed = slices.Grow(s.fixed[:0], classes)[:classes]
	s.layer = slices.Grow(s.layer[:0], classes)[:classes]
	s.whole = slices.Grow(s.whole[:0], classes)[:classes]
	s.on = slices.Grow(s.on[:0], classes)[:classes]
	s.start = slices.Grow(s.start[:0], classes)[:classes]
	s.best = slices.Grow(s.best[:0], bounds)[:bounds]
	s.last = slices.Grow(s.last[:0], bounds)[:bounds]
	s.from = slices.Grow(s.from[:0], bounds)[:bounds]
	for i := range s.on {
		s.on[i] = math.Inf(1)
	}
	for i := range s.best {
		s.best[i] = math.Inf(1)
	}
	s.best[0] = 0
}

// extend moves all chains over the segment between bounds k and k+1. The classes
// are visited from a random one on, so that equal chains are taken in turn.
func (s *scratch) extend(k int, g *group, draw func(int) int) {
	if len(s.kept) == 0 || math.IsInf(s.best[k], 1) {
		return
	}
	offset := draw(len(s.kept))
	for _, c := range s.kept[offset:] {
		s.visit(k, c, g.classes[c].layers)
	}
	for _, c := range s.kept[:offset] {
		s.visit(k, c, g.classes[c].layers)
	}
}

// visit moves the best chain that ends on class c over the segment after bound k.
func (s *scratch) visit(k, c int, held upstream.LayerRange) {
	from, to := s.bounds[k], s.bounds[k+1]
	if from < held.From || to > held.To {
		return
	}
	if enter := s.best[k] + s.fixed[c]; enter < s.on[c] {
		s.on[c] = enter
		s.start[c] = k
	}
	s.on[c] += s.layer[c] * float64(to-from)
	if s.on[c] < s.best[k+1] {
		s.best[k+1] = s.on[c]
		s.last[k+1] = c
		s.from[k+1] = s.start[c]
	}
}

// collect appends the stages of the best chain up to a bound.
func (s *scratch) collect(g *group, end int, stages []pipeline.Stage) []pipeline.Stage {
	count := 0
	for k := end; k > 0; k = s.from[k] {
		count++
	}
	first := len(stages)
	stages = slices.Grow(stages, count)[:first+count]
	for k := end; k > 0; k = s.from[k] {
		count--
		c := &g.classes[s.last[k]]
		stages[first+count] = pipeline.Stage{
			Upstream: c.engines[s.drawn[s.last[k]]],
			Layers:   upstream.LayerRange{From: s.bounds[s.from[k]], To: s.bounds[k]},
		}
	}
	return stages
}

// drawOne returns the index of an engine of a class that is not avoided, or -1.
func (p *Planner) drawOne(c *class, avoid []fleet.UpstreamID) int {
	i := 0
	if len(c.engines) > 1 {
		i = p.draw(len(c.engines))
	}
	if len(avoid) == 0 {
		return i
	}
	for n := range min(len(c.engines), len(avoid)+1) {
		k := (i + n) % len(c.engines)
		if !among(c.engines[k].ID, avoid) {
			return k
		}
	}
	return -1
}
