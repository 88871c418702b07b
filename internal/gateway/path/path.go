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
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
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
	layerBounds     []int     // layers at which the range of an engine begins or ends
	sumsTime        time.Time // time of the newest sums
	// arrivals is the number of requests since sumsTime, and arrivalRate the moving
	// average of requests per second.
	arrivals    int
	arrivalRate float64
}

type engine struct {
	entry           registry.Entry
	secondsPerLayer float64   // time of a request of average size per layer
	streamCapacity  float64   // number of requests of average size that fit into the memory
	active          int       // requests of this gateway in progress
	fleetActive     int       // requests of all gateways, according to the newest sums
	chosenSince     int       // requests of this gateway since the newest sums
	failures        int       // consecutive failures
	lastOwnFailure  time.Time // last failure seen by this gateway
	slowdown        float64   // factor by which it is slower than its card
	slowdownTime    time.Time // last report of slowdown to any gateway, or request for one
	ownSlowdownTime time.Time // last report of slowdown to this gateway
	lastOwnProgress time.Time // last progress of a request of this gateway
	lastProgress    time.Time // last sums in which requests of some gateway made progress
	excludedUntil   time.Time
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

// Room returns the capacity of all data centres that hold the whole model, and its use by
// all gateways.
func (p *Planner) Room() Room { return Room{} }

// Refresh replaces the engines that may be used. The state of an engine is kept as long
// as its incarnation stays the same. gateways is the number of gateways in all data
// centres.
func (p *Planner) Refresh(m *release.Engine, es []registry.Entry, gateways int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sharingGateways = max(1, float64(gateways)/float64(max(1, countDataCentres(es))))
	old := p.byID
	p.model, p.engines, p.byID = m, nil, make(map[fleet.UpstreamID]*engine, len(es))
	bounds := []int{0, m.Layers}
	for _, e := range es {
		c, ok := m.Cards[e.Card]
		if !ok || e.Layers.Len() == 0 || int(e.Layers.To) > m.Layers {
			continue
		}
		k := old[e.ID]
		if k == nil || k.entry.Incarnation != e.Incarnation {
			k = &engine{}
		}
		k.entry = e
		k.secondsPerLayer = secondsPerLayer(m, c)
		k.streamCapacity = streamCapacity(m, c, e.Layers.Len())
		if e.Layers.From == 0 && e.Slots > 0 {
			// The first engine of a path queues requests beyond its slots.
			k.streamCapacity = min(k.streamCapacity, float64(e.Slots))
		}
		p.engines = append(p.engines, k)
		p.byID[e.ID] = k
		bounds = append(bounds, int(e.Layers.From), int(e.Layers.To))
	}
	slices.Sort(bounds)
	p.layerBounds = slices.Compact(bounds)
}

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

// partialPath is the cheapest path for the layers before a bound whose last engine is in
// one data centre.
type partialPath struct {
	cost       float64
	hop        Hop
	prev       *partialPath
	length     int
	dataCentre fleet.DataCentreID
}

// Constraints restrict the choice of a path.
type Constraints struct {
	// Avoid lists engines that must not be used.
	Avoid []fleet.UpstreamID
	// First lists the engines that the path may begin at. If empty, any engine may be
	// the first.
	First []fleet.UpstreamID
	// Exclude, if not nil, reports whether an engine must not be used. It is called only
	// for engines that are usable otherwise, and must not call the Planner.
	Exclude func(id fleet.UpstreamID, n fleet.Incarnation) bool
	// Continues is set for a stream whose client already has a part of the response.
	Continues bool
	// Size is the memory that the stream needs, in streams of mean size. Zero counts as 1.
	Size float64
}

// Room is the capacity of the engines of a pool and its use, in streams of mean size.
type Room struct {
	Capacity, Active float64
}

// Choose returns the cheapest path within the constraints. The caller must call Done
// with the path when the request ends. The error is of kind refusal.NoUpstream.
func (p *Planner) Choose(l Constraints) ([]Hop, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.model == nil {
		return nil, refusal.New(refusal.NoUpstream, "no engine is known")
	}
	usable, costs := p.usable(l)
	p.arrivals++
	hops := p.search(usable, costs, l.First)
	if hops == nil {
		return nil, refusal.New(refusal.NoUpstream, "%d usable engines of %d do not hold all %d layers",
			len(usable), len(p.engines), p.model.Layers)
	}
	for _, h := range hops {
		p.byID[h.ID].active++
		p.byID[h.ID].chosenSince++
	}
	return hops, nil
}

// usable returns the engines that may be chosen now, and the cost of one layer on each.
func (p *Planner) usable(l Constraints) ([]*engine, []float64) {
	now := p.clock.Now()
	var es []*engine
	var costs []float64
	for _, e := range p.engines {
		stale := now.Sub(e.entry.LastHeartbeat) > p.heartbeatTimeout && now.Sub(e.lastProgress) > maxProgressAge && now.Sub(e.lastOwnProgress) > maxProgressAge
		if stale || now.Before(e.excludedUntil) || slices.Contains(l.Avoid, e.entry.ID) {
			continue
		}
		if l.Exclude != nil && l.Exclude(e.entry.ID, e.entry.Incarnation) {
			continue
		}
		es = append(es, e)
		utilization := min(p.load(e, now)/e.streamCapacity, maxUtilization)
		if now.Sub(e.lastRefusal) < maxRefusalAge {
			utilization = maxUtilization
		}
		costs = append(costs, e.secondsPerLayer*e.currentSlowdown(now)/(1-utilization)*(1+costJitter*p.random()))
	}
	return es, costs
}

// currentSlowdown returns the factor by which the engine is slower than its card, or 1
// if there is no recent report.
func (e *engine) currentSlowdown(now time.Time) float64 {
	if e.slowdown <= 1 || now.Sub(e.slowdownTime) > maxSlowdownAge {
		return 1
	}
	return e.slowdown
}

// SetSlowdown records the factor by which an engine reports to be slower than its card.
func (p *Planner) SetSlowdown(id fleet.UpstreamID, slowdown float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if e := p.byID[id]; e != nil {
		now := p.clock.Now()
		e.slowdown, e.slowdownTime, e.ownSlowdownTime = slowdown, now, now
	}
}

// SlowdownDue returns the hops whose engines no gateway has recently asked for their
// slowdown. The caller must ask them: they are not returned again for
// maxSlowdownReportAge.
func (p *Planner) SlowdownDue(hops []Hop) []Hop {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var due []Hop
	for _, h := range hops {
		if e := p.byID[h.ID]; e != nil && now.Sub(e.slowdownTime) > maxSlowdownReportAge {
			e.slowdownTime = now // keeps other streams from asking as well
			due = append(due, h)
		}
	}
	return due
}

// load estimates the requests of all gateways on an engine.
func (p *Planner) load(e *engine, now time.Time) float64 {
	if now.Sub(p.sumsTime) > maxSumAge {
		return float64(e.active) * p.sharingGateways
	}
	return float64(e.fleetActive) + float64(e.chosenSince)*p.contenders(now)
}

// contenders returns the number of gateways that are assumed to choose the same engines
// as this one since the newest sums.
func (p *Planner) contenders(now time.Time) float64 {
	base := min(p.sharingGateways, baseContenders)
	excess := float64(p.arrivals) - arrivalAllowance - p.arrivalRate*now.Sub(p.sumsTime).Seconds()
	if excess <= 0 {
		return base
	}
	return base + (p.sharingGateways-base)*excess/float64(p.arrivals)
}

// updateArrivalRate adds the requests since the previous sums to the moving average.
func (p *Planner) updateArrivalRate(now time.Time) {
	if d := now.Sub(p.sumsTime); !p.sumsTime.IsZero() && d > 0 {
		weight := 1 - math.Exp(-d.Seconds()/arrivalRateTimeConstant.Seconds())
		p.arrivalRate += weight * (float64(p.arrivals)/d.Seconds() - p.arrivalRate)
	}
	p.arrivals, p.sumsTime = 0, now
}

// Stats returns, for each engine with requests in progress or recent events, what this
// gateway reports to the controller.
func (p *Planner) Stats() []usage.UpstreamStats {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	var us []usage.UpstreamStats
	for _, e := range p.engines {
		failed := now.Sub(e.lastOwnFailure) < maxFailureReportAge
		served := now.Sub(e.lastOwnProgress) < maxProgressAge
		slowdown := 0.0
		if now.Sub(e.ownSlowdownTime) < maxSlowdownReportAge {
			slowdown = e.slowdown
		}
		full := now.Sub(e.lastOwnRefusal) < maxRefusalReportAge
		if e.active > 0 || failed || served || full || slowdown > 0 {
			us = append(us, usage.UpstreamStats{ID: e.entry.ID, Active: e.active, Failed: failed, Served: served, OutOfMemory: full, Slowdown: slowdown})
		}
	}
	return us
}

// SetFleetStats applies the sums over all gateways. Engines that failed for several
// gateways are excluded here as well.
func (p *Planner) SetFleetStats(us []usage.UpstreamStats) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	p.updateArrivalRate(now)
	for _, e := range p.engines {
		e.fleetActive, e.chosenSince = 0, 0
	}
	for _, u := range us {
		e := p.byID[u.ID]
		if e == nil {
			continue
		}
		e.fleetActive = u.Active
		if u.Served {
			e.lastProgress = now
		}
		if u.OutOfMemory {
			e.lastRefusal = now
		}
		if u.Slowdown > 0 {
			e.slowdown, e.slowdownTime = u.Slowdown, now
		}
		if u.Failed && !now.Before(e.excludedUntil) {
			p.exclude(e, now)
		}
	}
}

