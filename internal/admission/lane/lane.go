// Package lane admits the requests of one pool: a fair queue with deadlines in
// front of a number of places that adapts to what the pool can run.
//
// Lane is pure state. The caller passes the time, holds a lock when it needs
// one, and gets the outcome of a wait by a callback:
//
//	l := lane.New(pool, 1024, nil)
//	w, err := l.Join(ask, now, func(err error) { granted <- err })
//	...
//	l.Finish(w, took, now)
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
	// serviceWeight is the weight of the newest piece of work in the mean time
	// of work and in its deviation.
	serviceWeight = 0.05
	// safety is the number of mean deviations by which work may take longer
	// than the mean and still end before its deadline. With 0, 11% of the work
	// of an overloaded pool was lost to deadlines.
	safety = 3
	// minRetry is the shortest time after which a refused caller is asked to
	// come back.
	minRetry = 100 * time.Millisecond
)

// Bound limits the work in progress of all pools together. Implementations are
// safe for concurrent use; quiet/governor has one.
type Bound interface {
	// Start returns whether work of the expected time may start at now. When it
	// may, end is called once when the work has ended. move is called at most
	// once, when the work has to leave.
	Start(now time.Time, expected time.Duration, move func()) (end func(), ok bool)
	// Move asks work over the bound to leave, and returns how much.
	Move(now time.Time) int
	// Retry returns the time for which no work can start at all, however much
	// ends, or zero.
	Retry(now time.Time) time.Duration
}

// Counters are sums since the start of a Lane, and its state now.
type Counters struct {
	Admitted          uint64
	RefusedOverloaded uint64
	RefusedDeadline   uint64
	RefusedQuietHours uint64
	Abandoned         uint64 // the caller went away while waiting
	Waiting           int
	Running           int
	Places            float64
}

// String describes the state for a decision record.
func (c Counters) String() string {
	return fmt.Sprintf("%d running on %.1f places, %d waiting", c.Running, c.Places, c.Waiting)
}

// Lane admits the requests of one pool. It is not safe for concurrent use.
type Lane struct {
	pool    fleet.PoolID
	bound   Bound
	waiting *queue.Queue
	running int
	places  places
	bounded bool          // the bound kept work from starting at the last Wake
	service time.Duration // mean time of work
	spread  time.Duration // mean deviation from it
	counts  Counters
}

// Waiter is a request that waits or runs.
type Waiter struct {
	item   queue.Item
	notify func(error)
	end    func() // of the bound, or nil
	moved  chan struct{}
}

// Moved returns a channel that is closed when the work has to leave because of
// the bound. Without a bound it is nil.
func (w *Waiter) Moved() <-chan struct{} { return w.moved }

// New returns a Lane for a pool with room for so many waiting requests. bound
// may be nil.
func New(p fleet.PoolID, room int, bound Bound) *Lane {
	return &Lane{pool: p, bound: bound, waiting: queue.New(room), places: newPlaces()}
}

// Join lets a request wait for a place. notify is called once, perhaps before
// Join returns, with nil when the request has a place or with the error of a
// refusal. It is not called when Join returns an error or after Leave.
func (l *Lane) Join(a admission.Ask, now time.Time, notify func(error)) (*Waiter, error) {
	expected, reserve := a.Expected, time.Duration(0)
	if expected == 0 {
		expected, reserve = l.service, safety*l.spread
	}
	w := &Waiter{notify: notify}
	w.item = queue.Item{
		Account:  a.Account,
		Weight:   a.Weight,
		Priority: a.Priority,
		Expected: expected,
		Reserve:  reserve,
		Deadline: a.Deadline,
		Owner:    w,
	}
	if err := l.rejectEarly(w, now); err != nil {
		return nil, err
	}
	if !l.waiting.Push(&w.item) {
		l.counts.RefusedOverloaded++
		return nil, refusal.New(refusal.Overloaded, "queue of pool %q has no room for account %q", l.pool, a.Account).After(l.retry(l.wait(w)))
	}
	l.Wake(now)
	return w, nil
}

// LatestStart returns the time after which the work of w cannot finish before
// its deadline. Without a deadline it is zero.
func (w *Waiter) LatestStart() time.Time {
	if w.item.Deadline.IsZero() {
		return time.Time{}
	}
	return w.item.LatestStart()
}

