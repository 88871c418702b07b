package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bilberryrock/bilberryrock/internal/admission"
	"github.com/bilberryrock/bilberryrock/internal/admission/budget"
	"github.com/bilberryrock/bilberryrock/internal/admission/lane"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/quiet/governor"
	"github.com/bilberryrock/bilberryrock/internal/routing/affinity"
	"github.com/bilberryrock/bilberryrock/internal/routing/pool"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// This file contains a discrete-event simulation. Instances with the real
// admission lane and upstream pool send requests to simulated workers, which have a
// number of slots and a FIFO queue. Times are durations since the start of the
// simulation.

const (
	meanServiceTime = 500 * time.Millisecond // with a full batch and a serviceTimeFactor of 1
	attemptTimeout  = 3 * time.Second
	callerDeadline  = 5 * time.Second
	reportInterval  = time.Second
	refreshInterval = 250 * time.Millisecond
	prefillShare    = 0.3 // fraction of the service time that a cached prompt saves
	tokensPerWork   = 20
	cacheCapacity   = 12 // prefixes per worker
	prefixCount     = 150
)

// picker is the subset of the methods of pool.Pool that the simulation uses.
type picker interface {
	Refresh(usable []upstream.Upstream, peers int)
	Pick(a pool.Request) (lease, error)
	Apply(e affinity.Event)
	Load() pool.Load
}

type lease interface {
	Upstream() upstream.Upstream
	Done(r pool.Result)
}

type event struct {
	at  time.Duration
	seq int
	do  func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type simulation struct {
	scenario
	now       time.Duration
	seq       int
	pending   eventHeap
	rng       *rand.Rand
	workers   []*worker
	instances []*instance
	measures
}

// Now and After implement fleet.Clock.
func (w *simulation) Now() time.Time                       { return fakeclock.Start.Add(w.now) }
func (w *simulation) After(time.Duration) <-chan time.Time { panic("not used") }

func (w *simulation) schedule(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.pending, event{max(t, w.now), w.seq, do})
}

func (w *simulation) run() {
	for len(w.pending) > 0 && w.pending[0].at <= w.length {
		e := heap.Pop(&w.pending).(event)
		w.now = e.at
		e.do()
		w.checkQuietLimit()
	}
}

type worker struct {
	*simulation
	index             int
	announcement      upstream.Announcement
	serviceTimeFactor float64
	linkDelay         time.Duration
	dead, frozen      bool
	busy              int
	peakAfterFault    int // maximum number of running and queued attempts in the 3 s after the fault
	queue             []*attempt
	active            []*attempt
	history           []upstream.Load
	cached            map[uint64]time.Duration // time of last use by prefix
	cacheSeq          uint64
}

type request struct {
	account    int
	arrivedAt  time.Duration
	deadline   time.Duration
	work       float64
	prefix     []uint64
	waiter     *lane.Waiter
	admittedAt time.Duration
	exclude    []fleet.UpstreamID
	ran        bool
}

type attempt struct {
	*request
	from             *instance
	to               *worker
	lease            lease
	startedAt        time.Duration
	serviceTime      time.Duration
	timeToFirstToken time.Duration
	running          bool
	settled          bool // the instance no longer waits for it
}

type instance struct {
	*simulation
	index          int
	pool           picker
	lane           *lane.Lane
	retryBudget    *budget.Budget
	knownUpstreams []upstream.Upstream // last delivered announcements, by worker index
	quietGovernor  *governor.Governor
}

func newSimulation(s scenario, policy policy) *simulation {
	w := &simulation{scenario: s, rng: rand.New(rand.NewPCG(s.seed, 42))}
	w.measures.init(w)
	for i := range s.serviceTimeFactors {
		w.addWorker(i)
	}
	for i := range s.instances {
		w.addInstance(i, policy)
	}
	for _, f := range s.faults {
		w.schedule(f.at, func() { f.do(w) })
	}
	w.nextArrival()
	return w
}

func (w *simulation) addWorker(i int) {
	k := &worker{simulation: w, index: i, serviceTimeFactor: w.serviceTimeFactors[i], linkDelay: w.linkDelays[i%len(w.linkDelays)], cached: map[uint64]time.Duration{}}
	k.announcement = upstream.Announcement{
		ID:          fleet.UpstreamID(fmt.Sprintf("w%02d", i)),
		Incarnation: 1,
		Accelerator: fmt.Sprint(w.serviceTimeFactors[i]),
		Slots:       w.slots,
	}
	w.workers = append(w.workers, k)
	w.schedule(time.Duration(i)*reportInterval/time.Duration(len(w.serviceTimeFactors)), k.report)
}

