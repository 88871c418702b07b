package gate

import (
	"context"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/admission/queue"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
)

const (
	// serviceWeight is the weight of the newest piece of work in the mean time
	// of work.
	serviceWeight = 0.05
	// minRetry is the shortest time after which a refused caller is asked to
	// come back.
	minRetry = 100 * time.Millisecond
)

// Counters are sums since the start of a lane, and its state now.
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

// lane admits the requests of one pool.
type lane struct {
	gate *Gate
	pool fleet.PoolID

	mu      sync.Mutex
	waiting *queue.Queue
	running int
	places  places
	service time.Duration // mean time of work
	counts  Counters
}

// waiter is the owner of a queued item.
type waiter struct {
	item    queue.Item
	granted chan struct{}
	end     func() // of the bound, or nil
	refused error
}

func newLane(g *Gate, p fleet.PoolID) *lane {
	return &lane{gate: g, pool: p, waiting: queue.New(g.queue), places: newPlaces()}
}

func (l *lane) enter(ctx context.Context, a admission.Ask, now time.Time) (*ticket, error) {
	w, err := l.join(a, now)
	if err != nil {
		return nil, err
	}
	select {
	case <-w.granted:
		return l.ticket(w, a)
	default:
	}
	var late <-chan time.Time
	if !a.Deadline.IsZero() {
		// One nanosecond later the item counts as expired.
		late = l.gate.clock.After(w.item.LatestStart().Sub(now) + 1)
	}
	select {
	case <-w.granted:
		return l.ticket(w, a)
	case <-late:
		return l.giveUp(w, a, nil)
	case <-ctx.Done():
		return l.giveUp(w, a, ctx.Err())
	}
}

// join puts a request into the queue and hands out places.
func (l *lane) join(a admission.Ask, now time.Time) (*waiter, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expected := a.Expected
	if expected == 0 {
		expected = l.service
	}
	w := &waiter{granted: make(chan struct{})}
	w.item = queue.Item{
		Account:  a.Account,
		Weight:   a.Weight,
		Priority: a.Priority,
		Expected: expected,
		Deadline: a.Deadline,
		Owner:    w,
	}
	if err := l.hopeless(w, now); err != nil {
		return nil, err
	}
	if !l.waiting.Push(&w.item) {
		l.counts.RefusedOverloaded++
		return nil, refusal.New(refusal.Overloaded, "queue of pool %q has no room for account %q", l.pool, a.Account).After(l.retry(l.wait(w)))
	}
	l.pump(now)
	return w, nil
}

// hopeless returns an error when the work could not finish in time.
func (l *lane) hopeless(w *waiter, now time.Time) error {
	if w.item.Deadline.IsZero() {
		return nil
	}
	if now.After(w.item.LatestStart()) {
		l.counts.RefusedDeadline++
		return refusal.New(refusal.Deadline, "work of %v cannot finish before the deadline, not started", w.item.Expected)
	}
	wait := l.wait(w)
	if !now.Add(wait).After(w.item.LatestStart()) {
		return nil
	}
	l.counts.RefusedOverloaded++
	return refusal.New(refusal.Overloaded, "pool %q has %v of work waiting, too much for the deadline", l.pool, wait).After(l.retry(wait))
}

func (l *lane) wait(w *waiter) time.Duration {
	if float64(l.running+1) <= l.places.limit {
		return 0
	}
	return l.waiting.Wait(w.item.Account, w.item.Weight, w.item.Priority, l.places.limit)
}

// pump hands out free places. Items that became late are refused first.
func (l *lane) pump(now time.Time) {
	for i := l.waiting.Expire(now); i != nil; i = l.waiting.Expire(now) {
		l.refuse(i.Owner.(*waiter), now)
	}
	start := func(i *queue.Item) bool { return l.begin(i, now) }
	for float64(l.running+1) <= l.places.limit {
		i := l.waiting.Pop(start)
		if i == nil {
			break
		}
		l.running++
		l.counts.Admitted++
		close(i.Owner.(*waiter).granted)
	}
	l.places.binding = l.places.binding || l.waiting.Len() > 0
}

// begin asks the bound for one more piece of work.
func (l *lane) begin(i *queue.Item, now time.Time) bool {
	if l.gate.bound == nil {
		return true
	}
	end, ok := l.gate.bound.Start(now, i.Expected)
	i.Owner.(*waiter).end = end
	return ok
}

func (l *lane) refuse(w *waiter, now time.Time) {
	w.refused = l.late(w, now)
	close(w.granted)
}

// late returns the error of work that waited until it could not finish any more.
func (l *lane) late(w *waiter, now time.Time) error {
	if l.gate.bound != nil {
		if d := l.gate.bound.Retry(now); d > 0 {
			l.counts.RefusedQuietHours++
			return refusal.New(refusal.QuietHours, "quiet hours bound the work in progress").After(d)
		}
	}
	l.counts.RefusedOverloaded++
	return refusal.New(refusal.Overloaded, "pool %q had no free place before the deadline, not started", l.pool).After(l.retry(0))
}

// giveUp ends the wait of w. A place that was handed out meanwhile is used when
// the caller is still there and returned otherwise.
func (l *lane) giveUp(w *waiter, a admission.Ask, cause error) (*ticket, error) {
	l.mu.Lock()
	removed := l.waiting.Remove(&w.item)
	if removed && cause == nil {
		w.refused = l.late(w, l.gate.clock.Now())
	}
	if cause != nil {
		l.counts.Abandoned++
	}
	l.mu.Unlock()
	if removed && cause == nil {
		return nil, w.refused
	}
	if removed || w.refused != nil {
		return nil, gone(cause)
	}
	t, err := l.ticket(w, a)
	if cause == nil || err != nil {
		return t, err
	}
	l.finish(w, 0)
	return nil, gone(cause)
}

func gone(cause error) error {
	return refusal.Because(refusal.Deadline, cause, "caller left the queue, not started")
}

func (l *lane) ticket(w *waiter, a admission.Ask) (*ticket, error) {
	if w.refused != nil {
		return nil, w.refused
	}
	return &ticket{lane: l, waiter: w, account: a.Account, began: l.gate.clock.Now()}, nil
}

// finish returns the place of w. took is zero when the work was not run.
func (l *lane) finish(w *waiter, took time.Duration) {
	if w.end != nil {
		w.end()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running--
	if l.service == 0 {
		l.service = took
	}
	if took > 0 {
		l.service += time.Duration(serviceWeight * float64(took-l.service))
	}
	l.pump(l.gate.clock.Now())
}

func (l *lane) adapt(c Capacity) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.places.adapt(c)
	l.pump(l.gate.clock.Now())
}

func (l *lane) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pump(l.gate.clock.Now())
}

func (l *lane) counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.counts
	c.Waiting = l.waiting.Len()
	c.Running = l.running
	c.Places = l.places.limit
	return c
}

// retry returns the time after which a place is likely to be free.
func (l *lane) retry(wait time.Duration) time.Duration {
	return max(wait, l.service, minRetry)
}

// ticket implements admission.Ticket.
type ticket struct {
	lane    *lane
	waiter  *waiter
	account fleet.AccountID
	began   time.Time
}

// Done implements admission.Ticket.
func (t *ticket) Done() {
	g := t.lane.gate
	t.lane.finish(t.waiter, g.clock.Now().Sub(t.began))
	g.limit.Release(t.account)
	g.leave()
}