// Leave takes w out of the queue because its caller went away. It returns false
// when w does not wait any more.
func (l *Lane) Leave(w *Waiter) bool {
	l.counts.Abandoned++
	return l.waiting.Remove(&w.item)
}

// Finish returns the place of w. took is the time of the work, or zero when it
// was not run.
func (l *Lane) Finish(w *Waiter, took time.Duration, now time.Time) {
	if w.end != nil {
		w.end()
	}
	l.running--
	if took > 0 {
		l.learn(took)
	}
	l.Wake(now)
}

func (l *Lane) learn(took time.Duration) {
	if l.service == 0 {
		l.service = took
	}
	off := took - l.service
	l.service += time.Duration(serviceWeight * float64(off))
	l.spread += time.Duration(serviceWeight * float64(max(off, -off)-l.spread))
}

// Adapt takes over what is known of the pool.
func (l *Lane) Adapt(c Capacity, now time.Time) {
	l.places.adapt(c, now)
	l.Wake(now)
}

// Wake refuses requests that became late and hands out free places.
func (l *Lane) Wake(now time.Time) {
	for i := l.waiting.Expire(now); i != nil; i = l.waiting.Expire(now) {
		i.Owner.(*Waiter).notify(l.late(now))
	}
	l.bounded = false
	start := func(i *queue.Item) bool {
		l.bounded = !l.begin(i, now)
		return !l.bounded
	}
	for float64(l.running+1) <= l.places.limit {
		i := l.waiting.Pop(start)
		if i == nil {
			break
		}
		l.running++
		l.counts.Admitted++
		i.Owner.(*Waiter).notify(nil)
	}
	l.places.binding = l.places.binding || l.waiting.Len() > 0
}

// Counters returns the sums and the state.
func (l *Lane) Counters() Counters {
	c := l.counts
	c.Waiting = l.waiting.Len()
	c.Running = l.running
	c.Places = l.places.limit
	return c
}

// rejectEarly returns an error when the work could not finish in time.
func (l *Lane) rejectEarly(w *Waiter, now time.Time) error {
	if w.item.Deadline.IsZero() {
		return nil
	}
	if now.After(w.item.LatestStart()) {
		l.counts.RefusedDeadline++
		return refusal.New(refusal.Deadline, "work of %v cannot finish before the deadline, not started", w.item.Expected)
	}
	if l.bound != nil {
		if d := l.bound.Retry(now); d > 0 && now.Add(d).After(w.item.LatestStart()) {
			return l.quiet(d)
		}
	}
	wait := l.wait(w)
	if !now.Add(wait).After(w.item.LatestStart()) {
		return nil
	}
	l.counts.RefusedOverloaded++
	return refusal.New(refusal.Overloaded, "pool %q has %v of work waiting, too much for the deadline", l.pool, wait).After(l.retry(wait))
}

func (l *Lane) wait(w *Waiter) time.Duration {
	if float64(l.running+1) <= l.places.limit {
		return 0
	}
	return l.waiting.Wait(w.item.Account, w.item.Weight, w.item.Priority, l.places.limit)
}

// begin asks the bound for one more piece of work.
func (l *Lane) begin(i *queue.Item, now time.Time) bool {
	if l.bound == nil {
		return true
	}
	w := i.Owner.(*Waiter)
	moved := make(chan struct{})
	end, ok := l.bound.Start(now, i.Expected+i.Reserve, func() { close(moved) })
	w.end, w.moved = end, moved
	return ok
}

// late returns the error of work that waited until it could not finish any more.
func (l *Lane) late(now time.Time) error {
	if l.bounded {
		return l.quiet(l.bound.Retry(now))
	}
	l.counts.RefusedOverloaded++
	return refusal.New(refusal.Overloaded, "pool %q had no free place before the deadline, not started", l.pool).After(l.retry(0))
}

func (l *Lane) quiet(wait time.Duration) error {
	l.counts.RefusedQuietHours++
	return refusal.New(refusal.QuietHours, "quiet hours bound the work in progress, not started").After(l.retry(wait))
}

// retry returns the time after which a place is likely to be free.
func (l *Lane) retry(wait time.Duration) time.Duration {
	return max(wait, l.service, minRetry)
}
