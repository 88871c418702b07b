// Package placer assigns layers to engines: while this instance leads the group, it
// reconciles the engines with the plan of package cover by sending them orders.
//
// An order carries the leader's term as its fence and, as a precondition, the number
// of orders that the engine has accepted, so that a delayed order has no effect.
package placer

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/placement"
	"github.com/bilberryrock/bilberryrock/internal/placement/cover"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"go.uber.org/zap"
)

const (
	// reconcileInterval is the time between two passes over the upstream registry.
	reconcileInterval = 150 * time.Millisecond
	// settleDelay is how long a new leader waits for its registry to be complete. It
	// covers one heartbeat of each upstream.
	settleDelay = 1500 * time.Millisecond
	// initialSettleDelay is the settle delay of a new fleet. The first plan should
	// include all engines; their starts are spread over about a second, and they send
	// a heartbeat each second.
	initialSettleDelay = 2500 * time.Millisecond
	// overdueNum and overdueDen are the fraction of the heartbeat timeout after which
	// an engine that also fails requests counts as lost. The result is most of the
	// time between two heartbeats.
	overdueNum, overdueDen = 1, 4
	// servingTimeoutFactor multiplies the heartbeat timeout of an engine that still
	// serves requests, because it may only be partitioned from the controllers.
	servingTimeoutFactor = 4
	// callTimeout limits the report and the order of one engine together.
	callTimeout = time.Second
	// retryBackoff is the pause before an engine is called again after a failure.
	retryBackoff = 500 * time.Millisecond
	// orderGracePeriod is how long after the load time an order counts as lost if the
	// engine has not reported the new layers.
	orderGracePeriod = 3 * time.Second
)

// Leadership reports whether this instance is the leader now, and with which fence.
type Leadership interface {
	Leading() (fleet.FencingToken, bool)
}

// Releases returns the active release, or nil.
type Releases interface {
	ActiveRelease() *release.Release
}

// Suspects returns the engines at which requests of several gateways recently failed.
type Suspects interface {
	Suspects() []fleet.UpstreamID
	// Serving returns the engines at which requests recently made progress.
	Serving() []fleet.UpstreamID
}

// Placer sends placement orders to engines until Stop is called.
type Placer struct {
	clock            fleet.Clock
	catalog          *catalog.Catalog
	leadership       Leadership
	releases         Releases
	commander        placement.Commander
	suspects         Suspects
	heartbeatTimeout time.Duration
	admission        quota.Mode
	logger           *zap.Logger
	cancel           context.CancelFunc
	wg               sync.WaitGroup

	mu            sync.Mutex
	engines       map[engineKey]*engineState
	failedAt      map[fleet.UpstreamID]time.Time // when gateways last reported a failure
	fence         fleet.FencingToken
	settlingSince time.Time // start of the leadership, or when its first engine was seen
}

type engineKey struct {
	id          fleet.UpstreamID
	incarnation fleet.Incarnation
}

// engineState is the state that the leader keeps for one incarnation of an engine.
type engineState struct {
	acceptedOrders uint64
	ordersKnown    bool // acceptedOrders is known
	calling        bool // a call is in progress
	// target is the range of the newest order. It counts as held until targetUntil.
	target      upstream.LayerRange
	targetUntil time.Time
	nextCall    time.Time // earliest time of the next call
}

// Option sets one property of a Placer.
type Option func(*Placer)

// WithAdmission sets which services are under admission control. Their fast cards are placed
// apart from the others. The default is quota.Auto.
func WithAdmission(m quota.Mode) Option { return func(p *Placer) { p.admission = m } }

// New starts a Placer. Engines without a heartbeat for heartbeatTimeout get no orders,
// unless they still serve requests.
func New(clock fleet.Clock, c *catalog.Catalog, l Leadership, r Releases, m placement.Commander, s Suspects, heartbeatTimeout time.Duration, log *zap.Logger, os ...Option) *Placer {
	p := &Placer{
		clock: clock, catalog: c, leadership: l, releases: r, commander: m, suspects: s, heartbeatTimeout: heartbeatTimeout,
		logger: log.Named("placement"), engines: make(map[engineKey]*engineState), failedAt: make(map[fleet.UpstreamID]time.Time),
	}
	for _, o := range os {
		o(p)
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wg.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-p.clock.After(reconcileInterval):
				p.reconcile(ctx)
			}
		}
	})
	return p
}

