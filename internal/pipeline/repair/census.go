package repair

import (
	"cmp"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// census counts the holders of each layer.
type census struct {
	models  []document.Model
	engines []upstream.Upstream // without those that wait for a role, by id
	// serving counts the engines that hold a layer and stay. Coming counts those
	// that were told to load it.
	serving map[layerKey]int
	coming  map[layerKey]int
}

func newCensus(in Input, waiting map[fleet.UpstreamID]pending) *census {
	f := &census{
		models: slices.Clone(in.Models), engines: make([]upstream.Upstream, 0, len(in.Engines)),
		serving: make(map[layerKey]int), coming: make(map[layerKey]int),
	}
	slices.SortFunc(f.models, func(a, b document.Model) int { return cmp.Compare(a.ID, b.ID) })
	for _, u := range in.Engines {
		if p, ok := waiting[u.ID]; ok {
			f.count(f.coming, p.target, 1)
			continue
		}
		f.engines = append(f.engines, u)
		f.count(f.serving, roleOf(u), 1)
	}
	slices.SortFunc(f.engines, func(a, b upstream.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return f
}

func (f *census) count(counts map[layerKey]int, r role, n int) {
	for l := r.layers.From; l < r.layers.To; l++ {
		counts[layerKey{r.model, r.version, r.adapter, l}] += n
	}
}

// move takes an engine out of its role and counts it as coming for another.
func (f *census) move(u upstream.Upstream, target role) {
	f.count(f.serving, roleOf(u), -1)
	f.count(f.coming, target, 1)
	f.engines = slices.DeleteFunc(f.engines, func(x upstream.Upstream) bool { return x.ID == u.ID })
}

// holders returns the engines that hold a layer or will hold it.
func (f *census) holders(k layerKey) int { return f.serving[k] + f.coming[k] }

// model returns the model of an engine, if the document has it.
func (f *census) model(id fleet.ModelID) (document.Model, bool) {
	for _, m := range f.models {
		if m.ID == id {
			return m, true
		}
	}
	return document.Model{}, false
}

// covered tells whether each layer of the version in force has an engine that
// serves it.
func (f *census) covered(m document.Model) bool {
	for l := fleet.Layer(0); l < m.Layers; l++ {
		if f.serving[keyOf(m, l)] <= 0 {
			return false
		}
	}
	return true
}

// canLeave tells whether an engine may leave its role so that each of its layers
// keeps at least floor holders that serve it. The last holder of a layer stays
// while the layer is of use: layers of another version are so until the version
// in force is covered.
func (f *census) canLeave(u upstream.Upstream, floor int) bool {
	m, ok := f.model(u.Model)
	if !ok {
		return true
	}
	if u.Version != m.Version || u.Adapter != m.Adapter {
		if f.covered(m) {
			return true
		}
		floor = 1
	}
	for l := u.Layers.From; l < u.Layers.To; l++ {
		if f.serving[layerKey{u.Model, u.Version, u.Adapter, l}]-1 < max(floor, 1) {
			return false
		}
	}
	return true
}

func keyOf(m document.Model, l fleet.Layer) layerKey {
	return layerKey{m.ID, m.Version, m.Adapter, l}
}

func need(m document.Model) int { return max(m.MinHolders, 1) }