func (w *simulation) addInstance(i int, policy policy) {
	n := &instance{simulation: w, index: i, retryBudget: budget.New(), quietGovernor: governor.New(0)}
	n.quietGovernor.SetWindows(w.windows)
	n.quietGovernor.SetFleet(fleet.InstanceID(fmt.Sprint(i)), w.scenario.instances, nil)
	n.lane = lane.New("pool", 1024, n.quietGovernor)
	n.pool = policy.picker(w)
	n.knownUpstreams = make([]upstream.Upstream, len(w.workers))
	for j, k := range w.workers {
		n.knownUpstreams[j] = upstream.Upstream{Announcement: k.announcement, LastHeartbeat: w.Now()}
	}
	w.instances = append(w.instances, n)
	w.schedule(time.Duration(i)*refreshInterval/time.Duration(w.scenario.instances), n.refresh)
}

func (w *simulation) nextArrival() {
	if w.now >= w.length {
		return
	}
	rate := w.load * w.capacity
	w.schedule(w.now+time.Duration(w.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		w.arrive()
		w.nextArrival()
	})
}

func (w *simulation) arrive() {
	r := &request{arrivedAt: w.now, deadline: w.now + callerDeadline, account: w.drawAccount()}
	r.work = math.Exp(0.5*w.rng.NormFloat64() - 0.125) // log-normal with mean 1
	if w.caching {
		// The popularity of the conversations is Zipf-like.
		p := uint64(math.Pow(prefixCount, w.rng.Float64()))
		r.prefix = []uint64{p * 7919, p*7919 + 1, p*7919 + 2, p*7919 + 3}
	}
	w.recordArrival(r)
	w.instances[w.rng.IntN(w.entryInstances)].admit(r)
}

func (w *simulation) drawAccount() int {
	x := w.rng.Float64()
	for i, s := range accountShares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(accountShares) - 1
}

// report sends the announcement of the worker with its lagging load to all instances
// that it can reach.
func (k *worker) report() {
	if k.dead {
		return
	}
	k.schedule(k.now+reportInterval, k.report)
	if k.frozen {
		return
	}
	a := k.announcement
	k.history = append(k.history, upstream.Load{At: k.Now(), Running: k.busy, Waiting: len(k.queue)})
	if late := int(k.lag / reportInterval); late < len(k.history) {
		a.Load = k.history[len(k.history)-1-late]
	}
	k.schedule(k.now+k.lag%reportInterval, func() {
		for _, n := range k.instances {
			if !k.partitioned(n.index, k.index) {
				n.knownUpstreams[k.index] = upstream.Upstream{Announcement: a, LastHeartbeat: k.Now()}
			}
		}
	})
}

func (k *worker) receive(a *attempt) {
	if k.now >= k.faultAt && k.now < k.faultAt+3*time.Second {
		k.peakAfterFault = max(k.peakAfterFault, k.busy+len(k.queue)+1)
	}
	switch {
	case k.dead || k.partitioned(a.from.index, k.index):
		k.schedule(k.now+k.linkDelay, func() { a.from.fail(a, pool.Unreachable) })
	case k.frozen || k.busy >= k.slots:
		k.queue = append(k.queue, a)
	default:
		k.start(a)
	}
}

func (k *worker) start(a *attempt) {
	k.busy++
	k.active = append(k.active, a)
	a.ran = true
	a.running = true
	a.startedAt = k.now
	batch := (1 + 0.5*float64(k.busy)/float64(k.slots)) / 1.5
	full := float64(meanServiceTime) * a.work * k.serviceTimeFactor * batch
	saved := full * prefillShare * k.lookUpPrefix(a.prefix)
	a.serviceTime = time.Duration(full - saved)
	a.timeToFirstToken = time.Duration(full*prefillShare - saved)
	k.schedule(k.now+a.serviceTime, func() { k.finish(a) })
}

func (k *worker) finish(a *attempt) {
	if !a.running || k.frozen || k.dead {
		return
	}
	k.releaseSlot(a)
	k.schedule(k.now+k.linkDelay, func() { a.from.succeed(a) })
}

// releaseSlot releases the slot of a and starts queued attempts.
func (k *worker) releaseSlot(a *attempt) {
	a.running = false
	k.busy--
	k.active = remove(k.active, a)
	for len(k.queue) > 0 && k.busy < k.slots && !k.frozen && !k.dead {
		next := k.queue[0]
		k.queue = k.queue[1:]
		k.start(next)
	}
}

func (k *worker) cancel(a *attempt) {
	if a.running {
		k.recordWaste(k.now - a.startedAt)
		k.releaseSlot(a)
		return
	}
	k.queue = remove(k.queue, a)
}

func remove(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(q *attempt) bool { return q == a })
}

