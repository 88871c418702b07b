package planner_test

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/bilberryrock/bilberryrock/internal/document"
	"github.com/bilberryrock/bilberryrock/internal/fleet"
	"github.com/bilberryrock/bilberryrock/internal/fleet/fakeclock"
	"github.com/bilberryrock/bilberryrock/internal/fleet/refusal"
	"github.com/bilberryrock/bilberryrock/internal/pipeline"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/inflight"
	"github.com/bilberryrock/bilberryrock/internal/pipeline/planner"
	"github.com/bilberryrock/bilberryrock/internal/upstream"
)

// TestMain sets a constant seed for rapid, so that runs are reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// testFleet implements upstream.Roster and pipeline.SpeedEstimator for the engines
// of one model.
type testFleet struct {
	model   document.Model
	engines []upstream.Upstream
	speeds  map[fleet.UpstreamID]pipeline.Speed
	counts  inflight.Counts
	clock   *fakeclock.Clock
}

func newTestFleet(layers int) *testFleet {
	return &testFleet{
		model:  document.Model{ID: "m", Version: "1", Layers: fleet.Layer(layers), Pool: "p"},
		speeds: make(map[fleet.UpstreamID]pipeline.Speed),
		clock:  fakeclock.New(fakeclock.Start),
	}
}

func (f *testFleet) add(from, to int, fixed, layer time.Duration) upstream.Upstream {
	u := upstream.Upstream{Announcement: upstream.Announcement{
		ID: fleet.UpstreamID(fmt.Sprintf("e%d", len(f.engines))), Kind: upstream.Engine,
		Model: "m", Version: "1", Slots: 8, Layers: upstream.LayerRange{From: fleet.Layer(from), To: fleet.Layer(to)},
	}}
	f.speeds[u.ID] = pipeline.Speed{FixedTime: fixed, LayerTime: layer}
	f.engines = append(f.engines, u)
	return u
}

func (f *testFleet) Usable(fleet.PoolID, time.Time) []upstream.Upstream {
	return append([]upstream.Upstream(nil), f.engines...)
}

func (f *testFleet) Get(fleet.UpstreamID) (upstream.Upstream, bool) {
	return upstream.Upstream{}, false
}

func (f *testFleet) Speed(u upstream.Upstream) pipeline.Speed { return f.speeds[u.ID] }

func (f *testFleet) planner(options ...planner.Option) *planner.Planner {
	r := rand.New(rand.NewPCG(1, 2))
	models := func(fleet.ModelID) (document.Model, bool) { return f.model, true }
	return planner.New(f, models, f, f.clock, append([]planner.Option{planner.WithCounts(&f.counts), planner.WithRandIntN(r.IntN)}, options...)...)
}

// bestCost returns the cost of the best chain over layers [from, to) by exhaustive
// search.
func (f *testFleet) bestCost(from, to int) (time.Duration, bool) {
	if from == to {
		return 0, true
	}
	best, found := time.Duration(0), false
	for _, u := range f.engines {
		if int(u.Layers.From) > from {
			continue
		}
		for cut := from + 1; cut <= min(int(u.Layers.To), to); cut++ {
			rest, ok := f.bestCost(cut, to)
			s := f.speeds[u.ID]
			cost := s.FixedTime + time.Duration(cut-from)*s.LayerTime + rest
			if ok && (!found || cost < best) {
				best, found = cost, true
			}
		}
	}
	return best, found
}

func checkChain(t interface{ Fatalf(string, ...any) }, c pipeline.Chain, layers int) {
	next := fleet.Layer(0)
	for _, s := range c.Stages {
		if s.Layers.From != next || s.Layers.Len() <= 0 || s.Layers.From < s.Upstream.Layers.From || s.Layers.To > s.Upstream.Layers.To {
			t.Fatalf("stage %v of %s does not fit at layer %d", s.Layers, s.Upstream.ID, next)
		}
		if s.Upstream.Version != c.Version || s.Upstream.Adapter != c.Adapter {
			t.Fatalf("engine %s has another version or adapter", s.Upstream.ID)
		}
		next = s.Layers.To
	}
	if int(next) != layers {
		t.Fatalf("chain ends at layer %d of %d", next, layers)
	}
}

// TestBestChain guards against a chain that skips or repeats a layer or that is
// slower than the optimal chain.
func TestBestChain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 6).Draw(t, "layers")
		f := newTestFleet(layers)
		for i := range rapid.IntRange(1, 6).Draw(t, "engines") {
			from := rapid.IntRange(0, layers-1).Draw(t, fmt.Sprint("from", i))
			to := rapid.IntRange(from+1, layers).Draw(t, fmt.Sprint("to", i))
			fixed := rapid.IntRange(0, 100).Draw(t, fmt.Sprint("fixed", i))
			layer := rapid.IntRange(1, 100).Draw(t, fmt.Sprint("layer", i))
			f.add(from, to, time.Duration(fixed)*time.Microsecond, time.Duration(layer)*time.Microsecond)
		}
		p := f.planner()
		c, err := p.Plan("m", nil)
		want, ok := f.bestCost(0, layers)
		if !ok {
			if refusal.KindOf(err) != refusal.NoUpstream {
				t.Fatalf("error %v for layers that are not covered", err)
			}
			return
		}
		if err != nil {
			t.Fatalf("%v", err)
		}
		checkChain(t, c, layers)
		if got := p.ExpectedTokenTime(c); got != want {
			t.Fatalf("chain takes %v, best one %v", got, want)
		}
	})
}

