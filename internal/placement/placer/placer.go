// Package placer carries out the placement of layers: while this instance leads
// the group, it compares the plan with what the engines report and gives orders.
//
// Orders carry the leader's term as fence, and name the number of orders that
// the engine has accepted, so that a delayed order changes nothing.
package placer

import (
	"context"
	"slices"
	"sync"
	"time"

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
	// interval is the time between two looks at the roster.
	interval = 150 * time.Millisecond
	// settle is how long a new leader waits for the roster to be complete. It
	// covers one heartbeat of each upstream.
	settle = 1500 * time.Millisecond
	// firstSettle lets the engines of a new fleet come together, so that the first
	// plan sees all of them. They start over about a second and send a heartbeat
	// each second.
	firstSettle = 2500 * time.Millisecond
	// overdueNum and overdueDen give the part of the time that an engine may be
	// silent after which one that also fails requests counts as lost. It is most of
	// the time between two heartbeats.
	overdueNum, overdueDen = 1, 4
	// servingFactor times the time that an engine may be silent is how long one that
	// still serves requests counts as alive. It may be cut off from the controllers.
	servingFactor = 4
	// callTimeout bounds one call of an engine.
	callTimeout = time.Second
	// retryPause is the time before an engine is asked again after a failure.
	retryPause = 500 * time.Millisecond
	// lateOrder is how long after its load time an order without a report of the
	// new layers counts as lost.
	lateOrder = 3 * time.Second
)

// Leadership tells whether this instance leads at this moment, and under which fence.
type Leadership interface {
	Leading() (fleet.Fence, bool)
}

// Releases returns the release in force, or nil.
type Releases interface {
	InForce() *release.Release
}

// Suspects returns the engines that requests of several gateways lately failed at.
type Suspects interface {
	Suspects() []fleet.UpstreamID
	// Serving returns the engines that requests lately made progress at.
	Serving() []fleet.UpstreamID
}

// Placer gives the orders. Stop ends it.
type Placer struct {
	clock      fleet.Clock
	catalog    *catalog.Catalog
	leadership Leadership
	releases   Releases
	commander  placement.Commander
	suspects   Suspects
	alive      time.Duration
	logger     *zap.Logger
	cancel     context.CancelFunc
	wait       sync.WaitGroup

	mu      sync.Mutex
	engines map[incarnation]*engine
	failed  map[fleet.UpstreamID]time.Time // when gateways last saw a failure
	fence   fleet.Fence
	since   time.Time // of the leadership, or of the first engine seen under it
}

type incarnation struct {
	id   fleet.UpstreamID
	born fleet.Incarnation
}

// engine is what the leader knows of one incarnation of an engine.
type engine struct {
	orders uint64 // accepted so far
	known  bool   // orders is known
	busy   bool   // a call is in progress
	// target is the range of the newest order, valid until a time.
	target upstream.LayerRange
	until  time.Time
	next   time.Time // earliest time of the next call
}

// New starts a Placer. Engines that were not heard for alive get no orders.
func New(clock fleet.Clock, c *catalog.Catalog, l Leadership, r Releases, m placement.Commander, s Suspects, alive time.Duration, log *zap.Logger) *Placer {
	p := &Placer{
		clock: clock, catalog: c, leadership: l, releases: r, commander: m, suspects: s, alive: alive,
		logger: log.Named("placement"), engines: make(map[incarnation]*engine), failed: make(map[fleet.UpstreamID]time.Time),
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.wait.Go(func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-p.clock.After(interval):
				p.round(ctx)
			}
		}
	})
	return p
}

// Stop ends the orders and waits for the calls in progress.
func (p *Placer) Stop() {
	p.cancel()
	p.wait.Wait()
}

// round looks at the roster once and starts the calls that are due.
func (p *Placer) round(ctx context.Context) {
	r := p.releases.InForce()
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
		p.fence, p.since = f, now
		p.engines = make(map[incarnation]*engine)
		p.logger.Info("This instance places layers.", zap.Uint64("fence", uint64(f)))
	}
	es := p.alert(p.heard(now), now)
	if len(es) == 0 {
		p.since = now
		return
	}
	if now.Sub(p.since) < p.settleTime(es) {
		return
	}
	for i := range r.Services {
		if s := &r.Services[i]; s.Engine != nil {
			p.place(ctx, s, es, now)
		}
	}
}

// heard returns the engines that are alive by their heartbeats, or by what gateways
// say of the silent ones.
func (p *Placer) heard(now time.Time) []registry.Entry {
	serving := p.suspects.Serving()
	return slices.DeleteFunc(p.catalog.All(servingFactor*p.alive), func(e registry.Entry) bool {
		return now.Sub(e.Heard) > p.alive && !slices.Contains(serving, e.ID)
	})
}

// alert leaves out engines that failed for several gateways after their last
// heartbeat, if the next one is overdue.
func (p *Placer) alert(es []registry.Entry, now time.Time) []registry.Entry {
	for _, id := range p.suspects.Suspects() {
		p.failed[id] = now
	}
	return slices.DeleteFunc(es, func(e registry.Entry) bool {
		at, ok := p.failed[e.ID]
		return ok && at.After(e.Heard) && now.Sub(e.Heard) > p.alive*overdueNum/overdueDen
	})
}

