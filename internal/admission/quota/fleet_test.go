package quota_test

import (
	"bufio"
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/bilberryrock/bilberryrock/internal/admission/quota"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/registry/usage"
)

const (
	simTick     = 10 * time.Millisecond
	simInterval = 250 * time.Millisecond // between two reports and between two sums
	simPool     = fleet.PoolID("model")
	simEngines  = fleet.UpstreamID("engines") // stands for all engines of the pool
)

// simulation is a number of gateways with one Quota each and of controllers with one
// usage.Table each, connected by messages that are delayed. The engines are one server
// that slows down and rejects streams beyond its capacity.
type simulation struct {
	clock       *fakeclock.Clock
	random      *rand.Rand
	controllers []*usage.Table
	gateways    []*simGateway
	delay       time.Duration // of each message
	pending     []delayed
	capacity    float64
	streamTime  time.Duration
	streams     []*simStream
	offers      []simOffer // retries of refused clients
	load        []simLoad
	counts      map[quota.Pair]*simCount
	peak        float64 // highest utilization of the engines
	finished    int
	rejected    int // streams that the engines rejected
	ticks       int
	lastRun     time.Duration // duration of the last run
}

type delayed struct {
	due time.Time
	f   func()
}

type simGateway struct {
	id           fleet.InstanceID
	quota        *quota.Quota
	controller   int // followed controller, or -1 during a hand-over
	active       int
	fleetActive  int // active streams of all gateways according to the sums
	gone, frozen bool
	frozenAt     time.Time
	waiting      []func() // messages that arrived while the gateway was frozen
	phase        int      // in ticks
}

type simStream struct {
	gateway   *simGateway
	remaining time.Duration
}

type simLoad struct {
	pair    quota.Pair
	rate    float64 // streams per second of the fleet
	retries int     // immediate retries of each refused stream
}

type simOffer struct {
	pair    quota.Pair
	retries int
}

type simCount struct{ first, offered, admitted int }

func newSimulation(gateways, controllers int, capacity float64, streamTime, delay time.Duration) *simulation {
	s := &simulation{
		clock: fakeclock.New(fakeclock.Start), random: rand.New(rand.NewPCG(1, 2)), delay: delay,
		capacity: capacity, streamTime: streamTime, counts: make(map[quota.Pair]*simCount),
	}
	for range controllers {
		s.controllers = append(s.controllers, usage.New(s.clock))
	}
	s.resize(gateways)
	return s
}

// resize starts gateways, or stops the last ones gracefully.
func (s *simulation) resize(n int) {
	for len(s.gateways) < n {
		g := &simGateway{
			id: fleet.InstanceID(fmt.Sprintf("g%d", len(s.gateways))), controller: len(s.gateways) % len(s.controllers),
			phase: s.random.IntN(int(simInterval / simTick)),
		}
		room := func() quota.Room { return quota.Room{Capacity: s.capacity, Active: float64(g.fleetActive)} }
		g.quota = quota.New(s.clock, room, quota.WithRandom(s.random.Float64))
		s.controllers[g.controller].SetGateway(g.id, usage.Report{})
		s.gateways = append(s.gateways, g)
	}
	for _, g := range s.gateways[n:] {
		s.stop(g)
	}
	s.gateways = s.gateways[:n]
}

// stop ends a gateway and its streams. Its controller notices the end of the connection.
func (s *simulation) stop(g *simGateway) {
	g.gone = true
	s.controllers[g.controller].DropGateway(g.id)
	s.streams = slices.DeleteFunc(s.streams, func(t *simStream) bool { return t.gateway == g })
}

func (s *simulation) send(d time.Duration, f func()) {
	s.pending = append(s.pending, delayed{due: s.clock.Now().Add(d), f: f})
}

func (s *simulation) deliver() {
	now := s.clock.Now()
	due := slices.DeleteFunc(slices.Clone(s.pending), func(d delayed) bool { return d.due.After(now) })
	s.pending = slices.DeleteFunc(s.pending, func(d delayed) bool { return !d.due.After(now) })
	for _, d := range due {
		d.f()
	}
}

