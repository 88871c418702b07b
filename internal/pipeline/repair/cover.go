package repair

import (
	"fmt"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// noHolder is the value of a layer without a holder. It is more than all layers
// of a model with some holders have together.
const noHolder = 1000

// noteLacking notes since when layers lack holders.
func (c *Controller) noteLacking(now time.Time, f *census) {
	lacking := make(map[layerKey]time.Time)
	for _, m := range f.models {
		for l := fleet.Layer(0); l < m.Layers; l++ {
			k := keyOf(m, l)
			if f.serving[k] >= need(m) {
				continue
			}
			lacking[k] = now
			if since, ok := c.since[k]; ok {
				lacking[k] = since
			}
		}
	}
	c.since = lacking
}

// value is what another holder of a layer is worth.
func (c *Controller) value(now time.Time, f *census, m document.Model, l fleet.Layer) float64 {
	k := keyOf(m, l)
	since, lacking := c.since[k]
	have := f.holders(k)
	switch {
	case !lacking || now.Sub(since) < c.settings.Grace || have >= need(m):
		return 0
	case have == 0:
		return noHolder
	default:
		return 1 - float64(have)/float64(need(m))
	}
}

// candidate is a possible move.
type candidate struct {
	engine upstream.Upstream
	target role
	value  float64
	bytes  int64
	// spare tells that the engine serves nothing that is of use.
	spare bool
	load  float64
	fits  bool // the target is the role of another engine
}

// cover returns the most valuable load for layers that lack holders.
func (c *Controller) cover(now time.Time, f *census) (Effect, bool) {
	var best candidate
	known := make(map[role]bool, len(f.engines))
	for _, u := range f.engines {
		known[roleOf(u)] = true
	}
	for _, m := range f.models {
		sums := make([]float64, m.Layers+1)
		for l := fleet.Layer(0); l < m.Layers; l++ {
			sums[l+1] = sums[l] + c.value(now, f, m, l)
		}
		if sums[m.Layers] == 0 {
			continue
		}
		targets := make(map[int]candidate) // by the number of layers of an engine
		for _, u := range f.engines {
			if c.rests(now, u.ID, sums[m.Layers]) {
				continue
			}
			size := min(u.Layers.Len(), int(m.Layers))
			t, ok := targets[size]
			if !ok {
				t = bestRange(m, size, sums, known)
				targets[size] = t
			}
			t.engine = u
			floor := need(m)
			if owner, ok := f.model(u.Model); ok {
				floor = need(owner)
			}
			if t.value >= noHolder {
				floor = 1
			}
			if t.value <= 0 || !f.canLeave(u, floor) {
				continue
			}
			t.spare = f.canLeave(u, 1<<30)
			t.load = loadOf(u)
			if !c.local[u.ID].roles[t.target] {
				t.bytes = int64(size) * c.settings.LayerBytes
			}
			if t.better(best) {
				best = t
			}
		}
	}
	if best.value <= 0 {
		return Effect{}, false
	}
	r := best.target
	reason := fmt.Sprintf("layers %d:%d of model %q version %q lack holders", r.layers.From, r.layers.To, r.model, r.version)
	return c.send(now, f, best.engine, r, reason), true
}

// rests tells whether an engine is passed over. After a move it may still cover
// layers that have no holder.
func (c *Controller) rests(now time.Time, id fleet.UpstreamID, total float64) bool {
	if c.failed[id].After(now) {
		return true
	}
	return c.resting[id].After(now) && total < noHolder
}

// bestRange returns the range of a number of layers with the highest value. Of
// equal ranges one that other engines hold is better, because chains with equal
// stages can replace each other's.
func bestRange(m document.Model, size int, sums []float64, known map[role]bool) candidate {
	var best candidate
	for from := 0; size > 0 && from+size <= int(m.Layers); from++ {
		layers := upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(from + size)}
		r := role{m.ID, m.Version, m.Adapter, layers}
		t := candidate{target: r, value: sums[from+size] - sums[from], fits: known[r]}
		if t.value > best.value || t.value == best.value && t.fits && !best.fits {
			best = t
		}
	}
	return best
}

// better orders moves: value, then engines that serve nothing, then bytes, then
// load.
func (t candidate) better(o candidate) bool {
	switch {
	case t.value != o.value:
		return t.value > o.value
	case t.spare != o.spare:
		return t.spare
	case t.bytes != o.bytes:
		return t.bytes < o.bytes
	default:
		return t.load < o.load
	}
}

// loadOf is the reported number of sequences for each slot.
func loadOf(u upstream.Upstream) float64 {
	return float64(u.Load.Running+u.Load.Waiting) / float64(max(u.Slots, 1))
}
