package queue

import (
	"container/heap"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
)

// level is the fair queue of one priority.
type level struct {
	priority fleet.Priority
	// virtualTime is the start tag of the last item returned by Pop.
	virtualTime  float64
	flows        map[fleet.AccountID]*flow
	active       flowHeap // flows with items
	work         float64  // sum of the costs of all items, in seconds
	activeWeight float64  // sum of the weights of active flows
}

// flow is the FIFO queue of one account.
type flow struct {
	account       fleet.AccountID
	level         *level
	weight        float64
	countedWeight float64 // weight as included in level.activeWeight
	head, tail    *Item
	count         int
	work          float64 // sum of the costs of the items, in seconds
	startTag      float64 // start tag of head
	finishTag     float64 // finish tag of the item before head
	heapIndex     int
}

func (l *level) flow(a fleet.AccountID) *flow {
	f := l.flows[a]
	if f != nil {
		return f
	}
	if len(l.flows) > flowSweepThreshold {
		l.sweep()
	}
	f = &flow{account: a, level: l, weight: 1, heapIndex: -1}
	l.flows[a] = f
	return f
}

// sweep drops idle flows whose finish tag no longer affects the order.
func (l *level) sweep() {
	for a, f := range l.flows {
		if f.count == 0 && f.finishTag <= l.virtualTime {
			delete(l.flows, a)
		}
	}
}

// workAhead returns the work, in seconds, that is served before a new item of a: the
// items of a, and as much per unit of weight of the other active accounts.
func (l *level) workAhead(a fleet.AccountID, weight float64) float64 {
	own, others := 0.0, l.activeWeight
	if f := l.flows[a]; f != nil && f.count > 0 {
		own = f.work
		others -= f.countedWeight
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
	f.startTag = max(l.virtualTime, f.finishTag)
	f.countedWeight = f.weight
	l.activeWeight += f.countedWeight
	heap.Push(&l.active, f)
}

// advance charges f for its head i, which Pop is about to remove.
func (l *level) advance(f *flow, i *Item) {
	l.virtualTime = f.startTag
	f.finishTag = f.startTag + i.cost()/f.weight
	f.startTag = max(l.virtualTime, f.finishTag)
	heap.Fix(&l.active, f.heapIndex)
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
	l.activeWeight -= f.countedWeight
	heap.Remove(&l.active, f.heapIndex)
	if len(l.active) == 0 {
		l.work, l.activeWeight = 0, 0 // don't accumulate rounding errors
	}
}

type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }

func (h flowHeap) Less(i, j int) bool {
	if h[i].startTag != h[j].startTag {
		return h[i].startTag < h[j].startTag
	}
	return h[i].account < h[j].account
}

func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.heapIndex = len(*h)
	*h = append(*h, f)
}

func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.heapIndex = -1
	return f
}

type expiryHeap []*Item

func (h expiryHeap) Len() int           { return len(h) }
func (h expiryHeap) Less(i, j int) bool { return h[i].LatestStart().Before(h[j].LatestStart()) }

func (h expiryHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].expiryIndex, h[j].expiryIndex = i, j
}

func (h *expiryHeap) Push(x any) {
	i := x.(*Item)
	i.expiryIndex = len(*h)
	*h = append(*h, i)
}

func (h *expiryHeap) Pop() any {
	old := *h
	i := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	i.expiryIndex = -1
	return i
}
