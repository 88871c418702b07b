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

// The simulation is a discrete-event model of queues with service times: a
// number of instances with the real lane and pool send work to workers with
// slots and a first-in-first-out queue. Times are since its start.

const (
	meanService    = 500 * time.Millisecond // at full batch, for a kind of speed 1
	attemptTimeout = 3 * time.Second
	callerDeadline = 5 * time.Second
	reportEvery    = time.Second
	refreshEvery   = 250 * time.Millisecond
	prefillShare   = 0.3 // of the service time, saved by a cached prompt
	tokensPerWork  = 20
	cachedPrefixes = 12 // that a worker holds
	prefixes       = 150
)

// picker is the part of a pool that the simulation uses.
type picker interface {
	Refresh(usable []upstream.Upstream, peers int)
	Pick(a pool.Ask) (lease, error)
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

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type world struct {
	scenario
	now       time.Duration
	seq       int
	events    events
	random    *rand.Rand
	workers   []*worker
	instances []*instance
	measures
}

// Now and After implement fleet.Clock.
func (w *world) Now() time.Time                       { return fakeclock.Start.Add(w.now) }
func (w *world) After(time.Duration) <-chan time.Time { panic("not used") }

func (w *world) at(t time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{max(t, w.now), w.seq, do})
}

func (w *world) run() {
	for len(w.events) > 0 && w.events[0].at <= w.length {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
		w.watchBound()
	}
}

type worker struct {
	*world
	index        int
	announcement upstream.Announcement
	speed        float64
	link         time.Duration
	dead, frozen bool
	busy         int
	peak         int // work at once in the 3 s after the fault
	queue        []*attempt
	active       []*attempt
	history      []upstream.Load
	cached       map[uint64]time.Duration // prefix to last use
	cacheSeq     uint64
}

type request struct {
	account  int
	arrived  time.Duration
	deadline time.Duration
	work     float64
	prefix   []uint64
	waiter   *lane.Waiter
	granted  time.Duration
	avoid    []fleet.UpstreamID
	ran      bool
}

type attempt struct {
	*request
	from    *instance
	to      *worker
	lease   lease
	started time.Duration
	service time.Duration
	first   time.Duration
	running bool
	over    bool // the instance does not wait for it any more
}

type instance struct {
	*world
	index int
	pool  picker
	lane  *lane.Lane
	retry *budget.Budget
	known []upstream.Upstream // as last delivered, by worker
	quiet *governor.Governor
}

func newWorld(s scenario, policy policy) *world {
	w := &world{scenario: s, random: rand.New(rand.NewPCG(s.seed, 42))}
	w.measures.init(w)
	for i := range s.speeds {
		w.addWorker(i)
	}
	for i := range s.instances {
		w.addInstance(i, policy)
	}
	for _, f := range s.faults {
		w.at(f.at, func() { f.do(w) })
	}
	w.nextArrival()
	return w
}

func (w *world) addWorker(i int) {
	k := &worker{world: w, index: i, speed: w.speeds[i], link: w.links[i%len(w.links)], cached: map[uint64]time.Duration{}}
	k.announcement = upstream.Announcement{
		ID:          fleet.UpstreamID(fmt.Sprintf("w%02d", i)),
		Incarnation: 1,
		Accelerator: fmt.Sprint(w.speeds[i]),
		Slots:       w.slots,
	}
	w.workers = append(w.workers, k)
	w.at(time.Duration(i)*reportEvery/time.Duration(len(w.speeds)), k.report)
}

func (w *world) addInstance(i int, policy policy) {
	n := &instance{world: w, index: i, retry: budget.New(), quiet: governor.New(0)}
	n.quiet.SetWindows(w.windows)
	n.quiet.SetFleet(fleet.InstanceID(fmt.Sprint(i)), w.scenario.instances, nil)
	n.lane = lane.New("pool", 1024, n.quiet)
	n.pool = policy.picker(w)
	n.known = make([]upstream.Upstream, len(w.workers))
	for j, k := range w.workers {
		n.known[j] = upstream.Upstream{Announcement: k.announcement, Confirmed: w.Now()}
	}
	w.instances = append(w.instances, n)
	w.at(time.Duration(i)*refreshEvery/time.Duration(w.scenario.instances), n.refresh)
}

