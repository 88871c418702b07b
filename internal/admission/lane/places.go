package lane

import "time"

const (
	// adaptInterval is the time between adjustments. Upstreams report their load
	// once a second, so an adjustment shows in the reports before the next one.
	adaptInterval = time.Second
	// initialLimit applies until the capacity of a pool is known.
	initialLimit = 32
	// initialHeadroom is the initial limit as a multiple of the even share. It is
	// above 1 because the load is never spread evenly over the instances.
	initialHeadroom = 1.25
	// targetLoad is the targeted load per slot. It is above 1 because instances do
	// not see each other's routing decisions and leave slots of one upstream idle
	// while requests wait at another one. 40 upstreams reached 94.8% of the
	// achievable goodput with 1.4 and 98.1% with 1.8.
	targetLoad = 1.8
	// growthFraction is the fraction of the even share that one adjustment adds.
	growthFraction = 0.05
	// idleLoad is the load per slot below which some slots are certainly idle. A
	// binding limit is then also multiplied by idleGrowthFactor. With additive
	// growth alone, 3 instances that received all requests of a fleet of 15 served
	// 77% of the offered load.
	idleLoad         = 0.9
	idleGrowthFactor = 1.25
	// minGrowth is the least growth of one adjustment, in permits. Without it an
	// even share of 0.8 permits, as in a pool of 12 slots and 15 instances, takes
	// 25 s to grow by one permit.
	minGrowth = 0.2
	// maxDecrease is the largest fraction by which one adjustment lowers the limit.
	maxDecrease = 0.2
	// minShareFraction is the fraction of the even share below which the limit never
	// falls.
	minShareFraction = 0.5
)

// Capacity is what is known of the capacity and the load of a pool.
type Capacity struct {
	// Slots is the sum of the slots of the healthy upstreams of the pool.
	Slots float64
	// Instances is the number of instances that send requests to the pool, this
	// one included.
	Instances int
	// ReportedLoad is the number of running and waiting requests in the last load
	// reports.
	ReportedLoad float64
	// ReportedSlots is the number of slots whose upstreams reported recently. If it is
	// zero, ReportedLoad is not valid.
	ReportedSlots float64
}

// concurrencyLimit is the number of permits. Additive increase and multiplicative
// decrease make instances that do not know each other's limits converge to equal
// shares (Chiu and Jain, 1989).
type concurrencyLimit struct {
	limit         float64
	capacityKnown bool
	adjustedAt    time.Time
	binding       bool // requests have waited since the last adjustment
}

func newConcurrencyLimit() concurrencyLimit { return concurrencyLimit{limit: initialLimit} }

func (p *concurrencyLimit) adapt(c Capacity, now time.Time) {
	if c.Slots <= 0 {
		return
	}
	evenShare := c.Slots / float64(max(c.Instances, 1))
	if !p.capacityKnown {
		p.capacityKnown = true
		p.limit = evenShare * initialHeadroom
	}
	if c.ReportedSlots > 0 && now.Sub(p.adjustedAt) >= adaptInterval {
		p.adjust(c.ReportedLoad/c.ReportedSlots, evenShare)
		p.adjustedAt = now
		p.binding = false
	}
	p.limit = min(max(p.limit, evenShare*minShareFraction, 1), max(c.Slots*targetLoad, 1))
}

func (p *concurrencyLimit) adjust(load, evenShare float64) {
	if load > targetLoad {
		p.limit *= 1 - min(maxDecrease, (load-targetLoad)/load)
		return
	}
	if !p.binding {
		return
	}
	p.limit += max(evenShare*growthFraction, minGrowth)
	if load < idleLoad {
		p.limit *= idleGrowthFactor
	}
}
