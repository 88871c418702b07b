// Package pool selects the upstream for each request to a pool and tracks the
// health, load and speed of the upstreams from the outcomes.
//
// A controller calls Refresh with the usable upstreams a few times per second.
// Callers pick an upstream, send the request, and report the result:
//
//	p := pool.New(clock, scoring.Policy{})
//	p.Refresh(roster.Usable(id, clock.Now()), peers)
//	lease, err := p.Pick(pool.Request{Work: 1})
//	if err != nil {
//		return err // of kind refusal.NoUpstream, nothing was sent
//	}
//	err = call(lease.Upstream())
//	lease.Done(pool.Succeeded)
//
// Pick takes no lock that is shared by all callers and considers a bounded number
// of candidates, so its cost does not grow with the size of the pool.
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
	// sampleSize is the number of candidates drawn from a large pool.
	sampleSize = 8
	// maxCandidates is the capacity for the sample and for upstreams that hold the
	// prefix in their cache.
	maxCandidates = sampleSize + affinity.MaxHolders
	// drawsPerCandidate bounds the number of draws, because a draw may return a
	// candidate that was drawn before.
	drawsPerCandidate = 3
	// maxScan bounds the linear search for an upstream after all draws failed.
	// Refresh leaves out upstreams without a recent heartbeat, and ejected ones
	// are not drawn, so longer searches would only occur between two calls of
	// Refresh.
	maxScan = 128
	// heartbeatTimeout is the maximum age of the last heartbeat of an upstream
	// that gets new requests. Pick checks it too, in case Refresh is late.
	heartbeatTimeout = 3 * time.Second
	// maxSampleAge is the age of the last sample from which an estimate moves back
	// towards that of its accelerator kind. With 15 instances and 40 upstreams, an
	// instance sends a request to a given upstream about every 3 s; an estimate
	// that relaxed in between would never differ much from that of its kind.
	maxSampleAge = 10 * time.Second
	// unreachableExclusion is the time for which an upstream that could not be
	// reached is skipped if there are others.
	unreachableExclusion = time.Second
	// maxReportAge is the maximum age of a report that is included in Load.
	maxReportAge = 5 * time.Second
)

// Request describes a request that needs an upstream.
type Request struct {
	// Work is the expected cost of the request in a unit that is the same for the
	// whole pool, such as tokens. Zero means 1.
	Work float64
	// Prefix holds the chained hashes of the blocks of the prompt, in order. It may
	// be empty.
	Prefix []uint64
	// Exclude lists upstreams that must not be selected, such as those already tried.
	Exclude []fleet.UpstreamID
	// Eligible lists the upstreams that can serve the request, such as those that
	// hold a range of layers. Empty means all upstreams of the pool.
	Eligible []fleet.UpstreamID
	// Share, if not nil, returns the share of its usual requests that an upstream may get,
	// from 0 to 1. An upstream with a share of 0 is not selected. A share between 0 and 1
	// scales its health, so it is still selected if no other upstream qualifies.
	Share func(id fleet.UpstreamID, n fleet.Incarnation) float64
	// Explain, if not nil, is set to a description of the decision.
	Explain *Explanation
}

// Pool selects among the upstreams of one pool. It is safe for concurrent use.
type Pool struct {
	clock    fleet.Clock
	chooser  routing.Chooser
	draw     func() uint64
	start    time.Time
	prefixes affinity.Table

	members       atomic.Pointer[memberSet]
	counterShards [counterShardCount]counterShard
	scratch       sync.Pool

	refreshMu     sync.Mutex // serializes Refresh
	refreshedAt   time.Time
	kindEstimates map[string]*speed.Estimate
	joinCount     uint64
}

// Option configures a Pool.
type Option func(*Pool)

// WithRandom sets the source of random numbers. The default is math/rand/v2.
func WithRandom(draw func() uint64) Option {
	return func(p *Pool) { p.draw = draw }
}

// New returns a Pool without upstreams.
func New(clock fleet.Clock, chooser routing.Chooser, options ...Option) *Pool {
	p := &Pool{
		clock:         clock,
		chooser:       chooser,
		draw:          rand.Uint64,
		start:         clock.Now(),
		kindEstimates: make(map[string]*speed.Estimate),
	}
	p.members.Store(&memberSet{})
	p.scratch.New = func() any { return new(scratch) }
	for _, o := range options {
		o(p)
	}
	return p
}

