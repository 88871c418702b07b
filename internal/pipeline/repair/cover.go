package repair

import (
	"fmt"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// noHolderPriority is the priority of a layer without a holder. It is higher than the
// sum over all layers of a model that have a holder, whose priorities are below 1.
const noHolderPriority = 1000

// updateLackingSince records since when layers have had fewer holders than
// MinHolders.
func (c *Controller) updateLackingSince(now time.Time, cov *coverage) {
	lacking := make(map[layerKey]time.Time)
	for _, m := range cov.models {
		for l := fleet.Layer(0); l < m.Layers; l++ {
			k := layerKeyOf(m, l)
			if cov.serving[k] >= minHolders(m) {
				continue
			}
			lacking[k] = now
			if since, ok := c.lackingSince[k]; ok {
				lacking[k] = since
			}
		}
	}
	c.lackingSince = lacking
}

// priority returns the priority of loading another holder of a layer. It is zero
// when the layer has enough holders or has lacked them for less than GracePeriod.
func (c *Controller) priority(now time.Time, cov *coverage, m document.Model, l fleet.Layer) float64 {
	k := layerKeyOf(m, l)
	since, lacking := c.lackingSince[k]
	count := cov.holders(k)
	switch {
	case !lacking || now.Sub(since) < c.settings.GracePeriod || count >= minHolders(m):
		return 0
	case count == 0:
		return noHolderPriority
	default:
		return 1 - float64(count)/float64(minHolders(m))
	}
}

// candidate is a possible move of an engine to a role.
type candidate struct {
	engine   upstream.Upstream
	target   role
	priority float64
	bytes    int64
	// unneeded tells that none of the layers that the engine serves is needed.
	unneeded  bool
	load      float64
	knownRole bool // the target is the role of another engine
}

// cover returns the command with the highest priority for layers that lack holders.
func (c *Controller) cover(now time.Time, cov *coverage) (Effect, bool) {
	var best candidate
	knownRoles := make(map[role]bool, len(cov.engines))
	for _, u := range cov.engines {
		knownRoles[roleOf(u)] = true
	}
	for _, m := range cov.models {
		prefixSums := make([]float64, m.Layers+1)
		for l := fleet.Layer(0); l < m.Layers; l++ {
			prefixSums[l+1] = prefixSums[l] + c.priority(now, cov, m, l)
		}
		if prefixSums[m.Layers] == 0 {
			continue
		}
		targets := make(map[int]candidate) // by the number of layers of an engine
		for _, u := range cov.engines {
			if c.excluded(now, u.ID, prefixSums[m.Layers]) {
				continue
			}
			size := min(u.Layers.Len(), int(m.Layers))
			t, ok := targets[size]
			if !ok {
				t = bestRange(m, size, prefixSums, knownRoles)
				targets[size] = t
			}
			t.engine = u
			minRemaining := minHolders(m)
			if owner, ok := cov.model(u.Model); ok {
				minRemaining = minHolders(owner)
			}
			if t.priority >= noHolderPriority {
				minRemaining = 1
			}
			if t.priority <= 0 || !cov.canLeave(u, minRemaining) {
				continue
			}
			t.unneeded = cov.canLeave(u, 1<<30)
			t.load = loadOf(u)
			if !c.localWeights[u.ID].roles[t.target] {
				t.bytes = int64(size) * c.settings.LayerBytes
			}
			if t.better(best) {
				best = t
			}
		}
	}
	if best.priority <= 0 {
		return Effect{}, false
	}
	r := best.target
	reason := fmt.Sprintf("layers %d:%d of model %q version %q lack holders", r.layers.From, r.layers.To, r.model, r.version)
	return c.assign(now, cov, best.engine, r, reason), true
}

// excluded tells whether an engine is not to be moved. During the cooldown after a
// move it may still cover layers without a holder, which the total priority shows.
func (c *Controller) excluded(now time.Time, id fleet.UpstreamID, totalPriority float64) bool {
	if c.failedUntil[id].After(now) {
		return true
	}
	return c.cooldownUntil[id].After(now) && totalPriority < noHolderPriority
}

// bestRange returns the range of size layers with the highest total priority. Of
// equal ranges it prefers one that other engines hold, because engines with equal
// ranges can replace each other in a chain.
func bestRange(m document.Model, size int, prefixSums []float64, knownRoles map[role]bool) candidate {
	var best candidate
	for from := 0; size > 0 && from+size <= int(m.Layers); from++ {
		layers := upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(from + size)}
		r := role{m.ID, m.Version, m.Adapter, layers}
		t := candidate{target: r, priority: prefixSums[from+size] - prefixSums[from], knownRole: knownRoles[r]}
		if t.priority > best.priority || t.priority == best.priority && t.knownRole && !best.knownRole {
			best = t
		}
	}
	return best
}

// better orders moves by higher priority, then engines whose layers are not needed,
// then fewer bytes to load, then lower load of the engine.
func (t candidate) better(o candidate) bool {
	switch {
	case t.priority != o.priority:
		return t.priority > o.priority
	case t.unneeded != o.unneeded:
		return t.unneeded
	case t.bytes != o.bytes:
		return t.bytes < o.bytes
	default:
		return t.load < o.load
	}
}

// loadOf returns the reported number of sequences per slot.
func loadOf(u upstream.Upstream) float64 {
	return float64(u.Load.Running+u.Load.Waiting) / float64(max(u.Slots, 1))
}
