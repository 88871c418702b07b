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

// take takes the tokens for a path with n crossings and reports whether it may be used.
// A path needs one token, and the others are taken in advance. If force is set, it may be
// used without a token.
func (c *crossingLimiter) take(n int, force bool, now time.Time, random func() float64) bool {
	if math.IsInf(c.rate, 1) {
		return true
	}
	capacity := max(1, c.rate*maxCrossingBurst.Seconds())
	if d := now.Sub(c.updated); c.updated.IsZero() || d > crossingIdleTime {
		c.tokens = 1 - random()
	} else {
		c.tokens = min(capacity, c.tokens+c.rate*d.Seconds())
	}
	c.updated = now
	if c.tokens < 1 && !force {
		return false
	}
	// The bound keeps new streams from waiting long after the loss of many engines.
	c.tokens = max(c.tokens-float64(n), -capacity)
	return true
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

// chooseWithinCapacity returns the cheapest path within a group that holds all layers. If
// there is no such group, or for a started stream, it returns the cheapest path of all
// usable engines otherwise. That path makes a crossing only if there is none without, and
// not from a data centre that holds all layers.
func (p *Planner) chooseWithinCapacity(l Constraints) ([]Hop, error) {
	now := p.clock.Now()
	p.anticipate(now)
	gs := p.groups(now)
	if hops := p.cheapestGroup(gs, l).hops(); hops != nil {
		return hops, nil
	}
	noneComplete := !slices.ContainsFunc(gs, (*group).holdsAllLayers)
	usable, costs := p.usable(p.engines, l)
	if noneComplete || l.Continues {
		if hops := p.search(usable, costs, l.First, crossingRule{none: true}); hops != nil {
			return hops, nil
		}
	}
	// Engines that are full or to be avoided still hold their layers.
	complete := make(map[fleet.DataCentreID]bool)
	incomplete := false
	for _, g := range gs {
		complete[g.dataCentre] = complete[g.dataCentre] || g.holdsAllLayers()
		incomplete = incomplete || !g.holdsAllLayers()
	}
	if incomplete {
		hops := p.search(usable, costs, l.First, crossingRule{complete: complete})
		if hops != nil && p.crossings.take(p.countCrossings(hops), l.Continues, now, p.random) {
			return hops, nil
		}
		if hops != nil && noneComplete {
			return nil, refusal.New(refusal.NoUpstream, "no data centre holds all %d layers, and the links between them are used up", p.model.Layers)
		}
	}
	if noneComplete && !total(gs).holdsAllLayers() {
		return nil, p.errMissingLayers(len(usable))
	}
	return nil, refusal.New(refusal.Overloaded, "%d engines of %d are usable and not full, and do not hold all %d layers",
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
