// Package share enforces the limits of client accounts over all instances
// without a call to another instance.
//
// Each instance holds a share of every limit. By default it is the even share, 1/n
// of the limit in a fleet of n instances. For an account whose demand approaches
// its limit the instances exchange short summaries by gossip and move the shares to
// where the demand is, down to a floor that lets every instance start some requests.
//
// The summaries include the current shares. A share shrinks at once, and grows
// only by what the summaries of the other instances leave free, so the sum of the
// shares exceeds the limit at most for the time that a summary takes to arrive. An
// instance that receives no summaries falls back to the even share, and the others
// assume that it did.
//
// In a large fleet an instance receives a summary of each instance of its own data
// centre and one aggregated summary of each other data centre, so the messages do
// not grow with the fleet.
//
// Rounding adds a bounded error: every instance may have one request in progress
// beyond its share until it learns of the requests of the others, and may save up
// one request of the rate.
//
//	l := share.New(15)
//	l.Configure(config.Accounts)
//	if err := l.Acquire(account, now); err != nil {
//		return err // of kind refusal.AccountLimit
//	}
//	defer l.Release(account)
package share

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

const (
	shardCount = 64
	// floorShare is the fraction of a limit that is divided evenly, independently
	// of the demand.
	floorShare = 0.1
	// deadBand is the fraction of a share by which its target has to be smaller
	// before the share shrinks. Without it noise in the demand kept 7% of a limit
	// unused, because shares shrink at once and grow later.
	deadBand = 0.15
	// hotThreshold is the fraction of the even share above which the use of an
	// account counts as high demand and makes the account hot.
	hotThreshold = 0.5
	// demandWeight is the weight of the newest interval in the moving average of
	// the demand.
	demandWeight = 0.3
	// idleDemand is the demand, in requests per second, below which the state of an
	// account is dropped.
	idleDemand = 0.01
	// peerTimeout is the age of a summary above which its sender counts as
	// unreachable.
	peerTimeout = 5 * time.Second
	// growthInterval is the least time between two increases of a share, so that the
	// others learn of the first one before the second.
	growthInterval = 2 * time.Second
	// propagationTicks is the number of ticks until the other instances see a permit
	// that this instance has reserved.
	propagationTicks = 2
	// defaultBurstSeconds is the burst, in seconds of the request rate, of accounts
	// without a configured burst.
	defaultBurstSeconds = 1.0
	// minRetryAfter is the smallest retry delay that is sent to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

// Counters holds totals since the creation of a Limiter.
type Counters struct {
	Admitted        uint64
	RefusedRate     uint64
	RefusedInFlight uint64
	// Tracked is the number of accounts that have state now.
	Tracked int
}

// Limiter holds the shares of one instance. It is safe for concurrent use.
type Limiter struct {
	limits    atomic.Pointer[map[fleet.AccountID]document.Account]
	instances atomic.Int64
	shards    [shardCount]shard
	random    func() float64

	mu            sync.Mutex // guards the fields below
	peers         map[sender]*peer
	accountByHash map[uint64]fleet.AccountID
	lastTick      time.Time

	admitted, refusedRate, refusedInFlight atomic.Uint64
}

type shard struct {
	mu       sync.Mutex
	accounts map[fleet.AccountID]*account
}

// account is the state of one account with recent requests.
type account struct {
	tokens     float64
	refilledAt time.Time
	inFlight   int
	// roundUp tells that the number of permits, which is generally not whole, is
	// rounded up.
	roundUp    bool
	blocked    bool // a request was refused since the last tick because all permits were in use
	arrivals   int
	demand     float64 // requests per second, moving average
	share      float64
	grownAt    time.Time
	hot        bool // listed in the summaries
	highDemand bool // uses more than hotThreshold of the even share here, or was blocked
}

// sender identifies the sender of a summary, an instance or a data centre.
type sender struct {
	id     string
	remote bool
}

// Option configures a Limiter.
type Option func(*Limiter)

// WithRandom sets the source of random numbers in [0, 1). The default is
// math/rand/v2.
func WithRandom(random func() float64) Option {
	return func(l *Limiter) { l.random = random }
}

// New returns a Limiter for one instance of a fleet of that many instances.
func New(instances int, options ...Option) *Limiter {
	l := &Limiter{peers: make(map[sender]*peer), random: rand.Float64}
	for _, o := range options {
		o(l)
	}
	l.SetInstances(instances)
	l.Configure(nil)
	for i := range l.shards {
		l.shards[i].accounts = make(map[fleet.AccountID]*account)
	}
	return l
}

// SetInstances sets the number of instances that share the limits. n should not
// decrease while a missing instance may only be partitioned.
func (l *Limiter) SetInstances(n int) { l.instances.Store(int64(max(n, 1))) }

// Configure replaces the limits.
func (l *Limiter) Configure(accounts map[fleet.AccountID]document.Account) {
	byHash := make(map[uint64]fleet.AccountID, len(accounts))
	for id := range accounts {
		byHash[hash(id)] = id
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.accountByHash = byHash
	l.limits.Store(&accounts)
}

// Acquire admits one request of an account, or returns an error of kind
// refusal.AccountLimit with the time after which a retry may succeed.
func (l *Limiter) Acquire(id fleet.AccountID, now time.Time) error {
	limit := (*l.limits.Load())[id]
	h := l.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := l.accountState(h, id, limit, now)
	a.arrivals++
	if limit.MaxInFlight > 0 && !a.mayStart(limit) {
		a.blocked = true
		l.refusedInFlight.Add(1)
		return refusal.New(refusal.AccountLimit, "account %q has %d requests in progress here, its share of %d", id, a.inFlight, limit.MaxInFlight).WithRetryAfter(minRetryAfter)
	}
	if wait := a.takeToken(limit, now); wait > 0 {
		l.refusedRate.Add(1)
		return refusal.New(refusal.AccountLimit, "account %q is over its share of %g requests/s", id, limit.RequestRate).WithRetryAfter(wait)
	}
	a.inFlight++
	l.admitted.Add(1)
	return nil
}

// Release ends a request that Acquire admitted.
func (l *Limiter) Release(id fleet.AccountID) { l.release(id, 0) }

// Refund ends a request that Acquire admitted and that was not run. It gives back the
// token of the request rate.
func (l *Limiter) Refund(id fleet.AccountID) { l.release(id, 1) }

// Counters returns the current totals.
func (l *Limiter) Counters() Counters {
	c := Counters{
		Admitted:        l.admitted.Load(),
		RefusedRate:     l.refusedRate.Load(),
		RefusedInFlight: l.refusedInFlight.Load(),
	}
	for i := range l.shards {
		l.shards[i].mu.Lock()
		c.Tracked += len(l.shards[i].accounts)
		l.shards[i].mu.Unlock()
	}
	return c
}

// Share returns the fraction of the limits of an account that this instance holds.
func (l *Limiter) Share(id fleet.AccountID) float64 {
	h := l.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[id]; a != nil {
		return a.share
	}
	return l.evenShare()
}

func (l *Limiter) release(id fleet.AccountID, refund float64) {
	h := l.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[id]
	if a == nil {
		return
	}
	a.inFlight--
	a.tokens += refund
}

// evenShare returns the share of an instance that received no summaries.
func (l *Limiter) evenShare() float64 { return 1 / float64(l.instances.Load()) }

func (l *Limiter) shard(id fleet.AccountID) *shard {
	return &l.shards[hash(id)%shardCount]
}

// accountState returns the state of id and creates it if necessary. h is the shard of
// id and locked.
func (l *Limiter) accountState(h *shard, id fleet.AccountID, limit document.Account, now time.Time) *account {
	a := h.accounts[id]
	if a != nil {
		return a
	}
	a = &account{share: l.evenShare(), refilledAt: now, roundUp: true}
	a.tokens = a.burst(limit)
	h.accounts[id] = a
	return a
}

// mayStart reports whether one more request may start here. The number of permits of
// the share is at times rounded up; otherwise an account with fewer permits than
// there are instances could not start any request.
func (a *account) mayStart(limit document.Account) bool {
	return a.inFlight < a.permits(limit)
}

// permits returns the number of requests that may be in progress here.
func (a *account) permits(limit document.Account) int {
	exact := float64(limit.MaxInFlight) * a.share
	whole := int(exact)
	if a.roundUp && exact > float64(whole) {
		whole++
	}
	return whole
}

// reserved returns the number of permits that the other instances must not use.
func (a *account) reserved(limit document.Account) int {
	return max(a.inFlight, a.permits(limit))
}

// burst returns the greatest number of tokens that the account saves up here.
func (a *account) burst(limit document.Account) float64 {
	b := float64(limit.Burst)
	if b == 0 {
		b = limit.RequestRate * defaultBurstSeconds
	}
	return max(1, b*a.share)
}

// takeToken takes a token and returns zero, or returns the time until there is one.
func (a *account) takeToken(limit document.Account, now time.Time) time.Duration {
	if limit.RequestRate <= 0 {
		return 0
	}
	rate := limit.RequestRate * a.share
	a.tokens = min(a.tokens+rate*max(now.Sub(a.refilledAt), 0).Seconds(), a.burst(limit))
	a.refilledAt = now
	if a.tokens >= 1 {
		a.tokens--
		return 0
	}
	wait := time.Duration((1 - a.tokens) / rate * float64(time.Second))
	return max(wait, minRetryAfter)
}

func hash(id fleet.AccountID) uint64 { return xxhash.Sum64String(string(id)) }
