// Package planner builds chains of engines that cover every layer of a model
// exactly once, with one version and adapter.
//
//	p := planner.New(roster, models, speeds, clock, planner.WithCounts(&counts))
//	chain, err := p.Plan("ledger", nil)
//
// A chain minimizes the expected time to the next token at the current load. A
// stage may run a part of the layers that its engine holds.
//
// The planner keeps a view of the engines of each model, which it rebuilds after
// the refresh interval. Engines with the same layers and similar speeds form a
// class. A plan picks a random engine of each class and finds the best chain of
// these by dynamic programming over the boundaries between layer ranges. For each
// stage of that chain, it picks a second engine of the class and keeps the faster
// one. With up to maxExactEngines engines, each is a class of its own, and the
// chain is optimal.
package planner

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/board"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/inflight"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// DefaultRefreshInterval is the age at which a view of the engines is rebuilt.
	DefaultRefreshInterval = 250 * time.Millisecond
	// refreshCostFactor limits the share of time spent on rebuilding views: a view is
	// used for refreshCostFactor times its build duration, but not longer than
	// maxViewAge, because a leaving engine has to be noticed within seconds.
	refreshCostFactor = 100
	maxViewAge        = time.Second
	// suspectExclusion is the time for which a suspect is excluded. It is longer
	// than the heartbeat timeout, after which an upstream gets no new work anyway.
	suspectExclusion = 5 * time.Second
	maxSuspects      = 64
)

// ModelLookup returns a model of the active configuration.
type ModelLookup func(fleet.ModelID) (document.Model, bool)

// Planner implements pipeline.Replanner. It is safe for concurrent use.
type Planner struct {
	roster          upstream.Roster
	lookupModel     ModelLookup
	speeds          pipeline.SpeedEstimator
	clock           fleet.Clock
	counts          *inflight.Counts
	refreshInterval time.Duration
	randIntN        func(n int) int

	views    board.ShardedMap[fleet.ModelID, *viewCell]
	suspects board.Cell[[]suspect]
	scratch  sync.Pool
}

// viewCell holds the current view of a model. It is rebuilt under mu.
type viewCell struct {
	mu   sync.Mutex
	view board.Cell[view]
}

// Option configures a Planner.
type Option func(*Planner)

// WithCounts sets the counters of the sequences that this instance runs on each
// upstream.
func WithCounts(c *inflight.Counts) Option {
	return func(p *Planner) { p.counts = c }
}

// WithRefreshInterval sets the age at which a view is rebuilt.
func WithRefreshInterval(d time.Duration) Option {
	return func(p *Planner) { p.refreshInterval = d }
}

// WithRandIntN sets the function that returns a random number in [0, n). The
// default is rand.IntN.
func WithRandIntN(randIntN func(n int) int) Option {
	return func(p *Planner) { p.randIntN = randIntN }
}

// New returns a Planner for the engines of a roster.
func New(roster upstream.Roster, lookupModel ModelLookup, speeds pipeline.SpeedEstimator, clock fleet.Clock, options ...Option) *Planner {
	p := &Planner{
		roster: roster, lookupModel: lookupModel, speeds: speeds, clock: clock,
		counts: new(inflight.Counts), refreshInterval: DefaultRefreshInterval, randIntN: rand.IntN,
	}
	p.scratch.New = func() any { return new(scratch) }
	for _, o := range options {
		o(p)
	}
	return p
}

// Plan implements pipeline.Planner.
func (p *Planner) Plan(model fleet.ModelID, exclude []fleet.UpstreamID) (pipeline.Chain, error) {
	v, err := p.view(model)
	if err != nil {
		return pipeline.Chain{}, err
	}
	passes, count := p.exclusionPasses(exclude)
	for _, excluded := range passes[:count] {
		for i := range v.groups {
			g := &v.groups[i]
			stages, ok := p.cover(g, upstream.LayerRange{From: 0, To: v.layers}, excluded, 1, nil)
			if ok {
				return pipeline.Chain{Model: model, Version: g.version, Adapter: g.adapter, Stages: stages}, nil
			}
		}
	}
	return pipeline.Chain{}, refusal.New(refusal.NoUpstream, "engines do not cover the %d layers of model %q", v.layers, model)
}

