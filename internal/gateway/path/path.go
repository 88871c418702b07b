// Package path selects the engines that process a request, so that each layer of
// the model runs once and in order.
//
// A Planner receives the list of available engines from time to time. Choose
// returns the cheapest path, by the time that the layers take on each card, the
// transfers between engines and data centres, and the requests that this instance
// and the other gateways have on each engine. Engines that failed are temporarily
// excluded.
package path

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/registry"
	"github.com/bilberryrock/bilberryrock/internal/release"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

const (
	// maxHops is the length of the longest path that engines accept.
	maxHops = 32
	// hopDelay is the one-way delay between engines of the same data centre.
	hopDelay = 200 * time.Microsecond
	// firstHopCrossingCost is the cost of choosing the first engine in another data
	// centre. It is lower than midPathCrossingCost because request and response are
	// small.
	firstHopCrossingCost = 800 * time.Millisecond
	// firstHopCrossingJitter is the relative jitter of firstHopCrossingCost. It spreads
	// the gateways of a data centre that has no path of its own over the other data
	// centres.
	firstHopCrossingJitter = 0.5
	// midPathCrossingCost is the cost of continuing a path in another data centre. The
	// activations of each token are then sent over the link between the data centres,
	// which all requests share: at 23 kB per token, a link of 7.9 Gbit/s carries 46
	// requests of average size per second.
	midPathCrossingCost = 2500 * time.Millisecond
	// maxUtilization is the memory utilization of an engine at which its cost stops
	// growing. The cost grows like the waiting time in a queue, with 1/(1-utilization),
	// so that fast engines fill first and none fills up.
	maxUtilization = 0.97
	// maxSumAge is the age up to which the sums over all gateways from the controller
	// are used. Without them, each other gateway is assumed to have as many requests as
	// this one.
	maxSumAge = 2 * time.Second
	// baseContenders is the number of other gateways that are assumed to choose the same
	// engine as this one before the next sums arrive, while requests arrive at the usual
	// rate.
	baseContenders = 3
	// arrivalAllowance is the number of requests, beyond those of the usual rate, that may
	// arrive before the next sums. If there are more, all gateways of the data centre are
	// assumed to receive as many, as after a loss of power.
	arrivalAllowance = 1.5
	// arrivalRateTimeConstant is the time constant of the moving average of the request
	// rate.
	arrivalRateTimeConstant = 10 * time.Second
	// costJitter is the relative jitter of the cost of an engine. It spreads the gateways
	// over engines of equal cost.
	costJitter = 0.2
	// minExclusion and maxExclusion bound the time for which a failed engine is excluded.
	// The time doubles with each consecutive failure.
	minExclusion = 1500 * time.Millisecond
	maxExclusion = 12 * time.Second
	// maxProgressAge is how long the progress of a request shows that an engine without
	// heartbeats is alive. Such an engine may be cut off from the controllers only.
	maxProgressAge = 2 * time.Second
	// maxFailureReportAge is how long a failure is reported to the controller.
	maxFailureReportAge = time.Second
	// maxSlowdownReportAge is how long the slowdown that an engine reported is passed on
	// to the other gateways and keeps them from asking the engine themselves.
	maxSlowdownReportAge = time.Second
	// maxSlowdownAge is how long a reported slowdown affects the cost of an engine.
	maxSlowdownAge = 4 * time.Second
	// refusalExclusion is the time for which an engine without free memory is excluded.
	// It is short because streams end all the time.
	refusalExclusion = 200 * time.Millisecond
	// maxRefusalReportAge is how long the refusal of an engine without free memory is
	// reported to the other gateways, and maxRefusalAge is how long such a report makes
	// the engine count as full. The sums are up to 0.75 s old, and one gateway of many
	// has too few requests to find out by itself.
	maxRefusalReportAge = 400 * time.Millisecond
	maxRefusalAge       = 400 * time.Millisecond
)

// Hop is the range of layers that one engine runs in a path.
type Hop struct {
	ID          fleet.UpstreamID
	Incarnation fleet.Incarnation
	Address     string
	Layers      upstream.LayerRange
	size        float64 // size of the stream, in streams of mean size
}

// Planner chooses paths for one pool. It is safe for concurrent use.
type Planner struct {
	clock            fleet.Clock
	dataCentre       fleet.DataCentreID
	heartbeatTimeout time.Duration
	random           func() float64

	mu              sync.Mutex
	admission       bool    // the pool is under admission control
	sharingGateways float64 // number of gateways that use the same engines
	model           *release.Engine
	engines         []*engine
	byID            map[fleet.UpstreamID]*engine
	// idle holds the last heartbeats of engines without layers of the model.
	idle        map[fleet.UpstreamID]time.Time
	layerBounds []int     // layers at which the range of an engine begins or ends
	sumsTime    time.Time // time of the newest sums
	// arrivals is the number of requests since sumsTime, and arrivalRate the moving
	// average of requests per second.
	arrivals    int
	arrivalRate float64
	crossings   crossingLimiter // of a pool under admission control
	anticipated anticipation    // of a pool under admission control
}

