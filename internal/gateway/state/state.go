// Package state holds the state of a gateway: the current release, the list of
// upstreams, and the path planners and load balancers that are derived from both.
//
// A State receives the updates of a feed.Client from one goroutine. Request handlers
// read it concurrently.
package state

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/notice"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/quarantine"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/table"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/routing/scoring"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"go.uber.org/zap"
)

const (
	// refreshInterval is the longest time between two refreshes of the planners and load
	// balancers. A refresh removes upstreams whose heartbeats have stopped.
	refreshInterval = 500 * time.Millisecond
	// servingFactor times Limits.HeartbeatTimeout is how long an engine without
	// heartbeats may be used while its requests make progress.
	servingFactor = 4
	// idleConnDivisor divides the number of connections that an upstream accepts to give
	// the number of idle ones. The rest is left for connections in use.
	idleConnDivisor = 2
	// remoteLinkDelay is the one-way delay that is assumed for upstreams in another data
	// centre. It is more than the real delay, because a link between data centres may
	// fail and its traffic is paid for.
	remoteLinkDelay = 10 * time.Millisecond
)

// Clock is a fleet.Clock that can also measure time across a suspension.
type Clock interface {
	fleet.Clock
	// Boot returns the time since the machine started, including suspensions.
	Boot() time.Duration
}

// Limits bound the age of the state that a gateway may use, and its retries.
type Limits struct {
	// HeartbeatTimeout is the age of the last heartbeat up to which an upstream is used.
	HeartbeatTimeout time.Duration
	// KeyLease is how long after a confirmation account keys are accepted.
	KeyLease time.Duration
	// ReadinessTimeout is the age of the confirmation up to which a gateway is ready.
	ReadinessTimeout time.Duration
	// Retries bounds the retries of all gateways to one pool. Every attempt beyond the
	// first one of a request is a retry.
	Retries budget.Limit
}

// Pool is what a gateway needs to use the upstreams of one service. A release may turn a
// plain service into one of engines and back.
type Pool struct {
	// Planner selects paths through pools of engines. It is nil for plain services.
	Planner *path.Planner
	// Upstreams selects upstreams of plain services. It is nil for pools of engines.
	Upstreams   *pool.Pool
	RetryBudget *budget.Shared
	// Admission admits streams. It is nil if the service is not under admission control.
	Admission *quota.Quota
}

// State implements feed.Receiver. It is safe for concurrent use.
type State struct {
	clock      Clock
	dataCentre fleet.DataCentreID
	decoder    release.Decoder
	limits     Limits
	client     *exchange.Client
	admission  quota.Mode
	logger     *zap.Logger
	catalog    *catalog.Catalog
	prompts    *quarantine.Table
	notices    *notice.Table

	table       atomic.Pointer[table.Table]
	confirmedAt atomic.Int64 // Clock.Boot in nanoseconds, or 0
	lastRefresh time.Time
	gateways    int // number of gateways in the newest sums

	mu    sync.RWMutex
	pools map[fleet.PoolID]*Pool
}

// Option sets one property of a State.
type Option func(*State)

// WithAdmission sets which services are under admission control. The default is quota.Auto.
func WithAdmission(m quota.Mode) Option { return func(s *State) { s.admission = m } }

// New returns a State without a release.
func New(clock Clock, dataCentre fleet.DataCentreID, d release.Decoder, l Limits, c *exchange.Client, log *zap.Logger, os ...Option) *State {
	s := &State{
		clock: clock, dataCentre: dataCentre, decoder: d, limits: l, client: c, logger: log.Named("state"),
		prompts: quarantine.New(clock, log), notices: notice.New(clock, log), pools: make(map[fleet.PoolID]*Pool),
	}
	for _, o := range os {
		o(s)
	}
	s.catalog = catalog.New(clock, catalog.WithKnownPools(s.knowsPool))
	return s
}

func (s *State) knowsPool(id fleet.PoolID) bool {
	t := s.table.Load()
	if t == nil {
		return false
	}
	_, ok := t.Service(id)
	return ok
}

// Prompts returns the prompt records of this gateway.
func (s *State) Prompts() *quarantine.Table { return s.prompts }

// Notices returns what this gateway knows of upstreams at first hand.
func (s *State) Notices() *notice.Table { return s.notices }

// ClockReading implements feed.Receiver.
func (s *State) ClockReading() time.Duration { return s.clock.Boot() }

