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

// exactLimit is the number of engines of a group up to which each engine is a
// class of its own.
const exactLimit = 64

// view is what the planner knows of the engines of one model. It is not changed
// after it was built, apart from the counters.
type view struct {
	built    time.Time
	took     time.Duration // time to build it
	revision document.Model
	layers   fleet.Layer
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

// least is the lowest time of a step of one position over all layers.
func (c class) least() float64 { return c.fixed + c.layer*float64(c.layers.Len()) }

// member is one engine with its cost.
type member struct {
	upstream upstream.Upstream
	cost
}

// cost is the cost of one engine.
type cost struct {
	fixed    float64 // nanoseconds
	layer    float64 // nanoseconds
	position float64 // nanoseconds
	slots    float64
	// others is the reported load without the part of this instance.
	others   float64
	inFlight *atomic.Int64
}

func newMember(u upstream.Upstream, speeds pipeline.Speeds, counts *inflight.Counts) *member {
	s := speeds.Speed(u)
	m := &member{upstream: u, cost: cost{
		fixed: float64(s.Fixed), layer: float64(s.Layer), position: float64(s.Position),
		slots: float64(max(u.Slots, 1)), inFlight: counts.Of(u.ID),
	}}
	reported := float64(u.Load.Running + u.Load.Waiting)
	m.others = max(reported-float64(m.inFlight.Load()), 0)
	return m
}

// of returns the fixed time and the time of each layer for a number of
// positions at the present load. A batch takes longer with each sequence in it,
// and sequences beyond the batch limit wait for another batch.
func (m *cost) of(positions int) (fixed, layer float64) {
	load := (m.others + float64(max(m.inFlight.Load(), 0))) / m.slots
	return m.fixed, (m.layer + float64(positions-1)*m.position) * (1 + load)
}

func newView(model document.Model, engines []upstream.Upstream, now time.Time, speeds pipeline.Speeds, counts *inflight.Counts) *view {
	v := &view{built: now, revision: model, layers: model.Layers}
	members := make(map[[2]string][]*member)
	for _, u := range engines {
		whole := upstream.LayerRange{From: 0, To: model.Layers}
		if u.Kind != upstream.Engine || u.Model != model.ID || !within(u.Layers, whole) {
			continue
		}
		k := [2]string{u.Version, u.Adapter}
		members[k] = append(members[k], newMember(u, speeds, counts))
	}
	for k, list := range members {
		v.groups = append(v.groups, newGroup(k[0], k[1], list))
	}
	slices.SortFunc(v.groups, func(a, b group) int {
		return cmp.Or(
			-cmp.Compare(bit(a.version == model.Version && a.adapter == model.Adapter), bit(b.version == model.Version && b.adapter == model.Adapter)),
			cmp.Compare(a.version, b.version), cmp.Compare(a.adapter, b.adapter))
	})
	v.groups = slices.DeleteFunc(v.groups, func(g group) bool { return g.adapter != model.Adapter })
	return v
}

func bit(b bool) int {
	if b {
		return 1
	}
	return 0
}

// fits tells whether the view was built for a model as it is now.
func (v *view) fits(m document.Model) bool { return v.revision == m }

func (v *view) group(version, adapter string) *group {
	for i := range v.groups {
		if v.groups[i].version == version && v.groups[i].adapter == adapter {
			return &v.groups[i]
		}
	}
	return nil
}

func newGroup(version, adapter string, members []*member) group {
	g := group{version: version, adapter: adapter}
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Or(
			cmp.Compare(a.upstream.Layers.From, b.upstream.Layers.From),
			cmp.Compare(a.upstream.Layers.To, b.upstream.Layers.To),
			cmp.Compare(a.upstream.ID, b.upstream.ID))
	})
	index := make(map[classKey]int)
	for _, m := range members {
		k := keyOf(m)
		if len(members) <= exactLimit {
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
			cmp.Compare(a.least(), b.least()))
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

func keyOf(m *member) classKey {
	return classKey{layers: m.upstream.Layers, fixed: octave(m.fixed), layer: octave(m.layer)}
}

func octave(nanoseconds float64) int {
	return int(math.Floor(math.Log2(max(nanoseconds, 1))))
}

func within(part, whole upstream.LayerRange) bool {
	return part.From >= whole.From && part.To <= whole.To && part.Len() > 0
}