// newMixedFleet returns a fleet of n engines on 5 kinds of accelerators with links
// that differ by a factor of 100. Each holds 8 to 20 of the 40 layers.
func newMixedFleet(n int) *testFleet {
	const layers = 40
	r := rand.New(rand.NewPCG(7, uint64(n)))
	f := newTestFleet(layers)
	ranges := [][2]int{{0, 8}, {8, 16}, {16, 24}, {24, 32}, {32, 40}, {0, 20}, {20, 40}, {10, 30}}
	for i := range n {
		held := ranges[i%len(ranges)]
		accelerator := time.Duration(1+r.IntN(5)) * time.Duration(80+r.IntN(40)) * time.Microsecond
		link := time.Duration(math.Pow(100, r.Float64()) * float64(100*time.Microsecond))
		f.add(held[0], held[1], 2*link, accelerator)
	}
	return f
}

// TestLargeFleet guards against plans by classes that are far from the optimal
// chain. The lower bound is the optimal chain without load. Engines of a class
// differ by less than a factor of two, so the plan must too.
func TestLargeFleet(t *testing.T) {
	for _, n := range []int{43, 1200, 12000} {
		is := is.New(t)
		f := newMixedFleet(n)
		p := f.planner()
		bound, ok := lowerBound(f)
		is.True(ok)
		worst := 0.0
		for range 200 {
			c, err := p.Plan("m", nil)
			is.NoErr(err)
			checkChain(t, c, 40)
			worst = max(worst, float64(p.ExpectedTokenTime(c))/float64(bound))
		}
		t.Logf("%d engines: worst chain %.3f of the bound", n, worst)
		is.True(worst < 2)
	}
}

// lowerBound returns the cost of the optimal chain without load, computed over all
// engines and layers without classes.
func lowerBound(f *testFleet) (time.Duration, bool) {
	layers := int(f.model.Layers)
	const none = time.Duration(1 << 62)
	best := make([]time.Duration, layers+1)
	for l := 1; l <= layers; l++ {
		best[l] = none
		for _, u := range f.engines {
			for from := int(u.Layers.From); from < l && l <= int(u.Layers.To); from++ {
				s := f.speeds[u.ID]
				if best[from] < none {
					best[l] = min(best[l], best[from]+s.FixedTime+time.Duration(l-from)*s.LayerTime)
				}
			}
		}
	}
	return best[layers], best[layers] < none
}

// TestSpread guards against an uneven distribution of work over equal engines.
func TestSpread(t *testing.T) {
	for _, n := range []int{8, 400} {
		is := is.New(t)
		f := newTestFleet(4)
		for i := range n {
			f.add(i%2*2, i%2*2+2, time.Millisecond, time.Millisecond)
		}
		p := f.planner()
		for range 10 * n {
			c, err := p.Plan("m", nil)
			is.NoErr(err)
			for _, s := range c.Stages {
				f.counts.Add(s.Upstream.ID, 1)
			}
		}
		// The mean is 20 sequences. The better of two random choices among the 200
		// engines of a range stays close to it.
		for _, u := range f.engines {
			count := f.counts.Counter(u.ID).Load()
			is.True(count >= 14 && count <= 26)
		}
	}
}

// TestTies guards against instances that all choose the same one of equal idle
// engines, because no instance knows the sequences of the others.
func TestTies(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	for range 4 {
		f.add(0, 2, time.Millisecond, time.Millisecond)
	}
	p := f.planner()
	taken := make(map[fleet.UpstreamID]int)
	for range 100 {
		c, err := p.Plan("m", nil)
		is.NoErr(err)
		taken[c.Stages[0].Upstream.ID]++
	}
	is.Equal(len(taken), 4)
}