// search finds the cheapest path by dynamic programming. It visits the layer bounds in
// order and keeps the cheapest partial path for each bound and data centre.
func (p *Planner) search(es []*engine, costs []float64, first []fleet.UpstreamID) []Hop {
	best := make([]map[fleet.DataCentreID]*partialPath, len(p.layerBounds))
	best[0] = map[fleet.DataCentreID]*partialPath{p.dataCentre: {dataCentre: p.dataCentre}}
	firstHopCost := make(map[fleet.DataCentreID]float64)
	for _, e := range es {
		if _, ok := firstHopCost[e.entry.DataCentre]; !ok {
			firstHopCost[e.entry.DataCentre] = firstHopCrossingCost.Seconds() * (1 + firstHopCrossingJitter*p.random())
		}
	}
	firstHopCost[p.dataCentre] = 0
	for i := range p.layerBounds[:len(p.layerBounds)-1] {
		for _, s := range best[i] {
			for k, e := range es {
				if s.length == 0 && len(first) > 0 && !slices.Contains(first, e.entry.ID) {
					continue
				}
				p.extend(best, i, s, e, costs[k], firstHopCost)
			}
		}
	}
	var end *partialPath
	for _, s := range best[len(best)-1] {
		if end == nil || s.cost < end.cost {
			end = s
		}
	}
	if end == nil {
		return nil
	}
	hops := make([]Hop, end.length)
	for s := end; s.prev != nil; s = s.prev {
		hops[s.length-1] = s.hop
	}
	return hops
}

