// Package cover plans which engines hold which layers. It aims at complete chains
// within a data centre: each data centre with enough memory covers all layers by
// itself, and the others cover them together. Engines beyond the first chain hold
// further replicas of the layers with the lowest coverage, so that the loss of one
// engine leaves no gap.
//
// A plan starts from the layers that the engines hold. An engine that holds layers is
// reassigned only if that raises the lowest coverage in its group. The plan does not
// depend on the order of its input.
package cover

import (
	"cmp"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// minCoverageGap is the least difference between the coverage of each layer that an
// engine gives up and that of the layers it is moved to. A smaller difference would
// move engines back and forth.
const minCoverageGap = 2

// Option configures a plan.
type Option func(*planner)

// WithSpeedGroups plans the fast cards of a data centre and its other cards as a group each,
// if each of them can hold the whole model. Chains then do not mix them: a stream holds the
// memory of all engines of its chain for the time that the slowest one takes.
func WithSpeedGroups() Option { return func(p *planner) { p.speedGroups = true } }

type planner struct {
	speedGroups bool
}

// Plan returns the assignments that improve the coverage of a model with the given
// number of layers.
func Plan(layers int, engines []placement.Engine, os ...Option) []placement.Assignment {
	if layers <= 0 {
		return nil
	}
	var p planner
	for _, o := range os {
		o(&p)
	}
	es := slices.Clone(engines)
	for i := range es {
		if r := es[i].Layers; r.From < 0 || r.From > r.To || int(r.To) > layers {
			// These layers are of another model, so the engine counts as empty.
			es[i].Layers = upstream.LayerRange{}
		}
	}
	slices.SortFunc(es, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
	var assignments []placement.Assignment
	for _, g := range p.groups(layers, es) {
		assignments = append(assignments, g.assign()...)
	}
	return assignments
}

// group is a set of engines that together cover the layers.
type group struct {
	layers  int
	engines []placement.Engine
	// memoryShort is set if the engines can't hold all layers and keep the reserved
	// memory free.
	memoryShort bool
}

// groups returns a group for each data centre that can hold the whole model, and one
// for all other engines. If all engines together can't hold it with memory reserved,
// the last group reserves none.
func (p planner) groups(layers int, es []placement.Engine) []*group {
	var gs []*group
	rest := &group{layers: layers}
	for _, d := range dataCentres(es) {
		g := &group{layers: layers}
		for _, e := range es {
			if e.DataCentre == d {
				g.engines = append(g.engines, e)
			}
		}
		if fast, slow := g.splitBySpeed(); p.speedGroups && fast.usableLayers() >= layers && slow.usableLayers() >= layers {
			gs = append(gs, fast, slow)
			continue
		}
		if g.usableLayers() >= layers {
			gs = append(gs, g)
			continue
		}
		rest.engines = append(rest.engines, g.engines...)
	}
	if len(rest.engines) == 0 {
		return gs
	}
	all := group{engines: es}
	rest.memoryShort = all.usableLayers() < layers
	return append(gs, rest)
}

// splitBySpeed returns the fast cards of a group and the others.
func (g *group) splitBySpeed() (fast, slow *group) {
	slowest := 0.0
	for _, e := range g.engines {
		slowest = max(slowest, e.StepFactor)
	}
	fast, slow = &group{layers: g.layers}, &group{layers: g.layers}
	for _, e := range g.engines {
		if placement.IsFast(e.StepFactor, slowest) {
			fast.engines = append(fast.engines, e)
		} else {
			slow.engines = append(slow.engines, e)
		}
	}
	return fast, slow
}

func dataCentres(es []placement.Engine) []fleet.DataCentreID {
	var ds []fleet.DataCentreID
	for _, e := range es {
		if !slices.Contains(ds, e.DataCentre) {
			ds = append(ds, e.DataCentre)
		}
	}
	slices.Sort(ds)
	return ds
}

func (g *group) usableLayers() int {
	n := 0
	for _, e := range g.engines {
		n += e.UsableLayers
	}
	return n
}

// layersFor returns the largest number of layers to assign to an engine.
func (g *group) layersFor(e placement.Engine) int {
	if g.memoryShort {
		return e.MaxLayers
	}
	return max(e.UsableLayers, min(e.MaxLayers, 1))
}

// assign gives ranges to engines without layers, and moves others to the ranges with
// the lowest coverage.
func (g *group) assign() []placement.Assignment {
	var assignments []placement.Assignment
	for {
		count := g.coverage()
		run := leastCovered(count)
		k := g.bestEmpty(run.Len())
		if k < 0 {
			k = g.bestSurplus(count, run)
		}
		if k < 0 {
			return assignments
		}
		e := &g.engines[k]
		n := min(run.Len(), g.layersFor(*e))
		e.Layers = upstream.LayerRange{From: run.From, To: run.From + fleet.Layer(n)}
		e.Pinned = true
		assignments = append(assignments, placement.Assignment{ID: e.ID, Layers: e.Layers})
	}
}

func (g *group) coverage() []int {
	count := make([]int, g.layers)
	for _, e := range g.engines {
		for l := e.Layers.From; l < e.Layers.To && int(l) < g.layers; l++ {
			count[l]++
		}
	}
	return count
}

// leastCovered returns the longest run of layers with the lowest coverage, and the
// first of several.
func leastCovered(count []int) upstream.LayerRange {
	least := slices.Min(count)
	var best upstream.LayerRange
	for i := 0; i < len(count); i++ {
		if count[i] != least {
			continue
		}
		j := i
		for j < len(count) && count[j] == least {
			j++
		}
		if j-i > best.Len() {
			best = upstream.LayerRange{From: fleet.Layer(i), To: fleet.Layer(j)}
		}
		i = j
	}
	return best
}

// bestEmpty returns the index of the engine without layers that fits a run of layers
// best, or -1.
func (g *group) bestEmpty(length int) int {
	best := -1
	for i, e := range g.engines {
		if e.Pinned || e.Layers.Len() > 0 || g.layersFor(e) == 0 {
			continue
		}
		if best < 0 || g.fitsBetter(e, g.engines[best], length) {
			best = i
		}
	}
	return best
}

// fitsBetter reports whether a fits a run of layers better than b. The smallest engine
// that holds the whole run is best, and the faster one of two equal ones. Engines too
// small for the run are compared by speed, then by size.
func (g *group) fitsBetter(a, b placement.Engine, length int) bool {
	na, nb := g.layersFor(a), g.layersFor(b)
	if (na >= length) != (nb >= length) {
		return na >= length
	}
	if na >= length && na != nb {
		return na < nb
	}
	if a.StepFactor != b.StepFactor {
		return a.StepFactor < b.StepFactor
	}
	return na > nb
}

// bestSurplus returns the index of the engine whose layers have the highest minimum
// coverage, if that is at least minCoverageGap above the coverage of the run, or -1.
func (g *group) bestSurplus(count []int, run upstream.LayerRange) int {
	least := count[run.From]
	best, most := -1, 0
	for i, e := range g.engines {
		if e.Pinned || e.Layers.Len() == 0 || g.layersFor(e) == 0 {
			continue
		}
		lowest := slices.Min(count[e.Layers.From:min(int(e.Layers.To), g.layers)])
		if lowest >= least+minCoverageGap && (best < 0 || lowest > most || lowest == most && g.fitsBetter(e, g.engines[best], run.Len())) {
			best, most = i, lowest
		}
	}
	return best
}