// Report implements feed.Receiver.
func (s *State) Report() usage.Report {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := usage.Report{Attempts: make(map[fleet.PoolID]budget.Count, len(s.pools)), Demands: make(map[fleet.PoolID]quota.Demand)}
	for id, p := range s.pools {
		r.Attempts[id] = p.RetryBudget.Count()
		if p.Planner != nil {
			r.Upstreams = append(r.Upstreams, p.Planner.Stats()...)
		}
		if p.Admission != nil {
			r.Demands[id] = p.Admission.Demand()
		}
	}
	return r
}

// Version implements feed.Receiver.
func (s *State) Version() release.Version {
	if t := s.table.Load(); t != nil {
		return t.Release.Version
	}
	return 0
}

// Table returns the lookup table of the current release, or nil.
func (s *State) Table() *table.Table { return s.table.Load() }

// Receive implements feed.Receiver.
func (s *State) Receive(u feed.Update) error {
	applied := s.applyRelease(u)
	changed := false
	if u.Sums != nil {
		s.gateways = u.Sums.Gateways
	}
	for _, e := range u.Entries {
		changed = s.catalog.Put(e, false) || changed
	}
	renewErr := u.Renew(s.catalog)
	if u.ConfirmedVersion <= s.Version() && int64(u.Confirmed) > s.confirmedAt.Load() {
		s.confirmedAt.Store(int64(u.Confirmed))
	}
	now := s.clock.Now()
	if applied || changed || now.Sub(s.lastRefresh) >= refreshInterval {
		s.lastRefresh = now
		s.refresh(max(1, s.gateways))
	}
	if u.Sums != nil {
		s.applySums(*u.Sums, s.composedAt(u, now))
	}
	return renewErr
}

// composedAt returns the time of the newest clock reading of this gateway that the
// controller had received when it composed an update. After a pause of this process the
// updates that were waiting are as old as the pause.
func (s *State) composedAt(u feed.Update, now time.Time) time.Time {
	if u.Received <= 0 {
		return now
	}
	return now.Add(-max(0, s.clock.Boot()-u.Received))
}

// applySums passes the sums over all gateways to the planners, the retry budgets and the
// admission control. at is a time at which or after which the sums were computed.
func (s *State) applySums(r usage.Report, at time.Time) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, p := range s.pools {
		p.RetryBudget.SetSum(r.Attempts[id], r.Gateways)
		if p.Planner != nil {
			p.Planner.SetFleetStats(r.Upstreams)
		}
		if p.Admission != nil {
			p.Admission.SetSums(r.Demands[id], r.Gateways, at)
			p.Planner.SetRates(r.Demands[id].StartRate(), r.Demands[id].FinishedRate())
		}
	}
}

// applyRelease makes a newer release the current one, and reports whether it did. A
// release that cannot be decoded is ignored as a whole.
func (s *State) applyRelease(u feed.Update) bool {
	if u.Release.Version <= s.Version() {
		return false
	}
	r, err := u.Release.Decode(s.decoder)
	if err != nil {
		s.logger.Error("Failed to decode release.", zap.Uint64("version", uint64(u.Release.Version)), zap.Error(err))
		return false
	}
	s.table.Store(table.New(r))
	s.logger.Info("Release applied.", zap.Uint64("version", uint64(r.Version)),
		zap.Int("routes", len(r.Routes)), zap.Int("accounts", len(r.Accounts)), zap.String("from", u.From))
	return true
}

// refresh rebuilds the pools from the current release and the list of upstreams, and sets
// the limits of idle connections.
func (s *State) refresh(gateways int) {
	t := s.table.Load()
	if t == nil {
		return
	}
	entries := make(map[fleet.PoolID][]registry.Entry)
	maxIdle := make(map[exchange.Target]int)
	maxIdlePerUpstream := maxIdleConns(t.Release, gateways)
	now := s.clock.Now()
	s.notices.Sweep(func(id fleet.UpstreamID) (fleet.Incarnation, bool) {
		e, ok := s.catalog.Get(id)
		return e.Incarnation, ok
	})
	for _, e := range s.catalog.All(servingFactor * s.limits.HeartbeatTimeout) {
		// The path planner itself skips engines that neither send heartbeats nor make
		// progress.
		if e.State != registry.Ready || e.Card == "" && now.Sub(e.LastHeartbeat) > s.limits.HeartbeatTimeout {
			continue
		}
		entries[e.Pool] = append(entries[e.Pool], e)
		if s.notices.Leaves(notice.Upstream{ID: e.ID, Incarnation: e.Incarnation}) {
			continue // its idle connections are closed
		}
		maxIdle[exchange.Target{ID: e.ID, Address: e.Address}] = maxIdlePerUpstream[e.Pool]
	}
	s.mu.Lock()
	for i := range t.Release.Services {
		v := &t.Release.Services[i]
		s.refreshPool(t, v, entries[v.Pool], gateways)
	}
	s.mu.Unlock()
	s.client.SetMaxIdle(func(g exchange.Target) int { return maxIdle[g] })
}

