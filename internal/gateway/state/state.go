// Package state holds what a gateway knows: the release in force, the roster and
// the choosers that follow from both.
//
// A State receives the updates of a feed.Client from one goroutine. Handlers
// read it from many.
package state

import (
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/gateway/exchange"
	"github.com/bilberryrock/bilberryrock/internal/gateway/path"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/registry/catalog"
	"github.com/bilberryrock/bilberryrock/internal/registry/feed"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/release/table"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/routing/scoring"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
	"go.uber.org/zap"
)

const (
	// refreshEvery is the longest time between two refreshes of the choosers, by
	// which upstreams that fell silent drop out.
	refreshEvery = 500 * time.Millisecond
	// servingFactor times Limits.Alive is how long an engine without heartbeats may
	// be used while it serves requests.
	servingFactor = 4
	// keptPart is the part of the connections that an upstream takes which unused ones
	// may hold. The rest is for those in use.
	keptPart = 2
	// remoteLink is the one-way delay that an upstream of another data centre
	// counts with. It is more than the real one, because a link between data
	// centres may be cut and its traffic is paid for.
	remoteLink = 10 * time.Millisecond
)

// Clock is a fleet.Clock that also measures time over a suspension.
type Clock interface {
	fleet.Clock
	// Boot returns the time since the machine started.
	Boot() time.Duration
}

// Limits bound how old the knowledge of a gateway may be.
type Limits struct {
	// Alive is the age of the last heartbeat up to which an upstream is used.
	Alive time.Duration
	// Lease is the time after a confirmation for which account keys are accepted.
	Lease time.Duration
	// Fresh is the age of the confirmation up to which a gateway is ready.
	Fresh time.Duration
	// Retries bounds the sends beyond the first of each request, of all gateways to one
	// pool.
	Retries budget.Limit
}

// Pool is what a gateway needs to use the upstreams of one service.
type Pool struct {
	// Paths chooses for pools of engines. It is nil for plain services.
	Paths *path.Planner
	// Upstreams chooses for plain services.
	Upstreams *pool.Pool
	Budget    *budget.Fleet
}

// State implements feed.Receiver. It is safe for concurrent use.
type State struct {
	clock   Clock
	home    fleet.DataCentreID
	decoder release.Decoder
	limits  Limits
	client  *exchange.Client
	logger  *zap.Logger
	catalog *catalog.Catalog

	table     atomic.Pointer[table.Table]
	confirmed atomic.Int64 // the reading of Boot
	refreshed time.Time
	gateways  int // by the newest sums

	mu    sync.RWMutex
	pools map[fleet.PoolID]*Pool
}

// New returns a State without a release.
func New(clock Clock, home fleet.DataCentreID, d release.Decoder, l Limits, c *exchange.Client, log *zap.Logger) *State {
	return &State{
		clock: clock, home: home, decoder: d, limits: l, client: c, logger: log.Named("state"),
		catalog: catalog.New(clock), pools: make(map[fleet.PoolID]*Pool),
	}
}

// Stamp implements feed.Receiver.
func (s *State) Stamp() time.Duration { return s.clock.Boot() }