// extend adds an engine to a partial path that ends at bound i, once for each later bound
// up to which the engine holds the layers.
func (p *Planner) extend(best []map[fleet.DataCentreID]*partialPath, i int, s *partialPath, e *engine, cost float64, firstHopCost map[fleet.DataCentreID]float64) {
	from := p.layerBounds[i]
	if int(e.entry.Layers.From) > from || int(e.entry.Layers.To) <= from || s.length >= maxHops || visits(s, e) {
		return
	}
	start := s.cost + p.transferCost(s, e, firstHopCost)
	d := e.entry.DataCentre
	for j := i + 1; j < len(p.layerBounds) && p.layerBounds[j] <= int(e.entry.Layers.To); j++ {
		c := start + cost*float64(p.layerBounds[j]-from)
		if old := best[j][d]; old != nil && old.cost <= c {
			continue
		}
		if best[j] == nil {
			best[j] = make(map[fleet.DataCentreID]*partialPath)
		}
		best[j][d] = &partialPath{
			cost: c, prev: s, length: s.length + 1, dataCentre: d,
			hop: Hop{
				ID: e.entry.ID, Incarnation: e.entry.Incarnation, Address: e.entry.Address,
				Layers: upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(p.layerBounds[j])},
			},
		}
	}
}

// visits reports whether a partial path already contains an engine. Engines reject paths
// in which they appear twice.
func visits(s *partialPath, e *engine) bool {
	for ; s.prev != nil; s = s.prev {
		if s.hop.ID == e.entry.ID {
			return true
		}
	}
	return false
}

// transferCost returns the cost in seconds of the transfer to the next engine of a path.
// firstHopCost holds the cost of a first engine in each data centre.
func (p *Planner) transferCost(s *partialPath, e *engine, firstHopCost map[fleet.DataCentreID]float64) float64 {
	switch {
	case s.length == 0:
		return firstHopCost[e.entry.DataCentre]
	case s.dataCentre != e.entry.DataCentre:
		return midPathCrossingCost.Seconds()
	}
	return float64(p.model.MeanAnswerTokens) * hopDelay.Seconds()
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
		if ok && e.failures > 0 {
			e.failures, e.excludedUntil = 0, time.Time{}
		}
	}
}

// NoteProgress records that a request made progress on a path.
func (p *Planner) NoteProgress(hops []Hop) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, h := range hops {
		if e := p.byID[h.ID]; e != nil {
			e.lastOwnProgress = now
		}
	}
}

// MarkFailed excludes the engine at an address temporarily.
func (p *Planner) MarkFailed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range p.engines {
		if e.entry.Address != address || now.Before(e.excludedUntil) {
			continue
		}
		e.lastOwnFailure = now
		p.exclude(e, now)
	}
}

// exclude keeps an engine from being chosen, for longer with each consecutive failure.
func (p *Planner) exclude(e *engine, now time.Time) {
	d := time.Duration(float64(minExclusion) * math.Pow(2, float64(e.failures)))
	e.excludedUntil = now.Add(min(d, maxExclusion))
	e.failures++
}

// MarkFull excludes the engine at an address until some of its requests may have ended.
func (p *Planner) MarkFull(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.clock.Now()
	for _, e := range p.engines {
		if e.entry.Address != address {
			continue
		}
		e.lastOwnRefusal = now
		if !now.Before(e.excludedUntil) {
			e.excludedUntil = now.Add(refusalExclusion)
		}
	}
}
