// Package share enforces the limits of client accounts over all instances
// without a call to another instance.
//
// Each instance holds a share of every limit. Without news it is one part in as
// many as there are instances. For an account whose demand comes near its limit
// the instances exchange short summaries by gossip and move the shares to where
// the demand is, down to a floor that lets every instance start some work.
//
// The shares that are in use are part of the summaries. A share shrinks at once,
// and grows only into room that the others have shown to be free, so the sum
// stays at the limit but for the time that a summary takes. An instance that
// hears nobody falls back to one part, and the others assume that it did.
//
// In a large fleet an instance hears the others of its data centre one by one and
// each other data centre as a group, so the messages do not grow with the fleet.
//
// Rounding adds a bounded error: every instance may have one request in progress
// beyond its share until it hears of those of the others, and save up one request
// of the rate.
//
//	l := share.New(15)
//	l.Configure(config.Accounts)
//	if err := l.Take(account, now); err != nil {
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
	// floorShare is the part of a limit that is divided evenly whatever the
	// demand is.
	floorShare = 0.1
	// deadBand is the part of a share by which the demand has to ask for a
	// smaller one. Without it noise in the demand kept 7% of a limit unused, because
	// shares shrink at once and grow later.
	deadBand = 0.15
	// hotShare is the part of the even share whose use makes an account hot.
	hotShare = 0.5
	// demandWeight is the weight of the newest interval in the demand.
	demandWeight = 0.3
	// idleDemand is in requests a second. An account below it is forgotten.
	idleDemand = 0.01
	// silence is the age of a summary at which its sender counts as cut off.
	silence = 5 * time.Second
	// settleTime is the time between two growths of a share, in which the first
	// one becomes known to the others.
	settleTime = 2 * time.Second
	// lagTicks is the number of ticks until the others see a place that was
	// taken here.
	lagTicks = 2
	// defaultBurst is in seconds of the rate.
	defaultBurst = 1.0
	// minRetry is the shortest time after which a refused caller is asked to
	// come back.
	minRetry = 100 * time.Millisecond
)

// Counters are sums since the start of a Limiter.
type Counters struct {
	Taken          uint64
	RefusedRate    uint64
	RefusedRunning uint64
	// Tracked is the number of accounts with state now.
	Tracked int
}

// Limiter holds the shares of one instance. It is safe for concurrent use.
type Limiter struct {
	limits    atomic.Pointer[map[fleet.AccountID]document.Account]
	instances atomic.Int64
	shards    [shardCount]shard
	draw      func() float64

	mu     sync.Mutex // guards the fields below
	peers  map[origin]*peer
	hashes map[uint64]fleet.AccountID
	ticked time.Time

	taken, refusedRate, refusedRunning atomic.Uint64
}

type shard struct {
	mu       sync.Mutex
	accounts map[fleet.AccountID]*account
}

// account is the state of one account with recent requests.
type account struct {
	tokens   float64
	filled   time.Time
	inFlight int
	// fraction tells that the place that the fraction of the share stands for
	// may be used now.
	fraction bool
	blocked  bool // refused for want of a place since the last tick
	arrivals int
	demand   float64 // requests a second
	share    float64
	grown    time.Time
	hot      bool // part of the summaries
	asks     bool // near its even share here
}

// origin is the sender of a summary, an instance or a data centre.
type origin struct {
	id     string
	remote bool
}

// Option changes a Limiter.
type Option func(*Limiter)

// WithRandom sets the source of random numbers in [0, 1). The default is
// math/rand/v2.
func WithRandom(draw func() float64) Option {
	return func(l *Limiter) { l.draw = draw }
}