// Replace implements pipeline.Replanner.
func (p *Planner) Replace(c pipeline.Chain, exclude []fleet.UpstreamID, positions int) (pipeline.Chain, error) {
	v, err := p.view(c.Model)
	if err != nil {
		return pipeline.Chain{}, err
	}
	next := c
	next.Stages = nil
	for i := 0; i < len(c.Stages); {
		if !inList(c.Stages[i].Upstream.ID, exclude) {
			next.Stages = append(next.Stages, c.Stages[i])
			i++
			continue
		}
		gap := c.Stages[i].Layers
		for ; i < len(c.Stages) && inList(c.Stages[i].Upstream.ID, exclude); i++ {
			gap.To = c.Stages[i].Layers.To
		}
		covered := false
		passes, count := p.exclusionPasses(exclude)
		for _, excluded := range passes[:count] {
			g := v.group(c.Version, c.Adapter)
			if g == nil || covered {
				break
			}
			next.Stages, covered = p.cover(g, gap, excluded, max(positions, 1), next.Stages)
		}
		if !covered {
			return pipeline.Chain{}, refusal.New(refusal.NoUpstream,
				"no engine replaces layers %d:%d of model %q version %q", gap.From, gap.To, c.Model, c.Version)
		}
	}
	return next, nil
}

// Suspect implements pipeline.Suspecter. During suspectExclusion, plans use the
// engine only when the others do not cover the layers.
func (p *Planner) Suspect(id fleet.UpstreamID) {
	now := p.clock.Now()
	for {
		old := p.suspects.Load()
		next := []suspect{{id, now.Add(suspectExclusion)}}
		if old != nil {
			for _, s := range *old {
				if s.id != id && s.excludedUntil.After(now) && len(next) < maxSuspects {
					next = append(next, s)
				}
			}
		}
		if p.suspects.StoreIf(&next, func(current *[]suspect) bool { return current == old }) {
			return
		}
	}
}

// suspect is an engine that did not respond.
type suspect struct {
	id            fleet.UpstreamID
	excludedUntil time.Time
}

// exclusionPasses returns the lists of excluded engines that are tried in turn:
// first the given ones with the suspects, then the given ones alone.
func (p *Planner) exclusionPasses(exclude []fleet.UpstreamID) (passes [2][]fleet.UpstreamID, count int) {
	suspects := p.suspects.Load()
	if suspects == nil {
		return [2][]fleet.UpstreamID{exclude}, 1
	}
	now := p.clock.Now()
	all := slices.Clip(exclude)
	for _, s := range *suspects {
		if s.excludedUntil.After(now) {
			all = append(all, s.id)
		}
	}
	if len(all) == len(exclude) {
		return [2][]fleet.UpstreamID{exclude}, 1
	}
	return [2][]fleet.UpstreamID{all, exclude}, 2
}

// ExpectedTokenTime returns the expected time from one token to the next on a
// chain at the current load.
func (p *Planner) ExpectedTokenTime(c pipeline.Chain) time.Duration {
	var total float64
	for _, s := range c.Stages {
		m := newCandidate(s.Upstream, p.speeds, p.counts)
		fixed, layer := m.estimate(1)
		total += fixed + layer*float64(s.Layers.Len())
	}
	return time.Duration(total)
}

// view returns the view of a model and rebuilds it when it is too old. While one
// caller rebuilds it, the others use the previous one. They wait for the new one
// only when the previous one is missing or was built for another definition of the
// model.
func (p *Planner) view(id fleet.ModelID) (*view, error) {
	model, ok := p.lookupModel(id)
	if !ok {
		return nil, refusal.New(refusal.NotFound, "model %q does not exist", id)
	}
	cell, ok := p.views.Get(id)
	if !ok {
		p.views.Update(id, func(old *viewCell, ok bool) (*viewCell, bool) {
			cell = old
			if !ok {
				cell = new(viewCell)
			}
			return cell, true
		})
	}
	now := p.clock.Now()
	v := cell.view.Load()
	if v != nil && v.builtFor(model) && now.Sub(v.builtAt) < max(p.refreshInterval, min(refreshCostFactor*v.buildDuration, maxViewAge)) {
		return v, nil
	}
	if v != nil && v.builtFor(model) {
		if !cell.mu.TryLock() {
			return v, nil
		}
	} else {
		cell.mu.Lock()
	}
	defer cell.mu.Unlock()
	v = newView(model, p.roster.Usable(model.Pool, now), now, p.speeds, p.counts)
	v.buildDuration = p.clock.Now().Sub(now)
	cell.view.StoreIf(v, func(*view) bool { return true })
	return v, nil
}

func inList(id fleet.UpstreamID, list []fleet.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