// TestReplace guards against a replacement that moves healthy stages or that mixes
// versions in a chain.
func TestReplace(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(6)
	f.add(0, 2, 0, time.Millisecond)
	f.add(2, 4, 0, time.Millisecond)
	f.add(4, 6, 0, time.Millisecond)
	f.add(1, 5, 0, 3*time.Millisecond)
	p := f.planner()
	c, err := p.Plan("m", nil)
	is.NoErr(err)
	next, err := p.Replace(c, []fleet.UpstreamID{"e1"}, 1)
	is.NoErr(err)
	checkChain(t, next, 6)
	is.Equal(len(next.Stages), 3)
	is.Equal(next.Stages[0], c.Stages[0])
	is.Equal(next.Stages[1].Upstream.ID, fleet.UpstreamID("e3"))
	is.Equal(next.Stages[1].Layers, c.Stages[1].Layers)
	is.Equal(next.Stages[2], c.Stages[2])

	// With many positions to compute, the engine with the faster prefill is chosen,
	// although it is slower for one token.
	quick := f.add(2, 4, 0, 9*time.Millisecond)
	f.speeds["e3"] = pipeline.Speed{LayerTime: 3 * time.Millisecond, PositionTime: time.Millisecond}
	f.clock.Advance(planner.DefaultRefreshInterval)
	long, err := p.Replace(c, []fleet.UpstreamID{"e1"}, 100)
	is.NoErr(err)
	is.Equal(long.Stages[1].Upstream.ID, quick.ID)
	f.engines = f.engines[:4]
	f.clock.Advance(planner.DefaultRefreshInterval)

	// After a second failure, layers have no holder until an engine joins.
	_, err = p.Replace(next, []fleet.UpstreamID{"e1", "e3"}, 1)
	is.Equal(refusal.KindOf(err), refusal.NoUpstream)
	f.add(2, 3, 0, time.Millisecond)
	f.add(3, 6, 0, time.Millisecond)
	f.clock.Advance(planner.DefaultRefreshInterval)
	again, err := p.Replace(next, []fleet.UpstreamID{"e1", "e3"}, 1)
	is.NoErr(err)
	checkChain(t, again, 6)
	is.Equal(len(again.Stages), 4)

	// Engines of another version cannot replace a stage of the chain.
	for i := range f.engines {
		f.engines[i].Version = "2"
	}
	f.clock.Advance(planner.DefaultRefreshInterval)
	_, err = p.Replace(c, []fleet.UpstreamID{"e1"}, 1)
	is.Equal(refusal.KindOf(err), refusal.NoUpstream)
}

// TestVersions guards against a chain of mixed versions and against the use of an
// inactive version while the active one covers all layers.
func TestVersions(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	for i, version := range []string{"1", "1", "2", "2"} {
		f.add(i%2*2, i%2*2+2, 0, time.Millisecond)
		f.engines[i].Version = version
	}
	f.model.Version = "2"
	p := f.planner()
	c, err := p.Plan("m", nil)
	is.NoErr(err)
	checkChain(t, c, 4)
	is.Equal(c.Version, "2")
	c, err = p.Plan("m", []fleet.UpstreamID{"e2"})
	is.NoErr(err)
	checkChain(t, c, 4)
	is.Equal(c.Version, "1")
	_, err = p.Plan("m", []fleet.UpstreamID{"e2", "e1"})
	is.Equal(refusal.KindOf(err), refusal.NoUpstream)
}

// TestSuspects guards against new work for an engine that recently did not respond,
// and against a refusal when only suspects hold some layers.
func TestSuspects(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(2)
	f.add(0, 2, 0, time.Millisecond)
	f.add(0, 2, 0, 2*time.Millisecond)
	p := f.planner()
	first := func() fleet.UpstreamID {
		c, err := p.Plan("m", nil)
		is.NoErr(err)
		return c.Stages[0].Upstream.ID
	}
	is.Equal(first(), fleet.UpstreamID("e0"))
	p.Suspect("e0")
	is.Equal(first(), fleet.UpstreamID("e1"))
	p.Suspect("e1")
	is.Equal(first(), fleet.UpstreamID("e0"))
	f.clock.Advance(10 * time.Second)
	is.Equal(first(), fleet.UpstreamID("e0"))
}

// TestDegraded guards against plans that keep using an engine that became slow, and
// against its replacement when only another stage is replaced.
func TestDegraded(t *testing.T) {
	is := is.New(t)
	f := newTestFleet(4)
	f.add(0, 2, 0, time.Millisecond)
	f.add(0, 2, 0, 2*time.Millisecond)
	f.add(2, 4, 0, time.Millisecond)
	f.add(2, 4, 0, time.Millisecond)
	p := f.planner()
	before, err := p.Plan("m", nil)
	is.NoErr(err)
	is.Equal(before.Stages[0].Upstream.ID, fleet.UpstreamID("e0"))
	f.speeds["e0"] = pipeline.Speed{LayerTime: 100 * time.Millisecond}
	f.clock.Advance(planner.DefaultRefreshInterval)
	after, err := p.Plan("m", nil)
	is.NoErr(err)
	is.Equal(after.Stages[0].Upstream.ID, fleet.UpstreamID("e1"))
	next, err := p.Replace(before, []fleet.UpstreamID{before.Stages[1].Upstream.ID}, 1)
	is.NoErr(err)
	is.Equal(next.Stages[0], before.Stages[0])
}

// BenchmarkPlan measures a plan on a current view.
func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{43, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newMixedFleet(n)
			models := func(fleet.ModelID) (document.Model, bool) { return f.model, true }
			p := planner.New(f, models, f, f.clock)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := p.Plan("m", nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkView measures the rebuilding of a view, which happens at most four times
// a second, and a plan on it.
func BenchmarkView(b *testing.B) {
	for _, n := range []int{43, 12000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			f := newMixedFleet(n)
			p := f.planner()
			for b.Loop() {
				f.clock.Advance(planner.DefaultRefreshInterval)
				if _, err := p.Plan("m", nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
