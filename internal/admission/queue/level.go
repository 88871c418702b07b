package queue

import (
	"container/heap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// level is the fair queue of one priority.
type level struct {
	priority fleet.Priority
	// virtual is the start tag of the item that was handed out last.
	virtual float64
	flows   map[fleet.AccountID]*flow
	active  flowHeap // flows with items
	work    float64  // sum of the costs of all items
	weight  float64  // sum of the weights of active flows
}

// flow is the queue of one account, first in, first out.
type flow struct {
	account    fleet.AccountID
	level      *level
	weight     float64
	counted    float64 // weight as it is part of level.weight
	head, tail *Item
	count      int
	work       float64
	start      float64 // start tag of head
	finish     float64 // finish tag of the item before head
	position   int
}

func (l *level) flow(a fleet.AccountID) *flow {
	f := l.flows[a]
	if f != nil {
		return f
	}
	if len(l.flows) > keptFlows {
		l.sweep()
	}
	f = &flow{account: a, level: l, weight: 1, position: -1}
	l.flows[a] = f
	return f
}

// sweep drops idle flows whose past no longer matters.
func (l *level) sweep() {
	for a, f := range l.flows {
		if f.count == 0 && f.finish <= l.virtual {
			delete(l.flows, a)
		}
	}
}

// ahead returns the work that goes before a new item of a: the items of a, and
// as much per weight of the other accounts.
func (l *level) ahead(a fleet.AccountID, weight float64) float64 {
	own, others := 0.0, l.weight
	if f := l.flows[a]; f != nil && f.count > 0 {
		own = f.work
		others -= f.counted
	}
	return min(l.work, own+own/weight*others)
}

func (l *level) push(f *flow, i *Item) {
	i.flow = f
	i.prev, i.next = f.tail, nil
	if f.tail != nil {
		f.tail.next = i
	} else {
		f.head = i
	}
	f.tail = i
	f.count++
	f.work += i.cost()
	l.work += i.cost()
	if f.count > 1 {
		return
	}
	f.start = max(l.virtual, f.finish)
	f.counted = f.weight
	l.weight += f.counted
	heap.Push(&l.active, f)
}

// advance charges f for its head, which is handed out.
func (l *level) advance(f *flow, i *Item) {
	l.virtual = f.start
	f.finish = f.start + i.cost()/f.weight
	f.start = max(l.virtual, f.finish)
	heap.Fix(&l.active, f.position)
}

func (l *level) remove(i *Item) {
	f := i.flow
	if i.prev != nil {
		i.prev.next = i.next
	} else {
		f.head = i.next
	}
	if i.next != nil {
		i.next.prev = i.prev
	} else {
		f.tail = i.prev
	}
	i.flow, i.prev, i.next = nil, nil, nil
	f.count--
	f.work = max(f.work-i.cost(), 0)
	l.work = max(l.work-i.cost(), 0)
	if f.count > 0 {
		return
	}
	f.work = 0
	l.weight -= f.counted
	heap.Remove(&l.active, f.position)
	if len(l.active) == 0 {
		l.work, l.weight = 0, 0 // no rounding errors are carried on
	}
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].start != h[j].start {
		return h[i].start < h[j].start
	}
	return h[i].account < h[j].account
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.position = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.position = -1
	return f
}

type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].LatestStart().Before(h[j].LatestStart()) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *expiryHeap) Push(x any) {
	i := x.(*Item)
	i.position = len(*h)
	*h = append(*h, i)
}

func (h *expiryHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	i.position = -1
	return i
}
