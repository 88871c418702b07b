// Package quota admits the streams of a service at all gateways according to one plan.
//
// Each gateway counts the streams that are offered and admitted for each account and
// service level, and those that end. Controllers add up the counts and send the sums to
// all gateways, each of which computes the same Plan from them. See
// docs/design/admission.md.
package quota

import (
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// maxSumAge is the age up to which sums are used.
	maxSumAge = 2 * time.Second
	// capacityCheckInterval is the time after which a plan is used further only if the
	// capacity is the same. Between two sums engines may be lost.
	capacityCheckInterval = 50 * time.Millisecond
	// quietTime is the time without a refusal after which the end of the refusals is
	// logged.
	quietTime = 2 * time.Second
	// minWait and maxWait bound the time that a refused client is asked to wait, before it
	// is drawn between once and twice that time.
	minWait = 500 * time.Millisecond
	maxWait = 3 * time.Second
	// waitDivisor divides the time that a client has left to give the longest time that it
	// is asked to wait. The rest is left for the response.
	waitDivisor = 3
)

// Decision is the answer to an offered stream.
type Decision struct {
	Admitted bool
	Level    Level
	// Fraction is the fraction of the streams of the account and level that is admitted.
	Fraction float64
	// Offered and Allowed are the rates of the plan, in streams per second.
	Offered, Allowed float64
}

// LevelTotals counts the streams of one level since the start of the gateway.
type LevelTotals struct {
	Offered, Admitted uint64
}

// Status is a snapshot of a Quota for metrics.
type Status struct {
	Totals map[Level]LevelTotals
	Plan   Plan
	Room   Room
	// Age is the age of the newest sums, or that of the Quota if there are none.
	Age time.Duration
	// Stale is set if the sums are too old to be used.
	Stale bool
}

// Quota decides for one gateway which streams of one service are admitted. It is safe for
// concurrent use.
type Quota struct {
	clock  fleet.Clock
	room   func() Room
	random func() float64
	logger *zap.Logger
	start  time.Time

	mu       sync.Mutex
	pairs    map[Pair]*pairState
	finished counter
	active   int // admitted streams that have not ended
	sums     Demand
	gateways int
	sumsAt   time.Time
	plan     Plan
	planRoom Room
	forecast forecast
	// checkedAt is the time at which the capacity was last compared with that of the plan.
	checkedAt time.Time
	totals    map[Level]LevelTotals

	refusing      bool
	refused       uint64 // since the begin of refusing
	refusingSince time.Time
	lastRefusal   time.Time
}

// pairState holds the counts of one pair at this gateway.
type pairState struct {
	offered, admitted counter
	// credit increases by the fraction of the plan with each offered stream. A stream is
	// admitted and costs 1 when it has reached 1. It starts at a random value, so that
	// the streams that many gateways admit add up to the plan.
	credit float64
}

// Option sets one property of a Quota.
type Option func(*Quota)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(random func() float64) Option { return func(q *Quota) { q.random = random } }

// WithLogger sets the logger for the begin and the end of refusals.
func WithLogger(l *zap.Logger) Option { return func(q *Quota) { q.logger = l } }

// New returns a Quota that has received no sums. room returns the capacity of the engines
// that the gateway can reach, and its use by all gateways.
func New(clock fleet.Clock, room func() Room, os ...Option) *Quota {
	q := &Quota{
		clock: clock, room: room, random: rand.Float64, logger: zap.NewNop(), start: clock.Now(),
		pairs: make(map[Pair]*pairState), totals: make(map[Level]LevelTotals), gateways: 1,
	}
	for _, o := range os {
		o(q)
	}
	return q
}

func (q *Quota) slot(now time.Time) int64 { return int64(now.Sub(q.start)/slotTime) + slotCount }

// Offer decides on a stream. The caller must call Done at the end of an admitted stream.
func (q *Quota) Offer(k Pair) Decision {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.updatePlan(now)
	n := q.slot(now)
	k, s := q.pair(k, n)
	s.offered.add(n)
	t := q.totals[k.Level]
	t.Offered++
	d := Decision{Level: k.Level, Fraction: q.plan.Fraction(k), Offered: q.plan.Offered, Allowed: q.plan.Allowed}
	s.credit += d.Fraction
	if d.Admitted = d.Fraction >= 1 || s.credit >= 1; d.Admitted {
		s.credit = max(0, s.credit-1)
		s.admitted.add(n)
		t.Admitted++
		q.active++
	}
	q.totals[k.Level] = t
	q.noteDecision(d, now)
	return d
}

// pair returns the state of a pair. If there are too many pairs, idle ones are removed, and
// if none is idle the account is counted under an empty name.
func (q *Quota) pair(k Pair, n int64) (Pair, *pairState) {
	if s := q.pairs[k]; s != nil {
		return k, s
	}
	if len(q.pairs) >= MaxPairs {
		for o, s := range q.pairs {
			if s.offered.idle(n) {
				delete(q.pairs, o)
			}
		}
	}
	if len(q.pairs) >= MaxPairs {
		k.Account = ""
		if s := q.pairs[k]; s != nil {
			return k, s
		}
	}
	s := &pairState{credit: q.random()}
	q.pairs[k] = s
	return k, s
}

// Done records the end of an admitted stream. ran reports whether it may have run at an
// engine. The end of a stream that no engine accepted makes no room for another one: if
// it counted as finished, a full service would go on admitting as many as it rejects.
func (q *Quota) Done(ran bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if ran {
		q.finished.add(q.slot(q.clock.Now()))
	}
	q.active--
}