// exchange lets the gateways report and the controllers send their sums.
func (s *simulation) exchange() {
	interval := int(simInterval / simTick)
	for i, g := range s.gateways {
		if g.gone || g.controller < 0 || (s.ticks+g.phase)%interval != 0 {
			continue
		}
		to := s.controllers[g.controller]
		// A controller echoes the newest stamp that it has received from the gateway.
		sums, at := to.Sums(true), s.clock.Now()
		if g.frozen {
			at = g.frozenAt
		}
		receive := func() {
			g.fleetActive = 0
			for _, u := range sums.Upstreams {
				g.fleetActive = u.Active
			}
			g.quota.SetSums(sums.Demands[simPool], sums.Gateways, at)
		}
		s.send(s.delay, func() {
			if g.frozen {
				g.waiting = append(g.waiting, receive)
				return
			}
			receive()
		})
		if g.frozen {
			continue
		}
		r := usage.Report{Demands: map[fleet.PoolID]quota.Demand{simPool: g.quota.Demand()}}
		if g.active > 0 {
			r.Upstreams = []usage.UpstreamStats{{ID: simEngines, Active: g.active}}
		}
		s.send(s.delay, func() {
			if !g.gone {
				to.SetGateway(s.gateways[i].id, r)
			}
		})
	}
	for i, c := range s.controllers {
		if (s.ticks+i*interval/len(s.controllers))%interval != 0 {
			continue
		}
		sums := c.Sums(false)
		for j, o := range s.controllers {
			if i != j {
				s.send(s.delay, func() { o.SetPeer(fmt.Sprint(i), sums) })
			}
		}
	}
}

// offer sends one stream to a random gateway.
func (s *simulation) offer(o simOffer) {
	g := s.gateways[s.random.IntN(len(s.gateways))]
	if g.gone || g.frozen {
		return
	}
	c := s.count(o.pair)
	c.offered++
	if !g.quota.Offer(o.pair).Admitted {
		if o.retries > 0 {
			s.offers = append(s.offers, simOffer{pair: o.pair, retries: o.retries - 1})
		}
		return
	}
	if float64(len(s.streams)) >= s.capacity {
		s.rejected++
		g.quota.Done(false)
		return
	}
	c.admitted++
	g.active++
	d := time.Duration((0.5 + s.random.Float64()) * float64(s.streamTime))
	s.streams = append(s.streams, &simStream{gateway: g, remaining: d})
}

func (s *simulation) count(p quota.Pair) *simCount {
	if s.counts[p] == nil {
		s.counts[p] = &simCount{}
	}
	return s.counts[p]
}

func (s *simulation) step() {
	s.deliver()
	s.exchange()
	again := s.offers
	s.offers = nil
	for _, o := range again {
		s.offer(o)
	}
	for _, l := range s.load {
		for n := l.rate * simTick.Seconds(); n > 0; n-- {
			if s.random.Float64() < n {
				s.count(l.pair).first++
				s.offer(simOffer{pair: l.pair, retries: l.retries})
			}
		}
	}
	s.streams = slices.DeleteFunc(s.streams, func(t *simStream) bool {
		t.remaining -= simTick
		if t.remaining > 0 || t.gateway.frozen {
			return false
		}
		t.gateway.active--
		t.gateway.quota.Done(true)
		s.finished++
		return true
	})
	s.peak = max(s.peak, float64(len(s.streams))/s.capacity)
	s.ticks++
	s.clock.Advance(simTick)
}

