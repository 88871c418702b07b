package governor

import "time"

// task is a unit of work in progress.
type task struct {
	expectedEnd time.Time // includes the allowance for an overrun
	extension   time.Duration
	spanCount   int // number of leading spans in which the task is counted
	heapIndex   int
	evict       func()
	evicted     bool // the task was selected by Evict
}

// taskHeap implements heap.Interface, ordered by expectedEnd.
type taskHeap []*task

func (h taskHeap) Len() int           { return len(h) }
func (h taskHeap) Less(i, j int) bool { return h[i].expectedEnd.Before(h[j].expectedEnd) }

func (h taskHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *taskHeap) Push(x any) {
	r := x.(*task)
	r.heapIndex = len(*h)
	*h = append(*h, r)
}

func (h *taskHeap) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