type engine struct {
	entry           registry.Entry
	secondsPerLayer float64   // time of a request of average size per layer
	streamCapacity  float64   // memoryCapacity, or the slots of a first engine if they are fewer
	memoryCapacity  float64   // number of requests of average size that fit into the memory
	active          int       // requests of this gateway in progress
	fleetActive     int       // requests of all gateways, according to the newest sums
	chosenSince     int       // requests of this gateway since the newest sums
	size            float64   // size of the requests counted in active
	fleetSize       float64   // size of the requests counted in fleetActive
	anticipated     float64   // assumed requests of other gateways since the newest sums
	stepFactor      float64   // step time of its card relative to the fastest card
	chosenSizeSince float64   // size of the requests counted in chosenSince
	failures        int       // consecutive failures
	lastOwnFailure  time.Time // last failure seen by this gateway
	slowdown        float64   // factor by which it is slower than its card
	slowdownTime    time.Time // last report of slowdown to any gateway, or request for one
	ownSlowdownTime time.Time // last report of slowdown to this gateway
	lastOwnProgress time.Time // last progress of a request of this gateway
	lastProgress    time.Time // last sums in which requests of some gateway made progress
	excludedUntil   time.Time
	unreachableAt   time.Time // last time at which no connection to it could be opened
	refusedUntil    time.Time // end of the exclusion for a refusal, under admission control
	lastOwnRefusal  time.Time // last refusal of this gateway for lack of memory
	lastRefusal     time.Time // last sums with a refusal of some gateway
}

// New returns a Planner without engines, for a gateway in the given data centre.
// Engines that sent no heartbeat for heartbeatTimeout are used only while their
// requests make progress.
func New(clock fleet.Clock, dataCentre fleet.DataCentreID, heartbeatTimeout time.Duration, random func() float64) *Planner {
	if random == nil {
		random = rand.Float64
	}
	return &Planner{clock: clock, dataCentre: dataCentre, heartbeatTimeout: heartbeatTimeout, random: random, byID: make(map[fleet.UpstreamID]*engine)}
}

// SetAdmission sets whether the pool is under admission control.
func (p *Planner) SetAdmission(on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.admission = on
}

// Refresh replaces the engines that may be used. The state of an engine is kept as long
// as its incarnation stays the same. gateways is the number of gateways in all data
// centres.
func (p *Planner) Refresh(m *release.Engine, es []registry.Entry, gateways int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharingGateways = max(1, float64(gateways)/float64(max(1, countDataCentres(es))))
	old := p.byID
	p.model, p.engines, p.byID = m, nil, make(map[fleet.UpstreamID]*engine, len(es))
	p.idle = make(map[fleet.UpstreamID]time.Time)
	bounds := []int{0, m.Layers}
	for _, e := range es {
		c, ok := m.Cards[e.Card]
		if !ok || e.Layers.Len() == 0 || int(e.Layers.To) > m.Layers {
			p.idle[e.ID] = e.LastHeartbeat
			continue
		}
		k := old[e.ID]
		if k == nil || k.entry.Incarnation != e.Incarnation {
			k = &engine{}
		}
		k.entry = e
		k.secondsPerLayer = secondsPerLayer(m, c)
		k.stepFactor = c.StepFactor
		k.memoryCapacity = streamCapacity(m, c, e.Layers.Len())
		k.streamCapacity = k.memoryCapacity
		if k.limitedBySlots() {
			// The first engine of a path queues requests beyond its slots.
			k.streamCapacity = min(k.streamCapacity, float64(e.Slots))
		}
		p.engines = append(p.engines, k)
		p.byID[e.ID] = k
		bounds = append(bounds, int(e.Layers.From), int(e.Layers.To))
	}
	slices.Sort(bounds)
	p.layerBounds = slices.Compact(bounds)
	p.crossings.rate = crossingRate(m, gateways)
	p.resetAnticipation()
}

// limitedBySlots reports whether the slots of an engine limit the requests on it, since it
// can be the first engine of a path.
func (e *engine) limitedBySlots() bool { return e.entry.Layers.From == 0 && e.entry.Slots > 0 }

// secondsPerLayer returns the time of a request of average size per layer.
func secondsPerLayer(m *release.Engine, c release.Card) float64 {
	decode := float64(m.MeanAnswerTokens) * m.StepMS * c.StepFactor / 1e3
	prefill := 0.0
	if m.PrefillPerSecond > 0 {
		prefill = float64(m.MeanPromptTokens) / m.PrefillPerSecond * c.PrefillFactor
	}
	return (decode + prefill) / float64(m.Layers)
}

func countDataCentres(es []registry.Entry) int {
	seen := make(map[fleet.DataCentreID]bool)
	for _, e := range es {
		seen[e.DataCentre] = true
	}
	return len(seen)
}

// streamCapacity returns how many requests of average size fit into the memory of a card
// that holds a number of layers.
func streamCapacity(m *release.Engine, c release.Card, layers int) float64 {
	freeBytes := (c.MemoryMB - float64(layers)*m.LayerMB) * 1e6
	bytesPerStream := float64(m.MeanPromptTokens+m.MeanAnswerTokens) * m.TokenBytes / float64(m.Layers) * float64(layers)
	if bytesPerStream <= 0 {
		return math.Inf(1)
	}
	return max(freeBytes/bytesPerStream, 1)
}

