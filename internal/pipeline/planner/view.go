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

// maxExactEngines is the largest group in which each engine forms a class of its
// own, so that the plan is optimal.
const maxExactEngines = 64

// view is a snapshot of the engines of one model. It is immutable apart from the
// counters of sequences.
type view struct {
	builtAt       time.Time
	buildDuration time.Duration
	model         document.Model
	layers        fleet.Layer
	// groups are the engines by version and adapter. The group of the active
	// version comes first. Others are used only while it does not cover all layers.
	groups []group
}

// group is the engines of one version and adapter.
type group struct {
	version, adapter string
	// boundaries are the layers at which the range of an engine starts or ends.
	// The optimal cuts are among them, because the cost of a stage is linear in
	// its number of layers.
	boundaries []fleet.Layer
	// classes are sorted by their layers and then by their times.
	classes []class
}

// class is a set of engines with the same layers and similar speeds. Its fixed,
// layer and position costs, in nanoseconds, are lower bounds of those of its
// engines.
type class struct {
	layers       upstream.LayerRange
	fixed, layer float64
	position     float64
	// engines and costs have the same order. They are separate slices because
	// picking an engine reads only the costs.
	engines []upstream.Upstream
	costs   []cost
}

// minStepTime returns the lower bound of the time of a step of one position over
// all layers of the class.
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
	// otherLoad is the reported load without the sequences of this instance.
	otherLoad float64
	inFlight  *atomic.Int64
}

func newCandidate(u upstream.Upstream, speeds pipeline.SpeedEstimator, counts *inflight.Counts) *candidate {
	s := speeds.Speed(u)
	m := &candidate{upstream: u, cost: cost{
		fixed: float64(s.FixedTime), layer: float64(s.LayerTime), position: float64(s.PositionTime),
		slots: float64(max(u.Slots, 1)), inFlight: counts.Counter(u.ID),
	}}
	reported := float64(u.Load.Running + u.Load.Waiting)
	m.otherLoad = max(reported-float64(m.inFlight.Load()), 0)
	return m
}

// estimate returns the fixed time and the time per layer of a step, in
// nanoseconds, for a number of positions at the current load. A batch takes longer
// with each sequence in it, and sequences beyond the batch limit wait for another
// batch.
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
		k := [2]string{u.Version, u.Adapter}
		candidates[k] = append(candidates[k], newCandidate(u, speeds, counts))
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

// builtFor tells whether the view was built from the given definition of the model.
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
	// Of classes with the same layers the fastest comes first, so that a plan can
	// skip most of the others.
	slices.SortStableFunc(g.classes, func(a, b class) int {
		return cmp.Or(
			cmp.Compare(a.layers.From, b.layers.From), cmp.Compare(a.layers.To, b.layers.To),
			cmp.Compare(a.minStepTime(), b.minStepTime()))
	})
	slices.Sort(g.boundaries)
	g.boundaries = slices.Compact(g.boundaries)
	return g
}

// classKey identifies a class: its engines have the same layers, and speeds within
// a factor of two. The id is set only when each engine forms a class of its own.
type classKey struct {
	layers       upstream.LayerRange
	fixed, layer int
	id           fleet.UpstreamID
}

func classKeyOf(m *candidate) classKey {
	return classKey{layers: m.upstream.Layers, fixed: log2Bucket(m.fixed), layer: log2Bucket(m.layer)}
}

// log2Bucket returns the power of two at or below a time as its exponent.
func log2Bucket(nanoseconds float64) int {
	return int(math.Floor(math.Log2(max(nanoseconds, 1))))
}

func within(part, whole upstream.LayerRange) bool {
	return part.From >= whole.From && part.To <= whole.To && part.Len() > 0
}
