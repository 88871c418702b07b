package lane

import "time"

const (
	// adaptEvery is the time between changes. Upstreams report once a second, so
	// a change shows before the next one.
	adaptEvery = time.Second
	// unknownPlaces holds until the capacity of a pool is known.
	unknownPlaces = 32
	// firstHeadroom lets an instance use more than its even part from the
	// start, because the load is never spread evenly.
	firstHeadroom = 1.25
	// fullLoad is the reported load per slot that is aimed at. It is above 1
	// because instances that do not see each other's choices leave slots of one
	// upstream idle while work waits at another one. 40 upstreams reached 94.8%
	// of the bound with 1.4 and 98.1% with 1.8.
	fullLoad = 1.8
	// growth is the part of the even part that is added at a time.
	growth = 0.05
	// idleLoad is the load per slot below which slots are surely idle. Places
	// that hold work back then grow by idleGrowth times. With growth alone, 3
	// instances that got all requests of 15 stayed at 77% of the offered load.
	idleLoad   = 0.9
	idleGrowth = 1.25
	// minGrowth is in places. Without it an even part of 0.8 places, as in a
	// pool of 12 slots and 15 instances, grows by one place in 25 s only.
	minGrowth = 0.2
	// maxCut is the largest part that is taken away at a time.
	maxCut = 0.2
	// minPart is the part of the even part that is always kept.
	minPart = 0.5
)

// Capacity is what is known of a pool.
type Capacity struct {
	// Slots is the sum over the sound upstreams of the pool.
	Slots float64
	// Instances is the number of instances that send work to the pool, this
	// one included.
	Instances int
	// Reported is the sum of running and waiting work in the last reports.
	Reported float64
	// Known is the number of slots whose upstreams reported lately. Zero means
	// that Reported says nothing.
	Known float64
}

// places is the number of requests that may run at once. Additive growth and
// multiplicative cuts let instances that do not know each other's number arrive
// at equal parts (Chiu and Jain, 1989).
type places struct {
	limit   float64
	known   bool
	adapted time.Time
	binding bool // work has waited since the last change
}

func newPlaces() places { return places{limit: unknownPlaces} }

func (p *places) adapt(c Capacity, now time.Time) {
	if c.Slots <= 0 {
		return
	}
	part := c.Slots / float64(max(c.Instances, 1))
	if !p.known {
		p.known = true
		p.limit = part * firstHeadroom
	}
	if c.Known > 0 && now.Sub(p.adapted) >= adaptEvery {
		p.follow(c.Reported/c.Known, part)
		p.adapted = now
		p.binding = false
	}
	p.limit = min(max(p.limit, part*minPart, 1), max(c.Slots*fullLoad, 1))
}

func (p *places) follow(load, part float64) {
	if load > fullLoad {
		p.limit *= 1 - min(maxCut, (load-fullLoad)/load)
		return
	}
	if !p.binding {
		return
	}
	p.limit += max(part*growth, minGrowth)
	if load < idleLoad {
		p.limit *= idleGrowth
	}
}
