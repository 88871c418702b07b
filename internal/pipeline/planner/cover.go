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
	// For each class: the drawn engine with its cost, the cost of the best chain
	// that ends on it, and the bound at which its stage starts.
	drawn []*member
	fixed []float64
	layer []float64
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
		s.extend(k, g.spanOf(s.bounds[k]), p.draw)
	}
	end := len(s.bounds) - 1
	if math.IsInf(s.best[end], 1) {
		return stages, false
	}
	return s.collect(end, stages), true
}

// drawAll draws an engine of each class. It leaves out a class of which no
// engine can be faster than one that was drawn for the same layers.
func (p *Planner) drawAll(g *group, s *scratch, avoid []fleet.UpstreamID) {
	var fastest *member
	var fixed, layer float64
	for i := range g.classes {
		c := &g.classes[i]
		if i > 0 && c.layers != g.classes[i-1].layers {
			fastest = nil
		}
		s.drawn[i] = nil
		least := c.layer + float64(s.positions-1)*c.position
		if fastest != nil && c.fixed >= fixed && least >= layer && (c.fixed > fixed || least > layer) {
			continue
		}
		m := p.drawMember(c, avoid, s.positions)
		if m == nil {
			continue
		}
		s.drawn[i] = m
		s.fixed[i], s.layer[i] = m.cost(s.positions)
		if length := float64(c.layers.Len()); fastest == nil || s.fixed[i]+s.layer[i]*length < fixed+layer*length {
			fastest, fixed, layer = m, s.fixed[i], s.layer[i]
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
func (s *scratch) extend(k int, span []int, draw func(int) int) {
	if len(span) == 0 || math.IsInf(s.best[k], 1) {
		return
	}
	length := float64(s.bounds[k+1] - s.bounds[k])
	offset := draw(len(span))
	for i := range span {
		c := span[(i+offset)%len(span)]
		if s.drawn[c] == nil {
			continue
		}
		if enter := s.best[k] + s.fixed[c]; enter < s.on[c] {
			s.on[c] = enter
			s.start[c] = k
		}
		s.on[c] += s.layer[c] * length
		if s.on[c] < s.best[k+1] {
			s.best[k+1] = s.on[c]
			s.last[k+1] = c
			s.from[k+1] = s.start[c]
		}
	}
}

// collect appends the stages of the best chain up to a bound.
func (s *scratch) collect(end int, stages []pipeline.Stage) []pipeline.Stage {
	count := 0
	for k := end; k > 0; k = s.from[k] {
		count++
	}
	first := len(stages)
	stages = slices.Grow(stages, count)[:first+count]
	for k := end; k > 0; k = s.from[k] {
		count--
		stages[first+count] = pipeline.Stage{
			Upstream: s.drawn[s.last[k]].upstream,
			Layers:   upstream.LayerRange{From: s.bounds[s.from[k]], To: s.bounds[k]},
		}
	}
	return stages
}

// spanOf returns the classes that hold the segment that starts at or before l.
func (g *group) spanOf(l fleet.Layer) []int {
	k, found := slices.BinarySearch(g.boundaries, l)
	if !found {
		k--
	}
	if k < 0 || k >= len(g.spans) {
		return nil
	}
	return g.spans[k]
}

// drawMember draws two engines of a class and returns the one that is expected
// to be faster, or nil when all are avoided.
func (p *Planner) drawMember(c *class, avoid []fleet.UpstreamID, positions int) *member {
	first := p.drawOne(c, avoid)
	if first == nil || len(c.members) == 1 {
		return first
	}
	second := p.drawOne(c, avoid)
	if second != nil && second.total(c.layers, positions) < first.total(c.layers, positions) {
		return second
	}
	return first
}

func (p *Planner) drawOne(c *class, avoid []fleet.UpstreamID) *member {
	i := 0
	if len(c.members) > 1 {
		i = p.draw(len(c.members))
	}
	for n := range min(len(c.members), len(avoid)+1) {
		m := c.members[(i+n)%len(c.members)]
		if !among(m.upstream.ID, avoid) {
			return m
		}
	}
	return nil
}

// total returns the expected time of a step of some positions over layers.
func (m *member) total(r upstream.LayerRange, positions int) float64 {
	fixed, layer := m.cost(positions)
	return fixed + layer*float64(r.Len())
}
