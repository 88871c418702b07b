// Package queue holds requests that wait for capacity and hands them out fairly.
//
// Priorities come first: an item of a higher priority goes before one of a lower
// priority, but every starvationTurn-th turn goes to the lowest priority that
// waits. Among accounts of one priority the order is start-time fair queueing
// (Goyal, Vin and Cheng, SIGCOMM 1996): each account gets a share of the work,
// in seconds, in proportion to its weight, however many requests it sends.
//
// The queue is bounded. An account may hold as many items, per unit of weight,
// as there is free room (dynamic thresholds, Choudhury and Hahne, 1998), so a
// few large accounts cannot fill it.
//
// Queue is pure state without locks or clocks: the caller passes the time.
package queue

import (
	"container/heap"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

const (
	// starvationTurn gives one turn in 16 to the lowest waiting priority.
	starvationTurn = 16
	// minimumCost keeps an item without expected time from being free.
	minimumCost = time.Millisecond
	// keptFlows is the number of idle accounts above which their past is
	// dropped as soon as it has no effect any more.
	keptFlows = 1024
)

// Item is one waiting request. It belongs to one Queue at a time.
type Item struct {
	Account  fleet.AccountID
	Weight   int
	Priority fleet.Priority
	// Expected is the mean time of such work, by which accounts are charged.
	Expected time.Duration
	// Reserve is the time that such work may take beyond Expected. It counts for
	// the deadline only.
	Reserve time.Duration
	// Deadline is the time by which the work has to be done. Zero means none.
	Deadline time.Time
	// Owner is for the caller.
	Owner any

	flow       *flow
	prev, next *Item
	position   int // index in the expiry heap, -1 when not in it
}

// LatestStart returns the time after which the work cannot finish before its
// deadline.
func (i *Item) LatestStart() time.Time { return i.Deadline.Add(-i.Expected - i.Reserve) }

func (i *Item) late(now time.Time) bool {
	return !i.Deadline.IsZero() && now.After(i.LatestStart())
}

func (i *Item) cost() float64 { return max(i.Expected, minimumCost).Seconds() }

// Queue is a bounded fair queue. Use New.
type Queue struct {
	limit  int
	count  int
	turn   int
	levels []*level // highest priority first
	expiry expiryHeap
}

// New returns a Queue for at most limit items.
func New(limit int) *Queue { return &Queue{limit: limit} }

// Len returns the number of items.
func (q *Queue) Len() int { return q.count }

// Wait returns the expected time until a new item of an account would start, if
// slots pieces of work run at once.
func (q *Queue) Wait(a fleet.AccountID, weight int, p fleet.Priority, slots float64) time.Duration {
	ahead := 0.0
	for _, l := range q.levels {
		if l.priority > p {
			ahead += l.work
		}
		if l.priority == p {
			ahead += l.ahead(a, float64(max(weight, 1)))
		}
	}
	return time.Duration(ahead / max(slots, 1) * float64(time.Second))
}

// Push adds i and returns false when there is no room for its account.
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
	i.position = -1
	if !i.Deadline.IsZero() {
		heap.Push(&q.expiry, i)
	}
	return true
}

// Pop removes and returns the next item, or nil when there is none or start
// returns false for it. The caller calls Expire first.
func (q *Queue) Pop(start func(*Item) bool) *Item {
	l := q.choose()
	if l == nil {
		return nil
	}
	f := l.active[0]
	i := f.head
	if !start(i) {
		return nil
	}
	q.turn++
	l.advance(f, i)
	q.unlink(l, i)
	return i
}

// Expire removes and returns an item that can no longer finish in time, or nil.
func (q *Queue) Expire(now time.Time) *Item {
	if len(q.expiry) == 0 || !q.expiry[0].late(now) {
		return nil
	}
	i := q.expiry[0]
	q.Remove(i)
	return i
}

// Remove takes i out. It returns false when i is not in the queue.
func (q *Queue) Remove(i *Item) bool {
	if i.flow == nil {
		return false
	}
	q.unlink(i.flow.level, i)
	return true
}

func (q *Queue) choose() *level {
	var first, last *level
	for _, l := range q.levels {
		if len(l.active) == 0 {
			continue
		}
		if first == nil {
			first = l
		}
		last = l
	}
	if q.turn%starvationTurn == starvationTurn-1 {
		return last
	}
	return first
}

func (q *Queue) level(p fleet.Priority) *level {
	at := 0
	for at < len(q.levels) && q.levels[at].priority > p {
		at++
	}
	if at < len(q.levels) && q.levels[at].priority == p {
		return q.levels[at]
	}
	l := &level{priority: p, flows: make(map[fleet.AccountID]*flow)}
	q.levels = append(q.levels, nil)
	copy(q.levels[at+1:], q.levels[at:])
	q.levels[at] = l
	return l
}

func (q *Queue) unlink(l *level, i *Item) {
	l.remove(i)
	q.count--
	if i.position >= 0 {
		heap.Remove(&q.expiry, i.position)
	}
}