// Report implements feed.Receiver.
func (s *State) Report() usage.Report {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r := usage.Report{Sends: make(map[fleet.PoolID]budget.Count, len(s.pools))}
	for id, p := range s.pools {
		r.Sends[id] = p.Budget.Count()
		if p.Paths != nil {
			r.Uses = append(r.Uses, p.Paths.Uses()...)
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

// Table returns the release in force, or nil.
func (s *State) Table() *table.Table { return s.table.Load() }

// Receive implements feed.Receiver.
func (s *State) Receive(u feed.Update) error {
	taken := s.take(u)
	changed := false
	if u.Sums != nil {
		s.gateways = u.Sums.Gateways
	}
	for _, e := range u.Entries {
		changed = s.catalog.Put(e, false) || changed
	}
	fit := u.Renew(s.catalog)
	if u.ConfirmedVersion <= s.Version() && int64(u.Confirmed) > s.confirmed.Load() {
		s.confirmed.Store(int64(u.Confirmed))
	}
	now := s.clock.Now()
	if taken || changed || now.Sub(s.refreshed) >= refreshEvery {
		s.refreshed = now
		s.refresh(max(1, s.gateways))
	}
	if u.Sums != nil {
		s.shareSums(*u.Sums)
	}
	return fit
}

// shareSums tells the choosers and the retry budgets what all gateways use and send.
func (s *State) shareSums(r usage.Report) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	for id, p := range s.pools {
		p.Budget.SetSum(r.Sends[id], r.Gateways)
		if p.Paths != nil {
			p.Paths.SetUses(r.Uses)
		}
	}
}

// take puts a newer release in force. One that cannot be read is left out, with
// all that it changes.
func (s *State) take(u feed.Update) bool {
	if u.Held.Version <= s.Version() {
		return false
	}
	r, err := u.Held.Read(s.decoder)
	if err != nil {
		s.logger.Error("A release could not be read.", zap.Uint64("version", uint64(u.Held.Version)), zap.Error(err))
		return false
	}
	s.table.Store(table.New(r))
	s.logger.Info("A release is in force.", zap.Uint64("version", uint64(r.Version)),
		zap.Int("routes", len(r.Routes)), zap.Int("accounts", len(r.Accounts)), zap.String("from", u.From))
	return true
}

func (s *State) refresh(gateways int) {
	t := s.table.Load()
	if t == nil {
		return
	}
	live := make(map[fleet.PoolID][]registry.Entry)
	targets := make(map[exchange.Target]int)
	kept := keptShares(t.Release, gateways)
	now := s.clock.Now()
	for _, e := range s.catalog.All(servingFactor * s.limits.Alive) {
		// The planner of paths leaves out silent engines that don't serve.
		if e.State != registry.Ready || e.Card == "" && now.Sub(e.Heard) > s.limits.Alive {
			continue
		}
		live[e.Pool] = append(live[e.Pool], e)
		targets[exchange.Target{ID: e.ID, Address: e.Address}] = kept[e.Pool]
	}
	s.mu.Lock()
	for i := range t.Release.Services {
		v := &t.Release.Services[i]
		s.refreshPool(v, live[v.Pool], gateways)
	}
	s.mu.Unlock()
	s.client.Limit(func(g exchange.Target) int { return targets[g] })
}

// keptShares returns the unused connections that this gateway may keep to each upstream
// of a service, so that all gateways together stay within the service's limit.
func keptShares(r *release.Release, gateways int) map[fleet.PoolID]int {
	kept := make(map[fleet.PoolID]int, len(r.Services))
	for _, v := range r.Services {
		kept[v.Pool] = math.MaxInt
		if v.MaxConnections > 0 {
			kept[v.Pool] = max(1, v.MaxConnections/keptPart/gateways)
		}
	}
	return kept
}

// refreshPool replaces the pool of a service, since requests may use the old one.
func (s *State) refreshPool(v *release.Service, es []registry.Entry, gateways int) {
	p := &Pool{}
	if old := s.pools[v.Pool]; old != nil {
		*p = *old
	} else {
		p.Budget = budget.NewFleet(s.clock, s.limits.Retries, rand.Float64)
	}
	s.pools[v.Pool] = p
	if v.Engine != nil && v.Engine.Layers > 0 {
		if p.Paths == nil {
			p.Paths = path.New(s.clock, s.home, s.limits.Alive, rand.Float64)
		}
		p.Paths.Refresh(v.Engine, es, gateways)
		return
	}
	if p.Upstreams == nil {
		p.Upstreams = pool.New(s.clock, scoring.Policy{})
	}
	us := make([]upstream.Upstream, len(es))
	for i, e := range es {
		us[i] = upstream.Upstream{
			Announcement: upstream.Announcement{
				ID: e.ID, Incarnation: e.Born, Sequence: e.Sequence, Kind: upstream.Service,
				Address: e.Address, DataCentre: e.DataCentre, Pool: e.Pool, Slots: e.Slots,
			},
			Confirmed: e.Heard,
		}
	}
	p.Upstreams.Refresh(us, gateways-1)
	for _, e := range es {
		if e.DataCentre != s.home {
			p.Upstreams.SetLink(e.ID, remoteLink)
		}
	}
}

// Pool returns the choosers of a service.
func (s *State) Pool(id fleet.PoolID) (*Pool, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	p, ok := s.pools[id]
	return p, ok
}

// Age returns the time since a majority confirmed the release in force.
func (s *State) Age() time.Duration {
	return s.clock.Boot() - time.Duration(s.confirmed.Load())
}

// Leased reports whether account keys may be accepted.
func (s *State) Leased() bool { return s.confirmed.Load() > 0 && s.Age() < s.limits.Lease }

// Ready reports whether the gateway should get new connections.
func (s *State) Ready() bool {
	return s.table.Load() != nil && s.confirmed.Load() > 0 && s.Age() < s.limits.Fresh
}
