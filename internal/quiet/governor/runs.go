package governor

import "time"

// run is work in progress.
type run struct {
	end       time.Time // expected end, with the allowance for an overrun
	extension time.Duration
	spans     int // it counts for this many of the first spans
	position  int
	move      func()
	moved     bool // move was called
}

// runs is a heap of runs, the one that ends first at the top.
type runs []*run

func (h runs) Len() int           { return len(h) }
func (h runs) Less(i, j int) bool { return h[i].end.Before(h[j].end) }

func (h runs) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

func (h *runs) Push(x any) {
	r := x.(*run)
	r.position = len(*h)
	*h = append(*h, r)
}

func (h *runs) Pop() any {
	old := *h
	r := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return r
}