// lookUpPrefix returns 1 if the prefix is cached. Otherwise it caches it, evicting the
// least recently used prefix if necessary, and returns 0.
func (k *worker) lookUpPrefix(prefix []uint64) float64 {
	if len(prefix) == 0 {
		return 0
	}
	p := prefix[0]
	_, hit := k.cached[p]
	k.cached[p] = k.now
	k.cacheLookups++
	if hit {
		k.cacheHits++
		return 1
	}
	k.emit(affinity.Event{Stored: prefix})
	if len(k.cached) > cacheCapacity {
		oldest := p
		for q, t := range k.cached {
			if t < k.cached[oldest] || t == k.cached[oldest] && q < oldest {
				oldest = q
			}
		}
		delete(k.cached, oldest)
		k.emit(affinity.Event{Removed: []uint64{oldest, oldest + 1, oldest + 2, oldest + 3}})
	}
	return 0
}

// emit delivers a cache event to all instances after the lag of the scenario, unless
// the event is lost.
func (k *worker) emit(e affinity.Event) {
	k.cacheSeq++
	e.Sequence = k.cacheSeq
	e.Upstream = k.announcement.ID
	if k.rng.Float64() < k.eventLoss {
		return
	}
	k.schedule(k.now+k.lag, func() {
		for _, n := range k.instances {
			n.pool.Apply(e)
		}
	})
}

func (n *instance) refresh() {
	n.schedule(n.now+refreshInterval, n.refresh)
	var usable []upstream.Upstream
	for _, u := range n.knownUpstreams {
		if n.Now().Sub(u.LastHeartbeat) <= 3*time.Second {
			usable = append(usable, u)
		}
	}
	peers := 0
	for i := range n.instances {
		if i != n.index && !n.partitioned(i, n.index) {
			peers++
		}
	}
	n.pool.Refresh(usable, peers)
	l := n.pool.Load()
	n.quietGovernor.SetCapacity(int(l.Slots / float64(peers+1)))
	n.lane.SetCapacity(lane.Capacity{Slots: l.Slots, Instances: peers + 1, ReportedLoad: l.Reported, ReportedSlots: l.ReportedSlots}, n.Now())
}

func (n *instance) admit(r *request) {
	ask := admission.Request{
		Account:  fleet.AccountID(fmt.Sprint(r.account)),
		Weight:   1,
		Deadline: fakeclock.Start.Add(r.deadline),
	}
	w, err := n.lane.Join(ask, n.Now(), func(err error) {
		if err != nil {
			n.recordRefusal(r)
			return
		}
		r.admittedAt = n.now
		// Deferred until Join has returned, so that r.waiter is set.
		n.schedule(n.now, func() { n.try(r) })
	})
	if err != nil {
		n.recordRefusal(r)
		return
	}
	r.waiter = w
	n.schedule(w.LatestStart().Sub(fakeclock.Start)+1, func() { n.lane.Wake(n.Now()) })
}

func (n *instance) try(r *request) {
	l, err := n.pool.Pick(pool.Request{Prefix: r.prefix, Exclude: r.exclude})
	if err != nil {
		n.finish(r, 0, false)
		return
	}
	n.retryBudget.Deposit()
	u := l.Upstream()
	a := &attempt{request: r, from: n, lease: l}
	a.to = n.workers[slices.IndexFunc(n.workers, func(k *worker) bool { return k.announcement.ID == u.ID })]
	n.schedule(n.now+a.to.linkDelay, func() { a.to.receive(a) })
	n.schedule(min(n.now+attemptTimeout, r.deadline), func() { n.timeout(a) })
}

func (n *instance) succeed(a *attempt) {
	if a.settled {
		n.recordWaste(a.serviceTime)
		return
	}
	a.settled = true
	a.lease.Done(pool.Succeeded)
	n.recordSuccess(a)
	n.finish(a.request, n.now-a.admittedAt, true)
}

func (n *instance) timeout(a *attempt) {
	if a.settled {
		return
	}
	n.schedule(n.now+a.to.linkDelay, func() { a.to.cancel(a) })
	if n.now < a.deadline {
		n.fail(a, pool.Failed)
		return
	}
	a.settled = true
	a.lease.Done(pool.Canceled)
	n.finish(a.request, n.now-a.admittedAt, false)
}

func (n *instance) fail(a *attempt, r pool.Result) {
	if a.settled {
		return
	}
	a.settled = true
	a.lease.Done(r)
	a.exclude = append(a.exclude, a.to.announcement.ID)
	// An attempt that was not sent causes no load on the pool, so its retry needs no
	// budget.
	if n.now >= a.deadline || r == pool.Failed && !n.retryBudget.Withdraw() {
		n.finish(a.request, 0, false)
		return
	}
	n.try(a.request)
}

func (n *instance) finish(r *request, took time.Duration, good bool) {
	n.lane.Finish(r.waiter, took, n.Now())
	if !good && n.inMeasuredPeriod(r) {
		n.lost++
	}
}
