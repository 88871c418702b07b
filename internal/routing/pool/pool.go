// Package pool chooses the upstream for each piece of work of one pool and learns
// from how the work ended.
//
// A controller hands over the usable upstreams a few times a second. Callers
// pick an upstream, do the work, and report the result:
//
//	p := pool.New(clock, scoring.Policy{})
//	p.Refresh(roster.Usable(id, clock.Now()), peers)
//	lease, err := p.Pick(pool.Ask{Work: 1})
//	if err != nil {
//		return err // of kind refusal.NoUpstream, nothing was sent
//	}
//	err = call(lease.Upstream())
//	lease.Done(pool.Succeeded)
//
// Pick takes no lock that is shared by all callers and weighs a bounded number
// of candidates, so its cost does not grow with the pool.
package pool

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/routing"
	"github.com/bilberryrock/bilberryrock/internal/routing/affinity"
	"github.com/bilberryrock/bilberryrock/internal/routing/scoring"
	"github.com/bilberryrock/bilberryrock/internal/routing/speed"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// sampleSize is the number of candidates that are drawn from a large pool.
	sampleSize = 8
	// maxCandidates leaves room for holders of the cached prefix.
	maxCandidates = sampleSize + affinity.MaxHolders
	// drawFactor bounds the draws, because a draw may repeat a candidate.
	drawFactor = 3
	// scanSize bounds the search for an upstream when the draws met none. Refresh
	// leaves out upstreams without a recent confirmation and those out of use are
	// not drawn, so longer searches only happen between two calls of Refresh.
	scanSize = 128
	// confirmationLimit is the age of the last confirmation at which an upstream
	// gets no new work, even when Refresh is late.
	confirmationLimit = 3 * time.Second
	// staleSample is the age of the last sample from which on a speed relaxes. An
	// instance of 15 sends work to one of 40 upstreams every 3 s or so, and a
	// speed that relaxed in between would never get far from its kind.
	staleSample = 10 * time.Second
	// unreachableHold is the time for which an upstream that could not be
	// reached is passed over while there are others.
	unreachableHold = time.Second
	// recentReport is the age up to which a report is part of Load.
	recentReport = 5 * time.Second
)

// Ask describes the work that needs an upstream.
type Ask struct {
	// Work is the expected size of the work in units of the pool, such as
	// tokens. Zero stands for 1.
	Work float64
	// Prefix holds the chained hashes of the blocks of the prompt, the first
	// block first. It may be empty.
	Prefix []uint64
	// Avoid lists upstreams that were tried already.
	Avoid []fleet.UpstreamID
	// Only lists the upstreams that can do the work, such as the holders of a
	// range of layers. Empty stands for all of the pool.
	Only []fleet.UpstreamID
	// Explain is filled with the decision when it is not nil.
	Explain *Explanation
}

// Pool chooses among the upstreams of one pool. It is safe for concurrent use.
type Pool struct {
	clock   fleet.Clock
	chooser routing.Chooser
	draw    func() uint64
	start   time.Time
	prefix  affinity.Table

	members atomic.Pointer[members]
	tallies [tallyCount]tally
	scratch sync.Pool

	refresh   sync.Mutex // serialises Refresh
	refreshed time.Time
	kinds     map[string]*speed.Estimate
	joined    uint64
}

// Option changes a Pool.
type Option func(*Pool)

// WithRandom sets the source of randomness. The default is math/rand/v2.
func WithRandom(draw func() uint64) Option {
	return func(p *Pool) { p.draw = draw }
}

// New returns a Pool without upstreams.
func New(clock fleet.Clock, chooser routing.Chooser, options ...Option) *Pool {
	p := &Pool{
		clock:   clock,
		chooser: chooser,
		draw:    rand.Uint64,
		start:   clock.Now(),
		kinds:   make(map[string]*speed.Estimate),
	}
	p.members.Store(&members{})
	p.scratch.New = func() any { return new(scratch) }
	for _, o := range options {
		o(p)
	}
	return p
}