// New returns a Limiter for one of a number of instances.
func New(instances int, options ...Option) *Limiter {
	l := &Limiter{peers: make(map[origin]*peer), draw: rand.Float64}
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

// SetInstances sets the number of instances that share the limits. It should
// not fall while an instance may only be cut off.
func (l *Limiter) SetInstances(n int) { l.instances.Store(int64(max(n, 1))) }

// Configure replaces the limits.
func (l *Limiter) Configure(accounts map[fleet.AccountID]document.Account) {
	hashes := make(map[uint64]fleet.AccountID, len(accounts))
	for id := range accounts {
		hashes[hash(id)] = id
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hashes = hashes
	l.limits.Store(&accounts)
}

// Take admits one request of an account, or returns an error of kind
// refusal.AccountLimit with the time after which a resend may succeed.
func (l *Limiter) Take(id fleet.AccountID, now time.Time) error {
	limit := (*l.limits.Load())[id]
	h := l.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := l.account(h, id, limit, now)
	a.arrivals++
	if limit.MaxInFlight > 0 && !a.mayRun(limit) {
		a.blocked = true
		l.refusedRunning.Add(1)
		return refusal.New(refusal.AccountLimit, "account %q has %d requests in progress here, its share of %d", id, a.inFlight, limit.MaxInFlight).After(minRetry)
	}
	if wait := a.spend(limit, now); wait > 0 {
		l.refusedRate.Add(1)
		return refusal.New(refusal.AccountLimit, "account %q is over its share of %g requests/s", id, limit.RequestRate).After(wait)
	}
	a.inFlight++
	l.taken.Add(1)
	return nil
}

// Release ends a request that Take admitted.
func (l *Limiter) Release(id fleet.AccountID) { l.end(id, 0) }

// Refund ends a request that Take admitted and that was not run.
func (l *Limiter) Refund(id fleet.AccountID) { l.end(id, 1) }

// Counters returns the sums so far.
func (l *Limiter) Counters() Counters {
	c := Counters{
		Taken:          l.taken.Load(),
		RefusedRate:    l.refusedRate.Load(),
		RefusedRunning: l.refusedRunning.Load(),
	}
	for i := range l.shards {
		l.shards[i].mu.Lock()
		c.Tracked += len(l.shards[i].accounts)
		l.shards[i].mu.Unlock()
	}
	return c
}

// Share returns the part of the limits of an account that this instance holds.
func (l *Limiter) Share(id fleet.AccountID) float64 {
	h := l.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	if a := h.accounts[id]; a != nil {
		return a.share
	}
	return l.part()
}

func (l *Limiter) end(id fleet.AccountID, tokens float64) {
	h := l.shard(id)
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.accounts[id]
	if a == nil {
		return
	}
	a.inFlight--
	a.tokens += tokens
}

// part returns the share of an instance that has no news.
func (l *Limiter) part() float64 { return 1 / float64(l.instances.Load()) }

func (l *Limiter) shard(id fleet.AccountID) *shard {
	return &l.shards[hash(id)%shardCount]
}

// account returns the state of id, whose shard is locked.
func (l *Limiter) account(h *shard, id fleet.AccountID, limit document.Account, now time.Time) *account {
	a := h.accounts[id]
	if a != nil {
		return a
	}
	a = &account{share: l.part(), filled: now, fraction: true}
	a.tokens = a.burst(limit)
	h.accounts[id] = a
	return a
}

// mayRun returns whether one more request may be in progress here. Within the
// whole places of the share it may. The fraction that is left over counts as a
// place at times; without that an account with fewer places than there are
// instances could not start anything.
func (a *account) mayRun(limit document.Account) bool {
	return a.inFlight < a.places(limit)
}

// places returns the requests that may be in progress here.
func (a *account) places(limit document.Account) int {
	exact := float64(limit.MaxInFlight) * a.share
	whole := int(exact)
	if a.fraction && exact > float64(whole) {
		whole++
	}
	return whole
}

// reserved returns the places that the others must not use.
func (a *account) reserved(limit document.Account) int {
	return max(a.inFlight, a.places(limit))
}

func (a *account) burst(limit document.Account) float64 {
	b := float64(limit.Burst)
	if b == 0 {
		b = limit.RequestRate * defaultBurst
	}
	return max(1, b*a.share)
}

// spend takes a token and returns zero, or the time until there is one.
func (a *account) spend(limit document.Account, now time.Time) time.Duration {
	if limit.RequestRate <= 0 {
		return 0
	}
	rate := limit.RequestRate * a.share
	a.tokens = min(a.tokens+rate*max(now.Sub(a.filled), 0).Seconds(), a.burst(limit))
	a.filled = now
	if a.tokens >= 1 {
		a.tokens--
		return 0
	}
	wait := time.Duration((1 - a.tokens) / rate * float64(time.Second))
	return max(wait, minRetry)
}

func hash(id fleet.AccountID) uint64 { return xxhash.Sum64String(string(id)) }