// Constraints restrict the choice of a path.
type Constraints struct {
	// Avoid lists engines that must not be used.
	Avoid []fleet.UpstreamID
	// First lists the engines that the path may begin at. If empty, any engine may be
	// the first.
	First []fleet.UpstreamID
	// FirstExcluded allows the engines in First while they are excluded because of a
	// failure, unless they are lost.
	FirstExcluded bool
	// Exclude, if not nil, reports whether an engine must not be used. It is called only
	// for engines that are usable otherwise, and must not call the Planner. It may be called
	// several times for an engine, and must then give the same answer. An excluded engine
	// still holds its layers, like one that is full.
	Exclude func(id fleet.UpstreamID, n fleet.Incarnation) bool
	// Continues is set for a stream whose client already has a part of the response.
	Continues bool
	// Size is the memory that the stream needs, in streams of mean size. Zero counts as 1.
	// Planner.Size computes it.
	Size float64
	// ignoreFull allows engines that are full or have refused a request, and crossings
	// without a token.
	ignoreFull bool
}

// Choose returns the cheapest path within the constraints. The caller must call Done
// with the path when the request ends. The error is of kind refusal.NoUpstream or, under
// admission control, of kind refusal.Overloaded if there is no path because engines are
// full.
func (p *Planner) Choose(l Constraints) ([]Hop, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil {
		return nil, refusal.New(refusal.NoUpstream, "no engine is known")
	}
	hops, limited, err := p.find(l)
	if limited {
		p.crossings.take(p.countCrossings(hops))
	}
	// Under admission control refused requests are no sign of load on the engines.
	if err == nil || !p.admission {
		p.arrivals++
	}
	if err != nil {
		return nil, err
	}
	size := l.Size
	if size <= 0 {
		size = 1
	}
	for i := range hops {
		hops[i].size = size
		e := p.byID[hops[i].ID]
		e.active++
		e.chosenSince++
		e.size += size
		e.chosenSizeSince += size
	}
	return hops, nil
}

// find returns the path that Choose returns within the constraints, and whether it takes
// tokens of the limiter of crossings.
func (p *Planner) find(l Constraints) (hops []Hop, limited bool, err error) {
	if p.admission {
		return p.findWithinCapacity(l)
	}
	usable, costs := p.usable(p.engines, l)
	if hops = p.search(usable, costs, l.First, crossingRule{}); hops == nil {
		return nil, false, p.errMissingLayers(len(usable))
	}
	return hops, false, nil
}

func (p *Planner) errMissingLayers(usable int) error {
	return refusal.New(refusal.NoUpstream, "%d usable engines of %d do not hold all %d layers",
		usable, len(p.engines), p.model.Layers)
}

// available reports whether an engine is neither lost nor excluded.
func (p *Planner) available(e *engine, now time.Time) bool {
	return !p.stale(e, now) && !now.Before(e.excludedUntil)
}

// stale reports whether an engine has shown no sign of life recently.
func (p *Planner) stale(e *engine, now time.Time) bool {
	return now.Sub(e.entry.LastHeartbeat) > p.heartbeatTimeout && now.Sub(e.lastProgress) > maxProgressAge && now.Sub(e.lastOwnProgress) > maxProgressAge
}

// usable returns those of some engines that may be chosen now, and the cost of one layer on
// each.
func (p *Planner) usable(from []*engine, l Constraints) ([]*engine, []float64) {
	now := p.clock.Now()
	es := make([]*engine, 0, len(from))
	costs := make([]float64, 0, len(from))
	for _, e := range from {
		if !p.available(e, now) && !p.allowsExcluded(l, e, now) || slices.Contains(l.Avoid, e.entry.ID) {
			continue
		}
		var utilization float64
		if p.admission {
			if now.Before(e.refusedUntil) && !l.ignoreFull {
				continue
			}
			utilization = p.utilization(e, now)
			if utilization >= 1 && !l.Continues && !l.ignoreFull {
				continue
			}
		} else {
			utilization = p.load(e, now) / e.streamCapacity
		}
		if l.Exclude != nil && l.Exclude(e.entry.ID, e.entry.Incarnation) {
			continue
		}
		es = append(es, e)
		utilization = min(utilization, maxUtilization)
		if now.Sub(e.lastRefusal) < maxRefusalAge {
			utilization = maxUtilization
		}
		costs = append(costs, e.secondsPerLayer*e.currentSlowdown(now)/(1-utilization)*(1+costJitter*p.random()))
	}
	return es, costs
}

// Done records the end of a request on a path. ok reports that all engines completed
// their part.
func (p *Planner) Done(hops []Hop, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, h := range hops {
		e := p.byID[h.ID]
		if e == nil {
			continue
		}
		e.active = max(0, e.active-1)
		e.size = max(0, e.size-h.size)
		if e.active == 0 {
			e.size = 0 // drops the rounding errors of the sum
		}
		if ok && e.failures > 0 {
			e.failures, e.excludedUntil = 0, time.Time{}
		}
	}
}