// SetSums sets the sums over a number of gateways. at is a time at which or after which
// the sums were computed. It must not be called concurrently with itself.
func (q *Quota) SetSums(d Demand, gateways int, at time.Time) {
	r, ok := q.recordSums(d, gateways, at)
	if !ok {
		return
	}
	// A plan of many accounts takes longer than a stream may wait for its decision.
	p := NewPlan(r, d)
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.setPlan(p, r, now)
	q.forecast.add(now, p)
	q.noteQuiet(now)
}

// recordSums returns the room for a plan, unless the sums are stale.
func (q *Quota) recordSums(d Demand, gateways int, at time.Time) (Room, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.sums, q.gateways, q.sumsAt = d, max(1, gateways), at
	if q.stale(now) {
		return Room{}, false
	}
	return q.currentRoom(now), true
}

// currentRoom returns the room with the change since the sums.
func (q *Quota) currentRoom(now time.Time) Room {
	r := q.room()
	r.Active = max(0, r.Active+q.forecast.change(now, q.sums.FinishedRate()))
	return r
}

// Demand returns the counts of this gateway.
func (q *Quota) Demand() Demand {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.slot(q.clock.Now())
	return q.ownDemand(func(c *counter) int { return c.sum(n, Window) }).Limit()
}

// ownDemand returns the counts of this gateway by means of a function that adds up the
// events of a counter.
func (q *Quota) ownDemand(sum func(*counter) int) Demand {
	d := Demand{Finished: sum(&q.finished), Pairs: make(map[Pair]Count, len(q.pairs))}
	for k, s := range q.pairs {
		if c := (Count{Offered: sum(&s.offered), Admitted: sum(&s.admitted)}); c != (Count{}) {
			d.Pairs[k] = c
		}
	}
	return d
}

func (q *Quota) stale(now time.Time) bool { return now.Sub(q.sumsAt) > maxSumAge }

// updatePlan computes the plan again if the capacity has changed or if the sums are stale.
func (q *Quota) updatePlan(now time.Time) {
	if q.stale(now) {
		q.planAlone(now)
		return
	}
	if now.Sub(q.checkedAt) < capacityCheckInterval {
		return
	}
	q.checkedAt = now
	if r := q.currentRoom(now); r.Capacity != q.planRoom.Capacity {
		p := NewPlan(r, q.sums)
		q.setPlan(p, r, now)
		q.forecast.add(now, p)
	}
}

// planAlone computes the plan of a gateway without sums. The other gateways are assumed to
// have as much load as this one. It is called for each stream and counts the current slot
// too, because many streams may be waiting after a pause of the process.
func (q *Quota) planAlone(now time.Time) {
	q.forecast.clear()
	r := q.room()
	r.Active = float64(q.active * q.gateways)
	n := q.slot(now)
	own := q.ownDemand(func(c *counter) int { return c.upTo(n, isolatedWindow) })
	q.setPlan(NewPlan(r, own.times(float64(q.gateways)*Window.Seconds()/isolatedWindow.Seconds())), r, now)
}

func (q *Quota) setPlan(p Plan, r Room, now time.Time) {
	q.plan, q.planRoom, q.checkedAt = p, r, now
}

// noteDecision logs the first refusal, and the end of refusals.
func (q *Quota) noteDecision(d Decision, now time.Time) {
	if d.Admitted {
		q.noteQuiet(now)
		return
	}
	q.lastRefusal = now
	q.refused++
	if q.refusing {
		return
	}
	q.refusing, q.refused, q.refusingSince = true, 1, now
	q.logger.Warn("Admission control refuses streams.", zap.Int("level", int(d.Level)), zap.Float64("fraction", d.Fraction),
		zap.Float64("offered", d.Offered), zap.Float64("allowed", d.Allowed),
		zap.Float64("capacity", q.planRoom.Capacity), zap.Float64("active", q.planRoom.Active), zap.Bool("staleSums", q.stale(now)))
}

// noteQuiet logs the end of refusals once none has occurred for quietTime.
func (q *Quota) noteQuiet(now time.Time) {
	if !q.refusing || now.Sub(q.lastRefusal) < quietTime {
		return
	}
	q.refusing = false
	least := LevelPlan{}
	if n := len(q.plan.Levels); n > 0 {
		least = q.plan.Levels[n-1]
	}
	q.logger.Info("Admission control admits all streams again.", zap.Int("level", int(least.Level)), zap.Float64("fraction", least.Fraction()),
		zap.Float64("offered", q.plan.Offered), zap.Float64("allowed", q.plan.Allowed),
		zap.Uint64("refused", q.refused), zap.Duration("took", q.lastRefusal.Sub(q.refusingSince)))
}

// RetryAfter returns a random time after which a refused client may retry. left is the
// time until the deadline of the client.
func (q *Quota) RetryAfter(left time.Duration) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	wait := maxWait
	if q.plan.Allowed > 0 {
		excess := (q.plan.Offered/q.plan.Allowed - 1) * float64(time.Second)
		wait = time.Duration(max(float64(minWait), min(float64(maxWait), excess)))
	}
	wait += time.Duration(q.random() * float64(wait))
	return max(0, min(wait, left/waitDivisor))
}

// Status returns a snapshot for metrics.
func (q *Quota) Status() Status {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock.Now()
	q.updatePlan(now)
	s := Status{Totals: make(map[Level]LevelTotals, len(q.totals)), Plan: q.plan, Room: q.planRoom, Age: now.Sub(q.start), Stale: q.stale(now)}
	if !q.sumsAt.IsZero() {
		s.Age = now.Sub(q.sumsAt)
	}
	for l, t := range q.totals {
		s.Totals[l] = t
	}
	return s
}