// run returns the rates of each level over the time d.
func (s *simulation) run(d time.Duration) string {
	s.lastRun = d
	s.counts, s.peak, s.finished, s.rejected = make(map[quota.Pair]*simCount), 0, 0, 0
	for end := s.clock.Now().Add(d); s.clock.Now().Before(end); {
		s.step()
	}
	levels := make(map[quota.Level]simCount)
	for p, c := range s.counts {
		l := levels[p.Level]
		l.first, l.offered, l.admitted = l.first+c.first, l.offered+c.offered, l.admitted+c.admitted
		levels[p.Level] = l
	}
	var b strings.Builder
	admitted := 0
	for l := quota.Level(0); l < 10; l++ {
		if c, ok := levels[l]; ok {
			fmt.Fprintf(&b, "level %d: offered %s/s, admitted %s/s\n", l, perSecond(c.offered, d), perSecond(c.admitted, d))
			admitted += c.admitted
		}
	}
	fmt.Fprintf(&b, "finished %s/s, peak utilization %.2f, rejected by engines %.1f%%\n", perSecond(s.finished, d), s.peak,
		100*float64(s.rejected)/math.Max(1, float64(admitted+s.rejected)))
	return b.String()
}

func perSecond(n int, d time.Duration) string {
	return fmt.Sprintf("%.0f", float64(n)/d.Seconds())
}