func (w *world) nextArrival() {
	if w.now >= w.length {
		return
	}
	rate := w.load * w.bound
	w.at(w.now+time.Duration(w.random.ExpFloat64()/rate*float64(time.Second)), func() {
		w.arrive()
		w.nextArrival()
	})
}

func (w *world) arrive() {
	r := &request{arrived: w.now, deadline: w.now + callerDeadline, account: w.drawAccount()}
	r.work = math.Exp(0.5*w.random.NormFloat64() - 0.125) // log-normal with mean 1
	if w.caching {
		// Zipf-like popularity of conversations.
		p := uint64(math.Pow(prefixes, w.random.Float64()))
		r.prefix = []uint64{p * 7919, p*7919 + 1, p*7919 + 2, p*7919 + 3}
	}
	w.offered(r)
	w.instances[w.random.IntN(w.entries)].admit(r)
}

func (w *world) drawAccount() int {
	x := w.random.Float64()
	for i, s := range accountShares {
		if x -= s; x < 0 {
			return i
		}
	}
	return len(accountShares) - 1
}

// report sends what the worker says of itself to all instances that it reaches.
func (k *worker) report() {
	if k.dead {
		return
	}
	k.at(k.now+reportEvery, k.report)
	if k.frozen {
		return
	}
	a := k.announcement
	k.history = append(k.history, upstream.Load{At: k.Now(), Running: k.busy, Waiting: len(k.queue)})
	if late := int(k.lag / reportEvery); late < len(k.history) {
		a.Load = k.history[len(k.history)-1-late]
	}
	k.at(k.now+k.lag%reportEvery, func() {
		for _, n := range k.instances {
			if !k.cut(n.index, k.index) {
				n.known[k.index] = upstream.Upstream{Announcement: a, Confirmed: k.Now()}
			}
		}
	})
}