// Refresh replaces the set of usable upstreams. peers is the number of other
// instances that choose among the same upstreams. The state of an upstream is kept
// as long as its incarnation stays the same.
func (p *Pool) Refresh(usable []upstream.Upstream, peers int) {
	p.refreshMu.Lock()
	defer p.refreshMu.Unlock()
	now := p.clock.Now()
	old := p.members.Load()
	next := &memberSet{
		all:   make([]*member, 0, len(usable)),
		byID:  make(map[fleet.UpstreamID]*member, len(usable)),
		peers: peers,
	}
	for i := range usable {
		m := p.memberFor(old, &usable[i], now)
		m.update(&usable[i], p.offset(usable[i].LastHeartbeat), now)
		next.all = append(next.all, m)
		next.byID[m.id] = m
	}
	p.relaxEstimates(next, now)
	next.updateHealth(now)
	next.computeWeights(p.offset(now))
	p.invalidateRemoved(old, next)
	p.refreshedAt = now
	p.members.Store(next)
}

// Pick selects an upstream for a request. Any error is of kind refusal.NoUpstream.
// The caller must call Done of the Lease exactly once.
func (p *Pool) Pick(r Request) (Lease, error) {
	now := p.clock.Now()
	set := p.members.Load()
	s := p.scratch.Get().(*scratch)
	defer p.scratch.Put(s)
	s.reset()
	p.collectCandidates(s, set, &r, now)
	choice := p.chooser.Choose(s.candidates[:s.count])
	if r.Explain != nil {
		r.Explain.record(s, choice)
	}
	if choice.Index < 0 {
		return Lease{}, refusal.New(refusal.NoUpstream, "no usable upstream in a pool of %d", len(set.all))
	}
	m := s.candidateMembers[choice.Index]
	m.begin(p.offset(now))
	if len(r.Prefix) > 0 {
		p.prefixes.RecordUse(m.prefixCache, r.Prefix, p.offset(now))
	}
	return Lease{
		pool:      p,
		member:    m,
		startedAt: now,
		work:      workUnits(r.Work),
		slowdown:  scoring.Slowdown(&s.candidates[choice.Index]),
		expected:  choice.Expected,
	}, nil
}

// Apply applies a cache event of an engine. Events of unknown upstreams are ignored.
func (p *Pool) Apply(e affinity.Event) {
	m := p.members.Load().byID[e.Upstream]
	if m == nil {
		return
	}
	p.prefixes.Apply(m.prefixCache, e, p.offset(p.clock.Now()))
}

// SetLinkDelay sets the measured one-way network delay to an upstream.
func (p *Pool) SetLinkDelay(id fleet.UpstreamID, oneWay time.Duration) {
	m := p.members.Load().byID[id]
	if m == nil {
		return
	}
	m.linkDelay.Store(int64(oneWay))
}

// InFlight returns the number of requests of this instance in progress on an
// upstream.
func (p *Pool) InFlight(id fleet.UpstreamID) int {
	m := p.members.Load().byID[id]
	if m == nil {
		return 0
	}
	return int(m.inFlight.Load())
}

// Load returns the load of the pool as of the last Refresh.
func (p *Pool) Load() Load { return p.members.Load().load }

func (p *Pool) collectCandidates(s *scratch, set *memberSet, r *Request, now time.Time) {
	if len(r.Eligible) > 0 {
		p.considerEligible(s, set, r, now)
		return
	}
	if len(set.all) <= sampleSize {
		for _, m := range set.all {
			p.consider(s, set, m, r, now)
		}
	} else {
		p.considerSample(s, set, r, now)
	}
	p.considerHolders(s, set, r, now)
	if s.count > 0 {
		return
	}
	p.scanForCandidate(s, set, r, now)
}

// considerEligible considers the upstreams of r.Eligible, starting at a random
// position. If none qualifies, it adds the first with a recent heartbeat that is not
// in r.Exclude and has a share, whatever its health.
func (p *Pool) considerEligible(s *scratch, set *memberSet, r *Request, now time.Time) {
	first := int(p.draw() % uint64(len(r.Eligible)))
	length := min(len(r.Eligible), maxScan)
	for i := range length {
		if s.count == sampleSize {
			return
		}
		if m := set.byID[r.Eligible[(first+i)%len(r.Eligible)]]; m != nil {
			p.consider(s, set, m, r, now)
		}
	}
	if s.count > 0 {
		return
	}
	for i := range length {
		m := set.byID[r.Eligible[(first+i)%len(r.Eligible)]]
		if m != nil && p.hasRecentHeartbeat(m, now) && !containsID(r.Exclude, m.id) && r.share(m) > 0 {
			s.add(m, m.candidate(set, r, m.health(), p.offset(now)))
			return
		}
	}
}

