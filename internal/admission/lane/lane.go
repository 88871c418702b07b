// Package lane admits the requests of one pool: a fair queue with deadlines in
// front of a concurrency limit that adapts to what the pool can run.
//
// A Lane reads no clock and takes no lock. The caller passes the time, locks where
// needed, and receives the result of a wait by a callback:
//
//	l := lane.New(pool, 1024, nil)
//	w, err := l.Join(request, now, func(err error) { result <- err })
//	...
//	l.Finish(w, serviceTime, now)
package lane

import (
	"fmt"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/admission/queue"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

const (
	// ewmaWeight is the weight of the newest sample in the moving averages of
	// the service time and of its deviation.
	ewmaWeight = 0.05
	// deviationMargin is the number of mean deviations by which a request may take
	// longer than the mean and still finish before its deadline. With 0, 11% of the
	// work of an overloaded pool was lost to missed deadlines.
	deviationMargin = 3
	// minRetryAfter is the smallest retry delay that is sent to a refused caller.
	minRetryAfter = 100 * time.Millisecond
)

// QuietLimit limits the requests in progress of all pools together for quiet
// hours. Implementations are safe for concurrent use; package governor has one.
type QuietLimit interface {
	// Start reports whether a request of the expected duration may start at now.
	// If so, the caller calls release once, when the request has ended. evict is
	// called at most once, when the request has to leave.
	Start(now time.Time, expected time.Duration, evict func()) (release func(), ok bool)
	// Evict evicts the requests over the limit and returns their number.
	Evict(now time.Time) int
	// RetryAfter returns the time for which no request can start, even if all requests
	// in progress end, or zero.
	RetryAfter(now time.Time) time.Duration
}

// Counters holds totals since the creation of a Lane, and its current state.
type Counters struct {
	Admitted          uint64
	RefusedOverloaded uint64
	RefusedDeadline   uint64
	RefusedQuietHours uint64
	Abandoned         uint64 // the caller went away while waiting
	Waiting           int
	Running           int
	Permits           float64
}

// String describes the current state for a decision record.
func (c Counters) String() string {
	return fmt.Sprintf("%d running on %.1f places, %d waiting", c.Running, c.Permits, c.Waiting)
}

// Lane admits the requests of one pool. It is not safe for concurrent use.
type Lane struct {
	pool                fleet.PoolID
	quietLimit          QuietLimit
	waiting             *queue.Queue
	running             int
	permits             concurrencyLimit
	blockedByQuietLimit bool          // the quiet-hours limit kept a request from starting at the last Wake
	meanServiceTime     time.Duration // moving average
	meanDeviation       time.Duration // moving average of the distance to meanServiceTime
	counters            Counters
}

// Waiter is a request that waits or runs.
type Waiter struct {
	item    queue.Item
	notify  func(error)
	release func() // returned by QuietLimit.Start, or nil
	evicted chan struct{}
}

// Evicted returns a channel that is closed when the request has to leave because of
// the quiet-hours limit. Without such a limit it is nil.
func (w *Waiter) Evicted() <-chan struct{} { return w.evicted }

// New returns a Lane for a pool in which at most queueLimit requests wait.
// quietLimit may be nil.
func New(p fleet.PoolID, queueLimit int, quietLimit QuietLimit) *Lane {
	return &Lane{pool: p, quietLimit: quietLimit, waiting: queue.New(queueLimit), permits: newConcurrencyLimit()}
}

// Join queues a request for a permit. notify is called once, possibly before Join
// returns, with nil when the request has a permit or with the error of a refusal.
// It is not called when Join returns an error or after Leave.
func (l *Lane) Join(r admission.Request, now time.Time, notify func(error)) (*Waiter, error) {
	expected, margin := r.Expected, time.Duration(0)
	if expected == 0 {
		expected, margin = l.meanServiceTime, deviationMargin*l.meanDeviation
	}
	w := &Waiter{notify: notify}
	w.item = queue.Item{
		Account:  r.Account,
		Weight:   r.Weight,
		Priority: r.Priority,
		Expected: expected,
		Margin:   margin,
		Deadline: r.Deadline,
		Value:    w,
	}
	if err := l.rejectEarly(w, now); err != nil {
		return nil, err
	}
	if !l.waiting.Push(&w.item) {
		l.counters.RefusedOverloaded++
		return nil, refusal.New(refusal.Overloaded, "queue of pool %q has no room for account %q", l.pool, r.Account).WithRetryAfter(l.retryAfter(l.estimatedWait(w)))
	}
	l.Wake(now)
	return w, nil
}

// LatestStart returns the time after which w cannot finish before its deadline.
// Without a deadline it is zero.
func (w *Waiter) LatestStart() time.Time {
	if w.item.Deadline.IsZero() {
		return time.Time{}
	}
	return w.item.LatestStart()
}

// Leave removes w from the queue because its caller has gone away. It returns false
// when w no longer waits.
func (l *Lane) Leave(w *Waiter) bool {
	l.counters.Abandoned++
	return l.waiting.Remove(&w.item)
}

// Finish returns the permit of w. serviceTime is zero when the request was not run.
func (l *Lane) Finish(w *Waiter, serviceTime time.Duration, now time.Time) {
	if w.release != nil {
		w.release()
	}
	l.running--
	if serviceTime > 0 {
		l.recordServiceTime(serviceTime)
	}
	l.Wake(now)
}

func (l *Lane) recordServiceTime(sample time.Duration) {
	if l.meanServiceTime == 0 {
		l.meanServiceTime = sample
	}
	deviation := sample - l.meanServiceTime
	l.meanServiceTime += time.Duration(ewmaWeight * float64(deviation))
	l.meanDeviation += time.Duration(ewmaWeight * float64(max(deviation, -deviation)-l.meanDeviation))
}

// SetCapacity updates what is known of the capacity of the pool.
func (l *Lane) SetCapacity(c Capacity, now time.Time) {
	l.permits.adapt(c, now)
	l.Wake(now)
}

// Wake refuses requests that can no longer finish in time and grants free permits.
func (l *Lane) Wake(now time.Time) {
	for i := l.waiting.Expire(now); i != nil; i = l.waiting.Expire(now) {
		i.Value.(*Waiter).notify(l.lateError(now))
	}
	l.blockedByQuietLimit = false
	tryStart := func(i *queue.Item) bool {
		l.blockedByQuietLimit = !l.acquireQuietLimit(i, now)
		return !l.blockedByQuietLimit
	}
	for float64(l.running+1) <= l.permits.limit {
		i := l.waiting.Pop(tryStart)
		if i == nil {
			break
		}
		l.running++
		l.counters.Admitted++
		i.Value.(*Waiter).notify(nil)
	}
	l.permits.binding = l.permits.binding || l.waiting.Len() > 0
}

// Counters returns the totals and the current state.
func (l *Lane) Counters() Counters {
	c := l.counters
	c.Waiting = l.waiting.Len()
	c.Running = l.running
	c.Permits = l.permits.limit
	return c
}

// rejectEarly returns an error when the request is not expected to finish in time.
func (l *Lane) rejectEarly(w *Waiter, now time.Time) error {
	if w.item.Deadline.IsZero() {
		return nil
	}
	if now.After(w.item.LatestStart()) {
		l.counters.RefusedDeadline++
		return refusal.New(refusal.Deadline, "work of %v cannot finish before the deadline, not started", w.item.Expected)
	}
	if l.quietLimit != nil {
		if d := l.quietLimit.RetryAfter(now); d > 0 && now.Add(d).After(w.item.LatestStart()) {
			return l.quietHoursError(d)
		}
	}
	wait := l.estimatedWait(w)
	if !now.Add(wait).After(w.item.LatestStart()) {
		return nil
	}
	l.counters.RefusedOverloaded++
	return refusal.New(refusal.Overloaded, "pool %q has %v of work waiting, too much for the deadline", l.pool, wait).WithRetryAfter(l.retryAfter(wait))
}

func (l *Lane) estimatedWait(w *Waiter) time.Duration {
	if float64(l.running+1) <= l.permits.limit {
		return 0
	}
	return l.waiting.EstimatedWait(w.item.Account, w.item.Weight, w.item.Priority, l.permits.limit)
}

// acquireQuietLimit reports whether the quiet-hours limit allows one more request.
func (l *Lane) acquireQuietLimit(i *queue.Item, now time.Time) bool {
	if l.quietLimit == nil {
		return true
	}
	w := i.Value.(*Waiter)
	evicted := make(chan struct{})
	release, ok := l.quietLimit.Start(now, i.Expected+i.Margin, func() { close(evicted) })
	w.release, w.evicted = release, evicted
	return ok
}

// lateError returns the error of a request that waited past its latest start.
func (l *Lane) lateError(now time.Time) error {
	if l.blockedByQuietLimit {
		return l.quietHoursError(l.quietLimit.RetryAfter(now))
	}
	l.counters.RefusedOverloaded++
	return refusal.New(refusal.Overloaded, "pool %q had no free place before the deadline, not started", l.pool).WithRetryAfter(l.retryAfter(0))
}

func (l *Lane) quietHoursError(wait time.Duration) error {
	l.counters.RefusedQuietHours++
	return refusal.New(refusal.QuietHours, "quiet hours bound the work in progress, not started").WithRetryAfter(l.retryAfter(wait))
}

// retryAfter returns the time after which a permit is likely to be free.
func (l *Lane) retryAfter(wait time.Duration) time.Duration {
	return max(wait, l.meanServiceTime, minRetryAfter)
}