// Refresh replaces the usable upstreams. peers is the number of other instances
// that choose among the same upstreams. What was learned about an upstream
// stays as long as its incarnation does.
func (p *Pool) Refresh(usable []upstream.Upstream, peers int) {
	p.refresh.Lock()
	defer p.refresh.Unlock()
	now := p.clock.Now()
	old := p.members.Load()
	next := &members{
		nodes: make([]*node, 0, len(usable)),
		byID:  make(map[fleet.UpstreamID]*node, len(usable)),
		peers: peers,
	}
	for i := range usable {
		n := p.keep(old, &usable[i], now)
		n.take(&usable[i], p.offset(usable[i].Confirmed), now)
		next.nodes = append(next.nodes, n)
		next.byID[n.id] = n
	}
	p.relax(next, now)
	next.updateHealth(now)
	next.weigh(p.offset(now))
	p.retire(old, next)
	p.refreshed = now
	p.members.Store(next)
}

// Pick chooses an upstream. The error is of kind refusal.NoUpstream. Done of
// the Lease must be called exactly once.
func (p *Pool) Pick(a Ask) (Lease, error) {
	now := p.clock.Now()
	m := p.members.Load()
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	s.reset()
	p.collect(s, m, &a, now)
	choice := p.chooser.Choose(s.candidates[:s.count])
	if a.Explain != nil {
		a.Explain.fill(s, choice)
	}
	if choice.Index < 0 {
		return Lease{}, refusal.New(refusal.NoUpstream, "no usable upstream in a pool of %d", len(m.nodes))
	}
	n := s.nodes[choice.Index]
	n.begin(p.offset(now))
	if len(a.Prefix) > 0 {
		p.prefix.Note(n.cache, a.Prefix, p.offset(now))
	}
	return Lease{
		pool:     p,
		node:     n,
		began:    now,
		work:     units(a.Work),
		slowdown: scoring.Slowdown(&s.candidates[choice.Index]),
		expected: choice.Expected,
	}, nil
}

// Apply takes over a cache event of an engine.
func (p *Pool) Apply(e affinity.Event) {
	n := p.members.Load().byID[e.Upstream]
	if n == nil {
		return
	}
	p.prefix.Apply(n.cache, e, p.offset(p.clock.Now()))
}

// SetLink sets the measured one-way delay to an upstream.
func (p *Pool) SetLink(id fleet.UpstreamID, oneWay time.Duration) {
	n := p.members.Load().byID[id]
	if n == nil {
		return
	}
	n.link.Store(int64(oneWay))
}

// InFlight returns the work of this instance on an upstream.
func (p *Pool) InFlight(id fleet.UpstreamID) int {
	n := p.members.Load().byID[id]
	if n == nil {
		return 0
	}
	return int(n.inFlight.Load())
}

// Load returns what the last Refresh knew of the pool as a whole.
func (p *Pool) Load() Load { return p.members.Load().load }

func (p *Pool) collect(s *scratch, m *members, a *Ask, now time.Time) {
	if len(a.Only) > 0 {
		p.offerOnly(s, m, a, now)
		return
	}
	if len(m.nodes) <= sampleSize {
		for _, n := range m.nodes {
			p.offer(s, m, n, a, now)
		}
	} else {
		p.sample(s, m, a, now)
	}
	p.offerHolders(s, m, a, now)
	if s.count > 0 {
		return
	}
	p.scan(s, m, a, now)
}

// offerOnly offers listed upstreams, from a random place in the list on.
func (p *Pool) offerOnly(s *scratch, m *members, a *Ask, now time.Time) {
	from := int(p.draw() % uint64(len(a.Only)))
	length := min(len(a.Only), scanSize)
	for i := range length {
		if s.count == sampleSize {
			return
		}
		if n := m.byID[a.Only[(from+i)%len(a.Only)]]; n != nil {
			p.offer(s, m, n, a, now)
		}
	}
	if s.count > 0 {
		return
	}
	for i := range length {
		n := m.byID[a.Only[(from+i)%len(a.Only)]]
		if n != nil && p.confirmed(n, now) && !avoided(a.Avoid, n.id) {
			s.add(n, n.candidate(m, a, n.health(), p.offset(now)))
			return
		}
	}
}

