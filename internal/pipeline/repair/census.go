package repair

import (
	"cmp"
	"slices"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// coverage counts the holders of each layer.
type coverage struct {
	models  []document.Model
	engines []upstream.Upstream // without those with a pending command, sorted by id
	// serving counts the engines that hold a layer and have no pending command.
	// Loading counts those with a command to load it.
	serving map[layerKey]int
	loading map[layerKey]int
}

func newCoverage(in Input, pending map[fleet.UpstreamID]pendingCommand) *coverage {
	cov := &coverage{
		models: slices.Clone(in.Models), engines: make([]upstream.Upstream, 0, len(in.Engines)),
		serving: make(map[layerKey]int), loading: make(map[layerKey]int),
	}
	slices.SortFunc(cov.models, func(a, b document.Model) int { return cmp.Compare(a.ID, b.ID) })
	for _, u := range in.Engines {
		if p, ok := pending[u.ID]; ok {
			cov.count(cov.loading, p.target, 1)
			continue
		}
		cov.engines = append(cov.engines, u)
		cov.count(cov.serving, roleOf(u), 1)
	}
	slices.SortFunc(cov.engines, func(a, b upstream.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	return cov
}

func (c *coverage) count(counts map[layerKey]int, r role, n int) {
	for l := r.layers.From; l < r.layers.To; l++ {
		counts[layerKey{r.model, r.version, r.adapter, l}] += n
	}
}

// move removes an engine from its role and counts it as loading another.
func (c *coverage) move(u upstream.Upstream, target role) {
	c.count(c.serving, roleOf(u), -1)
	c.count(c.loading, target, 1)
	c.engines = slices.DeleteFunc(c.engines, func(x upstream.Upstream) bool { return x.ID == u.ID })
}

// holders returns the number of engines that hold a layer or are loading it.
func (c *coverage) holders(k layerKey) int { return c.serving[k] + c.loading[k] }

// model returns a model, if the configuration document contains it.
func (c *coverage) model(id fleet.ModelID) (document.Model, bool) {
	for _, m := range c.models {
		if m.ID == id {
			return m, true
		}
	}
	return document.Model{}, false
}

// covered tells whether each layer of the active version has an engine that serves
// it.
func (c *coverage) covered(m document.Model) bool {
	for l := fleet.Layer(0); l < m.Layers; l++ {
		if c.serving[layerKeyOf(m, l)] <= 0 {
			return false
		}
	}
	return true
}

// canLeave tells whether an engine may leave its role, so that each of its layers
// keeps at least minRemaining holders that serve it. The last holder of a layer has
// to stay while the layer is needed. Layers of another version are needed until the
// active version is covered.
func (c *coverage) canLeave(u upstream.Upstream, minRemaining int) bool {
	m, ok := c.model(u.Model)
	if !ok {
		return true
	}
	if u.Version != m.Version || u.Adapter != m.Adapter {
		if c.covered(m) {
			return true
		}
		minRemaining = 1
	}
	for l := u.Layers.From; l < u.Layers.To; l++ {
		if c.serving[layerKey{u.Model, u.Version, u.Adapter, l}]-1 < max(minRemaining, 1) {
			return false
		}
	}
	return true
}

func layerKeyOf(m document.Model, l fleet.Layer) layerKey {
	return layerKey{m.ID, m.Version, m.Adapter, l}
}

func minHolders(m document.Model) int { return max(m.MinHolders, 1) }