func (k *worker) receive(a *attempt) {
	if k.now >= k.faultAt && k.now < k.faultAt+3*time.Second {
		k.peak = max(k.peak, k.busy+len(k.queue)+1)
	}
	switch {
	case k.dead || k.cut(a.from.index, k.index):
		k.at(k.now+k.link, func() { a.from.fail(a, pool.Unreachable) })
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
	a.started = k.now
	batch := (1 + 0.5*float64(k.busy)/float64(k.slots)) / 1.5
	full := float64(meanService) * a.work * k.speed * batch
	saved := full * prefillShare * k.use(a.prefix)
	a.service = time.Duration(full - saved)
	a.first = time.Duration(full*prefillShare - saved)
	k.at(k.now+a.service, func() { k.finish(a) })
}

func (k *worker) finish(a *attempt) {
	if !a.running || k.frozen || k.dead {
		return
	}
	k.free(a)
	k.at(k.now+k.link, func() { a.from.succeed(a) })
}

// free ends the use of a slot and starts the next work.
func (k *worker) free(a *attempt) {
	a.running = false
	k.busy--
	k.active = without(k.active, a)
	for len(k.queue) > 0 && k.busy < k.slots && !k.frozen && !k.dead {
		next := k.queue[0]
		k.queue = k.queue[1:]
		k.start(next)
	}
}

func (k *worker) cancel(a *attempt) {
	if a.running {
		k.waste(k.now - a.started)
		k.free(a)
		return
	}
	k.queue = without(k.queue, a)
}

func without(list []*attempt, a *attempt) []*attempt {
	return slices.DeleteFunc(list, func(q *attempt) bool { return q == a })
}

// use returns 1 when the prefix is cached, and caches it.
func (k *worker) use(prefix []uint64) float64 {
	if len(prefix) == 0 {
		return 0
	}
	p := prefix[0]
	_, hit := k.cached[p]
	k.cached[p] = k.now
	k.lookups++
	if hit {
		k.hits++
		return 1
	}
	k.emit(affinity.Event{Stored: prefix})
	if len(k.cached) > cachedPrefixes {
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

// emit publishes a cache event, late, and with gaps when the scenario has them.
func (k *worker) emit(e affinity.Event) {
	k.cacheSeq++
	e.Sequence = k.cacheSeq
	e.Upstream = k.announcement.ID
	if k.random.Float64() < k.eventLoss {
		return
	}
	k.at(k.now+k.lag, func() {
		for _, n := range k.instances {
			n.pool.Apply(e)
		}
	})
}

func (n *instance) refresh() {
	n.at(n.now+refreshEvery, n.refresh)
	var usable []upstream.Upstream
	for _, u := range n.known {
		if n.Now().Sub(u.Confirmed) <= 3*time.Second {
			usable = append(usable, u)
		}
	}
	peers := 0
	for i := range n.instances {
		if i != n.index && !n.cut(i, n.index) {
			peers++
		}
	}
	n.pool.Refresh(usable, peers)
	l := n.pool.Load()
	n.quiet.SetFull(int(l.Slots / float64(peers+1)))
	n.lane.Adapt(lane.Capacity{Slots: l.Slots, Instances: peers + 1, Reported: l.Reported, Known: l.Known}, n.Now())
}

func (n *instance) admit(r *request) {
	ask := admission.Ask{
		Account:  fleet.AccountID(fmt.Sprint(r.account)),
		Weight:   1,
		Deadline: fakeclock.Start.Add(r.deadline),
	}
	w, err := n.lane.Join(ask, n.Now(), func(err error) {
		if err != nil {
			n.refused(r)
			return
		}
		r.granted = n.now
		// After Join has returned.
		n.at(n.now, func() { n.try(r) })
	})
	if err != nil {
		n.refused(r)
		return
	}
	r.waiter = w
	n.at(w.LatestStart().Sub(fakeclock.Start)+1, func() { n.lane.Wake(n.Now()) })
}

func (n *instance) try(r *request) {
	l, err := n.pool.Pick(pool.Ask{Prefix: r.prefix, Avoid: r.avoid})
	if err != nil {
		n.end(r, 0, false)
		return
	}
	n.retry.Deposit()
	u := l.Upstream()
	a := &attempt{request: r, from: n, lease: l}
	a.to = n.workers[slices.IndexFunc(n.workers, func(k *worker) bool { return k.announcement.ID == u.ID })]
	n.at(n.now+a.to.link, func() { a.to.receive(a) })
	n.at(min(n.now+attemptTimeout, r.deadline), func() { n.timeout(a) })
}

func (n *instance) succeed(a *attempt) {
	if a.over {
		n.waste(a.service)
		return
	}
	a.over = true
	a.lease.Done(pool.Succeeded)
	n.served(a)
	n.end(a.request, n.now-a.granted, true)
}

func (n *instance) timeout(a *attempt) {
	if a.over {
		return
	}
	n.at(n.now+a.to.link, func() { a.to.cancel(a) })
	if n.now < a.deadline {
		n.fail(a, pool.Failed)
		return
	}
	a.over = true
	a.lease.Done(pool.Canceled)
	n.end(a.request, n.now-a.granted, false)
}

func (n *instance) fail(a *attempt, r pool.Result) {
	if a.over {
		return
	}
	a.over = true
	a.lease.Done(r)
	a.avoid = append(a.avoid, a.to.announcement.ID)
	// An attempt that was not sent costs the pool nothing, so it needs no budget.
	if n.now >= a.deadline || r == pool.Failed && !n.retry.Withdraw() {
		n.end(a.request, 0, false)
		return
	}
	n.try(a.request)
}

func (n *instance) end(r *request, took time.Duration, good bool) {
	n.lane.Finish(r.waiter, took, n.Now())
	if !good && n.counts(r) {
		n.losses++
	}
}