// scanForCandidate adds the first member that qualifies, starting at a random
// position. It is used after all draws failed. If no member qualifies, it adds the
// first with a recent heartbeat that is not in r.Exclude and has a share, whatever its
// health.
func (p *Pool) scanForCandidate(s *scratch, set *memberSet, r *Request, now time.Time) {
	first := int(p.draw() % uint64(max(len(set.all), 1)))
	length := min(len(set.all), maxScan)
	for i := range length {
		p.consider(s, set, set.all[(first+i)%len(set.all)], r, now)
		if s.count > 0 {
			return
		}
	}
	for i := range length {
		m := set.all[(first+i)%len(set.all)]
		if p.hasRecentHeartbeat(m, now) && !containsID(r.Exclude, m.id) && r.share(m) > 0 {
			s.add(m, m.candidate(set, r, m.health(), p.offset(now)))
			return
		}
	}
}

// considerSample considers up to sampleSize distinct members drawn by weight.
func (p *Pool) considerSample(s *scratch, set *memberSet, r *Request, now time.Time) {
	for range sampleSize * drawsPerCandidate {
		if s.count == sampleSize {
			return
		}
		p.consider(s, set, set.draw(p.draw()), r, now)
	}
}

// consider adds m to the candidates if it may get the request. A member with a
// health below 1 is added with a probability equal to its health.
func (p *Pool) consider(s *scratch, set *memberSet, m *member, r *Request, now time.Time) {
	if s.contains(m) || containsID(r.Exclude, m.id) || !p.hasRecentHeartbeat(m, now) {
		return
	}
	if p.offset(now) < m.excludedUntil.Load() {
		return
	}
	share := r.share(m)
	if share <= 0 {
		return
	}
	health := m.health() * share
	if health < 1 && health*math.MaxUint32 < float64(uint32(p.draw())) {
		return
	}
	s.add(m, m.candidate(set, r, health, p.offset(now)))
}

// share returns the share of its usual requests that m may get.
func (r *Request) share(m *member) float64 {
	if r.Share == nil {
		return 1
	}
	return r.Share(m.id, m.incarnation)
}

func (p *Pool) hasRecentHeartbeat(m *member, now time.Time) bool {
	return p.offset(now)-m.lastHeartbeat.Load() <= int64(heartbeatTimeout)
}

// considerHolders considers the members that probably hold a part of the prefix in
// their cache.
func (p *Pool) considerHolders(s *scratch, set *memberSet, r *Request, now time.Time) {
	if len(r.Prefix) == 0 {
		return
	}
	var found [affinity.MaxHolders]affinity.Holder
	for _, h := range found[:p.prefixes.Find(r.Prefix, p.offset(now), &found)] {
		m := set.byID[h.Cache.ID()]
		if m == nil || m.prefixCache != h.Cache {
			continue
		}
		p.consider(s, set, m, r, now)
		if i := s.index(m); i >= 0 {
			s.candidates[i].CachedShare = h.Share
		}
	}
}

// offset returns the time from the creation of the pool to t in nanoseconds.
func (p *Pool) offset(t time.Time) int64 { return int64(t.Sub(p.start)) }

func workUnits(work float64) float64 {
	if work <= 0 {
		return 1
	}
	return work
}

func containsID(ids []fleet.UpstreamID, id fleet.UpstreamID) bool {
	for _, other := range ids {
		if other == id {
			return true
		}
	}
	return false
}

// memberFor returns the existing member for u if its incarnation is the same, or a
// new one.
func (p *Pool) memberFor(old *memberSet, u *upstream.Upstream, now time.Time) *member {
	m := old.byID[u.ID]
	if m != nil && m.incarnation == u.Incarnation {
		return m
	}
	kind := p.kindEstimates[u.Accelerator]
	if kind == nil {
		kind = new(speed.Estimate)
		p.kindEstimates[u.Accelerator] = kind
	}
	m = newMember(u, kind, &p.counterShards[p.joinCount%counterShardCount])
	p.joinCount++
	if len(old.all) > 0 {
		m.ejection.RecordJoin(now)
	}
	return m
}

// relaxEstimates moves the estimates of members without recent samples towards those
// of their accelerator kind.
func (p *Pool) relaxEstimates(set *memberSet, now time.Time) {
	idle := now.Sub(p.refreshedAt)
	if p.refreshedAt.IsZero() {
		return
	}
	for _, m := range set.all {
		if p.offset(now)-m.sampledAt.Load() < int64(maxSampleAge) {
			continue
		}
		m.estimate.Relax(m.kindEstimate.Value(), idle)
	}
}

// invalidateRemoved invalidates the prefix cache entries of removed members.
func (p *Pool) invalidateRemoved(old, next *memberSet) {
	for _, m := range old.all {
		if next.byID[m.id] != m {
			m.prefixCache.Invalidate()
		}
	}
}
