// Package planner builds chains of engines that cover every layer of a model
// exactly once, with one version and adapter.
//
//	p := planner.New(roster, models, speeds, clock, planner.WithCounts(&counts))
//	chain, err := p.Plan("ledger", nil)
//
// A chain minimizes the expected time to the next token at the present load. A
// stage may run a part of the layers that its engine holds.
//
// The planner keeps a view of the engines of each model, which it renews after
// the refresh time. Engines with the same layers and similar speeds form a class.
// A plan draws an engine of each class and finds the best chain of these by
// dynamic programming over the boundaries between layer ranges. For each stage of
// it, it draws a second engine of the class and keeps the faster one. Up to
// exactLimit engines, each is a class of its own, and the chain is the best one.
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
	// DefaultRefresh is the age at which a view of the engines is renewed.
	DefaultRefresh = 250 * time.Millisecond
	// renewalShare bounds the share of time that goes into renewals: a view stays
	// for renewalShare times the time that it took to build it, but not longer
	// than maxAge, because a leaving engine has to be noticed within seconds.
	renewalShare = 100
	maxAge       = time.Second
	// suspicion is the time for which a suspect is avoided. It is longer than the
	// time after which an upstream without a confirmation gets no new work.
	suspicion = 5 * time.Second
	// maxSuspects bounds the suspects that are remembered.
	maxSuspects = 64
)

// Models returns a model of the configuration in force.
type Models func(fleet.ModelID) (document.Model, bool)

// Planner implements pipeline.Replanner. It is safe for concurrent use.
type Planner struct {
	roster  upstream.Roster
	models  Models
	speeds  pipeline.Speeds
	clock   fleet.Clock
	counts  *inflight.Counts
	refresh time.Duration
	draw    func(n int) int

	views    board.Shards[fleet.ModelID, *viewCell]
	suspects board.Cell[[]suspect]
	scratch  sync.Pool
}

// viewCell holds the current view of a model; mu is held while it is renewed.
type viewCell struct {
	mu   sync.Mutex
	view board.Cell[view]
}

// Option changes a Planner.
type Option func(*Planner)

// WithCounts sets the counters of the sequences of this instance.
func WithCounts(c *inflight.Counts) Option {
	return func(p *Planner) { p.counts = c }
}

// WithRefresh sets the age at which a view is renewed.
func WithRefresh(d time.Duration) Option {
	return func(p *Planner) { p.refresh = d }
}

// WithDraw sets the source of random numbers in [0, n).
func WithDraw(draw func(n int) int) Option {
	return func(p *Planner) { p.draw = draw }
}

// New returns a Planner over the engines of a roster.
func New(roster upstream.Roster, models Models, speeds pipeline.Speeds, clock fleet.Clock, options ...Option) *Planner {
	p := &Planner{
		roster: roster, models: models, speeds: speeds, clock: clock,
		counts: new(inflight.Counts), refresh: DefaultRefresh, draw: rand.IntN,
	}
	p.scratch.New = func() any { return new(scratch) }
	for _, o := range options {
		o(p)
	}
	return p
}

// Plan implements pipeline.Planner.
func (p *Planner) Plan(model fleet.ModelID, avoid []fleet.UpstreamID) (pipeline.Chain, error) {
	v, err := p.view(model)
	if err != nil {
		return pipeline.Chain{}, err
	}
	lists, count := p.avoided(avoid)
	for _, list := range lists[:count] {
		for i := range v.groups {
			g := &v.groups[i]
			stages, ok := p.cover(g, upstream.LayerRange{From: 0, To: v.layers}, list, 1, nil)
			if ok {
				return pipeline.Chain{Model: model, Version: g.version, Adapter: g.adapter, Stages: stages}, nil
			}
		}
	}
	return pipeline.Chain{}, refusal.New(refusal.NoUpstream, "engines do not cover the %d layers of model %q", v.layers, model)
}