// Stop cancels the calls in progress and waits for them.
func (p *Placer) Stop() {
	p.cancel()
	p.wg.Wait()
}

// reconcile compares the registry with the plan once and starts the calls that are due.
func (p *Placer) reconcile(ctx context.Context) {
	r := p.releases.ActiveRelease()
	if r == nil {
		return
	}
	f, ok := p.leadership.Leading()
	now := p.clock.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if !ok {
		p.fence = 0
		return
	}
	if f != p.fence {
		p.fence, p.settlingSince = f, now
		p.engines = make(map[engineKey]*engineState)
		p.logger.Info("This instance places layers.", zap.Uint64("fence", uint64(f)))
	}
	es := p.excludeFailed(p.liveEntries(now), now)
	if len(es) == 0 {
		p.settlingSince = now
		return
	}
	if now.Sub(p.settlingSince) < p.requiredSettleDelay(es) {
		return
	}
	for i := range r.Services {
		if s := &r.Services[i]; s.Engine != nil {
			var os []cover.Option
			if p.admission.Applies(r.Differentiated(s)) {
				os = append(os, cover.WithSpeedGroups())
			}
			p.placeService(ctx, s, es, now, os...)
		}
	}
}

// liveEntries returns the upstreams with a heartbeat within the timeout, and those that
// gateways report as serving with one within servingTimeoutFactor times the timeout.
func (p *Placer) liveEntries(now time.Time) []registry.Entry {
	serving := p.suspects.Serving()
	return slices.DeleteFunc(p.catalog.All(servingTimeoutFactor*p.heartbeatTimeout), func(e registry.Entry) bool {
		return now.Sub(e.LastHeartbeat) > p.heartbeatTimeout && !slices.Contains(serving, e.ID)
	})
}

// excludeFailed removes engines that failed for several gateways after their last
// heartbeat, if the next heartbeat is overdue.
func (p *Placer) excludeFailed(es []registry.Entry, now time.Time) []registry.Entry {
	for _, id := range p.suspects.Suspects() {
		p.failedAt[id] = now
	}
	return slices.DeleteFunc(es, func(e registry.Entry) bool {
		at, ok := p.failedAt[e.ID]
		return ok && at.After(e.LastHeartbeat) && now.Sub(e.LastHeartbeat) > p.heartbeatTimeout*overdueNum/overdueDen
	})
}

// requiredSettleDelay returns the longer initial delay while no engine holds layers, as
// in a new fleet.
func (p *Placer) requiredSettleDelay(es []registry.Entry) time.Duration {
	for _, e := range es {
		if e.Layers.Len() > 0 {
			return settleDelay
		}
	}
	return initialSettleDelay
}

func (p *Placer) placeService(ctx context.Context, s *release.Service, es []registry.Entry, now time.Time, os ...cover.Option) {
	byID := make(map[fleet.UpstreamID]registry.Entry)
	cardCounts := make(map[fleet.DataCentreID]map[string]int)
	for _, e := range es {
		if _, ok := s.Engine.Cards[e.Card]; !ok || e.Pool != s.Pool || e.State != registry.Ready {
			continue
		}
		byID[e.ID] = e
		if cardCounts[e.DataCentre] == nil {
			cardCounts[e.DataCentre] = make(map[string]int)
		}
		cardCounts[e.DataCentre][e.Card]++
	}
	reservedStreams := make(map[fleet.DataCentreID]map[string]int)
	for d, n := range cardCounts {
		reservedStreams[d] = placement.ReservedStreams(s.Engine, n)
	}
	var engines []placement.Engine
	for _, e := range byID {
		engines = append(engines, p.planningView(s.Engine, e, reservedStreams[e.DataCentre][e.Card], now))
	}
	for _, o := range cover.Plan(s.Engine.Layers, engines, os...) {
		p.sendOrder(ctx, s.Engine, byID[o.ID], o.Layers, now)
	}
}

