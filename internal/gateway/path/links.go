package path

import (
	"math"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/release"
)

const (
	// maxLinkUtilization is the part of a link between data centres that the crossings of
	// all gateways together may use. A link that is used up delays all streams that cross,
	// and they hold memory on every engine of their path in the meantime.
	maxLinkUtilization = 0.5
	// maxCrossingBurst is the time in which a limiter without crossings gains the tokens
	// that it holds at most, unless that is less than one.
	maxCrossingBurst = time.Second
	// crossingIdleTime is the time without a request for a token after which a limiter
	// starts over at a random level. Full limiters of all gateways would let each of them
	// cross at the moment at which layers are lost, and so fill the link for seconds.
	crossingIdleTime = 10 * time.Second
)

// crossingRule determines in which data centres a path may make a crossing, that is,
// continue in another data centre. The zero value allows all.
type crossingRule struct {
	none bool
	// complete holds the data centres that a path does not leave.
	complete map[fleet.DataCentreID]bool
}

func (r *crossingRule) allows(from fleet.DataCentreID) bool {
	return !r.none && (r.complete == nil || !r.complete[from])
}

// crossingRate returns the crossings per second that one gateway of several may make. It
// is infinite if the release does not describe the links.
func crossingRate(m *release.Engine, gateways int) float64 {
	bitsPerPrompt := m.ActivationBytes * 8 * float64(m.MeanPromptTokens)
	if bitsPerPrompt <= 0 || m.LinkMbps <= 0 {
		return math.Inf(1)
	}
	return m.LinkMbps * 1e6 / bitsPerPrompt * maxLinkUtilization / float64(max(1, gateways))
}

// crossingLimiter is a token bucket for crossings. It holds at least one token.
type crossingLimiter struct {
	rate    float64 // tokens per second
	tokens  float64 // negative after crossings of started streams
	updated time.Time
}

// allows reports whether a path may take tokens. A path needs one token, and the others are
// taken in advance. If force is set, it may be used without a token.
func (c *crossingLimiter) allows(force bool, now time.Time, random func() float64) bool {
	if math.IsInf(c.rate, 1) {
		return true
	}
	if d := now.Sub(c.updated); c.updated.IsZero() || d > crossingIdleTime {
		c.tokens = 1 - random()
	} else {
		c.tokens = min(c.capacity(), c.tokens+c.rate*d.Seconds())
	}
	c.updated = now
	return c.tokens >= 1 || force
}

// take takes the tokens for a path with n crossings, which allows has allowed.
func (c *crossingLimiter) take(n int) {
	if math.IsInf(c.rate, 1) {
		return
	}
	// The bound keeps new streams from waiting long after the loss of many engines.
	c.tokens = max(c.tokens-float64(n), -c.capacity())
}

// capacity returns the most tokens that the limiter holds.
func (c *crossingLimiter) capacity() float64 {
	return max(1, c.rate*maxCrossingBurst.Seconds())
}

// countCrossings returns the number of transfers of a path between data centres.
func (p *Planner) countCrossings(hops []Hop) int {
	n := 0
	for i := 1; i < len(hops); i++ {
		if p.byID[hops[i].ID].entry.DataCentre != p.byID[hops[i-1].ID].entry.DataCentre {
			n++
		}
	}
	return n
}

// findWithinCapacity returns the cheapest path within a group that holds all layers. If
// there is no such group, or for a started stream, it returns the cheapest path of all
// usable engines otherwise. That path makes a crossing only if there is none without, and
// not from a data centre that holds all layers. limited reports whether the path takes tokens
// of the limiter of crossings.
func (p *Planner) findWithinCapacity(l Constraints) (hops []Hop, limited bool, err error) {
	now := p.clock.Now()
	p.anticipate(now)
	gs := p.groups(now)
	if hops := p.cheapestGroup(gs, l).hops(); hops != nil {
		return hops, false, nil
	}
	noneComplete := !slices.ContainsFunc(gs, (*group).holdsAllLayers)
	usable, costs := p.usable(p.engines, l)
	if noneComplete || l.Continues {
		if hops := p.search(usable, costs, l.First, crossingRule{none: true}); hops != nil {
			return hops, false, nil
		}
	}
	// Engines that are full, to be avoided or excluded by the constraints still hold their
	// layers.
	complete := make(map[fleet.DataCentreID]bool)
	incomplete := false
	for _, g := range gs {
		complete[g.dataCentre] = complete[g.dataCentre] || g.holdsAllLayers()
		incomplete = incomplete || !g.holdsAllLayers()
	}
	if incomplete {
		hops := p.search(usable, costs, l.First, crossingRule{complete: complete})
		if hops != nil && p.crossings.allows(l.Continues || l.ignoreFull, now, p.random) {
			return hops, true, nil
		}
		if hops != nil && noneComplete {
			return nil, false, refusal.New(refusal.NoUpstream, "no data centre holds all %d layers, and the links between them are used up", p.model.Layers)
		}
	}
	if noneComplete && !total(gs).holdsAllLayers() {
		return nil, false, p.errMissingLayers(len(usable))
	}
	return nil, false, refusal.New(refusal.Overloaded, "%d engines of %d are usable and not full, and do not hold all %d layers",
		len(usable), len(p.engines), p.model.Layers)
}

// cheapestGroup returns the cheapest of the cheapest paths within each group that holds all
// layers, or nil.
func (p *Planner) cheapestGroup(gs []*group, l Constraints) *partialPath {
	var best *partialPath
	for _, g := range gs {
		if !g.holdsAllLayers() {
			continue
		}
		es, costs := p.usable(g.engines, l)
		s := p.cheapest(p.dataCentre, es, costs, l.First, crossingRule{none: true})
		if s != nil && (best == nil || s.cost < best.cost) {
			best = s
		}
	}
	return best
}
