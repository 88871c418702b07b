// Package cover decides which engines hold which layers. It aims at whole chains
// within a data centre: data centres with enough memory cover all layers by
// themselves, the others do so together. Engines beyond the first chain hold
// further copies of what is covered least, so that the loss of one engine leaves
// no gap.
//
// A plan starts from what the engines hold, and an engine that holds something
// is moved only where that raises the least coverage of its group. The plan does
// not depend on the order of its input.
package cover

import (
	"cmp"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// spare is how much more often each layer of an engine must be covered than the
// layers that it moves to. A smaller difference would move engines in circles.
const spare = 2

// Plan returns the orders that improve the coverage of a model with a number of
// layers.
func Plan(layers int, engines []placement.Engine) []placement.Order {
	if layers <= 0 {
		return nil
	}
	es := slices.Clone(engines)
	slices.SortFunc(es, func(a, b placement.Engine) int { return cmp.Compare(a.ID, b.ID) })
	var orders []placement.Order
	for _, g := range groups(layers, es) {
		orders = append(orders, g.fill()...)
	}
	return orders
}

// group is a set of engines that covers the layers together.
type group struct {
	layers  int
	engines []placement.Engine
	// tight groups have too little memory to keep the usual amount free.
	tight bool
}

// groups returns a group for each data centre that can hold the whole model, and
// one for all others. When all engines together cannot hold it, they take as much
// as fits.
func groups(layers int, es []placement.Engine) []*group {
	var gs []*group
	rest := &group{layers: layers}
	for _, d := range dataCentres(es) {
		g := &group{layers: layers}
		for _, e := range es {
			if e.DataCentre == d {
				g.engines = append(g.engines, e)
			}
		}
		if g.usable() >= layers {
			gs = append(gs, g)
			continue
		}
		rest.engines = append(rest.engines, g.engines...)
	}
	if len(rest.engines) == 0 {
		return gs
	}
	all := group{engines: es}
	rest.tight = all.usable() < layers
	return append(gs, rest)
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

func (g *group) usable() int {
	n := 0
	for _, e := range g.engines {
		n += e.Usable
	}
	return n
}

// size is the number of layers that an engine takes.
func (g *group) size(e placement.Engine) int {
	if g.tight {
		return e.Room
	}
	return max(e.Usable, min(e.Room, 1))
}

// fill gives work to empty engines, and moves others into gaps.
func (g *group) fill() []placement.Order {
	var orders []placement.Order
	for {
		count := g.coverage()
		run := weakest(count)
		k := g.empty(run.Len())
		if k < 0 {
			k = g.surplus(count, run)
		}
		if k < 0 {
			return orders
		}
		e := &g.engines[k]
		n := min(run.Len(), g.size(*e))
		e.Holds = upstream.LayerRange{From: run.From, To: run.From + fleet.Layer(n)}
		e.Fixed = true
		orders = append(orders, placement.Order{ID: e.ID, Layers: e.Holds})
	}
}

func (g *group) coverage() []int {
	count := make([]int, g.layers)
	for _, e := range g.engines {
		for l := e.Holds.From; l < e.Holds.To && int(l) < g.layers; l++ {
			count[l]++
		}
	}
	return count
}

// weakest returns the first longest run of layers with the least coverage.
func weakest(count []int) upstream.LayerRange {
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

// empty returns the engine without layers that suits a run best: the fastest of
// those that it fills, or the smallest that holds it whole.
func (g *group) empty(length int) int {
	best := -1
	for i, e := range g.engines {
		if e.Fixed || e.Holds.Len() > 0 || g.size(e) == 0 {
			continue
		}
		if best < 0 || g.suits(e, g.engines[best], length) {
			best = i
		}
	}
	return best
}

func (g *group) suits(a, b placement.Engine, length int) bool {
	na, nb := g.size(a), g.size(b)
	if (na >= length) != (nb >= length) {
		return na >= length
	}
	if na >= length && na != nb {
		return na < nb
	}
	if a.Pace != b.Pace {
		return a.Pace < b.Pace
	}
	return na > nb
}

// surplus returns the engine whose layers are covered most beside it, if moving
// it into a run raises the least coverage.
func (g *group) surplus(count []int, run upstream.LayerRange) int {
	least := count[run.From]
	best, most := -1, 0
	for i, e := range g.engines {
		if e.Fixed || e.Holds.Len() == 0 || g.size(e) == 0 {
			continue
		}
		low := slices.Min(count[e.Holds.From:min(int(e.Holds.To), g.layers)])
		if low >= least+spare && (best < 0 || low > most || low == most && g.suits(e, g.engines[best], run.Len())) {
			best, most = i, low
		}
	}
	return best
}
