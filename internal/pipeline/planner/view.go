package planner

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/inflight"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// maxExactEngines is the number of engines of a group up to which each engine is a
// class of its own.
const maxExactEngines = 64

// view is what the planner knows of the engines of one model. It is not changed
// after it was built, apart from the counters.
type view struct {
	builtAt       time.Time
	buildDuration time.Duration // time to build it
	model         document.Model
	layers        fleet.Layer
	// groups are the engines by version and adapter. The one in force is first;
	// another one serves only while that one does not cover all layers.
	groups []group
}

type group struct {
	version, adapter string
	// boundaries are the layers at which a range of an engine starts or ends.
	// The best cuts are among them, because the cost of a stage is linear in its
	// number of layers.
	boundaries []fleet.Layer
	// classes are in the order of their layers, and then of their times.
	classes []class
}

// class is engines with the same layers and similar speeds. No engine of it has
// a lower cost than fixed, layer and position.
type class struct {
	layers       upstream.LayerRange
	fixed, layer float64
	position     float64
	// engines and costs are in the same order. A draw only touches the costs.
	engines []upstream.Upstream
	costs   []cost
}

// minStepTime is the lowest time of a step of one position over all layers.
func (c class) minStepTime() float64 { return c.fixed + c.layer*float64(c.layers.Len()) }

// candidate is one engine with its cost.
type candidate struct {
	upstream upstream.Upstream
	cost
}

// cost is the cost of one engine.
type cost struct {
	fixed    float64 // nanoseconds
	layer    float64 // nanoseconds
	position float64 // nanoseconds
	slots    float64
	// otherLoad is the reported load without the part of this instance.
	otherLoad float64
	inFlight  *atomic.Int64
}

func newCandidate(u upstream.Upstream, speeds pipeline.SpeedEstimator, counts *inflight.Counts) *candidate {
	s := speeds.Speed(u)
	m := &candidate{upstream: u, cost: cost{
		fixed: float64(s.Fixed), layer: float64(s.Layer), position: float64(s.Position),
		slots: float64(max(u.Slots, 1)), inFlight: counts.Counter(u.ID),
	}}
	reported := float64(u.Load.Running + u.Load.Waiting)
	m.otherLoad = max(reported-float64(m.inFlight.Load()), 0)
	return m
}

// estimate returns the fixed time and the time of each layer for a number of
// positions at the present load. A batch takes longer with each sequence in it,
// and sequences beyond the batch limit wait for another batch.
func (m *cost) estimate(positions int) (fixed, layer float64) {
	load := (m.otherLoad + float64(max(m.inFlight.Load(), 0))) / m.slots
	return m.fixed, (m.layer + float64(positions-1)*m.position) * (1 + load)
}

func newView(model document.Model, engines []upstream.Upstream, now time.Time, speeds pipeline.SpeedEstimator, counts *inflight.Counts) *view {
	v := &view{builtAt: now, model: model, layers: model.Layers}
	candidates := make(map[[2]string][]*candidate)
	for _, u := range engines {
		whole := upstream.LayerRange{From: 0, To: model.Layers}
		if u.Kind != upstream.Engine || u.Model != model.ID || !within(u.Layers, whole) {
			continue
		}
		key := [2]string{u.Version, u.Adapter}
		candidates[key] = append(candidates[key], newCandidate(u, speeds, counts))
	}
	for k, list := range candidates {
		v.groups = append(v.groups, newGroup(k[0], k[1], list))
	}
	slices.SortFunc(v.groups, func(a, b group) int {
		return cmp.Or(
			-cmp.Compare(boolToInt(a.version == model.Version && a.adapter == model.Adapter), boolToInt(b.version == model.Version && b.adapter == model.Adapter)),
			cmp.Compare(a.version, b.version), cmp.Compare(a.adapter, b.adapter))
	})
	v.groups = slices.DeleteFunc(v.groups, func(g group) bool { return g.adapter != model.Adapter })
	return v
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// builtFor tells whether the view was built for a model as it is now.
func (v *view) builtFor(m document.Model) bool { return v.model == m }

func (v *view) group(version, adapter string) *group {
	for i := range v.groups {
		if v.groups[i].version == version && v.groups[i].adapter == adapter {
			return &v.groups[i]
		}
	}
	return nil
}

func newGroup(version, adapter string, candidates []*candidate) group {
	g := group{version: version, adapter: adapter}
	slices.SortFunc(candidates, func(a, b *candidate) int {
		return cmp.Or(
			cmp.Compare(a.upstream.Layers.From, b.upstream.Layers.From),
			cmp.Compare(a.upstream.Layers.To, b.upstream.Layers.To),
			cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	index := make(map[classKey]int)
	for _, m := range candidates {
		k := classKeyOf(m)
		if len(candidates) <= maxExactEngines {
			k.id = m.upstream.ID
		}
		i, ok := index[k]
		if !ok {
			i = len(g.classes)
			index[k] = i
			g.classes = append(g.classes, class{layers: m.upstream.Layers, fixed: m.fixed, layer: m.layer, position: m.position})
			g.boundaries = append(g.boundaries, m.upstream.Layers.From, m.upstream.Layers.To)
		}
		c := &g.classes[i]
		c.engines = append(c.engines, m.upstream)
		c.costs = append(c.costs, m.cost)
		c.fixed, c.layer = min(c.fixed, m.fixed), min(c.layer, m.layer)
		c.position = min(c.position, m.position)
	}
	// The fastest class of some layers comes first, so that a plan can leave out
	// most of the others.
	slices.SortStableFunc(g.classes, func(a, b class) int {
		return cmp.Or(
			cmp.Compare(a.layers.From, b.layers.From), cmp.Compare(a.layers.To, b.layers.To),
			cmp.Compare(a.minStepTime(), b.minStepTime()))
	})
	slices.Sort(g.boundaries)
	g.boundaries = slices.Compact(g.boundaries)
	return g
}

// classKey is what the engines of a class have in common: layers, and speeds
// within a factor of two.
type classKey struct {
	layers       upstream.LayerRange
	fixed, layer int
	id           fleet.UpstreamID
}

func classKeyOf(m *candidate) classKey {
	return classKey{layers: m.upstream.Layers, fixed: log2Bucket(m.fixed), layer: log2Bucket(m.layer)}
}

func log2Bucket(nanoseconds float64) int {
	return int(math.Floor(math.Log2(max(nanoseconds, 1))))
}

func within(part, whole upstream.LayerRange) bool {
	return part.From >= whole.From && part.To <= whole.To && part.Len() > 0
}