// planningView returns an engine as the planner should see it, with its newest order
// applied.
func (p *Placer) planningView(m *release.Engine, e registry.Entry, reservedStreams int, now time.Time) placement.Engine {
	c := m.Cards[e.Card]
	maxLayers, usableLayers := placement.Capacity(m, c, reservedStreams)
	v := placement.Engine{
		ID: e.ID, DataCentre: e.DataCentre, Layers: e.Layers, MaxLayers: maxLayers, UsableLayers: usableLayers, StepFactor: c.StepFactor,
	}
	k, ok := p.engines[engineKey{e.ID, e.Incarnation}]
	if !ok {
		return v
	}
	if now.Before(k.targetUntil) {
		v.Layers = k.target
		v.Pinned = e.Layers != k.target
	}
	v.Pinned = v.Pinned || k.calling || now.Before(k.nextCall)
	return v
}

// sendOrder starts a call that sends an order to an engine. It first fetches the number
// of accepted orders if that is not known.
func (p *Placer) sendOrder(ctx context.Context, m *release.Engine, e registry.Entry, r upstream.LayerRange, now time.Time) {
	key := engineKey{e.ID, e.Incarnation}
	k := p.engines[key]
	if k == nil {
		k = &engineState{}
		p.engines[key] = k
	}
	if k.calling || now.Before(k.nextCall) {
		return
	}
	k.calling = true
	orders, ordersKnown, fence := k.acceptedOrders, k.ordersKnown, p.fence
	p.wg.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if !ordersKnown {
			report, err := p.commander.Report(ctx, e.ID, e.Address)
			if err != nil || report.Busy {
				p.logger.Info("Placement order postponed: the engine is busy or sent no report.", zap.String("upstream", string(e.ID)),
					zap.Bool("busy", report.Busy), zap.Error(err))
				p.finishCall(k, fence, func() { k.nextCall = p.clock.Now().Add(retryBackoff) })
				return
			}
			orders = report.AcceptedOrders
		}
		outcome, err := p.commander.Place(ctx, e.ID, e.Address, placement.Command{
			Layers: r, ExpectedOrders: orders, Fence: fence, Valid: func() bool { return p.stillLeads(fence) },
		})
		p.logger.Info("Placement order attempted.", zap.String("upstream", string(e.ID)),
			zap.Int("from", int(r.From)), zap.Int("to", int(r.To)), zap.Uint64("fence", uint64(fence)),
			zap.Uint64("orders", orders), zap.Duration("heardAgo", p.clock.Now().Sub(e.LastHeartbeat)),
			zap.Stringer("outcome", outcome), zap.Error(err))
		p.finishCall(k, fence, func() { p.recordOutcome(k, m, r, orders, outcome) })
	})
}

// stillLeads reports whether this instance is still the leader with a fence. The process
// may have been paused since the order was planned, and another instance may lead now.
func (p *Placer) stillLeads(fence fleet.FencingToken) bool {
	f, ok := p.leadership.Leading()
	return ok && f == fence
}

// finishCall applies the result of a call, unless the fence has changed since.
func (p *Placer) finishCall(k *engineState, fence fleet.FencingToken, apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k.calling = false
	if p.fence == fence {
		apply()
	}
}

func (p *Placer) recordOutcome(k *engineState, m *release.Engine, r upstream.LayerRange, orders uint64, o placement.Outcome) {
	now := p.clock.Now()
	loadTime := time.Duration(m.LoadSeconds * float64(r.Len()) / float64(m.Layers) * float64(time.Second))
	switch o {
	case placement.Accepted:
		k.acceptedOrders, k.ordersKnown = orders+1, true
		k.target, k.targetUntil = r, now.Add(loadTime+p.heartbeatTimeout+orderGracePeriod)
	case placement.AlreadyHeld:
		k.acceptedOrders, k.ordersKnown = orders, true
		k.target, k.targetUntil = r, now.Add(p.heartbeatTimeout)
	case placement.Unanswered:
		// The order may still be carried out, so the engine counts as holding the range
		// until a report shows whether it does.
		k.ordersKnown = false
		k.target, k.targetUntil = r, now.Add(loadTime+orderGracePeriod)
	case placement.Refused, placement.Fenced:
		k.ordersKnown = false
		k.nextCall = now.Add(retryBackoff)
	}
}