// settleTime is short while no engine holds anything, as in a new fleet.
func (p *Placer) settleTime(es []registry.Entry) time.Duration {
	for _, e := range es {
		if e.Layers.Len() > 0 {
			return settle
		}
	}
	return firstSettle
}

func (p *Placer) place(ctx context.Context, s *release.Service, es []registry.Entry, now time.Time) {
	byID := make(map[fleet.UpstreamID]registry.Entry)
	cards := make(map[fleet.DataCentreID]map[string]int)
	for _, e := range es {
		if _, ok := s.Engine.Cards[e.Card]; !ok || e.Pool != s.Pool || e.State != registry.Ready {
			continue
		}
		byID[e.ID] = e
		if cards[e.DataCentre] == nil {
			cards[e.DataCentre] = make(map[string]int)
		}
		cards[e.DataCentre][e.Card]++
	}
	streams := make(map[fleet.DataCentreID]map[string]int)
	for d, n := range cards {
		streams[d] = placement.Streams(s.Engine, n)
	}
	var engines []placement.Engine
	for _, e := range byID {
		engines = append(engines, p.view(s.Engine, e, streams[e.DataCentre][e.Card], now))
	}
	for _, o := range cover.Plan(s.Engine.Layers, engines) {
		p.start(ctx, s.Engine, byID[o.ID], o.Layers, now)
	}
}

// view is an engine with what its newest order will make of it.
func (p *Placer) view(m *release.Engine, e registry.Entry, streams int, now time.Time) placement.Engine {
	c := m.Cards[e.Card]
	room, usable := placement.Capacity(m, c, streams)
	v := placement.Engine{
		ID: e.ID, DataCentre: e.DataCentre, Holds: e.Layers, Room: room, Usable: usable, Pace: c.Pace,
	}
	k, ok := p.engines[incarnation{e.ID, e.Born}]
	if !ok {
		return v
	}
	if now.Before(k.until) {
		v.Holds = k.target
		v.Fixed = e.Layers != k.target
	}
	v.Fixed = v.Fixed || k.busy || now.Before(k.next)
	return v
}

// start asks the engine for its state if needed, and gives the order.
func (p *Placer) start(ctx context.Context, m *release.Engine, e registry.Entry, r upstream.LayerRange, now time.Time) {
	key := incarnation{e.ID, e.Born}
	k := p.engines[key]
	if k == nil {
		k = &engine{}
		p.engines[key] = k
	}
	if k.busy || now.Before(k.next) {
		return
	}
	k.busy = true
	orders, known, fence := k.orders, k.known, p.fence
	p.wait.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, callTimeout)
		defer cancel()
		if !known {
			report, err := p.commander.Report(ctx, e.ID, e.Address)
			if err != nil || report.Busy {
				p.logger.Info("An engine gets no order yet.", zap.String("upstream", string(e.ID)),
					zap.Bool("busy", report.Busy), zap.Error(err))
				p.finish(k, fence, func() { k.next = p.clock.Now().Add(retryPause) })
				return
			}
			orders = report.Orders
		}
		outcome, err := p.commander.Place(ctx, e.ID, e.Address, placement.Command{
			Layers: r, Orders: orders, Fence: fence, Valid: func() bool { return p.leads(fence) },
		})
		p.logger.Info("An engine got an order.", zap.String("upstream", string(e.ID)),
			zap.Int("from", int(r.From)), zap.Int("to", int(r.To)), zap.Uint64("fence", uint64(fence)),
			zap.Uint64("orders", orders), zap.Duration("heardAgo", p.clock.Now().Sub(e.Heard)),
			zap.Stringer("outcome", outcome), zap.Error(err))
		p.finish(k, fence, func() { p.record(k, m, r, orders, outcome) })
	})
}

// leads reports whether the leadership under a fence still holds. The process may have
// been paused since the order was decided, and another instance may lead now.
func (p *Placer) leads(fence fleet.Fence) bool {
	f, ok := p.leadership.Leading()
	return ok && f == fence
}

// finish applies the result of a call, unless the leadership changed meanwhile.
func (p *Placer) finish(k *engine, fence fleet.Fence, apply func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k.busy = false
	if p.fence == fence {
		apply()
	}
}

func (p *Placer) record(k *engine, m *release.Engine, r upstream.LayerRange, orders uint64, o placement.Outcome) {
	now := p.clock.Now()
	load := time.Duration(m.LoadSeconds * float64(r.Len()) / float64(m.Layers) * float64(time.Second))
	switch o {
	case placement.Accepted:
		k.orders, k.known = orders+1, true
		k.target, k.until = r, now.Add(load+p.alive+lateOrder)
	case placement.Held:
		k.orders, k.known = orders, true
		k.target, k.until = r, now.Add(p.alive)
	case placement.Unanswered:
		// The order may be carried out, so the engine counts as having it, until a
		// report shows whether it does.
		k.known = false
		k.target, k.until = r, now.Add(load+lateOrder)
	case placement.Refused, placement.Fenced:
		k.known = false
		k.next = now.Add(retryPause)
	}
}
