// Package queue implements a bounded fair queue of requests with priorities and
// deadlines.
//
// An item of a higher priority goes before one of a lower priority, except that
// every lowestPriorityInterval-th item is taken from the lowest waiting priority,
// which prevents starvation. Among the accounts of one priority the order is
// start-time fair queueing (Goyal, Vin and Cheng, SIGCOMM 1996): each account gets
// a share of the service time in proportion to its weight, however many requests it
// sends.
//
// The queue is bounded. An account may hold as many items, per unit of weight,
// as the queue has free capacity (dynamic thresholds, Choudhury and Hahne, 1998), so a
// few large accounts cannot fill it.
//
// A Queue takes no lock and reads no clock: the caller passes the time.
package queue

import (
	"container/heap"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// lowestPriorityInterval is the number of items of which one is taken from the
	// lowest waiting priority.
	lowestPriorityInterval = 16
	// minCost keeps items without an expected service time from being free.
	minCost = time.Millisecond
	// flowSweepThreshold is the number of flows above which idle flows whose finish
	// tag no longer has an effect are dropped.
	flowSweepThreshold = 1024
)

// Item is one waiting request. It belongs to one Queue at a time.
type Item struct {
	Account  fleet.AccountID
	Weight   int
	Priority fleet.Priority
	// Expected is the expected service time. The account is charged for it.
	Expected time.Duration
	// Margin is the time that the request may take beyond Expected. It counts
	// against the deadline, but the account is not charged for it.
	Margin time.Duration
	// Deadline is the time by which the request has to finish. Zero means none.
	Deadline time.Time
	// Value is data of the caller. The queue does not use it.
	Value any

	flow        *flow
	prev, next  *Item
	expiryIndex int // index in Queue.expiry, -1 when not in it
}

// LatestStart returns the time after which the request cannot finish before its
// deadline.
func (i *Item) LatestStart() time.Time { return i.Deadline.Add(-i.Expected - i.Margin) }

func (i *Item) expired(now time.Time) bool {
	return !i.Deadline.IsZero() && now.After(i.LatestStart())
}

func (i *Item) cost() float64 { return max(i.Expected, minCost).Seconds() }

// Queue is a bounded fair queue. Use New.
type Queue struct {
	limit  int
	count  int
	popped int      // items returned by Pop
	levels []*level // highest priority first
	expiry expiryHeap
}

// New returns a Queue for at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of items.
func (q *Queue) Len() int { return q.count }

// EstimatedWait returns the expected time until a new item of an account would
// start, if slots items run concurrently.
func (q *Queue) EstimatedWait(a fleet.AccountID, weight int, p fleet.Priority, slots float64) time.Duration {
	ahead := 0.0
	for _, l := range q.levels {
		if l.priority > p {
			ahead += l.work
		}
		if l.priority == p {
			ahead += l.workAhead(a, float64(max(weight, 1)))
		}
	}
	return time.Duration(ahead / max(slots, 1) * float64(time.Second))
}

// Push adds i. It returns false when the queue has no capacity left for its account.
func (q *Queue) Push(i *Item) bool {
	l := q.level(i.Priority)
	f := l.flow(i.Account)
	free := q.limit - q.count
	if free <= 0 || f.count > 0 && f.count >= free*max(i.Weight, 1) {
		return false
	}
	f.weight = float64(max(i.Weight, 1))
	l.push(f, i)
	q.count++
	i.expiryIndex = -1
	if !i.Deadline.IsZero() {
		heap.Push(&q.expiry, i)
	}
	return true
}

// Pop removes and returns the next item, or nil when there is none or accept
// returns false for it. Pop does not check deadlines; call Expire first.
func (q *Queue) Pop(accept func(*Item) bool) *Item {
	l := q.nextLevel()
	if l == nil {
		return nil
	}
	f := l.active[0]
	i := f.head
	if !accept(i) {
		return nil
	}
	q.popped++
	l.advance(f, i)
	q.unlink(l, i)
	return i
}

// Expire removes and returns an item whose latest start has passed, or nil.
func (q *Queue) Expire(now time.Time) *Item {
	if len(q.expiry) == 0 || !q.expiry[0].expired(now) {
		return nil
	}
	i := q.expiry[0]
	q.Remove(i)
	return i
}

// Remove removes i. It returns false when i is not in the queue.
func (q *Queue) Remove(i *Item) bool {
	if i.flow == nil {
		return false
	}
	q.unlink(i.flow.level, i)
	return true
}

func (q *Queue) nextLevel() *level {
	var highest, lowest *level
	for _, l := range q.levels {
		if len(l.active) == 0 {
			continue
		}
		if highest == nil {
			highest = l
		}
		lowest = l
	}
	if q.popped%lowestPriorityInterval == lowestPriorityInterval-1 {
		return lowest
	}
	return highest
}

func (q *Queue) level(p fleet.Priority) *level {
	i := 0
	for i < len(q.levels) && q.levels[i].priority > p {
		i++
	}
	if i < len(q.levels) && q.levels[i].priority == p {
		return q.levels[i]
	}
	l := &level{priority: p, flows: make(map[fleet.AccountID]*flow)}
	q.levels = append(q.levels, nil)
	copy(q.levels[i+1:], q.levels[i:])
	q.levels[i] = l
	return l
}

func (q *Queue) unlink(l *level, i *Item) {
	l.remove(i)
	q.count--
	if i.expiryIndex >= 0 {
		heap.Remove(&q.expiry, i.expiryIndex)
	}
}