// accounts returns the served share of the new streams of each account.
func (s *simulation) accounts() string {
	first, admitted := make(map[fleet.AccountID]int), make(map[fleet.AccountID]int)
	for p, c := range s.counts {
		first[p.Account] += c.first
		admitted[p.Account] += c.admitted
	}
	var ids []string
	for id := range first {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	var b strings.Builder
	for _, id := range ids {
		a := fleet.AccountID(id)
		fmt.Fprintf(&b, "%s: served %.2f\n", id, float64(admitted[a])/float64(first[a]))
	}
	return b.String()
}

// require fails the test if fewer streams per second finished in the last run, or if the
// engines rejected a greater part of the admitted ones, in percent. Unlike the expected
// output, -rewrite does not change these bounds.
func (s *simulation) require(t *testing.T, d *datadriven.TestData, finished, rejected int) {
	admitted := 0
	for _, c := range s.counts {
		admitted += c.admitted
	}
	if n := float64(s.finished) / s.lastRun.Seconds(); n < float64(finished) {
		t.Errorf("%s: %.0f streams per second finished, at least %d are required", d.Pos, n, finished)
	}
	if n := 100 * float64(s.rejected) / math.Max(1, float64(admitted+s.rejected)); n > float64(rejected) {
		t.Errorf("%s: the engines rejected %.1f%% of the admitted streams, at most %d%% are allowed", d.Pos, n, rejected)
	}
}

// thirds returns the served share of the new streams of the smallest third of the accounts
// and of the largest account.
func (s *simulation) thirds() string {
	first, admitted := make(map[fleet.AccountID]int), make(map[fleet.AccountID]int)
	for p, c := range s.counts {
		first[p.Account] += c.first
		admitted[p.Account] += c.admitted
	}
	ids := slices.SortedFunc(maps.Keys(first), func(a, b fleet.AccountID) int {
		return cmp.Or(cmp.Compare(first[a], first[b]), cmp.Compare(a, b))
	})
	small, served := 0, 0
	for _, a := range ids[:len(ids)/3] {
		small, served = small+first[a], served+admitted[a]
	}
	largest := ids[len(ids)-1]
	return fmt.Sprintf("smallest third served %.2f, largest account served %.2f\n", float64(served)/float64(small), float64(admitted[largest])/float64(first[largest]))
}

// parseLoad reads lines "account level rate retries". An account "a*24" stands for 24
// accounts that share the rate in the proportions 1 to 24.
func parseLoad(t *testing.T, d *datadriven.TestData) []simLoad {
	var ls []simLoad
	in := bufio.NewScanner(strings.NewReader(d.Input))
	for in.Scan() {
		var name string
		var l simLoad
		if _, err := fmt.Sscan(in.Text(), &name, &l.pair.Level, &l.rate, &l.retries); err != nil {
			d.Fatalf(t, "%q: %v", in.Text(), err)
		}
		prefix, number, many := strings.Cut(name, "*")
		n := 1
		if many {
			if _, err := fmt.Sscan(number, &n); err != nil {
				d.Fatalf(t, "%q: %v", in.Text(), err)
			}
		}
		for i := 1; i <= n; i++ {
			k := l
			k.pair.Account = fleet.AccountID(name)
			if many {
				k.pair.Account = fleet.AccountID(fmt.Sprintf("%s%02d", prefix, i))
				k.rate = l.rate * float64(i) / float64(n*(n+1)/2)
			}
			ls = append(ls, k)
		}
	}
	return ls
}

// TestFleet replays loads and failures on a simulated fleet. It guards against overload of
// the engines during and after a burst, against unserved capacity, against less urgent
// streams that are served in place of more urgent ones, and against accounts that gain by
// offering more or by retrying.
func TestFleet(t *testing.T) {
	datadriven.Walk(t, "testdata/fleet", func(t *testing.T, file string) {
		var s *simulation
		datadriven.RunTest(t, file, func(t *testing.T, d *datadriven.TestData) string {
			number := func(name string, value int) int {
				d.MaybeScanArgs(t, name, &value)
				return value
			}
			switch d.Cmd {
			case "fleet":
				s = newSimulation(number("gateways", 107), number("controllers", 6), float64(number("capacity", 680)),
					time.Duration(number("streamMS", 2000))*time.Millisecond, time.Duration(number("delayMS", 125))*time.Millisecond)
			case "load":
				s.load = parseLoad(t, d)
			case "capacity":
				s.capacity = float64(number("streams", 0))
			case "run":
				return s.run(time.Duration(number("ms", 0)) * time.Millisecond)
			case "require":
				s.require(t, d, number("finished", 0), number("rejected", 100))
			case "thirds":
				return s.thirds()
			case "accounts":
				return s.accounts()
			case "gateways":
				s.resize(number("n", 0))
			case "kill":
				for _, g := range s.gateways[:number("n", 0)] {
					s.stop(g)
				}
			case "freeze":
				for _, g := range s.gateways[:number("n", 0)] {
					g.frozen, g.frozenAt = true, s.clock.Now()
				}
			case "wake":
				return s.wake(t, number("offers", 0), number("atMost", 0))
			case "disconnect":
				s.disconnect(number("controller", 0))
			case "follow":
				s.follow(number("controller", 0))
			case "stopSums":
				for _, g := range s.gateways {
					g.controller = -1
				}
			default:
				d.Fatalf(t, "unknown command %q", d.Cmd)
			}
			return ""
		})
	})
}

// wake lets the frozen gateways go on. Each is offered a number of streams before and after
// it receives the messages that were waiting for it. Together they must not admit more than
// atMost.
func (s *simulation) wake(t *testing.T, offers, atMost int) string {
	admit := func(g *simGateway) int {
		n := 0
		for range offers {
			if g.quota.Offer(s.load[0].pair).Admitted {
				n++
			}
		}
		return n
	}
	before, after, woken := 0, 0, 0
	for _, g := range s.gateways {
		if !g.frozen {
			continue
		}
		g.frozen = false
		woken++
		before += admit(g)
		for _, f := range g.waiting {
			f()
		}
		g.waiting = nil
		after += admit(g)
	}
	if before+after > atMost {
		t.Errorf("%d streams were admitted, at most %d are allowed", before+after, atMost)
	}
	return fmt.Sprintf("%d gateways admitted %d of %d streams, and %d of %d after the old sums\n", woken, before, woken*offers, after, woken*offers)
}

// disconnect ends the connections of the gateways that follow a controller without the
// controller noticing.
func (s *simulation) disconnect(controller int) {
	for _, g := range s.gateways {
		if g.controller == controller {
			g.controller = -1
		}
	}
}

// follow lets the gateways without a controller follow one.
func (s *simulation) follow(controller int) {
	for _, g := range s.gateways {
		if g.controller < 0 {
			g.controller = controller
		}
	}
}
