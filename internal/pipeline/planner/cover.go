package planner

import (
	"math"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// scratch holds the buffers of one plan. Costs are in nanoseconds.
type scratch struct {
	// positions is the number of positions that a stage has to run.
	positions int
	// bounds are the layers at which a stage may start or end.
	bounds []fleet.Layer
	// For each class: the picked engine, its cost (fixed, per layer, for all its
	// layers), the cost of the best chain that ends on it, and the index of the
	// bound at which its stage starts.
	picked []int
	// kept are the indices of the classes that can be part of the best chain.
	kept       []int
	fixedCost  []float64
	layerCost  []float64
	fullCost   []float64
	classCost  []float64
	classStart []int
	// For each bound: the cost of the best chain up to it, and the class and the
	// index of the first bound of its last stage.
	bestCost  []float64
	lastClass []int
	lastStart []int
}

// cover appends the best stages for a layer range to stages. It returns false
// when the engines of g do not cover the range.
func (p *Planner) cover(g *group, r upstream.LayerRange, exclude []fleet.UpstreamID, positions int, stages []pipeline.Stage) ([]pipeline.Stage, bool) {
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	s.reset(g, r)
	s.positions = positions
	p.pickEngines(g, s, exclude)
	for k := range len(s.bounds) - 1 {
		s.extend(k, g, p.randIntN)
	}
	end := len(s.bounds) - 1
	if math.IsInf(s.bestCost[end], 1) {
		return stages, false
	}
	p.pickSecondChoices(g, s, end, exclude)
	return s.collect(g, end, stages), true
}

// pickEngines picks an engine of each class. It skips a class of which no engine
// can be faster than one that was picked for the same layers.
func (p *Planner) pickEngines(g *group, s *scratch, exclude []fleet.UpstreamID) {
	s.kept = s.kept[:0]
	first, fastest := 0, -1
	for i := range g.classes {
		c := &g.classes[i]
		if i > 0 && c.layers != g.classes[i-1].layers {
			s.prune(first)
			first, fastest = len(s.kept), -1
		}
		length := float64(c.layers.Len())
		minTime := c.fixed + (c.layer+float64(s.positions-1)*c.position)*length
		if fastest >= 0 && dominatedBy(c.fixed, minTime, s.fixedCost[fastest], s.fullCost[fastest]) {
			continue
		}
		n := p.pickEngine(c, exclude)
		if n < 0 {
			continue
		}
		s.picked[i] = n
		s.kept = append(s.kept, i)
		s.fixedCost[i], s.layerCost[i] = c.costs[n].estimate(s.positions)
		s.fullCost[i] = s.fixedCost[i] + s.layerCost[i]*length
		if fastest < 0 || s.fullCost[i] < s.fullCost[fastest] {
			fastest = i
		}
	}
	s.prune(first)
}

// prune removes dominated classes from those kept at index first and later, all
// with the same layers.
func (s *scratch) prune(first int) {
	sameLayers := s.kept[first:]
	n := 0
	for _, i := range sameLayers {
		if !s.dominated(i, sameLayers) {
			sameLayers[n] = i
			n++
		}
	}
	s.kept = s.kept[:first+n]
}

func (s *scratch) dominated(i int, sameLayers []int) bool {
	for _, k := range sameLayers {
		if dominatedBy(s.fixedCost[i], s.fullCost[i], s.fixedCost[k], s.fullCost[k]) {
			return true
		}
	}
	return false
}

// dominatedBy tells whether an engine is not faster than another one for any number
// of layers, and not equally fast for all of them. The time is linear in the number
// of layers, so it suffices to compare the fixed times and the times of all layers.
func dominatedBy(fixed, full, otherFixed, otherFull float64) bool {
	return fixed >= otherFixed && full >= otherFull && (fixed > otherFixed || full > otherFull)
}

// pickSecondChoices picks a second engine for each stage of the best chain and
// keeps the faster of the two.
func (p *Planner) pickSecondChoices(g *group, s *scratch, end int, exclude []fleet.UpstreamID) {
	for k := end; k > 0; k = s.lastStart[k] {
		i := s.lastClass[k]
		c := &g.classes[i]
		if len(c.costs) == 1 {
			continue
		}
		length := float64(s.bounds[k] - s.bounds[s.lastStart[k]])
		second := p.pickEngine(c, exclude)
		fixed, layer := c.costs[second].estimate(s.positions)
		if fixed+layer*length < s.fixedCost[i]+s.layerCost[i]*length {
			s.picked[i] = second
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
	s.picked = slices.Grow(s.picked[:0], classes)[:classes]
	s.fixedCost = slices.Grow(s.fixedCost[:0], classes)[:classes]
	s.layerCost = slices.Grow(s.layerCost[:0], classes)[:classes]
	s.fullCost = slices.Grow(s.fullCost[:0], classes)[:classes]
	s.classCost = slices.Grow(s.classCost[:0], classes)[:classes]
	s.classStart = slices.Grow(s.classStart[:0], classes)[:classes]
	s.bestCost = slices.Grow(s.bestCost[:0], bounds)[:bounds]
	s.lastClass = slices.Grow(s.lastClass[:0], bounds)[:bounds]
	s.lastStart = slices.Grow(s.lastStart[:0], bounds)[:bounds]
	for i := range s.classCost {
		s.classCost[i] = math.Inf(1)
	}
	for i := range s.bestCost {
		s.bestCost[i] = math.Inf(1)
	}
	s.bestCost[0] = 0
}

// extend extends all chains over the segment between bounds k and k+1. It visits
// the classes starting at a random one, so that chains of equal cost are chosen
// equally often.
func (s *scratch) extend(k int, g *group, randIntN func(int) int) {
	if len(s.kept) == 0 || math.IsInf(s.bestCost[k], 1) {
		return
	}
	offset := randIntN(len(s.kept))
	for _, c := range s.kept[offset:] {
		s.visit(k, c, g.classes[c].layers)
	}
	for _, c := range s.kept[:offset] {
		s.visit(k, c, g.classes[c].layers)
	}
}

// visit extends the best chain that ends on class c over the segment after bound k.
// The chain either stays on the class or enters it at bound k.
func (s *scratch) visit(k, c int, held upstream.LayerRange) {
	from, to := s.bounds[k], s.bounds[k+1]
	if from < held.From || to > held.To {
		return
	}
	if entryCost := s.bestCost[k] + s.fixedCost[c]; entryCost < s.classCost[c] {
		s.classCost[c] = entryCost
		s.classStart[c] = k
	}
	s.classCost[c] += s.layerCost[c] * float64(to-from)
	if s.classCost[c] < s.bestCost[k+1] {
		s.bestCost[k+1] = s.classCost[c]
		s.lastClass[k+1] = c
		s.lastStart[k+1] = s.classStart[c]
	}
}

// collect appends the stages of the best chain up to a bound.
func (s *scratch) collect(g *group, end int, stages []pipeline.Stage) []pipeline.Stage {
	count := 0
	for k := end; k > 0; k = s.lastStart[k] {
		count++
	}
	first := len(stages)
	stages = slices.Grow(stages, count)[:first+count]
	for k := end; k > 0; k = s.lastStart[k] {
		count--
		c := &g.classes[s.lastClass[k]]
		stages[first+count] = pipeline.Stage{
			Upstream: c.engines[s.picked[s.lastClass[k]]],
			Layers:   upstream.LayerRange{From: s.bounds[s.lastStart[k]], To: s.bounds[k]},
		}
	}
	return stages
}

// pickEngine returns the index of a random engine of a class that is not excluded,
// or -1.
func (p *Planner) pickEngine(c *class, exclude []fleet.UpstreamID) int {
	i := 0
	if len(c.engines) > 1 {
		i = p.randIntN(len(c.engines))
	}
	if len(exclude) == 0 {
		return i
	}
	for n := range min(len(c.engines), len(exclude)+1) {
		k := (i + n) % len(c.engines)
		if !inList(c.engines[k].ID, exclude) {
			return k
		}
	}
	return -1
}