// maxIdleConns returns the number of idle connections that this gateway may keep to each
// upstream of a service, so that all gateways together stay within the service's limit.
func maxIdleConns(r *release.Release, gateways int) map[fleet.PoolID]int {
	maxIdle := make(map[fleet.PoolID]int, len(r.Services))
	for _, v := range r.Services {
		maxIdle[v.Pool] = math.MaxInt
		if v.MaxConnections > 0 {
			maxIdle[v.Pool] = max(1, v.MaxConnections/idleConnDivisor/gateways)
		}
	}
	return maxIdle
}

// refreshPool replaces the Pool of a service by an updated copy, because requests may
// still use the old one.
func (s *State) refreshPool(t *table.Table, v *release.Service, es []registry.Entry, gateways int) {
	p := &Pool{}
	if old := s.pools[v.Pool]; old != nil {
		*p = *old
	} else {
		p.RetryBudget = budget.NewShared(s.clock, s.limits.Retries, rand.Float64)
	}
	s.pools[v.Pool] = p
	if v.HasEngines() {
		p.Upstreams = nil
		if p.Planner == nil {
			p.Planner = path.New(s.clock, s.dataCentre, s.limits.HeartbeatTimeout, rand.Float64)
		}
		p.Planner.Refresh(v.Engine, es, gateways)
		s.refreshAdmission(p, v.Pool, s.admission.Applies(t.Differentiated(v.Pool)))
		return
	}
	p.Planner, p.Admission = nil, nil
	if p.Upstreams == nil {
		p.Upstreams = pool.New(s.clock, scoring.Policy{})
	}
	us := make([]upstream.Upstream, len(es))
	for i, e := range es {
		us[i] = upstream.Upstream{
			Announcement: upstream.Announcement{
				ID: e.ID, Incarnation: e.Incarnation, Sequence: e.Sequence, Kind: upstream.Service,
				Address: e.Address, DataCentre: e.DataCentre, Pool: e.Pool, Slots: e.Slots,
			},
			LastHeartbeat: e.LastHeartbeat,
		}
	}
	p.Upstreams.Refresh(us, gateways-1)
	for _, e := range es {
		if e.DataCentre != s.dataCentre {
			p.Upstreams.SetLinkDelay(e.ID, remoteLinkDelay)
		}
	}
}

// refreshAdmission puts a pool of engines under admission control, or ends it.
func (s *State) refreshAdmission(p *Pool, id fleet.PoolID, applies bool) {
	p.Planner.SetAdmission(applies)
	if !applies {
		p.Admission = nil
		return
	}
	if p.Admission == nil {
		planner := p.Planner
		p.Admission = quota.New(s.clock, func() quota.Room { return quota.Room(planner.Room()) },
			quota.WithLogger(s.logger.Named("admission").With(zap.String("service", string(id)))))
	}
}

// Pool returns the Pool of a service.
func (s *State) Pool(id fleet.PoolID) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[id]
	return p, ok
}

// ConfirmationAge returns the time since a majority confirmed the current release.
func (s *State) ConfirmationAge() time.Duration {
	return s.clock.Boot() - time.Duration(s.confirmedAt.Load())
}

// KeyLeaseValid reports whether account keys may be accepted.
func (s *State) KeyLeaseValid() bool {
	return s.confirmedAt.Load() > 0 && s.ConfirmationAge() < s.limits.KeyLease
}

// KeyLeaseExpiredFor returns for how long account keys have not been accepted since they were
// last. It is 0 before the first confirmation.
func (s *State) KeyLeaseExpiredFor() time.Duration {
	if s.confirmedAt.Load() == 0 {
		return 0
	}
	return max(0, s.ConfirmationAge()-s.limits.KeyLease)
}

// Ready reports whether the gateway should receive new connections.
func (s *State) Ready() bool {
	return s.table.Load() != nil && s.confirmedAt.Load() > 0 && s.ConfirmationAge() < s.limits.ReadinessTimeout
}
