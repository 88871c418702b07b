package lane

const (
	// unknownPlaces holds until the capacity of a pool is known.
	unknownPlaces = 32
	// firstHeadroom lets an instance use more than its even part from the
	// start, because the load is never spread evenly.
	firstHeadroom = 1.25
	// fullLoad is the reported load per slot that is aimed at. It is above 1 so
	// that a slot that becomes free finds the next work waiting.
	fullLoad = 1.1
	// growth is the part of the even part that is added at a time.
	growth = 0.05
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
	binding bool // work has waited since the last change
}

func newPlaces() places { return places{limit: unknownPlaces} }

func (p *places) adapt(c Capacity) {
	if c.Slots <= 0 {
		return
	}
	part := c.Slots / float64(max(c.Instances, 1))
	if !p.known {
		p.known = true
		p.limit = part * firstHeadroom
	}
	if c.Known > 0 {
		p.follow(c.Reported/c.Known, part)
	}
	p.binding = false
	p.limit = min(max(p.limit, part*minPart, 1), max(c.Slots*fullLoad, 1))
}

func (p *places) follow(load, part float64) {
	if load > fullLoad {
		p.limit *= 1 - min(maxCut, (load-fullLoad)/load)
		return
	}
	if p.binding {
		p.limit += part * growth
	}
}