// Replace implements pipeline.Replanner.
func (p *Planner) Replace(c pipeline.Chain, avoid []fleet.UpstreamID, positions int) (pipeline.Chain, error) {
	v, err := p.view(c.Model)
	if err != nil {
		return pipeline.Chain{}, err
	}
	next := c
	next.Stages = nil
	for i := 0; i < len(c.Stages); {
		if !among(c.Stages[i].Upstream.ID, avoid) {
			next.Stages = append(next.Stages, c.Stages[i])
			i++
			continue
		}
		hole := c.Stages[i].Layers
		for ; i < len(c.Stages) && among(c.Stages[i].Upstream.ID, avoid); i++ {
			hole.To = c.Stages[i].Layers.To
		}
		covered := false
		lists, count := p.avoided(avoid)
		for _, list := range lists[:count] {
			g := v.group(c.Version, c.Adapter)
			if g == nil || covered {
				break
			}
			next.Stages, covered = p.cover(g, hole, list, max(positions, 1), next.Stages)
		}
		if !covered {
			return pipeline.Chain{}, refusal.New(refusal.NoUpstream,
				"no engine replaces layers %d:%d of model %q version %q", hole.From, hole.To, c.Model, c.Version)
		}
	}
	return next, nil
}

// Suspect implements pipeline.Suspecter. For some seconds plans use the engine
// only when the others do not cover the layers.
func (p *Planner) Suspect(id fleet.UpstreamID) {
	now := p.clock.Now()
	for {
		old := p.suspects.Load()
		next := []suspect{{id, now.Add(suspicion)}}
		if old != nil {
			for _, s := range *old {
				if s.id != id && s.until.After(now) && len(next) < maxSuspects {
					next = append(next, s)
				}
			}
		}
		if p.suspects.Advance(&next, func(current *[]suspect) bool { return current == old }) {
			return
		}
	}
}

// suspect is an engine that did not answer.
type suspect struct {
	id    fleet.UpstreamID
	until time.Time
}

// avoided returns the lists of engines to avoid that are tried in turn: with the
// suspects first, then without them.
func (p *Planner) avoided(avoid []fleet.UpstreamID) (lists [2][]fleet.UpstreamID, count int) {
	suspects := p.suspects.Load()
	if suspects == nil {
		return [2][]fleet.UpstreamID{avoid}, 1
	}
	now := p.clock.Now()
	all := slices.Clip(avoid)
	for _, s := range *suspects {
		if s.until.After(now) {
			all = append(all, s.id)
		}
	}
	if len(all) == len(avoid) {
		return [2][]fleet.UpstreamID{avoid}, 1
	}
	return [2][]fleet.UpstreamID{all, avoid}, 2
}

// Expected returns the expected time from one token to the next on a chain at
// the present load.
func (p *Planner) Expected(c pipeline.Chain) time.Duration {
	var total float64
	for _, s := range c.Stages {
		m := newMember(s.Upstream, p.speeds, p.counts)
		fixed, layer := m.of(1)
		total += fixed + layer*float64(s.Layers.Len())
	}
	return time.Duration(total)
}

// view returns the current view of a model and renews it when it is too old.
// While one caller renews it, the others use the one before.
func (p *Planner) view(id fleet.ModelID) (*view, error) {
	model, ok := p.models(id)
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
	if v != nil && v.fits(model) && now.Sub(v.built) < max(p.refresh, min(renewalShare*v.took, maxAge)) {
		return v, nil
	}
	if v != nil && v.fits(model) {
		if !cell.mu.TryLock() {
			return v, nil
		}
	} else {
		cell.mu.Lock()
	}
	defer cell.mu.Unlock()
	v = newView(model, p.roster.Usable(model.Pool, now), now, p.speeds, p.counts)
	v.took = p.clock.Now().Sub(now)
	cell.view.Advance(v, func(*view) bool { return true })
	return v, nil
}

func among(id fleet.UpstreamID, list []fleet.UpstreamID) bool {
	for _, x := range list {
		if x == id {
			return true
		}
	}
	return false
}