// scan offers the first usable node from a random place on, for when the draws
// met none. When none is sound it offers one that is out of use.
func (p *Pool) scan(s *scratch, m *members, a *Ask, now time.Time) {
	from := int(p.draw() % uint64(max(len(m.nodes), 1)))
	length := min(len(m.nodes), scanSize)
	for i := range length {
		p.offer(s, m, m.nodes[(from+i)%len(m.nodes)], a, now)
		if s.count > 0 {
			return
		}
	}
	for i := range length {
		n := m.nodes[(from+i)%len(m.nodes)]
		if p.confirmed(n, now) && !avoided(a.Avoid, n.id) {
			s.add(n, n.candidate(m, a, n.health(), p.offset(now)))
			return
		}
	}
}

func (p *Pool) sample(s *scratch, m *members, a *Ask, now time.Time) {
	for range sampleSize * drawFactor {
		if s.count == sampleSize {
			return
		}
		p.offer(s, m, m.draw(p.draw()), a, now)
	}
}

// offer adds n to the candidates when it may get the work.
func (p *Pool) offer(s *scratch, m *members, n *node, a *Ask, now time.Time) {
	if s.has(n) || avoided(a.Avoid, n.id) || !p.confirmed(n, now) {
		return
	}
	if p.offset(now) < n.unreachable.Load() {
		return
	}
	health := n.health()
	if health < 1 && health*math.MaxUint32 < float64(uint32(p.draw())) {
		return
	}
	s.add(n, n.candidate(m, a, health, p.offset(now)))
}

func (p *Pool) confirmed(n *node, now time.Time) bool {
	return p.offset(now)-n.confirmed.Load() <= int64(confirmationLimit)
}

func (p *Pool) offerHolders(s *scratch, m *members, a *Ask, now time.Time) {
	if len(a.Prefix) == 0 {
		return
	}
	var found [affinity.MaxHolders]affinity.Holder
	for _, h := range found[:p.prefix.Find(a.Prefix, p.offset(now), &found)] {
		n := m.byID[h.Source.ID()]
		if n == nil || n.cache != h.Source {
			continue
		}
		p.offer(s, m, n, a, now)
		if i := s.find(n); i >= 0 {
			s.candidates[i].CachedShare = h.Share
		}
	}
}

func (p *Pool) offset(t time.Time) int64 { return int64(t.Sub(p.start)) }

func units(work float64) float64 {
	if work <= 0 {
		return 1
	}
	return work
}

func avoided(avoid []fleet.UpstreamID, id fleet.UpstreamID) bool {
	for _, a := range avoid {
		if a == id {
			return true
		}
	}
	return false
}

func (p *Pool) keep(old *members, u *upstream.Upstream, now time.Time) *node {
	n := old.byID[u.ID]
	if n != nil && n.incarnation == u.Incarnation {
		return n
	}
	kind := p.kinds[u.Accelerator]
	if kind == nil {
		kind = new(speed.Estimate)
		p.kinds[u.Accelerator] = kind
	}
	n = newNode(u, kind, &p.tallies[p.joined%tallyCount])
	p.joined++
	if len(old.nodes) > 0 {
		n.ejection.Join(now)
	}
	return n
}

// relax moves the speeds of upstreams without recent samples towards their kind.
func (p *Pool) relax(m *members, now time.Time) {
	idle := now.Sub(p.refreshed)
	if p.refreshed.IsZero() {
		return
	}
	for _, n := range m.nodes {
		if p.offset(now)-n.sampledAt.Load() < int64(staleSample) {
			continue
		}
		n.service.Relax(n.kind.Value(), idle)
	}
}

// retire forgets the caches of upstreams that are gone.
func (p *Pool) retire(old, next *members) {
	for _, n := range old.nodes {
		if next.byID[n.id] != n {
			n.cache.Release()
		}
	}
}
